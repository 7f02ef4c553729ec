#include "control/ControlPlane.h"

#include "base/Hash.h"

#include <algorithm>

// Link management of ControlPlane: dialling targets, avoiding unresponsive
// neighbours, and keeping former links open until a new parent is linked.

namespace hickorylift {

namespace {

constexpr unsigned MaxBackoffShift = 10;

/// The kind of a link as the other end names it. What a later build may add is
/// a link that announces.
Tie tieOf(uint8_t Named) {
  bool Known = Named <= static_cast<uint8_t>(Tie::Seed);
  return Known ? static_cast<Tie>(Named) : Tie::Backup;
}

wire::SpreadFrameT helloFrame(const ControlPlane::Options &Opts, Tie Kind) {
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
  this->AvoidedAt[Name] = Now;
  this->NeedRetarget |= this->Avoid.insert(Name).second;
}

void ControlPlane::stopAvoiding(const std::string &Name) {
  this->AvoidedAt.erase(Name);
  this->AvoidSilentUntil.erase(Name);
  this->NeedRetarget |= this->Avoid.erase(Name) != 0;
}

// Neighbours that are still dialled are avoided until they answer and, if
// condemned for silence, AvoidSilentFor has passed. The others are not dialled
// and are avoided for AvoidFor.
void ControlPlane::forgetAvoided(TimePoint Now) {
  std::vector<std::string> Expired;
  for (const auto &[Name, Since] : this->AvoidedAt) {
    auto To = this->Targets.find(Name);
    bool Dialled = To != this->Targets.end();
    bool Linked =
        Dialled && To->second.Link && this->Peers.at(*To->second.Link).Greeted;
    auto Until = this->AvoidSilentUntil.find(Name);
    bool MustAvoid =
        Until != this->AvoidSilentUntil.end() && Now < Until->second;
    if (Dialled ? Linked && !MustAvoid : Now - Since >= this->Opts.AvoidFor)
      Expired.push_back(Name);
  }
  for (const std::string &Name : Expired)
    this->stopAvoiding(Name);
}

void ControlPlane::retarget(TimePoint Now) {
  std::map<std::string, Target> Wanted;
  std::vector<LinkId> Outdated;
  auto Want = [&](const Neighbour &One) {
    auto [At, New] = Wanted.try_emplace(One.Who->Name);
    if (!New)
      return;
    At->second.Address = One.Who->Node;
    At->second.Kind = One.Kind;
    At->second.NextDial = Now;
  };
  for (const Neighbour &One : this->Fleet.neighbours(this->Avoid))
    Want(One);
  // Go on trying those whose place others have taken.
  for (const Neighbour &One : this->Fleet.neighbours())
    if (this->Avoid.count(One.Who->Name))
      Want(One);
  // A node that knows no neighbour, or is the only one listed in its data
  // centre, keeps to its seeds: they may know more. So does one that has no
  // version yet: those above it may have none either.
  bool Alone = this->Fleet.size(this->Opts.DataCentre) < 2;
  if ((Wanted.empty() && Alone) || !this->InForce)
    this->wantSeeds(Wanted, Now);
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
    this->dropOrKeepLink(Link, Now);
}

bool ControlPlane::isAwaitingParentLink() const {
  return this->Fleet.parent(this->Avoid) && !this->hasParentLink();
}

// Closes an outdated link, or keeps it open until the new parent is linked.
// Closing it earlier would leave the node without versions, so it would read
// the platform, and on a slow network link reading a large configuration delays
// the new parent's greeting.
void ControlPlane::dropOrKeepLink(LinkId Link, TimePoint Now) {
  const Peer &To = this->Peers.at(Link);
  bool Usable = To.Greeted && To.Kind != Tie::Seed;
  if (!Usable || !this->isAwaitingParentLink())
    return this->drop(Link, Now);
  this->FormerLinks.insert(Link);
  if (To.Kind != Tie::Tree || this->FormerParentLink)
    return;
  this->FormerParentLink = Link;
  this->FormerParentValidUntil = Now + this->Opts.FormerParentTimeout;
}

void ControlPlane::dropFormerLinks(TimePoint Now) {
  if (this->isAwaitingParentLink())
    return;
  for (LinkId Link : std::exchange(this->FormerLinks, {}))
    this->drop(Link, Now);
}

void ControlPlane::wantSeeds(std::map<std::string, Target> &Wanted,
                             TimePoint Now) const {
  std::map<uint64_t, std::string> Order;
  for (const auto &[Name, Address] : this->Opts.Seeds)
    Order[rendezvousScore(this->Opts.Self, Name)] = Name;
  TimePoint Dial = Now;
  for (const auto &[Score, Name] : Order) {
    auto [At, New] = Wanted.try_emplace(Name);
    if (!New)
      continue;
    At->second.Address = this->Opts.Seeds.at(Name);
    At->second.Kind = Tie::Seed;
    At->second.NextDial = Dial;
    Dial += this->Opts.NextSeedAfter;
  }
}

void ControlPlane::dialTargets(TimePoint Now) {
  for (auto &[Name, To] : this->Targets) {
    if (To.Link || To.Dialling || Now < To.NextDial)
      continue;
    To.Dialling = true;
    this->Hook.Dial(Name, To.Address);
  }
}

void ControlPlane::dialFailed(const std::string &Name, TimePoint Now) {
  auto Found = this->Targets.find(Name);
  if (Found == this->Targets.end())
    return;
  Target &To = Found->second;
  To.Dialling = false;
  Millis Longest = std::min(this->Opts.LongestRedial,
                            this->Opts.FirstRedial *
                                (1 << std::min(To.Failures, MaxBackoffShift)));
  if (++To.Failures >= this->Opts.AvoidAfter)
    this->avoid(Name, Now);
  To.NextDial =
      Now + Longest / 2 + Millis(this->Random() % (Longest.count() / 2 + 1));
}

void ControlPlane::linkOpened(LinkId Link, const std::string &Dialled,
                              TimePoint Now) {
  this->NowForHooks = Now;
  if (Dialled.empty() && this->Peers.size() >= this->Opts.MaxLinks)
    return this->Hook.Close(Link);
  Peer &New = this->Peers[Link];
  New.Name = Dialled;
  New.Target = Dialled;
  if (Dialled.empty())
    return;
  auto Found = this->Targets.find(Dialled);
  if (Found == this->Targets.end())
    return this->drop(Link, Now);
  Found->second.Dialling = false;
  Found->second.Link = Link;
  New.Kind = Found->second.Kind;
  this->greet(Link, New);
}

void ControlPlane::greet(LinkId Link, const Peer &To) {
  this->Hook.Send(Link, encodeFrame(helloFrame(this->Opts, To.Kind)));
}

void ControlPlane::onHello(LinkId Link, Peer &From, const wire::HelloT &Hello,
                           TimePoint Now) {
  if (From.Greeted)
    return;
  From.Greeted = true;
  From.Name = Hello.node;
  if (From.Target.empty()) {
    From.Kind = tieOf(Hello.tie);
    this->greet(Link, From);
    if (From.Kind == Tie::Seed)
      this->introduce(Now);
  } else if (auto Found = this->Targets.find(From.Target);
             Found != this->Targets.end()) {
    Found->second.Failures = 0;
    if (!this->AvoidSilentUntil.count(From.Target))
      this->stopAvoiding(From.Target);
  }
  this->Spread.linkUp(Link, From.Name, From.Kind == Tie::Tree, Now);
  if (std::optional<wire::SpreadFrameT> Known = this->Hold.snapshot(Now))
    this->Hook.Send(Link, encodeFrame(*Known));
}

void ControlPlane::drop(LinkId Link, TimePoint Now) {
  this->Hook.Close(Link);
  this->linkClosed(Link, Now);
}

void ControlPlane::linkClosed(LinkId Link, TimePoint Now) {
  this->NowForHooks = Now;
  auto Found = this->Peers.find(Link);
  if (Found == this->Peers.end())
    return;
  std::string Target = Found->second.Target;
  this->Peers.erase(Found);
  this->FormerLinks.erase(Link);
  if (this->FormerParentLink == Link)
    this->FormerParentLink.reset();
  this->Spread.linkDown(Link);
  this->View.dropChild(Link);
  auto To = this->Targets.find(Target);
  if (To != this->Targets.end() && To->second.Link == Link) {
    To->second.Link.reset();
    this->dialFailed(Target, Now);
  }
}

void ControlPlane::goodbye() {
  wire::SpreadFrameT Frame;
  Frame.payload.Set(wire::GoodbyeT());
  for (const auto &[Link, To] : this->Peers)
    if (To.Greeted)
      this->Hook.Send(Link, encodeFrame(Frame));
}

} // namespace hickorylift
