#include "gate/StatedRateLimiter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr Millis UpstreamWindow{4000};
/// When an upstream that states its rate for the first time begins to compare.
constexpr Millis StableWindow{3000};

TimePoint at(int64_t Ms) { return Start + Millis(Ms); }

/// Callers that ask for this many calls per second, from BeforeMs before the
/// statement to AfterMs after it. The limiter hears of the statement DelayMs
/// after it was made.
struct LoadRow {
  const char *Name;
  double StatedRate;
  int64_t CallsPerSecond;
  int64_t BeforeMs;
  int64_t AfterMs;
  int64_t DelayMs;
};
std::ostream &operator<<(std::ostream &To, const LoadRow &Row) {
  return To << Row.Name;
}

const LoadRow Loads[] = {
    {"three times the rate", 24.8, 73, 5000, 20000, 20},
    {"four times the rate", 14.9, 65, 5000, 20000, 20},
    {"an answer with it comes late", 24.8, 73, 5000, 20000, 150},
    {"just above the rate", 24.8, 27, 5000, 20000, 40},
    {"less than the rate", 24.8, 12, 5000, 20000, 80},
    {"less than one call per second", 0.5, 20, 0, 60000, 0},
    {"more than ten calls per millisecond", 20000, 30000, 0, 2000, 0},
};

/// Times at which the limiter let calls through, in order.
std::vector<TimePoint> playLoad(const LoadRow &Row) {
  StatedRateLimiter Limiter{StatedRateLimiter::Options()};
  std::vector<TimePoint> Sent;
  bool Told = false;
  int64_t Count = (Row.BeforeMs + Row.AfterMs) * Row.CallsPerSecond / 1000;
  for (int64_t I = 0; I < Count; ++I) {
    TimePoint Now =
        at(-Row.BeforeMs) + Micros(I * 1000000 / Row.CallsPerSecond);
    if (!Told && Now >= at(Row.DelayMs)) {
      Limiter.setRate(Row.StatedRate, Now);
      Told = true;
    }
    if (Limiter.capacity(Now) == 0)
      continue;
    Limiter.recordSent(Now);
    Sent.push_back(Now);
  }
  return Sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StatedRates)

// Guards against an upstream that gets more calls than it tolerates in some
// four seconds, counted from three seconds after its first statement.
BOOST_DATA_TEST_CASE(NoWindowExceedsWhatIsTolerated, data::make(Loads), Row) {
  std::vector<TimePoint> Sent = playLoad(Row);
  double Tolerated = 1.5 * 4 * Row.StatedRate + 5;
  size_t First = 0;
  for (size_t Last = 0; Last < Sent.size(); ++Last) {
    TimePoint End = std::max(Sent[Last], at(0) + StableWindow);
    while (First <= Last && Sent[First] <= End - UpstreamWindow)
      ++First;
    size_t InWindow = Last + 1 - First;
    BOOST_REQUIRE(static_cast<double>(InWindow) <= Tolerated);
  }
}

// Guards against a limit that gives an upstream a fraction of the calls that it
// takes.
BOOST_DATA_TEST_CASE(LimitedUpstreamGetsItsRate, data::make(Loads), Row) {
  std::vector<TimePoint> Sent = playLoad(Row);
  TimePoint From = at(0) + StableWindow;
  double Seconds = static_cast<double>(Row.AfterMs - 3000) / 1000;
  if (Seconds <= 0)
    return;
  auto Count = static_cast<double>(std::count_if(
      Sent.begin(), Sent.end(), [&](TimePoint At) { return At > From; }));
  double Wanted =
      std::min(Row.StatedRate, static_cast<double>(Row.CallsPerSecond));
  BOOST_TEST(Count >= 0.9 * Wanted * Seconds - 1);
  BOOST_TEST(Count <= 1.05 * Wanted * Seconds + 2);
}

// Guards against a limit that outlives its statement.
BOOST_AUTO_TEST_CASE(LimitEndsWithTheStatement) {
  StatedRateLimiter Limiter{StatedRateLimiter::Options()};
  Limiter.setRate(1, at(0));
  Limiter.recordSent(at(0));
  BOOST_TEST(Limiter.capacity(at(1)) == 0u);
  Limiter.setRate(std::nullopt, at(2));
  BOOST_TEST(Limiter.capacity(at(2)) > 1000u);
  BOOST_TEST(Limiter.timeUntilCapacity(at(2)).count() == 0);
}

// Guards against an upstream that states zero and never gets a call whose
// answer could show that its limit has ended.
BOOST_AUTO_TEST_CASE(UpstreamThatTakesNothingGetsACallNowAndThen) {
  StatedRateLimiter Limiter{StatedRateLimiter::Options()};
  Limiter.setRate(0, at(0));
  size_t Sent = 0;
  for (int64_t Ms = 0; Ms < 40000; Ms += 10) {
    if (Limiter.capacity(at(Ms)) == 0)
      continue;
    Limiter.recordSent(at(Ms));
    ++Sent;
  }
  BOOST_TEST(Sent >= 8u);
  BOOST_TEST(Sent <= 11u);
}

// Guards against a time to come back at which there is no capacity, or long
// after there was some.
BOOST_DATA_TEST_CASE(TimeUntilCapacityIsExact, data::make(Loads), Row) {
  StatedRateLimiter Limiter{StatedRateLimiter::Options()};
  for (int64_t Ms = -2000; Ms < 0; Ms += 10)
    Limiter.recordSent(at(Ms));
  Limiter.setRate(Row.StatedRate, at(0));
  TimePoint Now = at(0);
  for (int I = 0; I < 200; ++I) {
    Clock::duration Wait = Limiter.timeUntilCapacity(Now);
    if (Wait > Clock::duration::zero() && Now + Wait < at(2800)) {
      BOOST_TEST(Limiter.capacity(Now + Wait - Micros(1)) == 0u);
      BOOST_TEST(Limiter.capacity(Now + Wait) >= 1u);
    }
    Now += Wait;
    Limiter.recordSent(Now);
  }
}

// Guards against calls that wait for their connections and are then sent
// together.
BOOST_AUTO_TEST_CASE(ReservedCallsUseCapacity) {
  StatedRateLimiter Limiter{StatedRateLimiter::Options()};
  Limiter.setRate(10, at(0));
  size_t Capacity = Limiter.capacity(at(0));
  for (size_t I = 0; I < Capacity; ++I)
    Limiter.reserve();
  BOOST_TEST(Limiter.capacity(at(0)) == 0u);
  BOOST_TEST(Limiter.timeUntilCapacity(at(0)).count() > 0);
  Limiter.releaseReservation();
  BOOST_TEST(Limiter.capacity(at(0)) == 1u);
}

// Guards against an upstream that inherits the limit of the one whose place it
// has taken.
BOOST_AUTO_TEST_CASE(RestartedUpstreamHasNoLimit) {
  StatedRateLimiter Limiter{StatedRateLimiter::Options()};
  Limiter.setRate(1, at(0));
  for (int64_t Ms = 0; Ms < 100; ++Ms)
    Limiter.recordSent(at(Ms));
  Limiter.upstreamRestarted();
  BOOST_TEST(!Limiter.isLimited());
  Limiter.setRate(10, at(200));
  BOOST_TEST(Limiter.capacity(at(200)) > 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
