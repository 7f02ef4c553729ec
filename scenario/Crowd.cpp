#include "base/NetAddress.h"
#include "calls/Message.h"
#include "harness/Fleet.h"
#include "scenario/Rows.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <vector>

#include <arpa/inet.h>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

// Crowds of clients that do not behave, against the real processes: two nodes,
// their upstreams and a platform on loopback. What each client sends is a row
// of the table below. While the crowd stays connected, the following must hold,
// and none of it depends on how fast the machine is:
//
//   every node lives, and answers its operator;
//   no node has ever used more memory than a node may use at most;
//   no node has more descriptors open than its limit less a reserve;
//   an ordinary request gets its whole answer;
//   a planned stop ends in order.
//
//   crowd --crowd=whole-bodies      # one row, as CI plays them
//   crowd --list                    # the names of all rows
//   crowd                           # all rows, one after the other

ABSL_FLAG(std::string, crowd, "", "name of the row to play; all if empty");
ABSL_FLAG(bool, list, false, "only print the names of the rows");
ABSL_FLAG(std::string, logs, "", "folder for the logs of rows that fail");
ABSL_FLAG(bool, afterwards, false,
          "also print what the nodes keep once the crowd has left");

namespace hickorylift {

namespace {

// The most that a node may use: 128 MB, see docs/CAPACITY.md.
constexpr uint64_t MaxMemoryKiB = 125000;
// A process that asks for more ends, as on a machine whose memory is used up.
constexpr uint64_t MaxDataBytes = uint64_t(1) << 30;
// Descriptors that a node keeps free for its own use.
constexpr uint64_t ReservedDescriptors = 16;
constexpr uint64_t FewDescriptors = 400;
constexpr unsigned DialsAtOnce = 8;
constexpr int SmallReceiveBuffer = 4096;
constexpr Millis Patience{30000};
// A crowd that nothing has happened to for this long is complete.
constexpr Millis StuckAfter{1000};
constexpr Millis LongestAssault{60000};
constexpr Millis CalmRetryPause{200};
constexpr Millis LeavingTime{2500};
constexpr size_t KiB = 1024;
constexpr size_t MiB = 1024 * 1024;
const char CallerNode[] = "door-1";
const char UpstreamNode[] = "portal-1";

enum class Door { Callers, Peers, Operator };

/// What each client of a crowd does. It sends Begin, then Piece as often as
/// Repeats says, then End, and stays connected.
struct CrowdCase {
  const char *Name;
  /// The failure that the row guards against.
  const char *Guards;
  unsigned Clients = 1;
  const char *Node = CallerNode;
  Door At = Door::Callers;
  std::string Begin = {};
  /// What each client sends in place of Begin, where they differ.
  std::string (*BeginOf)(unsigned Client) = nullptr;
  std::string Piece = {};
  size_t Repeats = 0;
  std::string End = {};
  /// Bytes that a client sends before it is the next one's turn, and the pause
  /// after a turn of all.
  size_t TurnBytes = 64 * KiB;
  Millis TurnPause{0};
  /// Whether it reads what it is sent.
  bool Reads = true;
  /// How often the whole crowd leaves and comes back.
  unsigned Waves = 0;
  /// How often it connects again after its connection was ended.
  unsigned Returns = 0;
  /// Largest head of a request, in bytes.
  size_t HeaderBytes = 64 * KiB;
  /// Calls that the upstream runs at once.
  unsigned Slots = 10;
  /// Descriptors of a node's process; 0 for as many as the machine allows.
  uint64_t MaxDescriptors = 0;
};

std::string post(const std::string &Path, size_t Length) {
  return absl::StrCat("POST ", Path,
                      " HTTP/1.1\r\nHost: x\r\nContent-Length: ", Length,
                      "\r\n\r\n");
}

std::string chunkedPost(const std::string &Path) {
  return absl::StrCat("POST ", Path,
                      " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
                      "\r\n\r\n");
}

std::string get(const std::string &Path, const std::string &Fields = "") {
  return absl::StrCat("GET ", Path, " HTTP/1.1\r\nHost: x\r\n", Fields, "\r\n");
}

std::string chunk(size_t Bytes) {
  return absl::StrCat(absl::Hex(Bytes), "\r\n", std::string(Bytes, 'x'),
                      "\r\n");
}

/// A frame as nodes send it to each other, behind its length.
std::string lengthPrefix(size_t Bytes) {
  std::string Out;
  for (int I = 0; I < 4; ++I)
    Out += static_cast<char>(Bytes >> (8 * I));
  return Out;
}

std::string frame(const wire::CallFrameT &Of) {
  std::string Bytes = encodeFrame(Of);
  return lengthPrefix(Bytes.size()) + Bytes;
}

/// What an entry sends to a gate: its greeting, and calls with large answers.
std::string openLargeCalls(unsigned Client) {
  constexpr unsigned Count = 1000;
  constexpr size_t AnswerBytes = 1000000;
  uint64_t Incarnation = 4711 + Client;
  constexpr uint32_t BudgetMs = 60000;
  wire::CallHelloT Hello;
  Hello.node = "nobody";
  Hello.incarnation = Incarnation;
  std::string Out = "D" + frame(makeCallFrame(std::move(Hello)));
  for (unsigned I = 1; I <= Count; ++I) {
    wire::OpenT Open;
    Open.entry = Incarnation;
    Open.seq = I;
    Open.service = "portal";
    Open.method = "GET";
    Open.path = absl::StrCat("/p/", I, "?size=", AnswerBytes);
    Open.route = "p";
    Open.idempotent = true;
    Open.headers.push_back(std::make_unique<wire::HeaderT>());
    Open.headers.back()->name = "Host";
    Open.headers.back()->value = "x";
    Open.budget_ms = Open.target_ms = BudgetMs;
    Out += frame(makeCallFrame(std::move(Open)));
  }
  return Out;
}

const std::string TrailerField = "A: " + std::string(KiB - 5, 'b') + "\r\n";
const std::string SmallestChunks = [] {
  std::string Out;
  for (size_t I = 0; I < KiB; ++I)
    Out += "1\r\nx\r\n";
  return Out;
}();
const std::string LargeField = "A: " + std::string(60000, 'b') + "\r\n";

// The sizes are legal by the records that the nodes hold: a body may have
// 64 MiB, a head as many bytes as the row says.
const std::vector<CrowdCase> Crowds = {
    {.Name = "whole-bodies",
     .Guards = "bodies that are all complete at once fill the memory",
     .Clients = 400,
     .Begin = post("/p/1", 512 * KiB),
     .Piece = std::string(KiB, 'x'),
     .Repeats = 512},
    {.Name = "bodies-short-of-their-end",
     .Guards = "bodies that lack their last byte are kept until their deadline",
     .Clients = 400,
     .Begin = post("/p/1", 512 * KiB + 1),
     .Piece = std::string(KiB, 'x'),
     .Repeats = 512},
    {.Name = "gathered-bodies-short-of-their-end",
     .Guards = "bodies that are read before their call is sent are kept",
     .Clients = 400,
     .Begin = post("/p/1", 512 * KiB),
     .Piece = std::string(KiB, 'x'),
     .Repeats = 511},
    {.Name = "bodies-piece-by-piece",
     .Guards = "the same, where every client moves all the time",
     .Clients = 400,
     .Begin = post("/p/1", 512 * KiB),
     .Piece = std::string(KiB, 'x'),
     .Repeats = 511,
     .TurnBytes = KiB},
    {.Name = "crowds-one-after-the-other",
     .Guards = "memory that a crowd has left behind is missing for the next",
     .Clients = 250,
     .Begin = post("/p/1", 512 * KiB),
     .Piece = std::string(KiB, 'x'),
     .Repeats = 511,
     .Waves = 3},
    {.Name = "chunks-of-one-byte",
     .Guards = "bodies in the smallest pieces keep the node busy",
     .Clients = 60,
     .Begin = chunkedPost("/p/1"),
     .Piece = SmallestChunks,
     .Repeats = 400,
     .Returns = 20},
    {.Name = "small-requests-without-end",
     .Guards = "records of refused calls fill the gate, and shut it for others",
     .Clients = 100,
     .Piece = post("/p/1?ms=200", 0),
     .Repeats = 2000},
    {.Name = "unfinished-bodies-hold-slots",
     .Guards = "calls whose bodies stop hold every slot of the upstream",
     .Clients = 40,
     .Begin = chunkedPost("/p/1"),
     .Piece = chunk(KiB),
     .Repeats = 4},
    {.Name = "long-unfinished-bodies-hold-slots",
     .Guards = "the same with bodies too long to be gathered",
     .Clients = 40,
     .Begin = post("/p/1", 4 * MiB),
     .Piece = std::string(KiB, 'x'),
     .Repeats = 3 * KiB},
    {.Name = "body-of-a-call-that-may-repeat",
     .Guards =
         "a body that may be sent again is kept whole, however long it is",
     .Clients = 4,
     .Begin = chunkedPost("/safe/1"),
     .Piece = chunk(64 * KiB),
     .Repeats = 900},
    {.Name = "trailers-short-of-their-end",
     .Guards = "trailers that never end are kept",
     .Clients = 200,
     .Begin = chunkedPost("/p/1") + "1\r\nx\r\n0\r\n",
     .Piece = TrailerField,
     .Repeats = KiB - 1,
     .Returns = 20,
     .HeaderBytes = MiB,
     .Slots = 250},
    {.Name = "trailers-without-end",
     .Guards = "trailers beyond the limit of a head keep the node busy",
     .Clients = 50,
     .Begin = chunkedPost("/p/1") + "1\r\nx\r\n0\r\n",
     .Piece = TrailerField,
     .Repeats = 8 * KiB,
     .Returns = 3},
    {.Name = "heads-short-of-their-end",
     .Guards = "heads that never end are kept",
     .Clients = 1500,
     .Begin = "GET /p/1 HTTP/1.1\r\nHost: x\r\n",
     .Piece = TrailerField,
     .Repeats = 250,
     .HeaderBytes = MiB},
    {.Name = "heads-of-ended-calls",
     .Guards = "heads of calls that have ended are kept with their records",
     .Clients = 40,
     .Piece = get("/p/1", LargeField),
     .Repeats = 100,
     .TurnBytes = 60 * KiB},
    {.Name = "answers-unread",
     .Guards =
         "answers to pipelined requests wait for a caller that reads none",
     .Clients = 150,
     .Piece = get("/p/1?size=1000000"),
     .Repeats = 16,
     .TurnBytes = 60,
     .TurnPause = Millis(100),
     .Reads = false},
    {.Name = "unread-answers-hold-slots",
     .Guards = "calls whose callers do not read hold every slot",
     .Clients = 40,
     .Begin = get("/p/1?size=20000000"),
     .Reads = false},
    {.Name = "idle-connections",
     .Guards = "callers that send nothing take all connections",
     .Clients = 2200},
    {.Name = "connections-above-the-descriptors",
     .Guards = "callers take all descriptors of the process",
     .Clients = 500,
     .Begin = "GET /p/1 HTTP/1.1\r\n",
     .MaxDescriptors = FewDescriptors},
    {.Name = "peer-connections-above-the-descriptors",
     .Guards = "connections at the peers' port take all descriptors",
     .Clients = 500,
     .Node = UpstreamNode,
     .At = Door::Peers,
     .MaxDescriptors = FewDescriptors},
    {.Name = "peer-frames-short-of-their-end",
     .Guards = "frames that never end are kept",
     .Clients = 100,
     .Node = UpstreamNode,
     .At = Door::Peers,
     .Begin = "D" + lengthPrefix(2 * MiB),
     .Piece = std::string(KiB, 'x'),
     .Repeats = 2 * KiB - 1},
    {.Name = "peer-answers-unread",
     .Guards = "answers wait for a peer that reads none",
     .Clients = 4,
     .Node = UpstreamNode,
     .At = Door::Peers,
     .BeginOf = openLargeCalls,
     .TurnBytes = 256,
     .TurnPause = Millis(5),
     .Reads = false},
    {.Name = "operator-body",
     .Guards = "the body of a request to the operator's port is kept whole",
     .At = Door::Operator,
     .Begin = post("/status", 256 * MiB),
     .Piece = std::string(KiB, 'x'),
     .Repeats = 200 * KiB},
    {.Name = "operator-connections-above-the-descriptors",
     .Guards = "connections at the operator's port take all descriptors",
     .Clients = 500,
     .At = Door::Operator,
     .MaxDescriptors = FewDescriptors},
    {.Name = "refused-again-and-again",
     .Guards = "callers that come back at once keep others out",
     .Clients = 100,
     .Begin = post("/p/1", 65 * MiB),
     .Piece = std::string(KiB, 'x'),
     .Repeats = 64,
     .Returns = 50},
};

/// One connection of a crowd.
class Client {
public:
  Client(const CrowdCase &Of, unsigned Number)
      : Of(Of), Begin(Of.BeginOf ? Of.BeginOf(Number) : Of.Begin),
        Returns(Of.Returns) {}
  ~Client() { this->close(); }
  Client(Client &&Other) noexcept
      : Of(Other.Of), Begin(std::move(Other.Begin)),
        Fd(std::exchange(Other.Fd, -1)), Sent(Other.Sent),
        Returns(Other.Returns) {}
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;
  Client &operator=(Client &&) = delete;

  void dial(const NetAddress &To) {
    this->close();
    this->Sent = 0;
    this->Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!this->Of.Reads)
      setsockopt(this->Fd, SOL_SOCKET, SO_RCVBUF, &SmallReceiveBuffer,
                 sizeof(SmallReceiveBuffer));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(To.Port);
    inet_pton(AF_INET, To.Ip.c_str(), &Address.sin_addr);
    // Goes on by itself; what becomes of it shows when it is used.
    static_cast<void>(connect(this->Fd, reinterpret_cast<sockaddr *>(&Address),
                              sizeof(Address)));
  }

  /// Sends what it may in one turn. Returns whether anything happened.
  bool turn(const NetAddress &To) {
    if (this->Fd < 0)
      return false;
    bool Open = !this->Of.Reads || this->readAll();
    ssize_t Went = Open ? this->sendSome() : -1;
    Open = Open && (Went >= 0 || errno == EAGAIN || errno == ENOTCONN);
    if (Open)
      return Went > 0;
    this->close();
    if (this->Returns == 0)
      return true;
    --this->Returns;
    this->dial(To);
    return true;
  }
  /// Whether the connection is still to be made.
  bool isConnecting() const {
    sockaddr_in Peer{};
    socklen_t Size = sizeof(Peer);
    return this->Fd >= 0 &&
           getpeername(this->Fd, reinterpret_cast<sockaddr *>(&Peer), &Size) !=
               0;
  }

private:
  size_t total() const {
    return this->Begin.size() + this->Of.Piece.size() * this->Of.Repeats +
           this->Of.End.size();
  }

  // The bytes from an offset on, up to the end of their part.
  std::string_view partAt(size_t Offset) const {
    if (Offset < this->Begin.size())
      return std::string_view(this->Begin).substr(Offset);
    Offset -= this->Begin.size();
    size_t Pieces = this->Of.Piece.size() * this->Of.Repeats;
    if (Offset < Pieces)
      return std::string_view(this->Of.Piece)
          .substr(Offset % this->Of.Piece.size());
    return std::string_view(this->Of.End).substr(Offset - Pieces);
  }

  ssize_t sendSome() {
    std::string Bytes;
    while (Bytes.size() < this->Of.TurnBytes &&
           this->Sent + Bytes.size() < this->total())
      Bytes += this->partAt(this->Sent + Bytes.size())
                   .substr(0, this->Of.TurnBytes - Bytes.size());
    if (Bytes.empty())
      return 0;
    ssize_t Went = send(this->Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    this->Sent += static_cast<size_t>(std::max<ssize_t>(0, Went));
    return Went;
  }

  // False once the connection has ended.
  bool readAll() const {
    static char Buffer[64 * KiB];
    ssize_t Got = 0;
    do
      Got = recv(this->Fd, Buffer, sizeof(Buffer), 0);
    while (Got > 0);
    return Got < 0 && (errno == EAGAIN || errno == ENOTCONN);
  }

  void close() {
    if (this->Fd >= 0)
      ::close(std::exchange(this->Fd, -1));
  }

  const CrowdCase &Of;
  std::string Begin;
  int Fd = -1;
  size_t Sent = 0;
  unsigned Returns;
};

class CrowdRun {
public:
  explicit CrowdRun(const CrowdCase &Of) : Of(Of), All(options(Of)) {}

  /// What did not hold; empty if the row passed.
  std::vector<std::string> run() {
    if (!this->start())
      return {"the fleet did not start"};
    for (unsigned I = 0; I <= this->Of.Waves; ++I) {
      this->Clients.clear();
      this->assault();
    }
    bool Answered = this->All.waitFor([this] { return this->askCalmly(); });
    this->expect(Answered, "an ordinary request got no answer");
    this->checkNodes();
    if (absl::GetFlag(FLAGS_afterwards))
      this->reportAfterwards();
    this->checkStop();
    if (!this->Failures.empty() && !absl::GetFlag(FLAGS_logs).empty())
      this->All.keepLogs(absl::GetFlag(FLAGS_logs) + "/" + this->Of.Name);
    return this->Failures;
  }

  std::string summary() const { return this->Summary; }

private:
  static harness::Fleet::Options options(const CrowdCase &Of) {
    harness::Fleet::Options Out;
    // The sizes of the users' deployment.
    Out.Settings = R"("calls":{"gather_bytes":524288,"window_bytes":1048576},)"
                   R"("stop":{"within_ms":3000})";
    Out.UpstreamFlags = {absl::StrCat("--slots=", Of.Slots)};
    Out.Patience = Patience;
    Out.MaxDescriptors = Of.MaxDescriptors;
    Out.MaxDataBytes = MaxDataBytes;
    return Out;
  }

  void expect(bool Holds, const std::string &Failure) {
    if (!Holds)
      this->Failures.push_back(Failure);
  }

  // Deadlines and timeouts are longer than the test waits, so that none of them
  // ends what the crowd does.
  bool start() {
    this->All.addNode(CallerNode, "north", "door");
    this->All.addNode(UpstreamNode, "north", "portal");
    std::string Records = absl::StrCat(
        R"([{"kind":"service","name":"door","schema":1},)",
        R"({"kind":"service","name":"portal","schema":1,"slots":)",
        this->Of.Slots, R"(,"connections":)", 2 * this->Of.Slots, "},",
        R"({"kind":"route","name":"p","schema":1,"match":{"prefix":"/p"},)",
        R"("service":"portal","timeout_ms":90000},)",
        R"({"kind":"route","name":"safe","schema":3,)",
        R"("match":{"prefix":"/safe"},"service":"portal",)",
        R"("timeout_ms":90000,"idempotent":true},)",
        R"({"kind":"bounds","name":"callers","schema":1,"header_bytes":)",
        this->Of.HeaderBytes,
        R"(,"body_bytes":67108864,"header_timeout_ms":90000,)",
        R"("idle_timeout_ms":90000}])");
    return this->All.startAll() && this->All.publish(1, Records) &&
           this->All.waitFor([this] {
             return this->All.status(CallerNode)["ready"].asBool() &&
                    this->All.status(UpstreamNode)["ready"].asBool();
           });
  }

  NetAddress door() {
    const harness::Fleet::Node &Target = this->All.node(this->Of.Node);
    return *parseAddress(this->Of.At == Door::Callers ? Target.Callers
                         : this->Of.At == Door::Peers ? Target.Peers
                                                      : Target.Operator);
  }

  // Ends when all have sent what they have to, or nobody gets on any more.
  void assault() {
    NetAddress To = this->door();
    for (unsigned I = 0; I < this->Of.Clients; ++I) {
      this->Clients.emplace_back(this->Of, I);
      this->Clients.back().dial(To);
      // More at once than a listener's queue holds would be lost.
      if (I % DialsAtOnce == 0)
        this->All.runFor(Millis(2));
    }
    TimePoint GiveUp = Clock::now() + LongestAssault;
    TimePoint MovedAt = Clock::now();
    size_t Accepted = 0;
    while (Clock::now() < GiveUp && Clock::now() - MovedAt < StuckAfter) {
      // What the kernel has taken may still wait to be accepted by the node.
      size_t Open = this->All.descriptors(this->Of.Node);
      bool Moved = std::exchange(Accepted, Open) != Open;
      for (Client &One : this->Clients)
        Moved = One.turn(To) || One.isConnecting() || Moved;
      if (Moved)
        MovedAt = Clock::now();
      this->All.runFor(Moved ? this->Of.TurnPause : Millis(10));
    }
  }

  // An ordinary caller: a connection of its own, one small request, and again
  // if it is refused.
  bool askCalmly() {
    for (Client &One : this->Clients)
      One.turn(this->door());
    std::string Answer =
        this->exchange(get("/p/calm?size=1000", "Connection: close\r\n"));
    bool Whole = Answer.rfind("HTTP/1.1 200 ", 0) == 0 &&
                 Answer.size() > Answer.find("\r\n\r\n") + 4 + 999;
    if (!Whole)
      this->All.runFor(CalmRetryPause);
    return Whole;
  }

  std::string exchange(const std::string &Request) {
    NetAddress To = *parseAddress(this->All.node(CallerNode).Callers);
    int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval Limit{2, 0};
    setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    setsockopt(Fd, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(To.Port);
    inet_pton(AF_INET, To.Ip.c_str(), &Address.sin_addr);
    std::string Got;
    bool Sent = connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                        sizeof(Address)) == 0 &&
                send(Fd, Request.data(), Request.size(), MSG_NOSIGNAL) > 0;
    char Buffer[4096];
    ssize_t Size = 0;
    while (Sent && (Size = recv(Fd, Buffer, sizeof(Buffer), 0)) > 0)
      Got.append(Buffer, static_cast<size_t>(Size));
    ::close(Fd);
    return Got;
  }

  void checkNodes() {
    for (const char *Name : {CallerNode, UpstreamNode}) {
      bool Lives = !this->All.exited(Name);
      this->expect(Lives, absl::StrCat(Name, " has ended"));
      if (!Lives)
        continue;
      uint64_t Memory = this->All.memoryKiB(Name, "VmHWM");
      size_t Descriptors = this->All.descriptors(Name);
      this->Summary += absl::StrCat(" ", Name, ": ", Memory, " KiB, ",
                                    Descriptors, " descriptors;");
      this->expect(Memory <= MaxMemoryKiB,
                   absl::StrCat(Name, " has used ", Memory, " KiB"));
      uint64_t Limit = this->Of.MaxDescriptors;
      this->expect(Limit == 0 || Descriptors + ReservedDescriptors <= Limit,
                   absl::StrCat(Name, " has ", Descriptors, " descriptors"));
      bool Told =
          this->All.waitFor([&] { return this->All.version(Name) == 1; });
      this->expect(Told, absl::StrCat(Name, " does not answer its operator"));
    }
  }

  // Memory that the process has, and what of it is held for others.
  void reportAfterwards() {
    this->Clients.clear();
    this->All.runFor(LeavingTime);
    for (const char *Name : {CallerNode, UpstreamNode})
      this->Summary +=
          absl::StrCat(" afterwards ", Name, ": ",
                       this->All.memoryKiB(Name, "VmRSS"), " KiB, ",
                       static_cast<uint64_t>(
                           this->All.metric(Name, "hickorylift_held_bytes")) /
                           KiB,
                       " KiB held;");
  }

  void checkStop() {
    for (const char *Name : {CallerNode, UpstreamNode}) {
      if (this->All.exited(Name))
        continue;
      this->All.signal(Name, SIGTERM);
      bool Ended =
          this->All.waitFor([&] { return this->All.exited(Name).has_value(); });
      this->expect(Ended && this->All.exited(Name) == 0,
                   absl::StrCat(Name, " did not stop in order"));
    }
  }

  const CrowdCase &Of;
  harness::Fleet All;
  std::vector<Client> Clients;
  std::vector<std::string> Failures;
  std::string Summary;
};

bool play(const CrowdCase &Of) {
  CrowdRun Run(Of);
  std::vector<std::string> Failures = Run.run();
  std::cout << Of.Name << ":" << Run.summary()
            << (Failures.empty() ? " passed" : " FAILED") << "\n";
  for (const std::string &One : Failures)
    std::cout << "  " << One << "\n";
  if (!Failures.empty())
    std::cout << "  guards against: " << Of.Guards << "\n";
  std::cout.flush();
  return Failures.empty();
}

} // namespace

} // namespace hickorylift

int main(int Argc, char **Argv) {
  using namespace hickorylift;
  absl::ParseCommandLine(Argc, Argv);
  std::signal(SIGPIPE, SIG_IGN);
  return playRows(Crowds, absl::GetFlag(FLAGS_crowd), absl::GetFlag(FLAGS_list),
                  play);
}
