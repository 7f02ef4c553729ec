#include "calls/Entry.h"

#include <algorithm>

// What gates say of the calls that were sent to them: answers, refusals, and
// how far a body has come. A frame counts only if the call is still at the gate
// that sent it; late frames of a gate that was left are passed over.

namespace hickorylift {

namespace {

constexpr unsigned FirstServerError = 500;
// The gate's upstream is not there any more.
const char UpstreamIsGone[] = "upstream-gone";
const char UpstreamCrashed[] = "upstream-crashed";

} // namespace

std::optional<Entry::CallerId> Entry::callOn(const std::string &Gate,
                                             uint64_t Seq) const {
  auto Found = this->BySeq.find(Seq);
  if (Found == this->BySeq.end())
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
  Link &On = Found->second;
  On.HeardAt = Now;
  On.PingAt.reset();
  if (const auto *Hello = Frame.payload.AsCallHello())
    return this->onHello(Gate, On, *Hello, Now);
  if (const auto *Head = Frame.payload.AsHead())
    return this->onHead(Gate, *Head, Now);
  if (const auto *Data = Frame.payload.AsData())
    return this->onData(Gate, *Data, Now);
  if (const auto *Failed = Frame.payload.AsFailed())
    return this->onFailed(Gate, *Failed, Now);
  if (const auto *Joined = Frame.payload.AsAdmitted())
    return this->onAdmitted(Gate, *Joined, Now);
  if (const auto *Credit = Frame.payload.AsCredit())
    return this->onCredit(Gate, *Credit, Now);
  if (Frame.payload.AsDraining())
    return this->Choose.draining(Gate);
  if (const auto *Pong = Frame.payload.AsPong())
    return this->onPong(Gate, On, *Pong, Now);
  if (const auto *Ping = Frame.payload.AsPing()) {
    wire::PongT Pong;
    Pong.nonce = Ping->nonce;
    this->Hook.Send(Gate, makeCallFrame(std::move(Pong)));
  }
}

void Entry::onPong(const std::string &Gate, Link &On, const wire::PongT &Pong,
                   TimePoint Now) {
  if (Pong.load)
    this->Choose.learn(Gate, *Pong.load, Now);
  Pong.draining ? this->Choose.draining(Gate) : this->Choose.ready(Gate);
  if (Pong.gone)
    this->Choose.unreachable(Gate, Now);
  else if (On.Gone)
    this->Choose.reachable(Gate);
  On.Gone = Pong.gone;
}

// What is left of the time until the head, without the gate's own, went by on
// the way. A long body takes its time on it, which says nothing of the way.
void Entry::learnWay(const std::string &Gate, const Call &One,
                     const wire::HeadT &Head, TimePoint Now) {
  bool LongBody =
      One.Head.Length < 0 || One.Head.Length > this->Opts.ImmediateBodyBytes;
  if (One.Now != State::Sent || Head.ran_us == 0)
    return;
  auto Took = std::chrono::duration_cast<Micros>(Now - One.SentAt);
  if (LongBody)
    return this->Choose.carriedBody(
        Gate, std::max(Micros(0), Took - Micros(Head.ran_us)), Now);
  Micros AtGate = Micros(Head.ran_us) + Micros(Head.waited_us);
  this->Choose.cameBack(Gate, std::max(Micros(0), Took - AtGate), Now);
}

void Entry::onHead(const std::string &Gate, const wire::HeadT &Head,
                   TimePoint Now) {
  if (Head.load)
    this->Choose.learn(Gate, *Head.load, Now);
  std::optional<CallerId> Caller = this->callOn(Gate, Head.seq);
  if (!Caller)
    return;
  Call &One = this->Calls.at(*Caller);
  if (One.HaveHead)
    return;
  One.HaveHead = true;
  this->dropLeft(One);
  bool Failure = Head.status >= FirstServerError;
  this->Choose.judged(Gate, Failure, Now);
  // A failure says nothing about how long an answer takes.
  if (!Failure && Head.ran_us > 0)
    this->Choose.ran(Gate, One.Taken->Name, Micros(Head.ran_us), Now);
  this->learnWay(Gate, One, Head, Now);
  ResponseHead Answer;
  Answer.Status = Head.status;
  Answer.Reason = Head.reason;
  Answer.Headers = fromWire(Head.headers);
  Answer.Length = Head.length;
  this->Hook.Head(*Caller, Answer);
}

void Entry::onData(const std::string &Gate, const wire::DataT &Data,
                   TimePoint Now) {
  std::optional<CallerId> Caller = this->callOn(Gate, Data.seq);
  if (!Caller)
    return;
  Call &One = this->Calls.at(*Caller);
  std::string_view Bytes(reinterpret_cast<const char *>(Data.bytes.data()),
                         Data.bytes.size());
  std::optional<std::string_view> New =
      One.Response.accept(Data.offset, Bytes, Data.end);
  if (!New || !One.HaveHead)
    return this->giveUp(
        *Caller, this->refusal(Outcome::Unknown, "answer-gap", StepLink, Gate),
        Now);
  if (!New->empty())
    this->Hook.Body(*Caller, *New);
  // The hook may have found the caller gone.
  auto Found = this->Calls.find(*Caller);
  if (Found == this->Calls.end() || !Found->second.Response.ended())
    return;
  wire::CreditT Credit;
  Credit.seq = Found->second.Id.Seq;
  Credit.consumed = Found->second.Response.received();
  this->Hook.Send(Gate, makeCallFrame(Credit));
  ++this->Counts.Answered;
  this->Hook.CallFinished(Now - Found->second.CameAt, /*Answered=*/true);
  this->finish(*Caller, Now);
  this->Hook.BodyEnd(*Caller);
}

void Entry::onFailed(const std::string &Gate, const wire::FailedT &Failed,
                     TimePoint Now) {
  if (Failed.load)
    this->Choose.learn(Gate, *Failed.load, Now);
  Refusal Why;
  Why.CallOutcome = Failed.outcome == wire::Outcome::NotRun ? Outcome::NotRun
                                                            : Outcome::Unknown;
  Why.Reason = Failed.reason;
  Why.Step = Failed.step;
  Why.Peer = Failed.peer;
  Why.RetryAfter = Millis(Failed.retry_after_ms);
  Why.Status = Failed.status;
  if (Why.Reason == "draining")
    this->Choose.draining(Gate);
  // The list is behind: something else stands there now.
  if (Why.Reason == "not-my-service" || Why.Reason == "upstream-replaced")
    this->Choose.unreachable(Gate, Now);
  if (Why.Reason == "overload")
    this->Choose.refused(Gate, Millis(Failed.room_in_ms), Now);
  if (Why.Reason == UpstreamIsGone || Why.Reason == UpstreamCrashed) {
    this->Links[Gate].Gone = true;
    this->Choose.unreachable(Gate, Now);
  }
  // A run that was left is over; the call goes on where it is.
  if (Call *Of = this->leftBy(Gate, Failed.seq)) {
    this->LeftBySeq.erase(Failed.seq);
    Of->Left.reset();
    return;
  }
  std::optional<CallerId> Caller = this->callOn(Gate, Failed.seq);
  if (!Caller)
    return;
  // The gate is there and has room for all we know; it was the link.
  if (Why.Reason == "never-arrived")
    this->Calls.at(*Caller).Tried.erase(Gate);
  this->tryAnother(*Caller, Why, Now);
}

void Entry::onAdmitted(const std::string &Gate, const wire::AdmittedT &Joined,
                       TimePoint Now) {
  if (Call *Of = this->leftBy(Gate, Joined.seq))
    this->rejoin(this->LeftBySeq.at(Joined.seq), *Of, Now);
  std::optional<CallerId> Caller = this->callOn(Gate, Joined.seq);
  if (!Caller)
    return;
  Call &One = this->Calls.at(*Caller);
  One.HoldsBody = false;
  if (!One.Request.rewind(Joined.request_received))
    return this->giveUp(
        *Caller, this->refusal(Outcome::Unknown, "body-gap", StepLink, Gate),
        Now);
  this->sendBody(One);
}

void Entry::onCredit(const std::string &Gate, const wire::CreditT &Credit,
                     TimePoint) {
  std::optional<CallerId> Caller = this->callOn(Gate, Credit.seq);
  if (!Caller)
    return;
  Call &One = this->Calls.at(*Caller);
  One.Request.credit(Credit.consumed);
  this->sendBody(One);
  if (One.RequestPaused &&
      One.Request.bufferedSize() < this->Opts.ReadAheadBytes) {
    One.RequestPaused = false;
    this->Hook.PauseRequest(*Caller, false);
  }
}

} // namespace hickorylift
