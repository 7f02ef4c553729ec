#include "lineage/NestedCallEstimator.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

/// Runs of which every Period-th makes Calls calls.
struct RunsRow {
  int Runs;
  int Period;
  double Calls;
  double Mean;
  double Tolerance;
};
std::ostream &operator<<(std::ostream &To, const RunsRow &Row) {
  return To << Row.Runs << " runs, " << Row.Calls << " calls in one of "
            << Row.Period;
}

const RunsRow RunsRows[] = {
    {1, 1, 2, 2, 0},        {4, 2, 1, 0.5, 0.01},    {20, 4, 2, 0.5, 0.01},
    {1000, 2, 1, 0.5, 0.1}, {1000, 10, 1, 0.1, 0.1},
};

} // namespace

BOOST_AUTO_TEST_SUITE(NestedCallEstimation)

// Guards against a first estimate that takes many runs, because an entry of a
// large fleet sees few of each route.
BOOST_DATA_TEST_CASE(MeanIsRightFromTheFirstRunsOn, data::make(RunsRows), Row) {
  NestedCallEstimator Estimates{NestedCallEstimator::Options()};
  BOOST_TEST(Estimates.callsPerRun("r").empty());
  for (int Run = 1; Run <= Row.Runs; ++Run)
    Estimates.recordRun("r", Run % Row.Period == 0
                                 ? ServiceCalls{{"a", Row.Calls}}
                                 : ServiceCalls());
  double Mean = Estimates.callsPerRun("r").at("a");
  BOOST_TEST(std::abs(Mean - Row.Mean) <= Row.Tolerance);
  BOOST_TEST(Estimates.callsPerRun("other").empty());
}

// Guards against state that grows with the routes and services of a fleet.
BOOST_AUTO_TEST_CASE(RoutesAndServicesAreLimited) {
  NestedCallEstimator Estimates({.MaxRoutes = 1, .MaxServices = 2});
  Estimates.recordRun("r", {{"a", 1}, {"b", 1}, {"c", 1}});
  Estimates.recordRun("s", {{"a", 1}});
  BOOST_TEST(Estimates.callsPerRun("r").size() == 2u);
  BOOST_TEST(Estimates.callsPerRun("s").empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
