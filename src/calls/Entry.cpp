#include "calls/Entry.h"

#include "base/Hash.h"
#include "gate/IdempotencyChecker.h"

#include <algorithm>

// The life of a call, from the choice of a gate to its end.
//
// A call is at one gate at a time, unless it is hedged (EntryHedges.cpp). It is
// offered to another only if the gate that had it reported "not run", if the
// call was never sent, or if its route allows it to run twice and no part of
// its answer has reached the caller. A lost link proves nothing: the call is
// then in state Searching, and the same incarnation of the same gate is asked
// about it over a new link. Another incarnation does not remember the call, so
// its outcome is unknown.
//
// Only refusals by the gate are retried here, never an answer, whatever its
// status. If the answer is a refusal from a service further down the call
// chain, the hop next to that refusal has already retried, and a second try at
// each of thirteen hops would multiply.

namespace hickorylift {

namespace {

const char UpstreamReasonPrefix[] = "upstream-";
const char UpstreamCrashed[] = "upstream-crashed";
const char Quarantined[] = "quarantined";
const char BesideSuspect[] = "beside-suspect";

// Whether the call may have reached an upstream before it was refused. A call
// that was refused by a gate or failed at a link cost no upstream anything, and
// neither did one for which no connection to the upstream could be made.
bool reachedUpstream(const Refusal &Cause) {
  bool NotConnected = Cause.Reason == "upstream-unreachable" ||
                      Cause.Reason == "upstream-timeout" ||
                      Cause.Reason == "upstream-gone";
  return Cause.CallOutcome == Outcome::Unknown ||
         (Cause.Reason.rfind(UpstreamReasonPrefix, 0) == 0 && !NotConnected);
}

LoadBalancer::CallInfo makeCallInfo(const RequestHead &Head,
                                    const Route &MatchedRoute) {
  LoadBalancer::CallInfo Result;
  Result.BodyBytes = static_cast<uint64_t>(std::max<int64_t>(0, Head.Length));
  Result.TargetLatency = MatchedRoute.TargetLatency;
  Result.Route = MatchedRoute.Name;
  return Result;
}

} // namespace

Entry::Entry(Options GivenOpts, Hooks Hooks, const Membership &Fleet)
    : Opts(std::move(GivenOpts)), Hook(std::move(Hooks)), Fleet(Fleet),
      Balancer(this->Opts.BalancerOptions, this->Opts.DataCentre,
               this->Opts.Self, this->Opts.Seed),
      SplitSchedule(this->Opts.Seed),
      ShedRetries(this->Opts.AllocatorOptions, this->Opts.Seed),
      CallRank(this->Opts.RankOptions, this->Opts.Seed),
      Hedges(this->Opts.HedgeOptions) {
  this->Balancer.setSpilloverHook(this->Hook.SpilloverChanged);
}

Refusal Entry::refusal(Outcome CallOutcome, const std::string &Reason,
                       const std::string &Step, const std::string &Peer) const {
  return makeRefusal(CallOutcome, Reason, Step,
                     Peer.empty() ? this->Opts.Self : Peer);
}

// Answering one caller may end the calls of others: an answer that closes its
// connection also ends the requests that follow on that connection. So a loop
// over several calls must look up each one again.
Entry::PendingCall *Entry::findCall(CallerId Caller) {
  auto Found = this->Calls.find(Caller);
  return Found == this->Calls.end() ? nullptr : &Found->second;
}

void Entry::logEvent(const char *Name, const PendingCall &Call,
                     const Refusal &Cause, TimePoint Now) const {
  CallEvent Event;
  Event.Name = Name;
  Event.RequestId =
      findHeader(Call.Head.Headers, this->Opts.HeaderNames.RequestId);
  Event.Route = Call.MatchedRoute ? Call.MatchedRoute->Name : "";
  Event.Gate = Call.Gate.empty() ? Cause.Peer : Call.Gate;
  Event.Reason = Cause.Reason;
  Event.Step = Cause.Step;
  Event.Version = Call.PinnedConfig ? Call.PinnedConfig->stamp().Version : 0;
  Event.Offers = Call.Offers;
  Event.Nested = Call.ParentRun.has_value();
  Event.Age = toMillis(Now - Call.ReceivedAt);
  Event.TimeLeft = toMillis(Call.Deadline - Now);
  this->Hook.LogEvent(Event, Now);
}

void Entry::configure(const ConfigPtr &NewConfig) {
  this->ActiveConfig = NewConfig;
  this->SplitSchedule.retainOnly(*NewConfig);
  std::erase_if(this->RetryBudgets, [&](const auto &Named) {
    return !NewConfig->findService(Named.first);
  });
}

void Entry::membersChanged(TimePoint) {
  std::set<std::string> Listed;
  if (this->ActiveConfig)
    for (const auto &[Name, Service] : this->ActiveConfig->services())
      for (const Instance *Gate : this->Fleet.upstreams(Name)) {
        Listed.insert(Gate->Name);
        this->Balancer.updateInstance(*Gate);
        this->Statements.instanceListed(*Gate);
      }
  this->Balancer.retainOnly(Listed);
  this->Statements.retainListed(Listed);
}

// A call with an idempotency key goes only to the key's home, the gate that
// remembers the key, whether or not the request is on trial.
const Instance *Entry::chooseGate(const PendingCall &Call, TimePoint Now) {
  if (!Call.IdempotencyKey.empty() && !Call.Idempotent) {
    const Instance *Home = keyHome(
        Call.IdempotencyKey, this->Fleet.upstreams(Call.TargetService->Name));
    bool Usable = Home && !Call.TriedGates.count(Home->Name) &&
                  !this->Fleet.isEvacuated(*Home) &&
                  !this->Statements.isLeaving(*Home);
    return Usable ? Home : nullptr;
  }
  if (Call.OnTrial)
    return this->trialGate(Call, Now);
  const std::vector<const Instance *> &Routable =
      this->Fleet.routableUpstreams(Call.TargetService->Name);
  LoadBalancer::CallInfo Info = makeCallInfo(Call.Head, *Call.MatchedRoute);
  if (!this->Statements.isAnyLeaving())
    return this->Balancer.pick(Routable, Call.TriedGates, Now, Info);
  // Their gates are closed, but one whose process has started again may not
  // know it yet.
  std::vector<const Instance *> Staying = Routable;
  std::erase_if(Staying, [this](const Instance *Gate) {
    return this->Statements.isLeaving(*Gate);
  });
  return this->Balancer.pick(Staying, Call.TriedGates, Now, Info);
}

// A request that is one crash short of quarantine, or whose quarantine term is
// over, is tried at one gate. All nodes choose the same gate, so that many
// nodes that send the request at once cannot each crash an upstream.
const Instance *Entry::trialGate(const PendingCall &Call, TimePoint Now) const {
  std::vector<const Instance *> Open;
  for (const Instance *Gate :
       this->Fleet.routableUpstreams(Call.TargetService->Name))
    if (this->Balancer.isAvailable(*Gate, Now) &&
        !this->Statements.isLeaving(*Gate))
      Open.push_back(Gate);
  const Instance *Home = keyHome(Call.RequestFingerprint.text(), Open);
  return Home && Call.TriedGates.count(Home->Name) ? nullptr : Home;
}

// A body of up to GatherBytes is complete at this point and counts in the
// fingerprint. A request with a longer one is checked by the gate instead. The
// bytes of a body of unknown length count neither here nor at the gate.
Quarantine::Decision Entry::checkQuarantine(PendingCall &Call,
                                            TimePoint Now) const {
  bool HasBody = Call.Head.Length > 0;
  if (HasBody && !Call.Request.finished())
    return {};
  Call.RequestFingerprint = computeFingerprint(
      Call.Head, findHeader(Call.Head.Headers, this->Opts.HeaderNames.Customer),
      HasBody ? Call.Request.bufferedBytes() : std::string_view());
  return this->Hook.CheckQuarantine(Call.RequestFingerprint, Now);
}

bool Entry::canEndBeforeStop(const PendingCall &Call, TimePoint Now) const {
  std::optional<TimePoint> StopsAt = this->Hook.StopsAt();
  return !StopsAt || this->Completions.endsBy(Call.MatchedRoute->Name,
                                              Call.Deadline, *StopsAt, Now);
}

void Entry::routeCall(CallerId Caller, TimePoint Now) {
  PendingCall &Call = this->Calls.at(Caller);
  if (!this->canEndBeforeStop(Call, Now)) {
    if (this->returnToDetachedRun(Caller, Call, Now))
      return;
    Refusal Cause =
        this->refusal(Outcome::NotRun, ReasonStopping, StepEntry, "");
    Cause.RetryAfter = this->Opts.RetryAfter;
    return this->giveUp(Caller, Call.LastRefusal.value_or(Cause), Now);
  }
  Quarantine::Decision Decision = this->checkQuarantine(Call, Now);
  if (Decision.RequestStatus == Quarantine::Status::Quarantined) {
    Refusal Cause = this->refusal(Outcome::NotRun, Quarantined, StepEntry, "");
    Cause.RetryAfter = Decision.RetryAfter;
    return this->giveUp(Caller, Cause, Now);
  }
  Call.OnTrial = Decision.RequestStatus == Quarantine::Status::Trial;
  const Instance *Gate = this->chooseGate(Call, Now);
  if (Gate)
    return this->assign(Caller, Call, *Gate, Now);
  if (this->returnToDetachedRun(Caller, Call, Now))
    return;
  if (Call.LastRefusal)
    return this->giveUp(Caller, *Call.LastRefusal, Now);
  const auto &Open = this->Fleet.routableUpstreams(Call.TargetService->Name);
  std::optional<Millis> NextFree = this->Balancer.shortestRetryAfter(Open, Now);
  bool Listed = !this->Fleet.upstreams(Call.TargetService->Name).empty();
  const char *Reason = !Listed        ? "no-upstream"
                       : Open.empty() ? "evacuated"
                       : NextFree     ? "overload"
                                      : "no-gate";
  Refusal Cause = this->refusal(Outcome::NotRun, Reason, "choose-gate", "");
  Cause.RetryAfter =
      NextFree ? this->waitForFreeGate(Call, *NextFree) : this->Opts.RetryAfter;
  this->giveUp(Caller, Cause, Now);
}

void Entry::assign(CallerId Caller, PendingCall &Call, const Instance &Gate,
                   TimePoint Now) {
  Call.CurrentState = State::Connecting;
  Call.Gate = Gate.Name;
  Call.TriedGates.insert(Gate.Name);
  Call.AssignedAt = Now;
  ++Call.Offers;
  // Each gate gets a new id, so that a late copy of the call at the previous
  // gate is never taken for this one.
  Call.Id = {this->Opts.Incarnation, ++this->LastSeq};
  this->CallerBySeq[Call.Id.Seq] = Caller;
  this->Balancer.recordStart(Gate.Name);
  GateLink &Link = this->Links[Gate.Name];
  // No call is left from an earlier loss of this link, so a new search gets its
  // full time.
  if (Link.Calls.empty())
    Link.LostAt.reset();
  Link.Calls.insert(Caller);
  Link.LastUsedAt = Now;
  if (Link.Up)
    this->sendOpen(Caller, Call, /*Resume=*/false, Now);
  else
    this->connect(Gate.Name, Link, Now);
}

wire::OpenT Entry::makeOpenFrame(const PendingCall &Call, const CallId &Id,
                                 const std::string &Gate, TimePoint Now) const {
  wire::OpenT Open;
  Open.seq = Id.Seq;
  Open.entry = Id.Entry;
  Open.answer_received = Call.Response.received();
  Open.have_head = Call.HaveHead;
  Open.service = Call.TargetService->Name;
  if (const Instance *Target = this->Fleet.find(Gate))
    Open.upstream = Target->Upstream;
  Open.budget_ms = static_cast<uint32_t>(
      std::max<int64_t>(0, toMillis(Call.Deadline - Now).count()));
  return Open;
}

void Entry::sendOpen(CallerId, PendingCall &Call, bool Resume, TimePoint Now) {
  wire::OpenT Open = this->makeOpenFrame(Call, Call.Id, Call.Gate, Now);
  Open.resume = Resume;
  if (!Resume) {
    Open.route = Call.MatchedRoute->Name;
    Open.target_ms = static_cast<uint32_t>(
        std::max<int64_t>(0, toMillis(Call.LatencyTargetAt - Now).count()));
    Open.method = Call.Head.Method;
    Open.path = Call.Head.Path;
    Open.headers = toWire(Call.Head.Headers);
    Open.idempotent = Call.Idempotent;
    Open.idempotency_key = Call.IdempotencyKey;
    Open.length = Call.Head.Length;
    Call.WithholdsBody = Call.Gate != this->Opts.Self &&
                         Call.Head.Length > this->Opts.ImmediateBodyBytes;
    Open.holds_body = Call.WithholdsBody;
    Open.rank = this->CallRank.at(Now);
    Open.returning = this->Opts.FavoursReturning && Call.Returning;
    Open.hedge = Call.AtHedge && Call.Detached && Call.Detached->Hedged;
    Open.crashes = static_cast<uint8_t>(Call.Crashes);
    Open.caller_class = Call.CallerClass;
    Open.limit = Call.MatchedRoute->Bound ? Call.MatchedRoute->Bound->Name : "";
    auto Class = Call.MatchedRoute->ClassPriority.find(Call.CallerClass);
    Open.priority = Class == Call.MatchedRoute->ClassPriority.end()
                        ? Call.MatchedRoute->Priority
                        : Class->second;
    this->setLineage(Call, Open);
  }
  if (const Instance *Target = this->Fleet.find(Call.Gate); Target && !Resume)
    Call.SentTo = {Target->Upstream, Target->Incarnation};
  Call.CurrentState = State::Sent;
  Call.SentAt = Now;
  Call.GateIncarnation = this->Links[Call.Gate].Incarnation;
  this->Hook.Send(Call.Gate, makeCallFrame(std::move(Open)));
  if (!Resume) {
    this->armHedge(Call, Now);
    // The end of the empty body was already sent to the first gate, and the
    // second gate needs it too.
    if (Call.AtHedge)
      Call.Request.rewind(0);
    this->sendBody(Call);
  }
}

void Entry::sendBody(PendingCall &Call) {
  if (Call.CurrentState != State::Sent || Call.WithholdsBody)
    return;
  // Two pieces per window: the credit for one arrives while the other is on its
  // way.
  auto MaxBytes = std::min<size_t>(this->Opts.MaxPieceBytes,
                                   this->Opts.BodyWindowBytes / 2);
  while (auto Piece = Call.Request.nextPiece(MaxBytes)) {
    wire::DataT Data;
    Data.seq = Call.Id.Seq;
    Data.offset = Piece->Offset;
    Data.bytes.assign(Piece->Bytes.begin(), Piece->Bytes.end());
    Data.end = Piece->End;
    this->Hook.Send(Call.Gate, makeCallFrame(std::move(Data)));
  }
}

void Entry::body(CallerId Caller, std::string_view Bytes, TimePoint Now) {
  auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  PendingCall &Call = Found->second;
  Call.Request.append(Bytes);
  bool TooLong = Call.Gate.empty() && Call.Head.Length == UnknownLength &&
                 Call.Request.bufferedSize() >
                     static_cast<uint64_t>(this->Opts.GatherBytes);
  if (TooLong) {
    this->routeCall(Caller, Now);
    if (!this->findCall(Caller))
      return;
  }
  this->sendBody(Call);
  if (!Call.RequestPaused &&
      Call.Request.bufferedSize() >= this->Opts.ReadAheadBytes) {
    Call.RequestPaused = true;
    this->Hook.PauseRequest(Caller, true);
  }
}

void Entry::bodyEnd(CallerId Caller, TimePoint Now) {
  auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  Found->second.Request.finish();
  PendingCall &Call = Found->second;
  if (!Call.Gate.empty())
    return this->sendBody(Call);
  if (Call.Head.Length == UnknownLength)
    Call.Head.Length = static_cast<int64_t>(Call.Request.bufferedSize());
  this->routeCall(Caller, Now);
}

void Entry::callerConsumed(CallerId Caller, uint64_t Total, TimePoint) {
  auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end() || Found->second.CurrentState != State::Sent)
    return;
  wire::CreditT Credit;
  Credit.seq = Found->second.Id.Seq;
  Credit.consumed = Total;
  this->Hook.Send(Found->second.Gate, makeCallFrame(Credit));
}

void Entry::callerGone(CallerId Caller, TimePoint Now) {
  auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  if (Found->second.CurrentState == State::Sent)
    this->cancel(Found->second.Gate, Found->second.Id.Seq, "caller-gone");
  ++this->Counts.Aborted;
  Refusal Cause;
  Cause.Reason = "caller-gone";
  this->logEvent("caller-gone", Found->second, Cause, Now);
  this->finish(Caller, Now);
}

void Entry::leaveGate(CallerId Caller, PendingCall &Call, bool Answered,
                      TimePoint Now) {
  if (Call.Gate.empty())
    return;
  this->Balancer.recordEnd(Call.Gate, Answered, Now - Call.AssignedAt, Now);
  GateLink &Link = this->Links[Call.Gate];
  Link.Calls.erase(Caller);
  Link.LastUsedAt = Now;
  // The link is lost, so only over the next one can the gate be notified that
  // no caller waits for the call any more.
  bool MayRun = Call.CurrentState == State::Searching;
  if (MayRun && Link.AbandonedSeqs.size() < this->Opts.MaxAbandonedCalls)
    Link.AbandonedSeqs.push_back(Call.Id.Seq);
  this->CallerBySeq.erase(Call.Id.Seq);
  Call.Gate.clear();
  Call.AtHedge = false;
}

void Entry::cancel(const std::string &Gate, uint64_t Seq, const char *Reason) {
  wire::CancelT Cancel;
  Cancel.seq = Seq;
  Cancel.reason = Reason;
  this->Hook.Send(Gate, makeCallFrame(std::move(Cancel)));
}

void Entry::finish(CallerId Caller, TimePoint Now) {
  auto Found = this->Calls.find(Caller);
  this->dropDetachedRun(Found->second, Now);
  this->leaveGate(Caller, Found->second, /*Answered=*/true, Now);
  this->removeCall(Caller);
}

void Entry::removeCall(CallerId Caller) {
  auto Found = this->Calls.find(Caller);
  this->Deadlines.erase(Found->second.DeadlineEntry);
  this->Calls.erase(Found);
}

void Entry::refuse(CallerId Caller, const Refusal &Cause) {
  ++this->Counts.RefusedBy[Cause.Reason];
  if (Cause.CallOutcome == Outcome::Unknown)
    ++this->Counts.Unknown;
  this->Hook.Refuse(Caller, Cause);
}

// Whether a refusal indicates a fault of the gate, its link or its upstream. A
// refusal for lack of capacity does not. While a whole service sheds, each gate
// returns several refusals in a row now and then. If these ejected it, the
// remaining gates would get all calls.
bool Entry::blamesGate(const PendingCall &Call, const Refusal &Cause,
                       TimePoint Now) const {
  if (this->isServiceShedding(Call, Cause, Now))
    return false;
  return Cause.Reason.rfind("gate-", 0) == 0 ||
         Cause.Reason.rfind(UpstreamReasonPrefix, 0) == 0;
}

void Entry::giveUp(CallerId Caller, const Refusal &Cause, TimePoint Now) {
  PendingCall &Call = this->Calls.at(Caller);
  bool HaveHead = Call.HaveHead;
  // An idempotent call may have run at an earlier gate, whatever the last one
  // reports, so "not run" would be wrong. A refused hedge says nothing about
  // the call.
  bool RanEarlier =
      Call.LastRefusal && (Call.LastRefusal->CallOutcome == Outcome::Unknown ||
                           Cause.Reason == ReasonHedgeRefused);
  Refusal Final = RanEarlier ? *Call.LastRefusal : Cause;
  bool MayRetry = Final.CallOutcome == Outcome::NotRun && Final.Status == 0;
  if (MayRetry && Final.RetryAfter.count() == 0)
    Final.RetryAfter = this->Opts.RetryAfter;
  if (MayRetry)
    Final.RetryAfter = this->retryAfter(Call, Final, Now);
  if (Final.CallOutcome == Outcome::NotRun)
    this->refundNestedCosts(Call);
  const char *EventName = HaveHead ? "call-broken"
                          : Final.CallOutcome == Outcome::Unknown
                              ? "call-unknown"
                              : "call-refused";
  this->logEvent(EventName, Call, Final, Now);
  this->Hook.CallFinished(Now - Call.ReceivedAt, /*Answered=*/false);
  this->dropDetachedRun(Call, Now);
  this->leaveGate(Caller, Call, !this->blamesGate(Call, Cause, Now), Now);
  this->removeCall(Caller);
  if (HaveHead) {
    ++this->Counts.Aborted;
    return this->Hook.Abort(Caller, Final);
  }
  this->refuse(Caller, Final);
}

// Counts the end of a run without an answer, and returns whether the run may
// have reached an upstream.
bool Entry::countFailure(PendingCall &Call, const Refusal &Cause) const {
  bool ReachedUpstream = reachedUpstream(Cause);
  Call.Attempts += ReachedUpstream ? 1 : 0;
  Call.Crashes += Cause.Reason == UpstreamCrashed ? 1 : 0;
  return ReachedUpstream;
}

bool Entry::mayRetry(PendingCall &Call, const Refusal &Cause, TimePoint Now) {
  bool SafeToRepeat = Cause.CallOutcome == Outcome::NotRun || Call.Idempotent ||
                      !this->Opts.Guards.RetryOnlyHarmless;
  bool ReachedUpstream = this->countFailure(Call, Cause);
  // After a crash several suspects look for a gate at the same time. A gate
  // that is running another suspect has not refused this one for lack of
  // capacity, so the offer does not count, up to MaxOffers times.
  if (Cause.Reason == BesideSuspect &&
      Call.SuspectRefusals++ < this->Opts.MaxOffers)
    --Call.Offers;
  if (!SafeToRepeat || Call.HaveHead || !Call.Request.replayable() ||
      Now >= Call.Deadline || Call.Attempts >= Call.MatchedRoute->attempts() ||
      Call.Offers >= this->Opts.MaxOffers ||
      Call.Crashes >= this->Opts.MaxCrashes || Cause.Reason == Quarantined)
    return false;
  // Refusals with a status of their own concern the call and not the gate, so
  // another gate would refuse it as well.
  if (Cause.Status != 0)
    return false;
  // The retry budget protects upstreams. A call that has reached none of them
  // is still on its first try.
  return !ReachedUpstream || this->spendRetry(Call, Cause, Now);
}

// This node's part of the reserve, so that the sum over all nodes stays within
// it, whichever nodes are running. A node that restarts gets its part again.
double Entry::retryReserve() const {
  if (this->Opts.FleetRetryReserve == 0)
    return RetryBudget::Options().Reserve;
  return this->Opts.FleetRetryReserve /
         static_cast<double>(std::max<size_t>(1, this->Fleet.size()));
}

RetryBudget &Entry::retryBudget(const std::string &Service) {
  double Reserve = this->retryReserve();
  RetryBudget::Options BudgetOpts{.Reserve = Reserve,
                                  .Window = this->Opts.RetryWindow};
  auto [Found, IsNew] = this->RetryBudgets.try_emplace(
      Service, BudgetOpts, this->Opts.Seed ^ contentHash(Service));
  if (!IsNew)
    Found->second.limitReserve(Reserve);
  return Found->second;
}

void Entry::retryOrGiveUp(CallerId Caller, const Refusal &Cause,
                          TimePoint Now) {
  PendingCall &Call = this->Calls.at(Caller);
  if (this->continueFirstRun(Caller, Call, Cause,
                             !this->blamesGate(Call, Cause, Now), Now))
    return;
  if (!this->mayRetry(Call, Cause, Now)) {
    if (!this->returnToDetachedRun(Caller, Call, Now))
      this->giveUp(Caller, Cause, Now);
    return;
  }
  this->retryElsewhere(Caller, Cause, Now);
}

void Entry::retryElsewhere(CallerId Caller, const Refusal &Cause,
                           TimePoint Now) {
  PendingCall &Call = this->Calls.at(Caller);
  ++this->Counts.Retries;
  this->logEvent("call-retried", Call, Cause, Now);
  if (!Call.LastRefusal || Call.LastRefusal->CallOutcome == Outcome::NotRun)
    Call.LastRefusal = Cause;
  this->leaveGate(Caller, Call, !this->blamesGate(Call, Cause, Now), Now);
  Call.Request.rewind(0);
  this->routeCall(Caller, Now);
}

void Entry::processPaused(TimePoint Now) {
  if (this->Opts.Guards.PauseBarrier)
    this->PauseGraceUntil = Now + this->Opts.PauseGrace;
  // Not the gates but this process was unresponsive, so the timeouts start
  // again from now.
  for (auto &[Gate, Link] : this->Links) {
    if (Link.PingSentAt)
      Link.PingSentAt = Now;
    if (Link.LostAt)
      Link.LostAt = Now;
  }
}

// Also cancels the call at its gate, so that it does not go on running without
// a caller.
void Entry::cancelAndGiveUp(CallerId Caller, const char *Reason,
                            TimePoint Now) {
  PendingCall &Call = this->Calls.at(Caller);
  bool MayHaveRun = Call.CurrentState != State::Connecting || Call.Detached;
  if (Call.CurrentState == State::Sent)
    this->cancel(Call.Gate, Call.Id.Seq, Reason);
  this->giveUp(Caller,
               this->refusal(MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                             Reason, StepEntry, Call.Gate),
               Now);
}

void Entry::evict(CallerId Caller, TimePoint Now) {
  if (this->findCall(Caller))
    this->cancelAndGiveUp(Caller, "evicted", Now);
}

size_t Entry::heldBytes(CallerId Caller) const {
  auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return 0;
  const PendingCall &Call = Found->second;
  return sizeof(PendingCall) + Call.Request.reservedSize() +
         hickorylift::heldBytes(Call.Head);
}

void Entry::failRemainingCalls(TimePoint Now) {
  std::vector<CallerId> Callers;
  for (const auto &[Caller, Call] : this->Calls)
    Callers.push_back(Caller);
  for (CallerId Caller : Callers)
    if (this->findCall(Caller))
      this->cancelAndGiveUp(Caller, "stopped", Now);
}

void Entry::tick(TimePoint Now) {
  while (!this->Deadlines.empty() && this->Deadlines.begin()->first <= Now) {
    CallerId Caller = this->Deadlines.begin()->second;
    this->cancelAndGiveUp(Caller, "deadline", Now);
  }
  this->sendDueHedges(Now);
  this->maintainLinks(Now);
}

} // namespace hickorylift
