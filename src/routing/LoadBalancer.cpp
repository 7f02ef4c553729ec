#include "routing/LoadBalancer.h"

#include <algorithm>
#include <cmath>

// Soonest takes the gate from which the answer is expected first: its run time,
// the wait for a slot, the way, and what its failures cost. The load is what
// the gate wrote on its last answer, plus what this entry has sent since: the
// load endpoints that upstreams publish lag and mislead, and a gate knows its
// own slots. What is known grows old: a queue is soon another, and a run time
// drifts back to what is typical, so that a gate which was slow is tried again.
//
// Hot draws a few gates at random; among those with room the one that promises
// the shortest wait is taken, and if none has room the one with the least share
// of its slots in use (the hot-cold rule of Prequal: Wydrowski et al., "Load is
// not what you should balance", NSDI 2024).
//
// Drawing a few, and not looking for the best of all, keeps entries that learn
// the same from running to the same gate together.

namespace hickorylift {

namespace {

/// The weight that something of that age still has.
double halved(Clock::duration Age, Millis HalfLife) {
  return std::exp2(-std::chrono::duration<double>(Age) /
                   std::chrono::duration<double>(HalfLife));
}

} // namespace

double LoadBalancer::share(const State &Of, TimePoint Now) const {
  bool Fresh = Of.LoadAt && Now - *Of.LoadAt <= this->Opts.LoadMaxAge;
  if (!Fresh)
    return Of.Outstanding;
  double Slots = std::max<uint32_t>(1, Of.Load.slots());
  double Known = Of.Load.in_flight() + Of.Load.queued();
  return std::max<double>(Known, Of.Outstanding) / Slots;
}

// What a call there is expected to take, were it to queue behind those that
// this entry has out already.
double LoadBalancer::cost(const State &Of, TimePoint Now) const {
  double Idle = std::chrono::duration<double>(Now - Of.LatencyAt) /
                std::chrono::duration<double>(this->Opts.LatencyHalfLife);
  return Of.MeanLatencyUs * std::exp2(-Idle) * (1 + Of.Outstanding);
}

bool LoadBalancer::isEjected(const std::string &Gate, TimePoint Now) const {
  auto Found = this->Gates.find(Gate);
  return Found != this->Gates.end() && Now < Found->second.EjectedUntil;
}

bool LoadBalancer::isAvailable(const Instance &Gate, TimePoint Now) const {
  auto Found = this->Gates.find(Gate.Name);
  if (Gate.Leaving || Found == this->Gates.end())
    return !Gate.Leaving;
  const State &Of = Found->second;
  return !Of.Draining && Now >= Of.UnreachableUntil && Now >= Of.EjectedUntil;
}

std::vector<const Instance *>
LoadBalancer::usable(const std::vector<const Instance *> &Upstreams,
                     const std::set<std::string> &Tried, TimePoint Now) {
  std::vector<const Instance *> Open, Ejected;
  for (const Instance *One : Upstreams) {
    const State &Of = this->Gates[One->Name];
    if (One->Leaving || Of.Draining || Tried.count(One->Name) ||
        Now < Of.FullUntil || Now < Of.UnreachableUntil)
      continue;
    (Now < Of.EjectedUntil ? Ejected : Open).push_back(One);
  }
  // Failures of the network look like failures of every gate. If the bound is
  // passed the verdicts prove nothing, and the ejected are asked again.
  double Bound =
      this->Opts.MaxEjectedShare * static_cast<double>(Upstreams.size());
  if (static_cast<double>(Ejected.size()) > Bound || Open.empty())
    Open.insert(Open.end(), Ejected.begin(), Ejected.end());
  return Open;
}

const Instance *
LoadBalancer::pickOwn(const std::vector<const Instance *> &Among,
                      TimePoint Now) {
  for (const Instance *One : Among)
    if (One->Name == this->Self &&
        this->share(this->Gates[One->Name], Now) < this->Opts.HotThreshold)
      return One;
  return nullptr;
}

const Instance *
LoadBalancer::pick(const std::vector<const Instance *> &Upstreams,
                   const std::set<std::string> &Tried, TimePoint Now,
                   const CallInfo &For) {
  std::vector<const Instance *> Open = this->usable(Upstreams, Tried, Now);
  if (Open.empty())
    return nullptr;
  if (this->Opts.SelectionPolicy == Policy::ShortestExpectedTime)
    return this->pickSoonest(Open, For, Now);
  if (this->Opts.SelectionPolicy == Policy::HotCold)
    if (const Instance *Own = this->pickOwn(Open, Now))
      return Own;
  std::vector<const Instance *> Near;
  for (const Instance *One : Open)
    if (One->DataCentre == this->DataCentre)
      Near.push_back(One);
  return this->pickAmong(Near.empty() ? Open : Near, Now);
}

const Instance *LoadBalancer::pickAmong(std::vector<const Instance *> Among,
                                        TimePoint Now) {
  switch (this->Opts.SelectionPolicy) {
  case Policy::Random:
    return Among[this->Random() % Among.size()];
  case Policy::RoundRobin:
    return Among[this->NextInTurn[Among.front()->Service]++ % Among.size()];
  case Policy::LeastLoaded:
    return *std::min_element(Among.begin(), Among.end(),
                             [&](const Instance *A, const Instance *B) {
                               return this->Gates[A->Name].Load.in_flight() <
                                      this->Gates[B->Name].Load.in_flight();
                             });
  case Policy::HotCold:
  case Policy::ShortestExpectedTime:
    break;
  }
  return this->pickHot(Among, Now);
}

const Instance *LoadBalancer::pickHot(std::vector<const Instance *> &Among,
                                      TimePoint Now) {
  size_t Draw = std::min(this->Opts.HotColdSampleSize, Among.size());
  const Instance *Best = nullptr;
  for (size_t I = 0; I < Draw; ++I) {
    std::swap(Among[I], Among[I + this->Random() % (Among.size() - I)]);
    if (!Best) {
      Best = Among[I];
      continue;
    }
    const State &Old = this->Gates[Best->Name];
    const State &New = this->Gates[Among[I]->Name];
    double OldShare = this->share(Old, Now);
    double NewShare = this->share(New, Now);
    bool OldRoom = OldShare < this->Opts.HotThreshold;
    bool NewRoom = NewShare < this->Opts.HotThreshold;
    bool Better = NewShare < OldShare;
    if (OldRoom != NewRoom)
      Better = NewRoom;
    else if (OldRoom)
      Better = this->cost(New, Now) < this->cost(Old, Now);
    if (Better)
      Best = Among[I];
  }
  return Best;
}

// The best pace that a gate has shown. What is unknown or long ago is hoped to
// be as good: a mean would hold the slow gate's own, and the gate would never
// be tried again.
double
LoadBalancer::bestPace(const std::vector<const Instance *> &Among) const {
  std::optional<double> Best;
  for (const Instance *One : Among) {
    auto Found = this->Gates.find(One->Name);
    if (Found == this->Gates.end() || Found->second.Pace == 0)
      continue;
    Best = Best ? std::min(*Best, Found->second.Pace) : Found->second.Pace;
  }
  return Best.value_or(1);
}

// A gate that is sent the short calls of a service has short runs, and is not
// fast for that. So each run is held against what its own route usually takes.
void LoadBalancer::recordRunTime(const std::string &Gate,
                                 const std::string &Route, Micros Length,
                                 TimePoint Now) {
  auto Took = static_cast<double>(Length.count());
  auto Usual = this->UsualRun.find(Route);
  if (Usual == this->UsualRun.end()) {
    if (this->UsualRun.size() >= this->Opts.MaxRoutes)
      return;
    Usual = this->UsualRun.emplace(Route, Took).first;
  }
  Usual->second += (Took - Usual->second) * this->Opts.RunTimeWeight;
  State &Of = this->Gates[Gate];
  double Sample = Took / Usual->second;
  double Weight = std::max(
      this->Opts.LatencyFactorWeight,
      1 - halved(Now - Of.PaceAt, this->Opts.LatencyFactorUpdateHalfLife));
  Of.Pace = Of.Pace == 0 ? Sample : Of.Pace + (Sample - Of.Pace) * Weight;
  Of.PaceAt = Now;
}

double LoadBalancer::failShare(const State &Of, TimePoint Now) const {
  return Of.FailShare * halved(Now - Of.FailAt, this->Opts.FailureHalfLife);
}

void LoadBalancer::recordRtt(const std::string &Gate, Micros Way,
                             TimePoint Now) {
  State &Of = this->Gates[Gate];
  double Known = Of.Way * halved(Now - Of.WayAt, this->Opts.RttHalfLife);
  double Newest = static_cast<double>(Way.count());
  Of.Way = Known + (Newest - Known) * this->Opts.RttWeight;
  Of.WayAt = Now;
}

void LoadBalancer::recordBodyTransfer(const std::string &Gate, Micros Took,
                                      TimePoint Now) {
  State &Of = this->Gates[Gate];
  double Known =
      Of.BodyWay * halved(Now - Of.BodyWayAt, this->Opts.RttHalfLife);
  double Newest = static_cast<double>(Took.count());
  Of.BodyWay = Known + (Newest - Known) * this->Opts.RttWeight;
  Of.BodyWayAt = Now;
}

// A link that carries long bodies, or that others fill, is known by how late
// its answers are. What is left of that knowledge counts where it is more than
// what a way usually takes.
double LoadBalancer::way(const Instance &Gate, const State &Of,
                         const CallInfo &For, TimePoint Now) const {
  if (Gate.Name == this->Self)
    return 0;
  double Seen = Of.Way * halved(Now - Of.WayAt, this->Opts.RttHalfLife);
  if (For.BodyBytes > this->Opts.LongBodyBytes)
    Seen = std::max(
        Seen, Of.BodyWay * halved(Now - Of.BodyWayAt, this->Opts.RttHalfLife));
  if (Gate.DataCentre == this->DataCentre)
    return std::max(Seen, static_cast<double>(this->Opts.MinLocalRtt.count()));
  constexpr double Kilobyte = 1024;
  return std::max(Seen, static_cast<double>(this->Opts.MinRemoteRtt.count())) +
         this->Opts.RemoteTargetShare *
             static_cast<double>(Micros(For.TargetLatency).count()) +
         static_cast<double>(this->Opts.RemoteCostPerKilobyte.count()) *
             static_cast<double>(For.BodyBytes) / Kilobyte;
}

// Microseconds until the answer, were the call sent there now.
double LoadBalancer::expected(const Instance &Gate, const State &Of,
                              double BestPace, const CallInfo &For,
                              TimePoint Now) const {
  Clock::duration Age =
      Of.LoadAt ? Now - *Of.LoadAt : Clock::duration::max() / 2;
  double Known = Of.Pace > 0
                     ? halved(Now - Of.PaceAt, this->Opts.LatencyFactorHalfLife)
                     : 0;
  double Pace = Of.Pace * Known + BestPace * (1 - Known);
  auto Usual = this->UsualRun.find(For.Route);
  double Run =
      Pace * (Usual == this->UsualRun.end()
                  ? static_cast<double>(this->Opts.InitialRunTime.count())
                  : Usual->second);
  // Those ahead are of all routes.
  double RunAhead = Of.Load.latency_us() > 0 ? Of.Load.latency_us() : Run;
  double Slots = Of.Load.slots() > 0 ? Of.Load.slots()
                 : Gate.Slots > 0    ? Gate.Slots
                                     : this->Opts.InitialSlots;
  double Busy = (Of.Load.in_flight() + Of.Load.queued()) *
                    halved(Age, this->Opts.QueueHalfLife) +
                Of.SentSince;
  Busy = std::max<double>(Busy, Of.Outstanding);
  double Wait = std::max(0.0, Busy + 1 - Slots) * RunAhead / Slots;
  Millis Cost = For.TargetLatency.count() > 0 ? For.TargetLatency
                                              : this->Opts.FailureCost;
  return Run + Wait +
         this->failShare(Of, Now) * static_cast<double>(Micros(Cost).count());
}

namespace {

/// Puts Count of them, drawn at random, at the front.
void shuffleFirst(std::vector<const Instance *> &Of, size_t Count,
                  std::mt19937_64 &Random) {
  for (size_t I = 0; I < Count; ++I)
    std::swap(Of[I], Of[I + Random() % (Of.size() - I)]);
}

} // namespace

// The own gate always, for nothing is known better than its load and a call to
// it costs no link; then gates of the own data centre, and a few of others.
std::vector<const Instance *>
LoadBalancer::drawSoonest(const std::vector<const Instance *> &Among) {
  std::vector<const Instance *> Out, Near, Far;
  for (const Instance *One : Among) {
    if (One->Name == this->Self)
      Out.push_back(One);
    else
      (One->DataCentre == this->DataCentre ? Near : Far).push_back(One);
  }
  size_t Left = this->Opts.SampleSize - Out.size();
  size_t FromFar = std::min(Far.size(), this->Opts.RemoteSampleSize);
  size_t FromNear = std::min(Near.size(), Left - FromFar);
  FromFar = std::min(Far.size(), Left - FromNear);
  shuffleFirst(Near, FromNear, this->Random);
  shuffleFirst(Far, FromFar, this->Random);
  Out.insert(Out.end(), Near.begin(), Near.begin() + FromNear);
  Out.insert(Out.end(), Far.begin(), Far.begin() + FromFar);
  return Out;
}

const Instance *
LoadBalancer::pickSoonest(const std::vector<const Instance *> &Among,
                          const CallInfo &For, TimePoint Now) {
  double BestPace = this->bestPace(Among);
  std::uniform_real_distribution<double> Longer(1, 1 + this->Opts.JitterShare);
  const Instance *Best = nullptr;
  double BestTime = 0;
  for (const Instance *One : this->drawSoonest(Among)) {
    const State &Of = this->Gates[One->Name];
    double Time = this->expected(*One, Of, BestPace, For, Now);
    Time = Time * Longer(this->Random) + this->way(*One, Of, For, Now);
    if (Best && Time >= BestTime)
      continue;
    Best = One;
    BestTime = Time;
  }
  return Best;
}

void LoadBalancer::recordStart(const std::string &Gate) {
  ++this->Gates[Gate].Outstanding;
  ++this->Gates[Gate].SentSince;
}

void LoadBalancer::recordOutcome(const std::string &Gate, bool Failure,
                                 TimePoint Now) {
  State &Of = this->Gates[Gate];
  Of.FailShare = this->failShare(Of, Now) * (1 - this->Opts.FailureWeight) +
                 (Failure ? this->Opts.FailureWeight : 0);
  Of.FailAt = Now;
}

void LoadBalancer::recordEnd(const std::string &Gate, bool Answered,
                             Clock::duration Took, TimePoint Now) {
  State &Of = this->Gates[Gate];
  if (Of.Outstanding > 0)
    --Of.Outstanding;
  if (!Answered) {
    this->recordOutcome(Gate, /*Failure=*/true, Now);
    if (++Of.FailuresInRow >= this->Opts.EjectAfter) {
      Of.EjectedUntil = Now + this->Opts.EjectFor;
      // It comes back with a clean record, or nobody would try it.
      Of.FailShare = 0;
    }
    return;
  }
  Of.FailuresInRow = 0;
  double Us = std::chrono::duration<double, std::micro>(Took).count();
  double Weight = Of.MeanLatencyUs == 0 ? 1 : this->Opts.LatencyWeight;
  Of.MeanLatencyUs = Of.MeanLatencyUs * (1 - Weight) + Us * Weight;
  Of.LatencyAt = Now;
}

void LoadBalancer::recordLoad(const std::string &Gate, const wire::Load &Load,
                              TimePoint Now) {
  State &Of = this->Gates[Gate];
  Of.Load = Load;
  Of.LoadAt = Now;
  Of.SentSince = 0;
}

void LoadBalancer::recordRefusal(const std::string &Gate, Millis RoomIn,
                                 TimePoint Now) {
  State &Of = this->Gates[Gate];
  Micros NextFree(Of.Load.latency_us() /
                  std::max<uint32_t>(1, Of.Load.slots()));
  Micros Likely = std::clamp<Micros>(NextFree, this->Opts.MinFullBackoff,
                                     this->Opts.MaxFullBackoff);
  Of.FullUntil = Now + std::max<Micros>(Likely, RoomIn);
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

void LoadBalancer::updateInstance(const Instance &One) {
  State &Of = this->Gates[One.Name];
  std::pair<std::string, uint64_t> Start(One.Upstream, One.Incarnation);
  if (Of.Start && *Of.Start != Start) {
    State Fresh;
    Fresh.Outstanding = Of.Outstanding;
    Of = Fresh;
  }
  // The gate tells whoever has a link to it that it is open again. Others would
  // leave it aside for good.
  bool Back = !Of.Listed || (Of.Leaving && !One.Leaving);
  Of.Draining &= !Back;
  Of.Start = Start;
  Of.Listed = true;
  Of.Leaving = One.Leaving;
}

void LoadBalancer::retainOnly(const std::set<std::string> &Listed) {
  std::erase_if(this->Gates, [&](const auto &One) {
    return !Listed.count(One.first) && One.second.Outstanding == 0;
  });
  for (auto &[Name, Of] : this->Gates)
    Of.Listed = Listed.count(Name) != 0;
}

std::optional<Millis>
LoadBalancer::shortestRetryAfter(const std::vector<const Instance *> &Upstreams,
                                 TimePoint Now) const {
  std::optional<Millis> Best;
  for (const Instance *One : Upstreams) {
    auto Found = this->Gates.find(One->Name);
    if (Found == this->Gates.end() || Found->second.FullUntil <= Now)
      continue;
    Millis Wait = toMillis(Found->second.FullUntil - Now);
    Best = Best ? std::min(*Best, Wait) : Wait;
  }
  return Best;
}

} // namespace hickorylift
