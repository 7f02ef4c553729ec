#include "reading/RestoreFixture.h"
#include "reading/SplitReader.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

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

constexpr LinkId PeerLink = 1;

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

} // namespace hickorylift
