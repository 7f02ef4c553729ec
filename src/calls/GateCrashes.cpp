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
  One.Print =
      fingerprintOf(this->Opts.Service, One.Head,
                    findHeader(One.Head.Headers, this->Opts.Names.Customer),
                    Whole && One.Head.Length > 0 ? One.EarlyBody : "");
  Quarantine::Verdict Known = this->Hook.Judge(One.Print, Now);
  One.Suspected = Known.What != Quarantine::Standing::Free || One.Crashes != 0;
  bool Held = Known.What == Quarantine::Standing::Held;
  bool Beside = One.Suspected && this->Watch.hasSuspect();
  if (!Held && !Beside)
    return true;
  Refusal Why =
      makeRefusal(Outcome::NotRun, Held ? "quarantined" : "beside-suspect",
                  StepAdmission, this->Opts.Self);
  Why.RetryAfter = Held ? Known.ComeBack : this->Opts.SuspectComeBack;
  this->refuse(Id, One, std::move(Why), Now);
  return false;
}

// A leaving upstream ends by itself, and its port with it; that is no crash.
void Gate::connectionEnded(const CallId &Id, Call &One, const Error &Why,
                           TimePoint Now) {
  One.Broken = Why;
  switch (this->Watch.broke(Id, Now)) {
  case RunWatch::Next::Probe:
    return this->Hook.Probe();
  case RunWatch::Next::Wait:
    return;
  case RunWatch::Next::Crashed:
    this->failBroken(Id, UpstreamCrashed, Now);
    return this->pump(Now);
  }
}

void Gate::upstreamProbed(bool Listening, TimePoint Now) {
  if (Listening) {
    for (const CallId &Id : this->Watch.settle())
      this->failBroken(Id, UpstreamClosed, Now);
    return this->pump(Now);
  }
  RunWatch::Crash Of = this->Watch.crashed(Now);
  std::vector<Quarantine::Ran> Ran;
  for (const CallId &Id : Of.Suspects)
    if (const Call *One = this->find(Id))
      Ran.push_back({One->Print, describeRequest(One->Head)});
  if (!this->draining() && !Ran.empty())
    this->Hook.Crashed(Ran, Now);
  for (const CallId &Id : Of.Broken)
    this->failBroken(Id, UpstreamCrashed, Now);
  this->pump(Now);
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
