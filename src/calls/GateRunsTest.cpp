#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

/// A gate that reports its runs to a registry, and one running request "run".
struct RunsFixture : GateFixture {
  RunRegistry Registry{{.IdSeparator = "."}};

  RunsFixture() {
    Gate::Options Opts = this->options();
    Opts.HeaderNames.RequestId = "Request-Id";
    Gate::Hooks Hooks = this->hooks();
    Hooks.RunStarted = [this](const CallId &Id, const std::string &RequestId,
                              const RunRegistry::Run &Run) {
      this->Registry.runStarted(Id, RequestId, Run);
    };
    Hooks.RunEnded = [this](const CallId &Id) { this->Registry.runEnded(Id); };
    this->TestGate = std::make_unique<Gate>(Opts, Hooks);
    this->configure(GateRecords);
    this->TestGate->linkUp(Link, this->Now);
    wire::CallHelloT Hello;
    Hello.incarnation = 7;
    this->TestGate->handleFrame(Link, makeCallFrame(Hello), this->Now);
  }

  void open(uint64_t Seq, const std::string &RequestId) {
    wire::OpenT Open = this->makeOpen(Seq);
    Open.headers = toWire({{"Request-Id", RequestId}});
    Open.priority = 2;
    Open.repeat = true;
    Open.idempotent = true;
    this->sendOpen(std::move(Open));
  }
  void head(unsigned Status, int64_t Length, const HeaderList &Headers = {}) {
    ResponseHead Head;
    Head.Status = Status;
    Head.Length = Length;
    Head.Headers = Headers;
    this->TestGate->upstreamHead({7, 1}, Head, this->Now);
  }
  void fail(bool Sent, Errc Code) {
    this->TestGate->upstreamFailed({7, 1}, Sent, Error{Code, "s", "up", "x"},
                                   this->Now);
  }
};

/// A way in which the run may end.
struct EndRow {
  const char *Name;
  std::function<void(RunsFixture &)> End;
};
std::ostream &operator<<(std::ostream &To, const EndRow &Row) {
  return To << Row.Name;
}

const EndRow EndRows[] = {
    {"answer without a body", [](RunsFixture &Test) { Test.head(200, 0); }},
    {"last byte of the answer",
     [](RunsFixture &Test) {
       Test.head(200, 2);
       Test.TestGate->upstreamData({7, 1}, "ab", Test.Now);
     }},
    {"end of an answer of unknown length",
     [](RunsFixture &Test) {
       Test.head(200, UnknownLength);
       Test.TestGate->upstreamEnd({7, 1}, Test.Now);
     }},
    {"marked refusal",
     [](RunsFixture &Test) {
       Test.head(503, 0, {{"Not-Run", "1"}});
     }},
    {"unmarked refusal", [](RunsFixture &Test) { Test.head(503, 0); }},
    {"other upstream process", [](RunsFixture &Test) { Test.head(421, 0); }},
    {"nothing was sent",
     [](RunsFixture &Test) { Test.fail(/*Sent=*/false, Errc::Unreachable); }},
    {"upstream failed",
     [](RunsFixture &Test) { Test.fail(/*Sent=*/true, Errc::Timeout); }},
    {"upstream closed the connection",
     [](RunsFixture &Test) {
       Test.fail(/*Sent=*/true, Errc::Closed);
       Test.TestGate->upstreamProbed(UpstreamProbeResult::Open, Test.Now);
     }},
    {"upstream crashed",
     [](RunsFixture &Test) {
       Test.fail(/*Sent=*/true, Errc::Closed);
       Test.TestGate->upstreamProbed(UpstreamProbeResult::Closed, Test.Now);
     }},
    {"entry cancelled it",
     [](RunsFixture &Test) {
       wire::CancelT Cancel;
       Cancel.seq = 1;
       Test.TestGate->handleFrame(Test.Link, makeCallFrame(Cancel), Test.Now);
     }},
    {"deadline",
     [](RunsFixture &Test) {
       Test.Now += Millis(1001);
       Test.TestGate->tick(Test.Now);
     }},
    {"entry was lost",
     [](RunsFixture &Test) {
       Test.TestGate->linkDown(Test.Link, Test.Now);
       Test.Now += Test.options().AbandonedGrace;
       Test.TestGate->tick(Test.Now);
     }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(RunsOfTheGate)

// Guards against calls that are taken for nested ones after their run has
// ended, and against records that are never removed.
BOOST_DATA_TEST_CASE(RunIsReportedUntilItEnds, data::make(EndRows), Row) {
  RunsFixture Test;
  Test.open(1, "run");
  std::optional<RunRegistry::Run> Parent = Test.Registry.findParent("run.1");
  BOOST_REQUIRE(Parent.has_value());
  BOOST_TEST(Parent->Priority == 2u);
  BOOST_TEST(Parent->Repeat);
  Row.End(Test);
  BOOST_TEST(!Test.Registry.findParent("run.1").has_value());
  BOOST_TEST(Test.Registry.runCount() == 0u);
}

// Guards against a call that counts as a run while it waits for a slot, when
// its upstream can't have made any calls.
BOOST_FIXTURE_TEST_CASE(WaitingCallIsNoRun, RunsFixture) {
  this->listSlots(1);
  this->open(1, "run");
  this->open(2, "waits");
  BOOST_TEST(!this->Registry.findParent("waits.1").has_value());
  this->head(200, 0);
  BOOST_TEST(this->Registry.findParent("waits.1").has_value());
}

// The upstream may still run the request after its connection has closed.
// Guards against nested calls that are not recognised until the probe has its
// result.
BOOST_FIXTURE_TEST_CASE(RunLastsUntilTheProbeHasItsResult, RunsFixture) {
  this->open(1, "run");
  this->fail(/*Sent=*/true, Errc::Closed);
  BOOST_TEST(this->Registry.runCount() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
