#include "routing/TrafficSplitter.h"

// Smooth weighted round robin: at each call every part earns its weight, the
// part with the most credit has the turn and pays the sum of all weights. No
// credit ever leaves the range between minus and plus that sum, so the count of
// each part differs from its share by less than one turn.

namespace hickorylift {

size_t TrafficSplitter::next(const Route &Of) {
  if (Of.Parts.size() == 1)
    return 0;
  std::vector<uint32_t> Weights;
  int64_t Sum = 0;
  for (const SplitPart &Part : Of.Parts) {
    Weights.push_back(Part.Weight);
    Sum += Part.Weight;
  }
  Dealt &State = this->ByRoute[Of.Name];
  if (State.Weights != Weights) {
    State.Weights = Weights;
    State.Credit.assign(Weights.size(), 0);
  }
  size_t Best = 0;
  for (size_t I = 0; I < Weights.size(); ++I) {
    State.Credit[I] += Weights[I];
    if (State.Credit[I] > State.Credit[Best])
      Best = I;
  }
  State.Credit[Best] -= Sum;
  return Best;
}

} // namespace hickorylift
