#include "control/ControlPlane.h"

#include "membership/Evacuations.h"

#include <algorithm>

namespace hickorylift {

namespace {

constexpr Millis ExchangeInterval{2000};
// Requests that one line about a crash names.
constexpr size_t MaxNamed = 16;

} // namespace

ControlPlane::ControlPlane(Options GivenOpts, const SourceFactory &MakeRead,
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
  Out.CurrentDocument = [this](const std::string &Topic) {
    return this->Spread.held(Topic);
  };
  Out.ReportComplete = [this](uint64_t Revision) {
    this->Spread.complete(Revision);
  };
  Out.CompleteRevision = [this] { return this->Spread.completeAt(); };
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
  Out.EraObserved = [this](uint64_t Era) { this->Spread.meetEra(Era); };
  Out.EarliestEra = [this] { return this->Spread.firstEra(); };
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
