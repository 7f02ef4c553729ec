#ifndef HICKORYLIFT_ROUTING_REQUESTAGEESTIMATOR_H
#define HICKORYLIFT_ROUTING_REQUESTAGEESTIMATOR_H

#include "base/Time.h"

#include <map>
#include <string>

// RequestAgeEstimator estimates how long a caller has already waited for a
// request. Callers of one route start with the same time budget and send the
// part of it that remains. A request with less remaining than the others of its
// route was tried before, and its caller has been waiting since.
//
//   RequestAgeEstimator Ages;
//   Millis Waited = Ages.age("status", /*Remaining=*/Millis(900), Now);

namespace hickorylift {

class RequestAgeEstimator {
public:
  struct Options {
    /// How long the longest budget seen on a route stays valid. If callers are
    /// given a shorter budget, all of them would otherwise look old for ever.
    Millis KeepFor{10000};
    /// A difference up to this may be the time on the wire and counts as none.
    Millis Tolerance{10};
    /// Routes remembered. Requests of further routes have no estimate.
    size_t MaxRoutes = 10000;
  };

  explicit RequestAgeEstimator(Options Opts) : Opts(Opts) {}
  RequestAgeEstimator() : RequestAgeEstimator(Options()) {}

  /// How long the caller has already waited, given the budget that remains;
  /// zero if the route is unknown.
  Millis age(const std::string &Route, Millis Remaining, TimePoint Now) {
    auto Found = this->ByRoute.find(Route);
    if (Found == this->ByRoute.end()) {
      if (this->ByRoute.size() < this->Opts.MaxRoutes)
        this->ByRoute[Route] = {Remaining, Now};
      return Millis(0);
    }
    LongestBudget &Longest = Found->second;
    bool Expired = Now - Longest.SeenAt > this->Opts.KeepFor;
    if (Remaining + this->Opts.Tolerance >= Longest.Budget || Expired) {
      Longest = {Expired ? Remaining : std::max(Remaining, Longest.Budget),
                 Now};
      return Millis(0);
    }
    return Longest.Budget - Remaining;
  }

private:
  struct LongestBudget {
    Millis Budget{0};
    TimePoint SeenAt;
  };

  Options Opts;
  std::map<std::string, LongestBudget> ByRoute;
};

} // namespace hickorylift

#endif
