#include "node/StopTimes.h"

#include <algorithm>

namespace hickorylift {

namespace {

constexpr Millis MinTimeToEnd{400};
constexpr int TimeToEndDivisor = 12;
constexpr int MaxTimeToEndDivisor = 6;

} // namespace

StopTimes stopTimes(Millis Grace, Millis Linger) {
  Millis TimeToEnd = std::min(std::max(Grace / TimeToEndDivisor, MinTimeToEnd),
                              Grace / MaxTimeToEndDivisor);
  return {Grace - TimeToEnd, std::min(Linger, Grace / 2)};
}

} // namespace hickorylift
