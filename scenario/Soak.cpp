#include "harness/Fleet.h"

#include "base/Hash.h"
#include "base/Json.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>
#include <gio/gunixinputstream.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

// A randomized soak. Real nodes, upstreams and a platform run as processes on
// loopback; faults come from outside, by signals and by the wires between
// nodes, in series and overlapping; callers keep their connections open and go
// on calling. What is checked is what callers and upstreams saw:
//
//   a call that may not repeat ran at most once;
//   a call that was told "not run" never ran;
//   an answer is whole and the caller's own;
//   no process goes back to an older version while it lives;
//   a planned stop ends in order and in time;
//   an upstream that leaves the list, or whose data centre is evacuated, gets
//     no call after its drain time;
//   an upstream that has just started gets no more calls than it bears cold;
//   one that states a rate of calls in its answers gets no more than it
//   tolerates, and one that states that it leaves gets none after its drain;
//   a request that crashes its upstreams comes to no more, by nodes that
//     nothing disturbs, soon after the third;
//   once the faults are over, every node has the newest version.
//
//   soak --seed=7 --seeds=50 --seconds=10
//
// The seed gives the faults and the calls; when a process gets to run is the
// machine's. A seed that failed once is a row of Regressions below.

ABSL_FLAG(uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(uint64_t, seeds, 1, "how many seeds to run, counting up");
ABSL_FLAG(uint64_t, seconds, 10, "length of the faults in each run");
ABSL_FLAG(std::string, logs, "",
          "folder for the logs of seeds that break something");
ABSL_FLAG(bool, regressions, true, "run the seeds that failed once as well");

namespace hickorylift {

namespace {

/// Seeds that failed, each with its cause.
struct Regression {
  uint64_t Seed;
  const char *Cause;
};
const std::vector<Regression> Regressions = {
    {7, "a gate stayed open when its upstream's entry was taken away, and a "
        "slow caller's upload reached the upstream after its drain time"},
};

constexpr Millis CallEvery{15};
constexpr Millis Settle{12000};
// A planned stop ends within this: stop.within_ms below, and time to start.
constexpr Millis StopLimit{9000};
// An upstream that has left takes calls for so long yet.
constexpr Millis DrainTime{2500};
// A node hears in time of a leave if nothing has disturbed it for so long.
constexpr Millis QuietFor{3000};
constexpr int MaxConnections = 200;
// By the records and settings below, the bound for a cold upstream is twelve.
const char ColdMost[] = "--cold_most=12";
const char ColdLength[] = "--cold_ms=2000";
constexpr Millis StayAgain{100};
constexpr Millis StatementEvery{1500};
// An upstream holds its calls against a rate from so long after it stated it.
constexpr Millis RateEffect{3000};
// From an upstream's end to the next step of its replacement.
constexpr Millis ReplacedAfter{500};
// One request crashes its upstreams, and its caller insists. Whatever comes to
// an upstream this long after the third crash counts, and a few are allowed.
constexpr Millis MarkedEvery{200};
// A silent link is replaced after silence_ms below; whoever was disturbed knows
// again after that and a heartbeat.
constexpr Millis ToldWithin{1600};
constexpr size_t CountedCrashes = 3;
constexpr size_t LateAllowed = 3;
const char Marked[] = "/a/marked?crash=2000";

const char Settings[] =
    R"("spread": {"heartbeat_ms": 400, "silence_ms": 1200},)"
    R"("calls": {"ping_ms": 100, "silence_ms": 400, "find_again_ms": 1500,)"
    R"("connect_ms": 400}, "cold_start": {"overrun": 1.5, "slack": 3},)"
    R"("stop": {"within_ms": 6000, "linger_ms": 300})";

// Turns on the load features, which are off by default. Runs with an even seed
// use these settings, runs with an odd seed do not.
const char LoadSettings[] =
    R"(,"hedging": {"enabled": true, "max_percent": 10},)"
    R"("spillover": {"enabled": true, "start": 0.1, "full": 0.5},)"
    R"("slowdown": {"enabled": true}, "shedding": {"enabled": true},)"
    R"("returning_calls": {"enabled": true},)"
    R"("priority_reserve": {"enabled": true})";

std::string records(uint64_t Version) {
  std::string Out = "[";
  for (const char *Name : {"a", "b"})
    absl::StrAppend(&Out, *Name == 'a' ? "" : ",", R"({"kind":"service",)",
                    R"("name":")", Name, R"(","schema":2,)",
                    R"("warmup_ms":2000,"cold_per_s":6})");
  for (const char *Name : {"a", "b"})
    absl::StrAppend(&Out, R"(,{"kind":"route","name":")", Name,
                    R"(","schema":3,"match":{"prefix":"/)", Name,
                    R"(/"},"service":")", Name, R"(","idempotent":)",
                    *Name == 'a' ? "true" : "false",
                    R"(,"attempts":2,"timeout_ms":)", 1500 + Version, "}");
  // Uploads of slow callers, which are under way for longer than a drain.
  absl::StrAppend(&Out, R"(,{"kind":"route","name":"slow","schema":3,)",
                  R"("match":{"prefix":"/slow/"},"service":"b",)",
                  R"("idempotent":false,"timeout_ms":)", 8000 + Version, "}");
  return Out + "]";
}

/// One call as its caller sees it.
struct SoakCall {
  std::string Label;
  std::string Sent;
  std::string Outcome;
  bool Repeats = false;
  bool Whole = false;
  SoupMessage *Message = nullptr;
};

class SoakRun {
public:
  explicit SoakRun(uint64_t Seed)
      : All(options(Seed)), Seed(Seed), Random(Seed),
        StatementRandom(Seed + 1000003),
        Session(SOUP_SESSION(g_object_new(SOUP_TYPE_SESSION, "max-conns",
                                          MaxConnections, "max-conns-per-host",
                                          MaxConnections, "proxy-resolver",
                                          nullptr, "timeout", 10U, nullptr))) {
    for (const char *Place : {"north", "south"})
      for (const char *Service : {"a", "a", "b"}) {
        std::string Name = absl::StrCat(Place, "-", this->Names.size());
        this->All.addNode(Name, Place, Service, /*Wired=*/true);
        this->Names.push_back(Name);
      }
  }
  ~SoakRun() { g_object_unref(this->Session); }

  /// What was broken; empty if nothing.
  std::vector<std::string> run(Millis Length) {
    if (!this->All.startAll() || !this->publishNext() ||
        !this->All.waitFor([this] { return this->converged(); }))
      return {"the fleet did not start"};
    TimePoint End = Clock::now() + Length;
    TimePoint NextFault = Clock::now();
    while (Clock::now() < End) {
      this->call();
      this->callMarked();
      if (Clock::now() >= NextFault) {
        this->fault(End);
        NextFault = Clock::now() + Millis(this->draw(100, 700));
      }
      if (Clock::now() >= this->NextStatement) {
        this->statement();
        this->NextStatement = Clock::now() + StatementEvery;
      }
      this->doDue();
      this->All.runFor(CallEvery);
    }
    this->settle();
    this->judge();
    std::string Logs = absl::GetFlag(FLAGS_logs);
    if (!this->Broken.empty() && !Logs.empty())
      this->All.keepLogs(absl::StrCat(Logs, "/seed-", this->Seed));
    return this->Broken;
  }

  std::string summary() const {
    std::map<std::string, size_t> ByOutcome;
    for (const auto &[Label, One] : this->Calls)
      ++ByOutcome[One.Outcome.empty() ? "open" : One.Outcome];
    std::string Out;
    for (const auto &[Outcome, Count] : ByOutcome)
      absl::StrAppend(&Out, " ", Outcome, "=", Count);
    return absl::StrCat(Out, " faults=", this->Faults,
                        " crashes=", this->Crashes,
                        " late=", this->LateCrashes);
  }

private:
  static harness::Fleet::Options options(uint64_t Seed) {
    harness::Fleet::Options Out;
    Out.Settings = Settings;
    if (Seed % 2 == 0)
      Out.Settings += LoadSettings;
    Out.LogLevel = "info";
    Out.UpstreamFlags = {ColdMost, ColdLength};
    return Out;
  }

  uint64_t draw(uint64_t Low, uint64_t High) {
    return Low + this->Random() % (High - Low + 1);
  }
  const std::string &anyNode() {
    return this->Names[this->Random() % this->Names.size()];
  }
  void later(Millis In, std::function<void()> What) {
    this->Due.emplace(Clock::now() + In, std::move(What));
  }
  void doDue() {
    while (!this->Due.empty() && this->Due.begin()->first <= Clock::now()) {
      auto What = std::move(this->Due.begin()->second);
      this->Due.erase(this->Due.begin());
      What();
    }
  }

  bool publishNext() {
    ++this->Version;
    return this->All.publish(this->Version, records(this->Version));
  }
  bool converged() {
    for (const std::string &Name : this->Names)
      if (this->All.version(Name) != this->Version)
        return false;
    return true;
  }

  // The version that each node has; 0 for one that does not answer.
  std::string held() {
    std::string Out;
    for (const std::string &Name : this->Names)
      absl::StrAppend(&Out, " ", Name, "=", this->All.version(Name));
    return Out;
  }

  void post(const std::string &Address, const std::string &Path) {
    SoupMessage *Message =
        soup_message_new("POST", ("http://" + Address + Path).c_str());
    soup_session_send_async(this->Session, Message, G_PRIORITY_DEFAULT, nullptr,
                            nullptr, nullptr);
    g_object_unref(Message);
  }

  // Faults of one node follow each other; those of several overlap.
  void fault(TimePoint End) {
    ++this->Faults;
    std::string Name = this->anyNode();
    uint64_t Kind = this->draw(0, 9);
    bool Signals = Kind <= 2;
    // A stop needs its time, and one node is not signalled twice at once.
    if (Signals && (this->Busy.count(Name) || this->Busy.size() >= 3))
      return;
    switch (Kind) {
    case 0:
      return this->freeze(Name);
    case 1:
      return this->kill(Name);
    case 2:
      return Clock::now() + Millis(2000) < End ? this->stop(Name) : void();
    case 3:
      return this->wire(Name, "silence");
    case 4:
      return this->wire(Name, "cut");
    case 5:
      return this->outage();
    case 6:
      return this->leave(Name);
    case 7:
      return this->crash(Name);
    case 8:
      return this->evacuate(this->All.node(Name).DataCentre);
    default:
      if (!this->publishNext())
        --this->Version;
    }
  }

  // What upstreams state has a generator of its own, so that the other faults
  // of a seed do not depend on it.
  void statement() {
    auto Draw = [this](uint64_t Least, uint64_t Most) {
      return Least + this->StatementRandom() % (Most - Least + 1);
    };
    std::string Name = this->Names[Draw(0, this->Names.size() - 1)];
    Millis Length(Draw(2500, 4500));
    if (Draw(0, 3) == 0)
      return this->leaveByAnswer(Name, Length);
    if (!this->Stating.insert(Name).second)
      return;
    this->post(
        this->All.node(Name).Upstream,
        absl::StrCat("/admin/state?rate=", Draw(0, 30), ".", Draw(0, 9)));
    this->later(Length + RateEffect, [this, Name] {
      this->post(this->All.node(Name).Upstream, "/admin/state?");
      this->Stating.erase(Name);
    });
  }

  // The upstream says so in its answers, then leaves the list, ends, and comes
  // back as another one.
  void leaveByAnswer(const std::string &Name, Millis Length) {
    if (this->Busy.count(Name) || !this->Stating.insert(Name).second)
      return;
    using ListedAs = harness::Fleet::ListedAs;
    this->Busy.insert(Name);
    const std::string &Upstream = this->All.node(Name).Upstream;
    this->post(Upstream, "/admin/state?leaving=1");
    this->later(Length,
                [this, Name] { this->All.list(Name, ListedAs::Removed); });
    this->later(Length + ReplacedAfter, [this, Upstream] {
      this->post(Upstream, "/admin/crash?ms=100");
    });
    this->later(Length + 2 * ReplacedAfter, [this, Name] {
      this->All.list(Name, ListedAs::Live);
      this->Stating.erase(Name);
      this->rest(Name);
    });
  }

  void freeze(const std::string &Name) {
    this->disturb(Name);
    this->All.signal(Name, SIGSTOP);
    this->later(Millis(this->draw(50, 1500)), [this, Name] {
      this->All.signal(Name, SIGCONT);
      this->rest(Name);
    });
  }
  void kill(const std::string &Name) {
    this->disturb(Name);
    this->All.signal(Name, SIGKILL);
    this->later(Millis(this->draw(100, 1000)), [this, Name] {
      this->restart(Name);
      this->rest(Name);
    });
  }
  void disturb(const std::string &Name) {
    this->Busy.insert(Name);
    this->Disturbed[Name].push_back({Clock::now(), std::nullopt});
  }
  void rest(const std::string &Name) {
    this->Busy.erase(Name);
    this->QuietSince[Name] = Clock::now();
    if (!this->Disturbed[Name].empty())
      this->Disturbed[Name].back().End = Clock::now();
  }
  // Whether nothing disturbed the node at that time, and for long before.
  bool wasQuiet(const std::string &Name, TimePoint At) const {
    auto Found = this->Disturbed.find(Name);
    if (Found == this->Disturbed.end())
      return true;
    return std::none_of(Found->second.begin(), Found->second.end(),
                        [At](const Disturbance &One) {
                          TimePoint End = One.End.value_or(TimePoint::max());
                          return One.Start <= At && End > At - ToldWithin;
                        });
  }
  void restart(const std::string &Name) {
    this->checkOrder(Name);
    // The next process writes from the start of the same file.
    this->All.writeFile(Name + ".log", "");
    this->All.startNode(Name);
  }
  // The log of one process names each version that it put in force.
  void checkOrder(const std::string &Name) {
    std::istringstream In(this->All.readFile(Name + ".log"));
    const std::string Mark = "event=version-in-force subject=";
    uint64_t Last = 0;
    for (std::string Line; std::getline(In, Line);) {
      size_t At = Line.find(Mark);
      if (At == std::string::npos)
        continue;
      uint64_t Next =
          std::strtoull(Line.c_str() + At + Mark.size(), nullptr, 10);
      if (Next < Last)
        this->Broken.push_back(absl::StrCat(Name, ": went back from version ",
                                            Last, " to ", Next));
      Last = Next;
    }
  }
  void stop(const std::string &Name) {
    this->disturb(Name);
    this->All.signal(Name, SIGTERM);
    this->awaitStop(Name, Clock::now());
  }
  void awaitStop(const std::string &Name, TimePoint Since) {
    std::optional<int> Status = this->All.exited(Name);
    bool TooLong = Clock::now() - Since > StopLimit;
    if (!Status && !TooLong)
      return this->later(Millis(50),
                         [this, Name, Since] { this->awaitStop(Name, Since); });
    if (!Status || *Status != 0)
      this->Broken.push_back(Name + ": its planned stop did not end in order");
    this->restart(Name);
    this->rest(Name);
  }
  // Its links, and the news on them, go by the wire.
  void wire(const std::string &Name, const std::string &How) {
    TimePoint Now = Clock::now();
    this->Disturbed[Name].push_back({Now, Now});
    this->post(this->All.node(Name).WireAdmin, "/" + How);
  }
  void outage() {
    if (Clock::now() < this->NoOutageUntil)
      return;
    Millis Length(this->draw(300, 2500));
    this->PlatformQuietSince =
        std::max(this->PlatformQuietSince, Clock::now() + Length);
    this->post(this->All.platformAddress(), "/admin/outage?on=1");
    this->later(Length, [this] {
      this->post(this->All.platformAddress(), "/admin/outage?on=0");
    });
  }

  // Whoever leaves is judged by its upstream, which must not forget.
  void crash(const std::string &Name) {
    if (this->Busy.count(Name))
      return;
    this->post(this->All.node(Name).Upstream,
               absl::StrCat("/admin/crash?ms=", this->draw(100, 1500)));
  }

  // Whether its node and the platform were left alone for so long that it hears
  // in time of what is written now. Others are not judged.
  bool hearsInTime(const std::string &Name) {
    TimePoint Now = Clock::now();
    return Now - this->QuietSince[Name] > QuietFor &&
           Now - this->PlatformQuietSince > QuietFor && !this->Busy.count(Name);
  }

  // One data centre at a time. Its upstreams are left alone by all other faults
  // of this kind meanwhile.
  void evacuate(const std::string &DataCentre) {
    if (std::exchange(this->Evacuating, true))
      return;
    std::vector<std::string> Judged;
    for (const std::string &Name : this->Names)
      if (this->All.node(Name).DataCentre == DataCentre &&
          this->hearsInTime(Name))
        Judged.push_back(Name);
    this->NoOutageUntil = Clock::now() + DrainTime;
    this->All.put("evacuations",
                  absl::StrCat(R"({"data_centres":[")", DataCentre, R"("]})"));
    for (const std::string &Name : Judged) {
      this->Busy.insert(Name);
      this->All.askUpstream(
          Name, absl::StrCat("/admin/leave?within=", DrainTime.count()));
    }
    this->later(Millis(this->draw(2600, 5000)),
                [this, Judged] { this->endEvacuation(Judged); });
  }

  // One after the other; the last one's answer ends it.
  void endEvacuation(std::vector<std::string> Judged) {
    if (Judged.empty()) {
      this->All.put("evacuations", R"({"data_centres":[]})");
      this->Evacuating = false;
      return;
    }
    std::string Name = Judged.back();
    Judged.pop_back();
    this->stays(Name, [this, Name, Judged] {
      this->rest(Name);
      this->endEvacuation(Judged);
    });
  }

  // The upstream hears that it stays before any gate can. One that has crashed
  // is asked again until it is back.
  void stays(const std::string &Name, const std::function<void()> &Then) {
    if (!this->All.askUpstream(Name, "/admin/stay").isNull())
      return Then();
    this->later(StayAgain, [this, Name, Then] { this->stays(Name, Then); });
  }

  // Its entry is marked, or only taken away. Whoever could not hear of it in
  // time is not judged: so its node and the platform are left alone meanwhile.
  void leave(const std::string &Name) {
    if (!this->hearsInTime(Name))
      return;
    TimePoint Now = Clock::now();
    this->Busy.insert(Name);
    this->NoOutageUntil = Now + DrainTime;
    using ListedAs = harness::Fleet::ListedAs;
    this->All.list(Name,
                   this->draw(0, 1) ? ListedAs::Leaving : ListedAs::Removed);
    const std::string &Upstream = this->All.node(Name).Upstream;
    this->post(Upstream,
               absl::StrCat("/admin/leave?within=", DrainTime.count()));
    this->later(Millis(this->draw(2600, 4000)), [this, Name] {
      this->stays(Name, [this, Name] {
        this->All.list(Name, ListedAs::Live);
        this->rest(Name);
      });
    });
  }

  // The same request each time, at any node.
  void callMarked() {
    if (Clock::now() < this->NextMarked)
      return;
    this->NextMarked = Clock::now() + MarkedEvery;
    std::string Node = this->anyNode();
    SoakCall &New = this->newCall();
    New.Repeats = true;
    this->MarkedAt[New.Label] = Node;
    this->send(New, "GET", this->All.node(Node).Callers + Marked);
  }

  SoakCall &newCall() {
    std::string Label = "c" + std::to_string(++this->LastCall);
    SoakCall &New = this->Calls[Label];
    New.Label = Label;
    return New;
  }

  void call() {
    bool Repeats = this->draw(0, 1) == 0;
    bool Slow = !Repeats && this->draw(0, 7) == 0;
    SoakCall &New = this->newCall();
    New.Repeats = Repeats;
    std::string To = absl::StrCat(this->All.node(this->anyNode()).Callers,
                                  Repeats ? "/a/"
                                  : Slow  ? "/slow/"
                                          : "/b/",
                                  New.Label, "?ms=", this->draw(1, 120),
                                  "&size=", this->draw(1, 20000));
    if (!Repeats)
      New.Sent.assign(this->draw(1, 60000),
                      static_cast<char>('a' + New.Label[1]));
    this->send(New, Repeats ? "GET" : "POST", To, Slow);
  }

  void send(SoakCall &New, const char *Method, const std::string &To,
            bool Slow = false) {
    New.Message = soup_message_new(Method, ("http://" + To).c_str());
    soup_message_headers_append(soup_message_get_request_headers(New.Message),
                                "X-Call-Id", New.Label.c_str());
    if (Slow) {
      this->sendSlowly(New);
    } else if (!New.Sent.empty()) {
      GBytes *Body = g_bytes_new_static(New.Sent.data(), New.Sent.size());
      soup_message_set_request_body_from_bytes(New.Message, "text/plain", Body);
      g_bytes_unref(Body);
    }
    soup_session_send_and_read_async(this->Session, New.Message,
                                     G_PRIORITY_DEFAULT, nullptr, onAnswer,
                                     &New);
  }

  // The second half of its body comes seconds later.
  void sendSlowly(SoakCall &Of) {
    int Ends[2] = {-1, -1};
    if (pipe2(Ends, O_CLOEXEC) != 0)
      std::abort();
    GInputStream *From = g_unix_input_stream_new(Ends[0], TRUE);
    soup_message_set_request_body(Of.Message, "text/plain", From,
                                  static_cast<gssize>(Of.Sent.size()));
    g_object_unref(From);
    size_t Half = Of.Sent.size() / 2;
    // A pipe takes as much as any of these bodies without a reader.
    auto Write = [To = Ends[1], Body = Of.Sent](size_t At, size_t Size) {
      return write(To, Body.data() + At, Size) == static_cast<ssize_t>(Size);
    };
    Write(0, Half);
    this->later(Millis(this->draw(500, 5000)),
                [Write, Half, To = Ends[1], Rest = Of.Sent.size() - Half] {
                  // Nobody may read any more: the call was refused.
                  Write(Half, Rest);
                  ::close(To);
                });
  }

  static void onAnswer(GObject *Source, GAsyncResult *Got, gpointer Data) {
    auto *Of = static_cast<SoakCall *>(Data);
    GBytes *Body =
        soup_session_send_and_read_finish(SOUP_SESSION(Source), Got, nullptr);
    SoupMessageHeaders *Headers =
        soup_message_get_response_headers(Of->Message);
    auto Field = [&](const char *Name) {
      const char *Found = soup_message_headers_get_one(Headers, Name);
      return std::string(Found ? Found : "");
    };
    Of->Outcome = "broken";
    if (Body) {
      gsize Size = 0;
      const char *At = static_cast<const char *>(g_bytes_get_data(Body, &Size));
      Of->Outcome = Field("Hickorylift-Outcome");
      Of->Whole =
          Field("X-Answer-Hash") ==
              hexHash(contentHash(std::string_view(At ? At : "", Size))) &&
          Field("X-Body-Hash") == hexHash(contentHash(Of->Sent)) &&
          Field("X-Call-Id") == Of->Label;
      g_bytes_unref(Body);
    }
    g_clear_object(&Of->Message);
  }

  // Faults end, every process is back, and every call has its outcome.
  void settle() {
    this->All.waitFor([this] {
      this->doDue();
      return this->Due.empty();
    });
    this->post(this->All.platformAddress(), "/admin/outage?on=0");
    TimePoint GiveUp = Clock::now() + Settle;
    bool Same = this->All.waitFor(
        [&] { return this->converged() || Clock::now() > GiveUp; });
    if (!Same || !this->converged())
      this->Broken.push_back(absl::StrCat("not every node has version ",
                                          this->Version,
                                          " after the faults:", this->held()));
    this->All.waitFor([this] {
      for (const auto &[Label, One] : this->Calls)
        if (One.Message)
          return false;
      return true;
    });
  }

  // A node that was disturbed may not know yet, neither as the one that took
  // the request nor as the one that handed it on.
  void judgeMarked() {
    struct Ran {
      TimePoint At;
      std::string Gate;
      std::string Label;
    };
    std::vector<Ran> All;
    for (const std::string &Name : this->Names) {
      Json::Value Counters = this->All.upstreamCounters(Name);
      for (const Json::Value &One : Counters["crashes"])
        // Others are of no request.
        if (!One["call"].asString().empty())
          All.push_back({TimePoint(Millis(One["at_ms"].asInt64())), Name,
                         One["call"].asString()});
    }
    std::sort(All.begin(), All.end(),
              [](const Ran &A, const Ran &B) { return A.At < B.At; });
    this->Crashes = All.size();
    if (All.size() < CountedCrashes)
      return;
    TimePoint Known = All[CountedCrashes - 1].At + ToldWithin;
    std::string Late;
    for (const Ran &One : All) {
      const std::string &Entry = this->MarkedAt[One.Label];
      if (One.At <= Known || !this->wasQuiet(Entry, One.At) ||
          !this->wasQuiet(One.Gate, One.At))
        continue;
      ++this->LateCrashes;
      absl::StrAppend(&Late, " ", One.Label, " from ", Entry, " at ", One.Gate);
    }
    if (this->LateCrashes > LateAllowed)
      this->Broken.push_back(absl::StrCat(
          "a request that had crashed three upstreams went on:", Late));
  }

  void judge() {
    this->judgeMarked();
    for (const std::string &Name : this->Names)
      this->checkOrder(Name);
    std::map<std::string, uint64_t> Runs;
    for (const std::string &Name : this->Names) {
      Json::Value Counters = this->All.upstreamCounters(Name);
      if (uint64_t Late = Counters["late"].asUInt64())
        this->Broken.push_back(absl::StrCat(
            Name, ": ", Late, " calls reached its upstream after its drain: ",
            writeJson(Counters["late_calls"])));
      if (uint64_t Overruns = Counters["overruns"].asUInt64())
        this->Broken.push_back(absl::StrCat(
            Name, ": its cold upstream had more calls than it bears, ",
            Overruns, " times"));
      if (uint64_t Over = Counters["over_rate"].asUInt64())
        this->Broken.push_back(
            absl::StrCat(Name, ": ", Over,
                         " calls beyond what its upstream tolerates at the "
                         "rate that it stated"));
      const Json::Value &Ran = Counters["executions"];
      for (const std::string &Label : Ran.getMemberNames())
        Runs[Label] += Ran[Label].asUInt64();
    }
    for (const auto &Entry : this->Calls) {
      const SoakCall &One = Entry.second;
      uint64_t Count = Runs.count(One.Label) ? Runs[One.Label] : 0;
      auto Break = [&](const char *What) {
        this->Broken.push_back(absl::StrCat(One.Label, ": ", What, " (outcome ",
                                            One.Outcome, ", runs ", Count,
                                            ")"));
      };
      if (One.Message)
        Break("never answered");
      if (!One.Repeats && Count > 1)
        Break("ran more than once");
      if (One.Outcome == "not-run" && Count > 0)
        Break("was told that it had not run");
      if (One.Outcome == "answered" && (!One.Whole || Count == 0))
        Break("its answer is not whole, or not its own");
    }
  }

  harness::Fleet All;
  uint64_t Seed;
  std::mt19937_64 Random;
  std::mt19937_64 StatementRandom;
  // Nodes whose upstreams state something.
  std::set<std::string> Stating;
  TimePoint NextStatement;
  SoupSession *Session;
  std::vector<std::string> Names;
  std::map<std::string, SoakCall> Calls;
  std::multimap<TimePoint, std::function<void()>> Due;
  // Nodes under a signal.
  std::set<std::string> Busy;
  std::map<std::string, TimePoint> QuietSince;
  struct Disturbance {
    TimePoint Start;
    // Not yet, where nothing stands here.
    std::optional<TimePoint> End;
  };
  std::map<std::string, std::vector<Disturbance>> Disturbed;
  // Of the request that crashes its upstreams: the nodes that its attempts came
  // in at.
  std::map<std::string, std::string> MarkedAt;
  TimePoint NextMarked;
  size_t Crashes = 0;
  size_t LateCrashes = 0;
  TimePoint PlatformQuietSince;
  TimePoint NoOutageUntil;
  bool Evacuating = false;
  std::vector<std::string> Broken;
  uint64_t Version = 0;
  uint64_t LastCall = 0;
  uint64_t Faults = 0;
};

bool runSeed(uint64_t Seed, Millis Length) {
  SoakRun One(Seed);
  std::vector<std::string> Broken = One.run(Length);
  std::cout << "seed " << Seed << ":" << One.summary()
            << (Broken.empty() ? "" : " BROKEN") << "\n";
  for (const std::string &What : Broken)
    std::cout << "  " << What << "\n";
  return Broken.empty();
}

} // namespace

} // namespace hickorylift

int main(int Argc, char **Argv) {
  using namespace hickorylift;
  absl::ParseCommandLine(Argc, Argv);
  // A slow caller's body that nobody reads any more ends in an error.
  std::signal(SIGPIPE, SIG_IGN);
  Millis Length(1000 * absl::GetFlag(FLAGS_seconds));
  std::vector<uint64_t> Seeds;
  if (absl::GetFlag(FLAGS_regressions))
    for (const Regression &One : Regressions)
      Seeds.push_back(One.Seed);
  for (uint64_t I = 0; I < absl::GetFlag(FLAGS_seeds); ++I)
    Seeds.push_back(absl::GetFlag(FLAGS_seed) + I);
  bool Good = true;
  for (uint64_t Seed : Seeds)
    Good = runSeed(Seed, Length) && Good;
  return Good ? 0 : 1;
}
