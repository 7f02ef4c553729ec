#include "routing/LoadBalancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

// ShortestExpectedTime selects the gate with the shortest expected time until
// the answer: the sum of the run time, the wait for a slot, the round-trip time
// and the cost of failures. The load of a gate is what it reported with its
// last answer, plus the calls that this entry has sent since. The load
// endpoints that upstreams publish are not used: they lag and mislead, while a
// gate knows its own slots. Reports lose weight with age: a queue soon changes,
// and the run time of a gate is assumed to return to the typical one, so that a
// gate which was slow is tried again.
//
// HotCold samples a few gates at random. Among those with capacity it selects
// the one with the shortest expected latency; if none has capacity, the one
// with the lowest share of its slots in use (the hot-cold rule of Prequal:
// Wydrowski et al., "Load is not what you should balance", NSDI 2024).
//
// Both compare a random sample instead of all gates, so that entries which
// receive the same reports do not all select the same gate.

namespace hickorylift {

namespace {

/// Returns the weight that a value of the given age has left.
double decayWeight(Clock::duration Age, Millis HalfLife) {
  return std::exp2(-std::chrono::duration<double>(Age) /
                   std::chrono::duration<double>(HalfLife));
}

} // namespace

// Share of the gate's slots in use, waiting calls included. Without a recent
// report it is the number of this entry's own calls there.
double LoadBalancer::utilization(const GateState &State, TimePoint Now) const {
  bool Fresh = State.LoadAt && Now - *State.LoadAt <= this->Opts.LoadMaxAge;
  if (!Fresh)
    return State.Outstanding;
  double Slots = std::max<uint32_t>(1, State.Load.slots());
  double Reported = State.Load.in_flight() + State.Load.queued();
  return std::max<double>(Reported, State.Outstanding) / Slots;
}

// Expected latency of a call that queues behind the calls which this entry has
// already sent to the gate.
double LoadBalancer::expectedLatency(const GateState &State,
                                     TimePoint Now) const {
  double Idle = std::chrono::duration<double>(Now - State.LatencyAt) /
                std::chrono::duration<double>(this->Opts.LatencyHalfLife);
  return State.MeanLatencyUs * std::exp2(-Idle) * (1 + State.Outstanding);
}

uint32_t LoadBalancer::outstanding(const std::string &Gate) const {
  auto Found = this->Gates.find(Gate);
  return Found == this->Gates.end() ? 0 : Found->second.Outstanding;
}

bool LoadBalancer::isEjected(const std::string &Gate, TimePoint Now) const {
  auto Found = this->Gates.find(Gate);
  return Found != this->Gates.end() && Now < Found->second.EjectedUntil;
}

bool LoadBalancer::isAvailable(const Instance &Gate, TimePoint Now) const {
  auto Found = this->Gates.find(Gate.Name);
  if (Gate.Leaving || Found == this->Gates.end())
    return !Gate.Leaving;
  const GateState &State = Found->second;
  return !State.Draining && Now >= State.UnreachableUntil &&
         Now >= State.EjectedUntil;
}

std::vector<const Instance *>
LoadBalancer::usableGates(const std::vector<const Instance *> &Upstreams,
                          const std::set<std::string> &Tried, TimePoint Now) {
  std::vector<const Instance *> Usable, Ejected;
  for (const Instance *Gate : Upstreams) {
    GateState &State = this->Gates[Gate->Name];
    // A list may arrive before the configuration that uses its gates.
    if (State.Place == 0)
      State.Place = this->Spillover.place(Gate->Service, Gate->DataCentre);
    if (Gate->Leaving || State.Draining || Tried.count(Gate->Name) ||
        Now < State.FullUntil || Now < State.UnreachableUntil)
      continue;
    (Now < State.EjectedUntil ? Ejected : Usable).push_back(Gate);
  }
  // A network failure looks like a failure of every gate. If more gates are
  // ejected than the bound allows, the ejections prove nothing about single
  // gates, and the ejected ones are used again.
  double Bound =
      this->Opts.MaxEjectedShare * static_cast<double>(Upstreams.size());
  if (static_cast<double>(Ejected.size()) > Bound || Usable.empty())
    Usable.insert(Usable.end(), Ejected.begin(), Ejected.end());
  return Usable;
}

// The gate of this node, if it is a candidate and not full; else null.
const Instance *
LoadBalancer::pickSelf(const std::vector<const Instance *> &Candidates,
                       TimePoint Now) {
  for (const Instance *Gate : Candidates)
    if (Gate->Name == this->Self &&
        this->utilization(this->Gates[Gate->Name], Now) <
            this->Opts.HotThreshold)
      return Gate;
  return nullptr;
}

const Instance *
LoadBalancer::pick(const std::vector<const Instance *> &Upstreams,
                   const std::set<std::string> &Tried, TimePoint Now,
                   const CallInfo &Call) {
  std::vector<const Instance *> Usable =
      this->usableGates(Upstreams, Tried, Now);
  if (Usable.empty())
    return nullptr;
  if (this->Opts.SelectionPolicy == Policy::ShortestExpectedTime)
    return this->pickShortestExpectedTime(
        Usable, this->wasRefusedLocally(Tried, Now), Call, Now);
  if (this->Opts.SelectionPolicy == Policy::HotCold)
    if (const Instance *OwnGate = this->pickSelf(Usable, Now))
      return OwnGate;
  std::vector<const Instance *> Local;
  for (const Instance *Gate : Usable)
    if (Gate->DataCentre == this->DataCentre)
      Local.push_back(Gate);
  return this->pickByPolicy(Local.empty() ? Usable : Local, Now);
}

const Instance *
LoadBalancer::pickByPolicy(std::vector<const Instance *> Candidates,
                           TimePoint Now) {
  switch (this->Opts.SelectionPolicy) {
  case Policy::Random:
    return Candidates[this->Random() % Candidates.size()];
  case Policy::RoundRobin:
    return Candidates[this->NextIndex[Candidates.front()->Service]++ %
                      Candidates.size()];
  case Policy::LeastLoaded:
    return *std::min_element(Candidates.begin(), Candidates.end(),
                             [&](const Instance *A, const Instance *B) {
                               return this->Gates[A->Name].Load.in_flight() <
                                      this->Gates[B->Name].Load.in_flight();
                             });
  case Policy::HotCold:
  case Policy::ShortestExpectedTime:
    break;
  }
  return this->pickHotCold(Candidates, Now);
}

const Instance *
LoadBalancer::pickHotCold(std::vector<const Instance *> &Candidates,
                          TimePoint Now) {
  size_t SampleSize = std::min(this->Opts.HotColdSampleSize, Candidates.size());
  const Instance *Best = nullptr;
  for (size_t I = 0; I < SampleSize; ++I) {
    std::swap(Candidates[I],
              Candidates[I + this->Random() % (Candidates.size() - I)]);
    if (!Best) {
      Best = Candidates[I];
      continue;
    }
    const GateState &Old = this->Gates[Best->Name];
    const GateState &New = this->Gates[Candidates[I]->Name];
    double OldUtilization = this->utilization(Old, Now);
    double NewUtilization = this->utilization(New, Now);
    bool OldHasCapacity = OldUtilization < this->Opts.HotThreshold;
    bool NewHasCapacity = NewUtilization < this->Opts.HotThreshold;
    bool Better = NewUtilization < OldUtilization;
    if (OldHasCapacity != NewHasCapacity)
      Better = NewHasCapacity;
    else if (OldHasCapacity)
      Better =
          this->expectedLatency(New, Now) < this->expectedLatency(Old, Now);
    if (Better)
      Best = Candidates[I];
  }
  return Best;
}

// The lowest latency factor of the candidates. Gates whose factor is unknown or
// old are assumed to be as fast. A mean would include the factor of the slow
// gate itself, and that gate would never be tried again.
double LoadBalancer::bestLatencyFactor(
    const std::vector<const Instance *> &Candidates) const {
  std::optional<double> Best;
  for (const Instance *Gate : Candidates) {
    auto Found = this->Gates.find(Gate->Name);
    if (Found == this->Gates.end() || Found->second.LatencyFactor == 0)
      continue;
    Best = Best ? std::min(*Best, Found->second.LatencyFactor)
                : Found->second.LatencyFactor;
  }
  return Best.value_or(1);
}

// A gate that receives the short calls of a service has short run times without
// being fast. Each run time is therefore compared with the usual one of its
// route. The run time is divided by the reported slowdown; otherwise the
// latency factor would keep calls away for seconds after the slowdown's end.
void LoadBalancer::recordRunTime(const std::string &Gate,
                                 const std::string &Route, Micros Length,
                                 TimePoint Now) {
  GateState &State = this->Gates[Gate];
  auto Took = static_cast<double>(Length.count()) / this->slowdown(State, Now);
  auto Usual = this->UsualRunTime.find(Route);
  if (Usual == this->UsualRunTime.end()) {
    if (this->UsualRunTime.size() >= this->Opts.MaxRoutes)
      return;
    Usual = this->UsualRunTime.emplace(Route, Took).first;
  }
  Usual->second += (Took - Usual->second) * this->Opts.RunTimeWeight;
  double Sample = Took / Usual->second;
  double Weight =
      std::max(this->Opts.LatencyFactorWeight,
               1 - decayWeight(Now - State.LatencyFactorAt,
                               this->Opts.LatencyFactorUpdateHalfLife));
  State.LatencyFactor =
      State.LatencyFactor == 0
          ? Sample
          : State.LatencyFactor + (Sample - State.LatencyFactor) * Weight;
  State.LatencyFactorAt = Now;
}

double LoadBalancer::failureRate(const GateState &State, TimePoint Now) const {
  return State.FailureRate *
         decayWeight(Now - State.FailureRateAt, this->Opts.FailureHalfLife);
}

// Slowdowns are short, so a report loses weight: without new reports, the gate
// is assumed to return to its usual speed.
void LoadBalancer::recordSlowdown(const std::string &Gate, uint32_t Percent,
                                  TimePoint Now) {
  if (!this->Opts.FollowSlowdowns || Percent == 0)
    return;
  GateState &State = this->Gates[Gate];
  State.Slowdown = Percent / 100.0;
  State.SlowdownAt = Now;
}

double LoadBalancer::slowdown(const GateState &State, TimePoint Now) const {
  return 1 + (State.Slowdown - 1) * decayWeight(Now - State.SlowdownAt,
                                                this->Opts.SlowdownHalfLife);
}

void LoadBalancer::recordRtt(const std::string &Gate, Micros Rtt,
                             TimePoint Now) {
  GateState &State = this->Gates[Gate];
  double Decayed =
      State.RttUs * decayWeight(Now - State.RttAt, this->Opts.RttHalfLife);
  double Newest = static_cast<double>(Rtt.count());
  State.RttUs = Decayed + (Newest - Decayed) * this->Opts.RttWeight;
  State.RttAt = Now;
}

void LoadBalancer::recordBodyTransfer(const std::string &Gate, Micros Took,
                                      TimePoint Now) {
  GateState &State = this->Gates[Gate];
  double Decayed = State.BodyRttUs *
                   decayWeight(Now - State.BodyRttAt, this->Opts.RttHalfLife);
  double Newest = static_cast<double>(Took.count());
  State.BodyRttUs = Decayed + (Newest - Decayed) * this->Opts.RttWeight;
  State.BodyRttAt = Now;
}

// A link that carries long bodies, or that other traffic fills, shows in late
// answers. The decayed round-trip time counts while it exceeds the minimum of
// the data centre.
double LoadBalancer::networkTime(const Instance &Gate, const GateState &State,
                                 const CallInfo &Call, TimePoint Now) const {
  if (Gate.Name == this->Self)
    return 0;
  double Measured =
      State.RttUs * decayWeight(Now - State.RttAt, this->Opts.RttHalfLife);
  if (Call.BodyBytes > this->Opts.LongBodyBytes)
    Measured = std::max(Measured,
                        State.BodyRttUs * decayWeight(Now - State.BodyRttAt,
                                                      this->Opts.RttHalfLife));
  if (Gate.DataCentre == this->DataCentre)
    return std::max(Measured,
                    static_cast<double>(this->Opts.MinLocalRtt.count()));
  constexpr double Kilobyte = 1024;
  return std::max(Measured,
                  static_cast<double>(this->Opts.MinRemoteRtt.count())) +
         this->Opts.RemoteTargetShare *
             static_cast<double>(Micros(Call.TargetLatency).count()) +
         static_cast<double>(this->Opts.RemoteCostPerKilobyte.count()) *
             static_cast<double>(Call.BodyBytes) / Kilobyte;
}

// Microseconds until the answer if the call were sent to the gate now,
// including the cost of failures, but not the network time.
double LoadBalancer::expectedTime(const Instance &Gate, const GateState &State,
                                  double BestFactor, const CallInfo &Call,
                                  TimePoint Now) const {
  Clock::duration Age =
      State.LoadAt ? Now - *State.LoadAt : Clock::duration::max() / 2;
  double Confidence = State.LatencyFactor > 0
                          ? decayWeight(Now - State.LatencyFactorAt,
                                        this->Opts.LatencyFactorHalfLife)
                          : 0;
  double Factor =
      State.LatencyFactor * Confidence + BestFactor * (1 - Confidence);
  auto Usual = this->UsualRunTime.find(Call.Route);
  double Run =
      Factor * (Usual == this->UsualRunTime.end()
                    ? static_cast<double>(this->Opts.InitialRunTime.count())
                    : Usual->second);
  // The calls ahead belong to any route, so the gate's mean run time counts.
  double RunAhead = State.Load.latency_us() > 0 ? State.Load.latency_us() : Run;
  double Slots = State.Load.slots() > 0 ? State.Load.slots()
                 : Gate.Slots > 0       ? Gate.Slots
                                        : this->Opts.InitialSlots;
  double Busy = (State.Load.in_flight() + State.Load.queued()) *
                    decayWeight(Age, this->Opts.QueueHalfLife) +
                State.SentSinceReport;
  Busy = std::max<double>(Busy, State.Outstanding);
  // After a few slow runs the gate's mean run time (RunAhead) shows the
  // slowdown by itself. Multiplying it again would count the slowdown twice.
  double Slowdown = this->slowdown(State, Now);
  RunAhead = std::max(RunAhead, std::min(RunAhead, Run) * Slowdown);
  double Wait = std::max(0.0, Busy + 1 - Slots) * RunAhead / Slots;
  Millis Cost = Call.TargetLatency.count() > 0 ? Call.TargetLatency
                                               : this->Opts.FailureCost;
  return Run * Slowdown + Wait +
         this->failureRate(State, Now) *
             static_cast<double>(Micros(Cost).count());
}

namespace {

/// Moves Count randomly drawn gates to the front.
void shuffleFirst(std::vector<const Instance *> &Gates, size_t Count,
                  std::mt19937_64 &Random) {
  for (size_t I = 0; I < Count; ++I)
    std::swap(Gates[I], Gates[I + Random() % (Gates.size() - I)]);
}

} // namespace

// Always includes the gate of this node, whose load is known best and which is
// reached without a network link. Then come random gates of the local data
// centre, and a few of remote ones.
std::vector<const Instance *>
LoadBalancer::sampleGates(const std::vector<const Instance *> &Candidates,
                          bool RefusedLocally, TimePoint Now) {
  std::vector<const Instance *> Sample, Local, Remote;
  RemoteGates RemoteGroups;
  for (const Instance *Gate : Candidates) {
    if (Gate->Name == this->Self)
      Sample.push_back(Gate);
    else if (Gate->DataCentre == this->DataCentre)
      Local.push_back(Gate);
    else if (this->Spillover.isEnabled())
      RemoteGroups.add(*Gate,
                       Gate->Slots > 0 ? Gate->Slots : this->Opts.InitialSlots);
    else
      Remote.push_back(Gate);
  }
  if (!RemoteGroups.empty())
    Remote = this->spilloverCandidates(
        Candidates.front()->Service, std::move(RemoteGroups),
        /*HasLocal=*/!Sample.empty() || !Local.empty(), RefusedLocally, Now);
  size_t Left = this->Opts.SampleSize - Sample.size();
  size_t RemoteCount = std::min(Remote.size(), this->Opts.RemoteSampleSize);
  size_t LocalCount = std::min(Local.size(), Left - RemoteCount);
  RemoteCount = std::min(Remote.size(), Left - LocalCount);
  shuffleFirst(Local, LocalCount, this->Random);
  shuffleFirst(Remote, RemoteCount, this->Random);
  Sample.insert(Sample.end(), Local.begin(), Local.begin() + LocalCount);
  Sample.insert(Sample.end(), Remote.begin(), Remote.begin() + RemoteCount);
  return Sample;
}

// Without a usable local gate, all remote gates are candidates, as they are
// while spillover is disabled.
std::vector<const Instance *>
LoadBalancer::spilloverCandidates(const std::string &Service,
                                  RemoteGates Remote, bool HasLocal,
                                  bool RefusedLocally, TimePoint Now) {
  using Reason = SpilloverController::Reason;
  this->RemoteReason = !HasLocal        ? Reason::NoLocalGate
                       : RefusedLocally ? Reason::LocalRefusal
                                        : Reason::LocalLoad;
  if (!HasLocal)
    return Remote.all();
  return this->Spillover.select(Service, std::move(Remote), RefusedLocally,
                                this->Random, Now);
}

bool LoadBalancer::wasRefusedLocally(const std::set<std::string> &Tried,
                                     TimePoint Now) const {
  return std::any_of(Tried.begin(), Tried.end(), [&](const std::string &Name) {
    auto Found = this->Gates.find(Name);
    return Found != this->Gates.end() && Found->second.RefusedAt &&
           this->Spillover.isLocal(Found->second.Place) &&
           this->Spillover.isRecentRefusal(Now - *Found->second.RefusedAt);
  });
}

const Instance *LoadBalancer::pickShortestExpectedTime(
    const std::vector<const Instance *> &Candidates, bool RefusedLocally,
    const CallInfo &Call, TimePoint Now) {
  double BestFactor = this->bestLatencyFactor(Candidates);
  std::vector<const Instance *> Sample =
      this->sampleGates(Candidates, RefusedLocally, Now);
  double LowestShed = this->lowestShedShare(Sample, Now);
  std::uniform_real_distribution<double> Jitter(1, 1 + this->Opts.JitterShare);
  const Instance *Best = nullptr;
  double BestTime = 0;
  for (const Instance *Gate : Sample) {
    const GateState &State = this->Gates[Gate->Name];
    double Time = this->expectedTime(*Gate, State, BestFactor, Call, Now) +
                  this->shedCost(State, LowestShed, Call, Now);
    Time = Time * Jitter(this->Random) +
           this->networkTime(*Gate, State, Call, Now);
    if (Best && Time >= BestTime)
      continue;
    Best = Gate;
    BestTime = Time;
  }
  if (Best->DataCentre == this->DataCentre)
    this->RemoteReason.reset();
  else if (this->RemoteReason)
    this->RemotePick = Best->Name;
  return Best;
}

// The share of each gate is compared with the lowest one of the sample and not
// with zero, so that nothing changes while all gates of a service shed alike.
// Gates without a recent report are left out.
double
LoadBalancer::lowestShedShare(const std::vector<const Instance *> &Sample,
                              TimePoint Now) const {
  std::optional<double> Lowest;
  for (const Instance *Gate : Sample) {
    auto Found = this->Gates.find(Gate->Name);
    if (Found == this->Gates.end() || !Found->second.ShedShareAt ||
        Now - *Found->second.ShedShareAt > this->Opts.ShedMaxAge)
      continue;
    double Share = Found->second.ShedShare;
    Lowest = Lowest ? std::min(*Lowest, Share) : Share;
  }
  return Lowest.value_or(0);
}

// Microseconds that a call is expected to lose because the gate's upstream
// sheds more calls than others do.
double LoadBalancer::shedCost(const GateState &State, double LowestShare,
                              const CallInfo &Call, TimePoint Now) const {
  if (!State.ShedShareAt)
    return 0;
  double Difference =
      (State.ShedShare - LowestShare) *
      decayWeight(Now - *State.ShedShareAt, this->Opts.ShedHalfLife);
  if (Difference < this->Opts.MinShedDifference)
    return 0;
  Millis Cost = Call.TargetLatency.count() > 0 ? Call.TargetLatency
                                               : this->Opts.FailureCost;
  return Difference * static_cast<double>(Micros(Cost).count());
}

void LoadBalancer::recordShedding(const std::string &Gate, uint32_t ShedPercent,
                                  TimePoint Now) {
  constexpr double Hundred = 100;
  GateState &State = this->Gates[Gate];
  State.ShedShare = std::min(1.0, ShedPercent / Hundred);
  State.ShedShareAt = Now;
}

std::optional<Micros>
LoadBalancer::usualRunTime(const std::string &Route) const {
  auto Usual = this->UsualRunTime.find(Route);
  if (Usual == this->UsualRunTime.end())
    return std::nullopt;
  return Micros(static_cast<int64_t>(Usual->second));
}

void LoadBalancer::recordStart(const std::string &Gate) {
  if (this->RemoteReason && this->RemotePick == Gate)
    this->Spillover.countSent(*std::exchange(this->RemoteReason, std::nullopt));
  ++this->Gates[Gate].Outstanding;
  ++this->Gates[Gate].SentSinceReport;
}

void LoadBalancer::recordOutcome(const std::string &Gate, bool Failure,
                                 TimePoint Now) {
  GateState &State = this->Gates[Gate];
  State.FailureRate =
      this->failureRate(State, Now) * (1 - this->Opts.FailureWeight) +
      (Failure ? this->Opts.FailureWeight : 0);
  State.FailureRateAt = Now;
}

void LoadBalancer::recordEnd(const std::string &Gate, bool Answered,
                             Clock::duration Took, TimePoint Now) {
  GateState &State = this->Gates[Gate];
  if (State.Outstanding > 0)
    --State.Outstanding;
  if (!Answered) {
    this->recordOutcome(Gate, /*Failure=*/true, Now);
    if (++State.ConsecutiveFailures >= this->Opts.EjectAfter) {
      State.EjectedUntil = Now + this->Opts.EjectFor;
      // After the ejection the gate starts without recorded failures, or it
      // would not be selected again.
      State.FailureRate = 0;
    }
    return;
  }
  State.ConsecutiveFailures = 0;
  double Us = std::chrono::duration<double, std::micro>(Took).count();
  double Weight = State.MeanLatencyUs == 0 ? 1 : this->Opts.LatencyWeight;
  State.MeanLatencyUs = State.MeanLatencyUs * (1 - Weight) + Us * Weight;
  State.LatencyAt = Now;
}

void LoadBalancer::recordLoad(const std::string &Gate, const wire::Load &Load,
                              TimePoint Now) {
  GateState &State = this->Gates[Gate];
  std::optional<Clock::duration> SinceLast;
  if (State.LoadAt)
    SinceLast = Now - *State.LoadAt;
  this->Spillover.recordLoad(State.Place, Load, SinceLast, Now);
  State.Load = Load;
  State.LoadAt = Now;
  State.SentSinceReport = 0;
}

void LoadBalancer::recordRefusal(const std::string &Gate, Millis RetryAfter,
                                 TimePoint Now) {
  GateState &State = this->Gates[Gate];
  Micros UntilSlotFree(State.Load.latency_us() /
                       std::max<uint32_t>(1, State.Load.slots()));
  Micros Backoff = std::clamp<Micros>(UntilSlotFree, this->Opts.MinFullBackoff,
                                      this->Opts.MaxFullBackoff);
  State.FullUntil = Now + std::max<Micros>(Backoff, RetryAfter);
  State.RefusedAt = Now;
}

void LoadBalancer::recordReserveRefusal(const std::string &Gate,
                                        TimePoint Now) {
  this->Gates[Gate].RefusedAt = Now;
}

void LoadBalancer::markUnreachable(const std::string &Gate, TimePoint Now) {
  this->Gates[Gate].UnreachableUntil = Now + this->Opts.EjectFor;
}

void LoadBalancer::markReachable(const std::string &Gate) {
  this->Gates[Gate].UnreachableUntil = TimePoint();
}

void LoadBalancer::markDraining(const std::string &Gate) {
  this->Gates[Gate].Draining = true;
}

void LoadBalancer::clearDraining(const std::string &Gate) {
  this->Gates[Gate].Draining = false;
}

void LoadBalancer::updateInstance(const Instance &Gate) {
  GateState &State = this->Gates[Gate.Name];
  std::pair<std::string, uint64_t> UpstreamStart(Gate.Upstream,
                                                 Gate.Incarnation);
  if (State.UpstreamStart && *State.UpstreamStart != UpstreamStart) {
    GateState Fresh;
    Fresh.Outstanding = State.Outstanding;
    State = Fresh;
  }
  // A gate announces only over its open links that it accepts calls again.
  // Entries without a link would otherwise leave it out for good.
  bool Reopened = !State.Listed || (State.Leaving && !Gate.Leaving);
  State.Draining &= !Reopened;
  State.UpstreamStart = UpstreamStart;
  State.Place = this->Spillover.place(Gate.Service, Gate.DataCentre);
  State.Listed = true;
  State.Leaving = Gate.Leaving;
}

void LoadBalancer::retainOnly(const std::set<std::string> &Listed) {
  std::erase_if(this->Gates, [&](const auto &NamedState) {
    return !Listed.count(NamedState.first) &&
           NamedState.second.Outstanding == 0;
  });
  std::set<SpilloverController::PlaceId> Places;
  for (auto &[Name, State] : this->Gates) {
    State.Listed = Listed.count(Name) != 0;
    Places.insert(State.Place);
  }
  this->Spillover.retainOnly(Places);
}

std::optional<Millis>
LoadBalancer::shortestRetryAfter(const std::vector<const Instance *> &Upstreams,
                                 TimePoint Now) const {
  std::optional<Millis> Shortest;
  for (const Instance *Gate : Upstreams) {
    auto Found = this->Gates.find(Gate->Name);
    if (Found == this->Gates.end() || Found->second.FullUntil <= Now)
      continue;
    Millis Wait = toMillis(Found->second.FullUntil - Now);
    Shortest = Shortest ? std::min(*Shortest, Wait) : Wait;
  }
  return Shortest;
}

} // namespace hickorylift
