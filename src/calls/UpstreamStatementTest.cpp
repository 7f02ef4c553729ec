#include "calls/UpstreamStatement.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

Dialect names() {
  Dialect Names;
  Names.RateLimit = "Rate";
  Names.Leaving = "Leaving";
  return Names;
}

/// An answer's header, and what it states if the previous answer stated a rate
/// of 7 and nothing else.
struct HeaderRow {
  const char *Name;
  HeaderList Headers;
  std::optional<double> CallsPerSecond;
  bool Leaving;
  bool Readable;
};
std::ostream &operator<<(std::ostream &To, const HeaderRow &Row) {
  return To << Row.Name;
}

const HeaderRow HeaderRows[] = {
    {"nothing", {}, std::nullopt, false, true},
    {"a whole number", {{"rate", "12"}}, 12, false, true},
    {"a fraction", {{"Rate", "24.8"}}, 24.8, false, true},
    {"less than one", {{"Rate", "0.25"}}, 0.25, false, true},
    {"zero", {{"Rate", "0"}}, 0, false, true},
    {"negative", {{"Rate", "-3"}}, 7, false, false},
    {"negative zero", {{"Rate", "-0"}}, 7, false, false},
    {"no number", {{"Rate", "many"}}, 7, false, false},
    {"empty", {{"Rate", ""}}, 7, false, false},
    {"a number and more", {{"Rate", "12/s"}}, 7, false, false},
    {"with an exponent", {{"Rate", "1e3"}}, 7, false, false},
    {"infinite", {{"Rate", "inf"}}, 7, false, false},
    {"not a number", {{"Rate", "nan"}}, 7, false, false},
    {"too large", {{"Rate", std::string(400, '9')}}, 7, false, false},
    {"twice", {{"Rate", "12"}, {"Rate", "13"}}, 7, false, false},
    {"leaving", {{"Leaving", "1"}}, std::nullopt, true, true},
    {"both", {{"Rate", "3"}, {"Leaving", "1"}}, 3, true, true},
    {"leaving, unreadable", {{"Leaving", "yes"}}, std::nullopt, false, false},
};

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamStatements)

// Guards against a damaged field that limits or closes an upstream, or ends a
// limit that holds.
BOOST_DATA_TEST_CASE(UnreadableFieldsChangeNothing, data::make(HeaderRows),
                     Row) {
  UpstreamStatement Previous;
  Previous.CallsPerSecond = 7;
  std::string Fault;
  UpstreamStatement Stated =
      readStatement(Row.Headers, names(), Previous, Fault);
  BOOST_TEST((Stated.CallsPerSecond == Row.CallsPerSecond));
  BOOST_TEST(Stated.Leaving == Row.Leaving);
  BOOST_TEST(Fault.empty() == Row.Readable);
  BOOST_TEST(Fault.size() < 120u);
  BOOST_TEST(hasStatement(Row.Headers, names()) == !Row.Headers.empty());
}

// Guards against reading fields without a name as statements, in a deployment
// that has no such fields.
BOOST_AUTO_TEST_CASE(FieldsWithoutANameStateNothing) {
  Dialect Names;
  Names.RateLimit = Names.Leaving = "";
  std::string Fault;
  UpstreamStatement Stated =
      readStatement({{"", "1"}}, Names, UpstreamStatement(), Fault);
  BOOST_TEST((Stated == UpstreamStatement()));
  BOOST_TEST(!hasStatement({{"", "1"}}, Names));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
