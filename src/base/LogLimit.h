#ifndef HICKORYLIFT_BASE_LOGLIMIT_H
#define HICKORYLIFT_BASE_LOGLIMIT_H

#include "base/Time.h"
#include "base/TokenBucket.h"

#include <map>
#include <string>
#include <vector>

// A LogLimit bounds how many lines of one kind are written. What is over the
// bound is summed up, with the first and the last id, so that a search for an
// id between them finds the sum.
//
//   LogLimit Limit(LogLimit::Options());
//   if (Limit.allow("call-refused overload", RequestId, Now))
//     write the line
//   for (const LogLimit::Sum &One : Limit.due(Now))
//     write "suppressed" with One.Kind, One.Lines, One.FirstId, One.LastId

namespace hickorylift {

class LogLimit {
public:
  struct Options {
    /// Lines of one kind a second, and at once.
    double LinesPerSecond = 5;
    double Burst = 20;
    /// Between two sums of one kind.
    Millis SumEvery{1000};
    /// Kinds told apart; further ones share one bound.
    size_t MaxKinds = 200;
  };

  struct Sum {
    std::string Kind;
    uint64_t Lines = 0;
    std::string FirstId;
    std::string LastId;
  };

  explicit LogLimit(Options Opts) : Opts(Opts) {}

  /// Whether to write this line.
  bool allow(const std::string &Kind, const std::string &Id, TimePoint Now);
  /// What was left out since the last sum, where a sum is due.
  std::vector<Sum> due(TimePoint Now);

private:
  struct State {
    TokenBucket Lines;
    Sum Left;
    TimePoint SumAt;
  };

  Options Opts;
  std::map<std::string, State> Kinds;
};

} // namespace hickorylift

#endif
