#ifndef HICKORYLIFT_BASE_TIME_H
#define HICKORYLIFT_BASE_TIME_H

#include <chrono>

// The clock that every deciding function is given the time of. Only the loop
// reads it; everything else takes a TimePoint.

namespace hickorylift {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;

inline Millis toMillis(Clock::duration Length) {
  return std::chrono::duration_cast<Millis>(Length);
}

} // namespace hickorylift

#endif
