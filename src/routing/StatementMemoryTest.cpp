#include "routing/StatementMemory.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

UpstreamStatement leaving() {
  UpstreamStatement Stated;
  Stated.Leaving = true;
  return Stated;
}

Instance listed(const std::string &Upstream, uint64_t Incarnation = 0) {
  Instance Of;
  Of.Name = "north-1";
  Of.Upstream = Upstream;
  Of.Incarnation = Incarnation;
  return Of;
}

/// An event after the upstream "up-1" at "north-1" has stated that it leaves,
/// the instance as it is listed then, and whether it counts as leaving.
struct LeavingRow {
  const char *Name;
  std::function<void(StatementMemory &)> Event;
  Instance Listed;
  bool ExpectedLeaving;
};
std::ostream &operator<<(std::ostream &To, const LeavingRow &Row) {
  return To << Row.Name;
}

const LeavingRow LeavingRows[] = {
    {"nothing", [](StatementMemory &) {}, listed("up-1"), true},
    {"a late answer of an earlier call does not state it",
     [](StatementMemory &Memory) {
       Memory.record("north-1", {"up-1", 0}, UpstreamStatement());
     },
     listed("up-1"), true},
    {"the same start is listed again",
     [](StatementMemory &Memory) { Memory.instanceListed(listed("up-1")); },
     listed("up-1"), true},
    {"another upstream has its address", [](StatementMemory &) {},
     listed("up-2"), false},
    {"it was started again under its name", [](StatementMemory &) {},
     listed("up-1", 5), false},
    {"another upstream was listed meanwhile",
     [](StatementMemory &Memory) { Memory.instanceListed(listed("up-2")); },
     listed("up-1"), false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(RememberedStatements)

// Guards against calls to an upstream that has stated that it leaves, and
// against leaving out the one that takes its place.
BOOST_DATA_TEST_CASE(LeavingHoldsForOneStart, data::make(LeavingRows), Row) {
  StatementMemory Memory;
  Memory.record("north-1", {"up-1", 0}, leaving());
  Row.Event(Memory);
  BOOST_TEST(Memory.isLeaving(Row.Listed) == Row.ExpectedLeaving);
}

// Guards against leaving out an instance for good on a platform that does not
// tell the starts of an upstream apart.
BOOST_AUTO_TEST_CASE(StatementWithoutAStartEndsWithAGapInTheList) {
  StatementMemory Memory;
  Memory.record("north-1", {"", 0}, leaving());
  Memory.record("north-2", {"up-2", 0}, leaving());
  Memory.retainListed({"north-1", "north-2"});
  BOOST_TEST(Memory.isLeaving(listed("")));
  Memory.retainListed({});
  BOOST_TEST(!Memory.isLeaving(listed("")));
  BOOST_TEST(Memory.find("north-2"));
}

// Guards against a limit that is remembered after it has ended.
BOOST_AUTO_TEST_CASE(RateIsForgottenWithTheStatement) {
  StatementMemory Memory;
  UpstreamStatement Stated;
  Stated.CallsPerSecond = 12;
  Memory.record("north-1", {"up-1", 0}, Stated);
  BOOST_REQUIRE(Memory.find("north-1"));
  BOOST_TEST(*Memory.find("north-1")->Stated.CallsPerSecond == 12);
  Memory.record("north-1", {"up-1", 0}, UpstreamStatement());
  BOOST_TEST(!Memory.find("north-1"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
