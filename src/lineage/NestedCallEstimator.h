#ifndef HICKORYLIFT_LINEAGE_NESTEDCALLESTIMATOR_H
#define HICKORYLIFT_LINEAGE_NESTEDCALLESTIMATOR_H

#include "calls/Message.h"

#include <map>
#include <string>

// NestedCallEstimator learns how many calls a run of a route makes, and to
// which services, from the counts that gates send with their answers. An entry
// needs this to know what a retry costs the services behind the one that it is
// sent to.
//
//   NestedCallEstimator Estimates{NestedCallEstimator::Options()};
//   Estimates.recordRun("checkout", {{"prices", 2}});
//   Estimates.recordRun("checkout", {});
//   Estimates.callsPerRun("checkout");   // {{"prices", 1}}

namespace hickorylift {

class NestedCallEstimator {
public:
  struct Options {
    /// Weight of the newest run. The first runs of a route count alike.
    double NewestWeight = 0.05;
    /// Routes remembered. Runs of further ones count as making no calls.
    size_t MaxRoutes = 10000;
    /// Services remembered for each route.
    size_t MaxServices = 16;
  };

  explicit NestedCallEstimator(Options Opts) : Opts(Opts) {}

  /// Records the calls that one run of the route has made.
  void recordRun(const std::string &Route, const ServiceCalls &Made);
  /// The mean number of calls that a run of the route makes; empty if no run of
  /// it is known.
  const ServiceCalls &callsPerRun(const std::string &Route) const;

private:
  struct RouteMeans {
    uint64_t Runs = 0;
    ServiceCalls Means;
  };

  Options Opts;
  std::map<std::string, RouteMeans> ByRoute;
};

} // namespace hickorylift

#endif
