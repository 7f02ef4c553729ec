#include "calls/Gate.h"

// Handling of requests that crash the upstream. Before a call starts, the gate
// checks whether its request is quarantined or suspected. When the connection
// of a running call ends, the gate probes whether the upstream still accepts
// connections. Until the result is known, a moment later, the call still counts
// as running. If it were failed at once, its entry could send it on to the next
// upstream before it is known that it may have crashed this one.

namespace hickorylift {

namespace {

const char UpstreamCrashed[] = "upstream-crashed";
const char UpstreamClosed[] = "upstream-closed";

} // namespace

// Returns whether the call may start now. If not, the call has been refused.
bool Gate::checkQuarantine(const CallId &Id, CallRecord &Call, TimePoint Now) {
  bool BodyComplete = Call.Request.Length <= 0 || Call.RequestBody.ended();
  Call.RequestFingerprint = computeFingerprint(
      Call.Request,
      findHeader(Call.Request.Headers, this->Opts.HeaderNames.Customer),
      BodyComplete && Call.Request.Length > 0 ? Call.BufferedBody : "");
  Quarantine::Decision Decision =
      this->Hook.CheckQuarantine(Call.RequestFingerprint, Now);
  Call.Suspected = Decision.RequestStatus != Quarantine::Status::Free ||
                   Call.CrashCount != 0;
  bool Quarantined = Decision.RequestStatus == Quarantine::Status::Quarantined;
  bool OtherSuspectRuns =
      Call.Suspected && this->Runs.hasOtherSuspect(Call.RequestFingerprint);
  if (!Quarantined && !OtherSuspectRuns)
    return true;
  Refusal Details = makeRefusal(Outcome::NotRun,
                                Quarantined ? "quarantined" : "beside-suspect",
                                StepAdmission, this->Opts.Self);
  Details.RetryAfter =
      Quarantined ? Decision.RetryAfter : this->Opts.SuspectRetryAfter;
  this->refuse(Id, Call, std::move(Details), Now);
  return false;
}

void Gate::onConnectionLost(const CallId &Id, CallRecord &Call,
                            const Error &Cause, TimePoint Now) {
  Call.ConnectionError = Cause;
  switch (this->Runs.connectionLost(Id, Now)) {
  case CrashDetector::Action::Probe:
    return this->startProbe();
  case CrashDetector::Action::Wait:
    return;
  case CrashDetector::Action::AlreadyCrashed:
    this->failDisconnected(Id, UpstreamCrashed, Now);
    return this->advanceQueue(Now);
  }
}

void Gate::upstreamProbed(UpstreamProbeResult Probed, TimePoint Now) {
  this->ProbePending = false;
  this->ProbeAgain = Probed == UpstreamProbeResult::Inconclusive;
  if (this->ProbeAgain)
    return;
  if (Probed == UpstreamProbeResult::Open) {
    for (const CallId &Id : this->Runs.upstreamAlive())
      this->failDisconnected(Id, UpstreamClosed, Now);
    this->markUpstreamBack(Now);
    return this->advanceQueue(Now);
  }
  CrashDetector::Crash Crash = this->Runs.upstreamCrashed(Now);
  std::vector<Quarantine::RunningRequest> Requests;
  for (const CallId &Id : Crash.Suspects)
    if (const CallRecord *Call = this->findCall(Id))
      Requests.push_back(
          {Call->RequestFingerprint, describeRequest(Call->Request)});
  // No request is to blame if the upstream was leaving, because then it ends by
  // itself, or if it was cold and received more calls than it can handle, which
  // ends it whatever the requests are.
  bool Explained =
      this->draining() || this->AdmissionControl.coldStart().isOverLimit(Now);
  if (!Explained && !Requests.empty())
    this->Hook.UpstreamCrashed(Requests, Now);
  for (const CallId &Id : Crash.BrokenRuns)
    this->failDisconnected(Id, UpstreamCrashed, Now);
  this->markUpstreamGone(Now);
  this->advanceQueue(Now);
}

// The instance list still names an upstream for seconds after it is gone. Until
// then, every entry that has not tried this gate yet would send it calls. Calls
// used up their offers at such gates and were refused although other gates had
// capacity. So every entry with a link is notified at once, and again when the
// upstream accepts connections.
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
  this->forgetSlowdown(Now);
  this->forgetStatement(Now);
  this->suspectRestart(Now);
  this->Shedding.upstreamRestarted();
  this->announceState(Now);
}

void Gate::reprobeIfDue(TimePoint Now) {
  if (this->Runs.isProbeOverdue(Now))
    return this->upstreamProbed(UpstreamProbeResult::Open, Now);
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
  CallRecord *Call = this->findCall(Id);
  if (!Call || Call->Phase != State::Running)
    return;
  Error Cause = Call->ConnectionError.value_or(Error());
  this->AdmissionControl.finished(Id, /*Answered=*/false, Now);
  Call->Phase = State::Finished;
  this->abortCall(Id, *Call,
                  makeRefusal(Outcome::Unknown, Reason, Cause.Step, Cause.Peer),
                  Now);
}

} // namespace hickorylift
