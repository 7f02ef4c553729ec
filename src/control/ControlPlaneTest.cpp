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

/// One node and the seed that it is told of, joined by links that the test
/// makes and cuts.
struct SeededNode {
  explicit SeededNode(const std::string &SeedKey, Millis PeersFirst = Millis(0))
      : PeersFirst(PeersFirst) {
    this->Seed = this->make(0, SeedName, {{"10.0.0.9", "10.0.0.9:7000"}});
    this->Node = this->make(1, "10.0.0.2", {{SeedKey, SeedAddress}});
  }

  std::unique_ptr<ControlPlane> make(int Which, const std::string &Name,
                                     std::map<std::string, std::string> Seeds) {
    ControlPlane::Options Opts;
    Opts.Self = Opts.Members.Self = Name;
    Opts.DataCentre = Opts.Members.DataCentre = "north";
    Opts.DataCentres = {"north", "south"};
    Opts.Seeds = std::move(Seeds);
    Opts.PeersFirst = this->PeersFirst;
    ControlPlane::Hooks Hooks;
    Hooks.Dial = [this, Which](const std::string &Peer,
                               const std::string &Address) {
      if (Which == 0)
        return;
      this->Dialled.push_back(Peer);
      BOOST_TEST(Address == SeedAddress);
    };
    Hooks.Send = [this, Which](LinkId, std::string Bytes) {
      this->Frames.emplace_back(1 - Which, std::move(Bytes));
    };
    Hooks.Close = [](LinkId) {};
    SourceFactory Make = [this, Which](const SourceHooks &Given) {
      if (Which == 0)
        this->Publish = Given.Publish;
      return std::make_unique<SilentSource>(&this->Wanted[Which]);
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
      this->settle();
    }
  }

  void connect() {
    this->Linked = true;
    ++this->Links;
    this->Seed->linkOpened(this->Links, "", this->Now);
    this->Node->linkOpened(this->Links, this->Dialled.back(), this->Now);
    this->Dialled.clear();
  }

  void settle() {
    while (!this->Frames.empty()) {
      auto [To, Bytes] = std::move(this->Frames.front());
      this->Frames.pop_front();
      ControlPlane &At = To == 0 ? *this->Seed : *this->Node;
      At.frame(this->Links, Bytes, this->Now);
    }
  }

  void cut() {
    this->Linked = false;
    this->Seed->linkClosed(this->Links, this->Now);
    this->Node->linkClosed(this->Links, this->Now);
  }

  uint64_t inForce() const {
    return this->Node->config() ? this->Node->config()->stamp().Version : 0;
  }

  Millis PeersFirst;
  ReadDuty Wanted[2] = {ReadDuty::None, ReadDuty::None};
  std::unique_ptr<ControlPlane> Seed;
  std::unique_ptr<ControlPlane> Node;
  std::function<void(const std::string &, DocumentPtr, TimePoint)> Publish;
  std::vector<std::string> Dialled;
  std::deque<std::pair<int, std::string>> Frames;
  bool Linked = false;
  LinkId Links = 0;
  TimePoint Now = TimePoint(std::chrono::hours(1));
};

/// A node of a larger fleet that neither reads nor stands at the root of the
/// tree, and its parent.
struct ChildNode {
  static constexpr LinkId Link = 7;

  ChildNode() {
    for (size_t I = 0; I < FleetSize && this->Self.empty(); ++I) {
      Membership Seen(
          fleetOptions("n-" + std::to_string(I), /*SpareReaders=*/1));
      Seen.update("north", *listOf(FleetSize));
      if (Seen.isReader() || !Seen.parent())
        continue;
      this->Self = "n-" + std::to_string(I);
      this->Parent = Seen.parent()->Name;
    }
    BOOST_REQUIRE(!this->Self.empty());
    this->Node = this->make(this->Self, &this->Wanted);
    this->Above = this->make(this->Parent, nullptr);
    this->Publish(listTopic("north"), listOf(FleetSize), this->Now);
    this->Publish(ConfigTopic, versionOf(1), this->Now);
  }

  std::unique_ptr<ControlPlane> make(const std::string &Name,
                                     ReadDuty *Wanted) {
    ControlPlane::Options Opts;
    Opts.Self = Name;
    Opts.DataCentre = "north";
    Opts.DataCentres = {"north"};
    Opts.Members = fleetOptions(Name, /*SpareReaders=*/1);
    Opts.PeersFirst = Millis(0);
    Opts.OrphanReadsAfter = Millis(300);
    ControlPlane::Hooks Hooks;
    Hooks.Dial = [](const std::string &, const std::string &) {};
    Hooks.Send = [this, Wanted](LinkId, std::string Bytes) {
      this->Frames.emplace_back(Wanted ? 0 : 1, std::move(Bytes));
    };
    Hooks.Close = [](LinkId) {};
    return std::make_unique<ControlPlane>(
        Opts,
        [this, Wanted](const SourceHooks &Given) {
          if (Wanted)
            this->Publish = Given.Publish;
          return std::make_unique<SilentSource>(Wanted);
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
        (From == 0 ? *this->Above : *this->Node).frame(Link, Bytes, this->Now);
      }
    }
  }

  void link() {
    this->Above->linkOpened(Link, "", this->Now);
    this->Node->linkOpened(Link, this->Parent, this->Now);
  }

  static constexpr size_t FleetSize = 12;
  std::string Self;
  std::string Parent;
  ReadDuty Wanted = ReadDuty::None;
  std::unique_ptr<ControlPlane> Node;
  std::unique_ptr<ControlPlane> Above;
  std::function<void(const std::string &, DocumentPtr, TimePoint)> Publish;
  std::deque<std::pair<int, std::string>> Frames;
  TimePoint Now = TimePoint(std::chrono::hours(1));
};

} // namespace

BOOST_AUTO_TEST_SUITE(Controlling)

// Versions come to this node from its parent, and the parent is cut off. The
// node can still reach the platform, and its callers expect the version that
// was accepted: it must read by itself. A parent that is slow has its links
// condemned, and each new one works, but hands versions on seconds late: so the
// node reads on for a while after it has a parent again.
BOOST_FIXTURE_TEST_CASE(NodesWithoutAParentRead, ChildNode) {
  this->run(Millis(100));
  this->link();
  this->run(Millis(1000));
  BOOST_TEST((this->Wanted == ReadDuty::None));
  this->Node->linkClosed(Link, this->Now);
  this->run(Millis(500));
  BOOST_TEST((this->Wanted == ReadDuty::Watch));
  this->Above->linkClosed(Link, this->Now);
  this->link();
  this->run(Millis(300));
  BOOST_TEST((this->Wanted == ReadDuty::Spare));
  this->run(Millis(3000));
  BOOST_TEST((this->Wanted == ReadDuty::Spare));
  this->run(Millis(1000));
  BOOST_TEST((this->Wanted == ReadDuty::None));
}

// Versions come one after the other to a node that is next in line to read.
// Each is unconfirmed for a moment; were it taken for old, the node would turn
// to the platform at every version, beside the readers that are well.
BOOST_FIXTURE_TEST_CASE(NewVersionsAreNotTakenForOldOnes, ChildNode) {
  this->run(Millis(100));
  this->link();
  for (int I = 0; I < 600; ++I) {
    this->Above->tick(this->Now);
    this->run(Millis(100));
  }
  BOOST_TEST((this->Wanted == ReadDuty::Watch));
  this->Publish(ConfigTopic, versionOf(2), this->Now);
  this->run(Millis(200));
  BOOST_TEST((this->Wanted == ReadDuty::None));
}

// Callers of a node that has just started are refused for as long as it knows
// no configuration. The platform is away, so the node can only learn it from a
// seed; the settings may name the seed, or tell its address alone. Its link
// breaks once, and versions that are accepted later must still come.
BOOST_DATA_TEST_CASE(StartsFromASeedWhileThePlatformIsAway,
                     data::make({SeedName, SeedAddress}), Key) {
  SeededNode Pair(Key);
  Pair.run(Millis(500));
  Pair.Publish(ConfigTopic, versionOf(1), Pair.Now);
  Pair.run(Millis(500));
  BOOST_TEST(Pair.inForce() == 1u);
  Pair.cut();
  Pair.run(Millis(2000));
  Pair.Publish(ConfigTopic, versionOf(2), Pair.Now);
  Pair.run(Millis(500));
  BOOST_TEST(Pair.inForce() == 2u);
}

// All nodes of a fleet lose power and start together. Were each to read the
// platform, hundreds of nodes would read hundreds of entries each; were all to
// wait for the others, callers would be refused until their patience ends. So
// the one that the others turn to reads, and they have the list from it.
BOOST_AUTO_TEST_CASE(WhoIsTakenForASeedReadsForTheOthers) {
  SeededNode Pair(SeedAddress, Millis(800));
  Pair.run(Millis(300));
  BOOST_TEST((Pair.Wanted[0] == ReadDuty::ListForOthers));
  BOOST_TEST((Pair.Wanted[1] == ReadDuty::None));
  Pair.Publish(listTopic("north"), listOf(1), Pair.Now);
  Pair.run(Millis(100));
  BOOST_TEST(Pair.Node->members().size() == 1u);
}

// The upstreams of a fleet that starts are listed one after the other, those of
// another data centre first. A node whose own data centre is empty so far has
// no neighbours, and goes on hearing from its seed: with hundreds that each
// watched the platform until then, most of its calls of a day were made in one
// second.
BOOST_AUTO_TEST_CASE(NodesKeepToTheirSeedUntilTheirDataCentreIsListed) {
  SeededNode Pair(SeedAddress, Millis(800));
  Pair.run(Millis(200));
  Pair.Publish(listTopic("north"), Document::make(1, 1, {}), Pair.Now);
  Pair.Publish(listTopic("south"), listOf(3, "south"), Pair.Now);
  Pair.Publish(ConfigTopic, versionOf(1), Pair.Now);
  Pair.run(Millis(3000));
  BOOST_TEST(Pair.inForce() == 1u);
  BOOST_TEST(Pair.Node->members().size() == 3u);
  BOOST_TEST((Pair.Wanted[1] == ReadDuty::None));
  BOOST_TEST(Pair.Node->peers().size() == 1u);
}

// The seed answers, but cannot reach the platform: those who start must not
// wait for it for ever.
BOOST_AUTO_TEST_CASE(WhoHasNothingFromItsSeedReads) {
  SeededNode Pair(SeedAddress, Millis(800));
  Pair.run(Millis(700));
  BOOST_TEST((Pair.Wanted[1] == ReadDuty::None));
  Pair.run(Millis(300));
  BOOST_TEST((Pair.Wanted[1] == ReadDuty::List));
}

// Guards against counting a restore once for each reader that reports it.
BOOST_AUTO_TEST_CASE(RestoresAreCountedOnce) {
  ReadDuty Wanted = ReadDuty::None;
  SourceHooks Source;
  ControlPlane Node(
      ControlPlane::Options(),
      [&](const SourceHooks &Given) {
        Source = Given;
        return std::make_unique<SilentSource>(&Wanted);
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
