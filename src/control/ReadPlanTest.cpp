#include "control/ReadPlan.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

struct PlanCase {
  const char *What;
  void (*Differs)(ReadSituation &);
  const char *Duty;
};
std::ostream &operator<<(std::ostream &To, const PlanCase &Of) {
  return To << Of.What;
}

/// A node that has started just now and was given seeds.
const PlanCase Starts[] = {
    {"asks its seeds", [](ReadSituation &) {}, "none"},
    {"has no seeds", [](ReadSituation &Of) { Of.HasSeeds = false; }, "list"},
    {"others have turned to it",
     [](ReadSituation &Of) { Of.UsedAsSeed = true; }, "list"},
    {"its seeds did not answer",
     [](ReadSituation &Of) { Of.SinceStart = Of.PeerWaitTime; }, "list"},
    {"takes itself for a reader, for its list is empty",
     [](ReadSituation &Of) { Of.IsReader = Of.IsFirstReader = true; }, "none"},
};

/// A node in the midst of a large fleet, with lists and a version.
const PlanCase Runs[] = {
    {"is told by others", [](ReadSituation &) {}, "none"},
    {"the first reader",
     [](ReadSituation &Of) { Of.IsReader = Of.IsFirstReader = true; }, "watch"},
    {"the second reader", [](ReadSituation &Of) { Of.IsReader = true; },
     "spare"},
    {"the second reader, without a parent",
     [](ReadSituation &Of) { Of.IsReader = Of.LostParent = true; }, "watch"},
    {"has lost its parent", [](ReadSituation &Of) { Of.LostParent = true; },
     "watch"},
    {"has a parent again, which may be slow",
     [](ReadSituation &Of) { Of.ParentMayBeSlow = true; }, "spare"},
    {"the readers are gone in a way that nobody sees",
     [](ReadSituation &Of) { Of.ReadersFellBehind = true; }, "watch"},
    {"its data centre is empty so far, and its seed tells it",
     [](ReadSituation &Of) {
       Of.IsReader = Of.IsFirstReader = Of.HasSeedLink = true;
     },
     "none"},
    {"a reader that has just started and heard nobody",
     [](ReadSituation &Of) {
       Of.IsReader = Of.IsFirstReader = true;
       Of.HasNeighbourState = false;
       Of.SinceStart = Millis(0);
     },
     "none"},
    {"has no version after long",
     [](ReadSituation &Of) {
       Of.HasVersion = false;
       Of.SinceStart = 3 * Of.PeerWaitTime;
     },
     "once"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReadPlans)

// Callers are refused for as long as a node knows nothing, and a platform that
// is asked too much refuses the whole fleet.
BOOST_DATA_TEST_CASE(StartingNodesReadWhereNobodyElseDoes,
                     boost::unit_test::data::make(Starts), Row) {
  ReadSituation At;
  At.HasSeeds = true;
  At.PeerWaitTime = Millis(800);
  Row.Differs(At);
  BOOST_TEST(dutyName(planReading(At).Duty) == std::string(Row.Duty));
}

BOOST_DATA_TEST_CASE(RunningNodesReadWhatNobodyTells,
                     boost::unit_test::data::make(Runs), Row) {
  ReadSituation At;
  At.HasSeeds = At.HasList = At.HasNeighbourState = At.HasVersion = true;
  At.PeerWaitTime = Millis(800);
  At.SinceStart = Millis(10000);
  Row.Differs(At);
  BOOST_TEST(dutyName(planReading(At).Duty) == std::string(Row.Duty));
}

// Those who wait for a seed must not wait for its jitter as well.
BOOST_AUTO_TEST_CASE(SeedsReadAtOnce) {
  ReadSituation At;
  At.HasSeeds = At.UsedAsSeed = true;
  BOOST_TEST((planReading(At).Duty == ReadDuty::ListForOthers));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
