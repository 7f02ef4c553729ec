#include "gate/CrashDetector.h"

// An answer that is lost, a connection that is reset because the upstream is
// full, and a crash look alike to one call: its connection ends. They differ in
// what becomes of the port. So the first run that breaks asks for a connection;
// if that is refused, the process is gone, and with it all that it ran. Runs
// whose own connections have not ended yet are counted with the same crash,
// once.

namespace hickorylift {

std::optional<CrashDetector::Run> CrashDetector::takeRun(const CallId &Id) {
  auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return std::nullopt;
  Run Out = Found->second;
  if (Out.Suspected && --this->SuspectRunCounts[Out.RequestFingerprint] == 0)
    this->SuspectRunCounts.erase(Out.RequestFingerprint);
  this->Runs.erase(Found);
  return Out;
}

void CrashDetector::runStarted(const CallId &Id, const Fingerprint &Of,
                               bool Suspected) {
  this->takeRun(Id);
  this->Runs[Id] = {Of, Suspected};
  if (Suspected)
    ++this->SuspectRunCounts[Of];
}

// Two runs of one request point at the same one.
bool CrashDetector::hasOtherSuspect(const Fingerprint &Than) const {
  return this->SuspectRunCounts.size() > this->SuspectRunCounts.count(Than);
}

void CrashDetector::runAnswered(const CallId &Id, TimePoint Now) {
  std::optional<Run> Was = this->takeRun(Id);
  if (!Was)
    return;
  this->LastAnswered[Was->RequestFingerprint] = Now;
  this->AnswersInOrder.emplace_back(Was->RequestFingerprint, Now);
  if (this->AnswersInOrder.size() <= this->Opts.MaxRecentAnswers)
    return;
  auto [Oldest, At] = this->AnswersInOrder.front();
  this->AnswersInOrder.pop_front();
  if (auto Found = this->LastAnswered.find(Oldest);
      Found != this->LastAnswered.end() && Found->second == At)
    this->LastAnswered.erase(Found);
}

void CrashDetector::removeRun(const CallId &Id) { this->takeRun(Id); }

void CrashDetector::runCancelled(const CallId &Id, TimePoint Now) {
  std::optional<Run> Was = this->takeRun(Id);
  while (!this->CancelledRuns.empty() &&
         Now - this->CancelledRuns.front().CancelledAt >
             this->Opts.CancelledRunGrace)
    this->CancelledRuns.pop_front();
  // One that broke is counted with the crash, or was not one's.
  if (Was && !Was->UpstreamCrashed)
    this->CancelledRuns.push_back({Id, Was->RequestFingerprint, Now});
}

CrashDetector::Action CrashDetector::connectionLost(const CallId &Id,
                                                    TimePoint Now) {
  auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end() || Found->second.UpstreamCrashed) {
    this->takeRun(Id);
    return Action::AlreadyCrashed;
  }
  Found->second.ConnectionLost = true;
  if (this->ProbedAt)
    return Action::Wait;
  this->ProbedAt = Now;
  return Action::Probe;
}

bool CrashDetector::isProbeOverdue(TimePoint Now) const {
  return this->ProbedAt && Now - *this->ProbedAt > this->Opts.ProbeTimeout;
}

std::vector<CallId> CrashDetector::takeBrokenRuns() {
  this->ProbedAt.reset();
  std::vector<CallId> Out;
  for (const auto &[Id, One] : this->Runs)
    if (One.ConnectionLost)
      Out.push_back(Id);
  for (const CallId &Id : Out)
    this->takeRun(Id);
  return Out;
}

std::vector<CallId> CrashDetector::upstreamAlive() {
  return this->takeBrokenRuns();
}

bool CrashDetector::wasAnsweredRecently(const Fingerprint &Of,
                                        TimePoint Now) const {
  auto Found = this->LastAnswered.find(Of);
  return Found != this->LastAnswered.end() &&
         Now - Found->second <= this->Opts.RecentAnswerWindow;
}

CrashDetector::Crash CrashDetector::upstreamCrashed(TimePoint Now) {
  Crash Out;
  for (auto &[Id, One] : this->Runs) {
    bool Counts = !One.UpstreamCrashed &&
                  !this->wasAnsweredRecently(One.RequestFingerprint, Now);
    One.UpstreamCrashed = true;
    if (Counts)
      Out.Suspects.push_back(Id);
  }
  for (const CancelledRun &One : this->CancelledRuns)
    if (Now - One.CancelledAt <= this->Opts.CancelledRunGrace &&
        !this->wasAnsweredRecently(One.RequestFingerprint, Now))
      Out.Suspects.push_back(One.Id);
  this->CancelledRuns.clear();
  Out.BrokenRuns = this->takeBrokenRuns();
  return Out;
}

} // namespace hickorylift
