#include "reading/HttpPlatform.h"

#include "base/Json.h"

#include <cstdlib>

namespace hickorylift {

namespace {

// Added to the wait of a watch before we call the platform silent.
constexpr Millis WatchSlack{2000};
constexpr unsigned MaxConnections = 20;

struct Pending {
  std::function<void(Result<std::pair<uint64_t, std::string>>, TimePoint)> Done;
  std::function<TimePoint()> Now;
  std::string Step;
  std::string Peer;
  SoupMessage *Message;
  GCancellable *Stop;
  guint Timer = 0;
  size_t MaxBytes;
};

gboolean onTimeout(gpointer Data) {
  auto *Call = static_cast<Pending *>(Data);
  Call->Timer = 0;
  g_cancellable_cancel(Call->Stop);
  return G_SOURCE_REMOVE;
}

Result<std::pair<uint64_t, std::string>> judge(const Pending &Call,
                                               GBytes *Body, GError *Why) {
  if (!Body) {
    bool TimedOut = g_cancellable_is_cancelled(Call.Stop);
    return Error{TimedOut ? Errc::Timeout : Errc::Unreachable, Call.Step,
                 Call.Peer, Why ? Why->message : "no answer"};
  }
  gsize Size = 0;
  const char *Bytes = static_cast<const char *>(g_bytes_get_data(Body, &Size));
  guint Status = soup_message_get_status(Call.Message);
  if (Size > Call.MaxBytes)
    return Error{Errc::TooLarge, Call.Step, Call.Peer,
                 std::to_string(Size) + " bytes"};
  if (Status == 429)
    return Error{Errc::Busy, Call.Step, Call.Peer, "read rate exceeded"};
  if (Status == 404)
    return Error{Errc::NotFound, Call.Step, Call.Peer, "no such key"};
  if (Status != 200)
    return Error{Errc::Refused, Call.Step, Call.Peer,
                 "status " + std::to_string(Status)};
  const char *Revision = soup_message_headers_get_one(
      soup_message_get_response_headers(Call.Message), "X-Revision");
  uint64_t Number = Revision ? std::strtoull(Revision, nullptr, 10) : 0;
  return std::make_pair(Number, std::string(Bytes ? Bytes : "", Size));
}

void onReply(GObject *Source, GAsyncResult *Outcome, gpointer Data) {
  std::unique_ptr<Pending> Call(static_cast<Pending *>(Data));
  GError *Why = nullptr;
  GBytes *Body =
      soup_session_send_and_read_finish(SOUP_SESSION(Source), Outcome, &Why);
  if (Call->Timer)
    g_source_remove(Call->Timer);
  auto Reply = judge(*Call, Body, Why);
  g_clear_error(&Why);
  g_clear_pointer(&Body, g_bytes_unref);
  g_object_unref(Call->Message);
  g_object_unref(Call->Stop);
  Call->Done(std::move(Reply), Call->Now());
}

} // namespace

HttpPlatform::HttpPlatform(Options Opts, std::function<TimePoint()> Now)
    : Opts(std::move(Opts)), Now(std::move(Now)),
      Session(SOUP_SESSION(g_object_new(
          SOUP_TYPE_SESSION, "max-conns", MaxConnections, "max-conns-per-host",
          MaxConnections, "proxy-resolver", nullptr, nullptr))) {}

HttpPlatform::~HttpPlatform() {
  soup_session_abort(this->Session);
  g_object_unref(this->Session);
}

void HttpPlatform::send(const std::string &Path, const std::string &Step,
                        Millis Limit, GotReply Done) {
  std::string Url = "http://" + this->Opts.Address + Path;
  auto Call = std::make_unique<Pending>();
  Call->Done = std::move(Done);
  Call->Now = this->Now;
  Call->Step = Step;
  Call->Peer = this->Opts.Address;
  Call->Message = soup_message_new("GET", Url.c_str());
  Call->Stop = g_cancellable_new();
  Call->MaxBytes = this->Opts.MaxValueBytes;
  Call->Timer =
      g_timeout_add(static_cast<guint>(Limit.count()), onTimeout, Call.get());
  Pending *Raw = Call.release();
  soup_session_send_and_read_async(this->Session, Raw->Message,
                                   G_PRIORITY_DEFAULT, Raw->Stop, onReply, Raw);
}

void HttpPlatform::get(const std::string &Key, TimePoint, GotValue Done) {
  this->send("/v1/values/" + Key, "platform-get", this->Opts.Timeout,
             [Done](const Result<std::pair<uint64_t, std::string>> &Got,
                    TimePoint At) {
               if (!Got)
                 return Done(Got.error(), At);
               Done(PlatformValue{Got->first, Got->second}, At);
             });
}

void HttpPlatform::watch(const std::vector<std::string> &Keys, uint64_t After,
                         Millis Wait, TimePoint, GotChanges Done) {
  std::string Path = "/v1/watch?after=" + std::to_string(After) +
                     "&wait_ms=" + std::to_string(Wait.count());
  for (const std::string &Key : Keys)
    Path += "&key=" + Key;
  std::string Peer = this->Opts.Address;
  this->send(
      Path, "platform-watch", Wait + WatchSlack,
      [Done, Peer](const Result<std::pair<uint64_t, std::string>> &Got,
                   TimePoint At) {
        if (!Got)
          return Done(Got.error(), At);
        FaultList Faults;
        auto Root = parseJson(Got->second, "watch", Faults);
        if (!Root || !Root->isObject() || !(*Root)["keys"].isObject())
          return Done(Error{Errc::BadMessage, "platform-watch", Peer,
                            "not a watch's answer"},
                      At);
        PlatformChanges Out;
        Out.Revision = Got->first;
        for (const std::string &Key : (*Root)["keys"].getMemberNames())
          if ((*Root)["keys"][Key].isUInt64())
            Out.Changed.push_back({Key, (*Root)["keys"][Key].asUInt64()});
        Done(Out, At);
      });
}

} // namespace hickorylift
