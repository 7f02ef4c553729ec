#include "gate/CrashDetector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));

struct WatchRow {
  const char *What;
  // "start:1" (a call and its request), "suspect:1", "answer:1", "forget:1",
  // "cancel:1", "broke:1", "gone", "alive" and "wait:MILLISECONDS".
  const char *Steps;
  // Of the last "gone" or "alive": the calls that become suspects, and that are
  // told.
  const char *Suspects;
  const char *Told;
};

std::ostream &operator<<(std::ostream &Out, const WatchRow &Row) {
  return Out << Row.What;
}

const std::vector<WatchRow> WatchRows = {
    {"a connection ends and the upstream is there", "start:1 broke:1 alive", "",
     "1"},
    {"it is gone", "start:1 broke:1 gone", "1", "1"},
    {"what ran beside it is counted with it",
     "start:1 start:2 start:3 broke:1 broke:3 gone", "123", "13"},
    {"and not once more when its own connection ends",
     "start:1 start:2 broke:1 gone broke:2 gone", "", ""},
    {"what was answered before did not run",
     "start:1 start:2 answer:2 broke:1 "
     "gone",
     "1", "1"},
    {"what turned out not to have run did not",
     "start:1 start:2 forget:2 "
     "broke:1 gone",
     "1", "1"},
    {"a request that was answered here lately is no suspect",
     "start:2 answer:2 start:1 start:2 broke:1 gone", "1", "1"},
    {"long ago does not count",
     "start:2 answer:2 wait:61000 start:1 start:2 broke:1 gone", "12", "1"},
    {"its caller had just left",
     "start:1 cancel:1 start:2 wait:40 broke:2 gone", "21", "2"},
    {"its caller had left long before",
     "start:1 cancel:1 start:2 wait:300 broke:2 gone", "2", "2"},
    {"the next process crashes as well",
     "start:1 broke:1 gone start:2 broke:2 gone", "2", "2"},
    {"a lost answer before is nothing against it",
     "start:1 broke:1 alive start:2 broke:2 gone", "2", "2"},
};

std::string digits(const std::vector<CallId> &Of) {
  std::string Out;
  for (const CallId &Id : Of)
    Out += std::to_string(Id.Seq);
  return Out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RunWatching)

// An upstream crashes under several calls, or one connection of it ends. Only
// after a crash may what ran be suspected: who is suspected for a lost answer
// could be refused for it, and who is not goes on to crash the next.
BOOST_DATA_TEST_CASE(WhatRanWhenItCrashed, data::make(WatchRows), Row) {
  CrashDetector Watch{CrashDetector::Options()};
  TimePoint Now = Start;
  std::string Suspects, Told;
  std::istringstream In(Row.Steps);
  for (std::string Step; In >> Step;) {
    std::string What = Step.substr(0, Step.find(':'));
    uint64_t Of = Step.find(':') == std::string::npos
                      ? 0
                      : std::stoull(Step.substr(Step.find(':') + 1));
    CallId Id{1, Of};
    Now += Millis(1);
    if (What == "start")
      Watch.runStarted(Id, {Of}, /*Suspected=*/false);
    else if (What == "answer")
      Watch.runAnswered(Id, Now);
    else if (What == "forget")
      Watch.removeRun(Id);
    else if (What == "cancel")
      Watch.runCancelled(Id, Now);
    else if (What == "broke")
      Watch.connectionLost(Id, Now);
    else if (What == "wait")
      Now += Millis(Of);
    else if (What == "alive") {
      Suspects.clear();
      Told = digits(Watch.upstreamAlive());
    } else {
      CrashDetector::Crash Crash = Watch.upstreamCrashed(Now);
      Suspects = digits(Crash.Suspects);
      Told = digits(Crash.BrokenRuns);
    }
  }
  BOOST_TEST(Suspects == Row.Suspects);
  BOOST_TEST(Told == Row.Told);
}

// Nine connections end in one moment. One question about the upstream is
// enough, and one that is never answered counts as "alive".
BOOST_AUTO_TEST_CASE(OneProbeForAll) {
  CrashDetector Watch{CrashDetector::Options()};
  for (uint64_t I = 1; I <= 9; ++I)
    Watch.runStarted({1, I}, {I}, false);
  BOOST_TEST(
      (Watch.connectionLost({1, 1}, Start) == CrashDetector::Action::Probe));
  for (uint64_t I = 2; I <= 9; ++I)
    BOOST_TEST(
        (Watch.connectionLost({1, I}, Start) == CrashDetector::Action::Wait));
  BOOST_TEST(!Watch.isProbeOverdue(Start + Millis(100)));
  BOOST_TEST(Watch.isProbeOverdue(Start + Millis(101)));
  BOOST_TEST(Watch.upstreamAlive().size() == 9u);
  BOOST_TEST(!Watch.isProbeOverdue(Start + Millis(500)));
}

// What its connection still has to say after the crash is told at once.
BOOST_AUTO_TEST_CASE(LateEndsBelongToTheCrash) {
  CrashDetector Watch{CrashDetector::Options()};
  Watch.runStarted({1, 1}, {1}, true);
  Watch.runStarted({1, 2}, {2}, false);
  Watch.connectionLost({1, 2}, Start);
  Watch.upstreamCrashed(Start);
  BOOST_TEST((Watch.connectionLost({1, 1}, Start) ==
              CrashDetector::Action::AlreadyCrashed));
  BOOST_TEST(!Watch.hasOtherSuspect({9}));
}

// Answers remembered are bounded, however many there are.
BOOST_AUTO_TEST_CASE(OldAnswersAreForgotten) {
  CrashDetector::Options Opts;
  Opts.MaxRecentAnswers = 10;
  CrashDetector Watch(Opts);
  for (uint64_t I = 1; I <= 100; ++I) {
    Watch.runStarted({1, I}, {I}, false);
    Watch.runAnswered({1, I}, Start);
  }
  Watch.runStarted({2, 1}, {1}, false);
  Watch.runStarted({2, 100}, {100}, false);
  BOOST_TEST(Watch.upstreamCrashed(Start).Suspects.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
