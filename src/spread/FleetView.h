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
        Freshness(Freshness) {}

  void setInForce(const Stamp &Held) { this->InForce = Held; }
  /// The newest version that this node refused, and its first fault.
  void setRefusal(const Stamp &Of, std::string Fault);

  void childReport(LinkId Link, const wire::FleetReportT &Report,
                   TimePoint Now);
  void dropChild(LinkId Link) { this->Children.erase(Link); }
  /// What another data centre's root said of its own.
  void exchange(const wire::FleetExchangeT &Heard, TimePoint Now);

  /// This node and all below it.
  wire::FleetReportT report(TimePoint Now) const;
  /// This node's part, and the other data centres as last heard. An old
  /// report is left out: its nodes then count as not heard from.
  std::vector<wire::FleetReportT> fleet(TimePoint Now) const;

private:
  struct Heard {
    wire::FleetReportT Report;
    TimePoint At;
  };

  std::string DataCentre;
  std::string Self;
  uint32_t Build;
  Millis Freshness;
  Stamp InForce;
  Stamp Refused;
  std::string RefusedFault;
  std::map<LinkId, Heard> Children;
  std::map<std::string, Heard> Others;
};

Stamp stampFromWire(const wire::Stamp *Of);
bool sameReport(const wire::FleetReportT &A, const wire::FleetReportT &B);

} // namespace hickorylift

#endif
