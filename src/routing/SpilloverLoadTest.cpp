#include "gate/Admission.h"
#include "routing/LoadBalancer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>

// Two or three data centres under uneven load, simulated without a network or
// real time: how many calls leave their data centre, and how many are served.

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr size_t GatesInEach = 8;
constexpr size_t EntriesInEach = 4;
constexpr uint32_t SlotsOfGate = 8;
constexpr Millis MeanRunTime{120};
/// Run times at the fastest and the slowest gate, relative to the mean.
constexpr double Fastest = 0.6, Slowest = 1.4;
constexpr Millis Length{16000};
constexpr Millis Step{100};

/// The callers of one run, as shares of the slots that their calls keep busy.
struct Demand {
  const char *Title;
  double Mean = 0;
  /// Swing of the waves relative to the mean, and their period.
  double Swing = 0;
  Millis Period{8000};
  /// After half of the run, half of the callers of the first data centre move
  /// to the second one.
  bool CallersMove = false;
  /// Largest share of calls that may leave with the feature on.
  double MaxLeaving = 1;
  /// Number of data centres; their waves are shifted evenly.
  size_t Centres = 3;
};
std::ostream &operator<<(std::ostream &To, const Demand &Row) {
  return To << Row.Title;
}

struct Outcomes {
  int Calls = 0;
  int Left = 0;
  int Served = 0;
  int OnTarget = 0;
  /// Largest change of a data centre's share of calls that left, from one step
  /// to the next.
  double LargestSwing = 0;

  double leftShare() const { return double(this->Left) / this->Calls; }
  double servedShare() const { return double(this->Served) / this->Calls; }
  double targetShare() const { return double(this->OnTarget) / this->Calls; }
};

class FleetSimulator {
public:
  FleetSimulator(const Demand &Load, bool Enabled)
      : Load(Load), Centres(Load.Centres), StepCalls(Load.Centres, 0),
        StepLeft(Load.Centres, 0), LastShare(Load.Centres, 0) {
    Service Config;
    Config.Name = "lookup";
    Config.Slots = SlotsOfGate;
    Config.QueueLimit = 60;
    Config.QueueWait = Millis(300);
    for (size_t I = 0; I < this->Centres * GatesInEach; ++I) {
      Instance One;
      One.Name = "g-" + std::to_string(I);
      One.DataCentre = "dc-" + std::to_string(I % this->Centres);
      One.Service = Config.Name;
      One.Slots = SlotsOfGate;
      this->Gates.push_back(One);
      this->Slots.emplace_back(Admission::Options(), I);
      this->Slots.back().configure(Config, Start);
    }
    LoadBalancer::Options Opts;
    Opts.Spillover.Enabled = Enabled;
    for (size_t I = 0; I < this->Centres * EntriesInEach; ++I) {
      this->Entries.emplace_back(Opts,
                                 "dc-" + std::to_string(I % this->Centres),
                                 "entry", /*Seed=*/I + 1);
      for (const Instance &One : this->Gates)
        this->Entries.back().updateInstance(One);
    }
    for (const Instance &One : this->Gates)
      this->Routable.push_back(&One);
  }

  Outcomes simulate() {
    std::vector<double> Due(this->Entries.size(), 0);
    for (TimePoint Now = Start; Now < Start + Length; Now += Millis(1)) {
      this->endRuns(Now);
      for (size_t Gate = 0; Gate < this->Gates.size(); ++Gate)
        this->advanceQueue(Gate, Now);
      for (size_t Entry = 0; Entry < this->Entries.size(); ++Entry) {
        Due[Entry] += this->callsPerMilli(Entry % this->Centres, Now);
        for (; Due[Entry] >= 1; Due[Entry] -= 1)
          this->arrive(Entry, Now);
      }
      if ((Now - Start) % Step == Clock::duration::zero())
        this->endStep();
    }
    return this->Result;
  }

private:
  struct Call {
    size_t Entry = 0;
    size_t Gate = 0;
    TimePoint ArrivedAt;
    TimePoint StartedAt;
    std::set<std::string> Tried;
  };

  double callsPerMilli(size_t Centre, TimePoint Now) const {
    double Passed = std::chrono::duration<double>(Now - Start) /
                    std::chrono::duration<double>(this->Load.Period);
    double Phase = Passed + double(Centre) / this->Centres;
    double Share =
        this->Load.Mean * (1 + this->Load.Swing * std::sin(2 * M_PI * Phase));
    bool Moved = this->Load.CallersMove && Now >= Start + Length / 2;
    if (Moved && Centre == 0)
      Share /= 2;
    if (Moved && Centre == 1)
      Share += this->Load.Mean / 2;
    return Share * GatesInEach * SlotsOfGate / EntriesInEach /
           double(MeanRunTime.count());
  }

  void arrive(size_t Entry, TimePoint Now) {
    CallId Id{1, ++this->LastId};
    this->Calls[Id] = {Entry, 0, Now, Now, {}};
    ++this->Result.Calls;
    ++this->StepCalls[Entry % this->Centres];
    this->offer(Id, Now);
  }

  void offer(const CallId &Id, TimePoint Now) {
    constexpr size_t MaxOffers = 4;
    Call &One = this->Calls.at(Id);
    LoadBalancer &Balancer = this->Entries[One.Entry];
    LoadBalancer::CallInfo Info;
    Info.TargetLatency = Millis(300);
    Info.Route = "usual";
    const Instance *To =
        One.Tried.size() < MaxOffers
            ? Balancer.pick(this->Routable, One.Tried, Now, Info)
            : nullptr;
    if (!To) {
      this->Calls.erase(Id);
      return;
    }
    One.Gate = static_cast<size_t>(To - this->Gates.data());
    One.Tried.insert(To->Name);
    Balancer.recordStart(To->Name);
    Admission::Request Request;
    Request.Id = Id;
    Request.Target = One.ArrivedAt + Millis(300);
    Request.Deadline = One.ArrivedAt + Millis(1000);
    Request.Kind = "usual";
    Admission::Decision Action =
        this->Slots[One.Gate].admit(Request, Now).Action;
    if (Action == Admission::Decision::Refuse)
      return this->refused(Id, Now);
    if (Action == Admission::Decision::Run)
      this->startRun(Id, Now);
  }

  void refused(const CallId &Id, TimePoint Now) {
    Call &One = this->Calls.at(Id);
    LoadBalancer &Balancer = this->Entries[One.Entry];
    const std::string &Gate = this->Gates[One.Gate].Name;
    Balancer.recordLoad(Gate, this->Slots[One.Gate].load(Now), Now);
    Balancer.recordRefusal(Gate, Millis(0), Now);
    Balancer.recordEnd(Gate, /*Answered=*/true, Millis(1), Now);
    this->offer(Id, Now);
  }

  void startRun(const CallId &Id, TimePoint Now) {
    std::uniform_real_distribution<double> Spread(0.7, 1.3);
    Call &One = this->Calls.at(Id);
    One.StartedAt = Now;
    bool Leaves = One.Gate % this->Centres != One.Entry % this->Centres;
    this->Result.Left += Leaves;
    this->StepLeft[One.Entry % this->Centres] += Leaves;
    size_t NumberInCentre = One.Gate / this->Centres;
    double Speed = Fastest + (Slowest - Fastest) * double(NumberInCentre) /
                                 (GatesInEach - 1);
    double RunMs = double(MeanRunTime.count()) * Speed * Spread(this->Random);
    this->RunEnds.emplace(Now + Millis(static_cast<int64_t>(RunMs)), Id);
  }

  void endRuns(TimePoint Now) {
    while (!this->RunEnds.empty() && this->RunEnds.begin()->first <= Now) {
      CallId Id = this->RunEnds.begin()->second;
      this->RunEnds.erase(this->RunEnds.begin());
      const Call &One = this->Calls.at(Id);
      LoadBalancer &Balancer = this->Entries[One.Entry];
      const std::string &Gate = this->Gates[One.Gate].Name;
      this->Slots[One.Gate].finished(Id, /*Answered=*/true, Now);
      Balancer.recordLoad(Gate, this->Slots[One.Gate].load(Now), Now);
      Balancer.recordRunTime(
          Gate, "usual",
          std::chrono::duration_cast<Micros>(Now - One.StartedAt), Now);
      Balancer.recordEnd(Gate, /*Answered=*/true, Now - One.ArrivedAt, Now);
      ++this->Result.Served;
      this->Result.OnTarget += Now - One.ArrivedAt <= Millis(300);
      this->Calls.erase(Id);
    }
  }

  void advanceQueue(size_t Gate, TimePoint Now) {
    Admission::QueueUpdate Update = this->Slots[Gate].advanceQueue(Now);
    for (const CallId &Id : Update.ToRun)
      this->startRun(Id, Now);
    for (const Admission::DroppedCall &Dropped : Update.ToDrop)
      this->refused(Dropped.Id, Now);
  }

  void endStep() {
    for (size_t I = 0; I < this->Centres; ++I) {
      double Share = this->StepCalls[I] ? this->StepLeft[I] / this->StepCalls[I]
                                        : this->LastShare[I];
      this->Result.LargestSwing = std::max(
          this->Result.LargestSwing, std::abs(Share - this->LastShare[I]));
      this->LastShare[I] = Share;
      this->StepCalls[I] = this->StepLeft[I] = 0;
    }
  }

  Demand Load;
  size_t Centres;
  std::mt19937_64 Random{5};
  std::vector<Instance> Gates;
  std::vector<const Instance *> Routable;
  std::vector<Admission> Slots;
  std::vector<LoadBalancer> Entries;
  uint64_t LastId = 0;
  std::map<CallId, Call> Calls;
  std::multimap<TimePoint, CallId> RunEnds;
  std::vector<double> StepCalls, StepLeft, LastShare;
  Outcomes Result;
};

const Demand Demands[] = {
    {"all data centres have free slots", 0.5, 0.2, Millis(8000), false, 0.001},
    {"long waves", 0.75, 0.5, Millis(8000), false, 1},
    {"short waves", 0.75, 0.5, Millis(3000), false, 1},
    {"two data centres in opposite phase", 0.75, 0.5, Millis(4000), false, 1,
     2},
    {"callers move to another data centre", 0.8, 0, Millis(8000), true, 1},
    {"all data centres are overloaded", 1.2, 0.2, Millis(8000), false, 1},
};

} // namespace

BOOST_AUTO_TEST_SUITE(SpilloverUnderLoad)

// Fewer calls may leave than if each decided for itself, as many must be
// served, and the calls of a data centre must not leave and return all at once.
BOOST_DATA_TEST_CASE(FewerCallsLeaveAndAsManyAreServed, data::make(Demands),
                     Row) {
  Outcomes Off = FleetSimulator(Row, /*Enabled=*/false).simulate();
  Outcomes On = FleetSimulator(Row, /*Enabled=*/true).simulate();
  for (const Outcomes &One : {Off, On})
    BOOST_TEST_MESSAGE(Row.Title << ": calls " << One.Calls << ", left "
                                 << One.leftShare() << ", served "
                                 << One.servedShare() << ", on target "
                                 << One.targetShare() << ", largest swing "
                                 << One.LargestSwing);
  // Calls for which the data centre has no slots must leave either way.
  BOOST_TEST(On.leftShare() <= Off.leftShare() + 0.002);
  BOOST_TEST(On.leftShare() <= Row.MaxLeaving);
  BOOST_TEST(On.servedShare() >= Off.servedShare() - 0.01);
  BOOST_TEST(On.LargestSwing <= std::max(Off.LargestSwing, 0.2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
