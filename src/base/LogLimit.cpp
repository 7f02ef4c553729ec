#include "base/LogLimit.h"

#include <utility>

namespace hickorylift {

namespace {

const char OtherKinds[] = "other";

} // namespace

bool LogLimit::allow(const std::string &Kind, const std::string &Id,
                     TimePoint Now) {
  bool Known = this->Kinds.count(Kind) != 0;
  const std::string &Name =
      Known || this->Kinds.size() < this->Opts.MaxKinds ? Kind : OtherKinds;
  State &Of =
      this->Kinds
          .try_emplace(Name, State{TokenBucket(this->Opts.LinesPerSecond,
                                               this->Opts.Burst),
                                   {},
                                   Now})
          .first->second;
  if (Of.Lines.take(Now))
    return true;
  if (Of.Left.Lines++ == 0) {
    Of.Left.Kind = Name;
    Of.Left.FirstId = Id;
    Of.SumAt = Now + this->Opts.SumEvery;
  }
  Of.Left.LastId = Id;
  return false;
}

std::vector<LogLimit::Sum> LogLimit::due(TimePoint Now) {
  std::vector<Sum> Out;
  for (auto &[Kind, Of] : this->Kinds)
    if (Of.Left.Lines != 0 && Now >= Of.SumAt)
      Out.push_back(std::exchange(Of.Left, {}));
  return Out;
}

} // namespace hickorylift
