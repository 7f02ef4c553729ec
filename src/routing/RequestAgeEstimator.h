#ifndef HICKORYLIFT_ROUTING_REQUESTAGEESTIMATOR_H
#define HICKORYLIFT_ROUTING_REQUESTAGEESTIMATOR_H

#include "base/Time.h"

#include <map>
#include <string>

// Callers of one route start with the same patience and say what is left of it.
// One that says less than the others has tried before, and has waited since.
//
//   RequestAgeEstimator Ages;
//   Millis Waited = Ages.age("status", /*Left=*/Millis(900), Now);

namespace hickorylift {

class RequestAgeEstimator {
public:
  struct Options {
    /// The longest patience seen counts for this long. Callers may be given a
    /// shorter one, and all of them would look old for ever.
    Millis KeepFor{10000};
    /// Less than this may be the time on the wire.
    Millis Tolerance{10};
    /// Routes remembered; further ones have no estimate.
    size_t MaxRoutes = 10000;
  };

  explicit RequestAgeEstimator(Options Opts) : Opts(Opts) {}
  RequestAgeEstimator() : RequestAgeEstimator(Options()) {}

  /// How long the caller has waited already; zero where nothing is known.
  Millis age(const std::string &Route, Millis Left, TimePoint Now) {
    auto Found = this->ByRoute.find(Route);
    if (Found == this->ByRoute.end()) {
      if (this->ByRoute.size() < this->Opts.MaxRoutes)
        this->ByRoute[Route] = {Left, Now};
      return Millis(0);
    }
    Longest &Of = Found->second;
    bool Expired = Now - Of.SeenAt > this->Opts.KeepFor;
    if (Left + this->Opts.Tolerance >= Of.Patience || Expired) {
      Of = {Expired ? Left : std::max(Left, Of.Patience), Now};
      return Millis(0);
    }
    return Of.Patience - Left;
  }

private:
  struct Longest {
    Millis Patience{0};
    TimePoint SeenAt;
  };

  Options Opts;
  std::map<std::string, Longest> ByRoute;
};

} // namespace hickorylift

#endif
