#include "calls/Entry.h"

#include <algorithm>

// Frames from gates about the calls that were sent to them: answers, refusals,
// and how much of a body the gate has consumed. A frame counts only if the call
// is still at the gate that sent it; late frames from an earlier gate are
// ignored.

namespace hickorylift {

namespace {

constexpr unsigned FirstServerError = 500;
// The gate's upstream is no longer running.
const char UpstreamGone[] = "upstream-gone";
const char UpstreamCrashed[] = "upstream-crashed";
const char UpstreamReplaced[] = "upstream-replaced";
const char UpstreamReasonPrefix[] = "upstream-";
const char NotMyService[] = "not-my-service";

} // namespace

std::optional<Entry::CallerId> Entry::findCallAtGate(const std::string &Gate,
                                                     uint64_t Seq) const {
  auto Found = this->CallerBySeq.find(Seq);
  if (Found == this->CallerBySeq.end())
    return std::nullopt;
  return this->Calls.at(Found->second).Gate == Gate
             ? std::optional(Found->second)
             : std::nullopt;
}

void Entry::handleFrame(const std::string &Gate, const wire::CallFrameT &Frame,
                        TimePoint Now) {
  auto Found = this->Links.find(Gate);
  if (Found == this->Links.end())
    return;
  GateLink &Link = Found->second;
  Link.LastFrameAt = Now;
  Link.PingSentAt.reset();
  if (const auto *Hello = Frame.payload.AsCallHello())
    return this->onHello(Gate, Link, *Hello, Now);
  if (const auto *Head = Frame.payload.AsHead())
    return this->onHead(Gate, *Head, Now);
  if (const auto *Data = Frame.payload.AsData())
    return this->onData(Gate, *Data, Now);
  if (const auto *Failed = Frame.payload.AsFailed())
    return this->onFailed(Gate, *Failed, Now);
  if (const auto *Admitted = Frame.payload.AsAdmitted())
    return this->onAdmitted(Gate, *Admitted, Now);
  if (const auto *Credit = Frame.payload.AsCredit())
    return this->onCredit(Gate, *Credit, Now);
  if (Frame.payload.AsDraining())
    return this->Balancer.markDraining(Gate);
  if (const auto *Pong = Frame.payload.AsPong())
    return this->onPong(Gate, Link, *Pong, Now);
  if (const auto *Ping = Frame.payload.AsPing()) {
    wire::PongT Pong;
    Pong.nonce = Ping->nonce;
    this->Hook.Send(Gate, makeCallFrame(std::move(Pong)));
  }
}

void Entry::onPong(const std::string &Gate, GateLink &Link,
                   const wire::PongT &Pong, TimePoint Now) {
  if (Pong.load)
    this->Balancer.recordLoad(Gate, *Pong.load, Now);
  this->recordShedding(Gate, Pong.shed_percent, Now);
  this->Balancer.recordSlowdown(Gate, Pong.slowdown_percent, Now);
  Pong.draining ? this->Balancer.markDraining(Gate)
                : this->Balancer.clearDraining(Gate);
  if (Pong.gone)
    this->Balancer.markUnreachable(Gate, Now);
  else if (Link.UpstreamGone)
    this->Balancer.markReachable(Gate);
  Link.UpstreamGone = Pong.gone;
}

// Records the round-trip time to the gate: the time until the answer's head
// arrived, less the time that the call waited and ran at the gate. With a long
// body most of that time is the transfer of the body, which is recorded
// separately because it does not show the round-trip time.
void Entry::recordRoundTrip(const std::string &Gate, const PendingCall &Call,
                            const wire::HeadT &Head, TimePoint Now) {
  bool LongBody =
      Call.Head.Length < 0 || Call.Head.Length > this->Opts.ImmediateBodyBytes;
  if (Call.CurrentState != State::Sent || Head.ran_us == 0)
    return;
  auto Elapsed = std::chrono::duration_cast<Micros>(Now - Call.SentAt);
  if (LongBody)
    return this->Balancer.recordBodyTransfer(
        Gate, std::max(Micros(0), Elapsed - Micros(Head.ran_us)), Now);
  Micros AtGate = Micros(Head.ran_us) + Micros(Head.waited_us);
  this->Balancer.recordRtt(Gate, std::max(Micros(0), Elapsed - AtGate), Now);
}

// The gate has read the statement and logged what it can't read of it.
void Entry::noteStatement(const std::string &Gate, const PendingCall &Call,
                          const ResponseHead &Answer) {
  if (!this->Opts.Guards.HeedStatements)
    return;
  const StatementMemory::Remembered *Known = this->Statements.find(Gate);
  std::string Fault;
  UpstreamStatement Stated =
      readStatement(Answer.Headers, this->Opts.HeaderNames,
                    Known ? Known->Stated : UpstreamStatement(), Fault);
  this->Statements.record(Gate, Call.SentTo, Stated);
}

void Entry::confirmUpstream(const std::string &Gate, const PendingCall &Call,
                            TimePoint Now) {
  auto Found = this->Links.find(Gate);
  if (Found == this->Links.end() || Call.SentTo.first.empty())
    return;
  Found->second.AnsweredBy = Call.SentTo;
  Found->second.AnsweredAt = Now;
}

bool Entry::isConfirmed(const Instance &Of) const {
  auto Found = this->Links.find(Of.Name);
  return Found != this->Links.end() && Found->second.AnsweredBy &&
         *Found->second.AnsweredBy ==
             UpstreamStart(Of.Upstream, Of.Incarnation);
}

// Several entries of the platform may claim the address of one node. Only the
// machine knows which of them is its own: the gate its service, and the
// upstream its name. Returns whether another one is meant from now on.
bool Entry::refuteUpstream(const std::string &Gate, const UpstreamStart &Start,
                           const std::string &Reason, TimePoint Now) {
  bool ConcernsUpstream =
      Reason == NotMyService || Reason.rfind(UpstreamReasonPrefix, 0) == 0;
  auto Link = this->Links.find(Gate);
  if (ConcernsUpstream && Link != this->Links.end())
    Link->second.AnsweredBy.reset();
  bool IsAnother = Reason == NotMyService || Reason == UpstreamReplaced;
  return IsAnother && this->Hook.RefuteUpstream(Gate, Start, Now);
}

void Entry::onHead(const std::string &Gate, const wire::HeadT &Head,
                   TimePoint Now) {
  if (Head.load)
    this->Balancer.recordLoad(Gate, *Head.load, Now);
  this->recordShedding(Gate, Head.shed_percent, Now);
  if (PendingCall *Call = this->findDetachedCall(Gate, Head.seq);
      Call && Call->Detached->Hedged)
    this->returnToFirstRun(this->DetachedBySeq.at(Head.seq), *Call, Now);
  this->Balancer.recordSlowdown(Gate, Head.slowdown_percent, Now);
  std::optional<CallerId> Caller = this->findCallAtGate(Gate, Head.seq);
  if (!Caller)
    return;
  PendingCall &Call = this->Calls.at(*Caller);
  if (Call.HaveHead)
    return;
  Call.HaveHead = true;
  bool Failure = Head.status >= FirstServerError;
  if (!Failure)
    this->recordAnswerTime(Call, Now);
  if (Call.AtHedge) {
    ++this->Counts.HedgesWon;
    this->logEvent("hedge-won", Call, Refusal(), Now);
  }
  this->dropDetachedRun(Call, Now);
  this->Balancer.recordOutcome(Gate, Failure, Now);
  // The run time of a failure does not show how long an answer takes.
  if (!Failure && Head.ran_us > 0)
    this->Balancer.recordRunTime(Gate, Call.MatchedRoute->Name,
                                 Micros(Head.ran_us), Now);
  this->recordRoundTrip(Gate, Call, Head, Now);
  if (this->Hook.FindParentRun)
    this->NestedCalls.recordRun(Call.MatchedRoute->Name,
                                fromWire(Head.nested_calls));
  ResponseHead Answer;
  Answer.Status = Head.status;
  Answer.Reason = Head.reason;
  Answer.Headers = fromWire(Head.headers);
  Answer.Length = Head.length;
  this->noteStatement(Gate, Call, Answer);
  this->confirmUpstream(Gate, Call, Now);
  this->Hook.Head(*Caller, Answer);
}

void Entry::onData(const std::string &Gate, const wire::DataT &Data,
                   TimePoint Now) {
  std::optional<CallerId> Caller = this->findCallAtGate(Gate, Data.seq);
  if (!Caller)
    return;
  PendingCall &Call = this->Calls.at(*Caller);
  std::string_view Bytes(reinterpret_cast<const char *>(Data.bytes.data()),
                         Data.bytes.size());
  std::optional<std::string_view> New =
      Call.Response.accept(Data.offset, Bytes, Data.end);
  if (!New || !Call.HaveHead)
    return this->giveUp(
        *Caller, this->refusal(Outcome::Unknown, "answer-gap", StepLink, Gate),
        Now);
  if (!New->empty())
    this->Hook.Body(*Caller, *New);
  // The hook may have ended the call, because the caller was gone.
  auto Found = this->Calls.find(*Caller);
  if (Found == this->Calls.end() || !Found->second.Response.ended())
    return;
  wire::CreditT Credit;
  Credit.seq = Found->second.Id.Seq;
  Credit.consumed = Found->second.Response.received();
  this->Hook.Send(Gate, makeCallFrame(Credit));
  ++this->Counts.Answered;
  this->Completions.record(Found->second.MatchedRoute->Name,
                           Now - Found->second.AssignedAt, Now);
  this->Hook.CallFinished(Now - Found->second.ReceivedAt, /*Answered=*/true);
  this->finish(*Caller, Now);
  this->Hook.BodyEnd(*Caller);
}

void Entry::onFailed(const std::string &Gate, const wire::FailedT &Failed,
                     TimePoint Now) {
  if (Failed.load)
    this->Balancer.recordLoad(Gate, *Failed.load, Now);
  this->recordShedding(Gate, Failed.shed_percent, Now);
  this->Balancer.recordSlowdown(Gate, Failed.slowdown_percent, Now);
  Refusal Cause;
  Cause.CallOutcome = Failed.outcome == wire::Outcome::NotRun
                          ? Outcome::NotRun
                          : Outcome::Unknown;
  Cause.Reason = Failed.reason;
  Cause.Step = Failed.step;
  Cause.Peer = Failed.peer;
  Cause.RetryAfter = Millis(Failed.retry_after_ms);
  Cause.Status = Failed.status;
  if (Cause.Reason == "draining")
    this->Balancer.markDraining(Gate);
  // The membership list is out of date: another instance runs at that address
  // now.
  if (Cause.Reason == NotMyService || Cause.Reason == UpstreamReplaced)
    this->Balancer.markUnreachable(Gate, Now);
  if (Cause.Reason == "overload" || Cause.Reason == "stated-rate")
    this->Balancer.recordRefusal(Gate, Millis(Failed.room_in_ms), Now);
  if (Cause.Reason == "priority-reserve")
    this->Balancer.recordReserveRefusal(Gate, Now);
  if (Cause.Reason == UpstreamGone || Cause.Reason == UpstreamCrashed) {
    this->Links[Gate].UpstreamGone = true;
    this->Balancer.markUnreachable(Gate, Now);
  }
  // A detached run has ended. The call continues at its current gate.
  if (PendingCall *Call = this->findDetachedCall(Gate, Failed.seq)) {
    if (this->refuteUpstream(Gate, Call->Detached->SentTo, Cause.Reason, Now))
      this->Balancer.markReachable(Gate);
    this->endFirstRun(*Call, Cause, Now);
    this->DetachedBySeq.erase(Failed.seq);
    Call->Detached.reset();
    return;
  }
  std::optional<CallerId> Caller = this->findCallAtGate(Gate, Failed.seq);
  if (!Caller)
    return;
  PendingCall &Refused = this->Calls.at(*Caller);
  if (this->refuteUpstream(Gate, Refused.SentTo, Cause.Reason, Now)) {
    this->Balancer.markReachable(Gate);
    Refused.TriedGates.erase(Gate);
  }
  // The gate works and may well have capacity, since the call was lost on the
  // link. So it may be offered the call again.
  if (Cause.Reason == "never-arrived")
    Refused.TriedGates.erase(Gate);
  this->retryOrGiveUp(*Caller, Cause, Now);
}

void Entry::onAdmitted(const std::string &Gate, const wire::AdmittedT &Admitted,
                       TimePoint Now) {
  if (PendingCall *Call = this->findDetachedCall(Gate, Admitted.seq);
      Call && !this->rejoinFirstRun(Gate, *Call, Now))
    this->reattach(this->DetachedBySeq.at(Admitted.seq), *Call, Now);
  std::optional<CallerId> Caller = this->findCallAtGate(Gate, Admitted.seq);
  if (!Caller)
    return;
  PendingCall &Call = this->Calls.at(*Caller);
  Call.WithholdsBody = false;
  if (!Call.Request.rewind(Admitted.request_received))
    return this->giveUp(
        *Caller, this->refusal(Outcome::Unknown, "body-gap", StepLink, Gate),
        Now);
  this->sendBody(Call);
}

void Entry::onCredit(const std::string &Gate, const wire::CreditT &Credit,
                     TimePoint) {
  std::optional<CallerId> Caller = this->findCallAtGate(Gate, Credit.seq);
  if (!Caller)
    return;
  PendingCall &Call = this->Calls.at(*Caller);
  Call.Request.credit(Credit.consumed);
  this->sendBody(Call);
  if (Call.RequestPaused &&
      Call.Request.bufferedSize() < this->Opts.ReadAheadBytes) {
    Call.RequestPaused = false;
    this->Hook.PauseRequest(*Caller, false);
  }
}

} // namespace hickorylift
