#ifndef HICKORYLIFT_CONTROL_READPLAN_H
#define HICKORYLIFT_CONTROL_READPLAN_H

#include "base/Time.h"
#include "reading/DocumentSource.h"

// What a node is to read of the platform itself, and why. The platform's rate
// is shared by the whole fleet, so a node reads only what nobody tells it.
//
//   ReadSituation Now;
//   Now.HasList = true;
//   Now.IsOrphan = true;
//   ReadPlan Plan = planReading(Now);       // watch, "no parent"

namespace hickorylift {

/// What a node knows when it decides whether to read.
struct ReadSituation {
  /// It holds a list of its data centre, be it empty.
  bool HasList = false;
  /// It was given seeds to ask.
  bool HasSeeds = false;
  /// Somebody who has no list has turned to it.
  bool UsedAsSeed = false;
  /// It is linked to a seed and knows no neighbours yet.
  bool HasSeedLink = false;
  /// Some neighbour has told what it holds.
  bool HasNeighbourState = false;
  /// It is among its data centre's readers, or so few are listed that all read.
  bool IsReader = false;
  /// It is the first of them, or all read.
  bool IsFirstReader = false;
  /// It has had no link to its parent for a while.
  bool LostParent = false;
  /// It has a parent again after it had none, and that one may be slow.
  bool ParentMayBeSlow = false;
  /// What it holds was not confirmed for so long that the readers must be gone.
  bool ReadersFellBehind = false;
  /// A version is in force.
  bool HasVersion = false;
  /// Since its start, and how long peers are given to answer first.
  Millis SinceStart{0};
  Millis PeerWaitTime{0};
};

struct ReadPlan {
  ReadDuty Duty = ReadDuty::None;
  /// For the log.
  const char *Reason = "";
};

ReadPlan planReading(const ReadSituation &Of);

/// The duty's name in the log.
const char *dutyName(ReadDuty Of);

} // namespace hickorylift

#endif
