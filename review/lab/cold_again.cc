// A backend becomes cold again under traffic, and says so in its entry.
#include "lab.h"

#include <deque>

using namespace lab;

namespace {

constexpr double ColdPerSecond = 11;              // of the services
constexpr double Bound = ColdPerSecond * 1.5 + 8; // cold_overrun, cold_slack
constexpr double CrashAt = 2 * Bound;             // "well above that"
constexpr double Warmup = 3.0;
constexpr int DeadlineMs = 1500;

} // namespace

int main(int, char **Argv) {
  Deployment Fleet(Argv[1]);
  Fleet.LimitsCold = true;
  for (const char *Zone : {"north", "south"})
    Fleet.addBackend("vault", Zone).WorkMs = [](const std::string &) {
      return 40;
    };
  for (const char *Zone : {"north", "south", "north"})
    Fleet.addBackend("portal", Zone);
  for (auto &One : Fleet.Backends)
    One->Verbose = false;
  Backend &Cold = *Fleet.Backends[0];
  Fleet.Routes = {{"r-file", "/file/", "unsafe", "vault", "1500ms"},
                  {"r-portal", "/portal/", "safe", "portal", "1200ms"}};
  std::mutex Lock;
  std::deque<double> Window; // arrivals of the last second, while cold
  std::vector<double> Arrivals;
  size_t Most = 0;
  bool Crashed = false;
  Cold.Arrived = [&] {
    std::lock_guard<std::mutex> Hold(Lock);
    double At = now();
    if (At >= Cold.ColdUntil)
      return true;
    Window.push_back(At);
    Arrivals.push_back(At);
    while (At - Window.front() > 1)
      Window.pop_front();
    Most = std::max(Most, Window.size());
    if (static_cast<double>(Window.size()) <= CrashAt || Crashed)
      return !Crashed;
    Crashed = true;
    std::thread([&] { Cold.crash(1); }).detach();
    return false;
  };
  Fleet.start();
  sleepFor(5);
  std::atomic<bool> Calling{true};
  std::map<int, int> Statuses;
  std::vector<std::string> Failed;
  std::vector<std::thread> Clients;
  for (auto &At : Fleet.Nodes)
    for (int I = 0; I < 4; ++I)
      Clients.emplace_back([&, Here = At.get()] {
        while (Calling) {
          std::string Id = newId();
          int Status =
              call(*Here, "POST", "/file/new", Id, DeadlineMs, "decision");
          std::lock_guard<std::mutex> Hold(Lock);
          ++Statuses[Status];
          if (Status != 200 && Status != 503)
            Failed.push_back(Id + ": " + std::to_string(Status));
        }
      });
  sleepFor(4);
  size_t Before;
  {
    std::lock_guard<std::mutex> Hold(Cold.Lock);
    Before = Cold.Runs.size();
  }
  sleepFor(2);
  {
    std::lock_guard<std::mutex> Hold(Cold.Lock);
    record("backend " + Cold.Id + " is warm and gets " +
               std::to_string((Cold.Runs.size() - Before) / 2) +
               " requests a second",
           true);
  }
  // At no particular moment of the backends' reports.
  sleepFor(std::uniform_real_distribution<>(0, 1.5)(
      *std::make_unique<std::mt19937>(std::random_device{}())));
  double ColdAt = now();
  if (trouble()) {
    std::lock_guard<std::mutex> Hold(Fleet.BeatLock);
    Cold.ColdUntil = ColdAt + Warmup;
    Fleet.Platform.put("servers/" + Cold.Id, Cold.entry("ready", 1000));
    ColdAt = now();
    record("backend " + Cold.Id +
               " is cold again, and the store has acknowledged its entry with "
               "cold_left",
           true);
  }
  sleepFor(Warmup + 2);
  Calling = false;
  for (std::thread &One : Clients)
    One.join();
  for (double At : Arrivals) {
    char Text[100];
    std::snprintf(Text, sizeof(Text),
                  "a request reaches %s %.3f s after it became cold",
                  Cold.Id.c_str(), At - ColdAt);
    record(Text);
  }
  for (const std::string &One : Failed)
    record("client's request " + One);
  std::string Counts;
  for (const auto &[Status, Count] : Statuses)
    Counts += " " + std::to_string(Status) + ":" + std::to_string(Count);
  record("answers to clients by status:" + Counts, true);
  record("most requests within one second while cold: " + std::to_string(Most) +
             "; the bound is 24.5" +
             (Crashed ? "; the backend crashed under them" : ""),
         true);
  Fleet.leave(static_cast<double>(Most) > Bound ? 1
              : Statuses[200] > 100             ? 0
                                                : 2);
}
