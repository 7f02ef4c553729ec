#include "control/FleetFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace hickorylift {

namespace {

namespace bdata = boost::unit_test::data;

/// Within which time a version must be in force at all nodes: while the store
/// refuses the requests of some nodes, and while it does not answer these.
constexpr Millis MaxVersionDelay{2500};
constexpr Millis MaxUnansweredDelay{7500};
/// When the readers are served again: their last request times out, the backoff
/// passes, and their last reports expire at nodes some heartbeats away.
constexpr Millis MaxStepDownTime =
    Millis(3100) + Millis(1000) + Millis(2000) + 3 * Millis(400);

struct TurnedAwayCase {
  const char *Name;
  uint64_t Seed;
  /// How many nodes of each data centre are turned away, the first in the order
  /// of readers.
  size_t Count;
  bool Answers;
  /// Whether one data centre is cut off from the others, and its nodes alone
  /// are turned away.
  bool Isolated;
  /// A share of the nodes of each of these data centres that is turned away as
  /// well, drawn at random.
  int Percent = 0;
  /// Whether the second reader loses power in that moment.
  bool LosesSpare = false;
};

std::ostream &operator<<(std::ostream &Out, const TurnedAwayCase &Case) {
  return Out << Case.Name << ", seed " << Case.Seed;
}

const TurnedAwayCase TurnedAwayCases[] = {
    {"both readers of each data centre are refused", 1, 2, true, false},
    {"both readers of each data centre are refused", 2, 2, true, false},
    {"the readers and the next two are refused", 3, 4, true, false},
    {"the first seven are refused", 4, 7, true, false},
    {"both readers of a data centre that is cut off are refused", 5, 2, true,
     true},
    {"the first seven of a data centre that is cut off are refused", 6, 7, true,
     true},
    {"both readers of each data centre are not answered", 7, 2, false, false},
    {"the readers and the next one are not answered", 8, 3, false, false},
    {"both readers of a data centre that is cut off are not answered", 9, 2,
     false, true},
    {"a third of all nodes is refused", 10, 0, true, false, 33},
    {"a third of a data centre that is cut off is refused", 11, 0, true, true,
     33},
    {"a third of a data centre that is cut off is refused", 12, 0, true, true,
     33},
    {"its readers and a third of the others are refused", 13, 2, true, true,
     33},
    {"its readers and a third of the others are refused", 14, 2, true, true,
     33},
    {"a third of a data centre that is cut off is not answered", 15, 0, false,
     true, 33},
    {"the first eight are refused", 18, 8, true, false},
    {"the first eight are refused", 19, 8, true, false},
    {"the first sixteen are refused", 20, 16, true, false},
    {"the first eight of a data centre that is cut off are refused", 21, 8,
     true, true},
    {"the first twelve of a data centre that is cut off are refused", 22, 12,
     true, true},
    {"the first eight of a data centre that is cut off are not answered", 23, 8,
     false, true},
    {"the first reader is refused, and the second loses power", 16, 1, true,
     false, 0, true},
    {"the same in a data centre that is cut off", 17, 1, true, true, 0, true},
};

struct TurnedAwayFixture {
  explicit TurnedAwayFixture(const TurnedAwayCase &Case)
      : Fleet({.PerDataCentre = 24}, Case.Seed) {
    this->Fleet.publish(1);
    this->Fleet.run(Millis(8000));
    std::vector<std::string> DataCentres = {"east"};
    if (Case.Isolated)
      this->Fleet.isolate("east");
    else
      DataCentres = {"east", "north", "south"};
    for (const std::string &DataCentre : DataCentres) {
      std::vector<std::string> First =
          this->Fleet.firstReaders(Case.Count, DataCentre);
      std::vector<std::string> Readers =
          this->Fleet.firstReaders(2, DataCentre);
      this->Fleet.turnAway(First, {Case.Answers});
      this->Fleet.turnAway(Case.Percent, DataCentre, {Case.Answers});
      for (const std::string &Name : Readers)
        if (Case.LosesSpare &&
            std::find(First.begin(), First.end(), Name) == First.end())
          this->Fleet.losePower(Name);
    }
  }

  FleetFixture Fleet;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FailingReaderTests)

// Guards against a fleet that keeps an old version because the platform turns
// away the nodes that read it, although it serves all others.
BOOST_DATA_TEST_CASE(OthersReadWhileReadersAreTurnedAway,
                     bdata::make(TurnedAwayCases), Case) {
  TurnedAwayFixture Test(Case);
  Millis Bound = Case.Answers ? MaxVersionDelay : MaxUnansweredDelay;
  Test.Fleet.run(Millis(500));
  for (uint64_t Version = 2; Version < 6; ++Version) {
    Test.Fleet.publish(Version);
    for (const char *DataCentre : {"east", "north", "south"}) {
      Millis Delay =
          Test.Fleet.timeUntilInForce(Version, DataCentre, 2 * Bound);
      BOOST_TEST(Delay.count() <= Bound.count());
    }
    Test.Fleet.run(Millis(300));
  }
}

// Guards against nodes that go on reading after the readers are served again:
// all nodes share the platform's request rate.
BOOST_DATA_TEST_CASE(OthersStopOnceReadersAreServedAgain,
                     bdata::make(TurnedAwayCases), Case) {
  TurnedAwayFixture Test(Case);
  Test.Fleet.run(Millis(9000));
  Test.Fleet.admitAll();
  Test.Fleet.run(MaxStepDownTime);
  for (const char *DataCentre : {"east", "north", "south"})
    BOOST_TEST(Test.Fleet.countReading(DataCentre) == 2u);
}

// Guards against an outage in which a large fleet calls the platform more than
// a small one.
BOOST_DATA_TEST_CASE(OutagesDrawNoMoreCallsOfLargeFleets,
                     bdata::make({true, false}), Answers) {
  constexpr size_t FleetSizes[] = {24, 72};
  constexpr Millis OutageLength{12000};
  // The first watch that is answered after the outage waits for changes.
  constexpr Millis WatchWait{2500};
  std::vector<uint64_t> Calls;
  for (size_t Size : FleetSizes) {
    FleetFixture Fleet({.PerDataCentre = Size}, /*Seed=*/1);
    Fleet.publish(1);
    Fleet.run(Millis(8000));
    for (const char *DataCentre : {"east", "north", "south"})
      Fleet.turnAway(/*Percent=*/100, DataCentre, {Answers});
    uint64_t Before = Fleet.storeCalls();
    Fleet.run(OutageLength);
    Calls.push_back(Fleet.storeCalls() - Before);
    Fleet.admitAll();
    Fleet.run(MaxStepDownTime + WatchWait);
    for (const char *DataCentre : {"east", "north", "south"})
      BOOST_TEST(Fleet.countReading(DataCentre) == 2u);
  }
  BOOST_TEST(4 * Calls[1] <= 5 * Calls[0]);
}

// Guards against reports that nodes send each other in a circle and that never
// expire: others would read in place of a reader that has long been served.
BOOST_AUTO_TEST_CASE(ReportsPassedInACircleExpire) {
  constexpr Millis HeartbeatInterval{400};
  constexpr Millis Latency{50};
  TimePoint Now = TimePoint(std::chrono::hours(1));
  FailingReaders Nodes[] = {FailingReaders({Millis(2000)}),
                            FailingReaders({Millis(2000)})};
  Nodes[0].record("portal-2", Now, Now);
  for (int I = 0; I < 20; ++I) {
    auto Sent = Nodes[I % 2].toWire(Now);
    Now += Latency;
    for (const auto &Report : Sent)
      Nodes[(I + 1) % 2].record(Report->name, Now - Millis(Report->age_ms),
                                Now);
    Now += HeartbeatInterval;
    for (FailingReaders &Node : Nodes)
      Node.expire(Now);
  }
  BOOST_TEST(Nodes[0].empty());
  BOOST_TEST(Nodes[1].empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
