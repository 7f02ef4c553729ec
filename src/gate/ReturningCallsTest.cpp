#include "gate/Admission.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

// Calls of callers that were refused and have come back: their order in the
// queue, and how many are refused again in a short overload.

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr Millis RunTime{100};

Admission::Options options(bool FavoursReturning) {
  Admission::Options Opts;
  Opts.FavoursReturning = FavoursReturning;
  return Opts;
}

/// An upstream with one slot and runs of 100 ms, whose slot is taken at Start.
struct FullUpstream {
  Admission Slots;

  explicit FullUpstream(bool FavoursReturning, uint32_t QueueLimit = 10)
      : Slots(options(FavoursReturning), /*Seed=*/1) {
    Service Config;
    Config.Name = "a";
    Config.Slots = 1;
    Config.QueueLimit = QueueLimit;
    Config.QueueWait = Millis(500);
    this->Slots.configure(Config, Start - RunTime);
    this->admit(1, Millis(5000), Millis(5000), false, Start - RunTime);
    this->Slots.finished({1, 1}, /*Answered=*/true, Start);
    this->admit(2, Millis(5000), Millis(5000), false, Start);
  }

  Admission::Result admit(uint64_t Seq, Millis Target, Millis Deadline,
                          bool Returning, TimePoint Now) {
    Admission::Request Call;
    Call.Id = {1, Seq};
    Call.Target = Now + Target;
    Call.Deadline = Now + Deadline;
    Call.Returning = Returning;
    return this->Slots.admit(Call, Now);
  }
};

/// A call that arrives at the full upstream, which expects a wait of 100 ms.
struct ArrivalRow {
  const char *Name;
  bool Enabled;
  bool Returning;
  Millis Target;
  Millis Deadline;
  uint32_t QueueLimit;
  Admission::Decision Action;
};
std::ostream &operator<<(std::ostream &To, const ArrivalRow &Row) {
  return To << Row.Name;
}

const ArrivalRow Arrivals[] = {
    {"returning, deadline only", true, true, Millis(150), Millis(400), 10,
     Admission::Decision::Wait},
    {"returning, target already past", true, true, Millis(0), Millis(400), 10,
     Admission::Decision::Wait},
    {"returning, but the feature is off", false, true, Millis(150), Millis(400),
     10, Admission::Decision::Refuse},
    {"first-time, deadline only", true, false, Millis(150), Millis(400), 10,
     Admission::Decision::Refuse},
    {"returning, misses its deadline by the margin", true, true, Millis(150),
     Millis(220), 10, Admission::Decision::Refuse},
    {"returning, but no place in the queue", true, true, Millis(150),
     Millis(400), 0, Admission::Decision::Refuse},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ReturningCalls)

// A second refusal is the worst outcome for a caller that came back. Guards
// also against first-time calls that wait although they would be late, and
// against a queue longer than configured.
BOOST_DATA_TEST_CASE(OnlyReturningCallsWaitPastTheirTarget,
                     data::make(Arrivals), Row) {
  FullUpstream Full(Row.Enabled, Row.QueueLimit);
  BOOST_TEST(
      (Full.admit(3, Row.Target, Row.Deadline, Row.Returning, Start).Action ==
       Row.Action));
  BOOST_TEST(Full.Slots.queuedPastTarget() ==
             (Row.Action == Admission::Decision::Wait ? 1u : 0u));
}

// A returning call that can no longer meet its target must not overtake a call
// that can still meet its own, and goes before one whose latest start is later.
// A target of 50 ms can't be met on arrival, one of 230 ms becomes unreachable
// while the call waits.
BOOST_DATA_TEST_CASE(LostTargetsAreOrderedByDeadline, data::make({50, 230}),
                     TargetMs) {
  FullUpstream Full(/*FavoursReturning=*/true);
  Full.admit(3, Millis(TargetMs), Millis(600), /*Returning=*/true, Start);
  Full.admit(4, Millis(400), Millis(1000), /*Returning=*/false, Start);
  Full.admit(5, Millis(700), Millis(1000), /*Returning=*/false, Start);
  std::vector<uint64_t> Order;
  uint64_t Running = 2;
  for (TimePoint Now = Start + Millis(110); Order.size() < 3; Now += RunTime) {
    Full.Slots.finished({1, Running}, /*Answered=*/true, Now);
    Admission::QueueUpdate Update = Full.Slots.advanceQueue(Now);
    BOOST_TEST(Update.ToDrop.empty());
    BOOST_REQUIRE(Update.ToRun.size() == 1u);
    Running = Update.ToRun.front().Seq;
    Order.push_back(Running);
  }
  BOOST_TEST((Order == std::vector<uint64_t>{4, 3, 5}));
}

/// A call that can meet its target when it arrives, and no longer once it has
/// waited.
struct SweepRow {
  const char *Name;
  bool Returning;
  Millis Deadline;
  Millis SweptAfter;
  /// Empty if the call still waits.
  const char *DroppedFor;
};
std::ostream &operator<<(std::ostream &To, const SweepRow &Row) {
  return To << Row.Name;
}

const SweepRow Sweeps[] = {
    {"returning, can meet its deadline", true, Millis(900), Millis(200), ""},
    {"returning, waited too long", true, Millis(900), Millis(501), "overload"},
    {"returning, cannot meet its deadline", true, Millis(400), Millis(350),
     "deadline"},
    {"first-time", false, Millis(900), Millis(200), "overload"},
};

// Guards against queued returning calls that are dropped because they miss
// their targets. The bound on the wait and the deadline still hold.
BOOST_DATA_TEST_CASE(SweepKeepsReturningCalls, data::make(Sweeps), Row) {
  FullUpstream Full(/*FavoursReturning=*/true);
  Full.admit(3, Millis(300), Row.Deadline, Row.Returning, Start);
  BOOST_REQUIRE(Full.Slots.waitingCount() == 1u);
  Admission::QueueUpdate Update =
      Full.Slots.advanceQueue(Start + Row.SweptAfter);
  std::string Reason =
      Update.ToDrop.empty() ? "" : Update.ToDrop[0].RefusalDetails.Reason;
  BOOST_TEST(Reason == Row.DroppedFor);
  BOOST_TEST(Full.Slots.waitingCount() == (Reason.empty() ? 1u : 0u));
  // A second sweep neither moves nor counts the call again.
  Full.Slots.advanceQueue(Start + Row.SweptAfter);
  BOOST_TEST(Full.Slots.queuedPastTarget() == (Reason.empty() ? 1u : 0u));
}

// Nine slots end a run each 11 ms, so the wait for one is short, but a caller
// that comes back before the runs of 100 ms have ended finds the same calls
// there. The delays are spread over up to twice their length.
BOOST_DATA_TEST_CASE(RefusedCallsComeBackAfterARun, data::make({true, false}),
                     Enabled) {
  Service Config;
  Config.Name = "a";
  Config.Slots = 9;
  Config.QueueLimit = 0;
  Admission Slots(options(Enabled), /*Seed=*/1);
  Slots.configure(Config, Start);
  Admission::Request Call;
  Call.Deadline = Start + Millis(5000);
  for (uint64_t Seq = 0; Seq < 18; ++Seq) {
    Call.Id = {1, Seq};
    Slots.admit(Call, Start + (Seq < 9 ? Millis(0) : RunTime));
    if (Seq < 9)
      Slots.finished(Call.Id, /*Answered=*/true, Start + RunTime);
  }
  std::set<Millis> Delays;
  for (uint64_t Seq = 100; Seq < 200; ++Seq) {
    Call.Id = {1, Seq};
    Delays.insert(Slots.admit(Call, Start + RunTime).RefusalDetails.RetryAfter);
  }
  BOOST_TEST((*Delays.begin() >= RunTime) == Enabled);
  BOOST_TEST((*Delays.rbegin() <= 2 * RunTime));
  BOOST_TEST(Delays.size() > 15u);
}

namespace {

struct OverloadOutcome {
  int Callers = 0;
  int Served = 0;
  int OnTarget = 0;
  int RefusedTwice = 0;

  double share(int Count) const {
    return static_cast<double>(Count) / this->Callers;
  }
};

/// Simulates a short overload of an upstream with nine slots: for three
/// seconds, callers need 1.1 times these slots. Callers whose calls are refused
/// come back once when they are told to, but within a third of their remaining
/// time.
class OverloadSimulator {
public:
  OverloadSimulator(bool FavoursReturning, uint64_t Seed)
      : Slots(options(FavoursReturning), Seed), Rng(Seed) {
    Service Config;
    Config.Name = "a";
    Config.Slots = SlotCount;
    Config.QueueLimit = 100;
    Config.QueueWait = Millis(1000);
    this->Slots.configure(Config, Start);
  }

  void simulate(OverloadOutcome &Result) {
    for (TimePoint Now = Start; Now < Start + Millis(7000); Now += Millis(1)) {
      this->endRuns(Now, Result);
      Admission::QueueUpdate Update = this->Slots.advanceQueue(Now);
      for (const Admission::DroppedCall &Dropped : Update.ToDrop)
        this->refuse(Dropped.Id, Dropped.RefusalDetails, Now, Result);
      for (const CallId &Id : Update.ToRun)
        this->startRun(Id, Now);
      this->sendCalls(Now, Result);
    }
  }

private:
  static constexpr uint32_t SlotCount = 9;
  static constexpr Millis Target{300}, Deadline{1200};

  struct Caller {
    TimePoint FirstSentAt;
    bool Returned = false;
  };

  double arrivalsPerMs(TimePoint Now) const {
    bool Top = Now >= Start + Millis(1000) && Now < Start + Millis(4000);
    double Share = Now >= Start + Millis(5500) ? 0 : Top ? 1.1 : 0.6;
    return Share * SlotCount / static_cast<double>(RunTime.count());
  }

  void sendCalls(TimePoint Now, OverloadOutcome &Result) {
    std::poisson_distribution<int> Arrivals(this->arrivalsPerMs(Now) + 1e-9);
    for (int Count = Arrivals(this->Rng); Count > 0; --Count) {
      ++Result.Callers;
      this->send({Now, false}, Now, Result);
    }
    while (!this->Returns.empty() && this->Returns.begin()->first <= Now) {
      Caller Back = this->Returns.begin()->second;
      this->Returns.erase(this->Returns.begin());
      this->send(Back, Now, Result);
    }
  }

  void send(const Caller &From, TimePoint Now, OverloadOutcome &Result) {
    Admission::Request Call;
    Call.Id = {1, ++this->LastId};
    Call.Target = std::max(Now, From.FirstSentAt + Target);
    Call.Deadline = From.FirstSentAt + Deadline;
    Call.Kind = "a";
    Call.Returning = Now - From.FirstSentAt >= Millis(30);
    this->Callers[Call.Id] = From;
    Admission::Result Answer = this->Slots.admit(Call, Now);
    if (Answer.Action == Admission::Decision::Run)
      this->startRun(Call.Id, Now);
    if (Answer.Action == Admission::Decision::Refuse)
      this->refuse(Call.Id, Answer.RefusalDetails, Now, Result);
  }

  void refuse(const CallId &Id, const Refusal &Details, TimePoint Now,
              OverloadOutcome &Result) {
    Caller From = this->Callers[Id];
    if (From.Returned) {
      ++Result.RefusedTwice;
      return;
    }
    Millis Left = toMillis(From.FirstSentAt + Deadline - Now);
    From.Returned = true;
    this->Returns.emplace(Now + std::min(Details.RetryAfter, Left / 3), From);
  }

  void startRun(const CallId &Id, TimePoint Now) {
    std::uniform_int_distribution<int> Length(60, 140);
    this->RunEnds.emplace(Now + Millis(Length(this->Rng)), Id);
  }

  void endRuns(TimePoint Now, OverloadOutcome &Result) {
    while (!this->RunEnds.empty() && this->RunEnds.begin()->first <= Now) {
      CallId Id = this->RunEnds.begin()->second;
      this->RunEnds.erase(this->RunEnds.begin());
      this->Slots.finished(Id, /*Answered=*/true, Now);
      Clock::duration Took = Now - this->Callers[Id].FirstSentAt;
      Result.Served += Took <= Deadline ? 1 : 0;
      Result.OnTarget += Took <= Target ? 1 : 0;
    }
  }

  Admission Slots;
  std::mt19937_64 Rng;
  uint64_t LastId = 0;
  std::map<CallId, Caller> Callers;
  std::multimap<TimePoint, CallId> RunEnds;
  std::multimap<TimePoint, Caller> Returns;
};

OverloadOutcome simulateOverload(bool FavoursReturning) {
  OverloadOutcome Result;
  for (uint64_t Seed = 1; Seed <= 20; ++Seed)
    OverloadSimulator(FavoursReturning, Seed).simulate(Result);
  return Result;
}

} // namespace

// Guards against callers that come back when they are told to and are refused
// again.
BOOST_AUTO_TEST_CASE(FewerCallersAreRefusedTwice) {
  OverloadOutcome Without = simulateOverload(/*FavoursReturning=*/false);
  OverloadOutcome With = simulateOverload(/*FavoursReturning=*/true);
  for (const OverloadOutcome &Of : {Without, With})
    BOOST_TEST_MESSAGE("served " << Of.share(Of.Served) << ", on target "
                                 << Of.share(Of.OnTarget) << ", refused twice "
                                 << Of.share(Of.RefusedTwice));
  BOOST_TEST(With.share(With.RefusedTwice) <
             Without.share(Without.RefusedTwice) / 2);
  BOOST_TEST(With.share(With.Served) > Without.share(Without.Served));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
