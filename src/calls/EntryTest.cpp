#include "calls/Entry.h"

#include "config/RecordFile.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));

const std::string Records = R"([
  {"kind":"service","name":"a","schema":1},
  {"kind":"route","name":"read","schema":3,"match":{"prefix":"/read/"},
   "service":"a","idempotent":true,"attempts":2,"timeout_ms":1000,
   "target_ms":300},
  {"kind":"route","name":"often","schema":3,"match":{"prefix":"/often/"},
   "service":"a","idempotent":true,"attempts":5,"timeout_ms":1000},
  {"kind":"route","name":"write","schema":3,"match":{"prefix":"/write/"},
   "service":"a","idempotent":false,"attempts":2,"timeout_ms":1000}])";

/// An entry whose gates are simulated by the test.
struct EntryFixture {
  Membership Fleet{{.Self = "me", .DataCentre = "north"}};
  std::unique_ptr<Entry> TestedEntry;
  std::vector<std::string> Dialled;
  std::vector<std::pair<std::string, wire::CallFrameT>> Sent;
  std::map<Entry::CallerId, std::string> Refused;
  std::map<Entry::CallerId, Millis> RetryAfter;
  std::map<Entry::CallerId, ResponseHead> Answered;
  // Called when a caller is refused.
  std::function<void(Entry::CallerId)> OnRefuse = [](Entry::CallerId) {};
  // The quarantine's decision about every request, and the fingerprints that it
  // was asked about.
  Quarantine::Decision Decision;
  std::vector<Fingerprint> Checked;
  // When the process stops, if it does.
  std::optional<TimePoint> StopsAt;
  // The starts that were refuted, and whether another claim takes their place.
  std::vector<UpstreamStart> RefutedStarts;
  bool HasOtherClaim = false;
  TimePoint Now = Start;

  EntryFixture() : EntryFixture(/*FleetRetryReserve=*/6) {}
  explicit EntryFixture(double FleetRetryReserve,
                        bool HandlesShedding = false) {
    this->setGates({"g-1", "g-2", "g-3"});
    Entry::Options Opts;
    Opts.Self = "me";
    Opts.DataCentre = "north";
    Opts.Service = "b";
    Opts.HeaderNames.RequestId = "Request-Id";
    Opts.HeaderNames.Origin = "Origin";
    Opts.FleetRetryReserve = FleetRetryReserve;
    Opts.AllocatorOptions.Enabled = HandlesShedding;
    Opts.FavoursReturning = HandlesShedding;
    Opts.MaxRetryPercent = 5;
    Opts.PingInterval = Millis(100);
    Opts.LivenessTimeout = Millis(400);
    this->TestedEntry =
        std::make_unique<Entry>(Opts, this->hooks(), this->Fleet);
    FaultList Faults;
    CompileResult Result = compileConfig(
        *Document::make(1, 1, *readRecordFile(Records, "f", Faults)),
        CompileOptions());
    BOOST_REQUIRE(Result.Compiled);
    this->TestedEntry->configure(Result.Compiled);
  }

  Entry::Hooks hooks() {
    Entry::Hooks Hooks;
    Hooks.Connect = [this](const Instance &Gate) {
      this->Dialled.push_back(Gate.Name);
    };
    Hooks.Send = [this](const std::string &Gate, wire::CallFrameT Frame) {
      this->Sent.emplace_back(Gate, std::move(Frame));
    };
    Hooks.Close = [](const std::string &) {};
    Hooks.Head = [this](Entry::CallerId Id, const ResponseHead &Head) {
      this->Answered[Id] = Head;
    };
    Hooks.Body = [](Entry::CallerId, std::string_view) {};
    Hooks.BodyEnd = [](Entry::CallerId) {};
    Hooks.Abort = [this](Entry::CallerId Id, const Refusal &Cause) {
      this->Refused[Id] = "broken " + Cause.Reason;
    };
    Hooks.Refuse = [this](Entry::CallerId Id, const Refusal &Cause) {
      this->Refused[Id] =
          std::string(outcomeName(Cause.CallOutcome)) + " " + Cause.Reason;
      this->RetryAfter[Id] = Cause.RetryAfter;
      this->OnRefuse(Id);
    };
    Hooks.PauseRequest = [](Entry::CallerId, bool) {};
    Hooks.StopsAt = [this] { return this->StopsAt; };
    Hooks.RefuteUpstream = [this](const std::string &,
                                  const UpstreamStart &Start, TimePoint) {
      this->RefutedStarts.push_back(Start);
      return this->HasOtherClaim;
    };
    Hooks.CheckQuarantine = [this](const Fingerprint &RequestFingerprint,
                                   TimePoint) {
      this->Checked.push_back(RequestFingerprint);
      return this->Decision;
    };
    return Hooks;
  }

  void setGates(const std::vector<std::string> &Names) {
    EntryMap Entries;
    for (const std::string &Name : Names) {
      Instance Gate;
      Gate.Name = Name;
      Gate.DataCentre = "north";
      Gate.Service = "a";
      Gate.Node = "127.0.0.1:1";
      Gate.Operator = "127.0.0.1:2";
      Gate.Upstream = "up-" + Name;
      Entries[Name] = makeEntry(Name, writeInstance(Gate));
    }
    this->Fleet.update("north", *Document::make(1, 1, Entries));
  }

  void request(Entry::CallerId Id, const std::string &Path,
               std::optional<Millis> Budget = std::nullopt) {
    RequestHead Head;
    Head.Method = "GET";
    Head.Path = Path;
    Head.Headers = {{"Request-Id", std::to_string(Id)}, {"Origin", "forged"}};
    if (Budget)
      Head.Headers.push_back(
          {Dialect().Budget, std::to_string(Budget->count())});
    this->TestedEntry->request(Id, Head, this->Now);
  }

  /// The gate "g-1" answers a call, with one header field.
  void answerWith(uint64_t Seq, const HeaderField &Field) {
    wire::HeadT Head;
    Head.seq = Seq;
    Head.status = 200;
    Head.headers = toWire({Field});
    this->TestedEntry->handleFrame("g-1", makeCallFrame(std::move(Head)),
                                   this->Now);
  }
  /// The first frame of the latest link to a gate.
  const wire::CallHelloT *lastHello() const {
    const wire::CallHelloT *Last = nullptr;
    for (const auto &[Gate, Frame] : this->Sent)
      if (const auto *Hello = Frame.payload.AsCallHello())
        Last = Hello;
    return Last;
  }

  /// A call that must not run twice, with a body of 20,000 bytes.
  void upload(Entry::CallerId Id) {
    RequestHead Head;
    Head.Method = "POST";
    Head.Path = "/write/1";
    Head.Length = 20000;
    this->TestedEntry->request(Id, Head, this->Now);
    this->TestedEntry->body(Id, std::string(20000, 'x'), this->Now);
    this->TestedEntry->bodyEnd(Id, this->Now);
  }

  void connectGate(const std::string &Gate, uint64_t Incarnation = 1) {
    this->TestedEntry->linkUp(Gate, this->Now);
    wire::CallHelloT Hello;
    Hello.incarnation = Incarnation;
    this->TestedEntry->handleFrame(Gate, makeCallFrame(std::move(Hello)),
                                   this->Now);
  }

  /// The calls sent: the gate and the Open frame of each.
  std::vector<std::pair<std::string, const wire::OpenT *>> opens() const {
    std::vector<std::pair<std::string, const wire::OpenT *>> Result;
    for (const auto &[Gate, Frame] : this->Sent)
      if (const auto *Open = Frame.payload.AsOpen())
        Result.emplace_back(Gate, Open);
    return Result;
  }
  size_t bodyBytes() const {
    size_t Sum = 0;
    for (const auto &[Gate, Frame] : this->Sent)
      if (const auto *Data = Frame.payload.AsData())
        Sum += Data->bytes.size();
    return Sum;
  }
  size_t cancels(const std::string &ToGate) const {
    size_t Count = 0;
    for (const auto &[Gate, Frame] : this->Sent)
      Count += Gate == ToGate && Frame.payload.AsCancel() != nullptr;
    return Count;
  }

  void sendFailed(const std::string &Gate, uint64_t Seq, wire::Outcome Outcome,
                  const std::string &Reason, Millis RetryAfter = Millis(0)) {
    wire::FailedT Failed;
    Failed.retry_after_ms = static_cast<uint32_t>(RetryAfter.count());
    Failed.seq = Seq;
    Failed.outcome = Outcome;
    Failed.reason = Reason;
    this->TestedEntry->handleFrame(Gate, makeCallFrame(std::move(Failed)),
                                   this->Now);
  }
  void advanceTime(Millis Time) {
    for (Millis Step(0); Step < Time; Step += Millis(20)) {
      this->Now += Millis(20);
      this->TestedEntry->tick(this->Now);
    }
  }
};

enum class FirstReport { Admitted, Ended, NothingYet };
enum class OtherReport { Nothing, NoCapacity, Answer };

/// What the first gate reports about the detached run, what the other gate
/// reports about the call meanwhile, and how many cancellations each gate gets.
struct DetachedRunRow {
  const char *Name;
  FirstReport First;
  OtherReport Other;
  size_t CancelsFirst;
  size_t CancelsOther;
  // Whether the caller gets the first gate's answer.
  bool AnswerOfFirst;
};
std::ostream &operator<<(std::ostream &Stream, const DetachedRunRow &Row) {
  return Stream << Row.Name;
}

const DetachedRunRow DetachedRunRows[] = {
    {"the run continues", FirstReport::Admitted, OtherReport::Nothing, 0, 1,
     true},
    {"the run continues, no other gate has capacity", FirstReport::Admitted,
     OtherReport::NoCapacity, 0, 0, true},
    {"the run has ended", FirstReport::Ended, OtherReport::Answer, 0, 0, false},
    {"the other gate answers first", FirstReport::NothingYet,
     OtherReport::Answer, 1, 0, false},
};

/// A second request of the route, with less time left than the first.
struct ReturningRow {
  bool Enabled;
  Millis Waited;
  bool Returning;
};
std::ostream &operator<<(std::ostream &Stream, const ReturningRow &Row) {
  return Stream << Row.Waited.count() << " ms" << (Row.Enabled ? "" : ", off");
}

const ReturningRow ReturningRows[] = {
    {true, Millis(0), false},  {true, Millis(20), false},
    {true, Millis(29), false}, {true, Millis(30), true},
    {true, Millis(200), true}, {false, Millis(200), false},
};

/// A call that the upstream sheds while one retry is in reserve.
struct ShedRow {
  const char *Name;
  bool Enabled;
  uint32_t ReportedPercent;
  bool Returning;
  bool Retried;
};
std::ostream &operator<<(std::ostream &Stream, const ShedRow &Row) {
  return Stream << Row.Name;
}

const ShedRow ShedRows[] = {
    {"first-time caller", true, 55, false, false},
    {"returning caller", true, 55, true, true},
    {"no gate reports shedding", true, 0, false, true},
    {"off", false, 55, false, true},
};

/// A call that all gates refuse for lack of capacity.
struct ComeBackRow {
  const char *Name;
  bool Enabled;
  std::optional<Millis> Budget;
  Millis GateSays;
  Millis CallerIsTold;
};
std::ostream &operator<<(std::ostream &Stream, const ComeBackRow &Row) {
  return Stream << Row.Name;
}

const ComeBackRow ComeBackRows[] = {
    {"a third of the time left", true, Millis(900), Millis(700), Millis(300)},
    {"of more than the route's timeout", true, Millis(1800), Millis(700),
     Millis(600)},
    {"what the gate says is less", true, Millis(900), Millis(200), Millis(200)},
    {"the caller states no deadline", true, std::nullopt, Millis(700),
     Millis(700)},
    {"off", false, Millis(900), Millis(700), Millis(700)},
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntryDecisions)

// Guards against a caller that repeats its call at once and is mistaken for one
// that has waited as it was told.
BOOST_DATA_TEST_CASE(ReturningCallersAreRecognisedByTheirAge,
                     data::make(ReturningRows), Row) {
  EntryFixture Test(6, Row.Enabled);
  Test.request(1, "/write/1", Millis(900));
  Test.request(2, "/write/1", Millis(900) - Row.Waited);
  for (const char *Gate : {"g-1", "g-2", "g-3"})
    Test.connectGate(Gate);
  for (const auto &[Gate, Open] : Test.opens()) {
    bool IsSecond = Open->budget_ms < 900 || Row.Waited == Millis(0);
    BOOST_TEST(Open->returning == (IsSecond && Row.Returning));
  }
  BOOST_TEST(Test.opens().size() == 2u);
}

// Guards against first-time callers that spend the retries of a service that
// sheds calls. They are told to retry soon, and then count as returning.
BOOST_DATA_TEST_CASE(ShedRetriesGoToReturningCallers, data::make(ShedRows),
                     Row) {
  // 1.9 retries at each of two nodes, and 0.1 that the two requests earn.
  EntryFixture Test(/*FleetRetryReserve=*/3.8, Row.Enabled);
  Test.setGates({"g-1", "g-2"});
  for (const char *Gate : {"g-1", "g-2"}) {
    Test.connectGate(Gate);
    wire::PongT Pong;
    Pong.shed_percent = Row.ReportedPercent;
    Test.TestedEntry->handleFrame(Gate, makeCallFrame(Pong), Test.Now);
  }
  Test.request(1, "/write/1", Millis(900));
  Test.request(2, "/write/1", Row.Returning ? Millis(800) : Millis(900));
  auto Shed = [&Test](size_t Open) {
    Test.sendFailed(Test.opens()[Open].first, Test.opens()[Open].second->seq,
                    wire::Outcome::NotRun, "upstream-shed", Millis(30));
  };
  // The first caller takes what first-time callers may have.
  Shed(0);
  Shed(1);
  BOOST_TEST(Test.opens().size() == (Row.Retried ? 4u : 3u));
  BOOST_TEST(Test.Refused.count(2) == (Row.Retried ? 0u : 1u));
  if (Row.Retried)
    return;
  BOOST_TEST((Test.RetryAfter[2] >= Millis(30)));
  BOOST_TEST((Test.RetryAfter[2] <= Millis(60)));
}

// While a service sheds half of its calls, three refusals in a row are common.
// Guards against gates that are ejected for them, so that few gates get all
// calls.
BOOST_DATA_TEST_CASE(SheddingEjectsNoGate, data::make({true, false}), Enabled) {
  EntryFixture Test(/*FleetRetryReserve=*/2, Enabled);
  Test.setGates({"g-1"});
  Test.connectGate("g-1");
  wire::PongT Pong;
  Pong.shed_percent = 55;
  Test.TestedEntry->handleFrame("g-1", makeCallFrame(Pong), Test.Now);
  for (Entry::CallerId Id = 1; Id <= 3; ++Id) {
    Test.request(Id, "/write/1", Millis(900));
    auto [Gate, Open] = Test.opens().back();
    Test.sendFailed(Gate, Open->seq, wire::Outcome::NotRun, "upstream-shed",
                    Millis(30));
  }
  bool Ejected = Test.TestedEntry->balancer().isEjected("g-1", Test.Now);
  BOOST_TEST(Ejected == !Enabled);
}

// A caller that is told to wait for more than a third of its remaining time
// retries earlier than told. Guards against retry times that callers ignore.
BOOST_DATA_TEST_CASE(RetryTimeIsLimitedByTheCallersRemainingTime,
                     data::make(ComeBackRows), Row) {
  EntryFixture Test(6, Row.Enabled);
  Test.request(1, "/write/1", Row.Budget);
  for (int I = 0; I < 3; ++I) {
    Test.connectGate(Test.Dialled.back());
    auto [Gate, Open] = Test.opens().back();
    Test.sendFailed(Gate, Open->seq, wire::Outcome::NotRun, "overload",
                    Row.GateSays);
  }
  BOOST_TEST(Test.Refused[1] == "not-run overload");
  BOOST_TEST((Test.RetryAfter[1] == Row.CallerIsTold));
}

// All gates are left out because they refused a call a moment ago. The refusal
// of the next call must not bring its caller back before a usual run has ended.
BOOST_DATA_TEST_CASE(CallersOfFullGatesComeBackAfterARun,
                     data::make({true, false}), Enabled) {
  EntryFixture Test(6, Enabled);
  Test.setGates({"g-1"});
  Test.connectGate("g-1");
  Test.request(1, "/write/1", Millis(900));
  wire::HeadT Head;
  Head.seq = Test.opens().back().second->seq;
  Head.status = 200;
  Head.ran_us = 100000;
  Test.TestedEntry->handleFrame("g-1", makeCallFrame(std::move(Head)),
                                Test.Now);
  Test.request(2, "/write/1", Millis(900));
  Test.sendFailed("g-1", Test.opens().back().second->seq, wire::Outcome::NotRun,
                  "overload", Millis(200));
  Test.request(3, "/write/1", Millis(900));
  BOOST_TEST(Test.Refused[3] == "not-run overload");
  BOOST_TEST((Test.RetryAfter[3] >= Millis(100)) == Enabled);
  BOOST_TEST((Test.RetryAfter[3] <= Millis(200)));
}

// An upstream's own failure shows that it ran the call. The caller must get it
// as it is, and the call must not run a second time.
BOOST_DATA_TEST_CASE(FailuresOfUpstreamsAreNotRepeated, data::make({500, 504}),
                     Status) {
  EntryFixture Test;
  Test.request(1, "/write/1");
  std::string Gate = Test.Dialled.back();
  Test.connectGate(Gate);
  wire::HeadT Head;
  Head.seq = Test.opens().back().second->seq;
  Head.status = static_cast<uint32_t>(Status);
  Test.TestedEntry->handleFrame(Gate, makeCallFrame(std::move(Head)), Test.Now);
  BOOST_TEST(Test.Answered[1].Status == static_cast<unsigned>(Status));
  BOOST_TEST(Test.opens().size() == 1u);
  BOOST_TEST(Test.Refused.empty());
}

// Two requests of one connection wait for a gate that cannot be reached.
// Refusing the first closes the connection and ends the second while the entry
// is still iterating over both.
BOOST_FIXTURE_TEST_CASE(RefusalThatEndsOtherCallsIsSafe, EntryFixture) {
  this->setGates({"g-1"});
  this->request(1, "/write/1");
  this->request(2, "/write/2");
  this->OnRefuse = [this](Entry::CallerId Id) {
    this->TestedEntry->callerGone(Id == 1 ? 2 : 1, this->Now);
  };
  BOOST_CHECK_NO_THROW(this->TestedEntry->linkDown("g-1", this->Now));
  BOOST_TEST(this->Refused.size() == 1u);
  BOOST_TEST(this->TestedEntry->idle());
}

// A node has started and has no configuration yet, and its callers retry only
// once. Retries that come too soon are refused again, and retries that come at
// the same moment overload the upstream.
BOOST_FIXTURE_TEST_CASE(RetriesAtStartAreDelayedAndSpread, EntryFixture) {
  Entry::Options Opts;
  Opts.HeaderNames.RequestId = "Request-Id";
  this->TestedEntry = std::make_unique<Entry>(Opts, this->hooks(), this->Fleet);
  std::set<Millis> Times;
  for (Entry::CallerId Id = 1; Id <= 100; ++Id) {
    this->request(Id, "/read/1");
    BOOST_TEST(this->Refused[Id] == "not-run no-configuration");
    BOOST_TEST((this->RetryAfter[Id] >= Millis(400)));
    BOOST_TEST((this->RetryAfter[Id] <= Millis(700)));
    Times.insert(this->RetryAfter[Id]);
  }
  BOOST_TEST(Times.size() > 50u);
}

// A refusal by a gate before the call reached its upstream must not count
// towards the attempts of the route.
BOOST_FIXTURE_TEST_CASE(RefusalsByGatesAreNotAttempts, EntryFixture) {
  this->request(1, "/write/1");
  for (int I = 0; I < 3; ++I) {
    this->connectGate(this->Dialled.back());
    BOOST_REQUIRE(this->opens().size() == static_cast<size_t>(I + 1));
    auto [Gate, Open] = this->opens().back();
    this->sendFailed(Gate, Open->seq, wire::Outcome::NotRun, "overload");
  }
  BOOST_TEST(this->Refused[1] == "not-run overload");
}

// A gate has no slots for a less urgent call. The call must be offered to
// another gate, and the gate must stay open to more urgent calls.
BOOST_FIXTURE_TEST_CASE(ReserveRefusalDoesNotCloseTheGate, EntryFixture) {
  this->request(1, "/read/1");
  this->connectGate(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  this->sendFailed(Gate, Open->seq, wire::Outcome::NotRun, "priority-reserve");
  BOOST_TEST(this->Dialled.size() == 2u);
  BOOST_TEST(this->Dialled.back() != Gate);
  BOOST_TEST(!this->TestedEntry->balancer().shortestRetryAfter(
      this->Fleet.upstreams("a"), this->Now));
}

// Crashed upstreams are still listed, and a call finds two or three of them
// before a running one. They must not use up the route's attempts, which are
// for upstreams that may have run the call.
BOOST_DATA_TEST_CASE(UnreachableUpstreamsAreNotAttempts,
                     data::make({"upstream-unreachable", "upstream-gone",
                                 "upstream-timeout"}),
                     Reason) {
  EntryFixture Test;
  Test.request(1, "/write/1");
  for (int I = 0; I < 3; ++I) {
    Test.connectGate(Test.Dialled.back());
    BOOST_REQUIRE(Test.opens().size() == static_cast<size_t>(I + 1));
    auto [Gate, Open] = Test.opens().back();
    Test.sendFailed(Gate, Open->seq, wire::Outcome::NotRun, Reason);
  }
  BOOST_TEST(Test.Refused[1] == std::string("not-run ") + Reason);
}

// A gate that has reported that its upstream is gone must get no calls until it
// reports that the upstream is back; otherwise calls would fail there first.
BOOST_FIXTURE_TEST_CASE(GateWithoutUpstreamGetsNoCalls, EntryFixture) {
  this->setGates({"g-1", "g-2"});
  auto ReportGone = [this](bool Gone) {
    wire::PongT Pong;
    Pong.gone = Gone;
    this->TestedEntry->handleFrame("g-1", makeCallFrame(std::move(Pong)),
                                   this->Now);
  };
  auto CountSentToFirst = [this](Entry::CallerId FirstId) {
    size_t Before = this->opens().size();
    for (Entry::CallerId Id = FirstId; Id < FirstId + 20; ++Id)
      this->request(Id, "/read/1");
    if (Before == 0)
      for (const char *Gate : {"g-1", "g-2"})
        this->connectGate(Gate);
    size_t Count = 0;
    for (size_t I = Before; I < this->opens().size(); ++I)
      Count += this->opens()[I].first == "g-1";
    return Count;
  };
  BOOST_TEST(CountSentToFirst(100) > 0u);
  ReportGone(true);
  BOOST_TEST(CountSentToFirst(200) == 0u);
  ReportGone(false);
  BOOST_TEST(CountSentToFirst(300) > 0u);
}

// Every call to one service fails after it may have run. The retries of all
// nodes together must stay within the deployment's limits: each of three nodes
// has a third of the reserve of six and a twentieth of its first tries.
BOOST_FIXTURE_TEST_CASE(RetriesOfAllNodesStayWithinLimits, EntryFixture) {
  for (Entry::CallerId Id = 1; Id <= 200; ++Id)
    this->request(Id, "/read/1");
  for (const char *Gate : {"g-1", "g-2", "g-3"})
    this->connectGate(Gate);
  for (size_t Done = 0; Done < this->opens().size(); ++Done) {
    auto [Gate, Open] = this->opens()[Done];
    this->sendFailed(Gate, Open->seq, wire::Outcome::Unknown,
                     "upstream-closed");
  }
  size_t Retries = this->opens().size() - 200;
  BOOST_TEST(Retries >= 2u);
  BOOST_TEST(Retries <= 2u + 200 / 20);
}

// A request that has crashed three upstreams is sent again. Until its
// quarantine term is over it must be refused as not run, before it is sent to
// any gate.
BOOST_FIXTURE_TEST_CASE(QuarantinedRequestIsRefusedAtEntry, EntryFixture) {
  this->Decision = {Quarantine::Status::Quarantined, Millis(60000)};
  this->request(1, "/read/1");
  BOOST_TEST(this->Refused[1] == "not-run quarantined");
  BOOST_TEST((this->RetryAfter[1] == Millis(60000)));
  BOOST_TEST(this->Dialled.empty());
}

// A gate may know of a quarantine before this node does. Its refusal applies to
// all gates, so the call must not be offered to another.
BOOST_FIXTURE_TEST_CASE(QuarantineRefusalByGateIsFinal, EntryFixture) {
  this->request(1, "/read/1");
  this->connectGate(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  this->sendFailed(Gate, Open->seq, wire::Outcome::NotRun, "quarantined");
  BOOST_TEST(this->Refused[1] == "not-run quarantined");
  BOOST_TEST(this->opens().size() == 1u);
}

// A route allows five attempts. After three upstreams have crashed while
// running one call its request is in quarantine, although this node may not
// know it yet, so the call must end. A call that did not cause the crashes and
// only happened to run at the same time has been answered by then.
BOOST_AUTO_TEST_CASE(ThreeCrashesEndACall) {
  EntryFixture Test(/*FleetRetryReserve=*/100);
  Test.setGates({"g-1", "g-2", "g-3", "g-4"});
  Test.request(1, "/often/1");
  for (size_t Try = 1; Try <= 3; ++Try) {
    Test.connectGate(Test.Dialled.back());
    BOOST_REQUIRE(Test.opens().size() == Try);
    auto [Gate, Open] = Test.opens().back();
    BOOST_TEST(Open->crashes == Try - 1);
    Test.sendFailed(Gate, Open->seq, wire::Outcome::Unknown,
                    "upstream-crashed");
  }
  BOOST_TEST(Test.opens().size() == 3u);
  BOOST_TEST(Test.Refused[1] == "unknown upstream-crashed");
}

// Many callers send a request whose quarantine term is over. All nodes must
// send it to the same gate, or each of them would crash an upstream with its
// trial. A call that finds no capacity there must not go to another gate.
BOOST_FIXTURE_TEST_CASE(TrialsGoToOneGateOnly, EntryFixture) {
  this->Decision = {Quarantine::Status::Trial, Millis(0)};
  for (Entry::CallerId Id = 1; Id <= 20; ++Id)
    this->request(Id, "/read/1");
  BOOST_REQUIRE(this->Dialled.size() == 1u);
  this->connectGate(this->Dialled.back());
  BOOST_TEST(this->opens().size() == 20u);
  auto [Gate, Open] = this->opens().back();
  this->sendFailed(Gate, Open->seq, wire::Outcome::NotRun, "beside-suspect");
  BOOST_TEST(this->opens().size() == 20u);
  BOOST_TEST(this->Refused.size() == 1u);
}

// A call with an idempotency key belongs to the one gate that remembers the
// key. If its trial went to another gate, it could run twice.
BOOST_FIXTURE_TEST_CASE(KeyedCallOnTrialStaysAtKeyHome, EntryFixture) {
  auto HomeOf = [this](const std::string &Key) {
    RequestHead Head;
    Head.Method = "POST";
    Head.Path = "/write/1";
    Head.Headers = {{"Idempotency-Key", Key}};
    return this->TestedEntry->explain(Head, this->Now).Chosen->Name;
  };
  std::map<std::string, std::string> Homes;
  for (const char *Key : {"k1", "k2", "k3", "k4", "k5", "k6"})
    Homes[Key] = HomeOf(Key);
  this->Decision = {Quarantine::Status::Trial, Millis(0)};
  Entry::CallerId Id = 0;
  for (const auto &[Key, Home] : Homes) {
    RequestHead Head;
    Head.Method = "POST";
    Head.Path = "/write/1";
    Head.Headers = {{"Idempotency-Key", Key}};
    this->TestedEntry->request(++Id, Head, this->Now);
  }
  for (const char *Gate : {"g-1", "g-2", "g-3"})
    this->connectGate(Gate);
  BOOST_REQUIRE(this->opens().size() == Homes.size());
  for (const auto &[Gate, Open] : this->opens())
    BOOST_TEST(Gate == Homes[Open->idempotency_key]);
}

struct ChunkedBodyCase {
  const char *Name;
  size_t Bytes;
  // Whether the body is in the fingerprint, as it is at the gate.
  bool Counts;
};
std::ostream &operator<<(std::ostream &To, const ChunkedBodyCase &Of) {
  return To << Of.Name;
}

const int64_t MostGathered = Entry::Options().GatherBytes;
const ChunkedBodyCase ChunkedBodies[] = {
    {"short", 5, true},
    {"as long as what is gathered", static_cast<size_t>(MostGathered), true},
    {"longer", static_cast<size_t>(MostGathered) + 1, false},
};

// A chunked body that is gathered is sent with its length, and the gate's
// fingerprint covers it. The gate receives a longer one while the call runs, so
// it may not be in the entry's either, which may have the whole body at the
// second try.
BOOST_DATA_TEST_CASE_F(EntryFixture, FingerprintOfChunkedBodyIsThatOfTheGate,
                       data::make(ChunkedBodies), Case) {
  RequestHead Head;
  Head.Method = "POST";
  Head.Path = "/often/1";
  Head.Length = UnknownLength;
  std::string Body(Case.Bytes, 'x');
  this->TestedEntry->request(1, Head, this->Now);
  BOOST_TEST(this->Dialled.empty());
  this->TestedEntry->body(1, Body, this->Now);
  this->TestedEntry->bodyEnd(1, this->Now);
  this->connectGate(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  BOOST_TEST(Open->length ==
             (Case.Counts ? static_cast<int64_t>(Case.Bytes) : UnknownLength));
  this->sendFailed(Gate, Open->seq, wire::Outcome::Unknown, "upstream-crashed");
  BOOST_REQUIRE(this->Checked.size() == 2u);
  if (Case.Counts)
    Head.Length = static_cast<int64_t>(Case.Bytes);
  BOOST_TEST((this->Checked[0] ==
              computeFingerprint(Head, "", Case.Counts ? Body : "")));
  BOOST_TEST((this->Checked[1] == this->Checked[0]));
}

// The gate's fingerprint of a request covers the body, so the entry's must too.
BOOST_FIXTURE_TEST_CASE(GatheredBodyIsInFingerprint, EntryFixture) {
  this->upload(1);
  RequestHead Head;
  Head.Method = "POST";
  Head.Path = "/write/1";
  Head.Length = 20000;
  BOOST_REQUIRE(this->Checked.size() == 1u);
  BOOST_TEST((this->Checked[0] ==
              computeFingerprint(Head, "", std::string(20000, 'x'))));
}

BOOST_FIXTURE_TEST_CASE(NonIdempotentCallWithUnknownOutcomeIsNotRetried,
                        EntryFixture) {
  this->request(1, "/write/1");
  this->connectGate(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  this->sendFailed(Gate, Open->seq, wire::Outcome::Unknown, "upstream-closed");
  BOOST_TEST(this->Refused[1] == "unknown upstream-closed");
  BOOST_TEST(this->opens().size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(IdempotentCallIsRetriedUpToRouteAttempts,
                        EntryFixture) {
  this->request(1, "/read/1");
  for (size_t Try = 1; Try <= 2; ++Try) {
    this->connectGate(this->Dialled.back());
    BOOST_REQUIRE(this->opens().size() == Try);
    auto [Gate, Open] = this->opens().back();
    this->sendFailed(Gate, Open->seq, wire::Outcome::Unknown,
                     "upstream-closed");
  }
  BOOST_TEST(this->opens().size() == 2u);
  BOOST_TEST(this->Refused[1] == "unknown upstream-closed");
}

// The link to the gate is unresponsive, and the caller disconnects while the
// entry waits for a new one. Unless the call is cancelled over the new link,
// the upstream goes on running it without a caller.
BOOST_FIXTURE_TEST_CASE(AbandonedCallIsCancelledOverNextLink, EntryFixture) {
  this->request(1, "/write/1");
  std::string Gate = this->Dialled.back();
  this->connectGate(Gate);
  BOOST_REQUIRE(this->opens().size() == 1u);
  this->advanceTime(Millis(700)); // unanswered pings: the link is declared dead
  BOOST_REQUIRE(this->Dialled.size() == 2u);
  this->TestedEntry->callerGone(1, this->Now);
  BOOST_TEST(this->cancels(Gate) == 0u);
  this->connectGate(Gate);
  BOOST_TEST(this->cancels(Gate) == 1u);
}

// Guards against a gate that takes an entry for dead which only replaces an
// unresponsive link, and cancels its runs.
BOOST_FIXTURE_TEST_CASE(ReplacedLinkIsAnnouncedToItsGate, EntryFixture) {
  this->request(1, "/read/1");
  std::string Gate = this->Dialled.back();
  this->connectGate(Gate);
  auto Announced = [this, &Gate] {
    return std::any_of(this->Sent.begin(), this->Sent.end(),
                       [&](const auto &Sent) {
                         const auto *Ping = Sent.second.payload.AsPing();
                         return Sent.first == Gate && Ping && Ping->reconnects;
                       });
  };
  BOOST_TEST(!Announced());
  this->advanceTime(Millis(700)); // unanswered pings: the link is declared dead
  BOOST_TEST(Announced());
}

// A machine has lost power, and connection attempts to it hang. Callers must
// not wait for the connect timeout while another gate would answer.
BOOST_FIXTURE_TEST_CASE(CallsDoNotWaitForHangingConnect, EntryFixture) {
  this->request(1, "/write/1");
  std::string Unreachable = this->Dialled.back();
  this->advanceTime(Millis(120));
  BOOST_REQUIRE(this->Dialled.size() >= 2u);
  BOOST_TEST(this->Dialled[1] != Unreachable);
  this->connectGate(this->Dialled[1]);
  BOOST_TEST(this->opens().size() == 1u);
  for (Entry::CallerId Id = 2; Id < 12; ++Id)
    this->request(Id, "/write/1");
  size_t ToUnreachable = 0;
  for (const auto &[Gate, Open] : this->opens())
    ToUnreachable += Gate == Unreachable;
  BOOST_TEST(ToUnreachable == 0u);
}

// A gate's process ends, and a new one starts in its place. No call is sent to
// a gate that counts as unreachable, so the entry must reconnect by itself.
BOOST_FIXTURE_TEST_CASE(LostGateIsRedialledWithoutCalls, EntryFixture) {
  this->request(1, "/read/1");
  std::string Gate = this->Dialled.back();
  this->connectGate(Gate);
  this->TestedEntry->linkDown(Gate, this->Now);
  size_t Before = std::count(this->Dialled.begin(), this->Dialled.end(), Gate);
  this->advanceTime(Millis(400));
  BOOST_TEST(static_cast<size_t>(std::count(
                 this->Dialled.begin(), this->Dialled.end(), Gate)) > Before);
}

// The link is lost after the call was sent. An idempotent call is tried
// elsewhere at once; for any other the entry must first find out whether it
// ran.
BOOST_FIXTURE_TEST_CASE(OnlyIdempotentCallsLeaveALostLink, EntryFixture) {
  this->request(1, "/write/1");
  std::string Gate = this->Dialled.back();
  this->connectGate(Gate);
  this->TestedEntry->linkDown(Gate, this->Now);
  BOOST_TEST(this->opens().size() == 1u);
  this->request(2, "/read/1");
  std::string Other = this->Dialled.back();
  this->connectGate(Other);
  BOOST_REQUIRE(this->opens().back().first == Other);
  this->TestedEntry->linkDown(Other, this->Now);
  BOOST_TEST(this->Dialled.back() != Other);
}

// The link to a gate is lost while its upstream runs an idempotent call, and
// the other gates have no capacity. The caller must get the answer of the first
// run over the next link, and not a failure while that run continues.
BOOST_FIXTURE_TEST_CASE(IdempotentCallReturnsToFirstRunWhenOthersAreFull,
                        EntryFixture) {
  this->request(1, "/read/1");
  std::string First = this->Dialled.back();
  this->connectGate(First);
  uint64_t Seq = this->opens().back().second->seq;
  this->TestedEntry->linkDown(First, this->Now);
  for (int I = 0; I < 2; ++I) {
    this->connectGate(this->Dialled.back());
    auto [Gate, Open] = this->opens().back();
    BOOST_REQUIRE(Gate != First);
    this->sendFailed(Gate, Open->seq, wire::Outcome::NotRun, "overload");
  }
  BOOST_TEST(this->Refused.empty());
  this->advanceTime(Millis(40));
  BOOST_REQUIRE(this->Dialled.back() == First);
  this->connectGate(First);
  BOOST_TEST(this->cancels(First) == 0u);
  BOOST_TEST(this->opens().back().second->resume);
  BOOST_TEST(this->opens().back().second->seq == Seq);
  wire::HeadT Head;
  Head.seq = Seq;
  Head.status = 200;
  this->TestedEntry->handleFrame(First, makeCallFrame(std::move(Head)),
                                 this->Now);
  BOOST_TEST(this->Answered.count(1) == 1u);
}

// The link to a gate is lost, and an idempotent call goes to another gate. The
// next link is up before that gate has answered. If the first run were
// cancelled then and the other gate had no capacity or was stopping, the caller
// would get an unknown outcome although the run was nearly finished. So the
// first gate is asked about the run, and a run is left only for an answer or
// for a run that began earlier.
BOOST_DATA_TEST_CASE(RunInProgressIsNotCancelledOnReconnect,
                     data::make(DetachedRunRows), Row) {
  EntryFixture Test;
  Test.setGates({"g-1", "g-2"});
  Test.request(1, "/read/1");
  std::string First = Test.Dialled.back();
  Test.connectGate(First);
  uint64_t Seq = Test.opens().back().second->seq;
  Test.TestedEntry->linkDown(First, Test.Now);
  std::string Other = Test.Dialled.back();
  Test.connectGate(Other);
  uint64_t OtherSeq = Test.opens().back().second->seq;
  BOOST_REQUIRE(Other != First);
  Test.advanceTime(Millis(40));
  Test.connectGate(First);
  BOOST_REQUIRE(Test.opens().back().first == First);
  BOOST_TEST(Test.opens().back().second->resume);
  BOOST_TEST(Test.opens().back().second->seq == Seq);
  BOOST_TEST(Test.cancels(First) == 0u);
  if (Row.Other == OtherReport::NoCapacity)
    Test.sendFailed(Other, OtherSeq, wire::Outcome::NotRun, "overload");
  wire::AdmittedT Admitted;
  Admitted.seq = Seq;
  if (Row.First == FirstReport::Admitted)
    Test.TestedEntry->handleFrame(First, makeCallFrame(Admitted), Test.Now);
  if (Row.First == FirstReport::Ended)
    Test.sendFailed(First, Seq, wire::Outcome::Unknown, "entry-lost");
  BOOST_TEST(Test.Refused.empty());
  wire::HeadT Head;
  Head.seq = Row.AnswerOfFirst ? Seq : OtherSeq;
  Head.status = 200;
  Test.TestedEntry->handleFrame(Row.AnswerOfFirst ? First : Other,
                                makeCallFrame(std::move(Head)), Test.Now);
  BOOST_TEST(Test.Answered.count(1) == 1u);
  BOOST_TEST(Test.cancels(First) == Row.CancelsFirst);
  BOOST_TEST(Test.cancels(Other) == Row.CancelsOther);
}

// The link over which the gate was asked is lost too, before it has replied. It
// must be asked again over the next one.
BOOST_FIXTURE_TEST_CASE(DetachedRunIsQueriedOverEachNewLink, EntryFixture) {
  this->setGates({"g-1", "g-2"});
  this->request(1, "/read/1");
  std::string First = this->Dialled.back();
  this->connectGate(First);
  uint64_t Seq = this->opens().back().second->seq;
  this->TestedEntry->linkDown(First, this->Now);
  this->connectGate(this->Dialled.back());
  for (int I = 0; I < 2; ++I) {
    this->advanceTime(Millis(40));
    BOOST_REQUIRE(this->Dialled.back() == First);
    this->connectGate(First);
    BOOST_TEST(this->opens().back().second->resume);
    BOOST_TEST(this->opens().back().second->seq == Seq);
    this->TestedEntry->linkDown(First, this->Now);
  }
  this->TestedEntry->callerGone(1, this->Now);
  this->advanceTime(Millis(40));
  this->connectGate(First);
  BOOST_TEST(this->cancels(First) == 1u);
  BOOST_TEST(this->TestedEntry->idle());
}

// The link is lost because the gate's process has ended, and the run with it.
// The call must not wait for that run.
BOOST_FIXTURE_TEST_CASE(RunOfRestartedGateIsNotAwaited, EntryFixture) {
  this->setGates({"g-1", "g-2"});
  this->request(1, "/read/1");
  std::string First = this->Dialled.back();
  this->connectGate(First);
  this->TestedEntry->linkDown(First, this->Now);
  this->connectGate(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  this->sendFailed(Gate, Open->seq, wire::Outcome::NotRun, "overload");
  this->advanceTime(Millis(40));
  this->connectGate(First, /*Incarnation=*/2);
  BOOST_TEST(this->Refused[1].rfind("unknown", 0) == 0);
  BOOST_TEST(this->TestedEntry->idle());
}

// The time limit of a planned stop is over while calls are in progress. Their
// callers must get an answer with the right outcome: one call was sent, of the
// other nothing was.
BOOST_FIXTURE_TEST_CASE(RemainingCallsAreAnsweredAtStop, EntryFixture) {
  this->request(1, "/write/1");
  std::string Gate = this->Dialled.back();
  this->connectGate(Gate);
  this->setGates({"g-4"});
  this->request(2, "/write/2");
  this->TestedEntry->failRemainingCalls(this->Now);
  BOOST_TEST(this->Refused[1] == "unknown stopped");
  BOOST_TEST(this->Refused[2] == "not-run stopped");
  BOOST_TEST(this->cancels(Gate) == 1u);
  BOOST_TEST(this->TestedEntry->idle());
}

// The link to a gate is slow, and frames arrive half a second late. The link is
// declared dead once and is replaced. If the new one had the same time limit,
// each would be replaced in turn, and all calls there would search for their
// answers until their callers are gone.
BOOST_FIXTURE_TEST_CASE(SlowLinkIsReplacedOnlyOnce, EntryFixture) {
  this->setGates({"g-1"});
  this->request(1, "/write/1");
  this->connectGate("g-1");
  this->advanceTime(Millis(650));
  BOOST_TEST(this->Dialled.size() == 2u);
  this->connectGate("g-1");
  this->request(2, "/write/2");
  this->advanceTime(Millis(650));
  BOOST_TEST(this->Dialled.size() == 2u);
  // Long afterwards the usual time limit applies again.
  this->advanceTime(Millis(15000));
  this->connectGate("g-1");
  size_t Before = this->Dialled.size();
  this->request(3, "/write/3");
  this->advanceTime(Millis(650));
  BOOST_TEST(this->Dialled.size() == Before + 1);
}

// A long body must be sent only to the gate that runs the call, and not to
// gates that refuse it.
BOOST_FIXTURE_TEST_CASE(LongBodyIsSentOnlyAfterAdmission, EntryFixture) {
  this->upload(1);
  this->connectGate(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  BOOST_TEST(Open->holds_body);
  BOOST_TEST(this->bodyBytes() == 0u);
  this->sendFailed(Gate, Open->seq, wire::Outcome::NotRun, "overload");
  this->connectGate(this->Dialled.back());
  wire::AdmittedT Admitted;
  Admitted.seq = this->opens().back().second->seq;
  this->TestedEntry->handleFrame(this->opens().back().first,
                                 makeCallFrame(Admitted), this->Now);
  BOOST_TEST(this->bodyBytes() == 16384u);
  wire::CreditT Credit;
  Credit.seq = Admitted.seq;
  Credit.consumed = 5000;
  this->TestedEntry->handleFrame(this->opens().back().first,
                                 makeCallFrame(Credit), this->Now);
  BOOST_TEST(this->bodyBytes() == 20000u);
}

// The upstream refuses an upload when most of it has arrived. The whole body is
// still buffered, so it must be sent to another gate without the caller
// noticing.
BOOST_FIXTURE_TEST_CASE(RefusedUploadIsResentFromFirstByte, EntryFixture) {
  this->upload(1);
  for (int Try = 0; Try < 2; ++Try) {
    size_t Before = this->bodyBytes();
    this->connectGate(this->Dialled.back());
    auto [ToGate, Open] = this->opens().back();
    wire::AdmittedT Admitted;
    Admitted.seq = Open->seq;
    this->TestedEntry->handleFrame(ToGate, makeCallFrame(Admitted), this->Now);
    wire::CreditT Credit;
    Credit.seq = Open->seq;
    Credit.consumed = 16384;
    this->TestedEntry->handleFrame(ToGate, makeCallFrame(Credit), this->Now);
    BOOST_TEST(this->bodyBytes() - Before == 20000u);
    if (Try == 0)
      this->sendFailed(ToGate, Open->seq, wire::Outcome::NotRun,
                       "upstream-shed");
  }
  BOOST_TEST(this->Refused.empty());
}

// Guards against calls to an upstream that is leaving: its gate was started
// again and takes calls, because it has not read an answer yet.
BOOST_FIXTURE_TEST_CASE(UpstreamThatStatedItLeavesGetsNoCalls, EntryFixture) {
  this->setGates({"g-1"});
  this->TestedEntry->membersChanged(this->Now);
  this->request(1, "/read/1");
  this->connectGate("g-1");
  this->answerWith(this->opens().back().second->seq,
                   {"Hickorylift-Leaving", "1"});
  this->TestedEntry->linkDown("g-1", this->Now);
  this->connectGate("g-1", /*Incarnation=*/2);
  const wire::CallHelloT *Hello = this->lastHello();
  BOOST_REQUIRE(Hello);
  BOOST_TEST(Hello->upstream == "up-g-1");
  BOOST_TEST(Hello->stated_leaving);
  this->request(2, "/read/2");
  BOOST_TEST(this->Refused.count(2) == 1u);
  BOOST_TEST(this->opens().size() == 1u);
  this->setGates({"g-1", "g-2"});
  this->TestedEntry->membersChanged(this->Now);
  this->request(3, "/read/3");
  this->connectGate("g-2");
  BOOST_TEST(this->opens().back().first == "g-2");
}

// Guards against a gate whose process is new and that sends a burst to an
// upstream which states a rate.
BOOST_FIXTURE_TEST_CASE(EntryRepeatsTheStatedRate, EntryFixture) {
  this->setGates({"g-1"});
  this->TestedEntry->membersChanged(this->Now);
  this->request(1, "/read/1");
  this->connectGate("g-1");
  BOOST_TEST(!this->lastHello()->stated_rate);
  this->answerWith(this->opens().back().second->seq,
                   {"Hickorylift-Rate-Limit", "2.5"});
  this->TestedEntry->linkDown("g-1", this->Now);
  this->connectGate("g-1", /*Incarnation=*/2);
  BOOST_REQUIRE(this->lastHello()->stated_rate);
  BOOST_TEST(*this->lastHello()->stated_rate == 2.5);
}

BOOST_FIXTURE_TEST_CASE(OpenFrameNamesOriginAndUpstream, EntryFixture) {
  this->request(1, "/read/1");
  this->connectGate(this->Dialled.back());
  auto [Gate, Open] = this->opens().back();
  BOOST_TEST(Open->upstream == "up-" + Gate);
  BOOST_TEST(findHeader(fromWire(Open->headers), "Origin") == "b");
}

/// How a gate or its upstream ends a call, and what the entry makes of it.
struct RefuteRow {
  const char *Reason;
  bool HasOtherClaim;
  bool Refuted;
  bool SameGateAgain;
};
std::ostream &operator<<(std::ostream &Stream, const RefuteRow &Row) {
  return Stream << Row.Reason << (Row.HasOtherClaim ? ", another claim" : "");
}

const RefuteRow RefuteRows[] = {
    {"upstream-replaced", true, true, true},
    {"not-my-service", true, true, true},
    {"upstream-replaced", false, true, false},
    {"overload", true, false, false},
};

// Guards against calls that go on naming an upstream that has disowned them,
// and against losing the only gate of a service over it.
BOOST_DATA_TEST_CASE(DisownedCallsRefuteTheClaim, data::make(RefuteRows), Row) {
  EntryFixture Test;
  Test.setGates({"g-1"});
  Test.HasOtherClaim = Row.HasOtherClaim;
  Test.connectGate("g-1");
  Test.request(1, "/read/1");
  Test.sendFailed("g-1", Test.opens().back().second->seq, wire::Outcome::NotRun,
                  Row.Reason);
  BOOST_TEST(Test.RefutedStarts.size() == (Row.Refuted ? 1u : 0u));
  if (Row.Refuted)
    BOOST_TEST(Test.RefutedStarts[0].first == "up-g-1");
  BOOST_TEST(Test.opens().size() == (Row.SameGateAgain ? 2u : 1u));
  BOOST_TEST(Test.Refused.count(1) == (Row.SameGateAgain ? 0u : 1u));
}

// Guards against an upstream that is displaced while it answers, and against
// holding on to one that has failed or is silent.
BOOST_FIXTURE_TEST_CASE(AnswersConfirmTheUpstream, EntryFixture) {
  this->setGates({"g-1"});
  Instance Named = *this->Fleet.find("g-1");
  Instance Other = Named;
  Other.Upstream = "other";
  auto Answer = [&](Entry::CallerId Id) {
    this->request(Id, "/read/1");
    this->answerWith(this->opens().back().second->seq, {"a", "b"});
  };
  this->connectGate("g-1");
  BOOST_TEST(!this->TestedEntry->isConfirmed(Named));
  Answer(1);
  BOOST_TEST(this->TestedEntry->isConfirmed(Named));
  BOOST_TEST(!this->TestedEntry->isConfirmed(Other));
  this->advanceTime(Millis(3100));
  BOOST_TEST(!this->TestedEntry->isConfirmed(Named));
  Answer(2);
  this->request(3, "/write/1");
  this->sendFailed("g-1", this->opens().back().second->seq,
                   wire::Outcome::Unknown, "upstream-crashed");
  BOOST_TEST(!this->TestedEntry->isConfirmed(Named));
}

/// A call during a planned stop, by how long the route's calls have taken.
struct StopRow {
  const char *Name;
  std::optional<Millis> Known;
  Millis Budget;
  Millis UntilStop;
  const char *Refused;
};
std::ostream &operator<<(std::ostream &Stream, const StopRow &Row) {
  return Stream << Row.Name;
}

const StopRow StopRows[] = {
    {"its deadline is before the stop", std::nullopt, Millis(400), Millis(500),
     ""},
    {"nothing is known of its route", std::nullopt, Millis(800), Millis(500),
     "not-run stopping"},
    {"its route's calls are short", Millis(100), Millis(800), Millis(500), ""},
    {"its route's calls are long", Millis(700), Millis(800), Millis(500),
     "not-run stopping"},
};

// Guards against a call that must not run twice, taken during a stop and cut at
// its end.
BOOST_DATA_TEST_CASE(StopsTakeOnlyWhatCanEnd, data::make(StopRows), Row) {
  EntryFixture Test;
  Test.setGates({"g-1"});
  Test.connectGate("g-1");
  if (Row.Known) {
    Test.request(1, "/write/1");
    uint64_t Seq = Test.opens().back().second->seq;
    Test.advanceTime(*Row.Known);
    Test.answerWith(Seq, {"a", "b"});
    wire::DataT End;
    End.seq = Seq;
    End.end = true;
    Test.TestedEntry->handleFrame("g-1", makeCallFrame(std::move(End)),
                                  Test.Now);
  }
  size_t Before = Test.opens().size();
  Test.StopsAt = Test.Now + Row.UntilStop;
  Test.request(2, "/write/1", Row.Budget);
  BOOST_TEST(Test.Refused[2] == Row.Refused);
  BOOST_TEST(Test.opens().size() - Before == (Row.Refused[0] ? 0u : 1u));
}

// Guards against a second try that begins during a stop and is cut.
BOOST_FIXTURE_TEST_CASE(StopsBeginNoSecondTryThatCannotEnd, EntryFixture) {
  this->connectGate("g-1");
  this->connectGate("g-2");
  this->connectGate("g-3");
  this->request(1, "/read/1", Millis(900));
  auto [Gate, Open] = this->opens().back();
  this->StopsAt = this->Now + Millis(500);
  this->sendFailed(Gate, Open->seq, wire::Outcome::NotRun, "overload");
  BOOST_TEST(this->opens().size() == 1u);
  BOOST_TEST(this->Refused[1] == "not-run overload");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
