#ifndef HICKORYLIFT_ROUTING_RETRYBUDGET_H
#define HICKORYLIFT_ROUTING_RETRYBUDGET_H

#include "base/Time.h"

#include <optional>
#include <string>
#include <vector>

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
// The calls that the run of a retry makes are repeats at the services that they
// go to, and nobody can prevent them once it runs. So a retry is spent from the
// budgets of these services too, as many retries as its run makes calls there.
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
    /// all of them, and spent ones come back evenly over half of Window.
    double Reserve = 10;
    /// The time over which the deployment counts retries. A retry that a first
    /// try has earned loses half of its value in a quarter of it, so that an
    /// entry cannot save retries for long and spend them all in one window.
    Millis Window{10000};
  };

  /// What a retry costs the budget of another service.
  struct Cost {
    std::string Service;
    RetryBudget *Budget = nullptr;
    /// Greater than zero.
    double Retries = 1;
  };

  /// Entries need different seeds, which decide when a fraction is granted.
  RetryBudget(Options Opts, uint64_t Seed);

  /// Records a first try, which earns Percent of a retry.
  void recordFirstTry(double Percent, TimePoint Now);
  /// Spends one retry, and what it costs other budgets; false if one of them
  /// has none left. Leaves at least Kept in this budget.
  bool spendRetry(TimePoint Now, double Kept = 0,
                  const std::vector<Cost> &Others = {});
  /// Returns retries that were spent on a call which no upstream has run.
  void refund(double Retries);
  /// Lowers the reserve to this entry's part of one that all entries share. It
  /// is never raised: lists that have expired make a fleet look small.
  void limitReserve(double NewReserve);

  /// Retries left as of the last call.
  double balance() const { return this->Earned + this->InReserve; }
  /// The balance that there would be if nothing had been spent lately.
  double capacity() const { return this->EarnedInAll + this->Opts.Reserve; }

private:
  void advance(TimePoint Now);
  void spend(double Count);
  double refillReserve(double Count);

  Options Opts;
  // Earned by first tries and not spent.
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
