#include "gate/IdempotencyChecker.h"

#include "base/Hash.h"

#include <algorithm>

// A caller that got no answer may repeat its call with the same key through any
// node. The repeat must reach the gate that ran the first call, or must not run
// at all. So a gate runs a call with a key only if, according to lists no older
// than MaxListAge, it has been the key's home without a break for Window + 2 *
// MaxListAge.
//
// Why that is enough: say gate A ran the key at time T, and gate B is asked to
// run it at T + R, with R at most Window. By their own lists, both were the
// home during the whole interval from T - 2 * MaxListAge to T, because B checks
// the past Window + 2 * MaxListAge before T + R. Within that interval each gate
// read lists that the platform published during it or up to MaxListAge before
// it, and a list has one home for each key. So both can only have been the home
// if the platform's list changed and changed back during the interval while
// each gate saw only one of the two states. A change and its reversal within
// MaxListAge, missed by both gates, is the one case that isn't covered.
//
// A gate that has just started has no record of past lists, and refuses all
// keys for that long. It doesn't know what its previous incarnation ran, so the
// answer "not run" would be a guess. The same rule covers a gate after a long
// process pause: its list is too old.

namespace hickorylift {

namespace {

constexpr unsigned ConflictStatus = 409;
constexpr unsigned MismatchStatus = 422;
constexpr Millis RetryWhileRunning{500};
constexpr Millis RetryLater{5000};
const char StepName[] = "key-judge";

template <typename Range>
const Instance *homeAmong(const std::string &Key, const Range &Upstreams) {
  const Instance *Best = nullptr;
  uint64_t BestScore = 0;
  for (const auto &Upstream : Upstreams) {
    const Instance *Candidate;
    if constexpr (std::is_pointer_v<std::decay_t<decltype(Upstream)>>)
      Candidate = Upstream;
    else
      Candidate = &Upstream;
    uint64_t Score = rendezvousScore(Key, Candidate->Name);
    if (Best && Score <= BestScore)
      continue;
    Best = Candidate;
    BestScore = Score;
  }
  return Best;
}

} // namespace

const Instance *keyHome(const std::string &Key,
                        const std::vector<const Instance *> &Upstreams) {
  return homeAmong(Key, Upstreams);
}

void IdempotencyChecker::setUpstreams(
    const std::vector<const Instance *> &NewUpstreams, TimePoint Now) {
  std::vector<Instance> Copied;
  for (const Instance *Upstream : NewUpstreams)
    Copied.push_back(*Upstream);
  auto SameNames = [](const Instance &A, const Instance &B) {
    return A.Name == B.Name;
  };
  if (!this->FirstListAt)
    this->FirstListAt = Now;
  else if (std::equal(Copied.begin(), Copied.end(), this->Upstreams.begin(),
                      this->Upstreams.end(), SameNames))
    return;
  else
    this->PastMemberships.push_back({std::move(this->Upstreams), Now});
  this->Upstreams = std::move(Copied);
}

IdempotencyChecker::Result IdempotencyChecker::refuse(Decision Action,
                                                      const std::string &Reason,
                                                      Outcome CallOutcome,
                                                      Millis RetryAfter,
                                                      unsigned Status) const {
  Result Refused;
  Refused.Action = Action;
  Refused.RefusalDetails.CallOutcome = CallOutcome;
  Refused.RefusalDetails.Reason = Reason;
  Refused.RefusalDetails.Step = StepName;
  Refused.RefusalDetails.Peer = this->Self;
  Refused.RefusalDetails.RetryAfter = RetryAfter;
  Refused.RefusalDetails.Status = Status;
  return Refused;
}

std::optional<IdempotencyChecker::Result>
IdempotencyChecker::checkHome(const std::string &Key, Millis Window,
                              std::optional<Millis> ListAge,
                              TimePoint Now) const {
  if (!this->Opts.Guards.SettledKeys)
    return std::nullopt;
  auto RefuseFor = [&](const char *Reason) {
    return this->refuse(Decision::Refuse, Reason, Outcome::NotRun, RetryLater,
                        0);
  };
  if (!ListAge || *ListAge > this->Opts.MaxListAge)
    return RefuseFor("key-list-too-old");
  const Instance *Home = homeAmong(Key, this->Upstreams);
  if (!Home || Home->Name != this->Self)
    return RefuseFor("not-the-key-home");
  Millis RequiredTime = Window + 2 * this->Opts.MaxListAge;
  if (!this->FirstListAt || Now - *this->FirstListAt < RequiredTime)
    return RefuseFor("key-home-unsettled");
  for (const PastMembership &Membership : this->PastMemberships) {
    if (Now - Membership.ReplacedAt >= RequiredTime)
      continue;
    const Instance *PastHome = homeAmong(Key, Membership.Upstreams);
    if (!PastHome || PastHome->Name != this->Self)
      return RefuseFor("key-home-unsettled");
  }
  return std::nullopt;
}

IdempotencyChecker::Result
IdempotencyChecker::repeatResult(const KeyRecord &Record) const {
  if (Record.CallState == State::Running)
    return this->refuse(Decision::Conflict, "key-running", Outcome::Unknown,
                        RetryWhileRunning, ConflictStatus);
  if (Record.CallState == State::OutcomeUnknown)
    return this->refuse(Decision::Conflict, "key-outcome-unknown",
                        Outcome::Unknown, Millis(0), ConflictStatus);
  if (!Record.HasBody)
    return this->refuse(Decision::Conflict, "key-answered-before",
                        Outcome::Unknown, Millis(0), ConflictStatus);
  Result Stored;
  Stored.Action = Decision::Replay;
  Stored.Head = Record.Head;
  Stored.Body = Record.Body;
  return Stored;
}

IdempotencyChecker::Result
IdempotencyChecker::check(const std::string &Key, uint64_t RequestFingerprint,
                          Millis Window, std::optional<Millis> ListAge,
                          TimePoint Now) {
  // A remembered call is valid whatever the current list says.
  auto Found = this->Keys.find(Key);
  if (Found != this->Keys.end() && this->Opts.Guards.RememberKeys) {
    if (Found->second.Fingerprint != RequestFingerprint)
      return this->refuse(Decision::Refuse, "key-of-another-request",
                          Outcome::NotRun, Millis(0), MismatchStatus);
    return this->repeatResult(Found->second);
  }
  if (std::optional<Result> Refused =
          this->checkHome(Key, Window, ListAge, Now))
    return *Refused;
  if (this->Keys.size() >= this->Opts.MaxKeys)
    return this->refuse(Decision::Refuse, "key-memory-full", Outcome::NotRun,
                        RetryLater, 0);
  KeyRecord Record;
  Record.Fingerprint = RequestFingerprint;
  Record.Window = Window;
  this->Keys.emplace(Key, std::move(Record));
  return {};
}

void IdempotencyChecker::recordAnswer(const std::string &Key,
                                      const ResponseHead &Head,
                                      std::string Body, TimePoint Now) {
  auto Found = this->Keys.find(Key);
  if (Found == this->Keys.end())
    return;
  KeyRecord &Record = Found->second;
  Record.CallState = State::Answered;
  this->scheduleExpiry(Key, Record, Now + Record.Window);
  size_t Bytes = heldBytes(Head) + Body.size();
  bool Fits = Bytes <= this->Opts.MaxStoredAnswerBytes &&
              this->ReplayBytes + Bytes <= this->Opts.MaxReplayBytes;
  if (!Fits)
    return;
  this->ReplayBytes += Bytes;
  Record.StoredBytes = Bytes;
  Record.Head = Head;
  Record.Body = std::move(Body);
  Record.HasBody = true;
}

void IdempotencyChecker::recordNotRun(const std::string &Key) {
  auto Found = this->Keys.find(Key);
  if (Found != this->Keys.end() && Found->second.CallState == State::Running)
    this->erase(Found);
}

void IdempotencyChecker::recordOutcomeUnknown(const std::string &Key,
                                              TimePoint Now) {
  auto Found = this->Keys.find(Key);
  if (Found == this->Keys.end() || Found->second.CallState != State::Running)
    return;
  Found->second.CallState = State::OutcomeUnknown;
  this->scheduleExpiry(Key, Found->second, Now + Found->second.Window);
}

void IdempotencyChecker::scheduleExpiry(const std::string &Key,
                                        KeyRecord &Record, TimePoint Expiry) {
  Record.ExpiresAt = Expiry;
  this->ExpiryQueue.emplace(Expiry, Key);
}

void IdempotencyChecker::erase(
    std::map<std::string, KeyRecord>::iterator Position) {
  this->ReplayBytes -= Position->second.StoredBytes;
  this->Keys.erase(Position);
}

void IdempotencyChecker::expire(TimePoint Now) {
  while (!this->ExpiryQueue.empty() &&
         this->ExpiryQueue.begin()->first <= Now) {
    auto Found = this->Keys.find(this->ExpiryQueue.begin()->second);
    this->ExpiryQueue.erase(this->ExpiryQueue.begin());
    if (Found != this->Keys.end() && Found->second.ExpiresAt <= Now)
      this->erase(Found);
  }
  // The longest window that a service may have, plus twice the age of a list,
  // as in checkHome().
  constexpr std::chrono::hours LongestWindow{1};
  while (!this->PastMemberships.empty() &&
         Now - this->PastMemberships.front().ReplacedAt >
             LongestWindow + 2 * this->Opts.MaxListAge)
    this->PastMemberships.pop_front();
}

} // namespace hickorylift
