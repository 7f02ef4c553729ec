#ifndef HICKORYLIFT_ROUTING_TRAFFICSPLITTER_H
#define HICKORYLIFT_ROUTING_TRAFFICSPLITTER_H

#include "config/Config.h"

#include <map>
#include <string>
#include <vector>

// TrafficSplitter deals the calls of a split route out to its parts. After any
// number of calls each part has had its weight's share of them, give or take
// one; a draw at random would stray by the square root of the number.
//
//   TrafficSplitter Turns;
//   const SplitPart &Part = Route.Parts[Turns.next(Route)];

namespace hickorylift {

class TrafficSplitter {
public:
  /// The index of the part whose turn it is.
  size_t next(const Route &Of);

private:
  struct Dealt {
    std::vector<uint32_t> Weights;
    // What each part is owed; the sum is zero.
    std::vector<int64_t> Credit;
  };

  std::map<std::string, Dealt> ByRoute;
};

} // namespace hickorylift

#endif
