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

const char *standingName(Quarantine::Standing Of) {
  switch (Of) {
  case Quarantine::Standing::Free:
    return "free";
  case Quarantine::Standing::Suspect:
    return "suspect";
  case Quarantine::Standing::Trial:
    return "trial";
  case Quarantine::Standing::Held:
    return "held";
  }
  return "";
}

Quarantine::Quarantine(Options GivenOpts, Hooks Hooks)
    : Opts(std::move(GivenOpts)), Hook(std::move(Hooks)) {}

std::vector<Quarantine::Crash> Quarantine::Record::counting() const {
  std::vector<Crash> Out;
  for (const Crash &One : this->Crashes)
    if (!One.Cleared)
      Out.push_back(One);
  return Out;
}

bool Quarantine::isConvicted(const std::vector<Crash> &By) const {
  return By.size() >= this->Opts.Crashes &&
         std::any_of(By.begin(), By.end(),
                     [](const Crash &One) { return One.Alone; });
}

// The term doubles with each crash of a trial.
Millis Quarantine::termOf(size_t Crashes) const {
  Millis Term = this->Opts.Term;
  for (size_t I = this->Opts.Crashes;
       I < Crashes && Term < this->Opts.LongestTerm; ++I)
    Term *= 2;
  return std::min(Term, this->Opts.LongestTerm);
}

Quarantine::Verdict Quarantine::standing(const Record &Of,
                                         TimePoint Now) const {
  std::vector<Crash> By = Of.counting();
  if (By.empty())
    return {};
  Millis Since = toMillis(Now - By.back().At);
  if (this->isConvicted(By)) {
    Millis Term = this->termOf(By.size());
    if (Since < Term)
      return {Standing::Held, Term - Since};
    return {Since < 2 * Term ? Standing::Trial : Standing::Free, Millis(0)};
  }
  if (Since >= this->Opts.SuspectFor)
    return {};
  bool Last = By.size() + 1 >= this->Opts.Crashes;
  return {Last ? Standing::Trial : Standing::Suspect, Millis(0)};
}

Quarantine::Verdict Quarantine::judge(const Fingerprint &Of,
                                      TimePoint Now) const {
  auto Found = this->Known.find(Of);
  bool Holds = this->Opts.Enabled && this->Opts.Guards.HoldCrashers;
  if (Found == this->Known.end() || !Holds)
    return {};
  return this->standing(Found->second, Now);
}

void Quarantine::upstreamCrashed(const std::vector<Ran> &Running,
                                 TimePoint Now) {
  ++this->Counts.Crashes;
  std::map<Fingerprint, std::string> Unique;
  for (const Ran &One : Running)
    Unique.emplace(One.Of, One.Request);
  std::vector<Fingerprint> Suspects;
  for (const auto &[Of, Request] : Unique)
    if (this->judge(Of, Now).What != Standing::Free)
      Suspects.push_back(Of);
  if (Suspects.empty() && Unique.size() == 1)
    Suspects.push_back(Unique.begin()->first);
  Crash New;
  New.Id = combineHash(
      combineHash(contentHash(this->Opts.Self), this->Opts.Incarnation),
      ++this->LastCrash);
  New.At = Now;
  New.Service = contentHash(this->Opts.Service);
  std::vector<Fingerprint> Changed;
  for (const auto &[Of, Request] : Unique) {
    Record Said;
    Said.Of = Of;
    Said.Request = Request;
    New.Alone = Suspects.size() == 1 && Suspects.front() == Of;
    Said.Crashes.push_back(New);
    if (this->merge(Said, Now, this->Opts.Self))
      Changed.push_back(Of);
  }
  this->bound();
  this->tellOf(Changed, std::nullopt, Now);
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
  if (To.size() >= Quarantine::MaxCrashes)
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
  auto [At, New] = this->Known.try_emplace(Said.Of);
  Record &Of = At->second;
  bool WasHeld = !New && this->standing(Of, Now).What == Standing::Held;
  if (New) {
    Of.Of = Said.Of;
    Of.Request = Said.Request;
  }
  bool News = false;
  for (const Crash &One : Said.Crashes)
    News |= join(Of.Crashes, One);
  if (New && (!News || this->isOver(Of, Now))) {
    this->Known.erase(At);
    return false;
  }
  bool IsHeld = this->standing(Of, Now).What == Standing::Held;
  if (IsHeld && !WasHeld) {
    ++this->Counts.Held;
    Millis Term = this->termOf(Of.counting().size());
    this->Hook.Changed({"request-held", &Of, Source, Term}, Now);
  } else if (WasHeld && !IsHeld) {
    ++this->Counts.Released;
    this->Hook.Changed({"request-cleared", &Of, Source, Millis(0)}, Now);
  }
  return News;
}

// Clears the crashes of one service, or all.
bool Quarantine::clear(const Fingerprint &Of, std::optional<uint64_t> OfService,
                       const std::string &Source, TimePoint Now) {
  auto Found = this->Known.find(Of);
  if (Found == this->Known.end())
    return false;
  Record Said = Found->second;
  for (Crash &One : Said.Crashes)
    One.Cleared |= !OfService || One.Service == *OfService;
  if (!this->merge(Said, Now, Source))
    return false;
  this->tellOf({Of}, std::nullopt, Now);
  return true;
}

void Quarantine::answered(const Fingerprint &Of, TimePoint Now) {
  this->clear(Of, contentHash(this->Opts.Service), this->Opts.Self, Now);
}

bool Quarantine::release(const Fingerprint &Of, TimePoint Now) {
  return this->clear(Of, std::nullopt, "operator", Now);
}

void Quarantine::tellOf(const std::vector<Fingerprint> &Which,
                        std::optional<uint64_t> ButLink, TimePoint Now) {
  std::vector<const Record *> Out;
  for (const Fingerprint &Of : Which)
    if (auto Found = this->Known.find(Of); Found != this->Known.end())
      Out.push_back(&Found->second);
  if (!Out.empty())
    this->Hook.Tell(toFrame(Out, Now), ButLink);
}

std::optional<wire::SpreadFrameT> Quarantine::all(TimePoint Now) const {
  std::vector<const Record *> Out;
  for (const auto &[Of, One] : this->Known)
    Out.push_back(&One);
  if (Out.empty())
    return std::nullopt;
  return toFrame(Out, Now);
}

void Quarantine::receive(uint64_t Link, const wire::QuarantineT &Said,
                         TimePoint Now) {
  std::vector<Fingerprint> Changed;
  for (const Record &One : fromFrame(Said, Now))
    if (this->merge(One, Now, "peer"))
      Changed.push_back(One.Of);
  this->bound();
  this->tellOf(Changed, Link, Now);
}

// Whether nothing depends on the record any more. What was cleared is kept as
// long as a node that was cut off may go on without knowing so.
bool Quarantine::isOver(const Record &Of, TimePoint Now) const {
  if (Of.Crashes.empty())
    return true;
  Millis Kept = this->isConvicted(Of.Crashes)
                    ? 2 * this->termOf(Of.Crashes.size())
                    : this->Opts.SuspectFor;
  return Now - Of.Crashes.back().At >= Kept;
}

void Quarantine::tick(TimePoint Now) {
  std::erase_if(this->Known,
                [&](const auto &One) { return this->isOver(One.second, Now); });
}

// A caller may invent requests that crash upstreams without end; what is
// remembered of them is bounded, and what matters least goes first.
void Quarantine::bound() {
  while (this->Known.size() > this->Opts.MaxRequests) {
    auto Rank = [&](const Record &Of) {
      std::vector<Crash> By = Of.counting();
      int Weight = this->isConvicted(By) ? 2 : By.empty() ? 0 : 1;
      return std::pair(Weight, Of.Crashes.back().At);
    };
    auto Least = std::min_element(this->Known.begin(), this->Known.end(),
                                  [&](const auto &A, const auto &B) {
                                    return Rank(A.second) < Rank(B.second);
                                  });
    this->Known.erase(Least);
  }
}

} // namespace hickorylift
