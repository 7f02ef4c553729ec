#include "calls/Gate.h"

#include <set>

// Reports of how long the upstream's runs take at this moment. Entries receive
// the value with each answer, refusal and pong. An upstream that has just
// become slow sends few answers, so the gate sends a pong to the entries whose
// calls run there.

namespace hickorylift {

// A run whose request body is still arriving is not measured: how long it takes
// depends on its caller and the network.
void Gate::noteRunStarted(const CallId &Id, const CallRecord &Call,
                          TimePoint Now) {
  bool BodyComplete = Call.Request.Length == 0 || Call.RequestBody.ended();
  if (this->Opts.ReportSlowdown && BodyComplete)
    this->Slowdowns.runStarted(Id, Call.SlotRequest.Kind, Now);
}

void Gate::noteRunEnded(const CallId &Id, SlowdownDetector::RunEnd End,
                        TimePoint Now) {
  if (!this->Opts.ReportSlowdown)
    return;
  this->Slowdowns.runEnded(Id, End, Now);
  this->checkSlowdown(/*Retry=*/false, Now);
}

uint32_t Gate::slowdownPercent(TimePoint Now) {
  return this->Opts.ReportSlowdown ? this->Slowdowns.percent(Now) : 0;
}

uint32_t Gate::reportSlowdown(LinkId Link, TimePoint Now) {
  uint32_t Percent = this->slowdownPercent(Now);
  auto Found = this->Links.find(Link);
  if (Percent != 0 && Found != this->Links.end())
    Found->second.ReportedSlow = Percent > this->Opts.SlowPercent;
  return Percent;
}

// An unknown value leaves the state as it is: with few runs the upstream has
// neither become slow nor recovered. Retry: also sends the pongs that
// SlowdownPongInterval has deferred.
void Gate::checkSlowdown(bool Retry, TimePoint Now) {
  uint32_t Percent = this->slowdownPercent(Now);
  if (Percent == 0)
    return;
  bool Slow = Percent > this->Opts.SlowPercent;
  bool Changed = std::exchange(this->UpstreamSlow, Slow) != Slow;
  if (Changed)
    this->Hook.SlowdownChanged(Slow, Percent, Now);
  if (Changed || Retry)
    this->announceSlowdown(Now);
}

void Gate::announceSlowdown(TimePoint Now) {
  std::set<LinkId> Concerned;
  for (const CallId &Id : this->Slowdowns.runsUnderWay())
    if (const CallRecord *Call = this->findCall(Id); Call && Call->Linked)
      Concerned.insert(Call->Link);
  for (LinkId Link : Concerned) {
    auto Found = this->Links.find(Link);
    if (Found == this->Links.end() ||
        Found->second.ReportedSlow == this->UpstreamSlow ||
        (Found->second.SlowdownPongAt &&
         Now - *Found->second.SlowdownPongAt < this->Opts.SlowdownPongInterval))
      continue;
    Found->second.SlowdownPongAt = Now;
    ++this->Counts.SlowdownPongs;
    this->sendPong(Link, /*Nonce=*/0, Now);
  }
}

// The upstream was started again, or another one has taken its place.
void Gate::forgetSlowdown(TimePoint Now) {
  this->Slowdowns.upstreamRestarted();
  if (std::exchange(this->UpstreamSlow, false))
    this->Hook.SlowdownChanged(/*Slow=*/false, /*Percent=*/0, Now);
}

} // namespace hickorylift
