#ifndef HICKORYLIFT_ROUTING_LOADBALANCER_H
#define HICKORYLIFT_ROUTING_LOADBALANCER_H

#include "base/Time.h"
#include "calls/Message.h"
#include "membership/Membership.h"
#include "routing/SpilloverController.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

// LoadBalancer selects the gate to which an entry sends a call. It estimates
// load, run time, round-trip time and failure rate of each gate from the
// answers that the entry has received.
//
//   LoadBalancer Balancer(LoadBalancer::Options(), "north", "portal-1",
//                         /*Seed=*/7);
//   const Instance *Gate = Balancer.pick(Upstreams, Tried, Now);
//   Balancer.recordStart(Gate->Name);
//   Balancer.recordEnd(Gate->Name, /*Answered=*/true, Took, Now);
//   Balancer.recordLoad(Gate->Name, Load, Now);

namespace hickorylift {

class LoadBalancer {
public:
  /// ShortestExpectedTime is the policy for production. The others are
  /// baselines to compare it with.
  enum class Policy {
    ShortestExpectedTime,
    HotCold,
    Random,
    RoundRobin,
    LeastLoaded
  };

  /// Describes the call for which a gate is selected.
  struct CallInfo {
    /// Length of the request body.
    uint64_t BodyBytes = 0;
    /// An answer within this time is worth most to the caller; zero if the
    /// route has no target.
    Millis TargetLatency{0};
    /// Name of the route. Calls of one route take about the same time.
    std::string Route;
  };

  struct Options {
    Policy SelectionPolicy = Policy::ShortestExpectedTime;
    /// Number of gates compared for one call: by HotCold, and by
    /// ShortestExpectedTime. If there are no more gates than this, all are
    /// compared; of many, a random sample keeps a decision cheap.
    size_t HotColdSampleSize = 3;
    size_t SampleSize = 12;
    /// How many gates of the sample of ShortestExpectedTime are in remote data
    /// centres, if there are as many; the others are local. If samples of eight
    /// were drawn from all gates alike, one sample in six would contain no
    /// local gate in a fleet of five data centres, and its call would leave the
    /// data centre without need. With only two remote gates, free capacity in
    /// remote data centres is found too rarely.
    size_t RemoteSampleSize = 6;
    /// Run time assumed for a route until a gate has reported one.
    Micros InitialRunTime{20000};
    /// Slots assumed for a gate if neither it nor its list entry gives any.
    uint32_t InitialSlots = 8;
    /// Lower bounds of the round-trip time to a gate in the local and in a
    /// remote data centre. RemoteTargetShare and RemoteCostPerKilobyte set how
    /// much longer a local wait is accepted before a call leaves the data
    /// centre, because traffic between data centres is expensive and the
    /// connection may be cut: a share of the target latency, since an answer
    /// well before its target is worth no more to the caller, and a time for
    /// each kilobyte of the body.
    Micros MinLocalRtt{500};
    Micros MinRemoteRtt{5000};
    double RemoteTargetShare = 0.3;
    Micros RemoteCostPerKilobyte{2000};
    /// Each expected time is lengthened by a random share of at most this much,
    /// so that entries which receive the same reports at the same time do not
    /// all select the same gate.
    double JitterShare = 0.2;
    /// Weight of the newest answer in a gate's failure rate, the time that a
    /// certain failure costs if a call has no target latency, and the time in
    /// which a failure rate halves.
    double FailureWeight = 0.1;
    Millis FailureCost{300};
    Millis FailureHalfLife{1000};
    /// A gate whose upstream sheds calls costs more than the gate of the sample
    /// that sheds least, like one that fails. A smaller difference of the
    /// shares counts as none, because both are estimates from a few dozen
    /// calls. A report loses half of its weight in ShedHalfLife, so that the
    /// gate is tried again. The least share is taken from reports no older than
    /// ShedMaxAge.
    double MinShedDifference = 0.2;
    Millis ShedHalfLife{500};
    Millis ShedMaxAge{2000};
    /// Times in which the queue and the latency factor of a gate halve in
    /// weight after its last report of them.
    Millis QueueHalfLife{200};
    Millis LatencyFactorHalfLife{3000};
    /// Whether the slowdowns that gates report are used, and the half-life with
    /// which a reported slowdown returns to 1, the usual speed.
    bool FollowSlowdowns = false;
    Millis SlowdownHalfLife{300};
    /// Weight of one answer in the round-trip time to a gate, and the time in
    /// which a long round-trip time halves: while no calls are sent to a gate,
    /// no answer can show that its link is free again.
    double RttWeight = 0.3;
    Millis RttHalfLife{1000};
    /// A body longer than this is long. How long it takes until such a body has
    /// arrived at a gate shows only in the answers to calls with long bodies.
    uint64_t LongBodyBytes = 16 * 1024;
    /// Weight of one run in a route's usual run time.
    double RunTimeWeight = 0.05;
    /// Weight of one run in a gate's latency factor: at least
    /// LatencyFactorWeight, and more the longer ago the previous run was. The
    /// weight of the old value halves in LatencyFactorUpdateHalfLife.
    double LatencyFactorWeight = 0.1;
    Millis LatencyFactorUpdateHalfLife{1000};
    /// Number of routes whose usual run time is remembered.
    size_t MaxRoutes = 10000;
    /// HotCold ignores load reports older than this.
    Millis LoadMaxAge{1000};
    /// HotCold considers a gate full (hot) from this share of its slots on.
    double HotThreshold = 0.9;
    /// Consecutive failures after which a gate is ejected, and for how long.
    uint32_t EjectAfter = 3;
    Millis EjectFor{2000};
    /// If more than this share of a service's gates is ejected, ejected gates
    /// are selected like the others.
    double MaxEjectedShare = 0.5;
    /// Bounds of the time for which a gate without capacity is left out. If it
    /// were left out longer, its slots would be idle until calls are sent to it
    /// again.
    Millis MinFullBackoff{1};
    Millis MaxFullBackoff{50};
    /// Weight of the newest answer in the mean latency, for HotCold.
    double LatencyWeight = 0.2;
    /// Time in which the mean latency of a gate halves while it receives no
    /// calls: a gate that is not selected cannot show that it has become
    /// faster.
    Millis LatencyHalfLife{1000};
    /// When calls may leave the data centre. Used only by ShortestExpectedTime.
    SpilloverController::Options Spillover;
  };

  LoadBalancer(Options Opts, std::string DataCentre, std::string Self,
               uint64_t Seed)
      : Opts(Opts), DataCentre(std::move(DataCentre)), Self(std::move(Self)),
        Random(Seed), Spillover(Opts.Spillover, this->DataCentre) {}

  /// Selects a gate, or returns null if none is available. Prefers the gate of
  /// this node while it has capacity, then gates of the local data centre, then
  /// remote ones.
  const Instance *pick(const std::vector<const Instance *> &Upstreams,
                       const std::set<std::string> &Tried, TimePoint Now,
                       const CallInfo &Call);
  const Instance *pick(const std::vector<const Instance *> &Upstreams,
                       const std::set<std::string> &Tried, TimePoint Now) {
    return this->pick(Upstreams, Tried, Now, CallInfo());
  }

  /// Records that a call was sent to the gate.
  void recordStart(const std::string &Gate);
  /// Records that a call ended. Answered is false if the gate or its link
  /// failed.
  void recordEnd(const std::string &Gate, bool Answered, Clock::duration Took,
                 TimePoint Now);
  /// Records whether an answer of the upstream reports a failure of its own.
  void recordOutcome(const std::string &Gate, bool Failure, TimePoint Now);
  /// Records the share of calls that the gate's upstream sheds although it has
  /// free slots, as a percentage.
  void recordShedding(const std::string &Gate, uint32_t ShedPercent,
                      TimePoint Now);
  /// Records how long a call of Route ran at the upstream, without the wait for
  /// a slot.
  void recordRunTime(const std::string &Gate, const std::string &Route,
                     Micros Length, TimePoint Now);
  /// Records the round-trip time of a call.
  void recordRtt(const std::string &Gate, Micros Rtt, TimePoint Now);
  /// For a call with a long body: records the time until its answer, without
  /// the run at the upstream.
  void recordBodyTransfer(const std::string &Gate, Micros Took, TimePoint Now);
  /// Records the load that the gate reports.
  void recordLoad(const std::string &Gate, const wire::Load &Load,
                  TimePoint Now);
  /// Records how long runs take at the gate at this moment, as a percentage of
  /// their usual time; 0 if the gate does not know.
  void recordSlowdown(const std::string &Gate, uint32_t Percent, TimePoint Now);
  /// The gate refused a call for lack of capacity. It is left out until one of
  /// its slots is likely to be free, and at least for RetryAfter, the time for
  /// which the gate itself expects none.
  void recordRefusal(const std::string &Gate, Millis RetryAfter, TimePoint Now);
  /// The gate refused a call because its free slots are reserved for more
  /// urgent calls. It is not left out, so that those can be sent to it.
  void recordReserveRefusal(const std::string &Gate, TimePoint Now);
  /// The gate accepts no new calls. It is left out until an answer of it shows
  /// that it accepts calls again, see clearDraining(), or until
  /// updateInstance() or retainOnly() removes the mark.
  void markDraining(const std::string &Gate);
  void clearDraining(const std::string &Gate);
  /// The gate's address does not answer, or another process than the expected
  /// one answers. The gate is left out for EjectFor or until markReachable(),
  /// even if no other gate is left: unlike failed answers this is certain, and
  /// a call that would wait there can be refused at once.
  void markUnreachable(const std::string &Gate, TimePoint Now);
  void markReachable(const std::string &Gate);
  /// Takes over a gate's entry in the instance list. If the entry names another
  /// start of the upstream than before, everything recorded for the last one is
  /// discarded: its latency factor, failures and drain mark would keep calls
  /// away from a healthy gate. A drain mark also ends when the list withdraws
  /// the reason why the gate closed: the gate is listed again, or is no longer
  /// marked as leaving.
  void updateInstance(const Instance &Gate);
  /// Removes the gates that are on no list any more.
  void retainOnly(const std::set<std::string> &Listed);

  const SpilloverController &spillover() const { return this->Spillover; }
  void setSpilloverHook(SpilloverController::ChangeHook Hook) {
    this->Spillover.setChangeHook(std::move(Hook));
  }

  /// Number of calls of this entry at the gate that have not ended.
  uint32_t outstanding(const std::string &Gate) const;
  bool isEjected(const std::string &Gate, TimePoint Now) const;
  /// Whether calls may be sent to the gate, as far as this entry knows.
  bool isAvailable(const Instance &Gate, TimePoint Now) const;
  /// The time until the first of the gates that refused for lack of capacity
  /// may be asked again; nothing if no gate is left out for that reason.
  std::optional<Millis>
  shortestRetryAfter(const std::vector<const Instance *> &Upstreams,
                     TimePoint Now) const;

  /// How long a call of the route usually runs; nothing until a gate has
  /// reported it.
  std::optional<Micros> usualRunTime(const std::string &Route) const;

private:
  struct GateState {
    // Calls of this entry that have not ended.
    uint32_t Outstanding = 0;
    // Calls sent since the gate last reported its load.
    uint32_t SentSinceReport = 0;
    // Run times at this gate relative to those at all gates, each compared
    // within its route; 0 if unknown.
    double LatencyFactor = 0;
    TimePoint LatencyFactorAt;
    // The run time at the gate at SlowdownAt, divided by the usual run time
    // there.
    double Slowdown = 1;
    TimePoint SlowdownAt;
    // Round-trip time in microseconds.
    double RttUs = 0;
    TimePoint RttAt;
    // The same for calls with long bodies, including the wait at the gate.
    double BodyRttUs = 0;
    TimePoint BodyRttAt;
    double FailureRate = 0;
    TimePoint FailureRateAt;
    // Share of calls that the upstream sheds with free slots.
    double ShedShare = 0;
    std::optional<TimePoint> ShedShareAt;
    wire::Load Load;
    std::optional<TimePoint> LoadAt;
    double MeanLatencyUs = 0;
    TimePoint LatencyAt;
    uint32_t ConsecutiveFailures = 0;
    TimePoint EjectedUntil;
    TimePoint FullUntil;
    TimePoint UnreachableUntil;
    bool Draining = false;
    // Name and incarnation of the upstream for which all this was recorded.
    std::optional<std::pair<std::string, uint64_t>> UpstreamStart;
    // Whether the gate is on the instance list, and marked there as leaving.
    bool Listed = false;
    bool Leaving = false;
    SpilloverController::PlaceId Place = 0;
    // When the gate last refused a call for lack of capacity, or because its
    // free slots are reserved for more urgent calls.
    std::optional<TimePoint> RefusedAt;
  };

  std::vector<const Instance *>
  usableGates(const std::vector<const Instance *> &Upstreams,
              const std::set<std::string> &Tried, TimePoint Now);
  const Instance *pickSelf(const std::vector<const Instance *> &Candidates,
                           TimePoint Now);
  const Instance *pickByPolicy(std::vector<const Instance *> Candidates,
                               TimePoint Now);
  const Instance *pickHotCold(std::vector<const Instance *> &Candidates,
                              TimePoint Now);
  const Instance *
  pickShortestExpectedTime(const std::vector<const Instance *> &Candidates,
                           bool RefusedLocally, const CallInfo &Call,
                           TimePoint Now);
  std::vector<const Instance *>
  sampleGates(const std::vector<const Instance *> &Candidates,
              bool RefusedLocally, TimePoint Now);
  std::vector<const Instance *>
  spilloverCandidates(const std::string &Service, RemoteGates Remote,
                      bool HasLocal, bool RefusedLocally, TimePoint Now);
  bool wasRefusedLocally(const std::set<std::string> &Tried,
                         TimePoint Now) const;
  double
  bestLatencyFactor(const std::vector<const Instance *> &Candidates) const;
  double expectedTime(const Instance &Gate, const GateState &State,
                      double BestFactor, const CallInfo &Call,
                      TimePoint Now) const;
  double networkTime(const Instance &Gate, const GateState &State,
                     const CallInfo &Call, TimePoint Now) const;
  double failureRate(const GateState &State, TimePoint Now) const;
  double lowestShedShare(const std::vector<const Instance *> &Sample,
                         TimePoint Now) const;
  double shedCost(const GateState &State, double LowestShare,
                  const CallInfo &Call, TimePoint Now) const;
  double slowdown(const GateState &State, TimePoint Now) const;
  double utilization(const GateState &State, TimePoint Now) const;
  double expectedLatency(const GateState &State, TimePoint Now) const;

  Options Opts;
  std::string DataCentre;
  std::string Self;
  std::mt19937_64 Random;
  SpilloverController Spillover;
  // Why the last call was given the remote gate RemotePick. Counted and cleared
  // by recordStart() of that gate.
  std::optional<SpilloverController::Reason> RemoteReason;
  std::string RemotePick;
  std::map<std::string, GateState> Gates;
  // Usual run time of a route in microseconds, over all gates.
  std::map<std::string, double> UsualRunTime;
  // For RoundRobin: the next index for each service.
  std::map<std::string, size_t> NextIndex;
};

} // namespace hickorylift

#endif
