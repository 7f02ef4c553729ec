#include "calls/Entry.h"

// Hedged requests. A call that may run twice and has no answer after the usual
// time is sent to a second gate. Its first run becomes a detached run whose
// link works (DetachedRun::Hedged), and the call's present run is the hedge
// (PendingCall::AtHedge). The first answer head is used and the other run is
// cancelled. If either run ends without an answer, the call continues with the
// other.
//
// While a call has two runs it is never reported as not run: the failure of one
// run is kept in LastRefusal if its outcome is unknown, and a call that ends
// together with a detached run has an unknown outcome.

namespace hickorylift {

// Whether the call may be hedged now or later, judged by the call's own state
// and route, not by the time or the hedge budget. A run that has crashed an
// upstream may crash the next one too.
bool Entry::allowsHedge(const PendingCall &Call) const {
  bool AttemptLeft = Call.Attempts + 1 < Call.MatchedRoute->attempts() &&
                     Call.Offers < this->Opts.MaxOffers;
  return this->Hedges.enabled() && Call.Idempotent && Call.Head.Length == 0 &&
         AttemptLeft && !Call.HedgeSent && !Call.Detached && !Call.HaveHead &&
         !Call.OnTrial && Call.Crashes == 0;
}

// Sets the timer of a call that was just sent. A tick looks only at the timers
// that are due. Timers of ended calls remain until they are due, so MaxCalls
// bounds the timers too.
void Entry::armHedge(const PendingCall &Call, TimePoint Now) {
  if (!this->allowsHedge(Call) ||
      this->HedgeTimers.size() >= this->Opts.MaxCalls)
    return;
  std::optional<Clock::duration> Delay = this->Hedges.delay(
      Call.MatchedRoute->Name, Call.LatencyTargetAt - Call.AssignedAt, Now);
  if (Delay && Call.AssignedAt + *Delay < Call.Deadline)
    this->HedgeTimers.emplace(Call.AssignedAt + *Delay, Call.Id.Seq);
}

void Entry::sendDueHedges(TimePoint Now) {
  while (!this->HedgeTimers.empty() &&
         this->HedgeTimers.begin()->first <= Now) {
    auto Found = this->CallerBySeq.find(this->HedgeTimers.begin()->second);
    this->HedgeTimers.erase(this->HedgeTimers.begin());
    if (Found == this->CallerBySeq.end())
      continue;
    CallerId Caller = Found->second;
    this->sendHedge(Caller, this->Calls.at(Caller), Now);
  }
}

void Entry::sendHedge(CallerId Caller, PendingCall &Call, TimePoint Now) {
  const std::string &Route = Call.MatchedRoute->Name;
  if (Call.CurrentState != State::Sent || !this->allowsHedge(Call) ||
      !this->Hedges.fits(Route, Call.Deadline, Now) ||
      !this->canEndBeforeStop(Call, Now) || !this->Hedges.hasHedge(Route))
    return;
  // While upstreams shed calls, the retries go to calls that have no run.
  if (this->ShedRetries.isShedding(Call.TargetService->Name, Now))
    return;
  // The request may have become a suspect since it was sent.
  if (this->checkQuarantine(Call, Now).RequestStatus !=
      Quarantine::Status::Free)
    return;
  const Instance *Second = this->chooseGate(Call, Now);
  std::vector<RetryBudget::Cost> Costs = this->nestedCosts(Call);
  RetryBudget &Budget = this->retryBudget(Call.TargetService->Name);
  if (!Second || !Budget.spendRetry(Now, /*Kept=*/0, Costs))
    return;
  this->noteCharged(Call, Costs);
  this->Hedges.spendHedge(Route);
  ++this->Counts.HedgesSent;
  Call.Detached = DetachedRun{
      Call.Gate,        Call.GateIncarnation, Call.Id,
      /*Queried=*/true,
      /*Hedged=*/true,  Call.AssignedAt,      Call.SentAt, Call.SentTo};
  this->DetachedBySeq[Call.Id.Seq] = Caller;
  this->CallerBySeq.erase(Call.Id.Seq);
  GateLink &Link = this->Links[Call.Gate];
  Link.Calls.erase(Caller);
  ++Link.HedgedRuns;
  Call.HedgeSent = Call.AtHedge = true;
  this->assign(Caller, Call, *Second, Now);
}

// The link to the gate of the first run was lost, and over the next one the
// gate has reported that the run continues. Unlike other calls with a detached
// run, a hedged call keeps both.
bool Entry::rejoinFirstRun(const std::string &Gate, PendingCall &Call,
                           TimePoint Now) {
  if (!Call.AtHedge)
    return false;
  DetachedRun &Run = *Call.Detached;
  if (Run.Hedged)
    return true;
  Run.Hedged = true;
  Run.AssignedAt = Run.SentAt = Now;
  this->Balancer.recordStart(Gate);
  ++this->Links[Gate].HedgedRuns;
  return true;
}

// Makes the first run the present one again: it has answered first, or the
// hedge has ended, in which case the call has left the gate of the hedge.
void Entry::returnToFirstRun(CallerId Caller, PendingCall &Call,
                             TimePoint Now) {
  DetachedRun Run = *std::exchange(Call.Detached, std::nullopt);
  this->DetachedBySeq.erase(Run.Id.Seq);
  if (!Call.Gate.empty()) {
    ++this->Counts.HedgesCancelled;
    if (Call.CurrentState == State::Sent)
      this->cancel(Call.Gate, Call.Id.Seq, "answered-elsewhere");
    this->leaveGate(Caller, Call, /*Answered=*/true, Now);
  }
  Call.CurrentState = State::Sent;
  Call.Gate = Run.Gate;
  Call.GateIncarnation = Run.Incarnation;
  Call.Id = Run.Id;
  Call.AssignedAt = Run.AssignedAt;
  Call.SentAt = Run.SentAt;
  Call.SentTo = Run.SentTo;
  this->CallerBySeq[Call.Id.Seq] = Caller;
  GateLink &Link = this->Links[Run.Gate];
  --Link.HedgedRuns;
  Link.Calls.insert(Caller);
}

// The hedge has ended without an answer. Returns whether the call continues
// with its first run. A hedge that its gate refused to run costs the call
// nothing: neither an offer, nor the gate for a later try, nor a retry of the
// service. If the first run has ended too, the spent retry pays for the next
// try.
bool Entry::continueFirstRun(CallerId Caller, PendingCall &Call,
                             const Refusal &Cause, bool Answered,
                             TimePoint Now) {
  if (!Call.AtHedge)
    return false;
  bool FirstRunContinues = Call.Detached && Call.Detached->Hedged;
  if (Cause.Reason == ReasonHedgeRefused) {
    ++this->Counts.HedgesRefused;
    --Call.Offers;
    Call.TriedGates.erase(Call.Gate);
    if (FirstRunContinues) {
      this->retryBudget(Call.TargetService->Name).refund(/*Retries=*/1);
      this->refundNestedCosts(Call);
    }
  } else if (FirstRunContinues) {
    this->noteRunFailure(Call, Cause);
  }
  if (!FirstRunContinues)
    return false;
  this->leaveGate(Caller, Call, Answered, Now);
  this->returnToFirstRun(Caller, Call, Now);
  return true;
}

// The first run of a hedged call has ended without an answer, and the call
// continues with the hedge.
void Entry::endFirstRun(PendingCall &Call, const Refusal &Cause,
                        TimePoint Now) {
  if (!Call.Detached->Hedged)
    return;
  this->releaseFirstRun(*Call.Detached, !this->blamesGate(Call, Cause, Now),
                        Now);
  this->noteRunFailure(Call, Cause);
}

// The link to the gate of the first run is lost. The run is settled over the
// next link like any other detached run.
void Entry::loseFirstRun(PendingCall &Call, TimePoint Now) {
  if (!std::exchange(Call.Detached->Hedged, false))
    return;
  this->releaseFirstRun(*Call.Detached, /*Answered=*/true, Now);
  this->noteRunFailure(Call, this->refusal(Outcome::Unknown, "link-lost",
                                           StepLink, Call.Detached->Gate));
}

void Entry::releaseFirstRun(const DetachedRun &Run, bool Answered,
                            TimePoint Now) {
  this->Balancer.recordEnd(Run.Gate, Answered, Now - Run.AssignedAt, Now);
  GateLink &Link = this->Links[Run.Gate];
  --Link.HedgedRuns;
  Link.LastUsedAt = Now;
}

// Records the failure of one of two runs. A later one cannot turn an unknown
// outcome into "not run".
void Entry::noteRunFailure(PendingCall &Call, const Refusal &Cause) {
  this->countFailure(Call, Cause);
  if (!Call.LastRefusal || Call.LastRefusal->CallOutcome == Outcome::NotRun)
    Call.LastRefusal = Cause;
}

// The time counts from the offer of the first run, also if the hedge has won:
// the hedge's own run time would count a slow call as a fast one, and the delay
// would become shorter with each hedge. A call of which a run was lost or has
// ended with an unknown outcome is left out, because it was offered again
// later.
void Entry::recordAnswerTime(const PendingCall &Call, TimePoint Now) {
  bool Interrupted =
      Call.LastRefusal && Call.LastRefusal->CallOutcome == Outcome::Unknown;
  if (!Call.Idempotent || Call.Head.Length != 0 || Interrupted)
    return;
  bool FirstRunContinues = Call.Detached && Call.Detached->Hedged;
  TimePoint OfferedAt =
      FirstRunContinues ? Call.Detached->AssignedAt : Call.AssignedAt;
  this->Hedges.recordAnswer(Call.MatchedRoute->Name, Now - OfferedAt, Now);
}

} // namespace hickorylift
