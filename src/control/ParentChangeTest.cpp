#include "control/ControlPlane.h"

#include "config/RecordFile.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

namespace hickorylift {

namespace {

class SilentSource : public DocumentSource {
public:
  explicit SilentSource(ReadDuty &Wanted) : Wanted(Wanted) {}
  void tick(TimePoint, ReadDuty Now) override { this->Wanted = Now; }
  uint64_t reads() const override { return 0; }

private:
  ReadDuty &Wanted;
};

DocumentPtr versionOf(uint64_t Number) {
  FaultList Faults;
  std::optional<EntryMap> Records = readRecordFile(
      R"([{"kind": "service", "name": "portal", "schema": 1}])", "f", Faults);
  BOOST_REQUIRE(Records.has_value());
  return Document::make(Number, Number, std::move(*Records));
}

DocumentPtr listOf(const std::vector<std::string> &Names, uint64_t Revision) {
  EntryMap Entries;
  for (const std::string &Name : Names) {
    Instance One;
    One.Name = Name;
    One.DataCentre = "north";
    One.Service = "portal";
    One.Node = "10.0.0.1:7000";
    One.Operator = "10.0.0.1:9000";
    Entries[Name] = makeEntry(Name, writeInstance(One));
  }
  return Document::make(Revision, Revision, std::move(Entries));
}

Membership::Options fleetOptions(const std::string &Self) {
  Membership::Options Out;
  Out.Self = Self;
  Out.DataCentre = "north";
  Out.Readers = 1;
  Out.SpareReaders = 0;
  return Out;
}

/// The parent of Self in the tree of these instances; empty at the root.
std::string parentOf(const std::string &Self,
                     const std::vector<std::string> &Names) {
  Membership Seen(fleetOptions(Self));
  Seen.update("north", *listOf(Names, 1));
  return Seen.parent() ? Seen.parent()->Name : "";
}

/// A node below the root of a fleet, its parent, and the one that becomes its
/// parent as soon as it is listed.
struct MovedNode {
  static constexpr LinkId OldLink = 7;
  static constexpr LinkId NewLink = 8;
  static constexpr size_t FleetSize = 12;
  static constexpr size_t MostNewcomers = 1000;

  MovedNode() {
    for (size_t I = 0; I < FleetSize; ++I)
      this->Names.push_back("n-" + std::to_string(I));
    for (const std::string &Name : this->Names)
      if (this->Self.empty() && this->isBelowRoot(Name))
        this->Self = Name;
    BOOST_REQUIRE(!this->Self.empty());
    this->OldParent = parentOf(this->Self, this->Names);
    this->chooseNewcomer();
    this->Nodes[0] = this->make(0, this->Self);
    this->Nodes[1] = this->make(1, this->OldParent);
    this->Nodes[2] = this->make(2, this->NewParent);
    this->publish(0, listTopic("north"), listOf(this->Names, 1));
    this->publish(1, ConfigTopic, versionOf(1));
    this->run(Millis(100));
    this->link(OldLink, 1, this->OldParent);
    this->run(Millis(1000));
    BOOST_REQUIRE(this->inForce() == 1u);
  }

  bool isBelowRoot(const std::string &Name) const {
    Membership Seen(fleetOptions(Name));
    Seen.update("north", *listOf(this->Names, 1));
    return !Seen.isReader() && Seen.parent();
  }

  void chooseNewcomer() {
    for (size_t I = 0; I < MostNewcomers && this->NewParent.empty(); ++I) {
      std::vector<std::string> With = this->Names;
      With.push_back("m-" + std::to_string(I));
      if (parentOf(this->Self, With) == With.back())
        this->NewParent = With.back();
    }
    BOOST_REQUIRE(!this->NewParent.empty());
  }

  std::unique_ptr<ControlPlane> make(int Which, const std::string &Name) {
    ControlPlane::Options Opts;
    Opts.Self = Name;
    Opts.DataCentre = "north";
    Opts.DataCentres = {"north"};
    Opts.Members = fleetOptions(Name);
    Opts.PeersFirst = Millis(0);
    Opts.OrphanReadsAfter = Millis(300);
    ControlPlane::Hooks Hooks;
    Hooks.Dial = [](const std::string &, const std::string &) {};
    Hooks.Send = [this, Which](LinkId Link, std::string Bytes) {
      int To = Which != 0 ? 0 : Link == OldLink ? 1 : 2;
      this->Frames.push_back({To, Link, std::move(Bytes)});
    };
    Hooks.Close = [this, Which](LinkId Link) {
      if (Which == 0)
        this->Closed.insert(Link);
    };
    return std::make_unique<ControlPlane>(
        Opts,
        [this, Which](const SourceHooks &Given) {
          this->Publish[Which] = Given.Publish;
          return std::make_unique<SilentSource>(this->Wanted[Which]);
        },
        Hooks);
  }

  void publish(int At, const std::string &Topic, const DocumentPtr &Doc) {
    this->Publish[At](Topic, Doc, this->Now);
  }

  void link(LinkId Link, int With, const std::string &Name) {
    this->Nodes[With]->linkOpened(Link, "", this->Now);
    this->Nodes[0]->linkOpened(Link, Name, this->Now);
  }

  void listNewcomer() {
    std::vector<std::string> With = this->Names;
    With.push_back(this->NewParent);
    this->publish(0, listTopic("north"), listOf(With, 2));
  }

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Millis(100)) {
      for (auto &Node : this->Nodes)
        Node->tick(this->Now);
      while (!this->Frames.empty()) {
        Frame One = std::move(this->Frames.front());
        this->Frames.pop_front();
        if (!this->Closed.count(One.Link))
          this->Nodes[One.To]->frame(One.Link, One.Bytes, this->Now);
      }
    }
  }

  uint64_t inForce() const {
    ConfigPtr Held = this->Nodes[0]->config();
    return Held ? Held->stamp().Version : 0;
  }

  struct Frame {
    int To = 0;
    LinkId Link = 0;
    std::string Bytes;
  };

  std::vector<std::string> Names;
  std::string Self;
  std::string OldParent;
  std::string NewParent;
  ReadDuty Wanted[3] = {ReadDuty::None, ReadDuty::None, ReadDuty::None};
  std::unique_ptr<ControlPlane> Nodes[3];
  std::function<void(const std::string &, DocumentPtr, TimePoint)> Publish[3];
  std::deque<Frame> Frames;
  std::set<LinkId> Closed;
  TimePoint Now = TimePoint(std::chrono::hours(1));
};

} // namespace

BOOST_AUTO_TEST_SUITE(ParentChanges)

// A node that is given another parent must not miss versions until that one
// answers.
BOOST_FIXTURE_TEST_CASE(OldParentServesUntilTheNewOneIsLinked, MovedNode) {
  this->listNewcomer();
  this->run(Millis(400));
  this->publish(1, ConfigTopic, versionOf(2));
  this->run(Millis(200));
  BOOST_TEST(this->inForce() == 2u);
}

// Reading a large configuration takes longer than linking to a new parent.
BOOST_FIXTURE_TEST_CASE(PlatformIsNotReadWhileTheParentChanges, MovedNode) {
  this->listNewcomer();
  this->run(Millis(600));
  BOOST_TEST((this->Wanted[0] == ReadDuty::None));
  this->link(NewLink, 2, this->NewParent);
  this->run(Millis(300));
  BOOST_TEST((this->Wanted[0] == ReadDuty::None));
  BOOST_TEST(this->Closed.count(OldLink) == 1u);
}

// A new parent that never answers must not keep the node from reading.
BOOST_FIXTURE_TEST_CASE(PlatformIsReadIfTheNewParentNeverAnswers, MovedNode) {
  this->listNewcomer();
  this->run(Millis(1500));
  BOOST_TEST((this->Wanted[0] == ReadDuty::Watch));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
