#ifndef HICKORYLIFT_READING_DOCUMENTSOURCE_H
#define HICKORYLIFT_READING_DOCUMENTSOURCE_H

#include "base/Error.h"
#include "base/Time.h"
#include "config/Document.h"
#include "config/RecordImport.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

// A DocumentSource reads documents (the configuration, the instance lists and
// the evacuations) from the platform and publishes them to its node, as long as
// the node has a read duty. PlatformReader reads a platform that stores records
// under their hashes; StoreReader reads one that stores items in a key-value
// store.
//
//   std::unique_ptr<DocumentSource> Source = Factory(Hooks);
//   Source->tick(Now, ReadDuty::Watch);      // a few times a second

namespace hickorylift {

/// The topic under which configuration versions are published.
extern const char ConfigTopic[];

/// What a node currently has to read from the platform.
enum class ReadDuty {
  /// Nothing: the node receives its documents from other nodes.
  None,
  /// Read the local data centre's list once, to find neighbours.
  List,
  /// The same without a random delay, because other nodes wait for the list.
  ListForOthers,
  /// Read everything once, because no neighbour has any document.
  Once,
  /// Watch for changes as a spare: another node watches too and normally
  /// delivers them sooner. The source asks the platform only if no node has
  /// done so lately.
  Spare,
  /// The same in place of a reader whose requests fail. If its own fail as
  /// well, the source asks less often than a reader: many nodes may have this
  /// duty, and in an outage of the platform all of them fail.
  Replacement,
  /// Watch for changes.
  Watch,
};

/// Callbacks through which a source exchanges data with its node.
struct SourceHooks {
  std::function<void(const std::string &Topic, DocumentPtr, TimePoint)> Publish;
  /// In an answer to a request sent at AskedAt, the platform still named this
  /// version and revision as the current one.
  std::function<void(const std::string &Topic, uint64_t Version,
                     uint64_t Revision, TimePoint AskedAt)>
      Confirm;
  /// Returns the document that the node has for a topic, or null. The source
  /// reads only what is missing from it.
  std::function<DocumentPtr(const std::string &Topic)> CurrentDocument;
  /// When a node last asked the platform, as far as this node knows, and was
  /// told that the node's document for a topic is the current one; nothing if
  /// that is not known.
  std::function<std::optional<TimePoint>(const std::string &Topic)>
      ConfirmedAt =
          [](const std::string &) { return std::optional<TimePoint>(); };
  std::function<void(const Error &, TimePoint)> Failed;
  /// The platform answers, but one item can't be parsed.
  std::function<void(const Error &, TimePoint)> Unreadable = [](const Error &,
                                                                TimePoint) {};
  /// A record of this version was changed, or left out of it. Not called again
  /// for the same issue of the next version.
  std::function<void(uint64_t Version, const RecordIssue &, TimePoint)>
      RecordChanged = [](uint64_t, const RecordIssue &, TimePoint) {};
  /// Everything that the platform holds up to this revision was published.
  std::function<void(uint64_t Revision)> ReportComplete = [](uint64_t) {};
  /// The revision up to which the node's documents are complete, whichever node
  /// or platform they came from; 0 if that is not known.
  std::function<uint64_t()> CompleteRevision = [] { return uint64_t(0); };
  /// Reports the era of an answer from the platform.
  std::function<void(uint64_t Era)> EraObserved = [](uint64_t) {};
  /// The earliest platform era known to any node; nothing if none is known.
  std::function<std::optional<uint64_t>()> EarliestEra = [] {
    return std::optional<uint64_t>();
  };
  /// The platform's era changed, which means that it was restored from an older
  /// copy. May be called once per reader for the same restore.
  std::function<void(uint64_t OldEra, uint64_t NewEra, TimePoint)> Restored =
      [](uint64_t, uint64_t, TimePoint) {};
  /// The transfer of a response took longer than usual.
  std::function<void(const std::string &Step, size_t Bytes, Millis Time,
                     TimePoint)>
      SlowTransfer = [](const std::string &, size_t, Millis, TimePoint) {};
  /// A list that is about to be published under Topic with stamp Of contains
  /// this many entries that the platform lacks, because they may be written
  /// again.
  std::function<void(const std::string &Topic, size_t Count, const Stamp &Of,
                     TimePoint)>
      EntriesKept =
          [](const std::string &, size_t, const Stamp &, TimePoint) {};
  /// The platform answers again after failures.
  std::function<void(TimePoint)> Recovered = [](TimePoint) {};
};

class DocumentSource {
public:
  virtual ~DocumentSource() = default;
  /// Starts the next request to the platform if the duty calls for one.
  virtual void tick(TimePoint Now, ReadDuty Duty) = 0;
  /// Number of requests sent to the platform so far.
  virtual uint64_t reads() const = 0;
  /// Whether there is a duty that cannot be carried out at present, as the last
  /// requests to the platform failed. A single request that failed at once is
  /// repeated before it counts; one that timed out has taken long enough.
  virtual bool isFailing() const = 0;
};

/// Creates the source of one node.
using SourceFactory =
    std::function<std::unique_ptr<DocumentSource>(SourceHooks)>;

} // namespace hickorylift

#endif
