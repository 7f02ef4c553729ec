#ifndef HICKORYLIFT_GATE_SHEDDETECTOR_H
#define HICKORYLIFT_GATE_SHEDDETECTOR_H

#include "base/Time.h"

#include <array>
#include <cstdint>

// ShedDetector measures the share of recent calls that an upstream refused
// without running them although it had free slots. A full upstream that refuses
// calls lacks capacity; one that refuses calls while slots are free has a
// fault, and the same call may be accepted a moment later.
//
//   ShedDetector Detector{ShedDetector::Options()};
//   Detector.recordCall(/*ShedWithFreeSlots=*/true, Now);
//   uint32_t Percent = Detector.shedPercent(Now);

namespace hickorylift {

class ShedDetector {
public:
  struct Options {
    /// Off, no call is recorded and the share is always zero.
    bool Enabled = false;
    /// Calls that ended longer ago do not count. The window moves in steps of a
    /// twentieth of its length.
    Millis Window{500};
    /// With fewer calls in the window than this the share is zero: it would say
    /// little about the next call.
    uint32_t MinCalls = 10;
  };

  explicit ShedDetector(Options Opts) : Opts(Opts) {}

  /// The upstream has answered or refused a call.
  void recordCall(bool ShedWithFreeSlots, TimePoint Now);
  /// The share of the calls in the window that were shed with free slots, as a
  /// percentage from 1 to 100; zero if there were none.
  uint32_t shedPercent(TimePoint Now) const;
  /// Another process has taken the upstream's place.
  void upstreamRestarted() { this->Steps = {}; }

private:
  static constexpr size_t StepCount = 20;

  struct Step {
    int64_t Number = 0;
    uint32_t Calls = 0;
    uint32_t Shed = 0;
  };

  int64_t stepNumber(TimePoint Now) const;

  Options Opts;
  // The counts of a step are kept at its number modulo StepCount.
  std::array<Step, StepCount> Steps{};
};

} // namespace hickorylift

#endif
