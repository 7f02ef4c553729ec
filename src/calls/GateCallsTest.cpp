#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

using Fixture = GateFixture;

struct AnswerRow {
  unsigned Status;
  bool Marked;
  // Empty if the answer is passed on to the entry.
  const char *ExpectedReason;
  wire::Outcome ExpectedOutcome;
};
std::ostream &operator<<(std::ostream &Stream, const AnswerRow &Row) {
  return Stream << Row.Status << (Row.Marked ? " marked" : "");
}

const AnswerRow Answers[] = {
    {200, false, "", wire::Outcome::NotRun},
    {500, false, "", wire::Outcome::NotRun},
    {504, false, "", wire::Outcome::NotRun},
    {400, true, "", wire::Outcome::NotRun},
    {503, true, "upstream-shed", wire::Outcome::NotRun},
    {429, true, "upstream-shed", wire::Outcome::NotRun},
    {408, true, "upstream-shed", wire::Outcome::NotRun},
    {421, true, "upstream-replaced", wire::Outcome::NotRun},
    {421, false, "upstream-replaced", wire::Outcome::NotRun},
    {503, false, "upstream-unmarked-refusal", wire::Outcome::Unknown},
    {429, false, "upstream-unmarked-refusal", wire::Outcome::Unknown},
    {408, false, "upstream-unmarked-refusal", wire::Outcome::Unknown},
};

constexpr uint64_t LongAnswerBytes = 200 * 1024;
// What the records of ended calls may take up beside their bodies.
constexpr size_t MaxBytesOfEndedCall = 1024;

/// How a call ends of whose answer the gate holds LongAnswerBytes.
struct CallEnd {
  const char *Name;
  void (*Happens)(Fixture &);
};
std::ostream &operator<<(std::ostream &Stream, const CallEnd &Row) {
  return Stream << Row.Name;
}

const CallEnd CallEnds[] = {
    {"its entry cancels it",
     [](Fixture &Test) {
       wire::CancelT Cancel;
       Cancel.seq = 1;
       Test.TestGate->handleFrame(Fixture::Link, makeCallFrame(Cancel),
                                  Test.Now);
     }},
    {"its deadline passes",
     [](Fixture &Test) {
       Test.Now += Millis(Test.makeOpen(1).budget_ms + 100);
       Test.TestGate->tick(Test.Now);
     }},
    {"the upstream breaks off its answer",
     [](Fixture &Test) {
       Error Why{Errc::BadMessage, "upstream-call", "up-1", "not an answer"};
       Test.TestGate->upstreamFailed({7, 1}, /*Sent=*/true, Why, Test.Now);
     }},
    {"its entry has the whole answer",
     [](Fixture &Test) {
       Test.TestGate->upstreamEnd({7, 1}, Test.Now);
       wire::CreditT Credit;
       Credit.seq = 1;
       Credit.consumed = LongAnswerBytes;
       Test.TestGate->handleFrame(Fixture::Link, makeCallFrame(Credit),
                                  Test.Now);
     }},
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateCalls)

// Guards against false "not run" reports: callers take 503, 429, 408 and 421 to
// mean that nothing ran, which is certain only if the upstream marks the answer
// or, for 421, another process answers at its address.
BOOST_DATA_TEST_CASE(UnmarkedRefusalsAreReportedAsUnknown, data::make(Answers),
                     Row) {
  Fixture Test;
  Test.sendOpen(Test.makeOpen(1));
  BOOST_REQUIRE(Test.StartedCalls.size() == 1u);
  ResponseHead Head;
  Head.Status = Row.Status;
  Head.Length = 0;
  if (Row.Marked)
    Head.Headers = {{"Not-Run", "1"}};
  Test.TestGate->upstreamHead({7, 1}, Head, Test.Now);
  const wire::FailedT *Failed = Test.lastFailed();
  BOOST_TEST((Failed ? Failed->reason : "") == Row.ExpectedReason);
  if (Failed)
    BOOST_TEST((Failed->outcome == Row.ExpectedOutcome));
}

// Guards against a gate whose memory fills with the answers of calls that have
// ended: their records are kept for seconds after their deadlines.
BOOST_DATA_TEST_CASE(BodiesOfEndedCallsAreFreed, data::make(CallEnds), Row) {
  Fixture Test;
  Test.sendOpen(Test.makeOpen(1));
  ResponseHead Head;
  Head.Status = 200;
  Head.Length = -1;
  Test.TestGate->upstreamHead({7, 1}, Head, Test.Now);
  Test.TestGate->upstreamData({7, 1}, std::string(LongAnswerBytes, 'x'),
                              Test.Now);
  BOOST_REQUIRE(Test.TestGate->bufferedBytes() >= LongAnswerBytes);
  Row.Happens(Test);
  BOOST_TEST(Test.TestGate->bufferedBytes() <= MaxBytesOfEndedCall);
}

// Guards against the same with the bodies of calls that are refused before they
// start.
BOOST_FIXTURE_TEST_CASE(BodiesOfRefusedCallsAreFreed, Fixture) {
  this->openUpload(1);
  this->sendBody(1, 0, 10000, /*End=*/false);
  BOOST_REQUIRE(this->TestGate->bufferedBytes() >= 10000u);
  this->TestGate->drain("test", this->Now);
  BOOST_TEST(this->TestGate->bufferedBytes() <= MaxBytesOfEndedCall);
}

// Guards against a gate that cancels a run while its entry is still connecting
// again to ask for it: over a congested network link that takes a second.
BOOST_DATA_TEST_CASE(RunsOutliveTheReconnectionOfTheirEntry,
                     data::make({100, 600, 1500, 2900}), ReconnectMs) {
  constexpr Gate::LinkId NewLink = 2;
  Fixture Test;
  wire::OpenT Open = Test.makeOpen(1);
  Open.idempotent = true;
  Open.budget_ms = 10000;
  Test.sendOpen(Open);
  wire::PingT Last;
  Last.reconnects = true;
  Test.TestGate->handleFrame(Fixture::Link, makeCallFrame(Last), Test.Now);
  Test.TestGate->linkDown(Fixture::Link, Test.Now);
  Test.Now += Millis(ReconnectMs);
  Test.TestGate->tick(Test.Now);
  BOOST_TEST(Test.CancelledCalls.empty());
  Test.TestGate->linkUp(NewLink, Test.Now);
  wire::CallHelloT Hello;
  Hello.incarnation = 7;
  Test.TestGate->handleFrame(NewLink, makeCallFrame(std::move(Hello)),
                             Test.Now);
  Open.resume = true;
  Test.TestGate->handleFrame(NewLink, makeCallFrame(Open), Test.Now);
  BOOST_TEST(Test.lastFailed() == nullptr);
  Test.Now += Millis(5000);
  Test.TestGate->tick(Test.Now);
  BOOST_TEST(Test.CancelledCalls.empty());
}

// Guards against a run that goes on for an entry that has announced to resume
// it and has died since.
BOOST_FIXTURE_TEST_CASE(RunsEndIfTheirEntryDoesNotReconnect, Fixture) {
  wire::OpenT Open = this->makeOpen(1);
  Open.idempotent = true;
  Open.budget_ms = 10000;
  this->sendOpen(Open);
  wire::PingT Last;
  Last.reconnects = true;
  this->TestGate->handleFrame(Link, makeCallFrame(Last), this->Now);
  this->TestGate->linkDown(Link, this->Now);
  this->Now += Gate::Options().ReconnectGrace;
  this->TestGate->tick(this->Now);
  BOOST_TEST(this->CancelledCalls.size() == 1u);
}

// An entry whose caller reads nothing must not make the gate hold the whole
// answer: the memory of a node is bounded.
BOOST_DATA_TEST_CASE(SlowReadersPauseTheAnswer, data::make({false, true}),
                     Reads) {
  GateFixture Test;
  Test.sendOpen(Test.makeOpen(1));
  ResponseHead Head;
  Head.Status = 200;
  Head.Length = -1;
  Test.TestGate->upstreamHead({7, 1}, Head, Test.Now);
  uint64_t Window = Gate::Options().BodyWindowBytes;
  uint64_t Sent = 0;
  while (Sent < 8 * Window &&
         (Test.AnswerPauses.empty() || !Test.AnswerPauses.back())) {
    Test.TestGate->upstreamData({7, 1}, std::string(Window / 4, 'x'), Test.Now);
    Sent += Window / 4;
    wire::CreditT Credit;
    Credit.seq = 1;
    Credit.consumed = Reads ? Sent : 0;
    Test.TestGate->handleFrame(Test.Link, makeCallFrame(Credit), Test.Now);
  }
  BOOST_TEST(Test.AnswerPauses.size() == (Reads ? 0u : 1u));
  BOOST_TEST((Sent <= 4 * Window) == !Reads);
  wire::CreditT Credit;
  Credit.seq = 1;
  for (uint64_t Consumed = Window; Consumed <= Sent; Consumed += Window) {
    Credit.consumed = Consumed;
    Test.TestGate->handleFrame(Test.Link, makeCallFrame(Credit), Test.Now);
  }
  BOOST_TEST(Test.AnswerPauses ==
             (Reads ? std::vector<bool>{} : std::vector<bool>{true, false}));
}

// The upstream receives the name of the expected upstream process, so that
// another process can reject the call, and the call's remaining time.
BOOST_FIXTURE_TEST_CASE(RequestsCarryExpectedUpstreamAndBudget, Fixture) {
  this->sendOpen(this->makeOpen(1));
  const HeaderList &Headers = this->StartedCalls.at(0).second.Headers;
  BOOST_TEST(findHeader(Headers, "Expect-Upstream") == "up-1");
  BOOST_TEST(findHeader(Headers, "Budget") == "1000");
}

// Guards against a gate that admits fewer calls because its upstream fails half
// of its calls by shedding them although it has free slots; the callers of the
// other half would be refused. Nine calls still run at once, as many as the
// instance list states, however many were shed before.
BOOST_FIXTURE_TEST_CASE(ShedCallsDoNotReduceListedSlots, Fixture) {
  this->listSlots(9);
  ResponseHead Shed;
  Shed.Status = 503;
  Shed.Headers = {{"Not-Run", "1"}};
  for (uint64_t Seq = 1; Seq <= 20; ++Seq) {
    this->sendOpen(this->makeOpen(Seq));
    this->TestGate->upstreamHead({7, Seq}, Shed, this->Now);
  }
  BOOST_TEST(this->lastFailed()->retry_after_ms == 30u);
  size_t Before = this->StartedCalls.size();
  for (uint64_t Seq = 101; Seq <= 110; ++Seq)
    this->sendOpen(this->makeOpen(Seq));
  BOOST_TEST(this->StartedCalls.size() - Before == 9u);
}

// When an entry's process is gone, so is the caller's connection. Idempotent
// calls are aborted because no caller receives their answers; a call that must
// not be repeated continues to run.
BOOST_FIXTURE_TEST_CASE(IdempotentCallsOfLostEntryAreAborted, Fixture) {
  wire::OpenT Safe = this->makeOpen(1);
  Safe.idempotent = true;
  this->sendOpen(std::move(Safe));
  this->sendOpen(this->makeOpen(2));
  this->TestGate->linkDown(Link, this->Now);
  this->Now += Millis(400);
  this->TestGate->tick(this->Now);
  BOOST_TEST(this->CancelledCalls.empty());
  this->Now += Millis(200);
  this->TestGate->tick(this->Now);
  BOOST_REQUIRE(this->CancelledCalls.size() == 1u);
  BOOST_TEST(this->CancelledCalls.at(0).Seq == 1u);
}

// Guards against slots that are held while a body arrives over a slow link. The
// body is fetched while all slots are in use; the call asks for a slot when it
// is complete.
BOOST_FIXTURE_TEST_CASE(SlowLinkBodiesArePrefetchedBeforeTheSlot, Fixture) {
  this->listSlots(1);
  this->makeLinkSlow();
  this->sendOpen(this->makeOpen(1));
  this->openUpload(2);
  BOOST_TEST(this->requestedBodies() == (std::vector<uint64_t>{2}));
  this->sendBody(2, 0, 10000, /*End=*/false);
  ResponseHead Head;
  Head.Status = 200;
  Head.Length = 0;
  this->Now += Millis(50);
  this->TestGate->upstreamHead({7, 1}, Head, this->Now);
  BOOST_TEST(this->StartedCalls.size() == 1u);
  BOOST_TEST(this->TestGate->load(this->Now).in_flight() == 0u);
  this->sendBody(2, 10000, 10000, /*End=*/true);
  BOOST_TEST(this->StartedCalls.size() == 2u);
}

// A prefetched body does not arrive before the deadline. The call is refused as
// not run, and the late body must not start it.
BOOST_FIXTURE_TEST_CASE(CallsWithMissingBodiesAreRefusedAtDeadline, Fixture) {
  this->listSlots(1);
  this->makeLinkSlow();
  this->openUpload(2);
  this->Now += Millis(2001);
  this->TestGate->tick(this->Now);
  BOOST_REQUIRE(this->lastFailed());
  BOOST_TEST((this->lastFailed()->outcome == wire::Outcome::NotRun));
  this->sendBody(2, 0, 20000, /*End=*/true);
  BOOST_TEST(this->StartedCalls.empty());
}

// Guards against a link overloaded with bodies that arrive too late. Uploads
// whose bodies could not be complete in time are refused at once, so that they
// go to another gate.
BOOST_FIXTURE_TEST_CASE(BodiesThatWouldBeLateAreNotRequested, Fixture) {
  this->listSlots(9);
  this->makeLinkSlow();
  size_t Refused = 0;
  for (uint64_t Seq = 1; Seq <= 20; ++Seq) {
    this->openUpload(Seq);
    Refused += this->lastFailed() && this->lastFailed()->seq == Seq;
  }
  BOOST_TEST(Refused >= 5u);
  BOOST_TEST(Refused <= 14u);
  BOOST_REQUIRE(this->lastFailed());
  BOOST_TEST(this->lastFailed()->seq == 20u);
  BOOST_TEST(this->lastFailed()->retry_after_ms > 0u);
  BOOST_TEST(this->requestedBodies().size() == 2u);
}

// On a fast link a body is requested only when its call has a slot. Otherwise
// it would be sent for nothing if all slots were in use when it arrived.
BOOST_FIXTURE_TEST_CASE(FastLinkBodiesAreRequestedAfterTheSlot, Fixture) {
  this->listSlots(1);
  this->sendOpen(this->makeOpen(1));
  this->openUpload(2);
  BOOST_TEST(this->requestedBodies().empty());
}

// A body that exceeds the flow-control window is not buffered at the gate. It
// is requested when the call starts, and goes straight to the upstream.
BOOST_FIXTURE_TEST_CASE(UnfinishedCallsBodyIsAskedForWhenTheCallRuns, Fixture) {
  this->listSlots(1);
  this->sendOpen(this->makeOpen(1));
  wire::OpenT Long = this->makeOpen(2);
  Long.length = 300 * 1024;
  Long.holds_body = true;
  this->sendOpen(std::move(Long));
  BOOST_TEST(this->admittedCount() == 0u);
  ResponseHead Head;
  Head.Status = 200;
  Head.Length = 0;
  this->Now += Millis(50);
  this->TestGate->upstreamHead({7, 1}, Head, this->Now);
  BOOST_TEST(this->StartedCalls.size() == 2u);
  BOOST_TEST(this->admittedCount() == 1u);
}

// Guards against many long bodies that share the link at once. Of five uploads
// admitted together, two transfer their bodies; each further body is requested
// when a transfer ends: complete, cancelled by the caller, or timed out.
BOOST_FIXTURE_TEST_CASE(ConcurrentBodyTransfersAreLimited, Fixture) {
  for (uint64_t Seq = 1; Seq <= 5; ++Seq)
    this->openUpload(Seq);
  BOOST_TEST(this->requestedBodies() == (std::vector<uint64_t>{1, 2}));
  wire::DataT LastData;
  LastData.seq = 1;
  LastData.bytes.assign(20000, 'x');
  LastData.end = true;
  this->TestGate->handleFrame(Link, makeCallFrame(std::move(LastData)),
                              this->Now);
  BOOST_TEST(this->requestedBodies() == (std::vector<uint64_t>{1, 2, 3}));
  wire::CancelT Cancel;
  Cancel.seq = 2;
  this->TestGate->handleFrame(Link, makeCallFrame(std::move(Cancel)),
                              this->Now);
  BOOST_TEST(this->requestedBodies() == (std::vector<uint64_t>{1, 2, 3, 4}));
  this->TestGate->tick(this->Now + Millis(1100));
  BOOST_TEST(this->requestedBodies() == (std::vector<uint64_t>{1, 2, 3, 4, 5}));
}

BOOST_AUTO_TEST_SUITE_END()

// Draining a gate while its upstream leaves. Calls that the upstream has begun
// continue. Calls of which it has received nothing must not reach it, however
// long ago they were accepted: a body of 60 KB on a slow link arrives seconds
// after its call, and the upstream may end while it runs. These calls are
// refused at once as not run, while there is time to try another upstream.
BOOST_AUTO_TEST_SUITE(GateDraining)

namespace {

enum class UploadState { HasSlot, HasSlotUnasked, Queued, Prefetching };

struct UploadRow {
  const char *Name;
  UploadState Upload;
  // How many of its 20,000 bytes have arrived when the gate starts to drain.
  size_t BytesArrived;
};
std::ostream &operator<<(std::ostream &Stream, const UploadRow &Row) {
  return Stream << Row.Name << ", " << Row.BytesArrived << " bytes arrived";
}

const UploadRow UploadRows[] = {
    {"has a slot and waits for its body", UploadState::HasSlot, 0},
    {"has a slot and part of its body", UploadState::HasSlot, 10000},
    {"has a slot, and its body is sent slowly without a request",
     UploadState::HasSlotUnasked, 10000},
    {"waits for a slot", UploadState::Queued, 0},
    {"body requested before the call has a slot", UploadState::Prefetching, 0},
    {"body arriving before the call has a slot", UploadState::Prefetching,
     10000},
};

enum class EndCause { Drain, LinkLost, CallerCancels, Deadline };

struct EndRow {
  EndCause Cause;
  const char *ExpectedReason;
};
std::ostream &operator<<(std::ostream &Stream, const EndRow &Row) {
  return Stream << Row.ExpectedReason;
}

const EndRow EndRows[] = {
    {EndCause::Drain, "draining"},
    {EndCause::LinkLost, ""},
    {EndCause::CallerCancels, "cancelled"},
    {EndCause::Deadline, "deadline"},
};

} // namespace

BOOST_DATA_TEST_CASE(UnstartedUploadsAreRefusedAtOnce, data::make(UploadRows),
                     Row) {
  Fixture Test;
  Test.listSlots(1);
  if (Row.Upload == UploadState::Prefetching)
    Test.makeLinkSlow();
  if (Row.Upload == UploadState::Queued)
    Test.sendOpen(Test.makeOpen(1));
  Test.openUpload(2, /*HoldsBody=*/Row.Upload != UploadState::HasSlotUnasked);
  if (Row.BytesArrived)
    Test.sendBody(2, 0, Row.BytesArrived, /*End=*/false);
  Test.StartedCalls.clear();
  Test.TestGate->drain("list", Test.Now);
  BOOST_REQUIRE(Test.lastFailed());
  BOOST_TEST(Test.lastFailed()->seq == 2u);
  BOOST_TEST(Test.lastFailed()->reason == "draining");
  BOOST_TEST((Test.lastFailed()->outcome == wire::Outcome::NotRun));
  Test.sendBody(2, Row.BytesArrived, 20000 - Row.BytesArrived, /*End=*/true);
  Test.TestGate->tick(Test.Now + Millis(100));
  BOOST_TEST(Test.StartedCalls.empty());
  BOOST_TEST(Test.CancelledCalls.empty());
}

// An upload with a slot and half of its body ends before the body is complete.
// Its slot becomes free, the call is refused as not run, and the rest of the
// body, which was already sent, must not start it.
BOOST_DATA_TEST_CASE(UploadEndedBeforeItsBodyNeverRuns, data::make(EndRows),
                     Row) {
  Fixture Test;
  Test.listSlots(1);
  Test.openUpload(1);
  Test.sendBody(1, 0, 10000, /*End=*/false);
  BOOST_TEST(Test.TestGate->load(Test.Now).in_flight() == 1u);
  wire::CancelT Cancel;
  Cancel.seq = 1;
  switch (Row.Cause) {
  case EndCause::Drain:
    Test.TestGate->drain("list", Test.Now);
    break;
  case EndCause::LinkLost:
    Test.TestGate->linkDown(Fixture::Link, Test.Now);
    break;
  case EndCause::CallerCancels:
    Test.TestGate->handleFrame(Fixture::Link, makeCallFrame(std::move(Cancel)),
                               Test.Now);
    break;
  case EndCause::Deadline:
    Test.Now += Millis(2001);
    Test.TestGate->tick(Test.Now);
    break;
  }
  // The refusal cannot be sent over a lost link.
  BOOST_TEST((Test.lastFailed() ? Test.lastFailed()->reason : "") ==
             Row.ExpectedReason);
  if (Test.lastFailed())
    BOOST_TEST((Test.lastFailed()->outcome == wire::Outcome::NotRun));
  BOOST_TEST(Test.TestGate->load(Test.Now).in_flight() == 0u);
  Test.sendBody(1, 10000, 10000, /*End=*/true);
  BOOST_TEST(Test.StartedCalls.empty());
  BOOST_TEST(Test.TestGate->idle());
}

// An upload whose entry sends without being asked waits for a slot and has sent
// as much as the window allows. When it gets the slot, credit must be sent;
// otherwise it would hold the slot unused until its deadline.
BOOST_FIXTURE_TEST_CASE(CreditIsSentWhenAnUploadGetsItsSlot, Fixture) {
  this->listSlots(1);
  this->sendOpen(this->makeOpen(1));
  this->openUpload(2, /*HoldsBody=*/false);
  this->sendBody(2, 0, 16000, /*End=*/false);
  this->SentFrames.clear();
  ResponseHead Head;
  Head.Status = 200;
  Head.Length = 0;
  this->TestGate->upstreamHead({7, 1}, Head, this->Now);
  uint64_t Credited = 0;
  for (const wire::CallFrameT &Frame : this->SentFrames)
    if (const auto *Credit = Frame.payload.AsCredit())
      Credited = Credit->seq == 2 ? Credit->consumed : Credited;
  BOOST_TEST(Credited == 16000u);
  this->sendBody(2, 16000, 4000, /*End=*/true);
  BOOST_TEST(this->StartedCalls.size() == 2u);
}

// Draining does not abort a call that already runs at the upstream.
BOOST_FIXTURE_TEST_CASE(RunningCallsContinue, Fixture) {
  this->sendOpen(this->makeOpen(1));
  this->openUpload(2);
  this->sendBody(2, 0, 20000, /*End=*/true);
  BOOST_TEST(this->StartedCalls.size() == 2u);
  this->TestGate->drain("list", this->Now);
  BOOST_TEST(!this->lastFailed());
  BOOST_TEST(this->CancelledCalls.empty());
  BOOST_TEST(!this->TestGate->idle());
}

// Guards against a stop that ends the process before the entry has an answer:
// what the link has not transferred by then is lost. An answer without a body
// must be confirmed too.
BOOST_DATA_TEST_CASE(AnswersAreAwaitedUntilConfirmed,
                     data::make({0, 1, 100000}), BodyBytes) {
  Fixture Test;
  Test.sendOpen(Test.makeOpen(1));
  ResponseHead Head;
  Head.Status = 200;
  Head.Length = BodyBytes;
  Test.TestGate->upstreamHead({7, 1}, Head, Test.Now);
  Test.TestGate->upstreamData({7, 1}, std::string(BodyBytes, 'x'), Test.Now);
  Test.TestGate->upstreamEnd({7, 1}, Test.Now);
  Test.TestGate->drain("stop", Test.Now);
  BOOST_TEST(!Test.TestGate->idle());
  // The entry confirms what it has received, the last time with the end.
  for (size_t I = 0; I < Test.SentFrames.size(); ++I) {
    const auto *Data = Test.SentFrames[I].payload.AsData();
    if (!Data)
      continue;
    wire::CreditT Credit;
    Credit.seq = 1;
    Credit.consumed = Data->offset + Data->bytes.size();
    Test.TestGate->handleFrame(Test.Link, makeCallFrame(Credit), Test.Now);
  }
  BOOST_TEST(Test.TestGate->idle());
}

// Guards against a call of another entry that a stopping gate takes and cuts.
BOOST_FIXTURE_TEST_CASE(StoppingGatesTakeOnlyWhatCanEnd, GateFixture) {
  ResponseHead Answer;
  Answer.Status = 200;
  Answer.Length = 0;
  this->StopsAt = this->Now + Millis(1500);
  this->sendOpen(this->makeOpen(1)); // until its deadline, which is sooner
  BOOST_TEST(this->StartedCalls.size() == 1u);
  this->Now += Millis(400);
  this->TestGate->upstreamHead({7, 1}, Answer, this->Now);
  this->Now += Millis(600);
  this->sendOpen(this->makeOpen(2)); // 400 ms, as the first one
  BOOST_TEST(this->StartedCalls.size() == 2u);
  this->Now += Millis(200);
  this->sendOpen(this->makeOpen(3));
  BOOST_TEST(this->StartedCalls.size() == 2u);
  BOOST_REQUIRE(this->lastFailed());
  BOOST_TEST(this->lastFailed()->reason == "stopping");
  BOOST_TEST((this->lastFailed()->outcome == wire::Outcome::NotRun));
}

// Guards against a call that has waited for a slot since the stop began, and
// starts too late to end.
BOOST_FIXTURE_TEST_CASE(StoppingGatesStartNoQueuedCallTooLate, GateFixture) {
  this->listSlots(1);
  ResponseHead Answer;
  Answer.Status = 200;
  Answer.Length = 0;
  this->sendOpen(this->makeOpen(1));
  this->sendOpen(this->makeOpen(2));
  BOOST_TEST(this->StartedCalls.size() == 1u);
  this->StopsAt = this->Now + Millis(100);
  this->Now += Millis(60);
  this->TestGate->upstreamHead({7, 1}, Answer, this->Now);
  BOOST_TEST(this->StartedCalls.size() == 1u);
  BOOST_REQUIRE(this->lastFailed());
  BOOST_TEST(this->lastFailed()->reason == "stopping");
}

// Guards against a gate that takes another writer's entry for its upstream,
// although the upstream has said that it is another one.
BOOST_FIXTURE_TEST_CASE(GatesKnowWhatTheirUpstreamAnswersTo, GateFixture) {
  Instance Named;
  Named.Upstream = "up-1";
  ResponseHead Answer;
  Answer.Status = 200;
  Answer.Length = 0;
  this->sendOpen(this->makeOpen(1));
  this->TestGate->upstreamHead({7, 1}, Answer, this->Now);
  BOOST_TEST(this->TestGate->isConfirmed(Named));
  this->Now += Millis(3100);
  this->TestGate->tick(this->Now);
  BOOST_TEST(!this->TestGate->isConfirmed(Named));
  this->sendOpen(this->makeOpen(2));
  Answer.Status = 421;
  this->TestGate->upstreamHead({7, 2}, Answer, this->Now);
  BOOST_TEST((this->Disowned == std::vector<std::string>{"up-1"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
