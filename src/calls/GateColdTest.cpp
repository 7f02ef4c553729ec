#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

/// A cold upstream bears ten calls a second, of which two are spared.
const std::string ColdRecords = R"([
  {"kind":"service","name":"a","schema":2,"slots":100,"warmup_ms":3000,
   "cold_per_s":10,"health_path":"/up"},
  {"kind":"route","name":"r","schema":3,"match":{"prefix":"/"},
   "service":"a","idempotent":false}])";
constexpr size_t Bound = 8;

struct Fixture : GateFixture {
  uint64_t LastSeq = 0;

  Fixture() {
    this->configure(ColdRecords);
    this->list("up-1");
  }

  void list(const std::string &Upstream, Millis ColdLeft = Millis(0)) {
    Instance Own;
    Own.Name = "me";
    Own.Service = "a";
    Own.Upstream = Upstream;
    Own.ColdLeft = ColdLeft;
    this->TestGate->membersChanged({&Own}, this->Now);
  }
  void warm() {
    this->Now += Millis(600);
    this->TestGate->tick(this->Now);
    this->TestGate->upstreamReported(Millis(0), this->Now);
  }
  /// Started of so many calls that come together.
  size_t startedOf(size_t Calls, const std::string &Upstream = "up-1") {
    size_t Before = this->StartedCalls.size();
    for (size_t I = 0; I < Calls; ++I) {
      wire::OpenT Open = this->makeOpen(++this->LastSeq);
      Open.upstream = Upstream;
      this->sendOpen(std::move(Open));
    }
    return this->StartedCalls.size() - Before;
  }
  void closeUpstream() {
    this->startedOf(1);
    this->TestGate->upstreamFailed(
        {7, this->LastSeq}, /*Sent=*/true,
        Error{Errc::Closed, "upstream-call", "up-1", "ended"}, this->Now);
    this->TestGate->upstreamProbed(UpstreamPort::Closed, this->Now);
  }
};

/// What a gate beside a warm upstream meets.
struct SignRow {
  const char *What;
  std::function<void(Fixture &)> Happens;
  bool Cold;
};
std::ostream &operator<<(std::ostream &To, const SignRow &Of) {
  return To << Of.What;
}

const SignRow Signs[] = {
    {"nothing", [](Fixture &) {}, false},
    {"the list names another start", [](Fixture &Of) { Of.list("up-2"); },
     true},
    {"the list names the same, as cold",
     [](Fixture &Of) { Of.list("up-1", Millis(2500)); }, true},
    {"an entry names another before the list does",
     [](Fixture &Of) { Of.startedOf(1, "up-2"); }, true},
    {"its port is closed, and opens again",
     [](Fixture &Of) {
       Of.closeUpstream();
       Of.TestGate->upstreamProbed(UpstreamPort::Open, Of.Now);
     },
     true},
    {"another upstream answers in its place",
     [](Fixture &Of) {
       Of.startedOf(1);
       ResponseHead Head;
       Head.Status = 421;
       Of.TestGate->upstreamHead({7, Of.LastSeq}, Head, Of.Now);
     },
     true},
    {"it was left alone, as operators wanted",
     [](Fixture &Of) { Of.TestGate->suspectRestart(Of.Now); }, true},
    {"another version says the same of it",
     [](Fixture &Of) { Of.configure(ColdRecords); }, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateCold)

// Guards against a wave of calls to an upstream that has just started, which
// crashes under them.
BOOST_DATA_TEST_CASE(SignsOfANewStart, data::make(Signs), Row) {
  Fixture Of;
  Of.warm();
  Of.HealthQueries.clear();
  Of.Now += Millis(2000);
  Row.Happens(Of);
  Of.Now += Millis(1000);
  Of.TestGate->tick(Of.Now);
  BOOST_TEST(Of.TestGate->isCold(Of.Now) == Row.Cold);
  BOOST_TEST(Of.HealthQueries.empty() != Row.Cold);
  if (Row.Cold)
    BOOST_TEST(Of.HealthQueries.front() == "/up");
  BOOST_TEST(Of.startedOf(50) == (Row.Cold ? Bound : 50u));
  if (!Row.Cold)
    return;
  Of.TestGate->upstreamReported(Millis(0), Of.Now);
  BOOST_TEST(Of.startedOf(50) == 50u);
}

// Guards against calls that wait for their connections, and go out together
// with others.
BOOST_FIXTURE_TEST_CASE(WhatIsNotSentYetTakesUpRoom, Fixture) {
  this->SendsAtOnce = false;
  BOOST_TEST(this->startedOf(50) == Bound);
  this->Now += Millis(1500);
  BOOST_TEST(this->startedOf(50) == 0u);
  for (const auto &[Id, Head] : this->StartedCalls)
    this->TestGate->requestSent(Id, this->Now);
  this->Now += Millis(900);
  BOOST_TEST(this->startedOf(50) == 0u);
}

// Guards against entries that ask a cold gate again and again for room that it
// cannot have yet.
BOOST_FIXTURE_TEST_CASE(ARefusalSaysWhenThereIsRoom, Fixture) {
  this->startedOf(Bound + 1);
  this->Now += Millis(300);
  this->startedOf(1);
  BOOST_TEST(this->lastFailed()->room_in_ms == 700u);
  this->warm();
  this->startedOf(200);
  BOOST_TEST(this->lastFailed()->room_in_ms == 0u);
}

// Guards against room that a call took and never used.
BOOST_FIXTURE_TEST_CASE(WhatNeverGoesOutGivesItsRoomBack, Fixture) {
  this->SendsAtOnce = false;
  BOOST_TEST(this->startedOf(50) == Bound);
  for (const auto &[Id, Head] : this->StartedCalls)
    this->TestGate->upstreamFailed(
        Id, /*Sent=*/false,
        Error{Errc::Timeout, "upstream-call", "up-1", "late"}, this->Now);
  BOOST_TEST(this->startedOf(50) == Bound);
}

// Guards against requests that are held for a crash which cold upstreams have
// under any calls.
BOOST_FIXTURE_TEST_CASE(AnOverrunBlamesNobody, Fixture) {
  this->warm();
  this->startedOf(30);
  this->list("up-2");
  this->TestGate->upstreamFailed(
      {7, this->LastSeq}, /*Sent=*/true,
      Error{Errc::Closed, "upstream-call", "up-1", "ended"}, this->Now);
  this->TestGate->upstreamProbed(UpstreamPort::Closed, this->Now);
  BOOST_TEST(this->ReportedCrashes.empty());
}

BOOST_FIXTURE_TEST_CASE(ACrashWithinWhatItBearsIsBlamed, Fixture) {
  this->startedOf(3);
  this->TestGate->upstreamFailed(
      {7, this->LastSeq}, /*Sent=*/true,
      Error{Errc::Closed, "upstream-call", "up-1", "ended"}, this->Now);
  this->TestGate->upstreamProbed(UpstreamPort::Closed, this->Now);
  BOOST_TEST(this->ReportedCrashes.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

/// Reasons for which a gate closes and opens, in order.
struct ReasonRow {
  const char *What;
  std::vector<std::string> Closes;
  std::vector<std::string> Opens;
  bool Open;
};
std::ostream &operator<<(std::ostream &To, const ReasonRow &Of) {
  return To << Of.What;
}

const ReasonRow Reasons[] = {
    {"one, and it is gone", {"list"}, {"list"}, true},
    {"one of two is gone", {"evacuation", "list"}, {"list"}, false},
    {"the other of two is gone", {"evacuation", "list"}, {"evacuation"}, false},
    {"both are gone", {"list", "evacuation"}, {"evacuation", "list"}, true},
    {"another than the one is gone", {"stop"}, {"list"}, false},
    {"the same twice, and it is gone", {"list", "list"}, {"list"}, true},
};

BOOST_AUTO_TEST_SUITE(GateReasons)

// Guards against a gate that opens for the end of one reason while another
// holds.
BOOST_DATA_TEST_CASE(AGateIsOpenWithoutAny, data::make(Reasons), Row) {
  GateFixture Of;
  for (const std::string &By : Row.Closes)
    Of.TestGate->drain(By, Of.Now);
  for (const std::string &By : Row.Opens)
    Of.TestGate->reopen(By, Of.Now);
  Of.SentFrames.clear();
  Of.sendOpen(Of.makeOpen(1));
  BOOST_TEST(Of.StartedCalls.size() == (Row.Open ? 1u : 0u));
  if (!Row.Open)
    BOOST_TEST(Of.lastFailed()->reason == "draining");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
