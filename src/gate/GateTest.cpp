#include "gate/Admission.h"
#include "gate/KeyJudge.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

Service serviceOf(uint32_t Slots, uint32_t Queue) {
  Service Out;
  Out.Name = "a";
  Out.Slots = Slots;
  Out.QueueLimit = Queue;
  return Out;
}

Admission::Ask askOf(uint64_t Seq, Millis Deadline, uint32_t Priority = 4) {
  Admission::Ask Out;
  Out.Id = {1, Seq};
  Out.Deadline = Start + Deadline;
  Out.Priority = Priority;
  return Out;
}

std::vector<Instance> upstreams(const std::vector<std::string> &Names) {
  std::vector<Instance> Out;
  for (const std::string &Name : Names)
    Out.push_back({Name, "n", "a", "127.0.0.1:1", "127.0.0.1:2", false});
  return Out;
}

std::vector<const Instance *> pointers(const std::vector<Instance> &Of) {
  std::vector<const Instance *> Out;
  for (const Instance &One : Of)
    Out.push_back(&One);
  return Out;
}

using KeyVerdict = KeyJudge::Verdict;

} // namespace

BOOST_AUTO_TEST_SUITE(GateDecisions)

BOOST_AUTO_TEST_CASE(SlotsThenQueueThenRefusal) {
  Admission Slots({}, 1);
  Slots.configure(serviceOf(2, 3), Start);
  int Counts[3] = {0, 0, 0};
  for (uint64_t I = 0; I < 10; ++I)
    ++Counts[static_cast<int>(Slots.ask(askOf(I, Millis(5000)), Start).What)];
  BOOST_TEST(Counts[0] == 2);
  BOOST_TEST(Counts[1] == 3);
  BOOST_TEST(Counts[2] == 5);
  Slots.finished({1, 0}, true, Start + Millis(10));
  BOOST_TEST(Slots.next(Start + Millis(10)).Run.size() == 1u);
}

BOOST_AUTO_TEST_CASE(UrgentFirstThenNearestDeadline) {
  Admission Slots({}, 1);
  Slots.configure(serviceOf(1, 10), Start);
  Slots.ask(askOf(1, Millis(9000)), Start);
  Slots.ask(askOf(2, Millis(8000), 5), Start);
  Slots.ask(askOf(3, Millis(7000), 5), Start);
  Slots.ask(askOf(4, Millis(9000), 0), Start);
  std::vector<uint64_t> Order;
  for (uint64_t Done : {1, 4, 3}) {
    Slots.finished({1, Done}, true, Start + Millis(1));
    Order.push_back(Slots.next(Start + Millis(1)).Run.at(0).Seq);
  }
  BOOST_TEST((Order == std::vector<uint64_t>{4, 3, 2}));
}

/// What became of the calls of a load at one upstream of four slots.
struct LoadOutcome {
  int OnTarget = 0;
  int Late = 0;
  int Refused = 0;
};

/// Plays calls of 100 ms for ten seconds, one each Gap, with a target of 300 ms
/// and a deadline of 1200 ms. AtDeadline: the gate is told of the deadline
/// only.
LoadOutcome playLoad(Millis Gap, bool AtDeadline) {
  constexpr Millis Run{100}, Target{300}, Deadline{1200}, Length{10000};
  Service Of = serviceOf(4, 20);
  Of.QueueWait = Millis(500);
  Admission Slots({}, 1);
  Slots.configure(Of, Start);
  std::map<CallId, TimePoint> Came;
  std::multimap<TimePoint, CallId> Ends;
  LoadOutcome Out;
  auto Begin = [&](const CallId &Id, TimePoint Now) {
    Ends.emplace(Now + Run, Id);
  };
  auto Pump = [&](TimePoint Now) {
    Admission::Next Turn = Slots.next(Now);
    Out.Refused += static_cast<int>(Turn.Drop.size());
    for (const CallId &Id : Turn.Run)
      Begin(Id, Now);
  };
  for (TimePoint Now = Start; Now < Start + Length; Now += Millis(1)) {
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      CallId Id = Ends.begin()->second;
      Ends.erase(Ends.begin());
      Slots.finished(Id, true, Now);
      ++(Now - Came[Id] <= Target ? Out.OnTarget : Out.Late);
      Pump(Now);
    }
    if (toMillis(Now - Start).count() % Gap.count() != 0)
      continue;
    Admission::Ask One =
        askOf(static_cast<uint64_t>(toMillis(Now - Start).count()), Millis(0));
    One.Deadline = Now + Deadline;
    One.Target = AtDeadline ? TimePoint::max() : Now + Target;
    Came[One.Id] = Now;
    Admission::Verdict What = Slots.ask(One, Now).What;
    if (What == Admission::Verdict::Run)
      Begin(One.Id, Now);
    Out.Refused += What == Admission::Verdict::Refuse;
  }
  return Out;
}

// More calls come than the upstream can run. Callers see an answer in time or a
// refusal at once; before, each waited its turn in one queue that was always
// full, and nearly every answer came a little too late to be of use.
// Of 1,000 calls at 2.5 times the capacity: 392 on target, against 4.
BOOST_AUTO_TEST_CASE(OverloadAnswersOnTarget) {
  LoadOutcome Plain = playLoad(Millis(10), /*AtDeadline=*/true);
  LoadOutcome Ours = playLoad(Millis(10), /*AtDeadline=*/false);
  BOOST_TEST(Plain.OnTarget < 40);
  BOOST_TEST(Ours.OnTarget > 360);
  BOOST_TEST(Ours.OnTarget + Ours.Late >= Plain.OnTarget + Plain.Late - 20);
}

// While there is room, knowing the target changes nothing.
BOOST_AUTO_TEST_CASE(LightLoadIsServedWhole) {
  LoadOutcome Of = playLoad(Millis(30), /*AtDeadline=*/false);
  BOOST_TEST(Of.Refused == 0);
  BOOST_TEST(Of.Late == 0);
}

// What cannot be answered any more must not take a slot.
BOOST_AUTO_TEST_CASE(LateCallsAreDropped) {
  Admission Slots({}, 1);
  Slots.configure(serviceOf(1, 10), Start);
  Slots.ask(askOf(1, Millis(9000)), Start);
  Slots.ask(askOf(2, Millis(300)), Start);
  Slots.finished({1, 1}, true, Start + Millis(250)); // a call takes 250 ms
  Admission::Next Turn = Slots.next(Start + Millis(250));
  BOOST_TEST(Turn.Run.empty());
  BOOST_REQUIRE(Turn.Drop.size() == 1u);
  BOOST_TEST((Turn.Drop[0].Why.CallOutcome == Outcome::NotRun));
}

BOOST_AUTO_TEST_CASE(DrainRefusesNewAndWaiting) {
  Admission Slots({}, 1);
  Slots.configure(serviceOf(1, 10), Start);
  Slots.ask(askOf(1, Millis(9000)), Start);
  Slots.ask(askOf(2, Millis(9000)), Start);
  Slots.drain("operator");
  BOOST_TEST(Slots.next(Start).Drop.size() == 1u);
  Admission::Answer Late = Slots.ask(askOf(3, Millis(9000)), Start);
  BOOST_TEST((Late.What == Admission::Verdict::Refuse));
  BOOST_TEST(Late.Why.Reason == "draining");
  BOOST_TEST(Slots.running() == 1u);
}

BOOST_AUTO_TEST_CASE(WarmupOpensSlotsSlowly) {
  Service Cold = serviceOf(10, 0);
  Cold.Warmup = Millis(10000);
  Admission Slots({}, 1);
  Slots.configure(Cold, Start);
  BOOST_TEST(Slots.load(Start).slots() == 1u);
  BOOST_TEST(Slots.load(Start + Millis(5000)).slots() == 5u);
  BOOST_TEST(Slots.load(Start + Millis(10000)).slots() == 10u);
}

// An upstream was slow, and a new process stands in its place. A call that the
// old one could not have answered in time is not refused on its account.
BOOST_AUTO_TEST_CASE(ANewStartIsNotTakenForSlow) {
  Admission Slots({}, 1);
  Slots.configure(serviceOf(1, 10), Start);
  Slots.ask(askOf(1, Millis(9000)), Start);
  Slots.finished({1, 1}, true, Start + Millis(900));
  TimePoint Now = Start + Millis(900);
  Slots.ask(askOf(2, Millis(9000)), Now);
  Slots.ask(askOf(3, Millis(1300)), Now);
  BOOST_TEST(Slots.waiting() == 0u);
  Slots.restarted(Now);
  Slots.ask(askOf(4, Millis(1300)), Now);
  BOOST_TEST(Slots.waiting() == 1u);
}

BOOST_AUTO_TEST_CASE(SheddingLowersTheWindowAndAnswersRaiseIt) {
  Admission Slots({}, 1);
  Slots.configure(serviceOf(10, 0), Start);
  for (uint64_t I = 0; I < 10; ++I)
    Slots.ask(askOf(I, Millis(5000)), Start);
  Slots.shed(Start);
  uint32_t Low = Slots.load(Start).slots();
  BOOST_TEST(Low == 7u);
  for (uint64_t I = 0; I < 10; ++I)
    Slots.finished({1, I}, true, Start + Millis(1));
  for (uint64_t I = 100; I < 200; ++I) {
    Slots.ask(askOf(I, Millis(5000)), Start);
    Slots.finished({1, I}, true, Start + Millis(1));
  }
  BOOST_TEST(Slots.load(Start).slots() == 10u);
}

BOOST_AUTO_TEST_CASE(ConcurrencyLimitHoldsForItsClass) {
  Limit Bound;
  Bound.Name = "l";
  Bound.ByClass["landlord"].Concurrency = 1;
  Admission Slots({}, 1);
  Slots.configure(serviceOf(10, 10), Start);
  auto Ask = [&](uint64_t Seq, const char *Class) {
    Admission::Ask One = askOf(Seq, Millis(5000));
    One.Bound = &Bound;
    One.Class = Class;
    return Slots.ask(One, Start);
  };
  BOOST_TEST((Ask(1, "landlord").What == Admission::Verdict::Run));
  BOOST_TEST((Ask(2, "landlord").What == Admission::Verdict::Refuse));
  BOOST_TEST(Ask(3, "landlord").Why.Status == 429u);
  BOOST_TEST((Ask(4, "claimant").What == Admission::Verdict::Run));
  Slots.finished({1, 1}, true, Start);
  BOOST_TEST((Ask(5, "landlord").What == Admission::Verdict::Run));
}

BOOST_AUTO_TEST_CASE(KeysAreRefusedUntilTheHomeIsSettled) {
  KeyJudge Judge({}, "a-1");
  std::vector<Instance> Only = upstreams({"a-1"});
  Judge.members(pointers(Only), Start);
  auto Ask = [&](Millis At, std::optional<Millis> Age) {
    return Judge.ask("k", 1, Millis(60000), Age, Start + At).Why.Reason;
  };
  // The window and twice the list's greatest age: 150 s.
  BOOST_TEST(Ask(Millis(149000), Millis(0)) == "key-home-unsettled");
  BOOST_TEST(Ask(Millis(151000), std::nullopt) == "key-list-too-old");
  BOOST_TEST(Ask(Millis(151000), Millis(46000)) == "key-list-too-old");
  BOOST_TEST(Ask(Millis(151000), Millis(1000)) == "");
}

BOOST_AUTO_TEST_CASE(AKeyRunsOnceAndIsReplayed) {
  KeyJudge Judge({}, "a-1");
  std::vector<Instance> Only = upstreams({"a-1"});
  Judge.members(pointers(Only), Start);
  TimePoint Now = Start + Millis(200000);
  auto Ask = [&](uint64_t Fingerprint) {
    return Judge.ask("k", Fingerprint, Millis(60000), Millis(0), Now);
  };
  BOOST_TEST((Ask(1).What == KeyVerdict::Run));
  BOOST_TEST(Ask(1).Why.Reason == "key-running");
  BOOST_TEST(Ask(2).Why.Reason == "key-of-another-request");
  Judge.answered("k", ResponseHead(), "done", Now);
  BOOST_TEST((Ask(1).What == KeyVerdict::Replay));
  BOOST_TEST(Ask(1).Body == "done");
  Now += Millis(61000);
  Judge.expire(Now);
  BOOST_TEST(Judge.size() == 0u);
}

BOOST_AUTO_TEST_CASE(ALostOutcomeStaysUnknownANotRunMayRunAgain) {
  KeyJudge Judge({}, "a-1");
  std::vector<Instance> Only = upstreams({"a-1"});
  Judge.members(pointers(Only), Start);
  TimePoint Now = Start + Millis(200000);
  auto Ask = [&](const char *Key) {
    return Judge.ask(Key, 1, Millis(60000), Millis(0), Now);
  };
  Ask("lost");
  Judge.lost("lost", Now);
  BOOST_TEST(Ask("lost").Why.Reason == "key-outcome-unknown");
  Ask("not-run");
  Judge.notRun("not-run");
  BOOST_TEST((Ask("not-run").What == KeyVerdict::Run));
}

// An instance joins, and some keys are its own by the new list. It has not
// seen what their old homes ran, so it refuses them until nobody can repeat;
// and an old home that still has the old list does not judge them either once
// it hears of the new one.
BOOST_AUTO_TEST_CASE(MovedKeysAreRefusedByBoth) {
  KeyJudge Old({}, "a-1"), New({}, "a-2");
  std::vector<Instance> One = upstreams({"a-1"});
  std::vector<Instance> Two = upstreams({"a-1", "a-2"});
  Old.members(pointers(One), Start);
  New.members(pointers(One), Start);
  TimePoint Change = Start + Millis(300000);
  Old.members(pointers(Two), Change);
  New.members(pointers(Two), Change);
  int Moved = 0;
  for (int I = 0; I < 50; ++I) {
    std::string Key = "k" + std::to_string(I);
    if (keyHome(Key, pointers(Two))->Name != "a-2")
      continue;
    ++Moved;
    TimePoint Soon = Change + Millis(1000);
    BOOST_TEST(Old.ask(Key, 1, Millis(60000), Millis(0), Soon).Why.Reason ==
               "not-the-key-home");
    BOOST_TEST(New.ask(Key, 1, Millis(60000), Millis(0), Soon).Why.Reason ==
               "key-home-unsettled");
    TimePoint Later = Change + Millis(151000);
    BOOST_TEST((New.ask(Key, 1, Millis(60000), Millis(0), Later).What ==
                KeyVerdict::Run));
  }
  BOOST_TEST(Moved > 10);
}

BOOST_AUTO_TEST_CASE(FullKeyMemoryRefusesNewKeys) {
  KeyJudge::Options Opts;
  Opts.MaxKeys = 2;
  KeyJudge Judge(Opts, "a-1");
  std::vector<Instance> Only = upstreams({"a-1"});
  Judge.members(pointers(Only), Start);
  TimePoint Now = Start + Millis(200000);
  for (const char *Key : {"1", "2"})
    BOOST_TEST((Judge.ask(Key, 1, Millis(60000), Millis(0), Now).What ==
                KeyVerdict::Run));
  BOOST_TEST(Judge.ask("3", 1, Millis(60000), Millis(0), Now).Why.Reason ==
             "key-memory-full");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
