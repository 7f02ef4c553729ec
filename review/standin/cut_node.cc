#include "standin/fixture.h"

// Three nodes of one service. While node A is cut off from the store and from
// the others, the backend beside B is replaced by one beside C: that one joins,
// then B's entry is taken out of the store, and B's backend serves on for some
// seconds. After its drain time no request may reach it from B or C, which were
// in touch all the time. The cut ends, and A comes back.
//
//   cut_node CASE-FOLDER TEMPORARY-FOLDER

using namespace review;

namespace {

constexpr int Rounds = 6;
constexpr double StableSeconds = 4; // stable_window is 3 s
constexpr double CutBeforeJoin = 2.0;
constexpr double CutBeforeLeave = 3.0;
constexpr double CutSeconds = 5.0; // the site file cuts for up to 5.5 s
constexpr double DrainSeconds = 2;
constexpr double ServesOnSeconds = 8;
constexpr int Callers = 4;
constexpr int CallEveryMs = 10;
constexpr int WorkMs = 5;
enum Exit { Held = 0, Broken = 1, CouldNotRun = 2 };

void sleepUntil(double At) {
  if (At > now())
    sleepMs(static_cast<int>((At - now()) * 1000));
}

std::string entry(const std::string &Ip, uint16_t Port, int Sequence) {
  return "{\"address\":\"" + Ip + ":" + std::to_string(Port) +
         "\",\"info\":{\"service\":\"portal\",\"version\":\"v1\",\"zone\":"
         "\"zone-a\",\"slots\":9},\"status\":{\"state\":\"ready\","
         "\"sequence\":" +
         std::to_string(Sequence) + ",\"cold_left\":\"0ms\"}}";
}

const char Config[] =
    "{\"version\":1,\"resources\":[{\"resource_kind\":\"routes\",\"metadata\":"
    "{\"name\":\"r-status\"},\"spec\":{\"host\":\"status.example\",\"prefix\":"
    "\"/status/\",\"kind\":\"safe\",\"timeout\":\"1200ms\",\"target_latency\":"
    "\"300ms\",\"priority\":2,\"service\":\"portal\",\"max_attempts\":2}},"
    "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"portal\"},"
    "\"spec\":{\"health_path\":\"/health\",\"max_conns\":130,\"protocol\":"
    "\"h1\",\"tls\":false}},{\"resource_kind\":\"limits\",\"metadata\":{},"
    "\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";

// Calls node B until the end, and opens a new connection after any answer that
// closes or is not a success.
void call(const Node &B, int Number, const std::atomic<bool> &Going,
          std::atomic<int> &Sent) {
  int Fd = -1;
  std::string Rest, Head;
  for (int I = 0; Going; ++I) {
    sleepMs(CallEveryMs);
    if (Fd < 0) {
      Fd = dial(B.Outbound, {}, B.Ip);
      Rest.clear();
    }
    char Id[24];
    std::snprintf(Id, sizeof(Id), "%04x%012x", Number, I);
    bool Answered =
        Fd >= 0 &&
        sendAll(Fd, std::string("GET /status/1 HTTP/1.1\r\nHost: "
                                "status.example\r\nHickorylift-Attempt-Id: ") +
                        Id + "\r\nHickorylift-Deadline-Ms: 1200\r\n\r\n") &&
        readHead(Fd, Rest, Head);
    ++Sent;
    size_t Length =
        Answered
            ? std::strtoul(field(Head, "Content-Length").c_str(), nullptr, 10)
            : 0;
    char Buffer[4096];
    while (Answered && Rest.size() < Length) {
      ssize_t Got = recv(Fd, Buffer, sizeof(Buffer), 0);
      Answered = Got > 0;
      if (Answered)
        Rest.append(Buffer, static_cast<size_t>(Got));
    }
    if (Answered && field(Head, "Connection") != "close") {
      Rest.erase(0, Length);
      continue;
    }
    if (Fd >= 0)
      close(Fd);
    Fd = -1;
  }
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3)
    return CouldNotRun;
  signal(SIGPIPE, SIG_IGN);
  const char *Given = getenv("TROUBLE");
  bool Trouble = !Given || std::string(Given) != "0";
  Record Log(std::string(Arguments[1]) + "/record.txt");
  Log.add(std::string("start, trouble ") + (Trouble ? "on" : "off"));

  // The addresses of the machines, and those behind their wires. Ports are the
  // same on all machines.
  Node A, B, C;
  A.Ip = "127.0.71.1", A.ControlIp = "127.0.72.1";
  B.Ip = "127.0.71.2", B.ControlIp = "127.0.72.2";
  C.Ip = "127.0.71.3", C.ControlIp = "127.0.72.3";
  for (Node *One : {&B, &C}) {
    One->Outbound = A.Outbound, One->Ready = A.Ready;
    One->Control = A.Control, One->Operator = A.Operator;
  }
  uint16_t App = freePort();

  std::mutex Lock;
  double LeftAt = -1; // when the store took the entry of B's backend away
  double LatestGap = 0, FirstGap = 0;
  int AfterDrain = 0, RanAtB = 0, RoundsBroken = 0;
  Backend ServerA(A.Ip, App, "i-a", [&](const std::string &) {
    sleepMs(WorkMs);
    return std::string("a");
  });
  Backend ServerB(B.Ip, App, "i-b0", [&](const std::string &Head) {
    {
      std::lock_guard<std::mutex> Held(Lock);
      ++RanAtB;
      double Gap = LeftAt < 0 ? 0 : now() - LeftAt;
      if (Gap > DrainSeconds) {
        if (AfterDrain++ == 0)
          FirstGap = Gap;
        LatestGap = Gap;
        if (AfterDrain <= 3) {
          char Text[120];
          std::snprintf(Text, sizeof(Text),
                        "request %s reaches the backend beside B %.0f ms after "
                        "the store took its entry away",
                        field(Head, "Hickorylift-Attempt-Id").c_str(),
                        Gap * 1000);
          Log.add(Text);
        }
      }
    }
    sleepMs(WorkMs);
    return std::string("b");
  });
  Backend ServerC(C.Ip, App, "i-c0", [&](const std::string &) {
    sleepMs(WorkMs);
    return std::string("c");
  });
  Store Platform;
  Wire ToA(A.Ip, A.Control, A.ControlIp, A.Control);
  Wire ToB(B.Ip, B.Control, B.ControlIp, B.Control, A.Ip);
  Wire ToC(C.Ip, C.Control, C.ControlIp, C.Control, A.Ip);
  Wire ToStore("127.0.0.1", 0, "127.0.0.1", Platform.port());
  if (!A.start(Arguments[2], "portal", App, ToStore.port()) ||
      !B.start(Arguments[2], "portal", App, Platform.port()) ||
      !C.start(Arguments[2], "portal", App, Platform.port())) {
    Log.add("the settings template is not understood");
    A.end();
    B.end();
    return CouldNotRun;
  }
  Platform.put("op/config", Config);
  std::atomic<bool> Going{true};
  // The entries of the two backends; empty while there is none.
  std::string IdOfB = "i-b0", IdOfC;
  std::thread Beats([&] {
    for (int Sequence = 1; Going; ++Sequence) {
      Platform.put("servers/i-a", entry(A.Ip, App, Sequence));
      {
        std::lock_guard<std::mutex> Held(Lock);
        if (!IdOfB.empty())
          Platform.put("servers/" + IdOfB, entry(B.Ip, App, Sequence));
        if (!IdOfC.empty())
          Platform.put("servers/" + IdOfC, entry(C.Ip, App, Sequence));
      }
      for (int I = 0; I < 15 && Going; ++I)
        sleepMs(100);
    }
  });
  std::atomic<int> Sent{0};
  std::vector<std::thread> Clients;
  auto Finish = [&](int Code) {
    A.end();
    B.end();
    C.end();
    std::fflush(stdout);
    _exit(Code);
  };
  if (!A.waitReady(15) || !B.waitReady(15) || !C.waitReady(15)) {
    Log.add("the nodes are not ready");
    Finish(CouldNotRun);
  }
  for (int I = 0; I < Callers; ++I)
    Clients.emplace_back([&, I] { call(B, I, Going, Sent); });

  for (int Round = 1; Round <= Rounds; ++Round) {
    sleepUntil(now() + StableSeconds);
    double CutAt = now();
    if (Trouble) {
      for (Wire *One : {&ToA, &ToB, &ToC, &ToStore})
        One->cut(true);
      Log.add("round " + std::to_string(Round) + ": A is cut off");
    }
    sleepUntil(CutAt + CutBeforeJoin);
    {
      std::lock_guard<std::mutex> Held(Lock);
      IdOfC = "i-c" + std::to_string(Round);
      ServerC.setId(IdOfC);
      Platform.put("servers/" + IdOfC, entry(C.Ip, App, 1));
    }
    Log.add("round " + std::to_string(Round) + ": the backend beside C joins");
    sleepUntil(CutAt + CutBeforeLeave);
    int Before;
    {
      std::lock_guard<std::mutex> Held(Lock);
      Platform.remove("servers/" + IdOfB);
      IdOfB.clear();
      LeftAt = now();
      Before = AfterDrain;
      AfterDrain = 0;
    }
    Log.add("round " + std::to_string(Round) +
            ": the store takes the entry of the backend beside B away");
    sleepUntil(CutAt + CutSeconds);
    if (Trouble) {
      for (Wire *One : {&ToA, &ToB, &ToC, &ToStore})
        One->cut(false);
      Log.add("round " + std::to_string(Round) + ": the cut ends");
    }
    sleepUntil(LeftAt + ServesOnSeconds);
    {
      std::lock_guard<std::mutex> Held(Lock);
      char Text[160];
      std::snprintf(Text, sizeof(Text),
                    "round %d: %d requests came after the drain time, %.0f to "
                    "%.0f ms after the entry was gone",
                    Round, AfterDrain, FirstGap * 1000, LatestGap * 1000);
      Log.add(AfterDrain ? Text
                         : "round " + std::to_string(Round) +
                               ": no request came after the drain time");
      RoundsBroken += AfterDrain > 0;
      AfterDrain += Before;
      FirstGap = LatestGap = 0;
      // The next start of the backend.
      LeftAt = -1;
      IdOfB = "i-b" + std::to_string(Round);
      ServerB.setId(IdOfB);
      Platform.put("servers/" + IdOfB, entry(B.Ip, App, 1));
      Platform.remove("servers/" + IdOfC);
      IdOfC.clear();
    }
  }
  Log.add("callers sent " + std::to_string(Sent) +
          " requests, the backend "
          "beside B got " +
          std::to_string(RanAtB));
  if (Sent < 1000 || RanAtB < 500) {
    Log.add("too few requests to judge");
    Finish(CouldNotRun);
  }
  Log.add(RoundsBroken
              ? "rule DRAIN broken in " + std::to_string(RoundsBroken) +
                    " rounds of " + std::to_string(Rounds)
              : "rule DRAIN held");
  Finish(RoundsBroken ? Broken : Held);
}
