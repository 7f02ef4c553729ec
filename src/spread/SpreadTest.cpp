#include "spread/FleetView.h"
#include "spread/Spreader.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace hickorylift {

namespace {

/// Builds a document with this number of entries of this size.
DocumentPtr makeDocument(uint64_t Version, size_t Entries, size_t Bytes) {
  EntryMap All;
  for (size_t I = 0; I < Entries; ++I) {
    std::string Name = "e" + std::to_string(I);
    All[Name] = makeEntry(
        Name, std::string(Bytes, static_cast<char>('a' + (I + Version) % 26)));
  }
  return Document::make(Version, Version, All);
}

/// Two linked nodes. Frames wait in a queue until deliverFrames() delivers
/// them.
struct NodePair {
  struct QueuedFrame {
    int To;
    wire::SpreadFrameT Frame;
  };

  explicit NodePair(const Spreader::Options &Opts) {
    for (int I = 0; I < 2; ++I) {
      Spreader::Hooks Hooks;
      Hooks.Send = [this, I](LinkId, wire::SpreadFrameT Frame) {
        ++this->SentFrames[I];
        this->Queue.push_back({1 - I, std::move(Frame)});
      };
      Hooks.Accept = [this, I](const Spreader::ReceivedDocument &, TimePoint) {
        return this->Accepts[I];
      };
      Hooks.CloseDeadLink = [this, I](LinkId, const Error &) {
        ++this->DeadLinks[I];
      };
      this->Nodes[I] = std::make_unique<Spreader>(Opts, Hooks, 1 + I);
    }
  }

  void link() {
    for (auto &Node : this->Nodes)
      Node->linkUp(1, "peer", true, this->Now);
  }

  void deliverFrames() {
    while (!this->Queue.empty()) {
      QueuedFrame Next = std::move(this->Queue.front());
      this->Queue.pop_front();
      this->Nodes[Next.To]->receive(1, Next.Frame, this->Now);
    }
  }

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Millis(50)) {
      for (auto &Node : this->Nodes)
        Node->tick(this->Now);
      this->deliverFrames();
    }
  }

  std::unique_ptr<Spreader> Nodes[2];
  std::deque<QueuedFrame> Queue;
  bool Accepts[2] = {true, true};
  int DeadLinks[2] = {0, 0};
  int SentFrames[2] = {0, 0};
  TimePoint Now = TimePoint(std::chrono::hours(1));
};

/// A node that has just started, and the pulls that it sends.
struct StartingNode {
  static constexpr LinkId SeedLink = 1;
  static constexpr LinkId NeighbourLink = 2;

  StartingNode() {
    Spreader::Options Opts;
    Opts.FirstTopic = "lists/m";
    Opts.DeferredTopicPrefix = "lists/";
    Opts.SeedPullDelay = Millis(300);
    Spreader::Hooks Hooks;
    Hooks.Send = [this](LinkId To, const wire::SpreadFrameT &Frame) {
      if (const auto *Pull = Frame.payload.AsPull())
        this->Pulls.push_back(Pull->topic + (To == SeedLink ? "" : "*"));
    };
    Hooks.Accept = [](const Spreader::ReceivedDocument &, TimePoint) {
      return true;
    };
    Hooks.CloseDeadLink = [](LinkId, const Error &) {};
    this->Node = std::make_unique<Spreader>(Opts, Hooks, 1);
  }

  void link(LinkId Link) {
    this->Node->linkUp(Link, "peer", /*Eager=*/Link == NeighbourLink, this->Now,
                       /*IsSeed=*/Link == SeedLink);
    wire::HeartbeatT Beat;
    for (const char *Topic : {"config", "lists/a", "lists/m", "lists/z"}) {
      auto Item = std::make_unique<wire::TopicStateT>();
      Item->topic = Topic;
      Item->held = std::make_unique<wire::Stamp>(1, 1, 1);
      Beat.topics.push_back(std::move(Item));
    }
    Beat.seq = 1;
    wire::SpreadFrameT Frame;
    Frame.payload.Set(std::move(Beat));
    this->Node->receive(Link, Frame, this->Now);
  }

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;) {
      this->Now += Millis(50);
      this->Node->tick(this->Now);
    }
  }

  std::unique_ptr<Spreader> Node;
  std::vector<std::string> Pulls;
  TimePoint Now = TimePoint(std::chrono::hours(1));
};

} // namespace

BOOST_AUTO_TEST_SUITE(SpreaderTests)

// Guards against a herd of starting nodes that all pull the lists of all data
// centres from a few seeds: their own list, and the version behind it, would
// wait until the seeds' network links have carried the others to every node.
BOOST_AUTO_TEST_CASE(SeedsSendTheOwnListFirst) {
  StartingNode Test;
  Test.link(StartingNode::SeedLink);
  std::vector<std::string> Expected{"lists/m", "config"};
  BOOST_TEST(Test.Pulls == Expected, boost::test_tools::per_element());
  Test.run(Millis(100));
  Test.link(StartingNode::NeighbourLink);
  Test.run(Millis(250));
  Expected.insert(Expected.end(), {"lists/z*", "lists/a*"});
  BOOST_TEST(Test.Pulls == Expected, boost::test_tools::per_element());
}

// Guards against a node without neighbours that never gets the other lists.
BOOST_AUTO_TEST_CASE(SeedsSendTheOtherListsIfNoNeighbourDoes) {
  StartingNode Test;
  Test.link(StartingNode::SeedLink);
  Test.run(Millis(350));
  std::vector<std::string> Expected{"lists/m", "config", "lists/a", "lists/z"};
  BOOST_TEST(Test.Pulls == Expected, boost::test_tools::per_element());
}

// Guards against sending a whole document again to a neighbour that has the
// previous version.
BOOST_AUTO_TEST_CASE(DeltaIsSentAfterTheFirstSnapshot) {
  Spreader::Options Opts;
  Opts.MaxPartBytes = 1000; // many parts
  Opts.MinCompressBytes = 1u << 30;
  NodePair Pair(Opts);
  Pair.Nodes[0]->publish("config", makeDocument(1, 50, 300), Pair.Now);
  Pair.link();
  Pair.run(Millis(500));
  BOOST_REQUIRE(Pair.Nodes[1]->storedDocument("config"));
  BOOST_TEST(Pair.Nodes[1]->storedDocument("config")->stamp().Version == 1u);
  uint64_t Before = Pair.Nodes[0]->counters().Snapshots;
  Pair.Nodes[0]->publish("config", makeDocument(2, 50, 300), Pair.Now);
  Pair.deliverFrames();
  BOOST_TEST(Pair.Nodes[1]->storedDocument("config")->stamp().Version == 2u);
  BOOST_TEST(Pair.Nodes[0]->counters().Snapshots == Before);
}

// Guards against waiting, on a link that has just come up, for the push of a
// version that the neighbour stored before.
BOOST_AUTO_TEST_CASE(MissedVersionIsPulledAtOnceOverANewLink) {
  NodePair Pair{Spreader::Options()};
  Pair.Nodes[0]->publish("config", makeDocument(2, 2, 9), Pair.Now);
  Pair.Nodes[1]->publish("config", makeDocument(1, 2, 9), Pair.Now);
  Pair.link();
  Pair.deliverFrames();
  BOOST_TEST(Pair.Nodes[1]->storedDocument("config")->stamp().Version == 2u);
}

// A node that takes over reading continues from the complete revision of its
// neighbours. Guards against adopting it while one of their documents has not
// arrived: that change would never be read, and calls would be sent to an
// upstream that no longer exists.
BOOST_AUTO_TEST_CASE(RevisionIsCompleteOnlyWithAllAnnouncedDocuments) {
  NodePair Pair{Spreader::Options()};
  Pair.Nodes[0]->publish("config", makeDocument(3, 2, 9), Pair.Now);
  Pair.Nodes[0]->publish("list", makeDocument(4, 2, 9), Pair.Now);
  Pair.Nodes[0]->markComplete(9);
  Pair.link();
  // Drop all parts: node 1 receives the stamps of both documents, but neither
  // document.
  while (!Pair.Queue.empty()) {
    Pair.Queue.front().Frame.payload.AsPart()
        ? void()
        : Pair.Nodes[Pair.Queue.front().To]->receive(
              1, Pair.Queue.front().Frame, Pair.Now);
    Pair.Queue.pop_front();
  }
  BOOST_TEST(Pair.Nodes[1]->completeRevision() == 0u);
  Pair.Nodes[1]->markComplete(20);
  BOOST_TEST(Pair.Nodes[1]->completeRevision() == 0u);
  Pair.run(Millis(5000));
  BOOST_TEST(Pair.Nodes[1]->completeRevision() == 9u);
}

// Guards against a node that never learns of a document because the heartbeat
// that named it was lost with the push.
BOOST_AUTO_TEST_CASE(LostStampsAreSentAgain) {
  NodePair Pair{Spreader::Options()};
  Pair.Nodes[0]->publish("config", makeDocument(1, 2, 9), Pair.Now);
  Pair.link();
  Pair.run(Millis(5000));
  Pair.Nodes[0]->publish("config", makeDocument(2, 2, 9), Pair.Now);
  Pair.Nodes[0]->sendHeartbeatsBy(Pair.Now);
  Pair.Nodes[0]->tick(Pair.Now);
  Pair.Queue.clear();
  Pair.run(Millis(5000));
  BOOST_TEST(Pair.Nodes[1]->storedDocument("config")->stamp().Version == 2u);
}

// Guards against replacing a document by an older one, read from the platform
// or received from a neighbour.
BOOST_AUTO_TEST_CASE(OlderDocumentNeverReplacesANewerOne) {
  NodePair Pair{Spreader::Options()};
  Pair.Nodes[0]->publish("config", makeDocument(3, 2, 9), Pair.Now);
  BOOST_TEST(
      !Pair.Nodes[0]->publish("config", makeDocument(2, 2, 9), Pair.Now));
  Pair.Nodes[1]->publish("config", makeDocument(1, 2, 9), Pair.Now);
  Pair.link();
  Pair.run(Millis(500));
  BOOST_TEST(Pair.Nodes[0]->storedDocument("config")->stamp().Version == 3u);
  BOOST_TEST(Pair.Nodes[1]->storedDocument("config")->stamp().Version == 3u);
}

// Guards against keeping a link to a process that died without closing it: the
// neighbour would send into it for as long as TCP retransmits.
BOOST_AUTO_TEST_CASE(UnresponsiveLinkIsDeclaredDead) {
  NodePair Pair{Spreader::Options()};
  Pair.link();
  Pair.deliverFrames();
  for (int I = 0; I < 200; ++I) {
    Pair.Now += Millis(50);
    Pair.Nodes[0]->tick(Pair.Now);
    Pair.Queue.clear();
  }
  BOOST_TEST(Pair.DeadLinks[0] > 0);
}

// Many empty nodes ask one neighbour for all documents at once. It sends
// snapshots within its rate limit and postpones the rest; in the end all are
// sent. A short list, from which starting nodes learn of other nodes to ask,
// does not wait behind larger documents.
BOOST_AUTO_TEST_CASE(SnapshotsAreSentWithinTheRateLimit) {
  Spreader::Options Opts;
  Opts.SnapshotBytesPerSecond = 100000;
  Opts.SnapshotBurstBytes = 100000;
  NodePair Pair(Opts);
  Pair.Nodes[0]->publish("big", makeDocument(1, 10, 30000), Pair.Now);
  Pair.Nodes[0]->publish("config", makeDocument(1, 10, 30000), Pair.Now);
  Pair.Nodes[0]->publish("a-list", makeDocument(1, 10, 3000), Pair.Now);
  Pair.link();
  Pair.run(Millis(500));
  bool First = Pair.Nodes[1]->storedDocument("big") != nullptr;
  bool Second = Pair.Nodes[1]->storedDocument("config") != nullptr;
  BOOST_TEST(First != Second);
  BOOST_TEST(Pair.Nodes[1]->storedDocument("a-list"));
  Pair.run(Millis(10000));
  BOOST_TEST(Pair.Nodes[1]->storedDocument("big"));
  BOOST_TEST(Pair.Nodes[1]->storedDocument("config"));
}

// Guards against an age at a neighbour that is less than the time since the
// platform was asked, or more than 5 s above it.
BOOST_AUTO_TEST_CASE(AgeIsNeverLessThanTheTimeSinceConfirmation) {
  NodePair Pair{Spreader::Options()};
  Pair.Nodes[0]->publish("config", makeDocument(1, 1, 1), Pair.Now);
  TimePoint Asked = Pair.Now;
  Pair.Nodes[0]->confirm("config", 1, 1, Asked);
  Pair.link();
  Pair.run(Millis(20000));
  std::optional<Millis> Age = Pair.Nodes[1]->age("config", Pair.Now);
  BOOST_REQUIRE(Age.has_value());
  BOOST_TEST(Age->count() >= toMillis(Pair.Now - Asked).count());
  BOOST_TEST(Age->count() <= toMillis(Pair.Now - Asked).count() + 5000);
}

// A heartbeat waits in the socket of a paused process. Guards against counting
// the age from its arrival: the list would look a minute newer than it is, and
// a gate would decide on idempotency keys whose home it no longer is. The
// second round turns the echo off and expects a wrong age.
BOOST_AUTO_TEST_CASE(AgeStaysCorrectAfterAProcessPause) {
  for (bool Echoed : {true, false}) {
    Spreader::Options Opts;
    Opts.Guards.EchoedAges = Echoed;
    NodePair Pair(Opts);
    Pair.Nodes[0]->publish("config", makeDocument(1, 1, 1), Pair.Now);
    Pair.link();
    Pair.run(Millis(5000));
    Pair.Nodes[0]->confirm("config", 1, 1, Pair.Now);
    TimePoint Asked = Pair.Now;
    for (int I = 0; I < 60; ++I) { // node 1 is paused; frames wait
      Pair.Now += Millis(50);
      Pair.Nodes[0]->tick(Pair.Now);
    }
    Pair.Now += std::chrono::minutes(1);
    Pair.deliverFrames();
    std::optional<Millis> Age = Pair.Nodes[1]->age("config", Pair.Now);
    bool Correct = !Age || Age->count() >= toMillis(Pair.Now - Asked).count();
    BOOST_TEST(Correct == Echoed);
  }
}

// Guards against change sets that differ after packing and unpacking,
// compressed or not, and against accepting a size beyond the limit.
BOOST_AUTO_TEST_CASE(ChangeSetSurvivesPackingAndUnpacking) {
  for (size_t MinCompressBytes : {size_t(0), size_t(1) << 30}) {
    ChangeSet Changes{
        {"a", std::make_shared<const std::string>(std::string(5000, 'x'))},
        {"empty", std::make_shared<const std::string>()},
        {"gone", nullptr}};
    uint32_t RawSize = 0;
    std::string Packed = packChanges(Changes, MinCompressBytes, RawSize);
    Result<ChangeSet> Read = unpackChanges(Packed, RawSize, 1 << 20);
    BOOST_REQUIRE(static_cast<bool>(Read));
    BOOST_TEST(Read->size() == 3u);
    BOOST_TEST(*(*Read)[0].Bytes == *Changes[0].Bytes);
    BOOST_TEST((*Read)[1].Bytes->empty());
    BOOST_TEST(!(*Read)[2].Bytes);
  }
  BOOST_TEST(!unpackChanges("x", 1u << 30, 1 << 20));
}

// Guards against a crash on malformed frames from a peer: each is refused or
// decoded. The seed is fixed; half of the inputs are valid frames with some
// bytes changed.
BOOST_AUTO_TEST_CASE(DecoderDoesNotCrashOnMalformedFrames) {
  std::mt19937 Random(3);
  Safeguards Unsealed;
  Unsealed.CheckFrames = false;
  wire::PartT Part;
  Part.topic = "config";
  Part.bytes.assign(200, 7);
  wire::SpreadFrameT Frame;
  Frame.payload.Set(std::move(Part));
  std::string Good = encodeFrame(Frame);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Good;
    if (Round % 2)
      Bytes.resize(Random() % 300);
    for (unsigned I = 0; I < 1 + Random() % 8; ++I)
      if (!Bytes.empty())
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    auto Read = decodeSpreadFrame(Bytes, Unsealed);
    auto Changes = unpackChanges(Bytes, Random() % 1000, 1 << 16);
    BOOST_TEST((!Read || Read->payload.type <= wire::SpreadPayload::MAX ||
                Read->payload.value == nullptr));
    (void)Changes;
  }
}

// Guards against a root that does not add its children's reports to its own,
// and against counting nodes whose last report is too old.
BOOST_AUTO_TEST_CASE(RootAddsUpReportsAndDropsOutdatedOnes) {
  TimePoint Now{};
  FleetView Child("north", "child", 1, Millis(1000));
  FleetView Root("north", "root", 1, Millis(1000));
  Child.setActiveVersion({2, 2, 2});
  Child.setRefusal({3, 3, 3}, "bad");
  Root.setActiveVersion({2, 2, 2});
  Root.recordChildReport(5, Child.report(Now), Now);
  wire::FleetReportT Sum = Root.report(Now);
  BOOST_TEST(Sum.heard == 2u);
  BOOST_REQUIRE(Sum.counts.size() == 1u);
  BOOST_TEST(Sum.counts[0]->nodes == 2u);
  BOOST_REQUIRE(Sum.refusals.size() == 1u);
  BOOST_TEST(Sum.refusals[0]->sample_node == "child");
  BOOST_TEST(Root.report(Now + Millis(2000)).heard == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
