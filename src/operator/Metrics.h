#ifndef HICKORYLIFT_OPERATOR_METRICS_H
#define HICKORYLIFT_OPERATOR_METRICS_H

#include "base/Time.h"
#include "budget/ResourceBudget.h"
#include "calls/Entry.h"
#include "quarantine/Quarantine.h"
#include "routing/SpilloverController.h"
#include "spread/Spreader.h"

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

namespace hickorylift {

class Gate;
class Node;

/// The node's counters in the Prometheus text format. They are kept by the
/// deciding slices; the registry is brought up to date when it is read.
class Metrics {
public:
  Metrics();

  /// How long a caller waited, for an answer or in vain.
  void callTook(Clock::duration Length, bool Answered);
  /// How long a call waited at the gate for a slot, and ran at the upstream.
  void gateTook(Clock::duration Waited, Clock::duration Ran);

  std::string text(Node &Of);

private:
  void setSpread(const Spreader::Counters &Spread);
  void setEntry(const Entry::Counters &Entered);
  void setBudget(const ResourceBudget &Of);
  void setGate(Gate &At, TimePoint Now);
  void setShedding(Node &Of, TimePoint Now);
  void setSpillover(const SpilloverController &Of, TimePoint Now);
  void setQuarantine(const Quarantine &Hold, TimePoint Now);
  void set(const std::string &Name, const std::string &Help, double Value,
           const std::map<std::string, std::string> &Labels = {});

  std::shared_ptr<prometheus::Registry> Registry;
  prometheus::Histogram *AnsweredCalls = nullptr;
  prometheus::Histogram *OtherCalls = nullptr;
  prometheus::Histogram *GateWaits = nullptr;
  prometheus::Histogram *UpstreamRuns = nullptr;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> Families;
};

} // namespace hickorylift

#endif
