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

/// The loads that a local gate "near" and a remote gate "far" report, and the
/// gate that must be selected for a call.
struct GateChoice {
  const char *Title;
  wire::Load Near;
  wire::Load Far;
  uint64_t BodyBytes;
  const char *Selected;
};
std::ostream &operator<<(std::ostream &Stream, const GateChoice &Row) {
  return Stream << Row.Title;
}

const GateChoice GateChoices[] = {
    {"both idle", {0, 0, 10, 50 * Ms}, {0, 0, 10, 50 * Ms}, 0, "near"},
    {"near is slower, but by less than the round-trip time",
     {0, 0, 10, 60 * Ms},
     {0, 0, 10, 50 * Ms},
     0,
     "near"},
    {"near has a queue that costs less than the round-trip time",
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
  std::vector<Instance> Result(2);
  Result[0].Name = "near";
  Result[0].DataCentre = "north";
  Result[1].Name = "far";
  Result[1].DataCentre = "south";
  return Result;
}

std::vector<const Instance *> pointers(const std::vector<Instance> &Gates) {
  std::vector<const Instance *> Result;
  for (const Instance &Gate : Gates)
    Result.push_back(&Gate);
  return Result;
}

/// Records an answer of the gate to a call of the route "usual".
void recordAnswer(LoadBalancer &Balancer, const std::string &Gate,
                  const wire::Load &Load, TimePoint Now) {
  Balancer.recordLoad(Gate, Load, Now);
  Balancer.recordRunTime(Gate, "usual", Micros(Load.latency_us()), Now);
}

LoadBalancer::CallInfo usualCall(uint64_t BodyBytes) {
  LoadBalancer::CallInfo Result;
  Result.Route = "usual";
  Result.BodyBytes = BodyBytes;
  Result.TargetLatency = Millis(300);
  return Result;
}

/// The percentages that two gates of one data centre shed, of which "near" is
/// the faster one; nothing if the gate has not reported any.
struct SheddingRow {
  const char *Title;
  std::optional<uint32_t> Near;
  std::optional<uint32_t> Far;
  Millis Later;
  const char *Selected;
};
std::ostream &operator<<(std::ostream &Stream, const SheddingRow &Row) {
  return Stream << Row.Title;
}

const SheddingRow SheddingRows[] = {
    {"only near sheds", 55, 0, Millis(0), "far"},
    {"both shed alike", 55, 55, Millis(0), "near"},
    {"the difference is small", 55, 40, Millis(0), "near"},
    {"far sheds more", 55, 90, Millis(0), "near"},
    {"far has not reported", 55, std::nullopt, Millis(0), "near"},
    {"the report is old", 55, 0, Millis(1000), "near"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(LoadBalancing)

// Guards against calls that go to an upstream that sheds most of them while
// others run them, and against gates that are left out although all shed alike
// or the report is old.
BOOST_DATA_TEST_CASE(PrefersGatesThatShedLess, data::make(SheddingRows), Row) {
  std::vector<Instance> All = nearAndFar();
  All[1].DataCentre = "north";
  for (uint64_t Seed = 1; Seed < 50; ++Seed) {
    LoadBalancer Balancer({}, "north", "me", Seed);
    recordAnswer(Balancer, "near", wire::Load(0, 0, 10, 40 * Ms), Start);
    recordAnswer(Balancer, "far", wire::Load(0, 0, 10, 80 * Ms), Start);
    if (Row.Near)
      Balancer.recordShedding("near", *Row.Near, Start);
    if (Row.Far)
      Balancer.recordShedding("far", *Row.Far, Start);
    BOOST_TEST(
        Balancer.pick(pointers(All), {}, Start + Row.Later, usualCall(0))
            ->Name == Row.Selected);
  }
}

// A selection must weigh run time, queue, round-trip time and body length.
BOOST_DATA_TEST_CASE(SelectsShortestExpectedTime, data::make(GateChoices),
                     Row) {
  std::vector<Instance> All = nearAndFar();
  for (uint64_t Seed = 1; Seed < 50; ++Seed) {
    LoadBalancer Balancer({}, "north", "me", Seed);
    recordAnswer(Balancer, "near", Row.Near, Start);
    recordAnswer(Balancer, "far", Row.Far, Start);
    BOOST_TEST(
        Balancer.pick(pointers(All), {}, Start, usualCall(Row.BodyBytes))
            ->Name == Row.Selected);
  }
}

// A gate answers quickly, but half of its answers are failures. Selection by
// time alone would send it more and more calls.
BOOST_AUTO_TEST_CASE(FastFailuresDoNotAttractCalls) {
  std::vector<Instance> All = nearAndFar();
  LoadBalancer Balancer({}, "north", "me", 1);
  recordAnswer(Balancer, "near", wire::Load(0, 0, 10, 5 * Ms), Start);
  recordAnswer(Balancer, "far", wire::Load(0, 0, 10, 50 * Ms), Start);
  for (int I = 0; I < 40; ++I)
    Balancer.recordOutcome("near", I % 2 == 0, Start);
  BOOST_TEST(Balancer.pick(pointers(All), {}, Start, usualCall(0))->Name ==
             "far");
  TimePoint Later = Start + std::chrono::seconds(5);
  BOOST_TEST(Balancer.pick(pointers(All), {}, Later, usualCall(0))->Name ==
             "near");
}

// A gate is idle and its upstream fast, but the link of its machine is filled
// by other callers' bodies, so each answer arrives a third of a second late. If
// only the gate's own report counted, call after call would miss its target.
BOOST_AUTO_TEST_CASE(GateBehindCongestedLinkIsLeftOut) {
  std::vector<Instance> All = nearAndFar();
  LoadBalancer Balancer({}, "north", "me", 1);
  recordAnswer(Balancer, "near", wire::Load(0, 0, 10, 50 * Ms), Start);
  recordAnswer(Balancer, "far", wire::Load(0, 0, 10, 50 * Ms), Start);
  for (int I = 0; I < 5; ++I) {
    Balancer.recordRtt("near", Millis(330), Start);
    Balancer.recordRtt("far", Millis(3), Start);
  }
  BOOST_TEST(Balancer.pick(pointers(All), {}, Start, usualCall(0))->Name ==
             "far");
  TimePoint Later = Start + std::chrono::seconds(5);
  BOOST_TEST(Balancer.pick(pointers(All), {}, Later, usualCall(0))->Name ==
             "near");
}

// A data centre is cut off, and with it most gates of a service. Calls must go
// to the remaining gate, or be refused at once if none remains: a call sent to
// an unreachable gate waits in vain.
BOOST_AUTO_TEST_CASE(UnreachableMajorityIsLeftOut) {
  std::vector<Instance> All = nearAndFar();
  All.push_back(All[1]);
  All[2].Name = "third";
  LoadBalancer Balancer({}, "north", "me", 1);
  Balancer.markUnreachable("far", Start);
  Balancer.markUnreachable("third", Start);
  for (int I = 0; I < 20; ++I)
    BOOST_TEST(Balancer.pick(pointers(All), {}, Start, usualCall(0))->Name ==
               "near");
  Balancer.markUnreachable("near", Start);
  BOOST_TEST(!Balancer.pick(pointers(All), {}, Start, usualCall(0)));
  Balancer.markReachable("far");
  BOOST_TEST(Balancer.pick(pointers(All), {}, Start, usualCall(0))->Name ==
             "far");
  TimePoint Later = Start + Millis(2001);
  BOOST_TEST(Balancer.pick(pointers(All), {}, Later, usualCall(0)));
}

// A call must not use up its offers at a gate that has announced when it will
// have capacity again.
BOOST_AUTO_TEST_CASE(RefusingGateIsLeftOutForItsRetryAfter) {
  Instance Only;
  Only.Name = "only";
  Only.DataCentre = "here";
  LoadBalancer Balancer(LoadBalancer::Options(), "here", "me", /*Seed=*/7);
  Balancer.recordLoad("only", {1, 0, 10, 20 * Ms}, Start);
  Balancer.recordRefusal("only", Millis(700), Start);
  BOOST_TEST(!Balancer.pick({&Only}, {}, Start + Millis(699)));
  BOOST_TEST((Balancer.shortestRetryAfter({&Only}, Start) == Millis(700)));
  BOOST_TEST(Balancer.pick({&Only}, {}, Start + Millis(700)) == &Only);
}

// One gate received the short calls of a service and the other the long ones.
// By mean run time the first looks five times as fast and would receive all.
BOOST_AUTO_TEST_CASE(ShortCallsDoNotMakeAGateLookFast) {
  std::vector<Instance> All = nearAndFar();
  All[1].DataCentre = "north";
  LoadBalancer Balancer({}, "north", "me", 1);
  for (int I = 0; I < 100; ++I) {
    TimePoint Now = Start + Millis(10 * I);
    Balancer.recordRunTime("near", "short", Micros(20 * Ms), Now);
    Balancer.recordRunTime("far", "long", Micros(100 * Ms), Now);
    Balancer.recordLoad("near", wire::Load(5, 0, 10, 20 * Ms), Now);
    Balancer.recordLoad("far", wire::Load(5, 0, 10, 100 * Ms), Now);
  }
  LoadBalancer::CallInfo LongCall = usualCall(0);
  LongCall.Route = "long";
  std::map<std::string, int> Count;
  for (int I = 0; I < 100; ++I)
    ++Count[Balancer.pick(pointers(All), {}, Start + Millis(1000), LongCall)
                ->Name];
  BOOST_TEST(Count["near"] > 25);
  BOOST_TEST(Count["far"] > 25);
}

/// A fleet of equally large data centres, all idle.
struct IdleFleet {
  size_t DataCentres;
  size_t GatesInEach;
};
std::ostream &operator<<(std::ostream &Stream, const IdleFleet &Row) {
  return Stream << Row.DataCentres << " x " << Row.GatesInEach;
}

const IdleFleet IdleFleets[] = {{3, 1}, {3, 3}, {3, 20}, {5, 30}, {12, 60}};

// All gates are idle and alike. A call to a remote data centre would only add
// network time, so none may leave, however many remote gates there are.
BOOST_DATA_TEST_CASE(IdleFleetKeepsCallsLocal, data::make(IdleFleets), Row) {
  std::vector<Instance> All(Row.DataCentres * Row.GatesInEach);
  for (size_t I = 0; I < All.size(); ++I) {
    All[I].Name = "gate-" + std::to_string(I);
    All[I].DataCentre = "dc-" + std::to_string(I % Row.DataCentres);
  }
  LoadBalancer Balancer({}, "dc-0", "me", 1);
  for (const Instance &Gate : All)
    recordAnswer(Balancer, Gate.Name, wire::Load(0, 0, 10, 50 * Ms), Start);
  int RemoteCalls = 0;
  for (int I = 0; I < 1000; ++I)
    RemoteCalls +=
        Balancer.pick(pointers(All), {}, Start, usualCall(0))->DataCentre !=
        "dc-0";
  BOOST_TEST(RemoteCalls == 0);
}

// Every gate of the local data centre is full while the remote ones have
// capacity: the sample must not consist of local gates alone.
BOOST_AUTO_TEST_CASE(RemoteCapacityIsFound) {
  std::vector<Instance> All(60);
  LoadBalancer Balancer({}, "dc-0", "me", 1);
  for (size_t I = 0; I < All.size(); ++I) {
    All[I].Name = "gate-" + std::to_string(I);
    All[I].DataCentre = "dc-" + std::to_string(I % 3);
    bool Local = I % 3 == 0;
    recordAnswer(Balancer, All[I].Name,
                 wire::Load(Local ? 10 : 0, Local ? 40 : 0, 10, 50 * Ms),
                 Start);
  }
  for (int I = 0; I < 100; ++I)
    BOOST_TEST(
        Balancer.pick(pointers(All), {}, Start, usualCall(0))->DataCentre !=
        "dc-0");
}

// Calls that this entry has sent count before the gate reports them. Otherwise
// a whole burst would go to one gate.
BOOST_AUTO_TEST_CASE(BurstIsSpreadOverGates) {
  std::vector<Instance> All = nearAndFar();
  All[1].DataCentre = "north";
  LoadBalancer Balancer({}, "north", "me", 1);
  std::map<std::string, int> Count;
  for (const Instance &Gate : All)
    Balancer.recordLoad(Gate.Name, wire::Load(0, 0, 10, 50 * Ms), Start);
  for (int I = 0; I < 60; ++I) {
    const Instance *Gate =
        Balancer.pick(pointers(All), {}, Start, usualCall(0));
    Balancer.recordStart(Gate->Name);
    ++Count[Gate->Name];
  }
  BOOST_TEST(Count["near"] >= 25);
  BOOST_TEST(Count["far"] >= 25);
}

// A gate that was slow receives no calls, so its answers cannot show that it
// has recovered. It must be selected again after some time.
BOOST_AUTO_TEST_CASE(SlowGateIsTriedAgain) {
  std::vector<Instance> All = nearAndFar();
  LoadBalancer Balancer({}, "north", "me", 1);
  recordAnswer(Balancer, "far", wire::Load(0, 0, 10, 50 * Ms), Start);
  recordAnswer(Balancer, "near", wire::Load(0, 0, 10, 400 * Ms), Start);
  bool Tried = false;
  for (int I = 0; I < 300 && !Tried; ++I) {
    TimePoint Now = Start + Millis(100 * I);
    recordAnswer(Balancer, "far", wire::Load(0, 0, 10, 50 * Ms), Now);
    Tried = Balancer.pick(pointers(All), {}, Now, usualCall(0))->Name == "near";
    if (I < 10)
      BOOST_TEST(!Tried);
  }
  BOOST_TEST(Tried);
}

/// What one of two equal gates has reported of its speed, and how many of 100
/// calls may be sent to it some time later.
struct SlowdownReport {
  const char *Title;
  bool Enabled;
  uint32_t Percent;
  Millis Age;
  int AtLeast, AtMost;
};
std::ostream &operator<<(std::ostream &Stream, const SlowdownReport &Row) {
  return Stream << Row.Title;
}

const SlowdownReport SlowdownReports[] = {
    {"slow", true, 250, Millis(0), 0, 0},
    {"slow, 0.3 s ago", true, 250, Millis(300), 0, 0},
    {"slow, and the report has faded", true, 250, Millis(3000), 30, 70},
    {"faster than usual", true, 50, Millis(0), 100, 100},
    {"faster than usual, and the report has faded", true, 50, Millis(3000), 30,
     70},
    {"unknown", true, 0, Millis(0), 30, 70},
    {"a little slower than the other", true, 105, Millis(0), 10, 45},
    {"slow, and this entry's setting is off", false, 250, Millis(0), 30, 70},
};

// Calls must avoid a gate while its upstream is slow, and must return once its
// report is old, as from a gate that is paused or whose link is lost. Without
// the setting reports must change nothing.
BOOST_DATA_TEST_CASE(ReportedSlowdownsAreFollowed, data::make(SlowdownReports),
                     Row) {
  std::vector<Instance> All = nearAndFar();
  All[1].DataCentre = "north";
  LoadBalancer::Options Opts;
  Opts.FollowSlowdowns = Row.Enabled;
  LoadBalancer Balancer(Opts, "north", "me", 1);
  for (const Instance &Gate : All)
    recordAnswer(Balancer, Gate.Name, wire::Load(0, 0, 10, 50 * Ms), Start);
  Balancer.recordSlowdown("near", Row.Percent, Start);
  int Count = 0;
  for (int I = 0; I < 100; ++I)
    Count +=
        Balancer.pick(pointers(All), {}, Start + Row.Age, usualCall(0))->Name ==
        "near";
  BOOST_TEST(Count >= Row.AtLeast);
  BOOST_TEST(Count <= Row.AtMost);
}

// A report of a slowdown ends when the gate reports its usual speed, and when
// the list names a new start of the upstream.
BOOST_DATA_TEST_CASE(ReportedSlowdownEnds, data::make({false, true}),
                     NewStart) {
  std::vector<Instance> All{nearAndFar().front(), nearAndFar().front()};
  All[1].Name = "other";
  LoadBalancer::Options Opts;
  Opts.FollowSlowdowns = true;
  LoadBalancer Balancer(Opts, "north", "me", 1);
  Balancer.updateInstance(All[0]);
  Balancer.recordSlowdown("near", 250, Start);
  All[0].Incarnation = 2;
  if (NewStart)
    Balancer.updateInstance(All[0]);
  else
    Balancer.recordSlowdown("near", 100, Start);
  int Count = 0;
  for (int I = 0; I < 100; ++I)
    Count +=
        Balancer.pick(pointers(All), {}, Start, usualCall(0))->Name == "near";
  BOOST_TEST(Count >= 30);
}

// All gates but one are slow. Calls that were sent since the last report must
// count, or a burst would go to the fast gate alone.
BOOST_AUTO_TEST_CASE(BurstDoesNotHerdToTheFastGate) {
  std::vector<Instance> All(4);
  LoadBalancer::Options Opts;
  Opts.FollowSlowdowns = true;
  LoadBalancer Balancer(Opts, "north", "me", 1);
  for (size_t I = 0; I < All.size(); ++I) {
    All[I].Name = "gate-" + std::to_string(I);
    All[I].DataCentre = "north";
    recordAnswer(Balancer, All[I].Name, wire::Load(5, 0, 10, 50 * Ms), Start);
    Balancer.recordSlowdown(All[I].Name, I == 0 ? 100 : 250, Start);
  }
  std::map<std::string, int> Count;
  for (int I = 0; I < 60; ++I) {
    const Instance *Gate =
        Balancer.pick(pointers(All), {}, Start, usualCall(0));
    Balancer.recordStart(Gate->Name);
    ++Count[Gate->Name];
  }
  BOOST_TEST(Count["gate-0"] > 15);
  BOOST_TEST(Count["gate-0"] < 35);
}

// A request with less of its time budget remaining than others of its route has
// already waited, unless the callers' budgets have been shortened.
BOOST_AUTO_TEST_CASE(SmallerRemainingBudgetMeansOlderRequest) {
  RequestAgeEstimator Ages;
  BOOST_TEST(Ages.age("r", Millis(1200), Start).count() == 0);
  BOOST_TEST(Ages.age("r", Millis(1199), Start).count() == 0);
  BOOST_TEST(Ages.age("r", Millis(900), Start).count() == 300);
  BOOST_TEST(Ages.age("other", Millis(900), Start).count() == 0);
  // All callers now have a shorter budget: none of the requests is old.
  TimePoint Later = Start + std::chrono::seconds(11);
  BOOST_TEST(Ages.age("r", Millis(900), Later).count() == 0);
  BOOST_TEST(Ages.age("r", Millis(890), Later).count() == 0);
}

/// The next list entry of a gate that was marked as draining, and whether calls
/// may be sent to it then.
struct ListedAgain {
  const char *Title;
  const char *Upstream;
  uint64_t Incarnation;
  bool Selected;
};
std::ostream &operator<<(std::ostream &Stream, const ListedAgain &Row) {
  return Stream << Row.Title;
}

const ListedAgain ListedAgainRows[] = {
    {"the same start", "up-1", 5, false},
    {"a later start under the same name", "up-1", 6, true},
    {"another upstream", "up-2", 5, true},
};

/// What happened between the drain mark and the next list.
enum class DrainCause {
  None,
  UnlistedDuringCall,
  DrainedWhileUnlisted,
  MarkedLeaving
};

/// What happened to a gate that announced a drain, before the list names it as
/// live again, and whether it is selected then.
struct DrainEnd {
  const char *Title;
  DrainCause Cause;
  bool Selected;
};
std::ostream &operator<<(std::ostream &Stream, const DrainEnd &Row) {
  return Stream << Row.Title;
}

const DrainEnd DrainEnds[] = {
    {"listed as before: the gate drains for a reason of its own",
     DrainCause::None, false},
    {"removed from the list while a call was running",
     DrainCause::UnlistedDuringCall, true},
    {"announced the drain after its removal from the list",
     DrainCause::DrainedWhileUnlisted, true},
    {"marked as leaving, and the mark withdrawn", DrainCause::MarkedLeaving,
     true},
};

// A machine cannot renew its list entry for a while, so its gate drains. The
// link to it is lost meanwhile, so the announcement that it is open again does
// not arrive, and calls would be refused for ever although the list names a
// healthy upstream.
BOOST_DATA_TEST_CASE(DrainMarkEndsWithItsReason, data::make(DrainEnds), Row) {
  std::vector<Instance> Gates{nearAndFar().front()};
  LoadBalancer Balancer(LoadBalancer::Options(), "north", "me", 1);
  Balancer.updateInstance(Gates[0]);
  Instance LeavingGate = Gates[0];
  LeavingGate.Leaving = true;
  switch (Row.Cause) {
  case DrainCause::None:
    Balancer.markDraining("near");
    break;
  case DrainCause::UnlistedDuringCall:
    Balancer.recordStart("near");
    Balancer.markDraining("near");
    Balancer.retainOnly({});
    break;
  case DrainCause::DrainedWhileUnlisted:
    Balancer.retainOnly({});
    Balancer.markDraining("near");
    break;
  case DrainCause::MarkedLeaving:
    Balancer.updateInstance(LeavingGate);
    Balancer.markDraining("near");
    break;
  }
  Balancer.updateInstance(Gates[0]);
  Balancer.retainOnly({"near"});
  BOOST_TEST((Balancer.pick(pointers(Gates), {}, Start) != nullptr) ==
             Row.Selected);
}

// An upstream drains, ends, and starts again under its old name. Calls must
// reach the new process at once: the drain mark belongs to the old one.
BOOST_DATA_TEST_CASE(NewUpstreamStartClearsRecordedState,
                     data::make(ListedAgainRows), Row) {
  std::vector<Instance> Gates(1);
  Gates[0].Name = "near";
  Gates[0].DataCentre = "north";
  Gates[0].Upstream = "up-1";
  Gates[0].Incarnation = 5;
  LoadBalancer Balancer(LoadBalancer::Options(), "north", "me", 1);
  Balancer.updateInstance(Gates[0]);
  Balancer.markDraining("near");
  Gates[0].Upstream = Row.Upstream;
  Gates[0].Incarnation = Row.Incarnation;
  Balancer.updateInstance(Gates[0]);
  const Instance *Selected = Balancer.pick(pointers(Gates), {}, Start);
  BOOST_TEST((Selected != nullptr) == Row.Selected);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
