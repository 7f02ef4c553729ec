#include "gate/PriorityReserve.h"

#include <algorithm>
#include <utility>

// For each priority the class counts the running calls that are more urgent,
// and remembers the highest count of each tenth of the window. So the cost of a
// decision depends on neither the number of calls nor the number of slots.

namespace hickorylift {

size_t PriorityReserve::level(uint32_t Priority) {
  return std::min<size_t>(Priority, Priorities - 1);
}

// Moves on to the part of the window that contains Now. The calls that run when
// a part begins count in it.
void PriorityReserve::advance(TimePoint Now) {
  Clock::duration PartLength = this->Opts.Window / WindowParts;
  if (Now - this->PartStart < PartLength)
    return;
  size_t Passed = std::min<size_t>((Now - this->PartStart) / PartLength,
                                   this->Highest.size());
  for (size_t I = 0; I < Passed; ++I) {
    this->CurrentPart = (this->CurrentPart + 1) % this->Highest.size();
    this->Highest[this->CurrentPart] = this->Running;
  }
  this->PartStart = Now - (Now - this->PartStart) % PartLength;
}

void PriorityReserve::callStarted(uint32_t Priority, TimePoint Now) {
  if (!this->Opts.Enabled)
    return;
  this->advance(Now);
  Counts &Part = this->Highest[this->CurrentPart];
  for (size_t I = level(Priority) + 1; I < Priorities; ++I)
    Part[I] = std::max(Part[I], ++this->Running[I]);
}

void PriorityReserve::callEnded(uint32_t Priority, TimePoint Now) {
  if (!this->Opts.Enabled)
    return;
  this->advance(Now);
  for (size_t I = level(Priority) + 1; I < Priorities; ++I)
    if (this->Running[I] > 0)
      --this->Running[I];
}

size_t PriorityReserve::peak(size_t Level) const {
  uint32_t Result = 0;
  for (const Counts &Part : this->Highest)
    Result = std::max(Result, Part[Level]);
  return Result;
}

// A running call of a medium priority lowers the number of slots reserved from
// less urgent calls, but not the number reserved from its own priority. Without
// the maximum over all priorities up to this one, a less urgent call could take
// a slot that calls of the medium priority must leave free.
size_t PriorityReserve::reservedSlots(uint32_t Priority, size_t Slots,
                                      TimePoint Now) {
  if (!this->Opts.Enabled || Slots <= this->Opts.MinOpenSlots)
    return 0;
  this->advance(Now);
  size_t Wanted = 0;
  for (size_t I = 1; I <= level(Priority); ++I)
    Wanted = std::max(Wanted, this->peak(I) - this->Running[I]);
  auto Most =
      static_cast<size_t>(this->Opts.MaxShare * static_cast<double>(Slots));
  return std::min({Wanted, Most, Slots - this->Opts.MinOpenSlots});
}

void PriorityReserve::recordBlocked(uint32_t Priority, bool CallWaits,
                                    size_t Slots, TimePoint Now) {
  ++(CallWaits ? this->Waits : this->Refusals);
  this->LastBlockedAt = Now;
  if (std::exchange(this->Blocking, true))
    return;
  this->OnChange({/*Begins=*/true, Priority,
                  this->reservedSlots(Priority, Slots, Now), Slots},
                 Now);
}

void PriorityReserve::expire(TimePoint Now) {
  if (!this->Blocking || Now - this->LastBlockedAt <= this->Opts.Window)
    return;
  this->Blocking = false;
  this->OnChange(Change(), Now);
}

} // namespace hickorylift
