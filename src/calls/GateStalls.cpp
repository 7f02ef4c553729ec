#include "calls/Gate.h"

#include <algorithm>
#include <vector>

// Ends calls that hold a slot of the upstream while nothing goes on at them: a
// caller has stopped in the middle of a long body, or does not read a long
// answer. A few such callers would otherwise hold all slots until the deadlines
// of their calls, and everybody else would be refused.
//
// Nothing is ended while slots are free or nobody wants one. A call makes
// progress by the bytes that its entry sends and takes; the time during which
// the upstream has the next move does not count.

namespace hickorylift {

void Gate::noteProgress(TimePoint Now) {
  for (auto It = this->SlotHolders.begin(); It != this->SlotHolders.end();) {
    const CallRecord *Call = this->findCall(It->first);
    bool Holds = Call && (Call->Phase == State::Admitted ||
                          Call->Phase == State::Running);
    if (!Holds) {
      It = this->SlotHolders.erase(It);
      continue;
    }
    SlotProgress &Its = It->second;
    uint64_t Bytes = Call->RequestBody.received() + Call->AnswerBody.credited();
    bool Moved = Bytes >= Its.Bytes + this->Opts.MinProgressBytes;
    if (Moved || !this->entryActs(*Call))
      Its = {Bytes, Now};
    ++It;
  }
}

void Gate::endStalledCalls(TimePoint Now) {
  this->noteProgress(Now);
  size_t Wanted = std::exchange(this->CapacityRefusals, 0) +
                  this->AdmissionControl.waitingCount();
  if (Wanted == 0 || this->AdmissionControl.hasFreeSlot(Now))
    return;
  std::vector<std::pair<TimePoint, CallId>> Stalled;
  for (const auto &[Id, Its] : this->SlotHolders)
    if (Now - Its.Since >= this->Opts.StallTimeout)
      Stalled.emplace_back(Its.Since, Id);
  std::sort(Stalled.begin(), Stalled.end());
  Stalled.resize(std::min(Stalled.size(), Wanted));
  for (const auto &[Since, Id] : Stalled)
    if (CallRecord *Call = this->findCall(Id))
      this->endStalledCall(Id, *Call, Now);
}

void Gate::endStalledCall(const CallId &Id, CallRecord &Call, TimePoint Now) {
  if (Call.Phase == State::Admitted)
    return this->refuse(Id, Call,
                        makeRefusal(Outcome::NotRun, ReasonStalled,
                                    StepAdmission, this->Opts.Self),
                        Now);
  this->abortCall(Id, Call,
                  makeRefusal(Outcome::Unknown, ReasonStalled, StepUpstream,
                              this->Opts.Self),
                  Now);
}

} // namespace hickorylift
