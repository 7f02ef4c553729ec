#include "calls/Gate.h"

// How bodies come to the gate. What all entries send shares the link of this
// machine, so long bodies come a few at a time (TransferScheduler), each when
// its entry is asked for it: before its call takes a slot where links are slow,
// after that on fast ones.
//
// The upstream sees nothing of a call whose body can be held here before that
// is whole. A body on a thin link may come seconds after its call: until then
// the call can be refused truly, when its caller, its entry or the upstream
// goes, and none reaches an upstream that has stopped taking calls meanwhile.

namespace hickorylift {

// A body that is held here until it is whole costs memory, up to the window.
bool Gate::isHoldable(const Call &One) const {
  return One.Head.Length > 0 &&
         static_cast<uint64_t>(One.Head.Length) <= this->Opts.Window;
}

bool Gate::fetchesFirst(const Call &One, TimePoint Now) const {
  return One.BodyHeld && this->isHoldable(One) &&
         this->Transfers.usualTime(Now) >= this->Opts.FetchFirstFrom;
}

// A slot that waits for a body is missing to others: on a link of 7 Mbit/s a
// body of 60 KB takes 70 ms and more, and calls that had half of that to run
// held their slots for half a second. So the body comes first, if there would
// be a slot now, and the slot is asked for when it is whole.
//
// Bodies that cannot be whole in time are refused before they fill the link:
// where more come than it carries, all would be late else.
void Gate::fetch(const CallId &Id, Call &One, TimePoint Now) {
  std::optional<Admission::Result> No =
      this->Slots.wouldRefuse(One.Wanted, Now);
  Clock::duration Whole = this->Transfers.expectedTime(Now);
  if (!No && !this->Slots.canMeetTarget(One.Wanted, Whole, Now)) {
    No.emplace();
    No->RefusalDetails =
        makeRefusal(Outcome::NotRun, "overload", "transfer", this->Opts.Self);
    No->RefusalDetails.RetryAfter = toMillis(Whole);
  }
  if (No) {
    No->RefusalDetails.Peer = this->Opts.Self;
    return this->refuse(Id, One, No->RefusalDetails, Now);
  }
  One.Fetching = true;
  One.BodyHeld = false;
  if (this->Transfers.request(Id, Now))
    this->askForBody(Id, One);
}

// The call has its slot. It starts once its body is here.
void Gate::takeSlot(const CallId &Id, Call &One, TimePoint Now) {
  if (!this->isHoldable(One) || One.Request.ended())
    return this->start(Id, One, Now);
  One.Now = State::Admitted;
  if (!std::exchange(One.BodyHeld, false))
    // What came while it waited had no credit, and the rest waits for that.
    this->creditBody(Id, One);
  else if (this->Transfers.request(Id, Now))
    this->askForBody(Id, One);
}

void Gate::askForBody(const CallId &Id, const Call &One) {
  if (!One.Linked)
    return;
  wire::AdmittedT Go;
  Go.seq = Id.Seq;
  Go.request_received = One.Request.received();
  this->Hook.Send(One.Link, makeCallFrame(Go));
}

void Gate::grantTransfers(TimePoint Now) {
  for (const CallId &Id : this->Transfers.startNext(Now))
    if (Call *One = this->find(Id);
        One && (One->Now == State::Running || One->isUnseen()))
      this->askForBody(Id, *One);
}

void Gate::forwardBody(const CallId &Id, Call &One, std::string_view Bytes) {
  if (!Bytes.empty())
    this->Hook.Body(Id, Bytes);
  if (One.Request.ended())
    this->Hook.BodyEnd(Id);
}

// Credits for a body that no upstream has taken yet: what is here is here.
void Gate::creditBody(const CallId &Id, const Call &One) {
  wire::CreditT Credit;
  Credit.seq = Id.Seq;
  Credit.consumed = One.Request.received();
  this->Hook.Send(One.Link, makeCallFrame(Credit));
}

void Gate::bodyArrived(const CallId &Id, Call &One, bool Whole, TimePoint Now) {
  if (!Whole)
    return this->creditBody(Id, One);
  One.Fetching ? this->admit(Id, One, Now) : this->start(Id, One, Now);
}

void Gate::onData(LinkId Link, const wire::DataT &Data, TimePoint Now) {
  CallId Id = this->idOn(Link, Data.seq);
  Call *One = this->find(Id);
  if (!One || One->Link != Link || One->Request.ended())
    return;
  std::string_view Bytes(reinterpret_cast<const char *>(Data.bytes.data()),
                         Data.bytes.size());
  std::optional<std::string_view> New =
      One->Request.accept(Data.offset, Bytes, Data.end);
  if (!New) {
    Refusal Gap = makeRefusal(Outcome::NotRun, "body-gap", StepAdmission,
                              this->Opts.Self);
    if (One->isUnseen())
      return this->refuse(Id, *One, std::move(Gap), Now);
    Gap.CallOutcome = Outcome::Unknown;
    if (One->Now == State::Running)
      this->breakOff(Id, *One, Gap, Now);
    return;
  }
  bool Whole = One->Request.ended();
  if (One->isUnseen())
    One->EarlyBody.append(*New);
  if (One->Fetching || One->Now == State::Admitted)
    this->bodyArrived(Id, *One, Whole, Now);
  else if (One->Now == State::Running)
    this->forwardBody(Id, *One, *New);
  if (!Whole)
    return;
  this->Transfers.finished(Id, Now);
  this->grantTransfers(Now);
}

} // namespace hickorylift
