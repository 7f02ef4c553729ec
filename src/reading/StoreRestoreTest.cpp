#include "membership/Evacuations.h"
#include "reading/SplitReader.h"
#include "reading/StoreFixture.h"
#include "reading/StoreReader.h"
#include "spread/Frames.h"
#include "spread/Spreader.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const char North[] = "instances/north";
constexpr Millis Step{50};
constexpr LinkId PeerLink = 1;

/// A node with a reader of the store and a spreader.
struct ReadingNode {
  ReadingNode(RestorableStore &Store, Spreader::Hooks Hooks)
      : Access(Store), Spread(Spreader::Options(), std::move(Hooks), 7) {
    StoreReader::Options Opts;
    Opts.StartJitter = Millis(0);
    Opts.WatchWait = Millis(2500);
    this->Read = std::make_unique<StoreReader>(
        Opts, this->Access, testLayout(), this->sourceHooks(),
        std::vector<std::string>{"north"}, 7);
  }

  SourceHooks sourceHooks() {
    SourceHooks Hooks;
    Hooks.Publish = [this](const std::string &Topic, const DocumentPtr &Doc,
                           TimePoint Now) {
      this->Spread.publish(Topic, Doc, Now);
    };
    Hooks.Confirm = [this](const std::string &Topic, uint64_t Version,
                           uint64_t Revision, TimePoint AskedAt) {
      this->Spread.confirm(Topic, Version, Revision, AskedAt);
    };
    Hooks.ConfirmedAt = [this](const std::string &Topic) {
      return this->Spread.confirmedAt(Topic);
    };
    Hooks.CurrentDocument = [this](const std::string &Topic) {
      return this->Spread.storedDocument(Topic);
    };
    Hooks.ReportComplete = [this](uint64_t Revision) {
      this->Spread.markComplete(Revision);
    };
    Hooks.CompleteRevision = [this] { return this->Spread.completeRevision(); };
    Hooks.Failed = [](const Error &, TimePoint) {};
    Hooks.EraObserved = [this](uint64_t Era) { this->Spread.recordEra(Era); };
    Hooks.EarliestEra = [this] { return this->Spread.earliestEra(); };
    Hooks.Restored = [this](uint64_t, uint64_t, TimePoint) {
      ++this->RestoreReports;
    };
    return Hooks;
  }

  uint64_t version() const {
    return stampOrNull(this->Spread.storedDocument(ConfigTopic)).Version;
  }

  /// "none", "live" or "leaving".
  std::string stateOf(const std::string &Name) const {
    DocumentPtr List = this->Spread.storedDocument(North);
    auto Found = List->entries().find(Name);
    if (Found == List->entries().end())
      return "none";
    bool IsLeaving = Found->second.Bytes->find("leaving") != std::string::npos;
    return IsLeaving ? "leaving" : "live";
  }

  bool evacuates(const std::string &DataCentre) const {
    return evacuatedDataCentres(*this->Spread.storedDocument(EvacuationTopic))
        .count(DataCentre);
  }

  StoreAccess Access;
  Spreader Spread;
  std::unique_ptr<StoreReader> Read;
  ReadDuty Duty = ReadDuty::Watch;
  unsigned RestoreReports = 0;
};

/// A store and two nodes that can be linked.
struct RestoreFixture {
  RestorableStore Store;
  std::unique_ptr<ReadingNode> Nodes[2];
  std::vector<std::pair<int, wire::SpreadFrameT>> Frames;
  bool Linked = false;
  TimePoint Now = TimePoint(std::chrono::hours(1));

  RestoreFixture() {
    this->Store.put("c", "1");
    this->Store.put("i/x", "live");
    this->Store.put("i/y", "live");
    this->start(0);
    this->run(Millis(1000));
  }

  void start(int Index) {
    Spreader::Hooks Hooks;
    Hooks.Send = [this, Index](LinkId, const wire::SpreadFrameT &Frame) {
      this->Frames.emplace_back(1 - Index, Frame);
    };
    Hooks.Accept = [](const Spreader::ReceivedDocument &, TimePoint) {
      return true;
    };
    Hooks.CloseDeadLink = [](LinkId, const Error &) {};
    this->Nodes[Index] = std::make_unique<ReadingNode>(this->Store, Hooks);
  }

  void link() {
    this->Linked = true;
    for (auto &Node : this->Nodes)
      Node->Spread.linkUp(PeerLink, "peer", /*Eager=*/true, this->Now);
  }

  void cut() {
    this->Linked = false;
    this->Frames.clear();
    for (auto &Node : this->Nodes)
      Node->Spread.linkDown(PeerLink);
  }

  void run(Millis Duration) {
    for (TimePoint End = this->Now + Duration; this->Now < End;
         this->Now += Step) {
      this->Store.answer(this->Now);
      for (auto &Node : this->Nodes) {
        if (!Node)
          continue;
        Node->Access.answer(this->Now);
        Node->Read->tick(this->Now, Node->Duty);
        Node->Spread.tick(this->Now);
      }
      this->deliver();
    }
  }

  void deliver() {
    while (!this->Frames.empty()) {
      auto [To, Frame] = this->Frames.front();
      this->Frames.erase(this->Frames.begin());
      if (this->Linked)
        this->Nodes[To]->Spread.receive(PeerLink, Frame, this->Now);
    }
  }

  /// Raises the store's revision without changing any value.
  void advanceRevision(unsigned Writes) {
    for (unsigned I = 0; I < Writes; ++I)
      this->Store.put("i/x", "live");
  }

  /// Makes a copy, this many writes and a few more, and restores the copy. The
  /// last writes change the lists and evacuations, so that these are published
  /// near the highest revision.
  void loseWrites(unsigned Writes) {
    this->Store.saveCopy();
    this->advanceRevision(Writes);
    this->Store.put("i/w", "live");
    this->Store.put("c-e/west", "{}");
    this->run(Millis(1000));
    this->Store.remove("i/w");
    this->Store.remove("c-e/west");
    this->run(Millis(1000));
    this->Store.restore();
  }

  ReadingNode &node(int Index = 0) { return *this->Nodes[Index]; }
};

/// The number of writes that a restore loses, and of those that follow before
/// the next read.
struct RestoreCase {
  const char *Name;
  unsigned LostWrites;
  unsigned NewWrites;
};
std::ostream &operator<<(std::ostream &Out, const RestoreCase &Row) {
  return Out << Row.Name;
}

const RestoreCase RestoreCases[] = {
    {"the revision stays far below the previous one", 40, 1},
    {"the next write reuses the last revision", 1, 0},
    {"the revision passes the previous one", 3, 9},
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreRestores)

// Guards against ignoring a new version because of a reused revision.
BOOST_DATA_TEST_CASE(NewVersionsAreAccepted, data::make(RestoreCases), Row) {
  RestoreFixture Test;
  Test.Store.saveCopy();
  Test.advanceRevision(Row.LostWrites);
  Test.Store.put("c", "2");
  Test.run(Millis(1000));
  BOOST_TEST(Test.node().version() == 2u);
  Test.Store.restore();
  Test.advanceRevision(Row.NewWrites);
  Test.Store.put("c", "3");
  Test.run(Millis(1000));
  BOOST_TEST(Test.node().version() == 3u);
}

// Guards against replacing the active version by an older one from the copy.
BOOST_FIXTURE_TEST_CASE(OlderVersionsAreNotAccepted, RestoreFixture) {
  this->Store.saveCopy();
  this->Store.put("c", "2");
  this->run(Millis(1000));
  this->Store.restore();
  this->run(Millis(3000));
  BOOST_TEST(this->node().version() == 2u);
}

// Guards against missing a drain after a restore.
BOOST_DATA_TEST_CASE(DrainsAreAccepted, data::make(RestoreCases), Row) {
  RestoreFixture Test;
  Test.loseWrites(Row.LostWrites);
  Test.advanceRevision(Row.NewWrites);
  Test.Store.put("i/y", "leaving");
  Test.run(Millis(1000));
  BOOST_TEST(Test.node().stateOf("y") == "leaving");
}

// Guards against missing added or removed instances after a restore.
BOOST_DATA_TEST_CASE(AddedAndRemovedInstancesAreAccepted,
                     data::make(RestoreCases), Row) {
  RestoreFixture Test;
  Test.loseWrites(Row.LostWrites);
  Test.advanceRevision(Row.NewWrites);
  Test.Store.put("i/z", "live");
  Test.Store.remove("i/y");
  Test.run(Millis(4000));
  BOOST_TEST(Test.node().stateOf("z") == "live");
  BOOST_TEST(Test.node().stateOf("y") == "none");
}

// Guards against missing the start or end of an evacuation after a restore.
BOOST_DATA_TEST_CASE(EvacuationsAreAccepted, data::make(RestoreCases), Row) {
  RestoreFixture Test;
  Test.loseWrites(Row.LostWrites);
  Test.advanceRevision(Row.NewWrites);
  Test.Store.put("c-e/south", "{}");
  Test.run(Millis(1000));
  BOOST_TEST(Test.node().evacuates("south"));
  Test.Store.remove("c-e/south");
  Test.run(Millis(1000));
  BOOST_TEST(!Test.node().evacuates("south"));
}

// Guards against nodes without read duty refusing documents of the new era.
BOOST_FIXTURE_TEST_CASE(NodesWithoutReadDutyAreUpdated, RestoreFixture) {
  this->start(1);
  this->node(1).Duty = ReadDuty::None;
  this->link();
  this->run(Millis(3000));
  BOOST_TEST(this->node(1).stateOf("y") == "live");
  this->loseWrites(40);
  this->Store.put("c", "3");
  this->Store.put("i/y", "leaving");
  this->run(Millis(1000));
  BOOST_TEST(this->node(1).version() == 3u);
  BOOST_TEST(this->node(1).stateOf("y") == "leaving");
}

// Guards against lists of an earlier era spreading again from a node that was
// disconnected during the restore.
BOOST_FIXTURE_TEST_CASE(ListsOfEarlierErasDoNotSpreadAgain, RestoreFixture) {
  this->start(1);
  this->node(1).Duty = ReadDuty::None;
  this->link();
  this->advanceRevision(40);
  this->run(Millis(3000));
  this->cut();
  this->loseWrites(40);
  this->Store.put("i/y", "leaving");
  this->run(Millis(1000));
  this->link();
  this->run(Millis(3000));
  for (auto &Node : this->Nodes)
    BOOST_TEST(Node->stateOf("y") == "leaving");
}

// Guards against nodes disagreeing on the order of documents if one of them was
// started after the restore and the other one knows the earlier era.
BOOST_FIXTURE_TEST_CASE(NodesStartedAfterARestoreAgreeWithOthers,
                        RestoreFixture) {
  this->loseWrites(40);
  this->run(Millis(1000));
  this->start(1);
  this->run(Millis(1000));
  this->node(0).Duty = ReadDuty::None;
  this->Store.put("i/y", "leaving");
  this->run(Millis(1000));
  this->link();
  this->run(Millis(4000));
  for (auto &Node : this->Nodes)
    BOOST_TEST(Node->stateOf("y") == "leaving");
  this->Store.put("i/y", "live");
  this->run(Millis(4000));
  for (auto &Node : this->Nodes)
    BOOST_TEST(Node->stateOf("y") == "live");
}

// Guards against a reader resuming from a revision of an earlier era.
BOOST_FIXTURE_TEST_CASE(NewReadersDoNotResumeFromEarlierEras, RestoreFixture) {
  this->start(1);
  this->node(1).Duty = ReadDuty::None;
  this->link();
  this->Store.saveCopy();
  this->advanceRevision(5);
  this->run(Millis(5000));
  this->cut();
  this->node(0).Duty = ReadDuty::None;
  this->Store.restore();
  this->Store.put("i/y", "leaving");
  this->advanceRevision(20);
  this->node(1).Duty = ReadDuty::Watch;
  this->run(Millis(1000));
  BOOST_TEST(this->node(1).stateOf("y") == "leaving");
}

// Guards against detecting only the first of several restores.
BOOST_FIXTURE_TEST_CASE(SecondRestoresAreHandled, RestoreFixture) {
  this->loseWrites(40);
  this->run(Millis(100));
  this->loseWrites(30);
  this->Store.put("c", "3");
  this->Store.put("i/y", "leaving");
  this->run(Millis(3000));
  BOOST_TEST(this->node().version() == 3u);
  BOOST_TEST(this->node().stateOf("y") == "leaving");
  BOOST_TEST(this->node().RestoreReports == 2u);
}

// Guards against missing a version written after the restore but before the
// configuration watch, which then waits for its full timeout.
BOOST_FIXTURE_TEST_CASE(ConfigReaderTakesEraFromListReader, RestoreFixture) {
  SplitReader::Options Opts;
  Opts.ReaderOptions.StartJitter = Millis(0);
  Opts.SplitThresholdBytes = 0;
  SplitReader Reader(Opts, this->Store, testLayout(),
                     this->node().sourceHooks(), {"north"}, 7);
  this->node().Duty = ReadDuty::None;
  auto Run = [&](Millis Duration) {
    for (TimePoint End = this->Now + Duration; this->Now < End;
         this->Now += Step) {
      Reader.tick(this->Now, ReadDuty::Watch);
      this->Store.answer(this->Now);
    }
  };
  Run(Millis(1000));
  this->Store.saveCopy();
  this->Store.put("c", "2");
  Run(Millis(100));
  // Answers the configuration watch; the next one has not been sent yet.
  this->Store.put("c", "3");
  Run(Millis(100));
  this->Store.restore();
  this->Store.put("c", "4");
  this->advanceRevision(20);
  Run(Millis(1500));
  BOOST_TEST(this->node().version() == 4u);
}

// Guards against applying an answer that was requested before a restore.
BOOST_FIXTURE_TEST_CASE(AnswersOfEarlierErasAreDiscarded, RestoreFixture) {
  this->loseWrites(40);
  this->run(Millis(4000));
  this->Store.Era = 1;
  this->Store.put("i/y", "leaving");
  this->Store.put("c", "9");
  this->run(Millis(2000));
  BOOST_TEST(this->node().stateOf("y") == "live");
  BOOST_TEST(this->node().version() == 1u);
  this->Store.Era = 2;
  this->run(Millis(2000));
  BOOST_TEST(this->node().stateOf("y") == "leaving");
}

// Guards against ignoring versions from an older store that reports no era.
BOOST_FIXTURE_TEST_CASE(VersionsAreAcceptedIfNoEraIsReported, RestoreFixture) {
  this->Store.Era.reset();
  this->start(0);
  this->run(Millis(1000));
  this->Store.saveCopy();
  this->advanceRevision(40);
  this->Store.put("c", "2");
  this->run(Millis(1000));
  this->Store.restore();
  this->Store.put("c", "3");
  this->run(Millis(2000));
  BOOST_TEST(this->node().version() == 3u);
}

// Guards against stamps that are incompatible with earlier builds while the
// store has not been restored.
BOOST_FIXTURE_TEST_CASE(StampsEqualRevisionsWithoutARestore, RestoreFixture) {
  this->Store.Era = 17;
  this->start(0);
  this->run(Millis(1000));
  this->Store.put("i/y", "leaving");
  this->run(Millis(1000));
  Stamp List = stampOrNull(this->node().Spread.storedDocument(North));
  BOOST_TEST(List.Version == this->Store.revision());
  BOOST_TEST(List.Revision == this->Store.revision());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RefusedDocuments)

/// A neighbour that announces documents and disconnects before sending them.
struct DisconnectedNeighbour : RestoreFixture {
  void announce(const std::string &Topic) {
    wire::AnnounceT Frame;
    Frame.topic = Topic;
    Frame.held = makeWireStamp(Stamp{1000000, 1000000, 1});
    this->Nodes[0]->Spread.receive(PeerLink, makeFrame(std::move(Frame)),
                                   this->Now);
  }
};

// Guards against never publishing a document again after the spreader refused
// it because a neighbour had announced a newer one.
BOOST_FIXTURE_TEST_CASE(ArePublishedAgain, DisconnectedNeighbour) {
  this->Nodes[0]->Spread.linkUp(PeerLink, "peer", /*Eager=*/true, this->Now);
  for (const char *Topic : {ConfigTopic, North, EvacuationTopic})
    this->announce(Topic);
  this->Store.put("c", "2");
  this->Store.put("i/y", "leaving");
  this->Store.put("c-e/south", "{}");
  this->run(Millis(1000));
  BOOST_TEST(this->node().stateOf("y") == "live");
  this->Nodes[0]->Spread.linkDown(PeerLink);
  this->run(Millis(4000));
  BOOST_TEST(this->node().version() == 2u);
  BOOST_TEST(this->node().stateOf("y") == "leaving");
  BOOST_TEST(this->node().evacuates("south"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RestoredCopies)

// Guards against dropping a live upstream that was added after the copy was
// made.
BOOST_FIXTURE_TEST_CASE(MissingInstancesAreKeptForAWhile, RestoreFixture) {
  this->Store.saveCopy();
  this->Store.put("i/w", "live");
  this->Store.put("i/z", "live");
  this->run(Millis(1000));
  this->Store.restore();
  this->run(Millis(1000));
  BOOST_TEST(this->node().stateOf("z") == "live");
  this->Store.put("i/z", "live");
  this->run(Millis(4000));
  BOOST_TEST(this->node().stateOf("z") == "live");
  BOOST_TEST(this->node().stateOf("w") == "none");
}

// Guards against calls to an upstream whose drain is missing from the copy.
BOOST_FIXTURE_TEST_CASE(LostDrainsAreKeptForAWhile, RestoreFixture) {
  this->Store.saveCopy();
  this->Store.put("i/x", "leaving");
  this->Store.put("i/y", "leaving");
  this->run(Millis(1000));
  this->Store.restore();
  this->run(Millis(1000));
  BOOST_TEST(this->node().stateOf("x") == "leaving");
  BOOST_TEST(this->node().stateOf("y") == "leaving");
  this->Store.put("i/x", "leaving");
  this->run(Millis(4000));
  BOOST_TEST(this->node().stateOf("x") == "leaving");
  BOOST_TEST(this->node().stateOf("y") == "live");
}

// Guards against calls to a data centre whose evacuation is missing from the
// copy.
BOOST_FIXTURE_TEST_CASE(LostEvacuationsAreKeptForAWhile, RestoreFixture) {
  this->Store.saveCopy();
  this->Store.put("c-e/south", "{}");
  this->Store.put("c-e/west", "{}");
  this->run(Millis(1000));
  this->Store.restore();
  this->run(Millis(1000));
  BOOST_TEST(this->node().evacuates("south"));
  BOOST_TEST(this->node().evacuates("west"));
  this->Store.put("c-e/south", "{}");
  this->run(Millis(4000));
  BOOST_TEST(this->node().evacuates("south"));
  BOOST_TEST(!this->node().evacuates("west"));
}

// Guards against delaying a drain because another instance is missing.
BOOST_FIXTURE_TEST_CASE(MissingInstancesDoNotDelayChanges, RestoreFixture) {
  this->Store.saveCopy();
  this->Store.put("i/z", "live");
  this->run(Millis(1000));
  this->Store.restore();
  this->Store.put("i/y", "leaving");
  this->run(Millis(1000));
  BOOST_TEST(this->node().stateOf("y") == "leaving");
  BOOST_TEST(this->node().stateOf("z") == "live");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CutOffReaders)

using StoreAction = void (*)(RestorableStore &);

/// What happens in the store before and while node 1 is cut off from it and
/// from node 0, and what node 0 must go on to know when node 1 returns.
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

/// Two linked nodes, of which each can lose the store.
struct CutOffFixture : RestoreFixture {
  CutOffFixture() {
    this->start(1);
    this->link();
    this->run(Millis(3000));
    this->Store.saveCopy();
  }

  void cutNode1() {
    this->node(1).Access.Reachable = false;
    this->cut();
  }
};

// Guards against a node that was cut off bringing back, on all nodes, what the
// others have seen to end: calls then reach upstreams that have left.
BOOST_DATA_TEST_CASE(DoNotBringBackWhatEnded, data::make(ReturnCases), Row) {
  CutOffFixture Test;
  Row.Before(Test.Store);
  Test.run(Millis(1000));
  Test.node(1).Duty = Row.Duty;
  Test.cutNode1();
  Test.run(Millis(500));
  Row.During(Test.Store);
  Test.run(Millis(4000));
  BOOST_REQUIRE(Row.IsCurrent(Test.node(0)));
  Test.advanceRevision(3);
  Test.node(1).Access.Reachable = true;
  Test.run(Millis(1200));
  BOOST_REQUIRE(!Row.IsCurrent(Test.node(1)));
  Test.link();
  for (int I = 0; I < 100; ++I) {
    Test.run(Step);
    BOOST_TEST(Row.IsCurrent(Test.node(0)));
    BOOST_TEST((I < 10 || Row.IsCurrent(Test.node(1))));
  }
}

// Guards against losing what a returning node has read when a list of another
// node replaces its own: the drain below would wait for the next answer.
BOOST_FIXTURE_TEST_CASE(MergeWhatTheyReadIntoNewerLists, CutOffFixture) {
  this->cutNode1();
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
