#include "http/SocketFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <sys/ioctl.h>

// Answers that break off: at the upstream, whose client must not take the rest
// for whole, and towards a caller, who must be able to tell.

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

/// An answer as an upstream sends it to request id-1.
struct AnswerForm {
  const char *Name;
  std::string Bytes;
  std::string Body;
  const char *Method = "GET";
  /// Bytes after which an orderly end of the connection is the upstream's own
  /// end of the answer; 0 if only all bytes make it whole.
  size_t MayEndAfter = 0;
};
std::ostream &operator<<(std::ostream &To, const AnswerForm &Of) {
  return To << Of.Name;
}

const std::string Start = "HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: id-1\r\n";
const std::string Chunks = "5\r\nhello\r\n6\r\n world\r\n0\r\n";
const std::string NoLength = Start + "Date: today\r\n\r\n";
const std::string NoLength10 = "HTTP/1.0 200 OK\r\nProof: p\r\n\r\n";

const AnswerForm Forms[] = {
    {"a length, the last field",
     Start + "Content-Length: 11\r\n\r\nhello world", "hello world"},
    {"a length, the first field",
     "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nRequest-Id: id-1\r\nProof: p\r\n"
     "\r\nhello world",
     "hello world"},
    {"a length of nothing", Start + "Content-Length: 0\r\n\r\n", ""},
    {"chunks", Start + "Transfer-Encoding: chunked\r\n\r\n" + Chunks + "\r\n",
     "hello world"},
    {"chunks and trailers",
     Start + "Transfer-Encoding: chunked\r\n\r\n" + Chunks + "A: b\r\n\r\n",
     "hello world"},
    {"an interim answer before",
     "HTTP/1.1 100 Continue\r\n\r\n" + Start +
         "Content-Length: 11\r\n\r\nhello world",
     "hello world"},
    {"a stated close",
     Start + "Connection: close\r\nContent-Length: 11\r\n\r\nhello world",
     "hello world"},
    {"HTTP/1.0 with a length",
     "HTTP/1.0 200 OK\r\nProof: p\r\nContent-Length: 11\r\n\r\nhello world",
     "hello world"},
    {"no content",
     "HTTP/1.1 204 No Content\r\nProof: p\r\nRequest-Id: id-1\r\n\r\n", ""},
    {"nothing new",
     "HTTP/1.1 304 Not Modified\r\nProof: p\r\nRequest-Id: id-1\r\n"
     "Content-Length: 11\r\n\r\n",
     ""},
    {"the answer to HEAD", Start + "Content-Length: 11\r\n\r\n", "", "HEAD"},
    {"no length", NoLength + "hello world", "hello world", "GET",
     NoLength.size()},
    {"HTTP/1.0 without a length", NoLength10 + "hello world", "hello world",
     "GET", NoLength10.size()},
};

enum class CutBy { End, HalfClose, Reset };
const char *nameOf(CutBy By) {
  return By == CutBy::End         ? "an orderly end"
         : By == CutBy::HalfClose ? "the end of one direction"
                                  : "a reset";
}

void cut(RawPeer &Upstream, CutBy By) {
  if (By == CutBy::Reset)
    return Upstream.reset();
  if (By == CutBy::HalfClose)
    shutdown(Upstream.Fd, SHUT_WR);
  else
    Upstream.close();
}

/// How an upstream that has answered without a length ends its connection while
/// the body of the request still arrives.
struct EarlyEndCase {
  const char *Name;
  void (*Finish)(RawPeer &Upstream);
  bool EndsInOrder;
  /// Whether the connection is also reset, behind its orderly end.
  bool ResetsBehind;
};
std::ostream &operator<<(std::ostream &To, const EarlyEndCase &Of) {
  return To << Of.Name;
}

const EarlyEndCase EarlyEnds[] = {
    {"the end of one direction",
     [](RawPeer &Upstream) { cut(Upstream, CutBy::HalfClose); }, true, false},
    {"an orderly end, all being read",
     [](RawPeer &Upstream) {
       Upstream.read();
       Upstream.close();
     },
     true, false},
    {"an orderly end, and a reset for what was not read",
     [](RawPeer &Upstream) {
       cut(Upstream, CutBy::HalfClose);
       Upstream.close();
     },
     true, true},
    {"a reset for what was not read",
     [](RawPeer &Upstream) { Upstream.close(); }, false, false},
    {"a reset", [](RawPeer &Upstream) { Upstream.reset(); }, false, false},
};

/// The callers of a server, by the line that they send and what they say of
/// their connection.
struct CallerForm {
  const char *Name;
  const char *Version;
  const char *Fields;
  /// Whether an answer without a length ends with the connection.
  bool TakesEndForEnd;
};
std::ostream &operator<<(std::ostream &To, const CallerForm &Of) {
  return To << Of.Name;
}

const CallerForm Callers[] = {
    {"HTTP/1.1", "HTTP/1.1", "", false},
    {"HTTP/1.1 that closes", "HTTP/1.1", "Connection: close\r\n", false},
    {"HTTP/1.0", "HTTP/1.0", "", true},
    {"HTTP/1.0 that keeps the connection", "HTTP/1.0",
     "Connection: keep-alive\r\n", true},
};

std::string requestOf(const CallerForm &From, const std::string &Method,
                      const std::string &Fields = "") {
  return Method + " /a " + From.Version + "\r\nHost: x\r\n" + From.Fields +
         Fields + "\r\n";
}

// More than the kernel takes for a caller that does not read.
constexpr size_t LongAnswer = 16 << 20;
constexpr int SmallBuffer = 4096;
const Millis IdleTimeout{5000};

/// A way in which an answer of unknown length that has begun breaks off.
struct BreakCase {
  const char *Name;
  const char *Method;
  const char *Fields;
  size_t BytesBefore;
  void (*Break)(ServerFixture &, const RawPeer &Caller);
};
std::ostream &operator<<(std::ostream &To, const BreakCase &Of) {
  return To << Of.Name;
}

void abortAnswer(ServerFixture &Of, const RawPeer &) {
  Of.Http->abort(Of.Open.at("/a"), Refusal());
}

const BreakCase Breaks[] = {
    {"it is aborted", "GET", "", 4, abortAnswer},
    {"it is aborted, and the caller does not read", "GET", "", LongAnswer,
     abortAnswer},
    {"its connection is evicted", "GET", "", 4,
     [](ServerFixture &Of, const RawPeer &) { Of.Http->evict(1, Of.now()); }},
    {"its connection is evicted, and the caller does not read", "GET", "",
     LongAnswer,
     [](ServerFixture &Of, const RawPeer &) { Of.Http->evict(1, Of.now()); }},
    {"the process ends", "GET", "", 4,
     [](ServerFixture &Of, const RawPeer &) { Of.Http.reset(); }},
    {"the process ends, and the caller does not read", "GET", "", LongAnswer,
     [](ServerFixture &Of, const RawPeer &) { Of.Http.reset(); }},
    {"the caller reads nothing of its end until it is dropped", "GET", "",
     LongAnswer,
     [](ServerFixture &Of, const RawPeer &) {
       Of.Http->bodyEnd(Of.Open.at("/a"));
       turnUntil([] { return !g_main_context_pending(nullptr); });
       Of.pass(IdleTimeout * 2);
     }},
    {"the request's body is not understood", "POST",
     "Transfer-Encoding: chunked\r\n", 4,
     [](ServerFixture &Of, const RawPeer &Caller) {
       Caller.send("rubbish\r\n");
       Of.holds(0);
     }},
    {"the request's body is not understood, and the caller does not read",
     "POST", "Transfer-Encoding: chunked\r\n", LongAnswer,
     [](ServerFixture &Of, const RawPeer &Caller) {
       Caller.send("rubbish\r\n");
       turnUntil([&] { return !Of.Gone.empty(); });
       Of.pass(IdleTimeout * 2);
     }},
    {"the request's body is longer than allowed", "POST",
     "Transfer-Encoding: chunked\r\n", 4,
     [](ServerFixture &Of, const RawPeer &Caller) {
       Caller.send("8\r\nabcdefgh\r\n");
       turnUntil([&] { return !Of.Gone.empty(); });
     }},
};

/// What happens behind an answer that is whole.
struct WholeCase {
  const char *Name;
  size_t Bytes;
  /// What the caller sends behind its request.
  const char *Behind;
  void (*After)(ServerFixture &);
};
std::ostream &operator<<(std::ostream &To, const WholeCase &Of) {
  return To << Of.Name;
}

void doNothing(ServerFixture &) {}

const WholeCase WholeAnswers[] = {
    {"nothing", 4, "", doNothing},
    {"nothing, and the caller reads late", LongAnswer, "", doNothing},
    {"the process stops", 4, "",
     [](ServerFixture &Of) { Of.Http->closeAfterAnswers(); }},
    {"the process stops, and the caller reads late", LongAnswer, "",
     [](ServerFixture &Of) { Of.Http->closeAfterAnswers(); }},
    {"the caller has sent more than its request", 4, "more than that",
     doNothing},
    {"the process ends once all is in the kernel", 4, "",
     [](ServerFixture &Of) {
       turnUntil([] { return !g_main_context_pending(nullptr); });
       Of.Http.reset();
     }},
};

/// The head of an answer whose length is not known, and the first bytes.
void begin(ServerFixture &Of, size_t Bytes) {
  ResponseHead Head;
  Head.Status = 200;
  Head.Reason = "OK";
  Of.Http->head(Of.Open.at("/a"), Head);
  Of.Http->body(Of.Open.at("/a"), std::string(Bytes, 'x'));
  turnUntil([] { return !g_main_context_pending(nullptr); });
}

CallerBounds narrowBounds() {
  CallerBounds Out;
  Out.IdleTimeout = IdleTimeout;
  Out.BodyBytes = 4;
  return Out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CutAnswers)

// Guards against an upstream that stops within its answer, in the head or in
// the body, whose caller is given a success with what there was.
BOOST_DATA_TEST_CASE(UpstreamsThatStopWithinTheirAnswer, data::make(Forms),
                     Row) {
  for (CutBy By : {CutBy::End, CutBy::HalfClose, CutBy::Reset})
    for (size_t Sent = 0; Sent < Row.Bytes.size(); ++Sent) {
      ClientFixture Of;
      Of.start(1, /*MayRepeat=*/false, Row.Method);
      RawPeer Upstream = Of.accept();
      BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
      Upstream.send(Row.Bytes.substr(0, Sent));
      cut(Upstream, By);
      bool IsWhole =
          Row.MayEndAfter > 0 && Sent >= Row.MayEndAfter && By != CutBy::Reset;
      BOOST_TEST_CONTEXT("after " << Sent << " bytes by " << nameOf(By)) {
        BOOST_TEST(Of.end(1) == (IsWhole ? "answered" : "may have run"));
        BOOST_TEST((IsWhole || Of.Heads.empty()));
      }
    }
}

// Guards against an answer that is taken for whole because its connection was
// reset under the request's body, and against one that is whole and thrown
// away.
BOOST_DATA_TEST_CASE(EndsBesideAnUpload,
                     data::make(EarlyEnds) * data::make({false, true}), Row,
                     WritesOn) {
  constexpr size_t Piece = 8 * 1024;
  ClientFixture Of;
  RequestHead Head = ClientFixture::head("id-1", "POST");
  Head.Length = 64 * Piece;
  Of.Http->start({1, 1}, Head, /*MayRepeat=*/false);
  RawPeer Upstream = Of.accept();
  BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
  Of.Http->body({1, 1}, std::string(Piece, 'x'));
  int Unread = 0;
  BOOST_REQUIRE(turnUntil([&] {
    return ioctl(Upstream.Fd, FIONREAD, &Unread) == 0 &&
           Unread == static_cast<int>(Piece);
  }));
  Upstream.send(NoLength10 + "hello world");
  Row.Finish(Upstream);
  if (WritesOn)
    Of.Http->body({1, 1}, std::string(Piece, 'x'));
  std::string End = Of.end(1);
  // A write that fails by the reset hides the orderly end before it, and the
  // answer then counts as cut.
  bool MayCountAsCut = Row.ResetsBehind && WritesOn;
  if (!MayCountAsCut || End == "answered")
    BOOST_TEST(End == (Row.EndsInOrder ? "answered" : "may have run"));
  if (End == "answered")
    BOOST_TEST((Of.Bodies[{1, 1}]) == "hello world");
  else
    BOOST_TEST((End == "may have run" && Of.Heads.empty()));
}

// The same answers, whole: what the test above cuts is understood.
BOOST_DATA_TEST_CASE(WholeAnswersAreUnderstood, data::make(Forms), Row) {
  ClientFixture Of;
  Of.start(1, /*MayRepeat=*/false, Row.Method);
  RawPeer Upstream = Of.accept();
  BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
  Upstream.send(Row.Bytes);
  if (Row.MayEndAfter > 0)
    Upstream.close();
  BOOST_TEST(Of.end(1) == "answered");
  BOOST_TEST((Of.Bodies[{1, 1}]) == Row.Body);
}

// Guards against an answer that breaks off and looks whole. One in chunks lacks
// its last chunk; one that ends with its connection must end by a reset, as an
// orderly end is the mark of a whole one.
BOOST_DATA_TEST_CASE(CallersCanTellThatAnAnswerBrokeOff,
                     data::make(Callers) * data::make(Breaks), From, Row) {
  ServerFixture Of;
  Of.Http->setBounds(narrowBounds());
  RawPeer Caller = RawPeer::dial(Of.Port, SmallBuffer);
  Caller.send(requestOf(From, Row.Method, Row.Fields));
  BOOST_REQUIRE(Of.came("/a"));
  begin(Of, Row.BytesBefore);
  Row.Break(Of, Caller);
  BOOST_TEST(Caller.waitForEnd());
  if (From.TakesEndForEnd)
    BOOST_TEST(Caller.WasReset);
  else
    BOOST_TEST(!Caller.Got.ends_with("\r\n0\r\n\r\n"));
}

// Guards against a reset behind an answer that is whole, which would take away
// what its caller has not read yet.
BOOST_DATA_TEST_CASE(WholeAnswersEndInOrder,
                     data::make(Callers) * data::make(WholeAnswers), From,
                     Row) {
  ServerFixture Of;
  RawPeer Caller = RawPeer::dial(Of.Port, SmallBuffer);
  Caller.send(requestOf(From, "GET") + (From.TakesEndForEnd ? Row.Behind : ""));
  BOOST_REQUIRE(Of.came("/a"));
  begin(Of, Row.Bytes);
  Of.Http->bodyEnd(Of.Open.at("/a"));
  Row.After(Of);
  BOOST_TEST(turnUntil([&] {
    Caller.read();
    return Caller.Ended || Caller.Got.ends_with("\r\n0\r\n\r\n");
  }));
  BOOST_TEST(!Caller.WasReset);
  std::string Body = Caller.Got.substr(Caller.Got.find("\r\n\r\n") + 4);
  if (From.TakesEndForEnd)
    BOOST_TEST((Body == std::string(Row.Bytes, 'x')));
  else
    BOOST_TEST(Body.ends_with("\r\n0\r\n\r\n"));
}

// Guards against a reset that takes away the answers ahead of a broken one.
BOOST_FIXTURE_TEST_CASE(CallersOfHttp10WaitForTheAnswersAhead, ServerFixture) {
  RawPeer Caller = RawPeer::dial(this->Port);
  Caller.send(get("/a") + "GET /b HTTP/1.0\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(this->came("/a"));
  turnUntil([] { return !g_main_context_pending(nullptr); });
  BOOST_TEST(this->Open.count("/b") == 0u);
  this->answer("/a", "whole");
  BOOST_TEST(this->came("/b"));
  BOOST_TEST(Caller.waitFor("whole"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
