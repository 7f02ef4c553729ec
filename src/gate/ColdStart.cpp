#include "gate/ColdStart.h"

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

void ColdStart::configure(double NewRate, Millis NewWarmup, TimePoint Now) {
  bool Begins = !this->isLimited() && NewRate > 0;
  this->PerSecond = NewRate;
  this->Warmup = NewWarmup;
  if (Begins)
    this->doubt(Now);
}

void ColdStart::watch(TimePoint Now) {
  if (!this->WatchedFrom)
    this->WatchedFrom = Now;
}

bool ColdStart::isBlind(TimePoint Now) const {
  return this->WatchedFrom && !this->WatchedAll &&
         Now - *this->WatchedFrom < this->Opts.Span;
}

// Where all lose power together, nodes and upstreams start together, and their
// callers would find nothing open for a second more.
void ColdStart::judgeAge(Millis Left, TimePoint Now) {
  TimePoint Began = Now - (this->Warmup - std::min(Left, this->Warmup));
  this->WatchedAll |= Left.count() > 0 && this->WatchedFrom &&
                      Began + this->Opts.RestartGap >= *this->WatchedFrom;
}

void ColdStart::doubt(TimePoint Now) {
  this->DoubtedAt = Now;
  this->ColdUntil = std::max(this->ColdUntil, Now + this->Warmup);
}

void ColdStart::named(const std::string &Upstream, TimePoint Now) {
  if (!this->isLimited() || Upstream.empty())
    return;
  if (this->Names.size() >= this->Opts.MaxNames)
    this->Names.clear();
  if (this->Names.insert(Upstream).second)
    this->doubt(Now);
}

void ColdStart::listed(Millis Left, TimePoint Now) {
  bool News = Left.count() > 0 &&
              (Left > this->ListedLeft || Now + Left > this->ColdUntil);
  this->ListedLeft = Left;
  if (this->isLimited() && News)
    this->doubt(Now);
}

bool ColdStart::asksNow(TimePoint Now) {
  bool Due = !this->AskedAt || Now - *this->AskedAt >= this->Opts.AskAgain;
  if (!this->isCold(Now) || !this->DoubtedAt || !Due)
    return false;
  this->AskedAt = Now;
  return true;
}

void ColdStart::told(std::optional<Millis> Left, TimePoint Now) {
  // What it answers may be from before the doubt.
  bool Before =
      this->DoubtedAt && (!this->AskedAt || *this->AskedAt < *this->DoubtedAt);
  if (!Left || Before)
    return;
  this->DoubtedAt.reset();
  this->judgeAge(*Left, Now);
  bool Cold = Left->count() > 0;
  this->ColdUntil = Cold ? Now + *Left + this->Opts.EndMargin : Now;
}

bool ColdStart::isCold(TimePoint Now) const {
  return this->isLimited() && Now < this->ColdUntil;
}

double ColdStart::bears() const {
  return this->PerSecond * this->Opts.Overrun + this->Opts.Slack;
}

size_t ColdStart::bound() const {
  double Most = std::floor(this->bears()) - this->Opts.Spare;
  return static_cast<size_t>(std::max(1.0, Most));
}

double ColdStart::rate() const {
  return static_cast<double>(this->bound()) /
         std::chrono::duration<double>(this->Opts.Span).count();
}

void ColdStart::forgetOld(TimePoint Now) {
  while (!this->Sent.empty() && Now - this->Sent.front() >= this->Opts.Span)
    this->Sent.pop_front();
}

size_t ColdStart::room(TimePoint Now) {
  if (!this->isCold(Now))
    return SIZE_MAX;
  if (this->isBlind(Now))
    return 0;
  this->forgetOld(Now);
  return this->bound() -
         std::min(this->bound(), this->Sent.size() + this->Unsent);
}

Clock::duration ColdStart::wait(TimePoint Now) {
  if (this->room(Now) > 0)
    return Clock::duration::zero();
  if (this->isBlind(Now))
    return std::min(*this->WatchedFrom + this->Opts.Span, this->ColdUntil) -
           Now;
  size_t Taken = this->Sent.size() + this->Unsent;
  size_t MustGo = Taken - this->bound();
  // Without a request of which the end of the span is known: a span from now.
  TimePoint Oldest = MustGo < this->Sent.size() ? this->Sent[MustGo] : Now;
  return std::min(Oldest + this->Opts.Span, this->ColdUntil) - Now;
}

// Counted also while it is warm: it may turn out to be cold within the span.
void ColdStart::sent(TimePoint Now) {
  if (!this->isLimited())
    return;
  this->forgetOld(Now);
  this->Sent.push_back(Now);
}

bool ColdStart::isOverrun(TimePoint Now) {
  if (!this->isCold(Now))
    return false;
  this->forgetOld(Now);
  return static_cast<double>(this->Sent.size()) > this->bears();
}

} // namespace hickorylift
