#ifndef HICKORYLIFT_SPREAD_FLEETVIEW_H
#define HICKORYLIFT_SPREAD_FLEETVIEW_H

#include "spread/Spreader.h"

// A FleetView counts who holds what, up the spreading tree: each node adds its
// children's reports to its own state and tells its parent, so that the root
// of a data centre knows all of it and the roots tell each other. Nobody polls
// the fleet.
//
//   FleetView View("north", "portal-3", /*Build=*/1, Millis(10000));
//   View.setInForce(Stamp);
//   View.setRefusal(Other, "portal.json:3:4: /service: ...");
//   View.childReport(Link, Report, Now);
//   wire::FleetReportT Up = View.report(Now);

namespace hickorylift {

class FleetView {
public:
  FleetView(std::string DataCentre, std::string Self, uint32_t Build,
            Millis Freshness)
      : DataCentre(std::move(DataCentre)), Self(std::move(Self)), Build(Build),
        MaxReportAge(Freshness) {}

  void setActiveVersion(const Stamp &Held) { this->ActiveStamp = Held; }
  /// The newest version that this node refused, and its first fault.
  void setRefusal(const Stamp &Of, std::string Fault);

  void recordChildReport(LinkId Link, const wire::FleetReportT &Report,
                         TimePoint Now);
  void removeChild(LinkId Link) { this->Children.erase(Link); }
  /// What another data centre's root said of its own.
  void recordExchange(const wire::FleetExchangeT &Heard, TimePoint Now);

  /// This node and all below it.
  wire::FleetReportT report(TimePoint Now) const;
  /// This node's part, and the other data centres as last heard. An old
  /// report is left out: its nodes then count as not heard from.
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

Stamp stampFromWire(const wire::Stamp *Of);
bool sameReport(const wire::FleetReportT &A, const wire::FleetReportT &B);

} // namespace hickorylift

#endif
