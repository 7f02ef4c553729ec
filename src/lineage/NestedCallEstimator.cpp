#include "lineage/NestedCallEstimator.h"

#include <algorithm>

namespace hickorylift {

void NestedCallEstimator::recordRun(const std::string &Route,
                                    const ServiceCalls &Made) {
  auto Found = this->ByRoute.find(Route);
  if (Found == this->ByRoute.end()) {
    if (this->ByRoute.size() >= this->Opts.MaxRoutes)
      return;
    Found = this->ByRoute.emplace(Route, RouteMeans()).first;
  }
  RouteMeans &Learned = Found->second;
  ++Learned.Runs;
  double Weight =
      std::max(this->Opts.NewestWeight, 1 / static_cast<double>(Learned.Runs));
  for (auto &[Service, Mean] : Learned.Means)
    Mean -= Weight * Mean;
  for (const auto &[Service, Count] : Made)
    if (Learned.Means.count(Service) ||
        Learned.Means.size() < this->Opts.MaxServices)
      Learned.Means[Service] += Weight * Count;
}

const ServiceCalls &
NestedCallEstimator::callsPerRun(const std::string &Route) const {
  static const ServiceCalls None;
  auto Found = this->ByRoute.find(Route);
  return Found == this->ByRoute.end() ? None : Found->second.Means;
}

} // namespace hickorylift
