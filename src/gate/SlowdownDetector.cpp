#include "gate/SlowdownDetector.h"

#include <algorithm>
#include <cmath>

// The value is the slot time that was used in the window, divided by the usual
// run time that was completed in it. Weighted by slot time, one run that takes
// very long is one slot among many, while an upstream that is slow shows in all
// of its slots. The run with the largest excess is left out besides, because
// in an upstream that is nearly idle it could hold the only slot in use.
//
// A run under way counts as if it proceeded at the usual speed until its usual
// run time is completed, and completes nothing after that. A run that ends has
// completed its usual run time. Over all windows each run therefore completes
// its usual run time exactly once, and the value has no bias; if runs became
// slow a moment ago, the excess falls into the window and not into the time
// before it.

namespace hickorylift {

namespace {

double toSeconds(Clock::duration Length) {
  return std::chrono::duration<double>(Length).count();
}

} // namespace

SlowdownDetector::SlowdownDetector(Options Opts)
    : Opts(Opts), Intervals(static_cast<size_t>(Opts.Window / Opts.Interval)) {}

SlowdownDetector::Work &SlowdownDetector::Work::operator+=(const Work &Other) {
  this->Used += Other.Used;
  this->Completed += Other.Completed;
  return *this;
}

SlowdownDetector::Work &SlowdownDetector::Work::operator-=(const Work &Other) {
  this->Used -= Other.Used;
  this->Completed -= Other.Completed;
  return *this;
}

SlowdownDetector::Work SlowdownDetector::workOf(const Run &Of, TimePoint Now) {
  if (Of.Usual <= 0 || Now <= Of.StartedAt)
    return Work();
  if (Of.EndedAt && Now >= *Of.EndedAt)
    return {toSeconds(*Of.EndedAt - Of.StartedAt), Of.Usual};
  double Used = toSeconds(Now - Of.StartedAt);
  return {Used, std::min(Used, Of.Usual)};
}

SlowdownDetector::Work
SlowdownDetector::workBetween(const Run &Of, TimePoint From, TimePoint To) {
  Work Result = workOf(Of, To);
  Result -= workOf(Of, From);
  return Result;
}

SlowdownDetector::Work SlowdownDetector::totalWork(TimePoint Now) const {
  Work Total = this->Ended;
  for (const auto &[Id, UnderWay] : this->Runs)
    Total += workOf(UnderWay, Now);
  return Total;
}

// Returns the interval that contains Now. Discards the window if the process
// was paused.
SlowdownDetector::Interval &SlowdownDetector::observe(TimePoint Now) {
  if (this->LastEvent && Now - *this->LastEvent > this->Opts.MaxEventGap)
    this->discardWindow();
  this->LastEvent = Now;
  int64_t Number =
      Now.time_since_epoch() / Clock::duration(this->Opts.Interval);
  Interval &Current =
      this->Intervals[static_cast<size_t>(Number) % this->Intervals.size()];
  if (Current.Number != Number) {
    Current = Interval();
    Current.Number = Number;
    Current.At = Now;
    Current.Before = this->totalWork(Now);
  }
  return Current;
}

int64_t SlowdownDetector::firstNumber(TimePoint Now) const {
  return Now.time_since_epoch() / Clock::duration(this->Opts.Interval) -
         static_cast<int64_t>(this->Intervals.size()) + 1;
}

void SlowdownDetector::discardWindow() {
  this->Runs.clear();
  this->Ended = Work();
  this->Intervals.assign(this->Intervals.size(), Interval());
  this->ComputedIn.reset();
}

void SlowdownDetector::upstreamRestarted() {
  this->discardWindow();
  this->UsualTimes.clear();
}

void SlowdownDetector::runStarted(const CallId &Id, const std::string &Route,
                                  TimePoint Now) {
  this->observe(Now);
  if (this->Runs.size() >= this->Opts.MaxRuns)
    return;
  auto Found = this->UsualTimes.find(Route);
  bool Known = Found != this->UsualTimes.end() &&
               Found->second.RunCount >= this->Opts.MinRouteRuns;
  this->Runs.try_emplace(
      Id, Run{Route, Now, Known ? Found->second.Seconds : 0, std::nullopt});
}

void SlowdownDetector::runEnded(const CallId &Id, RunEnd End, TimePoint Now) {
  Interval &Current = this->observe(Now);
  auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return;
  Run Over = std::move(Found->second);
  this->Runs.erase(Found);
  if (End == RunEnd::Excluded)
    return this->exclude(Over);
  if (End == RunEnd::Answered)
    this->learn(Over, Now);
  if (Over.Usual <= 0)
    return;
  bool Overdue = toSeconds(Now - Over.StartedAt) > Over.Usual;
  // A run that was cancelled early has completed no more than its time.
  if (End == RunEnd::Cancelled && !Overdue)
    Over.Usual = toSeconds(Now - Over.StartedAt);
  Over.EndedAt = Now;
  this->Ended += workOf(Over, Now);
  Current.EndCount += End == RunEnd::Answered || Overdue;
  if (!Current.Longest ||
      workOf(Over, Now).excess() > workOf(*Current.Longest, Now).excess())
    Current.Longest = std::move(Over);
}

// Subtracts the run from the work recorded before each interval, as if it had
// never started.
void SlowdownDetector::exclude(const Run &Excluded) {
  for (Interval &Each : this->Intervals)
    if (Each.Number >= 0)
      Each.Before -= workOf(Excluded, Each.At);
}

void SlowdownDetector::learn(const Run &Ended, TimePoint Now) {
  auto Found = this->UsualTimes.find(Ended.Route);
  if (Found == this->UsualTimes.end()) {
    if (this->UsualTimes.size() >= this->Opts.MaxRoutes)
      return;
    Found = this->UsualTimes.emplace(Ended.Route, UsualTime()).first;
  }
  UsualTime &Usual = Found->second;
  double Equal = 1.0 / static_cast<double>(++Usual.RunCount);
  double Weight = Equal;
  if (Usual.RunCount > this->Opts.MinRouteRuns) {
    double HalfLives =
        toSeconds(Now - Usual.LearnedAt) / toSeconds(this->Opts.UsualHalfLife);
    Weight = std::min(this->Opts.MaxRunWeight,
                      std::max(Equal, 1 - std::exp2(-HalfLives)));
  }
  Usual.Seconds += (toSeconds(Now - Ended.StartedAt) - Usual.Seconds) * Weight;
  Usual.LearnedAt = Now;
}

uint32_t SlowdownDetector::percent(TimePoint Now) {
  int64_t Number = this->observe(Now).Number;
  if (this->ComputedIn != Number)
    this->LastPercent = this->compute(Now);
  this->ComputedIn = Number;
  return this->LastPercent;
}

const SlowdownDetector::Interval *
SlowdownDetector::windowBegin(TimePoint Now) const {
  const Interval *Begin = nullptr;
  for (const Interval &Each : this->Intervals)
    if (Each.Number >= this->firstNumber(Now) &&
        (!Begin || Each.Number < Begin->Number))
      Begin = &Each;
  return Begin;
}

uint32_t SlowdownDetector::compute(TimePoint Now) const {
  const Interval *Begin = this->windowBegin(Now);
  if (!Begin)
    return 0;
  Work Largest;
  uint64_t Evidence = 0;
  auto KeepLargest = [&](const Run &Of) {
    Work Candidate = workBetween(Of, Begin->At, Now);
    if (Candidate.excess() > Largest.excess())
      Largest = Candidate;
  };
  for (const Interval &Each : this->Intervals) {
    if (Each.Number < Begin->Number)
      continue;
    Evidence += Each.EndCount;
    if (Each.Longest)
      KeepLargest(*Each.Longest);
  }
  for (const auto &[Id, UnderWay] : this->Runs) {
    KeepLargest(UnderWay);
    Evidence += workOf(UnderWay, Now).excess() > 0;
  }
  Work InWindow = this->totalWork(Now);
  InWindow -= Begin->Before;
  InWindow -= Largest;
  if (Evidence < this->Opts.MinWindowRuns || InWindow.Used <= 0)
    return 0;
  double LeastCompleted = InWindow.Used * 100 / this->Opts.MaxPercent;
  double Percent =
      InWindow.Used * 100 / std::max(InWindow.Completed, LeastCompleted);
  return static_cast<uint32_t>(std::max(Percent, this->Opts.MinPercent));
}

std::vector<CallId> SlowdownDetector::runsUnderWay() const {
  std::vector<CallId> Ids;
  for (const auto &[Id, UnderWay] : this->Runs)
    Ids.push_back(Id);
  return Ids;
}

} // namespace hickorylift
