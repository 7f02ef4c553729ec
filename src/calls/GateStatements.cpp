#include "calls/Gate.h"

#include <algorithm>
#include <cmath>

// What the upstream states about itself in its answers: the rate of calls that
// it takes, and that it is leaving. Every call passes through this gate, so the
// gate alone keeps to it.
//
// A statement belongs to one start of the upstream and holds until an answer
// states something else. A gate whose process starts again knows nothing of it,
// and its first calls would exceed the rate before an answer arrives. So each
// entry repeats the last statement that it has passed on in the first frame of
// its link, and the gate believes it until it has read an answer itself.
//
// That the upstream is leaving holds for the whole start and closes the gate.
// Nothing is sent to it from then on, so no later answer could withdraw it; an
// answer without the statement that arrives afterwards belongs to a call that
// was running. The instance list may go on naming the upstream, and its health
// endpoint may be wrong, so neither opens the gate.

namespace hickorylift {

void Gate::noteStatement(const ResponseHead &Head, TimePoint Now) {
  const Dialect &Names = this->Opts.HeaderNames;
  bool IsAnswer = Names.UpstreamMark.empty() ||
                  !findHeader(Head.Headers, Names.UpstreamMark).empty();
  // A refusal without a statement doesn't end one: an upstream that is full
  // answers in few words.
  bool StatesNothing = !IsAnswer && !hasStatement(Head.Headers, Names);
  if (StatesNothing || !this->Opts.Guards.HeedStatements)
    return;
  std::string Fault;
  UpstreamStatement New =
      readStatement(Head.Headers, Names, this->Stated, Fault);
  if (!Fault.empty())
    this->Hook.StatementUnreadable(Fault, Now);
  this->HeardUpstream = true;
  this->RememberedStart.reset();
  New.Leaving |= this->Stated.Leaving;
  this->setStatement(New, Now);
}

void Gate::setStatement(const UpstreamStatement &New, TimePoint Now) {
  this->AdmissionControl.statedRate().setRate(New.CallsPerSecond, Now);
  UpstreamStatement Before = std::exchange(this->Stated, New);
  if (Before == New)
    return;
  // The hook reports what the gate holds when it closes.
  if (Before.Leaving && !New.Leaving)
    this->reopen(DrainedByStatement, Now);
  this->Hook.StatementChanged(Before, New, Now);
  if (New.Leaving && !Before.Leaving)
    this->drain(DrainedByStatement, Now);
}

// The upstream was started again, or another one has taken its place.
void Gate::forgetStatement(TimePoint Now) {
  this->HeardUpstream = false;
  this->RememberedStart.reset();
  this->AdmissionControl.statedRate().upstreamRestarted();
  this->setStatement(UpstreamStatement(), Now);
}

// Where the list tells the starts of an upstream apart, a statement outlives a
// gap in the list: an entry may expire while its upstream lives. Otherwise only
// the gap shows that the upstream has been replaced.
void Gate::forgetUnlistedUpstream(const std::vector<const Instance *> &Listed,
                                  TimePoint Now) {
  bool HasIdentity =
      this->ListedInstance && (!this->ListedInstance->Upstream.empty() ||
                               this->ListedInstance->Incarnation != 0);
  bool IsListed =
      std::any_of(Listed.begin(), Listed.end(), [this](const Instance *Of) {
        return Of->Name == this->Opts.Self;
      });
  if (!this->ListedInstance || HasIdentity || IsListed)
    return;
  this->ListedInstance.reset();
  this->forgetStatement(Now);
}

// Of several entries, the one with the lowest rate is believed: what the others
// remember may be older, and an answer corrects it soon.
void Gate::takeRemembered(const wire::CallHelloT &Hello, TimePoint Now) {
  std::pair<std::string, uint64_t> Start(Hello.upstream,
                                         Hello.upstream_incarnation);
  bool IsOtherStart = this->ListedInstance &&
                      (this->ListedInstance->Upstream != Start.first ||
                       this->ListedInstance->Incarnation != Start.second);
  bool StatesSomething = Hello.stated_rate || Hello.stated_leaving;
  if (this->HeardUpstream || IsOtherStart || !StatesSomething)
    return;
  UpstreamStatement New = this->Stated;
  if (Hello.stated_rate)
    New.CallsPerSecond =
        std::min(New.CallsPerSecond.value_or(HUGE_VAL), *Hello.stated_rate);
  New.Leaving |= Hello.stated_leaving;
  this->RememberedStart = Start;
  this->setStatement(New, Now);
}

} // namespace hickorylift
