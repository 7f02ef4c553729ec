#include "routing/RetryBudget.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>

// Within any window W of the deployment, the entries of a service with R first
// tries a second spend at most
//   Percent * R * (W + 0.36 * W) + 3 * Reserve
// retries, because with a half-life of W / 4 at most 0.36 * W seconds' earnings
// are saved, and the reserve comes back twice in W. With a shorter half-life,
// an entry with few calls would lose most of what it earns before it needs a
// retry.
//
// Fractions are granted by dithering: what is spent is added up from a random
// start, and each time the sum reaches a whole retry, one is granted. At one
// entry the retries granted thus differ from those spent by less than one, and
// over many entries the differences cancel out.

namespace hickorylift {

namespace {

constexpr double HalfLivesPerWindow = 4;
constexpr double ReservesPerWindow = 2;

/// A number between 0 and 1 that is evenly distributed over the seeds.
double fractionOf(uint64_t Seed) {
  constexpr int MantissaBits = 53;
  return std::ldexp(
      static_cast<double>(combineHash(Seed, 0) >> (64 - MantissaBits)),
      -MantissaBits);
}

} // namespace

RetryBudget::RetryBudget(Options Opts, uint64_t Seed)
    : Opts(Opts), InReserve(Opts.Reserve), Spent(fractionOf(Seed)) {}

void RetryBudget::advance(TimePoint Now) {
  if (!this->AdvancedAt || Now <= *this->AdvancedAt) {
    this->AdvancedAt = std::max(this->AdvancedAt.value_or(Now), Now);
    return;
  }
  double Windows = std::chrono::duration<double>(Now - *this->AdvancedAt) /
                   std::chrono::duration<double>(this->Opts.Window);
  this->AdvancedAt = Now;
  double Remaining = std::exp2(-HalfLivesPerWindow * Windows);
  this->EarnedInAll *= Remaining;
  this->Earned *= Remaining;
  this->refillReserve(ReservesPerWindow * Windows * this->Opts.Reserve);
}

// Returns what the reserve has no room for.
double RetryBudget::refillReserve(double Count) {
  double Added = std::min(Count, this->Opts.Reserve - this->InReserve);
  this->InReserve += Added;
  return Count - Added;
}

void RetryBudget::recordFirstTry(double Percent, TimePoint Now) {
  constexpr double Hundred = 100;
  this->advance(Now);
  this->Earned += Percent / Hundred;
  this->EarnedInAll += Percent / Hundred;
}

// Takes earned retries first, then the reserve.
void RetryBudget::spend(double Count) {
  double FromEarned = std::min(this->Earned, Count);
  this->Earned -= FromEarned;
  this->InReserve -= std::min(this->InReserve, Count - FromEarned);
}

bool RetryBudget::spendRetry(TimePoint Now, double Kept,
                             const std::vector<Cost> &Others) {
  this->advance(Now);
  double Taken = std::min(this->balance() - Kept, 1.0);
  for (const Cost &Other : Others) {
    Other.Budget->advance(Now);
    Taken = std::min(Taken, Other.Budget->balance() / Other.Retries);
  }
  if (Taken <= 0)
    return false;
  this->spend(Taken);
  for (const Cost &Other : Others)
    Other.Budget->spend(Taken * Other.Retries);
  this->Spent += Taken;
  // Sums of shares such as 0.05 do not reach exactly one.
  constexpr double WholeRetry = 1 - 1e-9;
  if (this->Spent < WholeRetry)
    return false;
  this->Spent -= 1;
  return true;
}

void RetryBudget::refund(double Retries) {
  this->Earned += this->refillReserve(Retries);
}

void RetryBudget::limitReserve(double NewReserve) {
  this->Opts.Reserve = std::min(this->Opts.Reserve, NewReserve);
  this->InReserve = std::min(this->InReserve, this->Opts.Reserve);
}

} // namespace hickorylift
