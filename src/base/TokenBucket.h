#ifndef HICKORYLIFT_BASE_TOKENBUCKET_H
#define HICKORYLIFT_BASE_TOKENBUCKET_H

#include "base/Time.h"

#include <algorithm>

namespace hickorylift {

/// At most Burst at once and Rate a second over time.
///
///   TokenBucket Bucket(/*Rate=*/10, /*Burst=*/20);
///   if (!Bucket.take(Now))
///     refuse(Bucket.wait());
class TokenBucket {
public:
  TokenBucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Tokens(Burst) {}

  bool take(TimePoint Now, double Cost = 1) {
    this->fill(Now);
    if (this->Tokens < Cost)
      return false;
    this->Tokens -= Cost;
    return true;
  }

  /// Takes Cost even if that leaves a debt, provided there is no debt yet:
  /// for costs that may exceed the burst.
  bool takeWithDebt(TimePoint Now, double Cost) {
    this->fill(Now);
    if (this->Tokens <= 0)
      return false;
    this->Tokens -= Cost;
    return true;
  }

  /// Adds tokens earned otherwise than by time.
  void earn(double Count) {
    this->Tokens = std::min(this->Burst, this->Tokens + Count);
  }

  /// Tokens left as of the last call.
  double available() const { return this->Tokens; }

  /// Until one more can be taken, as of the last call.
  Millis wait() const {
    if (this->Rate <= 0)
      return Millis(1000);
    double Missing = std::max(0.0, 1 - this->Tokens);
    return Millis(static_cast<int64_t>(1000 * Missing / this->Rate) + 1);
  }

private:
  void fill(TimePoint Now) {
    if (this->Started && Now > this->FilledAt)
      this->earn(this->Rate *
                 std::chrono::duration<double>(Now - this->FilledAt).count());
    this->Started = true;
    this->FilledAt = Now;
  }

  double Rate;
  double Burst;
  double Tokens;
  bool Started = false;
  TimePoint FilledAt;
};

} // namespace hickorylift

#endif
