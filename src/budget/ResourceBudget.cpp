#include "budget/ResourceBudget.h"

#include <algorithm>
#include <tuple>
#include <utility>

// A holder has moved when as many bytes have moved on as are held for it: then
// everything that was held has been replaced. Bytes that only come in are no
// movement, so a caller that sends a body byte by byte and never ends it stands
// like one that sends nothing. While it is not the other side's turn, as for a
// request that waits for its upstream, the holder counts as moving.
//
// Memory is taken back first from large holders, by their bytes times the time
// for which they have not moved: a crowd of unfinished bodies goes before a
// caller whose body has just come, and that before one which waits for its
// answer. Small holders, idle connections above all, follow only if their
// number exceeds the limit. Connections are taken back by the time alone. In
// either order an ordinary caller, whose request is small and just now on its
// way, comes last.

namespace hickorylift {

namespace {

constexpr unsigned AllPercent = 100;

uint64_t movedBytes(const ResourceBudget::Usage &Of) {
  return Of.TotalBytes - std::min<uint64_t>(Of.TotalBytes, Of.Bytes);
}

} // namespace

const char *kindName(ResourceBudget::Kind Of) {
  switch (Of) {
  case ResourceBudget::Kind::Caller:
    return "caller";
  case ResourceBudget::Kind::Peer:
    return "peer";
  case ResourceBudget::Kind::Operator:
    return "operator";
  case ResourceBudget::Kind::Call:
    return "call";
  }
  return "unknown";
}

void ResourceBudget::touch(const Holder &Of) {
  if (this->Touched.empty())
    this->Hook.SettleSoon();
  this->Touched.insert(Of);
}

void ResourceBudget::charge(const Usage &Of) {
  this->Bytes += this->Opts.HolderBytes + Of.Bytes;
  this->Connections += Of.Connections;
}

void ResourceBudget::release(const Usage &Of) {
  this->Bytes -= this->Opts.HolderBytes + Of.Bytes;
  this->Connections -= Of.Connections;
}

void ResourceBudget::measure(const Holder &Of, TimePoint Now) {
  std::optional<Usage> Current = this->Sources.at(Of.Of).Measure(Of);
  auto Found = this->Open.find(Of);
  if (Found != this->Open.end())
    this->release(Found->second.Last);
  if (!Current) {
    if (Found != this->Open.end())
      this->Open.erase(Found);
    return;
  }
  bool New = Found == this->Open.end();
  Account &Its = New ? this->Open[Of] : Found->second;
  Its.Last = *Current;
  this->charge(*Current);
  uint64_t Moved = movedBytes(*Current);
  bool HasMoved =
      Moved > Its.MovedBytes && Moved - Its.MovedBytes >= Current->Bytes;
  if (!New && Current->OtherSideActs && !HasMoved)
    return;
  Its.MovedBytes = Moved;
  Its.MovedAt = Now;
}

void ResourceBudget::settle(TimePoint Now) {
  for (const Holder &One : std::exchange(this->Touched, {}))
    this->measure(One, Now);
  if (this->exceeds(AllPercent))
    this->evict(Now);
  this->Counts.PeakBytes = std::max(this->Counts.PeakBytes, this->Bytes);
}

bool ResourceBudget::exceeds(unsigned Percent) const {
  return this->Bytes > this->Opts.MaxBytes / AllPercent * Percent ||
         this->Connections > this->Opts.MaxConnections * Percent / AllPercent;
}

std::vector<ResourceBudget::Holder>
ResourceBudget::orderByMemory(TimePoint Now) const {
  // Large ones first, by bytes times milliseconds; then by milliseconds.
  using Weight = std::tuple<uint64_t, int64_t, size_t>;
  size_t Large = this->Opts.MaxBytes / this->Opts.LargeHolderShare;
  std::vector<std::pair<Weight, Holder>> Order;
  for (const auto &[Of, Its] : this->Open) {
    int64_t StalledMs =
        Its.Last.OtherSideActs ? 1 + toMillis(Now - Its.MovedAt).count() : 0;
    uint64_t Product =
        Its.Last.Bytes * static_cast<uint64_t>(std::max<int64_t>(1, StalledMs));
    bool IsLarge = Its.Last.Bytes >= Large;
    Order.push_back({{IsLarge ? Product : 0, StalledMs, Its.Last.Bytes}, Of});
  }
  std::sort(Order.rbegin(), Order.rend());
  std::vector<Holder> Out;
  for (const auto &One : Order)
    Out.push_back(One.second);
  return Out;
}

std::vector<ResourceBudget::Holder>
ResourceBudget::orderByStall(TimePoint Now) const {
  using Weight = std::pair<int64_t, size_t>;
  std::vector<std::pair<Weight, Holder>> Order;
  for (const auto &[Of, Its] : this->Open) {
    if (Its.Last.Connections == 0)
      continue;
    int64_t StalledMs =
        Its.Last.OtherSideActs ? 1 + toMillis(Now - Its.MovedAt).count() : 0;
    Order.push_back({{StalledMs, Its.Last.Bytes}, Of});
  }
  std::sort(Order.rbegin(), Order.rend());
  std::vector<Holder> Out;
  for (const auto &One : Order)
    Out.push_back(One.second);
  return Out;
}

void ResourceBudget::evict(TimePoint Now) {
  size_t EnoughBytes =
      this->Opts.MaxBytes / AllPercent * this->Opts.FreeToPercent;
  size_t EnoughConnections =
      this->Opts.MaxConnections * this->Opts.FreeToPercent / AllPercent;
  if (this->Connections > this->Opts.MaxConnections)
    this->evictInOrder(
        this->orderByStall(Now), "connections",
        [&] { return this->Connections <= EnoughConnections; }, Now);
  if (this->Bytes > this->Opts.MaxBytes)
    this->evictInOrder(
        this->orderByMemory(Now), "memory",
        [&] { return this->Bytes <= EnoughBytes; }, Now);
}

// What is charged may be out of date where a buffer has shrunk since, so each
// holder is measured again before it is evicted. An eviction may end others as
// well, and touch any of them.
void ResourceBudget::evictInOrder(const std::vector<Holder> &Order,
                                  const char *Limit,
                                  const std::function<bool()> &Enough,
                                  TimePoint Now) {
  for (const Holder &One : Order) {
    if (Enough())
      return;
    this->measure(One, Now);
    auto Found = this->Open.find(One);
    if (Found == this->Open.end() || Enough())
      continue;
    Eviction Event{One, Found->second.Last,
                   toMillis(Now - Found->second.MovedAt), Limit};
    ++this->Counts.Evicted[One.Of];
    this->Hook.Evicted(Event, Now);
    this->Sources.at(One.Of).Evict(One, Now);
    this->measure(One, Now);
  }
}

size_t ResourceBudget::bytes(Kind Of) const {
  size_t Sum = 0;
  for (const auto &[Who, Its] : this->Open)
    Sum += Who.Of == Of ? this->Opts.HolderBytes + Its.Last.Bytes : 0;
  return Sum;
}

size_t ResourceBudget::holders(Kind Of) const {
  return static_cast<size_t>(
      std::count_if(this->Open.begin(), this->Open.end(),
                    [&](const auto &One) { return One.first.Of == Of; }));
}

} // namespace hickorylift
