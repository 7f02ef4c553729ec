#ifndef HICKORYLIFT_GATE_PRIORITYRESERVE_H
#define HICKORYLIFT_GATE_PRIORITYRESERVE_H

#include "base/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

// A PriorityReserve keeps slots of an upstream free for the urgent calls that
// ran there a moment ago and are likely to come again. A less urgent call that
// has begun keeps its slot until it ends, so the order of the queue alone does
// not help an urgent call. Lower numbers are more urgent priorities.
//
//   PriorityReserve Reserve(Options);
//   Reserve.callStarted(/*Priority=*/1, Now);
//   Reserve.callEnded(/*Priority=*/1, Now);
//   if (Running + Reserve.reservedSlots(/*Priority=*/5, Slots, Now) < Slots)
//     start(Call);

namespace hickorylift {

class PriorityReserve {
public:
  struct Options {
    bool Enabled = false;
    /// At most this share of the slots is reserved.
    double MaxShare = 0.25;
    /// This many slots are always open to all calls.
    size_t MinOpenSlots = 2;
    /// The highest number of urgent calls that ran at the same time is taken
    /// from this time.
    Millis Window{1000};
  };

  /// Calls have begun to find only reserved slots free, or none has done so for
  /// longer than Window. If Begins is false, the other members are not set.
  struct Change {
    bool Begins = false;
    uint32_t Priority = 0;
    size_t Reserved = 0;
    size_t Slots = 0;
  };
  using ChangeHook = std::function<void(const Change &, TimePoint)>;

  explicit PriorityReserve(Options Opts) : Opts(Opts) {}

  bool isEnabled() const { return this->Opts.Enabled; }
  void setChangeHook(ChangeHook Hook) { this->OnChange = std::move(Hook); }

  void callStarted(uint32_t Priority, TimePoint Now);
  void callEnded(uint32_t Priority, TimePoint Now);
  /// Number of slots that are reserved for calls more urgent than Priority.
  /// Never less than for a more urgent priority.
  size_t reservedSlots(uint32_t Priority, size_t Slots, TimePoint Now);
  /// A call has found only reserved slots, and waits or is refused.
  void recordBlocked(uint32_t Priority, bool CallWaits, size_t Slots,
                     TimePoint Now);
  /// Reports the end if no call has been blocked by the reserve for longer than
  /// Window.
  void expire(TimePoint Now);

  uint64_t waitCount() const { return this->Waits; }
  uint64_t refusalCount() const { return this->Refusals; }

private:
  /// Priorities of Priorities - 1 and above are treated as one.
  static constexpr size_t Priorities = 10;
  /// The window is divided into this many parts; the oldest expires as a whole.
  static constexpr size_t WindowParts = 10;

  static size_t level(uint32_t Priority);
  void advance(TimePoint Now);
  size_t peak(size_t Level) const;

  /// Numbers of running calls that are more urgent than each priority.
  using Counts = std::array<uint32_t, Priorities>;

  Options Opts;
  ChangeHook OnChange = [](const Change &, TimePoint) {};
  Counts Running{};
  // The highest numbers in each part of the window. The current part is not
  // complete, so one more than WindowParts are kept.
  std::array<Counts, WindowParts + 1> Highest{};
  size_t CurrentPart = 0;
  TimePoint PartStart;
  bool Blocking = false;
  TimePoint LastBlockedAt;
  uint64_t Waits = 0;
  uint64_t Refusals = 0;
};

} // namespace hickorylift

#endif
