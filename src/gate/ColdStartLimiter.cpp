#include "gate/ColdStartLimiter.h"

#include <algorithm>
#include <cmath>

// An upstream that has just started bears few calls, and crashes under more.
// All of its calls pass one gate, so the bound is kept there exactly: what was
// sent within the last span is counted, together with what has started and
// waits for its connection, and nothing starts that would be one too many in
// any span.
//
// Whether it is cold is known late. The list says so seconds after a start, and
// says "warm" of an upstream that crashed meanwhile. So each sign of a new
// start makes it cold at once, and only two things make it warm: its own answer
// to a question that was asked after the last such sign, and the time of a
// whole warm-up. Wrongly cold costs a few refusals until the answer is there, a
// moment later; wrongly warm ends the upstream and all that it runs, and it
// comes back cold.

namespace hickorylift {

void ColdStartLimiter::configure(double NewRate, Millis NewWarmup,
                                 TimePoint Now) {
  bool Begins = !this->isLimited() && NewRate > 0;
  this->PerSecond = NewRate;
  this->Warmup = NewWarmup;
  if (Begins)
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

// Where all lose power together, nodes and upstreams start together, and their
// callers would find nothing open for a second more.
void ColdStartLimiter::checkUpstreamAge(Millis Left, TimePoint Now) {
  TimePoint Began = Now - (this->Warmup - std::min(Left, this->Warmup));
  this->HistoryComplete |=
      Left.count() > 0 && this->CountingSince &&
      Began + this->Opts.MinRestartGap >= *this->CountingSince;
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

void ColdStartLimiter::listReported(Millis Left, TimePoint Now) {
  bool News = Left.count() > 0 &&
              (Left > this->ListedColdLeft || Now + Left > this->ColdUntil);
  this->ListedColdLeft = Left;
  if (this->isLimited() && News)
    this->suspectRestart(Now);
}

bool ColdStartLimiter::shouldQuery(TimePoint Now) {
  bool Due =
      !this->QueriedAt || Now - *this->QueriedAt >= this->Opts.QueryInterval;
  if (!this->isCold(Now) || !this->RestartSuspectedAt || !Due)
    return false;
  this->QueriedAt = Now;
  return true;
}

void ColdStartLimiter::upstreamReported(std::optional<Millis> Left,
                                        TimePoint Now) {
  // What it answers may be from before the doubt.
  bool Before =
      this->RestartSuspectedAt &&
      (!this->QueriedAt || *this->QueriedAt < *this->RestartSuspectedAt);
  if (!Left || Before)
    return;
  this->RestartSuspectedAt.reset();
  this->checkUpstreamAge(*Left, Now);
  bool Cold = Left->count() > 0;
  this->ColdUntil = Cold ? Now + *Left + this->Opts.EndMargin : Now;
}

bool ColdStartLimiter::isCold(TimePoint Now) const {
  return this->isLimited() && Now < this->ColdUntil;
}

double ColdStartLimiter::toleratedCalls() const {
  return this->PerSecond * this->Opts.RateFactor + this->Opts.ExtraCalls;
}

size_t ColdStartLimiter::windowLimit() const {
  double Most = std::floor(this->toleratedCalls()) - this->Opts.ReservedCalls;
  return static_cast<size_t>(std::max(1.0, Most));
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
  size_t Taken = this->SentTimes.size() + this->Reserved;
  size_t MustGo = Taken - this->windowLimit();
  // Without a request of which the end of the span is known: a span from now.
  TimePoint Oldest =
      MustGo < this->SentTimes.size() ? this->SentTimes[MustGo] : Now;
  return std::min(Oldest + this->Opts.RateWindow, this->ColdUntil) - Now;
}

// Counted also while it is warm: it may turn out to be cold within the span.
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
