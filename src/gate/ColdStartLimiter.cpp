#include "gate/ColdStartLimiter.h"

#include <algorithm>
#include <cmath>

// An upstream that has just started can handle only a few calls and crashes
// under more. All of its calls pass through one gate, so the limit is enforced
// exactly there: the requests sent within the last window are counted together
// with the calls that have started and still wait for their connection, and no
// call starts that would exceed the limit in any window.
//
// Whether the upstream is cold is known late. The platform's list reports a
// start only seconds later, and may report an upstream as warm that has crashed
// meanwhile. So each sign of a restart makes the upstream count as cold at
// once, and only two things make it warm: its own answer to a query that was
// sent after the last such sign, or the end of a whole warm-up time. To take a
// warm upstream for cold costs a few refusals until its answer arrives, a
// moment later. To take a cold upstream for warm crashes it together with all
// calls that it runs, and it is cold again after that.

namespace hickorylift {

void ColdStartLimiter::configure(double CallsPerSecond, Millis WarmupTime,
                                 TimePoint Now) {
  bool RateAppears = !this->isLimited() && CallsPerSecond > 0;
  this->PerSecond = CallsPerSecond;
  this->Warmup = WarmupTime;
  if (RateAppears)
    this->suspectRestart(Now);
}

void ColdStartLimiter::startCounting(TimePoint Now) {
  if (!this->CountingSince)
    this->CountingSince = Now;
}

bool ColdStartLimiter::isHistoryUnknown(TimePoint Now) const {
  return this->CountingSince && !this->HistoryComplete &&
         Now - *this->CountingSince < this->Opts.RateWindow;
}

// After a power failure the node and its upstream start together, so no
// previous node process can have sent the upstream anything. Without this check
// the callers would find no capacity for another second.
void ColdStartLimiter::checkUpstreamAge(Millis ColdLeft, TimePoint Now) {
  TimePoint StartedAt = Now - (this->Warmup - std::min(ColdLeft, this->Warmup));
  this->HistoryComplete |=
      ColdLeft.count() > 0 && this->CountingSince &&
      StartedAt + this->Opts.MinRestartGap >= *this->CountingSince;
}

void ColdStartLimiter::suspectRestart(TimePoint Now) {
  this->RestartSuspectedAt = Now;
  this->ColdUntil = std::max(this->ColdUntil, Now + this->Warmup);
}

void ColdStartLimiter::observeUpstream(const std::string &Upstream,
                                       TimePoint Now) {
  if (!this->isLimited() || Upstream.empty())
    return;
  if (this->KnownUpstreams.size() >= this->Opts.MaxUpstreamNames)
    this->KnownUpstreams.clear();
  if (this->KnownUpstreams.insert(Upstream).second)
    this->suspectRestart(Now);
}

void ColdStartLimiter::listReported(Millis ColdLeft, TimePoint Now) {
  bool IsNews = ColdLeft.count() > 0 && (ColdLeft > this->ListedColdLeft ||
                                         Now + ColdLeft > this->ColdUntil);
  this->ListedColdLeft = ColdLeft;
  if (this->isLimited() && IsNews)
    this->suspectRestart(Now);
}

bool ColdStartLimiter::shouldQuery(TimePoint Now) {
  bool IsDue =
      !this->QueriedAt || Now - *this->QueriedAt >= this->Opts.QueryInterval;
  if (!this->isCold(Now) || !this->RestartSuspectedAt || !IsDue)
    return false;
  this->QueriedAt = Now;
  return true;
}

void ColdStartLimiter::upstreamReported(std::optional<Millis> ColdLeft,
                                        TimePoint Now) {
  // The answer may be older than the suspected restart.
  bool IsOutdated =
      this->RestartSuspectedAt &&
      (!this->QueriedAt || *this->QueriedAt < *this->RestartSuspectedAt);
  if (!ColdLeft || IsOutdated)
    return;
  this->RestartSuspectedAt.reset();
  this->checkUpstreamAge(*ColdLeft, Now);
  bool IsStillCold = ColdLeft->count() > 0;
  this->ColdUntil = IsStillCold ? Now + *ColdLeft + this->Opts.EndMargin : Now;
}

bool ColdStartLimiter::isCold(TimePoint Now) const {
  return this->isLimited() && Now < this->ColdUntil;
}

double ColdStartLimiter::toleratedCalls() const {
  return this->PerSecond * this->Opts.RateFactor + this->Opts.ExtraCalls;
}

size_t ColdStartLimiter::windowLimit() const {
  double Limit = std::floor(this->toleratedCalls()) - this->Opts.ReservedCalls;
  return static_cast<size_t>(std::max(1.0, Limit));
}

double ColdStartLimiter::allowedRate() const {
  return static_cast<double>(this->windowLimit()) /
         std::chrono::duration<double>(this->Opts.RateWindow).count();
}

void ColdStartLimiter::expireSent(TimePoint Now) {
  while (!this->SentTimes.empty() &&
         Now - this->SentTimes.front() >= this->Opts.RateWindow)
    this->SentTimes.pop_front();
}

size_t ColdStartLimiter::capacity(TimePoint Now) {
  if (!this->isCold(Now))
    return SIZE_MAX;
  if (this->isHistoryUnknown(Now))
    return 0;
  this->expireSent(Now);
  return this->windowLimit() -
         std::min(this->windowLimit(), this->SentTimes.size() + this->Reserved);
}

Clock::duration ColdStartLimiter::timeUntilCapacity(TimePoint Now) {
  if (this->capacity(Now) > 0)
    return Clock::duration::zero();
  if (this->isHistoryUnknown(Now))
    return std::min(*this->CountingSince + this->Opts.RateWindow,
                    this->ColdUntil) -
           Now;
  size_t Used = this->SentTimes.size() + this->Reserved;
  size_t ExcessIndex = Used - this->windowLimit();
  // If the reservations alone fill the window, the time at which they leave it
  // isn't known: assume a whole window from now.
  TimePoint Oldest =
      ExcessIndex < this->SentTimes.size() ? this->SentTimes[ExcessIndex] : Now;
  return std::min(Oldest + this->Opts.RateWindow, this->ColdUntil) - Now;
}

// Requests are also counted while the upstream is warm, because it may turn out
// to have been cold within the window.
void ColdStartLimiter::recordSent(TimePoint Now) {
  if (!this->isLimited())
    return;
  this->expireSent(Now);
  this->SentTimes.push_back(Now);
}

bool ColdStartLimiter::isOverLimit(TimePoint Now) {
  if (!this->isCold(Now))
    return false;
  this->expireSent(Now);
  return static_cast<double>(this->SentTimes.size()) > this->toleratedCalls();
}

} // namespace hickorylift
