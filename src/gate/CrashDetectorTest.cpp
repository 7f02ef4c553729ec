#include "gate/CrashDetector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));

struct DetectorRow {
  const char *Name;
  // The steps are "start:1" (a call and its request), "suspect:1", "answer:1",
  // "forget:1", "cancel:1", "broke:1", "gone", "alive" and "wait:MILLISECONDS".
  const char *Steps;
  // The result of the last "gone" or "alive": the calls that become suspects,
  // and those that are reported as broken.
  const char *Suspects;
  const char *BrokenRuns;
};

std::ostream &operator<<(std::ostream &Out, const DetectorRow &Row) {
  return Out << Row.Name;
}

const std::vector<DetectorRow> DetectorRows = {
    {"a connection ends and the upstream is alive", "start:1 broke:1 alive", "",
     "1"},
    {"the upstream crashed", "start:1 broke:1 gone", "1", "1"},
    {"other runs at the time are counted with the crash",
     "start:1 start:2 start:3 broke:1 broke:3 gone", "123", "13"},
    {"a run is not counted again when its own connection ends",
     "start:1 start:2 broke:1 gone broke:2 gone", "", ""},
    {"an answered call was not running",
     "start:1 start:2 answer:2 broke:1 "
     "gone",
     "1", "1"},
    {"a removed run was not running",
     "start:1 start:2 forget:2 "
     "broke:1 gone",
     "1", "1"},
    {"a request that was answered here recently is no suspect",
     "start:2 answer:2 start:1 start:2 broke:1 gone", "1", "1"},
    {"an answer from long ago does not count",
     "start:2 answer:2 wait:61000 start:1 start:2 broke:1 gone", "12", "1"},
    {"a run that was just cancelled still counts",
     "start:1 cancel:1 start:2 wait:40 broke:2 gone", "21", "2"},
    {"a run that was cancelled long before does not count",
     "start:1 cancel:1 start:2 wait:300 broke:2 gone", "2", "2"},
    {"the next process crashes as well",
     "start:1 broke:1 gone start:2 broke:2 gone", "2", "2"},
    {"an earlier lost answer does not make it a suspect",
     "start:1 broke:1 alive start:2 broke:2 gone", "2", "2"},
};

std::string digits(const std::vector<CallId> &Ids) {
  std::string Digits;
  for (const CallId &Id : Ids)
    Digits += std::to_string(Id.Seq);
  return Digits;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashDetection)

// Guards against suspecting a request because of a lost answer, for which it
// could be refused, and against missing one after a crash, which would go on to
// crash the next upstream. Only runs at the time of a crash become suspects.
BOOST_DATA_TEST_CASE(OnlyRunsDuringACrashBecomeSuspects,
                     data::make(DetectorRows), Row) {
  CrashDetector Detector{CrashDetector::Options()};
  TimePoint Now = Start;
  std::string Suspects, BrokenRuns;
  std::istringstream In(Row.Steps);
  for (std::string Step; In >> Step;) {
    std::string Action = Step.substr(0, Step.find(':'));
    uint64_t Number = Step.find(':') == std::string::npos
                          ? 0
                          : std::stoull(Step.substr(Step.find(':') + 1));
    CallId Id{1, Number};
    Now += Millis(1);
    if (Action == "start")
      Detector.runStarted(Id, {Number}, /*IsSuspect=*/false);
    else if (Action == "answer")
      Detector.runAnswered(Id, Now);
    else if (Action == "forget")
      Detector.removeRun(Id);
    else if (Action == "cancel")
      Detector.runCancelled(Id, Now);
    else if (Action == "broke")
      Detector.connectionLost(Id, Now);
    else if (Action == "wait")
      Now += Millis(Number);
    else if (Action == "alive") {
      Suspects.clear();
      BrokenRuns = digits(Detector.upstreamAlive());
    } else {
      CrashDetector::Crash Crash = Detector.upstreamCrashed(Now);
      Suspects = digits(Crash.Suspects);
      BrokenRuns = digits(Crash.BrokenRuns);
    }
  }
  BOOST_TEST(Suspects == Row.Suspects);
  BOOST_TEST(BrokenRuns == Row.BrokenRuns);
}

// Nine connections end at the same moment. One probe of the upstream is enough,
// and a probe without an answer counts as "alive".
BOOST_AUTO_TEST_CASE(AllBrokenRunsShareOneProbe) {
  CrashDetector Detector{CrashDetector::Options()};
  for (uint64_t I = 1; I <= 9; ++I)
    Detector.runStarted({1, I}, {I}, false);
  BOOST_TEST(
      (Detector.connectionLost({1, 1}, Start) == CrashDetector::Action::Probe));
  for (uint64_t I = 2; I <= 9; ++I)
    BOOST_TEST((Detector.connectionLost({1, I}, Start) ==
                CrashDetector::Action::Wait));
  BOOST_TEST(!Detector.isProbeOverdue(Start + Millis(100)));
  BOOST_TEST(Detector.isProbeOverdue(Start + Millis(101)));
  BOOST_TEST(Detector.upstreamAlive().size() == 9u);
  BOOST_TEST(!Detector.isProbeOverdue(Start + Millis(500)));
}

// A connection that ends after the crash was reported must not start another
// probe.
BOOST_AUTO_TEST_CASE(LateConnectionLossBelongsToTheCrash) {
  CrashDetector Detector{CrashDetector::Options()};
  Detector.runStarted({1, 1}, {1}, true);
  Detector.runStarted({1, 2}, {2}, false);
  Detector.connectionLost({1, 2}, Start);
  Detector.upstreamCrashed(Start);
  BOOST_TEST((Detector.connectionLost({1, 1}, Start) ==
              CrashDetector::Action::AlreadyCrashed));
  BOOST_TEST(!Detector.hasOtherSuspect({9}));
}

// The number of remembered answers is bounded, however many there are.
BOOST_AUTO_TEST_CASE(OldestAnswersAreRemoved) {
  CrashDetector::Options Opts;
  Opts.MaxRecentAnswers = 10;
  CrashDetector Detector(Opts);
  for (uint64_t I = 1; I <= 100; ++I) {
    Detector.runStarted({1, I}, {I}, false);
    Detector.runAnswered({1, I}, Start);
  }
  Detector.runStarted({2, 1}, {1}, false);
  Detector.runStarted({2, 100}, {100}, false);
  BOOST_TEST(Detector.upstreamCrashed(Start).Suspects.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
