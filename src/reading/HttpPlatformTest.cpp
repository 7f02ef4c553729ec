#include "reading/HttpPlatform.h"

#include "base/RawServerFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const std::string Changes = R"({"keys":{"config/manifest":7,"instances/a":8}})";

} // namespace

BOOST_AUTO_TEST_SUITE(HttpPlatformReading)

// Guards against a watch whose response breaks off and tells of fewer changes.
BOOST_DATA_TEST_CASE(CutResponsesTellOfNoChanges,
                     data::make(responsesWith(Changes)) *
                         data::make({false, true}),
                     Response, Reset) {
  for (size_t Sent = 0; Sent < Response.size(); ++Sent) {
    RawServer Server;
    HttpPlatform::Options Opts;
    Opts.Address = Server.address();
    HttpPlatform Platform(Opts, [] { return Clock::now(); });
    std::optional<Result<PlatformChanges>> Reply;
    Platform.watch(
        {"config/manifest", "instances/a"}, 6, Millis(1000), Clock::now(),
        [&](const Result<PlatformChanges> &Got, TimePoint) { Reply = Got; });
    Server.answer(Response.substr(0, Sent), Reset);
    while (!Reply)
      g_main_context_iteration(nullptr, TRUE);
    BOOST_TEST_CONTEXT("after " << Sent << " bytes")
    BOOST_TEST((!*Reply || (*Reply)->Changed.size() == 2u));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
