#ifndef HICKORYLIFT_ROUTING_NODERANK_H
#define HICKORYLIFT_ROUTING_NODERANK_H

#include "base/Hash.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

// NodeRank gives the calls that enter at one node a pseudo-random rank, which
// overloaded gates use to decide whose calls to refuse first. All ranks change
// at the start of each epoch.
//
// A run that makes two calls is lost if either is refused for lack of capacity.
// If each call were refused at random with three in four admitted, only about
// one run in two would succeed, and a fifth of the capacity would be spent on
// runs that fail. With ranks, the calls of the same nodes are refused for a
// while, so most runs have both calls admitted or fail at the first. DAGOR does
// the same with a hash of the user (Zhou et al., "Overload control for scaling
// WeChat microservices", SoCC 2018). Users are not known here; the node at
// which a call enters serves as well.
//
//   NodeRank Rank(NodeRank::Options(), /*Seed=*/7);
//   Open.rank = Rank.at(Now);      // 0 is served first, 255 last

namespace hickorylift {

class NodeRank {
public:
  struct Options {
    /// How long ranks stay the same: several times the length of the longest
    /// runs, so that few runs span a change.
    Millis Epoch{2000};
  };

  NodeRank(Options Opts, uint64_t Seed) : Opts(Opts), Seed(Seed) {}

  uint8_t at(TimePoint Now) const {
    auto Epoch =
        static_cast<uint64_t>(Now.time_since_epoch() / this->Opts.Epoch);
    return static_cast<uint8_t>(
        contentHash(std::to_string(this->Seed) + "/" + std::to_string(Epoch)));
  }

private:
  Options Opts;
  uint64_t Seed;
};

} // namespace hickorylift

#endif
