#include "calls/Entry.h"

#include <algorithm>
#include <utility>

// Nested calls: those that a run of the upstream beside this entry makes. They
// are at least as urgent as their run. A call that a repeated run makes would
// not exist without the repeat, and is a repeat at its own service. Whoever
// repeats a call therefore pays for the calls that its run will make: it knows
// their usual number from the answers of its route. If they were counted only
// where they are made, nothing could prevent them any more.

namespace hickorylift {

void Entry::findParentRun(PendingCall &Call) {
  if (!this->Hook.FindParentRun)
    return;
  Call.ParentRun = this->Hook.FindParentRun(
      findHeader(Call.Head.Headers, this->Opts.HeaderNames.RequestId));
  if (!Call.ParentRun)
    return;
  ++this->Counts.Nested;
  this->Counts.NestedOfRepeats += Call.ParentRun->Repeat ? 1 : 0;
  ServiceCalls Caused = this->NestedCalls.callsPerRun(Call.MatchedRoute->Name);
  Caused[Call.TargetService->Name] += 1;
  this->Hook.RecordNestedCall(
      findHeader(Call.Head.Headers, this->Opts.HeaderNames.RequestId), Caused);
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
  double Percent = Call.MatchedRoute->Retry->BudgetPercent.value_or(
      this->Opts.DefaultRetryPercent);
  this->retryBudget(Call.TargetService->Name)
      .recordFirstTry(std::min(Percent, this->Opts.MaxRetryPercent),
                      Call.ReceivedAt);
}

// What a retry of the call costs the services that its run calls. The retry
// itself is spent from the budget of its own service, and calls of a service to
// itself are not counted.
std::vector<RetryBudget::Cost> Entry::nestedCosts(const PendingCall &Call) {
  // Services that fewer runs call are left out.
  constexpr double MinCallsPerRun = 0.01;
  std::vector<RetryBudget::Cost> Costs;
  for (const auto &[Service, Count] :
       this->NestedCalls.callsPerRun(Call.MatchedRoute->Name))
    if (Service != Call.TargetService->Name && Count >= MinCallsPerRun)
      Costs.push_back({Service, &this->retryBudget(Service), Count});
  return Costs;
}

void Entry::noteCharged(PendingCall &Call,
                        const std::vector<RetryBudget::Cost> &Costs) {
  Call.ChargedCalls.clear();
  for (const RetryBudget::Cost &Charged : Costs)
    Call.ChargedCalls[Charged.Service] = Charged.Retries;
}

void Entry::refundNestedCosts(PendingCall &Call) {
  for (const auto &[Service, Count] : std::exchange(Call.ChargedCalls, {}))
    this->retryBudget(Service).refund(Count);
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
