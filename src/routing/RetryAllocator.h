#ifndef HICKORYLIFT_ROUTING_RETRYALLOCATOR_H
#define HICKORYLIFT_ROUTING_RETRYALLOCATOR_H

#include "base/Time.h"
#include "routing/RetryBudget.h"

#include <array>
#include <map>
#include <random>
#include <string>

// RetryAllocator decides which calls get the retries of a service whose
// upstreams shed calls although they have free slots. Such a service sheds more
// calls than its retry budget covers, so the budget goes to the calls that lose
// most by a refusal.
//
//   RetryAllocator Retries(RetryAllocator::Options(), /*Seed=*/7);
//   Retries.recordReport("orders", /*ShedPercent=*/55, Now);
//   RetryAllocator::Call Shed{.Nested = false, .Returning = true};
//   if (Retries.isShedding("orders", Now) &&
//       Retries.spendRetry(Shed, Budget, Now))
//     retry(Shed);

namespace hickorylift {

class RetryAllocator {
public:
  struct Options {
    /// If false, no service counts as shedding.
    bool Enabled = false;
    /// Share of the budget's capacity that is kept for nested calls and
    /// returning callers. First-time callers get only what is above it.
    double ReservedShare = 0.5;
    /// A service counts as shedding for this long after the last report of
    /// shedding by one of its gates. As long as the window in which gates
    /// measure shedding.
    Millis ReportLifetime{500};
    /// A caller whose call was shed is told to retry after ShedRetryAfter plus
    /// a random time of at most ShedRetrySpread. ShedRetryAfter is no less than
    /// Entry::Options::MinReturningAge, so that the caller then counts as
    /// returning. The sum is short enough to meet most targets.
    Millis ShedRetryAfter{30};
    Millis ShedRetrySpread{30};
    /// Services remembered. Further ones never count as shedding.
    size_t MaxServices = 10000;
  };

  /// A call that the upstream has shed.
  struct Call {
    /// A run of an upstream makes the call. It is not repeated by its caller,
    /// and its failure wastes the run.
    bool Nested = false;
    /// Its caller was refused before and has sent it again.
    bool Returning = false;
  };

  enum class CallClass { Nested, Returning, FirstTime };
  static constexpr size_t ClassCount = 3;
  static constexpr std::array<const char *, ClassCount> ClassNames = {
      "nested", "returning", "first-time"};

  /// Retries of calls that were shed, by CallClass.
  struct Counters {
    std::array<uint64_t, ClassCount> Granted{};
    std::array<uint64_t, ClassCount> Withheld{};
  };

  RetryAllocator(Options Opts, uint64_t Seed) : Opts(Opts), Rng(Seed) {}

  /// A gate of the service reports the share of calls that its upstream sheds.
  void recordReport(const std::string &Service, uint32_t ShedPercent,
                    TimePoint Now);
  /// Whether gates of the service report shedding.
  bool isShedding(const std::string &Service, TimePoint Now) const;
  /// Takes a retry for the call from its service's budget, and what the retry
  /// costs others; false if there is none for it.
  bool spendRetry(const Call &Shed, RetryBudget &Budget, TimePoint Now,
                  const std::vector<RetryBudget::Cost> &Others = {});
  /// The time after which a caller whose call was shed should retry, spread at
  /// random.
  Millis shedRetryAfter();
  /// Returns a random time between Length and twice Length, so that callers
  /// that were refused together do not retry together.
  Millis spread(Millis Length);

  const Counters &counters() const { return this->Counts; }

private:
  Millis drawUpTo(Millis Limit);

  Options Opts;
  std::mt19937_64 Rng;
  // When a gate of the service last reported shedding.
  std::map<std::string, TimePoint> ReportedAt;
  Counters Counts;
};

} // namespace hickorylift

#endif
