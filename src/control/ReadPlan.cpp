#include "control/ReadPlan.h"

// A node asks its peers first: there are many of them and they answer from
// memory. It reads the platform only if its peers had time to answer and it
// still lacks what it needs.
//
// If no node has a list yet, at least one node must read at once instead of
// waiting for peers. Starting nodes link to their seeds, so a seed without a
// list that is asked by another node knows that others depend on it, and reads.
// This needs no election, and a fleet of any size that starts at once causes
// only a few reads.

namespace hickorylift {

namespace {

// If a node has its lists but no version after this many times PeerWaitTime,
// its neighbours cannot send it one, and it reads the platform once.
constexpr int VersionWaitFactor = 3;

ReadPlan planStart(const ReadSituation &Situation) {
  if (Situation.UsedAsSeed)
    return {ReadDuty::ListForOthers, "taken for a seed"};
  if (!Situation.HasSeeds)
    return {ReadDuty::List, "no seeds"};
  if (Situation.SinceStart >= Situation.PeerWaitTime)
    return {ReadDuty::List, "seeds did not tell"};
  return {ReadDuty::None, "waiting for its seeds"};
}

} // namespace

ReadPlan planReading(const ReadSituation &Situation) {
  if (!Situation.HasList)
    return planStart(Situation);
  bool PeersHadTime = Situation.HasNeighbourState ||
                      Situation.SinceStart >= Situation.PeerWaitTime;
  bool Reads = Situation.IsReader && !Situation.HasSeedLink;
  if (PeersHadTime && Reads && Situation.IsFirstReader)
    return {ReadDuty::Watch, "reader"};
  if (PeersHadTime && Situation.LostParent)
    return {ReadDuty::Watch, "no parent"};
  if (PeersHadTime && Situation.ReadersFellBehind)
    return {ReadDuty::Watch, "readers fell behind"};
  if (PeersHadTime && Reads)
    return {ReadDuty::Spare, "spare reader"};
  if (PeersHadTime && Situation.ReplacesReader)
    return {ReadDuty::Replacement, "readers fail"};
  if (PeersHadTime && Situation.ParentMayBeSlow)
    return {ReadDuty::Spare, "parent was lost"};
  if (!Situation.HasVersion &&
      Situation.SinceStart >= VersionWaitFactor * Situation.PeerWaitTime)
    return {ReadDuty::Once, "no version"};
  return {ReadDuty::None, "updated by neighbours"};
}

const char *dutyName(ReadDuty Duty) {
  switch (Duty) {
  case ReadDuty::None:
    return "none";
  case ReadDuty::List:
  case ReadDuty::ListForOthers:
    return "list";
  case ReadDuty::Once:
    return "once";
  case ReadDuty::Spare:
    return "spare";
  case ReadDuty::Replacement:
    return "replacement";
  case ReadDuty::Watch:
    return "watch";
  }
  return "";
}

} // namespace hickorylift
