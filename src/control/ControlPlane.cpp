#include "control/ControlPlane.h"

#include "base/Hash.h"
#include "membership/Evacuations.h"

#include <algorithm>

namespace hickorylift {

namespace {

constexpr Millis ExchangeInterval{2000};
constexpr unsigned MaxBackoffShift = 10;
// Requests that one line about a crash names.
constexpr size_t MaxNamed = 16;

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

ControlPlane::ControlPlane(Options GivenOpts, const MakeSource &MakeRead,
                           Hooks GivenHooks)
    : Opts(std::move(GivenOpts)), Hook(std::move(GivenHooks)),
      Trail(this->Opts.AuditCapacity, this->Hook.Audit),
      Fleet(this->Opts.Members),
      View(this->Opts.DataCentre, this->Opts.Self, this->Opts.Build,
           this->Opts.ReportFreshness),
      Spread(this->Opts.Spread, this->spreadHooks(), this->Opts.Seed),
      Hold(this->Opts.Hold, this->quarantineHooks()),
      Read(MakeRead(this->readHooks())), Compile(this->Opts.Compile),
      Random(this->Opts.Seed + 2) {}

Spreader::Hooks ControlPlane::spreadHooks() {
  Spreader::Hooks Out;
  Out.Send = [this](LinkId To, const wire::SpreadFrameT &Frame) {
    this->Hook.Send(To, encodeFrame(Frame));
  };
  Out.Accept = [this](const Spreader::Arrival &Arrived, TimePoint Now) {
    return this->accept(Arrived, Now);
  };
  Out.Condemn = [this](LinkId Link, const Error &Why) {
    this->Trail.add(this->NowForHooks, "link-condemned", this->Peers[Link].Name,
                    "heartbeat", Why.Detail);
    std::string Target = this->Peers[Link].Target;
    this->drop(Link, this->NowForHooks);
    if (!this->Targets.count(Target))
      return;
    this->AvoidSilentUntil[Target] =
        this->NowForHooks + this->Opts.AvoidSilentFor;
    this->avoid(Target, this->NowForHooks);
  };
  Out.Report = [this](LinkId Link) -> std::unique_ptr<wire::FleetReportT> {
    if (this->parentLink() != Link)
      return nullptr;
    return std::make_unique<wire::FleetReportT>(
        this->View.report(this->NowForHooks));
  };
  return Out;
}

SourceHooks ControlPlane::readHooks() {
  SourceHooks Out;
  Out.Publish = [this](const std::string &Topic, const DocumentPtr &Doc,
                       TimePoint Now) {
    this->NowForHooks = Now;
    DocumentPtr Held = this->Spread.held(Topic);
    if (!this->Spread.publish(Topic, Doc, Now) && Held &&
        Held->stamp() != Doc->stamp())
      this->Trail.add(Now, "version-stale", Topic + " " + Doc->stamp().text(),
                      "platform", "kept " + Held->stamp().text());
  };
  Out.Confirm = [this](const std::string &Topic, uint64_t Version,
                       uint64_t Revision, TimePoint AskedAt) {
    this->Spread.confirm(Topic, Version, Revision, AskedAt);
  };
  Out.Held = [this](const std::string &Topic) {
    return this->Spread.held(Topic);
  };
  Out.Complete = [this](uint64_t Revision) { this->Spread.complete(Revision); };
  Out.CompleteAt = [this] { return this->Spread.completeAt(); };
  Out.Failed = [this](const Error &Why, TimePoint Now) {
    // A long outage is one event, not one for each attempt.
    if (Why.text() == this->LastReaderError)
      return;
    this->LastReaderError = Why.text();
    this->Trail.add(Now, "platform-read", Why.Step, Why.Peer,
                    Why.Code.message() + ": " + Why.Detail);
  };
  Out.Unreadable = [this](const Error &Why, TimePoint Now) {
    ++this->UnreadableItems;
    if (this->UnreadableLog.take(Now))
      this->Trail.add(Now, "item-unreadable", Why.Detail, Why.Peer,
                      "names no upstream");
  };
  Out.MetEra = [this](uint64_t Era) { this->Spread.meetEra(Era); };
  Out.FirstEra = [this] { return this->Spread.firstEra(); };
  // A source may have several readers, each of which reports the same restore.
  Out.Restored = [this](uint64_t From, uint64_t To, TimePoint Now) {
    if (this->PlatformEra && To <= *this->PlatformEra)
      return;
    this->PlatformEra = To;
    ++this->PlatformRestores;
    this->Trail.add(Now, "platform-restored", "era " + std::to_string(To),
                    "platform", "was era " + std::to_string(From));
  };
  Out.Recovered = [this](TimePoint Now) {
    this->LastReaderError.clear();
    this->Trail.add(Now, "platform-back", "", "platform", "answers again");
  };
  return Out;
}

// What is known of requests that crash upstreams goes at once along every link,
// trees and ring alike: the next attempt may come in anywhere.
Quarantine::Hooks ControlPlane::quarantineHooks() {
  Quarantine::Hooks Out;
  Out.Tell = [this](const wire::SpreadFrameT &Frame,
                    std::optional<LinkId> ButLink) {
    std::string Bytes = encodeFrame(Frame);
    for (const auto &[Link, To] : this->Peers)
      if (To.Greeted && Link != ButLink)
        this->Hook.Send(Link, Bytes);
  };
  Out.Changed = [this](const Quarantine::Event &Of, TimePoint Now) {
    std::string Outcome = Of.Of->Request;
    if (Of.For.count() > 0)
      Outcome += " crashes=" + std::to_string(Of.Of->counting().size()) +
                 " for_ms=" + std::to_string(Of.For.count());
    this->Trail.add(Now, Of.What, Of.Of->Of.text(), Of.Source, Outcome);
  };
  return Out;
}

void ControlPlane::upstreamCrashed(const std::vector<Quarantine::Ran> &Running,
                                   TimePoint Now) {
  std::string Prints;
  for (size_t I = 0; I < std::min(Running.size(), MaxNamed); ++I)
    Prints += " " + Running[I].Of.text();
  this->Trail.add(Now, "upstream-crashed", this->Opts.Self, "gate",
                  "suspects=" + std::to_string(Running.size()) + Prints);
  this->Hold.upstreamCrashed(Running, Now);
}

void ControlPlane::tick(TimePoint Now) {
  this->NowForHooks = Now;
  if (!this->StartedAt)
    this->StartedAt = Now;
  // Here and not when a list arrives: the arrival is handled within a link
  // that this may close.
  this->forgetAvoided(Now);
  if (std::exchange(this->NeedRetarget, false))
    this->retarget(Now);
  this->dropFormerLinks(Now);
  this->auditParentChange(Now);
  if (this->LastTick && Now - *this->LastTick > this->Opts.PauseThreshold) {
    this->Trail.add(Now, "paused",
                    std::to_string(toMillis(Now - *this->LastTick).count()) +
                        "ms",
                    "clock", "resynchronising");
    // What the platform answered before the pause is of unknown age.
    this->Read->tick(Now, ReadDuty::None);
  }
  this->LastTick = Now;
  this->read(Now);
  this->Spread.tick(Now);
  this->Hold.tick(Now);
  this->dialTargets(Now);
  if (Now >= this->NextExchange) {
    this->NextExchange = Now + ExchangeInterval;
    this->exchangeReports(Now);
  }
}

ReadSituation ControlPlane::situation(TimePoint Now) {
  ReadSituation Out;
  Out.HasList = this->hasList();
  Out.HasSeeds = !this->Opts.Seeds.empty();
  Out.TakenForSeed = this->TakenForSeed;
  Out.HearsSeed = this->hasSeedLink();
  Out.HeardFromAny = this->Spread.heardFromAny();
  Out.IsReader = this->Fleet.isReader(this->Avoid);
  // In a small fleet nodes do not rely on each other for what they can read.
  Out.IsFirst =
      this->Fleet.allRead() || this->Fleet.readerRank(this->Avoid) == 0;
  // Not before there is a list: until then nobody can have a parent.
  Out.IsOrphan = Out.HasList && this->isOrphan(Now);
  Out.DistrustsParent = this->distrustsParent(Now);
  Out.ReadersFellBehind = Out.HasList && this->takesOver(Now);
  Out.HasVersion = this->InForce != nullptr;
  Out.Waited = toMillis(Now - *this->StartedAt);
  Out.PeersFirst = this->Opts.PeersFirst;
  return Out;
}

void ControlPlane::read(TimePoint Now) {
  ReadPlan Plan = planReading(this->situation(Now));
  if (Plan.What != this->LastDuty)
    this->Trail.add(Now, "reading", dutyName(Plan.What), "platform", Plan.Why);
  this->LastDuty = Plan.What;
  this->Read->tick(Now, Plan.What);
}

bool ControlPlane::hasList() const {
  return this->Spread.held(listTopic(this->Opts.DataCentre)) != nullptr;
}

// A node keeps to its seeds while the list names nobody: upstreams are listed a
// second or more after their nodes start. The seeds read for it.
bool ControlPlane::hasSeedLink() const {
  return !this->TakenForSeed &&
         std::any_of(
             this->Peers.begin(), this->Peers.end(), [](const auto &One) {
               return One.second.Greeted && One.second.Kind == Tie::Seed;
             });
}

bool ControlPlane::hasParentLink() const {
  std::optional<LinkId> Up = this->parentLink();
  return Up && this->Peers.at(*Up).Greeted;
}

// Records whether the tree assigned another parent or the link state changed.
void ControlPlane::auditParentChange(TimePoint Now) {
  const Instance *Parent = this->Fleet.parent(this->Avoid);
  std::string Name = Parent ? Parent->Name : "";
  bool Linked = this->hasParentLink();
  bool Reassigned = Name != this->AuditedParent;
  if (!Reassigned && Linked == this->AuditedParentLinked)
    return;
  this->Trail.add(Now, "parent", Name, Reassigned ? "tree" : "link",
                  Linked ? "linked" : "not linked");
  this->AuditedParent = Name;
  this->AuditedParentLinked = Linked;
}

// Whoever stands at the top of what is left of the tree reads, and those below
// it have what it reads.
bool ControlPlane::isOrphan(TimePoint Now) {
  if (this->Opts.OrphanReadsAfter.count() == 0)
    return false;
  bool FormerParentValid =
      this->FormerParentLink && Now < this->FormerParentValidUntil;
  bool Linked =
      this->hasParentLink() || this->hasSeedLink() || FormerParentValid;
  if (!this->ParentSeen || Linked)
    this->ParentSeen = Now;
  bool Orphan = Now - *this->ParentSeen >= this->Opts.OrphanReadsAfter;
  if (Orphan)
    this->ReadsOnUntil = Now + this->Opts.OrphanReadsOn;
  return Orphan;
}

bool ControlPlane::distrustsParent(TimePoint Now) const {
  return this->ReadsOnUntil && Now < *this->ReadsOnUntil;
}

// The platform's outage makes everybody's documents old as well; the bound on
// the rank keeps the fleet from asking all together.
bool ControlPlane::takesOver(TimePoint Now) const {
  if (!this->Opts.Spread.Guards.ClimbPastDead)
    return false;
  size_t Rank = this->Fleet.readerRank(this->Avoid);
  // A version that has come just now is not confirmed yet, and is not old.
  std::optional<Millis> Age = this->Spread.age(ConfigTopic, Now);
  TimePoint Since = this->InForceSince.value_or(*this->StartedAt);
  Millis Held = Age ? *Age : toMillis(Now - Since);
  Millis Bound =
      2 * this->Opts.Read.WatchWait +
      this->Opts.TakeoverHeartbeats * this->Opts.Spread.HeartbeatInterval +
      static_cast<int64_t>(Rank) * this->Opts.TakeoverStep;
  return Rank < this->Opts.TakeoverMost && Held > Bound;
}

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
  if (std::optional<wire::SpreadFrameT> Known = this->Hold.all(Now))
    this->Hook.Send(Link, encodeFrame(*Known));
}

// Whoever turned to this node for a list waits for it.
void ControlPlane::introduce(TimePoint Now) {
  this->TakenForSeed = true;
  if (this->StartedAt && !this->hasList())
    this->read(Now);
}

void ControlPlane::frame(LinkId Link, std::string_view Bytes, TimePoint Now) {
  this->NowForHooks = Now;
  auto Found = this->Peers.find(Link);
  if (Found == this->Peers.end())
    return;
  Result<wire::SpreadFrameT> Frame =
      decodeSpreadFrame(Bytes, this->Opts.Spread.Guards);
  if (!Frame) {
    this->Trail.add(Now, "link-rubbish", Found->second.Name, "peer",
                    Frame.error().Detail);
    return this->drop(Link, Now);
  }
  if (const auto *Hello = Frame->payload.AsHello())
    return this->onHello(Link, Found->second, *Hello, Now);
  if (!Found->second.Greeted)
    return;
  if (Frame->payload.AsGoodbye())
    return this->drop(Link, Now);
  if (const auto *Said = Frame->payload.AsFleetExchange())
    return this->View.exchange(*Said, Now);
  if (const auto *Said = Frame->payload.AsQuarantine())
    return this->Hold.receive(Link, *Said, Now);
  if (const auto *Beat = Frame->payload.AsHeartbeat(); Beat && Beat->report)
    this->onReport(Link, *Beat->report, Now);
  this->Spread.receive(Link, *Frame, Now);
}

void ControlPlane::onReport(LinkId Link, const wire::FleetReportT &Report,
                            TimePoint Now) {
  if (Report.data_centre != this->Opts.DataCentre)
    return;
  wire::FleetReportT Before = this->View.report(Now);
  this->View.childReport(Link, Report, Now);
  if (!sameReport(Before, this->View.report(Now)))
    this->reportSoon(Now);
}

std::optional<LinkId> ControlPlane::parentLink() const {
  const Instance *Parent = this->Fleet.parent(this->Avoid);
  if (!Parent)
    return std::nullopt;
  auto Found = this->Targets.find(Parent->Name);
  return Found == this->Targets.end() ? std::nullopt : Found->second.Link;
}

void ControlPlane::reportSoon(TimePoint Now) {
  if (std::optional<LinkId> Up = this->parentLink())
    this->Spread.hastenHeartbeat(*Up, Now + this->Opts.ReportBatch);
}

void ControlPlane::exchangeReports(TimePoint Now) {
  const Instance *Root = this->root();
  if (!Root || Root->Name != this->Opts.Self)
    return;
  for (const auto &[Link, To] : this->Peers) {
    if (!To.Greeted || To.Kind != Tie::Bridge)
      continue;
    wire::FleetExchangeT Said;
    Said.reports.push_back(
        std::make_unique<wire::FleetReportT>(this->View.report(Now)));
    wire::SpreadFrameT Frame;
    Frame.payload.Set(std::move(Said));
    this->Hook.Send(Link, encodeFrame(Frame));
  }
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

bool ControlPlane::accept(const Spreader::Arrival &Arrived, TimePoint Now) {
  if (Arrived.Topic == ConfigTopic)
    return this->acceptConfig(Arrived, Now);
  if (Arrived.Topic == EvacuationTopic)
    this->acceptEvacuations(Arrived, Now);
  else if (!listTopicDataCentre(Arrived.Topic).empty())
    this->acceptList(Arrived, Now);
  return true;
}

void ControlPlane::acceptEvacuations(const Spreader::Arrival &Arrived,
                                     TimePoint Now) {
  std::set<std::string> Before = this->Fleet.evacuated();
  std::set<std::string> After = evacuatedIn(*Arrived.Held);
  bool Follows = this->Opts.Spread.Guards.FollowEvacuations;
  if (!Follows || !this->Fleet.evacuate(After))
    return;
  for (const std::string &One : After)
    if (!Before.count(One))
      this->Trail.add(Now, "evacuation", One, Arrived.From, "begun");
  for (const std::string &One : Before)
    if (!After.count(One))
      this->Trail.add(Now, "evacuation", One, Arrived.From, "taken back");
  this->Hook.MembersChanged(Now);
}

bool ControlPlane::acceptConfig(const Spreader::Arrival &Arrived,
                                TimePoint Now) {
  CompileResult Made = this->Compile.compile(*Arrived.Held);
  std::string Stamp = Arrived.Held->stamp().text();
  if (!Made.Compiled) {
    this->View.setRefusal(Arrived.Held->stamp(), Made.Faults.front().text());
    for (const Fault &One : Made.Faults)
      this->Trail.add(Now, "version-refused", Stamp, Arrived.From, One.text());
    this->reportSoon(Now);
    return false;
  }
  // Seeds are left once there is a version.
  this->NeedRetarget |= !this->InForce;
  this->InForce = Made.Compiled;
  this->InForceFrom = Arrived.From;
  this->InForceSince = Now;
  this->View.setInForce(Arrived.Held->stamp());
  this->Trail.add(Now, "version-in-force", Stamp, Arrived.From, "taken");
  this->Hook.ConfigChanged(this->InForce, Now);
  this->reportSoon(Now);
  return true;
}

void ControlPlane::acceptList(const Spreader::Arrival &Arrived, TimePoint Now) {
  uint64_t Before = this->Fleet.generation();
  this->Fleet.update(listTopicDataCentre(Arrived.Topic), *Arrived.Held);
  if (this->Fleet.generation() == Before)
    return;
  this->Trail.add(Now, "list",
                  Arrived.Topic + " " + Arrived.Held->stamp().text(),
                  Arrived.From, "taken");
  this->NeedRetarget = true;
  this->Hook.MembersChanged(Now);
}

std::optional<Millis> ControlPlane::oldestListAge(TimePoint Now) const {
  std::optional<Millis> Oldest;
  for (const std::string &Name : this->Opts.DataCentres) {
    std::optional<Millis> Age = this->Spread.age(listTopic(Name), Now);
    if (!Age)
      return std::nullopt;
    if (!Oldest || *Age > *Oldest)
      Oldest = Age;
  }
  return Oldest;
}

std::vector<std::string> ControlPlane::peers() const {
  std::vector<std::string> Out;
  for (const auto &[Link, One] : this->Peers)
    if (One.Greeted)
      Out.push_back(One.Name);
  return Out;
}

} // namespace hickorylift
