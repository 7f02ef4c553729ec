#include "routing/HedgePolicy.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
const Clock::duration NoTarget = Clock::duration::max();

/// Answers of one route, all recorded at Start, and the bounds of the delay
/// that is learned from them; no delay if Most is zero.
struct DelayRow {
  const char *Name;
  int Usual;
  int Slow;
  Millis Least;
  Millis Most;
};
std::ostream &operator<<(std::ostream &To, const DelayRow &Row) {
  return To << Row.Name;
}

// The usual answer takes 100 ms and a slow one 400 ms.
const DelayRow DelayRows[] = {
    {"no answers", 0, 0, Millis(0), Millis(0)},
    {"one answer too few", 19, 0, Millis(0), Millis(0)},
    {"enough answers, all alike", 20, 0, Millis(150), Millis(166)},
    {"three in a hundred slow", 97, 3, Millis(150), Millis(166)},
    {"eight in a hundred slow", 92, 8, Millis(400), Millis(440)},
    {"most answers slow", 10, 90, Millis(600), Millis(661)},
};

/// A route with eight slow answers in a hundred, and a call's target.
struct TargetRow {
  const char *Name;
  Millis TimeToTarget;
  Millis Least;
  Millis Most;
};
std::ostream &operator<<(std::ostream &To, const TargetRow &Row) {
  return To << Row.Name;
}

const TargetRow TargetRows[] = {
    {"target is far", Millis(1000), Millis(400), Millis(440)},
    {"target needs an earlier hedge", Millis(350), Millis(210), Millis(226)},
    {"target is too near for a second run", Millis(200), Millis(150),
     Millis(166)},
    {"target has passed", Millis(-50), Millis(150), Millis(166)},
};

HedgePolicy makePolicy(double MaxPercent = 3) {
  return HedgePolicy({.Enabled = true, .MaxPercent = MaxPercent});
}

void recordAnswers(HedgePolicy &Policy, int Count, Millis Took, TimePoint Now) {
  for (int I = 0; I < Count; ++I)
    Policy.recordAnswer("r", Took, Now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(HedgePolicyDecisions)

// Guards against a delay that is guessed from a few answers, or so short that
// usual runs are hedged.
BOOST_DATA_TEST_CASE(DelayIsLearned, data::make(DelayRows), Row) {
  HedgePolicy Policy = makePolicy();
  recordAnswers(Policy, Row.Usual, Millis(100), Start);
  recordAnswers(Policy, Row.Slow, Millis(400), Start);
  std::optional<Clock::duration> Delay = Policy.delay("r", NoTarget, Start);
  BOOST_REQUIRE(Delay.has_value() == (Row.Most.count() > 0));
  if (Delay) {
    BOOST_TEST((*Delay >= Row.Least));
    BOOST_TEST((*Delay <= Row.Most));
  }
  BOOST_TEST(!Policy.delay("other", NoTarget, Start).has_value());
}

// Guards against hedges that start when they can no longer be in time.
BOOST_DATA_TEST_CASE(DelayLeavesTimeBeforeTheTarget, data::make(TargetRows),
                     Row) {
  HedgePolicy Policy = makePolicy();
  recordAnswers(Policy, 92, Millis(100), Start);
  recordAnswers(Policy, 8, Millis(400), Start);
  std::optional<Clock::duration> Delay =
      Policy.delay("r", Row.TimeToTarget, Start);
  BOOST_REQUIRE(Delay.has_value());
  BOOST_TEST((*Delay >= Row.Least));
  BOOST_TEST((*Delay <= Row.Most));
}

// An upstream's new version is four times as slow. If old answers never lost
// weight, most calls would be hedged from then on.
BOOST_AUTO_TEST_CASE(OldAnswersLoseWeight) {
  HedgePolicy Policy = makePolicy();
  recordAnswers(Policy, 100, Millis(100), Start);
  TimePoint Later = Start + Millis(180000);
  BOOST_TEST(!Policy.delay("r", NoTarget, Later).has_value());
  recordAnswers(Policy, 40, Millis(400), Later);
  BOOST_REQUIRE(Policy.delay("r", NoTarget, Later).has_value());
  BOOST_TEST((*Policy.delay("r", NoTarget, Later) >= Millis(600)));
}

// A hedge that cannot end before the deadline costs a slot for nothing.
BOOST_AUTO_TEST_CASE(UsualRunMustFitBeforeDeadline) {
  HedgePolicy Policy = makePolicy();
  recordAnswers(Policy, 20, Millis(100), Start);
  BOOST_TEST(Policy.fits("r", Start + Millis(110), Start));
  BOOST_TEST(!Policy.fits("r", Start + Millis(99), Start));
  BOOST_TEST(!Policy.fits("other", Start + Millis(1000), Start));
}

// Hedges must not add more load than the settings allow, neither at the start
// nor in a burst after a time without hedges.
BOOST_AUTO_TEST_CASE(HedgesAreAShareOfFirstTries) {
  HedgePolicy Policy = makePolicy(/*MaxPercent=*/3);
  BOOST_TEST(!Policy.spendHedge("r"));
  int Hedges = 0;
  for (int I = 0; I < 1000; ++I) {
    Policy.recordFirstTry("r");
    Hedges += Policy.spendHedge("r") ? 1 : 0;
  }
  BOOST_TEST(Hedges >= 29);
  BOOST_TEST(Hedges <= 30);
  for (int I = 0; I < 1000; ++I)
    Policy.recordFirstTry("r");
  int Saved = 0;
  while (Policy.spendHedge("r"))
    ++Saved;
  BOOST_TEST(Saved == 5);
}

// Callers choose paths but not routes; the bound guards against a configuration
// with very many of them.
BOOST_AUTO_TEST_CASE(RoutesAreBounded) {
  HedgePolicy Policy({.Enabled = true, .MinAnswers = 1, .MaxRoutes = 2});
  for (const char *Route : {"a", "b", "c"})
    Policy.recordAnswer(Route, Millis(10), Start);
  BOOST_TEST(Policy.delay("b", NoTarget, Start).has_value());
  BOOST_TEST(!Policy.delay("c", NoTarget, Start).has_value());
}

BOOST_AUTO_TEST_CASE(NothingIsLearnedWhileOff) {
  HedgePolicy Policy{HedgePolicy::Options()};
  Policy.recordFirstTry("r");
  recordAnswers(Policy, 100, Millis(100), Start);
  BOOST_TEST(!Policy.delay("r", NoTarget, Start).has_value());
  BOOST_TEST(!Policy.fits("r", Start + Millis(1000), Start));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
