#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

using Standing = Quarantine::Standing;

/// A gate with calls under way whose connections can end.
struct Fixture : GateFixture {
  void openPath(uint64_t Seq, const std::string &Path, uint8_t Crashes = 0) {
    wire::OpenT Open = this->makeOpen(Seq);
    Open.path = Path;
    Open.crashes = Crashes;
    this->sendOpen(std::move(Open));
  }
  void connectionEnds(uint64_t Seq, Errc Code = Errc::Closed) {
    this->TestGate->upstreamFailed(
        {7, Seq}, /*Sent=*/true, Error{Code, "upstream-call", "up-1", "ended"},
        this->Now);
  }
  void answer(uint64_t Seq) {
    ResponseHead Head;
    Head.Status = 200;
    Head.Length = 0;
    this->TestGate->upstreamHead({7, Seq}, Head, this->Now);
  }
  /// What the entry was told of the upstream: whether it is gone.
  std::vector<bool> toldGone() const {
    std::vector<bool> Out;
    for (const wire::CallFrameT &One : this->SentFrames)
      if (const auto *Pong = One.payload.AsPong())
        Out.push_back(Pong->gone);
    return Out;
  }
  std::string reason() const {
    return this->lastFailed() ? this->lastFailed()->reason : "";
  }
};

/// What happens at the upstream, and what the entry and the fleet are told.
struct EndRow {
  const char *What;
  Errc Code;
  // What the probe finds; nothing where it finds nothing in time.
  std::optional<UpstreamPort> Found;
  bool Draining;
  const char *Reason;
  size_t Crashes;
};
std::ostream &operator<<(std::ostream &To, const EndRow &Of) {
  return To << Of.What;
}

const EndRow Ends[] = {
    {"it is gone", Errc::Closed, UpstreamPort::Closed, false,
     "upstream-crashed", 1},
    {"it takes connections", Errc::Closed, UpstreamPort::Open, false,
     "upstream-closed", 0},
    {"nobody says so", Errc::Closed, std::nullopt, false, "upstream-closed", 0},
    {"it was leaving", Errc::Closed, UpstreamPort::Closed, true,
     "upstream-crashed", 0},
    {"it is full, or ending", Errc::Closed, UpstreamPort::Unclear, false,
     "upstream-closed", 0},
    {"it sent rubbish", Errc::BadMessage, UpstreamPort::Closed, false,
     "upstream-bad-message", 0},
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateCrashes)

// A connection ends under a run. The caller is told that the outcome is
// unknown in any case; the request is suspected only if its upstream is gone,
// without having said that it leaves.
BOOST_DATA_TEST_CASE(ACrashIsToldFromALostAnswer, data::make(Ends), Row) {
  Fixture Of;
  Of.openPath(1, "/x");
  if (Row.Draining)
    Of.TestGate->drain("list", Of.Now);
  Of.connectionEnds(1, Row.Code);
  BOOST_TEST(Of.ProbeCount == (Row.Code == Errc::Closed ? 1u : 0u));
  if (Row.Found && Of.ProbeCount)
    Of.TestGate->upstreamProbed(*Row.Found, Of.Now);
  Of.Now += Millis(150);
  Of.TestGate->tick(Of.Now);
  BOOST_TEST(Of.reason() == Row.Reason);
  BOOST_TEST((Of.lastFailed()->outcome == wire::Outcome::Unknown));
  BOOST_TEST(Of.ReportedCrashes.size() == Row.Crashes);
  BOOST_TEST(Of.TestGate->idle());
}

// Three requests run when the upstream crashes; the first connection to end
// tells of it. All three are named, once, and all three callers are told.
BOOST_FIXTURE_TEST_CASE(AllThatRanIsNamedOnce, Fixture) {
  for (uint64_t Seq = 1; Seq <= 3; ++Seq)
    this->openPath(Seq, "/" + std::to_string(Seq));
  this->connectionEnds(2);
  this->TestGate->upstreamProbed(UpstreamPort::Closed, this->Now);
  BOOST_REQUIRE(this->ReportedCrashes.size() == 1u);
  BOOST_TEST(this->ReportedCrashes[0].size() == 3u);
  BOOST_TEST(this->ReportedCrashes[0][1].Request == "GET /2");
  this->connectionEnds(1);
  this->connectionEnds(3);
  BOOST_TEST(this->ProbeCount == 1u);
  BOOST_TEST(this->ReportedCrashes.size() == 1u);
  BOOST_TEST(this->TestGate->counters().Unknown == 3u);
  BOOST_TEST(this->reason() == "upstream-crashed");
}

// Many calls find the port closed at once. One look is enough, and the next
// comes when the first is over.
BOOST_FIXTURE_TEST_CASE(OneLookAtATime, Fixture) {
  for (uint64_t Seq = 1; Seq <= 5; ++Seq)
    this->openPath(Seq, "/x");
  for (uint64_t Seq = 1; Seq <= 5; ++Seq)
    this->TestGate->upstreamFailed(
        {7, Seq}, /*Sent=*/false,
        Error{Errc::Unreachable, "upstream-call", "up-1", "refused"},
        this->Now);
  BOOST_TEST(this->ProbeCount == 1u);
  BOOST_TEST(this->reason() == "upstream-unreachable");
  this->TestGate->upstreamProbed(UpstreamPort::Closed, this->Now);
  // Nothing ran there, so nothing is suspected.
  BOOST_TEST(this->ReportedCrashes.empty());
  BOOST_TEST(this->toldGone() == std::vector<bool>{true});
}

// A process crashes, and its port closes a moment after its first connection.
// The gate asks again, and finds it gone.
BOOST_FIXTURE_TEST_CASE(APortThatClosesLateIsAskedAgain, Fixture) {
  this->openPath(1, "/x");
  this->connectionEnds(1);
  this->TestGate->upstreamProbed(UpstreamPort::Unclear, this->Now);
  BOOST_TEST(this->reason() == "");
  this->Now += Millis(20);
  this->TestGate->tick(this->Now);
  BOOST_TEST(this->ProbeCount == 2u);
  this->TestGate->upstreamProbed(UpstreamPort::Closed, this->Now);
  BOOST_TEST(this->reason() == "upstream-crashed");
  BOOST_TEST(this->ReportedCrashes.size() == 1u);
}

// The list names an upstream for seconds after its crash. Callers who are sent
// there find nothing, and are refused in the end although others have room:
// what a call may be offered is used up. Whoever has a link is told at once,
// nothing is started meanwhile, and all are told when the port is open again.
BOOST_FIXTURE_TEST_CASE(AnUpstreamThatIsGoneIsToldOf, Fixture) {
  this->openPath(1, "/x");
  this->connectionEnds(1);
  this->TestGate->upstreamProbed(UpstreamPort::Closed, this->Now);
  BOOST_TEST(this->toldGone() == std::vector<bool>{true});
  this->openPath(2, "/y");
  BOOST_TEST(this->StartedCalls.size() == 1u);
  BOOST_TEST(this->reason() == "upstream-gone");
  BOOST_TEST((this->lastFailed()->outcome == wire::Outcome::NotRun));
  size_t Before = this->ProbeCount;
  for (int I = 0; I < 10; ++I) {
    this->Now += Millis(100);
    this->TestGate->tick(this->Now);
    this->TestGate->upstreamProbed(UpstreamPort::Closed, this->Now);
  }
  BOOST_TEST(this->ProbeCount == Before + 10);
  this->TestGate->upstreamProbed(UpstreamPort::Open, this->Now);
  BOOST_TEST(this->toldGone() == (std::vector<bool>{true, false}));
  this->openPath(3, "/z");
  BOOST_TEST(this->StartedCalls.size() == 2u);
}

// A caller sends a request that is held. It must not reach the upstream, and
// its caller is told truly that it has not run, and when to come back.
BOOST_FIXTURE_TEST_CASE(WhatIsUnfinishedCallsIsRefused, Fixture) {
  this->QuarantineDecision = {Standing::Held, Millis(5000)};
  this->openPath(1, "/x");
  BOOST_TEST(this->StartedCalls.empty());
  BOOST_REQUIRE(this->lastFailed());
  BOOST_TEST(this->reason() == "quarantined");
  BOOST_TEST((this->lastFailed()->outcome == wire::Outcome::NotRun));
  BOOST_TEST(this->lastFailed()->retry_after_ms == 5000u);
}

// Of two suspects at one upstream a crash would not show which is to blame, and
// the innocent would be held with the other. The second is sent elsewhere; two
// runs of the same request may stand side by side.
BOOST_FIXTURE_TEST_CASE(SuspectsRunOneAtATime, Fixture) {
  this->openPath(1, "/free");
  this->QuarantineDecision = {Standing::Suspect, Millis(0)};
  this->openPath(2, "/one");
  this->openPath(3, "/two");
  BOOST_TEST(this->StartedCalls.size() == 2u);
  BOOST_TEST(this->reason() == "beside-suspect");
  BOOST_TEST((this->lastFailed()->outcome == wire::Outcome::NotRun));
  this->openPath(4, "/one");
  BOOST_TEST(this->StartedCalls.size() == 3u);
  this->answer(2);
  this->openPath(5, "/two");
  BOOST_TEST(this->StartedCalls.size() == 3u);
  this->answer(4);
  this->openPath(6, "/two");
  BOOST_TEST(this->StartedCalls.size() == 4u);
}

// The entry has seen an upstream crash under the call a moment ago. The news
// may not have come here yet, but the call brings it along.
BOOST_FIXTURE_TEST_CASE(ACallThatComesFromACrashIsASuspect, Fixture) {
  this->openPath(1, "/one", /*Crashes=*/1);
  this->openPath(2, "/two", /*Crashes=*/1);
  BOOST_TEST(this->StartedCalls.size() == 1u);
  BOOST_TEST(this->reason() == "beside-suspect");
}

// A long body comes in pieces. The request has the same name as at an entry
// that has read it whole, or it would be held at one of the two only.
BOOST_FIXTURE_TEST_CASE(ABodyIsPartOfTheName, Fixture) {
  this->openUpload(1, /*Held=*/false);
  this->sendBody(1, 0, 12000, /*End=*/false);
  this->sendBody(1, 12000, 8000, /*End=*/true);
  BOOST_REQUIRE(this->StartedCalls.size() == 1u);
  this->answer(1);
  RequestHead Head;
  Head.Method = "POST";
  Head.Path = "/x";
  Head.Length = 20000;
  BOOST_REQUIRE(this->AnsweredRequests.size() == 1u);
  BOOST_TEST((this->AnsweredRequests[0] ==
              fingerprintOf(Head, "", std::string(20000, 'x'))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
