#ifndef HICKORYLIFT_ROUTING_DECAYINGHISTOGRAM_H
#define HICKORYLIFT_ROUTING_DECAYINGHISTOGRAM_H

#include "base/Time.h"

#include <array>
#include <cstddef>

// DecayingHistogram counts durations, and lets old ones lose weight.
//
//   DecayingHistogram Times(/*HalfLife=*/Millis(30000));
//   Times.add(Millis(40), Now);
//   if (Times.weight(Now) >= 20)
//     Clock::duration Usual = Times.quantile(0.5);

namespace hickorylift {

class DecayingHistogram {
public:
  /// The weight of a duration is one, and halves every HalfLife.
  explicit DecayingHistogram(Millis HalfLife) : HalfLife(HalfLife) {}

  void add(Clock::duration Took, TimePoint Now);
  /// Weight of all durations together.
  double weight(TimePoint Now) const;
  /// The duration that this share of the weight does not exceed; at most a
  /// tenth too long. Must not be called while there is none.
  Clock::duration quantile(double Share) const;

private:
  // The bounds of the buckets grow by a tenth, from 100 us to about 140 s.
  static constexpr size_t BucketCount = 150;

  void decay(TimePoint Now);

  Millis HalfLife;
  std::array<float, BucketCount> Weights{};
  double TotalWeight = 0;
  TimePoint DecayedAt;
};

} // namespace hickorylift

#endif
