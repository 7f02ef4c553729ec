#include "gate/RunWatch.h"

// An answer that is lost, a connection that is reset because the upstream is
// full, and a crash look alike to one call: its connection ends. They differ in
// what becomes of the port. So the first run that breaks asks for a connection;
// if that is refused, the process is gone, and with it all that it ran. Runs
// whose own connections have not ended yet are counted with the same crash,
// once.

namespace hickorylift {

std::optional<RunWatch::Run> RunWatch::take(const CallId &Id) {
  auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return std::nullopt;
  Run Out = Found->second;
  if (Out.Suspected && --this->Suspects[Out.Of] == 0)
    this->Suspects.erase(Out.Of);
  this->Runs.erase(Found);
  return Out;
}

void RunWatch::started(const CallId &Id, const Fingerprint &Of,
                       bool Suspected) {
  this->take(Id);
  this->Runs[Id] = {Of, Suspected};
  if (Suspected)
    ++this->Suspects[Of];
}

// Two runs of one request point at the same one.
bool RunWatch::hasOtherSuspect(const Fingerprint &Than) const {
  return this->Suspects.size() > this->Suspects.count(Than);
}

void RunWatch::answered(const CallId &Id, TimePoint Now) {
  std::optional<Run> Was = this->take(Id);
  if (!Was)
    return;
  this->Good[Was->Of] = Now;
  this->GoodInOrder.emplace_back(Was->Of, Now);
  if (this->GoodInOrder.size() <= this->Opts.MaxGood)
    return;
  auto [Oldest, At] = this->GoodInOrder.front();
  this->GoodInOrder.pop_front();
  if (auto Found = this->Good.find(Oldest);
      Found != this->Good.end() && Found->second == At)
    this->Good.erase(Found);
}

void RunWatch::forget(const CallId &Id) { this->take(Id); }

void RunWatch::cancelled(const CallId &Id, TimePoint Now) {
  std::optional<Run> Was = this->take(Id);
  while (!this->BrokenOff.empty() &&
         Now - this->BrokenOff.front().At > this->Opts.CancelledCounts)
    this->BrokenOff.pop_front();
  // One that broke is counted with the crash, or was not one's.
  if (Was && !Was->Crashed)
    this->BrokenOff.push_back({Id, Was->Of, Now});
}

RunWatch::Next RunWatch::broke(const CallId &Id, TimePoint Now) {
  auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end() || Found->second.Crashed) {
    this->take(Id);
    return Next::Crashed;
  }
  Found->second.Broken = true;
  if (this->ProbedAt)
    return Next::Wait;
  this->ProbedAt = Now;
  return Next::Probe;
}

bool RunWatch::isProbeLate(TimePoint Now) const {
  return this->ProbedAt && Now - *this->ProbedAt > this->Opts.ProbeLimit;
}

std::vector<CallId> RunWatch::takeBroken() {
  this->ProbedAt.reset();
  std::vector<CallId> Out;
  for (const auto &[Id, One] : this->Runs)
    if (One.Broken)
      Out.push_back(Id);
  for (const CallId &Id : Out)
    this->take(Id);
  return Out;
}

std::vector<CallId> RunWatch::settle() { return this->takeBroken(); }

bool RunWatch::isGood(const Fingerprint &Of, TimePoint Now) const {
  auto Found = this->Good.find(Of);
  return Found != this->Good.end() && Now - Found->second <= this->Opts.GoodFor;
}

RunWatch::Crash RunWatch::crashed(TimePoint Now) {
  Crash Out;
  for (auto &[Id, One] : this->Runs) {
    bool Counts = !One.Crashed && !this->isGood(One.Of, Now);
    One.Crashed = true;
    if (Counts)
      Out.Suspects.push_back(Id);
  }
  for (const Cancelled &One : this->BrokenOff)
    if (Now - One.At <= this->Opts.CancelledCounts &&
        !this->isGood(One.Of, Now))
      Out.Suspects.push_back(One.Id);
  this->BrokenOff.clear();
  Out.Broken = this->takeBroken();
  return Out;
}

} // namespace hickorylift
