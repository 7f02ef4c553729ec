#include "routing/TrafficSplitter.h"

// Smooth weighted round robin: with each call every part earns its weight as
// credit, and the part with the most credit receives the call and pays the sum
// of all weights. The credit of a part always stays between minus and plus that
// sum, so its call count differs from its share by less than one.

namespace hickorylift {

size_t TrafficSplitter::next(const Route &SplitRoute) {
  if (SplitRoute.Parts.size() == 1)
    return 0;
  std::vector<uint32_t> Weights;
  int64_t Sum = 0;
  for (const SplitPart &Part : SplitRoute.Parts) {
    Weights.push_back(Part.Weight);
    Sum += Part.Weight;
  }
  RouteState &State = this->ByRoute[SplitRoute.Name];
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
