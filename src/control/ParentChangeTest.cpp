#include "control/ControlFixture.h"
#include "control/ControlPlane.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

namespace hickorylift {

namespace {

/// Returns the parent of Self in the tree of Names, or "" for the root.
std::string parentOf(const std::string &Self,
                     const std::vector<std::string> &Names) {
  Membership View(membershipOptions(Self, /*SpareReaders=*/0));
  View.update("north", *makeInstanceList(Names, 1));
  return View.parent() ? View.parent()->Name : "";
}

/// A non-reader node, its current parent, an instance that becomes its parent
/// once it is added to the list, and its grandparent.
struct ParentChangeFixture {
  static constexpr LinkId OldLink = 7;
  static constexpr LinkId NewLink = 8;
  static constexpr LinkId GrandparentLink = 9;
  static constexpr size_t FleetSize = 12;
  static constexpr size_t MaxCandidates = 1000;

  ParentChangeFixture() {
    for (size_t I = 0; I < FleetSize; ++I)
      this->Names.push_back("n-" + std::to_string(I));
    for (const std::string &Name : this->Names)
      if (this->Self.empty() && this->hasGrandparent(Name))
        this->Self = Name;
    BOOST_REQUIRE(!this->Self.empty());
    this->OldParent = parentOf(this->Self, this->Names);
    this->Grandparent = parentOf(this->OldParent, this->Names);
    this->chooseNewParent();
    this->Nodes[0] = this->make(0, this->Self);
    this->Nodes[1] = this->make(1, this->OldParent);
    this->Nodes[2] = this->make(2, this->NewParent);
    this->Nodes[3] = this->make(3, this->Grandparent);
    this->publish(0, listTopic("north"), makeInstanceList(this->Names, 1));
    this->publish(1, ConfigTopic, makeVersion(1));
    this->run(Millis(100));
    this->link(OldLink, 1, this->OldParent);
    this->run(Millis(1000));
    BOOST_REQUIRE(this->activeVersion() == 1u);
  }

  bool hasGrandparent(const std::string &Name) const {
    std::string Parent = parentOf(Name, this->Names);
    return !Parent.empty() && !parentOf(Parent, this->Names).empty();
  }

  void chooseNewParent() {
    for (size_t I = 0; I < MaxCandidates && this->NewParent.empty(); ++I) {
      std::vector<std::string> Listed = this->Names;
      Listed.push_back("m-" + std::to_string(I));
      if (parentOf(this->Self, Listed) == Listed.back())
        this->NewParent = Listed.back();
    }
    BOOST_REQUIRE(!this->NewParent.empty());
  }

  std::unique_ptr<ControlPlane> make(int Index, const std::string &Name) {
    ControlPlane::Options Opts;
    Opts.Self = Name;
    Opts.DataCentre = "north";
    Opts.DataCentres = {"north"};
    Opts.Members = membershipOptions(Name, /*SpareReaders=*/0);
    Opts.PeerWaitTime = Millis(0);
    Opts.LostParentReadDelay = Millis(300);
    Opts.Spread.HeartbeatInterval = Millis(400);
    Opts.Spread.LivenessTimeout = Millis(1200);
    ControlPlane::Hooks Hooks;
    Hooks.Dial = [this, Index](const std::string &Peer, const std::string &) {
      if (Index == 0)
        this->Dialled.insert(Peer);
    };
    Hooks.Send = [this, Index](LinkId Link, std::string Bytes) {
      int To = Index != 0 ? 0 : static_cast<int>(Link - OldLink) + 1;
      this->Frames.push_back({To, Link, std::move(Bytes)});
    };
    Hooks.Close = [this, Index](LinkId Link) {
      if (Index == 0)
        this->Closed.insert(Link);
    };
    return std::make_unique<ControlPlane>(
        Opts,
        [this, Index](const SourceHooks &Given) {
          this->Publish[Index] = Given.Publish;
          return std::make_unique<UnresponsiveSource>(&this->Duties[Index]);
        },
        Hooks);
  }

  void publish(int Index, const std::string &Topic, const DocumentPtr &Doc) {
    this->Publish[Index](Topic, Doc, this->Now);
  }

  void link(LinkId Link, int Index, const std::string &Name) {
    this->Nodes[Index]->linkOpened(Link, "", this->Now);
    this->Nodes[0]->linkOpened(Link, Name, this->Now);
  }

  void listNewParent() {
    std::vector<std::string> Listed = this->Names;
    Listed.push_back(this->NewParent);
    this->publish(0, listTopic("north"), makeInstanceList(Listed, 2));
  }

  /// Publishes the own list with these instances, which may lack this node.
  void listOnly(const std::vector<std::string> &Listed) {
    this->publish(0, listTopic("north"),
                  makeInstanceList(Listed, ++this->ListRevision));
  }

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Millis(100)) {
      for (auto &Node : this->Nodes)
        Node->tick(this->Now);
      while (!this->Frames.empty()) {
        Frame Next = std::move(this->Frames.front());
        this->Frames.pop_front();
        if (!this->Closed.count(Next.Link) &&
            !this->UnresponsiveLinks.count(Next.Link))
          this->Nodes[Next.To]->receiveFrame(Next.Link, Next.Bytes, this->Now);
      }
    }
  }

  uint64_t activeVersion() const {
    ConfigPtr Active = this->Nodes[0]->config();
    return Active ? Active->stamp().Version : 0;
  }

  /// Subject, source and outcome of the last "parent" audit event.
  std::string lastParentEvent() const {
    std::string Last;
    for (const AuditEvent &Event : this->Nodes[0]->audit().events())
      if (Event.What == "parent")
        Last = Event.Subject + " " + Event.Source + " " + Event.Outcome;
    return Last;
  }

  std::string lastParent() const {
    std::string Last = this->lastParentEvent();
    return Last.substr(0, Last.find(' '));
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
  std::string Grandparent;
  ReadDuty Duties[4] = {ReadDuty::None, ReadDuty::None, ReadDuty::None,
                        ReadDuty::None};
  // 0: the node under test, 1: its old parent, 2: its new parent, 3: its
  // grandparent. The other arrays use the same indices.
  std::unique_ptr<ControlPlane> Nodes[4];
  std::function<void(const std::string &, DocumentPtr, TimePoint)> Publish[4];
  /// Names that the node under test has dialled.
  std::set<std::string> Dialled;
  std::deque<Frame> Frames;
  std::set<LinkId> Closed;
  /// Links that lose all frames, in both directions.
  std::set<LinkId> UnresponsiveLinks;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  uint64_t ListRevision = 1;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ParentChanges)

// Guards against missing versions between reassignment and the link to the new
// parent.
BOOST_FIXTURE_TEST_CASE(OldParentServesUntilTheNewOneIsLinked,
                        ParentChangeFixture) {
  this->listNewParent();
  this->run(Millis(400));
  this->publish(1, ConfigTopic, makeVersion(2));
  this->run(Millis(200));
  BOOST_TEST(this->activeVersion() == 2u);
}

// Guards against reading from the platform during a parent change: reading a
// large configuration takes longer than linking to the new parent.
BOOST_FIXTURE_TEST_CASE(PlatformIsNotReadWhileTheParentChanges,
                        ParentChangeFixture) {
  this->listNewParent();
  this->run(Millis(600));
  BOOST_TEST((this->Duties[0] == ReadDuty::None));
  this->link(NewLink, 2, this->NewParent);
  this->run(Millis(300));
  BOOST_TEST((this->Duties[0] == ReadDuty::None));
  BOOST_TEST(this->Closed.count(OldLink) == 1u);
}

// Guards against audit events that do not distinguish a reassigned parent from
// a lost link.
BOOST_FIXTURE_TEST_CASE(AuditDistinguishesParentChangeFromLinkLoss,
                        ParentChangeFixture) {
  this->listNewParent();
  this->run(Millis(100));
  BOOST_TEST(this->lastParentEvent() == this->NewParent + " tree not linked");
  this->link(NewLink, 2, this->NewParent);
  this->run(Millis(200));
  BOOST_TEST(this->lastParentEvent() == this->NewParent + " link linked");
  this->Nodes[0]->linkClosed(NewLink, this->Now);
  this->run(Millis(100));
  BOOST_TEST(this->lastParentEvent() == this->NewParent + " link not linked");
}

// Guards against a node that never reads because its new parent is
// unresponsive.
BOOST_FIXTURE_TEST_CASE(PlatformIsReadIfTheNewParentNeverAnswers,
                        ParentChangeFixture) {
  this->listNewParent();
  this->run(Millis(1500));
  BOOST_TEST((this->Duties[0] == ReadDuty::Watch));
}

// Guards against a data centre that loses its links, and whose nodes all read
// the platform, because their entries expired while it was cut off.
BOOST_FIXTURE_TEST_CASE(LinksOutliveExpiredEntries, ParentChangeFixture) {
  this->listOnly({});
  this->run(Millis(700));
  BOOST_TEST(this->Closed.count(OldLink) == 0u);
  BOOST_TEST((this->Duties[0] == ReadDuty::None));
  std::vector<std::string> Renewed;
  for (const std::string &Name : this->Names) {
    Renewed.push_back(Name);
    this->listOnly(Renewed);
    this->run(Millis(100));
    BOOST_TEST((this->Duties[0] == ReadDuty::None));
  }
  this->publish(1, ConfigTopic, makeVersion(2));
  this->run(Millis(200));
  BOOST_TEST(this->activeVersion() == 2u);
  this->run(Millis(4000));
  BOOST_TEST(this->Closed.count(OldLink) == 0u);
  BOOST_TEST(this->lastParentEvent() == this->OldParent + " link linked");
}

// Guards against a node that waits for a former parent that is gone, because
// its own entry expired as well.
BOOST_FIXTURE_TEST_CASE(UnlistedNodeReadsOnceItsParentIsGone,
                        ParentChangeFixture) {
  this->listOnly({});
  this->run(Millis(300));
  this->Nodes[0]->linkClosed(OldLink, this->Now);
  this->run(Millis(500));
  BOOST_TEST((this->Duties[0] != ReadDuty::None));
}

// Guards against links that no list change ever replaces.
BOOST_FIXTURE_TEST_CASE(RelistedNodeChangesItsParent, ParentChangeFixture) {
  this->listOnly({});
  this->run(Millis(300));
  std::vector<std::string> Listed = this->Names;
  Listed.push_back(this->NewParent);
  this->listOnly(Listed);
  this->run(Millis(3000));
  BOOST_TEST(this->Dialled.count(this->NewParent) == 1u);
}

// Guards against a node that follows no list any more because its upstream is
// gone for good.
BOOST_FIXTURE_TEST_CASE(NodeThatIsNeverListedAgainFollowsTheList,
                        ParentChangeFixture) {
  std::vector<std::string> Others = this->Names;
  std::erase(Others, this->Self);
  Others.push_back(this->NewParent);
  this->listOnly(Others);
  this->run(Millis(8000));
  BOOST_TEST(this->Dialled.count(this->NewParent) == 0u);
  this->run(Millis(3000));
  BOOST_TEST(this->Dialled.count(this->NewParent) == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnresponsiveParents)

// Guards against reads of the platform by all children of a parent that stops
// in order: they link to another ancestor at once, which is not suspected of
// being slow.
BOOST_FIXTURE_TEST_CASE(ChildrenOfStoppedParentDoNotRead, ParentChangeFixture) {
  this->Nodes[1]->sendGoodbye();
  this->run(Millis(200));
  BOOST_TEST(this->Dialled.count(this->Grandparent) == 1u);
  this->link(GrandparentLink, 3, this->Grandparent);
  for (int I = 0; I < 50; ++I) {
    this->run(Millis(100));
    BOOST_TEST((this->Duties[0] == ReadDuty::None));
  }
  BOOST_TEST(this->lastParentEvent() == this->Grandparent + " link linked");
}

// Guards against waiting for failed dials to an unresponsive parent before
// another ancestor is dialled.
BOOST_FIXTURE_TEST_CASE(AncestorIsDialledOnceTheLinkIsDeclaredDead,
                        ParentChangeFixture) {
  this->UnresponsiveLinks.insert(OldLink);
  this->run(Millis(1600));
  BOOST_TEST(this->Closed.count(OldLink) == 1u);
  BOOST_TEST(this->Dialled.count(this->Grandparent) == 1u);
}

// Guards against versions that arrive only once the platform is read, after the
// parent has become unresponsive.
BOOST_FIXTURE_TEST_CASE(VersionArrivesThroughAnotherAncestor,
                        ParentChangeFixture) {
  this->UnresponsiveLinks.insert(OldLink);
  this->publish(3, ConfigTopic, makeVersion(2));
  TimePoint Start = this->Now;
  while (!this->Dialled.count(this->Grandparent) &&
         this->Now - Start < Millis(3000))
    this->run(Millis(100));
  this->link(GrandparentLink, 3, this->Grandparent);
  this->run(Millis(200));
  BOOST_TEST(this->activeVersion() == 2u);
  BOOST_TEST((this->Now - Start < Millis(2000)));
  BOOST_TEST((this->Duties[0] == ReadDuty::None));
}

// Guards against returning at once to a slow parent, which accepts new links
// but forwards versions late.
BOOST_FIXTURE_TEST_CASE(ParentStaysAvoidedAfterItAnswersAgain,
                        ParentChangeFixture) {
  this->UnresponsiveLinks.insert(OldLink);
  this->run(Millis(1600));
  this->link(GrandparentLink, 3, this->Grandparent);
  this->run(Millis(100));
  this->Nodes[1]->linkClosed(OldLink, this->Now);
  this->UnresponsiveLinks.clear();
  this->Closed.clear();
  this->link(OldLink, 1, this->OldParent);
  this->run(Millis(2000));
  BOOST_TEST(this->Closed.count(GrandparentLink) == 0u);
  this->run(Millis(3000));
  BOOST_TEST(this->Closed.count(GrandparentLink) == 1u);
  BOOST_TEST(this->lastParentEvent() == this->OldParent + " tree linked");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnansweredDials)

// Guards against two dial timeouts, of 2 s each, for every ancestor whose
// machine is down as well.
BOOST_FIXTURE_TEST_CASE(AncestorThatDoesNotAnswerIsPassedOver,
                        ParentChangeFixture) {
  this->UnresponsiveLinks.insert(OldLink);
  this->run(Millis(1900));
  BOOST_TEST(this->Dialled.count(this->Grandparent) == 1u);
  std::string Next = this->lastParent();
  BOOST_TEST(Next != this->Grandparent);
  BOOST_TEST(this->Dialled.count(Next) == 1u);
}

// Guards against leaving a parent for good because it was slow to answer once.
BOOST_FIXTURE_TEST_CASE(ParentIsUsedOnceItAnswers, ParentChangeFixture) {
  this->UnresponsiveLinks.insert(OldLink);
  this->run(Millis(2300));
  this->link(GrandparentLink, 3, this->Grandparent);
  this->run(Millis(200));
  BOOST_TEST(this->lastParent() == this->Grandparent);
  BOOST_TEST(this->lastParentEvent().find("not linked") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
