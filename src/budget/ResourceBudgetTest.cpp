#include "budget/ResourceBudget.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

using Kind = ResourceBudget::Kind;
using Holder = ResourceBudget::Holder;
using Usage = ResourceBudget::Usage;

constexpr size_t KiB = 1024;

/// A budget for holders that the test makes up; each is a caller.
struct BudgetFixture {
  TimePoint Now{std::chrono::seconds(1000)};
  std::map<uint64_t, Usage> Held;
  std::string Evicted;
  size_t SettlesWanted = 0;
  std::function<void(uint64_t)> OnEvict = [this](uint64_t Id) {
    this->Held.erase(Id);
  };
  ResourceBudget Budget;

  BudgetFixture() : Budget(options(), this->hooks()) {
    this->Budget.addSource(
        Kind::Caller,
        {[this](const Holder &One) {
           auto Found = this->Held.find(One.Low);
           return Found == this->Held.end() ? std::nullopt
                                            : std::optional(Found->second);
         },
         [this](const Holder &One, TimePoint) { this->OnEvict(One.Low); }});
  }

  static ResourceBudget::Options options() {
    ResourceBudget::Options Out;
    Out.MaxBytes = 1000 * KiB;
    Out.MaxConnections = 20;
    Out.HolderBytes = KiB;
    return Out;
  }
  ResourceBudget::Hooks hooks() {
    ResourceBudget::Hooks Out;
    Out.SettleSoon = [this] { ++this->SettlesWanted; };
    Out.Evicted = [this](const ResourceBudget::Eviction &Of, TimePoint) {
      this->Evicted += std::to_string(Of.Of.Low) + " ";
    };
    return Out;
  }

  void set(uint64_t Id, const Usage &To) {
    this->Held[Id] = To;
    this->Budget.touch({Kind::Caller, 0, Id});
  }
  void settleAfter(Millis Wait) {
    this->Now += Wait;
    this->Budget.settle(this->Now);
  }
};

/// What a holder does at one time, and which are evicted then.
struct Step {
  Millis Wait;
  uint64_t Id;
  Usage Is;
};
struct EvictionCase {
  const char *Name;
  std::vector<Step> Steps;
  const char *Evicted;
};
std::ostream &operator<<(std::ostream &To, const EvictionCase &Of) {
  return To << Of.Name;
}

Usage callerWith(size_t Bytes, uint64_t Total) {
  return {Bytes, 1, Total, /*OtherSideActs=*/true};
}
Usage waitsForAnswer(size_t Bytes) {
  return {Bytes, 1, Bytes, /*OtherSideActs=*/false};
}

const EvictionCase Evictions[] = {
    {"nothing while the limit is kept",
     {{Millis(0), 1, callerWith(500 * KiB, 500 * KiB)},
      {Millis(9000), 2, callerWith(400 * KiB, 400 * KiB)}},
     ""},
    {"of two of one size, who has not moved for longer",
     {{Millis(0), 1, callerWith(500 * KiB, 500 * KiB)},
      {Millis(500), 2, callerWith(500 * KiB, 500 * KiB)}},
     "1 "},
    {"of two that came together, the larger",
     {{Millis(0), 1, callerWith(300 * KiB, 300 * KiB)},
      {Millis(0), 2, callerWith(800 * KiB, 800 * KiB)}},
     "2 "},
    {"who sends without anything moving on stands like who sends nothing",
     {{Millis(0), 1, callerWith(400 * KiB, 400 * KiB)},
      {Millis(1000), 1, callerWith(500 * KiB, 500 * KiB)},
      {Millis(0), 2, callerWith(510 * KiB, 510 * KiB)}},
     "1 "},
    {"who has moved as much as is held counts from then on",
     {{Millis(0), 1, callerWith(500 * KiB, 500 * KiB)},
      {Millis(1000), 2, callerWith(400 * KiB, 400 * KiB)},
      {Millis(1000), 1, callerWith(500 * KiB, 1000 * KiB)},
      {Millis(10), 3, callerWith(300 * KiB, 300 * KiB)}},
     "2 "},
    {"who waits for an answer goes after who does not go on",
     {{Millis(0), 1, waitsForAnswer(600 * KiB)},
      {Millis(1000), 2, callerWith(300 * KiB, 300 * KiB)},
      {Millis(100), 3, callerWith(150 * KiB, 150 * KiB)}},
     "2 "},
    {"an idle connection stays while a large holder can go",
     {{Millis(0), 1, callerWith(0, 0)},
      {Millis(60000), 2, callerWith(999 * KiB, 999 * KiB)}},
     "2 "},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ResourceBudgets)

// Guards against limits that are kept at the cost of ordinary callers.
BOOST_DATA_TEST_CASE_F(BudgetFixture, WhoTakesMostAndMovesLeastGoesFirst,
                       data::make(Evictions), Case) {
  for (const Step &One : Case.Steps) {
    this->set(One.Id, One.Is);
    this->settleAfter(One.Wait);
  }
  BOOST_TEST(this->Evicted == Case.Evicted);
  BOOST_TEST(this->Budget.bytes() <= options().MaxBytes);
}

// Guards against connections that take all descriptors, and against a new
// caller that is turned away for them.
BOOST_FIXTURE_TEST_CASE(NewConnectionReplacesTheOneIdleForLongest,
                        BudgetFixture) {
  for (uint64_t Id = 1; Id <= options().MaxConnections; ++Id) {
    this->set(Id, callerWith(0, 0));
    this->settleAfter(Millis(10));
  }
  BOOST_TEST(this->Evicted == "");
  this->set(99, callerWith(100, 100));
  this->settleAfter(Millis(10));
  BOOST_TEST(this->Evicted == "1 2 ");
  BOOST_TEST(this->Budget.connections() == 19u);
}

// Guards against evictions for memory that was freed long ago.
BOOST_FIXTURE_TEST_CASE(HoldersAreMeasuredAgainBeforeAnEviction,
                        BudgetFixture) {
  this->set(1, callerWith(900 * KiB, 900 * KiB));
  this->settleAfter(Millis(0));
  this->Held[1] = callerWith(0, 900 * KiB);
  this->set(2, callerWith(500 * KiB, 500 * KiB));
  this->settleAfter(Millis(100));
  BOOST_TEST(this->Evicted == "");
  BOOST_TEST(this->Budget.bytes() == 502 * KiB);
}

// Guards against accounts of holders that have ended: they would add up.
BOOST_FIXTURE_TEST_CASE(EndedHoldersAreNotCharged, BudgetFixture) {
  this->set(1, callerWith(900 * KiB, 900 * KiB));
  this->settleAfter(Millis(0));
  this->Held.clear();
  this->Budget.touch({Kind::Caller, 0, 1});
  this->settleAfter(Millis(0));
  BOOST_TEST(this->Budget.bytes() == 0u);
  BOOST_TEST(this->Budget.connections() == 0u);
  BOOST_TEST(this->Budget.holders(Kind::Caller) == 0u);
}

// Guards against an eviction that ends other holders or frees nothing.
BOOST_FIXTURE_TEST_CASE(EvictionsMayEndOthersOrFreeNothing, BudgetFixture) {
  this->OnEvict = [this](uint64_t Id) {
    if (Id == 2)
      return;
    for (uint64_t Ended : {1, 3}) {
      this->Held.erase(Ended);
      this->Budget.touch({Kind::Caller, 0, Ended});
    }
  };
  this->set(1, callerWith(300 * KiB, 300 * KiB));
  this->settleAfter(Millis(0));
  this->set(2, callerWith(600 * KiB, 600 * KiB));
  this->set(3, callerWith(300 * KiB, 300 * KiB));
  this->settleAfter(Millis(0));
  this->settleAfter(Millis(0));
  BOOST_TEST(this->Evicted == "2 3 ");
  BOOST_TEST(this->Budget.bytes() == 601 * KiB);
}

// The owner has to settle once for all that one turn of its loop touches.
BOOST_FIXTURE_TEST_CASE(OneSettleIsWantedForAllTouches, BudgetFixture) {
  this->set(1, callerWith(0, 0));
  this->set(2, callerWith(0, 0));
  BOOST_TEST(this->SettlesWanted == 1u);
  this->settleAfter(Millis(0));
  this->set(1, callerWith(1, 1));
  BOOST_TEST(this->SettlesWanted == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
