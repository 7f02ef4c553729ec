#include "reading/StoreReader.h"

#include "config/RecordImport.h"
#include "membership/Evacuations.h"

#include <algorithm>

// The part of StoreReader that builds documents from its copy of the store and
// publishes those that the node does not have. A document is published again if
// the spreader refused it. Entries missing after an outage or a restore of the
// store are kept until InstanceGraceEnd or RestoreGraceEnd.
//
// A reader that could not reach the store cannot tell an outage of the store
// from a network partition of its own, in which the others have seen entries
// end. So kept entries count only where nothing newer is known: a document with
// kept entries is ordered directly after the node's document that they come
// from, and before everything that any node has read since then. If such a
// newer document arrives, the copy is merged with it instead.

namespace hickorylift {

// Documents with kept entries differ from the store, so the copy is not
// reported as complete while there are any.
void StoreReader::reportComplete() {
  if (!this->ListsIncludeKept && !this->EvacuationsIncludeKept)
    this->Hook.ReportComplete(this->globalRevision(this->CopyRevision));
}

bool StoreReader::readsConfig() const {
  return this->Layout.ConfigKey.rfind(this->Layout.Prefix, 0) == 0;
}

bool StoreReader::readsEvacuations() const {
  const std::string &Prefix = this->Layout.EvacuationPrefix;
  return !Prefix.empty() && Prefix.rfind(this->Layout.Prefix, 0) == 0;
}

// Publishes a document even if there are no evacuations: it has to supersede
// documents on other nodes that still contain an evacuation that has ended.
void StoreReader::publishEvacuations(TimePoint Now) {
  if (!this->readsEvacuations())
    return;
  std::set<std::string> DataCentres;
  for (const std::string &Key : this->EvacuationKeys)
    DataCentres.insert(Key.substr(this->Layout.EvacuationPrefix.size()));
  DocumentPtr KeptFrom;
  if (Now < this->RestoreGraceEnd && this->keepMissingEvacuations(DataCentres))
    KeptFrom = this->Hook.CurrentDocument(EvacuationTopic);
  this->EvacuationsIncludeKept = KeptFrom != nullptr;
  DocumentPtr New = this->makeDocument(
      makeEvacuationDocument(0, DataCentres)->entries(), KeptFrom);
  bool IsCurrent = this->nodeHas(EvacuationTopic, New);
  this->EvacuationDoc =
      IsCurrent ? this->Hook.CurrentDocument(EvacuationTopic) : New;
  if (IsCurrent)
    return;
  this->Hook.Publish(EvacuationTopic, New, Now);
}

// Adds evacuations that are in this node's document and that the restored store
// may have lost. Returns whether any were added.
bool StoreReader::keepMissingEvacuations(
    std::set<std::string> &DataCentres) const {
  DocumentPtr Current = this->Hook.CurrentDocument(EvacuationTopic);
  if (!Current)
    return false;
  bool Kept = false;
  for (const std::string &Name : evacuatedDataCentres(*Current))
    if (!this->RemovedEvacuationKeys.count(this->Layout.EvacuationPrefix +
                                           Name))
      Kept |= DataCentres.insert(Name).second;
  return Kept;
}

// Makes a document at the copy's revision. KeptFrom is the node's document from
// which some of the entries were kept, or null if none were.
DocumentPtr StoreReader::makeDocument(EntryMap Entries,
                                      const DocumentPtr &KeptFrom) const {
  uint64_t Revision = this->globalRevision(this->CopyRevision);
  uint64_t Version = KeptFrom ? KeptFrom->stamp().Version : Revision;
  return Document::make(Version, Revision, std::move(Entries));
}

// Whether a document of another node has replaced Published, which contains
// kept entries, and that node has not read the store as far as this one.
bool StoreReader::isSuperseded(const std::string &Topic,
                               const DocumentPtr &Published) const {
  DocumentPtr Current = this->Hook.CurrentDocument(Topic);
  return !this->FullReadNeeded && Published && Current &&
         Current->stamp() > Published->stamp() &&
         Current->stamp().Revision < this->globalRevision(this->CopyRevision);
}

bool StoreReader::hasSupersededList() const {
  return std::any_of(this->ListDocs.begin(), this->ListDocs.end(),
                     [this](const auto &Published) {
                       return this->isSuperseded(listTopic(Published.first),
                                                 Published.second);
                     });
}

// Whether the node's document for Topic has the same content as Doc.
bool StoreReader::nodeHas(const std::string &Topic,
                          const DocumentPtr &Doc) const {
  DocumentPtr Current = this->Hook.CurrentDocument(Topic);
  return Current && Current->stamp().Hash == Doc->stamp().Hash;
}

// Whether the node lacks a document that was read and published. The spreader
// refuses documents while a neighbour announces a newer one, and the neighbour
// may disconnect before sending it.
bool StoreReader::hasRefusedDocument() const {
  if (this->EvacuationDoc &&
      !this->nodeHas(EvacuationTopic, this->EvacuationDoc))
    return true;
  if (this->ConfigDoc && this->lacksConfig())
    return true;
  return std::any_of(this->ListDocs.begin(), this->ListDocs.end(),
                     [this](const auto &Published) {
                       return !this->nodeHas(listTopic(Published.first),
                                             Published.second);
                     });
}

// Whether the node has no version or an older one than was read.
bool StoreReader::lacksConfig() const {
  DocumentPtr Current = this->Hook.CurrentDocument(ConfigTopic);
  return !Current || Current->stamp() < this->ConfigDoc->stamp();
}

// Decodes the pending item. Returns whether its document differs from
// ConfigDoc.
bool StoreReader::decodeConfig(TimePoint Now) {
  if (!this->PendingConfig)
    return false;
  StoredItem Item = *std::exchange(this->PendingConfig, std::nullopt);
  Result<ParsedConfig> Read = this->Layout.ReadConfig(Item);
  if (!Read) {
    this->Hook.Failed(Read.error(), Now);
    return false;
  }
  this->reportIssues(*Read, Now);
  DocumentPtr New =
      Document::make(Read->Version, this->globalRevision(Item.Revision),
                     std::move((*Read).Records));
  if (this->ConfigDoc && this->ConfigDoc->stamp() == New->stamp())
    return false;
  this->ConfigDoc = New;
  return true;
}

void StoreReader::reportIssues(const ParsedConfig &Read, TimePoint Now) {
  std::set<RecordIssue> Issues(Read.Issues.begin(), Read.Issues.end());
  for (const RecordIssue &One : Issues)
    if (!this->ReportedIssues.count(One))
      this->Hook.RecordChanged(Read.Version, One, Now);
  this->ReportedIssues = std::move(Issues);
}

void StoreReader::publishConfig(TimePoint Now) {
  bool IsNew = this->decodeConfig(Now);
  // Claims on one address are ordered by the services that a version names.
  this->ListsChanged |= IsNew;
  if (IsNew || (this->ConfigDoc && this->lacksConfig()))
    this->Hook.Publish(ConfigTopic, this->ConfigDoc, Now);
}

NamedServices StoreReader::namedServices() const {
  DocumentPtr Config = this->Hook.CurrentDocument(ConfigTopic);
  if (!Config)
    return [](const std::string &) { return true; };
  return [Config](const std::string &Service) {
    return holdsService(Config->entries(), Service);
  };
}

// Several items may claim the address of one node: that of a removed instance
// is assigned again before its item expires, or another writer lists something
// of its own there. The list holds them all, as each node chooses among them by
// what it knows.
StoreReader::ClaimsByName StoreReader::readClaimsByName() const {
  ClaimsByName Claims;
  for (const auto &[Key, Listed] : this->Instances)
    Claims[Listed.Details.Name].push_back(
        {Listed.Details, Listed.CreatedRevision});
  NamedServices IsNamed = this->namedServices();
  for (auto &[Name, Of] : Claims)
    if (Of.size() > 1)
      orderClaims(Of, IsNamed);
  return Claims;
}

// An address whose claims differ in their data centre is on the list of each.
StoreReader::EntriesByDataCentre
StoreReader::listEntries(const ClaimsByName &Claims) const {
  EntriesByDataCentre Lists;
  for (const std::string &Name : this->DataCentres)
    Lists[Name];
  for (const auto &[Name, Of] : Claims) {
    DocumentEntry Entry = makeEntry(Name, writeClaims(Of));
    for (const Claim &One : Of)
      if (auto List = Lists.find(One.Details.DataCentre); List != Lists.end())
        List->second[Name] = Entry;
  }
  return Lists;
}

// Adds the instances of the node's list for Topic that are missing in the store
// to Entries, and after a restore also missing drains. Uses the node's list
// whatever its source: a process that started while the store was unreachable
// has read nothing itself and received its lists from other nodes. Returns how
// many entries were kept.
size_t StoreReader::keepMissingEntries(const std::string &Topic,
                                       EntryMap &Entries,
                                       const ClaimsByName &Read,
                                       TimePoint Now) const {
  DocumentPtr Current = this->Hook.CurrentDocument(Topic);
  if (!Current)
    return 0;
  size_t Kept = 0;
  for (const auto &[Name, Entry] : Current->entries()) {
    auto Found = Read.find(Name);
    if (Found == Read.end()) {
      Entries[Name] = Entry;
      ++Kept;
      continue;
    }
    bool KeptClaims =
        this->keepMissingClaims(Entries, Name, Entry, Found->second);
    bool KeptDrain = !KeptClaims && Now < this->RestoreGraceEnd &&
                     this->keepMissingDrain(Entries, Name, Entry);
    Kept += KeptClaims || KeptDrain;
  }
  return Kept;
}

// An upstream's entry may have expired while another writer's at its address
// has not. Adds the claims of Previous to those that were read, if only the
// former are of services that the configuration names. Returns whether any were
// added.
bool StoreReader::keepMissingClaims(EntryMap &Entries, const std::string &Name,
                                    const DocumentEntry &Previous,
                                    const std::vector<Claim> &Read) const {
  NamedServices IsNamed = this->namedServices();
  auto Names = [&IsNamed](const Claim &One) {
    return IsNamed(One.Details.Service);
  };
  if (std::any_of(Read.begin(), Read.end(), Names))
    return false;
  FaultList Faults;
  std::vector<Claim> Merged = readClaims(*Previous.Bytes, Name, Faults);
  std::erase_if(Merged, [&](const Claim &One) { return !Names(One); });
  if (Merged.empty())
    return false;
  Merged.insert(Merged.end(), Read.begin(), Read.end());
  orderClaims(Merged, IsNamed);
  Entries[Name] = makeEntry(Name, writeClaims(Merged));
  return true;
}

// Keeps an instance marked as leaving if the node's list, in Previous, has the
// same start of it as leaving: a restored store may have lost the drain.
// Returns whether a mark was kept.
bool StoreReader::keepMissingDrain(EntryMap &Entries, const std::string &Name,
                                   const DocumentEntry &Previous) const {
  auto Read = Entries.find(Name);
  if (Read == Entries.end() || Read->second.Hash == Previous.Hash)
    return false;
  FaultList Faults;
  std::vector<Claim> Old = readClaims(*Previous.Bytes, Name, Faults);
  std::vector<Claim> New = readClaims(*Read->second.Bytes, Name, Faults);
  bool Kept = false;
  for (Claim &One : New) {
    bool WasLeaving = std::any_of(Old.begin(), Old.end(), [&](const Claim &Of) {
      return Of.Details.Leaving && Of.Details.sameStart(One.Details);
    });
    Kept |= WasLeaving && !One.Details.Leaving;
    One.Details.Leaving |= WasLeaving;
  }
  if (Kept)
    Read->second = makeEntry(Name, writeClaims(New));
  return Kept;
}

// Publishes the lists if a change may be in them. Most changes in the store are
// heartbeats, or entries that can't be used, which no list contains: writing
// the lists of a large fleet at each would be the reader's main work.
void StoreReader::updateLists(TimePoint Now) {
  if (this->ListsChanged || Now < this->InstanceGraceEnd ||
      this->hasRefusedDocument())
    return this->publishLists(Now);
  for (auto &[DataCentre, Published] : this->ListDocs)
    Published = this->Hook.CurrentDocument(listTopic(DataCentre));
}

void StoreReader::publishLists(TimePoint Now) {
  this->ListsChanged = false;
  bool InGrace = Now < this->InstanceGraceEnd;
  ClaimsByName Claims = this->readClaimsByName();
  this->ListsIncludeKept = false;
  for (auto &[DataCentre, Entries] : this->listEntries(Claims)) {
    std::string Topic = listTopic(DataCentre);
    size_t Kept =
        InGrace ? this->keepMissingEntries(Topic, Entries, Claims, Now) : 0;
    this->ListsIncludeKept |= Kept > 0;
    DocumentPtr KeptFrom =
        Kept > 0 ? this->Hook.CurrentDocument(Topic) : nullptr;
    DocumentPtr New = this->makeDocument(std::move(Entries), KeptFrom);
    bool IsCurrent = this->nodeHas(Topic, New);
    this->ListDocs[DataCentre] =
        IsCurrent ? this->Hook.CurrentDocument(Topic) : New;
    if (IsCurrent)
      continue;
    if (Kept > 0)
      this->Hook.EntriesKept(Topic, Kept, New->stamp(), Now);
    this->Hook.Publish(Topic, New, Now);
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
  for (const auto &[DataCentre, Doc] : this->ListDocs)
    this->Hook.Confirm(listTopic(DataCentre), Doc->stamp().Version,
                       Doc->stamp().Revision, AskedAt);
}

} // namespace hickorylift
