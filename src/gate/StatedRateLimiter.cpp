#include "gate/StatedRateLimiter.h"

#include <algorithm>
#include <cmath>

// All calls of an upstream pass through one gate, so a rate that holds for all
// nodes together is kept exactly there, without any shared state.
//
// Two bounds hold at once. Calls are paced at the stated rate: each uses up one
// interval, and unused intervals are saved up to BurstTime. And no call starts
// that would exceed what the upstream tolerates in a sliding window. Pacing
// alone would not keep the window's bound: requests that the upstream got just
// before its statement are in its window too, and a gate that paces from the
// statement on would add to them.
//
// During the grace period the window is the one at the end of that period, and
// what is left in it is spread over the period. If it were sent at the stated
// rate, the upstream would get nothing in the second half.

namespace hickorylift {

namespace {

using Seconds = std::chrono::duration<double>;

Clock::duration toDuration(double Length) {
  return std::chrono::duration_cast<Clock::duration>(Seconds(Length));
}

} // namespace

void StatedRateLimiter::setRate(std::optional<double> CallsPerSecond,
                                TimePoint Now) {
  bool Begins = CallsPerSecond && !this->StatedRate;
  this->StatedRate = CallsPerSecond;
  if (!Begins)
    return;
  this->StatedSince = Now;
  this->AccruedAt = std::max(this->AccruedAt, Now);
  this->expireSent(Now);
  this->GraceRate = static_cast<double>(this->windowCapacity(Now)) /
                    Seconds(this->Opts.GracePeriod).count();
}

void StatedRateLimiter::upstreamRestarted() {
  this->StatedRate.reset();
  this->SentTimes.clear();
  this->AccruedAt = TimePoint();
}

double StatedRateLimiter::allowedRate(TimePoint Now) const {
  double Rate = std::max(*this->StatedRate, this->Opts.MinCallsPerSecond);
  if (!this->isGracePeriod(Now))
    return Rate;
  return std::clamp(this->GraceRate, this->Opts.MinCallsPerSecond, Rate);
}

Clock::duration StatedRateLimiter::callInterval(TimePoint Now) const {
  return toDuration(1 / this->allowedRate(Now));
}

size_t StatedRateLimiter::windowLimit() const {
  double Tolerated = *this->StatedRate * this->Opts.WindowFactor *
                         Seconds(this->Opts.Window).count() +
                     this->Opts.WindowExtra;
  double Limit = std::floor(Tolerated) - this->Opts.ReservedCalls;
  // Many times more than a gate could send.
  constexpr double MaxLimit = 1e9;
  return static_cast<size_t>(std::clamp(Limit, 1.0, MaxLimit));
}

TimePoint StatedRateLimiter::windowStart(TimePoint Now) const {
  TimePoint GraceEnd = this->StatedSince + this->Opts.GracePeriod;
  return std::max(Now, GraceEnd) - this->Opts.Window;
}

size_t StatedRateLimiter::sentSince(TimePoint Start) const {
  auto First =
      std::upper_bound(this->SentTimes.begin(), this->SentTimes.end(), Start);
  return static_cast<size_t>(std::distance(First, this->SentTimes.end()));
}

size_t StatedRateLimiter::windowCapacity(TimePoint Now) const {
  size_t Used = this->sentSince(this->windowStart(Now)) + this->Reserved;
  return this->windowLimit() - std::min(this->windowLimit(), Used);
}

size_t StatedRateLimiter::pacedCapacity(TimePoint Now) const {
  Clock::duration Interval = this->callInterval(Now);
  TimePoint NextAccruesAt = std::max(this->AccruedAt, Now) +
                            Interval * static_cast<int64_t>(this->Reserved);
  Clock::duration Saved = Now + this->Opts.BurstTime - NextAccruesAt;
  if (Saved < Clock::duration::zero())
    return 0;
  return static_cast<size_t>(Saved / Interval) + 1;
}

size_t StatedRateLimiter::capacity(TimePoint Now) {
  if (!this->isLimited())
    return SIZE_MAX;
  this->expireSent(Now);
  return std::min(this->pacedCapacity(Now), this->windowCapacity(Now));
}

Clock::duration StatedRateLimiter::timeUntilPaced(TimePoint Now) const {
  TimePoint NextAccruesAt =
      std::max(this->AccruedAt, Now) +
      this->callInterval(Now) * static_cast<int64_t>(this->Reserved);
  return std::max(NextAccruesAt - this->Opts.BurstTime - Now,
                  Clock::duration::zero());
}

Clock::duration
StatedRateLimiter::timeUntilWindowCapacity(TimePoint Now) const {
  size_t InWindow = this->sentSince(this->windowStart(Now));
  size_t Used = InWindow + this->Reserved;
  if (Used < this->windowLimit())
    return Clock::duration::zero();
  // The call with this index must leave the window. If the reservations alone
  // fill it, assume a whole window from now.
  size_t Excess = Used - this->windowLimit();
  size_t First = this->SentTimes.size() - InWindow;
  TimePoint Oldest = Excess < InWindow ? this->SentTimes[First + Excess] : Now;
  return Oldest + this->Opts.Window - Now;
}

Clock::duration StatedRateLimiter::timeUntilCapacity(TimePoint Now) {
  if (this->capacity(Now) > 0)
    return Clock::duration::zero();
  return std::max(this->timeUntilPaced(Now),
                  this->timeUntilWindowCapacity(Now));
}

void StatedRateLimiter::expireSent(TimePoint Now) {
  while (!this->SentTimes.empty() &&
         (Now - this->SentTimes.front() >= this->Opts.Window ||
          this->SentTimes.size() > this->Opts.MaxRecorded))
    this->SentTimes.pop_front();
}

// Requests are also recorded while the upstream states no rate, because it
// counts them when it begins to.
void StatedRateLimiter::recordSent(TimePoint Now) {
  this->SentTimes.push_back(Now);
  this->expireSent(Now);
  if (!this->isLimited())
    return;
  TimePoint GraceEnd = this->StatedSince + this->Opts.GracePeriod;
  TimePoint SentBefore = std::max(this->AccruedAt, Now);
  // The long intervals of the grace period end with it.
  this->AccruedAt =
      std::min(SentBefore + this->callInterval(Now),
               std::max(GraceEnd, SentBefore + this->callInterval(GraceEnd)));
}

} // namespace hickorylift
