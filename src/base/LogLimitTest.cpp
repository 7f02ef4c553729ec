#include "base/LogLimit.h"

#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

LogLimit::Options few() {
  LogLimit::Options Out;
  Out.LinesPerSecond = 2;
  Out.Burst = 3;
  Out.MaxKinds = 2;
  return Out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogBounds)

// A cause that repeats a thousand times in a second writes a few lines, and one
// that sums up the others, so that an id among them is still found.
BOOST_AUTO_TEST_CASE(RepeatedCauseIsSummedUp) {
  LogLimit Limit(few());
  int Written = 0;
  for (int I = 0; I < 1000; ++I)
    Written +=
        Limit.allow("refused", "id-" + std::to_string(I), Start + Millis(I));
  BOOST_TEST(Written == 4);
  std::vector<LogLimit::Sum> Sums = Limit.due(Start + Millis(1100));
  BOOST_REQUIRE(Sums.size() == 1u);
  BOOST_TEST(Sums[0].Lines == 996u);
  BOOST_TEST(Sums[0].FirstId == "id-3");
  BOOST_TEST(Sums[0].LastId == "id-999");
  BOOST_TEST(Limit.due(Start + Millis(5000)).empty());
}

BOOST_AUTO_TEST_CASE(KindsHaveBoundsOfTheirOwn) {
  LogLimit Limit(few());
  for (int I = 0; I < 10; ++I)
    Limit.allow("refused", "x", Start);
  BOOST_TEST(Limit.allow("retried", "y", Start));
}

// Reasons come from other nodes; they must not grow the memory.
BOOST_AUTO_TEST_CASE(KindsAreBounded) {
  LogLimit Limit(few());
  int Written = 0;
  for (int I = 0; I < 100; ++I)
    Written += Limit.allow("kind " + std::to_string(I), "x", Start);
  BOOST_TEST(Written == 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
