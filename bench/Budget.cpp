#include "bench/Bench.h"

#include "base/TokenBucket.h"

#include <cstdio>
#include <random>

// The read budget's token bucket against GCRA (docs/design/spread.md): whether
// they decide alike, and what a decision costs.

namespace hickorylift::bench {

namespace {

/// The generic cell rate algorithm, as the related paper states it: one time
/// for each limiter.
class CellRate {
public:
  CellRate(double Rate, double Burst)
      : Interval(std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(1 / Rate))),
        Tolerance(Interval * static_cast<int64_t>(Burst)) {}

  bool take(TimePoint Now) {
    TimePoint Next = std::max(this->Arrival, Now) + this->Interval;
    if (Next - Now > this->Tolerance)
      return false;
    this->Arrival = Next;
    return true;
  }

private:
  Clock::duration Interval;
  Clock::duration Tolerance;
  TimePoint Arrival;
};

template <typename LimiterT>
double decide(LimiterT Limiter, const std::vector<TimePoint> &Times,
              std::vector<bool> &Out) {
  TimePoint Start = Clock::now();
  for (TimePoint At : Times)
    Out.push_back(Limiter.take(At));
  return std::chrono::duration<double, std::nano>(Clock::now() - Start)
             .count() /
         static_cast<double>(Times.size());
}

} // namespace

int runBudget() {
  std::mt19937_64 Random(1);
  std::vector<TimePoint> Times{TimePoint(std::chrono::hours(1))};
  for (int I = 1; I < 1000000; ++I)
    Times.push_back(Times.back() + Micros(Random() % 12000));
  std::vector<bool> Bucket, Cells;
  double BucketNs = decide(TokenBucket(100, 200), Times, Bucket);
  double CellsNs = decide(CellRate(100, 200), Times, Cells);
  size_t Differ = 0, Allowed = 0;
  for (size_t I = 0; I < Times.size(); ++I) {
    Differ += Bucket[I] != Cells[I];
    Allowed += Bucket[I];
  }
  std::printf("%zu decisions: %zu allowed, %zu decided differently; bucket "
              "%.1f ns and %zu bytes, GCRA %.1f ns and %zu bytes\n",
              Times.size(), Allowed, Differ, BucketNs, sizeof(TokenBucket),
              CellsNs, sizeof(CellRate));
  return 0;
}

} // namespace hickorylift::bench
