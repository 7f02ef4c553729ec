#include "http/UpstreamClient.h"

#include <algorithm>

#include <strings.h>

// One call at a time on each connection. What decides whether an answer belongs
// to its call: it came on the call's connection, after the request, and repeats
// the call's id where the deployment has one. An upstream may send a second
// answer to an earlier request; that one is passed over.
//
// A connection is used again only if its last answer was whole, nothing came
// after it, the request was written to its end, and neither side said close.
// An upstream that answers before it has read the whole body would take the
// head of the next request for the rest of it.
//
// Whether a request that failed may have run: it cannot while its connection
// was not made, and it may from the moment at which any byte of it was handed
// to the kernel.

namespace hickorylift {

namespace {

constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned FirstNotSuccess = 300;
const char Step[] = "upstream-call";
// Entries' incarnations are drawn at random; this one stands for health.
constexpr uint64_t HealthEntry = 0;

bool isChunked(const RequestHead &Head) { return Head.Length < 0; }

/// Whether the body is coded for this connection in another way than in chunks.
/// The field is not passed on, so that nobody behind could decode it.
bool hasTransferCoding(const ResponseHead &Head) {
  return std::any_of(Head.Headers.begin(), Head.Headers.end(),
                     [](const HeaderField &One) {
                       return isHeader(One, "Transfer-Encoding") &&
                              strcasecmp(One.Value.c_str(), "chunked") != 0 &&
                              strcasecmp(One.Value.c_str(), "identity") != 0;
                     });
}

bool closes(const ResponseHead &Head) {
  return strcasecmp(findHeader(Head.Headers, "Connection").c_str(), "close") ==
         0;
}

} // namespace

struct UpstreamClient::Call {
  CallId Id;
  RequestHead Head;
  bool MayRepeat = false;
  bool IsHealth = false;
  TimePoint GiveUpAt = TimePoint::max();
  // All of the body so far, kept while the call may have to be sent again.
  std::string Sent;
  bool BodyEnded = false;
  uint64_t BodyBytes = 0;
  uint64_t BodyTold = 0;
  unsigned Tries = 0;
  // Of the last try.
  TimePoint WrittenAt;
  bool HeadPassed = false;
  std::string Held;
  ConnectionPtr On;
};

struct UpstreamClient::Connection {
  uint64_t Id = 0;
  std::shared_ptr<TcpStream> Stream;
  CallPtr Current;
  bool Made = false;
  bool RequestWritten = false;
  unsigned Answers = 0;
  unsigned Strays = 0;
  // What is being read is an interim answer, or belongs to another request.
  bool Stray = false;
  // Bytes of these since the current call's request.
  size_t StrayBytes = 0;
  // Interim answers since the current call's request.
  unsigned InterimAnswers = 0;
  // Made to see whether it can be.
  bool Probe = false;
  TimePoint DialledAt;
  TimePoint KeepUntil;
  std::unique_ptr<ResponseParser> Parser;
  std::string Unparsed;
};

UpstreamClient::UpstreamClient(Options Opts, Hooks Hooks,
                               std::function<TimePoint()> Clock)
    : Opts(std::move(Opts)), Hook(std::move(Hooks)), Now(std::move(Clock)) {}

UpstreamClient::~UpstreamClient() {
  for (auto &[Id, On] : this->Open)
    On->Stream->close();
}

UpstreamClient::CallPtr UpstreamClient::find(const CallId &Id) const {
  auto Found = this->Calls.find(Id);
  return Found == this->Calls.end() ? nullptr : Found->second;
}

void UpstreamClient::start(const CallId &Id, const RequestHead &Head,
                           bool MayRepeat) {
  auto New = std::make_shared<Call>();
  New->Id = Id;
  New->Head = Head;
  New->MayRepeat = MayRepeat;
  New->BodyEnded = Head.Length == 0;
  this->Calls[Id] = New;
  this->startCall(New);
}

void UpstreamClient::askHealth(const std::string &Path, Millis Limit) {
  auto New = std::make_shared<Call>();
  New->Id = {HealthEntry, ++this->HealthCalls};
  New->Head.Method = "GET";
  New->Head.Path = Path;
  New->Head.Headers = {{"Host", this->Opts.Address.text()}};
  New->IsHealth = true;
  New->MayRepeat = true;
  New->BodyEnded = true;
  New->GiveUpAt = this->Now() + Limit;
  this->Calls[New->Id] = New;
  this->startCall(New);
}

void UpstreamClient::startCall(const CallPtr &Of) {
  ++Of->Tries;
  ConnectionPtr On = this->takeIdle(Of->MayRepeat, this->Now());
  if (!On)
    On = this->dial();
  On->Current = Of;
  On->RequestWritten = false;
  On->Stray = false;
  On->StrayBytes = 0;
  On->InterimAnswers = 0;
  Of->On = On;
  if (On->Made)
    this->sendRequest(On);
}

UpstreamClient::ConnectionPtr UpstreamClient::takeIdle(bool MayRepeat,
                                                       TimePoint At) {
  Millis Margin =
      MayRepeat ? this->Opts.CloseMargin : this->Opts.SafeCloseMargin;
  while (!this->Idle.empty()) {
    ConnectionPtr On = this->Idle.back();
    // The others have been idle for longer still.
    if (At + Margin >= On->KeepUntil)
      return nullptr;
    this->Idle.pop_back();
    // The upstream may have closed it, or sent a second answer, in this very
    // turn of the loop.
    if (!On->Stream->hasUnread())
      return On;
    this->discard(On);
  }
  return nullptr;
}

UpstreamClient::ConnectionPtr UpstreamClient::dial() {
  auto New = std::make_shared<Connection>();
  New->Id = ++this->LastConnection;
  New->DialledAt = this->Now();
  ++this->Dials;
  std::weak_ptr<Connection> Weak = New;
  TcpStream::Hooks Hooks;
  Hooks.Connected = [this, Weak](TimePoint) {
    ConnectionPtr On = Weak.lock();
    if (!On)
      return;
    On->Made = true;
    if (On->Current)
      this->sendRequest(On);
    else if (On->Probe)
      this->probed(On, /*Refused=*/false, this->Now());
  };
  Hooks.Data = [this, Weak](std::string_view Bytes, TimePoint At) {
    if (ConnectionPtr On = Weak.lock())
      this->onData(On, Bytes, At);
  };
  Hooks.Ended = [this, Weak](std::error_code Why, TimePoint At) {
    if (ConnectionPtr On = Weak.lock())
      this->onEnded(On, Why, At);
  };
  Hooks.Drained = [this, Weak](TimePoint At) {
    ConnectionPtr On = Weak.lock();
    if (On && On->Current)
      this->bodyWritten(*On->Current, At);
  };
  New->Stream = TcpStream::dial(this->Opts.Address, Hooks, this->Now);
  this->Open[New->Id] = New;
  return New;
}

void UpstreamClient::probe() { this->dial()->Probe = true; }

// One that the other end has neither ended nor reset, whatever this process has
// been told of so far.
bool UpstreamClient::hasLiveConnection() const {
  return std::any_of(this->Open.begin(), this->Open.end(), [](const auto &One) {
    const Connection &On = *One.second;
    return On.Made && !On.Stream->hasUnread();
  });
}

void UpstreamClient::probed(const ConnectionPtr &On, bool Refused,
                            TimePoint At) {
  On->Probe = false;
  if (On->Made) {
    On->KeepUntil = At + this->Opts.KeepIdle;
    this->Idle.push_back(On);
  } else {
    this->discard(On);
  }
  UpstreamProbeResult Found = !Refused ? UpstreamProbeResult::Open
                              : this->hasLiveConnection()
                                  ? UpstreamProbeResult::Inconclusive
                                  : UpstreamProbeResult::Closed;
  this->Hook.Probed(Found, At);
}

void UpstreamClient::bodyWritten(Call &Of, TimePoint At) {
  if (Of.BodyBytes < Of.BodyTold + this->Opts.TellEvery)
    return;
  Of.BodyTold = Of.BodyBytes;
  this->Hook.Consumed(Of.Id, Of.BodyBytes, At);
}

std::string UpstreamClient::requestHead(const Call &Of) const {
  std::string Out = Of.Head.Method + " " + Of.Head.Path + " HTTP/1.1\r\n";
  for (const HeaderField &One : Of.Head.Headers)
    Out.append(One.Name).append(": ").append(One.Value).append("\r\n");
  bool HasBody = Of.Head.Length > 0 || Of.Head.Method == "POST" ||
                 Of.Head.Method == "PUT" || Of.Head.Method == "PATCH";
  if (isChunked(Of.Head))
    Out.append("Transfer-Encoding: chunked\r\n");
  else if (HasBody)
    Out.append("Content-Length: " + std::to_string(Of.Head.Length) + "\r\n");
  Out.append("\r\n");
  return Out;
}

void UpstreamClient::sendRequest(const ConnectionPtr &On) {
  Call &Of = *On->Current;
  std::string Out = this->requestHead(Of);
  Of.WrittenAt = this->Now();
  On->Parser = std::make_unique<ResponseParser>(this->Opts.MaxHeaderBytes,
                                                Of.Head.Method == "HEAD");
  if (!isChunked(Of.Head)) {
    // Head and body in one write where the body is there already.
    Out.append(Of.Sent);
    On->RequestWritten = Of.BodyEnded;
    On->Stream->write(Out);
  } else {
    On->Stream->write(Out);
    this->writeBody(*On, Of.Sent);
    if (Of.BodyEnded) {
      On->Stream->write("0\r\n\r\n");
      On->RequestWritten = true;
    }
  }
  if (!Of.MayRepeat)
    Of.Sent.clear();
  this->Hook.Sent(Of.Id, Of.WrittenAt);
}

void UpstreamClient::writeBody(Connection &On, std::string_view Bytes) {
  if (Bytes.empty())
    return;
  if (!isChunked(On.Current->Head))
    return On.Stream->write(Bytes);
  char Size[32];
  int Length = std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  std::string Out(Size, static_cast<size_t>(Length));
  Out.append(Bytes).append("\r\n");
  On.Stream->write(Out);
}

void UpstreamClient::body(const CallId &Id, std::string_view Bytes) {
  CallPtr Of = this->find(Id);
  if (!Of)
    return;
  Of->BodyBytes += Bytes.size();
  Of->WrittenAt = this->Now();
  ConnectionPtr On = Of->On;
  bool Running = On && On->Made;
  if (!Running || Of->MayRepeat)
    Of->Sent.append(Bytes);
  if (Running)
    this->writeBody(*On, Bytes);
  if (Of->Sent.size() <= this->Opts.MaxReplayBytes)
    return;
  Of->MayRepeat = false;
  if (Running)
    std::string().swap(Of->Sent);
}

void UpstreamClient::bodyEnd(const CallId &Id) {
  CallPtr Of = this->find(Id);
  if (!Of || Of->BodyEnded)
    return;
  Of->BodyEnded = true;
  if (!Of->On || !Of->On->Made)
    return;
  if (isChunked(Of->Head))
    Of->On->Stream->write("0\r\n\r\n");
  Of->On->RequestWritten = true;
}

void UpstreamClient::onData(const ConnectionPtr &On, std::string_view Bytes,
                            TimePoint At) {
  // Bytes that no request asked for: a second answer, or rubbish.
  if (!On->Current || !On->Parser)
    return this->discard(On);
  On->Unparsed.append(Bytes);
  while (On->Current && On->Stream->isOpen() && this->parse(On, At))
    ;
}

// Returns whether there is more to parse.
bool UpstreamClient::parse(const ConnectionPtr &On, TimePoint At) {
  if (On->Unparsed.empty())
    return false;
  bool HadHead = On->Parser->headDone();
  CallPtr Of = On->Current;
  size_t Used = On->Parser->feed(On->Unparsed, [&](std::string_view Piece) {
    if (!On->Stray)
      Of->Held.append(Piece);
  });
  On->Unparsed.erase(0, Used);
  if (On->Parser->failed()) {
    this->fail(On, Errc::BadMessage, "not an answer", At);
    return false;
  }
  if (!HadHead && On->Parser->headDone() && !this->headArrived(On, At))
    return false;
  On->StrayBytes += On->Stray ? Used : 0;
  if (On->StrayBytes > this->Opts.MaxStrayBytes) {
    this->fail(On, Errc::BadMessage, "too much before the answer", At);
    return false;
  }
  if (On->Parser->done()) {
    this->finishAnswer(On, At);
    return true;
  }
  bool HeldFull = !On->Stray && On->Parser->headDone() &&
                  Of->Held.size() > this->Opts.HoldBytes;
  if (HeldFull && Of->IsHealth) {
    this->fail(On, Errc::TooLarge, "health answer too large", At);
    return false;
  }
  if (HeldFull)
    this->passOn(*Of, *On->Parser, At);
  return Used != 0;
}

// False if the call is over.
bool UpstreamClient::headArrived(const ConnectionPtr &On, TimePoint At) {
  const ResponseHead &Head = On->Parser->head();
  const Dialect &Names = this->Opts.Names;
  bool Interim = Head.Status < FirstFinalStatus;
  On->Stray = Interim;
  if (Interim && ++On->InterimAnswers > this->Opts.MaxInterimAnswers) {
    this->fail(On, Errc::BadMessage, "too many interim answers", At);
    return false;
  }
  if (Interim || On->Current->IsHealth)
    return true;
  std::string Wanted = findHeader(On->Current->Head.Headers, Names.RequestId);
  if (!Names.RequestId.empty() && !Wanted.empty()) {
    std::string Echo = findHeader(Head.Headers, Names.RequestId);
    // The first answer on a connection can belong to no other request.
    bool Unnamed = Echo.empty() && On->Answers == 0;
    On->Stray = Echo != Wanted && !Unnamed;
    if (On->Stray && ++On->Strays > this->Opts.MaxStrayAnswers) {
      this->fail(On, Errc::BadMessage, "answers of other requests", At);
      return false;
    }
    if (On->Stray)
      return true;
  }
  if (hasTransferCoding(Head)) {
    this->fail(On, Errc::BadMessage, "transfer coding nobody asked for", At);
    return false;
  }
  bool Success = Head.Status < FirstNotSuccess;
  bool Unproved = Success && !Names.UpstreamMark.empty() &&
                  findHeader(Head.Headers, Names.UpstreamMark).empty();
  // Nobody asked for a coding, so such a body is not the upstream's.
  bool Coded = !findHeader(Head.Headers, "Content-Encoding").empty();
  if (!Names.UpstreamMark.empty() && (Unproved || Coded)) {
    this->fail(On, Errc::BadMessage,
               Coded ? "body in a coding nobody asked for"
                     : "success without the upstream's mark",
               At);
    return false;
  }
  return true;
}

void UpstreamClient::passOn(Call &Of, const ResponseParser &Parser,
                            TimePoint At) {
  if (!Of.HeadPassed) {
    Of.HeadPassed = true;
    ResponseHead Head = Parser.head();
    // What is held is all of it, whatever way its end was marked.
    if (Parser.done() && Of.Head.Method != "HEAD")
      Head.Length = static_cast<int64_t>(Of.Held.size());
    Head.Headers = endToEndHeaders(Head.Headers);
    this->Hook.Head(Of.Id, Head, At);
  }
  std::string Bytes = std::exchange(Of.Held, "");
  if (!Bytes.empty())
    this->Hook.Body(Of.Id, Bytes, At);
}

void UpstreamClient::finishAnswer(const ConnectionPtr &On, TimePoint At) {
  CallPtr Of = On->Current;
  ++On->Answers;
  if (On->Stray) {
    // The call's own answer is still to come.
    On->Stray = false;
    bool Ends = closes(On->Parser->head());
    On->Parser = std::make_unique<ResponseParser>(this->Opts.MaxHeaderBytes,
                                                  Of->Head.Method == "HEAD");
    if (Ends)
      this->fail(On, Errc::BadMessage,
                 "closed after the answer of another request", At);
    return;
  }
  this->forget(Of);
  On->Current.reset();
  if (Of->IsHealth) {
    std::unique_ptr<ResponseParser> Parser = std::move(On->Parser);
    this->keep(On, *Parser, At);
    HealthAnswer Said;
    Said.Status = Parser->head().Status;
    Said.Body = std::move(Of->Held);
    Said.ColdTimeLeft =
        findMillisHeader(Parser->head().Headers, this->Opts.Names.ColdTimeLeft);
    return this->Hook.Health(Said, At);
  }
  std::unique_ptr<ResponseParser> Parser = std::move(On->Parser);
  this->keep(On, *Parser, At);
  this->passOn(*Of, *Parser, At);
  this->Hook.End(Of->Id, At);
}

// Returns the connection to the pool, if its next answer can only be the next
// request's.
void UpstreamClient::keep(const ConnectionPtr &On, const ResponseParser &Last,
                          TimePoint At) {
  bool Reusable = On->Stream->isOpen() && Last.keepsAlive() &&
                  !Last.endsWithConnection() && On->RequestWritten &&
                  On->Stream->pending() == 0 && On->Unparsed.empty();
  if (!Reusable)
    return this->discard(On);
  Millis Kept = this->Opts.KeepIdle;
  if (std::optional<std::chrono::seconds> Said = Last.keepAliveFor())
    Kept = *Said;
  On->KeepUntil = At + Kept;
  On->Stream->pauseReading(false);
  this->Idle.push_back(On);
}

void UpstreamClient::onEnded(const ConnectionPtr &On, std::error_code Why,
                             TimePoint At) {
  bool Orderly = !Why;
  if (On->Current && On->Parser && Orderly && !On->Stray &&
      On->Parser->finishAtEnd()) {
    On->Unparsed.clear();
    return this->finishAnswer(On, At);
  }
  if (On->Probe)
    return this->probed(On, Why == std::errc::connection_refused, At);
  if (!On->Current)
    return this->discard(On);
  this->fail(On, Errc::Closed,
             Orderly ? "closed before the answer was whole" : Why.message(),
             At);
}

void UpstreamClient::fail(const ConnectionPtr &On, Errc Code,
                          const std::string &Detail, TimePoint At) {
  CallPtr Of = On->Current;
  // An earlier try may have run, whatever became of this one.
  bool Sent = On->Made || Of->Tries > 1;
  // A kept connection that was closed as the request was on its way. One that
  // ends later does so under a run: sent again, the call would come to a start
  // that its caller has no time for, or to an upstream that is leaving.
  bool Crossed = On->Made && On->Answers > 0 &&
                 At - Of->WrittenAt <= this->Opts.CrossedWithin &&
                 !(On->Parser && On->Parser->headDone());
  On->Current.reset();
  this->discard(On);
  Of->On.reset();
  if (Crossed && Of->MayRepeat && Of->Tries == 1 && !Of->HeadPassed) {
    Of->Held.clear();
    return this->startCall(Of);
  }
  this->forget(Of);
  // A connection that nobody refuses and nobody makes shows no more than that
  // the upstream is busy.
  bool Refused = !Sent && Code != Errc::Timeout;
  Error Why{Refused ? Errc::Unreachable : Code, Step, this->Opts.Address.text(),
            Detail};
  if (Of->IsHealth)
    return this->Hook.Health(Why, At);
  this->Hook.Failed(Of->Id, Sent, Why, At);
}

void UpstreamClient::discard(const ConnectionPtr &On) {
  On->Stream->close();
  this->Open.erase(On->Id);
  auto Found = std::find(this->Idle.begin(), this->Idle.end(), On);
  if (Found != this->Idle.end())
    this->Idle.erase(Found);
}

void UpstreamClient::forget(const CallPtr &Of) {
  this->Calls.erase(Of->Id);
  Of->On.reset();
}

void UpstreamClient::cancel(const CallId &Id) {
  CallPtr Of = this->find(Id);
  if (!Of)
    return;
  if (ConnectionPtr On = Of->On) {
    On->Current.reset();
    this->discard(On);
  }
  this->forget(Of);
}

void UpstreamClient::pauseAnswer(const CallId &Id, bool Paused) {
  CallPtr Of = this->find(Id);
  if (Of && Of->On)
    Of->On->Stream->pauseReading(Paused);
}

size_t UpstreamClient::heldBytes(const CallId &Id) const {
  CallPtr Of = this->find(Id);
  if (!Of)
    return 0;
  size_t Sum = sizeof(Call) + hickorylift::heldBytes(Of->Head) +
               Of->Sent.capacity() + Of->Held.capacity();
  if (Of->On)
    Sum += sizeof(Connection) + Of->On->Unparsed.capacity() +
           Of->On->Stream->reserved();
  return Sum;
}

void UpstreamClient::tick(TimePoint At) {
  std::vector<ConnectionPtr> Late;
  for (const auto &[Id, On] : this->Open) {
    bool NotMade = !On->Made && At - On->DialledAt > this->Opts.DialTimeout;
    bool Overdue = On->Current && At > On->Current->GiveUpAt;
    if (((On->Current || On->Probe) && NotMade) || Overdue)
      Late.push_back(On);
  }
  for (const ConnectionPtr &On : Late)
    if (On->Probe)
      this->probed(On, /*Refused=*/false, At);
    else
      this->fail(On, Errc::Timeout, "no answer in time", At);
  // The first has been idle for the longest.
  while (!this->Idle.empty() && At >= this->Idle.front()->KeepUntil)
    this->discard(this->Idle.front());
}

} // namespace hickorylift
