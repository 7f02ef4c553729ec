#ifndef REVIEW_STANDIN_FIXTURE_H
#define REVIEW_STANDIN_FIXTURE_H

// Stand-ins for the cases of this review: the platform's store, a backend, and
// the start of one node with the deployment's own settings template. They do
// what PROTOCOL.md allows and no more.

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point Start = Clock::now();
inline double now() {
  return std::chrono::duration<double>(Clock::now() - Start).count();
}
inline void sleepMs(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

/// Appends lines with a time to the record of the case and to standard output.
class Record {
public:
  explicit Record(const std::string &Path) : Out(Path) {}
  void add(const std::string &Line) {
    std::lock_guard<std::mutex> Held(this->Lock);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%8.3f ", now());
    this->Out << Time << Line << std::endl;
    std::printf("%s%s\n", Time, Line.c_str());
    std::fflush(stdout);
  }

private:
  std::mutex Lock;
  std::ofstream Out;
};

inline int listenOn(const std::string &Ip, uint16_t &Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &At.sin_addr);
  socklen_t Size = sizeof(At);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&At), Size) != 0 ||
      listen(Fd, 128) != 0)
    return -1;
  getsockname(Fd, reinterpret_cast<sockaddr *>(&At), &Size);
  Port = ntohs(At.sin_port);
  return Fd;
}

/// A free port; it is free again on return.
inline uint16_t freePort() {
  uint16_t Port = 0;
  close(listenOn("127.0.0.1", Port));
  return Port;
}

inline int dial(uint16_t Port, const std::function<void(int)> &Prepare = {},
                const std::string &Ip = "127.0.0.1") {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Prepare)
    Prepare(Fd);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Port);
  inet_pton(AF_INET, Ip.c_str(), &To.sin_addr);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}

inline bool sendAll(int Fd, const std::string &Bytes) {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Went =
        send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Went <= 0)
      return false;
    Sent += static_cast<size_t>(Went);
  }
  return true;
}

/// Reads a request's or an answer's head into Head; what follows stays in
/// Rest. False if the connection ends before.
inline bool readHead(int Fd, std::string &Rest, std::string &Head) {
  size_t End;
  while ((End = Rest.find("\r\n\r\n")) == std::string::npos) {
    char Buffer[16384];
    ssize_t Got = recv(Fd, Buffer, sizeof(Buffer), 0);
    if (Got <= 0)
      return false;
    Rest.append(Buffer, static_cast<size_t>(Got));
  }
  Head = Rest.substr(0, End + 2);
  Rest.erase(0, End + 4);
  return true;
}

inline std::string field(const std::string &Head, const std::string &Name) {
  size_t At = 0;
  while ((At = Head.find("\r\n", At)) != std::string::npos) {
    At += 2;
    if (strncasecmp(Head.c_str() + At, (Name + ":").c_str(), Name.size() + 1) !=
        0)
      continue;
    size_t From = Head.find_first_not_of(" ", At + Name.size() + 1);
    return Head.substr(From, Head.find("\r\n", From) - From);
  }
  return "";
}

inline std::string base64(const std::string &Text) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t I = 0; I < Text.size(); I += 3) {
    uint32_t Three = 0;
    size_t Count = std::min<size_t>(3, Text.size() - I);
    for (size_t K = 0; K < 3; ++K)
      Three = Three << 8 |
              (K < Count ? static_cast<unsigned char>(Text[I + K]) : 0);
    for (size_t K = 0; K < 4; ++K)
      Out += K <= Count ? Digits[Three >> (18 - 6 * K) & 63] : '=';
  }
  return Out;
}

/// The platform's store: range and watch, as PROTOCOL.md has them.
class Store {
public:
  Store() {
    int Fd = listenOn("127.0.0.1", this->Port);
    std::thread([this, Fd] {
      for (int New; (New = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
        std::thread([this, New] { this->serve(New); }).detach();
    }).detach();
  }
  void put(const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Held(this->Lock);
    Item &To = this->Items[Key];
    To.Revision = ++this->Revision;
    if (!To.Created)
      To.Created = To.Revision;
    To.Value = Value;
    this->Events.push_back({To.Revision, this->json(Key, To)});
    this->Changed.notify_all();
  }
  void remove(const std::string &Key) {
    std::lock_guard<std::mutex> Held(this->Lock);
    if (this->Items.erase(Key) == 0)
      return;
    ++this->Revision;
    this->Events.push_back({this->Revision, "{\"key\":\"" + Key +
                                                "\",\"revision\":" +
                                                std::to_string(this->Revision) +
                                                ",\"deleted\":true}"});
    this->Changed.notify_all();
  }
  uint16_t port() const { return this->Port; }

private:
  struct Item {
    uint64_t Revision = 0;
    uint64_t Created = 0;
    std::string Value;
  };
  struct Event {
    uint64_t Revision;
    std::string Text;
  };

  static std::string json(const std::string &Key, const Item &Of) {
    return "{\"key\":\"" + Key + "\",\"value\":\"" + base64(Of.Value) +
           "\",\"revision\":" + std::to_string(Of.Revision) +
           ",\"created\":" + std::to_string(Of.Created) + ",\"lease_id\":0}";
  }

  static std::string query(const std::string &Path, const std::string &Name) {
    size_t At = Path.find_first_of("?");
    while (At != std::string::npos) {
      size_t Next = Path.find('&', At + 1);
      std::string One = Path.substr(At + 1, Next - At - 1);
      if (One.rfind(Name + "=", 0) == 0) {
        std::string Plain;
        for (size_t I = Name.size() + 1; I < One.size(); ++I)
          if (One[I] == '%') {
            Plain +=
                static_cast<char>(std::stoi(One.substr(I + 1, 2), nullptr, 16));
            I += 2;
          } else {
            Plain += One[I];
          }
        return Plain;
      }
      At = Next;
    }
    return "";
  }

  void serve(int Fd) {
    std::string Rest, Head;
    while (readHead(Fd, Rest, Head)) {
      std::string Path = Head.substr(4, Head.find(' ', 4) - 4);
      std::string Body = Path.rfind("/hickorylift/kv-watch", 0) == 0
                             ? this->watch(Path)
                             : this->range(Path);
      if (!sendAll(Fd, "HTTP/1.1 200 OK\r\nContent-Type: "
                       "application/json\r\nContent-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body))
        break;
    }
    close(Fd);
  }

  std::string range(const std::string &Path) {
    std::lock_guard<std::mutex> Held(this->Lock);
    std::string Prefix = query(Path, "prefix"), After = query(Path, "after");
    std::string List;
    for (const auto &[Key, One] : this->Items)
      if (Key.rfind(Prefix, 0) == 0 && Key > After)
        List += (List.empty() ? "" : ",") + json(Key, One);
    return "{\"items\":[" + List +
           "],\"has_more\":false,\"at\":" + std::to_string(this->Revision) +
           "}";
  }

  std::string watch(const std::string &Path) {
    std::unique_lock<std::mutex> Held(this->Lock);
    uint64_t After = std::stoull(query(Path, "after"));
    auto Until = Clock::now() +
                 std::chrono::milliseconds(std::stoi(query(Path, "wait_ms")));
    this->Changed.wait_until(Held, Until,
                             [&] { return this->Revision > After; });
    std::string List;
    for (const Event &One : this->Events)
      if (One.Revision > After)
        List += (List.empty() ? "" : ",") + One.Text;
    return "{\"events\":[" + List +
           "],\"at\":" + std::to_string(this->Revision) + "}";
  }

  uint16_t Port = 0;
  std::mutex Lock;
  std::condition_variable Changed;
  uint64_t Revision = 0;
  std::map<std::string, Item> Items;
  std::vector<Event> Events;
};

/// A backend that takes one request at a time on each connection. Answer gets
/// the head and returns the body, or waits first.
class Backend {
public:
  using Answer = std::function<std::string(const std::string &Head)>;
  Backend(const std::string &Ip, uint16_t At, std::string Id, Answer Of)
      : Id(std::move(Id)), Of(std::move(Of)), Port(At) {
    int Fd = listenOn(Ip, this->Port);
    std::thread([this, Fd] {
      for (int New; (New = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
        std::thread([this, New] { this->serve(New); }).detach();
    }).detach();
  }
  uint16_t port() const { return this->Port; }
  /// A new start of the backend has a new id.
  void setId(const std::string &New) {
    std::lock_guard<std::mutex> Held(this->Lock);
    this->Id = New;
  }

private:
  std::string id() {
    std::lock_guard<std::mutex> Held(this->Lock);
    return this->Id;
  }

  void serve(int Fd) {
    std::string Rest, Head;
    while (readHead(Fd, Rest, Head)) {
      std::string Id = this->id();
      if (Head.find(" /health ") != std::string::npos) {
        sendAll(Fd, "HTTP/1.1 200 OK\r\nHickorylift-Instance-Id: " + Id +
                        "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      std::string Expected = field(Head, "Hickorylift-Expect-Instance");
      if (!Expected.empty() && Expected != Id) {
        sendAll(Fd, "HTTP/1.1 421 Misdirected Request\r\n"
                    "Hickorylift-Not-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n");
        continue;
      }
      std::string Body = this->Of(Head);
      if (!sendAll(Fd, "HTTP/1.1 200 OK\r\nHickorylift-Attempt-Id: " +
                           field(Head, "Hickorylift-Attempt-Id") +
                           "\r\nHickorylift-Server-Stamp: " + Id +
                           ".1\r\nContent-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body))
        break;
    }
    close(Fd);
  }

  std::mutex Lock;
  std::string Id;
  Answer Of;
  uint16_t Port = 0;
};

/// Passes connections on, and cuts them off while it is told to: what is open
/// goes silent, and new connections are reset. With a name, only connections
/// that the node of that name has opened are cut off; a node says its name in
/// the first frame of each connection to another.
class Wire {
public:
  Wire(const std::string &Ip, uint16_t At, const std::string &ToIp, uint16_t To,
       std::string OnlyOf = "")
      : OnlyOf(std::move(OnlyOf)), Port(At) {
    int Fd = listenOn(Ip, this->Port);
    std::thread([=, this] {
      for (int New; (New = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
        std::thread([=, this] { this->open(New, ToIp, To); }).detach();
    }).detach();
  }
  uint16_t port() const { return this->Port; }
  void cut(bool Now) { this->Cut = Now; }

private:
  static void reset(int Fd) {
    linger Reset{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
    close(Fd);
  }

  // One byte tells the purpose, four the length of the first frame.
  static bool readFirstFrame(int Fd, std::string &First) {
    size_t Wanted = 5;
    while (First.size() < Wanted) {
      char Buffer[4096];
      ssize_t Got = recv(Fd, Buffer, sizeof(Buffer), 0);
      if (Got <= 0)
        return false;
      First.append(Buffer, static_cast<size_t>(Got));
      for (size_t I = 0; First.size() >= 5 && Wanted == 5 && I < 4; ++I)
        Wanted += static_cast<size_t>(static_cast<unsigned char>(First[1 + I]))
                  << (8 * I);
    }
    return true;
  }

  void open(int New, const std::string &ToIp, uint16_t To) {
    std::string First;
    bool Mine = this->OnlyOf.empty();
    if (!Mine && !readFirstFrame(New, First))
      return reset(New);
    Mine = Mine || First.find(this->OnlyOf) != std::string::npos;
    int Other = Mine && this->Cut ? -1 : dial(To, {}, ToIp);
    if (Other < 0 || !sendAll(Other, First))
      return reset(New);
    for (int Side : {New, Other}) {
      int On = 1;
      setsockopt(Side, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    }
    std::thread([=, this] { this->pass(New, Other, Mine); }).detach();
    this->pass(Other, New, Mine);
  }

  // The two sockets stay open until the process ends, as the other thread may
  // still use them.
  void pass(int From, int To, bool Mine) {
    char Buffer[65536];
    while (true) {
      ssize_t Got = recv(From, Buffer, sizeof(Buffer), 0);
      while (Mine && this->Cut)
        sleepMs(5);
      if (Got <= 0 || !sendAll(To, std::string(Buffer, Got)))
        break;
    }
    shutdown(To, SHUT_WR);
    shutdown(From, SHUT_RD);
  }

  std::string OnlyOf;
  std::atomic<bool> Cut{false};
  uint16_t Port = 0;
};

inline bool replaceAll(std::string &In, const std::string &What,
                       const std::string &With) {
  bool Found = false;
  for (size_t At; (At = In.find(What)) != std::string::npos; Found = true)
    In.replace(At, What.size(), With);
  return Found;
}

/// One node, started as the deploy file says, with its settings template.
struct Node {
  /// The address under which the node is known, and the one at which it
  /// listens for other nodes; they differ where a wire lies between.
  std::string Ip = "127.0.0.1";
  std::string ControlIp = "127.0.0.1";
  uint16_t Outbound = freePort();
  uint16_t Ready = freePort();
  uint16_t Control = freePort();
  uint16_t Operator = freePort();
  pid_t Pid = -1;

  /// False if the template holds something that this does not know.
  bool start(const std::string &Folder, const std::string &Service,
             uint16_t App, uint16_t StorePort) {
    std::ifstream In("deploy/node.jsonc.in");
    std::stringstream Read;
    Read << In.rdbuf();
    std::string Text = Read.str();
    auto Local = [this](uint16_t Port) {
      return this->Ip + ":" + std::to_string(Port);
    };
    size_t From = Text.find("{{#bounds.cold_overrun}}");
    const std::string End = "{{/bounds.cold_overrun}}";
    size_t To = Text.find(End);
    if (From != std::string::npos && To != std::string::npos)
      Text.erase(From, To + End.size() - From);
    replaceAll(Text, "{{#zones}}\"{{@}}\"{{,}}{{/zones}}", "\"zone-a\"");
    replaceAll(Text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", "");
    replaceAll(Text, "{{listen.outbound}}", Local(this->Outbound));
    replaceAll(Text, "{{listen.ready}}", Local(this->Ready));
    replaceAll(Text, "{{listen.control}}",
               this->ControlIp + ":" + std::to_string(this->Control));
    replaceAll(Text, "{{ip}}:{{port_range.0}}", Local(this->Operator));
    replaceAll(Text, "{{ip}}", this->Ip);
    replaceAll(Text, "{{zone}}", "zone-a");
    replaceAll(Text, "{{service}}", Service);
    replaceAll(Text, "{{app_addr}}", Local(App));
    replaceAll(Text, "{{platform.address}}",
               "127.0.0.1:" + std::to_string(StorePort));
    replaceAll(Text, "{{bounds.retry_budget_slack}}", "64");
    if (Text.empty() || Text.find("{{") != std::string::npos)
      return false;
    std::string Path = Folder + "/node-" + this->Ip + ".jsonc";
    std::ofstream(Path) << Text;
    this->Pid = fork();
    if (this->Pid == 0) {
      std::string Log = Folder + "/node-" + this->Ip + ".log";
      if (!freopen(Log.c_str(), "w", stdout) || dup2(1, 2) < 0)
        _exit(127);
      std::string Settings = "--settings=" + Path;
      execl("target/hickorylift", "target/hickorylift", "run", Settings.c_str(),
            static_cast<char *>(nullptr));
      _exit(127);
    }
    return this->Pid > 0;
  }

  bool waitReady(double Seconds) const {
    for (double Until = now() + Seconds; now() < Until; sleepMs(50)) {
      int Fd = dial(this->Ready, {}, this->Ip);
      if (Fd < 0)
        continue;
      std::string Rest, Head;
      bool Ok = sendAll(Fd, "GET /hickorylift/ready HTTP/1.1\r\nHost: "
                            "ready\r\n\r\n") &&
                readHead(Fd, Rest, Head) && Head.rfind("HTTP/1.1 200", 0) == 0;
      close(Fd);
      if (Ok)
        return true;
    }
    return false;
  }

  /// Ends the process with SIGKILL if it still runs.
  void end() {
    if (this->Pid <= 0)
      return;
    kill(this->Pid, SIGKILL);
    waitpid(this->Pid, nullptr, 0);
    this->Pid = -1;
  }
};

} // namespace review

#endif
