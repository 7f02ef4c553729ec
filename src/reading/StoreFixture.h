#ifndef HICKORYLIFT_READING_STOREFIXTURE_H
#define HICKORYLIFT_READING_STOREFIXTURE_H

#include "reading/KeyValueStore.h"

#include <algorithm>
#include <cctype>
#include <deque>
#include <map>

// Store contents for tests, and an in-memory store that can be restored from a
// copy of itself.
//
//   RestorableStore Store;
//   Store.put("c", "1");
//   Store.copy();
//   Store.put("c", "2");
//   Store.restore();                       // back to version 1, in the next
//   era Store.answer(Now);                     // completes pending requests

namespace hickorylift {

inline StoredItem storedInstance(const std::string &Name, uint64_t Revision) {
  return {"i/" + Name, "live", Revision, Revision};
}

inline StoreLayout testLayout() {
  StoreLayout Out;
  Out.ConfigKey = "c";
  Out.InstancePrefix = "i/";
  Out.EvacuationPrefix = "c-e/";
  Out.ReadConfig = [](const StoredItem &Item) -> Result<ParsedConfig> {
    if (Item.Value == "bad")
      return Error{Errc::Invalid, "read-item", "store", "bad"};
    return ParsedConfig{std::stoull(Item.Value), {}};
  };
  Out.ReadInstance = [](const StoredItem &Item) -> Result<Instance> {
    Instance One;
    // A suffix after '+' distinguishes two entries with the same name.
    std::string Name = Item.Key.substr(2);
    One.Name = Name.substr(0, Name.find('+'));
    One.Upstream = Name;
    One.DataCentre = "north";
    One.Service = "a";
    One.Node = "127.0.0.1:1";
    One.Operator = "127.0.0.1:2";
    // "leaving", optionally preceded by the incarnation.
    One.Leaving = Item.Value.find("leaving") != std::string::npos;
    // "cold" followed by the remaining milliseconds.
    if (size_t At = Item.Value.find("cold "); At != std::string::npos)
      One.ColdLeft = Millis(std::stoll(Item.Value.substr(At + 5)));
    if (std::isdigit(static_cast<unsigned char>(Item.Value.front())))
      One.Incarnation = std::stoull(Item.Value);
    if (Item.Value == "rubbish")
      return Error{Errc::Invalid, "read-item", "store", Item.Key};
    return One;
  };
  Out.InstanceKey = [](const Instance &One) { return "i/" + One.Upstream; };
  return Out;
}

/// In-memory store that answers requests only in answer().
class RestorableStore : public KeyValueStore {
public:
  /// The store's era; nothing for a store that does not report one.
  std::optional<uint64_t> Era = 1;

  void put(const std::string &Key, const std::string &Value) {
    ++this->Current.Revision;
    auto [At, New] = this->Current.Items.try_emplace(Key);
    StoredItem &Item = At->second;
    Item.Key = Key;
    Item.Value = Value;
    Item.Revision = this->Current.Revision;
    if (New)
      Item.CreatedRevision = this->Current.Revision;
    this->Current.History.push_back({Key, this->Current.Revision, Item});
  }

  void remove(const std::string &Key) {
    ++this->Current.Revision;
    this->Current.Items.erase(Key);
    this->Current.History.push_back(
        {Key, this->Current.Revision, std::nullopt});
  }

  void saveCopy() { this->SavedCopy = this->Current; }

  /// Returns to the last copy in the next era and closes pending watches.
  void restore() {
    for (PendingWatch &One : this->PendingWatches)
      One.Closed = true;
    this->Current = this->SavedCopy;
    if (this->Era)
      ++*this->Era;
  }

  uint64_t revision() const { return this->Current.Revision; }
  size_t rangeCalls() const { return this->RangeCalls; }

  void range(const std::string &Prefix, const std::string &, TimePoint,
             PageCallback Done) override {
    ++this->RangeCalls;
    this->PendingRanges.emplace_back(Prefix, std::move(Done));
  }

  void watch(const std::string &Prefix, uint64_t After, Millis Wait,
             TimePoint Asked, ChangesCallback Done) override {
    this->PendingWatches.push_back(
        {Prefix, After, Asked + Wait, std::move(Done)});
  }

  void answer(TimePoint At) {
    for (auto &[Prefix, Done] : std::exchange(this->PendingRanges, {}))
      Done(this->page(Prefix), At);
    for (PendingWatch &One : std::exchange(this->PendingWatches, {}))
      this->answer(One, At);
  }

private:
  struct State {
    std::map<std::string, StoredItem> Items;
    std::vector<ItemChange> History;
    uint64_t Revision = 0;
  };

  struct PendingWatch {
    std::string Prefix;
    uint64_t After = 0;
    TimePoint Until;
    ChangesCallback Done;
    bool Closed = false;
  };

  static bool startsWith(const std::string &Key, const std::string &Prefix) {
    return Key.rfind(Prefix, 0) == 0;
  }

  ItemPage page(const std::string &Prefix) const {
    ItemPage Out;
    Out.Revision = this->Current.Revision;
    Out.Era = this->Era;
    for (const auto &[Key, Item] : this->Current.Items)
      if (startsWith(Key, Prefix))
        Out.Items.push_back(Item);
    return Out;
  }

  void answer(PendingWatch &Of, TimePoint At) {
    if (Of.Closed)
      return Of.Done(Error{Errc::Closed, "store-watch", "store", "closed"}, At);
    if (Of.After > this->Current.Revision)
      return Of.Done(Error{Errc::Stale, "store-watch", "store", "history gone"},
                     At);
    ItemChanges Out;
    Out.Revision = this->Current.Revision;
    Out.Era = this->Era;
    for (const ItemChange &One : this->Current.History)
      if (One.Revision > Of.After && startsWith(One.Key, Of.Prefix))
        Out.Changes.push_back(One);
    if (Out.Changes.empty() && At < Of.Until)
      return this->PendingWatches.push_back(std::move(Of));
    Of.Done(Out, At);
  }

  State Current;
  State SavedCopy;
  size_t RangeCalls = 0;
  std::vector<std::pair<std::string, PageCallback>> PendingRanges;
  std::vector<PendingWatch> PendingWatches;
};

} // namespace hickorylift

#endif
