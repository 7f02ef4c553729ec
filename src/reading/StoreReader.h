#ifndef HICKORYLIFT_READING_STOREREADER_H
#define HICKORYLIFT_READING_STOREREADER_H

#include "base/TokenBucket.h"
#include "membership/Claims.h"
#include "reading/DocumentSource.h"
#include "reading/KeyValueStore.h"

#include <map>
#include <random>
#include <set>

// A StoreReader is the DocumentSource for a KeyValueStore: it keeps a copy of
// the relevant items, and publishes configuration versions, instance lists and
// evacuations from it. If the node already has complete documents from other
// nodes, the reader only asks the store for what has changed since.
//
//   StoreReader Read(StoreReader::Options(), Store, Layout, Hooks,
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
    /// Minimum time between the starts of two watches. Changes in quick
    /// succession are then read together, with one call for all of them.
    Millis WatchInterval{250};
    /// A spare reader asks the platform once neither it nor, as far as it
    /// knows, any other node has asked for this long. It matters when the
    /// primary reader can no longer reach the platform: this time and the
    /// spreading of a change together must stay within the two to three seconds
    /// in which operators expect the change to be in force.
    Millis SpareWatchInterval{1500};
    /// The wait after a failure is random, up to a limit that starts at
    /// InitialBackoff and doubles with each failure up to MaxBackoff.
    Millis InitialBackoff{100};
    Millis MaxBackoff{1000};
    /// The longest wait of a node that replaces a reader; the shortest is half
    /// of it. After an outage the readers ask first, and each node that asks
    /// while they still receive a large configuration receives it as well, over
    /// the links on which the others wait for it.
    Millis ReplacementBackoff{4000};
    /// A new duty starts after a random delay up to this, so that nodes that
    /// start together do not read together.
    Millis StartJitter{100};
    /// How long missing instances are kept after the store becomes reachable
    /// again: their entries expired because they could not be renewed during
    /// the outage, and may be written again.
    Millis MissingEntryGrace{2200};
    /// If no node had an answer from the store for longer than WatchWait and
    /// this, the store is taken to have been unreachable.
    Millis MaxAnswerDelay{1000};
    /// A response whose transfer takes this long is reported as slow: it delays
    /// everything else on the node's network link.
    Millis SlowTransferTime{300};
    /// Rate and burst of calls.
    double ReadsPerSecond = 20;
    double ReadBurst = 20;
    /// Number of items whose latest incarnation is remembered, also after the
    /// items are gone. A fleet that replaces 2,500 upstreams a day reaches this
    /// number in some weeks.
    size_t MaxRememberedStarts = 50000;
    /// Writes of an earlier incarnation under a key, with none of the latest
    /// between, after which the earlier one is taken for the living one. A
    /// process that has ended can't write again and again.
    unsigned MaxLateWrites = 2;
    /// Number of unusable items that are remembered, so that each is reported
    /// once and not with each of its changes.
    size_t MaxRememberedFaults = 10000;
  };

  StoreReader(Options Opts, KeyValueStore &Store, StoreLayout Layout,
              SourceHooks Hooks, std::vector<std::string> DataCentres,
              uint64_t Seed);

  void tick(TimePoint Now, ReadDuty Duty) override;
  /// The store's era; nothing if it is not known.
  std::optional<uint64_t> era() const { return this->Era; }
  /// Takes over an era that another reader has seen. If it is later than the
  /// current one, discards pending requests and reads everything again.
  void observeEra(const std::optional<uint64_t> &Reported, TimePoint Now);
  uint64_t reads() const override { return this->Reads; }
  bool isFailing() const override { return this->CannotRead; }

private:
  struct ListedInstance {
    // The instance as published. Its ColdLeft is set only for a cold spell
    // after the first one of its start.
    Instance Details;
    uint64_t CreatedRevision = 0;
    // The remaining cold time according to the item in the store.
    Millis StoredColdLeft{0};

    bool isListedLike(const ListedInstance &Other) const {
      return this->Details == Other.Details &&
             this->CreatedRevision == Other.CreatedRevision;
    }
  };

  void startNextRequest(TimePoint Now);
  bool isServedByOthers(TimePoint Now);
  void updateLastAskedByAny();
  void catchUpWithNode();
  bool isBehindNode() const;
  bool isSpare() const {
    return this->CurrentDuty == ReadDuty::Spare ||
           this->CurrentDuty == ReadDuty::Replacement;
  }
  Millis backoff();
  bool readsConfigOnly() const { return this->DataCentres.empty(); }
  void abandonRedundantTransfer(TimePoint Now);
  void abandonRequest();
  bool resume();
  bool resumeAt(uint64_t Position);
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
  void beginEra(uint64_t NewEra, TimePoint Now);
  uint64_t globalRevision(uint64_t Revision) const;
  void succeed(TimePoint Now);
  bool missedAnOutage(TimePoint Now);
  void noteTransfer(const std::string &Step, const Transfer &Received,
                    TimePoint Now);
  void fail(const Error &Why, TimePoint Now);
  void applyItem(const StoredItem &Item, TimePoint Now);
  void applyInstance(const StoredItem &Item, TimePoint Now);
  Result<Instance> readInstanceItem(const StoredItem &Item) const;
  void reportUnusable(const std::string &Key, const Error &Fault,
                      TimePoint Now);
  bool isLateWrite(const std::string &Key, uint64_t Incarnation);
  void updateColdSpell(ListedInstance &New, const std::string &Key) const;
  bool decodeConfig(TimePoint Now);
  void reportIssues(const ParsedConfig &Read, TimePoint Now);
  void publishConfig(TimePoint Now);
  bool readsConfig() const;
  bool readsEvacuations() const;
  void publishEvacuations(TimePoint Now);
  bool keepMissingEvacuations(std::set<std::string> &DataCentres) const;
  DocumentPtr makeDocument(EntryMap Entries, const DocumentPtr &KeptFrom) const;
  bool isSuperseded(const std::string &Topic,
                    const DocumentPtr &Published) const;
  bool hasSupersededList() const;
  void removeInstance(const std::string &Key);
  void updateLists(TimePoint Now);
  void publishLists(TimePoint Now);
  bool hasRefusedDocument() const;
  bool lacksConfig() const;
  bool nodeHas(const std::string &Topic, const DocumentPtr &Doc) const;
  using ClaimsByName = std::map<std::string, std::vector<Claim>>;
  using EntriesByDataCentre = std::map<std::string, EntryMap>;
  size_t keepMissingEntries(const std::string &Topic, EntryMap &Entries,
                            const ClaimsByName &Read, TimePoint Now) const;
  bool keepMissingClaims(EntryMap &Entries, const std::string &Name,
                         const DocumentEntry &Previous,
                         const std::vector<Claim> &Read) const;
  bool keepMissingDrain(EntryMap &Entries, const std::string &Name,
                        const DocumentEntry &Previous) const;
  ClaimsByName readClaimsByName() const;
  NamedServices namedServices() const;
  EntriesByDataCentre listEntries(const ClaimsByName &Claims) const;
  void confirmAll(TimePoint AskedAt);
  void reportComplete();
  Millis startDelay();
  template <typename T>
  std::function<void(Result<T>, TimePoint)>
  dropIfStale(std::function<void(const Result<T> &, TimePoint)> Callback);

  Options Opts;
  KeyValueStore &Store;
  StoreLayout Layout;
  SourceHooks Hook;
  std::vector<std::string> DataCentres;
  std::mt19937_64 Random;
  ReadDuty CurrentDuty = ReadDuty::None;
  // Whether a request is in progress.
  bool Busy = false;
  // Whether all items must be read, as there is no revision to continue from.
  bool FullReadNeeded = true;
  TimePoint NotBefore;
  TimePoint WatchStartedAt;
  // The store's era. All revisions below belong to it.
  std::optional<uint64_t> Era;
  // The revision up to which the copy is complete.
  uint64_t CopyRevision = 0;
  // The highest revision from which a watch failed because the store no longer
  // had the history after it.
  uint64_t HistoryGoneAt = 0;
  // Pages read so far, and the store's revision at the first of them.
  std::vector<StoredItem> PageItems;
  uint64_t FirstPageRevision = 0;
  // The copy: instances by key. The newest version is in ConfigDoc.
  std::map<std::string, ListedInstance> Instances;
  // Whether the copy has changed in what the lists contain since they were
  // published.
  bool ListsChanged = false;
  // The latest incarnation seen under each key, if the platform reports
  // incarnations.
  struct LatestStart {
    uint64_t Incarnation = 0;
    // Writes of earlier incarnations since the last one of this.
    unsigned LateWrites = 0;
  };
  std::map<std::string, LatestStart> LatestStarts;
  // Unusable items by key, each with the fault that was reported.
  std::map<std::string, std::string> ReportedFaults;
  // Keys of the items that mark a data centre as evacuated.
  std::set<std::string> EvacuationKeys;
  // Keys of evacuations that were seen to be removed in the current era.
  std::set<std::string> RemovedEvacuationKeys;
  DocumentPtr EvacuationDoc;
  // Revision of the newest version, and its item until it is decoded.
  uint64_t ConfigRevision = 0;
  std::optional<StoredItem> PendingConfig;
  DocumentPtr ConfigDoc;
  // Issues of the records of the newest version.
  std::set<RecordIssue> ReportedIssues;
  // The list of each data centre as it was published last.
  std::map<std::string, DocumentPtr> ListDocs;
  // The latest time at which any node is known to have asked the platform.
  std::optional<TimePoint> LastAskedByAny;
  // When the store last answered this reader.
  std::optional<TimePoint> LastAnswerAt;
  bool Failing = false;
  unsigned Failures = 0;
  // What isFailing() returns.
  bool CannotRead = false;
  // Whether a request has been answered since the duty to read began.
  bool WasServed = false;
  // Until then missing instances are kept, as their entries may have expired
  // during an outage.
  TimePoint InstanceGraceEnd;
  // Until then drains and evacuations missing from a restored store are kept.
  TimePoint RestoreGraceEnd;
  // Whether the published lists or evacuations contain kept entries.
  bool ListsIncludeKept = false;
  bool EvacuationsIncludeKept = false;
  TokenBucket Budget;
  uint64_t Reads = 0;
  // Incremented to drop the answers to all earlier requests. Callbacks hold a
  // weak pointer, so answers after this object's destruction are dropped too.
  std::shared_ptr<uint64_t> Epoch = std::make_shared<uint64_t>(0);
};

} // namespace hickorylift

#endif
