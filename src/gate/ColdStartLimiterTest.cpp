#include "gate/ColdStartLimiter.h"

#include "gate/Admission.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <vector>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr double PerSecond = 10;
constexpr Millis Warmup{3000};

TimePoint at(int64_t Ms) { return Start + Millis(Ms); }

ColdStartLimiter::Options options() {
  ColdStartLimiter::Options Out;
  Out.RateFactor = 1.5;
  Out.ExtraCalls = 5;
  Out.ReservedCalls = 0;
  return Out;
}
// 10 a second, half as much again, and 5.
constexpr size_t Bound = 20;

/// Configured at Start, and warm by its own word.
ColdStartLimiter warm() {
  ColdStartLimiter Out(options());
  Out.configure(PerSecond, Warmup, Start);
  Out.observeUpstream("up-1", Start);
  Out.shouldQuery(Start);
  Out.upstreamReported(Millis(0), Start);
  return Out;
}

/// What happens to a warm upstream, and whether it is cold 100 ms and 3.1 s
/// later.
struct SignRow {
  const char *What;
  std::function<void(ColdStartLimiter &)> Happens;
  bool ColdSoon;
  bool ColdLater;
};
std::ostream &operator<<(std::ostream &To, const SignRow &Of) {
  return To << Of.What;
}

void ask(ColdStartLimiter &Of, int64_t AskedMs, std::optional<Millis> Told,
         int64_t ToldMs) {
  Of.shouldQuery(at(AskedMs));
  Of.upstreamReported(Told, at(ToldMs));
}

const SignRow Signs[] = {
    {"nothing", [](ColdStartLimiter &) {}, false, false},
    {"a doubt", [](ColdStartLimiter &Of) { Of.suspectRestart(at(0)); }, true,
     false},
    {"a doubt that it answers: warm",
     [](ColdStartLimiter &Of) {
       Of.suspectRestart(at(0));
       ask(Of, 500, Millis(0), 501);
     },
     false, false},
    {"a doubt that it answers: cold for longer than a warm-up",
     [](ColdStartLimiter &Of) {
       Of.suspectRestart(at(0));
       ask(Of, 500, Millis(4000), 501);
     },
     true, true},
    {"a doubt that it answers without a word of it",
     [](ColdStartLimiter &Of) {
       Of.suspectRestart(at(0));
       ask(Of, 500, std::nullopt, 501);
     },
     true, false},
    {"an answer to a question from before the doubt",
     [](ColdStartLimiter &Of) {
       Of.suspectRestart(at(0));
       Of.shouldQuery(at(500));
       Of.suspectRestart(at(510));
       Of.upstreamReported(Millis(0), at(520));
     },
     true, true},
    {"a call that names another upstream",
     [](ColdStartLimiter &Of) { Of.observeUpstream("up-2", at(0)); }, true,
     false},
    {"a call that names the same",
     [](ColdStartLimiter &Of) { Of.observeUpstream("up-1", at(0)); }, false,
     false},
    {"a call that names nobody",
     [](ColdStartLimiter &Of) { Of.observeUpstream("", at(0)); }, false, false},
    {"the list: cold",
     [](ColdStartLimiter &Of) { Of.listReported(Millis(2000), at(0)); }, true,
     false},
    {"the list: warm, in the midst of a doubt",
     [](ColdStartLimiter &Of) {
       Of.suspectRestart(at(0));
       Of.listReported(Millis(0), at(10));
     },
     true, false},
    {"unasked, it says that it is cold",
     [](ColdStartLimiter &Of) { Of.upstreamReported(Millis(2000), at(0)); },
     true, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ColdStarts)

// Guards against an upstream that started unseen, and is taken for warm.
BOOST_DATA_TEST_CASE(SignsOfANewStart, data::make(Signs), Row) {
  ColdStartLimiter Of = warm();
  Row.Happens(Of);
  BOOST_TEST(Of.isCold(at(600)) == Row.ColdSoon);
  BOOST_TEST(Of.isCold(at(3100)) == Row.ColdLater);
}

// Guards against a node that starts beside a cold upstream and takes it for
// warm.
BOOST_AUTO_TEST_CASE(NothingIsKnownAtFirst) {
  ColdStartLimiter Of(options());
  Of.configure(PerSecond, Warmup, Start);
  BOOST_TEST(Of.isCold(Start));
  BOOST_TEST(Of.shouldQuery(Start));
  BOOST_TEST(!Of.shouldQuery(at(400)));
  BOOST_TEST(Of.shouldQuery(at(500)));
  Of.upstreamReported(Millis(0), at(501));
  BOOST_TEST(!Of.isCold(at(501)));
  BOOST_TEST(!Of.shouldQuery(at(2000)));
}

// Guards against a process that is killed and started again at once, and sends
// its cold upstream as much as the one before has just sent.
BOOST_AUTO_TEST_CASE(WhatAnEarlierProcessSentIsNotKnown) {
  ColdStartLimiter Of(options());
  Of.startCounting(Start);
  Of.configure(PerSecond, Warmup, at(300));
  Of.startCounting(at(600));
  BOOST_TEST(Of.capacity(at(999)) == 0u);
  BOOST_TEST((Of.timeUntilCapacity(at(300)) == Millis(700)));
  BOOST_TEST(Of.capacity(at(1000)) == Bound);
}

// Guards against a second without service more, where all start together.
BOOST_AUTO_TEST_CASE(AnUpstreamThatStartsWithItsNodeIsKnownWhole) {
  for (int64_t BeganMs : {-300, -50, 200}) {
    ColdStartLimiter Of(options());
    Of.startCounting(Start);
    Of.configure(PerSecond, Warmup, at(400));
    ask(Of, 400, Warmup - Millis(400 - BeganMs), 400);
    BOOST_TEST(Of.capacity(at(500)) == (BeganMs < -100 ? 0u : Bound));
  }
}

BOOST_AUTO_TEST_CASE(ANewProcessBesideAWarmUpstreamGoesOn) {
  ColdStartLimiter Of(options());
  Of.startCounting(Start);
  Of.configure(PerSecond, Warmup, at(300));
  ask(Of, 300, Millis(0), 301);
  BOOST_TEST(Of.capacity(at(301)) == SIZE_MAX);
}

BOOST_AUTO_TEST_CASE(WithoutARateNothingIsLimited) {
  ColdStartLimiter Of(options());
  Of.configure(/*PerSecond=*/0, Warmup, Start);
  Of.suspectRestart(Start);
  BOOST_TEST(!Of.isCold(Start));
  BOOST_TEST(!Of.shouldQuery(Start));
  BOOST_TEST(Of.capacity(Start) == SIZE_MAX);
}

// Guards against two bursts that lie in two spans each, and together in one.
BOOST_AUTO_TEST_CASE(NoSpanHoldsMoreThanTheBound) {
  ColdStartLimiter Of(options());
  Of.configure(PerSecond, Millis(10000), Start);
  std::vector<TimePoint> Started;
  for (int64_t Ms = 0; Ms < 9000; Ms += 7) {
    bool Bursts = Ms % 1700 < 300;
    for (int Tries = Bursts ? 5 : 1; Tries > 0 && Of.capacity(at(Ms)) > 0;
         --Tries) {
      Of.recordSent(at(Ms));
      Started.push_back(at(Ms));
    }
  }
  for (size_t I = Bound; I < Started.size(); ++I)
    BOOST_TEST((Started[I] - Started[I - Bound] >= Millis(1000)));
  BOOST_TEST(Started.size() > 8 * Bound);
}

// Guards against calls from just before the cold time that are not counted: the
// upstream was cold already, and nobody knew.
BOOST_AUTO_TEST_CASE(WhatStartedWhileItWasTakenForWarmCounts) {
  ColdStartLimiter Of = warm();
  for (int64_t Ms = 0; Ms < 30; ++Ms)
    Of.recordSent(at(Ms));
  Of.suspectRestart(at(100));
  BOOST_TEST(Of.capacity(at(100)) == 0u);
  BOOST_TEST((Of.timeUntilCapacity(at(100)) == Millis(910)));
  BOOST_TEST(Of.isOverLimit(at(100)));
  BOOST_TEST(Of.capacity(at(1010)) == 1u);
  BOOST_TEST(Of.capacity(at(1100)) == Bound);
  BOOST_TEST(!Of.isOverLimit(at(1100)));
}

// Guards against requests that wait for their connections and all go out in a
// span that is full without them.
BOOST_AUTO_TEST_CASE(WhatHasNotGoneOutTakesUpRoom) {
  ColdStartLimiter Of = warm();
  Of.suspectRestart(at(0));
  for (size_t I = 0; I < Bound; ++I)
    Of.reserve();
  BOOST_TEST(Of.capacity(at(1500)) == 0u);
  BOOST_TEST((Of.timeUntilCapacity(at(1500)) > Millis(0)));
  Of.releaseReservation();
  Of.recordSent(at(1600));
  BOOST_TEST(Of.capacity(at(1700)) == 0u);
  Of.releaseReservation();
  BOOST_TEST(Of.capacity(at(1700)) == 1u);
}

// Guards against a request that crashes cold upstreams and is never held: what
// its gate let through is no overrun.
BOOST_AUTO_TEST_CASE(WhatWasLetThroughIsNoOverrun) {
  ColdStartLimiter Of = warm();
  Of.suspectRestart(at(0));
  for (; Of.capacity(at(10)) > 0;)
    Of.recordSent(at(10));
  BOOST_TEST(!Of.isOverLimit(at(20)));
  Of.recordSent(at(20));
  BOOST_TEST(Of.isOverLimit(at(20)));
}

BOOST_AUTO_TEST_CASE(TheWaitEndsWithTheColdTime) {
  ColdStartLimiter Of = warm();
  Of.suspectRestart(at(0));
  Of.shouldQuery(at(500));
  Of.upstreamReported(Millis(200), at(500));
  for (size_t I = 0; I < Bound; ++I)
    Of.recordSent(at(500));
  BOOST_TEST((Of.timeUntilCapacity(at(500)) == Millis(300)));
  // What it says is cut to whole milliseconds, so a wave at its end comes
  // early.
  BOOST_TEST(Of.capacity(at(701)) == 0u);
  BOOST_TEST(Of.capacity(at(800)) == SIZE_MAX);
}

// Guards against a gate that admits by its free slots what its cold upstream
// does not bear.
BOOST_AUTO_TEST_CASE(AdmissionHandsAColdUpstreamWhatItBears) {
  Admission::Options Opts;
  Opts.ColdStartOpts = options();
  Admission At(Opts, /*Seed=*/1);
  Service Of;
  Of.Slots = 100;
  Of.QueueLimit = 5;
  Of.Warmup = Warmup;
  Of.ColdPerSecond = PerSecond;
  At.configure(Of, Start);
  size_t Ran = 0, Waited = 0;
  for (uint64_t Seq = 1; Seq <= 40; ++Seq) {
    Admission::Request One;
    One.Id = {1, Seq};
    One.Deadline = Start + Millis(5000);
    Admission::Result Said = At.admit(One, Start);
    Waited += Said.Action == Admission::Decision::Wait;
    if (Said.Action != Admission::Decision::Run)
      continue;
    ++Ran;
    BOOST_TEST(!At.reserveCapacity(Start));
    At.coldStart().recordSent(Start);
    At.coldStart().releaseReservation();
  }
  BOOST_TEST(Ran == Bound);
  // More would wait for longer than calls may.
  BOOST_TEST(Waited == 0u);
  BOOST_TEST(At.load(Start).slots() < 100u);
  BOOST_TEST(At.load(Start).queued() >= Bound);
}

// Guards against a body that comes for seconds, and whose call starts in a span
// that is full by then.
BOOST_AUTO_TEST_CASE(ACallThatStartsLateIsCountedThen) {
  ColdStartLimiter::Options Cold = options();
  Admission::Options Opts;
  Opts.ColdStartOpts = Cold;
  Admission At(Opts, /*Seed=*/1);
  Service Of;
  Of.Slots = 100;
  Of.Warmup = Warmup;
  Of.ColdPerSecond = PerSecond;
  At.configure(Of, Start);
  for (size_t I = 0; I < Bound; ++I) {
    BOOST_TEST(!At.reserveCapacity(at(500)));
    At.coldStart().recordSent(at(500));
    At.coldStart().releaseReservation();
  }
  std::optional<Admission::Result> No = At.reserveCapacity(at(600));
  BOOST_REQUIRE(No);
  BOOST_TEST((No->RefusalDetails.What == Outcome::NotRun));
  BOOST_TEST((No->RefusalDetails.RetryAfter >= Millis(900)));
  BOOST_TEST(!At.reserveCapacity(at(1500)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
