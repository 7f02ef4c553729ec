#include "routing/RetryAllocator.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <vector>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));

RetryAllocator::Options enabled() {
  RetryAllocator::Options Opts;
  Opts.Enabled = true;
  return Opts;
}

/// How many calls of one class get a retry from a full budget, in the mean over
/// many nodes.
struct ClassRow {
  const char *Name;
  RetryAllocator::Call Call;
  double Reserve;
  double Granted;
};
std::ostream &operator<<(std::ostream &To, const ClassRow &Row) {
  return To << Row.Name << " of " << Row.Reserve;
}

const ClassRow Classes[] = {
    {"nested", {true, false}, 10, 10},
    {"returning", {false, true}, 10, 10},
    {"nested and returning", {true, true}, 10, 10},
    {"first-time", {false, false}, 10, 5},
    {"first-time", {false, false}, 3, 1.5},
    {"first-time", {false, false}, 1, 0.5},
    {"first-time", {false, false}, 0.2, 0.1},
    {"returning", {false, true}, 1, 1},
    {"returning", {false, true}, 0.2, 0.2},
};

} // namespace

BOOST_AUTO_TEST_SUITE(RetryAllocation)

// Guards against first-time callers that use up the retries of nested calls and
// returning callers, although their own repeat draws on no budget.
BOOST_DATA_TEST_CASE(FirstTimeCallersLeaveHalfOfTheReserve, data::make(Classes),
                     Row) {
  constexpr uint64_t Nodes = 1000;
  RetryAllocator Retries(enabled(), /*Seed=*/1);
  for (uint64_t Node = 1; Node <= Nodes; ++Node) {
    RetryBudget Budget({.Reserve = Row.Reserve}, Node);
    for (int I = 0; I < 20; ++I)
      Retries.spendRetry(Row.Call, Budget, Start);
  }
  uint64_t Granted = 0;
  uint64_t Withheld = 0;
  for (size_t Class = 0; Class < RetryAllocator::ClassCount; ++Class) {
    Granted += Retries.counters().Granted[Class];
    Withheld += Retries.counters().Withheld[Class];
  }
  double Mean = static_cast<double>(Granted) / Nodes;
  bool Whole = std::floor(Row.Granted) == Row.Granted;
  BOOST_TEST(std::abs(Mean - Row.Granted) <= (Whole ? 0 : 0.05));
  BOOST_TEST(Granted + Withheld == 20u * Nodes);
}

// A service must not count as shedding for longer than its gates report it, or
// its first-time callers would get no retries after the shedding has ended.
BOOST_AUTO_TEST_CASE(SheddingIsForgottenWithItsReports) {
  RetryAllocator Retries(enabled(), /*Seed=*/1);
  BOOST_TEST(!Retries.isShedding("a", Start));
  Retries.recordReport("a", 55, Start);
  Retries.recordReport("a", 0, Start + Millis(100));
  BOOST_TEST(Retries.isShedding("a", Start + Millis(499)));
  BOOST_TEST(!Retries.isShedding("b", Start + Millis(499)));
  BOOST_TEST(!Retries.isShedding("a", Start + Millis(500)));
  RetryAllocator Disabled(RetryAllocator::Options(), /*Seed=*/1);
  Disabled.recordReport("a", 55, Start);
  BOOST_TEST(!Disabled.isShedding("a", Start));
}

namespace {

struct ShedOutcome {
  int Runs = 0;
  int CompletedRuns = 0;
  int Callers = 0;
  int ServedCallers = 0;

  double completedShare() const {
    return static_cast<double>(this->CompletedRuns) / this->Runs;
  }
  double servedShare() const {
    return static_cast<double>(this->ServedCallers) / this->Callers;
  }
};

/// Simulates eight seconds in which a service sheds 55 in 100 calls. At each of
/// nine nodes, callers send it 20 calls a second and retry once, and 10
/// runs a second make two nested calls each. A call has two attempts, and
/// retries come from the budget of its node: Percent of the callers' requests.
class ShedSimulator {
public:
  ShedSimulator(bool Allocates, double Percent, double Reserve, uint64_t Seed)
      : Allocates(Allocates), Percent(Percent), Rng(Seed) {
    for (uint64_t Node = 0; Node < Nodes; ++Node)
      this->Budgets.emplace_back(RetryBudget::Options{.Reserve = Reserve},
                                 Seed * Nodes + Node);
    for (uint64_t Node = 0; Node < Nodes; ++Node)
      this->Retries.emplace_back(enabled(), Node);
  }

  void simulate(ShedOutcome &Result) {
    for (TimePoint Now = Start; Now < Start + Millis(8000); Now += Millis(10))
      for (size_t Node = 0; Node < Nodes; ++Node) {
        if (this->happens(0.1)) {
          ++Result.Runs;
          Result.CompletedRuns += this->call(Node, {true, false}, Now) &&
                                  this->call(Node, {true, false}, Now);
        }
        if (this->happens(0.2)) {
          ++Result.Callers;
          this->Budgets[Node].recordFirstTry(this->Percent, Now);
          Result.ServedCallers += this->call(Node, {false, false}, Now) ||
                                  this->comeBack(Node, Now);
        }
      }
  }

private:
  static constexpr size_t Nodes = 9;

  bool happens(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(this->Rng) < Share;
  }

  bool comeBack(size_t Node, TimePoint Now) {
    this->Budgets[Node].recordFirstTry(this->Percent, Now);
    return this->call(Node, {false, true}, Now);
  }

  // Whether one of the call's attempts is run.
  bool call(size_t Node, const RetryAllocator::Call &Call, TimePoint Now) {
    bool Runs = !this->happens(0.55);
    RetryBudget &Budget = this->Budgets[Node];
    if (Runs ||
        !(this->Allocates ? this->Retries[Node].spendRetry(Call, Budget, Now)
                          : Budget.spendRetry(Now)))
      return Runs;
    return !this->happens(0.55);
  }

  bool Allocates;
  double Percent;
  std::mt19937_64 Rng;
  std::vector<RetryBudget> Budgets;
  std::vector<RetryAllocator> Retries;
};

ShedOutcome simulateShedding(bool Allocates, double Percent, double Reserve) {
  ShedOutcome Result;
  for (uint64_t Seed = 1; Seed <= 10; ++Seed)
    ShedSimulator(Allocates, Percent, Reserve, Seed).simulate(Result);
  return Result;
}

/// The share of the callers' requests that may be repeated, and the reserve of
/// a node.
struct BudgetRow {
  double Percent;
  double Reserve;
};
std::ostream &operator<<(std::ostream &To, const BudgetRow &Row) {
  return To << Row.Percent << " %, " << Row.Reserve;
}

const BudgetRow Budgets[] = {{20, 10}, {20, 1}, {5, 1}};

} // namespace

// Guards against runs that fail because first-time callers used up the retries.
// The callers must be served about as often, by their own repeats.
BOOST_DATA_TEST_CASE(MoreRunsAreCompletedWhileAServiceSheds,
                     data::make(Budgets), Row) {
  ShedOutcome Without = simulateShedding(false, Row.Percent, Row.Reserve);
  ShedOutcome With = simulateShedding(true, Row.Percent, Row.Reserve);
  for (const ShedOutcome &Of : {Without, With})
    BOOST_TEST_MESSAGE("runs completed " << Of.completedShare()
                                         << ", callers served "
                                         << Of.servedShare());
  BOOST_TEST(With.completedShare() > Without.completedShare());
  BOOST_TEST(With.servedShare() > Without.servedShare() - 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
