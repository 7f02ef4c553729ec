#ifndef HICKORYLIFT_NODE_STOPTIMES_H
#define HICKORYLIFT_NODE_STOPTIMES_H

#include "base/Time.h"

// The times of a planned stop, all from the time that the platform leaves
// between the signal and the kill.
//
//   StopTimes Times = stopTimes(/*Grace=*/Millis(6000),
//   /*Linger=*/Millis(2800));

namespace hickorylift {

struct StopTimes {
  /// How long the stop may wait for what runs.
  Millis Within{0};
  /// How long it goes on taking calls; at most Within.
  Millis Linger{0};
};

/// Leaves a twelfth of Grace to end the process, but no less than what a slow
/// machine needs, and no more than a sixth. Linger is shortened to half of a
/// short Grace, so that what was taken last has as long to end.
StopTimes stopTimes(Millis Grace, Millis Linger);

} // namespace hickorylift

#endif
