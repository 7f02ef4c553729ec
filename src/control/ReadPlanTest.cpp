#include "control/ReadPlan.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

struct PlanCase {
  const char *Name;
  /// Changes the default situation into that of the case.
  void (*Apply)(ReadSituation &);
  const char *ExpectedDuty;
};
std::ostream &operator<<(std::ostream &Stream, const PlanCase &Case) {
  return Stream << Case.Name;
}

/// Variations of a node that has just started and has seeds.
const PlanCase StartCases[] = {
    {"is waiting for its seeds", [](ReadSituation &) {}, "none"},
    {"has no seeds",
     [](ReadSituation &Situation) { Situation.HasSeeds = false; }, "list"},
    {"is used as a seed by other nodes",
     [](ReadSituation &Situation) { Situation.UsedAsSeed = true; }, "list"},
    {"its seeds did not answer",
     [](ReadSituation &Situation) {
       Situation.SinceStart = Situation.PeerWaitTime;
     },
     "list"},
    {"counts itself as a reader because its list is empty",
     [](ReadSituation &Situation) {
       Situation.IsReader = Situation.IsFirstReader = true;
     },
     "none"},
};

/// Variations of a node in a large fleet that has lists and a version.
const PlanCase RunningCases[] = {
    {"is updated by its neighbours", [](ReadSituation &) {}, "none"},
    {"the first reader",
     [](ReadSituation &Situation) {
       Situation.IsReader = Situation.IsFirstReader = true;
     },
     "watch"},
    {"the second reader",
     [](ReadSituation &Situation) { Situation.IsReader = true; }, "spare"},
    {"the second reader, without a parent",
     [](ReadSituation &Situation) {
       Situation.IsReader = Situation.LostParent = true;
     },
     "watch"},
    {"has lost its parent",
     [](ReadSituation &Situation) { Situation.LostParent = true; }, "watch"},
    {"has a parent again, which may be slow",
     [](ReadSituation &Situation) { Situation.ParentMayBeSlow = true; },
     "spare"},
    {"the readers failed without any node detecting it",
     [](ReadSituation &Situation) { Situation.ReadersFellBehind = true; },
     "watch"},
    {"readers are known to fail, and it is the next in order",
     [](ReadSituation &Situation) { Situation.ReplacesReader = true; },
     "replacement"},
    {"the first reader, which is known to fail",
     [](ReadSituation &Situation) {
       Situation.IsReader = Situation.IsFirstReader = Situation.ReplacesReader =
           true;
     },
     "watch"},
    {"its data centre has no instances yet, and its seed updates it",
     [](ReadSituation &Situation) {
       Situation.IsReader = Situation.IsFirstReader = Situation.HasSeedLink =
           true;
     },
     "none"},
    {"a reader that has just started and has no neighbour's state yet",
     [](ReadSituation &Situation) {
       Situation.IsReader = Situation.IsFirstReader = true;
       Situation.HasNeighbourState = false;
       Situation.SinceStart = Millis(0);
     },
     "none"},
    {"still has no version after a long time",
     [](ReadSituation &Situation) {
       Situation.HasVersion = false;
       Situation.SinceStart = 3 * Situation.PeerWaitTime;
     },
     "once"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReadPlanTests)

// Guards against a starting node that never reads, which refuses its callers
// until it has a configuration, and against a fleet that reads so much at start
// that the platform refuses all of it.
BOOST_DATA_TEST_CASE(StartingNodeReadsOnlyIfNoPeerCanAnswer,
                     boost::unit_test::data::make(StartCases), Case) {
  ReadSituation Situation;
  Situation.HasSeeds = true;
  Situation.PeerWaitTime = Millis(800);
  Case.Apply(Situation);
  BOOST_TEST(dutyName(planReading(Situation).Duty) ==
             std::string(Case.ExpectedDuty));
}

// Guards against running nodes that read what their neighbours send them
// anyway, and against nodes that no neighbour updates and that do not read.
BOOST_DATA_TEST_CASE(RunningNodeReadsOnlyWhatNeighboursDoNotSend,
                     boost::unit_test::data::make(RunningCases), Case) {
  ReadSituation Situation;
  Situation.HasSeeds = Situation.HasList = Situation.HasNeighbourState =
      Situation.HasVersion = true;
  Situation.PeerWaitTime = Millis(800);
  Situation.SinceStart = Millis(10000);
  Case.Apply(Situation);
  BOOST_TEST(dutyName(planReading(Situation).Duty) ==
             std::string(Case.ExpectedDuty));
}

// Guards against a seed that delays its read by the start jitter: the nodes
// that wait for the seed would wait for its jitter as well.
BOOST_AUTO_TEST_CASE(SeedReadsWithoutJitter) {
  ReadSituation Situation;
  Situation.HasSeeds = Situation.UsedAsSeed = true;
  BOOST_TEST((planReading(Situation).Duty == ReadDuty::ListForOthers));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
