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
                         StoreContents Contents, SourceHooks Hooks,
                         std::vector<std::string> DataCentres, uint64_t Seed)
    : Opts(Opts), From(From), Contents(std::move(Contents)),
      Hook(std::move(Hooks)), DataCentres(std::move(DataCentres)), Random(Seed),
      Budget(Opts.ReadsPerSecond, Opts.ReadBurst) {}

void StoreReader::tick(TimePoint Now, ReadDuty Wanted) {
  bool Reads = Wanted != ReadDuty::None;
  bool Read = this->Current != ReadDuty::None;
  this->Current = Wanted;
  if (Reads != Read) {
    ++*this->Epoch;
    this->Busy = false;
    this->Gathered.clear();
    this->NotBefore = Now + this->startDelay();
    // Others have read on meanwhile.
    this->WantAll |= Reads && this->Hook.CompleteAt() > this->place(this->At);
  }
  if (this->EvacuationsWait && Now >= this->RestoreSettledAt)
    this->publishEvacuations(Now);
  if (this->ListsWait && Now >= this->SettledAt)
    this->publishLists(Now);
  if (Reads && !this->Busy && Now >= this->NotBefore)
    this->step(Now);
}

Millis StoreReader::startDelay() {
  if (this->Current == ReadDuty::ListForOthers)
    return Millis(0);
  return Millis(this->Random() % (this->Opts.StartJitter.count() + 1));
}

void StoreReader::step(TimePoint Now) {
  if (!this->Budget.take(Now))
    return;
  ++this->Reads;
  this->Busy = true;
  if (this->WantAll && this->Gathered.empty() && this->resume())
    this->WantAll = false;
  if (!this->WantAll)
    return this->watch(Now);
  std::string After = this->Gathered.empty() ? "" : this->Gathered.back().Key;
  this->list(After, Now);
}

bool StoreReader::resume() {
  uint64_t From = this->Hook.CompleteAt();
  if (!this->resumeAt(From) || !this->resumeConfig() ||
      !this->resumeEvacuations() || !this->resumeLists())
    return false;
  this->At = From & RevisionMask;
  return true;
}

// Takes over the era of Place and returns whether reading can continue from
// there. Returns false if Place belongs to another era than the known one.
bool StoreReader::resumeAt(uint64_t Place) {
  uint64_t Revision = Place & RevisionMask;
  std::optional<uint64_t> First = this->Hook.FirstEra();
  std::optional<uint64_t> PlaceEra;
  if (First)
    PlaceEra = *First + (Place >> EraShift);
  if (this->Era && PlaceEra != this->Era)
    return false;
  this->Era = PlaceEra;
  return Revision > this->HistoryGoneAt && Revision >= this->At;
}

bool StoreReader::resumeConfig() {
  if (this->Contents.ConfigKey.rfind(this->Contents.Prefix, 0) != 0)
    return true;
  DocumentPtr Held = this->Hook.Held(ConfigTopic);
  if (!Held)
    return false;
  // A version held from an earlier era has no revision in this one.
  uint64_t Place = Held->stamp().Revision;
  bool OfThisEra = Place >= this->place(0);
  this->ConfigDoc = Held;
  this->ConfigRevision = OfThisEra ? Place & RevisionMask : 0;
  this->PendingConfig.reset();
  return true;
}

bool StoreReader::resumeEvacuations() {
  if (!this->readsEvacuations())
    return true;
  DocumentPtr Held = this->Hook.Held(EvacuationTopic);
  if (!Held)
    return false;
  this->EvacuationDoc = Held;
  this->Evacuations.clear();
  for (const std::string &Name : evacuatedDataCentres(*Held))
    this->Evacuations.insert(this->Contents.EvacuationPrefix + Name);
  return true;
}

// When an item was created is not in a list. Of two for one place the one that
// is read later has a greater number, and counts.
bool StoreReader::resumeLists() {
  std::map<std::string, Listed> Told;
  std::map<std::string, DocumentPtr> Lists;
  FaultList Faults;
  for (const std::string &Place : this->DataCentres) {
    DocumentPtr Held = this->Hook.Held(listTopic(Place));
    if (!Held)
      return false;
    for (const auto &[Name, Entry] : Held->entries()) {
      std::optional<Instance> One = readInstance(*Entry.Bytes, Name, Faults);
      if (!One || One->Upstream.empty())
        return false;
      Told[this->Contents.KeyOf(*One)] = {*One, /*Created=*/0, One->ColdLeft};
    }
    Lists[Place] = Held;
  }
  for (const auto &[Key, One] : Told)
    if (One.Who.Incarnation != 0)
      this->LatestStart[Key] =
          std::max(this->LatestStart[Key], One.Who.Incarnation);
  this->Instances = std::move(Told);
  this->Published = std::move(Lists);
  return true;
}

template <typename T>
std::function<void(Result<T>, TimePoint)>
StoreReader::guarded(std::function<void(const Result<T> &, TimePoint)> Then) {
  return [Then = std::move(Then), Epoch = std::weak_ptr<uint64_t>(this->Epoch),
          Started = *this->Epoch](const Result<T> &Got, TimePoint Now) {
    auto Alive = Epoch.lock();
    if (Alive && *Alive == Started)
      Then(Got, Now);
  };
}

void StoreReader::list(const std::string &After, TimePoint Now) {
  this->From.range(
      this->Contents.Prefix, After, Now,
      this->guarded<ItemPage>(
          [this, Now](const Result<ItemPage> &Got, TimePoint Then) {
            this->onPage(Got, Now, Then);
          }));
}

void StoreReader::onPage(const Result<ItemPage> &Got, TimePoint AskedAt,
                         TimePoint Now) {
  if (!Got)
    return this->fail(Got.error(), Now);
  this->succeed(Now);
  bool IsFirst = this->Gathered.empty();
  EraCheck Check = this->checkEra(Got->Era, Now);
  if (Check == EraCheck::Earlier || (Check == EraCheck::Later && !IsFirst))
    return;
  if (IsFirst)
    this->GatheredAt = Got->At;
  this->Gathered.insert(this->Gathered.end(), Got->Items.begin(),
                        Got->Items.end());
  if (Got->More && !Got->Items.empty())
    return this->step(Now);
  this->WantAll = false;
  this->At = this->GatheredAt;
  this->Instances.clear();
  this->Evacuations.clear();
  this->ConfigRevision = 0;
  for (const StoredItem &Item : std::exchange(this->Gathered, {}))
    this->put(Item, Now);
  this->publishEvacuations(Now);
  this->publishConfig(Now);
  this->publishLists(Now);
  this->confirmAll(AskedAt);
  this->tellComplete();
  this->step(Now);
}

void StoreReader::watch(TimePoint Now) {
  this->WatchedAt = Now;
  Millis Wait =
      this->Failing ? this->Opts.WatchWaitAfterFailure : this->Opts.WatchWait;
  this->From.watch(
      this->Contents.Prefix, this->At, Wait, Now,
      this->guarded<ItemChanges>(
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
  this->At = std::max(this->At, Got->At);
  for (const ItemChange &One : Got->Changes) {
    if (One.Now) {
      this->put(*One.Now, Now);
      continue;
    }
    this->Instances.erase(One.Key);
    if (this->Evacuations.erase(One.Key) != 0)
      this->RemovedEvacuations.insert(One.Key);
  }
  if (!Got->Changes.empty() || this->wasRefused()) {
    this->publishEvacuations(Now);
    this->publishConfig(Now);
    this->publishLists(Now);
  }
  this->confirmAll(AskedAt);
  this->tellComplete();
  bool Spare = this->Current == ReadDuty::Spare;
  this->NotBefore =
      this->WatchedAt + (Spare ? this->Opts.SpareGap : this->Opts.WatchGap);
  if (Now >= this->NotBefore)
    this->step(Now);
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

void StoreReader::learnEra(const std::optional<uint64_t> &Reported,
                           TimePoint Now) {
  if (!this->Era || !Reported || *Reported <= *this->Era)
    return;
  ++*this->Epoch;
  this->Busy = false;
  this->beginEra(*Reported, Now);
}

void StoreReader::beginEra(uint64_t New, TimePoint Now) {
  if (this->Era) {
    this->SettledAt = Now + this->Opts.SettleFor;
    this->RestoreSettledAt = this->SettledAt;
    this->Hook.Restored(*this->Era, New, Now);
  }
  this->Era = New;
  this->Hook.MetEra(New);
  this->WantAll = true;
  this->At = 0;
  this->HistoryGoneAt = 0;
  this->Gathered.clear();
  this->RemovedEvacuations.clear();
  this->NotBefore = Now + this->startDelay();
}

// Returns the position of a revision of the current era in the order across
// eras.
uint64_t StoreReader::place(uint64_t Revision) const {
  uint64_t CurrentEra = this->Era.value_or(0);
  uint64_t First =
      std::min(this->Hook.FirstEra().value_or(CurrentEra), CurrentEra);
  return ((CurrentEra - First) << EraShift) + Revision;
}

void StoreReader::succeed(TimePoint Now) {
  this->Busy = false;
  this->Failures = 0;
  if (!std::exchange(this->Failing, false))
    return;
  this->SettledAt = Now + this->Opts.SettleFor;
  this->Hook.Recovered(Now);
}

void StoreReader::fail(const Error &Why, TimePoint Now) {
  this->Busy = false;
  this->Gathered.clear();
  bool HistoryGone = Why.Code == Errc::Stale;
  this->WantAll |= HistoryGone;
  if (HistoryGone)
    this->HistoryGoneAt = std::max(this->HistoryGoneAt, this->At);
  this->Failing |= !HistoryGone;
  // Full jitter: of a herd that failed together, no two come back together.
  Millis Longest =
      std::min(this->Opts.LongestBackoff,
               this->Opts.FirstBackoff *
                   (1 << std::min(this->Failures, MaxBackoffShift)));
  ++this->Failures;
  this->NotBefore = Now + Millis(this->Random() % (Longest.count() + 1));
  this->Hook.Failed(Why, Now);
}

void StoreReader::put(const StoredItem &Item, TimePoint Now) {
  if (Item.Key == this->Contents.ConfigKey) {
    if (this->ConfigRevision < Item.Revision) {
      this->ConfigRevision = Item.Revision;
      this->PendingConfig = Item;
    }
    return;
  }
  if (Item.Key.rfind(this->Contents.InstancePrefix, 0) == 0)
    this->putInstance(Item, Now);
  else if (this->readsEvacuations() &&
           Item.Key.rfind(this->Contents.EvacuationPrefix, 0) == 0)
    this->Evacuations.insert(Item.Key);
}

// An item that cannot be read names no upstream: whatever stood there before is
// no longer what the platform says. The other items are not touched by it.
//
// An upstream that starts again under its old name has a later start. What its
// earlier process still has under way to the store may be written after that,
// and would bring a drain mark back that is over: callers would find an
// upstream left out that serves.
void StoreReader::putInstance(const StoredItem &Item, TimePoint Now) {
  Result<Instance> Read = this->Contents.ReadInstance(Item);
  if (!Read) {
    this->Instances.erase(Item.Key);
    return this->Hook.Unreadable(Read.error(), Now);
  }
  if (Read->Incarnation != 0) {
    uint64_t &Latest = this->LatestStart[Item.Key];
    if (Read->Incarnation < Latest)
      return;
    Latest = Read->Incarnation;
    if (this->LatestStart.size() > this->Opts.MaxRemembered)
      std::erase_if(this->LatestStart, [this](const auto &One) {
        return !this->Instances.count(One.first);
      });
  }
  Listed New{*Read, Item.Created, Read->ColdLeft};
  this->tellColdSpell(New, Item.Key);
  this->Instances[Item.Key] = std::move(New);
}

// Whoever starts is cold, as everybody knows, and to count its time down would
// change the lists of the whole fleet at each heartbeat of each upstream. So
// the lists say only that one which had started is cold again.
void StoreReader::tellColdSpell(Listed &New, const std::string &Key) const {
  auto Old = this->Instances.find(Key);
  bool Known =
      Old != this->Instances.end() && Old->second.Who.sameStart(New.Who);
  bool Begins = Known && New.ColdLeft > Old->second.ColdLeft;
  bool GoesOn = Known && New.ColdLeft.count() > 0;
  New.Who.ColdLeft = Begins   ? New.ColdLeft
                     : GoesOn ? Old->second.Who.ColdLeft
                              : Millis(0);
}

} // namespace hickorylift
