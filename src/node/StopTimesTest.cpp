#include "node/StopTimes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

struct StopTimesRow {
  int64_t GraceMs;
  int64_t ExpectedWithinMs;
  int64_t ExpectedLingerMs;
};
std::ostream &operator<<(std::ostream &Out, const StopTimesRow &Row) {
  return Out << "grace " << Row.GraceMs << " ms";
}

const StopTimesRow StopTimesRows[] = {
    {6000, 5500, 2800}, {10000, 9167, 2800}, {30000, 27500, 2800},
    {3000, 2600, 1500}, {1000, 834, 500},    {100, 84, 50},
    {0, 0, 0},
};

} // namespace

BOOST_AUTO_TEST_SUITE(StopTimesOfNodes)

// Guards against a stop that cuts its calls long before the platform would, or
// that the platform cuts because it is too slow.
BOOST_DATA_TEST_CASE(StopTimesFollowTheGrace,
                     boost::unit_test::data::make(StopTimesRows), Row) {
  StopTimes Times = stopTimes(Millis(Row.GraceMs), Millis(2800));
  BOOST_TEST(Times.Within.count() == Row.ExpectedWithinMs);
  BOOST_TEST(Times.Linger.count() == Row.ExpectedLingerMs);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
