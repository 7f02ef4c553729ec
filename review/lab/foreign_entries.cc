// Another writer lists its own agents, one on each machine, under a service
// that the configuration does not name, beside the backends' entries.
#include "lab.h"

using namespace lab;

namespace {

constexpr int AgentPort = 9100;
constexpr double Length = 12;
constexpr int DeadlineMs = 1200;

std::string agentEntry(const Backend &Beside, int Sequence) {
  return "{\"address\":\"" + Beside.Ip + ":" + std::to_string(AgentPort) +
         "\",\"info\":{\"service\":\"machine-metrics\",\"version\":\"v1\","
         "\"zone\":\"" +
         Beside.Zone +
         "\",\"slots\":1},\"status\":{\"state\":\"ready\","
         "\"sequence\":" +
         std::to_string(Sequence) + ",\"cold_left\":\"0ms\"}}";
}

} // namespace

int main(int, char **Argv) {
  Deployment Fleet(Argv[1]);
  for (const char *Zone : {"north", "south", "north"})
    Fleet.addBackend("status", Zone).Verbose = false;
  for (const char *Zone : {"north", "south"})
    Fleet.addBackend("orders", Zone).Verbose = false;
  Fleet.Routes = {{"r-status", "/status/", "safe", "status", "1200ms"},
                  {"r-orders", "/orders/", "unsafe", "orders", "1200ms"}};
  Fleet.start();
  std::atomic<bool> Writing{trouble()};
  // The other writer reports as often as the backends do.
  std::thread Writer([&] {
    for (int Sequence = 1; Writing; ++Sequence) {
      for (const auto &One : Fleet.Backends) {
        std::string Key = "servers/agent-" + One->Id,
                    Value = agentEntry(*One, Sequence);
        Fleet.Platform.put(Key, Value);
        if (Sequence == 1)
          record("another writer puts " + Key + ": " + Value);
      }
      sleepFor(1.5);
    }
  });
  sleepFor(4);
  record("traffic begins", true);
  std::mutex Lock;
  std::map<std::string, std::map<int, int>> Statuses;
  std::vector<std::thread> Clients;
  double Until = now() + Length;
  for (auto &At : Fleet.Nodes)
    for (bool Order : {false, true})
      Clients.emplace_back([&, Here = At.get(), Order] {
        while (now() < Until) {
          std::string Id = newId();
          int Status = Order ? call(*Here, "POST", "/orders/new", Id,
                                    DeadlineMs, "order")
                             : call(*Here, "GET", "/status/17", Id, DeadlineMs);
          record("at " + Here->Ip +
                 (Order ? " POST /orders/new " : " GET /status/17 ") + Id +
                 ": " + std::to_string(Status));
          std::lock_guard<std::mutex> Hold(Lock);
          ++Statuses[Order ? "orders" : "status"][Status];
          sleepFor(0.1);
        }
      });
  for (std::thread &One : Clients)
    One.join();
  Writing = false;
  Writer.join();
  int Served = 0, All = 0;
  for (const auto &[Route, Counts] : Statuses) {
    std::string Line = Route + ", requests by status:";
    for (const auto &[Status, Count] : Counts) {
      Line += " " + std::to_string(Status) + ":" + std::to_string(Count);
      Served += Status == 200 ? Count : 0;
      All += Count;
    }
    record(Line, true);
  }
  record(std::to_string(Served) + " of " + std::to_string(All) +
             " requests served; all " + std::to_string(Fleet.Backends.size()) +
             " backends are well",
         true);
  Fleet.leave(Served == 0 ? 1 : Served > All * 9 / 10 ? 0 : 2);
}
