#include "gate/ShedDetector.h"

#include <algorithm>

// Counts are kept for each step of the window instead of for each call, so the
// memory does not depend on the call rate.

namespace hickorylift {

int64_t ShedDetector::stepNumber(TimePoint Now) const {
  using std::chrono::duration_cast;
  using std::chrono::nanoseconds;
  int64_t StepLength =
      duration_cast<nanoseconds>(this->Opts.Window).count() / StepCount;
  return duration_cast<nanoseconds>(Now.time_since_epoch()).count() /
         std::max<int64_t>(1, StepLength);
}

void ShedDetector::recordCall(bool ShedWithFreeSlots, TimePoint Now) {
  if (!this->Opts.Enabled)
    return;
  int64_t Number = this->stepNumber(Now);
  Step &Current = this->Steps[static_cast<size_t>(Number) % StepCount];
  if (Current.Number != Number)
    Current = {Number, 0, 0};
  ++Current.Calls;
  Current.Shed += ShedWithFreeSlots ? 1 : 0;
}

uint32_t ShedDetector::shedPercent(TimePoint Now) const {
  constexpr uint64_t Hundred = 100;
  int64_t Newest = this->stepNumber(Now);
  uint64_t Calls = 0;
  uint64_t Shed = 0;
  for (const Step &Counted : this->Steps) {
    if (Newest - Counted.Number >= static_cast<int64_t>(StepCount))
      continue;
    Calls += Counted.Calls;
    Shed += Counted.Shed;
  }
  if (Shed == 0 || Calls < this->Opts.MinCalls)
    return 0;
  // A share below one percent is still one of an upstream that sheds.
  return static_cast<uint32_t>(std::max<uint64_t>(1, Shed * Hundred / Calls));
}

} // namespace hickorylift
