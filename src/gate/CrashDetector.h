#ifndef HICKORYLIFT_GATE_CRASHDETECTOR_H
#define HICKORYLIFT_GATE_CRASHDETECTOR_H

#include "quarantine/Quarantine.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

// A CrashDetector tracks the calls that run at one upstream, and distinguishes
// a crash of the upstream from the loss of a single connection.
//
//   CrashDetector Detector{CrashDetector::Options()};
//   Detector.runStarted(Id, RequestFingerprint, /*IsSuspect=*/false);
//   if (Detector.connectionLost(Id, Now) == CrashDetector::Action::Probe)
//     // Connect to the upstream, then call upstreamCrashed() if it refuses the
//     // connection and upstreamAlive() if not.
//   Detector.runAnswered(Id, Now);

namespace hickorylift {

class CrashDetector {
public:
  struct Options {
    /// How long a run that lost its connection waits to find out whether its
    /// upstream still accepts connections. The upstream is on the same machine,
    /// so this takes a moment; an upstream that doesn't answer in time counts
    /// as alive.
    Millis ProbeTimeout{100};
    /// How long a cancelled run still counts as running: its upstream may not
    /// have noticed yet that the call was cancelled.
    Millis CancelledRunGrace{250};
    /// A request that was answered here within this time isn't a suspect: it
    /// ran to its end, while a crashing request would have crashed the upstream
    /// at once.
    Millis RecentAnswerWindow{60 * 1000};
    /// Number of answers remembered for RecentAnswerWindow.
    size_t MaxRecentAnswers = 4096;
  };

  /// What to do about a run that lost its connection.
  enum class Action {
    /// Probe the upstream, to find out whether it accepts connections.
    Probe,
    /// Wait for the probe that is already under way.
    Wait,
    /// The run ended with a crash that is already known, so no probe is needed.
    AlreadyCrashed,
  };

  explicit CrashDetector(Options Opts) : Opts(Opts) {}

  /// A run has started. IsSuspect: its request is a suspect, so no run of
  /// another suspect may be started at the same time.
  void runStarted(const CallId &Id, const Fingerprint &RequestFingerprint,
                  bool IsSuspect);
  void runAnswered(const CallId &Id, TimePoint Now);
  /// Removes a run that says nothing about its request: it did not run, or its
  /// answer was damaged.
  void removeRun(const CallId &Id);
  /// This gate cancelled the run.
  void runCancelled(const CallId &Id, TimePoint Now);
  Action connectionLost(const CallId &Id, TimePoint Now);

  /// Whether another suspect than this request is running.
  bool hasOtherSuspect(const Fingerprint &RequestFingerprint) const;
  /// Whether a run waits for the result of a probe.
  bool isProbing() const { return this->ProbedAt.has_value(); }
  /// Whether the result of the probe has been missing for longer than
  /// ProbeTimeout.
  bool isProbeOverdue(TimePoint Now) const;
  /// The upstream accepts connections, or its state can't be found out. Returns
  /// the runs that waited for the probe: they lost only their connections.
  std::vector<CallId> upstreamAlive();
  /// The upstream has crashed. Suspects are the runs that were running there
  /// and whose requests weren't answered here recently; BrokenRuns are those
  /// that waited for the probe.
  struct Crash {
    std::vector<CallId> Suspects;
    std::vector<CallId> BrokenRuns;
  };
  Crash upstreamCrashed(TimePoint Now);

private:
  struct Run {
    Fingerprint RequestFingerprint;
    bool IsSuspect = false;
    // The run lost its connection, for a reason that isn't known yet.
    bool ConnectionLost = false;
    // The upstream crashed during the run, and the connection hasn't ended yet.
    bool UpstreamCrashed = false;
  };
  struct CancelledRun {
    CallId Id;
    Fingerprint RequestFingerprint;
    TimePoint CancelledAt;
  };

  std::optional<Run> takeRun(const CallId &Id);
  bool wasAnsweredRecently(const Fingerprint &RequestFingerprint,
                           TimePoint Now) const;
  std::vector<CallId> takeBrokenRuns();

  Options Opts;
  std::map<CallId, Run> Runs;
  // Number of runs for each suspect.
  std::map<Fingerprint, size_t> SuspectRunCounts;
  std::deque<CancelledRun> CancelledRuns;
  std::optional<TimePoint> ProbedAt;
  // Time of each request's last answer, and all answers in their order.
  std::map<Fingerprint, TimePoint> LastAnswered;
  std::deque<std::pair<Fingerprint, TimePoint>> AnswersInOrder;
};

} // namespace hickorylift

#endif
