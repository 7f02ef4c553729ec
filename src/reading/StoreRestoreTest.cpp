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
      : Spread(Spreader::Options(), std::move(Hooks), 7) {
    StoreReader::Options Opts;
    Opts.StartJitter = Millis(0);
    Opts.WatchWait = Millis(2500);
    this->Read = std::make_unique<StoreReader>(
        Opts, Store, testLayout(), this->sourceHooks(),
        std::vector<std::string>{"north"}, 7);
  }

  SourceHooks sourceHooks() {
    SourceHooks Out;
    Out.Publish = [this](const std::string &Topic, const DocumentPtr &Doc,
                         TimePoint Now) {
      this->Spread.publish(Topic, Doc, Now);
    };
    Out.Confirm = [this](const std::string &Topic, uint64_t Version,
                         uint64_t Revision, TimePoint AskedAt) {
      this->Spread.confirm(Topic, Version, Revision, AskedAt);
    };
    Out.CurrentDocument = [this](const std::string &Topic) {
      return this->Spread.held(Topic);
    };
    Out.ReportComplete = [this](uint64_t At) { this->Spread.complete(At); };
    Out.CompleteRevision = [this] { return this->Spread.completeAt(); };
    Out.Failed = [](const Error &, TimePoint) {};
    Out.EraObserved = [this](uint64_t Era) { this->Spread.meetEra(Era); };
    Out.EarliestEra = [this] { return this->Spread.firstEra(); };
    Out.Restored = [this](uint64_t, uint64_t, TimePoint) { ++this->Restores; };
    return Out;
  }

  uint64_t version() const {
    return stampOf(this->Spread.held(ConfigTopic)).Version;
  }

  /// "none", "live" or "leaving".
  std::string stateOf(const std::string &Name) const {
    DocumentPtr List = this->Spread.held(North);
    auto Found = List->entries().find(Name);
    if (Found == List->entries().end())
      return "none";
    bool Leaves = Found->second.Bytes->find("leaving") != std::string::npos;
    return Leaves ? "leaving" : "live";
  }

  bool evacuates(const std::string &DataCentre) const {
    return evacuatedIn(*this->Spread.held(EvacuationTopic)).count(DataCentre);
  }

  Spreader Spread;
  std::unique_ptr<StoreReader> Read;
  ReadDuty Duty = ReadDuty::Watch;
  unsigned Restores = 0;
};

/// A store and two nodes that can be linked.
struct Restores {
  RestorableStore Store;
  std::unique_ptr<ReadingNode> Nodes[2];
  std::vector<std::pair<int, wire::SpreadFrameT>> Frames;
  bool Linked = false;
  TimePoint Now = TimePoint(std::chrono::hours(1));

  Restores() {
    this->Store.put("c", "1");
    this->Store.put("i/x", "live");
    this->Store.put("i/y", "live");
    this->start(0);
    this->run(Millis(1000));
  }

  void start(int Which) {
    Spreader::Hooks Hooks;
    Hooks.Send = [this, Which](LinkId, const wire::SpreadFrameT &Frame) {
      this->Frames.emplace_back(1 - Which, Frame);
    };
    Hooks.Accept = [](const Spreader::Arrival &, TimePoint) { return true; };
    Hooks.Condemn = [](LinkId, const Error &) {};
    this->Nodes[Which] = std::make_unique<ReadingNode>(this->Store, Hooks);
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

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Step) {
      this->Store.answer(this->Now);
      for (auto &Node : this->Nodes) {
        if (!Node)
          continue;
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

  /// Restores a copy made before this many writes and a few more. The last
  /// ones change the lists and evacuations, so that these are published near
  /// the highest revision.
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

  ReadingNode &node(int Which = 0) { return *this->Nodes[Which]; }
};

/// How many writes a restore loses, and how many follow before the next read.
struct RestoreCase {
  const char *What;
  unsigned LostWrites;
  unsigned NewWrites;
};
std::ostream &operator<<(std::ostream &To, const RestoreCase &Of) {
  return To << Of.What;
}

const RestoreCase RestoreCases[] = {
    {"the revision stays far below the previous one", 40, 1},
    {"the next write reuses the last revision", 1, 0},
    {"the revision passes the previous one", 3, 9},
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreRestores)

// Guards against ignoring a new version because of a reused revision.
BOOST_DATA_TEST_CASE(NewVersionsAreTaken, data::make(RestoreCases), Row) {
  Restores At;
  At.Store.saveCopy();
  At.advanceRevision(Row.LostWrites);
  At.Store.put("c", "2");
  At.run(Millis(1000));
  BOOST_TEST(At.node().version() == 2u);
  At.Store.restore();
  At.advanceRevision(Row.NewWrites);
  At.Store.put("c", "3");
  At.run(Millis(1000));
  BOOST_TEST(At.node().version() == 3u);
}

// Guards against replacing the version in force by an older one from the copy.
BOOST_FIXTURE_TEST_CASE(OlderVersionsAreNotTaken, Restores) {
  this->Store.saveCopy();
  this->Store.put("c", "2");
  this->run(Millis(1000));
  this->Store.restore();
  this->run(Millis(3000));
  BOOST_TEST(this->node().version() == 2u);
}

// Guards against missing a drain after a restore.
BOOST_DATA_TEST_CASE(DrainsAreTaken, data::make(RestoreCases), Row) {
  Restores At;
  At.loseWrites(Row.LostWrites);
  At.advanceRevision(Row.NewWrites);
  At.Store.put("i/y", "leaving");
  At.run(Millis(1000));
  BOOST_TEST(At.node().stateOf("y") == "leaving");
}

// Guards against missing added or removed instances after a restore.
BOOST_DATA_TEST_CASE(AddedAndRemovedInstancesAreTaken, data::make(RestoreCases),
                     Row) {
  Restores At;
  At.loseWrites(Row.LostWrites);
  At.advanceRevision(Row.NewWrites);
  At.Store.put("i/z", "live");
  At.Store.remove("i/y");
  At.run(Millis(4000));
  BOOST_TEST(At.node().stateOf("z") == "live");
  BOOST_TEST(At.node().stateOf("y") == "none");
}

// Guards against missing the start or end of an evacuation after a restore.
BOOST_DATA_TEST_CASE(EvacuationsAreTaken, data::make(RestoreCases), Row) {
  Restores At;
  At.loseWrites(Row.LostWrites);
  At.advanceRevision(Row.NewWrites);
  At.Store.put("c-e/south", "{}");
  At.run(Millis(1000));
  BOOST_TEST(At.node().evacuates("south"));
  At.Store.remove("c-e/south");
  At.run(Millis(1000));
  BOOST_TEST(!At.node().evacuates("south"));
}

// Guards against nodes without read duty refusing documents of the new era.
BOOST_FIXTURE_TEST_CASE(NodesWithoutReadDutyAreUpdated, Restores) {
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
BOOST_FIXTURE_TEST_CASE(ListsOfEarlierErasDoNotSpreadAgain, Restores) {
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

// Guards against conflicting places between a node started after the restore
// and one that knows the earlier era.
BOOST_FIXTURE_TEST_CASE(NodesStartedAfterARestoreAgreeWithOthers, Restores) {
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
BOOST_FIXTURE_TEST_CASE(NewReadersDoNotResumeFromEarlierEras, Restores) {
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

BOOST_FIXTURE_TEST_CASE(SecondRestoresAreHandled, Restores) {
  this->loseWrites(40);
  this->run(Millis(100));
  this->loseWrites(30);
  this->Store.put("c", "3");
  this->Store.put("i/y", "leaving");
  this->run(Millis(3000));
  BOOST_TEST(this->node().version() == 3u);
  BOOST_TEST(this->node().stateOf("y") == "leaving");
  BOOST_TEST(this->node().Restores == 2u);
}

// Guards against missing a version written after the restore but before the
// configuration watch, which then waits for its full timeout.
BOOST_FIXTURE_TEST_CASE(ConfigReaderLearnsEraFromListReader, Restores) {
  SplitReader::Options Opts;
  Opts.ReaderOptions.StartJitter = Millis(0);
  Opts.SplitThresholdBytes = 0;
  SplitReader Reader(Opts, this->Store, testLayout(),
                     this->node().sourceHooks(), {"north"}, 7);
  this->node().Duty = ReadDuty::None;
  auto Run = [&](Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
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
BOOST_FIXTURE_TEST_CASE(AnswersOfEarlierErasAreDiscarded, Restores) {
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
BOOST_FIXTURE_TEST_CASE(VersionsAreTakenIfNoEraIsReported, Restores) {
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
BOOST_FIXTURE_TEST_CASE(StampsEqualRevisionsWithoutARestore, Restores) {
  this->Store.Era = 17;
  this->start(0);
  this->run(Millis(1000));
  this->Store.put("i/y", "leaving");
  this->run(Millis(1000));
  Stamp List = stampOf(this->node().Spread.held(North));
  BOOST_TEST(List.Version == this->Store.revision());
  BOOST_TEST(List.Revision == this->Store.revision());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RefusedDocuments)

// A neighbour that announces documents and disconnects before sending them.
struct DisconnectedNeighbour : Restores {
  void announce(const std::string &Topic) {
    wire::AnnounceT Frame;
    Frame.topic = Topic;
    Frame.held = wireStamp(Stamp{1000000, 1000000, 1});
    this->Nodes[0]->Spread.receive(PeerLink, frameOf(std::move(Frame)),
                                   this->Now);
  }
};

// Guards against never republishing a document that was refused.
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
BOOST_FIXTURE_TEST_CASE(MissingInstancesAreWaitedFor, Restores) {
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
BOOST_FIXTURE_TEST_CASE(LostDrainsHoldForAWhile, Restores) {
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
BOOST_FIXTURE_TEST_CASE(LostEvacuationsHoldForAWhile, Restores) {
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
BOOST_FIXTURE_TEST_CASE(NewsIsNotHeldBackByWhatIsMissing, Restores) {
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

} // namespace hickorylift
