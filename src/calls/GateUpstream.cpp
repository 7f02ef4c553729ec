#include "calls/Gate.h"

// Handling of the upstream's answers. An answer is passed on to the entry
// unchanged, except for statuses that promise that the call did not run, if the
// deployment has a header field that marks such answers. If the upstream marks
// the answer, the call is reported as not run; if it does not, the status
// proves nothing and the outcome is reported as unknown.

namespace hickorylift {

namespace {

constexpr unsigned ShedStatus = 503;
constexpr unsigned TooManyStatus = 429;
constexpr unsigned TimeoutStatus = 408;
constexpr unsigned MisdirectedStatus = 421;
constexpr unsigned FirstServerError = 500;
// Reading an answer pauses when more than this many windows of it are buffered.
constexpr size_t AnswerHighWater = 2;

} // namespace

void Gate::requestSent(const CallId &Id, TimePoint Now) {
  CallRecord *Call = this->findCall(Id);
  this->AdmissionControl.recordSent(/*IsCall=*/Call != nullptr, Now);
  if (Call)
    this->releaseSendReservation(*Call);
}

void Gate::releaseSendReservation(CallRecord &Call) {
  if (std::exchange(Call.AwaitingSend, false))
    this->AdmissionControl.releaseReservation();
}

void Gate::requestConsumed(const CallId &Id, uint64_t Total, TimePoint) {
  CallRecord *Call = this->findCall(Id);
  if (!Call)
    return;
  Call->BodyConsumed = Total;
  this->Hook.UsageChanged(Id);
  if (!Call->Linked)
    return;
  wire::CreditT Credit;
  Credit.seq = Id.Seq;
  Credit.consumed = Total;
  this->Hook.Send(Call->Link, makeCallFrame(Credit));
}

void Gate::upstreamHead(const CallId &Id, const ResponseHead &Head,
                        TimePoint Now) {
  CallRecord *Call = this->findCall(Id);
  if (!Call || Call->Phase != State::Running)
    return;
  this->noteStatement(Head, Now);
  this->recordShedding(*Call, Head, Now);
  if (this->handleUpstreamRefusal(Id, *Call, Head, Now))
    return this->advanceQueue(Now);
  this->AnsweredBy = Call->ExpectedUpstream;
  this->AnsweredAt = Now;
  Call->HaveAnswerHead = true;
  Call->AnsweredAt = Now;
  Call->AnswerHead = Head;
  Call->NestedCalls = this->Hook.NestedCalls(Id);
  this->sendHead(Id, *Call, Now);
  if (Head.Length == 0)
    this->upstreamEnd(Id, Now);
}

// Whether the answer has the header field by which the upstream says that it
// has not run the call.
bool Gate::isMarkedNotRun(const ResponseHead &Head) const {
  const std::string &Mark = this->Opts.HeaderNames.NotRun;
  return !Mark.empty() && !findHeader(Head.Headers, Mark).empty();
}

// Must be called while the call still holds its slot, and before the shedding
// lowers the number of slots. A refusal is not counted as shed if the upstream
// was full, or ran as many calls as its warm-up, its cold start or its stated
// rate allows.
void Gate::recordShedding(CallRecord &Call, const ResponseHead &Head,
                          TimePoint Now) {
  if (!this->Opts.ShedDetectorOpts.Enabled)
    return;
  bool WasShed = (Head.Status == ShedStatus || Head.Status == TooManyStatus ||
                  Head.Status == TimeoutStatus) &&
                 this->isMarkedNotRun(Head);
  Call.ShedWithFreeSlot = WasShed && this->AdmissionControl.hasFreeSlot(Now);
  this->Shedding.recordCall(Call.ShedWithFreeSlot, Now);
  this->noteShedding(Now);
}

void Gate::noteShedding(TimePoint Now) {
  uint32_t Percent = this->shedPercent(Now);
  if (std::exchange(this->ReportedShedding, Percent > 0) != (Percent > 0))
    this->Hook.SheddingChanged(Percent, Now);
}

// Handles an answer whose status promises that the call did not run, and
// returns whether it was one. If the upstream marks the answer, the call is
// refused as not run, so that the entry may try another gate. Without the mark
// the status proves nothing, and passing it on would make a promise that may be
// false.
bool Gate::handleUpstreamRefusal(const CallId &Id, CallRecord &Call,
                                 const ResponseHead &Head, TimePoint Now) {
  const std::string &Mark = this->Opts.HeaderNames.NotRun;
  // If the instance list states the slots, no more than those are ever in use,
  // so a shed call is a fault of the upstream and not a lack of capacity. Fewer
  // concurrent calls would be shed as often, and most slots would stay unused.
  if (Head.Status == ShedStatus && !this->ListedSlots)
    this->AdmissionControl.upstreamShed(Now);
  bool PromisesNotRun =
      Head.Status == ShedStatus || Head.Status == TooManyStatus ||
      Head.Status == TimeoutStatus || Head.Status == MisdirectedStatus;
  if (Mark.empty() || !PromisesNotRun)
    return false;
  // An upstream that answers 421 is not the expected one and did not run the
  // call.
  bool Marked = Head.Status == MisdirectedStatus || this->isMarkedNotRun(Head);
  bool Misdirected = Head.Status == MisdirectedStatus;
  if (Misdirected) {
    this->AnsweredBy.clear();
    this->suspectRestart(Now);
    this->Hook.UpstreamDisowned(Call.ExpectedUpstream, Now);
  }
  if (Marked) {
    Refusal Details = makeRefusal(
        Outcome::NotRun, Misdirected ? "upstream-replaced" : "upstream-shed",
        StepUpstream, this->Opts.Self);
    Details.RetryAfter = this->Opts.ShedRetryAfter;
    this->refuse(Id, Call, std::move(Details), Now);
    return true;
  }
  this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
  this->Runs.removeRun(Id);
  Call.Phase = State::Finished;
  this->abortCall(Id, Call,
                  makeRefusal(Outcome::Unknown, "upstream-unmarked-refusal",
                              StepUpstream, this->Opts.Self),
                  Now);
  return true;
}

void Gate::upstreamData(const CallId &Id, std::string_view Bytes,
                        TimePoint Now) {
  CallRecord *Call = this->findCall(Id);
  if (!Call || Call->Phase != State::Running)
    return;
  if (!Call->IdempotencyKey.empty() && Call->Recordable) {
    Call->Recordable = Call->RecordedAnswer.size() + Bytes.size() <=
                       this->Opts.IdempotencyOpts.MaxStoredAnswerBytes;
    Call->RecordedAnswer.append(Bytes);
  }
  Call->AnswerBody.append(Bytes);
  Call->AnswerBytes += Bytes.size();
  this->Hook.UsageChanged(Id);
  // An answer of known length ends with its last byte. The end event follows
  // one event loop iteration later, and the caller need not wait for it.
  if (Call->AnswerHead.Length > 0 &&
      Call->AnswerBytes == static_cast<uint64_t>(Call->AnswerHead.Length))
    return this->upstreamEnd(Id, Now);
  this->sendAnswer(Id, *Call);
  if (!Call->AnswerPaused && Call->AnswerBody.bufferedSize() >
                                 AnswerHighWater * this->Opts.BodyWindowBytes) {
    // From here on, the time of the run depends on its caller.
    this->noteRunEnded(Id, SlowdownDetector::RunEnd::Excluded, Now);
    Call->AnswerPaused = true;
    this->Hook.PauseAnswer(Id, true);
  }
}

void Gate::upstreamEnd(const CallId &Id, TimePoint Now) {
  CallRecord *Call = this->findCall(Id);
  if (!Call || Call->Phase != State::Running)
    return;
  Call->Phase = State::Finished;
  this->Transfers.cancel(Id);
  this->Runs.runAnswered(Id, Now);
  this->Hook.RunEnded(Id);
  // The run time of a failure does not show how long an answer takes.
  this->noteRunEnded(Id,
                     Call->AnswerHead.Status < FirstServerError
                         ? SlowdownDetector::RunEnd::Answered
                         : SlowdownDetector::RunEnd::Excluded,
                     Now);
  this->Hook.RequestAnswered(Call->RequestFingerprint, Now);
  ++this->Counts.Answered;
  this->Completions.record(Call->SlotRequest.Kind, Now - Call->StartedAt, Now);
  this->Hook.CallFinished(Call->StartedAt - Call->ArrivedAt,
                          Now - Call->StartedAt);
  Call->AnswerBody.finish();
  Call->Request = RequestHead();
  this->Hook.UsageChanged(Id);
  if (!Call->IdempotencyKey.empty()) {
    std::string Body = std::exchange(Call->RecordedAnswer, "");
    // The key checker finds by the size whether the answer is too long to be
    // replayed.
    this->KeyChecker.recordAnswer(Call->IdempotencyKey, Call->AnswerHead,
                                  std::move(Body), Now);
  }
  this->AdmissionControl.finished(Id, Call->AnswerHead.Status != ShedStatus,
                                  Now);
  this->sendAnswer(Id, *Call);
  this->advanceQueue(Now);
}

void Gate::suspectRestart(TimePoint Now) {
  this->AdmissionControl.coldStart().suspectRestart(Now);
  this->queryHealthIfNeeded(Now);
}

void Gate::queryHealthIfNeeded(TimePoint Now) {
  if (this->ServiceConfig && !this->UpstreamGone &&
      this->AdmissionControl.coldStart().shouldQuery(Now))
    this->Hook.QueryHealth(this->ServiceConfig->HealthPath);
}

void Gate::upstreamReported(std::optional<Millis> ColdLeft, TimePoint Now) {
  this->AdmissionControl.coldStart().upstreamReported(ColdLeft, Now);
  this->advanceQueue(Now);
}

void Gate::upstreamFailed(const CallId &Id, bool Sent, const Error &Cause,
                          TimePoint Now) {
  CallRecord *Call = this->findCall(Id);
  if (!Call || Call->Phase != State::Running)
    return;
  std::string Reason = "upstream-" + Cause.Code.message();
  this->AnsweredBy.clear();
  if (!Sent) {
    if (!Call->IdempotencyKey.empty())
      this->KeyChecker.recordNotRun(Call->IdempotencyKey);
    this->refuse(Id, *Call,
                 makeRefusal(Outcome::NotRun, Reason, Cause.Step, Cause.Peer),
                 Now);
    // The upstream may have ended while no call was running, in which case no
    // lost connection showed it.
    if (Cause.Code == Errc::Unreachable)
      this->startProbe();
  } else if (Cause.Code == Errc::Closed && this->Hook.Probe) {
    return this->onConnectionLost(Id, *Call, Cause, Now);
  } else {
    this->Runs.removeRun(Id);
    this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
    Call->Phase = State::Finished;
    this->abortCall(
        Id, *Call,
        makeRefusal(Outcome::Unknown, Reason, Cause.Step, Cause.Peer), Now);
  }
  this->advanceQueue(Now);
}

} // namespace hickorylift
