#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const std::string ManySlots = R"([
  {"kind":"service","name":"a","schema":1,"slots":100},
  {"kind":"route","name":"r","schema":3,"match":{"prefix":"/"},
   "service":"a","idempotent":false}])";
const char RateField[] = "Hickorylift-Rate-Limit";
const char LeavingField[] = "Hickorylift-Leaving";
/// Calls that start together at an upstream that states 20 a second: those of
/// 250 ms, and one.
constexpr size_t BurstAtTwenty = 6;

/// A gate whose upstream "up-1" is listed.
struct Fixture : GateFixture {
  uint64_t LastSeq = 0;
  std::vector<UpstreamStatement> Changes;
  std::vector<std::string> Faults;

  Fixture() {
    this->makeGate();
    this->listUpstream("up-1");
  }

  void listUpstream(const std::string &Upstream, uint64_t Incarnation = 0) {
    Instance Self;
    Self.Name = "me";
    Self.Service = "a";
    Self.Upstream = Upstream;
    Self.Incarnation = Incarnation;
    Self.Slots = 100;
    this->TestGate->membersChanged({&Self}, this->Now);
  }
  /// A gate of a process that has just started, and knows nothing.
  void makeGate() {
    Gate::Options Opts = this->options();
    Opts.HeaderNames.UpstreamMark = "Mark";
    Gate::Hooks Hooks = this->hooks();
    Hooks.StatementChanged = [this](const UpstreamStatement &,
                                    const UpstreamStatement &After, TimePoint) {
      this->Changes.push_back(After);
    };
    Hooks.StatementUnreadable = [this](const std::string &Fault, TimePoint) {
      this->Faults.push_back(Fault);
    };
    this->TestGate = std::make_unique<Gate>(Opts, Hooks);
    this->configure(ManySlots);
    this->TestGate->linkUp(Link, this->Now);
  }
  void greet(wire::CallHelloT Hello) {
    Hello.incarnation = 7;
    this->TestGate->handleFrame(Link, makeCallFrame(std::move(Hello)),
                                this->Now);
  }
  /// What an entry remembers that the upstream stated.
  void greetRemembering(const std::string &Upstream, double Rate) {
    wire::CallHelloT Hello;
    Hello.upstream = Upstream;
    Hello.stated_rate = Rate;
    this->greet(std::move(Hello));
  }
  /// Sends this many calls together and returns how many were started.
  size_t sendCalls(size_t Count) {
    size_t Before = this->StartedCalls.size();
    for (size_t I = 0; I < Count; ++I)
      this->sendOpen(this->makeOpen(++this->LastSeq));
    return this->StartedCalls.size() - Before;
  }
  /// Waits until no call waits for a slot any more.
  void dropWaiting() {
    this->Now += Millis(3000);
    this->TestGate->tick(this->Now);
    this->Now += Millis(3000);
  }
  /// Sends one call, and answers it with these fields.
  void answer(HeaderList Headers, unsigned Status = 200, bool Marked = true) {
    this->dropWaiting();
    BOOST_REQUIRE(this->sendCalls(1) == 1);
    this->finishCall(this->LastSeq, std::move(Headers), Status, Marked);
  }
  void finishCall(uint64_t Seq, HeaderList Headers, unsigned Status = 200,
                  bool Marked = true) {
    ResponseHead Head;
    Head.Status = Status;
    Head.Headers = std::move(Headers);
    if (Marked)
      Head.Headers.push_back({"Mark", "1"});
    Head.Length = 0;
    this->TestGate->upstreamHead({7, Seq}, Head, this->Now);
  }
};

/// An event at a gate whose upstream states 20 calls a second, and whether that
/// still holds afterwards.
struct HoldsRow {
  const char *Name;
  std::function<void(Fixture &)> Event;
  bool ExpectedLimited;
};
std::ostream &operator<<(std::ostream &Stream, const HoldsRow &Row) {
  return Stream << Row.Name;
}

const HoldsRow HoldsRows[] = {
    {"nothing", [](Fixture &) {}, true},
    {"an answer states it again",
     [](Fixture &Test) {
       Test.answer({{RateField, "20"}});
     },
     true},
    {"an answer states nothing", [](Fixture &Test) { Test.answer({}); }, false},
    {"an answer without the upstream's mark states nothing",
     [](Fixture &Test) { Test.answer({}, 200, /*Marked=*/false); }, true},
    {"a refusal states nothing",
     [](Fixture &Test) {
       Test.answer({{"Not-Run", "1"}}, 503, /*Marked=*/false);
     },
     true},
    {"an answer states something unreadable",
     [](Fixture &Test) {
       Test.answer({{RateField, "-1"}});
     },
     true},
    {"the same start is listed again",
     [](Fixture &Test) { Test.listUpstream("up-1"); }, true},
    {"another upstream is listed",
     [](Fixture &Test) { Test.listUpstream("up-2"); }, false},
    {"it was started again under its name",
     [](Fixture &Test) { Test.listUpstream("up-1", 5); }, false},
    {"its port closes and opens again",
     [](Fixture &Test) {
       Test.sendCalls(1);
       Test.TestGate->upstreamFailed(
           {7, Test.LastSeq}, /*Sent=*/true,
           Error{Errc::Closed, "upstream-call", "up-1", "ended"}, Test.Now);
       Test.TestGate->upstreamProbed(UpstreamProbeResult::Closed, Test.Now);
       Test.TestGate->upstreamProbed(UpstreamProbeResult::Open, Test.Now);
     },
     false},
    {"an entry remembers a lower one",
     [](Fixture &Test) { Test.greetRemembering("up-1", 1); }, true},
};

/// An event at a gate whose upstream has stated that it is leaving, and whether
/// the gate is still closed afterwards.
struct ClosedRow {
  const char *Name;
  std::function<void(Fixture &)> Event;
  bool ExpectedClosed;
};
std::ostream &operator<<(std::ostream &Stream, const ClosedRow &Row) {
  return Stream << Row.Name;
}

const ClosedRow ClosedRows[] = {
    {"nothing", [](Fixture &) {}, true},
    {"the answer of a call that was running states nothing",
     [](Fixture &Test) { Test.finishCall(1, {}); }, true},
    {"the list names the same start",
     [](Fixture &Test) { Test.listUpstream("up-1"); }, true},
    {"its health is good",
     [](Fixture &Test) {
       Test.TestGate->upstreamReported(Millis(0), Test.Now);
     },
     true},
    {"another upstream is listed",
     [](Fixture &Test) { Test.listUpstream("up-2"); }, false},
    {"it was started again under its name",
     [](Fixture &Test) { Test.listUpstream("up-1", 5); }, false},
    {"its entry expires, and is listed again",
     [](Fixture &Test) {
       Test.TestGate->membersChanged({}, Test.Now);
       Test.listUpstream("up-1");
     },
     true},
    {"another upstream is listed, and an operator drains the gate",
     [](Fixture &Test) {
       Test.TestGate->drain("operator", Test.Now);
       Test.listUpstream("up-2");
     },
     true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateStatements)

// Guards against calls to an upstream that has stated that it is leaving, and
// against a gate that never opens for the one that takes its place.
BOOST_DATA_TEST_CASE(LeavingClosesTheGateForOneStart, data::make(ClosedRows),
                     Row) {
  Fixture Test;
  BOOST_REQUIRE(Test.sendCalls(2) == 2);
  Test.finishCall(2, {{LeavingField, "1"}});
  BOOST_TEST(Test.TestGate->draining());
  BOOST_TEST(Test.sendCalls(1) == 0u);
  BOOST_REQUIRE(Test.lastFailed());
  BOOST_TEST(Test.lastFailed()->reason == "draining");
  Row.Event(Test);
  BOOST_TEST(Test.TestGate->draining() == Row.ExpectedClosed);
  BOOST_TEST(Test.sendCalls(1) == (Row.ExpectedClosed ? 0u : 1u));
}

// Guards against a gate that never opens again on a platform that does not tell
// the starts of an upstream apart.
BOOST_FIXTURE_TEST_CASE(LeavingEndsWithAGapInAListWithoutStarts, Fixture) {
  this->listUpstream("");
  BOOST_REQUIRE(this->sendCalls(1) == 1);
  this->finishCall(this->LastSeq, {{LeavingField, "1"}});
  this->listUpstream("");
  BOOST_TEST(this->TestGate->draining());
  this->TestGate->membersChanged({}, this->Now);
  this->listUpstream("");
  BOOST_TEST(!this->TestGate->draining());
}

// Guards against calls to an upstream that is leaving, from a gate whose
// process has just started: an entry remembers it.
BOOST_FIXTURE_TEST_CASE(EntryTellsANewGateThatItsUpstreamLeaves, Fixture) {
  wire::CallHelloT Hello;
  Hello.upstream = "up-1";
  Hello.stated_leaving = true;
  this->greet(std::move(Hello));
  BOOST_TEST(this->sendCalls(1) == 0u);
  this->listUpstream("up-2");
  BOOST_TEST(this->sendCalls(1) == 1u);
}

// Guards against an upstream that gets more than the rate that it states, and
// against a limit that outlives its statement.
BOOST_DATA_TEST_CASE(StatedRateHoldsUntilAnAnswerEndsIt, data::make(HoldsRows),
                     Row) {
  Fixture Test;
  Test.answer({{RateField, "20"}});
  Row.Event(Test);
  Test.Now += Millis(3000);
  size_t Started = Test.sendCalls(50);
  BOOST_TEST(Started == (Row.ExpectedLimited ? BurstAtTwenty : 50u));
}

/// A rate that a cold upstream states, whose service tolerates ten calls in a
/// second while it is cold, and the calls that start together.
struct ColdRow {
  const char *StatedRate;
  size_t ExpectedStarts;
};
std::ostream &operator<<(std::ostream &Stream, const ColdRow &Row) {
  return Stream << Row.StatedRate;
}

// The cold limit keeps two calls in reserve, and the answered one counts.
const ColdRow ColdRows[] = {{"2", 1}, {"8", 3}, {"1000", 7}};

// Guards against a cold upstream that crashes because it states a rate, and
// against exceeding that rate because it is cold.
BOOST_DATA_TEST_CASE(LowerOfBothLimitsHolds, data::make(ColdRows), Row) {
  Fixture Test;
  Test.configure(R"([
    {"kind":"service","name":"a","schema":2,"slots":100,"warmup_ms":3000,
     "cold_per_s":10},
    {"kind":"route","name":"r","schema":3,"match":{"prefix":"/"},
     "service":"a","idempotent":false}])");
  Test.answer({{RateField, Row.StatedRate}});
  Test.TestGate->suspectRestart(Test.Now);
  Test.Now += Millis(300);
  BOOST_TEST(Test.TestGate->isCold(Test.Now));
  BOOST_TEST(Test.sendCalls(50) == Row.ExpectedStarts);
}

// Guards against callers that are not told when there is room, or that wait for
// it without a chance.
BOOST_FIXTURE_TEST_CASE(RefusalSaysWhenThereIsRoom, Fixture) {
  this->answer({{RateField, "0.5"}});
  this->Now += Millis(3000);
  BOOST_TEST(this->sendCalls(2) == 1u);
  const wire::FailedT *Refused = this->lastFailed();
  BOOST_REQUIRE(Refused);
  BOOST_TEST(Refused->reason == "stated-rate");
  BOOST_TEST(Refused->room_in_ms > 1000u);
  BOOST_TEST(Refused->room_in_ms <= 2000u);
  BOOST_TEST(Refused->retry_after_ms >= Refused->room_in_ms);
  BOOST_TEST(Refused->retry_after_ms <= 4000u);
  BOOST_TEST(Refused->load->slots() == 1u);
}

// Guards against a burst at an upstream that states a rate, from a gate whose
// process has just started: an entry remembers it.
BOOST_FIXTURE_TEST_CASE(EntryTellsANewGate, Fixture) {
  this->greetRemembering("up-1", 20);
  BOOST_TEST(this->sendCalls(50) == BurstAtTwenty);
  BOOST_REQUIRE(this->Changes.size() == 1);
  BOOST_TEST(*this->Changes[0].CallsPerSecond == 20);
  this->answer({});
  BOOST_TEST(this->sendCalls(50) == 50u);
}

// Guards against health queries that use up the calls of an upstream that takes
// few: a query per second would leave none of half a call per second.
BOOST_FIXTURE_TEST_CASE(HealthQueriesUseNoCalls, Fixture) {
  this->answer({{RateField, "0.5"}});
  for (int I = 0; I < 20; ++I)
    this->TestGate->requestSent({0, 0}, this->Now);
  this->Now += Millis(3000);
  BOOST_TEST(this->sendCalls(2) == 1u);
}

// Guards against limiting an upstream for what another one stated.
BOOST_FIXTURE_TEST_CASE(OtherUpstreamsStatementIsNotTaken, Fixture) {
  this->greetRemembering("up-0", 20);
  BOOST_TEST(this->sendCalls(50) == 50u);
}

// Guards against the same where the list comes after the entry.
BOOST_FIXTURE_TEST_CASE(ListEndsAnotherUpstreamsStatement, Fixture) {
  this->makeGate();
  this->greetRemembering("up-0", 20);
  BOOST_TEST(this->sendCalls(50) == BurstAtTwenty);
  this->dropWaiting();
  this->listUpstream("up-1");
  BOOST_TEST(this->sendCalls(50) == 50u);
}

// Guards against a fault that nobody is told of.
BOOST_FIXTURE_TEST_CASE(UnreadableStatementIsReported, Fixture) {
  this->answer({{RateField, "fast"}});
  BOOST_REQUIRE(this->Faults.size() == 1);
  BOOST_TEST(this->Faults[0] ==
             "Hickorylift-Rate-Limit: expected one number of calls per second, "
             "got \"fast\"");
  BOOST_TEST(this->sendCalls(50) == 50u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
