#include "http/CallerServer.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

#include <strings.h>
#include <unistd.h>

// A connection holds its exchanges in the order of their requests. Only the
// first writes to the socket; the answers of the others wait in memory. A
// request starts while others are ahead of it only if it may run twice, for the
// caller sends again whatever stands behind an answer that closes.
//
// Only the last exchange of a connection may close it: those behind the closing
// answer would be cut off while their upstreams work on them. So no request
// starts behind one whose answer will close, and a stop closes a connection
// with the last answer of what has started on it.
//
// A connection is read all the time, up to a bound, so that a caller which goes
// away is noticed while its call runs, and also when the bytes of a further
// request wait.
//
// An answer that was handed to the stream may wait there for a slow caller long
// after its exchange has ended. Closing the socket then would cut it off, so a
// connection is only closed once the kernel has taken all of it, or after the
// caller has read nothing for the idle timeout, which bounds the memory that
// such a caller uses.
//
// An answer whose length is not known goes to a caller of HTTP/1.0 without any
// mark of its end but that of the connection, and is whole for it if that end
// is orderly. So from the head of such an answer until the kernel has all of
// it, whatever closes the connection resets it, the end of this process
// included.

namespace hickorylift {

namespace {

constexpr unsigned BadRequest = 400;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned BodyTooLarge = 413;
constexpr unsigned BadGateway = 502;
// A turn of a busy loop may take tens of milliseconds, and callers that are
// refused come back on new connections: one a turn would keep them waiting
// longer than their call takes.
constexpr int AcceptsATurn = 16;
constexpr int MsInSecond = 1000;

const char *reasonOf(unsigned Status) {
  switch (Status) {
  case 400:
    return "Bad Request";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 409:
    return "Conflict";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 501:
    return "Not Implemented";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Refused";
  }
}

bool hasNoBody(const std::string &Method, unsigned Status) {
  return Method == "HEAD" || Status == 204 || Status == 304;
}

/// Joins the pieces of a body that come together. A caller may send it in
/// chunks of a byte each; passed on one by one, they would cost a frame each.
class PieceJoiner {
public:
  /// The first piece must be valid as long as this.
  void add(std::string_view Piece) {
    if (this->Count++ == 0) {
      this->First = Piece;
      return;
    }
    if (this->Rest.empty())
      this->Rest = this->First;
    this->Rest.append(Piece);
  }
  std::string_view joined() const {
    return this->Rest.empty() ? this->First : std::string_view(this->Rest);
  }

private:
  size_t Count = 0;
  std::string_view First;
  std::string Rest;
};

std::string chunk(std::string_view Bytes) {
  char Size[32];
  int Length = std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  std::string Out(Size, static_cast<size_t>(Length));
  Out.append(Bytes);
  Out.append("\r\n");
  return Out;
}

void addField(std::string &To, std::string_view Name, std::string_view Value) {
  To.append(Name).append(": ").append(Value).append("\r\n");
}

std::string retryAfter(Millis Of, bool Fractional) {
  if (!Fractional)
    return std::to_string((Of.count() + MsInSecond - 1) / MsInSecond);
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f",
                static_cast<double>(Of.count()) / MsInSecond);
  return Text;
}

} // namespace

struct CallerServer::Exchange {
  CallerId Id = 0;
  Connection *On = nullptr;
  std::string Method;
  bool Http10 = false;
  bool RequestRead = false;
  // The entry has let go of it: by a refusal, an abort or the last byte.
  bool Released = false;
  bool WindowFull = false;
  bool Answering = false;
  bool Chunked = false;
  // Only an orderly end of the connection marks the end of the answer.
  bool EndsWithConnection = false;
  bool NoBody = false;
  bool Ended = false;
  bool CloseAfter = false;
  // The answer breaks off: cut the connection when its turn comes.
  bool Broken = false;
  int64_t BodyRead = 0;
  uint64_t Written = 0;
  uint64_t Told = 0;
  // What waits for its turn on the connection.
  std::string Waiting;
};

struct CallerServer::Connection {
  uint64_t Id = 0;
  std::shared_ptr<TcpStream> Stream;
  std::shared_ptr<RequestParser> Parser;
  // The exchange whose body is being read; null between requests.
  Exchange *Reading = nullptr;
  // A head that is read and must wait for the answers ahead of it.
  bool HeadWaits = false;
  bool NoMore = false;
  bool Parsing = false;
  std::string Unparsed;
  std::deque<std::unique_ptr<Exchange>> Queue;
  // When the kernel last took bytes of the connection, or the last exchange on
  // it ended.
  TimePoint IdleSince;
  std::optional<TimePoint> HeadSince;
  // The last answer is in the stream; the connection ends behind it.
  bool Closing = false;
  // Set once the kernel has taken everything of a closing connection.
  std::optional<TimePoint> LingerUntil;
  // Bytes that the kernel had not taken at the last tick.
  size_t PendingAtTick = 0;
  // Bytes of requests and answers that have come in for it.
  uint64_t TotalBytes = 0;
};

CallerServer::CallerServer(Options Opts, Hooks Hooks,
                           std::function<TimePoint()> Clock)
    : Opts(std::move(Opts)), Hook(std::move(Hooks)), Now(std::move(Clock)) {}

CallerServer::~CallerServer() {
  for (auto &[Id, On] : this->Connections)
    On->Stream->close();
}

Result<bool> CallerServer::listen(const NetAddress &At) {
  return this->Listening.open(At, "listen-callers", AcceptsATurn,
                              [this](int Fd) { this->adopt(Fd); });
}

void CallerServer::stopListening() { this->Listening.close(); }

void CallerServer::adopt(int Fd) {
  auto New = std::make_shared<Connection>();
  New->Id = ++this->LastConnection;
  New->IdleSince = this->Now();
  std::weak_ptr<Connection> Weak = New;
  TcpStream::Hooks Hooks;
  Hooks.Data = [this, Weak](std::string_view Bytes, TimePoint At) {
    if (ConnectionPtr On = Weak.lock())
      this->onData(On, Bytes, At);
  };
  Hooks.Ended = [this, Weak](std::error_code, TimePoint At) {
    if (ConnectionPtr On = Weak.lock())
      this->drop(On, At);
  };
  Hooks.Drained = [this, Weak](TimePoint At) {
    if (ConnectionPtr On = Weak.lock())
      this->drained(*On, At);
  };
  New->Stream = TcpStream::adopt(Fd, Hooks, this->Now);
  this->Connections[New->Id] = New;
  this->Hook.UsageChanged(New->Id);
}

CallerServer::Exchange *CallerServer::find(CallerId Caller) {
  auto Found = this->Exchanges.find(Caller);
  return Found == this->Exchanges.end() ? nullptr : Found->second;
}

void CallerServer::onData(const ConnectionPtr &On, std::string_view Bytes,
                          TimePoint At) {
  // After the last answer, the rest is only thrown away.
  if (On->NoMore)
    return;
  On->TotalBytes += Bytes.size();
  this->Hook.UsageChanged(On->Id);
  On->Unparsed.append(Bytes);
  this->parse(On, At);
}

void CallerServer::parse(const ConnectionPtr &On, TimePoint At) {
  // What a hook does may come back here; the loop below goes on by itself.
  if (std::exchange(On->Parsing, true))
    return;
  bool Going = true;
  while (Going && On->Stream->isOpen() && !On->NoMore) {
    if (On->Reading)
      Going = this->parseBody(On, At);
    else if (On->HeadWaits)
      Going = this->startRequest(On, At);
    else
      Going = this->parseHead(On, At);
  }
  On->Parsing = false;
  if (On->Stream->isOpen())
    this->updateReading(*On);
}

bool CallerServer::parseHead(const ConnectionPtr &On, TimePoint At) {
  // Refusals take no turn of the loop, and answers to a caller that reads none
  // of them would all be written here.
  bool Behind = On->Queue.size() >= this->Opts.MaxPipelined ||
                On->Stream->pending() > this->Opts.MaxUnsent;
  if (On->Unparsed.empty() || Behind)
    return false;
  if (!On->Parser) {
    On->Parser = std::make_shared<RequestParser>(this->Bounds.HeaderBytes);
    On->HeadSince = At;
  }
  size_t Used = On->Parser->feed(On->Unparsed, [](std::string_view) {});
  On->Unparsed.erase(0, Used);
  if (On->Parser->failed()) {
    this->refuseUnread(On, On->Parser->status(), "request-not-understood", At);
    return false;
  }
  if (!On->Parser->headDone())
    return false;
  On->HeadSince.reset();
  return this->startRequest(On, At);
}

// Returns whether to go on parsing. Called again for a head that waits.
bool CallerServer::startRequest(const ConnectionPtr &On, TimePoint At) {
  const RequestHead &Head = On->Parser->head();
  On->HeadWaits = !this->mayStart(*On, Head);
  if (On->HeadWaits)
    return false;
  if (Head.Length > static_cast<int64_t>(this->Bounds.BodyBytes)) {
    this->refuseUnread(On, BodyTooLarge, "body-too-large", At);
    return false;
  }
  if (this->dropIfLeft(On, At))
    return false;
  auto New = std::make_unique<Exchange>();
  Exchange &Of = *New;
  Of.Id = ++this->LastId;
  Of.On = On.get();
  Of.Method = Head.Method;
  Of.Http10 = On->Parser->isHttp10();
  Of.CloseAfter = !On->Parser->keepsAlive() || Of.Http10;
  On->Queue.push_back(std::move(New));
  On->Reading = &Of;
  this->Exchanges[Of.Id] = &Of;
  if (On->Parser->awaitsContinue() && On->Queue.size() == 1)
    On->Stream->write("HTTP/1.1 100 Continue\r\n\r\n");
  RequestHead Taken = On->Parser->takeHead();
  this->Hook.Request(Of.Id, Taken, At);
  return true;
}

// During a stop a caller that goes on sending would keep its connection open
// until the time to stop is over. What is not started here it sends to another
// node.
bool CallerServer::mayStart(const Connection &On,
                            const RequestHead &Head) const {
  if (On.Queue.empty())
    return true;
  // HTTP/1.0 has no requests behind others, and the end of the answer may have
  // to be a reset, which takes away what lies before it.
  return !this->Leaving && !On.Queue.back()->CloseAfter &&
         !On.Parser->isHttp10() && this->Hook.MayOverlap(Head);
}

// While this node is busy, a request lies in its socket, and its caller may
// give up meanwhile; the close then lies behind the request. Started all the
// same, the call would come to an upstream long after its caller has gone.
bool CallerServer::dropIfLeft(const ConnectionPtr &On, TimePoint At) {
  if (!On->Stream->peerEnded())
    return false;
  this->drop(On, At);
  return true;
}

bool CallerServer::parseBody(const ConnectionPtr &On, TimePoint At) {
  Exchange &Of = *On->Reading;
  if (!On->Parser->done()) {
    if (On->Unparsed.empty() || (Of.WindowFull && !Of.Released))
      return false;
    // The entry may refuse the exchange at any piece, and end the connection.
    std::shared_ptr<RequestParser> Parser = On->Parser;
    std::string Bytes = std::exchange(On->Unparsed, "");
    PieceJoiner Pieces;
    size_t Used =
        Parser->feed(Bytes, [&](std::string_view Piece) { Pieces.add(Piece); });
    if (!Pieces.joined().empty())
      this->takeBody(Of, Pieces.joined(), At);
    if (!On->Stream->isOpen() || On->Parser != Parser)
      return false;
    On->Unparsed = std::move(Bytes);
    On->Unparsed.erase(0, Used);
    if (On->Parser->failed()) {
      this->refuseBroken(On, At);
      return false;
    }
  }
  if (!On->Parser->done() || !On->Reading)
    return On->Reading == nullptr;
  if (Of.BodyRead > 0 && this->dropIfLeft(On, At))
    return false;
  Of.RequestRead = true;
  On->Reading = nullptr;
  On->Parser.reset();
  if (!Of.Released)
    this->Hook.BodyEnd(Of.Id, At);
  else
    this->advance(On);
  return true;
}

void CallerServer::takeBody(Exchange &Of, std::string_view Piece,
                            TimePoint At) {
  Of.BodyRead += static_cast<int64_t>(Piece.size());
  if (Of.Released)
    return;
  if (Of.BodyRead <= static_cast<int64_t>(this->Bounds.BodyBytes))
    return this->Hook.Body(Of.Id, Piece, At);
  CallerId Id = Of.Id;
  Refusal Why;
  Why.Reason = "body-too-large";
  Why.Step = "entry";
  Why.Status = BodyTooLarge;
  this->Hook.Gone(Id, At);
  this->refuseOrAbort(Of, Why);
}

// For a request whose answer may have begun. One that waits for its turn is
// replaced, and one that is being written can only be broken off.
void CallerServer::refuseOrAbort(Exchange &Of, const Refusal &Why) {
  if (Of.Answering && Of.On->Queue.front().get() == &Of)
    return this->abort(Of.Id, Why);
  Of.Answering = false;
  Of.Waiting.clear();
  this->refuse(Of.Id, Why);
}

// A request that never reached the entry. It is answered in its turn, and
// nothing after it can be told apart.
void CallerServer::refuseUnread(const ConnectionPtr &On, unsigned Status,
                                const std::string &Reason, TimePoint At) {
  auto New = std::make_unique<Exchange>();
  Exchange &Of = *New;
  Of.Id = ++this->LastId;
  Of.On = On.get();
  On->Queue.push_back(std::move(New));
  this->Exchanges[Of.Id] = &Of;
  On->Parser.reset();
  On->HeadSince.reset();
  On->HeadWaits = false;
  On->NoMore = true;
  On->Unparsed.clear();
  On->IdleSince = At;
  Refusal Why;
  Why.Reason = Reason;
  Why.Step = "http";
  Why.Status = Status;
  this->refuse(Of.Id, Why);
}

// The body being read is not understood, so nothing after it can be told apart.
// If requests are under way ahead of it, it is refused in its turn.
void CallerServer::refuseBroken(const ConnectionPtr &On, TimePoint At) {
  Exchange &Of = *On->Reading;
  if (On->Queue.front().get() == &Of)
    return this->closeWhenWritten(On, At);
  On->NoMore = true;
  On->Unparsed.clear();
  if (!Of.Released)
    this->Hook.Gone(Of.Id, At);
  Refusal Why;
  Why.Reason = "request-not-understood";
  Why.Step = "http";
  Why.Status = BadRequest;
  this->refuseOrAbort(Of, Why);
}

// Whether the answer that is being written is the last of its connection.
bool CallerServer::endsConnection(const Exchange &Of) const {
  return this->Leaving && Of.On->Queue.back().get() == &Of;
}

void CallerServer::updateReading(Connection &On) {
  bool BodyStopped =
      On.Reading && On.Reading->WindowFull && !On.Reading->Released;
  bool AheadFull = !On.Reading && On.Unparsed.size() > this->Opts.MaxReadAhead;
  On.Stream->pauseReading(!On.NoMore && (BodyStopped || AheadFull));
}

void CallerServer::pauseRequest(CallerId Caller, bool Paused) {
  Exchange *Of = this->find(Caller);
  if (!Of)
    return;
  Of->WindowFull = Paused;
  this->updateReading(*Of->On);
}

void CallerServer::write(Exchange &Of, std::string_view Bytes) {
  Of.On->TotalBytes += Bytes.size();
  this->Hook.UsageChanged(Of.On->Id);
  if (Of.On->Queue.front().get() == &Of)
    Of.On->Stream->write(Bytes);
  else
    Of.Waiting.append(Bytes);
}

void CallerServer::head(CallerId Caller, const ResponseHead &Head) {
  Exchange *Of = this->find(Caller);
  if (!Of || Of->Answering)
    return;
  Of->Answering = true;
  Of->NoBody = hasNoBody(Of->Method, Head.Status);
  bool Unmarked = Head.Length < 0 && !Of->NoBody;
  Of->Chunked = Unmarked && !Of->Http10;
  Of->EndsWithConnection = Unmarked && Of->Http10;
  // The rest of a body that the upstream did not wait for is not read on.
  Of->CloseAfter |= this->endsConnection(*Of) || !Of->RequestRead;
  std::string Out =
      "HTTP/1.1 " + std::to_string(Head.Status) + " " + Head.Reason + "\r\n";
  for (const HeaderField &One : Head.Headers)
    if (strcasecmp(One.Name.c_str(), "Hickorylift-Outcome") != 0)
      addField(Out, One.Name, One.Value);
  // Set also where the upstream passes on what it was told further down.
  addField(Out, "Hickorylift-Outcome", "answered");
  if (Of->Chunked)
    addField(Out, "Transfer-Encoding", "chunked");
  else if (Head.Length >= 0 && Head.Status != 204)
    addField(Out, "Content-Length", std::to_string(Head.Length));
  if (Of->CloseAfter)
    addField(Out, "Connection", "close");
  Out.append("\r\n");
  if (Of->EndsWithConnection)
    Of->On->Stream->resetOnClose();
  this->write(*Of, Out);
}

void CallerServer::body(CallerId Caller, std::string_view Bytes) {
  Exchange *Of = this->find(Caller);
  if (!Of || Bytes.empty())
    return;
  Of->Written += Bytes.size();
  if (!Of->NoBody)
    this->write(*Of, Of->Chunked ? chunk(Bytes) : Bytes);
  this->consumed(*Of->On, this->Now());
}

// The entry's window opens as the socket takes the bytes, so a caller that
// reads slowly holds back its upstream and not this node's memory.
void CallerServer::consumed(Connection &On, TimePoint At) {
  if (On.Queue.empty())
    return;
  Exchange &Of = *On.Queue.front();
  bool News = Of.Written >= Of.Told + this->Opts.TellEvery && !Of.Released;
  if (!News || On.Stream->pending() > this->Opts.MaxUnsent)
    return;
  Of.Told = Of.Written;
  this->Hook.Consumed(Of.Id, Of.Written, At);
}

void CallerServer::bodyEnd(CallerId Caller) {
  Exchange *Of = this->find(Caller);
  if (!Of)
    return;
  if (Of->Chunked)
    this->write(*Of, "0\r\n\r\n");
  Of->Ended = true;
  Of->Released = true;
  ConnectionPtr On = this->Connections.at(Of->On->Id);
  this->advance(On);
}

// Takes finished exchanges off the front, and lets the next ones write.
void CallerServer::advance(const ConnectionPtr &On) {
  TimePoint At = this->Now();
  while (!On->Queue.empty() && On->Stream->isOpen()) {
    Exchange &First = *On->Queue.front();
    if (!First.Waiting.empty())
      On->Stream->write(std::exchange(First.Waiting, ""));
    if (First.Broken) {
      On->Stream->flush();
      return this->closeWhenWritten(On, At);
    }
    this->consumed(*On, At);
    if (!First.Ended)
      return;
    bool Closes = First.CloseAfter;
    // The rest of its request is still to be read off the connection.
    if (!Closes && On->Reading == &First)
      return;
    this->Exchanges.erase(First.Id);
    if (On->Reading == &First)
      On->Reading = nullptr;
    On->Queue.pop_front();
    if (Closes)
      return this->lingerClose(*On, At);
  }
  if (!On->Stream->isOpen())
    return;
  if (On->Queue.empty())
    On->IdleSince = At;
  this->parse(On, At);
}

// What waits behind the answer that closes has not been started, and the caller
// sends it again.
void CallerServer::lingerClose(Connection &On, TimePoint At) {
  On.NoMore = true;
  On.HeadWaits = false;
  On.Parser.reset();
  On.Reading = nullptr;
  std::string().swap(On.Unparsed);
  On.HeadSince.reset();
  On.Closing = true;
  On.IdleSince = At;
  this->CutOff += On.Queue.size();
  if (On.Stream->pending() == 0)
    On.LingerUntil = At + this->Opts.Linger;
  On.Stream->pauseReading(false);
  On.Stream->finishWriting();
  this->letGo(On, At);
}

// Ends a connection on which nothing more is answered, after the answers that
// the kernel has not taken yet. An answer that would look whole by an orderly
// end is broken off at once.
void CallerServer::closeWhenWritten(const ConnectionPtr &On, TimePoint At) {
  bool Resets = !On->Queue.empty() && On->Queue.front()->EndsWithConnection;
  if (On->Stream->pending() != 0 && !Resets)
    return this->lingerClose(*On, At);
  this->CutOff += On->Queue.size();
  this->drop(On, At);
}

void CallerServer::drained(Connection &On, TimePoint At) {
  On.IdleSince = At;
  this->Hook.UsageChanged(On.Id);
  if (On.Closing)
    On.LingerUntil = At + this->Opts.Linger;
  this->consumed(On, At);
  // What waited for these answers to be read.
  auto Found = this->Connections.find(On.Id);
  if (Found != this->Connections.end() && !On.Unparsed.empty())
    this->parse(ConnectionPtr(Found->second), At);
}

// All are forgotten before the first hook is called: what a hook does may come
// back for any of them.
void CallerServer::letGo(Connection &On, TimePoint At) {
  std::deque<std::unique_ptr<Exchange>> Left = std::move(On.Queue);
  On.Queue.clear();
  for (const auto &One : Left)
    this->Exchanges.erase(One->Id);
  for (const auto &One : Left)
    if (!One->Released)
      this->Hook.Gone(One->Id, At);
}

void CallerServer::drop(const ConnectionPtr &On, TimePoint At) {
  // On may be the map's own pointer: what is taken out lives to the end.
  auto Kept = this->Connections.extract(On->Id);
  On->Stream->close();
  On->Reading = nullptr;
  this->Hook.UsageChanged(On->Id);
  this->letGo(*On, At);
}

void CallerServer::abort(CallerId Caller, const Refusal &Why) {
  Exchange *Of = this->find(Caller);
  if (!Of)
    return;
  if (Of->On->Queue.front().get() != Of) {
    Refusal Whole = Why;
    Whole.CallOutcome = Outcome::Unknown;
    Whole.Status = BadGateway;
    return this->refuseOrAbort(*Of, Whole);
  }
  Of->Released = true;
  Of->Broken = true;
  ConnectionPtr On = this->Connections.at(Of->On->Id);
  this->advance(On);
}

std::string CallerServer::refusalText(const Exchange &Of,
                                      const Refusal &Why) const {
  unsigned Status = httpStatus(Why);
  std::string Out =
      "HTTP/1.1 " + std::to_string(Status) + " " + reasonOf(Status) + "\r\n";
  auto Add = [&](const char *Name, const std::string &Value) {
    if (!Value.empty())
      addField(Out, Name, Value);
  };
  Add("Hickorylift-Outcome", outcomeName(Why.CallOutcome));
  Add("Hickorylift-Reason", Why.Reason);
  Add("Hickorylift-Step", Why.Step);
  Add("Hickorylift-Peer", Why.Peer);
  if (Why.RetryAfter.count() > 0) {
    Add("Retry-After",
        retryAfter(Why.RetryAfter, this->Opts.Names.FractionalRetryAfter));
    Add("Hickorylift-Retry-After-Ms", std::to_string(Why.RetryAfter.count()));
  }
  if (Of.CloseAfter)
    Add("Connection", "close");
  std::string Text =
      std::string(outcomeName(Why.CallOutcome)) + ": " + Why.Reason + "\n";
  Add("Content-Type", "text/plain");
  Add("Content-Length", std::to_string(Text.size()));
  Out.append("\r\n");
  if (Of.Method != "HEAD")
    Out.append(Text);
  return Out;
}

void CallerServer::refuse(CallerId Caller, const Refusal &Why) {
  Exchange *Of = this->find(Caller);
  if (!Of || Of->Answering)
    return;
  Of->Answering = true;
  Of->Released = true;
  Of->Ended = true;
  bool Unread = !Of->RequestRead && (Of->On->Reading != Of || !Of->On->Parser ||
                                     !Of->On->Parser->done());
  Of->CloseAfter |= this->endsConnection(*Of) || Unread;
  this->write(*Of, this->refusalText(*Of, Why));
  ConnectionPtr On = this->Connections.at(Of->On->Id);
  this->advance(On);
}

void CallerServer::closeIdle() {
  std::vector<ConnectionPtr> Idle;
  for (const auto &[Id, On] : this->Connections)
    if (On->Queue.empty() && On->Unparsed.empty() && !On->Closing)
      Idle.push_back(On);
  for (const ConnectionPtr &On : Idle)
    this->closeWhenWritten(On, this->Now());
}

bool CallerServer::answersDelivered() const {
  return this->Exchanges.empty() &&
         std::all_of(this->Connections.begin(), this->Connections.end(),
                     [](const auto &One) {
                       const Connection &On = *One.second;
                       return On.Stream->pending() == 0 && !On.Closing;
                     });
}

// Whether the caller has to send or read something before anything goes on.
bool CallerServer::callerActs(const Connection &On) {
  if (On.Queue.empty())
    return true;
  const Exchange &First = *On.Queue.front();
  bool BodyMissing = On.Reading && !On.Reading->WindowFull;
  bool AnswerUnread = First.Answering && On.Stream->pending() > 0;
  return BodyMissing || AnswerUnread;
}

std::optional<ResourceBudget::Usage>
CallerServer::usage(uint64_t Connection) const {
  auto Found = this->Connections.find(Connection);
  if (Found == this->Connections.end())
    return std::nullopt;
  const auto &On = *Found->second;
  ResourceBudget::Usage Out;
  Out.Connections = 1;
  Out.TotalBytes = On.TotalBytes;
  Out.OtherSideActs = callerActs(On);
  Out.Bytes = On.Unparsed.capacity() + On.Stream->reserved();
  for (const auto &One : On.Queue)
    Out.Bytes += sizeof(Exchange) + One->Waiting.capacity() +
                 this->Hook.HeldBytes(One->Id);
  return Out;
}

void CallerServer::evict(uint64_t Connection, TimePoint At) {
  auto Find = [&] {
    auto Found = this->Connections.find(Connection);
    return Found == this->Connections.end() ? nullptr : Found->second;
  };
  ConnectionPtr On = Find();
  if (!On)
    return;
  // An answer in place of one that has begun could not be told from its rest.
  bool Refusable = On->Queue.size() == 1 && !On->Queue.front()->Answering &&
                   !On->Queue.front()->Released;
  if (Refusable)
    this->Hook.Evict(On->Queue.front()->Id, At);
  if (!Find())
    return;
  On->Stream->flush();
  if (!Find())
    return;
  this->CutOff += On->Queue.size();
  this->drop(On, At);
}

void CallerServer::judgeTime(const ConnectionPtr &On, TimePoint At) {
  bool HeadLate =
      On->HeadSince && At - *On->HeadSince > this->Bounds.HeaderTimeout;
  if (HeadLate)
    return this->refuseUnread(On, RequestTimeout, "header-timeout", At);
  size_t Pending = On->Stream->pending();
  if (std::exchange(On->PendingAtTick, Pending) != Pending)
    On->IdleSince = At;
  bool Idle = On->Queue.empty() && !On->HeadSince && !On->LingerUntil &&
              At - On->IdleSince > this->Bounds.IdleTimeout;
  bool Lingered = On->LingerUntil && At > *On->LingerUntil;
  if (Idle || Lingered)
    this->drop(On, At);
}

void CallerServer::tick(TimePoint At) {
  std::vector<ConnectionPtr> All;
  All.reserve(this->Connections.size());
  for (const auto &[Id, On] : this->Connections)
    All.push_back(On);
  for (const ConnectionPtr &On : All)
    this->judgeTime(On, At);
}

} // namespace hickorylift
