#include "calls/GateFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

/// Calls that run at a gate with ten slots, and whether it then runs a call
/// that is or is not a hedge.
struct SlotsRow {
  uint64_t Running;
  bool Hedge;
  bool Runs;
};
std::ostream &operator<<(std::ostream &To, const SlotsRow &Row) {
  return To << Row.Running << (Row.Hedge ? " and a hedge" : " and a call");
}

const SlotsRow SlotsRows[] = {
    {0, true, true},  {6, true, true},   {7, true, false},
    {9, true, false}, {10, true, false}, {7, false, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(GateHedges)

// Guards against hedges that take slots which first runs need. A hedge is
// refused at once instead of waiting, and the refusal must not look like a lack
// of capacity.
BOOST_DATA_TEST_CASE(HedgeLeavesAQuarterOfSlotsFree, data::make(SlotsRows),
                     Row) {
  GateFixture Test;
  for (uint64_t Seq = 1; Seq <= Row.Running; ++Seq)
    Test.sendOpen(Test.makeOpen(Seq));
  wire::OpenT Open = Test.makeOpen(50);
  Open.hedge = Row.Hedge;
  Test.sendOpen(Open);
  BOOST_TEST(Test.StartedCalls.size() == Row.Running + (Row.Runs ? 1 : 0));
  const wire::FailedT *Failed = Test.lastFailed();
  BOOST_REQUIRE((Failed != nullptr) == !Row.Runs);
  if (Failed) {
    BOOST_TEST(Failed->reason == "hedge-refused");
    BOOST_TEST((Failed->outcome == wire::Outcome::NotRun));
  }
}

// The upstream sheds calls, and the gate sends it fewer. The slots closed by
// that are not free.
BOOST_FIXTURE_TEST_CASE(SheddingUpstreamRunsNoHedges, GateFixture) {
  for (uint64_t Seq = 1; Seq <= 4; ++Seq)
    this->sendOpen(this->makeOpen(Seq));
  ResponseHead Head;
  Head.Status = 503;
  Head.Headers = {{"Not-Run", "1"}};
  this->TestGate->upstreamHead({7, 1}, Head, this->Now);
  wire::OpenT Open = this->makeOpen(50);
  Open.hedge = true;
  this->sendOpen(Open);
  BOOST_REQUIRE(this->lastFailed());
  BOOST_TEST(this->lastFailed()->seq == 50u);
  BOOST_TEST(this->lastFailed()->reason == "hedge-refused");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
