#include "calls/Entry.h"

#include <algorithm>

// The links to gates, one for each gate, for as long as calls go there.
//
// Silence is told from slowness by a ping: sent when nothing came for an
// interval while calls are under way, and answered by whoever reads the link. A
// link without an answer is condemned, not the gate: something between the two
// may have lost track of this connection while a new one works. Over the new
// one the calls are asked about, or cancelled if nobody waits for them any
// more.

namespace hickorylift {

namespace {

// Calls are given two seconds by most callers; four times the usual limit is
// the longest that still leaves them time to be tried elsewhere.
constexpr unsigned MostDoublings = 2;

} // namespace

void Entry::connect(const std::string &Gate, Link &On, TimePoint Now) {
  if (On.ConnectingSince || On.Up)
    return;
  const Instance *Known = this->Fleet.find(Gate);
  if (!Known)
    return this->loseLink(Gate, On, Now);
  On.ConnectingSince = Now;
  On.DialledAt = Now;
  this->Hook.Connect(*Known);
}

void Entry::linkUp(const std::string &Gate, TimePoint Now) {
  Link &On = this->Links[Gate];
  On.HeardAt = Now;
  On.PingAt.reset();
  wire::CallHelloT Hello;
  Hello.node = this->Opts.Self;
  Hello.incarnation = this->Opts.Incarnation;
  this->Hook.Send(Gate, makeCallFrame(std::move(Hello)));
}

void Entry::onHello(const std::string &Gate, Link &On,
                    const wire::CallHelloT &Hello, TimePoint Now) {
  On.Up = true;
  On.ConnectingSince.reset();
  On.Incarnation = Hello.incarnation;
  On.LostAt.reset();
  On.NextPing = Now + this->Opts.PingInterval;
  this->Choose.ready(Gate);
  this->Choose.reachable(Gate);
  this->settleOrphans(Gate, On, Now);
  for (CallerId Caller : std::set<CallerId>(On.Calls)) {
    Call *Found = this->find(Caller);
    if (!Found)
      continue;
    Call &One = *Found;
    if (One.Now == State::Connecting) {
      this->open(Caller, One, /*Resume=*/false, Now);
    } else if (One.GateIncarnation == Hello.incarnation ||
               !this->Opts.Guards.ProveIncarnation) {
      ++this->Counts.Resumed;
      this->note("call-resumed", One, Refusal(), Now);
      this->open(Caller, One, /*Resume=*/true, Now);
    } else {
      this->tryAnother(
          Caller,
          this->refusal(Outcome::Unknown, "gate-restarted", StepLink, Gate),
          Now);
    }
  }
}

// Runs that nobody waits for any more are ended. One that a call has left is
// asked about: ended now, while the call is on offer elsewhere, it would be
// missing if that offer fails, and the caller would be told that the outcome is
// unknown although its answer was nearly there.
void Entry::settleOrphans(const std::string &Gate, Link &On, TimePoint Now) {
  for (uint64_t Seq : std::exchange(On.Orphans, {})) {
    Call *Of = this->leftBy(Gate, Seq);
    bool Lives =
        Of && Of->Left->Incarnation == On.Incarnation && Of->Head.Length == 0;
    if (!Lives) {
      this->cancel(Gate, Seq, "caller-gone");
      continue;
    }
    Of->Left->Asked = true;
    wire::OpenT Open = this->openFrame(*Of, Of->Left->Id, Gate, Now);
    Open.resume = true;
    this->Hook.Send(Gate, makeCallFrame(std::move(Open)));
  }
}

// The call that has left this run and may return to it.
Entry::Call *Entry::leftBy(const std::string &Gate, uint64_t Seq) {
  auto Found = this->LeftBySeq.find(Seq);
  Call *Of =
      Found == this->LeftBySeq.end() ? nullptr : this->find(Found->second);
  return Of && Of->Left && Of->Left->Gate == Gate ? Of : nullptr;
}

// The link over which runs were asked about is lost too: ask over the next.
void Entry::loseAsked(const std::string &Gate, Link &On) {
  for (const auto &[Seq, Caller] : this->LeftBySeq) {
    Call *Of = this->leftBy(Gate, Seq);
    if (!Of || !std::exchange(Of->Left->Asked, false))
      continue;
    if (On.Orphans.size() < this->Opts.MaxAbandonedCalls)
      On.Orphans.push_back(Seq);
  }
}

// The run has an answer elsewhere, or nobody waits for any.
void Entry::dropLeft(Call &One) {
  if (!One.Left)
    return;
  LeftRun Was = *std::exchange(One.Left, std::nullopt);
  this->LeftBySeq.erase(Was.Id.Seq);
  if (Was.Asked)
    this->cancel(Was.Gate, Was.Id.Seq, "caller-gone");
}

// The gate has said that the run goes on. It began before whatever the call has
// been offered since.
void Entry::rejoin(CallerId Caller, Call &One, TimePoint Now) {
  LeftRun To = *std::exchange(One.Left, std::nullopt);
  this->LeftBySeq.erase(To.Id.Seq);
  if (One.Now == State::Sent && !One.Gate.empty())
    this->cancel(One.Gate, One.Id.Seq, "caller-gone");
  this->leaveGate(Caller, One, /*Answered=*/true, Now);
  One.Now = State::Sent;
  One.Gate = To.Gate;
  One.GateIncarnation = To.Incarnation;
  One.Id = To.Id;
  One.StartedAt = One.SentAt = Now;
  this->BySeq[One.Id.Seq] = Caller;
  this->Choose.started(To.Gate);
  this->Links[To.Gate].Calls.insert(Caller);
  ++this->Counts.Resumed;
  this->note("call-resumed", One, Refusal(), Now);
}

void Entry::linkDown(const std::string &Gate, TimePoint Now) {
  Link &On = this->Links[Gate];
  if (On.ConnectingSince)
    this->Choose.unreachable(Gate, Now);
  On.Up = false;
  On.ConnectingSince.reset();
  this->loseLink(Gate, On, Now);
}

// Calls that were never sent, or may run twice, go elsewhere at once. The
// others wait for a new link, for FindAgain or until their deadline.
void Entry::loseLink(const std::string &Gate, Link &On, TimePoint Now) {
  On.PingAt.reset();
  if (!On.LostAt)
    On.LostAt = Now;
  this->loseAsked(Gate, On);
  for (CallerId Caller : std::set<CallerId>(On.Calls)) {
    Call *Found = this->find(Caller);
    if (!Found)
      continue;
    Call &One = *Found;
    if (One.Now == State::Connecting)
      this->tryAnother(
          Caller,
          this->refusal(Outcome::NotRun, "gate-unreachable", StepLink, Gate),
          Now);
    else if (One.Now == State::Sent) {
      One.Now = State::Searching;
      // It may run twice, so there is nothing to find out first.
      Refusal Lost =
          this->refusal(Outcome::Unknown, "link-lost", StepLink, Gate);
      if (One.Left && One.Left->Asked && this->returnToLeft(Caller, One, Now))
        continue;
      if (One.Idempotent && this->mayTryAnother(One, Lost, Now)) {
        this->dropLeft(One);
        One.Left = LeftRun{Gate, One.GateIncarnation, One.Id, /*Asked=*/false};
        this->LeftBySeq[One.Id.Seq] = Caller;
        this->moveOn(Caller, Lost, Now);
        continue;
      }
      this->note("call-searching", One,
                 this->refusal(Outcome::Unknown, "link-lost", StepLink, Gate),
                 Now);
    }
  }
}

// A safe call whose link was lost is offered to other gates, and these have no
// room. Its first run may be nearly over: given up now, its caller would get a
// failure and the upstream would have worked for nothing. So it is asked about
// over the next link, as a call that must not repeat is; if it has been
// already, the gate's word is awaited.
bool Entry::returnToLeft(CallerId Caller, Call &One, TimePoint Now) {
  if (!One.Left || One.HaveHead || One.Head.Length != 0 || Now >= One.Deadline)
    return false;
  if (One.Left->Asked) {
    // Its gate has refused the offer, or is out of reach.
    this->leaveGate(Caller, One, /*Answered=*/true, Now);
    this->rejoin(Caller, One, Now);
    return true;
  }
  LeftRun To = *std::exchange(One.Left, std::nullopt);
  this->LeftBySeq.erase(To.Id.Seq);
  Link &On = this->Links[To.Gate];
  auto Orphan = std::find(On.Orphans.begin(), On.Orphans.end(), To.Id.Seq);
  if (Orphan == On.Orphans.end())
    return false;
  On.Orphans.erase(Orphan);
  this->leaveGate(Caller, One, /*Answered=*/true, Now);
  One.Now = State::Searching;
  One.Gate = To.Gate;
  One.GateIncarnation = To.Incarnation;
  One.Id = To.Id;
  One.StartedAt = Now;
  this->BySeq[One.Id.Seq] = Caller;
  this->Choose.started(To.Gate);
  On.Calls.insert(Caller);
  if (!On.LostAt)
    On.LostAt = Now;
  return true;
}

// The link is condemned, not the gate: something between the two may have lost
// track of this connection while a new one works.
void Entry::condemn(const std::string &Gate, Link &On, TimePoint Now) {
  this->Hook.Close(Gate);
  if (On.ConnectingSince)
    this->Choose.unreachable(Gate, Now);
  On.Up = false;
  On.ConnectingSince.reset();
  this->loseLink(Gate, On, Now);
}

// What is done about one link may make others, and only this removes any.
void Entry::driveLinks(TimePoint Now) {
  for (auto At = this->Links.begin(); At != this->Links.end();) {
    const std::string &Gate = At->first;
    Link &On = At->second;
    this->driveLink(Gate, On, Now);
    bool Idle =
        On.Calls.empty() && Now - On.UsedAt > this->Opts.IdleLinkTimeout;
    if (Idle)
      this->Hook.Close(Gate);
    At = Idle ? this->Links.erase(At) : std::next(At);
  }
}

// How many times the usual limits this link is given.
int64_t Entry::patience(const Link &On, TimePoint Now) const {
  bool Recent =
      On.SilentAt && Now - *On.SilentAt < this->Opts.TimeoutBackoffPeriod;
  return Recent ? int64_t(1) << std::min(On.Silences, MostDoublings) : 1;
}

void Entry::driveLink(const std::string &Gate, Link &On, TimePoint Now) {
  bool Quiet = Now - On.HeardAt >= this->Opts.PingInterval;
  if (On.Up && !On.Calls.empty() && !On.PingAt && Quiet && Now >= On.NextPing) {
    On.PingAt = Now;
    On.NextPing = Now + this->Opts.PingInterval;
    this->Hook.Send(Gate, makeCallFrame(wire::PingT()));
  }
  int64_t Patience = this->patience(On, Now);
  bool Silent =
      On.PingAt && Now - *On.PingAt > this->Opts.LivenessTimeout * Patience;
  bool NeverUp = On.ConnectingSince && Now - *On.ConnectingSince >
                                           this->Opts.ConnectTimeout * Patience;
  if (Silent) {
    On.Silences = Patience > 1 ? On.Silences + 1 : 1;
    On.SilentAt = Now;
  }
  if ((Silent || NeverUp) && this->Opts.Guards.CondemnSilentLinks)
    this->condemn(Gate, On, Now);
  bool Slow = On.ConnectingSince &&
              Now - *On.ConnectingSince > this->Opts.MaxConnectWait * Patience;
  if (Slow)
    this->moveWaiting(Gate, On, Now);
  this->redial(Gate, On, Now);
  bool Wanted = !On.Calls.empty() || !On.Orphans.empty();
  if (On.Up || On.ConnectingSince || !Wanted)
    return;
  if (On.LostAt && Now - *On.LostAt > this->Opts.SearchTimeout) {
    On.Orphans.clear();
    this->giveUpSearch(Gate, On, Now);
  } else {
    this->connect(Gate, On, Now);
  }
}

// The dial goes on for those who search there; who only waits goes elsewhere.
void Entry::moveWaiting(const std::string &Gate, Link &On, TimePoint Now) {
  this->Choose.unreachable(Gate, Now);
  for (CallerId Caller : std::set<CallerId>(On.Calls)) {
    Call *Found = this->find(Caller);
    if (Found && Found->Now == State::Connecting)
      this->tryAnother(
          Caller,
          this->refusal(Outcome::NotRun, "gate-unreachable", StepLink, Gate),
          Now);
  }
}

// A gate that was lost is left out of the choice, so no call would find out
// that it is back.
void Entry::redial(const std::string &Gate, Link &On, TimePoint Now) {
  bool Due = On.LostAt && !On.Up && !On.ConnectingSince && On.Calls.empty() &&
             Now - *On.LostAt < this->Opts.RedialPeriod &&
             Now - On.DialledAt >= this->Opts.RedialInterval;
  const Instance *Known = Due ? this->Fleet.find(Gate) : nullptr;
  if (Known && !Known->Leaving)
    this->connect(Gate, On, Now);
}

void Entry::giveUpSearch(const std::string &Gate, Link &On, TimePoint Now) {
  for (CallerId Caller : std::set<CallerId>(On.Calls)) {
    Call *Found = this->find(Caller);
    if (!Found)
      continue;
    bool Sent = Found->Now != State::Connecting;
    this->tryAnother(Caller,
                     this->refusal(Sent ? Outcome::Unknown : Outcome::NotRun,
                                   "gate-lost", StepLink, Gate),
                     Now);
  }
}

} // namespace hickorylift
