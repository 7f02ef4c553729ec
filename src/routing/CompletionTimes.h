#ifndef HICKORYLIFT_ROUTING_COMPLETIONTIMES_H
#define HICKORYLIFT_ROUTING_COMPLETIONTIMES_H

#include "base/Time.h"
#include "routing/DecayingHistogram.h"

#include <cstddef>
#include <map>
#include <string>

// CompletionTimes tells whether a call that starts now will have ended when the
// process does. A planned stop takes calls for a while, and one that is still
// running at its end is cut.
//
//   CompletionTimes Times;
//   Times.record("status", /*Took=*/Millis(40), Now);
//   if (!Times.endsBy("status", Call.Deadline, /*By=*/StopAt, Now))
//     refuseAsNotRun();

namespace hickorylift {

class CompletionTimes {
public:
  struct Options {
    /// This share of a route's calls is known to end in time. Of the others,
    /// the few that last longest, some are cut.
    double Share = 0.99;
    /// The weight of a call, one, halves every HalfLife. A route whose calls
    /// together weigh less than MinWeight is not known.
    Millis HalfLife{60000};
    double MinWeight = 0.1;
    /// Routes that are remembered. Further ones are not known.
    size_t MaxRoutes = 1000;
  };

  CompletionTimes() = default;
  explicit CompletionTimes(Options Opts) : Opts(Opts) {}

  /// Records the time from a call's start to the end of its answer.
  void record(const std::string &Route, Clock::duration Took, TimePoint Now);
  /// Whether a call that starts now ends before By: its deadline is before
  /// that, or the route's calls have taken less than what is left. A call of a
  /// route that is not known may last until its deadline.
  bool endsBy(const std::string &Route, TimePoint Deadline, TimePoint By,
              TimePoint Now) const;

private:
  Options Opts;
  std::map<std::string, DecayingHistogram> ByRoute;
};

} // namespace hickorylift

#endif
