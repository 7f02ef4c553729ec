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
  {"kind":"service","name":"b","schema":1},
  {"kind":"route","name":"direct","schema":3,"match":{"prefix":"/b"},
   "service":"b","idempotent":true,"attempts":2,"timeout_ms":1000},
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
    for (const char *Name : {"g-1", "g-2", "h-1", "h-2"}) {
      Instance Gate;
      Gate.Name = Name;
      Gate.DataCentre = "north";
      Gate.Service = Name[0] == 'g' ? "a" : "b";
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
    // One retry in reserve at each of the four nodes.
    Opts.FleetRetryReserve = 4;
    Opts.MaxRetryPercent = 5;
    Entry::Hooks Hooks;
    Hooks.Connect = [](const Instance &) {};
    Hooks.Send = [this](const std::string &Gate, wire::CallFrameT Frame) {
      if (const auto *Open = Frame.payload.AsOpen())
        this->Opens.emplace_back(Gate, *Open);
    };
    Hooks.Refuse = [](Entry::CallerId, const Refusal &) {};
    Hooks.Head = [](Entry::CallerId, const ResponseHead &) {};
    Hooks.BodyEnd = [](Entry::CallerId) {};
    if (this->Runs->enabled())
      Hooks.FindParentRun = [this](const std::string &RequestId) {
        return this->Runs->findParent(RequestId);
      };
    Hooks.RecordNestedCall = [this](const std::string &RequestId,
                                    const ServiceCalls &Caused) {
      this->Runs->recordNestedCall(RequestId, Caused);
    };
    this->TestedEntry =
        std::make_unique<Entry>(Opts, std::move(Hooks), this->Fleet);
    FaultList Faults;
    this->TestedEntry->configure(
        compileConfig(
            *Document::make(1, 1, *readRecordFile(Records, "f", Faults)),
            CompileOptions())
            .Compiled);
    for (const char *Gate : {"g-1", "g-2", "h-1", "h-2"}) {
      this->TestedEntry->linkUp(Gate, this->Now);
      wire::CallHelloT Hello;
      Hello.incarnation = 1;
      this->TestedEntry->handleFrame(Gate, makeCallFrame(Hello), this->Now);
    }
  }

  /// Sends a request and returns its Open frame.
  wire::OpenT request(const std::string &RequestId,
                      const std::string &Path = "/x") {
    RequestHead Head;
    Head.Method = "GET";
    Head.Path = Path;
    Head.Headers = {{"Request-Id", RequestId}};
    this->TestedEntry->request(++this->LastCaller, Head, this->Now);
    BOOST_REQUIRE(!this->Opens.empty());
    return this->Opens.back().second;
  }
  /// Sends a request, which is answered by a run that has caused so many calls
  /// to service "b".
  void answerNext(const std::string &Path, float CallsToB) {
    wire::HeadT Head;
    Head.seq = this->request("answered", Path).seq;
    Head.status = 200;
    Head.nested_calls = toWire(ServiceCalls{{"b", CallsToB}});
    std::string Gate = this->Opens.back().first;
    wire::DataT End;
    End.seq = Head.seq;
    End.end = true;
    this->TestedEntry->handleFrame(Gate, makeCallFrame(std::move(Head)),
                                   this->Now);
    this->TestedEntry->handleFrame(Gate, makeCallFrame(std::move(End)),
                                   this->Now);
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

/// Ten runs of route "read" make calls to service "b", and FirstTries requests
/// of callers go to "b". Then calls of "read" are shed or lost. Each node has
/// one retry in reserve for each service.
struct BudgetRow {
  const char *Name;
  float CallsPerRun;
  int FirstTries;
  /// Whether the retries are shed too, so that none of them makes calls.
  bool Shed;
  int Retried;
};
std::ostream &operator<<(std::ostream &To, const BudgetRow &Row) {
  return To << Row.Name;
}

const BudgetRow BudgetRows[] = {
    {"runs make no calls", 0, 0, false, 2},
    {"runs call a service without retries left", 4, 0, false, 0},
    {"the service has earned some", 4, 140, false, 2},
    {"retries that are shed cost it nothing", 1, 0, true, 2},
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
  BOOST_TEST(Counts.NestedOfRepeats == (Row.Repeat ? 1u : 0u));
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

// Guards against repeated runs whose calls exceed the retry budget of the
// services that they call.
BOOST_DATA_TEST_CASE(RetriesArePaidForWithTheServicesTheirRunsCall,
                     data::make(BudgetRows), Row) {
  NestedFixture Test;
  for (int I = 0; I < 10; ++I)
    Test.answerNext("/x", Row.CallsPerRun);
  for (int I = 0; I < Row.FirstTries; ++I)
    Test.answerNext("/b", 0);
  // Forty first tries earn two retries of service "a", with one in reserve.
  for (int I = 0; I < 30; ++I)
    Test.answerNext("/x", Row.CallsPerRun);
  int Retried = 0;
  for (int I = 0; I < 2; ++I) {
    Test.request("caller");
    Retried += Test.refuseLast(Row.Shed ? "upstream-shed" : "upstream-lost");
    if (Row.Shed)
      Test.refuseLast("upstream-shed");
  }
  BOOST_TEST(Retried == Row.Retried);
}

// Guards against a service deep in the call chain whose retries grow with the
// number of calls that each request causes.
BOOST_AUTO_TEST_CASE(NestedCallsEarnNoRetries) {
  NestedFixture Test;
  startRuns(Test);
  Test.request("caller");
  BOOST_TEST(Test.refuseLast("upstream-shed"));
  for (int I = 0; I < 100; ++I)
    Test.request("usual.1");
  int Retried = 0;
  for (int I = 0; I < 5; ++I) {
    Test.request("caller");
    Retried += Test.refuseLast("upstream-shed");
  }
  // Six first tries earn 0.3 of a retry; a hundred more would earn five.
  BOOST_TEST(Retried <= 1);
}

// Guards against counts that leave out what nested calls cause in turn.
BOOST_AUTO_TEST_CASE(NestedCallsCountWithThoseTheyCause) {
  NestedFixture Test;
  startRuns(Test);
  for (int I = 0; I < 4; ++I)
    Test.answerNext("/x", 0.5);
  Test.request("usual.1");
  Test.request("usual.2", "/b");
  ServiceCalls Expected{{"a", 1}, {"b", 1.5}};
  BOOST_TEST((Test.Runs->nestedCalls({7, 2}) == Expected));
  BOOST_TEST(Test.Runs->nestedCalls({7, 1}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
