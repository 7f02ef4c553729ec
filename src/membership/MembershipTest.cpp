#include "membership/Membership.h"
#include "membership/Claims.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
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

/// Two claims on the address "x" and the upstream that is used.
struct ContestRow {
  const char *Name;
  Instance First;
  Instance Second;
  std::set<std::string> Services;
  std::vector<std::string> Refuted;
  const char *Confirmed;
  const char *ExpectedUpstream;
};
std::ostream &operator<<(std::ostream &Out, const ContestRow &Row) {
  return Out << Row.Name;
}

Instance claimOnX(const char *Upstream, const char *Service,
                  bool Leaving = false, const char *DataCentre = "north") {
  Instance Claimed{
      "x", DataCentre, Service, "127.0.0.1:7000", "127.0.0.1:9000", Leaving};
  Claimed.Upstream = Upstream;
  return Claimed;
}

const ContestRow ContestRows[] = {
    {"the first of equals",
     claimOnX("new", "a"),
     claimOnX("old", "a"),
     {"a"},
     {},
     "",
     "new"},
    {"a named service",
     claimOnX("agent", "b"),
     claimOnX("up", "a"),
     {"a"},
     {},
     "",
     "up"},
    {"both services are named",
     claimOnX("new", "b"),
     claimOnX("old", "a"),
     {"a", "b"},
     {},
     "",
     "new"},
    {"one that the upstream disowns",
     claimOnX("agent", "a"),
     claimOnX("up", "a"),
     {"a"},
     {"agent"},
     "",
     "up"},
    {"a service that its node disowns",
     claimOnX("agent", "b"),
     claimOnX("up", "a"),
     {"a", "b"},
     {"agent"},
     "",
     "up"},
    {"all are disowned: only the last counts",
     claimOnX("agent", "a"),
     claimOnX("up", "a"),
     {"a"},
     {"agent", "up"},
     "",
     "agent"},
    {"the one that has just answered",
     claimOnX("agent", "a"),
     claimOnX("up", "a"),
     {"a"},
     {},
     "up",
     "up"},
    {"one that is not named has answered before",
     claimOnX("new", "a"),
     claimOnX("old", "b"),
     {"a"},
     {},
     "old",
     "new"},
    {"one that does not leave",
     claimOnX("agent", "a", /*Leaving=*/true),
     claimOnX("up", "a"),
     {"a"},
     {},
     "",
     "up"},
    {"an upstream that has just answered may leave",
     claimOnX("agent", "a"),
     claimOnX("up", "a", /*Leaving=*/true),
     {"a"},
     {},
     "up",
     "up"},
    {"in another data centre",
     claimOnX("agent", "b", false, "south"),
     claimOnX("up", "a"),
     {"a"},
     {},
     "",
     "up"},
};

// Guards against an entry of another writer that is taken for the upstream at
// its address.
BOOST_DATA_TEST_CASE(ContestedAddressesAreDecided,
                     boost::unit_test::data::make(ContestRows), Row) {
  Membership Fleet = makeMembership("self", "north");
  std::string Confirmed = Row.Confirmed;
  Fleet.setConfirmation(
      [&](const Instance &Of) { return Of.Upstream == Confirmed; });
  Fleet.setServices(Row.Services);
  std::string Text = writeClaims({{Row.First, 2}, {Row.Second, 1}});
  EntryMap Entries{{"x", makeEntry("x", Text)}};
  for (const char *DataCentre : {"north", "south"})
    Fleet.update(DataCentre, *Document::make(1, 1, Entries));
  for (const std::string &Upstream : Row.Refuted)
    Fleet.refute("x", UpstreamStart(Upstream, 0));
  const Instance *Used = Fleet.find("x");
  BOOST_REQUIRE(Used);
  BOOST_TEST(Used->Upstream == Row.ExpectedUpstream);
  BOOST_TEST(Fleet.size() == 1u);
  BOOST_TEST(Fleet.size("north") + Fleet.size("south") == 1u);
  BOOST_TEST(Fleet.contests().size() == 1u);
}

// Guards against a tree whose inner nodes and readers are entries of another
// writer, with no node at their addresses.
BOOST_AUTO_TEST_CASE(EntriesOfUnnamedServicesAreNobodysParents) {
  EntryMap Entries = makeList("north", 10)->entries();
  for (int I = 0; I < 1000; ++I) {
    Instance Odd{"odd-" + std::to_string(I), "north",          "metrics",
                 "127.0.0.2:7000",           "127.0.0.2:9000", false};
    Entries[Odd.Name] = makeEntry(Odd.Name, writeInstance(Odd));
  }
  size_t Readers = 0;
  for (int I = 0; I < 10; ++I) {
    Membership::Options Opts;
    Opts.Self = "north-" + std::to_string(I);
    Opts.DataCentre = "north";
    Opts.Service = "a";
    Opts.AllReadUpTo = 5;
    Membership Fleet(Opts);
    Fleet.update("north", *Document::make(1, 1, Entries));
    Fleet.setServices({"a"});
    Readers += Fleet.isReader();
    for (const Neighbour &Linked : Fleet.neighbours())
      BOOST_TEST(Linked.Peer->Service == "a");
  }
  BOOST_TEST(Readers == 2u);
  Membership::Options Opts;
  Opts.DataCentre = "north";
  Opts.AllReadUpTo = 10;
  Membership Fleet(Opts);
  Fleet.update("north", *Document::make(1, 1, Entries));
  BOOST_TEST(!Fleet.everyNodeReads());
  Fleet.setServices({"a"});
  BOOST_TEST(Fleet.everyNodeReads());
  Fleet.setServices({"none"});
  BOOST_TEST(!Fleet.everyNodeReads());
}

// Guards against offering a call again and again to a machine whose upstream
// disowns every claim that is listed.
BOOST_AUTO_TEST_CASE(RefutationsEndWithTheLastClaim) {
  Membership Fleet = makeMembership("self", "north");
  std::string Text =
      writeClaims({{claimOnX("new", "a"), 2}, {claimOnX("old", "a"), 1}});
  Fleet.update("north", *Document::make(1, 1, {{"x", makeEntry("x", Text)}}));
  BOOST_TEST(!Fleet.refute("x", UpstreamStart("gone", 0)));
  BOOST_TEST(Fleet.refute("x", UpstreamStart("new", 0)));
  BOOST_TEST(Fleet.refute("x", UpstreamStart("new", 0)));
  BOOST_TEST(Fleet.find("x")->Upstream == "old");
  BOOST_TEST(!Fleet.refute("x", UpstreamStart("old", 0)));
}

// Guards against a node that takes what another writer lists at its address for
// its own upstream, and closes its gate or believes it cold.
BOOST_AUTO_TEST_CASE(NodesKnowTheirOwnService) {
  Membership::Options Opts;
  Opts.Self = "x";
  Opts.DataCentre = "north";
  Opts.Service = "a";
  Membership Fleet(Opts);
  Fleet.setServices({"a", "b"});
  auto List = [](const std::vector<Claim> &Claims) {
    EntryMap Entries{{"x", makeEntry("x", writeClaims(Claims))}};
    return Document::make(1, 1, Entries);
  };
  Fleet.update("north", *List({{claimOnX("agent", "b", true), 2}}));
  BOOST_TEST(Fleet.find("x") != nullptr);
  BOOST_TEST(Fleet.ownUpstream() == nullptr);
  Fleet.update("north", *List({{claimOnX("agent", "b", true), 2},
                               {claimOnX("up", "a"), 1}}));
  BOOST_REQUIRE(Fleet.ownUpstream());
  BOOST_TEST(Fleet.ownUpstream()->Upstream == "up");
}

// Guards against parsing an entry that can't be read at each change of a list,
// and changing the fleet each time.
BOOST_AUTO_TEST_CASE(UnreadableEntriesChangeNothingTwice) {
  Membership Fleet = makeMembership("self", "north");
  EntryMap Entries = makeList("north", 2)->entries();
  Entries["z"] = makeEntry("z", "{}");
  Fleet.update("north", *Document::make(1, 1, Entries));
  uint64_t Before = Fleet.generation();
  Fleet.update("north", *Document::make(2, 2, Entries));
  BOOST_TEST(Fleet.generation() == Before);
  BOOST_TEST(Fleet.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
