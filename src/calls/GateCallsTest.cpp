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
  // Empty where the answer is passed on.
  const char *Reason;
  wire::Outcome What;
};
std::ostream &operator<<(std::ostream &To, const AnswerRow &Of) {
  return To << Of.Status << (Of.Marked ? " marked" : "");
}

const AnswerRow Answers[] = {
    {200, false, "", wire::Outcome::NotRun},
    {500, false, "", wire::Outcome::NotRun},
    {504, false, "", wire::Outcome::NotRun},
    {400, true, "", wire::Outcome::NotRun},
    {503, true, "upstream-shed", wire::Outcome::NotRun},
    {429, true, "upstream-shed", wire::Outcome::NotRun},
    {421, false, "upstream-replaced", wire::Outcome::NotRun},
    {503, false, "upstream-unmarked-refusal", wire::Outcome::Unknown},
    {429, false, "upstream-unmarked-refusal", wire::Outcome::Unknown},
    {408, false, "upstream-unmarked-refusal", wire::Outcome::Unknown},
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateCalls)

// The caller takes 503, 429, 408 and 421 for a promise that nothing ran. Only
// the upstream's mark, or another process at its address, makes that true.
BOOST_DATA_TEST_CASE(OnlyMarkedRefusalsArePromises, data::make(Answers), Row) {
  Fixture Of;
  Of.sendOpen(Of.makeOpen(1));
  BOOST_REQUIRE(Of.StartedCalls.size() == 1u);
  ResponseHead Head;
  Head.Status = Row.Status;
  Head.Length = 0;
  if (Row.Marked)
    Head.Headers = {{"Not-Run", "1"}};
  Of.TestGate->upstreamHead({7, 1}, Head, Of.Now);
  const wire::FailedT *Failed = Of.lastFailed();
  BOOST_TEST((Failed ? Failed->reason : "") == Row.Reason);
  if (Failed)
    BOOST_TEST((Failed->outcome == Row.What));
}

BOOST_FIXTURE_TEST_CASE(CallsNameTheUpstreamThatIsMeant, Fixture) {
  this->sendOpen(this->makeOpen(1));
  const HeaderList &Headers = this->StartedCalls.at(0).second.Headers;
  BOOST_TEST(findHeader(Headers, "Expect-Upstream") == "up-1");
  BOOST_TEST(findHeader(Headers, "Budget") == "1000");
}

// An upstream fails half of its calls by shedding them, with slots free.
// Callers of the other half must not find its gate closed: nine calls at once
// run, as many as the list says, however many were shed before.
BOOST_FIXTURE_TEST_CASE(ShedsBelowTheListedSlotsKeepTheGateOpen, Fixture) {
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

// The entry's process is gone, and with it the caller's connection. What may be
// repeated is not worked on for nobody; an approval that runs is left to run.
BOOST_FIXTURE_TEST_CASE(SafeCallsOfALostEntryEnd, Fixture) {
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

// All slots are taken. The body of an upload comes meanwhile, a slot is asked
// for when it is whole, and the upstream has all of it at once.
BOOST_FIXTURE_TEST_CASE(BodiesComeBeforeTheyTakeASlot, Fixture) {
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

// A body does not come in time. Its caller is told that nothing was run, which
// is true, and the call is not started by the rest of it.
BOOST_FIXTURE_TEST_CASE(BodiesThatNeverComeAreRefused, Fixture) {
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

// More uploads come than the link carries. Those that could not be whole in
// time are told so at once and go to another gate, and fill this link no
// further.
BOOST_FIXTURE_TEST_CASE(BodiesThatWouldBeLateAreNotAskedFor, Fixture) {
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

// On a fast link a body comes once its call has a slot: it would come for
// nothing if the slots were taken meanwhile.
BOOST_FIXTURE_TEST_CASE(OnFastLinksBodiesComeAfterTheSlot, Fixture) {
  this->listSlots(1);
  this->sendOpen(this->makeOpen(1));
  this->openUpload(2);
  BOOST_TEST(this->requestedBodies().empty());
}

// A body that is too long to be held here goes straight to the upstream.
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

// Five uploads are admitted together, on a link that carries one body at a
// time well. Those whose turn it is not yet are asked for theirs as the others
// end: whole, given up by the caller, or too slow to keep their turn.
BOOST_FIXTURE_TEST_CASE(LongBodiesComeAFewAtATime, Fixture) {
  for (uint64_t Seq = 1; Seq <= 5; ++Seq)
    this->openUpload(Seq);
  BOOST_TEST(this->requestedBodies() == (std::vector<uint64_t>{1, 2}));
  wire::DataT Whole;
  Whole.seq = 1;
  Whole.bytes.assign(20000, 'x');
  Whole.end = true;
  this->TestGate->handleFrame(Link, callFrame(std::move(Whole)), this->Now);
  BOOST_TEST(this->requestedBodies() == (std::vector<uint64_t>{1, 2, 3}));
  wire::CancelT Gone;
  Gone.seq = 2;
  this->TestGate->handleFrame(Link, callFrame(std::move(Gone)), this->Now);
  BOOST_TEST(this->requestedBodies() == (std::vector<uint64_t>{1, 2, 3, 4}));
  this->TestGate->tick(this->Now + Millis(1100));
  BOOST_TEST(this->requestedBodies() == (std::vector<uint64_t>{1, 2, 3, 4, 5}));
}

BOOST_AUTO_TEST_SUITE_END()

// An upstream leaves: its gate closes, and what the upstream has begun goes on.
// What it has seen nothing of must not reach it any more, however long ago the
// call was taken: a body of 60 KB on a thin link comes seconds after its call,
// and the upstream may end in the midst of the run. Nothing of it has run, so
// the caller is told so at once, while there is time for another upstream.
BOOST_AUTO_TEST_SUITE(GateClosing)

namespace {

enum class Takes { Slot, SlotUnasked, Queue, BodyFirst };

struct HeldRow {
  const char *Name;
  Takes How;
  // Bytes of its 20,000 that have come when the gate closes.
  size_t Came;
};
std::ostream &operator<<(std::ostream &To, const HeldRow &Of) {
  return To << Of.Name << ", " << Of.Came << " bytes there";
}

const HeldRow HeldRows[] = {
    {"has a slot and waits for its body", Takes::Slot, 0},
    {"has a slot and a part of its body", Takes::Slot, 10000},
    {"has a slot, and its caller sends slowly", Takes::SlotUnasked, 10000},
    {"waits for a slot", Takes::Queue, 0},
    {"is to come before it takes a slot", Takes::BodyFirst, 0},
    {"comes before it takes a slot", Takes::BodyFirst, 10000},
};

enum class Ends { Close, LinkLost, CallerGone, Deadline };

struct EndRow {
  Ends How;
  const char *Reason;
};
std::ostream &operator<<(std::ostream &To, const EndRow &Of) {
  return To << Of.Reason;
}

const EndRow EndRows[] = {
    {Ends::Close, "draining"},
    {Ends::LinkLost, ""},
    {Ends::CallerGone, "cancelled"},
    {Ends::Deadline, "deadline"},
};

} // namespace

BOOST_DATA_TEST_CASE(WhatTheUpstreamHasNotSeenIsRefusedAtOnce,
                     data::make(HeldRows), Row) {
  Fixture Of;
  Of.listSlots(1);
  if (Row.How == Takes::BodyFirst)
    Of.makeLinkSlow();
  if (Row.How == Takes::Queue)
    Of.sendOpen(Of.makeOpen(1));
  Of.openUpload(2, /*Held=*/Row.How != Takes::SlotUnasked);
  if (Row.Came)
    Of.sendBody(2, 0, Row.Came, /*End=*/false);
  Of.StartedCalls.clear();
  Of.TestGate->drain("list", Of.Now);
  BOOST_REQUIRE(Of.lastFailed());
  BOOST_TEST(Of.lastFailed()->seq == 2u);
  BOOST_TEST(Of.lastFailed()->reason == "draining");
  BOOST_TEST((Of.lastFailed()->outcome == wire::Outcome::NotRun));
  Of.sendBody(2, Row.Came, 20000 - Row.Came, /*End=*/true);
  Of.TestGate->tick(Of.Now + Millis(100));
  BOOST_TEST(Of.StartedCalls.empty());
  BOOST_TEST(Of.CancelledCalls.empty());
}

// An upload has its slot and half of its body. Whatever ends it then, its slot
// is free for others, nothing of it ran, and the rest of the body, which was on
// its way, does not start it.
BOOST_DATA_TEST_CASE(AnUploadThatEndsBeforeItsBodyIsThereNeverRuns,
                     data::make(EndRows), Row) {
  Fixture Of;
  Of.listSlots(1);
  Of.openUpload(1);
  Of.sendBody(1, 0, 10000, /*End=*/false);
  BOOST_TEST(Of.TestGate->load(Of.Now).in_flight() == 1u);
  wire::CancelT Gone;
  Gone.seq = 1;
  switch (Row.How) {
  case Ends::Close:
    Of.TestGate->drain("list", Of.Now);
    break;
  case Ends::LinkLost:
    Of.TestGate->linkDown(Fixture::Link, Of.Now);
    break;
  case Ends::CallerGone:
    Of.TestGate->handleFrame(Fixture::Link, callFrame(std::move(Gone)), Of.Now);
    break;
  case Ends::Deadline:
    Of.Now += Millis(2001);
    Of.TestGate->tick(Of.Now);
    break;
  }
  // Over a lost link nobody can be told.
  BOOST_TEST((Of.lastFailed() ? Of.lastFailed()->reason : "") == Row.Reason);
  if (Of.lastFailed())
    BOOST_TEST((Of.lastFailed()->outcome == wire::Outcome::NotRun));
  BOOST_TEST(Of.TestGate->load(Of.Now).in_flight() == 0u);
  Of.sendBody(1, 10000, 10000, /*End=*/true);
  BOOST_TEST(Of.StartedCalls.empty());
  BOOST_TEST(Of.TestGate->idle());
}

// An upload of this node's own callers waits for a slot, and as much of its
// body has come as may without a word from here. With its slot the rest is
// asked for: else it would hold the slot, doing nothing, until its time is
// over.
BOOST_FIXTURE_TEST_CASE(ASlotLetsTheRestOfABodyCome, Fixture) {
  this->listSlots(1);
  this->sendOpen(this->makeOpen(1));
  this->openUpload(2, /*Held=*/false);
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

// The other side of it: a run that has begun is not broken off.
BOOST_FIXTURE_TEST_CASE(WhatRunsGoesOn, Fixture) {
  this->sendOpen(this->makeOpen(1));
  this->openUpload(2);
  this->sendBody(2, 0, 20000, /*End=*/true);
  BOOST_TEST(this->StartedCalls.size() == 2u);
  this->TestGate->drain("list", this->Now);
  BOOST_TEST(!this->lastFailed());
  BOOST_TEST(this->CancelledCalls.empty());
  BOOST_TEST(!this->TestGate->idle());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
