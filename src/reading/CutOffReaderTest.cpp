#include "reading/RestoreFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

using StoreAction = void (*)(RestorableStore &);

/// What happens in the store before and while a data centre is cut off from it
/// and from node 0, and what node 0 must go on to know when it returns.
struct ReturnCase {
  const char *Name;
  StoreAction Before;
  StoreAction During;
  bool (*IsCurrent)(const ReadingNode &);
  ReadDuty Duty;
};
std::ostream &operator<<(std::ostream &Out, const ReturnCase &Row) {
  return Out << Row.Name;
}

void doNothing(RestorableStore &) {}

void removeY(RestorableStore &Store) {
  Store.put("i/z", "live");
  Store.remove("i/y");
}

bool knowsThatYLeft(const ReadingNode &Node) {
  return Node.stateOf("y") == "none" && Node.stateOf("z") == "live";
}

const ReturnCase ReturnCases[] = {
    {"an upstream left", doNothing, removeY, knowsThatYLeft, ReadDuty::Watch},
    {"an upstream left, and the node that returns is a spare", doNothing,
     removeY, knowsThatYLeft, ReadDuty::Spare},
    {"an upstream left after a restore", doNothing,
     [](RestorableStore &Store) {
       Store.restore();
       removeY(Store);
     },
     knowsThatYLeft, ReadDuty::Watch},
    {"an evacuation ended after a restore",
     [](RestorableStore &Store) {
       Store.put("c-e/south", "{}");
       Store.saveCopy();
     },
     [](RestorableStore &Store) {
       Store.restore();
       Store.remove("c-e/south");
       Store.put("c-e/west", "{}");
     },
     [](const ReadingNode &Node) {
       return !Node.evacuates("south") && Node.evacuates("west");
     },
     ReadDuty::Watch},
    {"a restore lost a drain that was cancelled",
     [](RestorableStore &Store) { Store.put("i/y", "leaving"); },
     [](RestorableStore &Store) {
       Store.restore();
       Store.put("i/z", "live");
     },
     [](const ReadingNode &Node) {
       return Node.stateOf("y") == "live" && Node.stateOf("z") == "live";
     },
     ReadDuty::Watch},
};

/// Linked nodes, of which each can lose the store. All but node 0 are of one
/// data centre, which can be cut off as a whole.
struct CutOffFixture : RestoreFixture {
  explicit CutOffFixture(int CutOff = 1) : CutOff(CutOff) {
    for (int I = 1; I <= CutOff; ++I) {
      this->start(I);
      for (int J = 0; J < I; ++J)
        this->link(J, I);
    }
    this->run(Millis(3000));
    this->Store.saveCopy();
  }

  void cutDataCentre() {
    for (int I = 1; I <= this->CutOff; ++I) {
      this->node(I).Access.Reachable = false;
      this->cut(0, I);
    }
  }

  int CutOff;
};

/// What node 1 does while no node can reach the store.
struct OutageCase {
  const char *Name;
  ReadDuty Duty;
  bool Restarts;
  /// How long after node 1 can node 0 reach the store again; negative if
  /// before.
  int Node0AfterMs;
};
std::ostream &operator<<(std::ostream &Out, const OutageCase &Row) {
  return Out << Row.Name;
}

const OutageCase OutageCases[] = {
    {"it reads and fails", ReadDuty::Watch, false, 500},
    {"it does not read", ReadDuty::None, false, 500},
    {"it starts and reads after the other one", ReadDuty::None, true, -1500},
};

} // namespace

BOOST_AUTO_TEST_SUITE(CutOffReaders)

// Guards against nodes that were cut off bringing back, on all nodes, what the
// others have seen to end: calls then reach upstreams that have left.
BOOST_DATA_TEST_CASE(DoNotBringBackWhatEnded,
                     data::make(ReturnCases) * data::make({1, 2}), Row,
                     CutOff) {
  CutOffFixture Test(CutOff);
  Row.Before(Test.Store);
  Test.run(Millis(1000));
  Test.node(1).Duty = Row.Duty;
  Test.cutDataCentre();
  Test.run(Millis(500));
  Row.During(Test.Store);
  Test.run(Millis(4000));
  BOOST_REQUIRE(Row.IsCurrent(Test.node(0)));
  Test.advanceRevision(3);
  for (int I = 1; I <= CutOff; ++I)
    Test.node(I).Access.Reachable = true;
  Test.run(Millis(1200));
  BOOST_REQUIRE(!Row.IsCurrent(Test.node(1)));
  for (int I = 1; I <= CutOff; ++I)
    Test.link(0, I);
  for (int I = 0; I < 100; ++I) {
    Test.run(Step);
    BOOST_TEST(Row.IsCurrent(Test.node(0)));
    BOOST_TEST((I < 10 || Row.IsCurrent(Test.node(1))));
    BOOST_TEST((I < 10 || Row.IsCurrent(Test.node(CutOff))));
  }
}

// Guards against losing what a returning node has read when a list of another
// node replaces its own: the drain below would wait for the next answer.
BOOST_FIXTURE_TEST_CASE(MergeWhatTheyReadIntoNewerLists, CutOffFixture) {
  this->cutDataCentre();
  this->run(Millis(500));
  removeY(this->Store);
  this->run(Millis(1000));
  this->node(0).Access.Reachable = false;
  this->Store.put("i/x", "leaving");
  this->node(1).Access.Reachable = true;
  this->run(Millis(1200));
  BOOST_REQUIRE(this->node(0).stateOf("x") == "live");
  this->link();
  this->run(Millis(500));
  for (auto &Node : this->Nodes) {
    BOOST_TEST(Node->stateOf("x") == "leaving");
    BOOST_TEST(Node->stateOf("y") == "none");
  }
}

// Guards against dropping an upstream that could not renew its entry while no
// node could reach the store, by a node that reads it again before or after
// another one, or that has not seen the outage.
BOOST_DATA_TEST_CASE(KeepEntriesThatExpiredForAll, data::make(OutageCases),
                     Row) {
  CutOffFixture Test;
  Test.node(1).Duty = Row.Duty;
  Test.run(Millis(1000));
  for (auto &Node : Test.Nodes)
    Node->Access.Reachable = false;
  Test.Store.put("i/x", "live");
  Test.run(Millis(5000));
  Test.Store.remove("i/y");
  Test.Store.put("i/z", "live");
  if (Row.Restarts) {
    Test.cut();
    Test.start(1);
    Test.node(1).Duty = Row.Duty;
    Test.link();
  }
  Test.node(0).Access.Reachable = Row.Node0AfterMs < 0;
  Test.run(Millis(std::max(0, -Row.Node0AfterMs)));
  Test.node(1).Access.Reachable = true;
  Test.node(1).Duty = ReadDuty::Watch;
  bool Renewed = false;
  for (int Ms = 0; Ms < 6000; Ms += Step.count()) {
    Test.node(0).Access.Reachable |= Ms >= Row.Node0AfterMs;
    if (Ms >= 500 && !std::exchange(Renewed, true))
      Test.Store.put("i/y", "live");
    Test.run(Step);
    for (auto &Node : Test.Nodes)
      BOOST_TEST(Node->stateOf("y") == "live");
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
