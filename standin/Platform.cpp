#include "standin/Flags.h"
#include "standin/Standin.h"

#include "base/HttpListen.h"
#include "base/Json.h"
#include "base/NetAddress.h"
#include "base/TokenBucket.h"
#include "config/RecordFile.h"
#include "harness/PlatformWriter.h"

#include <absl/flags/flag.h>
#include <libsoup/soup.h>

#include <fstream>
#include <iostream>
#include <list>
#include <sstream>

// The platform: values with revisions, read and watched over HTTP, as
// docs/PLATFORM.md gives it. Operators' writes and the switches for faults are
// under /admin and are no part of what nodes use.

namespace hickorylift::standin {

namespace {

struct Value {
  uint64_t Revision = 0;
  std::string Bytes;
};

class PlatformServer;

struct Waiting {
  PlatformServer *Owner;
  SoupServerMessage *Message;
  std::vector<std::string> Keys;
  uint64_t After;
  guint Timer;
};

class PlatformServer {
public:
  explicit PlatformServer(double Rate)
      : Server(soup_server_new(nullptr, nullptr)), Budget(Rate, Rate) {
    soup_server_add_handler(this->Server, "/v1", onRead, this, nullptr);
    soup_server_add_handler(this->Server, "/admin", onAdmin, this, nullptr);
  }

  bool listen(const std::string &At) {
    return static_cast<bool>(
        listenHttp(this->Server, *parseAddress(At), "listen"));
  }

private:
  static std::string text(GHashTable *Query, const char *Key) {
    const char *Found =
        Query ? static_cast<const char *>(g_hash_table_lookup(Query, Key))
              : nullptr;
    return Found ? Found : "";
  }

  static uint64_t number(GHashTable *Query, const char *Key) {
    return std::strtoull(text(Query, Key).c_str(), nullptr, 10);
  }

  static void answer(SoupServerMessage *To, unsigned Status, uint64_t Revision,
                     const std::string &Body) {
    soup_server_message_set_status(To, Status, nullptr);
    soup_message_headers_replace(soup_server_message_get_response_headers(To),
                                 "X-Revision",
                                 std::to_string(Revision).c_str());
    soup_server_message_set_response(To, "application/octet-stream",
                                     SOUP_MEMORY_COPY, Body.data(),
                                     Body.size());
  }

  // What a reader sees: an old copy while the switch is on.
  const std::map<std::string, Value> &seen() const {
    return this->Stale ? this->OldCopy : this->Values;
  }
  uint64_t seenRevision() const {
    return this->Stale ? this->OldRevision : this->Revision;
  }

  static void onRead(SoupServer *, SoupServerMessage *Message, const char *Path,
                     GHashTable *Query, gpointer Data) {
    auto *Self = static_cast<PlatformServer *>(Data);
    ++Self->Reads;
    if (Self->Outage)
      return answer(Message, 503, 0, "outage\n");
    if (!Self->Budget.take(Clock::now())) {
      ++Self->Refused;
      return answer(Message, 429, 0, "too many reads\n");
    }
    std::string Text = Path;
    if (Text == "/v1/watch")
      return Self->watch(Message, Query);
    std::string Key = Text.substr(std::min(Text.size(), strlen("/v1/values/")));
    auto Found = Self->seen().find(Key);
    if (Found == Self->seen().end())
      return answer(Message, 404, Self->seenRevision(), "no such key\n");
    answer(Message, 200, Found->second.Revision, Found->second.Bytes);
  }

  // soup parses a repeated query field into its last value only, so the keys
  // are read from the query itself.
  static std::vector<std::string> keysOf(SoupServerMessage *Message) {
    std::vector<std::string> Out;
    const char *Query = g_uri_get_query(soup_server_message_get_uri(Message));
    std::istringstream In(Query ? Query : "");
    for (std::string Field; std::getline(In, Field, '&');)
      if (Field.rfind("key=", 0) == 0) {
        char *Plain = g_uri_unescape_string(Field.c_str() + 4, nullptr);
        Out.push_back(Plain ? Plain : "");
        g_free(Plain);
      }
    return Out;
  }

  void watch(SoupServerMessage *Message, GHashTable *Query) {
    this->Watches.push_back(
        {this, Message, keysOf(Message), number(Query, "after"), 0});
    Waiting &New = this->Watches.back();
    soup_server_message_pause(Message);
    g_object_ref(Message);
    g_signal_connect(Message, "finished", G_CALLBACK(onGone), &New);
    if (this->tell(New, /*Always=*/false))
      return;
    New.Timer = g_timeout_add(
        static_cast<guint>(std::max<uint64_t>(1, number(Query, "wait_ms"))),
        onWaited, &New);
  }

  static gboolean onWaited(gpointer Data) {
    auto *Of = static_cast<Waiting *>(Data);
    Of->Timer = 0;
    Of->Owner->tell(*Of, /*Always=*/true);
    return G_SOURCE_REMOVE;
  }

  static void onGone(SoupServerMessage *, gpointer Data) {
    auto *Of = static_cast<Waiting *>(Data);
    Of->Owner->drop(*Of);
  }

  void drop(Waiting &Of) {
    if (Of.Timer)
      g_source_remove(Of.Timer);
    g_signal_handlers_disconnect_by_data(Of.Message, &Of);
    g_object_unref(Of.Message);
    this->Watches.remove_if([&](const Waiting &One) { return &One == &Of; });
  }

  bool tell(Waiting &Of, bool Always) {
    Json::Value Out(Json::objectValue);
    Out["keys"] = Json::Value(Json::objectValue);
    for (const std::string &Key : Of.Keys) {
      auto Found = this->seen().find(Key);
      if (Found != this->seen().end() && Found->second.Revision > Of.After)
        Out["keys"][Key] = Json::UInt64(Found->second.Revision);
    }
    if (Out["keys"].empty() && !Always)
      return false;
    if (this->Outage)
      answer(Of.Message, 503, 0, "outage\n");
    else
      answer(Of.Message, 200, this->seenRevision(), writeJson(Out));
    soup_server_message_unpause(Of.Message);
    this->drop(Of);
    return true;
  }

  void tellAll(bool Always) {
    for (auto At = this->Watches.begin(); At != this->Watches.end();) {
      Waiting &One = *At++;
      this->tell(One, Always);
    }
  }

  static void onAdmin(SoupServer *, SoupServerMessage *Message,
                      const char *Path, GHashTable *Query, gpointer Data) {
    auto *Self = static_cast<PlatformServer *>(Data);
    std::string Text = Path;
    if (Text == "/admin/put") {
      SoupMessageBody *Body = soup_server_message_get_request_body(Message);
      GBytes *Bytes = soup_message_body_flatten(Body);
      gsize Size = 0;
      const char *At =
          static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
      Self->Values[text(Query, "key")] = {++Self->Revision,
                                          std::string(At ? At : "", Size)};
      g_bytes_unref(Bytes);
      Self->tellAll(/*Always=*/false);
    } else if (Text == "/admin/outage") {
      Self->Outage = number(Query, "on") != 0;
      if (Self->Outage)
        Self->tellAll(/*Always=*/true);
    } else if (Text == "/admin/keep-copy") {
      Self->OldCopy = Self->Values;
      Self->OldRevision = Self->Revision;
    } else if (Text == "/admin/stale") {
      Self->Stale = number(Query, "on") != 0;
    }
    Json::Value Out(Json::objectValue);
    Out["revision"] = Json::UInt64(Self->Revision);
    Out["reads"] = Json::UInt64(Self->Reads);
    Out["refused"] = Json::UInt64(Self->Refused);
    Out["watches"] = Json::UInt64(Self->Watches.size());
    answer(Message, 200, Self->Revision, writeJson(Out) + "\n");
  }

  SoupServer *Server;
  TokenBucket Budget;
  std::map<std::string, Value> Values;
  std::map<std::string, Value> OldCopy;
  std::list<Waiting> Watches;
  uint64_t Revision = 0;
  uint64_t OldRevision = 0;
  uint64_t Reads = 0;
  uint64_t Refused = 0;
  bool Outage = false;
  bool Stale = false;
};

std::string readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace

int runPlatform() {
  double Rate = absl::GetFlag(FLAGS_rate);
  PlatformServer Server(Rate);
  if (!Server.listen(absl::GetFlag(FLAGS_listen)))
    return 1;
  std::cout << "ready\n" << std::flush;
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
  return 0;
}

int runPublish() {
  FaultList Faults;
  std::string Path = absl::GetFlag(FLAGS_records);
  std::optional<EntryMap> Records =
      readRecordFile(readFile(Path), Path, Faults);
  std::cerr << faultTexts(Faults);
  if (!Records)
    return 1;
  RecordHashes Unknown;
  return harness::publishVersion(absl::GetFlag(FLAGS_platform),
                                 absl::GetFlag(FLAGS_version), *Records,
                                 Unknown)
             ? 0
             : 3;
}

int runList() {
  std::string Text = readFile(absl::GetFlag(FLAGS_file));
  return harness::putValue(absl::GetFlag(FLAGS_platform),
                           "instances/" + absl::GetFlag(FLAGS_data_centre),
                           Text)
             ? 0
             : 3;
}

} // namespace hickorylift::standin
