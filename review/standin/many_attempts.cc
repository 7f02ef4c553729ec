#include "standin/fixture.h"

// The operator sends a version that adds a route and lets a request of another
// route go to up to twelve backends. The store acknowledges it. The added route
// must be served `config_apply` after that.
//
//   many_attempts CASE-FOLDER TEMPORARY-FOLDER

using namespace review;

namespace {

constexpr double ConfigApplySeconds = 2; // bounds: config_apply 2000ms
constexpr double WatchSeconds = 20;
enum Exit { Held = 0, Broken = 1, CouldNotRun = 2 };

std::string route(const std::string &Name, int Attempts) {
  return "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-" + Name +
         "\"},\"spec\":{\"host\":\"status.example\",\"prefix\":\"/" + Name +
         "/\",\"kind\":\"safe\",\"timeout\":\"1200ms\",\"target_latency\":"
         "\"300ms\",\"priority\":2,\"service\":\"portal\",\"max_attempts\":" +
         std::to_string(Attempts) + "}},";
}

std::string version(int Number, const std::string &Routes) {
  return "{\"version\":" + std::to_string(Number) + ",\"resources\":[" +
         Routes +
         "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"portal\"},"
         "\"spec\":{\"health_path\":\"/health\",\"max_conns\":130,\"protocol\":"
         "\"h1\",\"tls\":false}},{\"resource_kind\":\"limits\",\"metadata\":{},"
         "\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";
}

// The status of one call, 0 without an answer.
int call(const Node &One, const std::string &Path, int Number) {
  int Fd = dial(One.Outbound);
  std::string Rest, Head;
  char Id[24];
  std::snprintf(Id, sizeof(Id), "%016x", Number);
  bool Answered =
      Fd >= 0 &&
      sendAll(Fd, "GET " + Path +
                      " HTTP/1.1\r\nHost: status.example\r\n"
                      "Hickorylift-Attempt-Id: " +
                      Id + "\r\nHickorylift-Deadline-Ms: 1200\r\n\r\n") &&
      readHead(Fd, Rest, Head);
  if (Fd >= 0)
    close(Fd);
  return Answered ? std::atoi(Head.c_str() + 9) : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 3)
    return CouldNotRun;
  signal(SIGPIPE, SIG_IGN);
  const char *Given = getenv("TROUBLE");
  bool Trouble = !Given || std::string(Given) != "0";
  int Attempts = Trouble ? 12 : 10;
  Record Log(std::string(Arguments[1]) + "/record.txt");
  Log.add(std::string("start, trouble ") + (Trouble ? "on" : "off"));

  Backend Server("127.0.0.1", 0, "i-1",
                 [](const std::string &) { return std::string("ok"); });
  Store Platform;
  Node One;
  if (!One.start(Arguments[2], "portal", Server.port(), Platform.port())) {
    Log.add("the settings template is not understood");
    return CouldNotRun;
  }
  Platform.put("op/config", version(1, route("first", 2)));
  std::atomic<bool> Going{true};
  std::thread Beats([&] {
    for (int Sequence = 1; Going; ++Sequence) {
      Platform.put("servers/i-1",
                   "{\"address\":\"127.0.0.1:" + std::to_string(Server.port()) +
                       "\",\"info\":{\"service\":\"portal\",\"version\":\"v1\","
                       "\"zone\":\"zone-a\",\"slots\":9},\"status\":{\"state\":"
                       "\"ready\",\"sequence\":" +
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
  sleepMs(4000); // stable_window is 3 s
  int Number = 0;
  int Status = call(One, "/first/1", ++Number);
  Log.add("version 1: /first/1 is answered " + std::to_string(Status));
  if (Status != 200)
    Finish(CouldNotRun);
  Platform.put("op/config",
               version(2, route("first", Attempts) + route("second", 2)));
  double AckedAt = now();
  Log.add("version 2 is acknowledged: max_attempts " +
          std::to_string(Attempts) + " for /first/, /second/ is added");
  int Late = 0, Served = 0, Refused = 0;
  double LastRefused = 0;
  while (now() < AckedAt + WatchSeconds) {
    sleepMs(250);
    bool Due = now() > AckedAt + ConfigApplySeconds;
    Status = call(One, "/second/1", ++Number);
    if (!Due)
      continue;
    ++Late;
    Served += Status == 200;
    Refused += Status == 404;
    if (Status == 404)
      LastRefused = now() - AckedAt;
  }
  Log.add(std::to_string(Late) +
          " requests for /second/1 sent later than "
          "config_apply: " +
          std::to_string(Served) + " answered 200, " + std::to_string(Refused) +
          " answered 404");
  if (Refused) {
    char Text[80];
    std::snprintf(Text, sizeof(Text),
                  "the last 404 came %.1f s after the "
                  "acknowledgement",
                  LastRefused);
    Log.add(Text);
    Log.add("rule CONFIG broken");
    Finish(Broken);
  }
  Log.add(Served == Late ? "rule CONFIG held" : "the requests were not served");
  Finish(Served == Late ? Held : CouldNotRun);
}
