#ifndef HICKORYLIFT_GATE_ADMISSION_H
#define HICKORYLIFT_GATE_ADMISSION_H

#include "base/TokenBucket.h"
#include "calls/Message.h"
#include "config/Config.h"
#include "gate/ColdStartLimiter.h"

#include <map>
#include <random>
#include <set>
#include <vector>

// Admission is the one judge of an upstream's slots. It sees every call for
// the upstream, so the limits hold without any shared state.
//
//   Admission Slots(/*Seed=*/7);
//   Slots.configure(Service, Now);
//   Admission::Answer A = Slots.ask({Id, Deadline, Priority, Class, Limit},
//   Now); if (A.What == Admission::Decision::Run) start(Id);
//   ...
//   Slots.finished(Id, Now);
//   for (CallId Next : Slots.next(Now).Run) start(Next);

namespace hickorylift {

class Admission {
public:
  struct Options {
    /// Weight of the newest call in the mean run time: at least this, and more
    /// the longer ago the last one was, by half for each half-life. An upstream
    /// that was slow while it was cold is else remembered so for ever: nobody
    /// sends it the calls that would show otherwise.
    double LatencyWeight = 0.1;
    Millis LatencyHalfLife{1000};
    /// Assumed run time before the first call ended.
    Millis InitialLatency{20};
    /// A call is dropped when what is left of its deadline is less than this
    /// share of the mean run time: it would most likely end too late.
    double MinRunTimeShare = 1.0;
    /// Runs differ: a call counts as one that can meet its target if this many
    /// times the mean run still fits. One that just fits by the mean may well
    /// end late, and has then used a slot for less; much more turns calls away
    /// that would have been in time (docs/design/deciding-under-load.md).
    double TargetMargin = 1.25;
    /// How much later a call of the last rank counts as having to start than
    /// one of the first. As long as the nearest targets asked for: less hardly
    /// separates calls of one route, more puts those of routes with far targets
    /// behind (docs/design/deciding-under-load.md).
    Millis RankSpread{120};
    /// Kinds whose run time is remembered.
    size_t MaxKinds = 1000;
    /// Slots given up when the upstream sheds, and regained for each answer.
    double ShedFactor = 0.7;
    double IncreasePerAnswer = 0.05;
    /// Bounds of the advice when to come back.
    Millis MinRetryAfter{20};
    Millis MaxRetryAfter{5000};
    /// Of an upstream that has just started.
    ColdStartLimiter::Options ColdStartOpts;
    Safeguards Guards;
  };

  enum class Decision { Run, Wait, Refuse };

  struct Request {
    CallId Id;
    TimePoint Deadline;
    /// 0 is the most urgent.
    uint32_t Priority = 4;
    std::string CallerClass;
    /// An answer after this is worth less to its caller, and none after the
    /// deadline. Later than the deadline means that only the deadline counts.
    TimePoint Target = TimePoint::max();
    /// What calls of about the same length have in common.
    std::string Kind;
    /// Of the node at which it entered, see TurnRank: 0 stands first.
    uint8_t Rank = 0;
    /// The route's limit; null for none.
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
      : Opts(Opts), Rng(Seed), ColdLimiter(Opts.ColdStartOpts) {}

  void configure(const Service &Of, TimePoint Now);
  Result admit(const Request &One, TimePoint Now);
  /// Why a call would be refused if it were asked for now, its route's limit
  /// aside; nothing where it would run or wait.
  std::optional<Result> wouldRefuse(const Request &One, TimePoint Now);
  /// The call is about to be sent; what it takes of a cold upstream's room is
  /// given back by coldStart().settled(). An answer means that it must not be:
  /// the upstream has had what it bears.
  std::optional<Result> reserveCapacity(TimePoint Now);
  /// Whether a call that starts after Wait is expected to meet its target.
  bool canMeetTarget(const Request &One, Clock::duration Wait,
                     TimePoint Now) const;
  /// Ends a running or a waiting call. Answered is false where the run says
  /// nothing about the upstream's speed.
  void finished(const CallId &Id, bool Answered, TimePoint Now);
  /// The upstream refused work for overload.
  void upstreamShed(TimePoint Now);
  /// Calls that may start now, and calls that waited in vain.
  QueueUpdate advanceQueue(TimePoint Now);

  /// Another process serves at the upstream's place: what was learnt of the
  /// last one's speed and room is not true of it.
  void upstreamRestarted(TimePoint Now);

  /// Closes the gate to new work for one more reason; waiting calls are dropped
  /// by the next call of next().
  void drain(const std::string &By) { this->DrainReasons.insert(By); }
  /// A reason is gone. The gate is open once none is left.
  void reopen(const std::string &By) { this->DrainReasons.erase(By); }
  bool draining() const { return !this->DrainReasons.empty(); }
  bool isDrainedBy(const std::string &By) const {
    return this->DrainReasons.count(By) != 0;
  }
  /// The reasons, each after a comma but the first.
  std::string drainReasons() const;

  /// What entries are told: while the upstream is cold, the slots that the rate
  /// which it bears keeps busy, and the calls that wait for more of it.
  wire::Load load(TimePoint Now);
  ColdStartLimiter &coldStart() { return this->ColdLimiter; }
  size_t runningCount() const { return this->RunningCalls.size(); }
  size_t waitingCount() const { return this->Queue.size(); }

private:
  struct RunningCall {
    TimePoint StartedAt;
    std::string LimitKey;
    std::string Kind;
  };

  struct WaitingCall {
    Request Call;
    TimePoint QueuedAt;
    std::string LimitKey;
  };

  struct LimitState {
    TokenBucket RateBucket;
    CallerLimit Configured;
    uint32_t Running = 0;
  };

  // Most urgent first, then whichever must start first, put off by its rank,
  // then the order of arrival.
  using QueueKey = std::tuple<uint32_t, TimePoint, CallId>;
  using QueueMap = std::map<QueueKey, WaitingCall>;

  Result refuse(const std::string &Reason, Millis RetryAfter,
                unsigned Status = 0);
  size_t openSlots(TimePoint Now) const;
  Clock::duration expectedWait(size_t Ahead, TimePoint Now);
  Millis retryAfter(Clock::duration Wait);
  std::string limitKey(const Request &One) const;
  std::optional<Result> checkLimit(const Request &One, const std::string &Key,
                                   TimePoint Now);
  void releaseLimit(const std::string &LimitKey);
  Clock::duration expectedRunTime(const std::string &Kind) const;
  bool canMeetDeadline(const Request &One, TimePoint Now) const;
  TimePoint latestStart(const Request &One) const;
  QueueKey queueKey(const Request &One) const;
  bool canRunNow(TimePoint Now);
  bool canQueue(const Request &One, TimePoint Now);
  void enqueue(const Request &One, TimePoint Since,
               const std::string &LimitKey);
  void recordRunTime(const RunningCall &Of, TimePoint Now);
  QueueMap::iterator dropQueued(QueueMap::iterator At,
                                const std::string &Reason, Millis RetryAfter,
                                QueueUpdate &Out);
  void sweepQueue(QueueUpdate &Out, TimePoint Now);

  Options Opts;
  std::mt19937_64 Rng;
  Service ServiceConfig;
  bool Configured = false;
  TimePoint WarmupStart;
  // Learned from shedding; never above Of.Slots.
  double SlotWindow = 1;
  std::optional<Clock::duration> MeanRunTime;
  TimePoint MeanRunUpdatedAt;
  std::map<CallId, RunningCall> RunningCalls;
  std::map<std::string, Clock::duration> RunTimeByKind;
  QueueMap Queue;
  std::map<CallId, QueueKey> QueueKeys;
  std::map<std::string, LimitState> Limits;
  std::set<std::string> DrainReasons;
  ColdStartLimiter ColdLimiter;
};

} // namespace hickorylift

#endif
