#include "base/Hash.h"
#include "base/Json.h"
#include "harness/Fleet.h"
#include "scenario/World.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <libsoup/soup.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

// Live scenarios: the same kind of script over real processes. They wait for
// events and never assert how long something took.

ABSL_FLAG(std::string, script, "", "the live scenario to run");

namespace hickorylift::scenario {

namespace {

// Calls of one script are under way together: the library's own bound of two
// for one host would hold the third back until another has been answered, and
// it would begin only after the stop that it is meant to outlive.
constexpr int MaxConnections = 100;

struct LiveCall {
  std::string Label;
  std::string End = "pending";
  std::string Reason;
  bool Whole = false;
  TimePoint StartedAt;
  Millis Took{0};
  SoupMessage *Message = nullptr;
  std::string Sent;
  GCancellable *Stop = nullptr;
};

struct LiveLine {
  unsigned Number = 0;
  std::string Command;
  std::vector<std::string> Words;
  std::map<std::string, std::string> Named;
};

class LiveRun {
public:
  LiveRun()
      : Session(SOUP_SESSION(g_object_new(SOUP_TYPE_SESSION, "max-conns",
                                          MaxConnections, "max-conns-per-host",
                                          MaxConnections, "proxy-resolver",
                                          nullptr, nullptr))) {}
  ~LiveRun() { g_object_unref(this->Session); }

  /// Empty if the scenario passed.
  std::string run(const std::vector<LiveLine> &Lines) {
    for (const LiveLine &One : Lines) {
      this->command(One);
      if (!this->Failure.empty())
        return "line " + std::to_string(One.Number) + ": " + this->Failure;
    }
    return "";
  }

private:
  using Handler = void (LiveRun::*)(const LiveLine &);

  void command(const LiveLine &Of) {
    static const std::map<std::string, Handler> Table = {
        {"settings-of", &LiveRun::settingsOf},
        {"publish-file", &LiveRun::publishFile},
        {"node", &LiveRun::node},
        {"start-all", &LiveRun::startAll},
        {"start", &LiveRun::start},
        {"publish", &LiveRun::publish},
        {"signal", &LiveRun::signal},
        {"wire", &LiveRun::wire},
        {"platform", &LiveRun::platform},
        {"drain-upstream", &LiveRun::drainUpstream},
        {"call", &LiveRun::call},
        {"load", &LiveRun::load},
        {"crash-upstream", &LiveRun::crashUpstream},
        {"upstream-states", &LiveRun::upstreamStates},
        {"hang-up", &LiveRun::hangUp},
        {"cli", &LiveRun::cli},
        {"await", &LiveRun::await},
        {"expect", &LiveRun::expect},
        {"run", &LiveRun::runFor},
        {"mark-memory", &LiveRun::markMemory},
    };
    auto Found = Table.find(Of.Command);
    if (Found == Table.end())
      this->Failure = "unknown command " + Of.Command;
    else
      (this->*Found->second)(Of);
  }

  harness::Fleet &fleet() {
    if (!this->All) {
      harness::Fleet::Options Opts;
      Opts.Settings = this->Settings;
      this->All = std::make_unique<harness::Fleet>(Opts);
    }
    return *this->All;
  }

  // settings-of FILE: what a deployment's settings say of spreading, the
  // platform and keys; places and addresses are the fleet's own.
  void settingsOf(const LiveLine &W) {
    FaultList Faults;
    std::string Text = readWholeFile(W.Words.at(0));
    std::optional<Json::Value> Root = parseJson(Text, W.Words.at(0), Faults);
    if (!Root) {
      this->Failure = faultTexts(Faults);
      return;
    }
    Json::Value Kept(Json::objectValue);
    for (const char *Section : {"spread", "platform", "keys", "calls"})
      if (Root->isMember(Section))
        Kept[Section] = (*Root)[Section];
    Kept["platform"].removeMember("address");
    std::string Braces = writeJson(Kept);
    this->Settings = Braces.substr(1, Braces.size() - 2);
  }

  void publishFile(const LiveLine &W) {
    if (!this->fleet().publish(std::stoull(W.Words.at(0)),
                               readWholeFile(W.Words.at(1))))
      this->Failure = "not published";
  }

  static std::string readWholeFile(const std::string &Path) {
    std::ifstream In(Path, std::ios::binary);
    std::ostringstream Out;
    Out << In.rdbuf();
    return Out.str();
  }

  void node(const LiveLine &W) {
    auto Named = [&](const char *Key, const char *Default) {
      auto Found = W.Named.find(Key);
      return Found == W.Named.end() ? std::string(Default) : Found->second;
    };
    this->fleet().addNode(W.Words.at(0), Named("dc", "north"),
                          Named("service", "a"), Named("wired", "") == "yes");
  }

  void startAll(const LiveLine &) {
    if (!this->fleet().startAll())
      this->Failure = "did not start";
  }

  void start(const LiveLine &W) { this->fleet().startNode(W.Words.at(0)); }

  void publish(const LiveLine &W) {
    std::string Records;
    for (size_t I = 1; I < W.Words.size(); ++I)
      Records += (I > 1 ? "," : "") + recordFromShort(W.Words[I]);
    if (!this->fleet().publish(std::stoull(W.Words.at(0)), "[" + Records + "]"))
      this->Failure = "not published";
  }

  void signal(const LiveLine &W) {
    static const std::map<std::string, int> Signals = {{"KILL", SIGKILL},
                                                       {"STOP", SIGSTOP},
                                                       {"CONT", SIGCONT},
                                                       {"TERM", SIGTERM}};
    this->fleet().signal(W.Words.at(0), Signals.at(W.Words.at(1)));
  }

  void post(const std::string &Address, const std::string &Path) {
    SoupMessage *Message =
        soup_message_new("GET", ("http://" + Address + Path).c_str());
    GBytes *Body =
        soup_session_send_and_read(this->Session, Message, nullptr, nullptr);
    if (!Body)
      this->Failure = "no answer from " + Address + Path;
    g_clear_pointer(&Body, g_bytes_unref);
    g_object_unref(Message);
  }

  void wire(const LiveLine &W) {
    this->post(this->fleet().node(W.Words.at(0)).WireAdmin,
               "/" + W.Words.at(1));
  }

  void platform(const LiveLine &W) {
    this->post(this->fleet().platformAddress(), "/admin/" + W.Words.at(0));
  }

  void drainUpstream(const LiveLine &W) {
    this->post(this->fleet().node(W.Words.at(0)).Upstream, "/admin/drain");
  }

  static std::string header(SoupMessage *Of, const char *Name) {
    const char *Found = soup_message_headers_get_one(
        soup_message_get_response_headers(Of), Name);
    return Found ? Found : "";
  }

  static void onAnswer(GObject *Source, GAsyncResult *Outcome, gpointer Data) {
    auto *Of = static_cast<LiveCall *>(Data);
    GError *Why = nullptr;
    GBytes *Body =
        soup_session_send_and_read_finish(SOUP_SESSION(Source), Outcome, &Why);
    Of->End = "broken";
    Of->Took = toMillis(Clock::now() - Of->StartedAt);
    if (Body) {
      gsize Size = 0;
      const char *At = static_cast<const char *>(g_bytes_get_data(Body, &Size));
      std::string_view Got(At ? At : "", Size);
      Of->End = header(Of->Message, "Hickorylift-Outcome");
      Of->Reason = header(Of->Message, "Hickorylift-Reason");
      Of->Whole =
          header(Of->Message, "X-Answer-Hash") == hexHash(contentHash(Got)) &&
          header(Of->Message, "X-Body-Hash") ==
              hexHash(contentHash(Of->Sent)) &&
          header(Of->Message, "X-Call-Id") == Of->Label;
    }
    g_clear_error(&Why);
    g_clear_pointer(&Body, g_bytes_unref);
    g_clear_object(&Of->Message);
  }

  // crash-upstream NAME MS: its process ends and is back after so long.
  void crashUpstream(const LiveLine &W) {
    this->post(this->fleet().node(W.Words.at(0)).Upstream,
               "/admin/crash?ms=" + W.Words.at(1));
  }

  // upstream-states NAME rate=R leaving=1: what its answers state from now on.
  void upstreamStates(const LiveLine &W) {
    std::string Path = "/admin/state?";
    for (const auto &[Key, Value] : W.Named)
      Path.append(Key).append("=").append(Value).append("&");
    this->post(this->fleet().node(W.Words.at(0)).Upstream, Path);
  }

  void call(const LiveLine &W) {
    this->callAt(W, W.Words.at(0), W.Named.at("at"));
  }

  // load NAME METHOD PATH at=WHO rate=R for=MS: sends at a steady rate, at each
  // node in turn, while later commands run.
  void load(const LiveLine &W) {
    std::vector<std::string> At = this->names(W.Named.at("at"));
    uint64_t Rate = std::stoull(W.Named.at("rate"));
    uint64_t Count = Rate * std::stoull(W.Named.at("for")) / 1000;
    for (uint64_t I = 0; I < Count; ++I) {
      auto *Due = new std::function<void()>([this, W, I, At] {
        this->callAt(W, W.Words.at(0) + "-" + std::to_string(I),
                     At[I % At.size()]);
      });
      g_timeout_add(static_cast<guint>(I * 1000 / Rate), onDue, Due);
    }
  }
  static gboolean onDue(gpointer Data) {
    std::unique_ptr<std::function<void()>> What(
        static_cast<std::function<void()> *>(Data));
    (*What)();
    return G_SOURCE_REMOVE;
  }

  // expect share NAME END at-least=PERCENT
  void expectShare(const LiveLine &W) {
    size_t All = 0, Fit = 0;
    for (const auto &[Label, Of] : this->Calls) {
      if (Label.rfind(W.Words.at(1) + "-", 0) != 0)
        continue;
      ++All;
      Fit += Of.End == W.Words.at(2);
    }
    if (All == 0 || 100 * Fit < All * std::stoull(W.Named.at("at-least")))
      this->Failure = W.Words.at(1) + " " + W.Words.at(2) + ": " +
                      std::to_string(Fit) + " of " + std::to_string(All);
  }

  void callAt(const LiveLine &W, const std::string &Label,
              const std::string &Node) {
    LiveCall &New = this->Calls[Label];
    New.Label = Label;
    New.StartedAt = Clock::now();
    std::string Url =
        "http://" + this->fleet().node(Node).Callers + W.Words.at(2);
    New.Message = soup_message_new(W.Words.at(1).c_str(), Url.c_str());
    SoupMessageHeaders *Headers = soup_message_get_request_headers(New.Message);
    soup_message_headers_append(Headers, "X-Call-Id", New.Label.c_str());
    if (W.Named.count("key"))
      soup_message_headers_append(Headers, "Idempotency-Key",
                                  W.Named.at("key").c_str());
    if (W.Named.count("body")) {
      for (size_t I = 0; I < std::stoull(W.Named.at("body")); ++I)
        New.Sent += static_cast<char>(I * 131 + I / 977);
      GBytes *Body = g_bytes_new_static(New.Sent.data(), New.Sent.size());
      soup_message_set_request_body_from_bytes(
          New.Message, "application/octet-stream", Body);
      g_bytes_unref(Body);
    }
    New.Stop = g_cancellable_new();
    soup_session_send_and_read_async(this->Session, New.Message,
                                     G_PRIORITY_DEFAULT, New.Stop, onAnswer,
                                     &New);
  }

  void hangUp(const LiveLine &W) {
    g_cancellable_cancel(this->Calls[W.Words.at(0)].Stop);
  }

  // The first request that a node has in quarantine.
  std::string quarantined(const std::string &Name) {
    std::string Text = this->fleet().capture(
        "hickorylift", {"quarantine", "--json",
                        "--node=" + this->fleet().node(Name).Operator});
    Json::Value Read = harness::parseOrNull(Text);
    return Read.isArray() && !Read.empty() ? Read[0]["fingerprint"].asString()
                                           : "none";
  }

  // cli EXIT COMMAND FLAG...: runs the program; @NAME stands for a node's
  // operator address, %NAME for the first request in quarantine there.
  void cli(const LiveLine &W) {
    std::vector<std::string> Flags;
    for (size_t I = 1; I < W.Words.size(); ++I) {
      std::string Flag = W.Words[I];
      size_t At = Flag.find('@');
      if (At != std::string::npos)
        Flag = Flag.substr(0, At) +
               this->fleet().node(Flag.substr(At + 1)).Operator;
      size_t Held = Flag.find('%');
      if (Held != std::string::npos)
        Flag = Flag.substr(0, Held) + this->quarantined(Flag.substr(Held + 1));
      Flags.push_back(Flag);
    }
    int Exit = this->fleet().exitOf("hickorylift", Flags);
    if (Exit != std::stoi(W.Words.at(0)))
      this->Failure = "exit " + std::to_string(Exit) + ": " +
                      this->fleet().readFile("exit.log");
  }

  // mark-memory: what all nodes use now, for 'expect memory-growth'.
  void markMemory(const LiveLine &) {
    for (const std::string &Name : this->names("all"))
      this->MarkedKiB[Name] = this->fleet().memoryKiB(Name, "VmRSS");
  }

  // expect memory-growth WHO MB: no more at any time since mark-memory.
  void expectMemoryGrowth(const LiveLine &W) {
    constexpr uint64_t KiBInMb = 1024;
    for (const std::string &Name : this->names(W.Words.at(1))) {
      uint64_t Most = this->fleet().memoryKiB(Name, "VmHWM");
      uint64_t Limit =
          this->MarkedKiB[Name] + KiBInMb * std::stoull(W.Words.at(2));
      if (Most > Limit)
        this->Failure = Name + ": " + std::to_string(Most) + " KiB, " +
                        std::to_string(this->MarkedKiB[Name]) + " before";
    }
  }

  // The time that 99 in 100 calls of a load took at most.
  Millis slowest(const std::string &Load) {
    std::vector<Millis> Times;
    for (const auto &[Label, Of] : this->Calls)
      if (Label.rfind(Load + "-", 0) == 0)
        Times.push_back(Of.Took);
    std::sort(Times.begin(), Times.end());
    return Times.empty() ? Millis(0) : Times[Times.size() * 99 / 100];
  }

  // expect took NAME at-most=MS: the call has ended within that time.
  void expectTook(const LiveLine &W) {
    const LiveCall &Of = this->Calls[W.Words.at(1)];
    if (Of.End == "pending" ||
        Of.Took > Millis(std::stol(W.Named.at("at-most"))))
      this->Failure = Of.Label + ": " + Of.End + ", " +
                      std::to_string(Of.Took.count()) + " ms";
  }

  // expect slower NAME OTHER at-most=MS: the 99th percentile of one load is at
  // most so much above that of another.
  void expectSlower(const LiveLine &W) {
    Millis One = this->slowest(W.Words.at(1));
    Millis Other = this->slowest(W.Words.at(2));
    if (One - Other > Millis(std::stol(W.Named.at("at-most"))))
      this->Failure = W.Words.at(1) + ": " + std::to_string(One.count()) +
                      " ms, " + W.Words.at(2) + ": " +
                      std::to_string(Other.count()) + " ms";
  }

  void runFor(const LiveLine &W) {
    this->fleet().runFor(Millis(std::stoul(W.Words.at(0))));
  }

  std::vector<std::string> names(const std::string &Who) {
    std::vector<std::string> Out;
    for (const auto &[Name, Of] : this->fleet().nodes())
      if (Who == "all" || Who == Name)
        Out.push_back(Name);
    return Out;
  }

  bool holds(const LiveLine &W) {
    const std::string &What = W.Words.at(0);
    const std::string &Who = W.Words.at(1);
    harness::Fleet &All = this->fleet();
    if (What == "call")
      return this->Calls[Who].End == W.Words.at(2);
    if (What == "exit")
      return All.exited(Who) == std::stoi(W.Words.at(2));
    if (What == "running")
      return All.upstreamCounters(Who)["running"].asUInt64() >=
             std::stoull(W.Words.at(2));
    if (What == "cancelled")
      return All.upstreamCounters(Who)["cancelled"].asUInt64() >=
             std::stoull(W.Words.at(2));
    if (What == "metric") {
      for (const std::string &Name : this->names(Who))
        if (All.metric(Name, W.Words.at(2)) != std::stod(W.Words.at(3)))
          return false;
      return true;
    }
    if (What == "drained")
      return !All.status(Who)["upstream"]["drained_by"].asString().empty();
    for (const std::string &Name : this->names(Who)) {
      if (What == "version" && All.version(Name) != std::stoull(W.Words.at(2)))
        return false;
      if (What == "ready" && !All.status(Name)["ready"].asBool())
        return false;
    }
    return What == "version" || What == "ready";
  }

  void await(const LiveLine &W) {
    if (this->fleet().waitFor([&] { return this->holds(W); }))
      return;
    this->Failure = "waited in vain for " + W.Words.at(0) + " " + W.Words.at(1);
    if (W.Words.at(0) == "call")
      this->Failure += ", is " + this->Calls[W.Words.at(1)].End + " " +
                       this->Calls[W.Words.at(1)].Reason;
  }

  uint64_t runsOf(const std::string &Label) {
    uint64_t Sum = 0;
    for (const auto &[Name, Of] : this->fleet().nodes())
      Sum +=
          this->fleet().upstreamCounters(Name)["executions"][Label].asUInt64();
    return Sum;
  }

  // expect counted NAME COUNTER at-least=N at-most=N: of its upstream.
  void expectCounted(const LiveLine &W) {
    uint64_t Count =
        this->fleet().upstreamCounters(W.Words.at(1))[W.Words.at(2)].asUInt64();
    bool Enough = !W.Named.count("at-least") ||
                  Count >= std::stoull(W.Named.at("at-least"));
    bool Few = !W.Named.count("at-most") ||
               Count <= std::stoull(W.Named.at("at-most"));
    if (!Enough || !Few)
      this->Failure =
          W.Words.at(1) + ": " + W.Words.at(2) + " " + std::to_string(Count);
  }

  size_t crashes() {
    size_t Sum = 0;
    for (const auto &[Name, Of] : this->fleet().nodes())
      Sum += this->fleet().upstreamCounters(Name)["crashes"].size();
    return Sum;
  }

  void expect(const LiveLine &W) {
    const std::string &What = W.Words.at(0);
    const std::string &Who = W.Words.at(1);
    if (What == "share") {
      this->expectShare(W);
    } else if (What == "memory-growth") {
      this->expectMemoryGrowth(W);
    } else if (What == "took") {
      this->expectTook(W);
    } else if (What == "slower") {
      this->expectSlower(W);
    } else if (What == "counted") {
      this->expectCounted(W);
    } else if (What == "crashes") {
      if (size_t Count = this->crashes(); Count != std::stoull(Who))
        this->Failure = std::to_string(Count) + " crashes";
    } else if (What == "reason") {
      if (this->Calls[Who].Reason != W.Words.at(2))
        this->Failure = Who + " ended for " + this->Calls[Who].Reason;
    } else if (What == "runs") {
      uint64_t Runs = this->runsOf(Who);
      if (Runs != std::stoull(W.Words.at(2)))
        this->Failure = Who + " ran " + std::to_string(Runs) + " times";
    } else if (What == "whole") {
      if (!this->Calls[Who].Whole)
        this->Failure = "answer of " + Who + " is not whole or not its own";
    } else if (What == "threads") {
      size_t Count = this->fleet().threads(Who);
      if (Count > std::stoull(W.Words.at(2)))
        this->Failure = std::to_string(Count) + " threads";
    } else if (!this->holds(W)) {
      this->Failure = "does not hold: " + What + " " + Who;
      if (What == "call")
        this->Failure += ", is " + this->Calls[Who].End;
    }
  }

  std::string Settings;
  std::unique_ptr<harness::Fleet> All;
  SoupSession *Session;
  std::map<std::string, LiveCall> Calls;
  std::map<std::string, uint64_t> MarkedKiB;
  std::string Failure;
};

std::vector<LiveLine> parseLive(std::istream &In) {
  std::vector<LiveLine> Out;
  unsigned Number = 0;
  for (std::string Raw; std::getline(In, Raw);) {
    ++Number;
    std::istringstream Words(Raw.substr(0, Raw.find('#')));
    LiveLine One;
    One.Number = Number;
    if (!(Words >> One.Command))
      continue;
    for (std::string Word; Words >> Word;) {
      size_t Equals = Word.find('=');
      bool Plain = Equals == std::string::npos ||
                   Word.find_first_of(":?") < Equals || Word.front() == '"' ||
                   Word.front() == '/' || Word.front() == '-';
      if (Plain)
        One.Words.push_back(Word);
      else
        One.Named[Word.substr(0, Equals)] = Word.substr(Equals + 1);
    }
    Out.push_back(One);
  }
  return Out;
}

} // namespace

} // namespace hickorylift::scenario

int main(int Argc, char **Argv) {
  using namespace hickorylift::scenario;
  absl::ParseCommandLine(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::string Path = absl::GetFlag(FLAGS_script);
  std::ifstream In(Path);
  if (!In) {
    std::cerr << Path << ": cannot be read\n";
    return 2;
  }
  std::string Failure = LiveRun().run(parseLive(In));
  if (!Failure.empty())
    std::cout << Path << " " << Failure << "\n";
  return Failure.empty() ? 0 : 1;
}
