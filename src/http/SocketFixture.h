#ifndef HICKORYLIFT_HTTP_SOCKETFIXTURE_H
#define HICKORYLIFT_HTTP_SOCKETFIXTURE_H

#include "http/CallerServer.h"
#include "http/UpstreamClient.h"

#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

// Peers on loopback sockets for tests of the HTTP code: the other end of one
// connection, a client with an upstream that the test plays, and a server with
// callers that the test plays. All run on the loop of the test.

namespace hickorylift {

/// Turns the loop until something holds, or for five seconds.
inline bool turnUntil(const std::function<bool()> &Holds) {
  TimePoint GiveUp = Clock::now() + std::chrono::seconds(5);
  while (!Holds() && Clock::now() < GiveUp)
    if (!g_main_context_iteration(nullptr, FALSE))
      usleep(200);
  return Holds();
}

inline int listenAnywhere(uint16_t &Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) == 0);
  BOOST_REQUIRE(listen(Fd, 8) == 0);
  socklen_t Size = sizeof(At);
  getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Size);
  Port = ntohs(At.sin_port);
  return Fd;
}

/// One end of a connection, as a test drives it.
struct RawPeer {
  int Fd = -1;
  std::string Got;
  bool Ended = false;
  /// Whether it ended by a reset, not in order.
  bool WasReset = false;

  explicit RawPeer(int Fd) : Fd(Fd) { fcntl(Fd, F_SETFL, O_NONBLOCK); }
  RawPeer(RawPeer &&Other) noexcept
      : Fd(std::exchange(Other.Fd, -1)), Got(std::move(Other.Got)),
        Ended(Other.Ended), WasReset(Other.WasReset) {}
  RawPeer(const RawPeer &) = delete;
  RawPeer &operator=(const RawPeer &) = delete;
  RawPeer &operator=(RawPeer &&) = delete;
  ~RawPeer() { this->close(); }

  /// ReceiveBuffer is the size of the socket's buffer in bytes; 0 for the
  /// system's own.
  static RawPeer dial(uint16_t Port, int ReceiveBuffer = 0) {
    int Fd = socket(AF_INET, SOCK_STREAM, 0);
    if (ReceiveBuffer > 0)
      setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                 sizeof(ReceiveBuffer));
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Port);
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) ==
                  0);
    return RawPeer(Fd);
  }

  void send(std::string_view Bytes) const {
    BOOST_REQUIRE(::send(this->Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(Bytes.size()));
  }
  void read() {
    char Buffer[4096];
    ssize_t Size = 0;
    while ((Size = recv(this->Fd, Buffer, sizeof(Buffer), 0)) > 0)
      this->Got.append(Buffer, static_cast<size_t>(Size));
    bool Failed = Size < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
    this->WasReset |= Failed && errno == ECONNRESET;
    this->Ended |= Size == 0 || Failed;
  }
  bool waitFor(const std::string &Text) {
    return turnUntil([&] {
      this->read();
      return this->Got.find(Text) != std::string::npos;
    });
  }
  bool waitForEnd() {
    return turnUntil([&] {
      this->read();
      return this->Ended;
    });
  }
  void reset() {
    linger Hard{1, 0};
    setsockopt(this->Fd, SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    this->close();
  }
  void close() {
    if (this->Fd >= 0)
      ::close(std::exchange(this->Fd, -1));
  }
};

inline Dialect names() {
  Dialect Out;
  Out.RequestId = "Request-Id";
  Out.NotRun = "Not-Run";
  Out.UpstreamMark = "Proof";
  return Out;
}

inline std::string answer(const std::string &Id, const std::string &Body,
                          const std::string &More = "") {
  return "HTTP/1.1 200 OK\r\nProof: p\r\nRequest-Id: " + Id + "\r\n" + More +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A client of one upstream that the test plays, and what came of its calls.
struct ClientFixture {
  int Listener = -1;
  /// How far the client's clock is ahead of the real one.
  Millis Ahead{0};
  std::unique_ptr<UpstreamClient> Http;
  std::map<CallId, ResponseHead> Heads;
  std::map<CallId, std::string> Bodies;
  std::map<CallId, std::string> Ends;
  std::optional<UpstreamProbeResult> Found;
  size_t HealthAnswers = 0;
  size_t HealthFailures = 0;

  ClientFixture() {
    uint16_t Port = 0;
    this->Listener = listenAnywhere(Port);
    UpstreamClient::Options Opts;
    Opts.Address = *parseAddress("127.0.0.1:" + std::to_string(Port));
    Opts.Names = names();
    UpstreamClient::Hooks Hooks;
    Hooks.Head = [this](const CallId &Id, const ResponseHead &Head, TimePoint) {
      this->Heads[Id] = Head;
    };
    Hooks.Body = [this](const CallId &Id, std::string_view Bytes, TimePoint) {
      this->Bodies[Id].append(Bytes);
    };
    Hooks.End = [this](const CallId &Id, TimePoint) {
      this->Ends[Id] = "answered";
    };
    Hooks.Failed = [this](const CallId &Id, bool Sent, const Error &,
                          TimePoint) {
      this->Ends[Id] = Sent ? "may have run" : "not sent";
    };
    Hooks.Consumed = [](const CallId &, uint64_t, TimePoint) {};
    Hooks.Health = [this](const Result<HealthAnswer> &Answer, TimePoint) {
      ++this->HealthAnswers;
      this->HealthFailures += !Answer;
    };
    Hooks.Probed = [this](UpstreamProbeResult Is, TimePoint) {
      this->Found = Is;
    };
    this->Http = std::make_unique<UpstreamClient>(
        Opts, Hooks, [this] { return Clock::now() + this->Ahead; });
  }
  ~ClientFixture() { this->stopListening(); }

  void stopListening() {
    if (this->Listener >= 0)
      ::close(std::exchange(this->Listener, -1));
  }

  static RequestHead head(const std::string &Id, const std::string &Method) {
    RequestHead Out;
    Out.Method = Method;
    Out.Path = "/" + Id;
    Out.Headers = {{"Host", "x"}, {"Request-Id", Id}};
    return Out;
  }
  void start(uint64_t Seq, bool MayRepeat = false,
             const std::string &Method = "GET") {
    this->Http->start({1, Seq}, head("id-" + std::to_string(Seq), Method),
                      MayRepeat);
  }
  RawPeer accept() {
    int Fd = -1;
    turnUntil([&] {
      if (Fd < 0)
        Fd = ::accept(this->Listener, nullptr, nullptr);
      return Fd >= 0;
    });
    BOOST_REQUIRE(Fd >= 0);
    return RawPeer(Fd);
  }
  /// A connection that has carried call 1 and that both sides keep.
  RawPeer keptConnection() {
    this->start(1);
    RawPeer Upstream = this->accept();
    BOOST_REQUIRE(Upstream.waitFor("\r\n\r\n"));
    Upstream.send(answer("id-1", "", "Keep-Alive: timeout=10\r\n"));
    BOOST_REQUIRE(this->end(1) == "answered");
    return Upstream;
  }
  std::optional<UpstreamProbeResult> probe() {
    this->Http->probe();
    turnUntil([&] { return this->Found.has_value(); });
    return this->Found;
  }
  std::string end(uint64_t Seq) {
    turnUntil([&] { return this->Ends.count({1, Seq}) != 0; });
    return this->Ends[{1, Seq}];
  }
  size_t pendingAccepts() const {
    int Fd = ::accept(this->Listener, nullptr, nullptr);
    if (Fd >= 0)
      ::close(Fd);
    return Fd >= 0 ? 1 : 0;
  }
};

/// A server for callers that the test plays, with the requests that came.
struct ServerFixture {
  uint16_t Port = 0;
  std::unique_ptr<CallerServer> Http;
  std::map<std::string, CallerServer::CallerId> Open;
  std::map<std::string, std::string> Bodies;
  std::map<CallerServer::CallerId, std::string> Paths;
  std::vector<std::string> Gone;
  std::vector<std::string> Whole;
  /// How far the server's clock is ahead of the real one.
  Millis Ahead{0};

  ServerFixture() {
    ::close(listenAnywhere(this->Port));
    CallerServer::Hooks Hooks;
    Hooks.Request = [this](CallerServer::CallerId Id, const RequestHead &Head,
                           TimePoint) {
      this->Open[Head.Path] = Id;
      this->Paths[Id] = Head.Path;
    };
    Hooks.Body = [this](CallerServer::CallerId Id, std::string_view Bytes,
                        TimePoint) {
      this->Bodies[this->Paths[Id]].append(Bytes);
    };
    Hooks.BodyEnd = [this](CallerServer::CallerId Id, TimePoint) {
      this->Whole.push_back(this->Paths[Id]);
    };
    Hooks.Consumed = [](CallerServer::CallerId, uint64_t, TimePoint) {};
    Hooks.Gone = [this](CallerServer::CallerId Id, TimePoint) {
      this->Gone.push_back(this->Paths[Id]);
    };
    Hooks.MayOverlap = [](const RequestHead &Head) {
      return Head.Method == "GET";
    };
    CallerServer::Options Opts;
    Opts.Names.FractionalRetryAfter = true;
    this->Http = std::make_unique<CallerServer>(Opts, Hooks,
                                                [this] { return this->now(); });
    BOOST_REQUIRE(static_cast<bool>(this->Http->listen(
        *parseAddress("127.0.0.1:" + std::to_string(this->Port)))));
  }

  TimePoint now() const { return Clock::now() + this->Ahead; }
  /// Lets this much time pass for the server, in steps of a tick.
  void pass(Millis Time) {
    constexpr Millis Tick{100};
    for (Millis Passed{0}; Passed < Time; Passed += Tick) {
      this->Ahead += Tick;
      this->Http->tick(this->now());
    }
  }
  bool came(const std::string &Path) {
    return turnUntil([&] { return this->Open.count(Path) != 0; });
  }
  bool holds(size_t Connections) {
    return turnUntil([&] { return this->Http->connections() == Connections; });
  }
  void answer(const std::string &Path, const std::string &Body) {
    ResponseHead Head;
    Head.Status = 200;
    Head.Reason = "OK";
    Head.Length = static_cast<int64_t>(Body.size());
    this->Http->head(this->Open.at(Path), Head);
    this->Http->body(this->Open.at(Path), Body);
    this->Http->bodyEnd(this->Open.at(Path));
  }
};

inline std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

} // namespace hickorylift

#endif
