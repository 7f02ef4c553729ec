#include "calls/Gate.h"

// The links to entries: what is said on them, and what becomes of their calls
// when one is lost.

namespace hickorylift {

void Gate::linkUp(LinkId Link, TimePoint Now) {
  this->Links[Link];
  wire::CallHelloT Hello;
  Hello.node = this->Opts.Self;
  Hello.incarnation = this->Opts.Incarnation;
  this->Hook.Send(Link, makeCallFrame(std::move(Hello)));
  if (this->Gone)
    this->sendPong(Link, /*Nonce=*/0, Now);
  if (!this->draining())
    return;
  wire::DrainingT Said;
  Said.by = this->drainedBy();
  this->Hook.Send(Link, makeCallFrame(std::move(Said)));
}

// The calls of a lost link go on: the entry may find them again over another.
// Those that only wait are let go, for nobody could be told of their turn.
void Gate::linkDown(LinkId Link, TimePoint Now) {
  this->Links.erase(Link);
  this->Entries.erase(Link);
  for (auto &[Id, One] : this->Calls) {
    if (!One.Linked || One.Link != Link)
      continue;
    One.Linked = false;
    if (One.Now == State::Running && One.Idempotent)
      this->Unlinked.emplace(Id, Now);
    if (One.isUnseen())
      this->refuse(Id, One,
                   makeRefusal(Outcome::NotRun, "link-lost", StepAdmission,
                               this->Opts.Self),
                   Now);
  }
  this->pump(Now);
}

CallId Gate::idOn(LinkId Link, uint64_t Seq) const {
  auto Found = this->Entries.find(Link);
  return {Found == this->Entries.end() ? 0 : Found->second, Seq};
}

void Gate::sendHead(const CallId &Id, const Call &One, TimePoint Now) {
  if (!One.Linked)
    return;
  wire::HeadT Head;
  Head.seq = Id.Seq;
  Head.status = One.Answer.Status;
  Head.reason = One.Answer.Reason;
  Head.headers = toWire(One.Answer.Headers);
  Head.length = One.Answer.Length;
  Head.load = std::make_unique<wire::Load>(this->load(Now));
  Head.ran_us = static_cast<uint32_t>(
      std::chrono::duration_cast<Micros>(One.AnsweredAt - One.StartedAt)
          .count());
  Head.waited_us = static_cast<uint32_t>(
      std::chrono::duration_cast<Micros>(One.StartedAt - One.CameAt).count());
  this->Hook.Send(One.Link, makeCallFrame(std::move(Head)));
}

void Gate::sendAnswer(const CallId &Id, Call &One) {
  if (!One.Linked)
    return;
  while (auto Piece = One.Response.nextPiece(this->Opts.PieceBytes)) {
    wire::DataT Data;
    Data.seq = Id.Seq;
    Data.offset = Piece->Offset;
    Data.bytes.assign(Piece->Bytes.begin(), Piece->Bytes.end());
    Data.end = Piece->End;
    this->Hook.Send(One.Link, makeCallFrame(std::move(Data)));
  }
}

void Gate::sendFailed(const CallId &Id, const Call &One, TimePoint Now) {
  if (!One.Linked)
    return;
  wire::FailedT Failed;
  Failed.seq = Id.Seq;
  Failed.outcome = One.Why.CallOutcome == Outcome::NotRun
                       ? wire::Outcome::NotRun
                       : wire::Outcome::Unknown;
  Failed.reason = One.Why.Reason;
  Failed.step = One.Why.Step;
  Failed.peer = One.Why.Peer;
  Failed.retry_after_ms = static_cast<uint32_t>(One.Why.RetryAfter.count());
  Failed.status = One.Why.Status;
  Failed.room_in_ms = static_cast<uint32_t>(
      toMillis(this->Slots.coldStart().timeUntilCapacity(Now)).count());
  Failed.load = std::make_unique<wire::Load>(this->load(Now));
  this->Hook.Send(One.Link, makeCallFrame(std::move(Failed)));
}

void Gate::tellLinks(TimePoint Now) {
  for (const auto &[Link, State] : this->Links)
    this->sendPong(Link, /*Nonce=*/0, Now);
}

void Gate::sendPong(LinkId Link, uint64_t Nonce, TimePoint Now) {
  wire::PongT Pong;
  Pong.nonce = Nonce;
  Pong.load = std::make_unique<wire::Load>(this->load(Now));
  Pong.draining = this->draining();
  Pong.gone = this->Gone;
  this->Hook.Send(Link, makeCallFrame(std::move(Pong)));
}

// The process at the other end has died, or the way to it is cut: its caller
// has no connection any more either, and the work would be for nobody.
void Gate::endOrphans(TimePoint Now) {
  for (auto At = this->Unlinked.begin(); At != this->Unlinked.end();) {
    if (Now - At->second < this->Opts.OrphanGrace) {
      ++At;
      continue;
    }
    CallId Id = At->first;
    At = this->Unlinked.erase(At);
    Call *One = this->find(Id);
    if (One && One->Now == State::Running && !One->Linked)
      this->breakOff(Id, *One,
                     makeRefusal(Outcome::Unknown, "entry-lost", StepUpstream,
                                 this->Opts.Self),
                     Now);
  }
}

} // namespace hickorylift
