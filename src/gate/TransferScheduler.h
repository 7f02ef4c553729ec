#ifndef HICKORYLIFT_GATE_TRANSFERSCHEDULER_H
#define HICKORYLIFT_GATE_TRANSFERSCHEDULER_H

#include "base/Time.h"
#include "calls/Message.h"

#include <cmath>
#include <deque>
#include <map>
#include <vector>

// TransferTurns lets a few long bodies at a time come to a gate.
//
// All that comes to a gate shares its machine's link. Nine bodies of 60 KB that
// are sent together put a second's worth of a link of 5 Mbit/s into its queue:
// every short call behind them is late, and the links look silent. Sent in
// turn, each body arrives sooner in the mean, the last no later, and a short
// call waits for two bodies at most.
//
//   TransferTurns Turns(TransferTurns::Options());
//   if (Turns.ask(Id, Now)) tellEntryToSend(Id);
//   Turns.ended(Id, Now);                     // or forget(Id): given up
//   for (const CallId &Next : Turns.next(Now)) tellEntryToSend(Next);

namespace hickorylift {

class TransferScheduler {
public:
  struct Options {
    /// Bodies on their way at once. One alone would leave the link idle while
    /// the next is told.
    size_t MaxConcurrent = 2;
    /// A body that is still not whole after this keeps no turn: its entry may
    /// be gone, or on a slower link than ours. Much longer than a body takes on
    /// a full link of ours, or there would soon be more than AtOnce: with 250
    /// ms, a call of 1 KB was 52 ms on its way to gates with links of 7 Mbit/s,
    /// and 40 with this.
    Millis SlotTimeout{1000};
    /// Weight of the newest body in the time that one takes, and the time in
    /// which what is known of it halves: when the link is free again, nobody is
    /// there to show it.
    double NewestWeight = 0.2;
    Millis HalfLife{1000};
  };

  explicit TransferScheduler(Options Opts) : Opts(Opts) {}

  /// Whether the body may come now; if not, its turn comes by next().
  bool request(const CallId &Id, TimePoint Now) {
    this->expireSlow(Now);
    if (this->ActiveSince.size() < this->Opts.MaxConcurrent &&
        this->Waiting.empty()) {
      this->ActiveSince[Id] = Now;
      return true;
    }
    this->Waiting.push_back(Id);
    return false;
  }

  /// The body is whole.
  void finished(const CallId &Id, TimePoint Now) {
    if (auto Found = this->ActiveSince.find(Id);
        Found != this->ActiveSince.end())
      this->recordTime(Now - Found->second, Now);
    this->cancel(Id);
  }

  /// Nobody waits for the body any more.
  void cancel(const CallId &Id) {
    if (this->ActiveSince.erase(Id) == 0)
      std::erase(this->Waiting, Id);
  }

  /// What a body has usually taken of late, once it was its turn.
  Clock::duration usualTime(TimePoint Now) const {
    return std::chrono::duration_cast<Clock::duration>(
        this->MeanTime * std::exp2(-Seconds(Now - this->MeanUpdatedAt) /
                                   Seconds(this->Opts.HalfLife)));
  }

  /// In what time a body would be whole, were it asked for now.
  Clock::duration expectedTime(TimePoint Now) const {
    auto Before = static_cast<int64_t>(this->Waiting.size());
    return this->usualTime(Now) +
           this->usualTime(Now) * Before /
               static_cast<int64_t>(this->Opts.MaxConcurrent);
  }

  /// Whose turn it has become, in the order in which they asked.
  std::vector<CallId> startNext(TimePoint Now) {
    this->expireSlow(Now);
    std::vector<CallId> Out;
    while (!this->Waiting.empty() &&
           this->ActiveSince.size() < this->Opts.MaxConcurrent) {
      Out.push_back(this->Waiting.front());
      this->ActiveSince[this->Waiting.front()] = Now;
      this->Waiting.pop_front();
    }
    return Out;
  }

private:
  using Seconds = std::chrono::duration<double>;

  void recordTime(Clock::duration Took, TimePoint Now) {
    Seconds Known = this->usualTime(Now);
    this->MeanTime = Known + (Seconds(Took) - Known) * this->Opts.NewestWeight;
    this->MeanUpdatedAt = Now;
  }

  void expireSlow(TimePoint Now) {
    for (auto At = this->ActiveSince.begin(); At != this->ActiveSince.end();) {
      bool Slow = Now - At->second > this->Opts.SlotTimeout;
      if (Slow)
        this->recordTime(Now - At->second, Now);
      At = Slow ? this->ActiveSince.erase(At) : std::next(At);
    }
  }

  Options Opts;
  // Since when each is on its way.
  std::map<CallId, TimePoint> ActiveSince;
  std::deque<CallId> Waiting;
  // From a body's turn until it is whole.
  Seconds MeanTime{0};
  TimePoint MeanUpdatedAt;
};

} // namespace hickorylift

#endif
