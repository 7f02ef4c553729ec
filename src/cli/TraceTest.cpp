#include "cli/Trace.h"

#include "base/Log.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

struct LineRow {
  const char *Line;
  bool Reads;
  const char *Source;
  const char *Reason;
};
std::ostream &operator<<(std::ostream &To, const LineRow &Of) {
  return To << Of.Line;
}

const LineRow Lines[] = {
    {"ts=T1 level=INFO event=call-refused id=a reason=overload", true, "",
     "overload"},
    {"  12.5 portal-1 ts=T1 level=INFO event=x reason=deadline", true,
     "portal-1", "deadline"},
    {R"(ts=T1 event=x reason="two words" id=a)", true, "", "two words"},
    {R"(ts=T1 event=x reason="a \"quoted\" one")", true, "",
     R"(a "quoted" one)"},
    {"ts=T1 event=x reason= id=a", true, "", ""},
    {"", false, "", ""},
    {"no event at all", false, "", ""},
    {"ts=T1 level=INFO", false, "", ""},
    {R"(ts=T1 event=x reason="cut off)", false, "", ""},
    {"ts=T1 event=x and then words", false, "", ""},
};

} // namespace

BOOST_AUTO_TEST_SUITE(Tracing)

BOOST_DATA_TEST_CASE(LinesAreReadOrPassedOver, data::make(Lines), Row) {
  std::optional<LogEvent> Read = parseLogLine(Row.Line);
  BOOST_TEST(Read.has_value() == Row.Reads);
  if (!Read)
    return;
  BOOST_TEST(Read->Source == Row.Source);
  BOOST_TEST(Read->field("reason") == Row.Reason);
}

// A header that a caller made up must not look like a second event, whatever is
// in it; so what the log writes is read back as it was.
BOOST_DATA_TEST_CASE(WhatIsLoggedIsReadBack,
                     data::make({"plain", "two words", "a=b", "\"", "\\", "",
                                 "event=forged id=x"}),
                     Value) {
  LogLine Line("call-refused");
  Line.add("id", "a").add("reason", Value);
  std::optional<LogEvent> Read = parseLogLine("ts=T1 " + Line.text());
  BOOST_REQUIRE(Read.has_value());
  BOOST_TEST(Read->Event == "call-refused");
  BOOST_TEST(Read->field("reason") == Value);
}

BOOST_AUTO_TEST_CASE(TheStoryIsInOrderAndNothingElseIsInIt) {
  std::istringstream Entry("ts=2026-01-12T18:00:01.200Z event=call-refused "
                           "id=a reason=overload\n"
                           "half a li\n"
                           "ts=2026-01-12T18:00:01.100Z event=call-retried "
                           "id=a gate=g\n"
                           "ts=2026-01-12T18:00:01.150Z event=call-refused "
                           "id=ab reason=overload\n");
  std::istringstream Gate("ts=2026-01-12T18:00:01.150Z event=call-failed "
                          "call=a.7 sent=yes\n");
  Trace Of("a");
  Of.read("entry.log", Entry);
  Of.read("gate.log", Gate);
  BOOST_TEST(Of.found() == 3u);
  BOOST_TEST(Of.unreadable() == 1u);
  std::ostringstream Out;
  Of.print(Out);
  std::string Text = Out.str();
  size_t Retried = Text.find("call-retried");
  size_t Failed = Text.find("gate.log call-failed");
  size_t Refused = Text.find("call-refused");
  BOOST_TEST(Retried < Failed);
  BOOST_TEST(Failed < Refused);
  BOOST_TEST(Text.find("no slot would have come free") != std::string::npos);
  BOOST_TEST(Text.find("id=ab") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
