#include "gate/CrashDetector.h"

// A lost answer, a connection that was reset because the upstream is
// overloaded, and a crash look alike to a single call: its connection ends.
// They differ in what happens to the port. So the first run that loses its
// connection requests a new connection as a probe. If that is refused, the
// process is gone together with all that it ran. Runs whose own connections
// haven't ended yet are counted with the same crash, once.

namespace hickorylift {

std::optional<CrashDetector::Run> CrashDetector::takeRun(const CallId &Id) {
  auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return std::nullopt;
  Run Taken = Found->second;
  if (Taken.IsSuspect &&
      --this->SuspectRunCounts[Taken.RequestFingerprint] == 0)
    this->SuspectRunCounts.erase(Taken.RequestFingerprint);
  this->Runs.erase(Found);
  return Taken;
}

void CrashDetector::runStarted(const CallId &Id,
                               const Fingerprint &RequestFingerprint,
                               bool IsSuspect) {
  this->takeRun(Id);
  this->Runs[Id] = {RequestFingerprint, IsSuspect};
  if (IsSuspect)
    ++this->SuspectRunCounts[RequestFingerprint];
}

// Several runs of the same request count as one suspect.
bool CrashDetector::hasOtherSuspect(
    const Fingerprint &RequestFingerprint) const {
  return this->SuspectRunCounts.size() >
         this->SuspectRunCounts.count(RequestFingerprint);
}

void CrashDetector::runAnswered(const CallId &Id, TimePoint Now) {
  std::optional<Run> Ended = this->takeRun(Id);
  if (!Ended)
    return;
  this->LastAnswered[Ended->RequestFingerprint] = Now;
  this->AnswersInOrder.emplace_back(Ended->RequestFingerprint, Now);
  if (this->AnswersInOrder.size() <= this->Opts.MaxRecentAnswers)
    return;
  auto [Oldest, AnsweredAt] = this->AnswersInOrder.front();
  this->AnswersInOrder.pop_front();
  if (auto Found = this->LastAnswered.find(Oldest);
      Found != this->LastAnswered.end() && Found->second == AnsweredAt)
    this->LastAnswered.erase(Found);
}

void CrashDetector::removeRun(const CallId &Id) { this->takeRun(Id); }

void CrashDetector::runCancelled(const CallId &Id, TimePoint Now) {
  std::optional<Run> Cancelled = this->takeRun(Id);
  while (!this->CancelledRuns.empty() &&
         Now - this->CancelledRuns.front().CancelledAt >
             this->Opts.CancelledRunGrace)
    this->CancelledRuns.pop_front();
  // A run during which the upstream crashed was already counted with that
  // crash.
  if (Cancelled && !Cancelled->UpstreamCrashed)
    this->CancelledRuns.push_back({Id, Cancelled->RequestFingerprint, Now});
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
  std::vector<CallId> BrokenRuns;
  for (const auto &[Id, CurrentRun] : this->Runs)
    if (CurrentRun.ConnectionLost)
      BrokenRuns.push_back(Id);
  for (const CallId &Id : BrokenRuns)
    this->takeRun(Id);
  return BrokenRuns;
}

std::vector<CallId> CrashDetector::upstreamAlive() {
  return this->takeBrokenRuns();
}

bool CrashDetector::wasAnsweredRecently(const Fingerprint &RequestFingerprint,
                                        TimePoint Now) const {
  auto Found = this->LastAnswered.find(RequestFingerprint);
  return Found != this->LastAnswered.end() &&
         Now - Found->second <= this->Opts.RecentAnswerWindow;
}

CrashDetector::Crash CrashDetector::upstreamCrashed(TimePoint Now) {
  Crash Result;
  for (auto &[Id, CurrentRun] : this->Runs) {
    bool IsSuspect =
        !CurrentRun.UpstreamCrashed &&
        !this->wasAnsweredRecently(CurrentRun.RequestFingerprint, Now);
    CurrentRun.UpstreamCrashed = true;
    if (IsSuspect)
      Result.Suspects.push_back(Id);
  }
  for (const CancelledRun &Cancelled : this->CancelledRuns)
    if (Now - Cancelled.CancelledAt <= this->Opts.CancelledRunGrace &&
        !this->wasAnsweredRecently(Cancelled.RequestFingerprint, Now))
      Result.Suspects.push_back(Cancelled.Id);
  this->CancelledRuns.clear();
  Result.BrokenRuns = this->takeBrokenRuns();
  return Result;
}

} // namespace hickorylift
