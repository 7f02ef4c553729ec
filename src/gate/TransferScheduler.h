#ifndef HICKORYLIFT_GATE_TRANSFERSCHEDULER_H
#define HICKORYLIFT_GATE_TRANSFERSCHEDULER_H

#include "base/Time.h"
#include "calls/Message.h"

#include <cmath>
#include <deque>
#include <map>
#include <vector>

// A TransferScheduler limits how many long bodies are sent to a gate at the
// same time.
//
// All data that is sent to a gate shares the link of its machine. Nine bodies
// of 60 KB that are sent together fill the queue of a link of 5 Mbit/s for a
// second: every short call behind them is late, and the links look
// unresponsive. When the bodies are sent two at a time, they arrive sooner on
// average, the last one arrives no later, and a short call waits for two bodies
// at most.
//
//   TransferScheduler Scheduler(TransferScheduler::Options());
//   if (Scheduler.request(Id, Now))
//     askEntryToSend(Id);
//   Scheduler.finished(Id, Now);              // or cancel(Id)
//   for (const CallId &Id : Scheduler.startNext(Now))
//     askEntryToSend(Id);

namespace hickorylift {

class TransferScheduler {
public:
  struct Options {
    /// Maximum number of bodies in transfer at the same time. With only one,
    /// the link would be idle until the next entry has been asked to send.
    size_t MaxConcurrent = 2;
    /// A body that isn't complete after this time loses its slot: its entry may
    /// be gone, or on a slower link than this gate. Much longer than a body
    /// takes on a full link of this gate, or there would soon be more than
    /// MaxConcurrent transfers: with 250 ms, a call of 1 KB took 52 ms to gates
    /// with links of 7 Mbit/s, and 40 ms with this value.
    Millis SlotTimeout{1000};
    /// Weight of the newest body in the mean transfer time, and the time after
    /// which the mean is halved: when the link is free again, there may be no
    /// transfer that would show it.
    double NewestWeight = 0.2;
    Millis HalfLife{1000};
  };

  explicit TransferScheduler(Options Opts) : Opts(Opts) {}

  /// Whether the body may be sent now; if not, startNext() returns it later.
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

  /// The body has arrived completely.
  void finished(const CallId &Id, TimePoint Now) {
    if (auto Found = this->ActiveSince.find(Id);
        Found != this->ActiveSince.end())
      this->recordTime(Now - Found->second, Now);
    this->cancel(Id);
  }

  /// The body is no longer needed.
  void cancel(const CallId &Id) {
    if (this->ActiveSince.erase(Id) == 0)
      std::erase(this->Waiting, Id);
  }

  /// Mean time that recent bodies took, from the start of the transfer, lowered
  /// with the time since the last one.
  Clock::duration usualTime(TimePoint Now) const {
    return std::chrono::duration_cast<Clock::duration>(
        this->MeanTime * std::exp2(-Seconds(Now - this->MeanUpdatedAt) /
                                   Seconds(this->Opts.HalfLife)));
  }

  /// Expected time until a body is complete if it were requested now.
  Clock::duration expectedTime(TimePoint Now) const {
    auto Ahead = static_cast<int64_t>(this->Waiting.size());
    return this->usualTime(Now) +
           this->usualTime(Now) * Ahead /
               static_cast<int64_t>(this->Opts.MaxConcurrent);
  }

  /// Starts the transfers that now have a free slot, and returns their calls in
  /// the order of their requests.
  std::vector<CallId> startNext(TimePoint Now) {
    this->expireSlow(Now);
    std::vector<CallId> Started;
    while (!this->Waiting.empty() &&
           this->ActiveSince.size() < this->Opts.MaxConcurrent) {
      Started.push_back(this->Waiting.front());
      this->ActiveSince[this->Waiting.front()] = Now;
      this->Waiting.pop_front();
    }
    return Started;
  }

private:
  using Seconds = std::chrono::duration<double>;

  void recordTime(Clock::duration TransferTime, TimePoint Now) {
    Seconds Mean = this->usualTime(Now);
    this->MeanTime =
        Mean + (Seconds(TransferTime) - Mean) * this->Opts.NewestWeight;
    this->MeanUpdatedAt = Now;
  }

  void expireSlow(TimePoint Now) {
    for (auto Position = this->ActiveSince.begin();
         Position != this->ActiveSince.end();) {
      bool IsSlow = Now - Position->second > this->Opts.SlotTimeout;
      if (IsSlow)
        this->recordTime(Now - Position->second, Now);
      Position =
          IsSlow ? this->ActiveSince.erase(Position) : std::next(Position);
    }
  }

  Options Opts;
  // Start time of each transfer.
  std::map<CallId, TimePoint> ActiveSince;
  std::deque<CallId> Waiting;
  // Mean time from the start of a transfer until the body is complete.
  Seconds MeanTime{0};
  TimePoint MeanUpdatedAt;
};

} // namespace hickorylift

#endif
