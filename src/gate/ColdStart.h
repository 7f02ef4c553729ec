#ifndef HICKORYLIFT_GATE_COLDSTART_H
#define HICKORYLIFT_GATE_COLDSTART_H

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

class ColdStart {
public:
  struct Options {
    /// What a cold upstream bears for a moment, as a multiple of the rate that
    /// its service states.
    double Overrun = 1;
    /// And so many calls besides.
    double Slack = 0;
    /// Requests are counted over this span, wherever it begins.
    Millis Span{1000};
    /// Kept free of that bound, for what is sent without asking here: a
    /// question how the upstream is, and a request that is sent once more since
    /// its connection was closed as it went out.
    unsigned Spare = 2;
    /// Added to what the upstream says: it says whole milliseconds, and a wave
    /// of calls that waited for its end must not come before it.
    Millis EndMargin{100};
    /// A process is not started again sooner after the end of the one before.
    Millis RestartGap{100};
    /// Between two questions to an upstream that has not answered. An answer
    /// that takes longer must be dropped by whoever asks.
    Millis AskAgain{500};
    /// Names of upstreams remembered, so that each is doubted once.
    size_t MaxNames = 32;
  };

  explicit ColdStart(Options Opts) : Opts(Opts) {}

  /// What the service says of its upstreams: calls a second that a cold one
  /// bears, and how long it stays cold. Zero calls: nothing is limited. The
  /// first time that a rate is stated, nothing is known of the upstream yet.
  void configure(double PerSecond, Millis Warmup, TimePoint Now);
  /// From here on all that is sent is counted. What an earlier process beside
  /// the same upstream has sent just before is not known, and may have been as
  /// much as it bears.
  void watch(TimePoint Now);
  /// The upstream may have started anew, or have been made cold: it counts as
  /// cold for a whole warm-up, or until it says otherwise.
  void doubt(TimePoint Now);
  /// A call names this upstream. One that was not met before has started anew.
  void named(const std::string &Upstream, TimePoint Now);
  /// The list says how long it stays cold, as of some moments ago. It can only
  /// cast a doubt: what it says of a warm one may be from before.
  void listed(Millis Left, TimePoint Now);
  /// Whether the upstream is to be asked now; counts as asked if so.
  bool asksNow(TimePoint Now);
  /// The upstream's own answer; nothing where it did not say.
  void told(std::optional<Millis> Left, TimePoint Now);

  bool isCold(TimePoint Now) const;
  /// Calls that may start now.
  size_t room(TimePoint Now);
  /// Until when one more may start; zero where one may now.
  Clock::duration wait(TimePoint Now);
  /// A call starts. Its request goes out once there is a connection for it, and
  /// takes up room from now on.
  void begun() { ++this->Unsent; }
  /// What begun() took is over.
  void settled() { --this->Unsent; }
  /// A request has gone out to the upstream, whoever made it.
  void sent(TimePoint Now);
  /// Calls a second that are let through while it is cold.
  double rate() const;
  /// Whether it is cold and had more in the last span than it bears.
  bool isOverrun(TimePoint Now);

private:
  bool isLimited() const { return this->PerSecond > 0; }
  double bears() const;
  size_t bound() const;
  bool isBlind(TimePoint Now) const;
  void judgeAge(Millis Left, TimePoint Now);
  void forgetOld(TimePoint Now);

  Options Opts;
  double PerSecond = 0;
  Millis Warmup{0};
  TimePoint ColdUntil;
  // Set from a doubt until the upstream has answered a question that was asked
  // after it.
  std::optional<TimePoint> DoubtedAt;
  std::optional<TimePoint> AskedAt;
  Millis ListedLeft{0};
  // Oldest first.
  std::deque<TimePoint> Sent;
  std::optional<TimePoint> WatchedFrom;
  // Whether the upstream is so young that no process before this one can have
  // sent it anything.
  bool WatchedAll = false;
  size_t Unsent = 0;
  std::set<std::string> Names;
};

} // namespace hickorylift

#endif
