#ifndef HICKORYLIFT_ROUTING_LOADBALANCER_H
#define HICKORYLIFT_ROUTING_LOADBALANCER_H

#include "base/Time.h"
#include "base/TokenBucket.h"
#include "calls/Message.h"
#include "membership/Membership.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

// A LoadBalancer picks the gate for a call, from what the answers of the gates
// themselves have shown.
//
//   LoadBalancer Choose(LoadBalancer::Options(), "north", "portal-1",
//   /*Seed=*/7); const Instance *Gate = Choose.pick(Upstreams, Tried, Now);
//   Choose.recordStart(Gate->Name);
//   Choose.recordEnd(Gate->Name, /*Answered=*/true, Took, Now);
//   Choose.recordLoad(Gate->Name, Load, Now);

namespace hickorylift {

class LoadBalancer {
public:
  /// Soonest is ours; the others are there to measure it against.
  enum class Policy {
    ShortestExpectedTime,
    HotCold,
    Random,
    RoundRobin,
    LeastLoaded
  };

  /// What is to be placed.
  struct CallInfo {
    /// Of the request's body.
    uint64_t BodyBytes = 0;
    /// Within this an answer is worth most; zero where nothing is said.
    Millis TargetLatency{0};
    /// Calls of one route take about as long as each other.
    std::string Route;
  };

  struct Options {
    Policy SelectionPolicy = Policy::ShortestExpectedTime;
    /// Candidates drawn for one call, by Hot and by Soonest. Few gates are all
    /// looked at; among many, a draw keeps a decision cheap.
    size_t HotColdSampleSize = 3;
    size_t SampleSize = 12;
    /// So many of those that Soonest draws are of other data centres, if there
    /// are as many; the others are of the own one. Drawn from all gates alike,
    /// one draw of eight in six holds none of the own one where there are five
    /// data centres, and its call crosses for nothing; with two of other ones,
    /// the room that these have is found too seldom.
    size_t RemoteSampleSize = 6;
    /// Run time assumed where no gate of a service has told any.
    Micros InitialRunTime{20000};
    /// Slots assumed of a gate that has told nothing.
    uint32_t InitialSlots = 8;
    /// The way to a gate of the own data centre, and how much longer a wait is
    /// accepted there before a call leaves the data centre: bytes between data
    /// centres are dear, and the way may be cut. A share of the target besides:
    /// an answer well before its target is worth no more to its caller. More
    /// for each kilobyte of body.
    Micros MinLocalRtt{500};
    Micros MinRemoteRtt{5000};
    double RemoteTargetShare = 0.3;
    Micros RemoteCostPerKilobyte{2000};
    /// Entries that learn the same at the same time must not all choose the
    /// same gate: each expected time is drawn up to this share longer.
    double JitterShare = 0.2;
    /// Weight of the newest answer in a gate's share of failures, what a sure
    /// failure counts as, and the time in which a share halves.
    double FailureWeight = 0.1;
    Millis FailureCost{300};
    Millis FailureHalfLife{1000};
    /// What a gate said of its queue, and of its run time, halves in weight.
    Millis QueueHalfLife{200};
    Millis LatencyFactorHalfLife{3000};
    /// Weight of one answer in what the way to a gate takes, there and back,
    /// and the time in which a way that was long halves: one that nobody is
    /// sent over cannot show that it is free again.
    double RttWeight = 0.3;
    Millis RttHalfLife{1000};
    /// A body from this length on is long. What it takes until it is whole at a
    /// gate shows in the answers to such calls only.
    uint64_t LongBodyBytes = 16 * 1024;
    /// Weight of one run in a route's usual time, and of one in a gate's pace:
    /// at least that, and more the longer ago the last one was, by half for
    /// each second.
    double RunTimeWeight = 0.05;
    double LatencyFactorWeight = 0.1;
    Millis LatencyFactorUpdateHalfLife{1000};
    /// Routes whose usual time is remembered.
    size_t MaxRoutes = 10000;
    /// What a gate said of its load counts for this long.
    Millis LoadMaxAge{1000};
    /// A gate is full, for the draw, from this share of its slots on.
    double HotThreshold = 0.9;
    /// Failures in a row that eject a gate, and for how long.
    uint32_t EjectAfter = 3;
    Millis EjectFor{2000};
    /// At most this share of a service's gates is ejected at once.
    double MaxEjectedShare = 0.5;
    /// Bounds of how long a gate without room is left out. Longer, and its
    /// slots stand idle before anyone comes back.
    Millis MinFullBackoff{1};
    Millis MaxFullBackoff{50};
    /// Weight of the newest answer in the mean latency.
    double LatencyWeight = 0.2;
    /// A gate that is not chosen cannot show that it has become faster: what
    /// it is remembered for halves in this time.
    Millis LatencyHalfLife{1000};
  };

  LoadBalancer(Options Opts, std::string DataCentre, std::string Self,
               uint64_t Seed)
      : Opts(Opts), DataCentre(std::move(DataCentre)), Self(std::move(Self)),
        Random(Seed) {}

  /// Null where no candidate is left. Own upstream first while it has room,
  /// then the own data centre, then the others.
  const Instance *pick(const std::vector<const Instance *> &Upstreams,
                       const std::set<std::string> &Tried, TimePoint Now,
                       const CallInfo &For);
  const Instance *pick(const std::vector<const Instance *> &Upstreams,
                       const std::set<std::string> &Tried, TimePoint Now) {
    return this->pick(Upstreams, Tried, Now, CallInfo());
  }

  void recordStart(const std::string &Gate);
  /// A call ended. Answered is false if the gate or its link failed.
  void recordEnd(const std::string &Gate, bool Answered, Clock::duration Took,
                 TimePoint Now);
  /// An answer of the upstream itself: whether it was a failure of its own.
  void recordOutcome(const std::string &Gate, bool Failure, TimePoint Now);
  /// A call of that route ran so long at the upstream, the wait not counted.
  void recordRunTime(const std::string &Gate, const std::string &Route,
                     Micros Length, TimePoint Now);
  /// An answer was so long on the way, there and back.
  void recordRtt(const std::string &Gate, Micros Way, TimePoint Now);
  /// A call with a long body was answered, and so long of that was not its run.
  void recordBodyTransfer(const std::string &Gate, Micros Took, TimePoint Now);
  void recordLoad(const std::string &Gate, const wire::Load &Load,
                  TimePoint Now);
  /// The gate refused for want of room; it is left out until one of its slots
  /// is likely to have come free, and while it has said that none does.
  void recordRefusal(const std::string &Gate, Millis RoomIn, TimePoint Now);
  /// The gate takes nothing new. It stays out until the list forgets it, or
  /// until it answers again.
  void markDraining(const std::string &Gate);
  void clearDraining(const std::string &Gate);
  /// Nobody answers there, or not who was meant; it is left out for a while,
  /// or until somebody does, also where no other is left. Unlike failed answers
  /// this is certain, and a call that waits there could be refused at once.
  void markUnreachable(const std::string &Gate, TimePoint Now);
  void markReachable(const std::string &Gate);
  /// What the list says of a gate. If another start of its upstream stands
  /// there now, what was learnt of the last one is forgotten: its pace, its
  /// failures and its drain mark would keep callers from one that is well. A
  /// drain mark ends also where the list takes back why the gate closed: the
  /// gate is on it again, or is not leaving any more.
  void updateInstance(const Instance &One);
  /// Forgets the gates that are on no list any more.
  void retainOnly(const std::set<std::string> &Listed);

  bool isEjected(const std::string &Gate, TimePoint Now) const;
  /// Whether it may be sent anything, for all that is known.
  bool isAvailable(const Instance &Gate, TimePoint Now) const;
  /// In what time the first of the gates that refused for want of room may be
  /// asked again; nothing where none of them did so lately.
  std::optional<Millis>
  shortestRetryAfter(const std::vector<const Instance *> &Upstreams,
                     TimePoint Now) const;

private:
  struct State {
    uint32_t Outstanding = 0;
    // Sent since the gate last told its load.
    uint32_t SentSince = 0;
    // Its run times against those of all gates, route by route; 0 where
    // nothing is known.
    double Pace = 0;
    TimePoint PaceAt;
    // Microseconds that the way takes, there and back.
    double Way = 0;
    TimePoint WayAt;
    // The same of calls with long bodies, the wait at the gate included.
    double BodyWay = 0;
    TimePoint BodyWayAt;
    double FailShare = 0;
    TimePoint FailAt;
    wire::Load Load;
    std::optional<TimePoint> LoadAt;
    double MeanLatencyUs = 0;
    TimePoint LatencyAt;
    uint32_t FailuresInRow = 0;
    TimePoint EjectedUntil;
    TimePoint FullUntil;
    TimePoint UnreachableUntil;
    bool Draining = false;
    // Which start of which upstream all this was learnt of.
    std::optional<std::pair<std::string, uint64_t>> Start;
    // What the list says of it.
    bool Listed = false;
    bool Leaving = false;
  };

  std::vector<const Instance *>
  usable(const std::vector<const Instance *> &Upstreams,
         const std::set<std::string> &Tried, TimePoint Now);
  const Instance *pickOwn(const std::vector<const Instance *> &Among,
                          TimePoint Now);
  const Instance *pickAmong(std::vector<const Instance *> Among, TimePoint Now);
  const Instance *pickHot(std::vector<const Instance *> &Among, TimePoint Now);
  const Instance *pickSoonest(const std::vector<const Instance *> &Among,
                              const CallInfo &For, TimePoint Now);
  std::vector<const Instance *>
  drawSoonest(const std::vector<const Instance *> &Among);
  double bestPace(const std::vector<const Instance *> &Among) const;
  double expected(const Instance &Gate, const State &Of, double BestPace,
                  const CallInfo &For, TimePoint Now) const;
  double way(const Instance &Gate, const State &Of, const CallInfo &For,
             TimePoint Now) const;
  double failShare(const State &Of, TimePoint Now) const;
  double share(const State &Of, TimePoint Now) const;
  double cost(const State &Of, TimePoint Now) const;

  Options Opts;
  std::string DataCentre;
  std::string Self;
  std::mt19937_64 Random;
  std::map<std::string, State> Gates;
  // Microseconds that a call of the route usually runs, at all gates together.
  std::map<std::string, double> UsualRun;
  std::map<std::string, size_t> NextInTurn;
};

/// Retries allowed for each service: a share of the first tries, so that a
/// failing service is not asked ever more often for failing.
class RetryBudget {
public:
  /// Percent of first tries, and the reserve that an idle service has.
  explicit RetryBudget(double Reserve = 10)
      : Reserve(Reserve), Tokens(0, Reserve) {}

  void recordFirstTry(double Percent) { this->Tokens.earn(Percent / 100); }
  bool spendRetry(TimePoint Now) { return this->Tokens.take(Now); }
  /// What this node may keep of a reserve that all nodes share.
  void limitReserve(double New) {
    if (New < this->Reserve)
      this->Tokens = TokenBucket(0, New);
    this->Reserve = std::min(this->Reserve, New);
  }

private:
  double Reserve;
  TokenBucket Tokens;
};

} // namespace hickorylift

#endif
