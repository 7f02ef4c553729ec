#ifndef HICKORYLIFT_READING_STOREFIXTURE_H
#define HICKORYLIFT_READING_STOREFIXTURE_H

#include "reading/KeyValueStore.h"

#include <algorithm>
#include <cctype>
#include <deque>
#include <map>

// A store layout for tests, and an in-memory store that can be restored from a
// copy of itself.
//
//   RestorableStore Store;
//   Store.put("c", "1");
//   Store.saveCopy();
//   Store.put("c", "2");
//   Store.restore();       // back to version 1, in the next era
//   Store.answer(Now);     // completes pending requests
//
// Each node can have its own access to the store, which can be lost:
//
//   StoreAccess Access(Store);
//   Access.Reachable = false;

namespace hickorylift {

inline StoredItem storedInstance(const std::string &Name, uint64_t Revision) {
  return {"i/" + Name, "live", Revision, Revision};
}

/// Layout of the test store: the version under "c", instances under "i/" and
/// evacuations under "c-e/". The value of an instance is its state, or "of" and
/// its service. Text after
/// the number of a version is an issue of the record route/r@3.
inline StoreLayout testLayout() {
  StoreLayout Layout;
  Layout.ConfigKey = "c";
  Layout.InstancePrefix = "i/";
  Layout.EvacuationPrefix = "c-e/";
  Layout.ReadConfig = [](const StoredItem &Item) -> Result<ParsedConfig> {
    if (Item.Value == "bad")
      return Error{Errc::Invalid, "read-item", "store", "bad"};
    ParsedConfig Parsed{std::stoull(Item.Value), {}};
    if (size_t At = Item.Value.find(' '); At != std::string::npos)
      Parsed.Issues.push_back({"route/r@3", Item.Value.substr(At + 1)});
    return Parsed;
  };
  Layout.ReadInstance = [](const StoredItem &Item) -> Result<Instance> {
    Instance Parsed;
    // A suffix after '+' distinguishes two entries with the same name.
    std::string Name = Item.Key.substr(2);
    Parsed.Name = Name.substr(0, Name.find('+'));
    Parsed.Upstream = Name;
    Parsed.DataCentre = "north";
    Parsed.Service = "a";
    if (size_t At = Item.Value.find("of "); At != std::string::npos)
      Parsed.Service = Item.Value.substr(At + 3);
    Parsed.Node = "127.0.0.1:1";
    Parsed.Operator = "127.0.0.1:2";
    // "leaving", optionally preceded by the incarnation.
    Parsed.Leaving = Item.Value.find("leaving") != std::string::npos;
    // "cold" followed by the remaining milliseconds.
    if (size_t At = Item.Value.find("cold "); At != std::string::npos)
      Parsed.ColdLeft = Millis(std::stoll(Item.Value.substr(At + 5)));
    if (std::isdigit(static_cast<unsigned char>(Item.Value.front())))
      Parsed.Incarnation = std::stoull(Item.Value);
    if (Item.Value == "rubbish")
      return Error{Errc::Invalid, "read-item", "store", Item.Key};
    return Parsed;
  };
  Layout.InstanceKey = [](const Instance &Listed) {
    return "i/" + Listed.Upstream;
  };
  return Layout;
}

/// In-memory store that answers requests only in answer().
class RestorableStore : public KeyValueStore {
public:
  /// The store's era; nothing for a store that does not report one.
  std::optional<uint64_t> Era = 1;

  void put(const std::string &Key, const std::string &Value) {
    ++this->Current.Revision;
    auto [Position, IsNew] = this->Current.Items.try_emplace(Key);
    StoredItem &Item = Position->second;
    Item.Key = Key;
    Item.Value = Value;
    Item.Revision = this->Current.Revision;
    if (IsNew)
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

  /// Returns to the saved copy in the next era and closes pending watches.
  void restore() {
    for (PendingWatch &Pending : this->PendingWatches)
      Pending.Closed = true;
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
             TimePoint AskedAt, ChangesCallback Done) override {
    this->PendingWatches.push_back(
        {Prefix, After, AskedAt + Wait, std::move(Done)});
  }

  void cancel(const std::string &Prefix) override {
    std::erase_if(this->PendingRanges,
                  [&](const auto &Pending) { return Pending.first == Prefix; });
    std::erase_if(this->PendingWatches, [&](const PendingWatch &Pending) {
      return Pending.Prefix == Prefix;
    });
  }

  void answer(TimePoint Now) {
    for (auto &[Prefix, Done] : std::exchange(this->PendingRanges, {}))
      Done(this->page(Prefix), Now);
    for (PendingWatch &Pending : std::exchange(this->PendingWatches, {}))
      this->answer(Pending, Now);
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
    ItemPage Page;
    Page.Revision = this->Current.Revision;
    Page.Era = this->Era;
    for (const auto &[Key, Item] : this->Current.Items)
      if (startsWith(Key, Prefix))
        Page.Items.push_back(Item);
    return Page;
  }

  void answer(PendingWatch &Pending, TimePoint Now) {
    if (Pending.Closed)
      return Pending.Done(Error{Errc::Closed, "store-watch", "store", "closed"},
                          Now);
    if (Pending.After > this->Current.Revision)
      return Pending.Done(
          Error{Errc::Stale, "store-watch", "store", "history gone"}, Now);
    ItemChanges Answer;
    Answer.Revision = this->Current.Revision;
    Answer.Era = this->Era;
    for (const ItemChange &Change : this->Current.History)
      if (Change.Revision > Pending.After &&
          startsWith(Change.Key, Pending.Prefix))
        Answer.Changes.push_back(Change);
    if (Answer.Changes.empty() && Now < Pending.Until)
      return this->PendingWatches.push_back(std::move(Pending));
    Pending.Done(Answer, Now);
  }

  State Current;
  State SavedCopy;
  size_t RangeCalls = 0;
  std::vector<std::pair<std::string, PageCallback>> PendingRanges;
  std::vector<PendingWatch> PendingWatches;
};

/// The access of one node to a store. Requests fail while the store is not
/// reachable, also those that were sent before.
class StoreAccess : public KeyValueStore {
public:
  explicit StoreAccess(KeyValueStore &Store) : Store(Store) {}

  bool Reachable = true;

  void range(const std::string &Prefix, const std::string &After, TimePoint Now,
             PageCallback Done) override {
    if (!this->Reachable)
      return this->failLater<ItemPage>("store-range", std::move(Done));
    this->Store.range(Prefix, After, Now,
                      this->failIfLost<ItemPage>(std::move(Done)));
  }

  void watch(const std::string &Prefix, uint64_t After, Millis Wait,
             TimePoint Now, ChangesCallback Done) override {
    if (!this->Reachable)
      return this->failLater<ItemChanges>("store-watch", std::move(Done));
    this->Store.watch(Prefix, After, Wait, Now,
                      this->failIfLost<ItemChanges>(std::move(Done)));
  }

  // The store is shared by several nodes: the answers are only dropped.
  void cancel(const std::string &) override {}

  /// Fails the requests that were sent while the store was not reachable.
  void answer(TimePoint Now) {
    for (const auto &Fail : std::exchange(this->Failures, {}))
      Fail(Now);
  }

private:
  template <typename T>
  using Callback = std::function<void(Result<T>, TimePoint)>;

  static Error unreachable(const char *Step) {
    return Error{Errc::Unreachable, Step, "store", "cut off"};
  }

  template <typename T> void failLater(const char *Step, Callback<T> Done) {
    this->Failures.push_back([Step, Done = std::move(Done)](TimePoint Now) {
      Done(unreachable(Step), Now);
    });
  }

  template <typename T> Callback<T> failIfLost(Callback<T> Done) {
    return [this, Done = std::move(Done)](const Result<T> &Got, TimePoint Now) {
      Done(this->Reachable ? Got : Result<T>(unreachable("store-watch")), Now);
    };
  }

  KeyValueStore &Store;
  std::vector<std::function<void(TimePoint)>> Failures;
};

} // namespace hickorylift

#endif
