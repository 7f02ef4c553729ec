#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

using Fixture = GateFixture;

constexpr Millis Tick{20};

/// How a call ends, and what an entry is told that asks about it over another
/// link: the outcome and its reason.
struct EndCase {
  const char *Name;
  std::function<void(Fixture &)> End;
  size_t Remembered;
  wire::Outcome Told;
  const char *Reason;
};
std::ostream &operator<<(std::ostream &To, const EndCase &Of) {
  return To << Of.Name;
}

void answer(Fixture &Of) {
  ResponseHead Head;
  Head.Status = 200;
  Head.Length = 2;
  Of.TestGate->upstreamHead({7, 1}, Head, Of.Now);
  Of.TestGate->upstreamData({7, 1}, "ok", Of.Now);
}

const EndCase Ends[] = {
    {"refused by a gate that drains",
     [](Fixture &Of) {
       Of.TestGate->drain("test", Of.Now);
       Of.sendOpen(Of.makeOpen(1));
     },
     0, wire::Outcome::NotRun, "never-arrived"},
    {"refused by the upstream",
     [](Fixture &Of) {
       Of.sendOpen(Of.makeOpen(1));
       ResponseHead Head;
       Head.Status = 503;
       Head.Headers = {{"Not-Run", "1"}};
       Of.TestGate->upstreamHead({7, 1}, Head, Of.Now);
     },
     0, wire::Outcome::NotRun, "never-arrived"},
    {"asked about before it came",
     [](Fixture &Of) {
       wire::OpenT Open = Of.makeOpen(1);
       Open.resume = true;
       Of.sendOpen(Open);
     },
     1, wire::Outcome::NotRun, "never-arrived"},
    {"lost with its upstream",
     [](Fixture &Of) {
       Of.sendOpen(Of.makeOpen(1));
       Of.TestGate->upstreamFailed({7, 1}, /*Sent=*/true,
                                   Error{Errc::Timeout, "s", "p", ""}, Of.Now);
     },
     1, wire::Outcome::Unknown, "upstream-timeout"},
    {"answered, and the entry has the answer",
     [](Fixture &Of) {
       Of.sendOpen(Of.makeOpen(1));
       answer(Of);
       wire::CreditT Credit;
       Credit.seq = 1;
       Credit.consumed = 2;
       Of.TestGate->handleFrame(Fixture::Link, makeCallFrame(Credit), Of.Now);
     },
     1, wire::Outcome::Unknown, "answer-delivered"},
    {"answered, and the entry does not want the answer",
     [](Fixture &Of) {
       Of.sendOpen(Of.makeOpen(1));
       answer(Of);
       wire::CancelT Cancel;
       Cancel.seq = 1;
       Of.TestGate->handleFrame(Fixture::Link, makeCallFrame(std::move(Cancel)),
                                Of.Now);
     },
     1, wire::Outcome::Unknown, "cancelled"},
};

/// What a call that holds a slot does until other calls want one.
struct StallCase {
  const char *Name;
  // Bytes of its body that come each second; the body has no end.
  size_t BytesPerSecond;
  // Whether the upstream takes them.
  bool Consumed;
  bool OthersWait;
  bool Ends;
};
std::ostream &operator<<(std::ostream &To, const StallCase &Of) {
  return To << Of.Name;
}

const StallCase Stalls[] = {
    {"nothing comes and others wait", 0, true, true, true},
    {"a byte comes now and then", 1, true, true, true},
    {"it moves", 4096, true, true, false},
    {"the upstream takes nothing", 8192, false, true, false},
    {"nobody waits", 0, true, false, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndedCalls)

// Guards against a gate whose memory callers fill with calls that never ran,
// and against a call that runs although its entry was told that it had not.
BOOST_DATA_TEST_CASE(EndedCallsAreRememberedAsLongAsTheyMatter,
                     data::make(Ends), Row) {
  Fixture Test;
  Row.End(Test);
  Test.TestGate->tick(Test.Now += Tick);
  BOOST_TEST(Test.TestGate->callRecordCount() == Row.Remembered);
  BOOST_TEST(Test.TestGate->bufferedBytes() == 0u);
  size_t Started = Test.StartedCalls.size();
  if (Row.Remembered > 0)
    Test.sendOpen(Test.makeOpen(1));
  BOOST_TEST(Test.StartedCalls.size() == Started);
  Test.SentFrames.clear();
  wire::OpenT Again = Test.makeOpen(1);
  Again.resume = true;
  Test.sendOpen(Again);
  const wire::FailedT *Failed = Test.lastFailed();
  BOOST_REQUIRE(Failed);
  BOOST_TEST((Failed->outcome == Row.Told));
  BOOST_TEST(Failed->reason == Row.Reason);
  // Once the entry has been told, a copy on its way must not run.
  Test.TestGate->tick(Test.Now += Tick);
  Test.sendOpen(Test.makeOpen(1));
  BOOST_TEST(Test.StartedCalls.size() == Started);
  Test.Now += Millis(1000) + Gate::Options().RetainAfterDeadline;
  Test.TestGate->tick(Test.Now);
  BOOST_TEST(Test.TestGate->callRecordCount() == 0u);
}

// Guards against callers that hold all slots of an upstream by bodies that they
// do not go on with.
BOOST_DATA_TEST_CASE(StalledCallsGiveTheirSlotsToOthers, data::make(Stalls),
                     Case) {
  Fixture Test;
  Test.listSlots(1);
  wire::OpenT Open = Test.makeOpen(1);
  Open.length = -1;
  Open.budget_ms = 60000;
  Test.sendOpen(Open);
  BOOST_REQUIRE(Test.StartedCalls.size() == 1u);
  size_t Sent = 0;
  for (unsigned Second = 0; Second < 7; ++Second) {
    Test.sendBody(1, Sent, Case.BytesPerSecond, /*End=*/false);
    Sent += Case.BytesPerSecond;
    if (Case.Consumed)
      Test.TestGate->requestConsumed({7, 1}, Sent, Test.Now);
    wire::OpenT Other = Test.makeOpen(10 + Second);
    Other.budget_ms = 60000;
    if (Case.OthersWait)
      Test.sendOpen(Other);
    Test.TestGate->tick(Test.Now += Millis(1000));
  }
  BOOST_TEST(Test.CancelledCalls.size() == (Case.Ends ? 1u : 0u));
  std::string Reason;
  for (const wire::CallFrameT &Frame : Test.SentFrames)
    if (const auto *Failed = Frame.payload.AsFailed();
        Failed && Failed->seq == 1)
      Reason = Failed->reason;
  BOOST_TEST(Reason == (Case.Ends ? "caller-stalled" : ""));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
