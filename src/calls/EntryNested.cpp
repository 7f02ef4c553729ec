#include "calls/Entry.h"

#include <algorithm>
#include <utility>

// Nested calls: those that a run of the upstream beside this entry makes. They
// are at least as urgent as their run. A call that a repeated run makes would
// not exist without the repeat, so it is charged to the retry budget.

namespace hickorylift {

void Entry::findParentRun(PendingCall &Call) {
  if (!this->Hook.FindParentRun)
    return;
  Call.ParentRun = this->Hook.FindParentRun(
      findHeader(Call.Head.Headers, this->Opts.HeaderNames.RequestId));
  if (!Call.ParentRun)
    return;
  ++this->Counts.Nested;
  // The call has less time left than others of its route because its run has
  // used some, not because it was refused before.
  Call.Returning = false;
}

// Only the requests of callers earn retries. If nested calls earned some too,
// the retries of a service deep in the call chain would grow with the number of
// calls that each request causes, and not with the number of requests.
void Entry::recordFirstTry(const PendingCall &Call) {
  if (Call.ParentRun)
    return;
  this->retryBudget(Call).recordFirstTry(
      std::min(Call.MatchedRoute->Retry->BudgetPercent,
               this->Opts.MaxRetryPercent),
      Call.ReceivedAt);
}

// The call is sent whether or not a retry is available: its run holds a slot
// and is wasted without the answer. If the call is sent again, that is a retry
// of its own, which mayRetry() takes from the budget.
void Entry::chargeRepeatedRun(PendingCall &Call, TimePoint Now) {
  bool Charged = Call.ParentRun && Call.ParentRun->Repeat;
  if (!Charged || std::exchange(Call.ChargedToRepeat, true))
    return;
  this->retryBudget(Call).charge(Now);
  ++this->Counts.ChargedToRepeats;
}

// The route's priority is the least urgent that the call may get, because
// operators set it. A call that no upstream has received yet is not a repeat,
// even if gates have refused it.
void Entry::setLineage(const PendingCall &Call, wire::OpenT &Open) const {
  if (!this->Hook.FindParentRun)
    return;
  Open.repeat = Call.Attempts > 0 || Open.hedge;
  if (!Call.ParentRun)
    return;
  Open.nested = true;
  Open.priority = std::min(Open.priority, Call.ParentRun->Priority);
  Open.repeat |= Call.ParentRun->Repeat;
}

} // namespace hickorylift
