#include "routing/TrafficSplitter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <numeric>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

struct Weights {
  std::vector<uint32_t> Of;
};
std::ostream &operator<<(std::ostream &To, const Weights &Row) {
  for (uint32_t One : Row.Of)
    To << One << " ";
  return To;
}

const Weights Splits[] = {
    {{1}}, {{1, 1}}, {{90, 10}}, {{1, 2, 3}}, {{0, 5}}, {{7, 0, 3}}, {{999, 1}},
};

Route routeOf(const std::vector<uint32_t> &Of) {
  Route Out;
  Out.Name = "r";
  for (uint32_t Weight : Of)
    Out.Parts.push_back({nullptr, Weight});
  return Out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Splitting)

BOOST_DATA_TEST_CASE(EachPartHasItsShareAtEveryMoment, data::make(Splits),
                     Row) {
  TrafficSplitter Turns;
  Route Of = routeOf(Row.Of);
  double Sum = std::accumulate(Row.Of.begin(), Row.Of.end(), 0.0);
  std::vector<double> Counts(Row.Of.size());
  for (int Call = 1; Call <= 2000; ++Call) {
    ++Counts[Turns.next(Of)];
    for (size_t I = 0; I < Counts.size(); ++I)
      BOOST_REQUIRE(std::abs(Counts[I] - Call * Row.Of[I] / Sum) < 1.0);
  }
}

BOOST_AUTO_TEST_CASE(NewWeightsCountAtOnce) {
  TrafficSplitter Turns;
  for (int I = 0; I < 7; ++I)
    Turns.next(routeOf({9, 1}));
  size_t Second = 0;
  for (int I = 0; I < 100; ++I)
    Second += Turns.next(routeOf({1, 9}));
  BOOST_TEST(Second == 90u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
