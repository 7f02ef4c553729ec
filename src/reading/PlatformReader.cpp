#include "reading/PlatformReader.h"

#include "base/Hash.h"
#include "membership/Evacuations.h"
#include "membership/Membership.h"

#include <algorithm>

// Runs these steps one after the other: read the lists, read the manifest and,
// if necessary, the contents that it refers to, read the records that are
// missing, then wait in a single watch until any of these keys changes, and
// read what changed. Manifests refer to contents and contents to records by the
// hash of their bytes, and both are stored under their hash. A read that
// overlaps with an update therefore gets either the right bytes or an error,
// and never mixes two versions.

namespace hickorylift {

const char ConfigTopic[] = "config";

namespace {

const std::string ManifestKey = "config/manifest";
const std::string RecordPrefix = "config/records/";
const std::string ContentsPrefix = "config/contents/";

} // namespace

namespace {

RecordHashes readHashes(JsonObject &Object) {
  RecordHashes Hashes;
  for (const std::string &Name : Object.keys()) {
    std::optional<uint64_t> Hash =
        parseHexHash(Object.string(Name, std::nullopt));
    if (!Hash)
      Object.fault(Name, "expected a hash of sixteen hex digits");
    Hashes[Name] = Hash.value_or(0);
  }
  return Hashes;
}

uint64_t readHash(JsonObject &Object, const std::string &Key,
                  const std::optional<std::string> &Default) {
  std::string Text = Object.string(Key, Default);
  std::optional<uint64_t> Hash = parseHexHash(Text);
  if (Object.has(Key) && !Hash)
    Object.fault(Key, "expected a hash of sixteen hex digits");
  return Hash.value_or(0);
}

Json::Value hashesJson(const RecordHashes &Hashes) {
  Json::Value Object(Json::objectValue);
  for (const auto &[Name, Hash] : Hashes)
    Object[Name] = hexHash(Hash);
  return Object;
}

} // namespace

std::string writeContents(const RecordHashes &Hashes) {
  return writeJson(hashesJson(Hashes));
}

std::optional<RecordHashes> readContents(const std::string &Text,
                                         FaultList &Faults) {
  size_t FaultsBefore = Faults.size();
  std::optional<Json::Value> Root = parseJson(Text, ContentsPrefix, Faults);
  if (!Root)
    return std::nullopt;
  JsonObject Top({ContentsPrefix, Text, &Faults}, *Root, "");
  RecordHashes Hashes = readHashes(Top);
  if (Faults.size() != FaultsBefore)
    return std::nullopt;
  return Hashes;
}

Manifest makeManifest(uint64_t Version, const RecordHashes &Old,
                      const RecordHashes &New) {
  Manifest Result;
  Result.Version = Version;
  Result.ContentsHash = contentHash(writeContents(New));
  if (Old.empty())
    return Result;
  Result.BaseHash = contentHash(writeContents(Old));
  for (const auto &[Name, Hash] : New) {
    auto Found = Old.find(Name);
    if (Found == Old.end() || Found->second != Hash)
      Result.Changed[Name] = Hash;
  }
  for (const auto &[Name, Hash] : Old)
    if (!New.count(Name))
      Result.Removed.push_back(Name);
  return Result;
}

std::optional<Manifest> readManifest(const std::string &Text,
                                     FaultList &Faults) {
  size_t FaultsBefore = Faults.size();
  std::optional<Json::Value> Root = parseJson(Text, ManifestKey, Faults);
  if (!Root)
    return std::nullopt;
  JsonObject Top({ManifestKey, Text, &Faults}, *Root, "");
  Manifest Result;
  Result.Version =
      static_cast<uint64_t>(Top.integer("version", std::nullopt, 1, INT64_MAX));
  Result.ContentsHash = readHash(Top, "contents", std::nullopt);
  Result.BaseHash = readHash(Top, "since", "");
  if (std::optional<JsonObject> Changed = Top.object("set", false))
    Result.Changed = readHashes(*Changed);
  Result.Removed = Top.strings("removed");
  Top.finish();
  if (Faults.size() != FaultsBefore)
    return std::nullopt;
  return Result;
}

std::string writeManifest(const Manifest &Value) {
  Json::Value Root(Json::objectValue);
  Root["version"] = Json::UInt64(Value.Version);
  Root["contents"] = hexHash(Value.ContentsHash);
  if (Value.BaseHash == 0)
    return writeJson(Root);
  Root["since"] = hexHash(Value.BaseHash);
  Root["set"] = hashesJson(Value.Changed);
  for (const std::string &Name : Value.Removed)
    Root["removed"].append(Name);
  return writeJson(Root);
}

PlatformReader::PlatformReader(Options Opts, Platform &Source, Hooks Hooks,
                               std::vector<std::string> DataCentres,
                               uint64_t Seed)
    : Opts(Opts), Source(Source), Hook(std::move(Hooks)),
      DataCentres(std::move(DataCentres)), Random(Seed),
      Budget(Opts.ReadsPerSecond, Opts.ReadBurst) {}

std::vector<std::string> PlatformReader::watchedKeys() const {
  std::vector<std::string> Keys{ManifestKey, EvacuationTopic};
  for (const std::string &Name : this->DataCentres)
    Keys.push_back(listTopic(Name));
  return Keys;
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

// With this platform, a change of a list costs one read whichever node watches,
// so no duty is done less often than another: a spare reader watches like any
// other, and ListForOthers is handled like List.
void PlatformReader::tick(TimePoint Now, Duty NewDuty) {
  if (NewDuty == Duty::Spare || NewDuty == Duty::Replacement)
    NewDuty = Duty::Watch;
  if (NewDuty == Duty::ListForOthers)
    NewDuty = Duty::List;
  if (NewDuty != this->CurrentDuty) {
    this->CurrentDuty = NewDuty;
    ++*this->Epoch;
    this->Busy = false;
    this->CannotRead = false;
    this->InProgress.reset();
    this->ManifestPending = false;
    this->scheduleFullRead();
    this->NotBefore =
        Now + Millis(this->Random() % (this->Opts.StartJitter.count() + 1));
  }
  if (this->CurrentDuty != Duty::None && !this->Busy && Now >= this->NotBefore)
    this->startNextRequest(Now);
}

// Takes a token from the bucket that limits this node's reads. The platform
// limits the rate of all readers together and refuses reads above it, so a node
// without its own limit would use up the other nodes' share.
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
    const std::function<void(const Result<PlatformValue> &, TimePoint)>
        &Callback) {
  return
      [Callback, Epoch = std::weak_ptr<uint64_t>(this->Epoch),
       Started = *this->Epoch](const Result<PlatformValue> &Got, TimePoint At) {
        auto Alive = Epoch.lock();
        if (Alive && *Alive == Started)
          Callback(Got, At);
      };
}

void PlatformReader::fail(const Error &Why, TimePoint Now) {
  this->Busy = false;
  this->InProgress.reset();
  this->scheduleFullRead();
  // The whole delay is random (full jitter), so that nodes that failed together
  // don't retry together.
  Millis MaxDelay =
      std::min(this->Opts.MaxBackoff, this->Opts.InitialBackoff *
                                          (1 << std::min(this->Failures, 10u)));
  this->CannotRead |= this->Failures > 0 || Why.Code == Errc::Timeout;
  ++this->Failures;
  this->NotBefore = Now + Millis(this->Random() % (MaxDelay.count() + 1));
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

// Whether the error means that a list or the first version has not been
// published yet. The watch reports when it is. Treating it as a failure would
// keep everything else from being read.
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
                  : readInstanceList(Got->Bytes, dataCentreOfListTopic(Key),
                                     Got->Revision);
  if (!List)
    return this->skipInvalidValue(Got->Revision, List.error(), Now);
  this->Busy = false;
  this->succeed();
  this->WatchRevision = std::max(this->WatchRevision, Got->Revision);
  DocumentPtr Accepted = this->rebaseAfterRestore(Key, *List, Now);
  this->ListStamps[Key] = Accepted->stamp();
  this->Hook.Publish(Key, Accepted, Now);
  this->Hook.Confirm(Key, Accepted->stamp().Version, Accepted->stamp().Revision,
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

// Skips a value that can't be parsed. It stays invalid until another one is
// published, so reading it again would only use up reads; the watch reports the
// change.
void PlatformReader::skipInvalidValue(uint64_t Revision, const Error &Why,
                                      TimePoint Now) {
  this->Busy = false;
  this->WatchRevision = std::max(this->WatchRevision, Revision);
  this->Hook.Failed(Why, Now);
  this->startNextRequest(Now);
}

// A manifest lists the changes since the previous version, so a reader that has
// that version reads a few hundred bytes. The complete contents of 940 services
// are 175 KB, which at the rate of changes expected in two years is 47 KB/s for
// each reader.
void PlatformReader::onManifest(const PlatformValue &Value, TimePoint AskedAt,
                                TimePoint Now) {
  FaultList Faults;
  std::optional<Manifest> NewManifest = readManifest(Value.Bytes, Faults);
  if (!NewManifest) {
    this->ManifestPending = false;
    return this->skipInvalidValue(Value.Revision,
                                  Error{Errc::Invalid, "read-manifest",
                                        "platform", Faults.front().text()},
                                  Now);
  }
  if (NewManifest->ContentsHash == this->KnownContentsHash)
    return this->startVersionRead(*NewManifest, this->KnownRecords,
                                  Value.Revision, AskedAt, Now);
  if (NewManifest->BaseHash == 0 ||
      NewManifest->BaseHash != this->KnownContentsHash)
    return this->requestContents(*NewManifest, Value.Revision, AskedAt, Now);
  RecordHashes Hashes = this->KnownRecords;
  for (const auto &[Name, Hash] : NewManifest->Changed)
    Hashes[Name] = Hash;
  for (const std::string &Name : NewManifest->Removed)
    Hashes.erase(Name);
  // The changes may have been written wrongly; the hash of the complete
  // contents is authoritative.
  if (contentHash(writeContents(Hashes)) != NewManifest->ContentsHash)
    return this->requestContents(*NewManifest, Value.Revision, AskedAt, Now);
  this->startVersionRead(*NewManifest, std::move(Hashes), Value.Revision,
                         AskedAt, Now);
}

void PlatformReader::requestContents(const Manifest &NewManifest,
                                     uint64_t Revision, TimePoint AskedAt,
                                     TimePoint Now) {
  this->Busy = false;
  if (!this->takeReadToken(Now))
    return;
  this->Busy = true;
  this->Source.get(
      ContentsPrefix + hexHash(NewManifest.ContentsHash), Now,
      this->dropIfStale([this, NewManifest, Revision, AskedAt](
                            const Result<PlatformValue> &Got, TimePoint At) {
        if (!Got)
          return this->fail(Got.error(), At);
        FaultList Faults;
        std::optional<RecordHashes> Hashes = readContents(Got->Bytes, Faults);
        if (!Hashes || contentHash(Got->Bytes) != NewManifest.ContentsHash)
          return this->fail(
              Error{Errc::BadMessage, "read-contents", "platform",
                    Hashes ? "does not match its hash" : Faults.front().text()},
              At);
        this->startVersionRead(NewManifest, std::move(*Hashes), Revision,
                               AskedAt, At);
      }));
}

void PlatformReader::startVersionRead(const Manifest &NewManifest,
                                      RecordHashes Hashes, uint64_t Revision,
                                      TimePoint AskedAt, TimePoint Now) {
  this->Busy = false;
  this->ManifestPending = false;
  this->InProgress = std::make_unique<VersionRead>();
  this->InProgress->Version = NewManifest.Version;
  this->InProgress->ContentsHash = NewManifest.ContentsHash;
  this->InProgress->Revision = Revision;
  this->InProgress->RequestedAt = AskedAt;
  DocumentPtr Current = this->Hook.CurrentDocument(ConfigTopic);
  for (const auto &[Name, Hash] : Hashes) {
    if (Current) {
      auto Old = Current->entries().find(Name);
      if (Old != Current->entries().end() &&
          contentHash(*Old->second.Bytes) == Hash) {
        this->InProgress->Entries.insert(*Old);
        continue;
      }
    }
    this->InProgress->MissingRecords.emplace_back(Name, Hash);
  }
  this->InProgress->Hashes = std::move(Hashes);
  this->requestMissingRecords(Now);
}

void PlatformReader::requestMissingRecords(TimePoint Now) {
  VersionRead &Pending = *this->InProgress;
  while (!Pending.MissingRecords.empty() &&
         Pending.RunningReads < this->Opts.MaxParallelReads) {
    if (!this->takeReadToken(Now))
      return;
    auto [Name, Hash] = Pending.MissingRecords.back();
    Pending.MissingRecords.pop_back();
    ++Pending.RunningReads;
    this->Source.get(
        RecordPrefix + hexHash(Hash), Now,
        this->dropIfStale([this, Name = Name, Hash = Hash](
                              const Result<PlatformValue> &Got, TimePoint At) {
          this->onRecord(Name, Hash, Got, At);
        }));
  }
  if (!Pending.MissingRecords.empty() || Pending.RunningReads != 0)
    return;
  DocumentPtr Doc = Document::make(Pending.Version, Pending.Revision,
                                   std::move(Pending.Entries));
  this->KnownContentsHash = Pending.ContentsHash;
  this->KnownRecords = std::move(Pending.Hashes);
  this->ManifestVersion = Pending.Version;
  this->ManifestRevision = Pending.Revision;
  this->WatchRevision = std::max(this->WatchRevision, Pending.Revision);
  TimePoint AskedAt = Pending.RequestedAt;
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
    ++*this->Epoch; // drop the answers to the other record reads
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
  for (const PlatformChange &Change : Got->Changed) {
    if (Change.Key == ManifestKey)
      this->ManifestPending = true;
    else
      this->PendingLists.insert(Change.Key);
  }
  this->trackRevision(Got->Revision, Now);
  // The platform runs on an older copy, so its answer confirms nothing. But it
  // may have been restored from that copy for good and continue counting
  // revisions from there. So everything is read again, at intervals of
  // MaxBackoff; documents with an old stamp are refused.
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

// The platform's current list is authoritative, also after the platform was
// restored and counts its revisions from a lower number. A list read after a
// restore gets a version one above the node's current list, as nodes would
// otherwise refuse it until the count has caught up. Configuration versions
// need no such change: operators publish a higher number.
DocumentPtr PlatformReader::rebaseAfterRestore(const std::string &Key,
                                               const DocumentPtr &List,
                                               TimePoint Now) const {
  DocumentPtr Current = this->Hook.CurrentDocument(Key);
  if (!Current || !this->isRestored(Now) || List->stamp() > Current->stamp())
    return List;
  if (List->stamp().Hash == Current->stamp().Hash)
    return Current;
  return Document::make(Current->stamp().Version + 1, List->stamp().Revision,
                        List->entries());
}

void PlatformReader::confirmAll(TimePoint AskedAt) {
  if (!this->ManifestPending)
    this->Hook.Confirm(ConfigTopic, this->ManifestVersion,
                       this->ManifestRevision, AskedAt);
  for (const auto &[Key, LastStamp] : this->ListStamps)
    if (!this->PendingLists.count(Key))
      this->Hook.Confirm(Key, LastStamp.Version, LastStamp.Revision, AskedAt);
}

} // namespace hickorylift
