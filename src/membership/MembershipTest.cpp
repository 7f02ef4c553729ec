#include "membership/Membership.h"

#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

DocumentPtr makeList(const std::string &DataCentre, int Count) {
  EntryMap Entries;
  for (int I = 0; I < Count; ++I) {
    Instance Member{DataCentre + "-" + std::to_string(I),
                    DataCentre,
                    "a",
                    "127.0.0.1:7000",
                    "127.0.0.1:9000",
                    false};
    Entries[Member.Name] = makeEntry(Member.Name, writeInstance(Member));
  }
  return Document::make(1, 1, Entries);
}

Membership makeMembership(const std::string &Self,
                          const std::string &DataCentre) {
  Membership::Options Opts;
  Opts.Self = Self;
  Opts.DataCentre = DataCentre;
  return Membership(Opts);
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipViews)

// Every node computes its parent alone, and the results must form one tree: one
// root, at most Fanout children for each node, and logarithmic depth.
BOOST_AUTO_TEST_CASE(NodesComputeOneTreeWithOneRoot) {
  const int Count = 200;
  DocumentPtr List = makeList("north", Count);
  int Roots = 0, Readers = 0;
  std::map<std::string, int> Children;
  for (int I = 0; I < Count; ++I) {
    Membership Fleet = makeMembership("north-" + std::to_string(I), "north");
    Fleet.update("north", *List);
    Readers += Fleet.isReader();
    const Instance *Parent = Fleet.parent();
    Roots += Parent == nullptr;
    if (Parent)
      ++Children[Parent->Name];
    // The root is a few steps above every node.
    int Steps = 0;
    for (std::string Node = "north-" + std::to_string(I); Steps < 10; ++Steps) {
      Membership Ancestor = makeMembership(Node, "north");
      Ancestor.update("north", *List);
      if (!Ancestor.parent())
        break;
      Node = Ancestor.parent()->Name;
    }
    BOOST_TEST(Steps <= 4); // log to base 4 of 200
  }
  BOOST_TEST(Roots == 1);
  BOOST_TEST(Readers == 2);
  for (const auto &[Name, ChildCount] : Children)
    BOOST_TEST(ChildCount <= 4);
}

// A node that has just started is not on the list yet and must still connect.
BOOST_AUTO_TEST_CASE(UnlistedNodeHasNeighbours) {
  Membership Fleet = makeMembership("new", "north");
  BOOST_TEST(Fleet.isReader());
  Fleet.update("north", *makeList("north", 50));
  BOOST_TEST(!Fleet.neighbours().empty());
}

// Without these links a document known in one data centre only would not reach
// the others.
BOOST_AUTO_TEST_CASE(BridgesConnectTheDataCentres) {
  int Bridges = 0;
  for (int I = 0; I < 20; ++I) {
    Membership Fleet = makeMembership("east-" + std::to_string(I), "east");
    Fleet.update("east", *makeList("east", 20));
    Fleet.update("west", *makeList("west", 20));
    Fleet.update("south", *makeList("south", 20));
    for (const Neighbour &Linked : Fleet.neighbours())
      Bridges += Linked.Kind == LinkKind::Bridge;
  }
  BOOST_TEST(Bridges == 4); // two nodes, two data centres after "east"
}

// A list with any fault is rejected whole. Unknown fields such as "more" are no
// fault.
BOOST_AUTO_TEST_CASE(FaultyListIsRejectedWhole) {
  const char *Valid = "{\"instances\":[{\"name\":\"a-1\",\"data_centre\":\"n\","
                      "\"service\":\"a\",\"node\":\"127.0.0.1:1\","
                      "\"operator\":\"127.0.0.1:2\",\"state\":\"live\","
                      "\"more\":1}]}";
  BOOST_TEST(static_cast<bool>(readInstanceList(Valid, "n", 4)));
  BOOST_TEST(!readInstanceList(Valid, "other", 4));
  BOOST_TEST(!readInstanceList("{}", "n", 4));
  BOOST_TEST(!readInstanceList("[", "n", 4));
  std::string InvalidState = Valid;
  InvalidState.replace(InvalidState.find("live"), 4, "dead");
  BOOST_TEST(!readInstanceList(InvalidState, "n", 4));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
