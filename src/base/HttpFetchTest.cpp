#include "base/HttpFetch.h"
#include "base/RawServerFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

/// Bytes that are read at most of a response that goes on without end. The body
/// has a limit of its own, which the test sets below this.
constexpr size_t MostEndlessBytes = 512 * 1024;
constexpr size_t MaxBodyBytes = 64 * 1024;

/// Bytes that go on without end, sent after Begin.
struct EndlessResponse {
  const char *Name;
  std::string Begin;
  std::string Repeated;
};
std::ostream &operator<<(std::ostream &Out, const EndlessResponse &Row) {
  return Out << Row.Name;
}

const std::string Chunked = "HTTP/1.1 200 OK\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n";

const EndlessResponse EndlessResponses[] = {
    {"rubbish", "", "rubbish"},
    {"empty lines", "", "\r\n"},
    {"a status line", "HTTP/1.1 200 ", "x"},
    {"the value of a field", "HTTP/1.1 200 OK\r\nA: ", "x"},
    {"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"the size of a chunk", Chunked, "0"},
    {"the extension of a chunk", Chunked + "5;", "x"},
    {"chunks", Chunked, "1000\r\n" + std::string(4096, 'x') + "\r\n"},
    {"a body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpFetching)

// Guards against a platform or a seed that sends bytes without end: the node
// would keep all of them, or do nothing else as long as they come.
BOOST_DATA_TEST_CASE(EndlessResponsesAreGivenUp, data::make(EndlessResponses),
                     Row) {
  constexpr size_t PieceBytes = 4096;
  RawServer Server;
  HttpFetcher::Options Opts;
  Opts.Address = Server.address();
  Opts.MaxBytes = MaxBodyBytes;
  HttpFetcher Http(Opts, [] { return Clock::now(); });
  std::optional<Result<HttpReply>> Reply;
  Http.fetch("/", "read", Millis(2000),
             [&](const Result<HttpReply> &Got, TimePoint) { Reply = Got; });
  while (!Server.isConnected())
    g_main_context_iteration(nullptr, TRUE);
  std::string Piece;
  while (Piece.size() < PieceBytes)
    Piece += Row.Repeated;
  size_t Sent = Server.send(Row.Begin);
  while (!Reply && Sent <= MostEndlessBytes) {
    Sent += Server.send(Piece);
    while (g_main_context_iteration(nullptr, FALSE))
      ;
  }
  BOOST_TEST(Sent <= MostEndlessBytes);
  BOOST_REQUIRE(Reply.has_value());
  BOOST_TEST(!*Reply);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
