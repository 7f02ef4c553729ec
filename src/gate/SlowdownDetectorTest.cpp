#include "gate/SlowdownDetector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr uint32_t SlowPercent = 150;

using RunEnd = SlowdownDetector::RunEnd;

/// A route and its usual run time.
struct RouteTime {
  const char *Name;
  Millis RunTime;
};

const RouteTime Lookup{"lookup", Millis(55)};
const RouteTime List{"list", Millis(190)};

/// An upstream whose slots are used by one run after the other. Runs take 0.7
/// to 1.3 times their usual time, multiplied by Slowdown.
class SimulatedUpstream {
public:
  SimulatedUpstream(std::vector<RouteTime> Routes, size_t Slots,
                    double TailShare = 0, uint64_t Seed = 1)
      : Routes(std::move(Routes)), TailShare(TailShare), Slots(Slots),
        Random(Seed) {}

  void run(Millis Length) {
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Millis(1)) {
      this->step();
      this->Values.push_back(this->Detector.percent(this->Now));
    }
  }
  void step() {
    for (Slot &One : this->Slots) {
      if (One.LeftMs > 0)
        One.LeftMs -= 1 / this->Slowdown;
      if (One.LeftMs <= 0 && One.Id.Seq)
        this->Detector.runEnded(std::exchange(One.Id, CallId()),
                                RunEnd::Answered, this->Now);
      if (One.LeftMs <= 0 && !this->Idle)
        this->startRun(One);
    }
    if (this->Now.time_since_epoch() % Millis(20) == Millis(0))
      this->Detector.tick(this->Now);
  }
  /// The times in milliseconds at which the upstream counted as slow, since
  /// Values was last cleared.
  std::vector<int64_t> slowValues() const {
    std::vector<int64_t> Times;
    for (size_t I = 0; I < this->Values.size(); ++I)
      if (this->Values[I] > SlowPercent)
        Times.push_back(static_cast<int64_t>(I));
    return Times;
  }
  /// Mean of the last values, one for each millisecond.
  double meanValue(size_t Last) const {
    double Sum = 0;
    for (size_t I = this->Values.size() - Last; I < this->Values.size(); ++I)
      Sum += this->Values[I];
    return Sum / static_cast<double>(Last);
  }

  SlowdownDetector Detector{SlowdownDetector::Options()};
  double Slowdown = 1;
  bool Idle = false;
  TimePoint Now = Start;
  std::vector<uint32_t> Values;

private:
  struct Slot {
    CallId Id;
    double LeftMs = 0;
  };

  void startRun(Slot &One) {
    std::uniform_real_distribution<double> Spread(0.7, 1.3), Share(0, 1);
    const RouteTime &Route = this->Routes[this->Random() % this->Routes.size()];
    One.Id = {1, ++this->LastSeq};
    One.LeftMs = static_cast<double>(Route.RunTime.count()) *
                 Spread(this->Random) *
                 (Share(this->Random) < this->TailShare ? 7 : 1);
    this->Detector.runStarted(One.Id, Route.Name, this->Now);
  }

  std::vector<RouteTime> Routes;
  double TailShare;
  std::vector<Slot> Slots;
  std::mt19937_64 Random;
  uint64_t LastSeq = 0;
};

/// The routes of an upstream, and within which time a slowdown of 2.5 times
/// that lasts 0.6 s must be detected, and forgotten after it has ended.
struct SlowdownRow {
  const char *Title;
  std::vector<RouteTime> Routes;
  size_t Slots;
  Millis SeenWithin;
  Millis ForgottenWithin;
};
std::ostream &operator<<(std::ostream &Stream, const SlowdownRow &Row) {
  return Stream << Row.Title;
}

const SlowdownRow SlowdownRows[] = {
    {"short runs", {Lookup}, 9, Millis(200), Millis(150)},
    {"long runs", {List}, 9, Millis(320), Millis(230)},
    {"mixed routes", {Lookup, List}, 9, Millis(320), Millis(230)},
    {"few slots", {Lookup}, 4, Millis(220), Millis(150)},
};

/// An upstream without slowdowns, and how often at most it may be taken for a
/// slow one in 30 s.
struct SteadyRow {
  const char *Title;
  std::vector<RouteTime> Routes;
  size_t Slots;
  double TailShare;
  double MaxSlowShare;
};
std::ostream &operator<<(std::ostream &Stream, const SteadyRow &Row) {
  return Stream << Row.Title;
}

const SteadyRow SteadyRows[] = {
    {"short runs", {Lookup}, 9, 0, 0},
    {"long runs", {List}, 9, 0, 0},
    {"routes of different length", {Lookup, List}, 9, 0, 0},
    {"3 in 100 short runs take seven times as long", {Lookup}, 9, 0.03, 0.02},
    {"3 in 100 runs of two routes take seven times as long",
     {Lookup, List},
     9,
     0.03,
     0.05},
    {"two slots", {Lookup}, 2, 0, 0},
};

/// An event after which the value must be unknown.
struct UnknownRow {
  const char *Title;
  std::function<void(SimulatedUpstream &)> Trigger;
};
std::ostream &operator<<(std::ostream &Stream, const UnknownRow &Row) {
  return Stream << Row.Title;
}

const UnknownRow UnknownRows[] = {
    {"the upstream is idle",
     [](SimulatedUpstream &Test) {
       Test.Idle = true;
       Test.run(Millis(400));
     }},
    {"the upstream was started again",
     [](SimulatedUpstream &Test) { Test.Detector.upstreamRestarted(); }},
    {"the process was paused, and the gate was told of it",
     [](SimulatedUpstream &Test) { Test.Detector.processPaused(); }},
    {"no event arrived for a while",
     [](SimulatedUpstream &Test) { Test.Now += Millis(400); }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlowdownDetection)

// Entries must know of a slowdown while most of it is still to come, and of its
// end before calls have avoided a fast upstream for long.
BOOST_DATA_TEST_CASE(SlowdownIsSeenAndForgotten, data::make(SlowdownRows),
                     Row) {
  constexpr uint64_t Seeds = 10;
  double MeanValue = 0;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SimulatedUpstream Test(Row.Routes, Row.Slots, /*TailShare=*/0, Seed);
    Test.run(Millis(10000));
    BOOST_TEST(Test.slowValues().empty());
    Test.Values.clear();
    Test.Slowdown = 2.5;
    Test.run(Millis(600));
    BOOST_REQUIRE(!Test.slowValues().empty());
    BOOST_TEST(Test.slowValues().front() <= Row.SeenWithin.count());
    MeanValue += Test.meanValue(200) / Seeds;
    Test.Values.clear();
    Test.Slowdown = 1;
    Test.run(Millis(2000));
    BOOST_REQUIRE(!Test.slowValues().empty());
    BOOST_TEST(Test.slowValues().back() <= Row.ForgottenWithin.count());
  }
  BOOST_TEST(MeanValue > 200);
  BOOST_TEST(MeanValue < 300);
}

// An upstream at its usual speed must not lose calls because some of its runs
// are long.
BOOST_DATA_TEST_CASE(SteadyUpstreamIsNotSlow, data::make(SteadyRows), Row) {
  SimulatedUpstream Test(Row.Routes, Row.Slots, Row.TailShare);
  Test.run(Millis(10000));
  Test.Values.clear();
  Test.run(Millis(30000));
  auto Slow = static_cast<double>(Test.slowValues().size());
  BOOST_TEST(Slow / static_cast<double>(Test.Values.size()) <=
             Row.MaxSlowShare);
  BOOST_TEST(Test.meanValue(30000) > 80);
  BOOST_TEST(Test.meanValue(30000) < 120);
}

// A slowdown that lasts becomes the usual speed. Entries also learn it from the
// run times, and must not count it twice for long.
BOOST_AUTO_TEST_CASE(LastingSlowdownBecomesUsual) {
  SimulatedUpstream Test({Lookup}, 9);
  Test.run(Millis(10000));
  Test.Slowdown = 2.5;
  Test.run(Millis(60000));
  BOOST_TEST(Test.meanValue(1000) < 120);
}

// A single hung run must not make an upstream look slow, whether other slots
// are busy or idle.
BOOST_DATA_TEST_CASE(SingleLongRunIsNotASlowdown, data::make({2, 4, 9}),
                     Slots) {
  SimulatedUpstream Test({Lookup}, static_cast<size_t>(Slots));
  Test.run(Millis(10000));
  Test.Detector.runStarted({2, 1}, Lookup.Name, Test.Now);
  Test.run(Millis(1000));
  Test.Detector.runEnded({2, 1}, RunEnd::Answered, Test.Now);
  Test.run(Millis(1000));
  BOOST_TEST(Test.slowValues().empty());
}

// Measurements that are out of date, that belong to an earlier start of the
// upstream or that a pause has distorted must not be reported as its speed. The
// value is known again once runs have ended.
BOOST_DATA_TEST_CASE(ValueIsUnknownWithoutRuns, data::make(UnknownRows), Row) {
  SimulatedUpstream Test({Lookup}, 9);
  BOOST_TEST(Test.Detector.percent(Test.Now) == 0u);
  Test.run(Millis(5000));
  BOOST_TEST(Test.Detector.percent(Test.Now) != 0u);
  Row.Trigger(Test);
  BOOST_TEST(Test.Detector.percent(Test.Now) == 0u);
  Test.Idle = false;
  Test.run(Millis(1000));
  BOOST_TEST(Test.Detector.percent(Test.Now) != 0u);
  BOOST_TEST(Test.slowValues().empty());
}

// All runs hang and are cancelled at their deadlines. If cancelled runs were
// ignored, the upstream that answers nothing would have no slowdown.
BOOST_AUTO_TEST_CASE(CancelledRunsShowASlowdown) {
  SimulatedUpstream Test({Lookup}, 9);
  Test.run(Millis(5000));
  Test.Idle = true;
  Test.run(Millis(400));
  for (uint64_t Seq = 1; Seq <= 6; ++Seq)
    Test.Detector.runStarted({2, Seq}, Lookup.Name, Test.Now);
  Test.run(Millis(300));
  for (uint64_t Seq = 1; Seq <= 6; ++Seq)
    Test.Detector.runEnded({2, Seq}, RunEnd::Cancelled, Test.Now);
  BOOST_TEST(Test.Detector.percent(Test.Now) > SlowPercent);
}

// Excluded runs, whose length depended on the caller or a failure, must change
// neither the value nor the usual run time.
BOOST_AUTO_TEST_CASE(ExcludedRunsAreIgnored) {
  SimulatedUpstream Test({Lookup}, 9);
  Test.run(Millis(5000));
  for (uint64_t Seq = 1; Seq <= 200; ++Seq) {
    Test.Detector.runStarted({2, Seq}, Lookup.Name, Test.Now);
    Test.run(Millis(5));
    Test.Detector.runEnded({2, Seq}, RunEnd::Excluded, Test.Now);
  }
  Test.run(Millis(300));
  BOOST_TEST(Test.slowValues().empty());
  BOOST_TEST(Test.meanValue(300) > 80);
}

// Routes come from configurations, so their number has no natural bound.
BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  SlowdownDetector::Options Opts;
  Opts.MaxRoutes = 1;
  Opts.MaxRuns = 2;
  SlowdownDetector Detector(Opts);
  for (uint64_t Seq = 1; Seq <= 3; ++Seq)
    Detector.runStarted({1, Seq}, "r", Start);
  BOOST_TEST(Detector.runsUnderWay().size() == 2u);
  TimePoint Now = Start + Millis(10);
  Detector.runEnded({1, 1}, RunEnd::Answered, Now);
  Detector.runEnded({1, 2}, RunEnd::Excluded, Now);
  auto RunTwenty = [&](const std::string &Route) {
    for (uint64_t Seq = 1; Seq <= 20; ++Seq) {
      Detector.runStarted({2, Seq}, Route, Now);
      Now += Millis(10);
      Detector.runEnded({2, Seq}, RunEnd::Answered, Now);
    }
    return Detector.percent(Now);
  };
  BOOST_TEST(RunTwenty("other") == 0u);
  BOOST_TEST(RunTwenty("r") == 100u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
