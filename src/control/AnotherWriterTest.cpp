#include "control/FleetFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// Entries of another writer among those of the upstreams, read by a fleet of
// nodes with simulated time and network.

namespace hickorylift {

namespace {

constexpr Millis StartTime{8000};
// A change reaches all nodes within this.
constexpr Millis SpreadTime{1500};
const std::string Victim = "east-1";

FleetFixture::Options smallFleet() {
  FleetFixture::Options Opts;
  Opts.DataCentres = {"east", "north"};
  Opts.PerDataCentre = 4;
  return Opts;
}

/// What another writer lists at the address of an upstream.
struct OddEntry {
  const char *Name;
  const char *Value;
  int Writes = 1;
  /// Entries under different names.
  int Entries = 1;
};
std::ostream &operator<<(std::ostream &Out, const OddEntry &Row) {
  return Out << Row.Name;
}

const OddEntry OddEntries[] = {
    {"a service that the configuration does not name", "of metrics"},
    {"the same, written often", "of metrics", /*Writes=*/10},
    {"the same, many", "of metrics", /*Writes=*/1, /*Entries=*/100},
    {"the same, leaving", "of metrics leaving"},
    {"the same, cold for ever", "of metrics cold 100000000000"},
    {"the same, born late", "of metrics born 18446744073709551615"},
    {"the same, in another data centre", "of metrics in north"},
    {"the same, in a data centre that is unknown", "of metrics in nowhere"},
    {"the upstream's service, leaving", "of portal leaving"},
    {"the upstream's service, in a data centre that is unknown",
     "of portal in nowhere"},
    {"the upstream's service, born too late to be listed",
     "of portal born 18446744073709551615"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntriesOfAnotherWriter)

// Guards against an upstream that no node calls any more because another writer
// has listed something at its address.
BOOST_DATA_TEST_CASE(UpstreamStaysCallable,
                     boost::unit_test::data::make(OddEntries), Row) {
  FleetFixture Fleet(smallFleet(), /*Seed=*/1);
  Fleet.publish(1);
  Fleet.run(StartTime);
  for (int Write = 0; Write < Row.Writes; ++Write)
    for (int Entry = 0; Entry < Row.Entries; ++Entry)
      Fleet.writeEntry("agent" + std::to_string(Entry),
                       "at " + Victim + " " + Row.Value);
  Fleet.run(SpreadTime);
  BOOST_TEST(Fleet.nodesNotCalling(Victim, Victim, "portal").empty());
}

// The same for entries that were there before the upstream's own, which all
// nodes read at their start.
BOOST_DATA_TEST_CASE(UpstreamIsFoundAtStart,
                     boost::unit_test::data::make(OddEntries), Row) {
  FleetFixture Fleet(smallFleet(), /*Seed=*/2);
  Fleet.publish(1);
  Fleet.removeEntry(Victim);
  for (int Entry = 0; Entry < Row.Entries; ++Entry)
    Fleet.writeEntry("agent" + std::to_string(Entry),
                     "at " + Victim + " " + Row.Value);
  Fleet.run(StartTime);
  BOOST_TEST(Fleet.nodesNotCalling(Victim, Victim, "portal").empty());
}

// Guards against readers that forget which entry gave way, so that an upstream
// stays hidden after the readers have changed.
BOOST_AUTO_TEST_CASE(UpstreamStaysCallableAfterReadersChange) {
  FleetFixture Fleet(smallFleet(), /*Seed=*/3);
  Fleet.publish(1);
  Fleet.run(StartTime);
  Fleet.writeEntry("agent", "at " + Victim + " of metrics");
  Fleet.run(SpreadTime);
  for (const std::string &DataCentre : smallFleet().DataCentres)
    Fleet.turnAway(Fleet.firstReaders(2, DataCentre), {.Answers = true});
  Fleet.run(StartTime);
  Fleet.writeEntry("agent2", "at north-1 of metrics");
  Fleet.run(SpreadTime);
  BOOST_TEST(Fleet.nodesNotCalling(Victim, Victim, "portal").empty());
  BOOST_TEST(Fleet.nodesNotCalling("north-1", "north-1", "portal").empty());
}

// Guards against an answer that waits for a heartbeat: a version that names a
// service makes its upstreams callable, and one that names it no more gives
// the address back, in every node.
BOOST_AUTO_TEST_CASE(VersionsDecideAtOnce) {
  FleetFixture Fleet(smallFleet(), /*Seed=*/4);
  Fleet.publish(1);
  Fleet.run(StartTime);
  Fleet.writeEntry("new", "at " + Victim + " of orders");
  Fleet.run(SpreadTime);
  BOOST_TEST(Fleet.nodesNotCalling(Victim, Victim, "portal").empty());
  Fleet.publish(2, "orders");
  Fleet.run(SpreadTime);
  BOOST_TEST(Fleet.nodesNotCalling("new", Victim, "orders").empty());
  Fleet.publish(3, "portal");
  Fleet.run(SpreadTime);
  BOOST_TEST(Fleet.nodesNotCalling(Victim, Victim, "portal").empty());
}

// Guards against an address that is assigned again and keeps its last owner,
// whichever entry goes first.
BOOST_DATA_TEST_CASE(ReusedAddressesBelongToTheNewOwner,
                     boost::unit_test::data::make({true, false}),
                     NewOwnerGoesFirst) {
  FleetFixture Fleet(smallFleet(), /*Seed=*/5);
  Fleet.publish(1, "portal orders");
  Fleet.run(StartTime);
  Fleet.writeEntry("new", "at " + Victim + " of orders");
  Fleet.run(SpreadTime);
  BOOST_TEST(Fleet.nodesNotCalling("new", Victim, "orders").empty());
  BOOST_TEST(!Fleet.nodesNotCalling(Victim, Victim, "portal").empty());
  Fleet.removeEntry(NewOwnerGoesFirst ? "new" : Victim);
  Fleet.run(Millis(500));
  if (NewOwnerGoesFirst)
    BOOST_TEST(Fleet.nodesNotCalling(Victim, Victim, "portal").empty());
  else
    BOOST_TEST(Fleet.nodesNotCalling("new", Victim, "orders").empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
