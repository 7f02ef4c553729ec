#ifndef HICKORYLIFT_GATE_COLDSTARTLIMITER_H
#define HICKORYLIFT_GATE_COLDSTARTLIMITER_H

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

// A ColdStart judges whether the upstream beside a gate is cold, and how many
// calls it bears meanwhile.
//
//   ColdStart Cold{ColdStart::Options()};
//   Cold.configure(/*PerSecond=*/11, /*Warmup=*/Millis(3000), Now);
//   Cold.doubt(Now);                          // it may have started anew
//   if (Cold.asksNow(Now)) askTheUpstream();
//   Cold.told(Millis(2100), Now);             // as it answers
//   if (Cold.room(Now) > 0) { Cold.begun(); start(Call); }
//   Cold.sent(Now);                           // its request has gone out
//   Cold.settled();                           // the same, or it never will

namespace hickorylift {

class ColdStartLimiter {
public:
  struct Options {
    /// What a cold upstream bears for a moment, as a multiple of the rate that
    /// its service states.
    double RateFactor = 1;
    /// And so many calls besides.
    double ExtraCalls = 0;
    /// Requests are counted over this span, wherever it begins.
    Millis RateWindow{1000};
    /// Kept free of that bound, for what is sent without asking here: a
    /// question how the upstream is, and a request that is sent once more since
    /// its connection was closed as it went out.
    unsigned ReservedCalls = 2;
    /// Added to what the upstream says: it says whole milliseconds, and a wave
    /// of calls that waited for its end must not come before it.
    Millis EndMargin{100};
    /// A process is not started again sooner after the end of the one before.
    Millis MinRestartGap{100};
    /// Between two questions to an upstream that has not answered. An answer
    /// that takes longer must be dropped by whoever asks.
    Millis QueryInterval{500};
    /// Names of upstreams remembered, so that each is doubted once.
    size_t MaxUpstreamNames = 32;
  };

  explicit ColdStartLimiter(Options Opts) : Opts(Opts) {}

  /// What the service says of its upstreams: calls a second that a cold one
  /// bears, and how long it stays cold. Zero calls: nothing is limited. The
  /// first time that a rate is stated, nothing is known of the upstream yet.
  void configure(double PerSecond, Millis Warmup, TimePoint Now);
  /// From here on all that is sent is counted. What an earlier process beside
  /// the same upstream has sent just before is not known, and may have been as
  /// much as it bears.
  void startCounting(TimePoint Now);
  /// The upstream may have started anew, or have been made cold: it counts as
  /// cold for a whole warm-up, or until it says otherwise.
  void suspectRestart(TimePoint Now);
  /// A call names this upstream. One that was not met before has started anew.
  void observeUpstream(const std::string &Upstream, TimePoint Now);
  /// The list says how long it stays cold, as of some moments ago. It can only
  /// cast a doubt: what it says of a warm one may be from before.
  void listReported(Millis Left, TimePoint Now);
  /// Whether the upstream is to be asked now; counts as asked if so.
  bool shouldQuery(TimePoint Now);
  /// The upstream's own answer; nothing where it did not say.
  void upstreamReported(std::optional<Millis> Left, TimePoint Now);

  bool isCold(TimePoint Now) const;
  /// Calls that may start now.
  size_t capacity(TimePoint Now);
  /// Until when one more may start; zero where one may now.
  Clock::duration timeUntilCapacity(TimePoint Now);
  /// A call starts. Its request goes out once there is a connection for it, and
  /// takes up room from now on.
  void reserve() { ++this->Reserved; }
  /// What begun() took is over.
  void releaseReservation() { --this->Reserved; }
  /// A request has gone out to the upstream, whoever made it.
  void recordSent(TimePoint Now);
  /// Calls a second that are let through while it is cold.
  double allowedRate() const;
  /// Whether it is cold and had more in the last span than it bears.
  bool isOverLimit(TimePoint Now);

private:
  bool isLimited() const { return this->PerSecond > 0; }
  double toleratedCalls() const;
  size_t windowLimit() const;
  bool isHistoryUnknown(TimePoint Now) const;
  void checkUpstreamAge(Millis Left, TimePoint Now);
  void expireSent(TimePoint Now);

  Options Opts;
  double PerSecond = 0;
  Millis Warmup{0};
  TimePoint ColdUntil;
  // Set from a doubt until the upstream has answered a question that was asked
  // after it.
  std::optional<TimePoint> RestartSuspectedAt;
  std::optional<TimePoint> QueriedAt;
  Millis ListedColdLeft{0};
  // Oldest first.
  std::deque<TimePoint> SentTimes;
  std::optional<TimePoint> CountingSince;
  // Whether the upstream is so young that no process before this one can have
  // sent it anything.
  bool HistoryComplete = false;
  size_t Reserved = 0;
  std::set<std::string> KnownUpstreams;
};

} // namespace hickorylift

#endif
