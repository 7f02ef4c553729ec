#ifndef HICKORYLIFT_ROUTING_CHOOSER_H
#define HICKORYLIFT_ROUTING_CHOOSER_H

#include "base/Time.h"
#include "base/TokenBucket.h"
#include "calls/Message.h"
#include "membership/Membership.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// A Chooser picks the gate for a call, from what the answers of the gates
// themselves have shown.
//
//   Chooser Choose(Chooser::Options(), "north", "portal-1", /*Seed=*/7);
//   const Instance *Gate = Choose.pick(Upstreams, Tried, Now);
//   Choose.started(Gate->Name);
//   Choose.ended(Gate->Name, /*Answered=*/true, Took, Now);
//   Choose.learn(Gate->Name, Load, Now);

namespace hickorylift {

class Chooser {
public:
  /// Other policies, to measure ours against.
  enum class Policy { Hot, Random, RoundRobin, LeastLoaded };

  struct Options {
    /// Hot is ours; the others are for the bench.
    Policy How = Policy::Hot;
    /// Candidates drawn for one call.
    size_t Draw = 3;
    /// What a gate said of its load counts for this long.
    Millis LoadFresh{1000};
    /// A gate is full, for the draw, from this share of its slots on.
    double FullShare = 0.9;
    /// Failures in a row that eject a gate, and for how long.
    uint32_t EjectAfter = 3;
    Millis EjectFor{2000};
    /// At most this share of a service's gates is ejected at once.
    double MaxEjected = 0.5;
    /// Bounds of how long a gate without room is left out. Longer, and its
    /// slots stand idle before anyone comes back.
    Millis ShortestFull{1};
    Millis LongestFull{50};
    /// Weight of the newest answer in the mean latency.
    double LatencyWeight = 0.2;
    /// A gate that is not chosen cannot show that it has become faster: what
    /// it is remembered for halves in this time.
    Millis LatencyHalfLife{1000};
  };

  Chooser(Options Opts, std::string DataCentre, std::string Self, uint64_t Seed)
      : Opts(Opts), DataCentre(std::move(DataCentre)), Self(std::move(Self)),
        Random(Seed) {}

  /// Null where no candidate is left. Own upstream first while it has room,
  /// then the own data centre, then the others.
  const Instance *pick(const std::vector<const Instance *> &Upstreams,
                       const std::set<std::string> &Tried, TimePoint Now);

  void started(const std::string &Gate);
  /// A call ended. Answered is false if the gate or its link failed.
  void ended(const std::string &Gate, bool Answered, Clock::duration Took,
             TimePoint Now);
  void learn(const std::string &Gate, const wire::Load &Load, TimePoint Now);
  /// The gate refused for want of room; it is left out until one of its slots
  /// is likely to have come free.
  void refused(const std::string &Gate, TimePoint Now);
  /// The gate takes nothing new. It stays out until the list forgets it, or
  /// until it answers again.
  void draining(const std::string &Gate);
  void ready(const std::string &Gate);
  /// Forgets the gates that are on no list any more.
  void keepOnly(const std::set<std::string> &Listed);

  bool isEjected(const std::string &Gate, TimePoint Now) const;
  /// The soonest time at which a gate that refused may be asked again.
  Millis soonest(const std::vector<const Instance *> &Upstreams,
                 TimePoint Now) const;

private:
  struct State {
    uint32_t Outstanding = 0;
    wire::Load Load;
    std::optional<TimePoint> LoadAt;
    double MeanLatencyUs = 0;
    TimePoint LatencyAt;
    uint32_t FailuresInRow = 0;
    TimePoint EjectedUntil;
    TimePoint FullUntil;
    bool Draining = false;
  };

  std::vector<const Instance *>
  usable(const std::vector<const Instance *> &Upstreams,
         const std::set<std::string> &Tried, TimePoint Now);
  const Instance *pickOwn(const std::vector<const Instance *> &Among,
                          TimePoint Now);
  const Instance *pickAmong(std::vector<const Instance *> Among, TimePoint Now);
  const Instance *pickHot(std::vector<const Instance *> &Among, TimePoint Now);
  double share(const State &Of, TimePoint Now) const;
  double cost(const State &Of, TimePoint Now) const;

  Options Opts;
  std::string DataCentre;
  std::string Self;
  std::mt19937_64 Random;
  std::map<std::string, State> Gates;
  std::map<std::string, size_t> NextInTurn;
};

/// Retries allowed for each service: a share of the first tries, so that a
/// failing service is not asked ever more often for failing.
class RetryBudget {
public:
  /// Percent of first tries, and the reserve that an idle service has.
  explicit RetryBudget(double Reserve = 10) : Tokens(0, Reserve) {}

  void firstTry(double Percent) { this->Tokens.earn(Percent / 100); }
  bool retry(TimePoint Now) { return this->Tokens.take(Now); }

private:
  TokenBucket Tokens;
};

} // namespace hickorylift

#endif
