#ifndef HICKORYLIFT_SPREAD_FLEETVIEW_H
#define HICKORYLIFT_SPREAD_FLEETVIEW_H

#include "spread/Spreader.h"

// FleetView counts how many nodes run each version. Reports are aggregated up
// the spreading tree: each node adds its children's reports to its own state
// and reports the sum to its parent, so the root of a data centre knows the
// counts of all its nodes. The roots exchange theirs. No node polls the fleet.
//
//   FleetView View("north", "portal-3", /*Build=*/1, Millis(10000));
//   View.setActiveVersion(Stamp);
//   View.setRefusal(Other, "portal.json:3:4: /service: ...");
//   View.recordChildReport(Link, Report, Now);
//   wire::FleetReportT Sum = View.report(Now);

namespace hickorylift {

class FleetView {
public:
  /// Reports older than MaxReportAge are ignored.
  FleetView(std::string DataCentre, std::string Self, uint32_t Build,
            Millis MaxReportAge)
      : DataCentre(std::move(DataCentre)), Self(std::move(Self)), Build(Build),
        MaxReportAge(MaxReportAge) {}

  void setActiveVersion(const Stamp &Active) { this->ActiveStamp = Active; }
  /// Records that this node refused a version, with its first fault. Ignored if
  /// it already refused a newer one.
  void setRefusal(const Stamp &Refused, std::string Fault);

  void recordChildReport(LinkId Link, const wire::FleetReportT &Report,
                         TimePoint Now);
  void removeChild(LinkId Link) { this->Children.erase(Link); }
  /// Records the reports of other data centres, received from one of their
  /// roots.
  void recordExchange(const wire::FleetExchangeT &Exchange, TimePoint Now);

  /// The counts of this node and of all nodes below it in the tree.
  wire::FleetReportT report(TimePoint Now) const;
  /// The report of this node and its subtree, and the latest reports of the
  /// other data centres. An outdated report is left out, so that its nodes
  /// count as not heard from.
  std::vector<wire::FleetReportT> fleetReports(TimePoint Now) const;

private:
  struct ReceivedReport {
    wire::FleetReportT Report;
    TimePoint ReceivedAt;
  };

  std::string DataCentre;
  std::string Self;
  uint32_t Build;
  Millis MaxReportAge;
  Stamp ActiveStamp;
  Stamp RefusedStamp;
  std::string RefusedFault;
  std::map<LinkId, ReceivedReport> Children;
  std::map<std::string, ReceivedReport> OtherDataCentres;
};

/// Returns the null stamp if Value is null.
Stamp stampFromWire(const wire::Stamp *Value);
bool sameReport(const wire::FleetReportT &A, const wire::FleetReportT &B);

} // namespace hickorylift

#endif
