#ifndef HICKORYLIFT_READING_KEYVALUESTORE_H
#define HICKORYLIFT_READING_KEYVALUESTORE_H

#include "base/Error.h"
#include "base/Time.h"
#include "config/Document.h"
#include "membership/Membership.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

// A KeyValueStore is a keyspace that we may read and watch: one counter of
// revisions for all keys, pages that are not a snapshot, and a history that is
// dropped after a while. A store that is restored from an older copy starts a
// new era, in which revision numbers are reused. An adapter makes the calls;
// StoreReader decides when.

namespace hickorylift {

struct StoredItem {
  std::string Key;
  std::string Value;
  /// Of its last change, and of its creation.
  uint64_t Revision = 0;
  uint64_t CreatedRevision = 0;
};

struct ItemPage {
  std::vector<StoredItem> Items;
  /// Whether more follow after the last key.
  bool HasMore = false;
  /// The store's revision when it answered.
  uint64_t Revision = 0;
  /// The era of that revision, if the store reports one.
  std::optional<uint64_t> Era{};
};

struct ItemChange {
  std::string Key;
  uint64_t Revision = 0;
  /// Nothing where the item was removed.
  std::optional<StoredItem> Item;
};

struct ItemChanges {
  std::vector<ItemChange> Changes;
  /// Where the next watch goes on.
  uint64_t Revision = 0;
  /// The era of that revision, if the store reports one.
  std::optional<uint64_t> Era{};
};

class KeyValueStore {
public:
  using PageCallback = std::function<void(Result<ItemPage>, TimePoint)>;
  using ChangesCallback = std::function<void(Result<ItemChanges>, TimePoint)>;

  virtual ~KeyValueStore() = default;

  /// Items whose keys begin with Prefix, from the one after After on. Done is
  /// called once, never from within range.
  virtual void range(const std::string &Prefix, const std::string &After,
                     TimePoint Now, PageCallback Done) = 0;
  /// Waits for changes after a revision, at most Wait. Errc::Stale where the
  /// store no longer has the history from there on.
  virtual void watch(const std::string &Prefix, uint64_t After, Millis Wait,
                     TimePoint Now, ChangesCallback Done) = 0;
};

/// A version of the configuration as an adapter has read it.
struct ParsedConfig {
  uint64_t Version = 0;
  EntryMap Records;
};

/// What the items of a store mean.
struct StoreLayout {
  /// Prefix of all keys that matter.
  std::string Prefix;
  /// The item that holds the newest version, whole.
  std::string ConfigKey;
  /// Each item under it is one instance.
  std::string InstancePrefix;
  /// Each item under it stands for an evacuated data centre, whose name follows
  /// it. Empty where the store has none.
  std::string EvacuationPrefix;
  std::function<Result<ParsedConfig>(const StoredItem &)> ReadConfig;
  std::function<Result<Instance>(const StoredItem &)> ReadInstance;
  /// The key of the item that an instance was read from.
  std::function<std::string(const Instance &)> InstanceKey;
};

} // namespace hickorylift

#endif
