// The store turns away the machines that read it, a third of all at most, and
// serves the others and the operator. Meanwhile a route moves to another
// service.
#include "lab.h"

using namespace lab;

namespace {

constexpr size_t PerZone = 11;
constexpr double ConfigApply = 2.5; // seconds, bound config_apply
constexpr double MaxSkew = 5.0;     // seconds, bound max_skew
constexpr double TurnedAwayFor = 9.0;
constexpr double MostShare = 0.33;
constexpr int DeadlineMs = 1200;

} // namespace

int main(int, char **Argv) {
  Deployment Fleet(Argv[1]);
  Fleet.Zones = {"north", "south", "east"};
  Fleet.StoreForEach = true;
  for (const std::string &Zone : Fleet.Zones)
    for (size_t I = 0; I < PerZone; ++I)
      Fleet.addBackend(I % 2 ? "blue" : "green", Zone).Verbose = false;
  std::map<std::string, std::string> ServiceOf;
  for (const auto &One : Fleet.Backends)
    ServiceOf[One->Id] = One->Service;
  Fleet.Routes = {{"r-1", "/moved/", "safe", "blue", "1200ms"},
                  {"r-2", "/stays/", "safe", "green", "1200ms"}};
  Fleet.start();
  sleepFor(15);
  // The machines whose nodes have the duty to read, as their logs say: the
  // store throttles its readers, and they are less than the allowed share.
  std::set<std::string> Away;
  std::set<const Node *> AwayNodes;
  size_t Most =
      static_cast<size_t>(MostShare * static_cast<double>(Fleet.Nodes.size()));
  for (size_t I = 0; I < Fleet.Nodes.size() && Away.size() < Most; ++I) {
    std::string Log = readFile(Fleet.Nodes[I]->LogPath);
    size_t Last = Log.rfind("event=reading subject=");
    if (Last == std::string::npos || Log.compare(Last + 22, 4, "none") == 0)
      continue;
    Away.insert(Fleet.storeIp(I));
    AwayNodes.insert(Fleet.Nodes[I].get());
    record("to be turned away: node " + Fleet.Nodes[I]->Ip + " in " +
           Fleet.Nodes[I]->Zone + ", " +
           Log.substr(Last, Log.find('\n', Last) - Last));
  }
  record(std::to_string(Away.size()) + " of " +
             std::to_string(Fleet.Nodes.size()) + " machines read the store" +
             (trouble() ? " and are turned away from now on" : ""),
         true);
  double AwayAt = now();
  if (trouble())
    Fleet.Platform.turnAway(Away);
  sleepFor(0.5);
  Fleet.Routes[0].Service = "green";
  Fleet.Platform.put("op/config", Fleet.configText(7));
  double AckAt = now();
  record("version 7 moves /moved/ from blue to green; acknowledged", true);
  struct Seen {
    double Sent;
    std::string Node, Service;
  };
  std::mutex Lock;
  std::vector<Seen> All;
  std::vector<std::thread> Clients;
  double Until = AckAt + 14;
  for (auto &At : Fleet.Nodes)
    if (!AwayNodes.count(At.get()))
      Clients.emplace_back([&, Here = At.get()] {
        while (now() < Until) {
          double Sent = now();
          std::string Id = newId(), Buffer, Service = "none";
          int Fd = dial(Here->Ip, Here->At.Callers);
          Message Got;
          if (Fd >= 0 &&
              sendAll(Fd, requestText("GET", "/moved/7", Id, DeadlineMs)) &&
              readMessage(Fd, Buffer, Got, now() + 2) == 1 &&
              Got.status() == 200) {
            std::string Stamp = Got.field("hickorylift-server-stamp");
            Service = ServiceOf[Stamp.substr(0, Stamp.find('.'))];
          }
          if (Fd >= 0)
            close(Fd);
          {
            std::lock_guard<std::mutex> Hold(Lock);
            All.push_back({Sent - AckAt, Here->Ip, Service});
          }
          sleepFor(0.2);
        }
      });
  while (trouble() && now() < AwayAt + TurnedAwayFor)
    sleepFor(0.01);
  Fleet.Platform.turnAway({});
  record("the store serves all machines again", true);
  for (std::thread &One : Clients)
    One.join();
  int Late = 0, Stretched = 0, Answered = 0;
  double Last = 0;
  std::set<std::string> LateNodes;
  for (const Seen &One : All) {
    char Text[160];
    std::snprintf(
        Text, sizeof(Text),
        "sent %6.3f s after the acknowledgement at node %s: run by %s",
        One.Sent, One.Node.c_str(), One.Service.c_str());
    record(Text);
    Answered += One.Service != "none";
    if (One.Service != "blue")
      continue;
    Last = std::max(Last, One.Sent);
    Late += One.Sent > ConfigApply;
    if (One.Sent > ConfigApply + MaxSkew) {
      ++Stretched;
      LateNodes.insert(One.Node);
    }
  }
  int Refusals = 0;
  for (const auto &[Ip, Count] : Fleet.Platform.refusals())
    Refusals += Count;
  record("calls turned away: " + std::to_string(Refusals), true);
  char Text[240];
  std::snprintf(
      Text, sizeof(Text),
      "of %zu requests at machines that were never turned away, the old "
      "service ran %d sent later than 2.5 s after the acknowledgement, "
      "%d of them later than 7.5 s (at %zu nodes); the last was sent %.2f s "
      "after it",
      All.size(), Late, Stretched, LateNodes.size(), Last);
  record(Text, true);
  Fleet.leave(Stretched > 0 ? 1 : Answered > 500 ? 0 : 2);
}
