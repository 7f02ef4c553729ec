#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

using Standing = Quarantine::Status;

/// A gate with running calls whose connections to the upstream can be ended.
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
  /// The gone flag of each Pong sent to the entry.
  std::vector<bool> announcedGone() const {
    std::vector<bool> Announced;
    for (const wire::CallFrameT &Frame : this->SentFrames)
      if (const auto *Pong = Frame.payload.AsPong())
        Announced.push_back(Pong->gone);
    return Announced;
  }
  std::string failureReason() const {
    return this->lastFailed() ? this->lastFailed()->reason : "";
  }
};

/// How a connection to the upstream ends, and what the gate then reports.
struct EndRow {
  const char *Name;
  Errc Code;
  // Result of the probe; nothing if it has no result in time.
  std::optional<UpstreamProbeResult> ProbeResult;
  bool Draining;
  const char *ExpectedReason;
  size_t ExpectedCrashes;
};
std::ostream &operator<<(std::ostream &Stream, const EndRow &Row) {
  return Stream << Row.Name;
}

const EndRow EndRows[] = {
    {"its port is closed", Errc::Closed, UpstreamProbeResult::Closed, false,
     "upstream-crashed", 1},
    {"its port is open", Errc::Closed, UpstreamProbeResult::Open, false,
     "upstream-closed", 0},
    {"the probe has no result", Errc::Closed, std::nullopt, false,
     "upstream-closed", 0},
    {"it was draining", Errc::Closed, UpstreamProbeResult::Closed, true,
     "upstream-crashed", 0},
    {"it is full or ending: the probe is inconclusive", Errc::Closed,
     UpstreamProbeResult::Inconclusive, false, "upstream-closed", 0},
    {"it sent a malformed answer", Errc::BadMessage,
     UpstreamProbeResult::Closed, false, "upstream-bad-message", 0},
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateUpstreamCrashes)

// The connection of a running call ends. The outcome is always reported as
// unknown; a crash is reported only if the upstream is gone without having
// announced that it leaves.
BOOST_DATA_TEST_CASE(CrashIsDistinguishedFromLostAnswer, data::make(EndRows),
                     Row) {
  Fixture Test;
  Test.openPath(1, "/x");
  if (Row.Draining)
    Test.TestGate->drain("list", Test.Now);
  Test.connectionEnds(1, Row.Code);
  BOOST_TEST(Test.ProbeCount == (Row.Code == Errc::Closed ? 1u : 0u));
  if (Row.ProbeResult && Test.ProbeCount)
    Test.TestGate->upstreamProbed(*Row.ProbeResult, Test.Now);
  Test.Now += Millis(150);
  Test.TestGate->tick(Test.Now);
  BOOST_TEST(Test.failureReason() == Row.ExpectedReason);
  BOOST_TEST((Test.lastFailed()->outcome == wire::Outcome::Unknown));
  BOOST_TEST(Test.ReportedCrashes.size() == Row.ExpectedCrashes);
  BOOST_TEST(Test.TestGate->idle());
}

// Three requests run when the upstream crashes, and the first lost connection
// starts the probe. One crash is reported with all three requests, and all
// three calls fail.
BOOST_FIXTURE_TEST_CASE(AllRunningRequestsAreReportedOnce, Fixture) {
  for (uint64_t Seq = 1; Seq <= 3; ++Seq)
    this->openPath(Seq, "/" + std::to_string(Seq));
  this->connectionEnds(2);
  this->TestGate->upstreamProbed(UpstreamProbeResult::Closed, this->Now);
  BOOST_REQUIRE(this->ReportedCrashes.size() == 1u);
  BOOST_TEST(this->ReportedCrashes[0].size() == 3u);
  BOOST_TEST(this->ReportedCrashes[0][1].Description == "GET /2");
  this->connectionEnds(1);
  this->connectionEnds(3);
  BOOST_TEST(this->ProbeCount == 1u);
  BOOST_TEST(this->ReportedCrashes.size() == 1u);
  BOOST_TEST(this->TestGate->counters().Unknown == 3u);
  BOOST_TEST(this->failureReason() == "upstream-crashed");
}

// Guards against a burst of probes when many calls find the port closed at
// once: only one probe runs at a time.
BOOST_FIXTURE_TEST_CASE(OneProbeAtATime, Fixture) {
  for (uint64_t Seq = 1; Seq <= 5; ++Seq)
    this->openPath(Seq, "/x");
  for (uint64_t Seq = 1; Seq <= 5; ++Seq)
    this->TestGate->upstreamFailed(
        {7, Seq}, /*Sent=*/false,
        Error{Errc::Unreachable, "upstream-call", "up-1", "refused"},
        this->Now);
  BOOST_TEST(this->ProbeCount == 1u);
  BOOST_TEST(this->failureReason() == "upstream-unreachable");
  this->TestGate->upstreamProbed(UpstreamProbeResult::Closed, this->Now);
  // No request ran, so none is suspected.
  BOOST_TEST(this->ReportedCrashes.empty());
  BOOST_TEST(this->announcedGone() == std::vector<bool>{true});
}

// Guards against missing a crash when the port closes a moment after the first
// connection: an inconclusive probe is repeated.
BOOST_FIXTURE_TEST_CASE(InconclusiveProbeIsRepeated, Fixture) {
  this->openPath(1, "/x");
  this->connectionEnds(1);
  this->TestGate->upstreamProbed(UpstreamProbeResult::Inconclusive, this->Now);
  BOOST_TEST(this->failureReason() == "");
  this->Now += Millis(20);
  this->TestGate->tick(this->Now);
  BOOST_TEST(this->ProbeCount == 2u);
  this->TestGate->upstreamProbed(UpstreamProbeResult::Closed, this->Now);
  BOOST_TEST(this->failureReason() == "upstream-crashed");
  BOOST_TEST(this->ReportedCrashes.size() == 1u);
}

// Guards against calls that use up their offers at the gate of a crashed
// upstream, which the instance list names for seconds after the crash, and are
// refused although other gates have capacity. Entries are notified at once and
// again when the port is open; no call is started in between.
BOOST_FIXTURE_TEST_CASE(GoneUpstreamIsAnnouncedToEntries, Fixture) {
  this->openPath(1, "/x");
  this->connectionEnds(1);
  this->TestGate->upstreamProbed(UpstreamProbeResult::Closed, this->Now);
  BOOST_TEST(this->announcedGone() == std::vector<bool>{true});
  this->openPath(2, "/y");
  BOOST_TEST(this->StartedCalls.size() == 1u);
  BOOST_TEST(this->failureReason() == "upstream-gone");
  BOOST_TEST((this->lastFailed()->outcome == wire::Outcome::NotRun));
  size_t Before = this->ProbeCount;
  for (int I = 0; I < 10; ++I) {
    this->Now += Millis(100);
    this->TestGate->tick(this->Now);
    this->TestGate->upstreamProbed(UpstreamProbeResult::Closed, this->Now);
  }
  BOOST_TEST(this->ProbeCount == Before + 10);
  this->TestGate->upstreamProbed(UpstreamProbeResult::Open, this->Now);
  BOOST_TEST(this->announcedGone() == (std::vector<bool>{true, false}));
  this->openPath(3, "/z");
  BOOST_TEST(this->StartedCalls.size() == 2u);
}

// A quarantined request must not reach the upstream. It is refused as not run,
// with the time after which it may be retried.
BOOST_FIXTURE_TEST_CASE(WhatIsUnfinishedCallsIsRefused, Fixture) {
  this->QuarantineDecision = {Standing::Quarantined, Millis(5000)};
  this->openPath(1, "/x");
  BOOST_TEST(this->StartedCalls.empty());
  BOOST_REQUIRE(this->lastFailed());
  BOOST_TEST(this->failureReason() == "quarantined");
  BOOST_TEST((this->lastFailed()->outcome == wire::Outcome::NotRun));
  BOOST_TEST(this->lastFailed()->retry_after_ms == 5000u);
}

// If two suspect requests ran at one upstream, a crash would not show which one
// caused it, and both would be quarantined. The second is refused and goes to
// another gate; two runs of the same request may run together.
BOOST_FIXTURE_TEST_CASE(DifferentSuspectsDoNotRunTogether, Fixture) {
  this->openPath(1, "/free");
  this->QuarantineDecision = {Standing::Suspect, Millis(0)};
  this->openPath(2, "/one");
  this->openPath(3, "/two");
  BOOST_TEST(this->StartedCalls.size() == 2u);
  BOOST_TEST(this->failureReason() == "beside-suspect");
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

// An upstream of another gate has just crashed under the call. The quarantine
// record may not have arrived here yet, but the call carries the crash count,
// so its request is treated as a suspect.
BOOST_FIXTURE_TEST_CASE(CallWithEarlierCrashIsASuspect, Fixture) {
  this->openPath(1, "/one", /*Crashes=*/1);
  this->openPath(2, "/two", /*Crashes=*/1);
  BOOST_TEST(this->StartedCalls.size() == 1u);
  BOOST_TEST(this->failureReason() == "beside-suspect");
}

// The fingerprint covers a body that arrives in several frames, as at an entry
// that has read the whole body. Otherwise the request would be quarantined at
// only one of the two.
BOOST_FIXTURE_TEST_CASE(FingerprintIncludesTheBody, Fixture) {
  this->openUpload(1, /*HoldsBody=*/false);
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
              computeFingerprint(Head, "", std::string(20000, 'x'))));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
