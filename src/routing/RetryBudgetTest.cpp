#include "routing/RetryBudget.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr Millis Window{10000};
constexpr Millis Step{10};
constexpr double Percent = 13;
// First tries a second for one service, and its reserve, over all entries.
constexpr double FirstTriesPerSecond = 500;
constexpr double FleetReserve = 50;
// What the deployment allows in a window: a share of the first tries, and this
// many besides.
constexpr double AllowedPercent = 20;
constexpr double AllowedBesides = 200;

/// How the calls of a service end.
enum class Load { AllFail, AllFailAfterQuiet, ProcessesRestart };

struct FleetRow {
  size_t Entries;
  Load Calls;
};
std::ostream &operator<<(std::ostream &To, const FleetRow &Row) {
  const char *Names[] = {"all fail", "all fail after a quiet time",
                         "processes restart"};
  return To << Row.Entries << " entries, "
            << Names[static_cast<int>(Row.Calls)];
}

const FleetRow FleetRows[] = {
    {10, Load::AllFail},
    {100, Load::AllFail},
    {600, Load::AllFail},
    {8700, Load::AllFail},
    {10, Load::AllFailAfterQuiet},
    {100, Load::AllFailAfterQuiet},
    {600, Load::AllFailAfterQuiet},
    {8700, Load::AllFailAfterQuiet},
    {10, Load::ProcessesRestart},
    {600, Load::ProcessesRestart},
    {8700, Load::ProcessesRestart},
};

/// The entries of a fleet, whose calls arrive at random, and the retries that
/// they make. A failed call is retried as often as its entry's budget allows.
class FleetSimulator {
public:
  explicit FleetSimulator(size_t Entries) {
    this->Budgets.reserve(Entries);
    for (size_t I = 0; I < Entries; ++I)
      this->Budgets.push_back(this->makeBudget(Entries));
  }

  void run(Millis Length, bool CallsFail) {
    auto PerStep = static_cast<int>(
        FirstTriesPerSecond * std::chrono::duration<double>(Step).count());
    for (TimePoint End = this->Now + Length; this->Now < End;
         this->Now += Step) {
      for (int I = 0; I < PerStep; ++I)
        this->call(this->Budgets[this->Random() % this->Budgets.size()],
                   CallsFail);
      this->PerStepRetries.push_back(std::exchange(this->Retries, 0));
    }
  }

  void restartAll() {
    for (RetryBudget &Budget : this->Budgets)
      Budget = this->makeBudget(this->Budgets.size());
  }

  /// The most retries in any window.
  int mostInWindow() const {
    size_t Steps = Window / Step;
    int Sum = 0;
    int Most = 0;
    for (size_t I = 0; I < this->PerStepRetries.size(); ++I) {
      Sum += this->PerStepRetries[I];
      Sum -= I >= Steps ? this->PerStepRetries[I - Steps] : 0;
      Most = std::max(Most, Sum);
    }
    return Most;
  }

private:
  RetryBudget makeBudget(size_t Entries) {
    double Part = FleetReserve / static_cast<double>(Entries);
    return RetryBudget({.Reserve = Part, .Window = Window}, this->Random());
  }

  void call(RetryBudget &Budget, bool Fails) {
    Budget.recordFirstTry(Percent, this->Now);
    for (int Try = 0; Fails && Try < 3 && Budget.spendRetry(this->Now); ++Try)
      ++this->Retries;
  }

  std::mt19937_64 Random{1};
  std::vector<RetryBudget> Budgets;
  TimePoint Now = Start;
  int Retries = 0;
  std::deque<int> PerStepRetries;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgets)

// Guards against parts that are rounded up to one retry for each node, whose
// sum grows with the fleet, and against parts that are rounded down to none.
BOOST_DATA_TEST_CASE(SumOverAllEntriesStaysWithinTheLimit,
                     data::make(FleetRows), Row) {
  FleetSimulator Fleet(Row.Entries);
  if (Row.Calls == Load::AllFailAfterQuiet)
    Fleet.run(2 * Window, /*CallsFail=*/false);
  Fleet.run(Window, /*CallsFail=*/true);
  if (Row.Calls == Load::ProcessesRestart) {
    Fleet.restartAll();
    Fleet.run(Window / 2, /*CallsFail=*/true);
  }
  double FirstTries =
      FirstTriesPerSecond * std::chrono::duration<double>(Window).count();
  int Most = Fleet.mostInWindow();
  BOOST_TEST(Most <= FirstTries * AllowedPercent / 100 + AllowedBesides);
  BOOST_TEST(Most >= 0.9 * FirstTries * Percent / 100);
}

// Guards against a budget that lets more retries through than its share, or
// fewer.
BOOST_AUTO_TEST_CASE(RetriesAreLimitedToShareOfFirstTries) {
  RetryBudget Budget({.Reserve = 2}, /*Seed=*/1);
  int Retries = 0;
  for (int I = 0; I < 1000; ++I) {
    Budget.recordFirstTry(10, Start);
    Retries += Budget.spendRetry(Start);
  }
  BOOST_TEST(Retries <= 102);
  BOOST_TEST(Retries >= 98);
}

// Guards against an entry that saves the retries of a quiet hour and spends
// them all at once.
BOOST_AUTO_TEST_CASE(EarnedRetriesExpire) {
  RetryBudget Budget({.Reserve = 0, .Window = Window}, /*Seed=*/1);
  for (int I = 0; I < 100; ++I)
    Budget.recordFirstTry(10, Start);
  BOOST_TEST(Budget.spendRetry(Start));
  BOOST_TEST(Budget.balance() == 9, boost::test_tools::tolerance(1e-6));
  BOOST_TEST(!Budget.spendRetry(Start + 4 * Window));
  BOOST_TEST(Budget.balance() < 0.001);
}

// Guards against a reserve that is full again whenever the fleet grows by a
// node, so that its nodes can spend it many times.
BOOST_AUTO_TEST_CASE(SpentReserveIsNotRestoredWhenTheFleetGrows) {
  RetryBudget Budget({.Reserve = 4}, /*Seed=*/1);
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(Budget.spendRetry(Start));
  Budget.limitReserve(3);
  BOOST_TEST(!Budget.spendRetry(Start));
}

// Guards against a reserve that is spent once and for all, as at a service that
// earns nothing because only other services call it.
BOOST_AUTO_TEST_CASE(ReserveComesBackWithinAWindow) {
  RetryBudget Budget({.Reserve = 4, .Window = Window}, /*Seed=*/1);
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(Budget.spendRetry(Start));
  BOOST_TEST(!Budget.spendRetry(Start));
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(Budget.spendRetry(Start + Window / 2));
}

/// The reserves of a service and of another one that its runs call, and the
/// number of these calls. Retries: what is granted over many entries, in the
/// mean of an entry.
struct CostRow {
  double Own;
  double Other;
  double CallsPerRun;
  double Retries;
};
std::ostream &operator<<(std::ostream &To, const CostRow &Row) {
  return To << Row.Own << " and " << Row.Other << ", " << Row.CallsPerRun
            << " calls a run";
}

const CostRow CostRows[] = {
    {2, 10, 1, 2},   {2, 1, 1, 1},     {2, 0, 1, 0},      {2, 1, 0.5, 2},
    {2, 1, 4, 0.25}, {0.1, 1, 1, 0.1}, {1, 0.1, 2, 0.05}, {0, 1, 1, 0},
};

// Guards against retries whose runs make more calls than the budget of the
// called service allows.
BOOST_DATA_TEST_CASE(RetriesCostTheServicesTheirRunsCall, data::make(CostRows),
                     Row) {
  constexpr uint64_t Entries = 2000;
  int Granted = 0;
  for (uint64_t Seed = 1; Seed <= Entries; ++Seed) {
    RetryBudget Own({.Reserve = Row.Own}, Seed);
    RetryBudget Other({.Reserve = Row.Other}, Seed);
    for (int I = 0; I < 20; ++I)
      Granted += Own.spendRetry(Start, 0, {{"b", &Other, Row.CallsPerRun}});
    BOOST_TEST(Other.balance() >= 0);
  }
  BOOST_TEST(std::abs(static_cast<double>(Granted) / Entries - Row.Retries) <
             0.03);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
