#include "routing/HedgePolicy.h"

#include <algorithm>

namespace hickorylift {

namespace {

// A hedge can be spent if at least this much is saved: floating-point sums of a
// share such as 0.03 do not reach exactly one.
constexpr double WholeHedge = 1 - 1e-9;

} // namespace

HedgePolicy::RouteTimes *HedgePolicy::findOrAdd(const std::string &Route) {
  auto Found = this->ByRoute.find(Route);
  if (Found != this->ByRoute.end())
    return &Found->second;
  if (this->ByRoute.size() >= this->Opts.MaxRoutes)
    return nullptr;
  RouteTimes New{DecayingHistogram(this->Opts.HalfLife)};
  return &this->ByRoute.emplace(Route, New).first->second;
}

// Returns null if too few answers of the route are known.
const HedgePolicy::RouteTimes *HedgePolicy::findKnown(const std::string &Route,
                                                      TimePoint Now) const {
  auto Found = this->ByRoute.find(Route);
  bool Known = this->Opts.Enabled && Found != this->ByRoute.end() &&
               Found->second.Times.weight(Now) >= this->Opts.MinAnswers;
  return Known ? &Found->second : nullptr;
}

void HedgePolicy::recordFirstTry(const std::string &Route) {
  RouteTimes *Times = this->Opts.Enabled ? this->findOrAdd(Route) : nullptr;
  if (Times)
    Times->SavedHedges =
        std::min(this->Opts.MaxSavedHedges,
                 Times->SavedHedges + this->Opts.MaxPercent / 100);
}

void HedgePolicy::recordAnswer(const std::string &Route, Clock::duration Took,
                               TimePoint Now) {
  RouteTimes *Times = this->Opts.Enabled ? this->findOrAdd(Route) : nullptr;
  if (Times)
    Times->Times.add(Took, Now);
}

std::optional<Clock::duration> HedgePolicy::delay(const std::string &Route,
                                                  Clock::duration TimeToTarget,
                                                  TimePoint Now) const {
  const RouteTimes *Times = this->findKnown(Route, Now);
  if (!Times)
    return std::nullopt;
  auto Multiple = [Median = Times->Times.quantile(0.5)](double Factor) {
    return std::chrono::duration_cast<Clock::duration>(Median * Factor);
  };
  Clock::duration InTime = TimeToTarget - Multiple(this->Opts.TargetMargin);
  return std::max(
      Multiple(this->Opts.MinMedianMultiple),
      std::min(Times->Times.quantile(this->Opts.DelayQuantile), InTime));
}

bool HedgePolicy::fits(const std::string &Route, TimePoint Deadline,
                       TimePoint Now) const {
  const RouteTimes *Times = this->findKnown(Route, Now);
  return Times && Now + Times->Times.quantile(0.5) <= Deadline;
}

bool HedgePolicy::hasHedge(const std::string &Route) const {
  auto Found = this->ByRoute.find(Route);
  return Found != this->ByRoute.end() &&
         Found->second.SavedHedges >= WholeHedge;
}

bool HedgePolicy::spendHedge(const std::string &Route) {
  if (!this->hasHedge(Route))
    return false;
  this->ByRoute.at(Route).SavedHedges -= 1;
  return true;
}

} // namespace hickorylift
