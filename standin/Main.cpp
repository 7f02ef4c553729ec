#include "standin/Standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <cstring>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:6000", "address to serve at");
ABSL_FLAG(std::string, admin, "", "address of the switches (wire)");
ABSL_FLAG(std::string, to, "", "where a wire leads");
ABSL_FLAG(std::string, platform, "127.0.0.1:6000", "the platform's address");
ABSL_FLAG(std::string, records, "", "file of records (publish)");
ABSL_FLAG(std::string, file, "", "file with a list of instances (list)");
ABSL_FLAG(std::string, data_centre, "", "whose list (list)");
ABSL_FLAG(std::string, target, "127.0.0.1:8001", "where to send (load)");
ABSL_FLAG(std::string, method, "GET", "method (load)");
ABSL_FLAG(std::string, path, "/", "path (load)");
ABSL_FLAG(uint64_t, version, 1, "version to publish");
ABSL_FLAG(uint32_t, slots, 10, "calls at once (upstream)");
ABSL_FLAG(uint32_t, cold_ms, 0, "time in which calls take three times as long");
ABSL_FLAG(uint32_t, cold_most, 0,
          "calls a second that it bears in that time, and crashes above; 0 for "
          "any (upstream)");
ABSL_FLAG(uint32_t, lag_ms, 0, "lag of health and load (upstream)");
ABSL_FLAG(uint32_t, connections, 64, "connections (load)");
ABSL_FLAG(uint32_t, body_bytes, 0, "size of each request's body (load)");
ABSL_FLAG(uint32_t, budget_ms, 0, "deadline of each request (load)");
ABSL_FLAG(uint32_t, delay_ms, 0, "delay in each direction (wire)");
ABSL_FLAG(double, rate, 50,
          "requests a second (load); calls a second that "
          "all readers share (platform)");
ABSL_FLAG(double, seconds, 5, "how long to send (load)");
ABSL_FLAG(bool, keyed, false, "send an idempotency key (load)");
ABSL_FLAG(bool, distinct_paths, false, "number the paths (load)");

int main(int Argc, char **Argv) {
  using namespace hickorylift::standin;
  std::signal(SIGPIPE, SIG_IGN);
  std::string Kind = Argc > 1 ? Argv[1] : "";
  if (Argc > 1)
    absl::ParseCommandLine(Argc - 1, Argv + 1);
  if (Kind == "platform")
    return runPlatform();
  if (Kind == "upstream")
    return runUpstream();
  if (Kind == "publish")
    return runPublish();
  if (Kind == "list")
    return runList();
  if (Kind == "load")
    return runLoad();
  if (Kind == "wire")
    return runWire();
  std::cerr << "standin platform|upstream|publish|list|load|wire\n";
  return 2;
}
