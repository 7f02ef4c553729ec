#ifndef HICKORYLIFT_ROUTING_TRAFFICSPLITTER_H
#define HICKORYLIFT_ROUTING_TRAFFICSPLITTER_H

#include "config/Config.h"

#include <map>
#include <string>
#include <vector>

// TrafficSplitter distributes the calls of a split route over its parts in
// proportion to their weights. After any number of calls, the count of each
// part is within one of its share; a random choice would be off by the square
// root of the number of calls.
//
//   TrafficSplitter Splitter;
//   const SplitPart &Part = Route.Parts[Splitter.next(Route)];

namespace hickorylift {

class TrafficSplitter {
public:
  /// Returns the index of the part that receives the next call of SplitRoute.
  size_t next(const Route &SplitRoute);

private:
  struct RouteState {
    std::vector<uint32_t> Weights;
    // What each part is owed, in units of weight; the sum is zero.
    std::vector<int64_t> Credit;
  };

  std::map<std::string, RouteState> ByRoute;
};

} // namespace hickorylift

#endif
