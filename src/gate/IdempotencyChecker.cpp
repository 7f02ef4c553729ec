#include "gate/IdempotencyChecker.h"

#include "base/Hash.h"

#include <algorithm>

// A caller that got no answer may repeat its call with the same key through
// any node. The repeat must meet whoever ran the first, or nobody. So a gate
// judges a key only if, by lists no older than MaxListAge, it has been the
// key's home all the time for Window + 2 * MaxListAge.
//
// Why that is enough: say gate A ran the key at time T, and gate B is asked at
// T + R, R at most Window. Both were, in their own eyes, the home all through
// the stretch from T - 2 * MaxListAge to T, for B's proof reaches back from
// T + R by Window + 2 * MaxListAge. Within it each looked at lists that the
// platform published there or up to MaxListAge before, and a list has one home
// for each key. So both can only be home if the platform's list changed there
// and back while each saw but one side of it; a change and its reversal within
// MaxListAge, missed by both, is what remains uncovered.
//
// A gate that has just started has no past and refuses all keys for that long.
// It has forgotten what its last incarnation ran, and "not run" would be a
// guess. The same rule covers the gate that wakes from a long pause: its list
// is too old.

namespace hickorylift {

namespace {

constexpr unsigned ConflictStatus = 409;
constexpr unsigned MismatchStatus = 422;
constexpr Millis SoonAgain{500};
constexpr Millis LaterAgain{5000};
const char StepName[] = "key-judge";

template <typename Range>
const Instance *homeAmong(const std::string &Key, const Range &Upstreams) {
  const Instance *Best = nullptr;
  uint64_t BestScore = 0;
  for (const auto &One : Upstreams) {
    const Instance *Candidate;
    if constexpr (std::is_pointer_v<std::decay_t<decltype(One)>>)
      Candidate = One;
    else
      Candidate = &One;
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

void IdempotencyChecker::setUpstreams(const std::vector<const Instance *> &New,
                                      TimePoint Now) {
  std::vector<Instance> Read;
  for (const Instance *One : New)
    Read.push_back(*One);
  auto SameNames = [](const Instance &A, const Instance &B) {
    return A.Name == B.Name;
  };
  if (!this->FirstListAt)
    this->FirstListAt = Now;
  else if (std::equal(Read.begin(), Read.end(), this->Upstreams.begin(),
                      this->Upstreams.end(), SameNames))
    return;
  else
    this->PastMemberships.push_back({std::move(this->Upstreams), Now});
  this->Upstreams = std::move(Read);
}

IdempotencyChecker::Result IdempotencyChecker::refuse(Decision What,
                                                      const std::string &Reason,
                                                      Outcome Means,
                                                      Millis RetryAfter,
                                                      unsigned Status) const {
  Result Out;
  Out.Action = What;
  Out.RefusalDetails.What = Means;
  Out.RefusalDetails.Reason = Reason;
  Out.RefusalDetails.Step = StepName;
  Out.RefusalDetails.Peer = this->Self;
  Out.RefusalDetails.RetryAfter = RetryAfter;
  Out.RefusalDetails.Status = Status;
  return Out;
}

std::optional<IdempotencyChecker::Result>
IdempotencyChecker::checkHome(const std::string &Key, Millis Window,
                              std::optional<Millis> ListAge,
                              TimePoint Now) const {
  if (!this->Opts.Guards.SettledKeys)
    return std::nullopt;
  auto NotNow = [&](const char *Reason) {
    return this->refuse(Decision::Refuse, Reason, Outcome::NotRun, LaterAgain,
                        0);
  };
  if (!ListAge || *ListAge > this->Opts.MaxListAge)
    return NotNow("key-list-too-old");
  const Instance *Home = homeAmong(Key, this->Upstreams);
  if (!Home || Home->Name != this->Self)
    return NotNow("not-the-key-home");
  Millis Proof = Window + 2 * this->Opts.MaxListAge;
  if (!this->FirstListAt || Now - *this->FirstListAt < Proof)
    return NotNow("key-home-unsettled");
  for (const PastMembership &One : this->PastMemberships) {
    if (Now - One.ReplacedAt >= Proof)
      continue;
    const Instance *Then = homeAmong(Key, One.Upstreams);
    if (!Then || Then->Name != this->Self)
      return NotNow("key-home-unsettled");
  }
  return std::nullopt;
}

IdempotencyChecker::Result
IdempotencyChecker::repeatResult(const KeyRecord &Of) const {
  if (Of.CallState == State::Running)
    return this->refuse(Decision::Conflict, "key-running", Outcome::Unknown,
                        SoonAgain, ConflictStatus);
  if (Of.CallState == State::OutcomeUnknown)
    return this->refuse(Decision::Conflict, "key-outcome-unknown",
                        Outcome::Unknown, Millis(0), ConflictStatus);
  if (!Of.HasBody)
    return this->refuse(Decision::Conflict, "key-answered-before",
                        Outcome::Unknown, Millis(0), ConflictStatus);
  Result Out;
  Out.Action = Decision::Replay;
  Out.Head = Of.Head;
  Out.Body = Of.Body;
  return Out;
}

IdempotencyChecker::Result
IdempotencyChecker::check(const std::string &Key, uint64_t Fingerprint,
                          Millis Window, std::optional<Millis> ListAge,
                          TimePoint Now) {
  // What is remembered stays true whatever the list says now.
  auto Found = this->Keys.find(Key);
  if (Found != this->Keys.end() && this->Opts.Guards.RememberKeys) {
    if (Found->second.Fingerprint != Fingerprint)
      return this->refuse(Decision::Refuse, "key-of-another-request",
                          Outcome::NotRun, Millis(0), MismatchStatus);
    return this->repeatResult(Found->second);
  }
  if (std::optional<Result> Unsettled =
          this->checkHome(Key, Window, ListAge, Now))
    return *Unsettled;
  if (this->Keys.size() >= this->Opts.MaxKeys)
    return this->refuse(Decision::Refuse, "key-memory-full", Outcome::NotRun,
                        LaterAgain, 0);
  KeyRecord New;
  New.Fingerprint = Fingerprint;
  New.Window = Window;
  this->Keys.emplace(Key, std::move(New));
  return {};
}

void IdempotencyChecker::recordAnswer(const std::string &Key,
                                      const ResponseHead &Head,
                                      std::string Body, TimePoint Now) {
  auto Found = this->Keys.find(Key);
  if (Found == this->Keys.end())
    return;
  KeyRecord &Of = Found->second;
  Of.CallState = State::Answered;
  Of.Head = Head;
  this->scheduleExpiry(Key, Of, Now + Of.Window);
  bool Fits = Body.size() <= this->Opts.MaxStoredAnswerBytes &&
              this->ReplayBytes + Body.size() <= this->Opts.MaxReplayBytes;
  if (!Fits)
    return;
  this->ReplayBytes += Body.size();
  Of.Body = std::move(Body);
  Of.HasBody = true;
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

void IdempotencyChecker::scheduleExpiry(const std::string &Key, KeyRecord &Of,
                                        TimePoint At) {
  Of.ExpiresAt = At;
  this->ExpiryQueue.emplace(At, Key);
}

void IdempotencyChecker::erase(std::map<std::string, KeyRecord>::iterator At) {
  this->ReplayBytes -= At->second.Body.size();
  this->Keys.erase(At);
}

void IdempotencyChecker::expire(TimePoint Now) {
  while (!this->ExpiryQueue.empty() &&
         this->ExpiryQueue.begin()->first <= Now) {
    auto Found = this->Keys.find(this->ExpiryQueue.begin()->second);
    this->ExpiryQueue.erase(this->ExpiryQueue.begin());
    if (Found != this->Keys.end() && Found->second.ExpiresAt <= Now)
      this->erase(Found);
  }
  // The longest window that a service may have, and the proof's two lists.
  constexpr std::chrono::hours LongestWindow{1};
  while (!this->PastMemberships.empty() &&
         Now - this->PastMemberships.front().ReplacedAt >
             LongestWindow + 2 * this->Opts.MaxListAge)
    this->PastMemberships.pop_front();
}

} // namespace hickorylift
