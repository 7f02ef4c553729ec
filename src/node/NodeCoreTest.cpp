#include "node/NodeCore.h"
#include "node/StopTimes.h"

#include "control/ControlFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

constexpr LinkId Link = 1;
const std::string Records = R"([
  {"kind":"service","name":"a","schema":1,"slots":100},
  {"kind":"route","name":"r","schema":3,"match":{"prefix":"/"},
   "service":"a","idempotent":true}])";

/// A node whose control plane has no documents. The test configures its gate
/// and entry.
struct NodeCoreFixture {
  std::unique_ptr<NodeCore> Core;
  /// Whether each refused call was nested.
  std::vector<bool> RefusedNested;
  bool CallersServed = true;
  bool Stopped = false;
  bool Listening = true;
  std::string RefusedReason;
  TimePoint Now = TimePoint(std::chrono::hours(1));

  /// The calls that have started at the upstream.
  std::vector<CallId> Started;

  explicit NodeCoreFixture(const std::string &Separator,
                           StopTimes Times = {Millis(5500), Millis(0)}) {
    NodeCore::Options Opts;
    Opts.setIdentity("me", "north", {"north"}, "a", /*Incarnation=*/1);
    Opts.CallEntry.HeaderNames.RequestId = "Request-Id";
    Opts.CallGate.HeaderNames.RequestId = "Request-Id";
    Opts.NestedCalls.IdSeparator = Separator;
    Opts.StopWithin = Times.Within;
    Opts.StopLinger = Times.Linger;
    NodeCore::Hooks Hooks;
    Hooks.Send = [](LinkId, const std::string &) {};
    Hooks.StopListening = [this] { this->Listening = false; };
    Hooks.Callers.LogEvent = [this](const Entry::CallEvent &Event, TimePoint) {
      this->RefusedNested.push_back(Event.Nested);
      this->RefusedReason = Event.Reason;
    };
    Hooks.CallersServed = [this] { return this->CallersServed; };
    Hooks.Stopped = [this] { this->Stopped = true; };
    Hooks.Callers.Refuse = [](Entry::CallerId, const Refusal &) {};
    Hooks.Upstream.Start = [this](const CallId &Id, const RequestHead &, bool) {
      this->Started.push_back(Id);
      this->Core->gate().requestSent(Id, this->Now);
    };
    Hooks.Upstream.BodyEnd = [](const CallId &) {};
    this->Core = std::make_unique<NodeCore>(
        Opts,
        [](const SourceHooks &) {
          return std::make_unique<UnresponsiveSource>();
        },
        std::move(Hooks));
    FaultList Faults;
    ConfigPtr Config =
        compileConfig(
            *Document::make(1, 1, *readRecordFile(Records, "f", Faults)),
            CompileOptions())
            .Compiled;
    this->Core->entry().configure(Config);
    this->Core->gate().configure(Config, this->Now);
    this->Core->gate().linkUp(Link, this->Now);
  }

  void startRun(const std::string &RequestId, uint64_t Seq = 1,
                Millis Budget = Millis(1000)) {
    wire::OpenT Open;
    Open.seq = Seq;
    Open.entry = 7;
    Open.service = "a";
    Open.method = "GET";
    Open.path = "/x";
    Open.budget_ms = static_cast<uint32_t>(Budget.count());
    Open.target_ms = Open.budget_ms;
    Open.headers = toWire({{"Request-Id", RequestId}});
    this->Core->gate().handleFrame(Link, makeCallFrame(std::move(Open)),
                                   this->Now);
  }
  /// Sends a request, which is refused because no upstream is listed, and
  /// returns whether it was a nested call.
  bool isNested(const std::string &RequestId) {
    RequestHead Head;
    Head.Method = "GET";
    Head.Path = "/x";
    Head.Headers = {{"Request-Id", RequestId}};
    this->Core->entry().request(1, Head, this->Now);
    BOOST_REQUIRE(!this->RefusedNested.empty());
    return this->RefusedNested.back();
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(NodeParts)

// Guards against an entry that is not connected to the run registry of its own
// gate, and against a separator that is set but not used.
BOOST_DATA_TEST_CASE(EntryRecognisesTheCallsOfItsOwnUpstream,
                     data::make({"", "."}), Separator) {
  NodeCoreFixture Test(Separator);
  BOOST_TEST(!Test.isNested("run.1"));
  Test.startRun("run");
  bool IsOn = std::string(Separator) == ".";
  BOOST_TEST(Test.Core->runs().enabled() == IsOn);
  BOOST_TEST(Test.Core->runs().runCount() == (IsOn ? 1u : 0u));
  BOOST_TEST(Test.isNested("run.1") == IsOn);
  BOOST_TEST(!Test.isNested("other.1"));
  Test.Core->gate().upstreamEnd({7, 1}, Test.Now);
  BOOST_TEST(Test.Core->runs().runCount() == 0u);
  BOOST_TEST(!Test.isNested("run.1"));
}

// Guards against a stop that a caller holds up for ever by not reading its
// answer, and against one that does not wait for it.
BOOST_DATA_TEST_CASE(StopWaitsForCallersUntilItsTimeIsOver,
                     data::make({true, false}), Reads) {
  constexpr Millis Tick{100};
  NodeCoreFixture Test("");
  Test.CallersServed = false;
  Test.Core->stop("signal", Test.Now);
  TimePoint Start = Test.Now;
  while (!Test.Stopped && Test.Now < Start + Millis(10000)) {
    Test.Now += Tick;
    Test.CallersServed = Reads && Test.Now >= Start + Millis(3000);
    Test.Core->callTick(Test.Now);
  }
  Millis Expected(Reads ? 3000 : 5500);
  BOOST_TEST(toMillis(Test.Now - Start).count() >= Expected.count());
  BOOST_TEST(toMillis(Test.Now - Start).count() <=
             (Expected + 2 * Tick).count());
}

// Guards against a run that fails because its own calls are no longer taken
// while the node beside it stops.
BOOST_AUTO_TEST_CASE(StopsTakeTheCallsOfRunsUntilTheseEnd) {
  NodeCoreFixture Test(".");
  Test.startRun("run");
  Test.Core->stop("signal", Test.Now);
  Test.Core->callTick(Test.Now);
  BOOST_TEST(Test.Listening);
  Test.isNested("other.1");
  BOOST_TEST(Test.RefusedReason == "entry-draining");
  Test.isNested("run.1");
  BOOST_TEST(Test.RefusedReason == "no-upstream");
  Test.Core->gate().upstreamEnd({7, 1}, Test.Now);
  Test.Core->callTick(Test.Now);
  BOOST_TEST(!Test.Listening);
}

// Guards against a stop that the platform cuts because the machine stood still
// meanwhile.
BOOST_AUTO_TEST_CASE(SuspensionsCountInTheTimeOfAStop) {
  NodeCoreFixture Test("");
  Test.CallersServed = false;
  Test.Core->stop("signal", Test.Now);
  Test.Core->suspended(Millis(3000), Test.Now);
  for (int I = 0; I < 30; ++I) {
    Test.Now += Millis(100);
    Test.Core->callTick(Test.Now);
  }
  BOOST_TEST(Test.Stopped);
}

struct GraceRow {
  Millis Grace;
  Millis Work;
};
std::ostream &operator<<(std::ostream &Out, const GraceRow &Row) {
  return Out << "grace " << Row.Grace.count() << " ms, work "
             << Row.Work.count() << " ms";
}

const GraceRow GraceRows[] = {
    {Millis(6000), Millis(300)},   {Millis(6000), Millis(2000)},
    {Millis(6000), Millis(4500)},  {Millis(10000), Millis(300)},
    {Millis(10000), Millis(2000)}, {Millis(10000), Millis(4500)},
    {Millis(3000), Millis(300)},   {Millis(3000), Millis(2000)},
    {Millis(3000), Millis(4500)},
};

// Guards against a stop that takes calls and cuts them at its end, be it its
// own or the platform's, and against one that lasts longer than its calls.
BOOST_DATA_TEST_CASE(StopsEndAllTheyTakeUnderEachGrace, data::make(GraceRows),
                     Row) {
  constexpr Millis Tick{100};
  constexpr Millis Budget{60000};
  NodeCoreFixture Test("", stopTimes(Row.Grace, Millis(2800)));
  ResponseHead Answer;
  Answer.Status = 200;
  Answer.Length = 0;
  Test.startRun("known", 1, Budget);
  Test.Now += Row.Work;
  Test.Core->gate().upstreamHead({7, 1}, Answer, Test.Now);
  BOOST_REQUIRE(Test.Started.size() == 1u);

  TimePoint Signal = Test.Now;
  Test.Core->stop("signal", Test.Now);
  std::map<TimePoint, CallId> Running;
  bool Took = false;
  for (uint64_t Seq = 2; !Test.Stopped; ++Seq) {
    Test.Now += Tick;
    for (; !Running.empty() && Running.begin()->first <= Test.Now;
         Running.erase(Running.begin()))
      Test.Core->gate().upstreamHead(Running.begin()->second, Answer, Test.Now);
    size_t Before = Test.Started.size();
    Test.startRun("late", Seq, Budget);
    for (size_t I = Before; I < Test.Started.size(); ++I)
      Running[Test.Now + Row.Work] = Test.Started[I];
    Took |= !Running.empty();
    Test.Core->callTick(Test.Now);
    BOOST_REQUIRE((Test.Now - Signal < Row.Grace));
  }
  BOOST_TEST(Running.empty());
  BOOST_TEST(Took ==
             (Row.Work + Tick < stopTimes(Row.Grace, Millis(0)).Within));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
