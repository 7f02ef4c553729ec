#ifndef HICKORYLIFT_GATE_RUNWATCH_H
#define HICKORYLIFT_GATE_RUNWATCH_H

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
//   if (Watch.broke(Id, Now) == RunWatch::Next::Probe)
//     connect to the upstream, and ask crashed() or settle() by what comes
//   Watch.answered(Id, Now);

namespace hickorylift {

class RunWatch {
public:
  struct Options {
    /// A run whose connection ended waits for so long to hear whether its
    /// upstream still takes connections. Next to it that is a moment; one that
    /// does not say so in time counts as alive.
    Millis ProbeLimit{100};
    /// What was broken off counts as running for so long: its upstream may not
    /// have seen yet that nobody waits for it.
    Millis CancelledCounts{250};
    /// A request that was answered here within this is no suspect: it ran to
    /// its end where others crash at once.
    Millis GoodFor{60 * 1000};
    /// Answers remembered for that.
    size_t MaxGood = 4096;
  };

  /// What is to be done about a run whose connection ended.
  enum class Next {
    /// Find out whether the upstream takes connections.
    Probe,
    /// That is being found out.
    Wait,
    /// It ended with a crash that is known.
    Crashed,
  };

  explicit RunWatch(Options Opts) : Opts(Opts) {}

  /// Suspected: no suspect of another name may run beside it.
  void started(const CallId &Id, const Fingerprint &Of, bool Suspected);
  void answered(const CallId &Id, TimePoint Now);
  /// It is over and shows nothing: it did not run, or its answer was spoilt.
  void forget(const CallId &Id);
  /// It was broken off from here.
  void cancelled(const CallId &Id, TimePoint Now);
  Next broke(const CallId &Id, TimePoint Now);

  /// Whether a suspect runs that is another request than this.
  bool hasOtherSuspect(const Fingerprint &Than) const;
  /// Whether anything waits for what a probe finds.
  bool isWaiting() const { return this->ProbedAt.has_value(); }
  /// Whether the answer about the upstream has been missing for too long.
  bool isProbeLate(TimePoint Now) const;
  /// The upstream takes connections, or nobody knows: what waited for that has
  /// lost its connection only.
  std::vector<CallId> settle();
  /// The upstream is gone. What ran there, and was not answered here lately, is
  /// Suspects; what waited for the news is Broken.
  struct Crash {
    std::vector<CallId> Suspects;
    std::vector<CallId> Broken;
  };
  Crash crashed(TimePoint Now);

private:
  struct Run {
    Fingerprint Of;
    bool Suspected = false;
    // Its connection ended, and why is not known yet.
    bool Broken = false;
    // Its upstream crashed under it; its connection has not ended yet.
    bool Crashed = false;
  };
  struct Cancelled {
    CallId Id;
    Fingerprint Of;
    TimePoint At;
  };

  std::optional<Run> take(const CallId &Id);
  bool isGood(const Fingerprint &Of, TimePoint Now) const;
  std::vector<CallId> takeBroken();

  Options Opts;
  std::map<CallId, Run> Runs;
  // How many runs there are of each suspect.
  std::map<Fingerprint, size_t> Suspects;
  std::deque<Cancelled> BrokenOff;
  std::optional<TimePoint> ProbedAt;
  // When a request was answered last, and all answers in their order.
  std::map<Fingerprint, TimePoint> Good;
  std::deque<std::pair<Fingerprint, TimePoint>> GoodInOrder;
};

} // namespace hickorylift

#endif
