#include "calls/Gate.h"

// What the upstream answers, and what that says about the call. An answer goes
// to the entry as it is, but for statuses that promise that nothing ran: those
// are passed on as our own promise where the upstream marks them, and are no
// promise where it does not.

namespace hickorylift {

namespace {

constexpr unsigned ShedStatus = 503;
constexpr unsigned TooManyStatus = 429;
constexpr unsigned TimeoutStatus = 408;
constexpr unsigned MisdirectedStatus = 421;
// Pending answers of one call are read no further than this ahead.
constexpr size_t AnswerHighWater = 2;

} // namespace

void Gate::requestSent(const CallId &Id, TimePoint Now) {
  this->AdmissionControl.coldStart().sent(Now);
  if (CallRecord *One = this->findCall(Id))
    this->releaseSendReservation(*One);
}

void Gate::releaseSendReservation(CallRecord &One) {
  if (std::exchange(One.AwaitingSend, false))
    this->AdmissionControl.coldStart().settled();
}

void Gate::requestConsumed(const CallId &Id, uint64_t Total, TimePoint) {
  CallRecord *One = this->findCall(Id);
  if (!One || !One->Linked)
    return;
  wire::CreditT Credit;
  Credit.seq = Id.Seq;
  Credit.consumed = Total;
  this->Hook.Send(One->Link, callFrame(Credit));
}

void Gate::upstreamHead(const CallId &Id, const ResponseHead &Head,
                        TimePoint Now) {
  CallRecord *One = this->findCall(Id);
  if (!One || One->Phase != State::Running)
    return;
  if (this->handleUpstreamRefusal(Id, *One, Head, Now))
    return this->advanceQueue(Now);
  One->HaveAnswerHead = true;
  One->AnsweredAt = Now;
  One->AnswerHead = Head;
  this->sendHead(Id, *One, Now);
  if (Head.Length == 0)
    this->upstreamEnd(Id, Now);
}

// An answer whose status promises that the call did not run is passed on as
// that promise, so that the entry may try elsewhere; but only if the upstream
// marks it. Without the mark, the same status says nothing, and to hand it on
// would promise what nobody knows.
bool Gate::handleUpstreamRefusal(const CallId &Id, CallRecord &One,
                                 const ResponseHead &Head, TimePoint Now) {
  const std::string &Mark = this->Opts.HeaderNames.NotRun;
  // Where the list tells the slots, no more than those are ever in use, and a
  // shed is a fault of the upstream and not a want of room. Fewer calls would
  // be shed as often, and most slots would stand idle.
  if (Head.Status == ShedStatus && !this->ListedSlots)
    this->AdmissionControl.shed(Now);
  bool Promises = Head.Status == ShedStatus || Head.Status == TooManyStatus ||
                  Head.Status == TimeoutStatus ||
                  Head.Status == MisdirectedStatus;
  if (Mark.empty() || !Promises)
    return false;
  // Whoever answers 421 is not the one that was meant, and ran nothing.
  bool Marked = Head.Status == MisdirectedStatus ||
                !findHeader(Head.Headers, Mark).empty();
  bool Misdirected = Head.Status == MisdirectedStatus;
  if (Misdirected)
    this->suspectRestart(Now);
  if (Marked) {
    Refusal Why = makeRefusal(
        Outcome::NotRun, Misdirected ? "upstream-replaced" : "upstream-shed",
        StepUpstream, this->Opts.Self);
    Why.RetryAfter = this->Opts.ShedRetryAfter;
    this->refuse(Id, One, std::move(Why), Now);
    return true;
  }
  this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
  this->Runs.forget(Id);
  One.Phase = State::Finished;
  this->abortCall(Id, One,
                  makeRefusal(Outcome::Unknown, "upstream-unmarked-refusal",
                              StepUpstream, this->Opts.Self),
                  Now);
  return true;
}

void Gate::upstreamData(const CallId &Id, std::string_view Bytes,
                        TimePoint Now) {
  CallRecord *One = this->findCall(Id);
  if (!One || One->Phase != State::Running)
    return;
  if (!One->IdempotencyKey.empty() && One->Recordable) {
    One->Recordable = One->RecordedAnswer.size() + Bytes.size() <=
                      this->Opts.IdempotencyOpts.MaxAnswerBytes;
    One->RecordedAnswer.append(Bytes);
  }
  One->AnswerBody.append(Bytes);
  One->AnswerBytes += Bytes.size();
  // An answer of known length is over with its last byte. The event that says
  // so comes a turn of the loop later, and the caller need not wait for it.
  if (One->AnswerHead.Length > 0 &&
      One->AnswerBytes == static_cast<uint64_t>(One->AnswerHead.Length))
    return this->upstreamEnd(Id, Now);
  this->sendAnswer(Id, *One);
  if (!One->AnswerPaused && One->AnswerBody.buffered() >
                                AnswerHighWater * this->Opts.BodyWindowBytes) {
    One->AnswerPaused = true;
    this->Hook.PauseAnswer(Id, true);
  }
}

void Gate::upstreamEnd(const CallId &Id, TimePoint Now) {
  CallRecord *One = this->findCall(Id);
  if (!One || One->Phase != State::Running)
    return;
  One->Phase = State::Finished;
  this->Transfers.forget(Id);
  this->Runs.answered(Id, Now);
  this->Hook.RequestAnswered(One->RequestFingerprint, Now);
  ++this->Counts.Answered;
  this->Hook.CallFinished(One->StartedAt - One->ArrivedAt,
                          Now - One->StartedAt);
  One->AnswerBody.finish();
  if (!One->IdempotencyKey.empty()) {
    std::string Body = std::exchange(One->RecordedAnswer, "");
    // Too long to replay: judged by its size there.
    this->KeyChecker.answered(One->IdempotencyKey, One->AnswerHead,
                              std::move(Body), Now);
  }
  this->AdmissionControl.finished(Id, One->AnswerHead.Status != ShedStatus,
                                  Now);
  this->sendAnswer(Id, *One);
  this->advanceQueue(Now);
}

void Gate::suspectRestart(TimePoint Now) {
  this->AdmissionControl.coldStart().doubt(Now);
  this->queryHealthIfNeeded(Now);
}

void Gate::queryHealthIfNeeded(TimePoint Now) {
  if (this->ServiceConfig && !this->UpstreamGone &&
      this->AdmissionControl.coldStart().asksNow(Now))
    this->Hook.QueryHealth(this->ServiceConfig->HealthPath);
}

void Gate::upstreamReported(std::optional<Millis> ColdLeft, TimePoint Now) {
  this->AdmissionControl.coldStart().told(ColdLeft, Now);
  this->advanceQueue(Now);
}

void Gate::upstreamFailed(const CallId &Id, bool Sent, const Error &Why,
                          TimePoint Now) {
  CallRecord *One = this->findCall(Id);
  if (!One || One->Phase != State::Running)
    return;
  std::string Reason = "upstream-" + Why.Code.message();
  if (!Sent) {
    if (!One->IdempotencyKey.empty())
      this->KeyChecker.notRun(One->IdempotencyKey);
    this->refuse(Id, *One,
                 makeRefusal(Outcome::NotRun, Reason, Why.Step, Why.Peer), Now);
    // Its end may have been seen by nobody: nothing ran there.
    if (Why.Code == Errc::Unreachable)
      this->startProbe();
  } else if (Why.Code == Errc::Closed && this->Hook.Probe) {
    return this->onConnectionLost(Id, *One, Why, Now);
  } else {
    this->Runs.forget(Id);
    this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
    One->Phase = State::Finished;
    this->abortCall(Id, *One,
                    makeRefusal(Outcome::Unknown, Reason, Why.Step, Why.Peer),
                    Now);
  }
  this->advanceQueue(Now);
}

} // namespace hickorylift
