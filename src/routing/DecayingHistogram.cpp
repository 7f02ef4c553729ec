#include "routing/DecayingHistogram.h"

#include <algorithm>
#include <cmath>

namespace hickorylift {

namespace {

// Upper bound of the first bucket, and the factor between the bounds of
// adjacent buckets.
constexpr double FirstBoundUs = 100;
constexpr double BoundGrowth = 1.1;
// The decay is applied to all buckets at once, so it is applied no more often
// than this.
constexpr Millis DecayInterval{1000};

size_t bucketOf(Clock::duration Took, size_t BucketCount) {
  double Us = std::chrono::duration<double, std::micro>(Took).count();
  if (Us <= FirstBoundUs)
    return 0;
  double Index = std::ceil(std::log(Us / FirstBoundUs) / std::log(BoundGrowth));
  return std::min(BucketCount - 1, static_cast<size_t>(Index));
}

Clock::duration upperBound(size_t Bucket) {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double, std::micro>(
          FirstBoundUs * std::pow(BoundGrowth, static_cast<double>(Bucket))));
}

} // namespace

// The decay is the same for all buckets, so it changes the total weight but no
// quantile.
double DecayingHistogram::weight(TimePoint Now) const {
  double HalfLives = std::chrono::duration<double>(Now - this->DecayedAt) /
                     std::chrono::duration<double>(this->HalfLife);
  return this->TotalWeight * std::exp2(-HalfLives);
}

void DecayingHistogram::decay(TimePoint Now) {
  if (this->TotalWeight == 0)
    this->DecayedAt = Now;
  if (Now - this->DecayedAt < DecayInterval)
    return;
  double HalfLives = std::chrono::duration<double>(Now - this->DecayedAt) /
                     std::chrono::duration<double>(this->HalfLife);
  auto Factor = static_cast<float>(std::exp2(-HalfLives));
  this->TotalWeight = 0;
  for (float &Weight : this->Weights) {
    Weight *= Factor;
    this->TotalWeight += Weight;
  }
  this->DecayedAt = Now;
}

void DecayingHistogram::add(Clock::duration Took, TimePoint Now) {
  this->decay(Now);
  this->Weights[bucketOf(Took, BucketCount)] += 1;
  this->TotalWeight += 1;
}

Clock::duration DecayingHistogram::quantile(double Share) const {
  double Needed = this->TotalWeight * Share;
  double Sum = 0;
  for (size_t I = 0; I < BucketCount; ++I) {
    Sum += this->Weights[I];
    if (Sum >= Needed)
      return upperBound(I);
  }
  return upperBound(BucketCount - 1);
}

} // namespace hickorylift
