#include "control/ControlPlane.h"
#include "control/ControlFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const char SeedName[] = "10.0.0.1";
const char SeedAddress[] = "10.0.0.1:7000";

/// A node and its configured seed, with one link that the test opens and
/// closes. Index 0 is the seed, 1 the node.
struct SeededNode {
  explicit SeededNode(const std::string &SeedKey,
                      Millis PeerWaitTime = Millis(0))
      : PeerWaitTime(PeerWaitTime) {
    this->Seed = this->make(0, SeedName, {{"10.0.0.9", "10.0.0.9:7000"}});
    this->Node = this->make(1, "10.0.0.2", {{SeedKey, SeedAddress}});
  }

  std::unique_ptr<ControlPlane> make(int Index, const std::string &Name,
                                     std::map<std::string, std::string> Seeds) {
    ControlPlane::Options Opts;
    Opts.Self = Opts.Members.Self = Name;
    Opts.DataCentre = Opts.Members.DataCentre = "north";
    Opts.DataCentres = {"north", "south"};
    Opts.Seeds = std::move(Seeds);
    Opts.PeerWaitTime = this->PeerWaitTime;
    ControlPlane::Hooks Hooks;
    Hooks.Dial = [this, Index](const std::string &Peer,
                               const std::string &Address) {
      if (Index == 0)
        return;
      this->Dialled.push_back(Peer);
      BOOST_TEST(Address == SeedAddress);
    };
    Hooks.Send = [this, Index](LinkId, std::string Bytes) {
      this->Frames.emplace_back(1 - Index, std::move(Bytes));
    };
    Hooks.Close = [](LinkId) {};
    SourceFactory Make = [this, Index](const SourceHooks &Given) {
      if (Index == 0)
        this->Publish = Given.Publish;
      return std::make_unique<UnresponsiveSource>(&this->Duties[Index]);
    };
    return std::make_unique<ControlPlane>(Opts, Make, Hooks);
  }

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Millis(100)) {
      this->Seed->tick(this->Now);
      this->Node->tick(this->Now);
      if (!this->Linked && !this->Dialled.empty())
        this->connect();
      this->deliverFrames();
    }
  }

  void connect() {
    this->Linked = true;
    ++this->LastLink;
    this->Seed->linkOpened(this->LastLink, "", this->Now);
    this->Node->linkOpened(this->LastLink, this->Dialled.back(), this->Now);
    this->Dialled.clear();
  }

  void deliverFrames() {
    while (!this->Frames.empty()) {
      auto [To, Bytes] = std::move(this->Frames.front());
      this->Frames.pop_front();
      ControlPlane &Receiver = To == 0 ? *this->Seed : *this->Node;
      Receiver.receiveFrame(this->LastLink, Bytes, this->Now);
    }
  }

  void disconnect() {
    this->Linked = false;
    this->Seed->linkClosed(this->LastLink, this->Now);
    this->Node->linkClosed(this->LastLink, this->Now);
  }

  uint64_t activeVersion() const {
    return this->Node->config() ? this->Node->config()->stamp().Version : 0;
  }

  Millis PeerWaitTime;
  ReadDuty Duties[2] = {ReadDuty::None, ReadDuty::None};
  std::unique_ptr<ControlPlane> Seed;
  std::unique_ptr<ControlPlane> Node;
  std::function<void(const std::string &, DocumentPtr, TimePoint)> Publish;
  std::vector<std::string> Dialled;
  std::deque<std::pair<int, std::string>> Frames;
  bool Linked = false;
  LinkId LastLink = 0;
  TimePoint Now = TimePoint(std::chrono::hours(1));
};

/// A node of a larger fleet that is neither a reader nor the root of the tree,
/// and its parent.
struct ChildNode {
  static constexpr LinkId Link = 7;

  explicit ChildNode(Millis PeerWaitTime = Millis(0))
      : PeerWaitTime(PeerWaitTime) {
    for (size_t I = 0; I < FleetSize && this->Self.empty(); ++I) {
      Membership View(
          membershipOptions("n-" + std::to_string(I), /*SpareReaders=*/1));
      View.update("north", *makeInstanceList(FleetSize));
      if (View.isReader() || !View.parent())
        continue;
      this->Self = "n-" + std::to_string(I);
      this->Parent = View.parent()->Name;
    }
    BOOST_REQUIRE(!this->Self.empty());
    this->Node = this->make(this->Self, &this->Duty);
    this->ParentNode = this->make(this->Parent, nullptr);
    this->Publish(listTopic("north"), makeInstanceList(FleetSize), this->Now);
    this->Publish(ConfigTopic, makeVersion(1), this->Now);
  }

  std::unique_ptr<ControlPlane> make(const std::string &Name,
                                     ReadDuty *LastDuty) {
    ControlPlane::Options Opts;
    Opts.Self = Name;
    Opts.DataCentre = "north";
    Opts.DataCentres = {"north"};
    Opts.Members = membershipOptions(Name, /*SpareReaders=*/1);
    Opts.PeerWaitTime = this->PeerWaitTime;
    Opts.LostParentReadDelay = Millis(300);
    ControlPlane::Hooks Hooks;
    Hooks.Dial = [](const std::string &, const std::string &) {};
    Hooks.Send = [this, LastDuty](LinkId, std::string Bytes) {
      this->Frames.emplace_back(LastDuty ? 0 : 1, std::move(Bytes));
    };
    Hooks.Close = [](LinkId) {};
    return std::make_unique<ControlPlane>(
        Opts,
        [this, LastDuty](const SourceHooks &Given) {
          if (LastDuty)
            this->Publish = Given.Publish;
          return std::make_unique<UnresponsiveSource>(LastDuty);
        },
        Hooks);
  }

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Millis(100)) {
      this->Node->tick(this->Now);
      while (!this->Frames.empty()) {
        auto [From, Bytes] = std::move(this->Frames.front());
        this->Frames.pop_front();
        (From == 0 ? *this->ParentNode : *this->Node)
            .receiveFrame(Link, Bytes, this->Now);
      }
    }
  }

  void link() {
    this->ParentNode->linkOpened(Link, "", this->Now);
    this->Node->linkOpened(Link, this->Parent, this->Now);
  }

  static constexpr size_t FleetSize = 12;
  Millis PeerWaitTime;
  std::string Self;
  std::string Parent;
  ReadDuty Duty = ReadDuty::None;
  std::unique_ptr<ControlPlane> Node;
  std::unique_ptr<ControlPlane> ParentNode;
  std::function<void(const std::string &, DocumentPtr, TimePoint)> Publish;
  std::deque<std::pair<int, std::string>> Frames;
  TimePoint Now = TimePoint(std::chrono::hours(1));
};

} // namespace

BOOST_AUTO_TEST_SUITE(ControlPlaneTests)

// A node receives versions from its parent and loses the link to it. Guards
// against a node that keeps serving an outdated version although it can reach
// the platform: it must read the platform itself. It must also continue to read
// for some time after it has a parent link again, as a slow parent accepts new
// links but forwards versions seconds late.
BOOST_FIXTURE_TEST_CASE(NodeReadsAfterLosingItsParent, ChildNode) {
  this->run(Millis(100));
  this->link();
  this->run(Millis(1000));
  BOOST_TEST((this->Duty == ReadDuty::None));
  this->Node->linkClosed(Link, this->Now);
  this->run(Millis(500));
  BOOST_TEST((this->Duty == ReadDuty::Watch));
  this->ParentNode->linkClosed(Link, this->Now);
  this->link();
  this->run(Millis(300));
  BOOST_TEST((this->Duty == ReadDuty::Spare));
  this->run(Millis(3000));
  BOOST_TEST((this->Duty == ReadDuty::Spare));
  this->run(Millis(1000));
  BOOST_TEST((this->Duty == ReadDuty::None));
}

// Guards against a platform that gets several calls for each node that starts:
// a parent that is busy accepts the first link late, and that alone does not
// make it a slow one.
BOOST_AUTO_TEST_CASE(StartingNodeWaitsForItsFirstParentLink) {
  ChildNode Test(/*PeerWaitTime=*/Millis(800));
  Test.run(Millis(700));
  BOOST_TEST((Test.Duty == ReadDuty::None));
  Test.run(Millis(500));
  BOOST_TEST((Test.Duty == ReadDuty::Watch));
  Test.link();
  Test.run(Millis(300));
  BOOST_TEST((Test.Duty == ReadDuty::None));
  Test.Node->linkClosed(ChildNode::Link, Test.Now);
  Test.run(Millis(500));
  BOOST_TEST((Test.Duty == ReadDuty::Watch));
}

/// A node with this many instances on its list in each second after its start,
/// of a fleet in which every node reads if there are up to five.
struct FillRow {
  const char *Name;
  std::vector<size_t> Listed;
  bool Reads;
};
std::ostream &operator<<(std::ostream &To, const FillRow &Row) {
  return To << Row.Name;
}

const FillRow FillRows[] = {
    {"list of a large fleet fills", {3, 12, 12, 12}, false},
    {"small fleet", {3, 3, 3, 3}, true},
};

// Guards against a large fleet whose nodes all read the platform in the first
// second, because a list that is still being filled looks like a small one.
BOOST_DATA_TEST_CASE(FillingListDoesNotMakeAllNodesRead, data::make(FillRows),
                     Row) {
  ReadDuty Duty = ReadDuty::None;
  std::function<void(const std::string &, DocumentPtr, TimePoint)> Publish;
  ControlPlane::Options Opts;
  // Ranks behind the readers of each list.
  Opts.Self = "not-listed";
  Opts.DataCentre = "north";
  Opts.DataCentres = {"north"};
  Opts.Members = membershipOptions(Opts.Self, /*SpareReaders=*/1);
  Opts.Members.AllReadUpTo = 5;
  Opts.PeerWaitTime = Millis(0);
  ControlPlane::Hooks Hooks;
  Hooks.Dial = [](const std::string &, const std::string &) {};
  ControlPlane Node(
      Opts,
      [&](const SourceHooks &Given) {
        Publish = Given.Publish;
        return std::make_unique<UnresponsiveSource>(&Duty);
      },
      Hooks);
  TimePoint Now(std::chrono::hours(1));
  Publish(ConfigTopic, makeVersion(1), Now);
  bool HasRead = false;
  for (size_t Second = 0; Second < Row.Listed.size(); ++Second) {
    std::vector<std::string> Names;
    for (size_t I = 0; I < Row.Listed[Second]; ++I)
      Names.push_back("n-" + std::to_string(I));
    Publish(listTopic("north"), makeInstanceList(Names, Second + 1), Now);
    for (int Tick = 0; Tick < 10; ++Tick, Now += Millis(100)) {
      Node.tick(Now);
      HasRead |= Duty == ReadDuty::Watch;
    }
  }
  BOOST_TEST(HasRead == Row.Reads);
}

// Each new version is unconfirmed for a moment. Guards against a node next in
// the order of readers that treats a new version as an old one: it would read
// the platform at each version although the readers work.
BOOST_FIXTURE_TEST_CASE(NewVersionIsNotMistakenForAnOldOne, ChildNode) {
  this->run(Millis(100));
  this->link();
  for (int I = 0; I < 600; ++I) {
    this->ParentNode->tick(this->Now);
    this->run(Millis(100));
  }
  BOOST_TEST((this->Duty == ReadDuty::Watch));
  this->Publish(ConfigTopic, makeVersion(2), this->Now);
  this->run(Millis(200));
  BOOST_TEST((this->Duty == ReadDuty::None));
}

// Guards against a node that cannot start during an outage of the platform: it
// refuses its callers until it has a configuration, and only a seed can send
// one. The settings may give the seed's name, or its address alone. Later
// versions must still arrive after the link to the seed has broken once.
BOOST_DATA_TEST_CASE(NodeStartsFromASeedDuringAPlatformOutage,
                     data::make({SeedName, SeedAddress}), Key) {
  SeededNode Pair(Key);
  Pair.run(Millis(500));
  Pair.Publish(ConfigTopic, makeVersion(1), Pair.Now);
  Pair.run(Millis(500));
  BOOST_TEST(Pair.activeVersion() == 1u);
  Pair.disconnect();
  Pair.run(Millis(2000));
  Pair.Publish(ConfigTopic, makeVersion(2), Pair.Now);
  Pair.run(Millis(500));
  BOOST_TEST(Pair.activeVersion() == 2u);
}

// All nodes of a fleet start at once after a power failure. Guards against all
// of them reading the platform (hundreds of nodes would read hundreds of
// entries each), and against all of them waiting for each other, which refuses
// callers until they time out. The node that others use as their seed reads,
// and sends them the list.
BOOST_AUTO_TEST_CASE(SeedReadsForTheNodesThatUseIt) {
  SeededNode Pair(SeedAddress, Millis(800));
  Pair.run(Millis(300));
  BOOST_TEST((Pair.Duties[0] == ReadDuty::ListForOthers));
  BOOST_TEST((Pair.Duties[1] == ReadDuty::None));
  Pair.Publish(listTopic("north"), makeInstanceList(1), Pair.Now);
  Pair.run(Millis(100));
  BOOST_TEST(Pair.Node->members().size() == 1u);
}

// The upstreams of a starting fleet are listed one after the other, those of
// another data centre first. A node whose local list is still empty has no
// neighbours, and must stay linked to its seed instead of reading. With
// hundreds of nodes that each watched the platform meanwhile, most of a day's
// platform calls were made in one second.
BOOST_AUTO_TEST_CASE(NodeStaysOnItsSeedWhileItsDataCentreIsEmpty) {
  SeededNode Pair(SeedAddress, Millis(800));
  Pair.run(Millis(200));
  Pair.Publish(listTopic("north"), Document::make(1, 1, {}), Pair.Now);
  Pair.Publish(listTopic("south"), makeInstanceList(3, "south"), Pair.Now);
  Pair.Publish(ConfigTopic, makeVersion(1), Pair.Now);
  Pair.run(Millis(3000));
  BOOST_TEST(Pair.activeVersion() == 1u);
  BOOST_TEST(Pair.Node->members().size() == 3u);
  BOOST_TEST((Pair.Duties[1] == ReadDuty::None));
  BOOST_TEST(Pair.Node->peerNames().size() == 1u);
}

// Guards against a starting node that waits forever for a seed which answers
// but cannot reach the platform.
BOOST_AUTO_TEST_CASE(NodeReadsIfItsSeedHasNoList) {
  SeededNode Pair(SeedAddress, Millis(800));
  Pair.run(Millis(700));
  BOOST_TEST((Pair.Duties[1] == ReadDuty::None));
  Pair.run(Millis(300));
  BOOST_TEST((Pair.Duties[1] == ReadDuty::List));
}

// Guards against counting a restore once for each reader that reports it.
BOOST_AUTO_TEST_CASE(RestoresAreCountedOnce) {
  ReadDuty Duty = ReadDuty::None;
  SourceHooks Source;
  ControlPlane Node(
      ControlPlane::Options(),
      [&](const SourceHooks &Given) {
        Source = Given;
        return std::make_unique<UnresponsiveSource>(&Duty);
      },
      ControlPlane::Hooks());
  TimePoint Now(std::chrono::hours(1));
  Source.Restored(5, 6, Now);
  Source.Restored(6, 7, Now);
  Source.Restored(5, 6, Now);
  Source.Restored(6, 7, Now);
  BOOST_TEST(Node.platformRestores() == 2u);
  BOOST_TEST(Node.audit().events().size() == 2u);
  BOOST_TEST(Node.audit().events().back().What == "platform-restored");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
