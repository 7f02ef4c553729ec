#include "quarantine/Quarantine.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

// A caller's request that crashes each upstream which runs it comes again under
// another id, at another node, and what is forgotten with the attempt is done
// again: a third of everybody's calls fail for as long as it comes.
//
// Several requests run at an upstream that crashes, and one of them, or none,
// is to blame. So all of them become suspects, and from then on no two suspects
// run at one upstream at the same time. Two things tell them apart:
//
//   a run that ends with an answer clears its request, everywhere;
//   a crash under which only one suspect ran is that one's (Alone).
//
// A request is held once it ran under Crashes crashes with no answer between
// them, one of them alone. Whoever is innocent is answered by the next upstream
// and is a suspect for as long as that takes; to be held it would have to be
// there at three crashes in a row. A request that many send is answered
// somewhere all the time.
//
// What is known is a set of crashes for each request, and which of them do not
// count any more. A crash is never taken out and a mark never taken back, so
// sets are joined in any order and with any repeats to the same result: records
// can be passed on along every link, each node passes on what is new to it
// once, and a neighbour that is new or was cut off is told all of them. No time
// is compared between nodes: the same moment looks later with each hop, and
// what one node had cleared would come back from the next for ever. What stands
// against a request follows from its record alone: every node that has the same
// records judges alike.

namespace hickorylift {

const char *statusName(Quarantine::Status Of) {
  switch (Of) {
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
  std::vector<Crash> Out;
  for (const Crash &One : this->Crashes)
    if (!One.Cleared)
      Out.push_back(One);
  return Out;
}

bool Quarantine::meetsThreshold(const std::vector<Crash> &By) const {
  return By.size() >= this->Opts.CrashThreshold &&
         std::any_of(By.begin(), By.end(),
                     [](const Crash &One) { return One.OnlySuspect; });
}

// The term doubles with each crash of a trial.
Millis Quarantine::quarantineTerm(size_t Crashes) const {
  Millis Term = this->Opts.InitialTerm;
  for (size_t I = this->Opts.CrashThreshold;
       I < Crashes && Term < this->Opts.MaxTerm; ++I)
    Term *= 2;
  return std::min(Term, this->Opts.MaxTerm);
}

Quarantine::Decision Quarantine::evaluate(const Record &Of,
                                          TimePoint Now) const {
  std::vector<Crash> By = Of.activeCrashes();
  if (By.empty())
    return {};
  Millis Since = toMillis(Now - By.back().At);
  if (this->meetsThreshold(By)) {
    Millis Term = this->quarantineTerm(By.size());
    if (Since < Term)
      return {Status::Quarantined, Term - Since};
    return {Since < 2 * Term ? Status::Trial : Status::Free, Millis(0)};
  }
  if (Since >= this->Opts.SuspectTerm)
    return {};
  bool Last = By.size() + 1 >= this->Opts.CrashThreshold;
  return {Last ? Status::Trial : Status::Suspect, Millis(0)};
}

Quarantine::Decision Quarantine::check(const Fingerprint &Of,
                                       TimePoint Now) const {
  auto Found = this->Records.find(Of);
  bool Holds = this->Opts.Enabled && this->Opts.Guards.HoldCrashers;
  if (Found == this->Records.end() || !Holds)
    return {};
  return this->evaluate(Found->second, Now);
}

void Quarantine::upstreamCrashed(const std::vector<RunningRequest> &Running,
                                 TimePoint Now) {
  ++this->Counts.Crashes;
  std::map<Fingerprint, std::string> Unique;
  for (const RunningRequest &One : Running)
    Unique.emplace(One.RequestFingerprint, One.Description);
  std::vector<Fingerprint> Suspects;
  for (const auto &[Of, Request] : Unique)
    if (this->check(Of, Now).RequestStatus != Status::Free)
      Suspects.push_back(Of);
  if (Suspects.empty() && Unique.size() == 1)
    Suspects.push_back(Unique.begin()->first);
  Crash New;
  New.Id = combineHash(
      combineHash(contentHash(this->Opts.Self), this->Opts.Incarnation),
      ++this->LastCrashNumber);
  New.At = Now;
  New.ServiceHash = contentHash(this->Opts.Service);
  std::vector<Fingerprint> Changed;
  for (const auto &[Of, Request] : Unique) {
    Record Said;
    Said.RequestFingerprint = Of;
    Said.Description = Request;
    New.OnlySuspect = Suspects.size() == 1 && Suspects.front() == Of;
    Said.Crashes.push_back(New);
    if (this->merge(Said, Now, this->Opts.Self))
      Changed.push_back(Of);
  }
  this->enforceLimit();
  this->sendRecords(Changed, std::nullopt, Now);
}

namespace {

// Joins one crash with those of a record. Whether it is news.
bool join(std::vector<Quarantine::Crash> &To, const Quarantine::Crash &One) {
  auto Same =
      std::find_if(To.begin(), To.end(), [&](const Quarantine::Crash &Old) {
        return Old.Id == One.Id;
      });
  if (Same != To.end())
    return One.Cleared && !std::exchange(Same->Cleared, true);
  if (To.size() >= Quarantine::MaxCrashesPerRecord)
    return false;
  auto Later =
      std::upper_bound(To.begin(), To.end(), One,
                       [](const Quarantine::Crash &A,
                          const Quarantine::Crash &B) { return A.At < B.At; });
  To.insert(Later, One);
  return true;
}

} // namespace

// Joins what is said of a request to what is known. Whether that is news.
bool Quarantine::merge(const Record &Said, TimePoint Now,
                       const std::string &Source) {
  auto [At, New] = this->Records.try_emplace(Said.RequestFingerprint);
  Record &Of = At->second;
  bool WasHeld =
      !New && this->evaluate(Of, Now).RequestStatus == Status::Quarantined;
  if (New) {
    Of.RequestFingerprint = Said.RequestFingerprint;
    Of.Description = Said.Description;
  }
  bool News = false;
  for (const Crash &One : Said.Crashes)
    News |= join(Of.Crashes, One);
  if (New && (!News || this->isExpired(Of, Now))) {
    this->Records.erase(At);
    return false;
  }
  bool IsHeld = this->evaluate(Of, Now).RequestStatus == Status::Quarantined;
  if (IsHeld && !WasHeld) {
    ++this->Counts.Quarantined;
    Millis Term = this->quarantineTerm(Of.activeCrashes().size());
    this->Hook.StatusChanged({"request-held", &Of, Source, Term}, Now);
  } else if (WasHeld && !IsHeld) {
    ++this->Counts.Released;
    this->Hook.StatusChanged({"request-cleared", &Of, Source, Millis(0)}, Now);
  }
  return News;
}

// Clears the crashes of one service, or all.
bool Quarantine::clearCrashes(const Fingerprint &Of,
                              std::optional<uint64_t> OfService,
                              const std::string &Source, TimePoint Now) {
  auto Found = this->Records.find(Of);
  if (Found == this->Records.end())
    return false;
  Record Said = Found->second;
  for (Crash &One : Said.Crashes)
    One.Cleared |= !OfService || One.ServiceHash == *OfService;
  if (!this->merge(Said, Now, Source))
    return false;
  this->sendRecords({Of}, std::nullopt, Now);
  return true;
}

void Quarantine::requestAnswered(const Fingerprint &Of, TimePoint Now) {
  this->clearCrashes(Of, contentHash(this->Opts.Service), this->Opts.Self, Now);
}

bool Quarantine::release(const Fingerprint &Of, TimePoint Now) {
  return this->clearCrashes(Of, std::nullopt, "operator", Now);
}

void Quarantine::sendRecords(const std::vector<Fingerprint> &Which,
                             std::optional<uint64_t> ButLink, TimePoint Now) {
  std::vector<const Record *> Out;
  for (const Fingerprint &Of : Which)
    if (auto Found = this->Records.find(Of); Found != this->Records.end())
      Out.push_back(&Found->second);
  if (!Out.empty())
    this->Hook.SendRecords(encodeRecords(Out, Now), ButLink);
}

std::optional<wire::SpreadFrameT> Quarantine::snapshot(TimePoint Now) const {
  std::vector<const Record *> Out;
  for (const auto &[Of, One] : this->Records)
    Out.push_back(&One);
  if (Out.empty())
    return std::nullopt;
  return encodeRecords(Out, Now);
}

void Quarantine::receive(uint64_t Link, const wire::QuarantineT &Said,
                         TimePoint Now) {
  std::vector<Fingerprint> Changed;
  for (const Record &One : decodeRecords(Said, Now))
    if (this->merge(One, Now, "peer"))
      Changed.push_back(One.RequestFingerprint);
  this->enforceLimit();
  this->sendRecords(Changed, Link, Now);
}

// Whether nothing depends on the record any more. What was cleared is kept as
// long as a node that was cut off may go on without knowing so.
bool Quarantine::isExpired(const Record &Of, TimePoint Now) const {
  if (Of.Crashes.empty())
    return true;
  Millis Kept = this->meetsThreshold(Of.Crashes)
                    ? 2 * this->quarantineTerm(Of.Crashes.size())
                    : this->Opts.SuspectTerm;
  return Now - Of.Crashes.back().At >= Kept;
}

void Quarantine::tick(TimePoint Now) {
  std::erase_if(this->Records, [&](const auto &One) {
    return this->isExpired(One.second, Now);
  });
}

// A caller may invent requests that crash upstreams without end; what is
// remembered of them is bounded, and what matters least goes first.
void Quarantine::enforceLimit() {
  while (this->Records.size() > this->Opts.MaxRecords) {
    auto Rank = [&](const Record &Of) {
      std::vector<Crash> By = Of.activeCrashes();
      int Weight = this->meetsThreshold(By) ? 2 : By.empty() ? 0 : 1;
      return std::pair(Weight, Of.Crashes.back().At);
    };
    auto Least = std::min_element(this->Records.begin(), this->Records.end(),
                                  [&](const auto &A, const auto &B) {
                                    return Rank(A.second) < Rank(B.second);
                                  });
    this->Records.erase(Least);
  }
}

} // namespace hickorylift
