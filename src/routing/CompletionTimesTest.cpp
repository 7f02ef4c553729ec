#include "routing/CompletionTimes.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace hickorylift {

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

struct EndRow {
  const char *Name;
  /// How long earlier calls of the route took, and how long ago they were.
  std::vector<int64_t> TookMs;
  int64_t AgoMs;
  int64_t DeadlineMs;
  int64_t StopMs;
  bool Expected;
};
std::ostream &operator<<(std::ostream &Out, const EndRow &Row) {
  return Out << Row.Name;
}

const EndRow EndRows[] = {
    {"the deadline is before the stop", {}, 0, 1000, 1000, true},
    {"an unknown route may last until its deadline", {}, 0, 1001, 1000, false},
    {"short calls", {90, 100, 110}, 0, 5000, 1000, true},
    {"long calls", {4500, 4500}, 0, 9000, 2700, false},
    {"long calls and enough time", {4500, 4500}, 0, 9000, 6400, true},
    {"one long call among short ones",
     {50, 50, 50, 4500},
     0,
     9000,
     2700,
     false},
    {"calls of minutes ago", {50}, 300000, 5000, 1000, false},
    {"no time is left", {50}, 0, 5000, 40, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(CompletionTimesOfRoutes)

// Guards against a call that is taken during a stop and cut at its end, and
// against refusing those that have time to end.
BOOST_DATA_TEST_CASE(CallsAreJudgedByTheirRoute,
                     boost::unit_test::data::make(EndRows), Row) {
  CompletionTimes Times;
  for (int64_t Took : Row.TookMs)
    Times.record("r", Millis(Took), Start);
  TimePoint Now = Start + Millis(Row.AgoMs);
  BOOST_TEST(Times.endsBy("r", Now + Millis(Row.DeadlineMs),
                          Now + Millis(Row.StopMs), Now) == Row.Expected);
}

// Guards against memory that grows with the names of routes.
BOOST_AUTO_TEST_CASE(RoutesAreLimited) {
  CompletionTimes::Options Opts;
  Opts.MaxRoutes = 1;
  CompletionTimes Times(Opts);
  Times.record("a", Millis(1), Start);
  Times.record("b", Millis(1), Start);
  auto EndsBy = [&](const char *Route) {
    return Times.endsBy(Route, Start + Millis(500), Start + Millis(100), Start);
  };
  BOOST_TEST(EndsBy("a"));
  BOOST_TEST(!EndsBy("b"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
