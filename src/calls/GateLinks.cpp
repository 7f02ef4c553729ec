#include "calls/Gate.h"

// The links to entries: the frames sent over them, and what happens to the
// calls of a link that is lost.

namespace hickorylift {

void Gate::linkUp(LinkId Link, TimePoint Now) {
  this->Links[Link];
  wire::CallHelloT Hello;
  Hello.node = this->Opts.Self;
  Hello.incarnation = this->Opts.Incarnation;
  this->Hook.Send(Link, makeCallFrame(std::move(Hello)));
  if (this->UpstreamGone)
    this->sendPong(Link, /*Nonce=*/0, Now);
  if (!this->draining())
    return;
  wire::DrainingT Notice;
  Notice.by = this->drainReasons();
  this->Hook.Send(Link, makeCallFrame(std::move(Notice)));
}

// Running calls of a lost link continue, because the entry may resume them over
// a new link. Calls that have not started are refused, because the entry could
// not be notified when they get a slot.
void Gate::linkDown(LinkId Link, TimePoint Now) {
  auto Found = this->Links.find(Link);
  bool Reconnects = Found != this->Links.end() && Found->second.EntryReconnects;
  Millis Grace =
      Reconnects ? this->Opts.ReconnectGrace : this->Opts.AbandonedGrace;
  this->Links.erase(Link);
  this->EntryByLink.erase(Link);
  for (auto &[Id, Call] : this->Calls) {
    if (!Call.Linked || Call.Link != Link)
      continue;
    Call.Linked = false;
    if (Call.Phase == State::Running && Call.Idempotent)
      this->AbandonAt.emplace(Id, Now + Grace);
    if (Call.isUnstarted())
      this->refuse(Id, Call,
                   makeRefusal(Outcome::NotRun, "link-lost", StepAdmission,
                               this->Opts.Self),
                   Now);
  }
  this->advanceQueue(Now);
}

CallId Gate::callIdOn(LinkId Link, uint64_t Seq) const {
  auto Found = this->EntryByLink.find(Link);
  return {Found == this->EntryByLink.end() ? 0 : Found->second, Seq};
}

void Gate::sendHead(const CallId &Id, const CallRecord &Call, TimePoint Now) {
  if (!Call.Linked)
    return;
  wire::HeadT Head;
  Head.seq = Id.Seq;
  Head.status = Call.AnswerHead.Status;
  Head.reason = Call.AnswerHead.Reason;
  Head.headers = toWire(Call.AnswerHead.Headers);
  Head.length = Call.AnswerHead.Length;
  Head.load = std::make_unique<wire::Load>(this->load(Now));
  Head.ran_us = static_cast<uint32_t>(
      std::chrono::duration_cast<Micros>(Call.AnsweredAt - Call.StartedAt)
          .count());
  Head.waited_us = static_cast<uint32_t>(
      std::chrono::duration_cast<Micros>(Call.StartedAt - Call.ArrivedAt)
          .count());
  Head.nested_calls = toWire(Call.NestedCalls);
  Head.shed_percent = this->shedPercent(Now);
  Head.slowdown_percent = this->reportSlowdown(Call.Link, Now);
  this->Hook.Send(Call.Link, makeCallFrame(std::move(Head)));
}

void Gate::sendAnswer(const CallId &Id, CallRecord &Call) {
  if (!Call.Linked)
    return;
  while (auto Piece = Call.AnswerBody.nextPiece(this->Opts.MaxPieceBytes)) {
    wire::DataT Data;
    Data.seq = Id.Seq;
    Data.offset = Piece->Offset;
    Data.bytes.assign(Piece->Bytes.begin(), Piece->Bytes.end());
    Data.end = Piece->End;
    this->Hook.Send(Call.Link, makeCallFrame(std::move(Data)));
  }
}

void Gate::sendFailed(const CallId &Id, const CallRecord &Call, TimePoint Now) {
  if (!Call.Linked)
    return;
  wire::FailedT Failed;
  Failed.seq = Id.Seq;
  Failed.outcome = Call.RefusalDetails.CallOutcome == Outcome::NotRun
                       ? wire::Outcome::NotRun
                       : wire::Outcome::Unknown;
  Failed.reason = Call.RefusalDetails.Reason;
  Failed.step = Call.RefusalDetails.Step;
  Failed.peer = Call.RefusalDetails.Peer;
  Failed.retry_after_ms =
      static_cast<uint32_t>(Call.RefusalDetails.RetryAfter.count());
  Failed.status = Call.RefusalDetails.Status;
  Failed.room_in_ms = static_cast<uint32_t>(
      toMillis(this->AdmissionControl.timeUntilCapacity(Now)).count());
  Failed.load = std::make_unique<wire::Load>(this->load(Now));
  Failed.shed_percent = this->shedPercent(Now);
  // In a large fleet a gate has too few calls for a share, but this one was
  // shed, and the entry decides about it.
  if (Call.ShedWithFreeSlot)
    Failed.shed_percent = std::max<uint32_t>(1, Failed.shed_percent);
  Failed.slowdown_percent = this->reportSlowdown(Call.Link, Now);
  this->Hook.Send(Call.Link, makeCallFrame(std::move(Failed)));
}

void Gate::announceState(TimePoint Now) {
  for (const auto &[Link, State] : this->Links)
    this->sendPong(Link, /*Nonce=*/0, Now);
}

void Gate::sendPong(LinkId Link, uint64_t Nonce, TimePoint Now) {
  wire::PongT Pong;
  Pong.nonce = Nonce;
  Pong.load = std::make_unique<wire::Load>(this->load(Now));
  Pong.draining = this->draining();
  Pong.gone = this->UpstreamGone;
  Pong.shed_percent = this->shedPercent(Now);
  Pong.slowdown_percent = this->reportSlowdown(Link, Now);
  this->Hook.Send(Link, makeCallFrame(std::move(Pong)));
}

// Aborts idempotent calls that no entry has resumed in time after the loss of
// their link. The entry's process has died or cannot be reached, so the caller
// has lost its connection too and cannot receive the answer.
void Gate::abortAbandonedCalls(TimePoint Now) {
  for (auto Lost = this->AbandonAt.begin(); Lost != this->AbandonAt.end();) {
    if (Now < Lost->second) {
      ++Lost;
      continue;
    }
    CallId Id = Lost->first;
    Lost = this->AbandonAt.erase(Lost);
    CallRecord *Call = this->findCall(Id);
    if (Call && Call->Phase == State::Running && !Call->Linked)
      this->abortCall(Id, *Call,
                      makeRefusal(Outcome::Unknown, "entry-lost", StepUpstream,
                                  this->Opts.Self),
                      Now);
  }
}

} // namespace hickorylift
