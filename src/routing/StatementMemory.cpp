#include "routing/StatementMemory.h"

#include <algorithm>

// Statements belong to one start of an upstream. An upstream that takes
// another's place, at the same address or under the same name, has stated
// nothing yet; without the start it would inherit that the other one leaves,
// and would never get a call that could show otherwise.

namespace hickorylift {

void StatementMemory::record(const std::string &Gate,
                             const UpstreamStart &Start,
                             UpstreamStatement Stated) {
  auto Found = this->Statements.find(Gate);
  bool IsSameStart =
      Found != this->Statements.end() && Found->second.Start == Start;
  Stated.Leaving |= IsSameStart && Found->second.Stated.Leaving;
  if (Stated != UpstreamStatement())
    this->Statements[Gate] = {Start, Stated};
  else if (IsSameStart)
    this->Statements.erase(Found);
}

void StatementMemory::instanceListed(const Instance &Listed) {
  auto Found = this->Statements.find(Listed.Name);
  UpstreamStart Start(Listed.Upstream, Listed.Incarnation);
  if (Found != this->Statements.end() && Found->second.Start != Start)
    this->Statements.erase(Found);
}

void StatementMemory::retainListed(const std::set<std::string> &Listed) {
  std::erase_if(this->Statements, [&](const auto &Known) {
    return Known.second.Start == UpstreamStart() && !Listed.count(Known.first);
  });
}

bool StatementMemory::isLeaving(const Instance &Of) const {
  const Remembered *Known = this->find(Of.Name);
  return Known && Known->Stated.Leaving &&
         Known->Start == UpstreamStart(Of.Upstream, Of.Incarnation);
}

bool StatementMemory::isAnyLeaving() const {
  return std::any_of(
      this->Statements.begin(), this->Statements.end(),
      [](const auto &Known) { return Known.second.Stated.Leaving; });
}

const StatementMemory::Remembered *
StatementMemory::find(const std::string &Gate) const {
  auto Found = this->Statements.find(Gate);
  return Found == this->Statements.end() ? nullptr : &Found->second;
}

} // namespace hickorylift
