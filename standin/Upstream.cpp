#include "standin/Flags.h"
#include "standin/Standin.h"

#include "base/Hash.h"
#include "base/HttpListen.h"
#include "base/Json.h"
#include "base/NetAddress.h"
#include "base/Time.h"

#include <absl/flags/flag.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include <sys/socket.h>

// An upstream. The query says what a call does: ms, how long it takes; size,
// how large its answer is; cut=1, break the answer off in the middle; drop=1,
// close the connection without an answer; endless=FORM, send bytes without end
// in place of an answer, see endlessBytes(); crash=MS, end all connections and
// close the port for so long, as a process does that crashes and is started
// again. It counts
// executions by the header X-Call-Id, so that a test can hold "not run" against
// what really ran, and tells the hash of the body that it got. /admin/leave
// says how long it still takes calls, and what comes later is counted;
// /admin/stay takes that back; /admin/crash?ms= crashes it by itself.
// /admin/state?rate=&leaving= is what its answers state from now on: the calls
// per second that it takes, and that it is leaving; both end where they are not
// given, or with a crash. It counts the calls of which a window had more than
// it tolerates at that rate, and those that come too late after it has stated
// that it is leaving. While it is cold (--cold_ms, --cold_most) its health says
// for how long, and it crashes under more calls in a second than it bears,
// which is counted.

namespace hickorylift::standin {

namespace {

constexpr unsigned ColdFactor = 3;
constexpr guint CrashDelayMs = 5;
constexpr Millis ColdSpan{1000};
constexpr uint64_t OverrunBackMs = 1000;
// Calls are held against the stated rate over this window, from so long after
// the rate was stated; what is tolerated there.
constexpr Millis RateWindow{4000};
constexpr Millis RateGrace{3000};
constexpr double RateFactor = 1.5;
constexpr double RateExtra = 5;
// How long it takes calls after its first answer that states that it leaves.
constexpr Millis LeavingDrain{2000};

// A turn of an endless answer sends this much at most.
constexpr size_t EndlessPieceBytes = 256 * 1024;

class UpstreamServer;

/// Bytes that go on without end, after Begin.
struct EndlessBytes {
  std::string Begin;
  std::string Repeated;
};

/// What an upstream in trouble sends; nothing for an unknown form.
std::optional<EndlessBytes> endlessBytes(const std::string &Form) {
  static const std::string Head = "HTTP/1.1 200 OK\r\n";
  static const std::string Chunked =
      Head + "Transfer-Encoding: chunked\r\n\r\n";
  static const std::map<std::string, EndlessBytes> Forms = {
      {"line", {"HTTP/1.1 200 ", "x"}},
      {"fields", {Head, "A: b\r\n"}},
      {"interim", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
      {"empty-lines", {"", "\r\n"}},
      {"extension", {Chunked + "5;", "x"}},
      {"trailer", {Chunked + "0\r\n", "A: b\r\n"}},
      {"chunks", {Chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n"}},
      {"short-chunks", {Chunked, "1\r\nx\r\n"}},
      {"body", {Head + "\r\n", "x"}},
      {"behind", {Head + "Content-Length: 2\r\n\r\nab", "x"}},
  };
  auto Found = Forms.find(Form);
  return Found == Forms.end() ? std::nullopt : std::optional(Found->second);
}

struct Flood {
  UpstreamServer *Owner;
  GIOStream *Stream;
  GSocket *Socket;
  std::string Next;
  std::string Piece;
};

struct Job {
  UpstreamServer *Owner;
  SoupServerMessage *Message;
  uint64_t Size;
  bool Cut;
  bool Drop;
  std::optional<EndlessBytes> Endless;
  guint Timer;
  GSource *Watch;
};

class UpstreamServer {
public:
  UpstreamServer()
      : Server(soup_server_new(nullptr, nullptr)), Start(Clock::now()) {
    soup_server_add_handler(this->Server, nullptr, onWork, this, nullptr);
    soup_server_add_handler(this->Server, "/health", onHealth, this, nullptr);
    soup_server_add_handler(this->Server, "/admin", onAdmin, this, nullptr);
    g_signal_connect(this->Server, "request-started",
                     G_CALLBACK(onRequestStarted), this);
  }

  bool listen(const std::string &At) {
    this->Address = *parseAddress(At);
    return static_cast<bool>(listenHttp(this->Server, this->Address, "listen"));
  }

private:
  static uint64_t number(GHashTable *Query, const char *Key, uint64_t Default) {
    const char *Found =
        Query ? static_cast<const char *>(g_hash_table_lookup(Query, Key))
              : nullptr;
    return Found ? std::strtoull(Found, nullptr, 10) : Default;
  }

  static std::string text(GHashTable *Query, const char *Key) {
    const char *Found =
        Query ? static_cast<const char *>(g_hash_table_lookup(Query, Key))
              : nullptr;
    return Found ? Found : "";
  }

  static void onWork(SoupServer *, SoupServerMessage *Message, const char *,
                     GHashTable *Query, gpointer Data) {
    auto *Self = static_cast<UpstreamServer *>(Data);
    SoupMessageHeaders *Asked =
        soup_server_message_get_request_headers(Message);
    SoupMessageHeaders *Headers =
        soup_server_message_get_response_headers(Message);
    Self->countAgainstRate();
    if (Self->Running >= absl::GetFlag(FLAGS_slots)) {
      ++Self->Shed;
      Self->addStatement(Headers);
      soup_message_headers_replace(Headers, "X-Shed", "1");
      soup_server_message_set_status(Message, 503, nullptr);
      return;
    }
    const char *Id = soup_message_headers_get_one(Asked, "X-Call-Id");
    if (Id)
      ++Self->Executions[Id];
    ++Self->Total;
    if (Self->overrun()) {
      ++Self->Overruns;
      Self->crash(OverrunBackMs, "");
      return;
    }
    if (uint64_t Back = number(Query, "crash", 0)) {
      Self->crash(Back, Id ? Id : "");
      return;
    }
    if (Self->Draining)
      ++Self->AfterDrain;
    if (Self->TakesUntil && Clock::now() > *Self->TakesUntil)
      Self->Late.emplace_back(toMillis(Clock::now() - *Self->TakesUntil),
                              Id ? Id : "");
    GBytes *Body = soup_message_body_flatten(
        soup_server_message_get_request_body(Message));
    gsize Size = 0;
    const char *At = static_cast<const char *>(g_bytes_get_data(Body, &Size));
    std::string_view Got(At ? At : "", Size);
    soup_message_headers_replace(Headers, "X-Body-Hash",
                                 hexHash(contentHash(Got)).c_str());
    soup_message_headers_replace(Headers, "X-Body-Size",
                                 std::to_string(Size).c_str());
    g_bytes_unref(Body);
    if (Id)
      soup_message_headers_replace(Headers, "X-Call-Id", Id);
    uint64_t Ms = number(Query, "ms", 0);
    if (Self->coldLeft() > Clock::duration::zero())
      Ms *= ColdFactor;
    auto *Of = new Job{Self,
                       Message,
                       number(Query, "size", 2),
                       number(Query, "cut", 0) != 0,
                       number(Query, "drop", 0) != 0,
                       endlessBytes(text(Query, "endless")),
                       0,
                       nullptr};
    ++Self->Running;
    if (Ms == 0)
      return finish(Of);
    g_object_ref(Message);
    Self->Paused.insert(Of);
    soup_server_message_pause(Message);
    g_signal_connect(Message, "finished", G_CALLBACK(onGone), Of);
    Of->Timer = g_timeout_add(static_cast<guint>(Ms), onDone, Of);
    // A paused message's socket is not looked at by the library.
    Of->Watch = g_socket_create_source(soup_server_message_get_socket(Message),
                                       G_IO_IN, nullptr);
    g_source_set_callback(Of->Watch, G_SOURCE_FUNC(onReadable), Of, nullptr);
    g_source_attach(Of->Watch, nullptr);
  }

  void countAgainstRate() {
    TimePoint Now = Clock::now();
    this->Arrivals.push_back(Now);
    while (Now - this->Arrivals.front() >= RateWindow)
      this->Arrivals.pop_front();
    if (this->StatedRate.empty())
      return;
    ++this->SinceStated;
    double Tolerated = RateFactor * std::stod(this->StatedRate) *
                           std::chrono::duration<double>(RateWindow).count() +
                       RateExtra;
    this->OverRate += Now >= this->StatedAt + RateGrace &&
                      static_cast<double>(this->Arrivals.size()) > Tolerated;
  }

  void addStatement(SoupMessageHeaders *Headers) {
    if (!this->StatedRate.empty())
      soup_message_headers_replace(Headers, "Hickorylift-Rate-Limit",
                                   this->StatedRate.c_str());
    if (!this->StatesLeaving)
      return;
    soup_message_headers_replace(Headers, "Hickorylift-Leaving", "1");
    if (!this->TakesUntil)
      this->TakesUntil = Clock::now() + LeavingDrain;
  }

  void state(const std::string &Rate, bool Leaving) {
    this->StatedRate = Rate;
    this->StatedAt = Clock::now();
    this->SinceStated = 0;
    this->StatesLeaving = Leaving;
  }

  Clock::duration coldLeft() const {
    TimePoint Until = this->Start + Millis(absl::GetFlag(FLAGS_cold_ms));
    return std::max(Clock::duration::zero(), Until - Clock::now());
  }

  // Counts a call, and tells whether it is one more than it bears.
  bool overrun() {
    uint32_t Most = absl::GetFlag(FLAGS_cold_most);
    if (Most == 0 || this->coldLeft() == Clock::duration::zero())
      return false;
    TimePoint Now = Clock::now();
    this->ColdCalls.push_back(Now);
    while (Now - this->ColdCalls.front() >= ColdSpan)
      this->ColdCalls.pop_front();
    return this->ColdCalls.size() > Most;
  }

  // All connections that there are, also those that nobody uses just now.
  static void onRequestStarted(SoupServer *, SoupServerMessage *Message,
                               gpointer Data) {
    auto *Self = static_cast<UpstreamServer *>(Data);
    GSocket *Socket = soup_server_message_get_socket(Message);
    if (Socket && Self->Connections.insert(Socket).second)
      g_object_weak_ref(G_OBJECT(Socket), onSocketGone, Self);
  }
  static void onSocketGone(gpointer Data, GObject *Socket) {
    static_cast<UpstreamServer *>(Data)->Connections.erase(
        reinterpret_cast<GSocket *>(Socket));
  }

  struct CrashDue {
    UpstreamServer *Of;
    uint64_t BackAfterMs;
  };
  static gboolean onCrashDue(gpointer Data) {
    std::unique_ptr<CrashDue> Due(static_cast<CrashDue *>(Data));
    Due->Of->crash(Due->BackAfterMs, "");
    return G_SOURCE_REMOVE;
  }

  void crash(uint64_t BackAfterMs, const std::string &By) {
    this->Crashes.emplace_back(toMillis(Clock::now().time_since_epoch()), By);
    // What runs ends with the process, and holds no slot of the next one.
    for (Job *One : std::set<Job *>(this->Paused))
      onGone(nullptr, One);
    for (GSocket *One : this->Connections)
      g_socket_shutdown(One, TRUE, TRUE, nullptr);
    soup_server_disconnect(this->Server);
    this->state("", /*Leaving=*/false);
    this->TakesUntil.reset();
    g_timeout_add(static_cast<guint>(BackAfterMs), onBack, this);
  }
  static gboolean onBack(gpointer Data) {
    auto *Self = static_cast<UpstreamServer *>(Data);
    bool Open =
        static_cast<bool>(listenHttp(Self->Server, Self->Address, "listen"));
    Self->Start = Clock::now();
    Self->ColdCalls.clear();
    return Open ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
  }

  static gboolean onReadable(GSocket *Socket, GIOCondition, gpointer Data) {
    char Byte = 0;
    if (recv(g_socket_get_fd(Socket), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
      return G_SOURCE_CONTINUE;
    onGone(nullptr, Data);
    return G_SOURCE_REMOVE;
  }

  static void stopWatch(Job *Of) {
    Of->Owner->Paused.erase(Of);
    g_source_destroy(Of->Watch);
    g_source_unref(Of->Watch);
  }

  static gboolean onDone(gpointer Data) {
    auto *Of = static_cast<Job *>(Data);
    SoupServerMessage *Message = Of->Message;
    g_signal_handlers_disconnect_by_data(Message, Of);
    stopWatch(Of);
    finish(Of);
    soup_server_message_unpause(Message);
    g_object_unref(Message);
    return G_SOURCE_REMOVE;
  }

  // The caller broke off before the end.
  static void onGone(SoupServerMessage *, gpointer Data) {
    auto *Of = static_cast<Job *>(Data);
    ++Of->Owner->Cancelled;
    --Of->Owner->Running;
    g_source_remove(Of->Timer);
    stopWatch(Of);
    g_signal_handlers_disconnect_by_data(Of->Message, Of);
    g_object_unref(Of->Message);
    delete Of;
  }

  static void startFlood(UpstreamServer *Owner, SoupServerMessage *Message,
                         const EndlessBytes &Bytes) {
    auto *New = new Flood{Owner, nullptr, nullptr, Bytes.Begin, ""};
    while (New->Piece.size() < EndlessPieceBytes)
      New->Piece += Bytes.Repeated;
    New->Socket =
        G_SOCKET(g_object_ref(soup_server_message_get_socket(Message)));
    New->Stream = soup_server_message_steal_connection(Message);
    ++Owner->Floods;
    g_socket_set_blocking(New->Socket, FALSE);
    GSource *Writable = g_socket_create_source(New->Socket, G_IO_OUT, nullptr);
    g_source_set_callback(Writable, G_SOURCE_FUNC(onWritable), New, nullptr);
    g_source_attach(Writable, nullptr);
    g_source_unref(Writable);
  }

  static gboolean onWritable(GSocket *Socket, GIOCondition, gpointer Data) {
    auto *Of = static_cast<Flood *>(Data);
    if (Of->Next.empty())
      Of->Next = Of->Piece;
    GError *Why = nullptr;
    gssize Went =
        g_socket_send(Socket, Of->Next.data(), Of->Next.size(), nullptr, &Why);
    bool Full = Why && g_error_matches(Why, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&Why);
    if (Went > 0)
      Of->Next.erase(0, static_cast<size_t>(Went));
    if (Went > 0 || Full)
      return G_SOURCE_CONTINUE;
    --Of->Owner->Floods;
    g_io_stream_close(Of->Stream, nullptr, nullptr);
    g_object_unref(Of->Stream);
    g_object_unref(Of->Socket);
    delete Of;
    return G_SOURCE_REMOVE;
  }

  static void finish(Job *Of) {
    --Of->Owner->Running;
    if (Of->Endless) {
      startFlood(Of->Owner, Of->Message, *Of->Endless);
      delete Of;
      return;
    }
    soup_server_message_set_status(Of->Message, 200, nullptr);
    std::string Body(Of->Size, 'x');
    for (size_t I = 0; I < Body.size(); ++I)
      Body[I] = static_cast<char>('a' + (I * 7 + I / 251) % 26);
    SoupMessageHeaders *Headers =
        soup_server_message_get_response_headers(Of->Message);
    soup_message_headers_replace(Headers, "X-Answer-Hash",
                                 hexHash(contentHash(Body)).c_str());
    Of->Owner->addStatement(Headers);
    if (Of->Drop)
      g_socket_shutdown(soup_server_message_get_socket(Of->Message), TRUE, TRUE,
                        nullptr);
    if (Of->Cut) {
      GSocket *Socket = soup_server_message_get_socket(Of->Message);
      std::string Half =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
          "\r\n\r\n" + Body.substr(0, Body.size() / 2);
      g_socket_set_blocking(Socket, TRUE);
      for (size_t Sent = 0; Sent < Half.size();) {
        gssize Went = g_socket_send(Socket, Half.data() + Sent,
                                    Half.size() - Sent, nullptr, nullptr);
        if (Went <= 0)
          break;
        Sent += static_cast<size_t>(Went);
      }
      g_socket_set_blocking(Socket, FALSE);
      g_socket_shutdown(Socket, TRUE, TRUE, nullptr);
    }
    soup_server_message_set_response(
        Of->Message, "text/plain", SOUP_MEMORY_COPY, Body.data(), Body.size());
    delete Of;
  }

  static gboolean onLagged(gpointer Data) {
    auto *Self = static_cast<UpstreamServer *>(Data);
    Self->SaysDraining = Self->Draining;
    return G_SOURCE_REMOVE;
  }

  static void text(SoupServerMessage *To, const std::string &Body) {
    soup_server_message_set_status(To, 200, nullptr);
    soup_server_message_set_response(To, "text/plain", SOUP_MEMORY_COPY,
                                     Body.data(), Body.size());
  }

  static void onHealth(SoupServer *, SoupServerMessage *Message, const char *,
                       GHashTable *, gpointer Data) {
    auto *Self = static_cast<UpstreamServer *>(Data);
    if (Self->coldLeft() > Clock::duration::zero())
      soup_message_headers_replace(
          soup_server_message_get_response_headers(Message),
          "Hickorylift-Cold-Left-Ms",
          std::to_string(toMillis(Self->coldLeft()).count()).c_str());
    text(Message, Self->SaysDraining ? "draining\n" : "ok\n");
  }

  static void onAdmin(SoupServer *, SoupServerMessage *Message,
                      const char *Path, GHashTable *Query, gpointer Data) {
    auto *Self = static_cast<UpstreamServer *>(Data);
    if (std::string(Path) == "/admin/drain") {
      Self->Draining = number(Query, "on", 1) != 0;
      g_timeout_add(absl::GetFlag(FLAGS_lag_ms), onLagged, Self);
    }
    // It leaves without a word, and takes calls for so long yet.
    if (std::string(Path) == "/admin/leave")
      Self->TakesUntil = Clock::now() + Millis(number(Query, "within", 0));
    if (std::string(Path) == "/admin/crash") {
      // After this answer is written.
      auto *Due = new CrashDue{Self, number(Query, "ms", 0)};
      g_timeout_add(CrashDelayMs, onCrashDue, Due);
    }
    if (std::string(Path) == "/admin/state")
      Self->state(text(Query, "rate"), number(Query, "leaving", 0) != 0);
    if (std::string(Path) == "/admin/stay")
      Self->TakesUntil.reset();
    Json::Value Out(Json::objectValue);
    Out["total"] = Json::UInt64(Self->Total);
    Out["shed"] = Json::UInt64(Self->Shed);
    Out["cancelled"] = Json::UInt64(Self->Cancelled);
    Out["after_drain"] = Json::UInt64(Self->AfterDrain);
    Out["late"] = Json::UInt64(Self->Late.size());
    for (const auto &[After, Call] : Self->Late)
      Out["late_calls"].append(Call + " by " + std::to_string(After.count()) +
                               " ms");
    Out["overruns"] = Json::UInt64(Self->Overruns);
    Out["over_rate"] = Json::UInt64(Self->OverRate);
    Out["since_stated"] = Json::UInt64(Self->SinceStated);
    Out["running"] = Json::UInt64(Self->Running);
    Out["floods"] = Json::UInt64(Self->Floods);
    Out["crashes"] = Json::Value(Json::arrayValue);
    for (const auto &[At, By] : Self->Crashes) {
      Json::Value One(Json::objectValue);
      One["at_ms"] = Json::Int64(At.count());
      One["call"] = By;
      Out["crashes"].append(One);
    }
    Out["executions"] = Json::Value(Json::objectValue);
    for (const auto &[Id, Count] : Self->Executions)
      Out["executions"][Id] = Json::UInt64(Count);
    text(Message, writeJson(Out) + "\n");
  }

  SoupServer *Server;
  NetAddress Address;
  std::set<GSocket *> Connections;
  // Calls that run.
  std::set<Job *> Paused;
  // Connections on which bytes without end are sent.
  uint64_t Floods = 0;
  // When, and under which call.
  std::vector<std::pair<Millis, std::string>> Crashes;
  // Of the process, or of the one that follows a crash.
  TimePoint Start;
  // Calls of the last second while it is cold.
  std::deque<TimePoint> ColdCalls;
  uint64_t Overruns = 0;
  // What its answers state, and the calls of the last window.
  std::string StatedRate;
  TimePoint StatedAt;
  bool StatesLeaving = false;
  std::deque<TimePoint> Arrivals;
  uint64_t SinceStated = 0;
  uint64_t OverRate = 0;
  std::map<std::string, uint64_t> Executions;
  uint64_t Total = 0;
  uint64_t Shed = 0;
  uint64_t Cancelled = 0;
  uint64_t AfterDrain = 0;
  // Calls that came too late, and by how much.
  std::vector<std::pair<Millis, std::string>> Late;
  std::optional<TimePoint> TakesUntil;
  uint64_t Running = 0;
  bool Draining = false;
  bool SaysDraining = false;
};

} // namespace

int runUpstream() {
  UpstreamServer Server;
  if (!Server.listen(absl::GetFlag(FLAGS_listen)))
    return 1;
  std::cout << "ready\n" << std::flush;
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
  return 0;
}

} // namespace hickorylift::standin
