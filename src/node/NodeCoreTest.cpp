#include "node/NodeCore.h"

#include "control/ControlFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

constexpr LinkId Link = 1;
const std::string Records = R"([
  {"kind":"service","name":"a","schema":1},
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
  TimePoint Now = TimePoint(std::chrono::hours(1));

  explicit NodeCoreFixture(const std::string &Separator) {
    NodeCore::Options Opts;
    Opts.setIdentity("me", "north", {"north"}, "a", /*Incarnation=*/1);
    Opts.CallEntry.HeaderNames.RequestId = "Request-Id";
    Opts.CallGate.HeaderNames.RequestId = "Request-Id";
    Opts.NestedCalls.IdSeparator = Separator;
    Opts.StopWithin = Millis(5500);
    NodeCore::Hooks Hooks;
    Hooks.Send = [](LinkId, const std::string &) {};
    Hooks.Callers.LogEvent = [this](const Entry::CallEvent &Event, TimePoint) {
      this->RefusedNested.push_back(Event.Nested);
    };
    Hooks.CallersServed = [this] { return this->CallersServed; };
    Hooks.Stopped = [this] { this->Stopped = true; };
    Hooks.Callers.Refuse = [](Entry::CallerId, const Refusal &) {};
    Hooks.Upstream.Start = [](const CallId &, const RequestHead &, bool) {};
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

  void startRun(const std::string &RequestId) {
    wire::OpenT Open;
    Open.seq = 1;
    Open.entry = 7;
    Open.service = "a";
    Open.method = "GET";
    Open.path = "/x";
    Open.budget_ms = 1000;
    Open.target_ms = 1000;
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
