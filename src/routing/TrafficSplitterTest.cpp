#include "routing/TrafficSplitter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <numeric>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

struct Split {
  std::vector<uint32_t> Weights;
};
std::ostream &operator<<(std::ostream &Stream, const Split &Row) {
  for (uint32_t Weight : Row.Weights)
    Stream << Weight << " ";
  return Stream;
}

const Split Splits[] = {
    {{1}}, {{1, 1}}, {{90, 10}}, {{1, 2, 3}}, {{0, 5}}, {{7, 0, 3}}, {{999, 1}},
};

Route makeSplitRoute(const std::vector<uint32_t> &Weights) {
  Route Result;
  Result.Name = "r";
  for (uint32_t Weight : Weights)
    Result.Parts.push_back({nullptr, Weight});
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TrafficSplitting)

// After every call, the count of each part is within one of its share.
BOOST_DATA_TEST_CASE(PartDeviatesFromItsShareByLessThanOne, data::make(Splits),
                     Row) {
  TrafficSplitter Splitter;
  Route SplitRoute = makeSplitRoute(Row.Weights);
  double Sum = std::accumulate(Row.Weights.begin(), Row.Weights.end(), 0.0);
  std::vector<double> Counts(Row.Weights.size());
  for (int Call = 1; Call <= 2000; ++Call) {
    ++Counts[Splitter.next(SplitRoute)];
    for (size_t I = 0; I < Counts.size(); ++I)
      BOOST_REQUIRE(std::abs(Counts[I] - Call * Row.Weights[I] / Sum) < 1.0);
  }
}

// Credit earned under old weights must not delay the effect of new ones.
BOOST_AUTO_TEST_CASE(NewWeightsTakeEffectAtOnce) {
  TrafficSplitter Splitter;
  for (int I = 0; I < 7; ++I)
    Splitter.next(makeSplitRoute({9, 1}));
  size_t Second = 0;
  for (int I = 0; I < 100; ++I)
    Second += Splitter.next(makeSplitRoute({1, 9}));
  BOOST_TEST(Second == 90u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
