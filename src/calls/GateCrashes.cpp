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
bool Gate::checkQuarantine(const CallId &Id, CallRecord &One, TimePoint Now) {
  bool Whole = One.Request.Length <= 0 || One.RequestBody.ended();
  One.RequestFingerprint = fingerprintOf(
      One.Request,
      findHeader(One.Request.Headers, this->Opts.HeaderNames.Customer),
      Whole && One.Request.Length > 0 ? One.BufferedBody : "");
  Quarantine::Verdict Known =
      this->Hook.CheckQuarantine(One.RequestFingerprint, Now);
  One.Suspected =
      Known.What != Quarantine::Standing::Free || One.CrashCount != 0;
  bool Held = Known.What == Quarantine::Standing::Held;
  bool Beside =
      One.Suspected && this->Runs.hasOtherSuspect(One.RequestFingerprint);
  if (!Held && !Beside)
    return true;
  Refusal Why =
      makeRefusal(Outcome::NotRun, Held ? "quarantined" : "beside-suspect",
                  StepAdmission, this->Opts.Self);
  Why.RetryAfter = Held ? Known.ComeBack : this->Opts.SuspectRetryAfter;
  this->refuse(Id, One, std::move(Why), Now);
  return false;
}

void Gate::onConnectionLost(const CallId &Id, CallRecord &One, const Error &Why,
                            TimePoint Now) {
  One.ConnectionError = Why;
  switch (this->Runs.broke(Id, Now)) {
  case RunWatch::Next::Probe:
    return this->startProbe();
  case RunWatch::Next::Wait:
    return;
  case RunWatch::Next::Crashed:
    this->failDisconnected(Id, UpstreamCrashed, Now);
    return this->advanceQueue(Now);
  }
}

void Gate::upstreamProbed(UpstreamPort Found, TimePoint Now) {
  this->ProbePending = false;
  this->ProbeAgain = Found == UpstreamPort::Unclear;
  if (this->ProbeAgain)
    return;
  if (Found == UpstreamPort::Open) {
    for (const CallId &Id : this->Runs.settle())
      this->failDisconnected(Id, UpstreamClosed, Now);
    this->markUpstreamBack(Now);
    return this->advanceQueue(Now);
  }
  RunWatch::Crash Of = this->Runs.crashed(Now);
  std::vector<Quarantine::Ran> Ran;
  for (const CallId &Id : Of.Suspects)
    if (const CallRecord *One = this->findCall(Id))
      Ran.push_back({One->RequestFingerprint, describeRequest(One->Request)});
  // A leaving upstream ends by itself, and its port with it; a cold one under
  // more calls than it bears, whatever they are.
  bool Explained =
      this->draining() || this->AdmissionControl.coldStart().isOverrun(Now);
  if (!Explained && !Ran.empty())
    this->Hook.UpstreamCrashed(Ran, Now);
  for (const CallId &Id : Of.Broken)
    this->failDisconnected(Id, UpstreamCrashed, Now);
  this->markUpstreamGone(Now);
  this->advanceQueue(Now);
}

// The list names an upstream for seconds after it is gone. Whoever is sent here
// meanwhile finds nothing, and so does everybody who has not been here yet:
// calls used up their offers at gates like this one, and were refused while
// others had room. So every entry with a link is told at once, and again when
// the port is open.
void Gate::markUpstreamGone(TimePoint Now) {
  if (std::exchange(this->UpstreamGone, true))
    return;
  this->NextProbe = Now + this->Opts.ReprobeInterval;
  this->refuseUnstarted(ReasonUpstreamGone, Now);
  this->announceState(Now);
}

void Gate::markUpstreamBack(TimePoint Now) {
  if (!std::exchange(this->UpstreamGone, false))
    return;
  this->suspectRestart(Now);
  this->announceState(Now);
}

void Gate::reprobeIfDue(TimePoint Now) {
  if (this->Runs.isProbeLate(Now))
    return this->upstreamProbed(UpstreamPort::Open, Now);
  bool Due = this->UpstreamGone && Now >= this->NextProbe;
  if (!Due && !this->ProbeAgain)
    return;
  this->NextProbe = Now + this->Opts.ReprobeInterval;
  this->ProbeAgain = false;
  this->startProbe();
}

void Gate::startProbe() {
  if (this->Hook.Probe && !std::exchange(this->ProbePending, true))
    this->Hook.Probe();
}

void Gate::failDisconnected(const CallId &Id, const char *Reason,
                            TimePoint Now) {
  CallRecord *One = this->findCall(Id);
  if (!One || One->Phase != State::Running)
    return;
  Error Why = One->ConnectionError.value_or(Error());
  this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
  One->Phase = State::Finished;
  this->abortCall(
      Id, *One, makeRefusal(Outcome::Unknown, Reason, Why.Step, Why.Peer), Now);
}

} // namespace hickorylift
