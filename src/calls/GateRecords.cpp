#include "calls/Gate.h"

// What is remembered of calls that have ended. Callers decide how many calls
// come, so a record that outlives its call must be small, and there must be
// none for a call that nothing depends on.
//
// A call whose Open frame has come and that was refused as not run is forgotten
// at once. An entry sends that frame once, over one connection, so no copy of
// it can come later and run; and if the entry asks about the call over another
// link, it is told that the call never arrived, which is as true.
//
// All others are kept until the time for which an entry may ask about them is
// over, with their outcome and its reason only. That includes calls that an
// entry has asked about before they came: their frames may still come.

namespace hickorylift {

// Records are replaced by the next tick, as callers of this hold references.
void Gate::noteEnded(const CallId &Id) { this->EndedSinceTick.push_back(Id); }

void Gate::compactRecords(TimePoint) {
  for (const CallId &Id : std::exchange(this->EndedSinceTick, {}))
    if (CallRecord *Call = this->findCall(Id))
      this->compactRecord(Id, *Call);
}

void Gate::compactRecord(const CallId &Id, CallRecord &Call) {
  bool NotRun = Call.Phase == State::Refused &&
                Call.RefusalDetails.CallOutcome == Outcome::NotRun;
  this->Timers.erase(Call.Timer);
  if (!NotRun || !Call.Arrived) {
    const char *Delivered = "answer-delivered";
    bool Answered = Call.Phase == State::Finished;
    this->Ended[Id] = {Answered ? Outcome::Unknown
                                : Call.RefusalDetails.CallOutcome,
                       Answered ? Delivered : Call.RefusalDetails.Reason};
    this->Timers.emplace(Call.Deadline + this->Opts.RetainAfterDeadline, Id);
  }
  this->Calls.erase(Id);
  this->Hook.UsageChanged(Id);
}

bool Gate::isKnown(const CallId &Id) const {
  return this->Calls.count(Id) != 0 || this->Ended.count(Id) != 0;
}

// Tells an entry how a call has ended. False if nothing is known of it.
bool Gate::resumeEnded(LinkId Link, const CallId &Id) {
  auto Found = this->Ended.find(Id);
  if (Found == this->Ended.end())
    return false;
  bool NotRun = Found->second.CallOutcome == Outcome::NotRun;
  wire::FailedT Failed;
  Failed.seq = Id.Seq;
  Failed.outcome = NotRun ? wire::Outcome::NotRun : wire::Outcome::Unknown;
  Failed.reason = Found->second.Reason;
  Failed.step = NotRun ? StepAdmission : StepUpstream;
  Failed.peer = this->Opts.Self;
  this->Hook.Send(Link, makeCallFrame(std::move(Failed)));
  return true;
}

} // namespace hickorylift
