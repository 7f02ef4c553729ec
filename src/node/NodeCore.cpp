#include "node/NodeCore.h"

#include <sstream>
#include <utility>

// Every event passes through observe(), and the call tick alone comes fifty
// times a second; so a gap between two events means that the process stood
// still, and the event at hand is the first after it. Entry and gate hear of
// the pause before they hear of the event.

namespace hickorylift {

namespace {

// The link to this node's own gate; a transport's numbers start at one.
constexpr LinkId LocalLink = 0;
const char HealthDraining[] = "draining";
// Why a gate is closed.
const char ByList[] = "list";
const char ByEvacuation[] = "evacuation";
const char ByHealth[] = "upstream";
const char ByStop[] = "stop";
constexpr size_t MaxHealthText = 64;

std::string formatNumber(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

std::vector<std::string> ownFirst(const std::string &Own,
                                  const std::vector<std::string> &All) {
  std::vector<std::string> Out{Own};
  for (const std::string &One : All)
    if (One != Own)
      Out.push_back(One);
  return Out;
}

} // namespace

void NodeCore::Options::setIdentity(const std::string &Name,
                                    const std::string &DataCentre,
                                    const std::vector<std::string> &DataCentres,
                                    const std::string &Service,
                                    uint64_t Incarnation) {
  this->Control.Self = Name;
  this->Control.DataCentre = DataCentre;
  this->Control.DataCentres = DataCentres;
  this->Control.Incarnation = Incarnation;
  this->Control.Seed = Incarnation;
  this->Control.Members.Self = Name;
  this->Control.Members.DataCentre = DataCentre;
  this->Control.Members.Service = Service;
  this->Control.Spread.Guards = this->Guards;
  this->Control.Compile.Guards = this->Guards;
  this->Control.QuarantineOpts.Self = Name;
  this->Control.QuarantineOpts.Service = Service;
  this->Control.QuarantineOpts.Incarnation = Incarnation;
  this->Control.QuarantineOpts.Guards = this->Guards;
  this->CallEntry.Self = Name;
  this->CallEntry.DataCentre = DataCentre;
  this->CallEntry.Service = Service;
  this->CallEntry.Incarnation = Incarnation;
  this->CallEntry.Seed = Incarnation;
  this->CallEntry.Guards = this->Guards;
  this->CallGate.Self = Name;
  this->CallGate.Service = Service;
  this->CallGate.Incarnation = Incarnation;
  this->CallGate.Seed = Incarnation;
  this->CallGate.Guards = this->Guards;
  this->CallGate.AdmissionOpts.Guards = this->Guards;
  this->CallGate.IdempotencyOpts.Guards = this->Guards;
}

NodeCore::NodeCore(const Options &GivenOpts, Platform &Source, Hooks GivenHooks)
    : NodeCore(
          GivenOpts,
          [&GivenOpts, &Source](SourceHooks Read) {
            const ControlPlane::Options &Of = GivenOpts.Control;
            return std::make_unique<PlatformReader>(
                Of.Read, Source, std::move(Read),
                ownFirst(Of.DataCentre, Of.DataCentres), Of.Seed + 1);
          },
          std::move(GivenHooks)) {}

NodeCore::NodeCore(const Options &GivenOpts, const SourceFactory &MakeRead,
                   Hooks GivenHooks)
    : Opts(GivenOpts), Hook(std::move(GivenHooks)),
      Runs(GivenOpts.NestedCalls) {
  this->Control = std::make_unique<ControlPlane>(this->Opts.Control, MakeRead,
                                                 this->controlHooks());
  this->From = std::make_unique<Entry>(this->Opts.CallEntry, this->entryHooks(),
                                       this->Control->members());
  this->At = std::make_unique<Gate>(this->Opts.CallGate, this->gateHooks());
  this->Control->setConfirmation([this](const Instance &Of) {
    bool IsOwn = Of.Name == this->Opts.CallGate.Self;
    return IsOwn ? this->At->isConfirmed(Of) : this->From->isConfirmed(Of);
  });
}

ControlPlane::Hooks NodeCore::controlHooks() {
  ControlPlane::Hooks Out;
  Out.Dial = [this](const std::string &Peer, const std::string &Address) {
    this->Hook.Dial(ControlPurpose, Peer, Address);
  };
  Out.Send = this->Hook.Send;
  Out.Close = this->Hook.Close;
  Out.ConfigChanged = [this](const ConfigPtr &New, TimePoint Now) {
    this->From->configure(New);
    this->At->configure(New, Now);
    this->Hook.ConfigChanged(New);
  };
  Out.MembersChanged = [this](TimePoint Now) { this->membersChanged(Now); };
  Out.Audit = this->Hook.Audit;
  return Out;
}

Entry::Hooks NodeCore::entryHooks() {
  Entry::Hooks Out = this->Hook.Callers;
  Out.Connect = [this](const Instance &Gate) {
    std::string Name = Gate.Name;
    if (Name != this->Opts.CallGate.Self)
      return this->Hook.Dial(CallPurpose, Name, Gate.Node);
    this->Hook.Post([this, Name](TimePoint Now) {
      this->At->linkUp(LocalLink, Now);
      this->From->linkUp(Name, Now);
    });
  };
  Out.Send = [this](const std::string &Gate, wire::CallFrameT Frame) {
    this->sendToGate(Gate, std::move(Frame));
  };
  Out.CheckQuarantine = [this](const Fingerprint &Of, TimePoint Now) {
    return this->Control->quarantine().check(Of, Now);
  };
  Out.StopsAt = [this] { return this->StopBy; };
  Out.RefuteUpstream = [this](const std::string &Gate,
                              const UpstreamStart &Start, TimePoint Now) {
    return this->refuteUpstream(Gate, Start, Now);
  };
  if (this->Runs.enabled())
    Out.FindParentRun = [this](const std::string &RequestId) {
      return this->Runs.findParent(RequestId);
    };
  Out.RecordNestedCall = [this](const std::string &RequestId,
                                const ServiceCalls &Caused) {
    this->Runs.recordNestedCall(RequestId, Caused);
  };
  Out.Close = [this](const std::string &Gate) {
    auto Link = this->GateLinks.find(Gate);
    if (Link == this->GateLinks.end())
      return;
    this->Hook.Close(Link->second);
    this->LinkGates.erase(Link->second);
    this->GateLinks.erase(Link);
  };
  return Out;
}

Gate::Hooks NodeCore::gateHooks() {
  Gate::Hooks Out = this->Hook.Upstream;
  Out.Send = [this](LinkId Link, wire::CallFrameT Frame) {
    this->sendToEntry(Link, std::move(Frame));
  };
  Out.StatementChanged = [this](const UpstreamStatement &Before,
                                const UpstreamStatement &After, TimePoint Now) {
    this->noteStatement(Before, After, Now);
  };
  Out.SheddingChanged = [this](uint32_t ShedPercent, TimePoint Now) {
    this->noteShedding(ShedPercent, Now);
  };
  Out.StatementUnreadable = [this](const std::string &Fault, TimePoint Now) {
    if (this->StatementLog.take(Now))
      this->Control->audit().add(Now, "statement-unreadable",
                                 this->Opts.CallGate.Self, "answer", Fault);
  };
  Out.RunStarted = [this](const CallId &Call, const std::string &RequestId,
                          const RunRegistry::Run &Started) {
    this->Runs.runStarted(Call, RequestId, Started);
  };
  Out.RunEnded = [this](const CallId &Call) { this->Runs.runEnded(Call); };
  Out.NestedCalls = [this](const CallId &Call) {
    return this->Runs.nestedCalls(Call);
  };
  Out.SlowdownChanged = [this](bool Slow, uint32_t Percent, TimePoint Now) {
    this->noteSlowdown(Slow, Percent, Now);
  };
  Out.StopsAt = [this] { return this->StopBy; };
  Out.ListAge = [this](TimePoint Now) {
    return this->Control->oldestListAge(Now);
  };
  Out.CheckQuarantine = [this](const Fingerprint &Of, TimePoint Now) {
    return this->Control->quarantine().check(Of, Now);
  };
  Out.UpstreamDisowned = [this](const std::string &Upstream, TimePoint Now) {
    this->refuteUpstream(this->Opts.CallGate.Self, Upstream, Now);
  };
  Out.RequestAnswered = [this](const Fingerprint &Of, TimePoint Now) {
    this->Control->quarantine().requestAnswered(Of, Now);
  };
  Out.UpstreamCrashed =
      [this](const std::vector<Quarantine::RunningRequest> &Running,
             TimePoint Now) { this->Control->upstreamCrashed(Running, Now); };
  return Out;
}

// The entry and the gate are told in the next turn, as one of them is in the
// midst of a call.
template <typename T>
bool NodeCore::refuteUpstream(const std::string &Name, const T &Start,
                              TimePoint Now) {
  uint64_t Before = this->Control->members().generation();
  bool IsOtherUsed = this->Control->refuteUpstream(Name, Start, Now);
  if (this->Control->members().generation() != Before)
    this->Hook.Post([this](TimePoint At) { this->membersChanged(At); });
  return IsOtherUsed;
}

// Frames to this node's own gate wait for the next turn of the loop, as if
// they had come over a link: otherwise the gate's answer would arrive while
// the entry is still in the midst of sending.
void NodeCore::sendToGate(const std::string &Gate, wire::CallFrameT Frame) {
  if (Gate == this->Opts.CallGate.Self)
    return this->Hook.Post([this, Frame = std::move(Frame)](TimePoint Now) {
      this->At->handleFrame(LocalLink, Frame, Now);
    });
  auto Link = this->GateLinks.find(Gate);
  if (Link != this->GateLinks.end())
    this->Hook.Send(Link->second, encodeFrame(Frame));
}

void NodeCore::sendToEntry(LinkId Link, wire::CallFrameT Frame) {
  if (Link != LocalLink)
    return this->Hook.Send(Link, encodeFrame(Frame));
  this->Hook.Post([this, Frame = std::move(Frame)](TimePoint Now) {
    this->From->handleFrame(this->Opts.CallGate.Self, Frame, Now);
  });
}

void NodeCore::observe(TimePoint Now) {
  bool Paused =
      this->LastEvent && Now - *this->LastEvent > this->Opts.PauseThreshold;
  Millis Gap = this->LastEvent ? toMillis(Now - *this->LastEvent) : Millis(0);
  this->LastEvent = Now;
  if (Paused)
    this->pausedFor(Gap, Now);
}

// The platform counts the time of a stop with the suspension.
void NodeCore::suspended(Millis For, TimePoint Now) {
  if (this->StopBy)
    *this->StopBy -= For;
  if (this->LingerUntil)
    *this->LingerUntil -= For;
  if (For > this->Opts.SuspendThreshold)
    this->pausedFor(For, Now);
}

void NodeCore::pausedFor(Millis Gap, TimePoint Now) {
  this->Control->audit().add(Now, "paused", std::to_string(Gap.count()) + "ms",
                             "clock", "what lay in the sockets is suspect");
  this->At->processPaused(Now);
  this->From->processPaused(Now);
}

void NodeCore::opened(LinkId Link, char Purpose, const std::string &Dialled,
                      TimePoint Now) {
  this->observe(Now);
  if (Purpose == ControlPurpose)
    return this->Control->linkOpened(Link, Dialled, Now);
  if (Purpose != CallPurpose)
    return this->Hook.Close(Link);
  if (Dialled.empty())
    return this->At->linkUp(Link, Now);
  // An earlier dial that was given up may have come through after all.
  if (auto Old = this->GateLinks.find(Dialled); Old != this->GateLinks.end()) {
    this->LinkGates.erase(Old->second);
    this->Hook.Close(Old->second);
  }
  this->GateLinks[Dialled] = Link;
  this->LinkGates[Link] = Dialled;
  this->From->linkUp(Dialled, Now);
}

void NodeCore::dialFailed(char Purpose, const std::string &Peer,
                          TimePoint Now) {
  this->observe(Now);
  if (Purpose == ControlPurpose)
    this->Control->dialFailed(Peer, Now);
  else
    this->From->linkDown(Peer, Now);
}

void NodeCore::frame(LinkId Link, char Purpose, std::string_view Bytes,
                     TimePoint Now) {
  this->observe(Now);
  if (Purpose == ControlPurpose)
    return this->Control->receiveFrame(Link, Bytes, Now);
  Result<wire::CallFrameT> Frame = decodeCallFrame(Bytes, this->Opts.Guards);
  if (!Frame) {
    this->Control->audit().add(Now, "link-rubbish", std::to_string(Link),
                               "peer", Frame.error().Detail);
    this->Hook.Close(Link);
    return this->closed(Link, CallPurpose, Now);
  }
  auto Gate = this->LinkGates.find(Link);
  if (Gate == this->LinkGates.end())
    return this->At->handleFrame(Link, *Frame, Now);
  std::string Name = Gate->second;
  this->From->handleFrame(Name, *Frame, Now);
}

void NodeCore::closed(LinkId Link, char Purpose, TimePoint Now) {
  this->observe(Now);
  if (Purpose == ControlPurpose)
    return this->Control->linkClosed(Link, Now);
  auto Gate = this->LinkGates.find(Link);
  if (Gate == this->LinkGates.end())
    return this->At->linkDown(Link, Now);
  std::string Name = Gate->second;
  this->LinkGates.erase(Gate);
  this->GateLinks.erase(Name);
  this->From->linkDown(Name, Now);
}

// An upstream that leaves is marked so in the list, or only taken off it.
// Either way it serves for its drain time and may end then; a gate that stayed
// open would hand it calls that have waited for their bodies for seconds, and
// their callers would lose what was running at its end. An entry that was never
// there closes nothing: an upstream that starts is listed a moment after its
// node. One that lapsed because nobody could renew it comes back, and the gate
// reopens.
void NodeCore::membersChanged(TimePoint Now) {
  const Membership &Fleet = this->Control->members();
  this->From->membersChanged(Now);
  this->At->membersChanged(Fleet.upstreams(this->Opts.CallGate.Service), Now);
  const Instance *Own = Fleet.ownUpstream();
  bool WasListed = this->SeenAs != OwnEntry::Missing;
  this->noteOwnEntry(Own, Now);
  if (Own ? Own->Leaving : WasListed)
    this->drainGate(ByList, Now);
  else if (Own)
    this->reopenGate(ByList, Now);
  this->followEvacuation(Now);
}

// Its upstreams may have been made cold while nothing was sent to them.
void NodeCore::followEvacuation(TimePoint Now) {
  const std::set<std::string> &Evacuated = this->Control->members().evacuated();
  if (Evacuated.count(this->Opts.Control.DataCentre))
    return this->drainGate(ByEvacuation, Now);
  if (!this->At->isDrainedBy(ByEvacuation))
    return;
  this->At->suspectRestart(Now);
  this->reopenGate(ByEvacuation, Now);
}

// A gate that is closed, or not, is explained by what the list said of its
// upstream: that it leaves, or nothing any more.
void NodeCore::noteOwnEntry(const Instance *Own, TimePoint Now) {
  OwnEntry Seen = !Own           ? OwnEntry::Missing
                  : Own->Leaving ? OwnEntry::Leaving
                                 : OwnEntry::Live;
  if (Seen == this->SeenAs)
    return;
  this->SeenAs = Seen;
  const char *Says = Seen == OwnEntry::Missing   ? "missing"
                     : Seen == OwnEntry::Leaving ? "leaving"
                                                 : "live";
  this->Control->audit().add(Now, "own-entry", this->Opts.CallGate.Self, "list",
                             Says);
}

// An upstream may state another rate in each answer. That it begins or ends to
// state one is always worth a line.
void NodeCore::noteStatement(const UpstreamStatement &Before,
                             const UpstreamStatement &After, TimePoint Now) {
  bool RateOnly = Before.CallsPerSecond && After.CallsPerSecond &&
                  Before.Leaving == After.Leaving;
  if (RateOnly && !this->StatementLog.take(Now))
    return;
  std::string Rate =
      After.CallsPerSecond ? formatNumber(*After.CallsPerSecond) : "none";
  std::string Leaving = After.Leaving ? "yes" : "no";
  this->Control->audit().add(Now, "upstream-states", this->Opts.CallGate.Self,
                             "answer",
                             "calls_per_s=" + Rate + " leaving=" + Leaving);
  if (After.Leaving && !Before.Leaving)
    this->auditDrain(Gate::DrainedByStatement, Now);
  if (Before.Leaving && !After.Leaving)
    this->auditReopen(Gate::DrainedByStatement, Now);
}

// Begun and ended are logged in pairs, see noteSlowdown().
void NodeCore::noteShedding(uint32_t ShedPercent, TimePoint Now) {
  bool Sheds = ShedPercent > 0;
  if (Sheds == this->LoggedShedding || (Sheds && !this->SheddingLog.take(Now)))
    return;
  this->LoggedShedding = Sheds;
  std::string Outcome =
      Sheds ? "begun shed_percent=" + std::to_string(ShedPercent) : "ended";
  this->Control->audit().add(Now, "upstream-sheds", this->Opts.CallGate.Self,
                             "answer", Outcome);
}

// "upstream-slow" and "upstream-recovered" are logged in pairs: a limit on
// single events could suppress the recovery, and the audit trail would show the
// upstream as slow for ever.
void NodeCore::noteSlowdown(bool Slow, uint32_t Percent, TimePoint Now) {
  if (Slow == this->LoggedSlow || (Slow && !this->SlowdownLog.take(Now)))
    return;
  this->LoggedSlow = Slow;
  this->Control->audit().add(Now, Slow ? "upstream-slow" : "upstream-recovered",
                             this->Opts.CallGate.Self, "gate",
                             "slowdown_percent=" + std::to_string(Percent));
}

// The endpoint lags and misleads, so it closes the gate when it says that the
// upstream drains, and decides nothing else.
void NodeCore::health(const Result<HealthAnswer> &Said, TimePoint Now) {
  this->observe(Now);
  if (Said)
    this->At->upstreamReported(Said->coldTimeLeft(), Now);
  bool Up = Said && Said->isHealthy();
  std::string Text = Said ? Said->Body.substr(0, MaxHealthText) : "";
  if (Up != this->UpstreamUp)
    this->Control->audit().add(Now, "upstream", Up ? "reachable" : "lost",
                               "health",
                               Up     ? Text
                               : Said ? std::to_string(Said->Status)
                                      : Said.error().Detail);
  this->UpstreamUp = Up;
  this->UpstreamSays = Up ? Text : "";
  if (Up && Text.rfind(HealthDraining, 0) == 0)
    this->drainGate(ByHealth, Now);
  else if (Up)
    this->reopenGate(ByHealth, Now);
}

bool NodeCore::ready() const {
  // Without anybody who asks it, an upstream that fails is seen by its answers,
  // and callers who come here are served by others.
  bool UpstreamFits =
      !this->AsksUpstream || (this->UpstreamUp && !this->At->draining());
  return this->Control->config() && this->Control->members().size() > 0 &&
         UpstreamFits && !this->StopBy;
}

void NodeCore::drainGate(const std::string &By, TimePoint Now) {
  if (this->At->isDrainedBy(By))
    return;
  this->auditDrain(By, Now);
  this->At->drain(By, Now);
}

void NodeCore::auditDrain(const std::string &By, TimePoint Now) {
  Gate::UnfinishedCalls Left = this->At->unfinishedCalls();
  std::string Outcome = "no new work; waiting=" + std::to_string(Left.Waiting) +
                        " admitted=" + std::to_string(Left.Admitted) +
                        " running=" + std::to_string(Left.Running);
  this->Control->audit().add(Now, "gate-draining", this->Opts.CallGate.Self, By,
                             Outcome);
}

void NodeCore::reopenGate(const std::string &By, TimePoint Now) {
  if (!this->At->isDrainedBy(By))
    return;
  this->At->reopen(By, Now);
  this->auditReopen(By, Now);
}

void NodeCore::auditReopen(const std::string &By, TimePoint Now) {
  this->Control->audit().add(Now, "gate-open", this->Opts.CallGate.Self, By,
                             this->At->draining()
                                 ? "still closed: " + this->At->drainReasons()
                                 : "takes work again");
}

void NodeCore::stop(const std::string &By, TimePoint Now) {
  if (this->StopBy)
    return;
  this->Control->audit().add(Now, "stop", this->Opts.CallGate.Self, By,
                             "draining");
  this->StopBy = Now + this->Opts.StopWithin;
  this->LingerUntil = Now + this->Opts.StopLinger;
  this->Hook.Leaving();
  if (this->Opts.StopLinger.count() == 0)
    this->endLinger(Now);
}

// The upstream is well, and its slots are needed until the process really goes:
// so the gate stays open as long as callers are taken.
void NodeCore::endLinger(TimePoint Now) {
  this->LingerUntil.reset();
  this->drainGate(ByStop, Now);
  this->From->drain();
  this->Hook.CloseIdle();
  this->stopListening();
}

// A run of the upstream may still make calls here, which fail if nobody listens
// to them. Other callers are refused meanwhile.
void NodeCore::stopListening() {
  bool MayCall = this->Runs.enabled() && this->Runs.runCount() > 0;
  if (!MayCall && !std::exchange(this->ListeningEnded, true))
    this->Hook.StopListening();
}

void NodeCore::callTick(TimePoint Now) {
  this->observe(Now);
  this->At->tick(Now);
  this->From->tick(Now);
  if (this->LingerUntil && Now >= *this->LingerUntil)
    this->endLinger(Now);
  if (this->StopBy && !this->LingerUntil)
    this->stopListening();
  if (this->StopBy && !this->StopDone)
    this->finishStop(Now);
}

void NodeCore::controlTick(TimePoint Now) {
  this->observe(Now);
  this->Control->tick(Now);
}

// Killing the process while it carries a call cuts the call: the caller sees a
// broken answer and the upstream an upload that ends in the middle. So the
// process ends only once nothing is under way in either direction.
void NodeCore::finishStop(TimePoint Now) {
  bool Idle = !this->LingerUntil && this->From->idle() && this->At->idle() &&
              this->Hook.CallersServed();
  bool Wait = !Idle && Now < *this->StopBy && this->Opts.Guards.StopWaits;
  if (Wait)
    return;
  // Callers whose time is not over yet get an answer rather than a cut. It
  // leaves before the next tick.
  if (!Idle && this->Opts.Guards.StopWaits &&
      !std::exchange(this->Abandoned, true))
    return this->From->failRemainingCalls(Now);
  this->StopDone = true;
  this->Control->audit().add(Now, "stopped", this->Opts.CallGate.Self, "",
                             Idle ? "nothing cut" : "time ran out");
  this->Control->sendGoodbye();
  this->Hook.Stopped();
}

} // namespace hickorylift
