#include "control/ControlFixture.h"
#include "control/FleetFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

namespace hickorylift {

namespace {

namespace bdata = boost::unit_test::data;

/// How late a version may be in force at a node that can be reached.
constexpr Millis MaxVersionDelay{2500};

/// The root of data centre "north", with a link to a node of "south", which is
/// its seed as well.
struct RootFixture {
  static constexpr LinkId BridgeLink = 7;
  static constexpr LinkId SeedLink = 8;

  RootFixture() {
    for (int I = 0; I < 6; ++I)
      this->Names.push_back("n-" + std::to_string(I));
    Membership View(membershipOptions("n-0", /*SpareReaders=*/0));
    View.update("north", *makeInstanceList(this->Names, 1));
    this->Self = View.root("north")->Name;
    ControlPlane::Options Opts;
    Opts.Self = this->Self;
    Opts.DataCentre = "north";
    Opts.DataCentres = {"north", "south"};
    Opts.Members = membershipOptions(this->Self, /*SpareReaders=*/0);
    Opts.LostParentReadDelay = Millis(300);
    Opts.Seeds = {{"s-1", "10.0.0.2:7000"}};
    ControlPlane::Hooks Hooks;
    Hooks.Dial = [this](const std::string &Peer, const std::string &) {
      this->Dialled.insert(Peer);
    };
    Hooks.Send = [](LinkId, const std::string &) {};
    Hooks.Close = [this](LinkId Link) { this->Closed.insert(Link); };
    this->Node = std::make_unique<ControlPlane>(
        Opts,
        [this](const SourceHooks &Given) {
          this->Publish = Given.Publish;
          return std::make_unique<UnresponsiveSource>(&this->Duty);
        },
        Hooks);
    this->list(this->Names);
    this->Publish(listTopic("south"),
                  makeInstanceList({"s-0"}, /*Revision=*/1, "south"),
                  this->Now);
    this->Publish(ConfigTopic, makeVersion(1), this->Now);
    this->run(Millis(3000));
    this->open(BridgeLink, "s-0");
    this->run(Millis(500));
    BOOST_REQUIRE((this->Duty == ReadDuty::Watch));
    BOOST_REQUIRE(this->Closed.count(BridgeLink) == 0u);
  }

  void list(const std::vector<std::string> &Listed) {
    this->Publish(listTopic("north"),
                  makeInstanceList(Listed, ++this->ListRevision), this->Now);
  }

  void open(LinkId Link, const std::string &Peer) {
    this->Node->linkOpened(Link, Peer, this->Now);
    wire::HelloT Hello;
    Hello.node = Peer;
    Hello.data_centre = "south";
    wire::SpreadFrameT Frame;
    Frame.payload.Set(std::move(Hello));
    this->Node->receiveFrame(Link, encodeFrame(Frame), this->Now);
  }

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Millis(100))
      this->Node->tick(this->Now);
  }

  std::vector<std::string> Names;
  std::string Self;
  std::unique_ptr<ControlPlane> Node;
  std::function<void(const std::string &, DocumentPtr, TimePoint)> Publish;
  ReadDuty Duty = ReadDuty::None;
  std::set<std::string> Dialled;
  std::set<LinkId> Closed;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  uint64_t ListRevision = 0;
};

struct CutOffCase {
  const char *Name;
  uint64_t Seed;
  /// Share of the nodes of all data centres that restart just before the cut.
  int RestartedPercent;
  /// Share of the nodes of the data centre that lose power during the cut, and
  /// at its end.
  int LostDuringCut;
  int LostAtEnd;
};

std::ostream &operator<<(std::ostream &Out, const CutOffCase &Case) {
  return Out << Case.Name << ", seed " << Case.Seed;
}

const CutOffCase CutOffCases[] = {
    {"all nodes stay", 1, 0, 0, 0},
    {"two thirds restart before the cut", 1, 67, 0, 0},
    {"a quarter is lost during the cut", 74, 0, 25, 0},
    {"nearly a third is lost at the end", 10, 0, 0, 30},
    {"nearly a third is lost at the end", 48, 0, 0, 30},
    {"many restart, nearly a third is lost at the end", 10, 67, 0, 30},
    {"many restart, nearly a third is lost at the end", 52, 67, 0, 30},
    {"many restart, nearly a third is lost at the end", 53, 67, 0, 30},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ExpiredLists)

// Guards against a data centre that loses its links to the others, and its
// reader, as soon as it hears that its entries expired while it was cut off.
BOOST_FIXTURE_TEST_CASE(RootKeepsBridgesAndDutyUntilListedAgain, RootFixture) {
  this->list({});
  this->run(Millis(300));
  BOOST_TEST(this->Closed.count(BridgeLink) == 0u);
  if (this->Dialled.count("s-1"))
    this->open(SeedLink, "s-1");
  std::vector<std::string> Renewed;
  for (const std::string &Name : this->Names) {
    if (Name == this->Self)
      continue;
    Renewed.push_back(Name);
    this->list(Renewed);
    this->run(Millis(200));
    BOOST_TEST((this->Duty == ReadDuty::Watch));
    BOOST_TEST(this->Closed.count(BridgeLink) == 0u);
  }
  this->list(this->Names);
  this->run(Millis(4000));
  BOOST_TEST((this->Duty == ReadDuty::Watch));
  BOOST_TEST(this->Closed.count(BridgeLink) == 0u);
}

// Guards against closing the links to another data centre that was cut off,
// which come back only after its instances have been listed again.
BOOST_FIXTURE_TEST_CASE(BridgesOutliveTheOtherEndsEntries, RootFixture) {
  this->Publish(listTopic("south"), makeInstanceList({}, 2, "south"),
                this->Now);
  this->run(Millis(3000));
  BOOST_TEST(this->Closed.count(BridgeLink) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CutOffDataCentres)

// Guards against nodes that have a version late after their data centre was cut
// off: their entries have expired, nodes above them may be gone, and a reader
// takes 2 s to transfer the configuration.
BOOST_DATA_TEST_CASE(VersionsAreInForceInTimeAfterTheCut,
                     bdata::make(CutOffCases), Case) {
  FleetFixture::Options Opts;
  Opts.PerDataCentre = 24;
  Opts.TransferTime["east"] = Millis(2000);
  Opts.TransferTime["north"] = Opts.TransferTime["south"] = Millis(100);
  FleetFixture Fleet(Opts, Case.Seed);
  Fleet.publish(1);
  Fleet.run(Millis(8000));
  Fleet.restart(Case.RestartedPercent, Millis(1800));
  Fleet.cut("east");
  Fleet.run(Millis(1500));
  Fleet.publish(2);
  Fleet.run(Millis(1500));
  Fleet.losePower(Case.LostDuringCut, "east");
  Fleet.run(Millis(2300));
  Fleet.losePower(Case.LostAtEnd, "east");
  Fleet.publish(3);
  Fleet.heal("east");
  Millis Delay = Fleet.timeUntilInForce(3, "east", 2 * MaxVersionDelay);
  BOOST_TEST(Delay.count() <= MaxVersionDelay.count());
  for (uint64_t Version = 4; Version < 12; ++Version) {
    Fleet.run(Millis(300));
    Fleet.publish(Version);
    Delay = Fleet.timeUntilInForce(Version, "east", 2 * MaxVersionDelay);
    BOOST_TEST(Delay.count() <= MaxVersionDelay.count());
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
