#ifndef HICKORYLIFT_GATE_TRANSFERTURNS_H
#define HICKORYLIFT_GATE_TRANSFERTURNS_H

#include "base/Time.h"
#include "calls/Message.h"

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
//   Turns.ended(Id);                          // whole, or given up
//   for (const CallId &Next : Turns.next(Now)) tellEntryToSend(Next);

namespace hickorylift {

class TransferTurns {
public:
  struct Options {
    /// Bodies on their way at once. One alone would leave the link idle while
    /// the next is told.
    size_t AtOnce = 2;
    /// A body that is still not whole after this keeps no turn: its entry may
    /// be gone, or on a slower link than ours.
    Millis Longest{250};
  };

  explicit TransferTurns(Options Opts) : Opts(Opts) {}

  /// Whether the body may come now; if not, its turn comes by next().
  bool ask(const CallId &Id, TimePoint Now) {
    this->forgetSlow(Now);
    if (this->Coming.size() < this->Opts.AtOnce && this->Waiting.empty()) {
      this->Coming[Id] = Now;
      return true;
    }
    this->Waiting.push_back(Id);
    return false;
  }

  /// The body is whole, or nobody waits for it any more.
  void ended(const CallId &Id) {
    if (this->Coming.erase(Id) == 0)
      std::erase(this->Waiting, Id);
  }

  /// Whose turn it has become, in the order in which they asked.
  std::vector<CallId> next(TimePoint Now) {
    this->forgetSlow(Now);
    std::vector<CallId> Out;
    while (!this->Waiting.empty() && this->Coming.size() < this->Opts.AtOnce) {
      Out.push_back(this->Waiting.front());
      this->Coming[this->Waiting.front()] = Now;
      this->Waiting.pop_front();
    }
    return Out;
  }

private:
  void forgetSlow(TimePoint Now) {
    std::erase_if(this->Coming, [&](const auto &One) {
      return Now - One.second > this->Opts.Longest;
    });
  }

  Options Opts;
  // Since when each is on its way.
  std::map<CallId, TimePoint> Coming;
  std::deque<CallId> Waiting;
};

} // namespace hickorylift

#endif
