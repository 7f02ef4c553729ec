#include "control/ControlPlane.h"

#include "base/Hash.h"

#include <algorithm>

// Link management of ControlPlane: dialling targets, avoiding unresponsive
// neighbours, and keeping former links open until a new parent is linked.

namespace hickorylift {

namespace {

constexpr unsigned MaxBackoffShift = 10;

/// Reads the kind of a link as sent by the peer that dialled it. A kind that a
/// later build adds is treated as a link on which documents are only announced.
LinkKind parseTie(uint8_t Value) {
  bool Known = Value <= static_cast<uint8_t>(LinkKind::Seed);
  return Known ? static_cast<LinkKind>(Value) : LinkKind::Backup;
}

wire::SpreadFrameT helloFrame(const ControlPlane::Options &Opts,
                              LinkKind Kind) {
  wire::HelloT Hello;
  Hello.node = Opts.Self;
  Hello.data_centre = Opts.DataCentre;
  Hello.incarnation = Opts.Incarnation;
  Hello.build = Opts.Build;
  Hello.tie = static_cast<uint8_t>(Kind);
  wire::SpreadFrameT Frame;
  Frame.payload.Set(std::move(Hello));
  return Frame;
}

} // namespace

void ControlPlane::avoid(const std::string &Name, TimePoint Now) {
  if (!this->Opts.Spread.Guards.ClimbPastDead)
    return;
  this->AvoidedSince[Name] = Now;
  this->NeedsRetarget |= this->Avoided.insert(Name).second;
}

void ControlPlane::stopAvoiding(const std::string &Name) {
  this->AvoidedSince.erase(Name);
  this->AvoidUnresponsiveUntil.erase(Name);
  this->NeedsRetarget |= this->Avoided.erase(Name) != 0;
}

// Neighbours that are still dialled are avoided until they answer and, if their
// link was declared dead, AvoidUnresponsiveDuration has passed. The others are
// not dialled and are avoided for AvoidDuration.
void ControlPlane::expireAvoided(TimePoint Now) {
  std::vector<std::string> Expired;
  for (const auto &[Name, Since] : this->AvoidedSince) {
    auto Found = this->Targets.find(Name);
    bool Dialled = Found != this->Targets.end();
    bool Linked = Dialled && Found->second.Link &&
                  this->Peers.at(*Found->second.Link).HelloReceived;
    auto Until = this->AvoidUnresponsiveUntil.find(Name);
    bool MustAvoid =
        Until != this->AvoidUnresponsiveUntil.end() && Now < Until->second;
    if (Dialled ? Linked && !MustAvoid
                : Now - Since >= this->Opts.AvoidDuration)
      Expired.push_back(Name);
  }
  for (const std::string &Name : Expired)
    this->stopAvoiding(Name);
}

// Where several machines lose power together, a node whose parents are among
// them may find the next ancestors dead as well. Waiting for the dial timeout
// of each would leave it without versions for seconds. Nodes of other data
// centres are not passed over: while a data centre is cut off none of them
// answers, and links to all of them would have been given up when that ends.
void ControlPlane::updatePassedOver(TimePoint Now) {
  Millis Patience = this->HadParentLink ? this->Opts.DialPatience
                                        : std::max(this->Opts.DialPatience,
                                                   this->Opts.PeerWaitTime);
  std::map<LinkKind, AvoidSet> Unanswered;
  for (const auto &[Name, Dialled] : this->Targets)
    if (Dialled.Dialling && Now - Dialled.DialledAt >= Patience)
      Unanswered[Dialled.Kind].insert(Name);
  AvoidSet Before = std::exchange(this->PassedOver, {});
  for (LinkKind Kind : {LinkKind::Tree, LinkKind::Backup}) {
    AvoidSet &OfKind = Unanswered[Kind];
    size_t Kept = std::count_if(
        OfKind.begin(), OfKind.end(),
        [&](const std::string &Name) { return Before.count(Name) != 0; });
    for (const std::string &Name : OfKind)
      if (Before.count(Name) || Kept++ < this->Opts.MaxPassedOver)
        this->PassedOver.insert(Name);
  }
  this->NeedsRetarget |= this->PassedOver != Before;
}

void ControlPlane::retarget(TimePoint Now) {
  std::map<std::string, Target> Wanted;
  std::vector<LinkId> Outdated;
  auto AddTarget = [&](const Neighbour &Node) {
    auto [Added, New] = Wanted.try_emplace(Node.Peer->Name);
    if (!New)
      return;
    Added->second.Address = Node.Peer->Node;
    Added->second.Kind = Node.Kind;
    Added->second.NextDial = Now;
  };
  for (const Neighbour &Node :
       this->Fleet.neighbours(this->Avoided, this->PassedOver))
    AddTarget(Node);
  // Avoided neighbours are still dialled, so that they are used again once they
  // answer.
  for (const Neighbour &Node : this->Fleet.neighbours())
    if (this->Avoided.count(Node.Peer->Name))
      AddTarget(Node);
  // Dials of ancestors that were passed over go on: the first of them that
  // answers is used.
  for (const auto &[Name, Old] : this->Targets)
    if (this->PassedOver.count(Name))
      Wanted.try_emplace(Name, Old);
  // A node that knows no neighbour and is alone in its data centre's list stays
  // linked to its seeds, as they may have a newer list. So does a node without
  // a version, as its ancestors in the tree may not have one either.
  bool Alone = this->Fleet.topologySize(this->Opts.DataCentre) < 2;
  if ((Wanted.empty() && Alone) || !this->ActiveConfig)
    this->addSeedTargets(Wanted, Now);
  for (auto &[Name, Old] : this->Targets) {
    auto Kept = Wanted.find(Name);
    if (Kept != Wanted.end() && Kept->second.Address == Old.Address &&
        Kept->second.Kind == Old.Kind)
      Kept->second = Old;
    else if (Old.Link)
      Outdated.push_back(*Old.Link);
  }
  this->Targets = std::move(Wanted);
  for (LinkId Link : Outdated)
    this->closeOrKeepLink(Link, Now);
}

bool ControlPlane::isListIncomplete(const std::string &DataCentre) const {
  bool OwnEntryExpired = DataCentre == this->Opts.DataCentre &&
                         this->WasListed && !this->Fleet.find(this->Opts.Self);
  return OwnEntryExpired || 2 * this->Fleet.size(DataCentre) <
                                this->Fleet.topologySize(DataCentre);
}

// Lets links and read duties follow the lists, except incomplete ones. While a
// data centre is cut off from the platform, its entries expire; after that its
// list is empty and grows entry by entry. Nodes that followed it closed working
// links, to their parents and to other data centres, for others that were not
// up yet, and the root stopped reading until it was listed again. The topology
// of the last complete list serves meanwhile, and nodes that have gone since
// are avoided as their links fail.
void ControlPlane::updateTopology(TimePoint Now) {
  this->WasListed |= this->Fleet.find(this->Opts.Self) != nullptr;
  for (const std::string &DataCentre : this->Fleet.dataCentres()) {
    auto Found = this->IncompleteLists.find(DataCentre);
    if (this->isListIncomplete(DataCentre)) {
      if (Found == this->IncompleteLists.end())
        Found = this->IncompleteLists.insert({DataCentre, {Now, Now}}).first;
      Found->second.LastFound = Now;
    }
    if (Found != this->IncompleteLists.end()) {
      const IncompleteList &List = Found->second;
      bool Settled = Now - List.LastFound >= this->Opts.RelistSettleTime;
      bool IsFinal = Now - List.Since >= this->Opts.MaxIncompleteTime &&
                     this->Fleet.size(DataCentre) != 0;
      if (!Settled && !IsFinal)
        continue;
      this->IncompleteLists.erase(Found);
    }
    this->NeedsRetarget |= this->Fleet.adoptTopology(DataCentre);
  }
}

bool ControlPlane::isAwaitingParentLink() const {
  return this->parent() && !this->hasParentLink();
}

// Closes an outdated link, or keeps it open until the new parent is linked.
// Closing it earlier would leave the node without versions, so it would read
// the platform, and on a slow network link reading a large configuration delays
// the new parent's Hello frame.
void ControlPlane::closeOrKeepLink(LinkId Link, TimePoint Now) {
  const Peer &Former = this->Peers.at(Link);
  bool Usable = Former.HelloReceived && Former.Kind != LinkKind::Seed;
  if (!Usable || !this->isAwaitingParentLink())
    return this->closeLink(Link, Now);
  this->FormerLinks.insert(Link);
  if (Former.Kind != LinkKind::Tree || this->FormerParentLink)
    return;
  this->FormerParentLink = Link;
  this->FormerParentValidUntil = Now + this->Opts.FormerParentTimeout;
}

void ControlPlane::closeFormerLinks(TimePoint Now) {
  if (this->isAwaitingParentLink())
    return;
  for (LinkId Link : std::exchange(this->FormerLinks, {}))
    this->closeLink(Link, Now);
}

// Adds the seeds as targets, to be dialled one after the other in an order that
// differs from node to node.
void ControlPlane::addSeedTargets(std::map<std::string, Target> &Wanted,
                                  TimePoint Now) const {
  std::map<uint64_t, std::string> Order;
  for (const auto &[Name, Address] : this->Opts.Seeds)
    Order[rendezvousScore(this->Opts.Self, Name)] = Name;
  TimePoint NextDial = Now;
  for (const auto &[Score, Name] : Order) {
    auto [Added, New] = Wanted.try_emplace(Name);
    if (!New)
      continue;
    Added->second.Address = this->Opts.Seeds.at(Name);
    Added->second.Kind = LinkKind::Seed;
    Added->second.NextDial = NextDial;
    NextDial += this->Opts.SeedDialInterval;
  }
}

void ControlPlane::dialTargets(TimePoint Now) {
  for (auto &[Name, DialTarget] : this->Targets) {
    if (DialTarget.Link || DialTarget.Dialling || Now < DialTarget.NextDial)
      continue;
    DialTarget.Dialling = true;
    DialTarget.DialledAt = Now;
    this->Hook.Dial(Name, DialTarget.Address);
  }
}

void ControlPlane::dialFailed(const std::string &Name, TimePoint Now) {
  auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end())
    return;
  if (Found->second.Kind == LinkKind::Bridge)
    this->Trail.add(Now, "bridge", Name, "dialled", "failed");
  this->scheduleRedial(Name, Found->second, Now);
}

void ControlPlane::scheduleRedial(const std::string &Name, Target &Failed,
                                  TimePoint Now) {
  Failed.Dialling = false;
  Millis MaxDelay =
      std::min(this->Opts.MaxRedialDelay,
               this->Opts.MinRedialDelay *
                   (1 << std::min(Failed.Failures, MaxBackoffShift)));
  bool TimedOut = this->PassedOver.count(Name) != 0;
  if (++Failed.Failures >= this->Opts.AvoidAfterFailures || TimedOut)
    this->avoid(Name, Now);
  Failed.NextDial =
      Now + MaxDelay / 2 + Millis(this->Random() % (MaxDelay.count() / 2 + 1));
}

void ControlPlane::linkOpened(LinkId Link, const std::string &Dialled,
                              TimePoint Now) {
  this->NowForHooks = Now;
  if (Dialled.empty() && this->Peers.size() >= this->Opts.MaxLinks)
    return this->Hook.Close(Link);
  Peer &New = this->Peers[Link];
  New.Name = Dialled;
  New.DialledName = Dialled;
  if (Dialled.empty())
    return;
  auto Found = this->Targets.find(Dialled);
  if (Found == this->Targets.end())
    return this->closeLink(Link, Now);
  Found->second.Dialling = false;
  Found->second.Link = Link;
  New.Kind = Found->second.Kind;
  this->sendHello(Link, New);
}

void ControlPlane::sendHello(LinkId Link, const Peer &To) {
  this->Hook.Send(Link, encodeFrame(helloFrame(this->Opts, To.Kind)));
}

void ControlPlane::onHello(LinkId Link, Peer &From, const wire::HelloT &Hello,
                           TimePoint Now) {
  if (From.HelloReceived)
    return;
  From.HelloReceived = true;
  From.Name = Hello.node;
  if (From.DialledName.empty()) {
    From.Kind = parseTie(Hello.tie);
    this->sendHello(Link, From);
    if (From.Kind == LinkKind::Seed)
      this->onSeedRequest(Now);
  } else if (auto Found = this->Targets.find(From.DialledName);
             Found != this->Targets.end()) {
    Found->second.Failures = 0;
    if (!this->AvoidUnresponsiveUntil.count(From.DialledName))
      this->stopAvoiding(From.DialledName);
  }
  if (From.Kind == LinkKind::Bridge)
    this->Trail.add(Now, "bridge", From.Name,
                    From.DialledName.empty() ? "accepted" : "dialled",
                    "linked");
  // Kind is Seed at both ends, but only the dialling one uses the other.
  bool IsSeed = From.Kind == LinkKind::Seed && !From.DialledName.empty();
  this->Spread.linkUp(Link, From.Name, From.Kind == LinkKind::Tree, Now,
                      IsSeed);
  if (std::optional<wire::SpreadFrameT> Records =
          this->RequestQuarantine.snapshot(Now))
    this->Hook.Send(Link, encodeFrame(*Records));
}

// The peer's process stops. If it is the parent, waiting for failed dials would
// leave this node without a parent for long enough to read the platform.
void ControlPlane::onGoodbye(LinkId Link, TimePoint Now) {
  std::string DialledName = this->Peers.at(Link).DialledName;
  this->ParentLeft |= this->parentLink() == Link;
  this->closeLink(Link, Now);
  if (this->Targets.count(DialledName))
    this->avoid(DialledName, Now);
}

void ControlPlane::closeLink(LinkId Link, TimePoint Now) {
  this->Hook.Close(Link);
  this->linkClosed(Link, Now);
}

void ControlPlane::linkClosed(LinkId Link, TimePoint Now) {
  this->NowForHooks = Now;
  auto Found = this->Peers.find(Link);
  if (Found == this->Peers.end())
    return;
  std::string DialledName = Found->second.DialledName;
  if (Found->second.HelloReceived && Found->second.Kind == LinkKind::Bridge)
    this->Trail.add(Now, "bridge", Found->second.Name,
                    DialledName.empty() ? "accepted" : "dialled", "lost");
  this->Peers.erase(Found);
  this->FormerLinks.erase(Link);
  if (this->FormerParentLink == Link)
    this->FormerParentLink.reset();
  this->Spread.linkDown(Link);
  this->View.removeChild(Link);
  auto Dialled = this->Targets.find(DialledName);
  if (Dialled != this->Targets.end() && Dialled->second.Link == Link) {
    Dialled->second.Link.reset();
    this->scheduleRedial(DialledName, Dialled->second, Now);
  }
}

void ControlPlane::sendGoodbye() {
  wire::SpreadFrameT Frame;
  Frame.payload.Set(wire::GoodbyeT());
  for (const auto &[Link, To] : this->Peers)
    if (To.HelloReceived)
      this->Hook.Send(Link, encodeFrame(Frame));
}

} // namespace hickorylift
