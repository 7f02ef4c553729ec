#include "membership/Membership.h"

#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

DocumentPtr listOf(const std::string &DataCentre, int Count) {
  EntryMap Entries;
  for (int I = 0; I < Count; ++I) {
    Instance One{DataCentre + "-" + std::to_string(I),
                 DataCentre,
                 "a",
                 "127.0.0.1:7000",
                 "127.0.0.1:9000",
                 false};
    Entries[One.Name] = makeEntry(One.Name, writeInstance(One));
  }
  return Document::make(1, 1, Entries);
}

Membership makeMember(const std::string &Self, const std::string &DataCentre) {
  Membership::Options Opts;
  Opts.Self = Self;
  Opts.DataCentre = DataCentre;
  return Membership(Opts);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Members)

BOOST_AUTO_TEST_CASE(TreeReachesAllFromOneRoot) {
  const int Count = 200;
  DocumentPtr List = listOf("north", Count);
  int Roots = 0, Readers = 0;
  std::map<std::string, int> Children;
  for (int I = 0; I < Count; ++I) {
    Membership One = makeMember("north-" + std::to_string(I), "north");
    One.update("north", *List);
    Readers += One.isReader();
    const Instance *Up = One.parent();
    Roots += Up == nullptr;
    if (Up)
      ++Children[Up->Name];
    // Up from anyone, the root is a few steps away.
    int Steps = 0;
    for (std::string At = "north-" + std::to_string(I); Steps < 10; ++Steps) {
      Membership There = makeMember(At, "north");
      There.update("north", *List);
      if (!There.parent())
        break;
      At = There.parent()->Name;
    }
    BOOST_TEST(Steps <= 4); // log to base 4 of 200
  }
  BOOST_TEST(Roots == 1);
  BOOST_TEST(Readers == 2);
  for (const auto &[Name, Many] : Children)
    BOOST_TEST(Many <= 4);
}

BOOST_AUTO_TEST_CASE(ANodeNotYetListedHasAParent) {
  Membership One = makeMember("new", "north");
  BOOST_TEST(One.isReader());
  One.update("north", *listOf("north", 50));
  BOOST_TEST(!One.neighbours().empty());
}

BOOST_AUTO_TEST_CASE(BridgesJoinTheDataCentres) {
  int Bridges = 0;
  for (int I = 0; I < 20; ++I) {
    Membership One = makeMember("east-" + std::to_string(I), "east");
    One.update("east", *listOf("east", 20));
    One.update("west", *listOf("west", 20));
    One.update("south", *listOf("south", 20));
    for (const Neighbour &Next : One.neighbours())
      Bridges += Next.Kind == LinkKind::Bridge;
  }
  BOOST_TEST(Bridges == 4); // two nodes, two data centres after "east"
}

BOOST_AUTO_TEST_CASE(ListsAreReadWholeOrNotAtAll) {
  const char *Good = "{\"instances\":[{\"name\":\"a-1\",\"data_centre\":\"n\","
                     "\"service\":\"a\",\"node\":\"127.0.0.1:1\","
                     "\"operator\":\"127.0.0.1:2\",\"state\":\"live\","
                     "\"more\":1}]}";
  BOOST_TEST(static_cast<bool>(readInstanceList(Good, "n", 4)));
  BOOST_TEST(!readInstanceList(Good, "other", 4));
  BOOST_TEST(!readInstanceList("{}", "n", 4));
  BOOST_TEST(!readInstanceList("[", "n", 4));
  std::string NoState = Good;
  NoState.replace(NoState.find("live"), 4, "dead");
  BOOST_TEST(!readInstanceList(NoState, "n", 4));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
