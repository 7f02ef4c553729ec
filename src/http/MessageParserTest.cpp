#include "http/MessageParser.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

constexpr size_t HeaderLimit = 1024;

/// Feeds a parser as a connection does: what it leaves comes again.
template <typename ParserT> struct Fed {
  std::string Body;
  std::string Left;

  void add(ParserT &To, std::string_view Bytes) {
    this->Left.append(Bytes);
    size_t Used = 1;
    while (Used != 0 && !To.failed() && !To.done() && !this->Left.empty()) {
      Used = To.feed(this->Left,
                     [&](std::string_view Piece) { this->Body.append(Piece); });
      this->Left.erase(0, Used);
    }
  }
};

struct GoodMessage {
  const char *Bytes;
  const char *Body;
  int64_t Length;
  const char *Left = "";
};
std::ostream &operator<<(std::ostream &To, const GoodMessage &Of) {
  return To << Of.Bytes;
}

const GoodMessage GoodRequests[] = {
    {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "", 0},
    {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde", "abcde",
     5},
    {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "", 0},
    {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
     "abcde", UnknownLength},
    {"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b", "", 0, "GET /b"},
};

const GoodMessage GoodResponses[] = {
    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", "abcde", 5},
    {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "", 0},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
     "0\r\n\r\n",
     "abc", UnknownLength},
    {"HTTP/1.1 204 No Content\r\n\r\n", "", 0},
    {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1", "a", 1,
     "HTTP/1.1"},
};

struct BadMessage {
  const char *Bytes;
  unsigned Status;
};
std::ostream &operator<<(std::ostream &To, const BadMessage &Of) {
  return To << Of.Bytes;
}

const BadMessage BadRequests[] = {
    {"GET /a HTTP/1.1\r\n\r\n", 400},
    {"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400},
    {"GET a HTTP/1.1\r\nHost: x\r\n\r\n", 400},
    {"rubbish\r\n\r\n", 400},
    {"GET /a HTTP/1.1\r\nHost x\r\n\r\n", 400},
    {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n", 400},
    {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
     "Content-Length: 6\r\n\r\n",
     400},
    {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     400},
    {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
     "Content-Length: 5\r\n\r\n",
     400},
    {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
    {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
     400},
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpMessages)

// A message may be cut anywhere on its way.
BOOST_DATA_TEST_CASE(RequestsAreReadWhereverTheyAreCut,
                     data::make(GoodRequests), Row) {
  std::string_view Bytes = Row.Bytes;
  for (size_t Cut = 0; Cut <= Bytes.size(); ++Cut) {
    RequestParser In(HeaderLimit);
    Fed<RequestParser> To;
    To.add(In, Bytes.substr(0, Cut));
    To.add(In, Bytes.substr(Cut));
    BOOST_TEST_CONTEXT("cut at " << Cut) {
      BOOST_TEST(In.status() == 0u);
      BOOST_TEST(In.done());
      BOOST_TEST(To.Body == Row.Body);
      BOOST_TEST(To.Left == Row.Left);
      BOOST_TEST(In.head().Length == Row.Length);
    }
  }
}

BOOST_DATA_TEST_CASE(AnswersAreReadWhereverTheyAreCut,
                     data::make(GoodResponses), Row) {
  std::string_view Bytes = Row.Bytes;
  for (size_t Cut = 0; Cut <= Bytes.size(); ++Cut) {
    ResponseParser In(HeaderLimit, /*WithoutBody=*/false);
    Fed<ResponseParser> To;
    To.add(In, Bytes.substr(0, Cut));
    To.add(In, Bytes.substr(Cut));
    BOOST_TEST_CONTEXT("cut at " << Cut) {
      BOOST_TEST(!In.failed());
      BOOST_TEST(In.done());
      BOOST_TEST(To.Body == Row.Body);
      BOOST_TEST(To.Left == Row.Left);
      BOOST_TEST(In.head().Length == Row.Length);
    }
  }
}

// Two readers who see a message end at different places can be made to take
// part of one request for another: such a request is refused, not guessed at.
BOOST_DATA_TEST_CASE(DoubtfulRequestsAreRefused, data::make(BadRequests), Row) {
  RequestParser In(HeaderLimit);
  Fed<RequestParser> To;
  To.add(In, Row.Bytes);
  BOOST_TEST(In.failed());
  BOOST_TEST(In.status() == Row.Status);
}

// Whoever passes a request on must know the length with the head, before any
// byte of the body is there.
BOOST_AUTO_TEST_CASE(LengthIsKnownWithTheHead) {
  RequestParser In(HeaderLimit);
  Fed<RequestParser> To;
  To.add(In, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n");
  BOOST_TEST(In.headDone());
  BOOST_TEST(!In.done());
  BOOST_TEST(In.head().Length == 5);
}

BOOST_AUTO_TEST_CASE(EndlessHeadIsRefused) {
  RequestParser In(HeaderLimit);
  Fed<RequestParser> To;
  To.add(In, "GET /a HTTP/1.1\r\nHost: x\r\nA: " + std::string(2000, 'a'));
  BOOST_TEST(In.status() == 431u);
}

// An answer without a length is whole only at an orderly end.
BOOST_AUTO_TEST_CASE(UnframedAnswerEndsWithItsConnection) {
  ResponseParser In(HeaderLimit, /*WithoutBody=*/false);
  Fed<ResponseParser> To;
  To.add(In, "HTTP/1.1 200 OK\r\n\r\nabc");
  BOOST_TEST(!In.done());
  BOOST_TEST(In.endsWithConnection());
  BOOST_TEST(In.finishAtEnd());
  BOOST_TEST(To.Body == "abc");
}

BOOST_AUTO_TEST_CASE(CutAnswerIsNotCompletedByTheEnd) {
  ResponseParser In(HeaderLimit, /*WithoutBody=*/false);
  Fed<ResponseParser> To;
  To.add(In, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  BOOST_TEST(!In.finishAtEnd());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
