#ifndef HICKORYLIFT_ROUTING_NODERANK_H
#define HICKORYLIFT_ROUTING_NODERANK_H

#include "base/Hash.h"
#include "base/Time.h"

#include <cstdint>
#include <string>

// A NodeRank says how far behind others the calls of one node stand at gates
// that are short of room, for a while; then the ranks are dealt anew.
//
// A run that makes two calls is lost if either finds no room. Were each call
// refused by chance, at three in four admitted one run in two would succeed,
// and a fifth of the room would go to runs that fail. With ranks the same nodes
// are refused for a while, so most runs have both of their calls or fail at the
// first. DAGOR does the same with a hash of the user (Zhou et al., "Overload
// control for scaling WeChat microservices", SoCC 2018); we know no user, and
// the node at which calls enter serves as well.
//
//   NodeRank Rank(NodeRank::Options(), /*Seed=*/7);
//   Open.rank = Rank.at(Now);      // 0 stands first, 255 last

namespace hickorylift {

class NodeRank {
public:
  struct Options {
    /// Several times the longest runs, so that few of them see a change.
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
