#include "calls/Entry.h"

#include <algorithm>

// How the entry treats upstreams that shed calls although they have free slots,
// and the time after which refused callers are told to retry.

namespace hickorylift {

namespace {

const char ReasonShed[] = "upstream-shed";
const char ReasonOverload[] = "overload";
const char ReasonStatedRate[] = "stated-rate";
const char ReasonReserve[] = "priority-reserve";
// Callers that are told to wait for more than a third of their remaining time
// retry earlier than they were told, so longer times are not stated.
constexpr int64_t MaxWaitDivisor = 3;

bool lacksCapacity(const Refusal &Cause) {
  return Cause.Reason == ReasonOverload || Cause.Reason == ReasonStatedRate ||
         Cause.Reason == ReasonReserve;
}

} // namespace

void Entry::recordShedding(const std::string &Gate, uint32_t ShedPercent,
                           TimePoint Now) {
  if (!this->Opts.AllocatorOptions.Enabled)
    return;
  this->Balancer.recordShedding(Gate, ShedPercent, Now);
  if (const Instance *Known = this->Fleet.find(Gate))
    this->ShedRetries.recordReport(Known->Service, ShedPercent, Now);
}

// Whether the call was shed by its upstream, and gates of the service report
// shedding with free slots.
bool Entry::isServiceShedding(const PendingCall &Call, const Refusal &Cause,
                              TimePoint Now) const {
  return Cause.Reason == ReasonShed &&
         this->ShedRetries.isShedding(Call.TargetService->Name, Now);
}

// A retry that no upstream has run has made no calls.
bool Entry::spendRetry(PendingCall &Call, const Refusal &Cause, TimePoint Now) {
  if (Cause.CallOutcome == Outcome::NotRun)
    this->refundNestedCosts(Call);
  std::vector<RetryBudget::Cost> Costs = this->nestedCosts(Call);
  RetryBudget &Budget = this->retryBudget(Call.TargetService->Name);
  RetryAllocator::Call Shed{Call.ParentRun.has_value(), Call.Returning};
  bool Granted = this->isServiceShedding(Call, Cause, Now)
                     ? this->ShedRetries.spendRetry(Shed, Budget, Now, Costs)
                     : Budget.spendRetry(Now, /*Kept=*/0, Costs);
  if (Granted)
    this->noteCharged(Call, Costs);
  return Granted;
}

// A caller that repeats a shed call draws on no retry budget, so it is told to
// retry as soon as it then counts as returning. No time is longer than the part
// of the caller's remaining time for which callers wait, see MaxWaitDivisor.
Millis Entry::retryAfter(const PendingCall &Call, const Refusal &Cause,
                         TimePoint Now) {
  bool WasShed = this->isServiceShedding(Call, Cause, Now);
  if (!WasShed && !(this->Opts.FavoursReturning && lacksCapacity(Cause)))
    return Cause.RetryAfter;
  Millis Advice =
      WasShed ? this->ShedRetries.shedRetryAfter() : Cause.RetryAfter;
  if (!Call.CallerDeadline)
    return Advice;
  Millis Longest = toMillis(*Call.CallerDeadline - Now) / MaxWaitDivisor;
  return std::clamp(Advice, Millis(1), std::max(Millis(1), Longest));
}

// The call was offered to no gate, so no gate has reported when it expects a
// free slot. The wait is at least one usual run of the route, because a slot is
// likely to become free in that time.
Millis Entry::waitForFreeGate(const PendingCall &Call, Millis NextFree) {
  if (!this->Opts.FavoursReturning)
    return NextFree;
  std::optional<Micros> Run =
      this->Balancer.usualRunTime(Call.MatchedRoute->Name);
  return this->ShedRetries.spread(
      std::max(NextFree, toMillis(Run.value_or(Micros(0)))));
}

} // namespace hickorylift
