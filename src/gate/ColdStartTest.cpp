#include "gate/ColdStart.h"

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

ColdStart::Options options() {
  ColdStart::Options Out;
  Out.Overrun = 1.5;
  Out.Slack = 5;
  Out.Spare = 0;
  return Out;
}
// 10 a second, half as much again, and 5.
constexpr size_t Bound = 20;

/// Configured at Start, and warm by its own word.
ColdStart warm() {
  ColdStart Out(options());
  Out.configure(PerSecond, Warmup, Start);
  Out.named("up-1", Start);
  Out.asksNow(Start);
  Out.told(Millis(0), Start);
  return Out;
}

/// What happens to a warm upstream, and whether it is cold 100 ms and 3.1 s
/// later.
struct SignRow {
  const char *What;
  std::function<void(ColdStart &)> Happens;
  bool ColdSoon;
  bool ColdLater;
};
std::ostream &operator<<(std::ostream &To, const SignRow &Of) {
  return To << Of.What;
}

void ask(ColdStart &Of, int64_t AskedMs, std::optional<Millis> Told,
         int64_t ToldMs) {
  Of.asksNow(at(AskedMs));
  Of.told(Told, at(ToldMs));
}

const SignRow Signs[] = {
    {"nothing", [](ColdStart &) {}, false, false},
    {"a doubt", [](ColdStart &Of) { Of.doubt(at(0)); }, true, false},
    {"a doubt that it answers: warm",
     [](ColdStart &Of) {
       Of.doubt(at(0));
       ask(Of, 500, Millis(0), 501);
     },
     false, false},
    {"a doubt that it answers: cold for longer than a warm-up",
     [](ColdStart &Of) {
       Of.doubt(at(0));
       ask(Of, 500, Millis(4000), 501);
     },
     true, true},
    {"a doubt that it answers without a word of it",
     [](ColdStart &Of) {
       Of.doubt(at(0));
       ask(Of, 500, std::nullopt, 501);
     },
     true, false},
    {"an answer to a question from before the doubt",
     [](ColdStart &Of) {
       Of.doubt(at(0));
       Of.asksNow(at(500));
       Of.doubt(at(510));
       Of.told(Millis(0), at(520));
     },
     true, true},
    {"a call that names another upstream",
     [](ColdStart &Of) { Of.named("up-2", at(0)); }, true, false},
    {"a call that names the same",
     [](ColdStart &Of) { Of.named("up-1", at(0)); }, false, false},
    {"a call that names nobody", [](ColdStart &Of) { Of.named("", at(0)); },
     false, false},
    {"the list: cold", [](ColdStart &Of) { Of.listed(Millis(2000), at(0)); },
     true, false},
    {"the list: warm, in the midst of a doubt",
     [](ColdStart &Of) {
       Of.doubt(at(0));
       Of.listed(Millis(0), at(10));
     },
     true, false},
    {"unasked, it says that it is cold",
     [](ColdStart &Of) { Of.told(Millis(2000), at(0)); }, true, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ColdStarts)

// Guards against an upstream that started unseen, and is taken for warm.
BOOST_DATA_TEST_CASE(SignsOfANewStart, data::make(Signs), Row) {
  ColdStart Of = warm();
  Row.Happens(Of);
  BOOST_TEST(Of.isCold(at(600)) == Row.ColdSoon);
  BOOST_TEST(Of.isCold(at(3100)) == Row.ColdLater);
}

// Guards against a node that starts beside a cold upstream and takes it for
// warm.
BOOST_AUTO_TEST_CASE(NothingIsKnownAtFirst) {
  ColdStart Of(options());
  Of.configure(PerSecond, Warmup, Start);
  BOOST_TEST(Of.isCold(Start));
  BOOST_TEST(Of.asksNow(Start));
  BOOST_TEST(!Of.asksNow(at(400)));
  BOOST_TEST(Of.asksNow(at(500)));
  Of.told(Millis(0), at(501));
  BOOST_TEST(!Of.isCold(at(501)));
  BOOST_TEST(!Of.asksNow(at(2000)));
}

// Guards against a process that is killed and started again at once, and sends
// its cold upstream as much as the one before has just sent.
BOOST_AUTO_TEST_CASE(WhatAnEarlierProcessSentIsNotKnown) {
  ColdStart Of(options());
  Of.watch(Start);
  Of.configure(PerSecond, Warmup, at(300));
  Of.watch(at(600));
  BOOST_TEST(Of.room(at(999)) == 0u);
  BOOST_TEST((Of.wait(at(300)) == Millis(700)));
  BOOST_TEST(Of.room(at(1000)) == Bound);
}

// Guards against a second without service more, where all start together.
BOOST_AUTO_TEST_CASE(AnUpstreamThatStartsWithItsNodeIsKnownWhole) {
  for (int64_t BeganMs : {-300, -50, 200}) {
    ColdStart Of(options());
    Of.watch(Start);
    Of.configure(PerSecond, Warmup, at(400));
    ask(Of, 400, Warmup - Millis(400 - BeganMs), 400);
    BOOST_TEST(Of.room(at(500)) == (BeganMs < -100 ? 0u : Bound));
  }
}

BOOST_AUTO_TEST_CASE(ANewProcessBesideAWarmUpstreamGoesOn) {
  ColdStart Of(options());
  Of.watch(Start);
  Of.configure(PerSecond, Warmup, at(300));
  ask(Of, 300, Millis(0), 301);
  BOOST_TEST(Of.room(at(301)) == SIZE_MAX);
}

BOOST_AUTO_TEST_CASE(WithoutARateNothingIsLimited) {
  ColdStart Of(options());
  Of.configure(/*PerSecond=*/0, Warmup, Start);
  Of.doubt(Start);
  BOOST_TEST(!Of.isCold(Start));
  BOOST_TEST(!Of.asksNow(Start));
  BOOST_TEST(Of.room(Start) == SIZE_MAX);
}

// Guards against two bursts that lie in two spans each, and together in one.
BOOST_AUTO_TEST_CASE(NoSpanHoldsMoreThanTheBound) {
  ColdStart Of(options());
  Of.configure(PerSecond, Millis(10000), Start);
  std::vector<TimePoint> Started;
  for (int64_t Ms = 0; Ms < 9000; Ms += 7) {
    bool Bursts = Ms % 1700 < 300;
    for (int Tries = Bursts ? 5 : 1; Tries > 0 && Of.room(at(Ms)) > 0;
         --Tries) {
      Of.sent(at(Ms));
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
  ColdStart Of = warm();
  for (int64_t Ms = 0; Ms < 30; ++Ms)
    Of.sent(at(Ms));
  Of.doubt(at(100));
  BOOST_TEST(Of.room(at(100)) == 0u);
  BOOST_TEST((Of.wait(at(100)) == Millis(910)));
  BOOST_TEST(Of.isOverrun(at(100)));
  BOOST_TEST(Of.room(at(1010)) == 1u);
  BOOST_TEST(Of.room(at(1100)) == Bound);
  BOOST_TEST(!Of.isOverrun(at(1100)));
}

// Guards against requests that wait for their connections and all go out in a
// span that is full without them.
BOOST_AUTO_TEST_CASE(WhatHasNotGoneOutTakesUpRoom) {
  ColdStart Of = warm();
  Of.doubt(at(0));
  for (size_t I = 0; I < Bound; ++I)
    Of.begun();
  BOOST_TEST(Of.room(at(1500)) == 0u);
  BOOST_TEST((Of.wait(at(1500)) > Millis(0)));
  Of.settled();
  Of.sent(at(1600));
  BOOST_TEST(Of.room(at(1700)) == 0u);
  Of.settled();
  BOOST_TEST(Of.room(at(1700)) == 1u);
}

// Guards against a request that crashes cold upstreams and is never held: what
// its gate let through is no overrun.
BOOST_AUTO_TEST_CASE(WhatWasLetThroughIsNoOverrun) {
  ColdStart Of = warm();
  Of.doubt(at(0));
  for (; Of.room(at(10)) > 0;)
    Of.sent(at(10));
  BOOST_TEST(!Of.isOverrun(at(20)));
  Of.sent(at(20));
  BOOST_TEST(Of.isOverrun(at(20)));
}

BOOST_AUTO_TEST_CASE(TheWaitEndsWithTheColdTime) {
  ColdStart Of = warm();
  Of.doubt(at(0));
  Of.asksNow(at(500));
  Of.told(Millis(200), at(500));
  for (size_t I = 0; I < Bound; ++I)
    Of.sent(at(500));
  BOOST_TEST((Of.wait(at(500)) == Millis(300)));
  // What it says is cut to whole milliseconds, so a wave at its end comes
  // early.
  BOOST_TEST(Of.room(at(701)) == 0u);
  BOOST_TEST(Of.room(at(800)) == SIZE_MAX);
}

// Guards against a gate that admits by its free slots what its cold upstream
// does not bear.
BOOST_AUTO_TEST_CASE(AdmissionHandsAColdUpstreamWhatItBears) {
  Admission::Options Opts;
  Opts.Cold = options();
  Admission At(Opts, /*Seed=*/1);
  Service Of;
  Of.Slots = 100;
  Of.QueueLimit = 5;
  Of.Warmup = Warmup;
  Of.ColdPerSecond = PerSecond;
  At.configure(Of, Start);
  size_t Ran = 0, Waited = 0;
  for (uint64_t Seq = 1; Seq <= 40; ++Seq) {
    Admission::Ask One;
    One.Id = {1, Seq};
    One.Deadline = Start + Millis(5000);
    Admission::Answer Said = At.ask(One, Start);
    Waited += Said.What == Admission::Verdict::Wait;
    if (Said.What != Admission::Verdict::Run)
      continue;
    ++Ran;
    BOOST_TEST(!At.start(Start));
    At.coldStart().sent(Start);
    At.coldStart().settled();
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
  ColdStart::Options Cold = options();
  Admission::Options Opts;
  Opts.Cold = Cold;
  Admission At(Opts, /*Seed=*/1);
  Service Of;
  Of.Slots = 100;
  Of.Warmup = Warmup;
  Of.ColdPerSecond = PerSecond;
  At.configure(Of, Start);
  for (size_t I = 0; I < Bound; ++I) {
    BOOST_TEST(!At.start(at(500)));
    At.coldStart().sent(at(500));
    At.coldStart().settled();
  }
  std::optional<Admission::Answer> No = At.start(at(600));
  BOOST_REQUIRE(No);
  BOOST_TEST((No->Why.CallOutcome == Outcome::NotRun));
  BOOST_TEST((No->Why.RetryAfter >= Millis(900)));
  BOOST_TEST(!At.start(at(1500)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
