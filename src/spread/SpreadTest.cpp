#include "spread/FleetView.h"
#include "spread/Spreader.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace hickorylift {

namespace {

DocumentPtr documentOf(uint64_t Version, size_t Entries, size_t Bytes) {
  EntryMap All;
  for (size_t I = 0; I < Entries; ++I) {
    std::string Name = "e" + std::to_string(I);
    All[Name] = makeEntry(
        Name, std::string(Bytes, static_cast<char>('a' + (I + Version) % 26)));
  }
  return Document::make(Version, Version, All);
}

/// Two neighbours whose frames are handed over by turns.
struct PairOfNodes {
  struct Sent {
    int To;
    wire::SpreadFrameT Frame;
  };

  explicit PairOfNodes(Spreader::Options Opts) {
    for (int I = 0; I < 2; ++I) {
      Spreader::Hooks Hooks;
      Hooks.Send = [this, I](LinkId, wire::SpreadFrameT Frame) {
        ++this->Frames[I];
        this->Queue.push_back({1 - I, std::move(Frame)});
      };
      Hooks.Accept = [this, I](const Spreader::ReceivedDocument &, TimePoint) {
        return this->Accepts[I];
      };
      Hooks.CloseDeadLink = [this, I](LinkId, const Error &) {
        ++this->Condemned[I];
      };
      this->Nodes[I] = std::make_unique<Spreader>(Opts, Hooks, 1 + I);
    }
  }

  void link() {
    for (auto &One : this->Nodes)
      One->linkUp(1, "peer", true, this->Now);
  }

  void settle() {
    while (!this->Queue.empty()) {
      Sent Next = std::move(this->Queue.front());
      this->Queue.pop_front();
      this->Nodes[Next.To]->receive(1, Next.Frame, this->Now);
    }
  }

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Millis(50)) {
      for (auto &One : this->Nodes)
        One->tick(this->Now);
      this->settle();
    }
  }

  std::unique_ptr<Spreader> Nodes[2];
  std::deque<Sent> Queue;
  bool Accepts[2] = {true, true};
  int Condemned[2] = {0, 0};
  int Frames[2] = {0, 0};
  TimePoint Now = TimePoint(std::chrono::hours(1));
};

} // namespace

BOOST_AUTO_TEST_SUITE(Spread)

BOOST_AUTO_TEST_CASE(SnapshotThenDelta) {
  Spreader::Options Opts;
  Opts.MaxPartBytes = 1000; // many pieces
  Opts.MinCompressBytes = 1u << 30;
  PairOfNodes Both(Opts);
  Both.Nodes[0]->publish("config", documentOf(1, 50, 300), Both.Now);
  Both.link();
  Both.run(Millis(500));
  BOOST_REQUIRE(Both.Nodes[1]->storedDocument("config"));
  BOOST_TEST(Both.Nodes[1]->storedDocument("config")->stamp().Version == 1u);
  uint64_t Before = Both.Nodes[0]->counters().Snapshots;
  Both.Nodes[0]->publish("config", documentOf(2, 50, 300), Both.Now);
  Both.settle();
  BOOST_TEST(Both.Nodes[1]->storedDocument("config")->stamp().Version == 2u);
  BOOST_TEST(Both.Nodes[0]->counters().Snapshots == Before);
}

// A node that takes over reading goes on from what its neighbours have told. If
// it did so while one of their documents is still on its way, that change would
// never be read, and callers would be sent to an upstream that is gone.
BOOST_AUTO_TEST_CASE(CompleteIsWhoHoldsAllThatWasTold) {
  PairOfNodes Both{Spreader::Options()};
  Both.Nodes[0]->publish("config", documentOf(3, 2, 9), Both.Now);
  Both.Nodes[0]->publish("list", documentOf(4, 2, 9), Both.Now);
  Both.Nodes[0]->markComplete(9);
  Both.link();
  // The other end has heard of both, and has neither.
  while (!Both.Queue.empty()) {
    Both.Queue.front().Frame.payload.AsPart()
        ? void()
        : Both.Nodes[Both.Queue.front().To]->receive(
              1, Both.Queue.front().Frame, Both.Now);
    Both.Queue.pop_front();
  }
  BOOST_TEST(Both.Nodes[1]->completeRevision() == 0u);
  Both.Nodes[1]->markComplete(20);
  BOOST_TEST(Both.Nodes[1]->completeRevision() == 0u);
  Both.run(Millis(5000));
  BOOST_TEST(Both.Nodes[1]->completeRevision() == 9u);
}

BOOST_AUTO_TEST_CASE(OlderIsNeitherTakenNorPublished) {
  PairOfNodes Both{Spreader::Options()};
  Both.Nodes[0]->publish("config", documentOf(3, 2, 9), Both.Now);
  BOOST_TEST(!Both.Nodes[0]->publish("config", documentOf(2, 2, 9), Both.Now));
  Both.Nodes[1]->publish("config", documentOf(1, 2, 9), Both.Now);
  Both.link();
  Both.run(Millis(500));
  BOOST_TEST(Both.Nodes[0]->storedDocument("config")->stamp().Version == 3u);
  BOOST_TEST(Both.Nodes[1]->storedDocument("config")->stamp().Version == 3u);
}

// One end's process dies without closing anything. Its neighbour would go on
// sending into nothing for as long as TCP tries; it condemns the link instead.
BOOST_AUTO_TEST_CASE(SilentLinkIsCondemned) {
  PairOfNodes Both{Spreader::Options()};
  Both.link();
  Both.settle();
  for (int I = 0; I < 200; ++I) {
    Both.Now += Millis(50);
    Both.Nodes[0]->tick(Both.Now);
    Both.Queue.clear();
  }
  BOOST_TEST(Both.Condemned[0] > 0);
}

// A herd of empty nodes asks one neighbour for everything. It answers within
// its budget and puts the rest off; nobody is left without in the end. A short
// list, by which those who start find others to ask, does not wait behind that.
BOOST_AUTO_TEST_CASE(SnapshotsAreHandedOutWithinABudget) {
  Spreader::Options Opts;
  Opts.SnapshotBytesPerSecond = 100000;
  Opts.SnapshotBurstBytes = 100000;
  PairOfNodes Both(Opts);
  Both.Nodes[0]->publish("big", documentOf(1, 10, 30000), Both.Now);
  Both.Nodes[0]->publish("config", documentOf(1, 10, 30000), Both.Now);
  Both.Nodes[0]->publish("a-list", documentOf(1, 10, 3000), Both.Now);
  Both.link();
  Both.run(Millis(500));
  bool First = Both.Nodes[1]->storedDocument("big") != nullptr;
  bool Second = Both.Nodes[1]->storedDocument("config") != nullptr;
  BOOST_TEST(First != Second);
  BOOST_TEST(Both.Nodes[1]->storedDocument("a-list"));
  Both.run(Millis(10000));
  BOOST_TEST(Both.Nodes[1]->storedDocument("big"));
  BOOST_TEST(Both.Nodes[1]->storedDocument("config"));
}

BOOST_AUTO_TEST_CASE(AgeIsNeverYoungerThanTheTruth) {
  PairOfNodes Both{Spreader::Options()};
  Both.Nodes[0]->publish("config", documentOf(1, 1, 1), Both.Now);
  TimePoint Asked = Both.Now;
  Both.Nodes[0]->confirm("config", 1, 1, Asked);
  Both.link();
  Both.run(Millis(20000));
  std::optional<Millis> Age = Both.Nodes[1]->age("config", Both.Now);
  BOOST_REQUIRE(Age.has_value());
  BOOST_TEST(Age->count() >= toMillis(Both.Now - Asked).count());
  BOOST_TEST(Age->count() <= toMillis(Both.Now - Asked).count() + 5000);
}

// A heartbeat lies in the socket of a process that stands still. Counted from
// its arrival, the list would look as young as it was a minute ago, and a gate
// would judge keys that are no longer its own. Without the echo it does.
BOOST_AUTO_TEST_CASE(AgeSurvivesAPause) {
  for (bool Echoed : {true, false}) {
    Spreader::Options Opts;
    Opts.Guards.EchoedAges = Echoed;
    PairOfNodes Both(Opts);
    Both.Nodes[0]->publish("config", documentOf(1, 1, 1), Both.Now);
    Both.link();
    Both.run(Millis(5000));
    Both.Nodes[0]->confirm("config", 1, 1, Both.Now);
    TimePoint Asked = Both.Now;
    for (int I = 0; I < 60; ++I) { // node 1 stands still; frames wait
      Both.Now += Millis(50);
      Both.Nodes[0]->tick(Both.Now);
    }
    Both.Now += std::chrono::minutes(1);
    Both.settle();
    std::optional<Millis> Age = Both.Nodes[1]->age("config", Both.Now);
    bool True = !Age || Age->count() >= toMillis(Both.Now - Asked).count();
    BOOST_TEST(True == Echoed);
  }
}

BOOST_AUTO_TEST_CASE(PackedChangesComeBack) {
  for (size_t CompressFrom : {size_t(0), size_t(1) << 30}) {
    ChangeSet Changes{
        {"a", std::make_shared<const std::string>(std::string(5000, 'x'))},
        {"empty", std::make_shared<const std::string>()},
        {"gone", nullptr}};
    uint32_t RawSize = 0;
    std::string Packed = packChanges(Changes, CompressFrom, RawSize);
    Result<ChangeSet> Read = unpackChanges(Packed, RawSize, 1 << 20);
    BOOST_REQUIRE(static_cast<bool>(Read));
    BOOST_TEST(Read->size() == 3u);
    BOOST_TEST(*(*Read)[0].Bytes == *Changes[0].Bytes);
    BOOST_TEST((*Read)[1].Bytes->empty());
    BOOST_TEST(!(*Read)[2].Bytes);
  }
  BOOST_TEST(!unpackChanges("x", 1u << 30, 1 << 20));
}

// Bytes from a peer that speaks rubbish: refused or read, never a crash. The
// seeds are fixed; half of the inputs are good frames with bytes changed.
BOOST_AUTO_TEST_CASE(DecoderSurvivesRubbish) {
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

BOOST_AUTO_TEST_CASE(FleetCountsGoUpAndOldOnesDrop) {
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
