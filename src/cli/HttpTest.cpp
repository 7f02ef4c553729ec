#include "cli/Http.h"

#include "base/RawServerFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <thread>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

const std::string Said = "draining\n";
const std::string Whole = responsesWith(Said)[0];

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorFetching)

// Guards against a command that reports success though the node's answer broke
// off.
BOOST_DATA_TEST_CASE(CutAnswersAreErrors, data::make({false, true}), Reset) {
  for (size_t Sent = 0; Sent <= Whole.size(); ++Sent) {
    RawServer Server;
    std::optional<Result<std::string>> Reply;
    // The command waits for the answer, on a loop of its own.
    std::thread Command([&] {
      GMainContext *Own = g_main_context_new();
      g_main_context_push_thread_default(Own);
      Reply = fetch("POST", Server.address(), "/drain", /*TimeoutSeconds=*/2);
      g_main_context_pop_thread_default(Own);
      g_main_context_unref(Own);
    });
    Server.answer(Whole.substr(0, Sent), Reset);
    Command.join();
    BOOST_TEST_CONTEXT("after " << Sent << " bytes") {
      if (Sent < Whole.size())
        BOOST_TEST(!*Reply);
      else if (!Reset)
        BOOST_TEST((*Reply && **Reply == Said));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
