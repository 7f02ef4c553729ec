#ifndef HICKORYLIFT_ROUTING_RETRYBUDGET_H
#define HICKORYLIFT_ROUTING_RETRYBUDGET_H

#include "base/Time.h"

#include <optional>

// A RetryBudget limits the retries that one entry makes for one service. No
// entry knows how many retries the others make, so each has a fixed part of
// what the deployment allows: a share of its own first tries, and an equal part
// of a reserve.
//
//   RetryBudget Budget({.Reserve = 2}, /*Seed=*/7);
//   Budget.recordFirstTry(/*Percent=*/10, Now);
//   if (Budget.spendRetry(Now))
//     retry(Call);
//
// In a large fleet these parts are fractions of one retry. An entry that has
// only a fraction makes a whole retry with that probability, and the fraction
// is spent in either case. All entries together thus make as many retries as
// the sum of their parts. With parts rounded up to one retry, the sum would
// grow with the fleet; rounded down, no entry could make any.

namespace hickorylift {

class RetryBudget {
public:
  struct Options {
    /// Retries in reserve at this entry; may be a fraction. A new process has
    /// all of them, and spent ones come back evenly over Window.
    double Reserve = 10;
    /// The time over which the deployment counts retries. A retry that a first
    /// try has earned loses half of its value in a quarter of it, so that an
    /// entry cannot save retries for long and spend them all in one window.
    Millis Window{10000};
    /// Limits the debt that charge() may cause: a debt of ten is paid by 200
    /// first tries at 5 retries in 100, and a larger one would prevent retries
    /// long after the upstreams have recovered.
    double MaxDebt = 10;
  };

  /// Entries need different seeds.
  RetryBudget(Options Opts, uint64_t Seed);

  /// Records a first try, which earns Percent of a retry. A debt is paid first.
  void recordFirstTry(double Percent, TimePoint Now);
  /// Spends one retry; false if none is available. Leaves at least Kept.
  bool spendRetry(TimePoint Now, double Kept = 0);
  /// Spends one retry for a call that is made in any case. If none is
  /// available, the budget goes into debt, up to MaxDebt.
  void charge(TimePoint Now);
  /// Returns a retry that was spent on a call which no upstream has run. A debt
  /// is paid first.
  void refundRetry();
  /// Lowers the reserve to this entry's part of one that all entries share. It
  /// is never raised: lists that have expired make a fleet look small.
  void limitReserve(double NewReserve);

  /// Retries left as of the last call; negative if there is a debt.
  double balance() const { return this->Earned + this->InReserve; }
  /// The balance that there would be if nothing had been spent lately.
  double capacity() const { return this->EarnedInAll + this->Opts.Reserve; }

private:
  void advance(TimePoint Now);
  void spend(double Count);
  double refillReserve(double Count);

  Options Opts;
  // Earned by first tries and not spent; negative if there is a debt.
  double Earned = 0;
  // Earned by first tries, spent or not.
  double EarnedInAll = 0;
  double InReserve;
  // What was spent and not granted yet: a retry is granted for each whole one.
  // Starts at random between 0 and 1.
  double Spent;
  std::optional<TimePoint> AdvancedAt;
};

} // namespace hickorylift

#endif
