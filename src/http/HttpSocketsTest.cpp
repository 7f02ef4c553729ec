#include "http/SocketFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include <sys/ioctl.h>

#include <linux/sockios.h>

namespace hickorylift {

namespace {

namespace data = boost::unit_test::data;

std::string badStatus(const std::string &Status) {
  return "HTTP/1.1 " + Status +
         " X\r\nProof: p\r\nRequest-Id: id-1\r\n"
         "Content-Length: 3\r\n\r\nabc";
}

enum class AfterAnswer { Nothing, Close, Reset };

struct AnswerRow {
  const char *What;
  std::string Bytes;
  AfterAnswer After;
  const char *End;
  const char *Body;
  // Whether the next call goes over the same connection.
  bool Kept;
};
std::ostream &operator<<(std::ostream &To, const AnswerRow &Of) {
  return To << Of.What;
}

const AnswerRow Answers[] = {
    {"whole", answer("id-1", "abc"), AfterAnswer::Nothing, "answered", "abc",
     true},
    {"whole, and it says close", answer("id-1", "abc", "Connection: close\r\n"),
     AfterAnswer::Nothing, "answered", "abc", false},
    {"another request's comes first",
     answer("id-0", "old") + answer("id-1", "abc"), AfterAnswer::Nothing,
     "answered", "abc", true},
    {"a second answer behind it", answer("id-1", "abc") + answer("id-1", "abc"),
     AfterAnswer::Nothing, "answered", "abc", false},
    {"an interim answer first",
     "HTTP/1.1 100 Continue\r\n\r\n" + answer("id-1", "abc"),
     AfterAnswer::Nothing, "answered", "abc", true},
    {"cut short", answer("id-1", "abc").substr(0, 68), AfterAnswer::Close,
     "may have run", "", false},
    {"rubbish", "rubbish\r\n\r\n", AfterAnswer::Nothing, "may have run", "",
     false},
    {"nothing, closed", "", AfterAnswer::Close, "may have run", "", false},
    {"nothing, reset", "", AfterAnswer::Reset, "may have run", "", false},
    {"without a length, ended in order",
     "HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: id-1\r\n\r\nabc",
     AfterAnswer::Close, "answered", "abc", false},
    {"without a length, reset",
     "HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: id-1\r\n\r\nabc",
     AfterAnswer::Reset, "may have run", "", false},
    {"a success without the upstream's mark",
     "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nContent-Length: 0\r\n\r\n",
     AfterAnswer::Nothing, "may have run", "", false},
    {"a status below the protocol's", badStatus("000"), AfterAnswer::Nothing,
     "may have run", "", false},
    {"the same, closed", badStatus("099"), AfterAnswer::Close, "may have run",
     "", false},
    {"a protocol that nobody asked for", badStatus("101"), AfterAnswer::Nothing,
     "may have run", "", false},
    {"a status above the protocol's", badStatus("600"), AfterAnswer::Nothing,
     "may have run", "", false},
    {"the largest number for one", badStatus("999"), AfterAnswer::Nothing,
     "may have run", "", false},
    {"in a coding nobody asked for",
     answer("id-1", "abc", "Content-Encoding: gzip\r\n"), AfterAnswer::Nothing,
     "may have run", "", false},
    {"in a transfer coding nobody asked for, to the close",
     "HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: id-1\r\n"
     "Transfer-Encoding: gzip\r\n\r\nabc",
     AfterAnswer::Close, "may have run", "", false},
    {"in a transfer coding nobody asked for, in chunks",
     "HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: id-1\r\n"
     "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
     AfterAnswer::Nothing, "may have run", "", false},
};

/// Bytes that are kept or passed over at most where a message goes on without
/// end: those of its head, of the frame of a chunk, or before the answer.
constexpr size_t MostEndlessBytes = 512 * 1024;

/// Bytes that go on without end, sent after Begin.
struct EndlessCase {
  const char *Name;
  std::string Begin;
  std::string Repeated;
};
std::ostream &operator<<(std::ostream &To, const EndlessCase &Of) {
  return To << Of.Name;
}

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nProof: p\r\n"
                                "Request-Id: id-1\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

/// What an upstream sends that is no answer to request id-1.
const EndlessCase EndlessAnswers[] = {
    {"rubbish", "", "rubbish"},
    {"empty lines", "", "\r\n"},
    {"a status line", "HTTP/1.1 200 ", "x"},
    {"the name of a field", "HTTP/1.1 200 OK\r\n", "x"},
    {"the value of a field", "HTTP/1.1 200 OK\r\nA: ", "x"},
    {"fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"the size of a chunk", ChunkedHead, "0"},
    {"the extension of a chunk", ChunkedHead + "5;", "x"},
    {"a trailer", ChunkedHead + "0\r\n", "A: b\r\n"},
    {"answers of other requests", "", answer("id-0", "old")},
    {"the body of another request's answer",
     "HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: id-0\r\n\r\n", "x"},
    {"the chunks of another request's answer",
     "HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: id-0\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     "1\r\nx\r\n"},
};

/// Interim answers to a call or to a health question, sent at once before the
/// final answer.
struct InterimCase {
  const char *Name;
  unsigned Count;
  bool IsHealth;
  bool IsAnswered;
};
std::ostream &operator<<(std::ostream &To, const InterimCase &Of) {
  return To << Of.Name;
}

const unsigned MaxInterim = UpstreamClient::Options().MaxInterimAnswers;
const InterimCase InterimCases[] = {
    {"as many as a call may have", MaxInterim, false, true},
    {"one more", MaxInterim + 1, false, false},
    {"as many as a health question may have", MaxInterim, true, true},
    {"one more for a health question", MaxInterim + 1, true, false},
};

/// What a caller sends that is no request.
const EndlessCase EndlessRequests[] = {
    {"a request line", "GET /", "x"},
    {"fields", "GET /a HTTP/1.1\r\nHost: x\r\n", "A: b\r\n"},
    {"the extension of a chunk",
     "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;",
     "x"},
    {"a trailer",
     "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "A: b\r\n"},
};

/// Sends what the case says in small pieces, each of which is read before the
/// next one is sent, until Ended or for more than MostEndlessBytes. Returns how
/// many were sent.
size_t sendEndlessly(const RawPeer &From, const EndlessCase &Case,
                     const std::function<bool()> &Ended) {
  constexpr size_t PieceBytes = 4096;
  std::string Piece;
  while (Piece.size() < PieceBytes)
    Piece += Case.Repeated;
  std::string Next = Case.Begin + Piece;
  size_t Sent = 0;
  while (!Ended() && Sent <= MostEndlessBytes) {
    if (::send(From.Fd, Next.data(), Next.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(Next.size()))
      break;
    Sent += Next.size();
    Next = Piece;
    int Unread = 0;
    turnUntil([&] {
      return Ended() || ioctl(From.Fd, SIOCOUTQ, &Unread) < 0 || Unread == 0;
    });
    turnUntil([] { return !g_main_context_pending(nullptr); });
  }
  return Sent;
}

/// Sends a piece again and again, as much at once as the kernel takes.
struct EndlessSender {
  const RawPeer &From;
  std::string Piece;
  std::string Left;

  EndlessSender(const RawPeer &From, const std::string &Piece)
      : From(From), Piece(Piece), Left(Piece) {}

  /// Returns whether any byte was taken.
  bool sendMore() {
    ssize_t Taken = ::send(this->From.Fd, this->Left.data(), this->Left.size(),
                           MSG_NOSIGNAL);
    if (Taken <= 0)
      return false;
    this->Left.erase(0, static_cast<size_t>(Taken));
    if (this->Left.empty())
      this->Left = this->Piece;
    return true;
  }
};

// More than the kernel takes for a caller that does not read.
constexpr size_t LongAnswer = 16 << 20;
constexpr int SmallBuffer = 4096;

/// What ends a connection while its caller still reads the answer to /a.
struct SlowReaderCase {
  const char *Name;
  /// The request for /a and all that the caller sends behind it.
  std::string Requests;
  void (*BeforeAnswer)(ServerFixture &);
  void (*AfterAnswer)(ServerFixture &);
};
std::ostream &operator<<(std::ostream &To, const SlowReaderCase &Of) {
  return To << Of.Name;
}

void doNothing(ServerFixture &) {}

void breakOffB(ServerFixture &Of) {
  ResponseHead Head;
  Head.Status = 200;
  Head.Length = 100;
  Of.Http->head(Of.Open.at("/b"), Head);
  Of.Http->body(Of.Open.at("/b"), "part");
  Of.Http->abort(Of.Open.at("/b"), Refusal());
}

const SlowReaderCase SlowReaderCases[] = {
    {"the process stops", get("/a"),
     [](ServerFixture &Of) { Of.Http->closeAfterAnswers(); }, doNothing},
    {"idle connections are closed", get("/a"), doNothing,
     [](ServerFixture &Of) { Of.Http->closeIdle(); }},
    {"the caller asked for the close",
     "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", doNothing,
     doNothing},
    {"the connection is kept and idle", get("/a"), doNothing, doNothing},
    {"the next answer breaks off", get("/a") + get("/b"), doNothing, breakOffB},
    {"the next head is not understood", get("/a") + "rubbish\r\n\r\n",
     doNothing, doNothing},
    {"the next body is not understood",
     get("/a") +
         "POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
         "rubbish\r\n",
     doNothing, doNothing},
};

size_t countOf(const std::string &Text, const std::string &In) {
  size_t Count = 0;
  for (size_t At = In.find(Text); At != std::string::npos;
       At = In.find(Text, At + 1))
    ++Count;
  return Count;
}

void refuse(ServerFixture &Of, const std::string &Path) {
  Refusal Why;
  Why.Reason = "overload";
  Of.Http->refuse(Of.Open.at(Path), Why);
}

/// How the requests /a, /b and /c of one connection, which are under way when
/// the process is told to stop, are answered.
struct StopCase {
  const char *Name;
  void (*BeforeStop)(ServerFixture &);
  void (*AfterStop)(ServerFixture &);
};
std::ostream &operator<<(std::ostream &To, const StopCase &Of) {
  return To << Of.Name;
}

const StopCase StopCases[] = {
    {"in their order", doNothing,
     [](ServerFixture &Of) {
       Of.answer("/a", "a-end");
       Of.answer("/b", "b-end");
       Of.answer("/c", "c-end");
     }},
    {"the last first", doNothing,
     [](ServerFixture &Of) {
       Of.answer("/c", "c-end");
       Of.answer("/b", "b-end");
       Of.answer("/a", "a-end");
     }},
    {"the first is refused", doNothing,
     [](ServerFixture &Of) {
       refuse(Of, "/a");
       Of.answer("/b", "b-end");
       Of.answer("/c", "c-end");
     }},
    {"the last is ready before the stop",
     [](ServerFixture &Of) { Of.answer("/c", "c-end"); },
     [](ServerFixture &Of) {
       Of.answer("/a", "a-end");
       Of.answer("/b", "b-end");
     }},
    {"the first is answered before the stop",
     [](ServerFixture &Of) { Of.answer("/a", "a-end"); },
     [](ServerFixture &Of) {
       refuse(Of, "/b");
       Of.answer("/c", "c-end");
     }},
};

/// What a caller sends behind the request /a, whether a request /b is started
/// from it, and what the caller then finds behind the answer to /a or in it.
struct BehindCase {
  const char *Name;
  std::string Requests;
  bool StartsB;
  const char *Expected;
};
std::ostream &operator<<(std::ostream &To, const BehindCase &Of) {
  return To << Of.Name;
}

const BehindCase BehindCases[] = {
    {"a body that is not understood",
     get("/a") +
         "GET /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
         "rubbish\r\n",
     true, "HTTP/1.1 400"},
    {"a head that is not understood", get("/a") + "rubbish\r\n\r\n", false,
     "HTTP/1.1 400"},
    {"a request after one that asks for the close",
     "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + get("/b"),
     false, "Connection: close"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpSockets)

// A call's connection ended, and whether its upstream is still there decides
// what its request is taken for. The connection that was made to find out is
// not wasted.
BOOST_FIXTURE_TEST_CASE(AProbeServesTheNextCall, ClientFixture) {
  BOOST_TEST((this->probe() == UpstreamProbeResult::Open));
  RawPeer Upstream = this->accept();
  this->start(1);
  BOOST_TEST(Upstream.waitFor("\r\n\r\n"));
  BOOST_TEST(this->Http->dials() == 1u);
}

// A process that is gone refuses connections and has ended all that it had. One
// that refuses while a connection stands is full, or has not ended yet.
BOOST_DATA_TEST_CASE(WhatARefusedProbeShows, data::make({false, true}),
                     Stands) {
  ClientFixture Of;
  RawPeer Upstream = Of.keptConnection();
  if (!Stands)
    Upstream.close();
  Of.stopListening();
  BOOST_TEST((Of.probe() == (Stands ? UpstreamProbeResult::Inconclusive
                                    : UpstreamProbeResult::Closed)));
}

// What an upstream sends is the call's answer only if it is whole, and its own;
// and only then may the next call use the connection.
BOOST_DATA_TEST_CASE(AnswersAreJudged, data::make(Answers), Row) {
  ClientFixture Of;
  Of.start(1, /*MayRepeat=*/false, "POST");
  RawPeer Upstream = Of.accept();
  BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
  Upstream.send(Row.Bytes);
  if (Row.After == AfterAnswer::Close)
    Upstream.close();
  if (Row.After == AfterAnswer::Reset) {
    // The bytes must arrive before the reset does.
    turnUntil([&] { return !g_main_context_pending(nullptr); });
    Upstream.reset();
  }
  BOOST_TEST(Of.end(1) == Row.End);
  BOOST_TEST((Of.Bodies[{1, 1}]) == Row.Body);
  Of.start(2);
  bool Again = Row.Kept && Upstream.waitFor("/id-2");
  BOOST_TEST(Again == Row.Kept);
}

// The upstream closes a kept connection just as the next call is written to it.
// A call that may repeat goes over a new one; of another the outcome is
// unknown, for it may have been read.
BOOST_AUTO_TEST_CASE(CrossedCloseRepeatsOnlyWhatMayRepeat) {
  for (bool MayRepeat : {true, false}) {
    ClientFixture Of;
    RawPeer Upstream = Of.keptConnection();
    Of.start(2, MayRepeat);
    BOOST_REQUIRE(Upstream.waitFor("/id-2"));
    Upstream.close();
    if (!MayRepeat) {
      BOOST_TEST(Of.end(2) == "may have run");
      continue;
    }
    RawPeer Next = Of.accept();
    BOOST_TEST(Next.waitFor("/id-2"));
    Next.send(answer("id-2", "x"));
    BOOST_TEST(Of.end(2) == "answered");
  }
}

/// When a kept connection ends under a call that may repeat.
struct LateClose {
  const char *What;
  Millis After;
  bool ListensOn;
  bool Repeated;
};
std::ostream &operator<<(std::ostream &To, const LateClose &Of) {
  return To << Of.What;
}

const LateClose LateCloses[] = {
    {"at once", Millis(0), true, true},
    {"long after the request: it was read, and ran", Millis(600), true, false},
    {"at once, and nobody listens any more", Millis(0), false, false},
};

// An upstream dies under a run of half a second. Sent again, the call would
// reach a start that its caller's time no longer covers, or one that is
// leaving; and where nobody listens any more, "not sent" would be said of a
// call that ran. The caller's entry decides, which knows other upstreams.
BOOST_DATA_TEST_CASE(OnlyACrossedCloseIsRepeated, data::make(LateCloses), Row) {
  ClientFixture Of;
  RawPeer Upstream = Of.keptConnection();
  Of.start(2, /*MayRepeat=*/true);
  BOOST_REQUIRE(Upstream.waitFor("/id-2"));
  Of.Ahead = Row.After;
  if (!Row.ListensOn)
    Of.stopListening();
  Upstream.close();
  if (!Row.Repeated) {
    BOOST_TEST(Of.end(2) == "may have run");
    return;
  }
  RawPeer Next = Of.accept();
  BOOST_TEST(Next.waitFor("/id-2"));
}

// The upstream answers a long upload early and reads on. The next request on
// that connection would be taken for the rest of the body.
// Guards against an upstream that sends without end what is no answer: the gate
// would keep all of it, or read on until the call's deadline.
BOOST_DATA_TEST_CASE(EndlessNonAnswersAreGivenUp, data::make(EndlessAnswers),
                     Row) {
  ClientFixture Of;
  Of.start(1);
  RawPeer Upstream = Of.accept();
  BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
  size_t Sent = sendEndlessly(Upstream, Row, [&] {
    return Of.Ends.count({1, 1}) != 0;
  });
  BOOST_TEST(Sent <= MostEndlessBytes);
  BOOST_TEST((Of.Ends[{1, 1}]) == "may have run");
  BOOST_TEST(Of.Heads.empty());
  BOOST_TEST(Upstream.waitForEnd());
}

// Guards against an upstream that sends interim answers without end: parsing
// those that fit into one read delays all other calls of the node.
BOOST_DATA_TEST_CASE(InterimAnswersAreLimited, data::make(InterimCases), Row) {
  ClientFixture Of;
  if (Row.IsHealth)
    Of.Http->askHealth("/health", Millis(60000));
  else
    Of.start(1);
  RawPeer Upstream = Of.accept();
  BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
  std::string Bytes;
  for (unsigned I = 0; I < Row.Count; ++I)
    Bytes += "HTTP/1.1 103 Early Hints\r\n\r\n";
  Upstream.send(Bytes + answer("id-1", "abc"));
  turnUntil([&] { return Of.HealthAnswers != 0 || !Of.Ends.empty(); });
  if (Row.IsHealth)
    BOOST_TEST((Of.HealthFailures == 0) == Row.IsAnswered);
  else
    BOOST_TEST((Of.Ends[{1, 1}] == "answered") == Row.IsAnswered);
}

// Guards against a body without end that is read although the caller takes no
// more of it, or that outlives its call.
BOOST_DATA_TEST_CASE(EndlessBodiesEndWithTheirCall, data::make({false, true}),
                     Chunked) {
  ClientFixture Of;
  Of.start(1);
  RawPeer Upstream = Of.accept();
  BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
  Upstream.send("HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: id-1\r\n");
  Upstream.send(Chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
  EndlessSender Body(Upstream,
                     Chunked ? "1000\r\n" + std::string(4096, 'x') + "\r\n"
                             : std::string(4096, 'x'));
  while (Of.Bodies[{1, 1}].empty()) {
    Body.sendMore();
    turnUntil([] { return !g_main_context_pending(nullptr); });
  }
  Of.Http->pauseAnswer({1, 1}, true);
  size_t Passed = Of.Bodies[{1, 1}].size();
  // Until the kernel's buffers are full.
  while (Body.sendMore())
    turnUntil([] { return !g_main_context_pending(nullptr); });
  BOOST_TEST((Of.Bodies[{1, 1}].size()) == Passed);
  Of.Http->cancel({1, 1});
  BOOST_TEST(Upstream.waitForEnd());
  BOOST_TEST(Of.Ends.empty());
}

// Guards against keeping a health answer that has no end.
BOOST_FIXTURE_TEST_CASE(EndlessHealthAnswersAreGivenUp, ClientFixture) {
  this->Http->askHealth("/health", Millis(60000));
  RawPeer Upstream = this->accept();
  BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
  size_t Sent = sendEndlessly(Upstream, {"", "HTTP/1.1 200 OK\r\n\r\n", "x"},
                              [this] { return this->HealthFailures != 0; });
  BOOST_TEST(Sent <= MostEndlessBytes);
  BOOST_TEST(this->Heads.empty());
  BOOST_TEST(Upstream.waitForEnd());
}

BOOST_AUTO_TEST_CASE(EarlyAnswerEndsTheConnection) {
  ClientFixture Of;
  RequestHead Head = ClientFixture::head("id-1", "POST");
  Head.Length = 1000;
  Of.Http->start({1, 1}, Head, false);
  Of.Http->body({1, 1}, "part");
  RawPeer Upstream = Of.accept();
  BOOST_REQUIRE(Upstream.waitFor("part"));
  Upstream.send(answer("id-1", "no"));
  BOOST_TEST(Of.end(1) == "answered");
  BOOST_TEST(Upstream.waitForEnd());
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotSent) {
  ClientFixture Of;
  ::close(std::exchange(Of.Listener, -1));
  Of.start(1);
  BOOST_TEST(Of.end(1) == "not sent");
}

// A connection that its upstream is about to close carries no call that must
// not repeat.
BOOST_AUTO_TEST_CASE(OldConnectionsCarryNoUnsafeCalls) {
  ClientFixture Of;
  Of.start(1);
  RawPeer Upstream = Of.accept();
  BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
  Upstream.send(answer("id-1", "", "Keep-Alive: timeout=1\r\n"));
  BOOST_REQUIRE(Of.end(1) == "answered");
  Of.start(2, /*MayRepeat=*/false);
  RawPeer Second = Of.accept();
  BOOST_TEST(Second.waitFor("/id-2"));
}

BOOST_AUTO_TEST_CASE(CancelClosesTheConnection) {
  ClientFixture Of;
  Of.start(1);
  RawPeer Upstream = Of.accept();
  BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
  Of.Http->cancel({1, 1});
  BOOST_TEST(Upstream.waitForEnd());
}

BOOST_FIXTURE_TEST_CASE(PipelinedAnswersKeepTheirOrder, ServerFixture) {
  RawPeer Caller = RawPeer::dial(this->Port);
  Caller.send(get("/a") + get("/b"));
  BOOST_REQUIRE(this->came("/b"));
  this->answer("/b", "second");
  this->answer("/a", "first");
  BOOST_REQUIRE(Caller.waitFor("second"));
  BOOST_TEST(Caller.Got.find("first") < Caller.Got.find("second"));
}

// Were it started early, and the answer ahead of it closed the connection, the
// caller would send it again and it would run twice.
BOOST_FIXTURE_TEST_CASE(UnsafeRequestsWaitForThoseAhead, ServerFixture) {
  RawPeer Caller = RawPeer::dial(this->Port);
  Caller.send(get("/a") +
              "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi" +
              get("/c"));
  BOOST_REQUIRE(this->came("/a"));
  turnUntil([] { return !g_main_context_pending(nullptr); });
  BOOST_TEST(this->Open.count("/b") == 0u);
  this->answer("/a", "first");
  BOOST_REQUIRE(this->came("/b"));
  BOOST_TEST(this->Bodies["/b"] == "hi");
  this->answer("/b", "second");
  BOOST_REQUIRE(this->came("/c"));
  this->answer("/c", "third");
  BOOST_TEST(Caller.waitFor("third"));
}

// The bytes of a further request wait on the connection as the caller leaves.
// Its call must still be told.
BOOST_FIXTURE_TEST_CASE(CallerThatLeavesIsNoticed, ServerFixture) {
  RawPeer Caller = RawPeer::dial(this->Port);
  Caller.send(get("/a") + "POST /b HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_REQUIRE(this->came("/a"));
  Caller.close();
  BOOST_TEST(turnUntil([&] { return this->Gone.size() == 1; }));
  BOOST_TEST(this->Gone.at(0) == "/a");
}

/// A request of a caller that is gone before it is read.
struct GoneCaller {
  const char *Bytes;
  bool Resets;
};
std::ostream &operator<<(std::ostream &To, const GoneCaller &Of) {
  return To << Of.Bytes << (Of.Resets ? " reset" : " closed");
}

const GoneCaller GoneCallers[] = {
    {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", false},
    {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", false},
    {"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", true},
};

// The node is busy, and a request lies in its socket until the caller's time is
// over and it leaves; its close then lies right behind the request. Started all
// the same, the call would reach an upstream long after the caller has gone.
BOOST_DATA_TEST_CASE(RequestsOfCallersThatLeftAreNotStarted,
                     data::make(GoneCallers), Row) {
  ServerFixture Of;
  RawPeer Caller = RawPeer::dial(Of.Port);
  Caller.send(Row.Bytes);
  BOOST_REQUIRE(Of.holds(1));
  Row.Resets ? Caller.reset() : Caller.close();
  BOOST_TEST(Of.holds(0));
  BOOST_TEST(Of.Open.count("/a") == 0u);
}

// The caller is refused while it still sends. Were the socket closed with
// unread bytes in it, a reset would take the refusal from it.
BOOST_FIXTURE_TEST_CASE(RefusalReachesACallerThatStillSends, ServerFixture) {
  RawPeer Caller = RawPeer::dial(this->Port);
  Caller.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf");
  BOOST_REQUIRE(this->came("/a"));
  Refusal Why;
  Why.Reason = "overload";
  Why.RetryAfter = Millis(120);
  this->Http->refuse(this->Open.at("/a"), Why);
  BOOST_REQUIRE(Caller.waitFor("not-run"));
  BOOST_TEST(Caller.Got.find("Retry-After: 0.120\r\n") != std::string::npos);
  BOOST_TEST(Caller.Got.find("Connection: close") != std::string::npos);
  Caller.send("rest");
  BOOST_TEST(Caller.waitForEnd());
}

// A planned stop closes idle connections in the very turn in which an answer
// was written: its bytes have not gone to the kernel yet. The caller must get
// them.
BOOST_FIXTURE_TEST_CASE(AnswersInFlightOutliveAStop, ServerFixture) {
  RawPeer Caller = RawPeer::dial(this->Port);
  Caller.send(get("/a"));
  BOOST_REQUIRE(this->came("/a"));
  this->answer("/a", "whole");
  this->Http->closeIdle();
  BOOST_TEST(Caller.waitFor("whole"));
  BOOST_TEST(Caller.waitForEnd());
}

// Guards against closing a connection while a slow caller still reads an answer
// that is ready: the rest of the answer would be lost.
BOOST_DATA_TEST_CASE(SlowReadersGetWholeAnswers, data::make(SlowReaderCases),
                     Row) {
  ServerFixture Of;
  CallerBounds Bounds;
  Bounds.IdleTimeout = Millis(5000);
  Of.Http->setBounds(Bounds);
  RawPeer Caller = RawPeer::dial(Of.Port, SmallBuffer);
  Caller.send(Row.Requests);
  BOOST_REQUIRE(Of.came("/a"));
  turnUntil([] { return !g_main_context_pending(nullptr); });
  Row.BeforeAnswer(Of);
  std::string Body(LongAnswer, 'x');
  Of.answer("/a", Body);
  Row.AfterAnswer(Of);
  for (int I = 0; I < 3; ++I) {
    turnUntil([] { return !g_main_context_pending(nullptr); });
    Of.pass(Millis(4000));
    BOOST_REQUIRE(!Of.Http->answersDelivered());
    size_t Before = Caller.Got.size();
    BOOST_REQUIRE(turnUntil([&] {
      Caller.read();
      return Caller.Got.size() > Before + LongAnswer / 8;
    }));
  }
  turnUntil([&] {
    Caller.read();
    return Caller.Got.size() > LongAnswer || Caller.Ended;
  });
  size_t BodyAt = Caller.Got.find("\r\n\r\n") + 4;
  BOOST_TEST((Caller.Got.compare(BodyAt, LongAnswer, Body) == 0));
  Of.pass(Millis(6000));
  BOOST_TEST(Caller.waitForEnd());
  BOOST_TEST(Of.holds(0));
}

// Guards against a process that ends right behind a last answer: what its
// caller has sent meanwhile would reset the connection, and the answer with it.
BOOST_FIXTURE_TEST_CASE(StopWaitsForLingeringConnections, ServerFixture) {
  RawPeer Leaving = RawPeer::dial(this->Port);
  RawPeer Staying = RawPeer::dial(this->Port);
  Leaving.send(get("/a"));
  Staying.send(get("/b"));
  BOOST_REQUIRE((this->came("/a") && this->came("/b")));
  this->Http->closeAfterAnswers();
  this->answer("/a", "whole");
  this->answer("/b", "whole");
  this->Http->closeIdle();
  BOOST_REQUIRE((Leaving.waitForEnd() && Staying.waitForEnd()));
  Leaving.close();
  BOOST_REQUIRE(this->holds(1));
  this->pass(Millis(500));
  BOOST_TEST(!this->Http->answersDelivered());
  this->pass(Millis(1000));
  BOOST_TEST(this->Http->answersDelivered());
}

// Guards against a stop that closes a connection with its first answer: the
// requests behind it are cut off while their upstreams work on them.
BOOST_DATA_TEST_CASE(StopAnswersAllRequestsUnderWay, data::make(StopCases),
                     Row) {
  ServerFixture Of;
  RawPeer Caller = RawPeer::dial(Of.Port);
  Caller.send(get("/a") + get("/b") + get("/c"));
  BOOST_REQUIRE((Of.came("/a") && Of.came("/b") && Of.came("/c")));
  Row.BeforeStop(Of);
  Of.Http->closeAfterAnswers();
  Row.AfterStop(Of);
  Of.Http->closeIdle();
  BOOST_TEST(Caller.waitForEnd());
  BOOST_TEST(countOf("HTTP/1.1 ", Caller.Got) == 3u);
  BOOST_TEST(Of.Gone.empty());
  BOOST_TEST(Of.Http->requestsCutOff() == 0u);
  BOOST_TEST(Caller.Got.find("c-end") == Caller.Got.size() - 5);
}

// Guards against connections that stay open through a stop because their caller
// goes on sending, and against starting what the caller sends again.
BOOST_FIXTURE_TEST_CASE(StopStartsNothingBehindOthers, ServerFixture) {
  RawPeer Caller = RawPeer::dial(this->Port);
  Caller.send(get("/a") + get("/b"));
  BOOST_REQUIRE(this->came("/b"));
  this->Http->closeAfterAnswers();
  Caller.send(get("/c"));
  turnUntil([] { return !g_main_context_pending(nullptr); });
  this->answer("/a", "a-end");
  BOOST_REQUIRE(Caller.waitFor("a-end"));
  BOOST_TEST(countOf("Connection: close", Caller.Got) == 0u);
  this->answer("/b", "b-end");
  BOOST_TEST(Caller.waitForEnd());
  BOOST_TEST(countOf("Connection: close", Caller.Got) == 1u);
  BOOST_TEST(this->Open.count("/c") == 0u);
  BOOST_TEST(this->Gone.empty());
}

// Guards against a request under way that is cut off because of what its caller
// sends behind it.
BOOST_DATA_TEST_CASE(RequestsOutliveWhatFollowsThem, data::make(BehindCases),
                     Row) {
  ServerFixture Of;
  RawPeer Caller = RawPeer::dial(Of.Port);
  Caller.send(Row.Requests);
  BOOST_REQUIRE(Of.came("/a"));
  turnUntil([] { return !g_main_context_pending(nullptr); });
  BOOST_TEST((Of.Open.count("/b") != 0) == Row.StartsB);
  Of.answer("/a", "a-end");
  BOOST_TEST(Caller.waitForEnd());
  BOOST_TEST(Caller.Got.find("a-end") != std::string::npos);
  BOOST_TEST(Caller.Got.find(Row.Expected) != std::string::npos);
  BOOST_TEST(std::count(Of.Gone.begin(), Of.Gone.end(), "/a") == 0);
  BOOST_TEST(Of.Http->requestsCutOff() == 0u);
}

// Guards against an answer that breaks off before its turn and takes along the
// requests behind it.
BOOST_FIXTURE_TEST_CASE(BrokenAnswerIsReplacedBeforeItsTurn, ServerFixture) {
  RawPeer Caller = RawPeer::dial(this->Port);
  Caller.send(get("/a") + get("/b") + get("/c"));
  BOOST_REQUIRE(this->came("/c"));
  breakOffB(*this);
  this->answer("/a", "a-end");
  this->answer("/c", "c-end");
  BOOST_TEST(Caller.waitFor("c-end"));
  BOOST_TEST(Caller.Got.find("HTTP/1.1 502") != std::string::npos);
  BOOST_TEST(Caller.Got.find("part") == std::string::npos);
  BOOST_TEST(this->Gone.empty());
}

// Guards against keeping the bytes of callers that have stopped reading.
BOOST_DATA_TEST_CASE(CallersThatDoNotReadAreDropped, data::make({false, true}),
                     Closes) {
  ServerFixture Of;
  CallerBounds Bounds;
  Bounds.IdleTimeout = Millis(5000);
  Of.Http->setBounds(Bounds);
  RawPeer Caller = RawPeer::dial(Of.Port, SmallBuffer);
  Caller.send(get("/a"));
  BOOST_REQUIRE(Of.came("/a"));
  if (Closes)
    Of.Http->closeAfterAnswers();
  Of.answer("/a", std::string(LongAnswer, 'x'));
  turnUntil([] { return !g_main_context_pending(nullptr); });
  Of.pass(Millis(4000));
  BOOST_TEST(Of.Http->connections() == 1u);
  BOOST_TEST(!Of.Http->answersDelivered());
  Of.pass(Millis(2000));
  BOOST_TEST(Of.Http->connections() == 0u);
  BOOST_TEST(Of.Http->answersDelivered());
}

BOOST_FIXTURE_TEST_CASE(SlowHeadsAndIdleConnectionsEnd, ServerFixture) {
  CallerBounds Bounds;
  Bounds.HeaderTimeout = Millis(100);
  Bounds.IdleTimeout = Millis(200);
  this->Http->setBounds(Bounds);
  RawPeer Slow = RawPeer::dial(this->Port);
  RawPeer Idle = RawPeer::dial(this->Port);
  Slow.send("GET /a HT");
  turnUntil([&] { return this->Http->connections() == 2; });
  turnUntil([] { return !g_main_context_pending(nullptr); });
  TimePoint Now = Clock::now();
  this->Http->tick(Now + Millis(150));
  BOOST_TEST(Slow.waitFor("408"));
  Idle.read();
  BOOST_TEST(!Idle.Ended);
  this->Http->tick(Now + Millis(10000));
  BOOST_TEST(Idle.waitForEnd());
  BOOST_TEST(Slow.waitForEnd());
}

BOOST_FIXTURE_TEST_CASE(BodyOverTheBoundIsRefused, ServerFixture) {
  CallerBounds Bounds;
  Bounds.BodyBytes = 10;
  this->Http->setBounds(Bounds);
  RawPeer Stated = RawPeer::dial(this->Port);
  Stated.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\n");
  BOOST_TEST(Stated.waitFor("413"));
  RawPeer Chunked = RawPeer::dial(this->Port);
  Chunked.send("POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
               "\r\n8\r\n12345678\r\n8\r\n12345678\r\n");
  BOOST_TEST(Chunked.waitFor("413"));
  BOOST_TEST(this->Gone == std::vector<std::string>{"/b"});
}

// Guards against keeping what a caller sends without end and is no request.
BOOST_DATA_TEST_CASE(EndlessNonRequestsAreRefused, data::make(EndlessRequests),
                     Row) {
  ServerFixture Of;
  RawPeer Caller = RawPeer::dial(Of.Port);
  size_t Sent = sendEndlessly(Caller, Row, [&] {
    Caller.read();
    return Caller.Ended || !Caller.Got.empty();
  });
  BOOST_TEST(Sent <= MostEndlessBytes);
}

// The answer breaks off after it has begun: nothing may make it look whole.
BOOST_FIXTURE_TEST_CASE(BrokenAnswerIsCutOff, ServerFixture) {
  RawPeer Caller = RawPeer::dial(this->Port);
  Caller.send(get("/a"));
  BOOST_REQUIRE(this->came("/a"));
  ResponseHead Head;
  Head.Status = 200;
  this->Http->head(this->Open.at("/a"), Head);
  this->Http->body(this->Open.at("/a"), "part");
  this->Http->abort(this->Open.at("/a"), Refusal());
  BOOST_TEST(Caller.waitForEnd());
  BOOST_TEST(Caller.Got.find("0\r\n\r\n") == std::string::npos);
}

// Guards against an interim answer to a caller of HTTP/1.0, which knows none
// and takes it for the answer.
BOOST_DATA_TEST_CASE(OnlyHttp11IsToldToContinue,
                     data::make({"HTTP/1.1", "HTTP/1.0"}), Version) {
  ServerFixture Of;
  RawPeer Caller = RawPeer::dial(Of.Port);
  Caller.send("POST /a " + std::string(Version) +
              "\r\nHost: x\r\nExpect: 100-continue\r\n"
              "Content-Length: 2\r\n\r\n");
  BOOST_REQUIRE(Of.came("/a"));
  Caller.send("ok");
  BOOST_REQUIRE(turnUntil([&] { return !Of.Whole.empty(); }));
  Of.answer("/a", "whole");
  BOOST_REQUIRE(Caller.waitFor("whole"));
  bool Told = Caller.Got.rfind("HTTP/1.1 100 ", 0) == 0;
  BOOST_TEST(Told == (Version == std::string("HTTP/1.1")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hickorylift
