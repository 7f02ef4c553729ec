#ifndef HICKORYLIFT_READING_STOREFIXTURE_H
#define HICKORYLIFT_READING_STOREFIXTURE_H

#include "reading/KeyValueStore.h"

#include <algorithm>
#include <cctype>
#include <deque>
#include <map>

// What tests read from a store, and a store that can be restored from a copy of
// itself.
//
//   RestorableStore Store;
//   Store.put("c", "1");
//   Store.copy();
//   Store.put("c", "2");
//   Store.restore();                       // version 1 again, in the next era
//   Store.answer(Now);                     // whatever waits for an answer

namespace hickorylift {

inline StoredItem instance(const std::string &Name, uint64_t Revision) {
  return {"i/" + Name, "live", Revision, Revision};
}

inline StoreContents contents() {
  StoreContents Out;
  Out.ConfigKey = "c";
  Out.InstancePrefix = "i/";
  Out.EvacuationPrefix = "c-e/";
  Out.ReadConfig = [](const StoredItem &Item) -> Result<ReadVersion> {
    if (Item.Value == "bad")
      return Error{Errc::Invalid, "read-item", "store", "bad"};
    return ReadVersion{std::stoull(Item.Value), {}};
  };
  Out.ReadInstance = [](const StoredItem &Item) -> Result<Instance> {
    Instance One;
    // Two entries for one place are told apart by what stands after the '+'.
    std::string Name = Item.Key.substr(2);
    One.Name = Name.substr(0, Name.find('+'));
    One.Upstream = Name;
    One.DataCentre = "north";
    One.Service = "a";
    One.Node = "127.0.0.1:1";
    One.Operator = "127.0.0.1:2";
    // "leaving", or the same with the number of the start before it.
    One.Leaving = Item.Value.find("leaving") != std::string::npos;
    // "cold" and how much longer, in milliseconds.
    if (size_t At = Item.Value.find("cold "); At != std::string::npos)
      One.ColdLeft = Millis(std::stoll(Item.Value.substr(At + 5)));
    if (std::isdigit(static_cast<unsigned char>(Item.Value.front())))
      One.Incarnation = std::stoull(Item.Value);
    if (Item.Value == "rubbish")
      return Error{Errc::Invalid, "read-item", "store", Item.Key};
    return One;
  };
  Out.KeyOf = [](const Instance &One) { return "i/" + One.Upstream; };
  return Out;
}

/// Answers when the test says so, from what was written to it.
class RestorableStore : public KeyValueStore {
public:
  /// The store's era; nothing for one that tells none.
  std::optional<uint64_t> Era = 1;

  void put(const std::string &Key, const std::string &Value) {
    ++this->Now.Revision;
    auto [At, New] = this->Now.Items.try_emplace(Key);
    StoredItem &Item = At->second;
    Item.Key = Key;
    Item.Value = Value;
    Item.Revision = this->Now.Revision;
    if (New)
      Item.Created = this->Now.Revision;
    this->Now.History.push_back({Key, this->Now.Revision, Item});
  }

  void remove(const std::string &Key) {
    ++this->Now.Revision;
    this->Now.Items.erase(Key);
    this->Now.History.push_back({Key, this->Now.Revision, std::nullopt});
  }

  void copy() { this->Copy = this->Now; }

  /// Watches that wait are cut.
  void restore() {
    for (Watch &One : this->Watches)
      One.Cut = true;
    this->Now = this->Copy;
    if (this->Era)
      ++*this->Era;
  }

  uint64_t revision() const { return this->Now.Revision; }
  size_t ranges() const { return this->Ranges; }

  void range(const std::string &Prefix, const std::string &, TimePoint,
             GotPage Done) override {
    ++this->Ranges;
    this->Pages.emplace_back(Prefix, std::move(Done));
  }

  void watch(const std::string &Prefix, uint64_t After, Millis Wait,
             TimePoint Asked, GotChanges Done) override {
    this->Watches.push_back({Prefix, After, Asked + Wait, std::move(Done)});
  }

  void answer(TimePoint At) {
    for (auto &[Prefix, Done] : std::exchange(this->Pages, {}))
      Done(this->page(Prefix), At);
    for (Watch &One : std::exchange(this->Watches, {}))
      this->answer(One, At);
  }

private:
  struct State {
    std::map<std::string, StoredItem> Items;
    std::vector<ItemChange> History;
    uint64_t Revision = 0;
  };

  struct Watch {
    std::string Prefix;
    uint64_t After = 0;
    TimePoint Until;
    GotChanges Done;
    bool Cut = false;
  };

  static bool begins(const std::string &Key, const std::string &Prefix) {
    return Key.rfind(Prefix, 0) == 0;
  }

  ItemPage page(const std::string &Prefix) const {
    ItemPage Out;
    Out.At = this->Now.Revision;
    Out.Era = this->Era;
    for (const auto &[Key, Item] : this->Now.Items)
      if (begins(Key, Prefix))
        Out.Items.push_back(Item);
    return Out;
  }

  void answer(Watch &Of, TimePoint At) {
    if (Of.Cut)
      return Of.Done(Error{Errc::Closed, "store-watch", "store", "cut"}, At);
    if (Of.After > this->Now.Revision)
      return Of.Done(Error{Errc::Stale, "store-watch", "store", "gone"}, At);
    ItemChanges Out;
    Out.At = this->Now.Revision;
    Out.Era = this->Era;
    for (const ItemChange &One : this->Now.History)
      if (One.Revision > Of.After && begins(One.Key, Of.Prefix))
        Out.Changes.push_back(One);
    if (Out.Changes.empty() && At < Of.Until)
      return this->Watches.push_back(std::move(Of));
    Of.Done(Out, At);
  }

  State Now;
  State Copy;
  size_t Ranges = 0;
  std::vector<std::pair<std::string, GotPage>> Pages;
  std::vector<Watch> Watches;
};

} // namespace hickorylift

#endif
