#ifndef HICKORYLIFT_CONTROL_READPLAN_H
#define HICKORYLIFT_CONTROL_READPLAN_H

#include "base/Time.h"
#include "reading/DocumentSource.h"

// planReading() decides what a node reads from the platform itself, and why.
// All nodes of the fleet share the platform's request rate, so a node reads
// only what it does not receive from its neighbours.
//
//   ReadSituation Situation;
//   Situation.HasList = true;
//   Situation.LostParent = true;
//   ReadPlan Plan = planReading(Situation);   // Watch, "no parent"

namespace hickorylift {

/// The state of a node from which its read duty is derived.
struct ReadSituation {
  /// The node has the instance list of its data centre, which may be empty.
  bool HasList = false;
  /// Seeds are configured.
  bool HasSeeds = false;
  /// A node that has no list yet opened a link to this node as its seed.
  bool UsedAsSeed = false;
  /// The node is linked to a seed because it does not know any neighbours yet.
  bool HasSeedLink = false;
  /// At least one neighbour has sent the versions of its documents.
  bool HasNeighbourState = false;
  /// The node is a reader of its data centre, or the fleet is so small that all
  /// nodes read.
  bool IsReader = false;
  /// The node is the first reader of its data centre, or all nodes read.
  bool IsFirstReader = false;
  /// Readers are known to fail, and the node is the next in order.
  bool ReplacesReader = false;
  /// The node has had no link to its parent for some time.
  bool LostParent = false;
  /// The node recently regained a parent link, and that parent may be slow.
  bool ParentMayBeSlow = false;
  /// The node's documents have not been confirmed for so long that the readers
  /// must have failed.
  bool ReadersFellBehind = false;
  /// A configuration version is active.
  bool HasVersion = false;
  /// Time since the node started.
  Millis SinceStart{0};
  /// How long peers have to answer before the node reads the platform.
  Millis PeerWaitTime{0};
};

struct ReadPlan {
  ReadDuty Duty = ReadDuty::None;
  /// Written to the audit trail.
  const char *Reason = "";
};

ReadPlan planReading(const ReadSituation &Situation);

/// The name of a duty in the audit trail.
const char *dutyName(ReadDuty Duty);

} // namespace hickorylift

#endif
