#include "calls/Entry.h"

#include <algorithm>

// The links to gates: one for each gate, for as long as calls go to it.
//
// A ping tells an unresponsive link from a slow call. It is sent when no frame
// has arrived for PingInterval while calls are in progress, and the process at
// the other end answers it as soon as it reads the link. If no answer comes,
// the link is declared dead, but not the gate: a device between the two may
// have lost track of this connection while a new one works. Over the new link
// the gate is asked about the calls, and those without a caller are cancelled.

namespace hickorylift {

namespace {

// Most callers give a call two seconds. Four times the usual limit, or two
// doublings, is the longest that still leaves time to try another gate.
constexpr unsigned MaxDoublings = 2;

} // namespace

void Entry::connect(const std::string &Gate, GateLink &Link, TimePoint Now) {
  if (Link.ConnectingSince || Link.Up)
    return;
  const Instance *Known = this->Fleet.find(Gate);
  if (!Known)
    return this->loseLink(Gate, Link, Now);
  Link.ConnectingSince = Now;
  Link.DialledAt = Now;
  this->Hook.Connect(*Known);
}

void Entry::linkUp(const std::string &Gate, TimePoint Now) {
  GateLink &Link = this->Links[Gate];
  Link.LastFrameAt = Now;
  Link.PingSentAt.reset();
  wire::CallHelloT Hello;
  Hello.node = this->Opts.Self;
  Hello.incarnation = this->Opts.Incarnation;
  if (const auto *Known = this->Statements.find(Gate)) {
    Hello.upstream = Known->Start.first;
    Hello.upstream_incarnation = Known->Start.second;
    if (Known->Stated.CallsPerSecond)
      Hello.stated_rate = *Known->Stated.CallsPerSecond;
    Hello.stated_leaving = Known->Stated.Leaving;
  }
  this->Hook.Send(Gate, makeCallFrame(std::move(Hello)));
}

void Entry::onHello(const std::string &Gate, GateLink &Link,
                    const wire::CallHelloT &Hello, TimePoint Now) {
  Link.Up = true;
  Link.ConnectingSince.reset();
  Link.Incarnation = Hello.incarnation;
  Link.LostAt.reset();
  Link.NextPingAt = Now + this->Opts.PingInterval;
  this->Balancer.clearDraining(Gate);
  this->Balancer.markReachable(Gate);
  this->settleAbandoned(Gate, Link, Now);
  for (CallerId Caller : std::set<CallerId>(Link.Calls)) {
    PendingCall *Found = this->findCall(Caller);
    if (!Found)
      continue;
    PendingCall &Call = *Found;
    if (Call.CurrentState == State::Connecting) {
      this->sendOpen(Caller, Call, /*Resume=*/false, Now);
    } else if (Call.GateIncarnation == Hello.incarnation ||
               !this->Opts.Guards.ProveIncarnation) {
      ++this->Counts.Resumed;
      this->logEvent("call-resumed", Call, Refusal(), Now);
      this->sendOpen(Caller, Call, /*Resume=*/true, Now);
    } else {
      this->retryOrGiveUp(
          Caller,
          this->refusal(Outcome::Unknown, "gate-restarted", StepLink, Gate),
          Now);
    }
  }
}

// Cancels abandoned calls over the new link. A detached run is asked about
// instead: if it were cancelled now, while the call is offered to another gate,
// and that offer failed, the caller would get an unknown outcome although its
// answer was nearly ready.
void Entry::settleAbandoned(const std::string &Gate, GateLink &Link,
                            TimePoint Now) {
  for (uint64_t Seq : std::exchange(Link.AbandonedSeqs, {})) {
    PendingCall *Call = this->findDetachedCall(Gate, Seq);
    bool StillRuns = Call && Call->Detached->Incarnation == Link.Incarnation &&
                     Call->Head.Length == 0;
    if (!StillRuns) {
      this->cancel(Gate, Seq, "caller-gone");
      continue;
    }
    Call->Detached->Queried = true;
    wire::OpenT Open =
        this->makeOpenFrame(*Call, Call->Detached->Id, Gate, Now);
    Open.resume = true;
    this->Hook.Send(Gate, makeCallFrame(std::move(Open)));
  }
}

// The call that was detached from this run and may return to it.
Entry::PendingCall *Entry::findDetachedCall(const std::string &Gate,
                                            uint64_t Seq) {
  auto Found = this->DetachedBySeq.find(Seq);
  PendingCall *Call = Found == this->DetachedBySeq.end()
                          ? nullptr
                          : this->findCall(Found->second);
  return Call && Call->Detached && Call->Detached->Gate == Gate ? Call
                                                                : nullptr;
}

// The link over which the gate was asked about detached runs is lost too, so it
// is asked again over the next one.
void Entry::requeueQueriedRuns(const std::string &Gate, GateLink &Link,
                               TimePoint Now) {
  for (const auto &[Seq, Caller] : this->DetachedBySeq) {
    PendingCall *Call = this->findDetachedCall(Gate, Seq);
    if (!Call || !std::exchange(Call->Detached->Queried, false))
      continue;
    this->loseFirstRun(*Call, Now);
    if (Link.AbandonedSeqs.size() < this->Opts.MaxAbandonedCalls)
      Link.AbandonedSeqs.push_back(Seq);
  }
}

// Drops the call's detached run, which no caller needs any more: the call was
// answered elsewhere, has ended, or has a newer detached run.
void Entry::dropDetachedRun(PendingCall &Call, TimePoint Now) {
  if (!Call.Detached)
    return;
  DetachedRun Run = *std::exchange(Call.Detached, std::nullopt);
  this->DetachedBySeq.erase(Run.Id.Seq);
  if (Run.Hedged) {
    this->releaseFirstRun(Run, /*Answered=*/true, Now);
    this->Counts.HedgesCancelled += Call.AtHedge && !Call.HaveHead ? 1 : 0;
  }
  if (Run.Queried)
    this->cancel(Run.Gate, Run.Id.Seq, "caller-gone");
}

// Moves the call back to its detached run, which began before any run at the
// gates that the call was offered to since. The run's gate has reported that it
// is still in progress, or has been asked and has not replied yet.
void Entry::reattach(CallerId Caller, PendingCall &Call, TimePoint Now) {
  DetachedRun Run = *std::exchange(Call.Detached, std::nullopt);
  this->DetachedBySeq.erase(Run.Id.Seq);
  if (Call.CurrentState == State::Sent && !Call.Gate.empty())
    this->cancel(Call.Gate, Call.Id.Seq, "caller-gone");
  this->leaveGate(Caller, Call, /*Answered=*/true, Now);
  Call.CurrentState = State::Sent;
  Call.Gate = Run.Gate;
  Call.GateIncarnation = Run.Incarnation;
  Call.Id = Run.Id;
  Call.AssignedAt = Call.SentAt = Now;
  this->CallerBySeq[Call.Id.Seq] = Caller;
  this->Balancer.recordStart(Run.Gate);
  this->Links[Run.Gate].Calls.insert(Caller);
  ++this->Counts.Resumed;
  this->logEvent("call-resumed", Call, Refusal(), Now);
}

void Entry::linkDown(const std::string &Gate, TimePoint Now) {
  GateLink &Link = this->Links[Gate];
  if (Link.ConnectingSince)
    this->Balancer.markUnreachable(Gate, Now);
  Link.Up = false;
  Link.ConnectingSince.reset();
  this->loseLink(Gate, Link, Now);
}

// Calls that were never sent, or may run twice, go to another gate at once. The
// others wait for a new link, for SearchTimeout or until their deadline.
void Entry::loseLink(const std::string &Gate, GateLink &Link, TimePoint Now) {
  Link.PingSentAt.reset();
  if (!Link.LostAt)
    Link.LostAt = Now;
  this->requeueQueriedRuns(Gate, Link, Now);
  for (CallerId Caller : std::set<CallerId>(Link.Calls)) {
    PendingCall *Found = this->findCall(Caller);
    if (!Found)
      continue;
    PendingCall &Call = *Found;
    if (Call.CurrentState == State::Connecting)
      this->retryOrGiveUp(
          Caller,
          this->refusal(Outcome::NotRun, "gate-unreachable", StepLink, Gate),
          Now);
    else if (Call.CurrentState == State::Sent) {
      Call.CurrentState = State::Searching;
      // An idempotent call need not wait to find out whether it has run.
      Refusal Lost =
          this->refusal(Outcome::Unknown, "link-lost", StepLink, Gate);
      if (this->continueFirstRun(Caller, Call, Lost, /*Answered=*/true, Now))
        continue;
      if (Call.Detached && Call.Detached->Queried &&
          this->returnToDetachedRun(Caller, Call, Now))
        continue;
      if (Call.Idempotent && this->mayRetry(Call, Lost, Now)) {
        this->dropDetachedRun(Call, Now);
        Call.Detached =
            DetachedRun{Gate, Call.GateIncarnation, Call.Id, /*Queried=*/false};
        this->DetachedBySeq[Call.Id.Seq] = Caller;
        this->retryElsewhere(Caller, Lost, Now);
        continue;
      }
      this->logEvent(
          "call-searching", Call,
          this->refusal(Outcome::Unknown, "link-lost", StepLink, Gate), Now);
    }
  }
}

// Returns an idempotent call to its detached run if no other gate has capacity
// for it. That run may be nearly finished: if the call were given up now, its
// caller would get a failure and the upstream would have worked for nothing. So
// the gate is asked about the run over the next link, as for a call that must
// not run twice. If it has been asked already, its reply is awaited.
bool Entry::returnToDetachedRun(CallerId Caller, PendingCall &Call,
                                TimePoint Now) {
  if (!Call.Detached || Call.HaveHead || Call.Head.Length != 0 ||
      Now >= Call.Deadline)
    return false;
  if (Call.Detached->Queried) {
    // The gate that the call was offered to has refused it or is unreachable.
    this->leaveGate(Caller, Call, /*Answered=*/true, Now);
    this->reattach(Caller, Call, Now);
    return true;
  }
  DetachedRun Run = *std::exchange(Call.Detached, std::nullopt);
  this->DetachedBySeq.erase(Run.Id.Seq);
  GateLink &Link = this->Links[Run.Gate];
  auto Abandoned = std::find(Link.AbandonedSeqs.begin(),
                             Link.AbandonedSeqs.end(), Run.Id.Seq);
  if (Abandoned == Link.AbandonedSeqs.end())
    return false;
  Link.AbandonedSeqs.erase(Abandoned);
  this->leaveGate(Caller, Call, /*Answered=*/true, Now);
  Call.CurrentState = State::Searching;
  Call.Gate = Run.Gate;
  Call.GateIncarnation = Run.Incarnation;
  Call.Id = Run.Id;
  Call.AssignedAt = Now;
  this->CallerBySeq[Call.Id.Seq] = Caller;
  this->Balancer.recordStart(Run.Gate);
  Link.Calls.insert(Caller);
  if (!Link.LostAt)
    Link.LostAt = Now;
  return true;
}

// Closes an unresponsive link. The gate itself may still work: a device between
// the two may have lost track of this connection while a new one works.
//
// A link may be unresponsive because the network is congested. What is sent now
// may still arrive, and tells the gate that this process lives, so that it does
// not cancel runs whose callers wait.
void Entry::declareLinkDead(const std::string &Gate, GateLink &Link,
                            TimePoint Now) {
  if (Link.Up && !Link.Calls.empty()) {
    wire::PingT Last;
    Last.reconnects = true;
    this->Hook.Send(Gate, makeCallFrame(Last));
  }
  this->Hook.Close(Gate);
  if (Link.ConnectingSince)
    this->Balancer.markUnreachable(Gate, Now);
  Link.Up = false;
  Link.ConnectingSince.reset();
  this->loseLink(Gate, Link, Now);
}

// Work on one link may add others to the map; links are removed only here.
void Entry::maintainLinks(TimePoint Now) {
  for (auto It = this->Links.begin(); It != this->Links.end();) {
    const std::string &Gate = It->first;
    GateLink &Link = It->second;
    this->maintainLink(Gate, Link, Now);
    bool Idle = !Link.carriesCalls() &&
                Now - Link.LastUsedAt > this->Opts.IdleLinkTimeout;
    if (Idle)
      this->Hook.Close(Gate);
    It = Idle ? this->Links.erase(It) : std::next(It);
  }
}

// The factor by which the usual time limits are multiplied for this link.
int64_t Entry::timeoutFactor(const GateLink &Link, TimePoint Now) const {
  bool Recent = Link.LastTimeoutAt &&
                Now - *Link.LastTimeoutAt < this->Opts.TimeoutBackoffPeriod;
  return Recent ? int64_t(1) << std::min(Link.LivenessTimeouts, MaxDoublings)
                : 1;
}

void Entry::maintainLink(const std::string &Gate, GateLink &Link,
                         TimePoint Now) {
  bool Quiet = Now - Link.LastFrameAt >= this->Opts.PingInterval;
  if (Link.Up && Link.carriesCalls() && !Link.PingSentAt && Quiet &&
      Now >= Link.NextPingAt) {
    Link.PingSentAt = Now;
    Link.NextPingAt = Now + this->Opts.PingInterval;
    this->Hook.Send(Gate, makeCallFrame(wire::PingT()));
  }
  if (Now - Link.AnsweredAt > this->Opts.ConfirmationPeriod)
    Link.AnsweredBy.reset();
  int64_t Factor = this->timeoutFactor(Link, Now);
  bool Unresponsive =
      Link.PingSentAt &&
      Now - *Link.PingSentAt > this->Opts.LivenessTimeout * Factor;
  bool ConnectTimedOut =
      Link.ConnectingSince &&
      Now - *Link.ConnectingSince > this->Opts.ConnectTimeout * Factor;
  if (Unresponsive) {
    Link.LivenessTimeouts = Factor > 1 ? Link.LivenessTimeouts + 1 : 1;
    Link.LastTimeoutAt = Now;
  }
  if ((Unresponsive || ConnectTimedOut) && this->Opts.Guards.CondemnSilentLinks)
    this->declareLinkDead(Gate, Link, Now);
  bool ConnectSlow =
      Link.ConnectingSince &&
      Now - *Link.ConnectingSince > this->Opts.MaxConnectWait * Factor;
  if (ConnectSlow)
    this->reassignWaitingCalls(Gate, Link, Now);
  this->redial(Gate, Link, Now);
  bool Needed = !Link.Calls.empty() || !Link.AbandonedSeqs.empty();
  if (Link.Up || Link.ConnectingSince || !Needed)
    return;
  if (Link.LostAt && Now - *Link.LostAt > this->Opts.SearchTimeout) {
    Link.AbandonedSeqs.clear();
    this->giveUpSearch(Gate, Link, Now);
  } else {
    this->connect(Gate, Link, Now);
  }
}

// The connection attempt continues for calls in state Searching. Calls that
// were not sent yet go to another gate.
void Entry::reassignWaitingCalls(const std::string &Gate, GateLink &Link,
                                 TimePoint Now) {
  this->Balancer.markUnreachable(Gate, Now);
  for (CallerId Caller : std::set<CallerId>(Link.Calls)) {
    PendingCall *Found = this->findCall(Caller);
    if (Found && Found->CurrentState == State::Connecting)
      this->retryOrGiveUp(
          Caller,
          this->refusal(Outcome::NotRun, "gate-unreachable", StepLink, Gate),
          Now);
  }
}

// Reconnects to a lost gate for which no call is waiting. A lost gate is not
// chosen for calls, so no call would detect that it is back.
void Entry::redial(const std::string &Gate, GateLink &Link, TimePoint Now) {
  bool Due = Link.LostAt && !Link.Up && !Link.ConnectingSince &&
             Link.Calls.empty() &&
             Now - *Link.LostAt < this->Opts.RedialPeriod &&
             Now - Link.DialledAt >= this->Opts.RedialInterval;
  const Instance *Known = Due ? this->Fleet.find(Gate) : nullptr;
  if (Known && !Known->Leaving)
    this->connect(Gate, Link, Now);
}

void Entry::giveUpSearch(const std::string &Gate, GateLink &Link,
                         TimePoint Now) {
  for (CallerId Caller : std::set<CallerId>(Link.Calls)) {
    PendingCall *Found = this->findCall(Caller);
    if (!Found)
      continue;
    bool Sent = Found->CurrentState != State::Connecting;
    this->retryOrGiveUp(Caller,
                        this->refusal(Sent ? Outcome::Unknown : Outcome::NotRun,
                                      "gate-lost", StepLink, Gate),
                        Now);
  }
}

} // namespace hickorylift
