#ifndef HICKORYLIFT_ROUTING_TRAFFICSPLITTER_H
#define HICKORYLIFT_ROUTING_TRAFFICSPLITTER_H

#include "config/Config.h"

#include <map>
#include <random>
#include <string>
#include <vector>

// TrafficSplitter distributes the calls of a split route over its parts in
// proportion to their weights. Among any consecutive calls of one entry, the
// count of a part differs from its share by one at most if there are two parts,
// and by less than two if there are more; a random choice for each call would
// be off by the square root of the number of calls.
//
//   TrafficSplitter Splitter(/*Seed=*/7);
//   const SplitPart &Part = Route.Parts[Splitter.next(Route)];
//
// Each call goes to a part with the probability of its weight, whatever the
// number of calls before it. So the shares also hold over the calls of many
// entries that have each made only a few.

namespace hickorylift {

class TrafficSplitter {
public:
  /// Entries that split the same routes need different seeds.
  explicit TrafficSplitter(uint64_t Seed) : Random(Seed) {}

  /// Returns the index of the part that receives the next call of SplitRoute.
  size_t next(const Route &SplitRoute);
  /// Discards the state of all routes that the configuration does not have.
  void retainOnly(const Config &Active);
  /// Number of routes whose state is kept.
  size_t routeCount() const { return this->ByRoute.size(); }

private:
  struct RouteState {
    std::vector<uint32_t> Weights;
    // What each part is owed, in units of weight; the sum is zero.
    std::vector<int64_t> Credit;

    size_t advance();
  };

  void start(RouteState &State, std::vector<uint32_t> Weights);

  std::map<std::string, RouteState> ByRoute;
  std::mt19937_64 Random;
};

} // namespace hickorylift

#endif
