#include "lineage/RunRegistry.h"

#include <algorithm>

namespace hickorylift {

void RunRegistry::runStarted(const CallId &Call, const std::string &RequestId,
                             const Run &Started) {
  this->runEnded(Call);
  if (!this->enabled() || RequestId.empty() ||
      RequestId.size() > this->Opts.MaxIdBytes ||
      this->runCount() >= this->Opts.MaxRuns)
    return;
  this->RunByCall[Call] =
      this->RunsById.emplace(RequestId, RecordedRun{Started, {}});
}

void RunRegistry::runEnded(const CallId &Call) {
  auto Found = this->RunByCall.find(Call);
  if (Found == this->RunByCall.end())
    return;
  this->RunsById.erase(Found->second);
  this->RunByCall.erase(Found);
}

// The id of the run that makes the request, if it is a nested call; else empty.
std::string_view RunRegistry::parentId(std::string_view RequestId) const {
  const std::string &Separator = this->Opts.IdSeparator;
  size_t End = RequestId.rfind(Separator);
  bool HasOwnPart = this->enabled() && End != std::string_view::npos &&
                    End + Separator.size() < RequestId.size();
  return HasOwnPart ? RequestId.substr(0, End) : std::string_view();
}

std::optional<RunRegistry::Run>
RunRegistry::findParent(std::string_view RequestId) const {
  auto [First, Last] = this->RunsById.equal_range(this->parentId(RequestId));
  if (First == Last)
    return std::nullopt;
  Run Parent = First->second.Properties;
  for (auto Next = std::next(First); Next != Last; ++Next) {
    const Run &Other = Next->second.Properties;
    Parent.Priority = std::min(Parent.Priority, Other.Priority);
    Parent.Repeat |= Other.Repeat;
  }
  return Parent;
}

void RunRegistry::recordNestedCall(std::string_view RequestId,
                                   const ServiceCalls &Caused) {
  auto [First, Last] = this->RunsById.equal_range(this->parentId(RequestId));
  for (; First != Last; ++First)
    for (const auto &[Service, Count] : Caused)
      First->second.Caused[Service] += Count;
}

ServiceCalls RunRegistry::nestedCalls(const CallId &Call) const {
  auto Found = this->RunByCall.find(Call);
  return Found == this->RunByCall.end() ? ServiceCalls()
                                        : Found->second->second.Caused;
}

} // namespace hickorylift
