#include "gate/ShedDetector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));

/// Calls that ended 10 ms apart: first those shed with free slots, then the
/// others. Percent is the share reported Later after the last.
struct ShareRow {
  const char *Name;
  int Shed;
  int Other;
  Millis Later;
  bool Restarts;
  uint32_t Percent;
};
std::ostream &operator<<(std::ostream &To, const ShareRow &Row) {
  return To << Row.Name;
}

const ShareRow ShareRows[] = {
    {"sheds more than half", 11, 9, Millis(0), false, 55},
    {"sheds all", 10, 0, Millis(0), false, 100},
    {"a single refusal counts", 1, 30, Millis(0), false, 3},
    {"no refusals with free slots", 0, 20, Millis(0), false, 0},
    {"nine calls are too few", 9, 0, Millis(0), false, 0},
    {"the refusals have left the window", 5, 15, Millis(400), false, 0},
    {"all calls have left the window", 20, 0, Millis(510), false, 0},
    {"the upstream was started again", 20, 0, Millis(0), true, 0},
};

} // namespace

BOOST_AUTO_TEST_SUITE(Shedding)

// Guards against a share that is taken from too few calls, or kept after the
// upstream has stopped shedding or was replaced.
BOOST_DATA_TEST_CASE(ShareIsThatOfTheWindow, data::make(ShareRows), Row) {
  ShedDetector::Options Opts;
  Opts.Enabled = true;
  ShedDetector Detector(Opts);
  TimePoint Now = Start;
  for (int I = 0; I < Row.Shed + Row.Other; ++I) {
    Now = Start + I * Millis(10);
    Detector.recordCall(I < Row.Shed, Now);
  }
  if (Row.Restarts)
    Detector.upstreamRestarted();
  BOOST_TEST(Detector.shedPercent(Now + Row.Later) == Row.Percent);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
