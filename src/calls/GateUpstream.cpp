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

void Gate::upstreamSent(const CallId &Id, TimePoint Now) {
  this->Slots.coldStart().recordSent(Now);
  if (Call *One = this->find(Id))
    this->settleSend(*One);
}

void Gate::settleSend(Call &One) {
  if (std::exchange(One.Unsent, false))
    this->Slots.coldStart().releaseReservation();
}

void Gate::upstreamConsumed(const CallId &Id, uint64_t Total, TimePoint) {
  Call *One = this->find(Id);
  if (!One || !One->Linked)
    return;
  wire::CreditT Credit;
  Credit.seq = Id.Seq;
  Credit.consumed = Total;
  this->Hook.Send(One->Link, makeCallFrame(Credit));
}

void Gate::upstreamHead(const CallId &Id, const ResponseHead &Head,
                        TimePoint Now) {
  Call *One = this->find(Id);
  if (!One || One->Now != State::Running)
    return;
  if (this->turnedAway(Id, *One, Head, Now))
    return this->pump(Now);
  One->HaveHead = true;
  One->AnsweredAt = Now;
  One->Answer = Head;
  this->sendHead(Id, *One, Now);
  if (Head.Length == 0)
    this->upstreamEnd(Id, Now);
}

// An answer whose status promises that the call did not run is passed on as
// that promise, so that the entry may try elsewhere; but only if the upstream
// marks it. Without the mark, the same status says nothing, and to hand it on
// would promise what nobody knows.
bool Gate::turnedAway(const CallId &Id, Call &One, const ResponseHead &Head,
                      TimePoint Now) {
  const std::string &Mark = this->Opts.Names.NotRun;
  // Where the list tells the slots, no more than those are ever in use, and a
  // shed is a fault of the upstream and not a want of room. Fewer calls would
  // be shed as often, and most slots would stand idle.
  if (Head.Status == ShedStatus && !this->ListedSlots)
    this->Slots.upstreamShed(Now);
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
    this->doubtWarm(Now);
  if (Marked) {
    Refusal Why = makeRefusal(
        Outcome::NotRun, Misdirected ? "upstream-replaced" : "upstream-shed",
        StepUpstream, this->Opts.Self);
    Why.RetryAfter = this->Opts.ShedComeBack;
    this->refuse(Id, One, std::move(Why), Now);
    return true;
  }
  this->Slots.finished(Id, /*Answered=*/false, Now);
  this->Watch.removeRun(Id);
  One.Now = State::Finished;
  this->breakOff(Id, One,
                 makeRefusal(Outcome::Unknown, "upstream-unmarked-refusal",
                             StepUpstream, this->Opts.Self),
                 Now);
  return true;
}

void Gate::upstreamData(const CallId &Id, std::string_view Bytes,
                        TimePoint Now) {
  Call *One = this->find(Id);
  if (!One || One->Now != State::Running)
    return;
  if (!One->Key.empty() && One->Recordable) {
    One->Recordable = One->Recorded.size() + Bytes.size() <=
                      this->Opts.Keys.MaxStoredAnswerBytes;
    One->Recorded.append(Bytes);
  }
  One->Response.append(Bytes);
  One->AnswerBytes += Bytes.size();
  // An answer of known length is over with its last byte. The event that says
  // so comes a turn of the loop later, and the caller need not wait for it.
  if (One->Answer.Length > 0 &&
      One->AnswerBytes == static_cast<uint64_t>(One->Answer.Length))
    return this->upstreamEnd(Id, Now);
  this->sendAnswer(Id, *One);
  if (!One->AnswerPaused &&
      One->Response.bufferedSize() > AnswerHighWater * this->Opts.Window) {
    One->AnswerPaused = true;
    this->Hook.PauseAnswer(Id, true);
  }
}

void Gate::upstreamEnd(const CallId &Id, TimePoint Now) {
  Call *One = this->find(Id);
  if (!One || One->Now != State::Running)
    return;
  One->Now = State::Finished;
  this->Transfers.cancel(Id);
  this->Watch.runAnswered(Id, Now);
  this->Hook.RanWell(One->Print, Now);
  ++this->Counts.Answered;
  this->Hook.Took(One->StartedAt - One->CameAt, Now - One->StartedAt);
  One->Response.finish();
  if (!One->Key.empty()) {
    std::string Body = std::exchange(One->Recorded, "");
    // Too long to replay: judged by its size there.
    this->Judge.recordAnswer(One->Key, One->Answer, std::move(Body), Now);
  }
  this->Slots.finished(Id, One->Answer.Status != ShedStatus, Now);
  this->sendAnswer(Id, *One);
  this->pump(Now);
}

void Gate::doubtWarm(TimePoint Now) {
  this->Slots.coldStart().suspectRestart(Now);
  this->askWhetherCold(Now);
}

void Gate::askWhetherCold(TimePoint Now) {
  if (this->Of && !this->Gone && this->Slots.coldStart().shouldQuery(Now))
    this->Hook.AskHealth(this->Of->HealthPath);
}

void Gate::upstreamTold(std::optional<Millis> ColdLeft, TimePoint Now) {
  this->Slots.coldStart().upstreamReported(ColdLeft, Now);
  this->pump(Now);
}

void Gate::upstreamFailed(const CallId &Id, bool Sent, const Error &Why,
                          TimePoint Now) {
  Call *One = this->find(Id);
  if (!One || One->Now != State::Running)
    return;
  std::string Reason = "upstream-" + Why.Code.message();
  if (!Sent) {
    if (!One->Key.empty())
      this->Judge.recordNotRun(One->Key);
    this->refuse(Id, *One,
                 makeRefusal(Outcome::NotRun, Reason, Why.Step, Why.Peer), Now);
    // Its end may have been seen by nobody: nothing ran there.
    if (Why.Code == Errc::Unreachable)
      this->probe();
  } else if (Why.Code == Errc::Closed && this->Hook.Probe) {
    return this->connectionEnded(Id, *One, Why, Now);
  } else {
    this->Watch.removeRun(Id);
    this->Slots.finished(Id, /*Answered=*/false, Now);
    One->Now = State::Finished;
    this->breakOff(Id, *One,
                   makeRefusal(Outcome::Unknown, Reason, Why.Step, Why.Peer),
                   Now);
  }
  this->pump(Now);
}

} // namespace hickorylift
