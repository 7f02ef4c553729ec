#ifndef HICKORYLIFT_READING_DOCUMENTSOURCE_H
#define HICKORYLIFT_READING_DOCUMENTSOURCE_H

#include "base/Error.h"
#include "base/Time.h"
#include "config/Document.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

// A DocumentSource brings documents from the platform to one node, for as long
// as the node has the duty to. Reader reads a platform that holds records by
// their hash; StoreReader one that holds items in a keyspace.
//
//   std::unique_ptr<DocumentSource> From = Make(Hooks);
//   From->tick(Now, ReadDuty::Watch);        // a few times a second

namespace hickorylift {

/// The topic under which versions are published.
extern const char ConfigTopic[];

enum class ReadDuty {
  /// Others read.
  None,
  /// Read the own data centre's list once, to find neighbours.
  List,
  /// The same at once: others wait for it.
  ListForOthers,
  /// Read everything once: no neighbour has anything.
  Once,
  /// Keep watching beside another who does, and who tells this node sooner.
  Spare,
  /// Keep watching.
  Watch,
};

/// What a source tells its node.
struct SourceHooks {
  std::function<void(const std::string &Topic, DocumentPtr, TimePoint)> Publish;
  /// Asked at AskedAt, the platform still named this version and revision.
  std::function<void(const std::string &Topic, uint64_t Version,
                     uint64_t Revision, TimePoint AskedAt)>
      Confirm;
  /// What this node holds already, so that only the rest is read.
  std::function<DocumentPtr(const std::string &Topic)> CurrentDocument;
  std::function<void(const Error &, TimePoint)> Failed;
  /// The platform answers, but one item says nothing that can be used.
  std::function<void(const Error &, TimePoint)> Unreadable = [](const Error &,
                                                                TimePoint) {};
  /// All that the platform said up to this revision was published.
  std::function<void(uint64_t Revision)> ReportComplete = [](uint64_t) {};
  /// Up to which revision nothing is missing from what this node holds, whoever
  /// told it; 0 where that is not known.
  std::function<uint64_t()> CompleteRevision = [] { return uint64_t(0); };
  /// Reports the era of an answer from the platform.
  std::function<void(uint64_t Era)> EraObserved = [](uint64_t) {};
  /// The earliest platform era known to any node; nothing if none is known.
  std::function<std::optional<uint64_t>()> EarliestEra = [] {
    return std::optional<uint64_t>();
  };
  /// The platform's era changed, which means that it was restored from an older
  /// copy. May be called once per reader for the same restore.
  std::function<void(uint64_t From, uint64_t To, TimePoint)> Restored =
      [](uint64_t, uint64_t, TimePoint) {};
  /// The platform answers again after failures.
  std::function<void(TimePoint)> Recovered = [](TimePoint) {};
};

class DocumentSource {
public:
  virtual ~DocumentSource() = default;
  virtual void tick(TimePoint Now, ReadDuty Wanted) = 0;
  /// Calls made to the platform so far.
  virtual uint64_t reads() const = 0;
};

/// Makes the source of one node.
using SourceFactory =
    std::function<std::unique_ptr<DocumentSource>(SourceHooks)>;

} // namespace hickorylift

#endif
