#include "calls/Gate.h"

// Requests that crash the upstream. Before a call is started, it is asked what
// is known against its request; when its connection ends under it, whether the
// upstream is still there. Until that is known, a moment later, the call counts
// as running: its entry would else send it on to the next upstream before
// anybody knows that it may have crashed this one.

namespace hickorylift {

namespace {

const char UpstreamCrashed[] = "upstream-crashed";
const char UpstreamClosed[] = "upstream-closed";

} // namespace

// Whether the call may start now. If not, it is refused.
bool Gate::mayRun(const CallId &Id, Call &One, TimePoint Now) {
  bool Whole = One.Head.Length <= 0 || One.Request.ended();
  One.Print = computeFingerprint(
      One.Head, findHeader(One.Head.Headers, this->Opts.Names.Customer),
      Whole && One.Head.Length > 0 ? One.EarlyBody : "");
  Quarantine::Decision Known = this->Hook.Judge(One.Print, Now);
  One.Suspected =
      Known.RequestStatus != Quarantine::Status::Free || One.Crashes != 0;
  bool Held = Known.RequestStatus == Quarantine::Status::Quarantined;
  bool Beside = One.Suspected && this->Watch.hasOtherSuspect(One.Print);
  if (!Held && !Beside)
    return true;
  Refusal Why =
      makeRefusal(Outcome::NotRun, Held ? "quarantined" : "beside-suspect",
                  StepAdmission, this->Opts.Self);
  Why.RetryAfter = Held ? Known.RetryAfter : this->Opts.SuspectComeBack;
  this->refuse(Id, One, std::move(Why), Now);
  return false;
}

void Gate::connectionEnded(const CallId &Id, Call &One, const Error &Why,
                           TimePoint Now) {
  One.Broken = Why;
  switch (this->Watch.connectionLost(Id, Now)) {
  case CrashDetector::Action::Probe:
    return this->probe();
  case CrashDetector::Action::Wait:
    return;
  case CrashDetector::Action::AlreadyCrashed:
    this->failBroken(Id, UpstreamCrashed, Now);
    return this->pump(Now);
  }
}

void Gate::upstreamProbed(UpstreamProbeResult Found, TimePoint Now) {
  this->Probing = false;
  this->ProbeAgain = Found == UpstreamProbeResult::Inconclusive;
  if (this->ProbeAgain)
    return;
  if (Found == UpstreamProbeResult::Open) {
    for (const CallId &Id : this->Watch.upstreamAlive())
      this->failBroken(Id, UpstreamClosed, Now);
    this->upstreamBack(Now);
    return this->pump(Now);
  }
  CrashDetector::Crash Of = this->Watch.upstreamCrashed(Now);
  std::vector<Quarantine::RunningRequest> Ran;
  for (const CallId &Id : Of.Suspects)
    if (const Call *One = this->find(Id))
      Ran.push_back({One->Print, describeRequest(One->Head)});
  // A leaving upstream ends by itself, and its port with it; a cold one under
  // more calls than it bears, whatever they are.
  bool Explained = this->draining() || this->Slots.coldStart().isOverLimit(Now);
  if (!Explained && !Ran.empty())
    this->Hook.Crashed(Ran, Now);
  for (const CallId &Id : Of.BrokenRuns)
    this->failBroken(Id, UpstreamCrashed, Now);
  this->upstreamGone(Now);
  this->pump(Now);
}

// The list names an upstream for seconds after it is gone. Whoever is sent here
// meanwhile finds nothing, and so does everybody who has not been here yet:
// calls used up their offers at gates like this one, and were refused while
// others had room. So every entry with a link is told at once, and again when
// the port is open.
void Gate::upstreamGone(TimePoint Now) {
  if (std::exchange(this->Gone, true))
    return;
  this->NextLook = Now + this->Opts.LookAgain;
  this->refuseUnseen(UpstreamIsGone, Now);
  this->tellLinks(Now);
}

void Gate::upstreamBack(TimePoint Now) {
  if (!std::exchange(this->Gone, false))
    return;
  this->doubtWarm(Now);
  this->tellLinks(Now);
}

void Gate::lookForUpstream(TimePoint Now) {
  if (this->Watch.isProbeOverdue(Now))
    return this->upstreamProbed(UpstreamProbeResult::Open, Now);
  bool Due = this->Gone && Now >= this->NextLook;
  if (!Due && !this->ProbeAgain)
    return;
  this->NextLook = Now + this->Opts.LookAgain;
  this->ProbeAgain = false;
  this->probe();
}

void Gate::probe() {
  if (this->Hook.Probe && !std::exchange(this->Probing, true))
    this->Hook.Probe();
}

void Gate::failBroken(const CallId &Id, const char *Reason, TimePoint Now) {
  Call *One = this->find(Id);
  if (!One || One->Now != State::Running)
    return;
  Error Why = One->Broken.value_or(Error());
  this->Slots.finished(Id, /*Answered=*/false, Now);
  One->Now = State::Finished;
  this->breakOff(
      Id, *One, makeRefusal(Outcome::Unknown, Reason, Why.Step, Why.Peer), Now);
}

} // namespace hickorylift
