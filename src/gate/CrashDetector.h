#ifndef HICKORYLIFT_GATE_CRASHDETECTOR_H
#define HICKORYLIFT_GATE_CRASHDETECTOR_H

#include "quarantine/Quarantine.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

// A RunWatch knows what runs at one upstream, and tells a crash of it from the
// end of one connection.
//
//   RunWatch Watch{RunWatch::Options()};
//   Watch.started(Id, Print, /*Suspected=*/false);
//   if (Watch.broke(Id, Now) == RunWatch::Action::Probe)
//     connect to the upstream, and ask crashed() or settle() by what comes
//   Watch.answered(Id, Now);

namespace hickorylift {

class CrashDetector {
public:
  struct Options {
    /// A run whose connection ended waits for so long to hear whether its
    /// upstream still takes connections. Next to it that is a moment; one that
    /// does not say so in time counts as alive.
    Millis ProbeTimeout{100};
    /// What was broken off counts as running for so long: its upstream may not
    /// have seen yet that nobody waits for it.
    Millis CancelledRunGrace{250};
    /// A request that was answered here within this is no suspect: it ran to
    /// its end where others crash at once.
    Millis RecentAnswerWindow{60 * 1000};
    /// Answers remembered for that.
    size_t MaxRecentAnswers = 4096;
  };

  /// What is to be done about a run whose connection ended.
  enum class Action {
    /// Find out whether the upstream takes connections.
    Probe,
    /// That is being found out.
    Wait,
    /// It ended with a crash that is known.
    AlreadyCrashed,
  };

  explicit CrashDetector(Options Opts) : Opts(Opts) {}

  /// Suspected: no suspect of another name may run beside it.
  void runStarted(const CallId &Id, const Fingerprint &Of, bool Suspected);
  void runAnswered(const CallId &Id, TimePoint Now);
  /// It is over and shows nothing: it did not run, or its answer was spoilt.
  void removeRun(const CallId &Id);
  /// It was broken off from here.
  void runCancelled(const CallId &Id, TimePoint Now);
  Action connectionLost(const CallId &Id, TimePoint Now);

  /// Whether a suspect runs that is another request than this.
  bool hasOtherSuspect(const Fingerprint &Than) const;
  /// Whether anything waits for what a probe finds.
  bool isProbing() const { return this->ProbedAt.has_value(); }
  /// Whether the answer about the upstream has been missing for too long.
  bool isProbeOverdue(TimePoint Now) const;
  /// The upstream takes connections, or nobody knows: what waited for that has
  /// lost its connection only.
  std::vector<CallId> upstreamAlive();
  /// The upstream is gone. What ran there, and was not answered here lately, is
  /// Suspects; what waited for the news is Broken.
  struct Crash {
    std::vector<CallId> Suspects;
    std::vector<CallId> BrokenRuns;
  };
  Crash upstreamCrashed(TimePoint Now);

private:
  struct Run {
    Fingerprint RequestFingerprint;
    bool Suspected = false;
    // Its connection ended, and why is not known yet.
    bool ConnectionLost = false;
    // Its upstream crashed under it; its connection has not ended yet.
    bool UpstreamCrashed = false;
  };
  struct CancelledRun {
    CallId Id;
    Fingerprint RequestFingerprint;
    TimePoint CancelledAt;
  };

  std::optional<Run> takeRun(const CallId &Id);
  bool wasAnsweredRecently(const Fingerprint &Of, TimePoint Now) const;
  std::vector<CallId> takeBrokenRuns();

  Options Opts;
  std::map<CallId, Run> Runs;
  // How many runs there are of each suspect.
  std::map<Fingerprint, size_t> SuspectRunCounts;
  std::deque<CancelledRun> CancelledRuns;
  std::optional<TimePoint> ProbedAt;
  // When a request was answered last, and all answers in their order.
  std::map<Fingerprint, TimePoint> LastAnswered;
  std::deque<std::pair<Fingerprint, TimePoint>> AnswersInOrder;
};

} // namespace hickorylift

#endif
