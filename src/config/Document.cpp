#include "config/Document.h"

#include "base/Hash.h"

// A document's hash is the sum of its entries' hashes. Addition forgets the
// order, so a delta changes the hash by the entries that it touches alone, and
// checking a delta costs as much as the delta, not as much as the document. An
// entry's hash covers its name and its bytes: a swap of two contents, a lost
// entry or a wrong base each give another sum.

namespace hickorylift {

std::string Stamp::text() const {
  return std::to_string(this->Version) + "." + std::to_string(this->Revision) +
         "." + hexHash(this->Hash);
}

DocumentEntry makeEntry(std::string_view Name, std::string Bytes) {
  uint64_t Hash = combineHash(contentHash(Name), contentHash(Bytes));
  return {std::make_shared<const std::string>(std::move(Bytes)), Hash};
}

DocumentPtr Document::make(uint64_t Version, uint64_t Revision,
                           EntryMap Entries) {
  auto Made = std::make_shared<Document>();
  Made->Place.Version = Version;
  Made->Place.Revision = Revision;
  for (const auto &[Name, Held] : Entries) {
    Made->Place.Hash += Held.Hash;
    Made->Bytes += Name.size() + Held.Bytes->size();
  }
  Made->Entries = std::move(Entries);
  return Made;
}

ChangeSet makeDelta(const EntryMap &Base, const EntryMap &Target) {
  ChangeSet Changes;
  for (const auto &[Name, Held] : Target) {
    auto Old = Base.find(Name);
    if (Old == Base.end() || Old->second.Hash != Held.Hash)
      Changes.push_back({Name, Held.Bytes});
  }
  for (const auto &[Name, Held] : Base)
    if (!Target.count(Name))
      Changes.push_back({Name, nullptr});
  return Changes;
}

Result<DocumentPtr> applyDelta(const DocumentPtr &Base, const Stamp &Target,
                               const ChangeSet &Changes,
                               const Safeguards &Guards) {
  EntryMap Entries = Base ? Base->entries() : EntryMap();
  for (const Change &One : Changes) {
    if (One.Bytes)
      Entries[One.Name] = makeEntry(One.Name, *One.Bytes);
    else
      Entries.erase(One.Name);
  }
  DocumentPtr Made =
      Document::make(Target.Version, Target.Revision, std::move(Entries));
  // A delta against the wrong base, or one damaged on the way, would leave a
  // mixture of two versions in force; its sum cannot match the target's.
  if (Guards.CheckContent && Made->stamp().Hash != Target.Hash)
    return Error{Errc::BadMessage, "apply-delta", "",
                 "content does not match " + Target.text()};
  return Made;
}

} // namespace hickorylift
