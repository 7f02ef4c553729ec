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
constexpr LinkId TheLink = 1;

/// A reader of the store, and what its node holds.
struct ReadingNode {
  ReadingNode(RestorableStore &Store, Spreader::Hooks Hooks)
      : Spread(Spreader::Options(), std::move(Hooks), 7) {
    StoreReader::Options Opts;
    Opts.StartJitter = Millis(0);
    Opts.WatchWait = Millis(2500);
    this->Read = std::make_unique<StoreReader>(
        Opts, Store, contents(), this->sourceHooks(),
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
    Out.Held = [this](const std::string &Topic) {
      return this->Spread.held(Topic);
    };
    Out.Complete = [this](uint64_t At) { this->Spread.complete(At); };
    Out.CompleteAt = [this] { return this->Spread.completeAt(); };
    Out.Failed = [](const Error &, TimePoint) {};
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

/// Two nodes that can be linked, and their store.
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
      Node->Spread.linkUp(TheLink, "peer", /*Eager=*/true, this->Now);
  }

  void cut() {
    this->Linked = false;
    this->Frames.clear();
    for (auto &Node : this->Nodes)
      Node->Spread.linkDown(TheLink);
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
        this->Nodes[To]->Spread.receive(TheLink, Frame, this->Now);
    }
  }

  /// Entries that say nothing new but count the store's revision up.
  void countUp(unsigned Writes) {
    for (unsigned I = 0; I < Writes; ++I)
      this->Store.put("i/x", "live");
  }

  /// Goes back over so many writes. The last of them change every document, so
  /// that all have been published at about the highest revision.
  void loseWrites(unsigned Writes) {
    this->Store.copy();
    this->countUp(Writes);
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

/// How many writes are lost, and how many follow before anybody reads.
struct Drill {
  const char *What;
  unsigned Lost;
  unsigned Again;
};
std::ostream &operator<<(std::ostream &To, const Drill &Of) {
  return To << Of.What;
}

const Drill Drills[] = {
    {"the count stays far below where it was", 40, 1},
    {"the next write has the last one's revision", 1, 0},
    {"the count has passed where it was", 3, 9},
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreRestores)

// Guards against a version that nobody takes for the revision that it has.
BOOST_DATA_TEST_CASE(NewVersionsAreTaken, data::make(Drills), Row) {
  Restores At;
  At.Store.copy();
  At.countUp(Row.Lost);
  At.Store.put("c", "2");
  At.run(Millis(1000));
  BOOST_TEST(At.node().version() == 2u);
  At.Store.restore();
  At.countUp(Row.Again);
  At.Store.put("c", "3");
  At.run(Millis(1000));
  BOOST_TEST(At.node().version() == 3u);
}

// Guards against a version in force that is left for the copy's older one.
BOOST_FIXTURE_TEST_CASE(OlderVersionsAreNotTaken, Restores) {
  this->Store.copy();
  this->Store.put("c", "2");
  this->run(Millis(1000));
  this->Store.restore();
  this->run(Millis(3000));
  BOOST_TEST(this->node().version() == 2u);
}

// Guards against calls to an upstream whose drain nobody hears of.
BOOST_DATA_TEST_CASE(DrainsAreTaken, data::make(Drills), Row) {
  Restores At;
  At.loseWrites(Row.Lost);
  At.countUp(Row.Again);
  At.Store.put("i/y", "leaving");
  At.run(Millis(1000));
  BOOST_TEST(At.node().stateOf("y") == "leaving");
}

// Guards against upstreams that come or go and nobody hears of it.
BOOST_DATA_TEST_CASE(InstancesThatComeAndGoAreTaken, data::make(Drills), Row) {
  Restores At;
  At.loseWrites(Row.Lost);
  At.countUp(Row.Again);
  At.Store.put("i/z", "live");
  At.Store.remove("i/y");
  At.run(Millis(4000));
  BOOST_TEST(At.node().stateOf("z") == "live");
  BOOST_TEST(At.node().stateOf("y") == "none");
}

// Guards against an evacuation, or the end of one, that nobody hears of.
BOOST_DATA_TEST_CASE(EvacuationsAreTaken, data::make(Drills), Row) {
  Restores At;
  At.loseWrites(Row.Lost);
  At.countUp(Row.Again);
  At.Store.put("c-e/south", "{}");
  At.run(Millis(1000));
  BOOST_TEST(At.node().evacuates("south"));
  At.Store.remove("c-e/south");
  At.run(Millis(1000));
  BOOST_TEST(!At.node().evacuates("south"));
}

// Guards against nodes that do not read, and refuse what the readers bring.
BOOST_FIXTURE_TEST_CASE(NodesThatDoNotReadFollow, Restores) {
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

// Guards against a node that is cut off with the lists of the era before, and
// brings them back.
BOOST_FIXTURE_TEST_CASE(ListsOfTheEraBeforeAreNotBroughtBack, Restores) {
  this->start(1);
  this->node(1).Duty = ReadDuty::None;
  this->link();
  this->countUp(40);
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

// Guards against a node that has started since, knows nothing of the era before
// and meets one that does.
BOOST_FIXTURE_TEST_CASE(NodesThatStartedSinceAgreeWithTheOthers, Restores) {
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

// Guards against a reader that goes on from a revision of the era before.
BOOST_FIXTURE_TEST_CASE(NewReadersDoNotGoOnFromTheEraBefore, Restores) {
  this->start(1);
  this->node(1).Duty = ReadDuty::None;
  this->link();
  this->Store.copy();
  this->countUp(5);
  this->run(Millis(5000));
  this->cut();
  this->node(0).Duty = ReadDuty::None;
  this->Store.restore();
  this->Store.put("i/y", "leaving");
  this->countUp(20);
  this->node(1).Duty = ReadDuty::Watch;
  this->run(Millis(1000));
  BOOST_TEST(this->node(1).stateOf("y") == "leaving");
}

BOOST_FIXTURE_TEST_CASE(SecondRestoresAreFollowedToo, Restores) {
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

// Guards against a watch of the configuration that waits in the new history for
// as long as it may, while a version written before it was asked is missed.
BOOST_FIXTURE_TEST_CASE(PartsOfAReaderLearnOfItFromEachOther, Restores) {
  SplitReader::Options Opts;
  Opts.Read.StartJitter = Millis(0);
  Opts.SplitFrom = 0;
  SplitReader Both(Opts, this->Store, contents(), this->node().sourceHooks(),
                   {"north"}, 7);
  this->node().Duty = ReadDuty::None;
  auto Run = [&](Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Step) {
      Both.tick(this->Now, ReadDuty::Watch);
      this->Store.answer(this->Now);
    }
  };
  Run(Millis(1000));
  this->Store.copy();
  this->Store.put("c", "2");
  Run(Millis(100));
  // The watch of the configuration is answered, and the next one not yet asked.
  this->Store.put("c", "3");
  Run(Millis(100));
  this->Store.restore();
  this->Store.put("c", "4");
  this->countUp(20);
  Run(Millis(1500));
  BOOST_TEST(this->node().version() == 4u);
}

// Guards against an answer that was under way while the store was restored.
BOOST_FIXTURE_TEST_CASE(AnswersOfAnEarlierEraAreThrownAway, Restores) {
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

// Guards against a store of before that tells no era: its versions are taken.
BOOST_FIXTURE_TEST_CASE(VersionsAreTakenIfNoEraIsTold, Restores) {
  this->Store.Era.reset();
  this->start(0);
  this->run(Millis(1000));
  this->Store.copy();
  this->countUp(40);
  this->Store.put("c", "2");
  this->run(Millis(1000));
  this->Store.restore();
  this->Store.put("c", "3");
  this->run(Millis(2000));
  BOOST_TEST(this->node().version() == 3u);
}

// Guards against stamps that nodes of an earlier build cannot follow, as long
// as the store was not restored.
BOOST_FIXTURE_TEST_CASE(StampsAreTheStoresRevisionsWithoutARestore, Restores) {
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

// A neighbour that announces a document and is gone before it has sent it.
struct GoneNeighbour : Restores {
  void announce(const std::string &Topic) {
    wire::AnnounceT Said;
    Said.topic = Topic;
    Said.held = wireStamp(Stamp{1000000, 1000000, 1});
    this->Nodes[0]->Spread.receive(TheLink, frameOf(std::move(Said)),
                                   this->Now);
  }
};

// Guards against a document that was refused once and is never published.
BOOST_FIXTURE_TEST_CASE(ArePublishedAgain, GoneNeighbour) {
  this->Nodes[0]->Spread.linkUp(TheLink, "peer", /*Eager=*/true, this->Now);
  for (const char *Topic : {ConfigTopic, North, EvacuationTopic})
    this->announce(Topic);
  this->Store.put("c", "2");
  this->Store.put("i/y", "leaving");
  this->Store.put("c-e/south", "{}");
  this->run(Millis(1000));
  BOOST_TEST(this->node().stateOf("y") == "live");
  this->Nodes[0]->Spread.linkDown(TheLink);
  this->run(Millis(4000));
  BOOST_TEST(this->node().version() == 2u);
  BOOST_TEST(this->node().stateOf("y") == "leaving");
  BOOST_TEST(this->node().evacuates("south"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RestoredCopies)

// Guards against an upstream that serves and is left out, for the copy was made
// before it came.
BOOST_FIXTURE_TEST_CASE(MissingInstancesAreWaitedFor, Restores) {
  this->Store.copy();
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

// Guards against calls to an upstream whose drain the copy does not have.
BOOST_FIXTURE_TEST_CASE(LostDrainsHoldForAWhile, Restores) {
  this->Store.copy();
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

// Guards against calls to a data centre whose evacuation the copy does not
// have.
BOOST_FIXTURE_TEST_CASE(LostEvacuationsHoldForAWhile, Restores) {
  this->Store.copy();
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

// Guards against a drain that waits for an instance that is missing beside it.
BOOST_FIXTURE_TEST_CASE(NewsIsNotHeldBackByWhatIsMissing, Restores) {
  this->Store.copy();
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
