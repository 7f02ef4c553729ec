#include "gate/Admission.h"
#include "routing/HedgePolicy.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <memory>
#include <random>

// Loads at several upstreams, simulated without real time: how many answers are
// late with and without hedges.

namespace hickorylift {

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

/// Simulates calls of one route to eight upstreams with ten slots each. The
/// usual run takes 55 to 65 ms, and each run takes seven times as long with a
/// probability of 3 in 100.
class HedgeSimulator {
public:
  struct Outcomes {
    uint64_t Calls = 0;
    uint64_t Answered = 0;
    /// Answers after the target, and calls without an answer.
    uint64_t Missed = 0;
    uint64_t HedgesSent = 0;
    uint64_t HedgesRun = 0;

    double missedShare() const {
      return static_cast<double>(this->Missed) /
             static_cast<double>(this->Calls);
    }
  };

  /// Utilization is the share of all slots that first runs keep in use.
  HedgeSimulator(double Utilization, bool Hedged)
      : CallsPerMilli(Utilization * GateCount * SlotCount / MeanRunMillis),
        Policy({.Enabled = Hedged}) {
    Service Config;
    Config.Name = "a";
    Config.Slots = SlotCount;
    Config.QueueLimit = 100;
    for (uint64_t I = 0; I < GateCount; ++I) {
      this->Gates.push_back(
          std::make_unique<Admission>(Admission::Options(), /*Seed=*/I));
      this->Gates.back()->configure(Config, Start);
    }
  }

  Outcomes simulate() {
    double Due = 0;
    for (TimePoint Now = Start; Now < Start + Length; Now += Millis(1)) {
      this->endRuns(Now);
      for (size_t Gate = 0; Gate < GateCount; ++Gate)
        this->advanceQueue(Gate, Now);
      for (Due += this->CallsPerMilli; Due >= 1; Due -= 1)
        this->arrive(Now);
      this->sendDueHedges(Now);
    }
    this->Result.Missed = this->Result.Calls - this->OnTarget;
    return this->Result;
  }

private:
  static constexpr size_t GateCount = 8;
  static constexpr uint32_t SlotCount = 10;
  // 60 ms for 97 in 100 runs and 420 ms for the others.
  static constexpr double MeanRunMillis = 60 * 0.97 + 420 * 0.03;
  static constexpr Millis Length{60000}, Target{200}, Deadline{1000};

  struct Call {
    TimePoint ArrivedAt;
    size_t FirstGate = 0;
    bool Done = false;
  };

  // The gate with the fewest calls of two that are drawn at random.
  size_t chooseGate(size_t Except) {
    auto Draw = [&] {
      size_t Gate = this->Random() % GateCount;
      return Gate == Except ? (Gate + 1) % GateCount : Gate;
    };
    size_t A = Draw(), B = Draw();
    auto Load = [&](size_t Gate) {
      return this->Gates[Gate]->runningCount() +
             this->Gates[Gate]->waitingCount();
    };
    return Load(A) <= Load(B) ? A : B;
  }

  // The run of a call at a gate; the gate is part of the id.
  Admission::Request makeRequest(uint64_t Number, size_t Gate) const {
    const Call &Made = this->Calls.at(Number);
    Admission::Request Request;
    Request.Id = {Gate, Number};
    Request.Deadline = Made.ArrivedAt + Deadline;
    Request.Target = Made.ArrivedAt + Target;
    Request.Kind = "r";
    return Request;
  }

  void arrive(TimePoint Now) {
    uint64_t Number = ++this->Result.Calls;
    size_t Gate = this->chooseGate(GateCount);
    this->Calls[Number] = {Now, Gate};
    this->Policy.recordFirstTry("r");
    if (std::optional<Clock::duration> Delay = this->Policy.delay(
            "r", /*TimeToTarget=*/Clock::duration::max(), Now))
      this->Timers.emplace(Now + *Delay, Number);
    Admission::Request Request = this->makeRequest(Number, Gate);
    if (this->Gates[Gate]->admit(Request, Now).Action ==
        Admission::Decision::Run)
      this->startRun(Request.Id, Now);
  }

  void sendDueHedges(TimePoint Now) {
    while (!this->Timers.empty() && this->Timers.begin()->first <= Now) {
      uint64_t Number = this->Timers.begin()->second;
      this->Timers.erase(this->Timers.begin());
      Call &Slow = this->Calls[Number];
      if (Slow.Done ||
          !this->Policy.fits("r", Slow.ArrivedAt + Deadline, Now) ||
          !this->Policy.spendHedge("r"))
        continue;
      ++this->Result.HedgesSent;
      size_t Gate = this->chooseGate(Slow.FirstGate);
      if (!this->Gates[Gate]->canRunHedge(/*Priority=*/4, Now))
        continue;
      ++this->Result.HedgesRun;
      Admission::Request Request = this->makeRequest(Number, Gate);
      this->Gates[Gate]->admit(Request, Now);
      this->startRun(Request.Id, Now);
    }
  }

  void startRun(const CallId &Id, TimePoint Now) {
    Millis RunTime(55 + this->Random() % 11);
    if (this->Random() % 100 < 3)
      RunTime *= 7;
    this->RunEnds.emplace(Now + RunTime, Id);
  }

  // The first answer counts, and the call's other run is cancelled.
  void endRuns(TimePoint Now) {
    while (!this->RunEnds.empty() && this->RunEnds.begin()->first <= Now) {
      CallId Id = this->RunEnds.begin()->second;
      this->RunEnds.erase(this->RunEnds.begin());
      Call &Ended = this->Calls[Id.Seq];
      if (Ended.Done)
        continue;
      Ended.Done = true;
      ++this->Result.Answered;
      this->OnTarget += Now - Ended.ArrivedAt <= Target ? 1 : 0;
      this->Policy.recordAnswer("r", Now - Ended.ArrivedAt, Now);
      for (size_t Gate = 0; Gate < GateCount; ++Gate)
        this->Gates[Gate]->finished({Gate, Id.Seq}, Gate == Id.Entry, Now);
    }
  }

  void advanceQueue(size_t Gate, TimePoint Now) {
    for (const CallId &Id : this->Gates[Gate]->advanceQueue(Now).ToRun)
      this->startRun(Id, Now);
  }

  double CallsPerMilli;
  HedgePolicy Policy;
  std::vector<std::unique_ptr<Admission>> Gates;
  std::mt19937_64 Random{1};
  std::map<uint64_t, Call> Calls;
  std::multimap<TimePoint, uint64_t> Timers;
  std::multimap<TimePoint, CallId> RunEnds;
  uint64_t OnTarget = 0;
  Outcomes Result;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HedgesUnderLoad)

// A third of the slots are in use, and the late answers come from slow runs. A
// second run answers most of these in time. The limit of 3 hedges in a
// hundred calls must hold.
BOOST_AUTO_TEST_CASE(HedgesAnswerSlowRunsInTime) {
  HedgeSimulator::Outcomes Without =
      HedgeSimulator(0.33, /*Hedged=*/false).simulate();
  HedgeSimulator::Outcomes With =
      HedgeSimulator(0.33, /*Hedged=*/true).simulate();
  BOOST_TEST_MESSAGE("missed of " << Without.Calls << ": " << Without.Missed
                                  << " without hedges, " << With.Missed
                                  << " with " << With.HedgesRun);
  BOOST_TEST(Without.missedShare() > 0.025);
  BOOST_TEST(With.missedShare() < Without.missedShare() / 3);
  BOOST_TEST(static_cast<double>(With.HedgesSent) <=
             0.03 * static_cast<double>(With.Calls) + 1);
}

// At 0.95 of the slots, a second run would take a slot that a first run needs.
// The gates refuse nearly all hedges, and no more calls miss their targets.
BOOST_AUTO_TEST_CASE(HedgesDoNoHarmUnderHighLoad) {
  HedgeSimulator::Outcomes Without =
      HedgeSimulator(0.95, /*Hedged=*/false).simulate();
  HedgeSimulator::Outcomes With =
      HedgeSimulator(0.95, /*Hedged=*/true).simulate();
  BOOST_TEST_MESSAGE("missed of " << Without.Calls << ": " << Without.Missed
                                  << " without hedges, " << With.Missed
                                  << " with " << With.HedgesRun << " of "
                                  << With.HedgesSent);
  BOOST_TEST(With.missedShare() < Without.missedShare() + 0.01);
  BOOST_TEST(With.HedgesRun <= With.HedgesSent / 10);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
