#include "spread/FleetView.h"

#include <algorithm>

// A report is a sum: this node's own state plus the latest report of each
// child. A node reports to its current parent only, so each node is counted
// once while the tree does not change. Reports older than MaxReportAge are left
// out, so nodes that have stopped disappear from the counts.

namespace hickorylift {

namespace {

// Maximum number of versions and of refusals listed in one report. More than a
// few exist at once only while the fleet is partitioned. Nodes beyond the limit
// are counted as heard but under no stamp.
constexpr size_t MaxRows = 16;

void addCount(wire::FleetReportT &Report, const wire::Stamp &Active,
              uint32_t Build, uint32_t Nodes) {
  Stamp Key = stampFromWire(&Active);
  for (auto &Row : Report.counts) {
    if (stampFromWire(Row->stamp.get()) != Key || Row->build != Build)
      continue;
    Row->nodes += Nodes;
    return;
  }
  if (Report.counts.size() >= MaxRows)
    return;
  auto Row = std::make_unique<wire::StampCountT>();
  Row->stamp = std::make_unique<wire::Stamp>(Active);
  Row->build = Build;
  Row->nodes = Nodes;
  Report.counts.push_back(std::move(Row));
}

void addRefusal(wire::FleetReportT &Report, const wire::RefusalT &Refusal) {
  Stamp Key = stampFromWire(Refusal.stamp.get());
  for (auto &Row : Report.refusals) {
    if (stampFromWire(Row->stamp.get()) != Key || Row->fault != Refusal.fault)
      continue;
    Row->nodes += Refusal.nodes;
    return;
  }
  if (Report.refusals.size() < MaxRows)
    Report.refusals.push_back(std::make_unique<wire::RefusalT>(Refusal));
}

} // namespace

Stamp stampFromWire(const wire::Stamp *Value) {
  if (!Value)
    return {};
  return {Value->version(), Value->revision(), Value->hash()};
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

void FleetView::setRefusal(const Stamp &Refused, std::string Fault) {
  if (Refused < this->RefusedStamp)
    return;
  this->RefusedStamp = Refused;
  this->RefusedFault = std::move(Fault);
}

void FleetView::recordChildReport(LinkId Link, const wire::FleetReportT &Report,
                                  TimePoint Now) {
  this->Children.insert_or_assign(Link, ReceivedReport{Report, Now});
}

void FleetView::recordExchange(const wire::FleetExchangeT &Exchange,
                               TimePoint Now) {
  for (const auto &Report : Exchange.reports)
    if (Report->data_centre != this->DataCentre)
      this->OtherDataCentres.insert_or_assign(Report->data_centre,
                                              ReceivedReport{*Report, Now});
}

wire::FleetReportT FleetView::report(TimePoint Now) const {
  wire::FleetReportT Sum;
  Sum.data_centre = this->DataCentre;
  Sum.heard = 1;
  addCount(Sum,
           wire::Stamp(this->ActiveStamp.Version, this->ActiveStamp.Revision,
                       this->ActiveStamp.Hash),
           this->Build, 1);
  // A refusal is reported until this node activates a newer version.
  if (this->RefusedStamp > this->ActiveStamp) {
    wire::RefusalT Own;
    Own.stamp = std::make_unique<wire::Stamp>(this->RefusedStamp.Version,
                                              this->RefusedStamp.Revision,
                                              this->RefusedStamp.Hash);
    Own.nodes = 1;
    Own.sample_node = this->Self;
    Own.fault = this->RefusedFault;
    addRefusal(Sum, Own);
  }
  for (const auto &[Link, Child] : this->Children) {
    if (Now - Child.ReceivedAt > this->MaxReportAge)
      continue;
    Sum.heard += Child.Report.heard;
    for (const auto &Row : Child.Report.counts)
      if (Row->stamp)
        addCount(Sum, *Row->stamp, Row->build, Row->nodes);
    for (const auto &Row : Child.Report.refusals)
      addRefusal(Sum, *Row);
  }
  return Sum;
}

std::vector<wire::FleetReportT> FleetView::fleetReports(TimePoint Now) const {
  std::vector<wire::FleetReportT> Reports{this->report(Now)};
  for (const auto &[Name, Other] : this->OtherDataCentres)
    if (Now - Other.ReceivedAt <= this->MaxReportAge)
      Reports.push_back(Other.Report);
  return Reports;
}

} // namespace hickorylift
