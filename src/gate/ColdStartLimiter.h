#ifndef HICKORYLIFT_GATE_COLDSTARTLIMITER_H
#define HICKORYLIFT_GATE_COLDSTARTLIMITER_H

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

// A ColdStartLimiter estimates whether the upstream on the gate's machine is
// cold, that is, has started only recently, and limits the calls that it gets
// meanwhile.
//
//   ColdStartLimiter Limiter{ColdStartLimiter::Options()};
//   Limiter.configure(/*CallsPerSecond=*/11, /*WarmupTime=*/Millis(3000), Now);
//   Limiter.suspectRestart(Now);              // it may have restarted
//   if (Limiter.shouldQuery(Now))
//     queryUpstream();
//   Limiter.upstreamReported(Millis(2100), Now); // its answer
//   if (Limiter.capacity(Now) > 0) {
//     Limiter.reserve();
//     start(Call);
//   }
//   Limiter.recordSent(Now);                  // the request has been sent
//   Limiter.releaseReservation();             // sent, or given up

namespace hickorylift {

class ColdStartLimiter {
public:
  struct Options {
    /// Number of calls per second that a cold upstream can handle for a moment,
    /// as a multiple of the rate that its service states.
    double RateFactor = 1;
    /// Number of calls per window that it can handle on top of that.
    double ExtraCalls = 0;
    /// Length of the sliding window in which requests are counted.
    Millis RateWindow{1000};
    /// Part of the limit that is kept free for requests that are sent without
    /// asking the limiter: queries for the upstream's state, and requests that
    /// are sent again because the connection was closed while they went out.
    unsigned ReservedCalls = 2;
    /// Added to the cold time that the upstream reports. It reports whole
    /// milliseconds, and the many calls that wait for the end of the cold time
    /// must not arrive before it.
    Millis EndMargin{100};
    /// A process is never started again sooner than this after the end of the
    /// previous one.
    Millis MinRestartGap{100};
    /// Interval between two queries to an upstream that hasn't answered. The
    /// code that sends the query must discard an answer that takes longer.
    Millis QueryInterval{500};
    /// Number of upstream names that are remembered, so that each new name is
    /// taken for a restart once.
    size_t MaxUpstreamNames = 32;
  };

  explicit ColdStartLimiter(Options Opts) : Opts(Opts) {}

  /// Sets what the service states about its upstreams: the calls per second
  /// that a cold one can handle, and how long it stays cold. With a rate of
  /// zero nothing is limited. When a rate is stated for the first time, the
  /// state of the upstream is unconfirmed.
  void configure(double CallsPerSecond, Millis WarmupTime, TimePoint Now);
  /// From now on every request that is sent is counted. How much a previous
  /// node process sent to the same upstream just before isn't known; it may
  /// have been as much as the upstream can handle.
  void startCounting(TimePoint Now);
  /// The upstream may have restarted, or have become cold again. It counts as
  /// cold for a whole warm-up time, or until it reports otherwise.
  void suspectRestart(TimePoint Now);
  /// A call names this upstream. A name that wasn't seen before belongs to an
  /// upstream that has just started.
  void observeUpstream(const std::string &Upstream, TimePoint Now);
  /// The platform's list reports how long the upstream stays cold, as of a
  /// moment ago. A list can only raise the suspicion of a restart: its report
  /// that an upstream is warm may be older than the restart.
  void listReported(Millis ColdLeft, TimePoint Now);
  /// Whether the upstream's state is to be queried now. If so, the query counts
  /// as sent.
  bool shouldQuery(TimePoint Now);
  /// What the upstream itself reported: how long it stays cold, or nothing if
  /// it didn't say.
  void upstreamReported(std::optional<Millis> ColdLeft, TimePoint Now);

  bool isCold(TimePoint Now) const;
  /// Number of calls that may start now.
  size_t capacity(TimePoint Now);
  /// Time until one more call may start; zero if one may start now.
  Clock::duration timeUntilCapacity(TimePoint Now);
  /// Reserves capacity for a call. Its request is sent once it has a
  /// connection, and uses capacity from now on.
  void reserve() { ++this->Reserved; }
  /// Ends a reservation that reserve() made.
  void releaseReservation() { --this->Reserved; }
  /// A request has been sent to the upstream, by any component.
  void recordSent(TimePoint Now);
  /// Calls per second that are allowed while the upstream is cold.
  double allowedRate() const;
  /// Whether the upstream is cold and got more calls in the last window than it
  /// can handle.
  bool isOverLimit(TimePoint Now);

private:
  bool isLimited() const { return this->PerSecond > 0; }
  double toleratedCalls() const;
  size_t windowLimit() const;
  bool isHistoryUnknown(TimePoint Now) const;
  void checkUpstreamAge(Millis ColdLeft, TimePoint Now);
  void expireSent(TimePoint Now);

  Options Opts;
  double PerSecond = 0;
  Millis Warmup{0};
  TimePoint ColdUntil;
  // Set from a suspected restart until the upstream has answered a query that
  // was sent after it.
  std::optional<TimePoint> RestartSuspectedAt;
  std::optional<TimePoint> QueriedAt;
  Millis ListedColdLeft{0};
  // Times of the requests sent, the oldest first.
  std::deque<TimePoint> SentTimes;
  std::optional<TimePoint> CountingSince;
  // Whether the upstream started so recently that no previous node process can
  // have sent it anything.
  bool HistoryComplete = false;
  size_t Reserved = 0;
  std::set<std::string> KnownUpstreams;
};

} // namespace hickorylift

#endif
