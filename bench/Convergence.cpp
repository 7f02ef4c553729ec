#include "bench/Bench.h"

#include "bench/Flags.h"
#include "harness/Fleet.h"

#include <absl/flags/flag.h>

#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <map>

// Real nodes on loopback. A change counts from the moment before its manifest
// is written at the platform until the last node has it in force; the times are
// the nodes' own, from their logs, so asking them adds nothing.

namespace hickorylift::bench {

namespace {

const char AspenfoldSettings[] =
    "\"spread\": {\"heartbeat_ms\": 1000, \"silence_ms\": 3500, "
    "\"graft_ms\": 30, \"fanout\": 6}, "
    "\"platform\": {\"watch_wait_ms\": 10000}";
const char AssociationSettings[] =
    "\"spread\": {\"heartbeat_ms\": 4000, \"silence_ms\": 14000, "
    "\"graft_ms\": 120, \"fanout\": 3, \"readers\": 1}, "
    "\"platform\": {\"watch_wait_ms\": 25000}, "
    "\"keys\": {\"max_list_age_ms\": 90000}";
// Every node watches the platform; the tree is left with nothing to do.
const char BaselineSettings[] =
    "\"spread\": {\"heartbeat_ms\": 1000, \"silence_ms\": 3500, "
    "\"readers\": 100000}, \"platform\": {\"watch_wait_ms\": 10000}";

std::string settingsFor(const std::string &Profile) {
  if (Profile == "association")
    return AssociationSettings;
  return Profile == "baseline" ? BaselineSettings : AspenfoldSettings;
}

// Two routes and services for each ten nodes, and one that changes.
std::string records(unsigned Nodes, uint64_t Version) {
  std::string Out = "[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1}";
  for (unsigned I = 0; I < std::max(3u, Nodes / 9); ++I) {
    std::string Name = "s" + std::to_string(I);
    std::string Timeout = std::to_string(I == 0 ? 1000 + Version : 2000);
    Out +=
        join({R"(,{"kind":"service","name":")", Name,
              R"(","schema":1,"slots":12})", R"(,{"kind":"route","name":")",
              Name, R"(","schema":1,"match":{"prefix":"/)", Name,
              R"("},"service":")", Name, R"(","timeout_ms":)", Timeout, "}"});
  }
  return Out + "]";
}

double wallMs() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The latest time at which any log says that each version came in force.
std::map<uint64_t, std::pair<double, unsigned>>
readLogs(const std::vector<std::string> &Paths) {
  std::map<uint64_t, std::pair<double, unsigned>> Out;
  for (const std::string &Path : Paths) {
    std::ifstream In(Path);
    for (std::string Line; std::getline(In, Line);) {
      size_t At = Line.find("event=version-in-force subject=");
      if (At == std::string::npos)
        continue;
      std::tm Day{};
      int Ms = 0;
      std::sscanf(Line.c_str(), "ts=%d-%d-%dT%d:%d:%d.%dZ", &Day.tm_year,
                  &Day.tm_mon, &Day.tm_mday, &Day.tm_hour, &Day.tm_min,
                  &Day.tm_sec, &Ms);
      Day.tm_year -= 1900;
      Day.tm_mon -= 1;
      double When = 1000.0 * static_cast<double>(timegm(&Day)) + Ms;
      uint64_t Version = std::strtoull(
          Line.c_str() + At + sizeof("event=version-in-force subject=") - 1,
          nullptr, 10);
      auto &[Last, Count] = Out[Version];
      Last = std::max(Last, When);
      ++Count;
    }
  }
  return Out;
}

struct Sums {
  double Bytes = 0;
  double Cpu = 0;
  double Reads = 0;
};

Sums sumOver(harness::Fleet &All) {
  Sums Out;
  for (const auto &[Name, Of] : All.nodes()) {
    Out.Bytes += All.metric(Name, "hickorylift_control_sent_bytes");
    Out.Cpu += All.cpuSeconds(Name);
  }
  Out.Reads = All.platformCounters()["reads"].asDouble();
  return Out;
}

bool allHave(harness::Fleet &All, uint64_t Version) {
  return All.waitFor([&] {
    for (const auto &[Name, Of] : All.nodes())
      if (All.version(Name) != Version)
        return false;
    return true;
  });
}

struct Run {
  bool Converged = false;
  double IdleSeconds = 0;
  double ChangeSeconds = 0;
  Sums Before;
  Sums Idle;
  Sums After;
  std::map<uint64_t, double> Published;
};

Run runChanges(harness::Fleet &All, unsigned Nodes, unsigned Changes) {
  Run Out;
  All.publish(1, records(Nodes, 1));
  Out.Converged = allHave(All, 1);
  All.runFor(Millis(5000));
  Out.Before = sumOver(All);
  Out.IdleSeconds = absl::GetFlag(FLAGS_idle_s);
  All.runFor(Millis(static_cast<int64_t>(1000 * Out.IdleSeconds)));
  Out.Idle = sumOver(All);
  TimePoint First = Clock::now();
  for (uint64_t Version = 2; Version < 2 + Changes; ++Version) {
    Out.Published[Version] = wallMs();
    All.publish(Version, records(Nodes, Version));
    All.runFor(Millis(150));
  }
  Out.Converged = allHave(All, 1 + Changes) && Out.Converged;
  Out.ChangeSeconds =
      std::chrono::duration<double>(Clock::now() - First).count();
  Out.After = sumOver(All);
  return Out;
}

void addTimes(harness::Fleet &All, const Run &Of, Json::Value &Out) {
  std::vector<std::string> Logs;
  double Resident = 0;
  for (const auto &[Name, Node] : All.nodes()) {
    Logs.push_back(All.logPath(Name));
    Resident = std::max(Resident, All.residentMegabytes(Name));
  }
  auto InForce = readLogs(Logs);
  std::vector<double> Took;
  unsigned Skipped = 0;
  for (const auto &[Version, At] : Of.Published) {
    // A node may pass over a version when the next is already there.
    if (InForce[Version].second < All.nodes().size())
      ++Skipped;
    else
      Took.push_back(InForce[Version].first - At);
  }
  Out["changes_seen_by_all"] = Json::UInt64(Took.size());
  Out["changes_passed_over"] = Skipped;
  Out["p50_ms"] = percentile(Took, 0.5);
  Out["p99_ms"] = percentile(Took, 0.99);
  Out["max_ms"] = percentile(Took, 1.0);
  Out["resident_mb"] = Resident;
}

Json::Value measure(unsigned Nodes, const std::string &Profile) {
  harness::Fleet::Options Opts;
  Opts.Settings = settingsFor(Profile);
  Opts.Upstreams = false;
  Opts.LogLevel = "info";
  Opts.Patience = Millis(60000);
  harness::Fleet All(Opts);
  unsigned Places = Profile == "association" ? 4 : 3;
  for (unsigned I = 0; I < Nodes; ++I)
    All.addNode("n" + std::to_string(I), "dc" + std::to_string(I % Places),
                "a");
  All.startAll();
  unsigned Changes = absl::GetFlag(FLAGS_changes);
  Run Of = runChanges(All, Nodes, Changes);
  double IdleBytes = (Of.Idle.Bytes - Of.Before.Bytes) / Nodes / Of.IdleSeconds;
  double IdleCpu = (Of.Idle.Cpu - Of.Before.Cpu) / Nodes / Of.IdleSeconds;
  Json::Value Out(Json::objectValue);
  Out["nodes"] = Nodes;
  Out["profile"] = Profile;
  Out["converged"] = Of.Converged;
  addTimes(All, Of, Out);
  Out["idle_bytes_per_node_s"] = IdleBytes;
  Out["bytes_per_change_node"] = ((Of.After.Bytes - Of.Idle.Bytes) / Nodes -
                                  IdleBytes * Of.ChangeSeconds) /
                                 Changes;
  Out["idle_cpu_share"] = IdleCpu;
  Out["cpu_ms_per_change_node"] =
      1000 *
      ((Of.After.Cpu - Of.Idle.Cpu) / Nodes - IdleCpu * Of.ChangeSeconds) /
      Changes;
  Out["idle_reads_s"] = (Of.Idle.Reads - Of.Before.Reads) / Of.IdleSeconds;
  Out["reads_per_change"] = (Of.After.Reads - Of.Idle.Reads) / Changes;
  return Out;
}

} // namespace

int runConvergence() {
  Json::Value All(Json::arrayValue);
  std::string Profile = absl::GetFlag(FLAGS_profile);
  for (unsigned Nodes : readNumbers(absl::GetFlag(FLAGS_nodes))) {
    Json::Value One = measure(Nodes, Profile);
    std::printf(
        "%s nodes=%u converged=%d p50=%.0fms p99=%.0fms max=%.0fms "
        "(%u of %u) idle=%.0fB/s/node change=%.0fB/node "
        "idle_cpu=%.4f%% cpu/change=%.3fms reads: idle %.1f/s, "
        "%.1f a change; %.1f MB\n",
        Profile.c_str(), Nodes, One["converged"].asBool(),
        One["p50_ms"].asDouble(), One["p99_ms"].asDouble(),
        One["max_ms"].asDouble(), One["changes_seen_by_all"].asUInt(),
        absl::GetFlag(FLAGS_changes), One["idle_bytes_per_node_s"].asDouble(),
        One["bytes_per_change_node"].asDouble(),
        100 * One["idle_cpu_share"].asDouble(),
        One["cpu_ms_per_change_node"].asDouble(),
        One["idle_reads_s"].asDouble(), One["reads_per_change"].asDouble(),
        One["resident_mb"].asDouble());
    std::fflush(stdout);
    All.append(One);
  }
  writeResults(All);
  return 0;
}

} // namespace hickorylift::bench
