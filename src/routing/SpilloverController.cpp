#include "routing/SpilloverController.h"

#include <algorithm>
#include <cmath>

// The probability that a call considers remote gates moves towards a target,
// which follows from the local share, at a limited rate. The present value is
// stored for each service. A report changes only the target, so one report
// never moves many calls at once, however long ago the previous one arrived.
//
// A remote data centre is drawn with its free slots as weight. If the one with
// the most free slots were taken, the entries of all other data centres would
// take the same one, and it would be full a moment later.

namespace hickorylift {

void RemoteGates::add(const Instance &Gate, uint32_t Slots) {
  auto Found = std::find_if(
      this->Groups.begin(), this->Groups.end(), [&](const Group &One) {
        return One.Gates.front()->DataCentre == Gate.DataCentre;
      });
  if (Found == this->Groups.end())
    Found = this->Groups.emplace(Found);
  Found->Gates.push_back(&Gate);
  Found->Slots += Slots;
}

std::vector<const Instance *> RemoteGates::all() const {
  std::vector<const Instance *> Result;
  for (const Group &One : this->Groups)
    Result.insert(Result.end(), One.Gates.begin(), One.Gates.end());
  return Result;
}

SpilloverController::PlaceId
SpilloverController::place(const std::string &Service,
                           const std::string &InDataCentre) {
  if (!this->Opts.Enabled)
    return 0;
  auto Found = this->Ids.find({Service, InDataCentre});
  if (Found != this->Ids.end())
    return Found->second;
  if (this->Places.size() >= this->Opts.MaxPlaces)
    return 0;
  PlaceId Id = ++this->LastId;
  this->Ids[{Service, InDataCentre}] = Id;
  Place &New = this->Places[Id];
  New.Service = Service;
  New.DataCentre = InDataCentre;
  return Id;
}

bool SpilloverController::isLocal(PlaceId Id) const {
  auto Found = this->Places.find(Id);
  return Found != this->Places.end() &&
         Found->second.DataCentre == this->DataCentre;
}

void SpilloverController::retainOnly(const std::set<PlaceId> &Used) {
  std::set<std::string> Services;
  for (auto It = this->Places.begin(); It != this->Places.end();) {
    const Place &One = It->second;
    if (Used.count(It->first)) {
      Services.insert(One.Service);
      ++It;
      continue;
    }
    this->Ids.erase({One.Service, One.DataCentre});
    It = this->Places.erase(It);
  }
  std::erase_if(this->Ramps, [&](const auto &NamedRamp) {
    return !Services.count(NamedRamp.first);
  });
}

double SpilloverController::decay(Clock::duration Age) const {
  Age = std::max(Age, Clock::duration::zero());
  return std::exp2(-std::chrono::duration<double>(Age) /
                   std::chrono::duration<double>(this->Opts.ReportHalfLife));
}

void SpilloverController::recordLoad(PlaceId Id, const wire::Load &Load,
                                     std::optional<Clock::duration> SinceLast,
                                     TimePoint Now) {
  auto Found = this->Places.find(Id);
  if (Found == this->Places.end() || Load.slots() == 0)
    return;
  Place &At = Found->second;
  if (At.DataCentre == this->DataCentre)
    this->advance(At.Service, Now);
  // Queues at single gates must not hide free slots at others.
  double InUse =
      std::min<double>(Load.slots(), Load.in_flight() + double(Load.queued()));
  double Kept = this->decay(Now - At.UpdatedAt);
  double Weight = SinceLast ? 1 - this->decay(*SinceLast) : 1;
  At.Used = At.Used * Kept + InUse * Weight;
  At.Slots = At.Slots * Kept + Load.slots() * Weight;
  At.UpdatedAt = Now;
}

double SpilloverController::shareAt(const Place &At, TimePoint Now) const {
  double Kept = this->decay(Now - At.UpdatedAt);
  return (At.Used * Kept + this->Opts.UnknownShare * this->Opts.UnknownSlots) /
         (At.Slots * Kept + this->Opts.UnknownSlots);
}

const SpilloverController::Place *
SpilloverController::find(const std::string &Service,
                          const std::string &InDataCentre) const {
  auto Found = this->Ids.find({Service, InDataCentre});
  return Found == this->Ids.end() ? nullptr : &this->Places.at(Found->second);
}

double SpilloverController::share(const std::string &Service,
                                  const std::string &InDataCentre,
                                  TimePoint Now) const {
  const Place *At = this->find(Service, InDataCentre);
  return At ? this->shareAt(*At, Now) : this->Opts.UnknownShare;
}

double SpilloverController::targetProbability(const std::string &Service,
                                              TimePoint Now) const {
  double Above = this->share(Service, this->DataCentre, Now) - this->Opts.Start;
  return std::clamp(Above / (this->Opts.Full - this->Opts.Start), 0.0, 1.0);
}

double SpilloverController::probability(const std::string &Service,
                                        TimePoint Now) const {
  auto Found = this->Ramps.find(Service);
  if (Found == this->Ramps.end())
    return 0;
  const Ramp &Last = Found->second;
  Clock::duration Passed =
      std::max(Now - Last.UpdatedAt, Clock::duration::zero());
  double MaxStep = this->Opts.MaxChange *
                   std::chrono::duration<double>(Passed) /
                   std::chrono::duration<double>(this->Opts.ChangeInterval);
  return std::clamp(this->targetProbability(Service, Now),
                    Last.Probability - MaxStep, Last.Probability + MaxStep);
}

double SpilloverController::advance(const std::string &Service, TimePoint Now) {
  Ramp &Last = this->Ramps.try_emplace(Service, Ramp{0, Now}).first->second;
  double Before = Last.Probability;
  Last = {this->probability(Service, Now), Now};
  bool Begins = Last.Probability > 0;
  if (Begins != (Before > 0))
    this->OnChange(
        {Service, Begins, this->share(Service, this->DataCentre, Now)}, Now);
  return Last.Probability;
}

std::vector<const Instance *>
SpilloverController::select(const std::string &Service, RemoteGates Remote,
                            bool Refused, std::mt19937_64 &Random,
                            TimePoint Now) {
  if (Remote.empty())
    return {};
  std::uniform_real_distribution<double> Draw(0, 1);
  double Probability = this->advance(Service, Now);
  bool MayLeave = Refused || (Probability > 0 && Draw(Random) < Probability);
  if (!MayLeave)
    return {};
  double Total = 0;
  for (RemoteGates::Group &One : Remote.groups()) {
    double Share = this->share(Service, One.Gates.front()->DataCentre, Now);
    // From here on, Slots is the number of free slots below Full.
    One.Slots *= std::max(0.0, this->Opts.Full - Share);
    Total += One.Slots;
  }
  double Point = Draw(Random) * Total;
  for (RemoteGates::Group &One : Remote.groups()) {
    if (Point < One.Slots)
      return std::move(One.Gates);
    Point -= One.Slots;
  }
  return {};
}

uint64_t SpilloverController::sentCount(Reason Why) const {
  auto Found = this->Sent.find(Why);
  return Found == this->Sent.end() ? 0 : Found->second;
}

std::vector<std::string> SpilloverController::services() const {
  std::vector<std::string> Result;
  for (const auto &[Service, Last] : this->Ramps)
    Result.push_back(Service);
  return Result;
}

const char *reasonName(SpilloverController::Reason Why) {
  switch (Why) {
  case SpilloverController::Reason::LocalLoad:
    return "local-load";
  case SpilloverController::Reason::LocalRefusal:
    return "local-refusal";
  case SpilloverController::Reason::NoLocalGate:
    break;
  }
  return "no-local-gate";
}

} // namespace hickorylift
