#ifndef HICKORYLIFT_GATE_STATEDRATELIMITER_H
#define HICKORYLIFT_GATE_STATEDRATELIMITER_H

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <optional>

// A StatedRateLimiter limits the calls that the upstream on the gate's machine
// gets to the rate that the upstream states in its answers.
//
//   StatedRateLimiter Limiter{StatedRateLimiter::Options()};
//   Limiter.setRate(/*CallsPerSecond=*/24.8, Now);  // an answer states it
//   if (Limiter.capacity(Now) > 0) {
//     Limiter.reserve();
//     start(Call);
//   }
//   Limiter.recordSent(Now);                  // the request has been sent
//   Limiter.releaseReservation();             // sent, or given up
//   Limiter.setRate(std::nullopt, Now);       // an answer states none

namespace hickorylift {

class StatedRateLimiter {
public:
  struct Options {
    /// Calls that are saved up while none arrive, as the time in which they
    /// accrue. Lets calls that arrive together start together.
    Millis BurstTime{250};
    /// Length of the sliding window in which an upstream compares the calls
    /// that it gets with the rate that it states, and what it tolerates there:
    /// a multiple of the rate, and a number of calls besides.
    Millis Window{4000};
    double WindowFactor = 1.5;
    double WindowExtra = 5;
    /// Part of the window's limit that is kept free for calls that are sent
    /// without asking the limiter, again because their connection was closed.
    unsigned ReservedCalls = 3;
    /// How long after its first statement an upstream begins to compare. Calls
    /// that it got earlier count if they are in its window then. Shorter than
    /// the three seconds that upstreams give, because their statement is only
    /// known once an answer with it has arrived.
    Millis GracePeriod{2800};
    /// Lowest rate that is used. An upstream that states less, or zero, still
    /// gets a call now and then, because only its answer can show that the
    /// limit has ended.
    double MinCallsPerSecond = 0.25;
    /// Most requests whose times are recorded; the oldest are dropped.
    size_t MaxRecorded = 20000;
  };

  explicit StatedRateLimiter(Options Opts) : Opts(Opts) {}

  /// Sets the rate that the upstream's latest answer states; nothing if it
  /// states none.
  void setRate(std::optional<double> CallsPerSecond, TimePoint Now);
  /// Another process has taken the upstream's place. It got no calls yet.
  void upstreamRestarted();

  bool isLimited() const { return this->StatedRate.has_value(); }
  /// The rate that the upstream states.
  std::optional<double> statedRate() const { return this->StatedRate; }
  /// Calls per second that are sent while the upstream states a rate. Lower
  /// than the stated one until the upstream has recovered from what it got
  /// before it stated the rate.
  double allowedRate(TimePoint Now) const;
  /// Number of calls that may start now.
  size_t capacity(TimePoint Now);
  /// Time until one more call may start; zero if one may start now.
  Clock::duration timeUntilCapacity(TimePoint Now);
  /// Reserves capacity for a call whose request will be sent once it has a
  /// connection.
  void reserve() { ++this->Reserved; }
  /// Ends a reservation that reserve() made.
  void releaseReservation() { --this->Reserved; }
  /// The request of a call has been sent to the upstream, perhaps again.
  void recordSent(TimePoint Now);

private:
  bool isGracePeriod(TimePoint Now) const {
    return Now < this->StatedSince + this->Opts.GracePeriod;
  }
  Clock::duration callInterval(TimePoint Now) const;
  size_t windowLimit() const;
  TimePoint windowStart(TimePoint Now) const;
  size_t sentSince(TimePoint Start) const;
  size_t windowCapacity(TimePoint Now) const;
  size_t pacedCapacity(TimePoint Now) const;
  Clock::duration timeUntilWindowCapacity(TimePoint Now) const;
  Clock::duration timeUntilPaced(TimePoint Now) const;
  void expireSent(TimePoint Now);

  Options Opts;
  std::optional<double> StatedRate;
  // When the upstream began to state a rate.
  TimePoint StatedSince;
  // The rate that is sent during the grace period.
  double GraceRate = 0;
  // When all calls sent so far have accrued.
  TimePoint AccruedAt;
  // Times of the requests sent, the oldest first.
  std::deque<TimePoint> SentTimes;
  size_t Reserved = 0;
};

} // namespace hickorylift

#endif
