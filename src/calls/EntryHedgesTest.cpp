#include "calls/Entry.h"

#include "config/RecordFile.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr Millis RunTime{40};
// After the delay that is learned from runs of RunTime.
constexpr Millis HedgedBy{120};
constexpr Entry::CallerId Tested = 1000;

const std::string Records = R"([
  {"kind":"service","name":"a","schema":1},
  {"kind":"route","name":"read","schema":3,"match":{"prefix":"/read/"},
   "service":"a","idempotent":true,"attempts":2,"timeout_ms":1000},
  {"kind":"route","name":"once","schema":3,"match":{"prefix":"/once/"},
   "service":"a","idempotent":true,"attempts":1,"timeout_ms":1000},
  {"kind":"route","name":"write","schema":3,"match":{"prefix":"/write/"},
   "service":"a","idempotent":false,"attempts":2,"timeout_ms":1000}])";

/// An entry with hedging whose two gates are simulated by the test.
struct HedgeFixture {
  Membership Fleet{{.Self = "me", .DataCentre = "north"}};
  std::unique_ptr<Entry> TestedEntry;
  std::vector<std::string> Dialled;
  std::vector<std::pair<std::string, wire::CallFrameT>> Sent;
  std::map<Entry::CallerId, std::string> Refused;
  std::map<Entry::CallerId, int> Heads;
  std::vector<std::string> Events;
  Quarantine::Decision Decision;
  TimePoint Now = Start;
  Entry::CallerId LastLearned = 0;

  explicit HedgeFixture(HedgePolicy::Options HedgeOptions = {.Enabled = true,
                                                             .MaxPercent = 100},
                        double FleetRetryReserve = 0) {
    this->setGates({"g-1", "g-2"});
    Entry::Options Opts;
    Opts.Self = "me";
    Opts.DataCentre = "north";
    Opts.HeaderNames.Budget = "Budget";
    Opts.HedgeOptions = HedgeOptions;
    Opts.FleetRetryReserve = FleetRetryReserve;
    Opts.MaxRetryPercent = FleetRetryReserve > 0 ? 0 : 100;
    this->TestedEntry =
        std::make_unique<Entry>(Opts, this->hooks(), this->Fleet);
    FaultList Faults;
    this->TestedEntry->configure(
        compileConfig(
            *Document::make(1, 1, *readRecordFile(Records, "f", Faults)),
            CompileOptions())
            .Compiled);
  }

  Entry::Hooks hooks() {
    Entry::Hooks Hooks;
    Hooks.LogEvent = [this](const Entry::CallEvent &Event, TimePoint) {
      this->Events.push_back(Event.Name);
    };
    Hooks.Connect = [this](const Instance &Gate) {
      this->Dialled.push_back(Gate.Name);
    };
    Hooks.Send = [this](const std::string &Gate, wire::CallFrameT Frame) {
      this->Sent.emplace_back(Gate, std::move(Frame));
    };
    Hooks.Close = [](const std::string &) {};
    Hooks.Head = [this](Entry::CallerId Id, const ResponseHead &) {
      ++this->Heads[Id];
    };
    Hooks.Body = [](Entry::CallerId, std::string_view) {};
    Hooks.BodyEnd = [](Entry::CallerId) {};
    Hooks.Abort = [this](Entry::CallerId Id, const Refusal &Cause) {
      this->Refused[Id] = "broken " + Cause.Reason;
    };
    Hooks.Refuse = [this](Entry::CallerId Id, const Refusal &Cause) {
      this->Refused[Id] =
          std::string(outcomeName(Cause.CallOutcome)) + " " + Cause.Reason;
    };
    Hooks.PauseRequest = [](Entry::CallerId, bool) {};
    Hooks.CheckQuarantine = [this](const Fingerprint &, TimePoint) {
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
      Entries[Name] = makeEntry(Name, writeInstance(Gate));
    }
    this->Fleet.update("north", *Document::make(1, 1, Entries));
  }

  void connectGate(const std::string &Gate, uint64_t Incarnation = 1) {
    this->TestedEntry->linkUp(Gate, this->Now);
    wire::CallHelloT Hello;
    Hello.incarnation = Incarnation;
    this->handle(Gate, std::move(Hello));
  }
  void connectDialled() {
    for (const std::string &Gate : std::exchange(this->Dialled, {}))
      this->connectGate(Gate);
  }
  template <typename Payload>
  void handle(const std::string &Gate, Payload Frame) {
    this->TestedEntry->handleFrame(Gate, makeCallFrame(std::move(Frame)),
                                   this->Now);
  }

  void request(Entry::CallerId Id, const std::string &Path, int64_t Length = 0,
               const std::string &Budget = "") {
    RequestHead Head;
    Head.Method = "GET";
    Head.Path = Path;
    Head.Length = Length;
    if (!Budget.empty())
      Head.Headers = {{"Budget", Budget}};
    this->TestedEntry->request(Id, Head, this->Now);
    if (Length > 0) {
      this->TestedEntry->body(Id, std::string(Length, 'x'), this->Now);
      this->TestedEntry->bodyEnd(Id, this->Now);
    }
  }

  /// The calls sent: the gate and the Open frame of each.
  std::vector<std::pair<std::string, wire::OpenT>> opens() const {
    std::vector<std::pair<std::string, wire::OpenT>> Result;
    for (const auto &[Gate, Frame] : this->Sent)
      if (const auto *Open = Frame.payload.AsOpen())
        Result.emplace_back(Gate, *Open);
    return Result;
  }
  size_t cancels(const std::string &ToGate) const {
    size_t Count = 0;
    for (const auto &[Gate, Frame] : this->Sent)
      Count += Gate == ToGate && Frame.payload.AsCancel() != nullptr;
    return Count;
  }

  void answer(const std::string &Gate, uint64_t Seq) {
    wire::HeadT Head;
    Head.seq = Seq;
    Head.status = 200;
    this->handle(Gate, std::move(Head));
    wire::DataT Data;
    Data.seq = Seq;
    Data.end = true;
    this->handle(Gate, std::move(Data));
  }
  void fail(const std::string &Gate, uint64_t Seq, wire::Outcome Outcome,
            const std::string &Reason) {
    wire::FailedT Failed;
    Failed.seq = Seq;
    Failed.outcome = Outcome;
    Failed.reason = Reason;
    this->handle(Gate, std::move(Failed));
  }
  void advanceTime(Millis Time) {
    for (Millis Step(0); Step < Time; Step += Millis(20)) {
      this->Now += Millis(20);
      this->TestedEntry->tick(this->Now);
    }
  }

  /// Lets the entry learn that calls of Path take RunTime.
  void learn(const std::string &Path, int Count = 25) {
    for (int I = 0; I < Count; ++I) {
      this->request(++this->LastLearned, Path);
      this->connectDialled();
      auto [Gate, Open] = this->opens().back();
      this->advanceTime(RunTime);
      this->answer(Gate, Open.seq);
    }
    this->Sent.clear();
    this->Events.clear();
  }
  size_t hedgesSent() const { return this->TestedEntry->counters().HedgesSent; }
};

/// What is different about a call that must not be hedged.
struct ForbiddenRow {
  const char *Name;
  std::function<void(HedgeFixture &)> Send;
  bool Hedged = false;
};
std::ostream &operator<<(std::ostream &To, const ForbiddenRow &Row) {
  return To << Row.Name;
}

void sendAs(HedgeFixture &Test, Quarantine::Status Status) {
  Test.Decision.RequestStatus = Status;
  Test.request(Tested, "/read/1");
}

const ForbiddenRow ForbiddenRows[] = {
    {"hedged, for comparison",
     [](HedgeFixture &Test) { Test.request(Tested, "/read/1"); }, true},
    {"must not run twice",
     [](HedgeFixture &Test) { Test.request(Tested, "/write/1"); }},
    {"one attempt only",
     [](HedgeFixture &Test) { Test.request(Tested, "/once/1"); }},
    {"has a body",
     [](HedgeFixture &Test) { Test.request(Tested, "/read/1", 10); }},
    {"no time for a usual run",
     [](HedgeFixture &Test) { Test.request(Tested, "/read/1", 0, "100"); }},
    {"on quarantine trial",
     [](HedgeFixture &Test) { sendAs(Test, Quarantine::Status::Trial); }},
    {"a suspect",
     [](HedgeFixture &Test) { sendAs(Test, Quarantine::Status::Suspect); }},
    {"became a suspect",
     [](HedgeFixture &Test) {
       Test.request(Tested, "/read/1");
       Test.Decision.RequestStatus = Quarantine::Status::Suspect;
     }},
    {"has an answer head",
     [](HedgeFixture &Test) {
       Test.request(Tested, "/read/1");
       wire::HeadT Head;
       Head.seq = Test.opens().back().second.seq;
       Head.status = 200;
       Test.handle(Test.opens().back().first, std::move(Head));
     }},
    {"no other gate",
     [](HedgeFixture &Test) {
       Test.request(Tested, "/read/1");
       Test.setGates({Test.opens().back().first});
     }},
    {"crashed an upstream",
     [](HedgeFixture &Test) {
       Test.setGates({"g-1", "g-2", "g-3"});
       Test.request(Tested, "/read/1");
       Test.connectDialled();
       auto [Gate, Open] = Test.opens().back();
       Test.fail(Gate, Open.seq, wire::Outcome::Unknown, "upstream-crashed");
     }},
};

enum class Step {
  FirstAnswers,
  HedgeAnswers,
  HedgeRefused,
  FirstNotRun,
  FirstUnknown,
  HedgeNotRun,
  HedgeUnknown,
  FirstLinkLost,
  HedgeLinkLost,
  FirstResumed,
  FirstRestarted,
  CallerGone,
  Deadline,
  Stop,
};

/// What happens to a call with two runs, how it ends, and how many
/// cancellations each gate gets. An empty End means that it has not ended.
struct EndRow {
  const char *Name;
  std::vector<Step> Steps;
  const char *End;
  size_t CancelsFirst = 0;
  size_t CancelsHedge = 0;
};
std::ostream &operator<<(std::ostream &To, const EndRow &Row) {
  return To << Row.Name;
}

const EndRow EndRows[] = {
    {"first answers", {Step::FirstAnswers}, "answered", 0, 1},
    {"hedge answers", {Step::HedgeAnswers}, "answered", 1, 0},
    {"first answers after the hedge",
     {Step::HedgeAnswers, Step::FirstAnswers},
     "answered",
     1,
     0},
    {"hedge answers after the first",
     {Step::FirstAnswers, Step::HedgeAnswers},
     "answered",
     0,
     1},
    {"hedge refused", {Step::HedgeRefused, Step::FirstAnswers}, "answered"},
    {"hedge refused, first fails: the next try is offered",
     {Step::HedgeRefused, Step::FirstUnknown},
     ""},
    {"first fails, hedge refused: the next try is offered",
     {Step::FirstNotRun, Step::HedgeRefused},
     ""},
    {"hedge not run", {Step::HedgeNotRun, Step::FirstAnswers}, "answered"},
    {"hedge may have run, first not",
     {Step::HedgeUnknown, Step::FirstNotRun},
     "unknown upstream-closed"},
    {"first may have run, hedge not",
     {Step::FirstUnknown, Step::HedgeNotRun},
     "unknown upstream-closed"},
    {"hedge not run, first may have",
     {Step::HedgeNotRun, Step::FirstUnknown},
     "unknown upstream-closed"},
    {"neither has run",
     {Step::FirstNotRun, Step::HedgeNotRun},
     "not-run overload"},
    {"both may have run",
     {Step::FirstUnknown, Step::HedgeUnknown},
     "unknown upstream-closed"},
    {"first fails, hedge answers",
     {Step::FirstUnknown, Step::HedgeAnswers},
     "answered"},
    {"first's link lost, hedge answers",
     {Step::FirstLinkLost, Step::HedgeAnswers},
     "answered"},
    {"first's link lost, hedge not run: the first is asked about",
     {Step::FirstLinkLost, Step::HedgeNotRun},
     ""},
    {"first's link lost, found again, first answers",
     {Step::FirstLinkLost, Step::FirstResumed, Step::FirstAnswers},
     "answered",
     0,
     1},
    {"first's link lost, found again, hedge answers",
     {Step::FirstLinkLost, Step::FirstResumed, Step::HedgeAnswers},
     "answered",
     1,
     0},
    // The cancellation is for a run that the new process does not know.
    {"first's gate restarts, hedge answers",
     {Step::FirstLinkLost, Step::FirstRestarted, Step::HedgeAnswers},
     "answered",
     1,
     0},
    {"first's gate restarts, hedge not run",
     {Step::FirstLinkLost, Step::FirstRestarted, Step::HedgeNotRun},
     "unknown link-lost",
     1,
     0},
    {"hedge's link lost, first answers",
     {Step::HedgeLinkLost, Step::FirstAnswers},
     "answered"},
    {"hedge's link lost, first not run",
     {Step::HedgeLinkLost, Step::FirstNotRun},
     "unknown link-lost"},
    {"both links lost", {Step::FirstLinkLost, Step::HedgeLinkLost}, ""},
    {"caller gone", {Step::CallerGone}, "", 1, 1},
    {"deadline", {Step::Deadline}, "unknown deadline", 1, 1},
    {"stop", {Step::Stop}, "unknown stopped", 1, 1},
};

/// A call with a hedge under way.
struct TwoRuns : HedgeFixture {
  std::string First, Second;
  uint64_t FirstSeq = 0, SecondSeq = 0;

  TwoRuns() {
    this->learn("/read/0");
    // Both gates are connected, so that the hedge is sent at once.
    for (const char *Gate : {"g-1", "g-2"})
      this->connectGate(Gate);
    this->request(Tested, "/read/1");
    std::tie(this->First, this->FirstSeq) = this->lastOpen();
    this->advanceTime(HedgedBy);
    std::tie(this->Second, this->SecondSeq) = this->lastOpen();
    BOOST_REQUIRE(this->opens().size() == 2u);
    BOOST_REQUIRE(this->First != this->Second);
    BOOST_TEST(this->opens().back().second.hedge);
    BOOST_TEST(!this->opens().front().second.hedge);
  }
  std::pair<std::string, uint64_t> lastOpen() const {
    auto [Gate, Open] = this->opens().back();
    return {Gate, Open.seq};
  }

  void apply(Step What) {
    constexpr wire::Outcome NotRun = wire::Outcome::NotRun;
    constexpr wire::Outcome Unknown = wire::Outcome::Unknown;
    const char *Closed = "upstream-closed";
    switch (What) {
    case Step::FirstAnswers:
      return this->answer(this->First, this->FirstSeq);
    case Step::HedgeAnswers:
      return this->answer(this->Second, this->SecondSeq);
    case Step::HedgeRefused:
      return this->fail(this->Second, this->SecondSeq, NotRun, "hedge-refused");
    case Step::FirstNotRun:
      return this->fail(this->First, this->FirstSeq, NotRun, "overload");
    case Step::FirstUnknown:
      return this->fail(this->First, this->FirstSeq, Unknown, Closed);
    case Step::HedgeNotRun:
      return this->fail(this->Second, this->SecondSeq, NotRun, "overload");
    case Step::HedgeUnknown:
      return this->fail(this->Second, this->SecondSeq, Unknown, Closed);
    case Step::FirstLinkLost:
      return this->TestedEntry->linkDown(this->First, this->Now);
    case Step::HedgeLinkLost:
      return this->TestedEntry->linkDown(this->Second, this->Now);
    case Step::FirstResumed: {
      this->connectGate(this->First);
      wire::AdmittedT Admitted;
      Admitted.seq = this->FirstSeq;
      return this->handle(this->First, Admitted);
    }
    case Step::FirstRestarted:
      return this->connectGate(this->First, /*Incarnation=*/2);
    case Step::CallerGone:
      return this->TestedEntry->callerGone(Tested, this->Now);
    case Step::Deadline:
      return this->advanceTime(Millis(1000));
    case Step::Stop:
      return this->TestedEntry->failRemainingCalls(this->Now);
    }
  }
  std::string end() {
    return this->Heads[Tested] ? "answered" : this->Refused[Tested];
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntryHedges)

// Guards against hedges that could run a call twice against its route, or that
// cost more than they can gain.
BOOST_DATA_TEST_CASE(ConditionsOfHedge, data::make(ForbiddenRows), Row) {
  HedgeFixture Test;
  for (const char *Path : {"/read/0", "/once/0", "/write/0"})
    Test.learn(Path);
  Row.Send(Test);
  Test.connectDialled();
  Test.advanceTime(HedgedBy);
  Test.connectDialled();
  BOOST_TEST(Test.hedgesSent() == (Row.Hedged ? 1u : 0u));
  for (const auto &[Gate, Open] : Test.opens())
    BOOST_TEST((!Open.hedge || Row.Hedged));
}

// With hedging off, or before enough answers are known, calls are sent as
// without it.
BOOST_AUTO_TEST_CASE(NoHedgeWhileOffOrUnknown) {
  for (bool Enabled : {true, false}) {
    HedgeFixture Test({.Enabled = Enabled, .MaxPercent = 100});
    Test.learn("/read/0", Enabled ? 10 : 30);
    Test.request(Tested, "/read/1");
    Test.advanceTime(Millis(500));
    BOOST_TEST(Test.opens().size() == 1u);
  }
}

// A call with two runs must end once, as unknown if either may have run, with
// no run left that nobody waits for, and with the right counts of calls at both
// gates.
BOOST_DATA_TEST_CASE(EndsOfCallWithTwoRuns, data::make(EndRows), Row) {
  TwoRuns Test;
  const LoadBalancer &Balancer = Test.TestedEntry->balancer();
  BOOST_TEST(Balancer.outstanding(Test.First) == 1u);
  BOOST_TEST(Balancer.outstanding(Test.Second) == 1u);
  for (Step What : Row.Steps)
    Test.apply(What);
  BOOST_TEST(Test.end() == Row.End);
  BOOST_TEST(Test.Heads[Tested] <= 1);
  BOOST_TEST(Test.cancels(Test.First) == Row.CancelsFirst);
  BOOST_TEST(Test.cancels(Test.Second) == Row.CancelsHedge);
  bool Pending = !Test.TestedEntry->idle();
  BOOST_TEST(Balancer.outstanding("g-1") + Balancer.outstanding("g-2") ==
             (Pending ? 1u : 0u));
  bool Ended = *Row.End || Row.Steps.front() == Step::CallerGone;
  BOOST_TEST(Pending == !Ended);
  BOOST_TEST(std::count(Test.Events.begin(), Test.Events.end(),
                        "call-refused") == (Row.End[0] == 'n' ? 1 : 0));
}

// A refused hedge must cost nothing: it must spend no retry of the service,
// must not close the gate to later calls, and must not be followed by a second
// hedge of the same call.
BOOST_AUTO_TEST_CASE(RefusedHedgeCostsNothing) {
  HedgeFixture Test({.Enabled = true, .MaxPercent = 100},
                    /*FleetRetryReserve=*/2);
  Test.learn("/read/0");
  for (const char *Gate : {"g-1", "g-2"})
    Test.connectGate(Gate);
  for (Entry::CallerId Id = Tested; Id < Tested + 3; ++Id) {
    Test.request(Id, "/read/1");
    Test.advanceTime(HedgedBy);
    auto [Gate, Open] = Test.opens().back();
    BOOST_REQUIRE(Open.hedge);
    Test.fail(Gate, Open.seq, wire::Outcome::NotRun, "hedge-refused");
    Test.advanceTime(HedgedBy);
  }
  BOOST_TEST(Test.hedgesSent() == 3u);
  BOOST_TEST(Test.TestedEntry->counters().HedgesRefused == 3u);
  BOOST_TEST(Test.TestedEntry->counters().Retries == 0u);
  BOOST_TEST(Test.Events.empty());
}

// The first runs of many calls are slow and their hedges fast. If the run time
// of a hedge were learned, these calls would count as fast ones, and the delay
// would stay as short as it was. Instead it becomes longer after a few hedges,
// long before the reserve of ten retries ends them.
BOOST_AUTO_TEST_CASE(DelayCountsFromFirstOffer) {
  HedgeFixture Test;
  Test.learn("/read/0");
  for (Entry::CallerId Id = Tested; Id < Tested + 40; ++Id) {
    Test.request(Id, "/read/1");
    Test.connectDialled();
    Test.advanceTime(HedgedBy);
    Test.connectDialled();
    auto [Gate, Open] = Test.opens().back();
    Test.answer(Gate, Open.seq);
  }
  BOOST_TEST(Test.hedgesSent() >= 2u);
  BOOST_TEST(Test.hedgesSent() <= 5u);
}

// Hedges draw on the retries of their service: here a reserve of one at this
// node.
BOOST_AUTO_TEST_CASE(HedgesAreLimitedByRetryBudget) {
  HedgeFixture Test({.Enabled = true, .MaxPercent = 100},
                    /*FleetRetryReserve=*/2);
  Test.learn("/read/0");
  for (Entry::CallerId Id = Tested; Id < Tested + 5; ++Id)
    Test.request(Id, "/read/1");
  Test.connectDialled();
  Test.advanceTime(HedgedBy);
  BOOST_TEST(Test.hedgesSent() == 1u);
}

// The gate of the hedge is not connected yet when the deadline passes. Nothing
// was sent to it, but the first run may have run.
BOOST_AUTO_TEST_CASE(UnsentHedgeDoesNotMeanNotRun) {
  HedgeFixture Test;
  Test.setGates({"g-1"});
  Test.learn("/read/0");
  Test.request(Tested, "/read/1", 0, "180");
  Test.setGates({"g-1", "g-3"});
  Test.advanceTime(HedgedBy);
  BOOST_REQUIRE(Test.hedgesSent() == 1u);
  BOOST_TEST(Test.opens().size() == 1u);
  Test.advanceTime(Millis(60));
  BOOST_TEST(Test.Refused[Tested] == "unknown deadline");
}

// The first link goes silent while the hedge is under way. It must be pinged
// and declared dead although its only call is a detached run.
BOOST_FIXTURE_TEST_CASE(LinkOfFirstRunIsWatched, TwoRuns) {
  size_t Pings = 0;
  this->advanceTime(Millis(600));
  for (const auto &[Gate, Frame] : this->Sent)
    Pings += Gate == this->First && Frame.payload.AsPing() != nullptr;
  BOOST_TEST(Pings == 1u);
}

// Operators must see which calls were answered by a hedge, and the counters
// must tell it from one that was cancelled.
BOOST_FIXTURE_TEST_CASE(HedgeThatWinsIsLogged, TwoRuns) {
  this->answer(this->Second, this->SecondSeq);
  BOOST_TEST(this->Events == std::vector<std::string>{"hedge-won"},
             boost::test_tools::per_element());
  BOOST_TEST(this->TestedEntry->counters().HedgesWon == 1u);
  BOOST_TEST(this->TestedEntry->counters().HedgesCancelled == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
