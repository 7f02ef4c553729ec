#ifndef HICKORYLIFT_READING_STOREREADER_H
#define HICKORYLIFT_READING_STOREREADER_H

#include "base/TokenBucket.h"
#include "reading/DocumentSource.h"
#include "reading/KeyValueStore.h"

#include <map>
#include <random>
#include <set>

// A StoreReader keeps a copy of what matters in a key-value store, and
// publishes versions and lists of instances from it. Where the node has all of
// that from others already, it only asks what has changed since.
//
//   StoreReader Read(StoreReader::Options(), Store, Contents, Hooks,
//                    {"north", "south"}, /*Seed=*/7);
//   Read.tick(Now, ReadDuty::Watch);     // a few times a second

namespace hickorylift {

class StoreReader : public DocumentSource {
public:
  struct Options {
    /// How long one watch may wait at the store.
    Millis WatchWait{10000};
    /// WatchWait for the first watch after a failure. Kept short because the
    /// store may have been restored, which only its answer shows.
    Millis WatchWaitAfterFailure{1};
    /// Between the starts of two watches. Changes that come in quick
    /// succession are then read together, at one call for all of them.
    Millis WatchInterval{250};
    /// The same of a spare reader. It matters where the first one has fallen
    /// silent: together with that, what the platform says must still be known
    /// within the two to three seconds in which operators expect it in force.
    Millis SpareWatchInterval{1500};
    /// First wait after a failure; doubles up to the longest, with jitter.
    Millis InitialBackoff{100};
    Millis MaxBackoff{1000};
    /// A new duty starts within this, at random: a herd that starts together
    /// does not read together.
    Millis StartJitter{100};
    /// How long after the store's return an instance that is missing may still
    /// come back: entries lapse while nobody can renew them.
    Millis MissingEntryGrace{2200};
    /// Calls a second, and at once.
    double ReadsPerSecond = 20;
    double ReadBurst = 20;
    /// Items whose latest start is remembered after they are gone. A fleet that
    /// replaces 2,500 upstreams a day fills this in some weeks.
    size_t MaxRememberedStarts = 50000;
  };

  StoreReader(Options Opts, KeyValueStore &From, StoreLayout Contents,
              SourceHooks Hooks, std::vector<std::string> DataCentres,
              uint64_t Seed);

  void tick(TimePoint Now, ReadDuty Wanted) override;
  /// The store's era; nothing if it is not known.
  std::optional<uint64_t> era() const { return this->Era; }
  /// Takes over an era that another reader has seen. If it is later than the
  /// current one, discards pending requests and reads everything again.
  void observeEra(const std::optional<uint64_t> &Reported, TimePoint Now);
  uint64_t reads() const override { return this->Reads; }

private:
  struct ListedInstance {
    Instance Details;
    uint64_t CreatedRevision = 0;
    // As its entry says, while Who says so only of a later cold spell.
    Millis StoredColdLeft{0};
  };

  void startNextRequest(TimePoint Now);
  bool resume();
  bool resumeAt(uint64_t Place);
  bool resumeLists();
  bool resumeConfig();
  bool resumeEvacuations();
  void requestPage(const std::string &After, TimePoint Now);
  void onPage(const Result<ItemPage> &Got, TimePoint AskedAt, TimePoint Now);
  void startWatch(TimePoint Now);
  void onChanges(const Result<ItemChanges> &Got, TimePoint AskedAt,
                 TimePoint Now);
  enum class EraCheck { Same, Later, Earlier };
  EraCheck checkEra(const std::optional<uint64_t> &Reported, TimePoint Now);
  void beginEra(uint64_t New, TimePoint Now);
  uint64_t globalRevision(uint64_t Revision) const;
  void succeed(TimePoint Now);
  void fail(const Error &Why, TimePoint Now);
  void applyItem(const StoredItem &Item, TimePoint Now);
  void applyInstance(const StoredItem &Item, TimePoint Now);
  void updateColdSpell(ListedInstance &New, const std::string &Key) const;
  bool decodeConfig(TimePoint Now);
  void publishConfig(TimePoint Now);
  bool readsEvacuations() const;
  void publishEvacuations(TimePoint Now);
  bool keepMissingEvacuations(std::set<std::string> &DataCentres) const;
  DocumentPtr makeDocument(EntryMap Entries, bool HasKept) const;
  void publishLists(TimePoint Now);
  bool hasRefusedDocument() const;
  bool lacksConfig() const;
  bool nodeHas(const std::string &Topic, const DocumentPtr &Doc) const;
  using EntriesByDataCentre = std::map<std::string, EntryMap>;
  bool keepMissingEntries(EntriesByDataCentre &Lists, TimePoint Now) const;
  bool keepMissingDrain(EntryMap &Entries, const std::string &Name,
                        const DocumentEntry &Held) const;
  EntriesByDataCentre listEntries() const;
  void confirmAll(TimePoint AskedAt);
  void reportComplete();
  Millis startDelay();
  template <typename T>
  std::function<void(Result<T>, TimePoint)>
  dropIfStale(std::function<void(const Result<T> &, TimePoint)> Then);

  Options Opts;
  KeyValueStore &Store;
  StoreLayout Layout;
  SourceHooks Hook;
  std::vector<std::string> DataCentres;
  std::mt19937_64 Random;
  ReadDuty CurrentDuty = ReadDuty::None;
  bool Busy = false;
  // Whether all items must be read, for there is no revision to go on from.
  bool FullReadNeeded = true;
  TimePoint NotBefore;
  TimePoint WatchStartedAt;
  // The store's era. All revisions below belong to it.
  std::optional<uint64_t> Era;
  // The revision up to which the copy is complete.
  uint64_t CopyRevision = 0;
  // From there on the store had no history any more.
  uint64_t HistoryGoneAt = 0;
  // Pages read so far, and the store's revision at the first of them.
  std::vector<StoredItem> PageItems;
  uint64_t FirstPageRevision = 0;
  // The copy: instances by key, and the newest version.
  std::map<std::string, ListedInstance> Instances;
  // The latest start seen under each key, where the platform tells starts
  // apart.
  std::map<std::string, uint64_t> LatestIncarnation;
  // Keys of the items that evacuate a data centre.
  std::set<std::string> EvacuationKeys;
  // Keys of evacuations that were seen to be removed in the current era.
  std::set<std::string> RemovedEvacuationKeys;
  DocumentPtr EvacuationDoc;
  // Revision of the newest version, and its item until it is decoded.
  uint64_t ConfigRevision = 0;
  std::optional<StoredItem> PendingConfig;
  DocumentPtr ConfigDoc;
  std::map<std::string, DocumentPtr> ListDocs;
  bool Failing = false;
  unsigned Failures = 0;
  // Until then missing instances are kept, as their entries may have lapsed.
  TimePoint InstanceGraceEnd;
  // Until then drains and evacuations missing from a restored store are kept.
  TimePoint RestoreGraceEnd;
  // Whether the published lists or evacuations contain kept entries.
  bool ListsIncludeKept = false;
  bool EvacuationsIncludeKept = false;
  TokenBucket Budget;
  uint64_t Reads = 0;
  std::shared_ptr<uint64_t> Epoch = std::make_shared<uint64_t>(0);
};

} // namespace hickorylift

#endif
