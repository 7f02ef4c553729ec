#ifndef HICKORYLIFT_GATE_SLOWDOWNDETECTOR_H
#define HICKORYLIFT_GATE_SLOWDOWNDETECTOR_H

#include "calls/Message.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

// A SlowdownDetector measures how long the runs of one upstream take at this
// moment, compared with their usual run time.
//
//   SlowdownDetector Detector{SlowdownDetector::Options()};
//   Detector.runStarted(Id, Route, Now);
//   Detector.runEnded(Id, SlowdownDetector::RunEnd::Answered, Now);
//   uint32_t Percent = Detector.percent(Now); // 250: 2.5 times as long
//   Detector.tick(Now);                       // at short intervals

namespace hickorylift {

class SlowdownDetector {
public:
  struct Options {
    /// Runs are compared with their usual run time over this time.
    Millis Window{200};
    /// Resolution of the window. percent() is computed at most once in each
    /// such interval.
    Millis Interval{10};
    /// Time in which an old run time halves in weight in the usual run time of
    /// its route. Long compared with the slowdowns that are to be detected, or
    /// the usual run time would follow them.
    Millis UsualHalfLife{10000};
    /// Runs of a route after which its usual run time counts as known.
    uint64_t MinRouteRuns = 10;
    /// Highest weight of one run in a usual run time that is known. Without
    /// this limit the first run after a long pause would replace it.
    double MaxRunWeight = 0.1;
    /// The value is known if at least this many runs in the window have ended
    /// or have already taken longer than usual. The one that exceeds its usual
    /// run time most is counted here but left out of the value.
    uint64_t MinWindowRuns = 4;
    /// Number of routes whose usual run time is remembered.
    size_t MaxRoutes = 1000;
    /// Number of runs under way that are observed; others are ignored.
    size_t MaxRuns = 10000;
    /// If more time than this passes between two calls of the detector, the
    /// process was paused: how long the runs under way really took is unknown.
    /// Must be several times the interval between two calls of tick().
    Millis MaxEventGap{150};
    /// Bounds of a known value.
    double MinPercent = 10;
    double MaxPercent = 500;
  };

  enum class RunEnd {
    /// The upstream has completed the run.
    Answered,
    /// The run was cancelled while the upstream worked on it. It shows how long
    /// the run took at least, and nothing about its usual run time.
    Cancelled,
    /// The run says nothing about the speed of the upstream.
    Excluded,
  };

  explicit SlowdownDetector(Options Opts);

  /// A run has started. It is compared with the usual run time of its route.
  void runStarted(const CallId &Id, const std::string &Route, TimePoint Now);
  /// A run has ended; does nothing if it is not under way.
  void runEnded(const CallId &Id, RunEnd End, TimePoint Now);
  /// Must be called at short intervals: a gap longer than MaxEventGap counts as
  /// a pause of the process.
  void tick(TimePoint Now) { this->observe(Now); }
  /// The process was paused: the runs under way and the window are discarded.
  void processPaused() { this->discardWindow(); }
  /// The upstream was started again: usual run times are discarded as well.
  void upstreamRestarted();

  /// How long runs take, as a percentage of the usual run time; 0 if unknown.
  uint32_t percent(TimePoint Now);
  /// The runs under way that are observed.
  std::vector<CallId> runsUnderWay() const;

private:
  /// Slot time that runs have used, and the usual run time that they have
  /// completed, both in seconds.
  struct Work {
    double Used = 0;
    double Completed = 0;

    double excess() const { return this->Used - this->Completed; }
    Work &operator+=(const Work &Other);
    Work &operator-=(const Work &Other);
  };
  struct Run {
    std::string Route;
    TimePoint StartedAt;
    // In seconds; 0 if unknown.
    double Usual = 0;
    std::optional<TimePoint> EndedAt;
  };
  struct UsualTime {
    double Seconds = 0;
    uint64_t RunCount = 0;
    TimePoint LearnedAt;
  };
  struct Interval {
    int64_t Number = -1;
    // Time of the first event in this interval, and the work of all runs up to
    // then.
    TimePoint At;
    Work Before;
    // Runs with a known usual run time that were answered, or cancelled after
    // that time, in this interval.
    uint64_t EndCount = 0;
    // The run ended in this interval that exceeded its usual run time most.
    std::optional<Run> Longest;
  };

  Interval &observe(TimePoint Now);
  void discardWindow();
  void learn(const Run &Ended, TimePoint Now);
  void exclude(const Run &Excluded);
  Work totalWork(TimePoint Now) const;
  const Interval *windowBegin(TimePoint Now) const;
  int64_t firstNumber(TimePoint Now) const;
  uint32_t compute(TimePoint Now) const;
  static Work workOf(const Run &Of, TimePoint Now);
  static Work workBetween(const Run &Of, TimePoint From, TimePoint To);

  Options Opts;
  std::map<CallId, Run> Runs;
  std::map<std::string, UsualTime> UsualTimes;
  // Work of the runs that have ended.
  Work Ended;
  // Ring of the intervals of the window.
  std::vector<Interval> Intervals;
  std::optional<TimePoint> LastEvent;
  // The last value and the interval in which it was computed.
  std::optional<int64_t> ComputedIn;
  uint32_t LastPercent = 0;
};

} // namespace hickorylift

#endif
