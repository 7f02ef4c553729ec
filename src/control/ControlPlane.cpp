#include "control/ControlPlane.h"

#include "membership/Evacuations.h"

#include <algorithm>
#include <cmath>

// Connects Spreader, Membership, FleetView, Quarantine and the document source
// of one node through their hooks. Each tick derives the node's read duty with
// planReading(): the readers read the platform, and so do nodes that cannot get
// documents from their neighbours. A received document is activated only if it
// compiles; otherwise the active one stays. Link management is in
// ControlLinks.cpp.

namespace hickorylift {

namespace {

constexpr Millis ExchangeInterval{2000};
// Maximum number of requests named in one audit event about a crash.
constexpr size_t MaxNamedRequests = 16;

/// The list of its own data centre names a node's neighbours, which can send it
/// the other lists.
ControlPlane::Options withListTopics(ControlPlane::Options Opts) {
  Opts.Spread.FirstTopic = listTopic(Opts.DataCentre);
  Opts.Spread.DeferredTopicPrefix = listTopic("");
  return Opts;
}

} // namespace

ControlPlane::ControlPlane(Options GivenOpts, const SourceFactory &MakeRead,
                           Hooks GivenHooks)
    : Opts(withListTopics(std::move(GivenOpts))), Hook(std::move(GivenHooks)),
      Trail(this->Opts.AuditCapacity, this->Hook.Audit),
      Fleet(this->Opts.Members),
      View(this->Opts.DataCentre, this->Opts.Self, this->Opts.Build,
           this->Opts.MaxReportAge),
      Spread(this->Opts.Spread, this->spreadHooks(), this->Opts.Seed),
      RequestQuarantine(this->Opts.QuarantineOpts, this->quarantineHooks()),
      Source(MakeRead(this->sourceHooks())), ConfigCompiler(this->Opts.Compile),
      Random(this->Opts.Seed + 2),
      Failing({this->Opts.FailingReaderHeartbeats *
               this->Opts.Spread.HeartbeatInterval}) {}

Spreader::Hooks ControlPlane::spreadHooks() {
  Spreader::Hooks Hooks;
  Hooks.Send = [this](LinkId To, const wire::SpreadFrameT &Frame) {
    this->Hook.Send(To, encodeFrame(Frame));
  };
  Hooks.Accept = [this](const Spreader::ReceivedDocument &Received,
                        TimePoint Now) { return this->accept(Received, Now); };
  Hooks.CloseDeadLink = [this](LinkId Link, const Error &Reason) {
    this->Trail.add(this->NowForHooks, "link-condemned", this->Peers[Link].Name,
                    "heartbeat", Reason.Detail);
    std::string DialledName = this->Peers[Link].DialledName;
    this->closeLink(Link, this->NowForHooks);
    if (!this->Targets.count(DialledName))
      return;
    this->AvoidUnresponsiveUntil[DialledName] =
        this->NowForHooks + this->Opts.AvoidUnresponsiveDuration;
    this->avoid(DialledName, this->NowForHooks);
  };
  Hooks.PullUnanswered = [this](const std::string &Topic, LinkId Link,
                                TimePoint Now) {
    auto Found = this->Peers.find(Link);
    std::string Name = Found == this->Peers.end() ? "" : Found->second.Name;
    this->Trail.add(Now, "pull-unanswered", Topic, Name, "asking another");
  };
  Hooks.CompleteHeartbeat = [this](LinkId Link, wire::HeartbeatT &Beat,
                                   TimePoint Now) {
    if (this->parentLink() == Link)
      Beat.report =
          std::make_unique<wire::FleetReportT>(this->View.report(Now));
    auto To = this->Peers.find(Link);
    if (To != this->Peers.end() && this->sendsFailingReaders(To->second))
      Beat.failing_readers = this->Failing.toWire(Now);
  };
  return Hooks;
}

SourceHooks ControlPlane::sourceHooks() {
  SourceHooks Hooks;
  Hooks.Publish = [this](const std::string &Topic, const DocumentPtr &Doc,
                         TimePoint Now) {
    this->NowForHooks = Now;
    DocumentPtr Stored = this->Spread.storedDocument(Topic);
    if (!this->Spread.publish(Topic, Doc, Now) && Stored &&
        Stored->stamp() != Doc->stamp())
      this->Trail.add(Now, "version-stale", Topic + " " + Doc->stamp().text(),
                      "platform", "kept " + Stored->stamp().text());
  };
  Hooks.Confirm = [this](const std::string &Topic, uint64_t Version,
                         uint64_t Revision, TimePoint AskedAt) {
    this->Spread.confirm(Topic, Version, Revision, AskedAt);
    // Spare readers ask the platform themselves if they get no confirmation.
    if (!this->EveryNodeReads)
      this->Spread.sendHeartbeatsBy(AskedAt);
  };
  Hooks.ConfirmedAt = [this](const std::string &Topic) {
    return this->Spread.confirmedAt(Topic);
  };
  Hooks.CurrentDocument = [this](const std::string &Topic) {
    return this->Spread.storedDocument(Topic);
  };
  Hooks.ReportComplete = [this](uint64_t Revision) {
    this->Spread.markComplete(Revision);
  };
  Hooks.CompleteRevision = [this] { return this->Spread.completeRevision(); };
  Hooks.EraObserved = [this](uint64_t Era) { this->Spread.recordEra(Era); };
  Hooks.EarliestEra = [this] { return this->Spread.earliestEra(); };
  this->addReportHooks(Hooks);
  return Hooks;
}

// What a source reports for operators only.
void ControlPlane::addReportHooks(SourceHooks &Hooks) {
  Hooks.Failed = [this](const Error &Reason, TimePoint Now) {
    // Failures with the same error are recorded once, so that a long outage is
    // one event instead of one per attempt.
    if (Reason.text() == this->LastReaderError)
      return;
    this->LastReaderError = Reason.text();
    this->Trail.add(Now, "platform-read", Reason.Step, Reason.Peer,
                    Reason.Code.message() + ": " + Reason.Detail);
  };
  Hooks.Unreadable = [this](const Error &Reason, TimePoint Now) {
    ++this->UnreadableItems;
    if (this->UnreadableLog.take(Now))
      this->Trail.add(Now, "item-unreadable", Reason.Detail, Reason.Peer,
                      "names no upstream");
  };
  Hooks.RecordChanged = [this](uint64_t Version, const RecordIssue &Issue,
                               TimePoint Now) {
    this->UnreadableItems += Issue.LeftOut ? 1 : 0;
    if (this->RecordIssueLog.take(Now))
      this->Trail.add(Now, Issue.LeftOut ? "record-left-out" : "record-changed",
                      Issue.Record, "platform",
                      "version " + std::to_string(Version) + " " +
                          Issue.Detail);
  };
  // A source may have several readers, each of which reports the same restore.
  Hooks.Restored = [this](uint64_t From, uint64_t To, TimePoint Now) {
    if (this->PlatformEra && To <= *this->PlatformEra)
      return;
    this->PlatformEra = To;
    ++this->PlatformRestores;
    this->Trail.add(Now, "platform-restored", "era " + std::to_string(To),
                    "platform", "was era " + std::to_string(From));
  };
  Hooks.SlowTransfer = [this](const std::string &Step, size_t Bytes,
                              Millis Time, TimePoint Now) {
    this->Trail.add(Now, "platform-transfer", Step, "platform",
                    std::to_string(Bytes) + " bytes in " +
                        std::to_string(Time.count()) + " ms");
  };
  Hooks.EntriesKept = [this](const std::string &Topic, size_t Count,
                             const Stamp &Of, TimePoint Now) {
    this->Trail.add(Now, "entries-kept", Topic + " " + Of.text(), "platform",
                    std::to_string(Count) + " missing, may be written again");
  };
  Hooks.Recovered = [this](TimePoint Now) {
    this->LastReaderError.clear();
    this->Trail.add(Now, "platform-back", "", "platform", "answers again");
  };
}

// Records of requests that crash upstreams are sent at once along every link,
// of the trees and of the ring alike: the next attempt of such a request may
// arrive at any node.
Quarantine::Hooks ControlPlane::quarantineHooks() {
  Quarantine::Hooks Hooks;
  Hooks.SendRecords = [this](const wire::SpreadFrameT &Frame,
                             std::optional<LinkId> ExceptLink) {
    std::string Bytes = encodeFrame(Frame);
    for (const auto &[Link, To] : this->Peers)
      if (To.HelloReceived && Link != ExceptLink)
        this->Hook.Send(Link, Bytes);
  };
  Hooks.StatusChanged = [this](const Quarantine::Event &Event, TimePoint Now) {
    std::string Outcome = Event.AffectedRecord->Description;
    if (Event.Term.count() > 0)
      Outcome += " crashes=" +
                 std::to_string(Event.AffectedRecord->activeCrashes().size()) +
                 " for_ms=" + std::to_string(Event.Term.count());
    this->Trail.add(Now, Event.Name,
                    Event.AffectedRecord->RequestFingerprint.text(),
                    Event.Source, Outcome);
  };
  return Hooks;
}

void ControlPlane::upstreamCrashed(
    const std::vector<Quarantine::RunningRequest> &Running, TimePoint Now) {
  std::string Fingerprints;
  for (size_t I = 0; I < std::min(Running.size(), MaxNamedRequests); ++I)
    Fingerprints += " " + Running[I].RequestFingerprint.text();
  this->Trail.add(Now, "upstream-crashed", this->Opts.Self, "gate",
                  "suspects=" + std::to_string(Running.size()) + Fingerprints);
  this->RequestQuarantine.upstreamCrashed(Running, Now);
}

void ControlPlane::tick(TimePoint Now) {
  this->NowForHooks = Now;
  if (!this->StartedAt)
    this->StartedAt = Now;
  // Links are retargeted here and not on the arrival of a list, because the
  // arrival is handled within a link that retargeting may close.
  this->expireAvoided(Now);
  this->updatePassedOver(Now);
  this->updateTopology(Now);
  if (this->NeedsRetarget) {
    this->NeedsRetarget = false;
    this->retarget(Now);
  }
  this->closeFormerLinks(Now);
  this->auditParentChange(Now);
  if (this->LastTick && Now - *this->LastTick > this->Opts.PauseThreshold) {
    this->Trail.add(Now, "paused",
                    std::to_string(toMillis(Now - *this->LastTick).count()) +
                        "ms",
                    "clock", "resynchronising");
    // What the platform answered before the process pause is of unknown age.
    // Without a duty the source abandons the request in progress; it gets its
    // duty back below and asks again.
    this->Source->tick(Now, ReadDuty::None);
  }
  this->LastTick = Now;
  this->updateFailingReaders(Now);
  this->updateReadDuty(Now);
  this->Spread.tick(Now);
  this->RequestQuarantine.tick(Now);
  this->dialTargets(Now);
  if (Now >= this->NextExchange) {
    this->NextExchange = Now + ExchangeInterval;
    this->exchangeReports(Now);
  }
}

ReadSituation ControlPlane::readSituation(TimePoint Now) {
  ReadSituation Situation;
  Situation.HasList = this->hasList();
  Situation.HasSeeds = !this->Opts.Seeds.empty();
  Situation.UsedAsSeed = this->UsedAsSeed;
  Situation.HasSeedLink = this->hasSeedLink();
  Situation.HasNeighbourState = this->Spread.hasNeighbourState();
  // In a small fleet every node reads the platform itself instead of relying on
  // the other nodes.
  bool AllNodesRead = this->everyNodeReads(Now);
  Situation.IsReader = AllNodesRead || this->Fleet.isReader(this->Avoided);
  Situation.IsFirstReader =
      AllNodesRead || this->Fleet.readerRank(this->Avoided) == 0;
  Situation.ReplacesReader = this->replacesReader();
  // Without a list no node can have a parent.
  Situation.LostParent = Situation.HasList && this->hasLostParent(Now);
  Situation.ParentMayBeSlow = this->parentMayBeSlow(Now);
  Situation.ReadersFellBehind =
      Situation.HasList && this->shouldTakeOverReading(Now);
  Situation.HasVersion = this->ActiveConfig != nullptr;
  Situation.SinceStart = toMillis(Now - *this->StartedAt);
  Situation.PeerWaitTime = this->Opts.PeerWaitTime;
  return Situation;
}

// The list of a fleet that starts is filled entry by entry: if its nodes
// followed that list, hundreds of them would read the platform in the first
// second.
bool ControlPlane::everyNodeReads(TimePoint Now) {
  if (this->Fleet.size() > 0 && !this->ListedSince)
    this->ListedSince = Now;
  bool ListMayGrow =
      !this->ListedSince || Now - *this->ListedSince < this->Opts.ListFillTime;
  this->EveryNodeReads = !ListMayGrow && this->Fleet.everyNodeReads();
  return this->EveryNodeReads;
}

void ControlPlane::updateReadDuty(TimePoint Now) {
  ReadPlan Plan = planReading(this->readSituation(Now));
  if (Plan.Duty != this->LastDuty)
    this->Trail.add(Now, "reading", dutyName(Plan.Duty), "platform",
                    Plan.Reason);
  this->LastDuty = Plan.Duty;
  this->Source->tick(Now, Plan.Duty);
}

bool ControlPlane::hasList() const {
  return this->Spread.storedDocument(listTopic(this->Opts.DataCentre)) !=
         nullptr;
}

// A node stays linked to its seeds while the list of its data centre is empty:
// upstreams are listed a second or more after their nodes start. Meanwhile the
// seeds read the platform on its behalf.
bool ControlPlane::hasSeedLink() const {
  return !this->UsedAsSeed &&
         std::any_of(this->Peers.begin(), this->Peers.end(),
                     [](const auto &Linked) {
                       return Linked.second.HelloReceived &&
                              Linked.second.Kind == LinkKind::Seed;
                     });
}

bool ControlPlane::hasParentLink() const {
  std::optional<LinkId> Link = this->parentLink();
  return Link && this->Peers.at(*Link).HelloReceived;
}

// Records whether the tree assigned another parent or the link state changed.
void ControlPlane::auditParentChange(TimePoint Now) {
  const Instance *Parent = this->parent();
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

// A node that loses its parent becomes the top of its remaining subtree. It
// reads the platform, and the nodes below it receive what it reads.
//
// A node that has not had a parent link yet has just received everything from a
// seed, so it waits for its parent as long as for other peers. Neither such a
// parent nor the successor of one that has stopped is suspected of being slow
// once it is linked. Otherwise each start and stop would cost the platform some
// calls for each child, and a fleet in which 2,500 nodes restart in a day would
// make most of its calls for them.
bool ControlPlane::hasLostParent(TimePoint Now) {
  if (this->Opts.LostParentReadDelay.count() == 0)
    return false;
  bool FormerParentValid =
      this->FormerParentLink && Now < this->FormerParentValidUntil;
  bool ParentLinked = this->hasParentLink();
  bool Linked = ParentLinked || this->hasSeedLink() || FormerParentValid;
  this->HadParentLink |= ParentLinked;
  this->ParentLeft &= !ParentLinked;
  if (!this->ParentLastLinkedAt || Linked)
    this->ParentLastLinkedAt = Now;
  Millis ReadDelay =
      this->HadParentLink
          ? this->Opts.LostParentReadDelay
          : std::max(this->Opts.LostParentReadDelay, this->Opts.PeerWaitTime);
  bool Lost = Now - *this->ParentLastLinkedAt >= ReadDelay;
  if (Lost && this->HadParentLink && !this->ParentLeft)
    this->KeepReadingUntil = Now + this->Opts.RegainedParentReadTime;
  return Lost;
}

bool ControlPlane::parentMayBeSlow(TimePoint Now) const {
  return this->KeepReadingUntil && Now < *this->KeepReadingUntil;
}

// Returns whether the configuration has not been confirmed for so long that
// this node has to read. An outage of the platform also leaves the documents of
// all nodes unconfirmed; the limit on the rank keeps the whole fleet from
// reading at once.
bool ControlPlane::shouldTakeOverReading(TimePoint Now) const {
  if (!this->Opts.Spread.Guards.ClimbPastDead)
    return false;
  size_t Rank = this->Fleet.readerRank(this->Avoided);
  // A version that has just arrived is not confirmed yet, but it is not old:
  // its age counts from its activation.
  std::optional<Millis> Age = this->Spread.age(ConfigTopic, Now);
  TimePoint Since = this->ActiveConfigSince.value_or(*this->StartedAt);
  Millis Unconfirmed = Age ? *Age : toMillis(Now - Since);
  Millis Limit =
      2 * this->Opts.Read.WatchWait +
      this->Opts.TakeoverHeartbeats * this->Opts.Spread.HeartbeatInterval +
      static_cast<int64_t>(Rank) * this->Opts.TakeoverDelayPerRank;
  return Rank < this->Opts.MaxTakeoverNodes && Unconfirmed > Limit;
}

// The nodes among which reports about failing readers are exchanged. The first
// nodes in the order are the top of the spreading tree, so links of the tree
// connect them.
std::set<std::string> ControlPlane::readerCandidates() const {
  return this->Fleet.firstInReaderOrder(this->Opts.MaxTakeoverNodes,
                                        this->Avoided);
}

// Whether the readers before this node that can read are too few. As many read
// as have failed: each step takes a request's timeout if the platform does not
// answer. During an outage of the platform all readers fail, and the others in
// turn once they read; the limit on the rank keeps the whole fleet from reading
// at once.
bool ControlPlane::replacesReader() const {
  if (this->ReadsAsFallback)
    return true;
  size_t Wanted = std::max(this->Opts.Members.Readers, this->Failing.size());
  return !this->Failing.empty() &&
         this->Fleet.readerRank(this->Avoided) < this->Opts.MaxTakeoverNodes &&
         this->Fleet.readerRank(this->Failing.addedTo(this->Avoided)) < Wanted;
}

bool ControlPlane::isReader() const {
  return this->Fleet.isReader(this->Avoided) || this->replacesReader();
}

bool ControlPlane::allCandidatesFail() const {
  return !this->Failing.empty() &&
         this->Failing.containsAll(this->readerCandidates());
}

// Only the nodes that read in place of others need the reports, and all nodes
// once those fail as well.
bool ControlPlane::sendsFailingReaders(const Peer &To) const {
  return !this->Failing.empty() &&
         (this->readerCandidates().count(To.Name) || this->allCandidatesFail());
}

// A node that is turned away as well does not try again until a candidate has
// been served: each node that has not tried yet is as likely to be.
void ControlPlane::updateFallback(TimePoint Now) {
  if (!this->allCandidatesFail() ||
      this->readerCandidates().count(this->Opts.Self))
    this->FallbackReadAt.reset();
  else if (!this->FallbackReadAt)
    this->FallbackReadAt = this->drawFallbackTime(Now);
  else if (this->Source->isFailing())
    this->FallbackReadAt = TimePoint::max();
  this->ReadsAsFallback = this->FallbackReadAt && Now >= *this->FallbackReadAt;
}

// The nodes draw independently, so that as many are expected to have begun as
// Options::FallbackReaders says.
TimePoint ControlPlane::drawFallbackTime(TimePoint Now) {
  constexpr double MaxPeriods = 1e6;
  auto Nodes =
      static_cast<double>(this->Fleet.topologySize(this->Opts.DataCentre));
  double Drawn = std::exponential_distribution<double>(1.0)(this->Random);
  double Periods = std::expm1(Drawn * Nodes / this->Opts.FallbackReaders);
  return Now + Millis(static_cast<int64_t>(
                   std::min(Periods, MaxPeriods) *
                   static_cast<double>(this->Opts.FallbackPeriod.count())));
}

// The platform may serve all nodes but the readers, for example if it limits
// the nodes that call it most. The others have working links to the readers and
// would not read themselves, and no new version would reach any of them.
void ControlPlane::updateFailingReaders(TimePoint Now) {
  if (this->Source->isFailing() && !this->EveryNodeReads)
    this->reportFailingReader(this->Opts.Self, Now, "platform", Now);
  else if (this->Failing.forget(this->Opts.Self))
    this->Trail.add(Now, "reader", this->Opts.Self, "platform", "reads again");
  for (const std::string &Name : this->Failing.expire(Now))
    this->Trail.add(Now, "reader", Name, "peers", "no longer fails");
  this->updateFallback(Now);
}

void ControlPlane::reportFailingReader(const std::string &Name,
                                       TimePoint ReportedAt,
                                       const std::string &Source,
                                       TimePoint Now) {
  if (!this->Failing.record(Name, ReportedAt, Now))
    return;
  this->Trail.add(Now, "reader", Name, Source, "fails");
  for (const auto &[Link, To] : this->Peers)
    if (To.HelloReceived && this->sendsFailingReaders(To))
      this->Spread.sendHeartbeatBy(Link, Now);
}

void ControlPlane::onFailingReaders(LinkId Link, const wire::HeartbeatT &Beat,
                                    TimePoint Now) {
  if (Beat.failing_readers.empty())
    return;
  std::set<std::string> Candidates = this->readerCandidates();
  std::string Source = this->Peers.at(Link).Name;
  for (const auto &Report : Beat.failing_readers)
    if (Report->name != this->Opts.Self && Candidates.count(Report->name))
      this->reportFailingReader(Report->name, Now - Millis(Report->age_ms),
                                Source, Now);
}

// Called if another node uses this node as its seed. If this node has no list
// either, it starts reading at once, as the other node waits for the list.
void ControlPlane::onSeedRequest(TimePoint Now) {
  this->UsedAsSeed = true;
  if (this->StartedAt && !this->hasList())
    this->updateReadDuty(Now);
}

void ControlPlane::receiveFrame(LinkId Link, std::string_view Bytes,
                                TimePoint Now) {
  this->NowForHooks = Now;
  auto Found = this->Peers.find(Link);
  if (Found == this->Peers.end())
    return;
  Result<wire::SpreadFrameT> Frame =
      decodeSpreadFrame(Bytes, this->Opts.Spread.Guards);
  if (!Frame) {
    this->Trail.add(Now, "link-rubbish", Found->second.Name, "peer",
                    Frame.error().Detail);
    return this->closeLink(Link, Now);
  }
  if (const auto *Hello = Frame->payload.AsHello())
    return this->onHello(Link, Found->second, *Hello, Now);
  if (!Found->second.HelloReceived)
    return;
  if (Frame->payload.AsGoodbye())
    return this->onGoodbye(Link, Now);
  if (const auto *Exchange = Frame->payload.AsFleetExchange())
    return this->View.recordExchange(*Exchange, Now);
  if (const auto *Records = Frame->payload.AsQuarantine())
    return this->RequestQuarantine.receive(Link, *Records, Now);
  if (const auto *Beat = Frame->payload.AsHeartbeat()) {
    if (Beat->report)
      this->onReport(Link, *Beat->report, Now);
    this->onFailingReaders(Link, *Beat, Now);
  }
  this->Spread.receive(Link, *Frame, Now);
}

void ControlPlane::onReport(LinkId Link, const wire::FleetReportT &Report,
                            TimePoint Now) {
  if (Report.data_centre != this->Opts.DataCentre)
    return;
  wire::FleetReportT Before = this->View.report(Now);
  this->View.recordChildReport(Link, Report, Now);
  if (!sameReport(Before, this->View.report(Now)))
    this->scheduleReport(Now);
}

std::optional<LinkId> ControlPlane::parentLink() const {
  const Instance *Parent = this->parent();
  if (!Parent)
    return std::nullopt;
  auto Found = this->Targets.find(Parent->Name);
  return Found == this->Targets.end() ? std::nullopt : Found->second.Link;
}

void ControlPlane::scheduleReport(TimePoint Now) {
  if (std::optional<LinkId> Link = this->parentLink())
    this->Spread.sendHeartbeatBy(*Link, Now + this->Opts.ReportBatchDelay);
}

void ControlPlane::exchangeReports(TimePoint Now) {
  const Instance *Root = this->root();
  if (!Root || Root->Name != this->Opts.Self)
    return;
  for (const auto &[Link, To] : this->Peers) {
    if (!To.HelloReceived || To.Kind != LinkKind::Bridge)
      continue;
    wire::FleetExchangeT Exchange;
    Exchange.reports.push_back(
        std::make_unique<wire::FleetReportT>(this->View.report(Now)));
    wire::SpreadFrameT Frame;
    Frame.payload.Set(std::move(Exchange));
    this->Hook.Send(Link, encodeFrame(Frame));
  }
}

bool ControlPlane::accept(const Spreader::ReceivedDocument &Received,
                          TimePoint Now) {
  if (Received.Topic == ConfigTopic)
    return this->acceptConfig(Received, Now);
  if (Received.Topic == EvacuationTopic)
    this->acceptEvacuations(Received, Now);
  else if (!dataCentreOfListTopic(Received.Topic).empty())
    this->acceptList(Received, Now);
  return true;
}

void ControlPlane::acceptEvacuations(const Spreader::ReceivedDocument &Received,
                                     TimePoint Now) {
  std::set<std::string> Before = this->Fleet.evacuated();
  std::set<std::string> After = evacuatedDataCentres(*Received.Doc);
  bool Follows = this->Opts.Spread.Guards.FollowEvacuations;
  if (!Follows || !this->Fleet.setEvacuated(After))
    return;
  for (const std::string &DataCentre : After)
    if (!Before.count(DataCentre))
      this->Trail.add(Now, "evacuation", DataCentre, Received.Source, "begun");
  for (const std::string &DataCentre : Before)
    if (!After.count(DataCentre))
      this->Trail.add(Now, "evacuation", DataCentre, Received.Source,
                      "taken back");
  this->Hook.MembersChanged(Now);
}

bool ControlPlane::acceptConfig(const Spreader::ReceivedDocument &Received,
                                TimePoint Now) {
  CompileResult Compiled = this->ConfigCompiler.compile(*Received.Doc);
  std::string Stamp = Received.Doc->stamp().text();
  if (!Compiled.Compiled) {
    this->View.setRefusal(Received.Doc->stamp(),
                          Compiled.Faults.front().text());
    for (const Fault &Found : Compiled.Faults)
      this->Trail.add(Now, "version-refused", Stamp, Received.Source,
                      Found.text());
    this->scheduleReport(Now);
    return false;
  }
  // Once there is a version, the links to seeds are closed, unless the node has
  // no other peer to link to.
  this->NeedsRetarget |= !this->ActiveConfig;
  this->ActiveConfig = Compiled.Compiled;
  this->ActiveConfigSource = Received.Source;
  this->ActiveConfigSince = Now;
  this->View.setActiveVersion(Received.Doc->stamp());
  this->Trail.add(Now, "version-in-force", Stamp, Received.Source, "taken");
  std::set<std::string> Services;
  for (const auto &[Name, Service] : this->ActiveConfig->services())
    Services.insert(Name);
  this->NeedsRetarget |= Services != this->Fleet.services();
  bool MembersChange = this->Fleet.setServices(std::move(Services));
  this->reportContests(Now);
  this->Hook.ConfigChanged(this->ActiveConfig, Now);
  if (MembersChange)
    this->Hook.MembersChanged(Now);
  this->scheduleReport(Now);
  return true;
}

void ControlPlane::acceptList(const Spreader::ReceivedDocument &Received,
                              TimePoint Now) {
  uint64_t Before = this->Fleet.generation();
  this->Fleet.updateList(dataCentreOfListTopic(Received.Topic), *Received.Doc);
  if (this->Fleet.generation() == Before)
    return;
  this->Trail.add(Now, "list",
                  Received.Topic + " " + Received.Doc->stamp().text(),
                  Received.Source, "taken");
  this->reportContests(Now);
  this->Hook.MembersChanged(Now);
}

void ControlPlane::reportContests(TimePoint Now) {
  std::map<std::string, std::string> Contests = this->Fleet.contests();
  for (const auto &[Name, Text] : Contests) {
    auto Known = this->ReportedContests.find(Name);
    bool IsNew = Known == this->ReportedContests.end() || Known->second != Text;
    if (IsNew && this->ContestLog.take(Now))
      this->Trail.add(Now, "address-contested", Name, "list", Text);
  }
  this->ReportedContests = std::move(Contests);
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

std::vector<std::string> ControlPlane::peerNames() const {
  std::vector<std::string> Names;
  for (const auto &[Link, Linked] : this->Peers)
    if (Linked.HelloReceived)
      Names.push_back(Linked.Name);
  return Names;
}

} // namespace hickorylift
