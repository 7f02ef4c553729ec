#include "spread/FleetView.h"

#include <algorithm>

namespace hickorylift {

namespace {

// Versions and refusals told apart in one report. More than a few only stand
// side by side while the fleet is split; what is over is counted as heard but
// under no stamp.
constexpr size_t MaxRows = 16;

void addCount(wire::FleetReportT &To, const wire::Stamp &Held, uint32_t Build,
              uint32_t Nodes) {
  Stamp Key = stampFromWire(&Held);
  for (auto &Row : To.counts) {
    if (stampFromWire(Row->stamp.get()) != Key || Row->build != Build)
      continue;
    Row->nodes += Nodes;
    return;
  }
  if (To.counts.size() >= MaxRows)
    return;
  auto Row = std::make_unique<wire::StampCountT>();
  Row->stamp = std::make_unique<wire::Stamp>(Held);
  Row->build = Build;
  Row->nodes = Nodes;
  To.counts.push_back(std::move(Row));
}

void addRefusal(wire::FleetReportT &To, const wire::RefusalT &One) {
  Stamp Key = stampFromWire(One.stamp.get());
  for (auto &Row : To.refusals) {
    if (stampFromWire(Row->stamp.get()) != Key || Row->fault != One.fault)
      continue;
    Row->nodes += One.nodes;
    return;
  }
  if (To.refusals.size() < MaxRows)
    To.refusals.push_back(std::make_unique<wire::RefusalT>(One));
}

} // namespace

Stamp stampFromWire(const wire::Stamp *Of) {
  if (!Of)
    return {};
  return {Of->version(), Of->revision(), Of->hash()};
}

bool sameReport(const wire::FleetReportT &A, const wire::FleetReportT &B) {
  flatbuffers::FlatBufferBuilder First, Second;
  First.Finish(wire::FleetReport::Pack(First, &A));
  Second.Finish(wire::FleetReport::Pack(Second, &B));
  return First.GetSize() == Second.GetSize() &&
         std::equal(First.GetBufferPointer(),
                    First.GetBufferPointer() + First.GetSize(),
                    Second.GetBufferPointer());
}

void FleetView::setRefusal(const Stamp &Of, std::string Fault) {
  if (Of < this->RefusedStamp)
    return;
  this->RefusedStamp = Of;
  this->RefusedFault = std::move(Fault);
}

void FleetView::recordChildReport(LinkId Link, const wire::FleetReportT &Report,
                                  TimePoint Now) {
  this->Children.insert_or_assign(Link, ReceivedReport{Report, Now});
}

void FleetView::recordExchange(const wire::FleetExchangeT &Said,
                               TimePoint Now) {
  for (const auto &Report : Said.reports)
    if (Report->data_centre != this->DataCentre)
      this->OtherDataCentres.insert_or_assign(Report->data_centre,
                                              ReceivedReport{*Report, Now});
}

wire::FleetReportT FleetView::report(TimePoint Now) const {
  wire::FleetReportT Out;
  Out.data_centre = this->DataCentre;
  Out.heard = 1;
  addCount(Out,
           wire::Stamp(this->ActiveStamp.Version, this->ActiveStamp.Revision,
                       this->ActiveStamp.Hash),
           this->Build, 1);
  // A refusal matters until something newer is in force here.
  if (this->RefusedStamp > this->ActiveStamp) {
    wire::RefusalT Own;
    Own.stamp = std::make_unique<wire::Stamp>(this->RefusedStamp.Version,
                                              this->RefusedStamp.Revision,
                                              this->RefusedStamp.Hash);
    Own.nodes = 1;
    Own.sample_node = this->Self;
    Own.fault = this->RefusedFault;
    addRefusal(Out, Own);
  }
  for (const auto &[Link, Child] : this->Children) {
    if (Now - Child.ReceivedAt > this->MaxReportAge)
      continue;
    Out.heard += Child.Report.heard;
    for (const auto &Row : Child.Report.counts)
      if (Row->stamp)
        addCount(Out, *Row->stamp, Row->build, Row->nodes);
    for (const auto &Row : Child.Report.refusals)
      addRefusal(Out, *Row);
  }
  return Out;
}

std::vector<wire::FleetReportT> FleetView::fleetReports(TimePoint Now) const {
  std::vector<wire::FleetReportT> Out{this->report(Now)};
  for (const auto &[Name, Other] : this->OtherDataCentres)
    if (Now - Other.ReceivedAt <= this->MaxReportAge)
      Out.push_back(Other.Report);
  return Out;
}

} // namespace hickorylift
