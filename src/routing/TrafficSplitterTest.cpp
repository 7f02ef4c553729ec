#include "routing/TrafficSplitter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <numeric>
#include <random>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

/// Weights of a route, and how far the count of a part may be off its share
/// over consecutive calls.
struct Split {
  std::vector<uint32_t> Weights;
  double MaxDeviation;
};
std::ostream &operator<<(std::ostream &Stream, const Split &Row) {
  for (uint32_t Weight : Row.Weights)
    Stream << Weight << " ";
  return Stream;
}

const Split Splits[] = {{{1}, 0},          {{1, 1}, 1},       {{90, 10}, 1},
                        {{1, 2, 3}, 2},    {{0, 5}, 0},       {{7, 0, 3}, 1},
                        {{999, 1}, 1},     {{5, 1, 1, 3}, 2}, {{3000, 100}, 1},
                        {{500, 300, 7}, 2}};

Route makeSplitRoute(const std::vector<uint32_t> &Weights,
                     const std::string &Name = "r") {
  Route Result;
  Result.Name = Name;
  for (uint32_t Weight : Weights)
    Result.Parts.push_back({nullptr, Weight});
  return Result;
}

/// A fleet whose entries make Calls calls altogether. Each entry sees new
/// weights after CallsPerVersion calls of its own; 0 for never.
struct FleetRow {
  size_t Entries;
  int Calls;
  int CallsPerVersion;
};
std::ostream &operator<<(std::ostream &Stream, const FleetRow &Row) {
  return Stream << Row.Entries << " entries, " << Row.Calls << " calls, "
                << Row.CallsPerVersion << " a version";
}

const FleetRow FleetRows[] = {
    {1, 300, 0},    {10, 300, 0},  {100, 300, 0},  {600, 300, 0},
    {8700, 300, 0}, {10, 1000, 0}, {600, 1000, 0}, {8700, 1000, 0},
    {10, 1000, 1},  {10, 1000, 3}, {600, 1000, 3}, {8700, 9000, 1},
};

const std::vector<uint32_t> FleetWeights[] = {{90, 10}, {70, 30}, {50, 50}};

/// Share of the calls of a fleet that the first part receives. The calls come
/// from random entries.
double firstPartShare(const FleetRow &Row,
                      const std::vector<uint32_t> &Weights) {
  std::mt19937_64 Random(/*Seed=*/1);
  std::vector<TrafficSplitter> Entries;
  for (size_t I = 0; I < Row.Entries; ++I)
    Entries.emplace_back(/*Seed=*/Random());
  std::vector<int> Made(Row.Entries);
  Route Split = makeSplitRoute(Weights);
  Route Between = makeSplitRoute({1, 2});
  double First = 0;
  for (int Call = 0; Call < Row.Calls; ++Call) {
    size_t Caller = Random() % Row.Entries;
    if (Row.CallsPerVersion > 0 && Made[Caller]++ % Row.CallsPerVersion == 0)
      Entries[Caller].next(Between);
    First += Entries[Caller].next(Split) == 0 ? 1 : 0;
  }
  return First / Row.Calls;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TrafficSplitting)

// Guards against a part that gets less than its share of the calls of one entry
// for a while, wherever in its sequence the entry begins.
BOOST_DATA_TEST_CASE(PartStaysCloseToItsShare, data::make(Splits), Row) {
  constexpr uint64_t Seeds = 20;
  Route SplitRoute = makeSplitRoute(Row.Weights);
  double Sum = std::accumulate(Row.Weights.begin(), Row.Weights.end(), 0.0);
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    TrafficSplitter Splitter(Seed);
    std::vector<double> Counts(Row.Weights.size());
    for (int Call = 1; Call <= 2000; ++Call) {
      ++Counts[Splitter.next(SplitRoute)];
      for (size_t I = 0; I < Counts.size(); ++I)
        BOOST_REQUIRE_LE(std::abs(Counts[I] - Call * Row.Weights[I] / Sum),
                         Row.MaxDeviation + 1e-9);
    }
  }
}

// Guards against entries that begin at the same place of their sequences: in a
// large fleet each has made few calls since the last version, and their sum
// favours one part. Operators expect each share within a tenth of its weight.
BOOST_DATA_TEST_CASE(SharesHoldOverTheCallsOfAllEntries,
                     data::make(FleetRows) * data::make({0, 1, 2}), Row,
                     WeightsIndex) {
  const std::vector<uint32_t> &Weights = FleetWeights[WeightsIndex];
  double Weight = Weights[0] / 100.0;
  BOOST_TEST(std::abs(firstPartShare(Row, Weights) - Weight) < 0.1);
}

// Guards against state that is kept for every route that ever was.
BOOST_AUTO_TEST_CASE(RemovedRoutesAreForgotten) {
  TrafficSplitter Splitter(/*Seed=*/1);
  for (const char *Name : {"r1", "r2", "r3"})
    Splitter.next(makeSplitRoute({90, 10}, Name));
  BOOST_TEST(Splitter.routeCount() == 3u);
  Splitter.retainOnly(Config());
  BOOST_TEST(Splitter.routeCount() == 0u);
}

// Credit earned under old weights must not delay the effect of new ones.
BOOST_AUTO_TEST_CASE(NewWeightsTakeEffectAtOnce) {
  TrafficSplitter Splitter(/*Seed=*/1);
  for (int I = 0; I < 7; ++I)
    Splitter.next(makeSplitRoute({9, 1}));
  size_t Second = 0;
  for (int I = 0; I < 100; ++I)
    Second += Splitter.next(makeSplitRoute({1, 9}));
  BOOST_TEST(Second == 90u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
