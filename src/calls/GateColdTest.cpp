#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

/// A cold upstream can handle ten calls a second, of which two are kept in
/// reserve.
const std::string ColdRecords = R"([
  {"kind":"service","name":"a","schema":2,"slots":100,"warmup_ms":3000,
   "cold_per_s":10,"health_path":"/up"},
  {"kind":"route","name":"r","schema":3,"match":{"prefix":"/"},
   "service":"a","idempotent":false}])";
/// Calls that a gate may start together at a cold upstream: ten less two.
constexpr size_t ColdLimit = 8;

/// A gate whose instance list names a cold upstream.
struct Fixture : GateFixture {
  uint64_t LastSeq = 0;

  Fixture() {
    this->configure(ColdRecords);
    this->listUpstream("up-1");
  }

  void listUpstream(const std::string &Upstream, Millis ColdLeft = Millis(0)) {
    Instance Self;
    Self.Name = "me";
    Self.Service = "a";
    Self.Upstream = Upstream;
    Self.ColdLeft = ColdLeft;
    this->TestGate->membersChanged({&Self}, this->Now);
  }
  void makeWarm() {
    this->Now += Millis(600);
    this->TestGate->tick(this->Now);
    this->TestGate->upstreamReported(Millis(0), this->Now);
  }
  /// Sends this many calls together and returns how many were started.
  size_t sendCalls(size_t Count, const std::string &Upstream = "up-1") {
    size_t Before = this->StartedCalls.size();
    for (size_t I = 0; I < Count; ++I) {
      wire::OpenT Open = this->makeOpen(++this->LastSeq);
      Open.upstream = Upstream;
      this->sendOpen(std::move(Open));
    }
    return this->StartedCalls.size() - Before;
  }
  void crashUpstream() {
    this->sendCalls(1);
    this->TestGate->upstreamFailed(
        {7, this->LastSeq}, /*Sent=*/true,
        Error{Errc::Closed, "upstream-call", "up-1", "ended"}, this->Now);
    this->TestGate->upstreamProbed(UpstreamProbeResult::Closed, this->Now);
  }
};

/// An event at the gate of a warm upstream, and whether the upstream counts as
/// cold afterwards.
struct RestartSignRow {
  const char *Name;
  std::function<void(Fixture &)> Trigger;
  bool ExpectedCold;
};
std::ostream &operator<<(std::ostream &Stream, const RestartSignRow &Row) {
  return Stream << Row.Name;
}

const RestartSignRow RestartSigns[] = {
    {"nothing", [](Fixture &) {}, false},
    {"the list names a new upstream process",
     [](Fixture &Test) { Test.listUpstream("up-2"); }, true},
    {"the list reports the same process as cold",
     [](Fixture &Test) { Test.listUpstream("up-1", Millis(2500)); }, true},
    {"an entry names a new process before the list does",
     [](Fixture &Test) { Test.sendCalls(1, "up-2"); }, true},
    {"its port closes and opens again",
     [](Fixture &Test) {
       Test.crashUpstream();
       Test.TestGate->upstreamProbed(UpstreamProbeResult::Open, Test.Now);
     },
     true},
    {"another process answers 421 at its address",
     [](Fixture &Test) {
       Test.sendCalls(1);
       ResponseHead Head;
       Head.Status = 421;
       Test.TestGate->upstreamHead({7, Test.LastSeq}, Head, Test.Now);
     },
     true},
    {"its data centre was evacuated, and it received no calls",
     [](Fixture &Test) { Test.TestGate->suspectRestart(Test.Now); }, true},
    {"a new configuration version with the same contents",
     [](Fixture &Test) { Test.configure(ColdRecords); }, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateColdStart)

// Guards against a burst of calls to an upstream that has just restarted, which
// would crash under them. After each sign of a restart the gate queries the
// upstream's health and limits calls until the upstream reports that it is
// warm.
BOOST_DATA_TEST_CASE(SignsOfARestartLimitCalls, data::make(RestartSigns), Row) {
  Fixture Test;
  Test.makeWarm();
  Test.HealthQueries.clear();
  Test.Now += Millis(2000);
  Row.Trigger(Test);
  Test.Now += Millis(1000);
  Test.TestGate->tick(Test.Now);
  BOOST_TEST(Test.TestGate->isCold(Test.Now) == Row.ExpectedCold);
  BOOST_TEST(Test.HealthQueries.empty() != Row.ExpectedCold);
  if (Row.ExpectedCold)
    BOOST_TEST(Test.HealthQueries.front() == "/up");
  BOOST_TEST(Test.sendCalls(50) == (Row.ExpectedCold ? ColdLimit : 50u));
  if (!Row.ExpectedCold)
    return;
  Test.TestGate->upstreamReported(Millis(0), Test.Now);
  BOOST_TEST(Test.sendCalls(50) == 50u);
}

// Guards against calls that wait for connections and are then sent together
// with later ones: calls that are not sent yet use up cold-start capacity.
BOOST_FIXTURE_TEST_CASE(UnsentCallsUseColdCapacity, Fixture) {
  this->SendsAtOnce = false;
  BOOST_TEST(this->sendCalls(50) == ColdLimit);
  this->Now += Millis(1500);
  BOOST_TEST(this->sendCalls(50) == 0u);
  for (const auto &[Id, Head] : this->StartedCalls)
    this->TestGate->requestSent(Id, this->Now);
  this->Now += Millis(900);
  BOOST_TEST(this->sendCalls(50) == 0u);
}

// Guards against entries that retry at a cold gate again and again before it
// has capacity: each refusal states when it will have some.
BOOST_FIXTURE_TEST_CASE(RefusalsStateTimeUntilCapacity, Fixture) {
  this->sendCalls(ColdLimit + 1);
  this->Now += Millis(300);
  this->sendCalls(1);
  BOOST_TEST(this->lastFailed()->room_in_ms == 700u);
  this->makeWarm();
  this->sendCalls(200);
  BOOST_TEST(this->lastFailed()->room_in_ms == 0u);
}

// Guards against capacity that stays reserved for calls that were never sent.
BOOST_FIXTURE_TEST_CASE(FailedSendsReturnColdCapacity, Fixture) {
  this->SendsAtOnce = false;
  BOOST_TEST(this->sendCalls(50) == ColdLimit);
  for (const auto &[Id, Head] : this->StartedCalls)
    this->TestGate->upstreamFailed(
        Id, /*Sent=*/false,
        Error{Errc::Timeout, "upstream-call", "up-1", "late"}, this->Now);
  BOOST_TEST(this->sendCalls(50) == ColdLimit);
}

// Guards against quarantining requests for a crash that a cold upstream suffers
// under any calls above its limit.
BOOST_FIXTURE_TEST_CASE(CrashAboveColdLimitBlamesNoRequest, Fixture) {
  this->makeWarm();
  this->sendCalls(30);
  this->listUpstream("up-2");
  this->TestGate->upstreamFailed(
      {7, this->LastSeq}, /*Sent=*/true,
      Error{Errc::Closed, "upstream-call", "up-1", "ended"}, this->Now);
  this->TestGate->upstreamProbed(UpstreamProbeResult::Closed, this->Now);
  BOOST_TEST(this->ReportedCrashes.empty());
}

// A crash of a cold upstream below its limit is reported with its requests.
BOOST_FIXTURE_TEST_CASE(CrashWithinColdLimitBlamesRequests, Fixture) {
  this->sendCalls(3);
  this->TestGate->upstreamFailed(
      {7, this->LastSeq}, /*Sent=*/true,
      Error{Errc::Closed, "upstream-call", "up-1", "ended"}, this->Now);
  this->TestGate->upstreamProbed(UpstreamProbeResult::Closed, this->Now);
  BOOST_TEST(this->ReportedCrashes.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

/// Drain reasons that are set and then removed, in order.
struct ReasonRow {
  const char *Name;
  std::vector<std::string> Drains;
  std::vector<std::string> Reopens;
  bool ExpectedOpen;
};
std::ostream &operator<<(std::ostream &Stream, const ReasonRow &Row) {
  return Stream << Row.Name;
}

const ReasonRow Reasons[] = {
    {"one, which is removed", {"list"}, {"list"}, true},
    {"one of two is removed", {"evacuation", "list"}, {"list"}, false},
    {"the other of two is removed",
     {"evacuation", "list"},
     {"evacuation"},
     false},
    {"both are removed", {"list", "evacuation"}, {"evacuation", "list"}, true},
    {"a reason that was not set is removed", {"stop"}, {"list"}, false},
    {"the same reason set twice and removed once",
     {"list", "list"},
     {"list"},
     true},
};

BOOST_AUTO_TEST_SUITE(GateDrainReasons)

// Guards against a gate that opens when one drain reason is removed while
// another still applies.
BOOST_DATA_TEST_CASE(GateOpensOnlyWithoutReasons, data::make(Reasons), Row) {
  GateFixture Test;
  for (const std::string &Reason : Row.Drains)
    Test.TestGate->drain(Reason, Test.Now);
  for (const std::string &Reason : Row.Reopens)
    Test.TestGate->reopen(Reason, Test.Now);
  Test.SentFrames.clear();
  Test.sendOpen(Test.makeOpen(1));
  BOOST_TEST(Test.StartedCalls.size() == (Row.ExpectedOpen ? 1u : 0u));
  if (!Row.ExpectedOpen)
    BOOST_TEST(Test.lastFailed()->reason == "draining");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
