#include "quarantine/Quarantine.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

// A request that crashes each upstream that runs it comes again with another
// id, at another node. Without a record that outlives the attempt it would
// crash one upstream after the other: a third of all callers' calls would fail
// for as long as it comes.
//
// Several requests run at an upstream when it crashes, and one of them, or
// none, is the cause. So all of them become suspects, and from then on no two
// suspects run at one upstream at the same time. Two things tell them apart:
//
//   a run that ends with an answer clears its request, at all nodes;
//   a crash during which only one suspect ran is attributed to that one
//   (OnlySuspect).
//
// A request is quarantined after it ran during CrashThreshold crashes without
// an answer between them, if it was the only suspect in at least one of them.
// An innocent request is answered by the next upstream, and is a suspect only
// until then; to be quarantined it would have to run during three crashes in a
// row. A request that many callers send is answered at some upstream all the
// time.
//
// The state is a set of crashes for each request, with a mark for those that no
// longer count. A crash is never removed from the set and a mark is never taken
// back, so sets can be merged in any order and any number of times with the
// same result. Records can therefore be passed on along every link: each node
// passes on what is new to it once, and a neighbour that is new or was cut off
// gets all of them. Times aren't compared between nodes: the same moment looks
// later after each hop, and what one node had cleared would come back from the
// next one for ever. The status of a request follows from its record alone, so
// all nodes with the same records decide alike.

namespace hickorylift {

const char *statusName(Quarantine::Status RequestStatus) {
  switch (RequestStatus) {
  case Quarantine::Status::Free:
    return "free";
  case Quarantine::Status::Suspect:
    return "suspect";
  case Quarantine::Status::Trial:
    return "trial";
  case Quarantine::Status::Quarantined:
    return "held";
  }
  return "";
}

Quarantine::Quarantine(Options GivenOpts, Hooks Hooks)
    : Opts(std::move(GivenOpts)), Hook(std::move(Hooks)) {}

std::vector<Quarantine::Crash> Quarantine::Record::activeCrashes() const {
  std::vector<Crash> Active;
  for (const Crash &Recorded : this->Crashes)
    if (!Recorded.Cleared)
      Active.push_back(Recorded);
  return Active;
}

bool Quarantine::meetsThreshold(const std::vector<Crash> &Active) const {
  return Active.size() >= this->Opts.CrashThreshold &&
         std::any_of(Active.begin(), Active.end(),
                     [](const Crash &Counted) { return Counted.OnlySuspect; });
}

// The term doubles with each crash after the threshold.
Millis Quarantine::quarantineTerm(size_t Crashes) const {
  Millis Term = this->Opts.InitialTerm;
  for (size_t I = this->Opts.CrashThreshold;
       I < Crashes && Term < this->Opts.MaxTerm; ++I)
    Term *= 2;
  return std::min(Term, this->Opts.MaxTerm);
}

Quarantine::Decision Quarantine::evaluate(const Record &Request,
                                          TimePoint Now) const {
  std::vector<Crash> Active = Request.activeCrashes();
  if (Active.empty())
    return {};
  Millis Since = toMillis(Now - Active.back().At);
  if (this->meetsThreshold(Active)) {
    Millis Term = this->quarantineTerm(Active.size());
    if (Since < Term)
      return {Status::Quarantined, Term - Since};
    return {Since < 2 * Term ? Status::Trial : Status::Free, Millis(0)};
  }
  if (Since >= this->Opts.SuspectTerm)
    return {};
  bool IsLastTry = Active.size() + 1 >= this->Opts.CrashThreshold;
  return {IsLastTry ? Status::Trial : Status::Suspect, Millis(0)};
}

Quarantine::Decision Quarantine::check(const Fingerprint &RequestFingerprint,
                                       TimePoint Now) const {
  auto Found = this->Records.find(RequestFingerprint);
  bool IsActive = this->Opts.Enabled && this->Opts.Guards.HoldCrashers;
  if (Found == this->Records.end() || !IsActive)
    return {};
  return this->evaluate(Found->second, Now);
}

void Quarantine::upstreamCrashed(const std::vector<RunningRequest> &Running,
                                 TimePoint Now) {
  ++this->Counts.Crashes;
  std::map<Fingerprint, std::string> Unique;
  for (const RunningRequest &Request : Running)
    Unique.emplace(Request.RequestFingerprint, Request.Description);
  std::vector<Fingerprint> Suspects;
  for (const auto &[Print, Description] : Unique)
    if (this->check(Print, Now).RequestStatus != Status::Free)
      Suspects.push_back(Print);
  if (Suspects.empty() && Unique.size() == 1)
    Suspects.push_back(Unique.begin()->first);
  Crash NewCrash;
  NewCrash.Id = combineHash(
      combineHash(contentHash(this->Opts.Self), this->Opts.Incarnation),
      ++this->LastCrashNumber);
  NewCrash.At = Now;
  NewCrash.ServiceHash = contentHash(this->Opts.Service);
  std::vector<Fingerprint> Changed;
  for (const auto &[Print, Description] : Unique) {
    Record Update;
    Update.RequestFingerprint = Print;
    Update.Description = Description;
    NewCrash.OnlySuspect = Suspects.size() == 1 && Suspects.front() == Print;
    Update.Crashes.push_back(NewCrash);
    if (this->merge(Update, Now, this->Opts.Self))
      Changed.push_back(Print);
  }
  this->enforceLimit();
  this->sendRecords(Changed, std::nullopt, Now);
}

namespace {

// Merges one crash into the crashes of a record. Returns whether that changed
// the record.
bool mergeCrash(std::vector<Quarantine::Crash> &Crashes,
                const Quarantine::Crash &New) {
  auto Same = std::find_if(
      Crashes.begin(), Crashes.end(),
      [&](const Quarantine::Crash &Old) { return Old.Id == New.Id; });
  if (Same != Crashes.end())
    return New.Cleared && !std::exchange(Same->Cleared, true);
  if (Crashes.size() >= Quarantine::MaxCrashesPerRecord)
    return false;
  auto Later =
      std::upper_bound(Crashes.begin(), Crashes.end(), New,
                       [](const Quarantine::Crash &A,
                          const Quarantine::Crash &B) { return A.At < B.At; });
  Crashes.insert(Later, New);
  return true;
}

} // namespace

// Merges a received or new record into the stored one. Returns whether that
// changed it.
bool Quarantine::merge(const Record &Update, TimePoint Now,
                       const std::string &Source) {
  auto [Position, IsNew] = this->Records.try_emplace(Update.RequestFingerprint);
  Record &Stored = Position->second;
  bool WasQuarantined = !IsNew && this->evaluate(Stored, Now).RequestStatus ==
                                      Status::Quarantined;
  if (IsNew) {
    Stored.RequestFingerprint = Update.RequestFingerprint;
    Stored.Description = Update.Description;
  }
  bool HasNews = false;
  for (const Crash &Added : Update.Crashes)
    HasNews |= mergeCrash(Stored.Crashes, Added);
  if (IsNew && (!HasNews || this->isExpired(Stored, Now))) {
    this->Records.erase(Position);
    return false;
  }
  bool IsQuarantined =
      this->evaluate(Stored, Now).RequestStatus == Status::Quarantined;
  if (IsQuarantined && !WasQuarantined) {
    ++this->Counts.Quarantined;
    Millis Term = this->quarantineTerm(Stored.activeCrashes().size());
    this->Hook.StatusChanged({"request-held", &Stored, Source, Term}, Now);
  } else if (WasQuarantined && !IsQuarantined) {
    ++this->Counts.Released;
    this->Hook.StatusChanged({"request-cleared", &Stored, Source, Millis(0)},
                             Now);
  }
  return HasNews;
}

// Clears the crashes of one service, or all crashes.
bool Quarantine::clearCrashes(const Fingerprint &RequestFingerprint,
                              std::optional<uint64_t> ServiceHash,
                              const std::string &Source, TimePoint Now) {
  auto Found = this->Records.find(RequestFingerprint);
  if (Found == this->Records.end())
    return false;
  Record Update = Found->second;
  for (Crash &Recorded : Update.Crashes)
    Recorded.Cleared |= !ServiceHash || Recorded.ServiceHash == *ServiceHash;
  if (!this->merge(Update, Now, Source))
    return false;
  this->sendRecords({RequestFingerprint}, std::nullopt, Now);
  return true;
}

void Quarantine::requestAnswered(const Fingerprint &RequestFingerprint,
                                 TimePoint Now) {
  this->clearCrashes(RequestFingerprint, contentHash(this->Opts.Service),
                     this->Opts.Self, Now);
}

bool Quarantine::release(const Fingerprint &RequestFingerprint, TimePoint Now) {
  return this->clearCrashes(RequestFingerprint, std::nullopt, "operator", Now);
}

void Quarantine::sendRecords(const std::vector<Fingerprint> &Fingerprints,
                             std::optional<uint64_t> ExceptLink,
                             TimePoint Now) {
  std::vector<const Record *> ToSend;
  for (const Fingerprint &Print : Fingerprints)
    if (auto Found = this->Records.find(Print); Found != this->Records.end())
      ToSend.push_back(&Found->second);
  if (!ToSend.empty())
    this->Hook.SendRecords(encodeRecords(ToSend, Now), ExceptLink);
}

std::optional<wire::SpreadFrameT> Quarantine::snapshot(TimePoint Now) const {
  std::vector<const Record *> All;
  for (const auto &[Print, Stored] : this->Records)
    All.push_back(&Stored);
  if (All.empty())
    return std::nullopt;
  return encodeRecords(All, Now);
}

void Quarantine::receive(uint64_t Link, const wire::QuarantineT &Received,
                         TimePoint Now) {
  std::vector<Fingerprint> Changed;
  for (const Record &Update : decodeRecords(Received, Now))
    if (this->merge(Update, Now, "peer"))
      Changed.push_back(Update.RequestFingerprint);
  this->enforceLimit();
  this->sendRecords(Changed, Link, Now);
}

// Whether the record has no effect any more. A cleared record is kept for as
// long as a node that was cut off may still count its crashes.
bool Quarantine::isExpired(const Record &Request, TimePoint Now) const {
  if (Request.Crashes.empty())
    return true;
  Millis KeepFor = this->meetsThreshold(Request.Crashes)
                       ? 2 * this->quarantineTerm(Request.Crashes.size())
                       : this->Opts.SuspectTerm;
  return Now - Request.Crashes.back().At >= KeepFor;
}

void Quarantine::tick(TimePoint Now) {
  std::erase_if(this->Records, [&](const auto &Stored) {
    return this->isExpired(Stored.second, Now);
  });
}

// A caller may send ever new requests that crash upstreams. The number of
// records is bounded, and the least important ones are removed first.
void Quarantine::enforceLimit() {
  while (this->Records.size() > this->Opts.MaxRecords) {
    auto Importance = [&](const Record &Request) {
      std::vector<Crash> Active = Request.activeCrashes();
      int Weight = this->meetsThreshold(Active) ? 2 : Active.empty() ? 0 : 1;
      return std::pair(Weight, Request.Crashes.back().At);
    };
    auto Least =
        std::min_element(this->Records.begin(), this->Records.end(),
                         [&](const auto &A, const auto &B) {
                           return Importance(A.second) < Importance(B.second);
                         });
    this->Records.erase(Least);
  }
}

} // namespace hickorylift
