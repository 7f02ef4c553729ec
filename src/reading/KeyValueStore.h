#ifndef HICKORYLIFT_READING_KEYVALUESTORE_H
#define HICKORYLIFT_READING_KEYVALUESTORE_H

#include "base/Error.h"
#include "base/Time.h"
#include "config/Document.h"
#include "config/RecordImport.h"
#include "membership/Membership.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

// A KeyValueStore gives read and watch access to a key-value store with these
// properties: one revision counter covers all keys, the pages of a range read
// are not a snapshot, and the change history is dropped after a while. A store
// that is restored from an older copy starts a new era, in which revision
// numbers are reused. A subclass only makes the calls; StoreReader decides when
// to make them.

namespace hickorylift {

struct StoredItem {
  std::string Key;
  std::string Value;
  /// Revision of the item's last change.
  uint64_t Revision = 0;
  /// Revision of the item's creation.
  uint64_t CreatedRevision = 0;
};

/// How a response was transferred.
struct Transfer {
  size_t Bytes = 0;
  /// Time from the head of the response to its end.
  Millis Time{0};
};

struct ItemPage {
  std::vector<StoredItem> Items;
  /// Whether more items follow after the last key.
  bool HasMore = false;
  /// The store's revision when it answered.
  uint64_t Revision = 0;
  /// The era of that revision, if the store reports one.
  std::optional<uint64_t> Era{};
  Transfer Received{};
};

struct ItemChange {
  std::string Key;
  uint64_t Revision = 0;
  /// The new item; nothing if it was removed.
  std::optional<StoredItem> Item;
};

struct ItemChanges {
  std::vector<ItemChange> Changes;
  /// The revision after which the next watch continues.
  uint64_t Revision = 0;
  /// The era of that revision, if the store reports one.
  std::optional<uint64_t> Era{};
  Transfer Received{};
};

class KeyValueStore {
public:
  using PageCallback = std::function<void(Result<ItemPage>, TimePoint)>;
  using ChangesCallback = std::function<void(Result<ItemChanges>, TimePoint)>;

  virtual ~KeyValueStore() = default;

  /// Reads a page of the items whose keys begin with Prefix and sort after the
  /// key After. Done is called once, never from within range.
  virtual void range(const std::string &Prefix, const std::string &After,
                     TimePoint Now, PageCallback Done) = 0;
  /// Waits at most Wait for changes after a revision. Fails with Errc::Stale if
  /// the store no longer has the history after that revision.
  virtual void watch(const std::string &Prefix, uint64_t After, Millis Wait,
                     TimePoint Now, ChangesCallback Done) = 0;
  /// Ends the transfer of the responses to all requests for Prefix. Their Done
  /// may still be called, with an error.
  virtual void cancel(const std::string &Prefix) = 0;
};

/// A configuration version parsed from an item.
struct ParsedConfig {
  uint64_t Version = 0;
  EntryMap Records;
  /// The records that were changed or left out.
  std::vector<RecordIssue> Issues{};
};

/// Where a store keeps its items, and how to parse them.
struct StoreLayout {
  /// Prefix of all keys to read.
  std::string Prefix;
  /// The item that holds the newest configuration version completely.
  std::string ConfigKey;
  /// Each item under this prefix is one instance.
  std::string InstancePrefix;
  /// Each item under this prefix marks a data centre as evacuated; the rest of
  /// the key is the data centre's name. Empty if the store has no evacuations.
  std::string EvacuationPrefix;
  std::function<Result<ParsedConfig>(const StoredItem &)> ReadConfig;
  std::function<Result<Instance>(const StoredItem &)> ReadInstance;
  /// Returns the key of the item that an instance was read from.
  std::function<std::string(const Instance &)> InstanceKey;
};

} // namespace hickorylift

#endif
