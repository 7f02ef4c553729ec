#include "calls/Gate.h"

// How bodies come to the gate. What all entries send shares the link of this
// machine, so long bodies come a few at a time (TransferTurns), each when its
// entry is asked for it: before its call takes a slot where links are slow,
// after that on fast ones.
//
// The upstream sees nothing of a call whose body can be held here before that
// is whole. A body on a thin link may come seconds after its call: until then
// the call can be refused truly, when its caller, its entry or the upstream
// goes, and none reaches an upstream that has stopped taking calls meanwhile.

namespace hickorylift {

// A body that is held here until it is whole costs memory, up to the window.
bool Gate::canBufferBody(const CallRecord &One) const {
  return One.Request.Length > 0 && static_cast<uint64_t>(One.Request.Length) <=
                                       this->Opts.BodyWindowBytes;
}

bool Gate::shouldPrefetchBody(const CallRecord &One, TimePoint Now) const {
  return One.EntryHoldsBody && this->canBufferBody(One) &&
         this->Transfers.usual(Now) >= this->Opts.PrefetchThreshold;
}

// A slot that waits for a body is missing to others: on a link of 7 Mbit/s a
// body of 60 KB takes 70 ms and more, and calls that had half of that to run
// held their slots for half a second. So the body comes first, if there would
// be a slot now, and the slot is asked for when it is whole.
//
// Bodies that cannot be whole in time are refused before they fill the link:
// where more come than it carries, all would be late else.
void Gate::prefetchBody(const CallId &Id, CallRecord &One, TimePoint Now) {
  std::optional<Admission::Answer> No =
      this->AdmissionControl.wouldRefuse(One.SlotRequest, Now);
  Clock::duration Whole = this->Transfers.expected(Now);
  if (!No && !this->AdmissionControl.onTarget(One.SlotRequest, Whole, Now)) {
    No.emplace();
    No->Why =
        makeRefusal(Outcome::NotRun, "overload", "transfer", this->Opts.Self);
    No->Why.RetryAfter = toMillis(Whole);
  }
  if (No) {
    No->Why.Peer = this->Opts.Self;
    return this->refuse(Id, One, No->Why, Now);
  }
  One.Prefetching = true;
  One.EntryHoldsBody = false;
  if (this->Transfers.ask(Id, Now))
    this->requestBody(Id, One);
}

// The call has its slot. It starts once its body is here.
void Gate::onSlotGranted(const CallId &Id, CallRecord &One, TimePoint Now) {
  if (!this->canBufferBody(One) || One.RequestBody.ended())
    return this->startCall(Id, One, Now);
  One.Phase = State::Admitted;
  if (!std::exchange(One.EntryHoldsBody, false))
    // What came while it waited had no credit, and the rest waits for that.
    this->sendBodyCredit(Id, One);
  else if (this->Transfers.ask(Id, Now))
    this->requestBody(Id, One);
}

void Gate::requestBody(const CallId &Id, const CallRecord &One) {
  if (!One.Linked)
    return;
  wire::AdmittedT Go;
  Go.seq = Id.Seq;
  Go.request_received = One.RequestBody.received();
  this->Hook.Send(One.Link, callFrame(Go));
}

void Gate::grantTransfers(TimePoint Now) {
  for (const CallId &Id : this->Transfers.next(Now))
    if (CallRecord *One = this->findCall(Id);
        One && (One->Phase == State::Running || One->isUnstarted()))
      this->requestBody(Id, *One);
}

void Gate::forwardBody(const CallId &Id, CallRecord &One,
                       std::string_view Bytes) {
  if (!Bytes.empty())
    this->Hook.Body(Id, Bytes);
  if (One.RequestBody.ended())
    this->Hook.BodyEnd(Id);
}

// Credits for a body that no upstream has taken yet: what is here is here.
void Gate::sendBodyCredit(const CallId &Id, const CallRecord &One) {
  wire::CreditT Credit;
  Credit.seq = Id.Seq;
  Credit.consumed = One.RequestBody.received();
  this->Hook.Send(One.Link, callFrame(Credit));
}

void Gate::onBufferedBody(const CallId &Id, CallRecord &One, bool Whole,
                          TimePoint Now) {
  if (!Whole)
    return this->sendBodyCredit(Id, One);
  One.Prefetching ? this->requestSlot(Id, One, Now)
                  : this->startCall(Id, One, Now);
}

void Gate::onData(LinkId Link, const wire::DataT &Data, TimePoint Now) {
  CallId Id = this->callIdOn(Link, Data.seq);
  CallRecord *One = this->findCall(Id);
  if (!One || One->Link != Link || One->RequestBody.ended())
    return;
  std::string_view Bytes(reinterpret_cast<const char *>(Data.bytes.data()),
                         Data.bytes.size());
  std::optional<std::string_view> New =
      One->RequestBody.accept(Data.offset, Bytes, Data.end);
  if (!New) {
    Refusal Gap = makeRefusal(Outcome::NotRun, "body-gap", StepAdmission,
                              this->Opts.Self);
    if (One->isUnstarted())
      return this->refuse(Id, *One, std::move(Gap), Now);
    Gap.What = Outcome::Unknown;
    if (One->Phase == State::Running)
      this->abortCall(Id, *One, Gap, Now);
    return;
  }
  bool Whole = One->RequestBody.ended();
  if (One->isUnstarted())
    One->BufferedBody.append(*New);
  if (One->Prefetching || One->Phase == State::Admitted)
    this->onBufferedBody(Id, *One, Whole, Now);
  else if (One->Phase == State::Running)
    this->forwardBody(Id, *One, *New);
  if (!Whole)
    return;
  this->Transfers.ended(Id, Now);
  this->grantTransfers(Now);
}

} // namespace hickorylift
