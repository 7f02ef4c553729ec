#include "calls/Gate.h"

// How request bodies reach the gate. The bodies from all entries share the
// network link of this machine, so the transfer scheduler lets only a few long
// ones be sent at a time. The gate asks an entry for a body when its transfer
// may begin: before the call takes a slot if links are slow, after that if they
// are fast.
//
// If a body is short enough to be buffered here, the upstream receives nothing
// of the call until the body is complete. On a slow link the body may arrive
// seconds after the call. Until then the call can truthfully be refused as not
// run if its caller, its entry or the upstream goes away, and no call reaches
// an upstream that has stopped accepting calls in the meantime.

namespace hickorylift {

// A buffered body takes up memory, so only bodies that fit into the
// flow-control window are buffered.
bool Gate::canBufferBody(const CallRecord &Call) const {
  return Call.Request.Length > 0 &&
         static_cast<uint64_t>(Call.Request.Length) <=
             this->Opts.BodyWindowBytes;
}

bool Gate::shouldPrefetchBody(const CallRecord &Call, TimePoint Now) const {
  return Call.EntryHoldsBody && this->canBufferBody(Call) &&
         this->Transfers.usualTime(Now) >= this->Opts.PrefetchThreshold;
}

// Fetches the body before the call asks for a slot, if the call would get one
// now. A slot whose call waits for its body is lost to other calls: on a link
// of 7 Mbit/s a body of 60 KB takes 70 ms or more, and calls that ran for half
// of that time held their slots for half a second.
//
// Calls whose bodies cannot be complete in time are refused before their bodies
// load the link. Otherwise, with more bodies than the link can carry, all of
// them would be late.
void Gate::prefetchBody(const CallId &Id, CallRecord &Call, TimePoint Now) {
  std::optional<Admission::Result> Refused =
      this->AdmissionControl.wouldRefuse(Call.SlotRequest, Now);
  Clock::duration TransferTime = this->Transfers.expectedTime(Now);
  if (!Refused && !this->AdmissionControl.canMeetTarget(Call.SlotRequest,
                                                        TransferTime, Now)) {
    Refused.emplace();
    Refused->RefusalDetails =
        makeRefusal(Outcome::NotRun, "overload", "transfer", this->Opts.Self);
    Refused->RefusalDetails.RetryAfter = toMillis(TransferTime);
  }
  if (Refused) {
    Refused->RefusalDetails.Peer = this->Opts.Self;
    return this->refuse(Id, Call, Refused->RefusalDetails, Now);
  }
  Call.Prefetching = true;
  Call.EntryHoldsBody = false;
  if (this->Transfers.request(Id, Now))
    this->requestBody(Id, Call);
}

// The call has a slot. It starts when its body is complete, if that is
// buffered.
void Gate::onSlotGranted(const CallId &Id, CallRecord &Call, TimePoint Now) {
  this->SlotHolders[Id] = {0, Now};
  if (!this->canBufferBody(Call) || Call.RequestBody.ended())
    return this->startCall(Id, Call, Now);
  Call.Phase = State::Admitted;
  if (!std::exchange(Call.EntryHoldsBody, false))
    // No credit was sent for what arrived while the call waited for its slot,
    // and the entry sends the rest only after that credit.
    this->sendBodyCredit(Id, Call);
  else if (this->Transfers.request(Id, Now))
    this->requestBody(Id, Call);
}

void Gate::requestBody(const CallId &Id, const CallRecord &Call) {
  if (!Call.Linked)
    return;
  wire::AdmittedT Request;
  Request.seq = Id.Seq;
  Request.request_received = Call.RequestBody.received();
  this->Hook.Send(Call.Link, makeCallFrame(Request));
}

void Gate::grantTransfers(TimePoint Now) {
  for (const CallId &Id : this->Transfers.startNext(Now))
    if (CallRecord *Call = this->findCall(Id);
        Call && (Call->Phase == State::Running || Call->isUnstarted()))
      this->requestBody(Id, *Call);
}

void Gate::forwardBody(const CallId &Id, CallRecord &Call,
                       std::string_view Bytes) {
  if (!Bytes.empty())
    this->Hook.Body(Id, Bytes);
  if (Call.RequestBody.ended())
    this->Hook.BodyEnd(Id);
}

// Grants credit for a buffered body. All bytes received count as consumed,
// although none has been sent to the upstream yet.
void Gate::sendBodyCredit(const CallId &Id, const CallRecord &Call) {
  wire::CreditT Credit;
  Credit.seq = Id.Seq;
  Credit.consumed = Call.RequestBody.received();
  this->Hook.Send(Call.Link, makeCallFrame(Credit));
}

void Gate::onBufferedBody(const CallId &Id, CallRecord &Call, bool Complete,
                          TimePoint Now) {
  if (!Complete)
    return this->sendBodyCredit(Id, Call);
  Call.Prefetching ? this->requestSlot(Id, Call, Now)
                   : this->startCall(Id, Call, Now);
}

void Gate::onData(LinkId Link, const wire::DataT &Data, TimePoint Now) {
  CallId Id = this->callIdOn(Link, Data.seq);
  CallRecord *Call = this->findCall(Id);
  if (!Call || Call->Link != Link || Call->RequestBody.ended())
    return;
  std::string_view Bytes(reinterpret_cast<const char *>(Data.bytes.data()),
                         Data.bytes.size());
  std::optional<std::string_view> NewBytes =
      Call->RequestBody.accept(Data.offset, Bytes, Data.end);
  if (!NewBytes) {
    Refusal Details = makeRefusal(Outcome::NotRun, "body-gap", StepAdmission,
                                  this->Opts.Self);
    if (Call->isUnstarted())
      return this->refuse(Id, *Call, std::move(Details), Now);
    Details.CallOutcome = Outcome::Unknown;
    if (Call->Phase == State::Running)
      this->abortCall(Id, *Call, Details, Now);
    return;
  }
  bool Complete = Call->RequestBody.ended();
  this->Hook.UsageChanged(Id);
  if (Call->isUnstarted())
    Call->BufferedBody.append(*NewBytes);
  if (Call->Prefetching || Call->Phase == State::Admitted)
    this->onBufferedBody(Id, *Call, Complete, Now);
  else if (Call->Phase == State::Running)
    this->forwardBody(Id, *Call, *NewBytes);
  if (!Complete)
    return;
  this->Transfers.finished(Id, Now);
  this->grantTransfers(Now);
}

} // namespace hickorylift
