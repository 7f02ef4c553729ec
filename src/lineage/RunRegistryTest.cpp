#include "lineage/RunRegistry.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

constexpr CallId First{7, 1}, Second{7, 2}, Third{7, 3};

/// The id of a request that arrives while "run" and "run.4" are running.
struct IdRow {
  const char *Name;
  const char *Separator;
  const char *RequestId;
  bool IsNested;
};
std::ostream &operator<<(std::ostream &To, const IdRow &Row) {
  return To << Row.Name;
}

const IdRow IdRows[] = {
    {"call of a run", ".", "run.1", true},
    {"own part is long", ".", "run.lookup-17", true},
    {"call of a run that is itself nested", ".", "run.4.1", true},
    {"run has ended or never was", ".", "other.1", false},
    {"only an earlier part is a run", ".", "run.1.1", false},
    {"the id of the run itself", ".", "run", false},
    {"no part of its own", ".", "run.", false},
    {"no id of a run", ".", ".1", false},
    {"no separator", ".", "run-1", false},
    {"id of the run is a prefix only", ".", "running.1", false},
    {"other case", ".", "RUN.1", false},
    {"empty id", ".", "", false},
    {"separator of two characters", "::", "run::1", true},
    {"half of the separator", "::", "run:1", false},
    {"feature is off", "", "run.1", false},
};

using Run = RunRegistry::Run;

} // namespace

BOOST_AUTO_TEST_SUITE(RunsOfTheUpstream)

// Guards against calls that get the priority of a run although no run makes
// them.
BOOST_DATA_TEST_CASE(OnlyCallsOfRunningRequestsAreNested, data::make(IdRows),
                     Row) {
  RunRegistry Registry({.IdSeparator = Row.Separator});
  Registry.runStarted(First, "run", {2, false});
  Registry.runStarted(Second, "run.4", {1, true});
  BOOST_TEST(Registry.findParent(Row.RequestId).has_value() == Row.IsNested);
}

BOOST_AUTO_TEST_CASE(EndedRunIsForgotten) {
  RunRegistry Registry({.IdSeparator = "."});
  Registry.runStarted(First, "run", {2, true});
  BOOST_REQUIRE(Registry.findParent("run.1"));
  BOOST_TEST(Registry.findParent("run.1")->Priority == 2u);
  BOOST_TEST(Registry.findParent("run.1")->Repeat);
  Registry.runEnded(First);
  Registry.runEnded(First);
  BOOST_TEST(!Registry.findParent("run.1"));
  BOOST_TEST(Registry.runCount() == 0u);
}

// Guards against a run whose record is removed by the end of another run that
// has the same id, and against a record that is left over when the same call
// starts again.
BOOST_AUTO_TEST_CASE(RunsOfOneIdAreRecordedOneByOne) {
  RunRegistry Registry({.IdSeparator = "."});
  Registry.runStarted(First, "run", {3, true});
  Registry.runStarted(Second, "run", {1, false});
  Registry.runStarted(Third, "run", {2, false});
  BOOST_TEST(Registry.findParent("run.1")->Priority == 1u);
  BOOST_TEST(Registry.findParent("run.1")->Repeat);
  Registry.runEnded(First);
  BOOST_TEST(!Registry.findParent("run.1")->Repeat);
  Registry.runStarted(Second, "again", {1, false});
  BOOST_TEST(Registry.findParent("run.1")->Priority == 2u);
  BOOST_TEST(Registry.runCount() == 2u);
}

// Guards against state that grows with what callers send.
BOOST_AUTO_TEST_CASE(RunsAndIdsAreLimited) {
  RunRegistry Registry({.IdSeparator = ".", .MaxRuns = 2, .MaxIdBytes = 4});
  Registry.runStarted(First, "12345", {});
  Registry.runStarted(First, "", {});
  BOOST_TEST(Registry.runCount() == 0u);
  Registry.runStarted(First, "1", {});
  Registry.runStarted(Second, "2", {});
  Registry.runStarted(Third, "3", {});
  BOOST_TEST(!Registry.findParent("3.1"));
  Registry.runStarted(Second, "4", {});
  BOOST_TEST(Registry.findParent("4.1").has_value());
}

// Guards against calls that are counted for the wrong run or twice.
BOOST_AUTO_TEST_CASE(NestedCallsAreCountedByRun) {
  RunRegistry Registry({.IdSeparator = "."});
  Registry.runStarted(First, "run", {});
  Registry.runStarted(Second, "other", {});
  Registry.recordNestedCall("run.1", {{"a", 1}});
  Registry.recordNestedCall("run.2", {{"a", 1}, {"b", 0.5}});
  Registry.recordNestedCall("gone.1", {{"a", 1}});
  BOOST_TEST(
      (Registry.nestedCalls(First) == ServiceCalls{{"a", 2}, {"b", 0.5}}));
  BOOST_TEST(Registry.nestedCalls(Second).empty());
  Registry.runEnded(First);
  BOOST_TEST(Registry.nestedCalls(First).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
