#include "standin/fixture.h"

// A caller sends safe requests one behind the other on one connection and reads
// the answers slowly: nothing for two seconds, then all of them within its
// deadline. The node gets SIGTERM while the last request runs. Every answer
// must come whole: the requests were read and passed on before, the caller's
// deadline is later, and `grace` has not passed.
//
//   slow_reader CASE-FOLDER TEMPORARY-FOLDER

using namespace review;

namespace {

constexpr int Requests = 16;
// As proof-fetch of the demands' sheet: at most 30,000 bytes an answer, and a
// deadline of 4,000 ms.
constexpr size_t AnswerBytes = 30000;
constexpr int DeadlineMs = 4000;
constexpr int WorkMs = 100;
constexpr int LastWorkMs = 700;
constexpr int TermAfterMs = 400;
// The caller is busy with something else first, then reads on.
constexpr double IdleSeconds = 2;
constexpr size_t ReadBytesPerSecond = 400000;
constexpr int ReadEveryMs = 20;
constexpr double GraceSeconds = 6;
enum Exit { Held = 0, Broken = 1, CouldNotRun = 2 };

// What an ordinary network gives: segments of 1,460 bytes and a small window.
// Loopback alone would take megabytes into its buffers.
void ordinarySocket(int Fd) {
  int Segment = 1460, Window = 8192;
  setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &Segment, sizeof(Segment));
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Window, sizeof(Window));
}

std::string idOf(int Number) {
  char Id[24];
  std::snprintf(Id, sizeof(Id), "%016x", 0xa0000 + Number);
  return Id;
}

// The ids of the answers that are whole, in the order of their arrival.
std::vector<std::string> wholeAnswers(std::string Bytes, size_t &Left) {
  std::vector<std::string> Ids;
  for (size_t End; (End = Bytes.find("\r\n\r\n")) != std::string::npos;) {
    std::string Head = Bytes.substr(0, End + 2);
    size_t Length =
        std::strtoul(field(Head, "Content-Length").c_str(), nullptr, 10);
    if (Bytes.size() < End + 4 + Length)
      break;
    if (Head.rfind("HTTP/1.1 200", 0) == 0 && Length == AnswerBytes &&
        !field(Head, "Hickorylift-Server-Stamp").empty())
      Ids.push_back(field(Head, "Hickorylift-Attempt-Id"));
    Bytes.erase(0, End + 4 + Length);
  }
  Left = Bytes.size();
  return Ids;
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

  std::atomic<int> Ran{0};
  Backend Server("127.0.0.1", 0, "i-1", [&](const std::string &Head) {
    std::string Id = field(Head, "Hickorylift-Attempt-Id");
    Log.add("server runs " + Id);
    sleepMs(Id == idOf(Requests - 1) ? LastWorkMs : WorkMs);
    ++Ran;
    Log.add("server answers " + Id);
    return std::string(AnswerBytes, 'x');
  });
  Store Platform;
  Node One;
  if (!One.start(Arguments[2], "proofroom", Server.port(), Platform.port())) {
    Log.add("the settings template is not understood");
    return CouldNotRun;
  }
  Platform.put(
      "op/config",
      "{\"version\":1,\"resources\":[{\"resource_kind\":\"routes\","
      "\"metadata\":"
      "{\"name\":\"r-proof\"},\"spec\":{\"host\":\"proof.example\",\"prefix\":"
      "\"/proof/\",\"kind\":\"safe\",\"timeout\":\"4000ms\",\"target_latency\":"
      "\"1500ms\",\"priority\":2,\"service\":\"proofroom\",\"max_attempts\":2}}"
      ","
      "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"proofroom\"},"
      "\"spec\":{\"health_path\":\"/health\",\"max_conns\":130,\"protocol\":"
      "\"h1\",\"tls\":false}},{\"resource_kind\":\"limits\",\"metadata\":{},"
      "\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
      "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}");
  std::atomic<bool> Going{true};
  std::thread Beats([&] {
    for (int Sequence = 1; Going; ++Sequence) {
      Platform.put("servers/i-1",
                   "{\"address\":\"127.0.0.1:" + std::to_string(Server.port()) +
                       "\",\"info\":{\"service\":\"proofroom\",\"version\":"
                       "\"v1\",\"zone\":\"zone-a\",\"slots\":16},\"status\":{"
                       "\"state\":\"ready\",\"sequence\":" +
                       std::to_string(Sequence) + ",\"cold_left\":\"0ms\"}}");
      for (int I = 0; I < 15 && Going; ++I)
        sleepMs(100);
    }
  });
  auto Finish = [&](int Code) {
    Going = false;
    Beats.join();
    One.end();
    std::fflush(stdout);
    _exit(Code);
  };
  if (!One.waitReady(15)) {
    Log.add("the node is not ready");
    Finish(CouldNotRun);
  }
  sleepMs(500);

  int Fd = dial(One.Outbound, ordinarySocket);
  std::string All;
  for (int I = 0; I < Requests; ++I)
    All += "GET /proof/" + std::to_string(I) +
           " HTTP/1.1\r\nHost: proof.example\r\nHickorylift-Attempt-Id: " +
           idOf(I) +
           "\r\nHickorylift-Deadline-Ms: " + std::to_string(DeadlineMs) +
           "\r\n\r\n";
  if (Fd < 0 || !sendAll(Fd, All)) {
    Log.add("the node takes no requests");
    Finish(CouldNotRun);
  }
  double SentAt = now(), TermAt = 0;
  Log.add("client sends " + std::to_string(Requests) +
          " safe requests on one connection, deadline " +
          std::to_string(DeadlineMs) + " ms");

  std::string Got;
  double EndedAt = 0;
  int RanAtTerm = -1;
  size_t Allowed = 0, Whole = 0, Left = 0;
  while (!EndedAt && Whole < Requests && now() < SentAt + DeadlineMs / 1000.0) {
    sleepMs(ReadEveryMs);
    if (Trouble && RanAtTerm < 0 && now() - SentAt > TermAfterMs / 1000.0) {
      RanAtTerm = Ran;
      TermAt = now();
      kill(One.Pid, SIGTERM);
      Log.add("SIGTERM to the node; the server has answered " +
              std::to_string(RanAtTerm) + " requests");
    }
    Allowed = static_cast<size_t>(std::max(0.0, now() - SentAt - IdleSeconds) *
                                  ReadBytesPerSecond);
    while (!EndedAt && Got.size() < Allowed) {
      char Buffer[4096];
      ssize_t Read =
          recv(Fd, Buffer, std::min(sizeof(Buffer), Allowed - Got.size()),
               MSG_DONTWAIT);
      if (Read < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (Read <= 0)
        EndedAt = now();
      else
        Got.append(Buffer, static_cast<size_t>(Read));
    }
    Whole = wholeAnswers(Got, Left).size();
  }
  std::vector<std::string> Ids = wholeAnswers(Got, Left);
  for (const std::string &Id : Ids)
    Log.add("client has the whole answer " + Id);
  Log.add("server answered " + std::to_string(Ran) + " requests; client has " +
          std::to_string(Ids.size()) + " whole answers, " +
          std::to_string(Left) + " bytes of the next, " +
          std::to_string(Got.size()) + " bytes in all");
  close(Fd);
  if (!EndedAt && Whole < Requests) {
    Log.add("the client's deadline came first");
    Finish(CouldNotRun);
  }
  if (Ran < Requests || (Trouble && RanAtTerm < 1)) {
    Log.add("the requests did not run as planned");
    Finish(CouldNotRun);
  }
  if (Whole == Requests) {
    Log.add("rule LOST held");
    Finish(Held);
  }
  char Text[200];
  std::snprintf(Text, sizeof(Text),
                "connection ended %.2f s after SIGTERM (grace is %.0f s) and "
                "%.2f s after the requests were sent",
                TermAt ? EndedAt - TermAt : 0.0, GraceSeconds,
                EndedAt - SentAt);
  Log.add(Text);
  Log.add("rule LOST broken: " + std::to_string(Requests - Whole) +
          " requests were passed on, and their answers never came whole");
  Finish(Broken);
}
