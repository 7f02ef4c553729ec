#ifndef HICKORYLIFT_BUDGET_RESOURCEBUDGET_H
#define HICKORYLIFT_BUDGET_RESOURCEBUDGET_H

#include "base/Time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

// A ResourceBudget limits the memory and the connections that this process
// holds for all others together: callers, peers, operators, and the calls that
// are at its gate. It has no limit for any one of them. When a limit is
// exceeded, it evicts those who take most and move least.
//
//   ResourceBudget Budget(ResourceBudget::Options(), Hooks);
//   Budget.addSource(ResourceBudget::Kind::Caller, {.Measure = ...,
//                                                   .Evict = ...});
//   Budget.touch({ResourceBudget::Kind::Caller, Connection});
//   Budget.settle(Now);              // at the end of the turn of the loop

namespace hickorylift {

class ResourceBudget {
public:
  /// What a holder is: a caller's connection, one to or from a peer, an
  /// operator's connection, or a call at the gate.
  enum class Kind { Caller, Peer, Operator, Call };
  static constexpr std::array<Kind, 4> Kinds = {Kind::Caller, Kind::Peer,
                                                Kind::Operator, Kind::Call};

  /// Identifies a holder. The numbers are those of its source.
  struct Holder {
    Kind Of = Kind::Caller;
    uint64_t High = 0;
    uint64_t Low = 0;

    auto operator<=>(const Holder &) const = default;
  };

  struct Usage {
    /// Memory held for it, in bytes.
    size_t Bytes = 0;
    /// Descriptors of connections that the other side has opened.
    size_t Connections = 0;
    /// All bytes that have come in for it so far, in either direction. Those
    /// that are not held any more have moved on.
    uint64_t TotalBytes = 0;
    /// Nothing goes on until the other side sends or reads something.
    bool OtherSideActs = true;
  };

  struct Source {
    /// Nothing if the holder has ended or holds nothing any more.
    std::function<std::optional<Usage>(const Holder &)> Measure;
    /// Ends the holder, or frees what is held for it.
    std::function<void(const Holder &, TimePoint)> Evict;
  };

  struct Options {
    /// Memory held for all holders together, in bytes.
    size_t MaxBytes = 32u << 20;
    /// Connections that others may have open to this process.
    size_t MaxConnections = 8192;
    /// Charged for each holder besides what it reports: the structures that
    /// represent it, and its share of the allocator's overhead.
    size_t HolderBytes = 4096;
    /// An eviction frees down to this percentage of the limit, so that not each
    /// new holder causes the next one.
    unsigned FreeToPercent = 95;
    /// A holder with at least this share of MaxBytes, as its reciprocal, is
    /// evicted for its memory; smaller ones only when no such holder is left.
    size_t LargeHolderShare = 1024;
  };

  /// A holder that was evicted, and for which limit.
  struct Eviction {
    Holder Of;
    Usage Held;
    /// How long it has not moved.
    Millis StalledFor{0};
    /// "memory" or "connections".
    const char *Limit = "";
  };

  struct Hooks {
    /// A holder was touched for the first time since the last settle(): call
    /// settle() soon.
    std::function<void()> SettleSoon = [] {};
    std::function<void(const Eviction &, TimePoint)> Evicted =
        [](const Eviction &, TimePoint) {};
  };

  struct Counters {
    /// Evictions by the kind of the holder.
    std::map<Kind, uint64_t> Evicted;
    /// Most bytes that were held after a settle().
    size_t PeakBytes = 0;
  };

  ResourceBudget(Options Opts, Hooks GivenHooks)
      : Opts(Opts), Hook(std::move(GivenHooks)) {}

  void addSource(Kind Of, Source From) { this->Sources[Of] = std::move(From); }
  /// What is held for this holder may have changed, or it is new.
  void touch(const Holder &Of);
  /// Measures the holders that were touched, and evicts while a limit is
  /// exceeded.
  void settle(TimePoint Now);

  size_t bytes() const { return this->Bytes; }
  size_t connections() const { return this->Connections; }
  size_t bytes(Kind Of) const;
  size_t holders(Kind Of) const;
  const Options &options() const { return this->Opts; }
  const Counters &counters() const { return this->Counts; }

private:
  struct Account {
    Usage Last;
    // Bytes that had moved on when the holder last moved, and when that was.
    uint64_t MovedBytes = 0;
    TimePoint MovedAt;
  };
  using Accounts = std::map<Holder, Account>;

  void measure(const Holder &Of, TimePoint Now);
  void charge(const Usage &Of);
  void release(const Usage &Of);
  bool exceeds(unsigned Percent) const;
  void evict(TimePoint Now);
  void evictInOrder(const std::vector<Holder> &Order, const char *Limit,
                    const std::function<bool()> &Enough, TimePoint Now);
  std::vector<Holder> orderByMemory(TimePoint Now) const;
  std::vector<Holder> orderByStall(TimePoint Now) const;

  Options Opts;
  Hooks Hook;
  std::map<Kind, Source> Sources;
  Accounts Open;
  std::set<Holder> Touched;
  size_t Bytes = 0;
  size_t Connections = 0;
  Counters Counts;
};

const char *kindName(ResourceBudget::Kind Of);

} // namespace hickorylift

#endif
