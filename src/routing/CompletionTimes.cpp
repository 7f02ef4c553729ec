#include "routing/CompletionTimes.h"

namespace hickorylift {

void CompletionTimes::record(const std::string &Route, Clock::duration Took,
                             TimePoint Now) {
  auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end()) {
    if (this->ByRoute.size() >= this->Opts.MaxRoutes)
      return;
    Found = this->ByRoute.emplace(Route, DecayingHistogram(this->Opts.HalfLife))
                .first;
  }
  Found->second.add(Took, Now);
}

bool CompletionTimes::endsBy(const std::string &Route, TimePoint Deadline,
                             TimePoint By, TimePoint Now) const {
  if (Deadline <= By)
    return true;
  auto Found = this->ByRoute.find(Route);
  bool Known = Found != this->ByRoute.end() &&
               Found->second.weight(Now) >= this->Opts.MinWeight;
  return Known && Now + Found->second.quantile(this->Opts.Share) <= By;
}

} // namespace hickorylift
