#include "routing/LoadBalancer.h"
#include "routing/RequestAgeEstimator.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));

constexpr uint32_t Ms = 1000;

/// How fast two gates were, what they say of themselves, and which one a call
/// should go to.
struct TwoGates {
  const char *What;
  wire::Load Near;
  wire::Load Far;
  uint64_t BodyBytes;
  const char *Chosen;
};
std::ostream &operator<<(std::ostream &To, const TwoGates &Of) {
  return To << Of.What;
}

const TwoGates Choices[] = {
    {"both idle", {0, 0, 10, 50 * Ms}, {0, 0, 10, 50 * Ms}, 0, "near"},
    {"near is slower, but by less than the way",
     {0, 0, 10, 60 * Ms},
     {0, 0, 10, 50 * Ms},
     0,
     "near"},
    {"near has a queue that costs less than the way",
     {10, 5, 10, 50 * Ms},
     {0, 0, 10, 50 * Ms},
     0,
     "near"},
    {"near is much slower",
     {0, 0, 10, 250 * Ms},
     {0, 0, 10, 50 * Ms},
     0,
     "far"},
    {"near has a queue", {10, 30, 10, 50 * Ms}, {0, 0, 10, 50 * Ms}, 0, "far"},
    {"near has a queue, and the body is large",
     {10, 30, 10, 50 * Ms},
     {0, 0, 10, 50 * Ms},
     200 * 1024,
     "near"},
    {"both have a queue",
     {10, 30, 10, 50 * Ms},
     {10, 30, 10, 50 * Ms},
     0,
     "near"},
};

std::vector<Instance> nearAndFar() {
  std::vector<Instance> Out(2);
  Out[0].Name = "near";
  Out[0].DataCentre = "north";
  Out[1].Name = "far";
  Out[1].DataCentre = "south";
  return Out;
}

std::vector<const Instance *> pointers(const std::vector<Instance> &Of) {
  std::vector<const Instance *> Out;
  for (const Instance &One : Of)
    Out.push_back(&One);
  return Out;
}

/// What a gate shows by an answer of the usual route.
void tell(LoadBalancer &To, const std::string &Gate, const wire::Load &Load,
          TimePoint Now) {
  To.recordLoad(Gate, Load, Now);
  To.recordRunTime(Gate, "usual", Micros(Load.latency_us()), Now);
}

LoadBalancer::CallInfo want(uint64_t BodyBytes) {
  LoadBalancer::CallInfo Out;
  Out.Route = "usual";
  Out.BodyBytes = BodyBytes;
  Out.TargetLatency = Millis(300);
  return Out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Placing)

BOOST_DATA_TEST_CASE(TheSoonestAnswerIsChosen, data::make(Choices), Row) {
  std::vector<Instance> All = nearAndFar();
  for (uint64_t Seed = 1; Seed < 50; ++Seed) {
    LoadBalancer Choose({}, "north", "me", Seed);
    tell(Choose, "near", Row.Near, Start);
    tell(Choose, "far", Row.Far, Start);
    BOOST_TEST(
        Choose.pick(pointers(All), {}, Start, want(Row.BodyBytes))->Name ==
        Row.Chosen);
  }
}

// The gate answers quickly, and half of its answers are failures. Those who
// look at the time alone send it more and more.
BOOST_AUTO_TEST_CASE(QuickFailuresDoNotAttract) {
  std::vector<Instance> All = nearAndFar();
  LoadBalancer Choose({}, "north", "me", 1);
  tell(Choose, "near", wire::Load(0, 0, 10, 5 * Ms), Start);
  tell(Choose, "far", wire::Load(0, 0, 10, 50 * Ms), Start);
  for (int I = 0; I < 40; ++I)
    Choose.recordOutcome("near", I % 2 == 0, Start);
  BOOST_TEST(Choose.pick(pointers(All), {}, Start, want(0))->Name == "far");
  TimePoint Later = Start + std::chrono::seconds(5);
  BOOST_TEST(Choose.pick(pointers(All), {}, Later, want(0))->Name == "near");
}

// The gate is idle and its upstream fast, but its machine's link is full of
// other callers' bodies: each answer comes a third of a second late. Calls that
// go by the gate's own figures miss their targets there one after the other.
BOOST_AUTO_TEST_CASE(GatesBehindAFullLinkAreLeftAside) {
  std::vector<Instance> All = nearAndFar();
  LoadBalancer Choose({}, "north", "me", 1);
  tell(Choose, "near", wire::Load(0, 0, 10, 50 * Ms), Start);
  tell(Choose, "far", wire::Load(0, 0, 10, 50 * Ms), Start);
  for (int I = 0; I < 5; ++I) {
    Choose.recordRtt("near", Millis(330), Start);
    Choose.recordRtt("far", Millis(3), Start);
  }
  BOOST_TEST(Choose.pick(pointers(All), {}, Start, want(0))->Name == "far");
  TimePoint Later = Start + std::chrono::seconds(5);
  BOOST_TEST(Choose.pick(pointers(All), {}, Later, want(0))->Name == "near");
}

// A data centre is cut off, and most gates of a service with it. Calls must go
// to the one that is left, and where none is, be refused at once: each that is
// sent after the others waits in vain.
BOOST_AUTO_TEST_CASE(UnreachableGatesAreLeftOutEvenIfTheyAreMost) {
  std::vector<Instance> All = nearAndFar();
  All.push_back(All[1]);
  All[2].Name = "third";
  LoadBalancer Choose({}, "north", "me", 1);
  Choose.markUnreachable("far", Start);
  Choose.markUnreachable("third", Start);
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(Choose.pick(pointers(All), {}, Start, want(0))->Name == "near");
  Choose.markUnreachable("near", Start);
  BOOST_TEST(!Choose.pick(pointers(All), {}, Start, want(0)));
  Choose.markReachable("far");
  BOOST_TEST(Choose.pick(pointers(All), {}, Start, want(0))->Name == "far");
  TimePoint Later = Start + Millis(2001);
  BOOST_TEST(Choose.pick(pointers(All), {}, Later, want(0)));
}

// Guards against offers that a call uses up at a gate that has said when it has
// room again.
BOOST_AUTO_TEST_CASE(AGateIsLeftOutUntilItHasRoom) {
  Instance Only;
  Only.Name = "only";
  Only.DataCentre = "here";
  LoadBalancer Choose(LoadBalancer::Options(), "here", "me", /*Seed=*/7);
  Choose.recordLoad("only", {1, 0, 10, 20 * Ms}, Start);
  Choose.recordRefusal("only", Millis(700), Start);
  BOOST_TEST(!Choose.pick({&Only}, {}, Start + Millis(699)));
  BOOST_TEST((Choose.shortestRetryAfter({&Only}, Start) == Millis(700)));
  BOOST_TEST(Choose.pick({&Only}, {}, Start + Millis(700)) == &Only);
}

// One gate was sent the short calls of a service and the other the long ones.
// By their mean runs the first looks five times as fast, and would be sent all.
BOOST_AUTO_TEST_CASE(ShortCallsDoNotMakeAGateFast) {
  std::vector<Instance> All = nearAndFar();
  All[1].DataCentre = "north";
  LoadBalancer Choose({}, "north", "me", 1);
  for (int I = 0; I < 100; ++I) {
    TimePoint Now = Start + Millis(10 * I);
    Choose.recordRunTime("near", "short", Micros(20 * Ms), Now);
    Choose.recordRunTime("far", "long", Micros(100 * Ms), Now);
    Choose.recordLoad("near", wire::Load(5, 0, 10, 20 * Ms), Now);
    Choose.recordLoad("far", wire::Load(5, 0, 10, 100 * Ms), Now);
  }
  LoadBalancer::CallInfo Long = want(0);
  Long.Route = "long";
  std::map<std::string, int> Count;
  for (int I = 0; I < 100; ++I)
    ++Count[Choose.pick(pointers(All), {}, Start + Millis(1000), Long)->Name];
  BOOST_TEST(Count["near"] > 25);
  BOOST_TEST(Count["far"] > 25);
}

/// A fleet of data centres of the same size, and in how many of a thousand
/// calls the own one may be left while nothing is wrong anywhere.
struct IdleFleet {
  size_t DataCentres;
  size_t GatesInEach;
};
std::ostream &operator<<(std::ostream &To, const IdleFleet &Of) {
  return To << Of.DataCentres << " x " << Of.GatesInEach;
}

const IdleFleet IdleFleets[] = {{3, 1}, {3, 3}, {3, 20}, {5, 30}, {12, 60}};

// All gates are idle and alike. Nobody gains from a call that leaves its data
// centre, and it pays for the way; so none leaves, however many gates there
// are elsewhere.
BOOST_DATA_TEST_CASE(CallsStayWhereThereIsRoom, data::make(IdleFleets), Row) {
  std::vector<Instance> All(Row.DataCentres * Row.GatesInEach);
  for (size_t I = 0; I < All.size(); ++I) {
    All[I].Name = "gate-" + std::to_string(I);
    All[I].DataCentre = "dc-" + std::to_string(I % Row.DataCentres);
  }
  LoadBalancer Choose({}, "dc-0", "me", 1);
  for (const Instance &One : All)
    tell(Choose, One.Name, wire::Load(0, 0, 10, 50 * Ms), Start);
  int Left = 0;
  for (int I = 0; I < 1000; ++I)
    Left +=
        Choose.pick(pointers(All), {}, Start, want(0))->DataCentre != "dc-0";
  BOOST_TEST(Left == 0);
}

// Every gate of the own data centre is full, and there is room in the others:
// a draw must not hold gates of the own one alone.
BOOST_AUTO_TEST_CASE(RoomElsewhereIsFound) {
  std::vector<Instance> All(60);
  LoadBalancer Choose({}, "dc-0", "me", 1);
  for (size_t I = 0; I < All.size(); ++I) {
    All[I].Name = "gate-" + std::to_string(I);
    All[I].DataCentre = "dc-" + std::to_string(I % 3);
    bool Near = I % 3 == 0;
    tell(Choose, All[I].Name,
         wire::Load(Near ? 10 : 0, Near ? 40 : 0, 10, 50 * Ms), Start);
  }
  for (int I = 0; I < 100; ++I)
    BOOST_TEST(Choose.pick(pointers(All), {}, Start, want(0))->DataCentre !=
               "dc-0");
}

// What this entry has sent counts before the gate has told of it: a burst must
// not go to one place.
BOOST_AUTO_TEST_CASE(ABurstIsSpread) {
  std::vector<Instance> All = nearAndFar();
  All[1].DataCentre = "north";
  LoadBalancer Choose({}, "north", "me", 1);
  std::map<std::string, int> Count;
  for (const Instance &One : All)
    Choose.recordLoad(One.Name, wire::Load(0, 0, 10, 50 * Ms), Start);
  for (int I = 0; I < 60; ++I) {
    const Instance *To = Choose.pick(pointers(All), {}, Start, want(0));
    Choose.recordStart(To->Name);
    ++Count[To->Name];
  }
  BOOST_TEST(Count["near"] >= 25);
  BOOST_TEST(Count["far"] >= 25);
}

// A gate that was slow is not asked, and so cannot show that it has recovered.
BOOST_AUTO_TEST_CASE(SlowGateIsTriedAgainInTime) {
  std::vector<Instance> All = nearAndFar();
  LoadBalancer Choose({}, "north", "me", 1);
  tell(Choose, "far", wire::Load(0, 0, 10, 50 * Ms), Start);
  tell(Choose, "near", wire::Load(0, 0, 10, 400 * Ms), Start);
  bool Tried = false;
  for (int I = 0; I < 300 && !Tried; ++I) {
    TimePoint Now = Start + Millis(100 * I);
    tell(Choose, "far", wire::Load(0, 0, 10, 50 * Ms), Now);
    Tried = Choose.pick(pointers(All), {}, Now, want(0))->Name == "near";
    if (I < 10)
      BOOST_TEST(!Tried);
  }
  BOOST_TEST(Tried);
}

BOOST_AUTO_TEST_CASE(ThoseWhoSayLessHaveWaited) {
  RequestAgeEstimator Ages;
  BOOST_TEST(Ages.age("r", Millis(1200), Start).count() == 0);
  BOOST_TEST(Ages.age("r", Millis(1199), Start).count() == 0);
  BOOST_TEST(Ages.age("r", Millis(900), Start).count() == 300);
  BOOST_TEST(Ages.age("other", Millis(900), Start).count() == 0);
  // All callers are given a shorter patience: none of them is old.
  TimePoint Later = Start + std::chrono::seconds(11);
  BOOST_TEST(Ages.age("r", Millis(900), Later).count() == 0);
  BOOST_TEST(Ages.age("r", Millis(890), Later).count() == 0);
}

/// What is listed at one place after its upstream drained, failed and was slow,
/// and whether a call may go there.
struct ListedAgain {
  const char *What;
  const char *Upstream;
  uint64_t Incarnation;
  bool Chosen;
};
std::ostream &operator<<(std::ostream &To, const ListedAgain &Of) {
  return To << Of.What;
}

const ListedAgain ListedAgains[] = {
    {"the same start", "up-1", 5, false},
    {"a later start under the same name", "up-1", 6, true},
    {"another upstream", "up-2", 5, true},
};

enum class Between { Nothing, OffWhileCalled, SaidWhenOff, Leaving };

/// What happened to a gate that said it closes, before the list names it as
/// live again, and whether callers then come to it.
struct DrainEnd {
  const char *What;
  Between Happened;
  bool Chosen;
};
std::ostream &operator<<(std::ostream &To, const DrainEnd &Of) {
  return To << Of.What;
}

const DrainEnd DrainEnds[] = {
    {"listed as before: it closed for a reason of its own", Between::Nothing,
     false},
    {"off the list while a call was there", Between::OffWhileCalled, true},
    {"said so when it was off the list already", Between::SaidWhenOff, true},
    {"marked as leaving, and the mark taken back", Between::Leaving, true},
};

// A machine cannot renew its entry for a while, and its gate closes. The link
// to it is lost meanwhile, so nobody hears that it is open again: callers would
// be refused for ever although the list names an upstream that serves.
BOOST_DATA_TEST_CASE(ADrainMarkEndsWithItsReason, data::make(DrainEnds), Row) {
  std::vector<Instance> One{nearAndFar().front()};
  LoadBalancer Choose(LoadBalancer::Options(), "north", "me", 1);
  Choose.updateInstance(One[0]);
  Instance Marked = One[0];
  Marked.Leaving = true;
  switch (Row.Happened) {
  case Between::Nothing:
    Choose.markDraining("near");
    break;
  case Between::OffWhileCalled:
    Choose.recordStart("near");
    Choose.markDraining("near");
    Choose.retainOnly({});
    break;
  case Between::SaidWhenOff:
    Choose.retainOnly({});
    Choose.markDraining("near");
    break;
  case Between::Leaving:
    Choose.updateInstance(Marked);
    Choose.markDraining("near");
    break;
  }
  Choose.updateInstance(One[0]);
  Choose.retainOnly({"near"});
  BOOST_TEST((Choose.pick(pointers(One), {}, Start) != nullptr) == Row.Chosen);
}

// An upstream drains and fails, ends, and starts again under its old name.
// Callers reach the new one at once: the old one's marks are not its own.
BOOST_DATA_TEST_CASE(ANewStartHasAClearRecord, data::make(ListedAgains), Row) {
  std::vector<Instance> One(1);
  One[0].Name = "near";
  One[0].DataCentre = "north";
  One[0].Upstream = "up-1";
  One[0].Incarnation = 5;
  LoadBalancer Choose(LoadBalancer::Options(), "north", "me", 1);
  Choose.updateInstance(One[0]);
  Choose.markDraining("near");
  One[0].Upstream = Row.Upstream;
  One[0].Incarnation = Row.Incarnation;
  Choose.updateInstance(One[0]);
  const Instance *Chosen = Choose.pick(pointers(One), {}, Start);
  BOOST_TEST((Chosen != nullptr) == Row.Chosen);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
