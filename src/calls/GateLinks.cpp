#include "calls/Gate.h"

// The links to entries: what is said on them, and what becomes of their calls
// when one is lost.

namespace hickorylift {

void Gate::linkUp(LinkId Link, TimePoint Now) {
  this->Links[Link];
  wire::CallHelloT Hello;
  Hello.node = this->Opts.Self;
  Hello.incarnation = this->Opts.Incarnation;
  this->Hook.Send(Link, callFrame(std::move(Hello)));
  if (this->UpstreamGone)
    this->sendPong(Link, /*Nonce=*/0, Now);
  if (!this->draining())
    return;
  wire::DrainingT Said;
  Said.by = this->drainReasons();
  this->Hook.Send(Link, callFrame(std::move(Said)));
}

// The calls of a lost link go on: the entry may find them again over another.
// Those that only wait are let go, for nobody could be told of their turn.
void Gate::linkDown(LinkId Link, TimePoint Now) {
  this->Links.erase(Link);
  this->EntryByLink.erase(Link);
  for (auto &[Id, One] : this->Calls) {
    if (!One.Linked || One.Link != Link)
      continue;
    One.Linked = false;
    if (One.Phase == State::Running && One.Idempotent)
      this->LinkLostAt.emplace(Id, Now);
    if (One.isUnstarted())
      this->refuse(Id, One,
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

void Gate::sendHead(const CallId &Id, const CallRecord &One, TimePoint Now) {
  if (!One.Linked)
    return;
  wire::HeadT Head;
  Head.seq = Id.Seq;
  Head.status = One.AnswerHead.Status;
  Head.reason = One.AnswerHead.Reason;
  Head.headers = toWire(One.AnswerHead.Headers);
  Head.length = One.AnswerHead.Length;
  Head.load = std::make_unique<wire::Load>(this->load(Now));
  Head.ran_us = static_cast<uint32_t>(
      std::chrono::duration_cast<Micros>(One.AnsweredAt - One.StartedAt)
          .count());
  Head.waited_us = static_cast<uint32_t>(
      std::chrono::duration_cast<Micros>(One.StartedAt - One.ArrivedAt)
          .count());
  this->Hook.Send(One.Link, callFrame(std::move(Head)));
}

void Gate::sendAnswer(const CallId &Id, CallRecord &One) {
  if (!One.Linked)
    return;
  while (auto Piece = One.AnswerBody.next(this->Opts.MaxPieceBytes)) {
    wire::DataT Data;
    Data.seq = Id.Seq;
    Data.offset = Piece->Offset;
    Data.bytes.assign(Piece->Bytes.begin(), Piece->Bytes.end());
    Data.end = Piece->End;
    this->Hook.Send(One.Link, callFrame(std::move(Data)));
  }
}

void Gate::sendFailed(const CallId &Id, const CallRecord &One, TimePoint Now) {
  if (!One.Linked)
    return;
  wire::FailedT Failed;
  Failed.seq = Id.Seq;
  Failed.outcome = One.RefusalDetails.What == Outcome::NotRun
                       ? wire::Outcome::NotRun
                       : wire::Outcome::Unknown;
  Failed.reason = One.RefusalDetails.Reason;
  Failed.step = One.RefusalDetails.Step;
  Failed.peer = One.RefusalDetails.Peer;
  Failed.retry_after_ms =
      static_cast<uint32_t>(One.RefusalDetails.RetryAfter.count());
  Failed.status = One.RefusalDetails.Status;
  Failed.room_in_ms = static_cast<uint32_t>(
      toMillis(this->AdmissionControl.coldStart().wait(Now)).count());
  Failed.load = std::make_unique<wire::Load>(this->load(Now));
  this->Hook.Send(One.Link, callFrame(std::move(Failed)));
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
  this->Hook.Send(Link, callFrame(std::move(Pong)));
}

// The process at the other end has died, or the way to it is cut: its caller
// has no connection any more either, and the work would be for nobody.
void Gate::abortAbandonedCalls(TimePoint Now) {
  for (auto At = this->LinkLostAt.begin(); At != this->LinkLostAt.end();) {
    if (Now - At->second < this->Opts.AbandonedGrace) {
      ++At;
      continue;
    }
    CallId Id = At->first;
    At = this->LinkLostAt.erase(At);
    CallRecord *One = this->findCall(Id);
    if (One && One->Phase == State::Running && !One->Linked)
      this->abortCall(Id, *One,
                      makeRefusal(Outcome::Unknown, "entry-lost", StepUpstream,
                                  this->Opts.Self),
                      Now);
  }
}

} // namespace hickorylift
