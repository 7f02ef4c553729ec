#include "reading/PlatformReader.h"

#include "base/Hash.h"
#include "membership/Evacuations.h"
#include "membership/Membership.h"

#include <algorithm>

// One thing at a time: read the lists, read the manifest and where need be the
// contents that it names, read the records that are missing, then wait in one
// watch for a change of any and start over with what changed. Contents name
// records by the hash of their bytes, and each value lies under its hash, so a
// read that crosses an update finds either the right bytes or none: never a
// version made of two.

namespace hickorylift {

const char ConfigTopic[] = "config";

namespace {

const std::string ManifestKey = "config/manifest";
const std::string RecordPrefix = "config/records/";
const std::string ContentsPrefix = "config/contents/";

} // namespace

namespace {

RecordHashes readHashes(JsonObject &From) {
  RecordHashes Out;
  for (const std::string &Name : From.keys()) {
    std::optional<uint64_t> Hash =
        parseHexHash(From.string(Name, std::nullopt));
    if (!Hash)
      From.fault(Name, "expected a hash of sixteen hex digits");
    Out[Name] = Hash.value_or(0);
  }
  return Out;
}

uint64_t readHash(JsonObject &From, const std::string &Key,
                  const std::optional<std::string> &Default) {
  std::string Text = From.string(Key, Default);
  std::optional<uint64_t> Hash = parseHexHash(Text);
  if (From.has(Key) && !Hash)
    From.fault(Key, "expected a hash of sixteen hex digits");
  return Hash.value_or(0);
}

Json::Value hashesJson(const RecordHashes &Of) {
  Json::Value Out(Json::objectValue);
  for (const auto &[Name, Hash] : Of)
    Out[Name] = hexHash(Hash);
  return Out;
}

} // namespace

std::string writeContents(const RecordHashes &Of) {
  return writeJson(hashesJson(Of));
}

std::optional<RecordHashes> readContents(const std::string &Text,
                                         FaultList &Faults) {
  size_t Before = Faults.size();
  std::optional<Json::Value> Root = parseJson(Text, ContentsPrefix, Faults);
  if (!Root)
    return std::nullopt;
  JsonObject Top({ContentsPrefix, Text, &Faults}, *Root, "");
  RecordHashes Out = readHashes(Top);
  if (Faults.size() != Before)
    return std::nullopt;
  return Out;
}

Manifest makeManifest(uint64_t Version, const RecordHashes &Old,
                      const RecordHashes &New) {
  Manifest Out;
  Out.Version = Version;
  Out.ContentsHash = contentHash(writeContents(New));
  if (Old.empty())
    return Out;
  Out.BaseHash = contentHash(writeContents(Old));
  for (const auto &[Name, Hash] : New) {
    auto Found = Old.find(Name);
    if (Found == Old.end() || Found->second != Hash)
      Out.Changed[Name] = Hash;
  }
  for (const auto &[Name, Hash] : Old)
    if (!New.count(Name))
      Out.Removed.push_back(Name);
  return Out;
}

std::optional<Manifest> readManifest(const std::string &Text,
                                     FaultList &Faults) {
  size_t Before = Faults.size();
  std::optional<Json::Value> Root = parseJson(Text, ManifestKey, Faults);
  if (!Root)
    return std::nullopt;
  JsonObject Top({ManifestKey, Text, &Faults}, *Root, "");
  Manifest Out;
  Out.Version =
      static_cast<uint64_t>(Top.integer("version", std::nullopt, 1, INT64_MAX));
  Out.ContentsHash = readHash(Top, "contents", std::nullopt);
  Out.BaseHash = readHash(Top, "since", "");
  if (std::optional<JsonObject> Set = Top.object("set", false))
    Out.Changed = readHashes(*Set);
  Out.Removed = Top.strings("removed");
  Top.finish();
  if (Faults.size() != Before)
    return std::nullopt;
  return Out;
}

std::string writeManifest(const Manifest &Of) {
  Json::Value Out(Json::objectValue);
  Out["version"] = Json::UInt64(Of.Version);
  Out["contents"] = hexHash(Of.ContentsHash);
  if (Of.BaseHash == 0)
    return writeJson(Out);
  Out["since"] = hexHash(Of.BaseHash);
  Out["set"] = hashesJson(Of.Changed);
  for (const std::string &Name : Of.Removed)
    Out["removed"].append(Name);
  return writeJson(Out);
}

PlatformReader::PlatformReader(Options Opts, Platform &From, Hooks Hooks,
                               std::vector<std::string> DataCentres,
                               uint64_t Seed)
    : Opts(Opts), Source(From), Hook(std::move(Hooks)),
      DataCentres(std::move(DataCentres)), Random(Seed),
      Budget(Opts.ReadsPerSecond, Opts.ReadBurst) {}

std::vector<std::string> PlatformReader::watchedKeys() const {
  std::vector<std::string> Out{ManifestKey, EvacuationTopic};
  for (const std::string &Name : this->DataCentres)
    Out.push_back(listTopic(Name));
  return Out;
}

void PlatformReader::scheduleFullRead() {
  this->PendingLists.clear();
  if (this->CurrentDuty == Duty::List)
    this->PendingLists = {listTopic(this->DataCentres.front())};
  if (this->CurrentDuty != Duty::Once && this->CurrentDuty != Duty::Watch)
    return;
  this->ManifestPending = true;
  this->PendingLists.insert(EvacuationTopic);
  for (const std::string &Name : this->DataCentres)
    this->PendingLists.insert(listTopic(Name));
}

// A change of a list costs one read here whoever watches, so no duty is done
// less often than another.
void PlatformReader::tick(TimePoint Now, Duty Wanted) {
  if (Wanted == Duty::Spare)
    Wanted = Duty::Watch;
  if (Wanted == Duty::ListForOthers)
    Wanted = Duty::List;
  if (Wanted != this->CurrentDuty) {
    this->CurrentDuty = Wanted;
    ++*this->Epoch;
    this->Busy = false;
    this->InProgress.reset();
    this->ManifestPending = false;
    this->scheduleFullRead();
    this->NotBefore =
        Now + Millis(this->Random() % (this->Opts.StartJitter.count() + 1));
  }
  if (this->CurrentDuty != Duty::None && !this->Busy && Now >= this->NotBefore)
    this->startNextRequest(Now);
}

// A token bucket in front of every call. The platform counts all readers
// together and refuses what is over; a node that asked on regardless would
// spend the others' share.
bool PlatformReader::takeReadToken(TimePoint Now) {
  if (!this->Budget.take(Now))
    return false;
  ++this->Reads;
  return true;
}

void PlatformReader::startNextRequest(TimePoint Now) {
  if (this->InProgress)
    return this->requestMissingRecords(Now);
  if (!this->PendingLists.empty())
    return this->requestList(*this->PendingLists.begin(), Now);
  if (this->ManifestPending)
    return this->requestManifest(Now);
  if (this->CurrentDuty == Duty::Watch)
    this->startWatch(Now);
}

Platform::ValueCallback PlatformReader::dropIfStale(
    const std::function<void(const Result<PlatformValue> &, TimePoint)> &Then) {
  return
      [Then, Epoch = std::weak_ptr<uint64_t>(this->Epoch),
       Started = *this->Epoch](const Result<PlatformValue> &Got, TimePoint At) {
        auto Alive = Epoch.lock();
        if (Alive && *Alive == Started)
          Then(Got, At);
      };
}

void PlatformReader::fail(const Error &Why, TimePoint Now) {
  this->Busy = false;
  this->InProgress.reset();
  this->scheduleFullRead();
  // Full jitter: of a herd that failed together, no two come back together.
  Millis Longest =
      std::min(this->Opts.MaxBackoff, this->Opts.InitialBackoff *
                                          (1 << std::min(this->Failures, 10u)));
  ++this->Failures;
  this->NotBefore = Now + Millis(this->Random() % (Longest.count() + 1));
  this->Hook.Failed(Why, Now);
}

void PlatformReader::requestList(const std::string &Key, TimePoint Now) {
  if (!this->takeReadToken(Now))
    return;
  this->Busy = true;
  this->Source.get(
      Key, Now,
      this->dropIfStale(
          [this, Key, Now](const Result<PlatformValue> &Got, TimePoint At) {
            this->onList(Key, Got, Now, At);
          }));
}

// A data centre whose list is not published yet, or the first version. The
// watch tells when it comes; failing instead would keep all the rest from being
// read.
bool PlatformReader::isNotYetPublished(const Error &Why) const {
  return this->CurrentDuty == Duty::Watch && Why.Code == Errc::NotFound;
}

void PlatformReader::continueReading(TimePoint Now) {
  this->Busy = false;
  this->succeed();
  this->startNextRequest(Now);
}

void PlatformReader::onList(const std::string &Key,
                            const Result<PlatformValue> &Got, TimePoint AskedAt,
                            TimePoint Now) {
  bool Evacuations = Key == EvacuationTopic;
  bool NeverWritten = Evacuations && !Got && Got.error().Code == Errc::NotFound;
  if (NeverWritten || (!Got && this->isNotYetPublished(Got.error()))) {
    this->PendingLists.erase(Key);
    return this->continueReading(Now);
  }
  if (!Got)
    return this->fail(Got.error(), Now);
  this->PendingLists.erase(Key);
  Result<DocumentPtr> List =
      Evacuations ? readEvacuations(Got->Bytes, Got->Revision)
                  : readInstanceList(Got->Bytes, listTopicDataCentre(Key),
                                     Got->Revision);
  if (!List)
    return this->skipInvalidValue(Got->Revision, List.error(), Now);
  this->Busy = false;
  this->succeed();
  this->WatchRevision = std::max(this->WatchRevision, Got->Revision);
  DocumentPtr Taken = this->rebaseAfterRestore(Key, *List, Now);
  this->ListStamps[Key] = Taken->stamp();
  this->Hook.Publish(Key, Taken, Now);
  this->Hook.Confirm(Key, Taken->stamp().Version, Taken->stamp().Revision,
                     AskedAt);
  this->startNextRequest(Now);
}

void PlatformReader::requestManifest(TimePoint Now) {
  if (!this->takeReadToken(Now))
    return;
  this->Busy = true;
  this->Source.get(
      ManifestKey, Now,
      this->dropIfStale(
          [this, Now](const Result<PlatformValue> &Got, TimePoint At) {
            if (!Got && this->isNotYetPublished(Got.error())) {
              this->ManifestPending = false;
              return this->continueReading(At);
            }
            if (!Got)
              return this->fail(Got.error(), At);
            this->onManifest(*Got, Now, At);
          }));
}

// A value that cannot be read stays as it is until somebody publishes another:
// reading it again would only cost reads, so go on and wait for a change.
void PlatformReader::skipInvalidValue(uint64_t Revision, const Error &Why,
                                      TimePoint Now) {
  this->Busy = false;
  this->WatchRevision = std::max(this->WatchRevision, Revision);
  this->Hook.Failed(Why, Now);
  this->startNextRequest(Now);
}

// A manifest tells what has changed since the version before, so that a reader
// that has that one reads a few hundred bytes. The whole contents of 940
// services are 175 KB, and 47 KB/s at the two-year rate of changes, for each
// reader.
void PlatformReader::onManifest(const PlatformValue &Value, TimePoint AskedAt,
                                TimePoint Now) {
  FaultList Faults;
  std::optional<Manifest> Read = readManifest(Value.Bytes, Faults);
  if (!Read) {
    this->ManifestPending = false;
    return this->skipInvalidValue(Value.Revision,
                                  Error{Errc::Invalid, "read-manifest",
                                        "platform", Faults.front().text()},
                                  Now);
  }
  if (Read->ContentsHash == this->KnownContentsHash)
    return this->startVersionRead(*Read, this->KnownRecords, Value.Revision,
                                  AskedAt, Now);
  if (Read->BaseHash == 0 || Read->BaseHash != this->KnownContentsHash)
    return this->requestContents(*Read, Value.Revision, AskedAt, Now);
  RecordHashes Wanted = this->KnownRecords;
  for (const auto &[Name, Hash] : Read->Changed)
    Wanted[Name] = Hash;
  for (const std::string &Name : Read->Removed)
    Wanted.erase(Name);
  // Whoever wrote the changes may have been wrong; the whole is the truth.
  if (contentHash(writeContents(Wanted)) != Read->ContentsHash)
    return this->requestContents(*Read, Value.Revision, AskedAt, Now);
  this->startVersionRead(*Read, std::move(Wanted), Value.Revision, AskedAt,
                         Now);
}

void PlatformReader::requestContents(const Manifest &Of, uint64_t Revision,
                                     TimePoint AskedAt, TimePoint Now) {
  this->Busy = false;
  if (!this->takeReadToken(Now))
    return;
  this->Busy = true;
  this->Source.get(
      ContentsPrefix + hexHash(Of.ContentsHash), Now,
      this->dropIfStale([this, Of, Revision, AskedAt](
                            const Result<PlatformValue> &Got, TimePoint At) {
        if (!Got)
          return this->fail(Got.error(), At);
        FaultList Faults;
        std::optional<RecordHashes> Wanted = readContents(Got->Bytes, Faults);
        if (!Wanted || contentHash(Got->Bytes) != Of.ContentsHash)
          return this->fail(
              Error{Errc::BadMessage, "read-contents", "platform",
                    Wanted ? "does not match its hash" : Faults.front().text()},
              At);
        this->startVersionRead(Of, std::move(*Wanted), Revision, AskedAt, At);
      }));
}

void PlatformReader::startVersionRead(const Manifest &Of, RecordHashes Wanted,
                                      uint64_t Revision, TimePoint AskedAt,
                                      TimePoint Now) {
  this->Busy = false;
  this->ManifestPending = false;
  this->InProgress = std::make_unique<VersionRead>();
  this->InProgress->Version = Of.Version;
  this->InProgress->ContentsHash = Of.ContentsHash;
  this->InProgress->Revision = Revision;
  this->InProgress->RequestedAt = AskedAt;
  DocumentPtr Held = this->Hook.CurrentDocument(ConfigTopic);
  for (const auto &[Name, Hash] : Wanted) {
    if (Held) {
      auto Old = Held->entries().find(Name);
      if (Old != Held->entries().end() &&
          contentHash(*Old->second.Bytes) == Hash) {
        this->InProgress->Entries.insert(*Old);
        continue;
      }
    }
    this->InProgress->MissingRecords.emplace_back(Name, Hash);
  }
  this->InProgress->Hashes = std::move(Wanted);
  this->requestMissingRecords(Now);
}

void PlatformReader::requestMissingRecords(TimePoint Now) {
  VersionRead &Of = *this->InProgress;
  while (!Of.MissingRecords.empty() &&
         Of.RunningReads < this->Opts.MaxParallelReads) {
    if (!this->takeReadToken(Now))
      return;
    auto [Name, Hash] = Of.MissingRecords.back();
    Of.MissingRecords.pop_back();
    ++Of.RunningReads;
    this->Source.get(
        RecordPrefix + hexHash(Hash), Now,
        this->dropIfStale([this, Name = Name, Hash = Hash](
                              const Result<PlatformValue> &Got, TimePoint At) {
          this->onRecord(Name, Hash, Got, At);
        }));
  }
  if (!Of.MissingRecords.empty() || Of.RunningReads != 0)
    return;
  DocumentPtr Doc =
      Document::make(Of.Version, Of.Revision, std::move(Of.Entries));
  this->KnownContentsHash = Of.ContentsHash;
  this->KnownRecords = std::move(Of.Hashes);
  this->ManifestVersion = Of.Version;
  this->ManifestRevision = Of.Revision;
  this->WatchRevision = std::max(this->WatchRevision, Of.Revision);
  TimePoint AskedAt = Of.RequestedAt;
  this->InProgress.reset();
  this->succeed();
  this->Hook.Publish(ConfigTopic, Doc, Now);
  this->Hook.Confirm(ConfigTopic, this->ManifestVersion, this->ManifestRevision,
                     AskedAt);
  this->startNextRequest(Now);
}

void PlatformReader::onRecord(const std::string &Name, uint64_t Hash,
                              const Result<PlatformValue> &Got, TimePoint Now) {
  if (!this->InProgress)
    return;
  if (!Got || contentHash(Got->Bytes) != Hash) {
    ++*this->Epoch; // drop the other answers of this gathering
    return this->fail(Got ? Error{Errc::BadMessage, "read-record", "platform",
                                  Name + " does not match its hash"}
                          : Got.error(),
                      Now);
  }
  this->InProgress->Entries[Name] = makeEntry(Name, Got->Bytes);
  --this->InProgress->RunningReads;
  this->requestMissingRecords(Now);
}

void PlatformReader::startWatch(TimePoint Now) {
  if (!this->takeReadToken(Now))
    return;
  this->Busy = true;
  this->Source.watch(this->watchedKeys(), this->WatchRevision,
                     this->Opts.WatchWait, Now,
                     [this, Now, Epoch = std::weak_ptr<uint64_t>(this->Epoch),
                      Started = *this->Epoch](
                         const Result<PlatformChanges> &Got, TimePoint At) {
                       auto Alive = Epoch.lock();
                       if (Alive && *Alive == Started)
                         this->onWatch(Got, Now, At);
                     });
}

void PlatformReader::onWatch(const Result<PlatformChanges> &Got,
                             TimePoint AskedAt, TimePoint Now) {
  if (!Got)
    return this->fail(Got.error(), Now);
  this->Busy = false;
  this->succeed();
  for (const PlatformChange &One : Got->Changed) {
    if (One.Key == ManifestKey)
      this->ManifestPending = true;
    else
      this->PendingLists.insert(One.Key);
  }
  this->trackRevision(Got->Revision, Now);
  // It answers from an old copy. That confirms nothing, but it may have been
  // restored from that copy for good, and count on from there. So look at all
  // it has, now and then; what is old is refused by its stamp.
  if (Got->Revision < this->WatchRevision) {
    this->WatchRevision = Got->Revision;
    this->scheduleFullRead();
    this->NotBefore = Now + this->Opts.MaxBackoff;
    return;
  }
  this->confirmAll(AskedAt);
  this->startNextRequest(Now);
}

void PlatformReader::trackRevision(uint64_t Revision, TimePoint Now) {
  if (Revision >= this->HighestRevision) {
    this->HighestRevision = Revision;
    this->BehindSince.reset();
  } else if (!this->BehindSince) {
    this->BehindSince = Now;
  }
}

bool PlatformReader::isRestored(TimePoint Now) const {
  return this->BehindSince &&
         Now - *this->BehindSince >= this->Opts.RestoreDetectionDelay;
}

// Lists are soft state: what the platform says now is right, also after it was
// restored and counts its revisions from an old number. Such a list is entered
// one above the one held, or nobody would take it until the count has caught
// up. Versions are not: operators publish a higher number.
DocumentPtr PlatformReader::rebaseAfterRestore(const std::string &Key,
                                               const DocumentPtr &List,
                                               TimePoint Now) const {
  DocumentPtr Held = this->Hook.CurrentDocument(Key);
  if (!Held || !this->isRestored(Now) || List->stamp() > Held->stamp())
    return List;
  if (List->stamp().Hash == Held->stamp().Hash)
    return Held;
  return Document::make(Held->stamp().Version + 1, List->stamp().Revision,
                        List->entries());
}

void PlatformReader::confirmAll(TimePoint AskedAt) {
  if (!this->ManifestPending)
    this->Hook.Confirm(ConfigTopic, this->ManifestVersion,
                       this->ManifestRevision, AskedAt);
  for (const auto &[Key, Place] : this->ListStamps)
    if (!this->PendingLists.count(Key))
      this->Hook.Confirm(Key, Place.Version, Place.Revision, AskedAt);
}

} // namespace hickorylift
