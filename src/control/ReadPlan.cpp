#include "control/ReadPlan.h"

// Peers first: they answer from memory and there are many of them. A node turns
// to the platform only when its peers had time to answer and it still lacks
// what it needs.
//
// Where nobody has anything, somebody must begin without having to wait: those
// who start ask their seeds, so a seed that is asked and has no list itself
// knows that others wait for it. It needs no vote, and the platform sees a few
// readings from a fleet that starts together, however large.

namespace hickorylift {

namespace {

// A node that has its lists and still no version after so many times PeersFirst
// has neighbours that cannot help it.
constexpr int VersionPatience = 3;

ReadPlan planStart(const ReadSituation &Of) {
  if (Of.UsedAsSeed)
    return {ReadDuty::ListForOthers, "taken for a seed"};
  if (!Of.HasSeeds)
    return {ReadDuty::List, "no seeds"};
  if (Of.SinceStart >= Of.PeerWaitTime)
    return {ReadDuty::List, "seeds did not tell"};
  return {ReadDuty::None, "asks its seeds"};
}

} // namespace

ReadPlan planReading(const ReadSituation &Of) {
  if (!Of.HasList)
    return planStart(Of);
  bool PeersHadTheirTurn =
      Of.HasNeighbourState || Of.SinceStart >= Of.PeerWaitTime;
  bool Reads = Of.IsReader && !Of.HasSeedLink;
  if (PeersHadTheirTurn && Reads && Of.IsFirstReader)
    return {ReadDuty::Watch, "reader"};
  if (PeersHadTheirTurn && Of.LostParent)
    return {ReadDuty::Watch, "no parent"};
  if (PeersHadTheirTurn && Of.ReadersFellBehind)
    return {ReadDuty::Watch, "readers fell behind"};
  if (PeersHadTheirTurn && Reads)
    return {ReadDuty::Spare, "spare reader"};
  if (PeersHadTheirTurn && Of.ParentMayBeSlow)
    return {ReadDuty::Spare, "parent was lost"};
  if (!Of.HasVersion && Of.SinceStart >= VersionPatience * Of.PeerWaitTime)
    return {ReadDuty::Once, "no version"};
  return {ReadDuty::None, "told by others"};
}

const char *dutyName(ReadDuty Of) {
  switch (Of) {
  case ReadDuty::None:
    return "none";
  case ReadDuty::List:
  case ReadDuty::ListForOthers:
    return "list";
  case ReadDuty::Once:
    return "once";
  case ReadDuty::Spare:
    return "spare";
  case ReadDuty::Watch:
    return "watch";
  }
  return "";
}

} // namespace hickorylift
