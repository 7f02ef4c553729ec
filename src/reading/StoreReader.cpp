#include "reading/StoreReader.h"

#include "membership/Evacuations.h"

#include <algorithm>

// Reads all items once, then waits for changes with one watch at a time. Reads
// everything again only if the store no longer has the history since the last
// revision read.
//
// A node whose neighbours have sent it everything that the store held at some
// revision starts with the watch. Reading all of 300 instances takes seven
// calls, and nodes that start or lose their parents would make thousands of
// them in a minute, out of a rate limit that the whole fleet shares
// (docs/design/starting.md).
//
// Pages are not a snapshot. The watch therefore starts from the revision of the
// first page: changes between the pages are delivered again, and an item is
// only ever replaced by a later revision of itself.
//
// A store restored from an older copy reuses revisions, so a revision is only
// meaningful within its era. An answer of a later era invalidates the state of
// the previous one, and everything is read again. Documents are ordered by
// global revision, which combines era and revision, so documents of a later era
// supersede those of an earlier one at any revision. Eras are counted from the
// earliest known to any node: until the store is restored, global revisions
// equal the store's revisions, which keeps them compatible with builds without
// eras.
//
// While the store is unreachable, entries cannot be renewed, and those of
// living instances expire. So after its return, missing instances stay on the
// list until they have had time to renew their entries; removing them at once
// would leave callers without upstreams. Those still missing then are removed.
// A restored store may also lack drains and evacuations until they are written
// again, so these are kept for the same time. Versions are never held back.
// StorePublishing.cpp says how documents with kept entries are ordered.

namespace hickorylift {

namespace {

constexpr unsigned MaxBackoffShift = 10;
// A global revision holds the number of eras since the earliest known one in
// its upper 24 bits and the revision in its lower 40.
constexpr unsigned EraShift = 40;
constexpr uint64_t RevisionMask = (uint64_t(1) << EraShift) - 1;

// Lists that contain only what the store held have equal version and revision,
// see StoreReader::makeDocument.
bool hasKeptEntries(const Document &List) {
  return List.stamp().Version != List.stamp().Revision;
}

} // namespace

StoreReader::StoreReader(Options Opts, KeyValueStore &Store, StoreLayout Layout,
                         SourceHooks Hooks,
                         std::vector<std::string> DataCentres, uint64_t Seed)
    : Opts(Opts), Store(Store), Layout(std::move(Layout)),
      Hook(std::move(Hooks)), DataCentres(std::move(DataCentres)), Random(Seed),
      Budget(Opts.ReadsPerSecond, Opts.ReadBurst) {}

void StoreReader::tick(TimePoint Now, ReadDuty Duty) {
  bool HasDuty = Duty != ReadDuty::None;
  bool HadDuty = this->CurrentDuty != ReadDuty::None;
  this->CurrentDuty = Duty;
  if (HasDuty != HadDuty) {
    this->abandonRequest();
    this->CannotRead = false;
    this->WasServed = false;
    this->NotBefore = Now + this->startDelay();
    // Other nodes may have read later revisions meanwhile.
    this->FullReadNeeded |= HasDuty && this->isBehindNode();
  }
  if (this->EvacuationsIncludeKept &&
      (Now >= this->RestoreGraceEnd ||
       this->isSuperseded(EvacuationTopic, this->EvacuationDoc)))
    this->publishEvacuations(Now);
  if (this->ListsIncludeKept &&
      (Now >= this->InstanceGraceEnd || this->hasSupersededList()))
    this->publishLists(Now);
  if (this->Busy)
    this->abandonRedundantTransfer(Now);
  if (HasDuty && !this->Busy && Now >= this->NotBefore &&
      !this->isServedByOthers(Now))
    this->startNextRequest(Now);
}

// Whether a spare need not ask the platform now, because another node has asked
// it less than SpareWatchInterval ago and has published the answer. All nodes
// share the platform's request rate, and while instances change all the time, a
// spare that asked in any case would cost almost as much as its primary.
bool StoreReader::isServedByOthers(TimePoint Now) {
  // A spare that fails must find out when it is served again: others read in
  // its place until then.
  if (!this->isSpare() || this->CannotRead)
    return false;
  this->updateLastAskedByAny();
  return this->LastAskedByAny &&
         Now - *this->LastAskedByAny < this->Opts.SpareWatchInterval;
}

void StoreReader::updateLastAskedByAny() {
  std::vector<std::string> Topics;
  for (const std::string &Name : this->DataCentres)
    Topics.push_back(listTopic(Name));
  if (this->readsConfig())
    Topics.push_back(ConfigTopic);
  for (const std::string &Topic : Topics)
    this->LastAskedByAny =
        std::max(this->LastAskedByAny, this->Hook.ConfirmedAt(Topic));
}

bool StoreReader::isBehindNode() const {
  return this->Hook.CompleteRevision() >
         this->globalRevision(this->CopyRevision);
}

// A spare's copy is as old as its last request, and that of a reader that has
// failed as old as its last answer. Continuing from there would transfer again
// what other nodes have sent since, each version of the configuration in full,
// or would fail because the store has discarded that history. Resuming lists
// means to parse them all, so a reader of lists that is not a spare reads their
// changes again, which are small.
void StoreReader::catchUpWithNode() {
  bool IsCheaper = this->isSpare() || this->readsConfigOnly();
  if (IsCheaper && this->isBehindNode())
    this->resume();
}

// While a reader on a thin network link receives a large configuration, another
// node may send the same version or a later one. The rest of the transfer then
// only delays what else the link carries, and the next version, for seconds.
void StoreReader::abandonRedundantTransfer(TimePoint Now) {
  if (!this->readsConfigOnly() || !this->readsConfig())
    return;
  DocumentPtr Current = this->Hook.CurrentDocument(ConfigTopic);
  bool HasNewer = Current && Current->stamp().Revision >
                                 this->globalRevision(this->CopyRevision);
  // The answer may also hold evacuations, so all that came before that version
  // must be known.
  if (!HasNewer || this->Hook.CompleteRevision() < Current->stamp().Revision ||
      !this->resume())
    return;
  this->abandonRequest();
  this->FullReadNeeded = false;
  this->NotBefore = Now;
}

void StoreReader::abandonRequest() {
  ++*this->Epoch;
  if (std::exchange(this->Busy, false))
    this->Store.cancel(this->Layout.Prefix);
  this->PageItems.clear();
}

Millis StoreReader::startDelay() {
  if (this->CurrentDuty == ReadDuty::ListForOthers)
    return Millis(0);
  return Millis(this->Random() % (this->Opts.StartJitter.count() + 1));
}

void StoreReader::startNextRequest(TimePoint Now) {
  if (!this->Budget.take(Now))
    return;
  ++this->Reads;
  this->Busy = true;
  if (!this->FullReadNeeded)
    this->catchUpWithNode();
  else if (this->PageItems.empty() && this->resume())
    this->FullReadNeeded = false;
  if (!this->FullReadNeeded)
    return this->startWatch(Now);
  std::string After = this->PageItems.empty() ? "" : this->PageItems.back().Key;
  this->requestPage(After, Now);
}

// Takes over the node's documents as the copy if they are complete up to a
// revision from which a watch can continue. Returns whether it did.
bool StoreReader::resume() {
  uint64_t Position = this->Hook.CompleteRevision();
  if (!this->resumeAt(Position) || !this->resumeConfig() ||
      !this->resumeEvacuations() || !this->resumeLists())
    return false;
  this->CopyRevision = Position & RevisionMask;
  return true;
}

// Takes over the era of Position, a global revision, and returns whether
// reading can continue from there. Returns false if Position belongs to another
// era than the known one.
bool StoreReader::resumeAt(uint64_t Position) {
  uint64_t Revision = Position & RevisionMask;
  std::optional<uint64_t> EarliestEra = this->Hook.EarliestEra();
  std::optional<uint64_t> PositionEra;
  if (EarliestEra)
    PositionEra = *EarliestEra + (Position >> EraShift);
  if (this->Era && PositionEra != this->Era)
    return false;
  this->Era = PositionEra;
  return Revision > this->HistoryGoneAt && Revision >= this->CopyRevision;
}

bool StoreReader::resumeConfig() {
  if (!this->readsConfig())
    return true;
  DocumentPtr Current = this->Hook.CurrentDocument(ConfigTopic);
  if (!Current)
    return false;
  // A version from an earlier era has no revision in this one.
  uint64_t Position = Current->stamp().Revision;
  bool OfThisEra = Position >= this->globalRevision(0);
  this->ConfigDoc = Current;
  this->ConfigRevision = OfThisEra ? Position & RevisionMask : 0;
  this->PendingConfig.reset();
  return true;
}

bool StoreReader::resumeEvacuations() {
  if (!this->readsEvacuations())
    return true;
  DocumentPtr Current = this->Hook.CurrentDocument(EvacuationTopic);
  if (!Current)
    return false;
  this->EvacuationDoc = Current;
  this->EvacuationKeys.clear();
  for (const std::string &Name : evacuatedDataCentres(*Current))
    this->EvacuationKeys.insert(this->Layout.EvacuationPrefix + Name);
  return true;
}

// Instance lists contain the revision at which an item was created only where
// several items claim one name; else it is set to 0. If a second item with the
// same instance name is read later, it has a higher one and comes first.
bool StoreReader::resumeLists() {
  std::map<std::string, ListedInstance> Resumed;
  std::map<std::string, DocumentPtr> Lists;
  FaultList Faults;
  for (const std::string &DataCentre : this->DataCentres) {
    DocumentPtr Current = this->Hook.CurrentDocument(listTopic(DataCentre));
    if (!Current)
      return false;
    for (const auto &[Name, Entry] : Current->entries()) {
      std::vector<Claim> Claims = readClaims(*Entry.Bytes, Name, Faults);
      if (Claims.empty())
        return false;
      for (const Claim &One : Claims) {
        if (One.Details.Upstream.empty())
          return false;
        Resumed[this->Layout.InstanceKey(One.Details)] = {
            One.Details, One.CreatedRevision, One.Details.ColdLeft};
      }
    }
    Lists[DataCentre] = Current;
  }
  for (const auto &[Key, Listed] : Resumed) {
    uint64_t Incarnation = Listed.Details.Incarnation;
    if (Incarnation != 0 && Incarnation > this->LatestStarts[Key].Incarnation)
      this->LatestStarts[Key] = {Incarnation, /*LateWrites=*/0};
  }
  this->Instances = std::move(Resumed);
  this->ListDocs = std::move(Lists);
  return true;
}

template <typename T>
std::function<void(Result<T>, TimePoint)> StoreReader::dropIfStale(
    std::function<void(const Result<T> &, TimePoint)> Callback) {
  return [Callback = std::move(Callback),
          Epoch = std::weak_ptr<uint64_t>(this->Epoch),
          Started = *this->Epoch](const Result<T> &Got, TimePoint Now) {
    auto Alive = Epoch.lock();
    if (Alive && *Alive == Started)
      Callback(Got, Now);
  };
}

void StoreReader::requestPage(const std::string &After, TimePoint Now) {
  this->Store.range(this->Layout.Prefix, After, Now,
                    this->dropIfStale<ItemPage>(
                        [this, Now](const Result<ItemPage> &Got, TimePoint At) {
                          this->onPage(Got, Now, At);
                        }));
}

void StoreReader::onPage(const Result<ItemPage> &Got, TimePoint AskedAt,
                         TimePoint Now) {
  if (!Got)
    return this->fail(Got.error(), Now);
  this->succeed(Now);
  this->noteTransfer("store-range", Got->Received, Now);
  bool IsFirst = this->PageItems.empty();
  EraCheck Check = this->checkEra(Got->Era, Now);
  if (Check == EraCheck::Earlier || (Check == EraCheck::Later && !IsFirst))
    return;
  if (IsFirst)
    this->FirstPageRevision = Got->Revision;
  this->PageItems.insert(this->PageItems.end(), Got->Items.begin(),
                         Got->Items.end());
  if (Got->HasMore && !Got->Items.empty())
    return this->startNextRequest(Now);
  this->FullReadNeeded = false;
  this->CopyRevision = this->FirstPageRevision;
  this->Instances.clear();
  this->EvacuationKeys.clear();
  this->ConfigRevision = 0;
  for (const StoredItem &Item : std::exchange(this->PageItems, {}))
    this->applyItem(Item, Now);
  this->publishEvacuations(Now);
  this->publishConfig(Now);
  this->publishLists(Now);
  this->confirmAll(AskedAt);
  this->reportComplete();
  this->startNextRequest(Now);
}

void StoreReader::startWatch(TimePoint Now) {
  this->WatchStartedAt = Now;
  // A node that replaces a reader must find out soon whether it is served: a
  // watch that waits for changes times out later.
  bool MayBeTurnedAway =
      this->CurrentDuty == ReadDuty::Replacement && !this->WasServed;
  Millis Wait = this->Failing || MayBeTurnedAway
                    ? this->Opts.WatchWaitAfterFailure
                    : this->Opts.WatchWait;
  this->Store.watch(
      this->Layout.Prefix, this->CopyRevision, Wait, Now,
      this->dropIfStale<ItemChanges>(
          [this, Now](const Result<ItemChanges> &Got, TimePoint At) {
            this->onChanges(Got, Now, At);
          }));
}

void StoreReader::onChanges(const Result<ItemChanges> &Got, TimePoint AskedAt,
                            TimePoint Now) {
  if (!Got)
    return this->fail(Got.error(), Now);
  this->succeed(Now);
  this->noteTransfer("store-watch", Got->Received, Now);
  if (this->checkEra(Got->Era, Now) != EraCheck::Same)
    return;
  this->CopyRevision = std::max(this->CopyRevision, Got->Revision);
  for (const ItemChange &Change : Got->Changes) {
    if (Change.Item) {
      this->applyItem(*Change.Item, Now);
      continue;
    }
    this->removeInstance(Change.Key);
    this->ReportedFaults.erase(Change.Key);
    if (this->EvacuationKeys.erase(Change.Key) != 0)
      this->RemovedEvacuationKeys.insert(Change.Key);
  }
  if (!Got->Changes.empty() || this->hasRefusedDocument()) {
    this->publishEvacuations(Now);
    this->publishConfig(Now);
    this->updateLists(Now);
  }
  this->confirmAll(AskedAt);
  this->reportComplete();
  this->NotBefore =
      this->WatchStartedAt + (this->isSpare() ? this->Opts.SpareWatchInterval
                                              : this->Opts.WatchInterval);
  if (Now >= this->NotBefore && !this->isServedByOthers(Now))
    this->startNextRequest(Now);
}

// Compares the era of an answer with the current one. An answer of a later era
// starts that era; one of an earlier era predates a restore and is refused.
StoreReader::EraCheck
StoreReader::checkEra(const std::optional<uint64_t> &Reported, TimePoint Now) {
  if (!Reported || Reported == this->Era)
    return EraCheck::Same;
  if (!this->Era || *Reported > *this->Era) {
    this->beginEra(*Reported, Now);
    return EraCheck::Later;
  }
  this->fail(Error{Errc::Refused, "store-era", "store",
                   "answer from era " + std::to_string(*Reported) +
                       ", current era is " + std::to_string(*this->Era)},
             Now);
  return EraCheck::Earlier;
}

void StoreReader::observeEra(const std::optional<uint64_t> &Reported,
                             TimePoint Now) {
  if (!this->Era || !Reported || *Reported <= *this->Era)
    return;
  this->abandonRequest();
  this->beginEra(*Reported, Now);
}

void StoreReader::beginEra(uint64_t NewEra, TimePoint Now) {
  if (this->Era) {
    this->InstanceGraceEnd = Now + this->Opts.MissingEntryGrace;
    this->RestoreGraceEnd = this->InstanceGraceEnd;
    this->Hook.Restored(*this->Era, NewEra, Now);
  }
  this->Era = NewEra;
  this->Hook.EraObserved(NewEra);
  this->FullReadNeeded = true;
  this->CopyRevision = 0;
  this->HistoryGoneAt = 0;
  this->PageItems.clear();
  this->RemovedEvacuationKeys.clear();
  this->NotBefore = Now + this->startDelay();
}

// Converts a revision of the current era to a global revision, which orders
// revisions across eras.
uint64_t StoreReader::globalRevision(uint64_t Revision) const {
  uint64_t CurrentEra = this->Era.value_or(0);
  uint64_t FirstEra =
      std::min(this->Hook.EarliestEra().value_or(CurrentEra), CurrentEra);
  return ((CurrentEra - FirstEra) << EraShift) + Revision;
}

void StoreReader::succeed(TimePoint Now) {
  this->Busy = false;
  this->Failures = 0;
  this->CannotRead = false;
  this->WasServed = true;
  bool HasFailed = std::exchange(this->Failing, false);
  if (HasFailed || this->missedAnOutage(Now))
    this->InstanceGraceEnd = Now + this->Opts.MissingEntryGrace;
  this->LastAnswerAt = Now;
  if (HasFailed)
    this->Hook.Recovered(Now);
}

// Whether the store may have been unreachable for all nodes while this reader
// did not ask it. A reader without a failure of its own would otherwise remove
// entries that expired in the outage, on all nodes: its list is newer than
// those in which the other readers keep them.
bool StoreReader::missedAnOutage(TimePoint Now) {
  Millis MaxGap = this->Opts.WatchWait + this->Opts.MaxAnswerDelay;
  if (this->LastAnswerAt && Now - *this->LastAnswerAt <= MaxGap)
    return false;
  this->updateLastAskedByAny();
  if (this->LastAskedByAny && Now - *this->LastAskedByAny > MaxGap)
    return true;
  return std::any_of(this->DataCentres.begin(), this->DataCentres.end(),
                     [this](const std::string &Name) {
                       DocumentPtr List =
                           this->Hook.CurrentDocument(listTopic(Name));
                       return List && hasKeptEntries(*List);
                     });
}

void StoreReader::noteTransfer(const std::string &Step,
                               const Transfer &Received, TimePoint Now) {
  if (Received.Time >= this->Opts.SlowTransferTime)
    this->Hook.SlowTransfer(Step, Received.Bytes, Received.Time, Now);
}

void StoreReader::fail(const Error &Why, TimePoint Now) {
  this->Busy = false;
  this->PageItems.clear();
  bool HistoryGone = Why.Code == Errc::Stale;
  this->FullReadNeeded |= HistoryGone;
  if (HistoryGone)
    this->HistoryGoneAt = std::max(this->HistoryGoneAt, this->CopyRevision);
  bool FailedBefore = this->Failing;
  this->Failing |= !HistoryGone;
  this->CannotRead |=
      !HistoryGone && (FailedBefore || Why.Code == Errc::Timeout);
  this->NotBefore = Now + this->backoff();
  ++this->Failures;
  this->Hook.Failed(Why, Now);
}

// The whole delay is random (full jitter), so that nodes that failed together
// don't retry together.
Millis StoreReader::backoff() {
  if (this->CurrentDuty == ReadDuty::Replacement && this->CannotRead) {
    Millis Half = this->Opts.ReplacementBackoff / 2;
    return Half + Millis(this->Random() % (Half.count() + 1));
  }
  Millis MaxDelay =
      std::min(this->Opts.MaxBackoff,
               this->Opts.InitialBackoff *
                   (1 << std::min(this->Failures, MaxBackoffShift)));
  return Millis(this->Random() % (MaxDelay.count() + 1));
}

void StoreReader::applyItem(const StoredItem &Item, TimePoint Now) {
  if (Item.Key == this->Layout.ConfigKey) {
    if (this->ConfigRevision < Item.Revision) {
      this->ConfigRevision = Item.Revision;
      this->PendingConfig = Item;
    }
    return;
  }
  if (Item.Key.rfind(this->Layout.InstancePrefix, 0) == 0)
    this->applyInstance(Item, Now);
  else if (this->readsEvacuations() &&
           Item.Key.rfind(this->Layout.EvacuationPrefix, 0) == 0)
    this->EvacuationKeys.insert(Item.Key);
}

// An item that can't be used refers to no upstream: the instance that was
// stored under its key before is removed, since the store no longer contains
// it. Other items are not affected.
void StoreReader::applyInstance(const StoredItem &Item, TimePoint Now) {
  Result<Instance> Read = this->readInstanceItem(Item);
  if (!Read) {
    this->removeInstance(Item.Key);
    return this->reportUnusable(Item.Key, Read.error(), Now);
  }
  this->ReportedFaults.erase(Item.Key);
  if (Read->Incarnation != 0 && this->isLateWrite(Item.Key, Read->Incarnation))
    return;
  ListedInstance New{*Read, Item.CreatedRevision, Read->ColdLeft};
  this->updateColdSpell(New, Item.Key);
  auto [Old, IsNew] = this->Instances.try_emplace(Item.Key);
  this->ListsChanged |= IsNew || !Old->second.isListedLike(New);
  Old->second = std::move(New);
}

void StoreReader::removeInstance(const std::string &Key) {
  this->ListsChanged |= this->Instances.erase(Key) != 0;
}

// What a list can't hold would make the whole entry unreadable for every node.
Result<Instance> StoreReader::readInstanceItem(const StoredItem &Item) const {
  Result<Instance> Read = this->Layout.ReadInstance(Item);
  if (!Read)
    return Read;
  auto Unusable = [&Item](const std::string &Why) {
    return Error{Errc::Invalid, "read-item", "store", Item.Key + ": " + Why};
  };
  bool IsKnown = std::find(this->DataCentres.begin(), this->DataCentres.end(),
                           Read->DataCentre) != this->DataCentres.end();
  if (!IsKnown)
    return Unusable("unknown data centre " + Read->DataCentre);
  if (Read->Incarnation > MaxIncarnation)
    return Unusable("start time out of range");
  if (Read->Slots > MaxInstanceSlots)
    return Unusable("number of slots out of range");
  (*Read).ColdLeft = std::min(Read->ColdLeft, MaxColdLeft);
  return Read;
}

// An item that stays unusable is written again at each heartbeat of its writer,
// and is reported once.
void StoreReader::reportUnusable(const std::string &Key, const Error &Fault,
                                 TimePoint Now) {
  auto Known = this->ReportedFaults.find(Key);
  if (Known != this->ReportedFaults.end() && Known->second == Fault.Detail)
    return;
  if (this->ReportedFaults.size() < this->Opts.MaxRememberedFaults)
    this->ReportedFaults[Key] = Fault.Detail;
  this->Hook.Unreadable(Fault, Now);
}

// An upstream that restarts under the same name has a higher incarnation. A
// write by its earlier process may reach the store after that, and would
// restore a drain mark that no longer applies, so that callers would not use an
// upstream that serves. So items of an earlier incarnation are ignored, unless
// they go on: then the greater number was another writer's.
bool StoreReader::isLateWrite(const std::string &Key, uint64_t Incarnation) {
  LatestStart &Latest = this->LatestStarts[Key];
  if (Incarnation < Latest.Incarnation &&
      ++Latest.LateWrites <= this->Opts.MaxLateWrites)
    return true;
  Latest = {Incarnation, /*LateWrites=*/0};
  if (this->LatestStarts.size() > this->Opts.MaxRememberedStarts)
    std::erase_if(this->LatestStarts, [this](const auto &Entry) {
      return !this->Instances.count(Entry.first);
    });
  return false;
}

// Every upstream is cold after its start, which all nodes know. Counting the
// remaining time down in the lists would change the lists of the whole fleet at
// each heartbeat of each upstream. So the lists only report that an upstream
// became cold again after it had started, with the time that this cold spell
// had left when it began.
void StoreReader::updateColdSpell(ListedInstance &New,
                                  const std::string &Key) const {
  auto Old = this->Instances.find(Key);
  bool IsSameStart = Old != this->Instances.end() &&
                     Old->second.Details.sameStart(New.Details);
  bool SpellBegins =
      IsSameStart && New.StoredColdLeft > Old->second.StoredColdLeft;
  bool SpellContinues = IsSameStart && New.StoredColdLeft.count() > 0;
  New.Details.ColdLeft = SpellBegins      ? New.StoredColdLeft
                         : SpellContinues ? Old->second.Details.ColdLeft
                                          : Millis(0);
}

} // namespace hickorylift
