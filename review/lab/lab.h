// Stand-ins for the scripts of this review: the platform's store, backends and
// clients, as PROTOCOL.md describes them, and a starter for the nodes. Blocking
// sockets, one thread for each connection.
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace lab {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point Begin = Clock::now();
inline double now() {
  return std::chrono::duration<double>(Clock::now() - Begin).count();
}
inline void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}
inline bool trouble() {
  const char *Set = std::getenv("TROUBLE");
  return !Set || std::string(Set) != "0";
}

// ---- the record -----------------------------------------------------------
inline std::mutex RecordLock;
inline std::ofstream RecordFile;
inline void record(const std::string &Line, bool Show = false) {
  std::lock_guard<std::mutex> Hold(RecordLock);
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f  ", now());
  RecordFile << Time << Line << "\n" << std::flush;
  if (Show)
    std::cout << Time << Line << std::endl;
}

// ---- sockets --------------------------------------------------------------
inline sockaddr_in address(const std::string &Ip, int Port) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Out.sin_addr);
  return Out;
}
inline int listenOn(const std::string &Ip, int Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in At = address(Ip, Port);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&At), sizeof(At)) != 0 ||
      listen(Fd, 512) != 0) {
    close(Fd);
    return -1;
  }
  return Fd;
}
inline int dial(const std::string &Ip, int Port, int ReceiveBuffer = 0) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), On = 1;
  if (ReceiveBuffer)
    setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
               sizeof(ReceiveBuffer));
  sockaddr_in To = address(Ip, Port);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
    close(Fd);
    return -1;
  }
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Fd;
}
inline bool sendAll(int Fd, const std::string &Bytes) {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Went =
        ::send(Fd, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Went <= 0)
      return false;
    Sent += static_cast<size_t>(Went);
  }
  return true;
}
// Reads more into Buffer. 1: read, 0: the other end closed or reset, -1: late.
inline int readMore(int Fd, std::string &Buffer, double Until) {
  while (true) {
    int Left = static_cast<int>((Until - now()) * 1000);
    if (Left <= 0)
      return -1;
    pollfd Wait{Fd, POLLIN, 0};
    int Ready = poll(&Wait, 1, Left);
    if (Ready < 0 && errno == EINTR)
      continue;
    if (Ready == 0)
      return -1;
    char Bytes[65536];
    ssize_t Got = recv(Fd, Bytes, sizeof(Bytes), 0);
    if (Got <= 0)
      return 0;
    Buffer.append(Bytes, static_cast<size_t>(Got));
    return 1;
  }
}
// Whether the other end has closed or reset the connection.
inline bool ended(int Fd) {
  char Byte;
  ssize_t Got = recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 || (Got < 0 && errno != EAGAIN && errno != EINTR);
}

struct Message {
  std::string First;
  std::map<std::string, std::string> Fields; // names in lower case
  std::string Body;
  std::string field(const std::string &Name) const {
    auto Found = Fields.find(Name);
    return Found == Fields.end() ? "" : Found->second;
  }
  int status() const { return First.size() > 12 ? std::atoi(&First[9]) : 0; }
};
// 1: a whole message, 0: the connection ended before, -1: late.
inline int readMessage(int Fd, std::string &Buffer, Message &Out, double Until,
                       size_t MostBody = SIZE_MAX) {
  size_t End;
  while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (int Got = readMore(Fd, Buffer, Until); Got <= 0)
      return Got;
  Out = Message();
  std::istringstream Head(Buffer.substr(0, End));
  std::getline(Head, Out.First);
  if (!Out.First.empty() && Out.First.back() == '\r')
    Out.First.pop_back();
  for (std::string Line; std::getline(Head, Line);) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon), Value = Line.substr(Colon + 1);
    for (char &C : Name)
      C = static_cast<char>(std::tolower(C));
    Value.erase(0, Value.find_first_not_of(' '));
    Out.Fields[Name] = Value;
  }
  Buffer.erase(0, End + 4);
  if (Out.field("transfer-encoding") == "chunked") {
    while (true) {
      size_t Line;
      while ((Line = Buffer.find("\r\n")) == std::string::npos)
        if (int Got = readMore(Fd, Buffer, Until); Got <= 0)
          return Got;
      size_t Size = std::strtoul(Buffer.c_str(), nullptr, 16);
      while (Buffer.size() < Line + 2 + Size + 2)
        if (int Got = readMore(Fd, Buffer, Until); Got <= 0)
          return Got;
      Out.Body.append(Buffer, Line + 2, Size);
      Buffer.erase(0, Line + 2 + Size + 2);
      if (Size == 0)
        return 1;
    }
  }
  size_t Length =
      std::strtoul(Out.field("content-length").c_str(), nullptr, 10);
  Length = std::min(Length, MostBody);
  while (Buffer.size() < Length)
    if (int Got = readMore(Fd, Buffer, Until); Got <= 0)
      return Got;
  Out.Body = Buffer.substr(0, Length);
  Buffer.erase(0, Length);
  return 1;
}

inline std::string base64(const std::string &In) {
  static const char Set[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t I = 0; I < In.size(); I += 3) {
    unsigned V = 0;
    for (size_t K = 0; K < 3; ++K)
      V = V << 8 |
          (I + K < In.size() ? static_cast<unsigned char>(In[I + K]) : 0);
    for (size_t K = 0; K < 4; ++K)
      Out += I + K <= In.size() ? Set[V >> (18 - 6 * K) & 63] : '=';
  }
  return Out;
}

// Serves each connection of a listening socket in a thread of its own.
inline void acceptAll(int Fd, std::function<void(int)> Serve) {
  std::thread([Fd, Serve] {
    while (true) {
      int New = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (New < 0)
        return;
      int On = 1;
      setsockopt(New, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([New, Serve] { Serve(New); }).detach();
    }
  }).detach();
}

// ---- the platform's store -------------------------------------------------
class Store {
public:
  bool start(const std::string &Ip, int Port) {
    int Fd = listenOn(Ip, Port);
    if (Fd < 0)
      return false;
    acceptAll(Fd, [this, Ip](int New) { this->serve(New, Ip); });
    return true;
  }
  // Turns away all callers at these addresses of the store with 429.
  void turnAway(const std::set<std::string> &Ips) {
    std::lock_guard<std::mutex> Hold(Lock);
    TurnedAway = Ips;
    Changed.notify_all();
  }
  // The addresses at which the store was called since then.
  std::map<std::string, double> calledSince(double Since) {
    std::lock_guard<std::mutex> Hold(Lock);
    std::map<std::string, double> Out;
    for (const auto &[Ip, At] : LastCall)
      if (At >= Since)
        Out[Ip] = At;
    return Out;
  }
  std::map<std::string, int> refusals() {
    std::lock_guard<std::mutex> Hold(Lock);
    return Refused;
  }
  void put(const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Hold(Lock);
    ++Revision;
    uint64_t Created = Items.count(Key) ? Items[Key].first : Revision;
    std::string Text = "{\"key\":\"" + Key + "\",\"value\":\"" + base64(Value) +
                       "\",\"revision\":" + std::to_string(Revision) +
                       ",\"created\":" + std::to_string(Created) +
                       ",\"lease_id\":0}";
    Items[Key] = {Created, Text};
    Events.push_back({Revision, Key, Text});
    Changed.notify_all();
  }
  void remove(const std::string &Key) {
    std::lock_guard<std::mutex> Hold(Lock);
    ++Revision;
    Items.erase(Key);
    Events.push_back({Revision, Key,
                      "{\"key\":\"" + Key + "\",\"revision\":" +
                          std::to_string(Revision) + ",\"deleted\":true}"});
    Changed.notify_all();
  }
  // Closes the connections of all watches that wait at this moment.
  void cutWaitingWatches() {
    std::lock_guard<std::mutex> Hold(Lock);
    ++Cuts;
    Changed.notify_all();
  }
  std::atomic<int> WatchesCut{0};

private:
  struct Event {
    uint64_t Revision;
    std::string Key, Text;
  };
  static std::string query(const std::string &Path, const std::string &Name) {
    size_t At = Path.find(Name + "=");
    if (At == std::string::npos)
      return "";
    At += Name.size() + 1;
    std::string Raw = Path.substr(At, Path.find('&', At) - At), Out;
    for (size_t I = 0; I < Raw.size(); ++I)
      if (Raw[I] == '%' && I + 2 < Raw.size()) {
        Out += static_cast<char>(std::stoi(Raw.substr(I + 1, 2), nullptr, 16));
        I += 2;
      } else
        Out += Raw[I];
    return Out;
  }
  bool turnsAway(const std::string &Ip) {
    std::lock_guard<std::mutex> Hold(Lock);
    LastCall[Ip] = now();
    if (!TurnedAway.count(Ip))
      return false;
    ++Refused[Ip];
    return true;
  }
  void serve(int Fd, const std::string &Ip) {
    const std::string Refusal =
        "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n";
    std::string Buffer;
    Message Asked;
    while (readMessage(Fd, Buffer, Asked, now() + 3600) == 1) {
      if (this->turnsAway(Ip)) {
        if (!sendAll(Fd, Refusal))
          break;
        continue;
      }
      bool Refuses = false;
      std::string Path = Asked.First.substr(4, Asked.First.rfind(' ') - 4);
      std::string Prefix = query(Path, "prefix"), Body;
      if (Path.find("kv-range") != std::string::npos) {
        std::lock_guard<std::mutex> Hold(Lock);
        std::string After = query(Path, "after");
        for (const auto &[Key, Item] : Items)
          if (Key.rfind(Prefix, 0) == 0 && Key > After)
            Body += (Body.empty() ? "" : ",") + Item.second;
        Body = "{\"items\":[" + Body +
               "],\"has_more\":false,\"at\":" + std::to_string(Revision) + "}";
      } else {
        uint64_t After =
            std::strtoull(query(Path, "after").c_str(), nullptr, 10);
        auto Until = Clock::now() + std::chrono::milliseconds(std::atoi(
                                        query(Path, "wait_ms").c_str()));
        std::unique_lock<std::mutex> Hold(Lock);
        uint64_t CutsBefore = Cuts;
        while (true) {
          Body.clear();
          for (const Event &One : Events)
            if (One.Revision > After && One.Key.rfind(Prefix, 0) == 0)
              Body += (Body.empty() ? "" : ",") + One.Text;
          if (!Body.empty() || Clock::now() >= Until)
            break;
          if (Cuts != CutsBefore) {
            ++WatchesCut;
            close(Fd);
            return;
          }
          if (TurnedAway.count(Ip)) {
            ++Refused[Ip];
            Refuses = true;
            break;
          }
          Changed.wait_until(Hold, Until);
          LastCall[Ip] = now();
        }
        Body = "{\"events\":[" + Body + "],\"at\":" + std::to_string(Revision) +
               "}";
      }
      if (Refuses) {
        if (!sendAll(Fd, Refusal))
          break;
        continue;
      }
      if (!sendAll(Fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body))
        break;
    }
    close(Fd);
  }
  std::mutex Lock;
  std::condition_variable Changed;
  uint64_t Revision = 100, Cuts = 0;
  std::map<std::string, std::pair<uint64_t, std::string>> Items;
  std::vector<Event> Events;
  std::set<std::string> TurnedAway;
  std::map<std::string, double> LastCall;
  std::map<std::string, int> Refused;
};

// ---- a backend --------------------------------------------------------------
class Backend {
public:
  std::string Ip, Id, Service, Zone;
  int Port = 0;
  std::function<int(const std::string &Path)> WorkMs = [](const std::string &) {
    return 20;
  };
  std::function<size_t(const std::string &Path)> AnswerBytes =
      [](const std::string &) { return size_t(100); };
  struct Run {
    double At, EndedAt;
    std::string RequestId, Path, End;
  };
  std::mutex Lock;
  std::vector<Run> Runs;

  bool start() {
    ListenFd = listenOn(Ip, Port);
    if (ListenFd < 0)
      return false;
    acceptAll(ListenFd, [this](int New) { this->serve(New); });
    return true;
  }
  // The process ends: its port and all its connections close.
  void exit() {
    std::lock_guard<std::mutex> Hold(Lock);
    Gone = true;
    shutdown(ListenFd, SHUT_RDWR);
    close(ListenFd);
    for (int Fd : Open)
      shutdown(Fd, SHUT_RDWR);
  }
  // Until then the backend is cold.
  std::atomic<double> ColdUntil{0};
  int coldMs() const {
    return std::max(0, static_cast<int>((ColdUntil - now()) * 1000));
  }
  // Called as a request arrives; false if the backend crashes at it.
  std::function<bool()> Arrived = [] { return true; };
  // The process ends at once and is there again after so long.
  void crash(double Seconds) {
    {
      std::lock_guard<std::mutex> Hold(Lock);
      shutdown(ListenFd, SHUT_RDWR);
      close(ListenFd);
      for (int Fd : Open)
        shutdown(Fd, SHUT_RDWR);
    }
    std::thread([this, Seconds] {
      sleepFor(Seconds);
      this->start();
    }).detach();
  }
  std::string entry(const std::string &State, int Sequence) const {
    return "{\"address\":\"" + Ip + ":" + std::to_string(Port) +
           "\",\"info\":{\"service\":\"" + Service +
           "\",\"version\":\"v1\",\"zone\":\"" + Zone +
           "\",\"slots\":9},\"status\":{\"state\":\"" + State +
           "\",\"sequence\":" + std::to_string(Sequence) + ",\"cold_left\":\"" +
           std::to_string(this->coldMs()) + "ms\"}}";
  }

private:
  void serve(int Fd) {
    {
      std::lock_guard<std::mutex> Hold(Lock);
      if (Gone) {
        close(Fd);
        return;
      }
      Open.insert(Fd);
    }
    std::string Buffer;
    Message Asked;
    while (readMessage(Fd, Buffer, Asked, now() + 3600) == 1 &&
           this->answer(Fd, Asked))
      ;
    std::lock_guard<std::mutex> Hold(Lock);
    Open.erase(Fd);
    close(Fd);
  }
  bool answer(int Fd, const Message &Asked) {
    size_t Space = Asked.First.find(' ');
    std::string Path =
        Asked.First.substr(Space + 1, Asked.First.rfind(' ') - Space - 1);
    std::string RequestId = Asked.field("hickorylift-attempt-id");
    std::string Common = "Hickorylift-Attempt-Id: " + RequestId + "\r\n";
    if (Path == "/health")
      return sendAll(
          Fd, "HTTP/1.1 200 OK\r\nHickorylift-Instance-Id: " + Id +
                  "\r\nHickorylift-Cold-Ms: " + std::to_string(this->coldMs()) +
                  "\r\nContent-Length: 0\r\n\r\n");
    std::string Expected = Asked.field("hickorylift-expect-instance");
    if (!Expected.empty() && Expected != Id) {
      record("backend " + Id + " answers 421 to " + RequestId);
      return sendAll(Fd, "HTTP/1.1 421 Misdirected Request\r\n" + Common +
                             "Hickorylift-Instance-Id: " + Id +
                             "\r\nContent-Length: 0\r\n\r\n");
    }
    if (!this->Arrived())
      return false;
    if (Running.fetch_add(1) >= 9 + 9) {
      --Running;
      return sendAll(Fd, "HTTP/1.1 503 Service Unavailable\r\n" + Common +
                             "Hickorylift-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n");
    }
    size_t Mine;
    {
      std::lock_guard<std::mutex> Hold(Lock);
      Mine = Runs.size();
      Runs.push_back({now(), 0, RequestId, Path, "running"});
    }
    if (Verbose)
      record("backend " + Id + " (" + Service + ") runs " + RequestId + " " +
             Asked.First);
    double Until = now() + WorkMs(Path) / 1000.0;
    bool Cut = false;
    while (now() < Until && !Cut) {
      sleepFor(std::max(0.001, std::min(0.01, Until - now())));
      Cut = ended(Fd);
    }
    bool Whole =
        !Cut && sendAll(Fd, "HTTP/1.1 200 OK\r\n" + Common +
                                "Hickorylift-Server-Stamp: " + Id + "." +
                                std::to_string(Mine) + "\r\nContent-Length: " +
                                std::to_string(AnswerBytes(Path)) + "\r\n\r\n" +
                                std::string(AnswerBytes(Path), 'x'));
    --Running;
    {
      std::lock_guard<std::mutex> Hold(Lock);
      Runs[Mine].EndedAt = now();
      Runs[Mine].End = Whole ? "answered" : "cut";
    }
    if (Verbose)
      record("backend " + Id + " " +
             (Whole ? "has answered " : "was cut off at ") + RequestId);
    return Whole;
  }
  std::atomic<int> Running{0};
  int ListenFd = -1;
  bool Gone = false;
  std::set<int> Open;

public:
  bool Verbose = true;
};

// ---- the nodes --------------------------------------------------------------
struct Ports {
  int Callers, Ready, Peers, Operator, App, Store;
};

inline std::string readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

inline bool replaceAll(std::string &In, const std::string &What,
                       const std::string &By) {
  size_t At = 0;
  bool Found = false;
  while ((At = In.find(What, At)) != std::string::npos) {
    In.replace(At, What.size(), By);
    At += By.size();
    Found = true;
  }
  return Found;
}

class Node {
public:
  std::string Ip, Zone, Service, SettingsPath, LogPath;
  Ports At;
  // The deployment has the bounds cold_overrun, 1.5, and cold_slack, 8.
  bool LimitsCold = false;
  std::atomic<pid_t> Pid{0};

  // Fills in deploy/node.jsonc.in as DEPLOY.md says. False if it has changed so
  // that this does not know it.
  bool writeSettings(const std::string &Root, const std::string &Folder,
                     const std::vector<std::string> &Zones,
                     const std::vector<std::string> &Seeds,
                     const std::string &StoreIp) {
    std::string Text = readFile(Root + "/deploy/node.jsonc.in");
    auto List = [](const std::vector<std::string> &Of) {
      std::string Out;
      for (const std::string &One : Of)
        Out += (Out.empty() ? "\"" : ",\"") + One + "\"";
      return Out;
    };
    replaceAll(Text, "{{#zones}}\"{{@}}\"{{,}}{{/zones}}", List(Zones));
    replaceAll(Text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", List(Seeds));
    const std::string Begin = "{{#bounds.cold_overrun}}",
                      End = "{{/bounds.cold_overrun}}";
    size_t Section = Text.find(Begin);
    if (Section == std::string::npos)
      return false;
    if (LimitsCold) {
      replaceAll(Text, Begin, "");
      replaceAll(Text, End, "");
      replaceAll(Text, "{{bounds.cold_overrun}}", "1.5");
      replaceAll(Text, "{{bounds.cold_slack}}", "8.0");
    } else {
      Text.erase(Section, Text.find(End) + End.size() - Section);
    }
    auto Place = [&](int Port) { return Ip + ":" + std::to_string(Port); };
    const std::map<std::string, std::string> Values = {
        {"ip", Ip},
        {"zone", Zone},
        {"service", Service},
        {"listen.outbound", Place(At.Callers)},
        {"listen.ready", Place(At.Ready)},
        {"listen.control", Place(At.Peers)},
        {"port_range.0", std::to_string(At.Operator)},
        {"app_addr", Place(At.App)},
        {"platform.address", StoreIp + ":" + std::to_string(At.Store)},
        {"bounds.retry_budget_slack", "64"}};
    for (const auto &[Name, Value] : Values)
      replaceAll(Text, "{{" + Name + "}}", Value);
    if (Text.empty() || Text.find("{{") != std::string::npos)
      return false;
    SettingsPath = Folder + "/" + Ip + ".json";
    LogPath = Folder + "/" + Ip + ".log";
    std::ofstream(SettingsPath) << Text;
    return true;
  }
  bool start(const std::string &Root) {
    pid_t New = fork();
    if (New == 0) {
      int Log = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Log, 1);
      dup2(Log, 2);
      std::string Settings = "--settings=" + SettingsPath;
      std::string Program = Root + "/target/hickorylift";
      execl(Program.c_str(), Program.c_str(), "run", Settings.c_str(), nullptr);
      _exit(127);
    }
    Pid = New;
    return New > 0;
  }
  void signal(int Number) {
    if (Pid > 0)
      ::kill(Pid, Number);
  }
  // Waits for the end of the process. -1: late; else its wait status.
  int waitEnd(double Seconds) {
    double Until = now() + Seconds;
    int Status = 0;
    while (now() < Until) {
      if (waitpid(Pid, &Status, WNOHANG) == Pid) {
        Pid = 0;
        return Status;
      }
      sleepFor(0.01);
    }
    return -1;
  }
  void stop() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    ::kill(Pid, SIGCONT);
    this->waitEnd(5);
  }
  double residentMegabytes() const {
    std::ifstream In("/proc/" + std::to_string(Pid) + "/statm");
    double Total = 0, Resident = 0;
    In >> Total >> Resident;
    return Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  }
  bool ready() const {
    int Fd = dial(Ip, At.Ready);
    if (Fd < 0)
      return false;
    std::string Buffer;
    Message Got;
    sendAll(Fd, "GET /hickorylift/ready HTTP/1.1\r\nHost: x\r\nConnection: "
                "close\r\n\r\n");
    bool Is =
        readMessage(Fd, Buffer, Got, now() + 1) == 1 && Got.status() == 200;
    close(Fd);
    return Is;
  }
};

// ---- clients ----------------------------------------------------------------
inline std::string newId() {
  static std::mutex Lock;
  static std::mt19937_64 Random{std::random_device{}()};
  std::lock_guard<std::mutex> Hold(Lock);
  char Text[20];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Random()));
  return Text;
}
inline std::string requestText(const std::string &Method,
                               const std::string &Path,
                               const std::string &RequestId, int DeadlineMs,
                               const std::string &Body = "") {
  std::string Out =
      Method + " " + Path + " HTTP/1.1\r\nHost: shop.example\r\n" +
      "Hickorylift-Attempt-Id: " + RequestId +
      "\r\nHickorylift-Deadline-Ms: " + std::to_string(DeadlineMs) + "\r\n";
  if (Method != "GET")
    Out += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Out + "\r\n" + Body;
}
// The status; 0 if the connection ended without an answer, -1 if it is late.
inline int call(const Node &To, const std::string &Method,
                const std::string &Path, const std::string &RequestId,
                int DeadlineMs, const std::string &Body = "") {
  int Fd = dial(To.Ip, To.At.Callers);
  if (Fd < 0)
    return 0;
  std::string Buffer;
  Message Got;
  int How = sendAll(Fd, requestText(Method, Path, RequestId, DeadlineMs, Body))
                ? readMessage(Fd, Buffer, Got, now() + DeadlineMs / 1000.0 + 1)
                : 0;
  close(Fd);
  return How == 1 ? Got.status() : How;
}

// ---- a small deployment
// -------------------------------------------------------
struct Route {
  std::string Name, Prefix, Kind, Service, Timeout;
};

class Deployment {
public:
  std::string Root, Folder, Net;
  Ports At{};
  Store Platform;
  std::vector<std::unique_ptr<Backend>> Backends;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<std::string> Zones{"north", "south"};
  std::vector<Route> Routes;
  // The store has an address for each node, so that it can tell them apart.
  bool StoreForEach = false;
  bool LimitsCold = false;
  std::string storeIp(size_t Number) const {
    return Net + std::to_string(StoreForEach ? 101 + Number : 250);
  }
  std::atomic<bool> Beating{true};
  std::set<std::string> Unlisted; // ids that report no more
  std::mutex BeatLock;

  explicit Deployment(const std::string &Case) {
    std::signal(SIGPIPE, SIG_IGN);
    const char *RootSet = std::getenv("PROJECT_ROOT");
    Root = RootSet ? RootSet : ".";
    RecordFile.open(Root + "/review/" + Case + "/record.txt");
    char Template[] = "/tmp/review-XXXXXX";
    Folder = mkdtemp(Template);
    Net = "127." + std::to_string(20 + getpid() / 200 % 200) + "." +
          std::to_string(getpid() % 200 + 1) + ".";
    record("case " + Case + (trouble() ? "" : " without the disruption"), true);
  }
  ~Deployment() { this->end(); }
  void end() {
    for (auto &One : Nodes)
      One->stop();
    if (!Folder.empty()) {
      std::string Kept =
          std::getenv("KEEP_LOGS") ? "" : "rm -rf '" + Folder + "'";
      if (!Kept.empty() && std::system(Kept.c_str()) != 0)
        std::cerr << "the temporary folder is left\n";
      Folder.clear();
    }
  }
  [[noreturn]] void leave(int Code) {
    this->end();
    record(Code == 0   ? "the rule held"
           : Code == 1 ? "the rule was broken"
                       : "could not run",
           true);
    std::cout.flush();
    _exit(Code);
  }
  Backend &addBackend(const std::string &Service, const std::string &Zone) {
    auto New = std::make_unique<Backend>();
    size_t Number = Backends.size() + 1;
    New->Ip = Net + std::to_string(Number);
    New->Id = "i-" + std::to_string(1000 + Number);
    New->Service = Service;
    New->Zone = Zone;
    Backends.push_back(std::move(New));
    return *Backends.back();
  }
  Node &nodeAt(const Backend &Of) {
    for (auto &One : Nodes)
      if (One->Ip == Of.Ip)
        return *One;
    std::abort();
  }
  std::string configText(int Version) const {
    std::string Out = "{\"version\":" + std::to_string(Version) +
                      ",\"base_version\":0,\"resources\":[";
    std::set<std::string> Services;
    for (const auto &One : Backends)
      Services.insert(One->Service);
    for (const Route &One : Routes)
      Out +=
          "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"" + One.Name +
          "\"},\"spec\":{\"host\":\"shop.example\",\"prefix\":\"" + One.Prefix +
          "\",\"kind\":\"" + One.Kind + "\",\"timeout\":\"" + One.Timeout +
          "\",\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"" +
          One.Service + "\",\"max_attempts\":2}},";
    for (const std::string &One : Services)
      Out += "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"" + One +
             "\"},\"spec\":{\"health_path\":\"/health\",\"max_conns\":130" +
             (LimitsCold ? ",\"cold_per_s\":11,\"warmup\":\"3000ms\"" : "") +
             "}},";
    return Out +
           "{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{"
           "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
           "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";
  }
  // Starts all. Ends with 2 if it does not come up.
  void start() {
    if (!this->choosePorts()) {
      record("no free ports", true);
      this->leave(2);
    }
    for (size_t I = 0; I < (StoreForEach ? Backends.size() : 1); ++I)
      if (!Platform.start(storeIp(I), At.Store))
        this->leave(2);
    std::vector<std::string> Seeds;
    for (const auto &One : Backends) {
      One->Port = At.App;
      if (!One->start())
        this->leave(2);
      if (Seeds.size() < 3)
        Seeds.push_back(One->Ip + ":" + std::to_string(At.Peers));
    }
    Platform.put("op/config", this->configText(1));
    for (const auto &One : Backends) {
      auto New = std::make_unique<Node>();
      New->Ip = One->Ip;
      New->Zone = One->Zone;
      New->Service = One->Service;
      New->At = At;
      New->LimitsCold = LimitsCold;
      if (!New->writeSettings(Root, Folder, Zones, Seeds,
                              storeIp(StoreForEach ? Nodes.size() : 0))) {
        record("the settings template is not as this script knows it", true);
        this->leave(2);
      }
      New->start(Root);
      Nodes.push_back(std::move(New));
    }
    for (const auto &One : Backends)
      Platform.put("servers/" + One->Id, One->entry("ready", 1));
    // A backend reports about every heartbeat, 1500 ms, each at its own time.
    std::thread([this] {
      for (int Sequence = 2; Beating; ++Sequence)
        for (const auto &One : Backends) {
          sleepFor(1.5 / static_cast<double>(Backends.size()));
          std::lock_guard<std::mutex> Hold(BeatLock);
          if (!Unlisted.count(One->Id))
            Platform.put("servers/" + One->Id, One->entry("ready", Sequence));
        }
    }).detach();
    double Until = now() + 20;
    for (const auto &One : Nodes)
      while (!One->ready()) {
        if (now() > Until) {
          record("node " + One->Ip + " does not become ready", true);
          this->leave(2);
        }
        sleepFor(0.1);
      }
    record("all " + std::to_string(Nodes.size()) + " nodes are ready", true);
  }

private:
  bool choosePorts() {
    std::mt19937 Random{std::random_device{}()};
    for (int Try = 0; Try < 50; ++Try) {
      int Base = 20000 + static_cast<int>(Random() % 12000);
      bool Free = true;
      for (size_t Host = 0; Host <= Backends.size() && Free; ++Host)
        for (int Port = Base; Port < Base + 6 && Free; ++Port) {
          int Fd = listenOn(Host == 0 ? storeIp(0) : Net + std::to_string(Host),
                            Port);
          Free = Fd >= 0;
          if (Fd >= 0)
            close(Fd);
        }
      if (Free) {
        At = {Base, Base + 1, Base + 2, Base + 3, Base + 4, Base + 5};
        return true;
      }
    }
    return false;
  }
};

} // namespace lab

#endif
