#ifndef HICKORYLIFT_ROUTING_HEDGEPOLICY_H
#define HICKORYLIFT_ROUTING_HEDGEPOLICY_H

#include "base/Time.h"
#include "routing/DecayingHistogram.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

// HedgePolicy decides after which delay a call that has no answer yet is sent
// to a second gate (hedged), and limits how many calls are hedged. The delay is
// learned for each route from the times between the offer of a call and the
// head of its answer.
//
//   HedgePolicy Hedges(HedgePolicy::Options{.Enabled = true});
//   Hedges.recordFirstTry("status");
//   Hedges.recordAnswer("status", /*Took=*/Millis(40), Now);
//   if (auto Delay = Hedges.delay("status", /*TimeToTarget=*/Millis(300), Now))
//     armTimer(Now + *Delay);
//   ...
//   if (Hedges.fits("status", Deadline, Now) && Hedges.spendHedge("status"))
//     sendToSecondGate();

namespace hickorylift {

class HedgePolicy {
public:
  struct Options {
    /// If false, nothing is learned and no call is hedged.
    bool Enabled = false;
    /// Maximum number of hedges for each hundred first tries of a route.
    double MaxPercent = 3;
    /// Number of hedges that a route may save up. A route starts with none.
    double MaxSavedHedges = 5;
    /// The delay is the time within which this share of a route's answers
    /// arrives, but no less than MinMedianMultiple times the median. On a route
    /// whose runs all take about the same time, the quantile alone would be
    /// barely above the median.
    double DelayQuantile = 0.95;
    double MinMedianMultiple = 1.5;
    /// A hedge is sent earlier if that is needed to meet the call's target:
    /// this many times the median before the target. A hedge that starts later
    /// would usually miss the target as well.
    double TargetMargin = 1.25;
    /// The delay is unknown until the answers of a route have this weight. Each
    /// answer has a weight of one, which halves every HalfLife.
    double MinAnswers = 20;
    Millis HalfLife{30000};
    /// Routes whose times are learned. Calls of further routes are not hedged.
    size_t MaxRoutes = 1000;
  };

  explicit HedgePolicy(Options Opts) : Opts(Opts) {}

  bool enabled() const { return this->Opts.Enabled; }
  /// Records a caller's request, which earns MaxPercent of a hedge.
  void recordFirstTry(const std::string &Route);
  /// Records the time from the offer of a call to the head of its answer. The
  /// time to a failure does not show how long an answer takes and must not be
  /// recorded.
  void recordAnswer(const std::string &Route, Clock::duration Took,
                    TimePoint Now);
  /// The delay after its offer at which a call without an answer is hedged, if
  /// its target is TimeToTarget after the offer; nothing while too few answers
  /// of the route are known.
  std::optional<Clock::duration> delay(const std::string &Route,
                                       Clock::duration TimeToTarget,
                                       TimePoint Now) const;
  /// Whether a run of the route's median time that starts now ends before the
  /// deadline.
  bool fits(const std::string &Route, TimePoint Deadline, TimePoint Now) const;
  /// Whether the route has earned a hedge.
  bool hasHedge(const std::string &Route) const;
  /// Spends one hedge; false if the route has earned none.
  bool spendHedge(const std::string &Route);

private:
  struct RouteTimes {
    DecayingHistogram Times;
    double SavedHedges = 0;
  };

  RouteTimes *findOrAdd(const std::string &Route);
  const RouteTimes *findKnown(const std::string &Route, TimePoint Now) const;

  Options Opts;
  std::map<std::string, RouteTimes> ByRoute;
};

} // namespace hickorylift

#endif
