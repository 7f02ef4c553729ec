#ifndef HICKORYLIFT_READING_PLATFORMREADER_H
#define HICKORYLIFT_READING_PLATFORMREADER_H

#include "base/Json.h"
#include "base/TokenBucket.h"
#include "config/Document.h"
#include "reading/DocumentSource.h"
#include "reading/Platform.h"

#include <memory>
#include <random>
#include <set>

// A PlatformReader is the DocumentSource for a Platform: it reads instance
// lists, evacuations, manifests and the records that manifests refer to, and
// publishes them as documents to one node.
//
//   PlatformReader::Hooks Hooks;
//   Hooks.Publish = [&](const std::string &Topic, DocumentPtr Doc,
//                       TimePoint) {};
//   PlatformReader Read(PlatformReader::Options(), Platform, Hooks,
//                       {"north", "south"}, /*Seed=*/7);
//   Read.tick(Now, PlatformReader::Duty::Watch); // a few times a second

namespace hickorylift {

/// From a record's entry name to the hash of its bytes.
using RecordHashes = std::map<std::string, uint64_t>;

/// Describes a configuration version as the platform publishes it: the hash of
/// its complete contents, and the changes from the contents of another version.
struct Manifest {
  uint64_t Version = 0;
  /// Hash of the text that writeContents returns; also the key of that text.
  uint64_t ContentsHash = 0;
  /// Hash of the contents to which the changes apply; 0 if there are none.
  uint64_t BaseHash = 0;
  RecordHashes Changed;
  std::vector<std::string> Removed;
};

/// Serialises and parses the contents of a version.
std::string writeContents(const RecordHashes &Hashes);
std::optional<RecordHashes> readContents(const std::string &Text,
                                         FaultList &Faults);
/// Makes a manifest for New, with the changes from Old unless Old is empty.
Manifest makeManifest(uint64_t Version, const RecordHashes &Old,
                      const RecordHashes &New);

/// Parses a manifest. Adds every fault to Faults, and returns nothing if there
/// are any.
std::optional<Manifest> readManifest(const std::string &Text,
                                     FaultList &Faults);
std::string writeManifest(const Manifest &Value);

class PlatformReader : public DocumentSource {
public:
  using Duty = ReadDuty;

  struct Options {
    /// How long one watch may wait at the platform. While nothing changes, the
    /// age of the node's documents grows up to this.
    Millis WatchWait{10000};
    /// The wait after a failure is random, up to a limit that starts at
    /// InitialBackoff and doubles with each failure up to MaxBackoff.
    Millis InitialBackoff{200};
    Millis MaxBackoff{5000};
    /// A new duty starts after a random delay up to this, so that nodes that
    /// start together do not read together.
    Millis StartJitter{300};
    /// Rate and burst of reads.
    double ReadsPerSecond = 100;
    double ReadBurst = 200;
    /// A platform whose revision is lower than one that it reported before runs
    /// on an older copy. After this long it counts as restored from that copy,
    /// and its lists are accepted again.
    Millis RestoreDetectionDelay{30000};
    /// Records read at the same time.
    size_t MaxParallelReads = 16;
  };

  using Hooks = SourceHooks;

  /// DataCentres are all of the deployment, the local one first. Each reader
  /// watches all lists, so that a data centre whose own readers are dead is
  /// still known to the others.
  PlatformReader(Options Opts, Platform &Source, Hooks Hooks,
                 std::vector<std::string> DataCentres, uint64_t Seed);

  void tick(TimePoint Now, Duty NewDuty) override;
  uint64_t reads() const override { return this->Reads; }
  bool isFailing() const override { return this->CannotRead; }
  Duty duty() const { return this->CurrentDuty; }

private:
  /// A configuration version whose records are being read.
  struct VersionRead {
    uint64_t Version = 0;
    uint64_t ContentsHash = 0;
    RecordHashes Hashes;
    uint64_t Revision = 0;
    EntryMap Entries;
    std::vector<std::pair<std::string, uint64_t>> MissingRecords;
    size_t RunningReads = 0;
    TimePoint RequestedAt;
  };

  bool takeReadToken(TimePoint Now);
  void startNextRequest(TimePoint Now);
  void requestList(const std::string &Key, TimePoint Now);
  void requestManifest(TimePoint Now);
  void skipInvalidValue(uint64_t Revision, const Error &Why, TimePoint Now);
  void onManifest(const PlatformValue &Value, TimePoint AskedAt, TimePoint Now);
  void requestContents(const Manifest &NewManifest, uint64_t Revision,
                       TimePoint AskedAt, TimePoint Now);
  void startVersionRead(const Manifest &NewManifest, RecordHashes Hashes,
                        uint64_t Revision, TimePoint AskedAt, TimePoint Now);
  void requestMissingRecords(TimePoint Now);
  void onRecord(const std::string &Name, uint64_t Hash,
                const Result<PlatformValue> &Got, TimePoint Now);
  void startWatch(TimePoint Now);
  void onWatch(const Result<PlatformChanges> &Got, TimePoint AskedAt,
               TimePoint Now);
  void onList(const std::string &Key, const Result<PlatformValue> &Got,
              TimePoint AskedAt, TimePoint Now);
  bool isNotYetPublished(const Error &Why) const;
  void continueReading(TimePoint Now);
  void fail(const Error &Why, TimePoint Now);
  void succeed() {
    this->Failures = 0;
    this->CannotRead = false;
  }
  void trackRevision(uint64_t Revision, TimePoint Now);
  bool isRestored(TimePoint Now) const;
  DocumentPtr rebaseAfterRestore(const std::string &Key,
                                 const DocumentPtr &List, TimePoint Now) const;
  std::vector<std::string> watchedKeys() const;
  void confirmAll(TimePoint AskedAt);
  void scheduleFullRead();
  Platform::ValueCallback dropIfStale(
      const std::function<void(const Result<PlatformValue> &, TimePoint)>
          &Callback);

  Options Opts;
  Platform &Source;
  Hooks Hook;
  std::vector<std::string> DataCentres;
  std::mt19937_64 Random;
  Duty CurrentDuty = Duty::None;
  TimePoint NotBefore;
  // Whether a request is in progress.
  bool Busy = false;
  // Keys of the lists to read.
  std::set<std::string> PendingLists;
  bool ManifestPending = false;
  // The revision after which the next watch waits for changes.
  uint64_t WatchRevision = 0;
  // The highest revision seen, and since when the platform reports lower ones.
  uint64_t HighestRevision = 0;
  std::optional<TimePoint> BehindSince;
  // What was read last, to confirm it while the platform reports no change.
  std::map<std::string, Stamp> ListStamps;
  uint64_t ManifestVersion = 0;
  uint64_t ManifestRevision = 0;
  // The contents read last, and their hash. Changes in the next manifest can be
  // applied to them if its BaseHash is the same.
  uint64_t KnownContentsHash = 0;
  RecordHashes KnownRecords;
  std::unique_ptr<VersionRead> InProgress;
  unsigned Failures = 0;
  // What isFailing() returns.
  bool CannotRead = false;
  TokenBucket Budget;
  uint64_t Reads = 0;
  // Incremented to drop the answers to all earlier requests. Callbacks hold a
  // weak pointer, so answers after this object's destruction are dropped too.
  std::shared_ptr<uint64_t> Epoch = std::make_shared<uint64_t>(0);
};

} // namespace hickorylift

#endif
