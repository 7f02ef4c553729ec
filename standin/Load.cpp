#include "standin/Flags.h"
#include "standin/Standin.h"

#include "base/Json.h"
#include "base/Time.h"

#include <absl/flags/flag.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <vector>

// A caller that sends at a steady rate whatever comes back (an open loop, so a
// slow answer does not lower the load) and prints what it saw as one line of
// JSON.

namespace hickorylift::standin {

namespace {

struct Sender {
  SoupSession *Session;
  GMainLoop *Loop;
  TimePoint Start;
  uint64_t Target = 0;
  uint64_t Sent = 0;
  uint64_t Ended = 0;
  std::vector<double> AnsweredMs;
  std::map<std::string, uint64_t> Outcomes;
  std::map<std::string, uint64_t> Reasons;
  std::string Body;
};

struct Ask {
  Sender *Owner;
  SoupMessage *Message;
  TimePoint At;
};

std::string header(SoupMessage *Of, const char *Name) {
  const char *Found =
      soup_message_headers_get_one(soup_message_get_response_headers(Of), Name);
  return Found ? Found : "";
}

void onReply(GObject *Source, GAsyncResult *Outcome, gpointer Data) {
  auto *Of = static_cast<Ask *>(Data);
  Sender &To = *Of->Owner;
  GError *Why = nullptr;
  GBytes *Body =
      soup_session_send_and_read_finish(SOUP_SESSION(Source), Outcome, &Why);
  std::string Said = header(Of->Message, "Hickorylift-Outcome");
  if (!Body)
    Said = "broken";
  else if (Said.empty())
    Said = soup_message_get_status(Of->Message) == 200 ? "answered" : "error";
  if (Body && Said == "answered" && soup_message_get_status(Of->Message) == 503)
    Said = "shed";
  ++To.Outcomes[Said];
  std::string Reason = header(Of->Message, "Hickorylift-Reason");
  if (!Reason.empty())
    ++To.Reasons[Reason];
  if (Said == "answered")
    To.AnsweredMs.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - Of->At)
            .count());
  g_clear_error(&Why);
  g_clear_pointer(&Body, g_bytes_unref);
  g_object_unref(Of->Message);
  delete Of;
  if (++To.Ended == To.Target)
    g_main_loop_quit(To.Loop);
}

void sendOne(Sender &To) {
  uint64_t Number = ++To.Sent;
  std::string Path = absl::GetFlag(FLAGS_path);
  std::string Url = "http://" + absl::GetFlag(FLAGS_target) + Path;
  auto *Of = new Ask{
      &To, soup_message_new(absl::GetFlag(FLAGS_method).c_str(), Url.c_str()),
      Clock::now()};
  // Lets a POST go over a kept connection, as callers' own clients do.
  soup_message_set_flags(Of->Message, SOUP_MESSAGE_IDEMPOTENT);
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Of->Message);
  std::string Id =
      std::to_string(g_get_monotonic_time()) + "-" + std::to_string(Number);
  soup_message_headers_append(Headers, "X-Call-Id", Id.c_str());
  if (absl::GetFlag(FLAGS_keyed))
    soup_message_headers_append(Headers, "Idempotency-Key", Id.c_str());
  if (absl::GetFlag(FLAGS_budget_ms))
    soup_message_headers_append(
        Headers, "Hickorylift-Budget-Ms",
        std::to_string(absl::GetFlag(FLAGS_budget_ms)).c_str());
  if (!To.Body.empty()) {
    GBytes *Body = g_bytes_new_static(To.Body.data(), To.Body.size());
    soup_message_set_request_body_from_bytes(Of->Message,
                                             "application/octet-stream", Body);
    g_bytes_unref(Body);
  }
  soup_session_send_and_read_async(To.Session, Of->Message, G_PRIORITY_DEFAULT,
                                   nullptr, onReply, Of);
}

gboolean onTick(gpointer Data) {
  auto &To = *static_cast<Sender *>(Data);
  double Passed =
      std::chrono::duration<double>(Clock::now() - To.Start).count();
  auto Due = static_cast<uint64_t>(Passed * absl::GetFlag(FLAGS_rate)) + 1;
  while (To.Sent < std::min(Due, To.Target))
    sendOne(To);
  return To.Sent < To.Target ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

double percentile(std::vector<double> &Of, double Share) {
  if (Of.empty())
    return 0;
  std::sort(Of.begin(), Of.end());
  return Of[std::min(
      Of.size() - 1,
      static_cast<size_t>(Share * static_cast<double>(Of.size())))];
}

} // namespace

int runLoad() {
  Sender To;
  guint Connections = absl::GetFlag(FLAGS_connections);
  To.Session = SOUP_SESSION(g_object_new(
      SOUP_TYPE_SESSION, "max-conns", Connections, "max-conns-per-host",
      Connections, "proxy-resolver", nullptr, nullptr));
  To.Loop = g_main_loop_new(nullptr, FALSE);
  To.Start = Clock::now();
  To.Body.assign(absl::GetFlag(FLAGS_body_bytes), 'b');
  To.Target = static_cast<uint64_t>(absl::GetFlag(FLAGS_rate) *
                                    absl::GetFlag(FLAGS_seconds));
  g_timeout_add(1, onTick, &To);
  g_main_loop_run(To.Loop);
  double Seconds =
      std::chrono::duration<double>(Clock::now() - To.Start).count();
  Json::Value Out(Json::objectValue);
  Out["sent"] = Json::UInt64(To.Sent);
  Out["seconds"] = Seconds;
  for (const auto &[Name, Count] : To.Outcomes)
    Out["outcomes"][Name] = Json::UInt64(Count);
  for (const auto &[Name, Count] : To.Reasons)
    Out["reasons"][Name] = Json::UInt64(Count);
  Out["p50_ms"] = percentile(To.AnsweredMs, 0.50);
  Out["p99_ms"] = percentile(To.AnsweredMs, 0.99);
  Out["max_ms"] = percentile(To.AnsweredMs, 1.0);
  std::cout << writeJson(Out) << "\n";
  return 0;
}

} // namespace hickorylift::standin
