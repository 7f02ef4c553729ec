#include "calls/Entry.h"

#include "base/Hash.h"
#include "gate/KeyJudge.h"

#include <algorithm>

// A call is at one gate at a time. It goes to another only if the gate that
// had it said "not run", or if the call was never sent, or if its route says
// that it may run twice and nothing of its answer has reached the caller. A
// lost link proves nothing: the call is then Searching, and the same
// incarnation of the same gate is asked about it over a new link. Another
// incarnation has forgotten it, and the outcome is unknown.
//
// Only refusals of the gate are retried here, never an answer, whatever its
// status: if the answer is a refusal from deeper down, the hop next to that
// refusal has tried already, and a second try at each of thirteen hops would
// multiply.

namespace hickorylift {

namespace {

const char UpstreamReason[] = "upstream-";
const char UpstreamCrashed[] = "upstream-crashed";
const char Quarantined[] = "quarantined";
const char BesideSuspect[] = "beside-suspect";

// Whether the call may have come to an upstream before it was refused. One that
// a gate or a link turned away cost no upstream anything, and neither did one
// to which no connection could be made.
bool reachedUpstream(const Refusal &Why) {
  bool NotMade = Why.Reason == "upstream-unreachable" ||
                 Why.Reason == "upstream-timeout" ||
                 Why.Reason == "upstream-gone";
  return Why.CallOutcome == Outcome::Unknown ||
         (Why.Reason.rfind(UpstreamReason, 0) == 0 && !NotMade);
}

// Whether a refusal shows the gate, its link or its upstream to be out of
// order. One for want of room does not.
bool blamesGate(const Refusal &Why) {
  return Why.Reason.rfind("gate-", 0) == 0 ||
         Why.Reason.rfind(UpstreamReason, 0) == 0;
}

Chooser::Want wantOf(const RequestHead &Head, const Route &Taken) {
  Chooser::Want Out;
  Out.BodyBytes = static_cast<uint64_t>(std::max<int64_t>(0, Head.Length));
  Out.Target = Taken.TargetLatency;
  Out.Route = Taken.Name;
  return Out;
}

} // namespace

Entry::Entry(Options GivenOpts, Hooks Hooks, const Membership &Fleet)
    : Opts(std::move(GivenOpts)), Hook(std::move(Hooks)), Fleet(Fleet),
      Choose(this->Opts.ChooserOptions, this->Opts.DataCentre, this->Opts.Self,
             this->Opts.Seed),
      Rank(this->Opts.RankOptions, this->Opts.Seed) {}

Refusal Entry::refusal(Outcome What, const std::string &Reason,
                       const std::string &Step, const std::string &Peer) const {
  return makeRefusal(What, Reason, Step, Peer.empty() ? this->Opts.Self : Peer);
}

// To answer one caller may end the calls of others: an answer that closes its
// connection takes the requests behind it along. So whoever goes through
// several calls looks each up again.
Entry::Call *Entry::find(CallerId Caller) {
  auto Found = this->Calls.find(Caller);
  return Found == this->Calls.end() ? nullptr : &Found->second;
}

void Entry::note(const char *What, const Call &Of, const Refusal &Why,
                 TimePoint Now) const {
  CallEvent Out;
  Out.Name = What;
  Out.RequestId = findHeader(Of.Head.Headers, this->Opts.HeaderNames.RequestId);
  Out.Route = Of.Taken ? Of.Taken->Name : "";
  Out.Gate = Of.Gate.empty() ? Why.Peer : Of.Gate;
  Out.Reason = Why.Reason;
  Out.Step = Why.Step;
  Out.Version = Of.Under ? Of.Under->stamp().Version : 0;
  Out.Offers = Of.Offers;
  Out.Age = toMillis(Now - Of.CameAt);
  Out.TimeLeft = toMillis(Of.Deadline - Now);
  this->Hook.LogEvent(Out, Now);
}

void Entry::membersChanged(TimePoint) {
  std::set<std::string> Listed;
  if (this->InForce)
    for (const auto &[Name, One] : this->InForce->services())
      for (const Instance *Up : this->Fleet.upstreams(Name)) {
        Listed.insert(Up->Name);
        this->Choose.listed(*Up);
      }
  this->Choose.keepOnly(Listed);
}

// A keyed call has one place to go, on trial or not: the gate that remembers
// the key.
const Instance *Entry::chooseGate(const Call &One, TimePoint Now) {
  if (!One.Key.empty() && !One.Idempotent) {
    const Instance *Home =
        keyHome(One.Key, this->Fleet.upstreams(One.Target->Name));
    bool Usable =
        Home && !One.Tried.count(Home->Name) && !this->Fleet.isEvacuated(*Home);
    return Usable ? Home : nullptr;
  }
  if (One.OnTrial)
    return this->trialGate(One, Now);
  return this->Choose.pick(this->Fleet.openUpstreams(One.Target->Name),
                           One.Tried, Now, wantOf(One.Head, *One.Taken));
}

// A request that has one crash left, or has been held for its term, is tried at
// one place. All nodes choose the same one, so that many who send it at once
// cannot crash an upstream each.
const Instance *Entry::trialGate(const Call &One, TimePoint Now) const {
  std::vector<const Instance *> Open;
  for (const Instance *Up : this->Fleet.openUpstreams(One.Target->Name))
    if (this->Choose.isOpen(*Up, Now))
      Open.push_back(Up);
  const Instance *Home = keyHome(One.Print.text(), Open);
  return Home && One.Tried.count(Home->Name) ? nullptr : Home;
}

// A body that is read ahead is whole here. Of a longer one the gate judges, and
// of one whose length is not known the bytes do not count, here or there.
Quarantine::Verdict Entry::judge(Call &One, TimePoint Now) const {
  bool HasBody = One.Head.Length > 0;
  if (HasBody && !One.Request.finished())
    return {};
  One.Print = fingerprintOf(
      One.Head, findHeader(One.Head.Headers, this->Opts.HeaderNames.Customer),
      HasBody ? One.Request.bufferedBytes() : std::string_view());
  return this->Hook.CheckQuarantine(One.Print, Now);
}

void Entry::route(CallerId Caller, TimePoint Now) {
  Call &One = this->Calls.at(Caller);
  Quarantine::Verdict Known = this->judge(One, Now);
  if (Known.What == Quarantine::Standing::Held) {
    Refusal Why = this->refusal(Outcome::NotRun, Quarantined, StepEntry, "");
    Why.RetryAfter = Known.ComeBack;
    return this->giveUp(Caller, Why, Now);
  }
  One.OnTrial = Known.What == Quarantine::Standing::Trial;
  const Instance *Gate = this->chooseGate(One, Now);
  if (Gate)
    return this->assign(Caller, One, *Gate, Now);
  if (this->returnToLeft(Caller, One, Now))
    return;
  if (One.LastRefusal)
    return this->giveUp(Caller, *One.LastRefusal, Now);
  const auto &Open = this->Fleet.openUpstreams(One.Target->Name);
  std::optional<Millis> Soonest = this->Choose.soonest(Open, Now);
  bool Listed = !this->Fleet.upstreams(One.Target->Name).empty();
  const char *Reason = !Listed        ? "no-upstream"
                       : Open.empty() ? "evacuated"
                       : Soonest      ? "overload"
                                      : "no-gate";
  Refusal Why = this->refusal(Outcome::NotRun, Reason, "choose-gate", "");
  Why.RetryAfter = Soonest.value_or(this->Opts.RetryAfter);
  this->giveUp(Caller, Why, Now);
}

void Entry::assign(CallerId Caller, Call &One, const Instance &Gate,
                   TimePoint Now) {
  One.Now = State::Connecting;
  One.Gate = Gate.Name;
  One.Tried.insert(Gate.Name);
  One.StartedAt = Now;
  ++One.Offers;
  // A new id for each gate: a late copy at the last one is never this one.
  One.Id = {this->Opts.Incarnation, ++this->LastSeq};
  this->BySeq[One.Id.Seq] = Caller;
  this->Choose.started(Gate.Name);
  Link &On = this->Links[Gate.Name];
  // What was lost before concerns nobody any more: a new search starts afresh.
  if (On.Calls.empty())
    On.LostAt.reset();
  On.Calls.insert(Caller);
  On.UsedAt = Now;
  if (On.Up)
    this->open(Caller, One, /*Resume=*/false, Now);
  else
    this->connect(Gate.Name, On, Now);
}

wire::OpenT Entry::openFrame(const Call &One, const CallId &Id,
                             const std::string &Gate, TimePoint Now) const {
  wire::OpenT Open;
  Open.seq = Id.Seq;
  Open.entry = Id.Entry;
  Open.answer_received = One.Response.received();
  Open.have_head = One.HaveHead;
  Open.service = One.Target->Name;
  if (const Instance *To = this->Fleet.find(Gate))
    Open.upstream = To->Upstream;
  Open.budget_ms = static_cast<uint32_t>(
      std::max<int64_t>(0, toMillis(One.Deadline - Now).count()));
  return Open;
}

void Entry::open(CallerId, Call &One, bool Resume, TimePoint Now) {
  wire::OpenT Open = this->openFrame(One, One.Id, One.Gate, Now);
  Open.resume = Resume;
  if (!Resume) {
    Open.route = One.Taken->Name;
    Open.target_ms = static_cast<uint32_t>(
        std::max<int64_t>(0, toMillis(One.TargetAt - Now).count()));
    Open.method = One.Head.Method;
    Open.path = One.Head.Path;
    Open.headers = toWire(One.Head.Headers);
    Open.idempotent = One.Idempotent;
    Open.idempotency_key = One.Key;
    Open.length = One.Head.Length;
    One.HoldsBody = One.Gate != this->Opts.Self &&
                    One.Head.Length > this->Opts.ImmediateBodyBytes;
    Open.holds_body = One.HoldsBody;
    Open.rank = this->Rank.at(Now);
    Open.crashes = static_cast<uint8_t>(One.Crashes);
    Open.caller_class = One.Class;
    Open.limit = One.Taken->Bound ? One.Taken->Bound->Name : "";
    auto Class = One.Taken->ClassPriority.find(One.Class);
    Open.priority = Class == One.Taken->ClassPriority.end()
                        ? One.Taken->Priority
                        : Class->second;
  }
  One.Now = State::Sent;
  One.SentAt = Now;
  One.GateIncarnation = this->Links[One.Gate].Incarnation;
  this->Hook.Send(One.Gate, makeCallFrame(std::move(Open)));
  if (!Resume)
    this->sendBody(One);
}

void Entry::sendBody(Call &One) {
  if (One.Now != State::Sent || One.HoldsBody)
    return;
  // Two pieces to a window: the credit for one comes while the other is on its
  // way.
  auto Most = std::min<size_t>(this->Opts.MaxPieceBytes,
                               this->Opts.BodyWindowBytes / 2);
  while (auto Piece = One.Request.nextPiece(Most)) {
    wire::DataT Data;
    Data.seq = One.Id.Seq;
    Data.offset = Piece->Offset;
    Data.bytes.assign(Piece->Bytes.begin(), Piece->Bytes.end());
    Data.end = Piece->End;
    this->Hook.Send(One.Gate, makeCallFrame(std::move(Data)));
  }
}

void Entry::body(CallerId Caller, std::string_view Bytes, TimePoint) {
  auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  Call &One = Found->second;
  One.Request.append(Bytes);
  this->sendBody(One);
  if (!One.RequestPaused &&
      One.Request.bufferedSize() >= this->Opts.ReadAheadBytes) {
    One.RequestPaused = true;
    this->Hook.PauseRequest(Caller, true);
  }
}

void Entry::bodyEnd(CallerId Caller, TimePoint Now) {
  auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  Found->second.Request.finish();
  if (Found->second.Offers == 0)
    return this->route(Caller, Now);
  this->sendBody(Found->second);
}

void Entry::callerConsumed(CallerId Caller, uint64_t Total, TimePoint) {
  auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end() || Found->second.Now != State::Sent)
    return;
  wire::CreditT Credit;
  Credit.seq = Found->second.Id.Seq;
  Credit.consumed = Total;
  this->Hook.Send(Found->second.Gate, makeCallFrame(Credit));
}

void Entry::callerGone(CallerId Caller, TimePoint Now) {
  auto Found = this->Calls.find(Caller);
  if (Found == this->Calls.end())
    return;
  if (Found->second.Now == State::Sent)
    this->cancel(Found->second.Gate, Found->second.Id.Seq, "caller-gone");
  ++this->Counts.Aborted;
  Refusal Why;
  Why.Reason = "caller-gone";
  this->note("caller-gone", Found->second, Why, Now);
  this->finish(Caller, Now);
}

void Entry::leaveGate(CallerId Caller, Call &One, bool Answered,
                      TimePoint Now) {
  if (One.Gate.empty())
    return;
  this->Choose.ended(One.Gate, Answered, Now - One.StartedAt, Now);
  Link &On = this->Links[One.Gate];
  On.Calls.erase(Caller);
  On.UsedAt = Now;
  // The link is lost, and with it the way to say that nobody waits any more.
  bool MayRun = One.Now == State::Searching;
  if (MayRun && On.Orphans.size() < this->Opts.MaxAbandonedCalls)
    On.Orphans.push_back(One.Id.Seq);
  this->BySeq.erase(One.Id.Seq);
  One.Gate.clear();
}

void Entry::cancel(const std::string &Gate, uint64_t Seq, const char *Reason) {
  wire::CancelT Cancel;
  Cancel.seq = Seq;
  Cancel.reason = Reason;
  this->Hook.Send(Gate, makeCallFrame(std::move(Cancel)));
}

void Entry::finish(CallerId Caller, TimePoint Now) {
  auto Found = this->Calls.find(Caller);
  this->dropLeft(Found->second);
  this->leaveGate(Caller, Found->second, /*Answered=*/true, Now);
  this->Calls.erase(Found);
}

void Entry::refuse(CallerId Caller, const Refusal &Why) {
  ++this->Counts.RefusedBy[Why.Reason];
  if (Why.CallOutcome == Outcome::Unknown)
    ++this->Counts.Unknown;
  this->Hook.Refuse(Caller, Why);
}

void Entry::giveUp(CallerId Caller, const Refusal &Why, TimePoint Now) {
  Call &One = this->Calls.at(Caller);
  bool HaveHead = One.HaveHead;
  // An idempotent call may have run at an earlier gate, whatever the last one
  // says: "not run" would not be true of it.
  bool RanEarlier =
      One.LastRefusal && One.LastRefusal->CallOutcome == Outcome::Unknown;
  Refusal Final = RanEarlier ? *One.LastRefusal : Why;
  bool MayComeBack = Final.CallOutcome == Outcome::NotRun && Final.Status == 0;
  if (MayComeBack && Final.RetryAfter.count() == 0)
    Final.RetryAfter = this->Opts.RetryAfter;
  const char *What = HaveHead                                ? "call-broken"
                     : Final.CallOutcome == Outcome::Unknown ? "call-unknown"
                                                             : "call-refused";
  this->note(What, One, Final, Now);
  this->Hook.CallFinished(Now - One.CameAt, /*Answered=*/false);
  this->dropLeft(One);
  this->leaveGate(Caller, One, !blamesGate(Why), Now);
  this->Calls.erase(Caller);
  if (HaveHead) {
    ++this->Counts.Aborted;
    return this->Hook.Abort(Caller, Final);
  }
  this->refuse(Caller, Final);
}

bool Entry::mayTryAnother(Call &One, const Refusal &Why, TimePoint Now) {
  bool Harmless = Why.CallOutcome == Outcome::NotRun || One.Idempotent ||
                  !this->Opts.Guards.RetryOnlyHarmless;
  bool Reached = reachedUpstream(Why);
  One.Attempts += Reached ? 1 : 0;
  One.Crashes += Why.Reason == UpstreamCrashed ? 1 : 0;
  // After a crash several suspects look for a gate at once, and nobody refused
  // this one for want of room. As many more as a call may have.
  if (Why.Reason == BesideSuspect && One.Besides++ < this->Opts.MaxOffers)
    --One.Offers;
  if (!Harmless || One.HaveHead || !One.Request.replayable() ||
      Now >= One.Deadline || One.Attempts >= One.Taken->attempts() ||
      One.Offers >= this->Opts.MaxOffers ||
      One.Crashes >= this->Opts.MaxCrashes || Why.Reason == Quarantined)
    return false;
  // Another would refuse it too: these concern the call and not the gate.
  if (Why.Status != 0)
    return false;
  // The budget guards upstreams. A call that none of them saw is still to be
  // tried for the first time.
  return !Reached || this->budgetOf(One).retry(Now);
}

// No node knows what the others spend. So each has a fixed part of the whole: a
// share of its own first tries, and an equal part of the reserve. The sum over
// all nodes is then within both, whoever lives; a node that starts again has
// its part of the reserve once more.
RetryBudget &Entry::budgetOf(const Call &One) {
  RetryBudget &Of = this->Budgets[One.Target->Name];
  if (this->Opts.FleetRetryReserve > 0)
    Of.limitReserve(std::max(
        1.0, this->Opts.FleetRetryReserve /
                 static_cast<double>(std::max<size_t>(1, this->Fleet.size()))));
  return Of;
}

void Entry::tryAnother(CallerId Caller, const Refusal &Why, TimePoint Now) {
  Call &One = this->Calls.at(Caller);
  if (!this->mayTryAnother(One, Why, Now)) {
    if (!this->returnToLeft(Caller, One, Now))
      this->giveUp(Caller, Why, Now);
    return;
  }
  this->moveOn(Caller, Why, Now);
}

void Entry::moveOn(CallerId Caller, const Refusal &Why, TimePoint Now) {
  Call &One = this->Calls.at(Caller);
  ++this->Counts.Retries;
  this->note("call-retried", One, Why, Now);
  if (!One.LastRefusal || One.LastRefusal->CallOutcome == Outcome::NotRun)
    One.LastRefusal = Why;
  this->leaveGate(Caller, One, !blamesGate(Why), Now);
  One.Request.rewind(0);
  this->route(Caller, Now);
}

void Entry::processPaused(TimePoint Now) {
  if (this->Opts.Guards.PauseBarrier)
    this->GraceUntil = Now + this->Opts.PauseGrace;
  // The links were not silent, we were: count from here.
  for (auto &[Gate, On] : this->Links) {
    if (On.PingAt)
      On.PingAt = Now;
    if (On.LostAt)
      On.LostAt = Now;
  }
}

// The gate is told, so that nothing goes on running for nobody.
void Entry::giveUpInTime(CallerId Caller, const char *Reason, TimePoint Now) {
  Call &One = this->Calls.at(Caller);
  bool MayHaveRun = One.Now != State::Connecting;
  if (One.Now == State::Sent)
    this->cancel(One.Gate, One.Id.Seq, Reason);
  this->giveUp(Caller,
               this->refusal(MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                             Reason, StepEntry, One.Gate),
               Now);
}

void Entry::failRemainingCalls(TimePoint Now) {
  std::vector<CallerId> Left;
  for (const auto &[Caller, One] : this->Calls)
    Left.push_back(Caller);
  for (CallerId Caller : Left)
    if (this->find(Caller))
      this->giveUpInTime(Caller, "stopped", Now);
}

void Entry::tick(TimePoint Now) {
  while (!this->Due.empty() && this->Due.begin()->first <= Now) {
    CallerId Caller = this->Due.begin()->second;
    this->Due.erase(this->Due.begin());
    if (this->find(Caller))
      this->giveUpInTime(Caller, "deadline", Now);
  }
  this->driveLinks(Now);
}

} // namespace hickorylift
