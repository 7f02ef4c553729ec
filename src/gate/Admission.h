#ifndef HICKORYLIFT_GATE_ADMISSION_H
#define HICKORYLIFT_GATE_ADMISSION_H

#include "base/TokenBucket.h"
#include "calls/Message.h"
#include "config/Config.h"
#include "gate/ColdStart.h"

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
//   Now); if (A.What == Admission::Verdict::Run) start(Id);
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
    Millis FirstLatency{20};
    /// A call is dropped when what is left of its deadline is less than this
    /// share of the mean run time: it would most likely end too late.
    double NeededShare = 1.0;
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
    double RegainPerAnswer = 0.05;
    /// Bounds of the advice when to come back.
    Millis ShortestRetry{20};
    Millis LongestRetry{5000};
    /// Of an upstream that has just started.
    ColdStart::Options Cold;
    Safeguards Guards;
  };

  enum class Verdict { Run, Wait, Refuse };

  struct Ask {
    CallId Id;
    TimePoint Deadline;
    /// 0 is the most urgent.
    uint32_t Priority = 4;
    std::string Class;
    /// An answer after this is worth less to its caller, and none after the
    /// deadline. Later than the deadline means that only the deadline counts.
    TimePoint Target = TimePoint::max();
    /// What calls of about the same length have in common.
    std::string Kind;
    /// Of the node at which it entered, see NodeRank: 0 stands first.
    uint8_t Rank = 0;
    /// The route's limit; null for none.
    const Limit *Bound = nullptr;
  };

  struct Answer {
    Verdict What = Verdict::Run;
    Refusal Why;
  };

  struct Dropped {
    CallId Id;
    Refusal Why;
  };

  struct Next {
    std::vector<CallId> Run;
    std::vector<Dropped> Drop;
  };

  Admission(Options Opts, uint64_t Seed)
      : Opts(Opts), Random(Seed), Cold(Opts.Cold) {}

  void configure(const Service &Of, TimePoint Now);
  Answer ask(const Ask &One, TimePoint Now);
  /// Why a call would be refused if it were asked for now, its route's limit
  /// aside; nothing where it would run or wait.
  std::optional<Answer> wouldRefuse(const Ask &One, TimePoint Now);
  /// The call is about to be sent; what it takes of a cold upstream's room is
  /// given back by coldStart().settled(). An answer means that it must not be:
  /// the upstream has had what it bears.
  std::optional<Answer> start(TimePoint Now);
  /// Whether a call that starts after Wait is expected to meet its target.
  bool onTarget(const Ask &One, Clock::duration Wait, TimePoint Now) const;
  /// Ends a running or a waiting call. Answered is false where the run says
  /// nothing about the upstream's speed.
  void finished(const CallId &Id, bool Answered, TimePoint Now);
  /// The upstream refused work for overload.
  void shed(TimePoint Now);
  /// Calls that may start now, and calls that waited in vain.
  Next next(TimePoint Now);

  /// Another process serves at the upstream's place: what was learnt of the
  /// last one's speed and room is not true of it.
  void restarted(TimePoint Now);

  /// Closes the gate to new work for one more reason; waiting calls are dropped
  /// by the next call of next().
  void drain(const std::string &By) { this->Closed.insert(By); }
  /// A reason is gone. The gate is open once none is left.
  void reopen(const std::string &By) { this->Closed.erase(By); }
  bool draining() const { return !this->Closed.empty(); }
  bool isDrainedBy(const std::string &By) const {
    return this->Closed.count(By) != 0;
  }
  /// The reasons, each after a comma but the first.
  std::string drainedBy() const;

  /// What entries are told: while the upstream is cold, the slots that the rate
  /// which it bears keeps busy, and the calls that wait for more of it.
  wire::Load load(TimePoint Now);
  ColdStart &coldStart() { return this->Cold; }
  size_t running() const { return this->Running.size(); }
  size_t waiting() const { return this->Queue.size(); }

private:
  struct RunningCall {
    TimePoint Since;
    std::string LimitKey;
    std::string Kind;
  };

  struct Waiting {
    Ask One;
    TimePoint Since;
    std::string LimitKey;
  };

  struct LimitState {
    TokenBucket Rate;
    CallerLimit Bound;
    uint32_t Running = 0;
  };

  // Most urgent first, then whichever must start first, put off by its rank,
  // then the order of arrival.
  using QueueKey = std::tuple<uint32_t, TimePoint, CallId>;
  using QueueMap = std::map<QueueKey, Waiting>;

  Answer refuse(const std::string &Reason, Millis RetryAfter,
                unsigned Status = 0);
  size_t openSlots(TimePoint Now) const;
  Clock::duration expectedWait(size_t Ahead, TimePoint Now);
  Millis comeBack(Clock::duration Wait);
  std::string limitKey(const Ask &One) const;
  std::optional<Answer> checkLimit(const Ask &One, const std::string &Key,
                                   TimePoint Now);
  void release(const std::string &LimitKey);
  Clock::duration expectedRun(const std::string &Kind) const;
  bool inTime(const Ask &One, TimePoint Now) const;
  TimePoint latestStart(const Ask &One) const;
  QueueKey placeOf(const Ask &One) const;
  bool isFree(TimePoint Now);
  bool hasPlace(const Ask &One, TimePoint Now);
  void wait(const Ask &One, TimePoint Since, const std::string &LimitKey);
  void learnRun(const RunningCall &Of, TimePoint Now);
  QueueMap::iterator drop(QueueMap::iterator At, const std::string &Reason,
                          Millis RetryAfter, Next &Out);
  void sweepQueue(Next &Out, TimePoint Now);

  Options Opts;
  std::mt19937_64 Random;
  Service Of;
  bool Configured = false;
  TimePoint ReadySince;
  // Learned from shedding; never above Of.Slots.
  double Window = 1;
  std::optional<Clock::duration> MeanRun;
  TimePoint RunLearntAt;
  std::map<CallId, RunningCall> Running;
  std::map<std::string, Clock::duration> RunByKind;
  QueueMap Queue;
  std::map<CallId, QueueKey> Places;
  std::map<std::string, LimitState> Limits;
  std::set<std::string> Closed;
  ColdStart Cold;
};

} // namespace hickorylift

#endif
