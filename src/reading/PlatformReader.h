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

// A Reader brings documents from the platform to one node, for as long as the
// node has the duty to.
//
//   Reader::Hooks Hooks;
//   Hooks.Publish = [&](const std::string &Topic, DocumentPtr Doc, TimePoint)
//   {}; Reader Read(Reader::Options(), Platform, Hooks, {"north", "south"},
//               /*Seed=*/7);
//   Read.tick(Now, Reader::Duty::Watch);     // a few times a second

namespace hickorylift {

/// From a record's entry name to the hash of its bytes.
using RecordHashes = std::map<std::string, uint64_t>;

/// What a version consists of, as the platform publishes it: the hash of its
/// whole contents, and what has changed since another version's.
struct Manifest {
  uint64_t Version = 0;
  /// Of the contents, written by writeContents; also their key.
  uint64_t ContentsHash = 0;
  /// The contents that the changes start from; 0 for none.
  uint64_t BaseHash = 0;
  RecordHashes Changed;
  std::vector<std::string> Removed;
};

/// The contents of a version as a value, and back.
std::string writeContents(const RecordHashes &Of);
std::optional<RecordHashes> readContents(const std::string &Text,
                                         FaultList &Faults);
/// A manifest for New. Old may be empty.
Manifest makeManifest(uint64_t Version, const RecordHashes &Old,
                      const RecordHashes &New);

/// Reads a manifest; every fault is added and none is passed over.
std::optional<Manifest> readManifest(const std::string &Text,
                                     FaultList &Faults);
std::string writeManifest(const Manifest &Of);

class PlatformReader : public DocumentSource {
public:
  using Duty = ReadDuty;

  struct Options {
    /// How long one watch may wait at the platform. The age of what we hold
    /// grows up to this while nothing changes.
    Millis WatchWait{10000};
    /// First wait after a failure; doubles up to the longest, with jitter.
    Millis InitialBackoff{200};
    Millis MaxBackoff{5000};
    /// A new duty starts within this, at random: a herd that starts together
    /// does not read together.
    Millis StartJitter{300};
    /// Reads a second, and at once.
    double ReadsPerSecond = 100;
    double ReadBurst = 200;
    /// A platform that answers from before what it answered already is an old
    /// copy; after this long it counts as restored from one, and its lists are
    /// taken again.
    Millis RestoreDetectionDelay{30000};
    /// Records read at the same time.
    size_t MaxParallelReads = 16;
  };

  using Hooks = SourceHooks;

  /// DataCentres: all of the deployment, this node's own first. Each reader
  /// watches all lists, so that a data centre whose own readers are dead is
  /// still known to the others.
  PlatformReader(Options Opts, Platform &From, Hooks Hooks,
                 std::vector<std::string> DataCentres, uint64_t Seed);

  void tick(TimePoint Now, Duty Wanted) override;
  uint64_t reads() const override { return this->Reads; }
  Duty duty() const { return this->CurrentDuty; }

private:
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
  void requestContents(const Manifest &Of, uint64_t Revision, TimePoint AskedAt,
                       TimePoint Now);
  void startVersionRead(const Manifest &Of, RecordHashes Wanted,
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
  void succeed() { this->Failures = 0; }
  void trackRevision(uint64_t Revision, TimePoint Now);
  bool isRestored(TimePoint Now) const;
  DocumentPtr rebaseAfterRestore(const std::string &Key,
                                 const DocumentPtr &List, TimePoint Now) const;
  std::vector<std::string> watchedKeys() const;
  void confirmAll(TimePoint AskedAt);
  void scheduleFullRead();
  Platform::ValueCallback dropIfStale(
      const std::function<void(const Result<PlatformValue> &, TimePoint)>
          &Then);

  Options Opts;
  Platform &Source;
  Hooks Hook;
  std::vector<std::string> DataCentres;
  std::mt19937_64 Random;
  Duty CurrentDuty = Duty::None;
  TimePoint NotBefore;
  bool Busy = false;
  // Keys of the lists to read.
  std::set<std::string> PendingLists;
  bool ManifestPending = false;
  uint64_t WatchRevision = 0;
  // The highest revision seen, and since when the platform is behind it.
  uint64_t HighestRevision = 0;
  std::optional<TimePoint> BehindSince;
  // Last seen, for confirming.
  std::map<std::string, Stamp> ListStamps;
  uint64_t ManifestVersion = 0;
  uint64_t ManifestRevision = 0;
  // The contents read last, and their hash: what a manifest's changes may
  // start from.
  uint64_t KnownContentsHash = 0;
  RecordHashes KnownRecords;
  std::unique_ptr<VersionRead> InProgress;
  unsigned Failures = 0;
  TokenBucket Budget;
  uint64_t Reads = 0;
  // Answers to an older duty, or to an object that is gone, are dropped.
  std::shared_ptr<uint64_t> Epoch = std::make_shared<uint64_t>(0);
};

} // namespace hickorylift

#endif
