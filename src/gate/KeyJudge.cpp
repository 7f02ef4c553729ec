#include "gate/KeyJudge.h"

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

void KeyJudge::members(const std::vector<const Instance *> &New,
                       TimePoint Now) {
  std::vector<Instance> Read;
  for (const Instance *One : New)
    Read.push_back(*One);
  auto SameNames = [](const Instance &A, const Instance &B) {
    return A.Name == B.Name;
  };
  if (!this->FirstList)
    this->FirstList = Now;
  else if (std::equal(Read.begin(), Read.end(), this->Upstreams.begin(),
                      this->Upstreams.end(), SameNames))
    return;
  else
    this->Earlier.push_back({std::move(this->Upstreams), Now});
  this->Upstreams = std::move(Read);
}

KeyJudge::Answer KeyJudge::refuse(Verdict What, const std::string &Reason,
                                  Outcome Means, Millis RetryAfter,
                                  unsigned Status) const {
  Answer Out;
  Out.What = What;
  Out.Why.CallOutcome = Means;
  Out.Why.Reason = Reason;
  Out.Why.Step = StepName;
  Out.Why.Peer = this->Self;
  Out.Why.RetryAfter = RetryAfter;
  Out.Why.Status = Status;
  return Out;
}

std::optional<KeyJudge::Answer> KeyJudge::settle(const std::string &Key,
                                                 Millis Window,
                                                 std::optional<Millis> ListAge,
                                                 TimePoint Now) const {
  if (!this->Opts.Guards.SettledKeys)
    return std::nullopt;
  auto NotNow = [&](const char *Reason) {
    return this->refuse(Verdict::Refuse, Reason, Outcome::NotRun, LaterAgain,
                        0);
  };
  if (!ListAge || *ListAge > this->Opts.MaxListAge)
    return NotNow("key-list-too-old");
  const Instance *Home = homeAmong(Key, this->Upstreams);
  if (!Home || Home->Name != this->Self)
    return NotNow("not-the-key-home");
  Millis Proof = Window + 2 * this->Opts.MaxListAge;
  if (!this->FirstList || Now - *this->FirstList < Proof)
    return NotNow("key-home-unsettled");
  for (const Past &One : this->Earlier) {
    if (Now - One.Until >= Proof)
      continue;
    const Instance *Then = homeAmong(Key, One.Upstreams);
    if (!Then || Then->Name != this->Self)
      return NotNow("key-home-unsettled");
  }
  return std::nullopt;
}

KeyJudge::Answer KeyJudge::known(const Known &Of) const {
  if (Of.Now == State::Running)
    return this->refuse(Verdict::Conflict, "key-running", Outcome::Unknown,
                        SoonAgain, ConflictStatus);
  if (Of.Now == State::Lost)
    return this->refuse(Verdict::Conflict, "key-outcome-unknown",
                        Outcome::Unknown, Millis(0), ConflictStatus);
  if (!Of.HasBody)
    return this->refuse(Verdict::Conflict, "key-answered-before",
                        Outcome::Unknown, Millis(0), ConflictStatus);
  Answer Out;
  Out.What = Verdict::Replay;
  Out.Head = Of.Head;
  Out.Body = Of.Body;
  return Out;
}

KeyJudge::Answer KeyJudge::ask(const std::string &Key, uint64_t Fingerprint,
                               Millis Window, std::optional<Millis> ListAge,
                               TimePoint Now) {
  // What is remembered stays true whatever the list says now.
  auto Found = this->Keys.find(Key);
  if (Found != this->Keys.end() && this->Opts.Guards.RememberKeys) {
    if (Found->second.Fingerprint != Fingerprint)
      return this->refuse(Verdict::Refuse, "key-of-another-request",
                          Outcome::NotRun, Millis(0), MismatchStatus);
    return this->known(Found->second);
  }
  if (std::optional<Answer> Unsettled = this->settle(Key, Window, ListAge, Now))
    return *Unsettled;
  if (this->Keys.size() >= this->Opts.MaxKeys)
    return this->refuse(Verdict::Refuse, "key-memory-full", Outcome::NotRun,
                        LaterAgain, 0);
  Known New;
  New.Fingerprint = Fingerprint;
  New.Window = Window;
  this->Keys.emplace(Key, std::move(New));
  return {};
}

void KeyJudge::answered(const std::string &Key, const ResponseHead &Head,
                        std::string Body, TimePoint Now) {
  auto Found = this->Keys.find(Key);
  if (Found == this->Keys.end())
    return;
  Known &Of = Found->second;
  Of.Now = State::Answered;
  Of.Head = Head;
  this->forgetAt(Key, Of, Now + Of.Window);
  bool Fits = Body.size() <= this->Opts.MaxAnswerBytes &&
              this->ReplayBytes + Body.size() <= this->Opts.MaxReplayBytes;
  if (!Fits)
    return;
  this->ReplayBytes += Body.size();
  Of.Body = std::move(Body);
  Of.HasBody = true;
}

void KeyJudge::notRun(const std::string &Key) {
  auto Found = this->Keys.find(Key);
  if (Found != this->Keys.end() && Found->second.Now == State::Running)
    this->forget(Found);
}

void KeyJudge::lost(const std::string &Key, TimePoint Now) {
  auto Found = this->Keys.find(Key);
  if (Found == this->Keys.end() || Found->second.Now != State::Running)
    return;
  Found->second.Now = State::Lost;
  this->forgetAt(Key, Found->second, Now + Found->second.Window);
}

void KeyJudge::forgetAt(const std::string &Key, Known &Of, TimePoint At) {
  Of.ForgetAt = At;
  this->Forget.emplace(At, Key);
}

void KeyJudge::forget(std::map<std::string, Known>::iterator At) {
  this->ReplayBytes -= At->second.Body.size();
  this->Keys.erase(At);
}

void KeyJudge::expire(TimePoint Now) {
  while (!this->Forget.empty() && this->Forget.begin()->first <= Now) {
    auto Found = this->Keys.find(this->Forget.begin()->second);
    this->Forget.erase(this->Forget.begin());
    if (Found != this->Keys.end() && Found->second.ForgetAt <= Now)
      this->forget(Found);
  }
  // The longest window that a service may have, and the proof's two lists.
  constexpr std::chrono::hours LongestWindow{1};
  while (!this->Earlier.empty() &&
         Now - this->Earlier.front().Until >
             LongestWindow + 2 * this->Opts.MaxListAge)
    this->Earlier.pop_front();
}

} // namespace hickorylift
