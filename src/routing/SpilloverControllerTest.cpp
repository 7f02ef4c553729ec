#include "routing/SpilloverController.h"
#include "routing/LoadBalancer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
const char Lookup[] = "lookup";
constexpr uint32_t RunUs = 50000;

SpilloverController::Options enabled() {
  SpilloverController::Options Opts;
  Opts.Enabled = true;
  return Opts;
}

wire::Load loadOf(uint32_t InUse) { return {InUse, 0, 20, RunUs}; }

/// A controller in the data centre "north" and the gates that report to it.
class Reports {
public:
  explicit Reports(SpilloverController &To) : To(To) {}

  /// Four gates of the data centre report this load each 50 ms.
  void steady(const std::string &DataCentre, uint32_t InUse, Millis For) {
    auto Place = this->To.place(Lookup, DataCentre);
    for (TimePoint End = this->Now + For; this->Now < End;
         this->Now += Interval)
      for (int Gate = 0; Gate < 4; ++Gate)
        this->To.recordLoad(Place, loadOf(InUse), Interval, this->Now);
  }

  SpilloverController &To;
  TimePoint Now = Start;
  static constexpr Millis Interval{50};
};

Instance gate(const std::string &Name, const std::string &DataCentre) {
  Instance Result;
  Result.Name = Name;
  Result.DataCentre = DataCentre;
  Result.Service = Lookup;
  Result.Slots = 20;
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Spillover)

struct RampRow {
  uint32_t InUse;
  double Probability;
};
std::ostream &operator<<(std::ostream &To, const RampRow &Row) {
  return To << Row.InUse << " of 20 slots";
}

const RampRow RampRows[] = {{0, 0},    {10, 0}, {15, 0}, {16, 0.25},
                            {17, 0.5}, {19, 1}, {20, 1}, {60, 1}};

// Steady load must give a steady probability between its two bounds.
BOOST_DATA_TEST_CASE(ProbabilityFollowsLocalShare, data::make(RampRows), Row) {
  SpilloverController Controller(enabled(), "north");
  Reports Gates(Controller);
  Gates.steady("north", Row.InUse, Millis(8000));
  double Before = Controller.probability(Lookup, Gates.Now);
  BOOST_TEST(std::abs(Before - Row.Probability) < 0.03);
  Gates.steady("north", Row.InUse, Millis(1000));
  BOOST_TEST(std::abs(Controller.probability(Lookup, Gates.Now) - Before) <
             0.01);
  BOOST_TEST(Controller.probability("other", Gates.Now) == 0);
}

// A jump of the load, or a first report of a full data centre, must not move
// all calls at once, in either direction.
BOOST_AUTO_TEST_CASE(ProbabilityChangesSlowly) {
  SpilloverController Controller(enabled(), "north");
  Reports Gates(Controller);
  double Last = 0;
  auto CheckSteps = [&](uint32_t InUse, double Expected) {
    for (int I = 0; I < 60; ++I) {
      Gates.steady("north", InUse, Millis(100));
      double Next = Controller.probability(Lookup, Gates.Now);
      BOOST_TEST(std::abs(Next - Last) <= 0.1001);
      Last = Next;
    }
    BOOST_TEST(std::abs(Last - Expected) < 0.05);
  };
  CheckSteps(20, 1);
  CheckSteps(6, 0);
  CheckSteps(20, 1);
}

// The first calls after a start, and those after a pause of the process, must
// stay: there is no report, or the reports have faded. Frames that lay in the
// sockets meanwhile may raise the probability only slowly.
BOOST_AUTO_TEST_CASE(OldReportsDoNotMoveCalls) {
  SpilloverController Controller(enabled(), "north");
  BOOST_TEST(Controller.probability(Lookup, Start) == 0);
  BOOST_TEST(Controller.share(Lookup, "south", Start) == 0.5);
  Reports Gates(Controller);
  Gates.steady("north", 20, Millis(5000));
  Gates.steady("south", 20, Millis(5000));
  Gates.Now += Millis(20000);
  BOOST_TEST(std::abs(Controller.share(Lookup, "south", Gates.Now) - 0.5) <
             0.01);
  BOOST_TEST(Controller.probability(Lookup, Gates.Now) < 0.01);
  Gates.steady("north", 20, Millis(50));
  Gates.steady("north", 4, Millis(200));
  BOOST_TEST(Controller.probability(Lookup, Gates.Now) < 0.25);
  Gates.steady("north", 4, Millis(3000));
  BOOST_TEST(Controller.probability(Lookup, Gates.Now) == 0);
}

// The gate of the entry's own machine answers most of its calls. Its many
// reports must not hide that the other gates are full.
BOOST_AUTO_TEST_CASE(GatesCountAlike) {
  SpilloverController Controller(enabled(), "north");
  auto Place = Controller.place(Lookup, "north");
  for (int I = 0; I < 5000; ++I) {
    TimePoint Now = Start + Millis(I);
    Controller.recordLoad(Place, loadOf(8), Millis(1), Now);
    if (I % 100 == 0)
      Controller.recordLoad(Place, loadOf(20), Millis(100), Now);
  }
  double Share = Controller.share(Lookup, "north", Start + Millis(5000));
  BOOST_TEST(std::abs(Share - 0.7) < 0.05);
}

struct RemoteRow {
  const char *Title;
  /// Slots in use of 20; negative for no reports.
  int South;
  int East;
  size_t EastGates;
  /// Expected share of the calls that go to the south; negative for no calls.
  double SouthShare;
};
std::ostream &operator<<(std::ostream &To, const RemoteRow &Row) {
  return To << Row.Title;
}

const RemoteRow RemoteRows[] = {
    {"equal load", 10, 10, 4, 0.5},
    {"unknown counts as half full", -1, 10, 4, 0.5},
    {"east has twice the gates", 10, 10, 8, 0.33},
    {"south is nearly full", 18, 10, 4, 0.1},
    {"south is full", 20, 10, 4, 0},
    {"both are full", 20, 20, 4, -1},
    {"south is full, east has no usable gate", 20, 10, 0, -1},
};

// Calls must go where slots are free. If all went to the emptiest data centre,
// it would be full a moment later.
BOOST_DATA_TEST_CASE(RemoteDataCentresByFreeSlots, data::make(RemoteRows),
                     Row) {
  SpilloverController Controller(enabled(), "north");
  Reports Gates(Controller);
  if (Row.South >= 0)
    Gates.steady("south", static_cast<uint32_t>(Row.South), Millis(5000));
  Gates.Now = Start;
  Gates.steady("east", static_cast<uint32_t>(Row.East), Millis(5000));
  std::vector<Instance> South(4, gate("s", "south"));
  std::vector<Instance> East(Row.EastGates, gate("e", "east"));
  std::mt19937_64 Random(7);
  int ToSouth = 0, Selected = 0;
  for (int I = 0; I < 4000; ++I) {
    RemoteGates Remote;
    for (const Instance &One : South)
      Remote.add(One, One.Slots);
    for (const Instance &One : East)
      Remote.add(One, One.Slots);
    auto Found = Controller.select(Lookup, std::move(Remote), /*Refused=*/true,
                                   Random, Gates.Now);
    Selected += !Found.empty();
    ToSouth += !Found.empty() && Found.front()->DataCentre == "south";
  }
  if (Row.SouthShare < 0)
    BOOST_TEST(Selected == 0);
  else
    BOOST_TEST(std::abs(ToSouth / 4000.0 - Row.SouthShare) < 0.03);
}

// Memory must not grow with the fleet, nor with services that came and went.
BOOST_AUTO_TEST_CASE(StateIsBounded) {
  LoadBalancer::Options Opts;
  Opts.Spillover = enabled();
  LoadBalancer Balancer(Opts, "dc-0", "me", 1);
  for (int Round = 0; Round < 3; ++Round) {
    std::set<std::string> Listed;
    for (int I = 0; I < 3000; ++I) {
      Instance One = gate("g" + std::to_string(Round) + std::to_string(I),
                          "dc-" + std::to_string(I % 3));
      One.Service = "service-" + std::to_string(10 * Round + I % 2);
      Balancer.updateInstance(One);
      Balancer.recordLoad(One.Name, loadOf(10), Start);
      Listed.insert(One.Name);
    }
    Balancer.retainOnly(Listed);
    BOOST_TEST(Balancer.spillover().placeCount() == 6);
    BOOST_TEST(Balancer.spillover().services().size() <= 2);
  }
}

struct FleetRow {
  const char *Title;
  /// Slots in use of 20 at the local gates.
  uint32_t Local;
  bool RefusedLocally;
  bool RemoteReachable;
  bool RemoteRoutable;
  bool LocalReachable;
  bool Leaves;
};
std::ostream &operator<<(std::ostream &To, const FleetRow &Row) {
  return To << Row.Title;
}

const FleetRow FleetRows[] = {
    {"the local queue is long, but the probability is still low", 200, false,
     true, true, true, false},
    {"refused by a local gate", 200, true, true, true, true, true},
    {"refused, but staying is clearly faster", 4, true, true, true, true,
     false},
    {"the remote data centre is cut off", 200, true, false, true, true, false},
    {"the remote data centre is evacuated", 200, true, true, false, true,
     false},
    {"no local gate is usable", 4, false, true, true, false, true},
};

// Which gates are candidates depends on the call's refusals and on what can be
// reached, before any reports have come from the remote data centre.
BOOST_DATA_TEST_CASE(BalancerFollowsController, data::make(FleetRows), Row) {
  LoadBalancer::Options Opts;
  Opts.Spillover = enabled();
  std::vector<Instance> All = {gate("n-1", "north"), gate("n-2", "north"),
                               gate("s-1", "south"), gate("s-2", "south")};
  LoadBalancer Balancer(Opts, "north", "me", 1);
  std::vector<const Instance *> Routable;
  for (const Instance &One : All) {
    bool Local = One.DataCentre == "north";
    Balancer.updateInstance(One);
    if (Local)
      Balancer.recordLoad(One.Name, loadOf(Row.Local), Start);
    if (!(Local ? Row.LocalReachable : Row.RemoteReachable))
      Balancer.markUnreachable(One.Name, Start);
    if (Local || Row.RemoteRoutable)
      Routable.push_back(&One);
  }
  std::set<std::string> Tried;
  if (Row.RefusedLocally) {
    Balancer.recordReserveRefusal("n-1", Start);
    Tried = {"n-1"};
  }
  LoadBalancer::CallInfo Call;
  Call.TargetLatency = Millis(300);
  const Instance *Selected = Balancer.pick(Routable, Tried, Start, Call);
  BOOST_TEST((Selected->DataCentre == "south") == Row.Leaves);
  Balancer.recordStart(Selected->Name);
  uint64_t Counted = 0;
  for (SpilloverController::Reason Why : SpilloverController::Reasons)
    Counted += Balancer.spillover().sentCount(Why);
  BOOST_TEST(Counted == (Row.Leaves ? 1 : 0));
}

// All calls of a full data centre may leave when it is cut off or evacuated.
// When it is back, its reports are old, and calls must return to local gates.
BOOST_DATA_TEST_CASE(CallsReturnAfterOutage, data::make({false, true}),
                     Evacuated) {
  LoadBalancer::Options Opts;
  Opts.Spillover = enabled();
  LoadBalancer Balancer(Opts, "north", "me", 1);
  std::vector<Instance> All = {gate("n-1", "north"), gate("s-1", "south")};
  std::vector<const Instance *> Both = {&All[0], &All[1]};
  std::vector<const Instance *> SouthOnly = {&All[1]};
  LoadBalancer::CallInfo Call;
  Call.TargetLatency = Millis(300);
  // These gates are known from a list that came before the configuration, so
  // updateInstance() was not called for them.
  Balancer.pick(Both, {}, Start, Call);
  auto PicksSouth = [&](Millis At) {
    TimePoint Now = Start + At;
    bool IsOut = At >= Millis(5000) && At < Millis(12000);
    if (IsOut && !Evacuated)
      Balancer.markUnreachable("n-1", Now);
    const Instance *Selected =
        Balancer.pick(IsOut && Evacuated ? SouthOnly : Both, {}, Now, Call);
    return Selected->DataCentre == "south";
  };
  for (Millis At{0}; At < Millis(5000); At += Millis(50)) {
    Balancer.recordLoad("n-1", loadOf(200), Start + At);
    Balancer.recordLoad("s-1", loadOf(4), Start + At);
    PicksSouth(At);
  }
  BOOST_TEST(Balancer.spillover().probability(Lookup, Start + Millis(5000)) >
             0.99);
  for (Millis At{5000}; At < Millis(12000); At += Millis(50))
    BOOST_TEST(PicksSouth(At));
  Balancer.markReachable("n-1");
  for (Millis At{12000}; At < Millis(13000); At += Millis(50))
    BOOST_TEST(!PicksSouth(At));
  BOOST_TEST(Balancer.spillover().probability(Lookup, Start + Millis(13000)) ==
             0);
}

// In a fleet of one data centre, the same calls must go to the same gates.
BOOST_AUTO_TEST_CASE(OneDataCentreIsUnchanged) {
  std::vector<Instance> All;
  for (int I = 0; I < 30; ++I)
    All.push_back(gate("n-" + std::to_string(I), "north"));
  std::vector<const Instance *> Routable;
  for (const Instance &One : All)
    Routable.push_back(&One);
  LoadBalancer::Options Opts;
  LoadBalancer Off(Opts, "north", "n-3", 1);
  Opts.Spillover = enabled();
  LoadBalancer On(Opts, "north", "n-3", 1);
  for (LoadBalancer *One : {&Off, &On})
    for (const Instance &Gate : All) {
      One->updateInstance(Gate);
      One->recordLoad(Gate.Name, loadOf(20), Start);
    }
  for (int I = 0; I < 500; ++I) {
    TimePoint Now = Start + Millis(I);
    const Instance *Expected = Off.pick(Routable, {}, Now);
    BOOST_TEST(On.pick(Routable, {}, Now) == Expected);
    for (LoadBalancer *One : {&Off, &On}) {
      One->recordStart(Expected->Name);
      One->recordEnd(Expected->Name, /*Answered=*/true, Millis(50), Now);
      One->recordLoad(Expected->Name, loadOf(20), Now);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
