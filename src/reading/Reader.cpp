#include "reading/Reader.h"

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
  Out.Contents = contentHash(writeContents(New));
  if (Old.empty())
    return Out;
  Out.Since = contentHash(writeContents(Old));
  for (const auto &[Name, Hash] : New) {
    auto Found = Old.find(Name);
    if (Found == Old.end() || Found->second != Hash)
      Out.Set[Name] = Hash;
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
  Out.Contents = readHash(Top, "contents", std::nullopt);
  Out.Since = readHash(Top, "since", "");
  if (std::optional<JsonObject> Set = Top.object("set", false))
    Out.Set = readHashes(*Set);
  Out.Removed = Top.strings("removed");
  Top.finish();
  if (Faults.size() != Before)
    return std::nullopt;
  return Out;
}

std::string writeManifest(const Manifest &Of) {
  Json::Value Out(Json::objectValue);
  Out["version"] = Json::UInt64(Of.Version);
  Out["contents"] = hexHash(Of.Contents);
  if (Of.Since == 0)
    return writeJson(Out);
  Out["since"] = hexHash(Of.Since);
  Out["set"] = hashesJson(Of.Set);
  for (const std::string &Name : Of.Removed)
    Out["removed"].append(Name);
  return writeJson(Out);
}

Reader::Reader(Options Opts, Platform &From, Hooks Hooks,
               std::vector<std::string> DataCentres, uint64_t Seed)
    : Opts(Opts), From(From), Hook(std::move(Hooks)),
      DataCentres(std::move(DataCentres)), Random(Seed),
      Budget(Opts.ReadsPerSecond, Opts.ReadBurst) {}

std::vector<std::string> Reader::watchedKeys() const {
  std::vector<std::string> Out{ManifestKey, EvacuationTopic};
  for (const std::string &Name : this->DataCentres)
    Out.push_back(listTopic(Name));
  return Out;
}

void Reader::wantEverything() {
  this->WantLists.clear();
  if (this->Current == Duty::List)
    this->WantLists = {listTopic(this->DataCentres.front())};
  if (this->Current != Duty::Once && this->Current != Duty::Watch)
    return;
  this->WantManifest = true;
  this->WantLists.insert(EvacuationTopic);
  for (const std::string &Name : this->DataCentres)
    this->WantLists.insert(listTopic(Name));
}

// A change of a list costs one read here whoever watches, so no duty is done
// less often than another.
void Reader::tick(TimePoint Now, Duty Wanted) {
  if (Wanted == Duty::Spare)
    Wanted = Duty::Watch;
  if (Wanted == Duty::ListForOthers)
    Wanted = Duty::List;
  if (Wanted != this->Current) {
    this->Current = Wanted;
    ++*this->Epoch;
    this->Busy = false;
    this->InProgress.reset();
    this->WantManifest = false;
    this->wantEverything();
    this->NotBefore =
        Now + Millis(this->Random() % (this->Opts.StartJitter.count() + 1));
  }
  if (this->Current != Duty::None && !this->Busy && Now >= this->NotBefore)
    this->step(Now);
}

// A token bucket in front of every call. The platform counts all readers
// together and refuses what is over; a node that asked on regardless would
// spend the others' share.
bool Reader::spend(TimePoint Now) {
  if (!this->Budget.take(Now))
    return false;
  ++this->Reads;
  return true;
}

void Reader::step(TimePoint Now) {
  if (this->InProgress)
    return this->gather(Now);
  if (!this->WantLists.empty())
    return this->readList(*this->WantLists.begin(), Now);
  if (this->WantManifest)
    return this->readManifestValue(Now);
  if (this->Current == Duty::Watch)
    this->startWatch(Now);
}

Platform::GotValue Reader::guarded(
    const std::function<void(const Result<PlatformValue> &, TimePoint)> &Then) {
  return
      [Then, Epoch = std::weak_ptr<uint64_t>(this->Epoch),
       Started = *this->Epoch](const Result<PlatformValue> &Got, TimePoint At) {
        auto Alive = Epoch.lock();
        if (Alive && *Alive == Started)
          Then(Got, At);
      };
}

void Reader::fail(const Error &Why, TimePoint Now) {
  this->Busy = false;
  this->InProgress.reset();
  this->wantEverything();
  // Full jitter: of a herd that failed together, no two come back together.
  Millis Longest =
      std::min(this->Opts.LongestBackoff,
               this->Opts.FirstBackoff * (1 << std::min(this->Failures, 10u)));
  ++this->Failures;
  this->NotBefore = Now + Millis(this->Random() % (Longest.count() + 1));
  this->Hook.Failed(Why, Now);
}

void Reader::readList(const std::string &Key, TimePoint Now) {
  if (!this->spend(Now))
    return;
  this->Busy = true;
  this->From.get(
      Key, Now,
      this->guarded(
          [this, Key, Now](const Result<PlatformValue> &Got, TimePoint At) {
            this->onList(Key, Got, Now, At);
          }));
}

// A data centre whose list is not published yet, or the first version. The
// watch tells when it comes; failing instead would keep all the rest from being
// read.
bool Reader::notThereYet(const Error &Why) const {
  return this->Current == Duty::Watch && Why.Code == Errc::NotFound;
}

void Reader::goOn(TimePoint Now) {
  this->Busy = false;
  this->succeed();
  this->step(Now);
}

void Reader::onList(const std::string &Key, const Result<PlatformValue> &Got,
                    TimePoint AskedAt, TimePoint Now) {
  bool Evacuations = Key == EvacuationTopic;
  bool NeverWritten = Evacuations && !Got && Got.error().Code == Errc::NotFound;
  if (NeverWritten || (!Got && this->notThereYet(Got.error()))) {
    this->WantLists.erase(Key);
    return this->goOn(Now);
  }
  if (!Got)
    return this->fail(Got.error(), Now);
  this->WantLists.erase(Key);
  Result<DocumentPtr> List =
      Evacuations ? readEvacuations(Got->Bytes, Got->Revision)
                  : readInstanceList(Got->Bytes, dataCentreOfListTopic(Key),
                                     Got->Revision);
  if (!List)
    return this->refuseValue(Got->Revision, List.error(), Now);
  this->Busy = false;
  this->succeed();
  this->After = std::max(this->After, Got->Revision);
  DocumentPtr Taken = this->rebased(Key, *List, Now);
  this->ListStamps[Key] = Taken->stamp();
  this->Hook.Publish(Key, Taken, Now);
  this->Hook.Confirm(Key, Taken->stamp().Version, Taken->stamp().Revision,
                     AskedAt);
  this->step(Now);
}

void Reader::readManifestValue(TimePoint Now) {
  if (!this->spend(Now))
    return;
  this->Busy = true;
  this->From.get(ManifestKey, Now,
                 this->guarded([this, Now](const Result<PlatformValue> &Got,
                                           TimePoint At) {
                   if (!Got && this->notThereYet(Got.error())) {
                     this->WantManifest = false;
                     return this->goOn(At);
                   }
                   if (!Got)
                     return this->fail(Got.error(), At);
                   this->onManifest(*Got, Now, At);
                 }));
}

// A value that cannot be read stays as it is until somebody publishes another:
// reading it again would only cost reads, so go on and wait for a change.
void Reader::refuseValue(uint64_t Revision, const Error &Why, TimePoint Now) {
  this->Busy = false;
  this->After = std::max(this->After, Revision);
  this->Hook.Failed(Why, Now);
  this->step(Now);
}

// A manifest tells what has changed since the version before, so that a reader
// that has that one reads a few hundred bytes. The whole contents of 940
// services are 175 KB, and 47 KB/s at the two-year rate of changes, for each
// reader.
void Reader::onManifest(const PlatformValue &Value, TimePoint AskedAt,
                        TimePoint Now) {
  FaultList Faults;
  std::optional<Manifest> Read = readManifest(Value.Bytes, Faults);
  if (!Read) {
    this->WantManifest = false;
    return this->refuseValue(Value.Revision,
                             Error{Errc::Invalid, "read-manifest", "platform",
                                   Faults.front().text()},
                             Now);
  }
  if (Read->Contents == this->KnownContents)
    return this->startGathering(*Read, this->KnownRecords, Value.Revision,
                                AskedAt, Now);
  if (Read->Since == 0 || Read->Since != this->KnownContents)
    return this->readWhole(*Read, Value.Revision, AskedAt, Now);
  RecordHashes Wanted = this->KnownRecords;
  for (const auto &[Name, Hash] : Read->Set)
    Wanted[Name] = Hash;
  for (const std::string &Name : Read->Removed)
    Wanted.erase(Name);
  // Whoever wrote the changes may have been wrong; the whole is the truth.
  if (contentHash(writeContents(Wanted)) != Read->Contents)
    return this->readWhole(*Read, Value.Revision, AskedAt, Now);
  this->startGathering(*Read, std::move(Wanted), Value.Revision, AskedAt, Now);
}

void Reader::readWhole(const Manifest &Of, uint64_t Revision, TimePoint AskedAt,
                       TimePoint Now) {
  this->Busy = false;
  if (!this->spend(Now))
    return;
  this->Busy = true;
  this->From.get(
      ContentsPrefix + hexHash(Of.Contents), Now,
      this->guarded([this, Of, Revision,
                     AskedAt](const Result<PlatformValue> &Got, TimePoint At) {
        if (!Got)
          return this->fail(Got.error(), At);
        FaultList Faults;
        std::optional<RecordHashes> Wanted = readContents(Got->Bytes, Faults);
        if (!Wanted || contentHash(Got->Bytes) != Of.Contents)
          return this->fail(
              Error{Errc::BadMessage, "read-contents", "platform",
                    Wanted ? "does not match its hash" : Faults.front().text()},
              At);
        this->startGathering(Of, std::move(*Wanted), Revision, AskedAt, At);
      }));
}

void Reader::startGathering(const Manifest &Of, RecordHashes Wanted,
                            uint64_t Revision, TimePoint AskedAt,
                            TimePoint Now) {
  this->Busy = false;
  this->WantManifest = false;
  this->InProgress = std::make_unique<Gathering>();
  this->InProgress->Version = Of.Version;
  this->InProgress->Contents = Of.Contents;
  this->InProgress->Revision = Revision;
  this->InProgress->AskedAt = AskedAt;
  DocumentPtr Held = this->Hook.Held(ConfigTopic);
  for (const auto &[Name, Hash] : Wanted) {
    if (Held) {
      auto Old = Held->entries().find(Name);
      if (Old != Held->entries().end() &&
          contentHash(*Old->second.Bytes) == Hash) {
        this->InProgress->Entries.insert(*Old);
        continue;
      }
    }
    this->InProgress->Missing.emplace_back(Name, Hash);
  }
  this->InProgress->Wanted = std::move(Wanted);
  this->gather(Now);
}

void Reader::gather(TimePoint Now) {
  Gathering &Of = *this->InProgress;
  while (!Of.Missing.empty() && Of.Running < this->Opts.Parallel) {
    if (!this->spend(Now))
      return;
    auto [Name, Hash] = Of.Missing.back();
    Of.Missing.pop_back();
    ++Of.Running;
    this->From.get(
        RecordPrefix + hexHash(Hash), Now,
        this->guarded([this, Name = Name, Hash = Hash](
                          const Result<PlatformValue> &Got, TimePoint At) {
          this->onRecord(Name, Hash, Got, At);
        }));
  }
  if (!Of.Missing.empty() || Of.Running != 0)
    return;
  DocumentPtr Doc =
      Document::make(Of.Version, Of.Revision, std::move(Of.Entries));
  this->KnownContents = Of.Contents;
  this->KnownRecords = std::move(Of.Wanted);
  this->ManifestVersion = Of.Version;
  this->ManifestRevision = Of.Revision;
  this->After = std::max(this->After, Of.Revision);
  TimePoint AskedAt = Of.AskedAt;
  this->InProgress.reset();
  this->succeed();
  this->Hook.Publish(ConfigTopic, Doc, Now);
  this->Hook.Confirm(ConfigTopic, this->ManifestVersion, this->ManifestRevision,
                     AskedAt);
  this->step(Now);
}

void Reader::onRecord(const std::string &Name, uint64_t Hash,
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
  --this->InProgress->Running;
  this->gather(Now);
}

void Reader::startWatch(TimePoint Now) {
  if (!this->spend(Now))
    return;
  this->Busy = true;
  this->From.watch(this->watchedKeys(), this->After, this->Opts.WatchWait, Now,
                   [this, Now, Epoch = std::weak_ptr<uint64_t>(this->Epoch),
                    Started = *this->Epoch](const Result<PlatformChanges> &Got,
                                            TimePoint At) {
                     auto Alive = Epoch.lock();
                     if (Alive && *Alive == Started)
                       this->onWatch(Got, Now, At);
                   });
}

void Reader::onWatch(const Result<PlatformChanges> &Got, TimePoint AskedAt,
                     TimePoint Now) {
  if (!Got)
    return this->fail(Got.error(), Now);
  this->Busy = false;
  this->succeed();
  for (const PlatformChange &One : Got->Changed) {
    if (One.Key == ManifestKey)
      this->WantManifest = true;
    else
      this->WantLists.insert(One.Key);
  }
  this->seen(Got->Revision, Now);
  // It answers from an old copy. That confirms nothing, but it may have been
  // restored from that copy for good, and count on from there. So look at all
  // it has, now and then; what is old is refused by its stamp.
  if (Got->Revision < this->After) {
    this->After = Got->Revision;
    this->wantEverything();
    this->NotBefore = Now + this->Opts.LongestBackoff;
    return;
  }
  this->confirmAll(AskedAt);
  this->step(Now);
}

void Reader::seen(uint64_t Revision, TimePoint Now) {
  if (Revision >= this->Highest) {
    this->Highest = Revision;
    this->BehindSince.reset();
  } else if (!this->BehindSince) {
    this->BehindSince = Now;
  }
}

bool Reader::restored(TimePoint Now) const {
  return this->BehindSince &&
         Now - *this->BehindSince >= this->Opts.RestoredAfter;
}

// Lists are soft state: what the platform says now is right, also after it was
// restored and counts its revisions from an old number. Such a list is entered
// one above the one held, or nobody would take it until the count has caught
// up. Versions are not: operators publish a higher number.
DocumentPtr Reader::rebased(const std::string &Key, const DocumentPtr &List,
                            TimePoint Now) const {
  DocumentPtr Held = this->Hook.Held(Key);
  if (!Held || !this->restored(Now) || List->stamp() > Held->stamp())
    return List;
  if (List->stamp().Hash == Held->stamp().Hash)
    return Held;
  return Document::make(Held->stamp().Version + 1, List->stamp().Revision,
                        List->entries());
}

void Reader::confirmAll(TimePoint AskedAt) {
  if (!this->WantManifest)
    this->Hook.Confirm(ConfigTopic, this->ManifestVersion,
                       this->ManifestRevision, AskedAt);
  for (const auto &[Key, Place] : this->ListStamps)
    if (!this->WantLists.count(Key))
      this->Hook.Confirm(Key, Place.Version, Place.Revision, AskedAt);
}

} // namespace hickorylift
