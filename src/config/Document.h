#ifndef HICKORYLIFT_CONFIG_DOCUMENT_H
#define HICKORYLIFT_CONFIG_DOCUMENT_H

#include "base/Error.h"
#include "base/Safeguards.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// A Document is one whole, immutable set of named entries: a version of the
// configuration, or one data centre's list of instances.
//
//   DocumentPtr Old = Document::make(/*Version=*/1, /*Revision=*/10, Entries);
//   ChangeSet Delta = makeDelta(*Old, *New);
//   Result<DocumentPtr> Rebuilt = applyDelta(Old, New->stamp(), Delta);
//   // Rebuilt is New, or an error; never something between the two.

namespace hickorylift {

/// The place of a document in its order, and the proof of its content.
///
/// Version is the operators' own number and counts first. Two operators who
/// race to publish the same number are told apart by Revision, the order in
/// which the platform took them. Hash decides only where a platform restored
/// from an old copy hands the same revision out twice, so that all nodes still
/// choose the same one.
struct Stamp {
  uint64_t Version = 0;
  uint64_t Revision = 0;
  uint64_t Hash = 0;

  auto operator<=>(const Stamp &) const = default;
  bool isNull() const { return this->Version == 0 && this->Revision == 0; }
  /// "version.revision.hash".
  std::string text() const;
};

struct DocumentEntry {
  std::shared_ptr<const std::string> Bytes;
  /// Hash of name and bytes together.
  uint64_t Hash = 0;
};

using EntryMap = std::map<std::string, DocumentEntry>;

DocumentEntry makeEntry(std::string_view Name, std::string Bytes);

class Document;
using DocumentPtr = std::shared_ptr<const Document>;

class Document {
public:
  static DocumentPtr make(uint64_t Version, uint64_t Revision,
                          EntryMap Entries);

  const Stamp &stamp() const { return this->Place; }
  const EntryMap &entries() const { return this->Entries; }
  /// Bytes of all names and entries.
  size_t byteSize() const { return this->Bytes; }

private:
  Stamp Place;
  EntryMap Entries;
  size_t Bytes = 0;
};

/// One entry set, or removed where Bytes is null.
struct Change {
  std::string Name;
  std::shared_ptr<const std::string> Bytes;
};
using ChangeSet = std::vector<Change>;

/// What turns Base into Target. An empty Base gives a snapshot.
ChangeSet makeDelta(const EntryMap &Base, const EntryMap &Target);

/// Base with the changes applied, provided that the outcome has exactly the
/// hash that Target states; else Errc::BadMessage. Base may be null.
Result<DocumentPtr> applyDelta(const DocumentPtr &Base, const Stamp &Target,
                               const ChangeSet &Changes,
                               const Safeguards &Guards = Safeguards());

} // namespace hickorylift

#endif
