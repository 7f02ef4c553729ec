#include "reading/StoreReader.h"

#include "membership/Evacuations.h"

#include <algorithm>

// Builds documents from StoreReader's copy of the store and publishes those the
// node does not hold, again if needed: the spreader may have refused them.
// Entries missing after an outage or a restore of the store are kept until
// SettledAt or RestoreSettledAt.

namespace hickorylift {

// Documents with kept entries differ from the store, so the copy is not
// reported as complete while there are any.
void StoreReader::reportComplete() {
  if (!this->ListsIncludeKept && !this->EvacuationsIncludeKept)
    this->Hook.ReportComplete(this->globalRevision(this->CopyRevision));
}

bool StoreReader::readsEvacuations() const {
  const std::string &Prefix = this->Layout.EvacuationPrefix;
  return !Prefix.empty() && Prefix.rfind(this->Layout.Prefix, 0) == 0;
}

// Also where there are none: that one is over must overtake what others still
// hold of it.
void StoreReader::publishEvacuations(TimePoint Now) {
  if (!this->readsEvacuations())
    return;
  std::set<std::string> DataCentres;
  for (const std::string &Key : this->EvacuationKeys)
    DataCentres.insert(Key.substr(this->Layout.EvacuationPrefix.size()));
  this->EvacuationsIncludeKept =
      Now < this->RestoreGraceEnd && this->keepMissingEvacuations(DataCentres);
  DocumentPtr New = this->makeDocument(
      makeEvacuations(0, DataCentres)->entries(), this->EvacuationsIncludeKept);
  bool Known = this->nodeHas(EvacuationTopic, New);
  this->EvacuationDoc =
      Known ? this->Hook.CurrentDocument(EvacuationTopic) : New;
  if (Known)
    return;
  this->Hook.Publish(EvacuationTopic, New, Now);
}

// Adds evacuations that this node holds and that the restored store may have
// lost. Returns whether any were added.
bool StoreReader::keepMissingEvacuations(
    std::set<std::string> &DataCentres) const {
  DocumentPtr Held = this->Hook.CurrentDocument(EvacuationTopic);
  if (!Held)
    return false;
  bool Kept = false;
  for (const std::string &Name : evacuatedIn(*Held))
    if (!this->RemovedEvacuationKeys.count(this->Layout.EvacuationPrefix +
                                           Name))
      Kept |= DataCentres.insert(Name).second;
  return Kept;
}

// Makes a document at the current revision. One with kept entries is ordered
// just before the store's content at that revision, which then supersedes it.
DocumentPtr StoreReader::makeDocument(EntryMap Entries, bool HasKept) const {
  uint64_t At = this->globalRevision(this->CopyRevision);
  return Document::make(At, HasKept && At > 0 ? At - 1 : At,
                        std::move(Entries));
}

// Whether the document that the node holds for Topic has the content of Doc.
bool StoreReader::nodeHas(const std::string &Topic,
                          const DocumentPtr &Doc) const {
  DocumentPtr Held = this->Hook.CurrentDocument(Topic);
  return Held && Held->stamp().Hash == Doc->stamp().Hash;
}

// Whether the node lacks a document that was read. The spreader refuses
// documents while a neighbour announces a newer one, and the neighbour may
// disconnect before sending it.
bool StoreReader::hasRefusedDocument() const {
  if (this->EvacuationDoc &&
      !this->nodeHas(EvacuationTopic, this->EvacuationDoc))
    return true;
  if (this->ConfigDoc && this->lacksConfig())
    return true;
  return std::any_of(this->ListDocs.begin(), this->ListDocs.end(),
                     [this](const auto &One) {
                       return !this->nodeHas(listTopic(One.first), One.second);
                     });
}

// Whether the node holds no version or an older one than was read.
bool StoreReader::lacksConfig() const {
  DocumentPtr Held = this->Hook.CurrentDocument(ConfigTopic);
  return !Held || Held->stamp() < this->ConfigDoc->stamp();
}

// Returns whether the pending item holds another document than ConfigDoc.
bool StoreReader::decodeConfig(TimePoint Now) {
  if (!this->PendingConfig)
    return false;
  StoredItem Item = *std::exchange(this->PendingConfig, std::nullopt);
  Result<ParsedConfig> Read = this->Layout.ReadConfig(Item);
  if (!Read) {
    this->Hook.Failed(Read.error(), Now);
    return false;
  }
  DocumentPtr New =
      Document::make(Read->Version, this->globalRevision(Item.Revision),
                     std::move((*Read).Records));
  if (this->ConfigDoc && this->ConfigDoc->stamp() == New->stamp())
    return false;
  this->ConfigDoc = New;
  return true;
}

void StoreReader::publishConfig(TimePoint Now) {
  bool IsNew = this->decodeConfig(Now);
  if (IsNew || (this->ConfigDoc && this->lacksConfig()))
    this->Hook.Publish(ConfigTopic, this->ConfigDoc, Now);
}

// Two entries may name one place for a while: the address of one that is gone
// is given out again. The later one is the one that is there.
StoreReader::EntriesByDataCentre StoreReader::listEntries() const {
  std::map<std::string, const ListedInstance *> ByName;
  for (const auto &[Key, One] : this->Instances) {
    const ListedInstance *&Kept = ByName[One.Details.Name];
    if (!Kept || Kept->CreatedRevision < One.CreatedRevision)
      Kept = &One;
  }
  EntriesByDataCentre Out;
  for (const std::string &Name : this->DataCentres)
    Out[Name];
  for (const auto &[Name, One] : ByName) {
    auto Place = Out.find(One->Details.DataCentre);
    if (Place != Out.end())
      Place->second[Name] = makeEntry(Name, writeInstance(One->Details));
  }
  return Out;
}

// Adds instances that the node's lists hold and the store lacks, and after a
// restore also missing drains. Uses the lists the node holds, whatever their
// source: a process that started while the store was away has read nothing
// itself and has its lists from others. Returns whether anything was kept.
bool StoreReader::keepMissingEntries(EntriesByDataCentre &Lists,
                                     TimePoint Now) const {
  std::set<std::string> Read;
  for (const auto &[Key, One] : this->Instances)
    Read.insert(One.Details.Name);
  bool Kept = false;
  for (auto &[Place, Entries] : Lists) {
    DocumentPtr Held = this->Hook.CurrentDocument(listTopic(Place));
    if (!Held)
      continue;
    for (const auto &[Name, Entry] : Held->entries()) {
      if (!Read.count(Name)) {
        Entries[Name] = Entry;
        Kept = true;
      } else if (Now < this->RestoreGraceEnd) {
        Kept |= this->keepMissingDrain(Entries, Name, Entry);
      }
    }
  }
  return Kept;
}

// Keeps an instance leaving if it was held as leaving in the same start: a
// restored store may have lost the drain. Returns whether it was kept.
bool StoreReader::keepMissingDrain(EntryMap &Entries, const std::string &Name,
                                   const DocumentEntry &Held) const {
  auto Read = Entries.find(Name);
  if (Read == Entries.end() || Read->second.Hash == Held.Hash)
    return false;
  FaultList Faults;
  std::optional<Instance> Old = readInstance(*Held.Bytes, Name, Faults);
  std::optional<Instance> New = readInstance(*Read->second.Bytes, Name, Faults);
  if (!Old || !New || !Old->Leaving || New->Leaving || !Old->sameStart(*New))
    return false;
  New->Leaving = true;
  Read->second = makeEntry(Name, writeInstance(*New));
  return true;
}

void StoreReader::publishLists(TimePoint Now) {
  EntriesByDataCentre Lists = this->listEntries();
  this->ListsIncludeKept =
      Now < this->InstanceGraceEnd && this->keepMissingEntries(Lists, Now);
  for (auto &[Place, Entries] : Lists) {
    DocumentPtr New =
        this->makeDocument(std::move(Entries), this->ListsIncludeKept);
    bool Known = this->nodeHas(listTopic(Place), New);
    this->ListDocs[Place] =
        Known ? this->Hook.CurrentDocument(listTopic(Place)) : New;
    if (!Known)
      this->Hook.Publish(listTopic(Place), New, Now);
  }
}

void StoreReader::confirmAll(TimePoint AskedAt) {
  if (this->ConfigDoc)
    this->Hook.Confirm(ConfigTopic, this->ConfigDoc->stamp().Version,
                       this->ConfigDoc->stamp().Revision, AskedAt);
  if (this->EvacuationDoc && !this->EvacuationsIncludeKept)
    this->Hook.Confirm(EvacuationTopic, this->EvacuationDoc->stamp().Version,
                       this->EvacuationDoc->stamp().Revision, AskedAt);
  if (this->ListsIncludeKept)
    return;
  for (const auto &[Place, Doc] : this->ListDocs)
    this->Hook.Confirm(listTopic(Place), Doc->stamp().Version,
                       Doc->stamp().Revision, AskedAt);
}

} // namespace hickorylift
