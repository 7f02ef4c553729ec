#ifndef HICKORYLIFT_BASE_SAFEGUARDS_H
#define HICKORYLIFT_BASE_SAFEGUARDS_H

#include <string_view>

namespace hickorylift {

/// The safeguards that a scenario can take away, to show that it fails without
/// them. All are on in every node: neither settings nor flags reach this.
struct Safeguards {
  /// A document is taken only if it is newer than the one held.
  bool KeepOrder = true;
  /// A frame must have the hash that it came with.
  bool CheckFrames = true;
  /// A document that came as a delta must have the stated hash.
  bool CheckContent = true;
  /// A version with any fault is refused whole.
  bool WholeVersions = true;
  /// Stamps are repeated by heartbeats, and what is missing is pulled.
  bool RepairByStamps = true;
  /// A node whose parent is dead but listed takes another ancestor, and the
  /// next in line reads when the readers are.
  bool ClimbPastDead = true;
  /// A node that holds only a version which it refuses asks for an older one.
  bool AskOlder = true;
  /// A list's age counts from before the message that told it was written.
  bool EchoedAges = true;
  /// A gate remembers the calls that it was sent.
  bool RememberCalls = true;
  /// A call is asked for again only of the incarnation that had it.
  bool ProveIncarnation = true;
  /// After a pause, what lay in the sockets is refused.
  bool PauseBarrier = true;
  /// A link on which a ping stays unanswered is replaced.
  bool CondemnSilentLinks = true;
  /// A gate remembers the keys that it was sent.
  bool RememberKeys = true;
  /// A key is judged only by a gate that has long been its home.
  bool SettledKeys = true;
  /// A draining gate refuses new work.
  bool DrainClosesGate = true;
  /// Only what is proved not run, or may run twice, is tried again.
  bool RetryOnlyHarmless = true;
  /// A planned stop waits for the calls under way.
  bool StopWaits = true;
  /// A gate drops calls that can no longer be answered in time.
  bool DropLate = true;
  /// A request that crashes upstreams is kept from them.
  bool HoldCrashers = true;
  /// A cold upstream is handed no more calls than it bears.
  bool SpareCold = true;
  /// Acts on what upstreams state in their answers: their rate of calls, and
  /// that they are leaving.
  bool HeedStatements = true;
  /// What operators evacuate is sent nothing.
  bool FollowEvacuations = true;

  /// Turns the named one off. False if there is none of that name.
  bool turnOff(std::string_view Name);
};

} // namespace hickorylift

#endif
