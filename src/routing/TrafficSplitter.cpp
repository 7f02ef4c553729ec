#include "routing/TrafficSplitter.h"

#include <algorithm>
#include <numeric>

// Smooth weighted round robin: with each call every part earns its weight as
// credit, and the part with the most credit receives the call and pays the sum
// of all weights. The credit of a part always stays between minus and plus that
// sum.
//
// The sequence repeats after as many calls as the sum of the weights. Each
// entry begins at a random place of it, and at another one for each new set of
// weights. If all entries began at the same place, they would all send their
// first calls after a new version to the same part. In a fleet so large that an
// entry makes only a few calls between two versions, a part with a tenth of the
// weight would then receive no calls at all.

namespace hickorylift {

namespace {

// Number of places at which a sequence may begin. If the sequence is longer,
// the share of a part is off by less than one call in this many.
constexpr uint64_t MaxStartPlaces = 1024;

} // namespace

size_t TrafficSplitter::RouteState::advance() {
  int64_t Sum = 0;
  size_t Best = 0;
  for (size_t I = 0; I < this->Weights.size(); ++I) {
    Sum += this->Weights[I];
    this->Credit[I] += this->Weights[I];
    if (this->Credit[I] > this->Credit[Best])
      Best = I;
  }
  this->Credit[Best] -= Sum;
  return Best;
}

void TrafficSplitter::start(RouteState &State, std::vector<uint32_t> Weights) {
  State.Credit.assign(Weights.size(), 0);
  State.Weights = std::move(Weights);
  uint64_t Sum =
      std::accumulate(State.Weights.begin(), State.Weights.end(), uint64_t(0));
  uint64_t Places = std::clamp<uint64_t>(Sum, 1, MaxStartPlaces);
  for (uint64_t Skipped = this->Random() % Places; Skipped > 0; --Skipped)
    State.advance();
}

size_t TrafficSplitter::next(const Route &SplitRoute) {
  if (SplitRoute.Parts.size() == 1)
    return 0;
  std::vector<uint32_t> Weights;
  for (const SplitPart &Part : SplitRoute.Parts)
    Weights.push_back(Part.Weight);
  RouteState &State = this->ByRoute[SplitRoute.Name];
  if (State.Weights != Weights)
    this->start(State, std::move(Weights));
  return State.advance();
}

void TrafficSplitter::retainOnly(const Config &Active) {
  std::erase_if(this->ByRoute, [&](const auto &Named) {
    return !Active.routes().count(Named.first);
  });
}

} // namespace hickorylift
