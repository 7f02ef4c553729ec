#include "reading/StoreReader.h"

#include "membership/Evacuations.h"

#include <algorithm>

// Read all items once, then wait in one watch for what changes, and read all
// again only where the store no longer knows what has changed since.
//
// A node whose neighbours have told it all that the store held at some revision
// begins with the watch. Reading all of 300 instances takes seven calls, and
// nodes that start, or lose their parents, would make thousands of them in a
// minute, of a rate that the whole fleet shares (docs/design/starting.md).
//
// Pages are not a snapshot. The watch therefore goes on from the revision of
// the first page: what changed between the pages comes again, and an item is
// only ever replaced by a later revision of itself.
//
// A store restored from an older copy reuses revisions, so a revision is only
// meaningful within its era. An answer of a later era invalidates the state of
// the previous one, and everything is read again. Documents are ordered by
// place, which combines era and revision, so documents of a later era supersede
// those of an earlier one at any revision. Eras are counted from the earliest
// known to any node: until the store is restored, places equal its revisions,
// which keeps them compatible with builds without eras.
//
// While the store is away, nobody can renew an entry, and entries of living
// instances lapse. So after its return, missing instances stay on the list
// until they have had time to renew; removing them at once would empty the
// fleet. Those still missing then are removed. A restored store may also lack
// drains and evacuations until they are written again, so these are kept for
// the same time. Versions are never held back.

namespace hickorylift {

namespace {

constexpr unsigned MaxBackoffShift = 10;
// A place holds the era in its upper 24 bits and the revision in its lower 40.
constexpr unsigned EraShift = 40;
constexpr uint64_t RevisionMask = (uint64_t(1) << EraShift) - 1;

} // namespace

StoreReader::StoreReader(Options Opts, KeyValueStore &From,
                         StoreLayout Contents, SourceHooks Hooks,
                         std::vector<std::string> DataCentres, uint64_t Seed)
    : Opts(Opts), Store(From), Layout(std::move(Contents)),
      Hook(std::move(Hooks)), DataCentres(std::move(DataCentres)), Random(Seed),
      Budget(Opts.ReadsPerSecond, Opts.ReadBurst) {}

void StoreReader::tick(TimePoint Now, ReadDuty Wanted) {
  bool Reads = Wanted != ReadDuty::None;
  bool Read = this->CurrentDuty != ReadDuty::None;
  this->CurrentDuty = Wanted;
  if (Reads != Read) {
    ++*this->Epoch;
    this->Busy = false;
    this->PageItems.clear();
    this->NotBefore = Now + this->startDelay();
    // Others have read on meanwhile.
    this->FullReadNeeded |=
        Reads && this->Hook.CompleteRevision() >
                     this->globalRevision(this->CopyRevision);
  }
  if (this->EvacuationsIncludeKept && Now >= this->RestoreGraceEnd)
    this->publishEvacuations(Now);
  if (this->ListsIncludeKept && Now >= this->InstanceGraceEnd)
    this->publishLists(Now);
  if (Reads && !this->Busy && Now >= this->NotBefore)
    this->startNextRequest(Now);
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
  if (this->FullReadNeeded && this->PageItems.empty() && this->resume())
    this->FullReadNeeded = false;
  if (!this->FullReadNeeded)
    return this->startWatch(Now);
  std::string After = this->PageItems.empty() ? "" : this->PageItems.back().Key;
  this->requestPage(After, Now);
}

bool StoreReader::resume() {
  uint64_t From = this->Hook.CompleteRevision();
  if (!this->resumeAt(From) || !this->resumeConfig() ||
      !this->resumeEvacuations() || !this->resumeLists())
    return false;
  this->CopyRevision = From & RevisionMask;
  return true;
}

// Takes over the era of Place and returns whether reading can continue from
// there. Returns false if Place belongs to another era than the known one.
bool StoreReader::resumeAt(uint64_t Place) {
  uint64_t Revision = Place & RevisionMask;
  std::optional<uint64_t> First = this->Hook.EarliestEra();
  std::optional<uint64_t> PlaceEra;
  if (First)
    PlaceEra = *First + (Place >> EraShift);
  if (this->Era && PlaceEra != this->Era)
    return false;
  this->Era = PlaceEra;
  return Revision > this->HistoryGoneAt && Revision >= this->CopyRevision;
}

bool StoreReader::resumeConfig() {
  if (this->Layout.ConfigKey.rfind(this->Layout.Prefix, 0) != 0)
    return true;
  DocumentPtr Held = this->Hook.CurrentDocument(ConfigTopic);
  if (!Held)
    return false;
  // A version held from an earlier era has no revision in this one.
  uint64_t Place = Held->stamp().Revision;
  bool OfThisEra = Place >= this->globalRevision(0);
  this->ConfigDoc = Held;
  this->ConfigRevision = OfThisEra ? Place & RevisionMask : 0;
  this->PendingConfig.reset();
  return true;
}

bool StoreReader::resumeEvacuations() {
  if (!this->readsEvacuations())
    return true;
  DocumentPtr Held = this->Hook.CurrentDocument(EvacuationTopic);
  if (!Held)
    return false;
  this->EvacuationDoc = Held;
  this->EvacuationKeys.clear();
  for (const std::string &Name : evacuatedIn(*Held))
    this->EvacuationKeys.insert(this->Layout.EvacuationPrefix + Name);
  return true;
}

// When an item was created is not in a list. Of two for one place the one that
// is read later has a greater number, and counts.
bool StoreReader::resumeLists() {
  std::map<std::string, ListedInstance> Told;
  std::map<std::string, DocumentPtr> Lists;
  FaultList Faults;
  for (const std::string &Place : this->DataCentres) {
    DocumentPtr Held = this->Hook.CurrentDocument(listTopic(Place));
    if (!Held)
      return false;
    for (const auto &[Name, Entry] : Held->entries()) {
      std::optional<Instance> One = readInstance(*Entry.Bytes, Name, Faults);
      if (!One || One->Upstream.empty())
        return false;
      Told[this->Layout.InstanceKey(*One)] = {*One, /*Created=*/0,
                                              One->ColdLeft};
    }
    Lists[Place] = Held;
  }
  for (const auto &[Key, One] : Told)
    if (One.Details.Incarnation != 0)
      this->LatestIncarnation[Key] =
          std::max(this->LatestIncarnation[Key], One.Details.Incarnation);
  this->Instances = std::move(Told);
  this->ListDocs = std::move(Lists);
  return true;
}

template <typename T>
std::function<void(Result<T>, TimePoint)> StoreReader::dropIfStale(
    std::function<void(const Result<T> &, TimePoint)> Then) {
  return [Then = std::move(Then), Epoch = std::weak_ptr<uint64_t>(this->Epoch),
          Started = *this->Epoch](const Result<T> &Got, TimePoint Now) {
    auto Alive = Epoch.lock();
    if (Alive && *Alive == Started)
      Then(Got, Now);
  };
}

void StoreReader::requestPage(const std::string &After, TimePoint Now) {
  this->Store.range(
      this->Layout.Prefix, After, Now,
      this->dropIfStale<ItemPage>(
          [this, Now](const Result<ItemPage> &Got, TimePoint Then) {
            this->onPage(Got, Now, Then);
          }));
}

void StoreReader::onPage(const Result<ItemPage> &Got, TimePoint AskedAt,
                         TimePoint Now) {
  if (!Got)
    return this->fail(Got.error(), Now);
  this->succeed(Now);
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
  Millis Wait =
      this->Failing ? this->Opts.WatchWaitAfterFailure : this->Opts.WatchWait;
  this->Store.watch(
      this->Layout.Prefix, this->CopyRevision, Wait, Now,
      this->dropIfStale<ItemChanges>(
          [this, Now](const Result<ItemChanges> &Got, TimePoint Then) {
            this->onChanges(Got, Now, Then);
          }));
}

void StoreReader::onChanges(const Result<ItemChanges> &Got, TimePoint AskedAt,
                            TimePoint Now) {
  if (!Got)
    return this->fail(Got.error(), Now);
  this->succeed(Now);
  if (this->checkEra(Got->Era, Now) != EraCheck::Same)
    return;
  this->CopyRevision = std::max(this->CopyRevision, Got->Revision);
  for (const ItemChange &One : Got->Changes) {
    if (One.Item) {
      this->applyItem(*One.Item, Now);
      continue;
    }
    this->Instances.erase(One.Key);
    if (this->EvacuationKeys.erase(One.Key) != 0)
      this->RemovedEvacuationKeys.insert(One.Key);
  }
  if (!Got->Changes.empty() || this->hasRefusedDocument()) {
    this->publishEvacuations(Now);
    this->publishConfig(Now);
    this->publishLists(Now);
  }
  this->confirmAll(AskedAt);
  this->reportComplete();
  bool Spare = this->CurrentDuty == ReadDuty::Spare;
  this->NotBefore =
      this->WatchStartedAt +
      (Spare ? this->Opts.SpareWatchInterval : this->Opts.WatchInterval);
  if (Now >= this->NotBefore)
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
  ++*this->Epoch;
  this->Busy = false;
  this->beginEra(*Reported, Now);
}

void StoreReader::beginEra(uint64_t New, TimePoint Now) {
  if (this->Era) {
    this->InstanceGraceEnd = Now + this->Opts.MissingEntryGrace;
    this->RestoreGraceEnd = this->InstanceGraceEnd;
    this->Hook.Restored(*this->Era, New, Now);
  }
  this->Era = New;
  this->Hook.EraObserved(New);
  this->FullReadNeeded = true;
  this->CopyRevision = 0;
  this->HistoryGoneAt = 0;
  this->PageItems.clear();
  this->RemovedEvacuationKeys.clear();
  this->NotBefore = Now + this->startDelay();
}

// Returns the position of a revision of the current era in the order across
// eras.
uint64_t StoreReader::globalRevision(uint64_t Revision) const {
  uint64_t CurrentEra = this->Era.value_or(0);
  uint64_t First =
      std::min(this->Hook.EarliestEra().value_or(CurrentEra), CurrentEra);
  return ((CurrentEra - First) << EraShift) + Revision;
}

void StoreReader::succeed(TimePoint Now) {
  this->Busy = false;
  this->Failures = 0;
  if (!std::exchange(this->Failing, false))
    return;
  this->InstanceGraceEnd = Now + this->Opts.MissingEntryGrace;
  this->Hook.Recovered(Now);
}

void StoreReader::fail(const Error &Why, TimePoint Now) {
  this->Busy = false;
  this->PageItems.clear();
  bool HistoryGone = Why.Code == Errc::Stale;
  this->FullReadNeeded |= HistoryGone;
  if (HistoryGone)
    this->HistoryGoneAt = std::max(this->HistoryGoneAt, this->CopyRevision);
  this->Failing |= !HistoryGone;
  // Full jitter: of a herd that failed together, no two come back together.
  Millis Longest =
      std::min(this->Opts.MaxBackoff,
               this->Opts.InitialBackoff *
                   (1 << std::min(this->Failures, MaxBackoffShift)));
  ++this->Failures;
  this->NotBefore = Now + Millis(this->Random() % (Longest.count() + 1));
  this->Hook.Failed(Why, Now);
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

// An item that cannot be read names no upstream: whatever stood there before is
// no longer what the platform says. The other items are not touched by it.
//
// An upstream that starts again under its old name has a later start. What its
// earlier process still has under way to the store may be written after that,
// and would bring a drain mark back that is over: callers would find an
// upstream left out that serves.
void StoreReader::applyInstance(const StoredItem &Item, TimePoint Now) {
  Result<Instance> Read = this->Layout.ReadInstance(Item);
  if (!Read) {
    this->Instances.erase(Item.Key);
    return this->Hook.Unreadable(Read.error(), Now);
  }
  if (Read->Incarnation != 0) {
    uint64_t &Latest = this->LatestIncarnation[Item.Key];
    if (Read->Incarnation < Latest)
      return;
    Latest = Read->Incarnation;
    if (this->LatestIncarnation.size() > this->Opts.MaxRememberedStarts)
      std::erase_if(this->LatestIncarnation, [this](const auto &One) {
        return !this->Instances.count(One.first);
      });
  }
  ListedInstance New{*Read, Item.CreatedRevision, Read->ColdLeft};
  this->updateColdSpell(New, Item.Key);
  this->Instances[Item.Key] = std::move(New);
}

// Whoever starts is cold, as everybody knows, and to count its time down would
// change the lists of the whole fleet at each heartbeat of each upstream. So
// the lists say only that one which had started is cold again.
void StoreReader::updateColdSpell(ListedInstance &New,
                                  const std::string &Key) const {
  auto Old = this->Instances.find(Key);
  bool Known = Old != this->Instances.end() &&
               Old->second.Details.sameStart(New.Details);
  bool Begins = Known && New.StoredColdLeft > Old->second.StoredColdLeft;
  bool GoesOn = Known && New.StoredColdLeft.count() > 0;
  New.Details.ColdLeft = Begins   ? New.StoredColdLeft
                         : GoesOn ? Old->second.Details.ColdLeft
                                  : Millis(0);
}

} // namespace hickorylift
