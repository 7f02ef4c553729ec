#ifndef HICKORYLIFT_GATE_ADMISSION_H
#define HICKORYLIFT_GATE_ADMISSION_H

#include "base/TokenBucket.h"
#include "calls/Message.h"
#include "config/Config.h"
#include "gate/ColdStartLimiter.h"
#include "gate/PriorityReserve.h"
#include "gate/StatedRateLimiter.h"

#include <map>
#include <random>
#include <set>
#include <vector>

// Admission decides whether a call may run at an upstream: at once, after
// waiting in a queue, or not at all. One Admission sees every call for its
// upstream, so the limits hold without any shared state.
//
//   Admission Slots(/*Opts=*/{}, /*Seed=*/7);
//   Slots.configure(Service, Now);
//   Admission::Result Result =
//       Slots.admit({Id, Deadline, Priority, CallerClass, Target}, Now);
//   if (Result.Action == Admission::Decision::Run)
//     start(Id);
//   ...
//   Slots.finished(Id, /*Answered=*/true, Now);
//   for (CallId Id : Slots.advanceQueue(Now).ToRun)
//     start(Id);

namespace hickorylift {

class Admission {
public:
  struct Options {
    /// Lowest weight of the newest call in the mean run time. The weight is
    /// higher the more time has passed since the previous call: the older mean
    /// loses half of its weight with each half-life. Without this, an upstream
    /// that was slow while it was cold would be taken for slow for ever,
    /// because it would get no calls that could show otherwise.
    double LatencyWeight = 0.1;
    Millis LatencyHalfLife{1000};
    /// Assumed run time until the first call has ended.
    Millis InitialLatency{20};
    /// A queued call is dropped when the time left until its deadline is less
    /// than this share of the mean run time: it would most likely end too late.
    double MinRunTimeShare = 1.0;
    /// Run times vary, so a call counts as able to meet its target only if this
    /// many times the mean run time still fits. A call for which just the mean
    /// fits may well end late after it has used a slot; a much larger margin
    /// refuses calls that would have been in time
    /// (docs/design/deciding-under-load.md).
    double TargetMargin = 1.25;
    /// How much later the latest start of a call of the last rank is assumed to
    /// be than that of a call of the first rank. As long as the shortest
    /// targets that callers ask for: a smaller value hardly separates the calls
    /// of one route, and a larger one puts calls of routes with long targets
    /// behind all others (docs/design/deciding-under-load.md).
    Millis RankSpread{120};
    /// How much earlier the latest start of a nested call is assumed to be than
    /// that of another call of its priority: the run that makes the call holds
    /// a slot while it waits. An ordinary call whose latest start is earlier by
    /// more than this is not overtaken.
    Millis NestedLead{300};
    /// Each call that starts without the lead allows this many nested calls to
    /// have it. At most MaxNestedLeads unused leads are kept. Without this
    /// limit, all other calls would starve where nested calls alone exceed the
    /// capacity, whatever the targets are.
    double NestedLeadsPerStart = 3;
    double MaxNestedLeads = 20;
    /// Number of call kinds whose run time is recorded.
    size_t MaxKinds = 1000;
    /// When the upstream sheds, the slots in use are multiplied by ShedFactor;
    /// each answer adds IncreasePerAnswer slots again.
    double ShedFactor = 0.7;
    double IncreasePerAnswer = 0.05;
    /// Bounds of the retry delay that a refused caller is given, before the
    /// random part is added.
    Millis MinRetryAfter{20};
    Millis MaxRetryAfter{5000};
    /// Whether a returning call may wait although it can no longer meet its
    /// target, and whether a call that is refused for lack of capacity is told
    /// to come back after at least one usual run of its kind.
    bool FavoursReturning = false;
    /// Limits for an upstream that has just started.
    ColdStartLimiter::Options ColdStartOpts;
    /// Limits for an upstream that states the rate of calls that it takes.
    StatedRateLimiter::Options StatedRateOpts;
    /// Slots that are kept free for more urgent calls.
    PriorityReserve::Options ReserveOpts;
    Safeguards Guards;
  };

  enum class Decision { Run, Wait, Refuse };

  struct Request {
    CallId Id;
    TimePoint Deadline;
    /// 0 is the most urgent priority.
    uint32_t Priority = 4;
    std::string CallerClass;
    /// An answer after the target is worth less to the caller, and an answer
    /// after the deadline is worth nothing. A target later than the deadline
    /// means that only the deadline counts.
    TimePoint Target = TimePoint::max();
    /// Groups calls that take about the same time; the mean run time is
    /// recorded for each kind.
    std::string Kind;
    /// Rank of the node at which the call entered, see NodeRank: 0 goes first.
    uint8_t Rank = 0;
    /// Its caller was refused before and has come back.
    bool Returning = false;
    /// A run of another upstream makes the call and waits for its answer. This
    /// changes the order of the queue only.
    bool Nested = false;
    /// The limit of the call's route; null if it has none.
    const Limit *RouteLimit = nullptr;
  };

  struct Result {
    Decision Action = Decision::Run;
    Refusal RefusalDetails;
  };

  struct DroppedCall {
    CallId Id;
    Refusal RefusalDetails;
  };

  struct QueueUpdate {
    std::vector<CallId> ToRun;
    std::vector<DroppedCall> ToDrop;
  };

  Admission(Options Opts, uint64_t Seed)
      : Opts(Opts), Rng(Seed), NestedLeads(Opts.MaxNestedLeads),
        ColdLimiter(Opts.ColdStartOpts), RateLimiter(Opts.StatedRateOpts),
        Reserve(Opts.ReserveOpts) {}

  void configure(const Service &Config, TimePoint Now);
  Result admit(const Request &Call, TimePoint Now);
  /// Returns the refusal that the call would get if it were made now, without
  /// checking its route's limit; nothing if it would run or wait.
  std::optional<Result> wouldRefuse(const Request &Call, TimePoint Now);
  /// Whether a hedge may run: a call of which another gate already has a run.
  /// It may if no call waits, and if a quarter of the upstream's slots is still
  /// free after it has started.
  bool canRunHedge(uint32_t Priority, TimePoint Now);
  /// Reserves capacity for a call that is about to be sent, until
  /// releaseReservation(). A returned result means that the call must not be
  /// sent, because the upstream has already received as much as it can handle.
  std::optional<Result> reserveCapacity(TimePoint Now);
  /// Ends a reservation: the request was sent, or will not be.
  void releaseReservation();
  /// A request has been sent to the upstream, by any component. IsCall is false
  /// for a health query: those count against a cold upstream, but not against
  /// the rate that an upstream states for calls.
  void recordSent(bool IsCall, TimePoint Now);
  /// Time until one more call may start at a cold or limited upstream; zero if
  /// one may start now. Says nothing about free slots.
  Clock::duration timeUntilCapacity(TimePoint Now);
  /// Whether a call that starts after Wait is expected to meet its target.
  bool canMeetTarget(const Request &Call, Clock::duration Wait,
                     TimePoint Now) const;
  /// Ends a running or a waiting call. Answered is false if the run says
  /// nothing about the speed of the upstream.
  void finished(const CallId &Id, bool Answered, TimePoint Now);
  /// The upstream refused work because it is overloaded.
  void upstreamShed(TimePoint Now);
  /// Returns the queued calls that may start now and those that are dropped
  /// from the queue, and updates the queue accordingly.
  QueueUpdate advanceQueue(TimePoint Now);

  /// A new process has replaced the upstream: the recorded run times and the
  /// reduced number of slots belonged to the previous one and are reset.
  void upstreamRestarted(TimePoint Now);

  /// Closes the gate to new work for the given reason. The waiting calls are
  /// dropped by the next advanceQueue().
  void drain(const std::string &Reason) { this->DrainReasons.insert(Reason); }
  /// Removes a reason. The gate is open again when no reason is left.
  void reopen(const std::string &Reason) { this->DrainReasons.erase(Reason); }
  bool draining() const { return !this->DrainReasons.empty(); }
  bool isDrainedBy(const std::string &Reason) const {
    return this->DrainReasons.count(Reason) != 0;
  }
  /// The drain reasons, separated by commas.
  std::string drainReasons() const;

  /// The load that is reported to the entries. While the upstream is cold or
  /// states a rate, its slots are the number that the allowed call rate keeps
  /// busy, and the waiting calls are raised by the calls that would start at
  /// that rate in the time until there is capacity again.
  wire::Load load(TimePoint Now);
  ColdStartLimiter &coldStart() { return this->ColdLimiter; }
  StatedRateLimiter &statedRate() { return this->RateLimiter; }
  PriorityReserve &priorityReserve() { return this->Reserve; }
  /// Whether fewer calls run than the upstream has slots. Slots that were
  /// closed because it sheds calls count; those closed by its warm-up or an
  /// allowed call rate do not.
  bool hasFreeSlot(TimePoint Now) const;
  size_t runningCount() const { return this->RunningCalls.size(); }
  size_t waitingCount() const { return this->Queue.size(); }
  /// Returning calls that have waited although they could no longer meet their
  /// targets.
  uint64_t queuedPastTarget() const { return this->PastTargetCount; }

private:
  struct RunningCall {
    TimePoint StartedAt;
    std::string LimitKey;
    std::string Kind;
    uint32_t Priority = 0;
  };

  struct WaitingCall {
    Request Call;
    TimePoint QueuedAt;
    std::string LimitKey;
    // Whether this is a nested call that is ordered ahead by NestedLead.
    bool HasLead = false;
  };

  struct LimitState {
    TokenBucket RateBucket;
    CallerLimit Configured;
    uint32_t Running = 0;
  };

  // Orders calls by priority, then by the latest start that meets the target
  // (plus a delay for the rank, less a lead for a nested call), then by order
  // of arrival.
  using QueueKey = std::tuple<uint32_t, TimePoint, CallId>;
  using QueueMap = std::map<QueueKey, WaitingCall>;

  Result refuse(const std::string &Reason, Millis RetryAfter,
                unsigned Status = 0);
  double warmSlots(TimePoint Now) const;
  size_t openSlots(TimePoint Now) const;
  double slotsForRate(double Slots, TimePoint Now) const;
  size_t rateCapacity(TimePoint Now);
  std::optional<double> allowedRate(TimePoint Now) const;
  const char *overloadReason(TimePoint Now);
  Clock::duration expectedWait(size_t Ahead, TimePoint Now);
  Millis retryAfter(Clock::duration Wait);
  Millis overloadRetryAfter(Clock::duration Wait, const std::string &Kind);
  std::string limitKey(const Request &Call) const;
  std::optional<Result> checkLimit(const Request &Call, const std::string &Key,
                                   TimePoint Now);
  void releaseLimit(const std::string &LimitKey);
  Clock::duration expectedRunTime(const std::string &Kind) const;
  bool canMeetDeadline(const Request &Call, TimePoint Now) const;
  TimePoint latestStart(const Request &Call) const;
  QueueKey queueKey(const Request &Call) const;
  bool getsLead(const Request &Call) const;
  void recordStartWithoutLead();
  void returnLead(const WaitingCall &Waiting);
  bool canRunNow(const Request &Call, TimePoint Now);
  bool mayTakeSlot(uint32_t Priority, TimePoint Now);
  bool isBlockedByReserve(uint32_t Priority, TimePoint Now);
  const char *waitReason(uint32_t Priority, TimePoint Now);
  void startRunning(const Request &Call, const std::string &LimitKey,
                    TimePoint Now);
  bool canQueue(const Request &Call, TimePoint Now);
  Request withoutUnreachableTarget(const Request &Call, TimePoint Now);
  bool mayMissTarget(const Request &Call, TimePoint Now) const;
  void enqueue(const Request &Call, TimePoint QueuedAt,
               const std::string &LimitKey);
  void recordRunTime(const RunningCall &Call, TimePoint Now);
  QueueMap::iterator dropQueued(QueueMap::iterator Position,
                                const std::string &Reason, Millis RetryAfter,
                                QueueUpdate &Update);
  QueueMap::iterator releaseTarget(QueueMap::iterator Position);
  void sweepQueue(QueueUpdate &Update, TimePoint Now);

  Options Opts;
  std::mt19937_64 Rng;
  Service ServiceConfig;
  bool Configured = false;
  TimePoint WarmupStart;
  // Number of slots that the upstream's shedding leaves; never above
  // ServiceConfig.Slots.
  double SlotWindow = 1;
  std::optional<Clock::duration> MeanRunTime;
  TimePoint MeanRunUpdatedAt;
  std::map<CallId, RunningCall> RunningCalls;
  std::map<std::string, Clock::duration> RunTimeByKind;
  QueueMap Queue;
  // Number of nested calls that may still be ordered ahead.
  double NestedLeads = 0;
  std::map<CallId, QueueKey> QueueKeys;
  std::map<std::string, LimitState> Limits;
  std::set<std::string> DrainReasons;
  uint64_t PastTargetCount = 0;
  ColdStartLimiter ColdLimiter;
  StatedRateLimiter RateLimiter;
  PriorityReserve Reserve;
};

} // namespace hickorylift

#endif
