// A planned stop (SIGTERM) of one node while a client that sends its safe
// requests without waiting has several under way on one connection.
#include "lab.h"

using namespace lab;

namespace {

constexpr double LossSlack = 0.2; // seconds, bound loss_slack
constexpr int RunMs = 300;
constexpr int DeadlineMs = 1200;

struct Sent {
  std::string Id;
  double At;
  std::string End = "no answer";
};

// Sends three requests 50 ms apart on one connection and reads their answers.
std::vector<Sent> pipeline(const Node &To, int Number) {
  std::vector<Sent> Out;
  int Fd = dial(To.Ip, To.At.Callers);
  if (Fd < 0)
    return Out;
  for (int I = 0; I < 3; ++I) {
    Out.push_back({newId(), now()});
    record("client " + std::to_string(Number) + " sends GET /status/" +
           std::to_string(I) + " as " + Out.back().Id);
    sendAll(Fd, requestText("GET", "/status/" + std::to_string(I),
                            Out.back().Id, DeadlineMs));
    sleepFor(0.05);
  }
  std::string Buffer;
  for (Sent &One : Out) {
    Message Got;
    int How = readMessage(Fd, Buffer, Got, One.At + DeadlineMs / 1000.0 + 1);
    if (How != 1) {
      record("client " + std::to_string(Number) + ": " +
             (How == 0 ? "the connection ends" : "no answer in time") +
             ", nothing came for " + One.Id);
      One.End = How == 0 ? "connection ended" : "late";
      break;
    }
    One.End = std::to_string(Got.status());
    record("client " + std::to_string(Number) + " gets " + One.End + " for " +
           One.Id +
           (Got.field("connection").empty()
                ? ""
                : ", Connection: " + Got.field("connection")));
  }
  close(Fd);
  return Out;
}

} // namespace

int main(int, char **Argv) {
  Deployment Fleet(Argv[1]);
  for (const char *Zone : {"north", "south", "north"})
    Fleet.addBackend("status", Zone).WorkMs = [](const std::string &) {
      return RunMs;
    };
  Fleet.addBackend("orders", "south");
  Fleet.Routes = {{"r-status", "/status/", "safe", "status", "1200ms"},
                  {"r-orders", "/orders/", "unsafe", "orders", "1500ms"}};
  Fleet.start();
  sleepFor(3);
  Node &Stopped = Fleet.nodeAt(*Fleet.Backends[3]);
  std::vector<std::vector<Sent>> All(4);
  std::vector<std::thread> Clients;
  for (int I = 0; I < 4; ++I)
    Clients.emplace_back(
        [&, I] { All[static_cast<size_t>(I)] = pipeline(Stopped, I); });
  sleepFor(0.2);
  double StoppedAt = now();
  if (trouble()) {
    record("SIGTERM to the node of " + Stopped.Ip, true);
    Stopped.signal(SIGTERM);
  }
  for (std::thread &One : Clients)
    One.join();
  sleepFor(0.5);
  // LOST: whole requests of before the SIGTERM, passed on to a backend, whose
  // connection ended without an answer before any deadline.
  int Lost = 0, Answered = 0;
  for (const auto &Client : All)
    for (const Sent &One : Client) {
      if (One.End == "200")
        ++Answered;
      for (const auto &At : Fleet.Backends) {
        std::lock_guard<std::mutex> Hold(At->Lock);
        for (const Backend::Run &Run : At->Runs)
          if (Run.RequestId == One.Id && One.End != "200") {
            ++Lost;
            char Text[200];
            std::snprintf(Text, sizeof(Text),
                          "lost: %s, sent %.3f s before the SIGTERM, ran at %s "
                          "from %.3f to %.3f (%s)",
                          One.Id.c_str(), StoppedAt - One.At, At->Id.c_str(),
                          Run.At, Run.EndedAt, Run.End.c_str());
            record(Text, true);
          }
      }
    }
  record(std::to_string(Answered) + " of 12 requests answered, " +
             std::to_string(Lost) +
             " were passed on to a backend and have no answer",
         true);
  Fleet.leave(Lost > 0 ? 1 : Answered == 12 ? 0 : 2);
}
