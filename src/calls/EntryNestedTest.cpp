#include "calls/Entry.h"

#include "config/RecordFile.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const std::string Records = R"([
  {"kind":"service","name":"a","schema":1},
  {"kind":"route","name":"read","schema":3,"match":{"prefix":"/"},
   "service":"a","idempotent":true,"attempts":2,"timeout_ms":1000,
   "priority":4}])";

/// An entry with simulated gates, and the runs of the upstream beside it.
struct NestedFixture {
  Membership Fleet{{.Self = "me", .DataCentre = "north"}};
  std::unique_ptr<RunRegistry> Runs;
  std::unique_ptr<Entry> TestedEntry;
  std::vector<std::pair<std::string, wire::OpenT>> Opens;
  Entry::CallerId LastCaller = 0;
  TimePoint Now = TimePoint(std::chrono::hours(1));

  explicit NestedFixture(const std::string &Separator = ".") {
    EntryMap Entries;
    for (const char *Name : {"g-1", "g-2"}) {
      Instance Gate;
      Gate.Name = Name;
      Gate.DataCentre = "north";
      Gate.Service = "a";
      Gate.Node = "127.0.0.1:1";
      Gate.Operator = "127.0.0.1:2";
      Entries[Name] = makeEntry(Name, writeInstance(Gate));
    }
    this->Fleet.update("north", *Document::make(1, 1, Entries));
    this->start(Separator);
  }

  /// Starts the process of the node, possibly again.
  void start(const std::string &Separator) {
    this->Runs = std::make_unique<RunRegistry>(
        RunRegistry::Options{.IdSeparator = Separator});
    Entry::Options Opts;
    Opts.Self = "me";
    Opts.HeaderNames.RequestId = "Request-Id";
    // One retry in reserve at each of the two nodes.
    Opts.FleetRetryReserve = 2;
    Opts.MaxRetryPercent = 5;
    Entry::Hooks Hooks;
    Hooks.Connect = [](const Instance &) {};
    Hooks.Send = [this](const std::string &Gate, wire::CallFrameT Frame) {
      if (const auto *Open = Frame.payload.AsOpen())
        this->Opens.emplace_back(Gate, *Open);
    };
    Hooks.Refuse = [](Entry::CallerId, const Refusal &) {};
    if (this->Runs->enabled())
      Hooks.FindParentRun = [this](const std::string &RequestId) {
        return this->Runs->findParent(RequestId);
      };
    this->TestedEntry =
        std::make_unique<Entry>(Opts, std::move(Hooks), this->Fleet);
    FaultList Faults;
    this->TestedEntry->configure(
        compileConfig(
            *Document::make(1, 1, *readRecordFile(Records, "f", Faults)),
            CompileOptions())
            .Compiled);
    for (const char *Gate : {"g-1", "g-2"}) {
      this->TestedEntry->linkUp(Gate, this->Now);
      wire::CallHelloT Hello;
      Hello.incarnation = 1;
      this->TestedEntry->handleFrame(Gate, makeCallFrame(Hello), this->Now);
    }
  }

  /// Sends a request and returns its Open frame.
  wire::OpenT request(const std::string &RequestId) {
    RequestHead Head;
    Head.Method = "GET";
    Head.Path = "/x";
    Head.Headers = {{"Request-Id", RequestId}};
    this->TestedEntry->request(++this->LastCaller, Head, this->Now);
    BOOST_REQUIRE(!this->Opens.empty());
    return this->Opens.back().second;
  }
  /// The gate that got the last Open frame refuses the call. Returns whether
  /// the call was then sent to another gate.
  bool refuseLast(const std::string &Reason) {
    size_t Before = this->Opens.size();
    wire::FailedT Failed;
    Failed.seq = this->Opens.back().second.seq;
    Failed.reason = Reason;
    std::string Gate = this->Opens.back().first;
    this->TestedEntry->handleFrame(Gate, makeCallFrame(Failed), this->Now);
    return this->Opens.size() > Before;
  }
};

/// A request that arrives while "urgent" (priority 1), "usual" (priority 4),
/// "slow" (priority 6) and "repeat" (priority 4) run, and "ended" has ended.
struct RequestRow {
  const char *RequestId;
  bool Nested;
  bool Repeat;
  uint32_t Priority;
};
std::ostream &operator<<(std::ostream &To, const RequestRow &Row) {
  return To << Row.RequestId;
}

const RequestRow RequestRows[] = {
    {"urgent.1", true, false, 1}, {"usual.1", true, false, 4},
    {"slow.1", true, false, 4},   {"repeat.1", true, true, 4},
    {"ended.1", false, false, 4}, {"never.1", false, false, 4},
    {"urgent", false, false, 4},  {"", false, false, 4},
};

void startRuns(NestedFixture &Test) {
  Test.Runs->runStarted({7, 1}, "urgent", {1, false});
  Test.Runs->runStarted({7, 2}, "usual", {4, false});
  Test.Runs->runStarted({7, 3}, "slow", {6, false});
  Test.Runs->runStarted({7, 4}, "repeat", {4, true});
  Test.Runs->runStarted({7, 5}, "ended", {1, true});
  Test.Runs->runEnded({7, 5});
}

/// Nested calls of a run, then first tries of callers; whether a call that
/// reached an upstream is then sent to another one. Each node has one retry in
/// reserve, and 20 first tries earn one.
struct BudgetRow {
  const char *Name;
  const char *NestedId;
  int NestedCalls;
  int FirstTries;
  bool Retries;
};
std::ostream &operator<<(std::ostream &To, const BudgetRow &Row) {
  return To << Row.Name;
}

const BudgetRow BudgetRows[] = {
    {"reserve", "", 0, 0, true},
    {"run is no repeat", "usual.1", 50, 0, true},
    {"reserve is spent", "repeat.1", 1, 0, false},
    {"spent retry is earned again", "repeat.1", 1, 21, true},
    {"debt of two is not paid", "repeat.1", 3, 39, false},
    {"debt of two is paid", "repeat.1", 3, 61, true},
    {"debt is at its bound", "repeat.1", 500, 199, false},
    {"bounded debt is paid", "repeat.1", 500, 221, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(NestedCallsAtTheEntry)

BOOST_DATA_TEST_CASE(NestedCallTakesOverPriorityAndRepeat,
                     data::make(RequestRows), Row) {
  NestedFixture Test;
  startRuns(Test);
  wire::OpenT Open = Test.request(Row.RequestId);
  BOOST_TEST(Open.nested == Row.Nested);
  BOOST_TEST(Open.repeat == Row.Repeat);
  BOOST_TEST(Open.priority == Row.Priority);
  const Entry::Counters &Counts = Test.TestedEntry->counters();
  BOOST_TEST(Counts.Nested == (Row.Nested ? 1u : 0u));
  BOOST_TEST(Counts.ChargedToRepeats == (Row.Repeat ? 1u : 0u));
}

// Guards against a feature that changes calls although it is off.
BOOST_DATA_TEST_CASE(NoCallIsNestedWithoutSeparator, data::make(RequestRows),
                     Row) {
  NestedFixture Test(/*Separator=*/"");
  startRuns(Test);
  wire::OpenT Open = Test.request(Row.RequestId);
  BOOST_TEST(!Open.nested);
  BOOST_TEST(Open.priority == 4u);
  BOOST_TEST(Test.refuseLast("upstream-shed"));
  BOOST_TEST(!Test.Opens.back().second.repeat);
  BOOST_TEST(Test.TestedEntry->counters().Nested == 0u);
}

// Guards against a call that loses what it took over from its run when the run
// ends while the call is sent on, and against a repeat that is not reported.
// A call that only a gate has refused has reached no upstream.
BOOST_AUTO_TEST_CASE(SecondSendingIsRepeatOnceAnUpstreamHadTheCall) {
  for (const char *Reason : {"upstream-shed", "overload"}) {
    NestedFixture Test;
    startRuns(Test);
    Test.request("urgent.1");
    Test.Runs->runEnded({7, 1});
    BOOST_REQUIRE(Test.refuseLast(Reason));
    const wire::OpenT &Open = Test.Opens.back().second;
    BOOST_TEST(Open.nested);
    BOOST_TEST(Open.priority == 1u);
    BOOST_TEST(Open.repeat == (std::string(Reason) == "upstream-shed"));
  }
}

// Guards against a node that recognises runs that it has not seen start.
BOOST_AUTO_TEST_CASE(RestartedNodeKnowsNoRuns) {
  NestedFixture Test;
  startRuns(Test);
  Test.start(".");
  BOOST_TEST(!Test.request("urgent.1").nested);
}

// Guards against repeated runs whose calls exceed the retry budget, against
// nested calls that earn retries, and against a debt that lasts.
BOOST_DATA_TEST_CASE(RepeatedRunsAreChargedToTheRetryBudget,
                     data::make(BudgetRows), Row) {
  NestedFixture Test;
  startRuns(Test);
  for (int I = 0; I < Row.NestedCalls; ++I)
    Test.request(Row.NestedId);
  // The call that is refused at the end is a first try too.
  for (int I = 0; I < std::max(1, Row.FirstTries); ++I)
    Test.request("caller");
  BOOST_TEST(Test.refuseLast("upstream-shed") == Row.Retries);
}

// Guards against a call that is charged again for each gate that refuses it.
BOOST_AUTO_TEST_CASE(OnlyTheFirstSendingIsCharged) {
  NestedFixture Test;
  startRuns(Test);
  Test.request("repeat.1");
  BOOST_TEST(Test.refuseLast("overload"));
  BOOST_TEST(Test.TestedEntry->counters().ChargedToRepeats == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
