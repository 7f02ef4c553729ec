#include "bench/Bench.h"

#include "scenario/World.h"

#include <cstdio>

// Goodput and latency against offered load, for our policy and for simpler
// ones, over the deciding code with faked time: the same each time it is run.

namespace hickorylift::bench {

namespace {

using scenario::CallState;
using scenario::World;

constexpr unsigned Entries = 4;
constexpr unsigned Upstreams = 6;
constexpr unsigned Slots = 5;
constexpr Millis RunTime{50};
constexpr Millis SlowRunTime{150};
constexpr double Capacity =
    (Upstreams - 1) * Slots * 1000.0 / 50 + Slots * 1000.0 / 150;
constexpr Millis LoadLength{4000};

struct Variant {
  const char *Name;
  LoadBalancer::Policy Choose;
  bool DropLate;
  // As the service's and retry records say it.
  const char *Queue;
  const char *Retry;
};

const Variant Variants[] = {
    {"ours", LoadBalancer::Policy::ShortestExpectedTime, true,
     "queue=20:queue_wait_ms=300", "attempts=3:budget_percent=10"},
    {"hot", LoadBalancer::Policy::HotCold, true, "queue=20:queue_wait_ms=300",
     "attempts=3:budget_percent=10"},
    {"random", LoadBalancer::Policy::Random, true, "queue=20:queue_wait_ms=300",
     "attempts=3:budget_percent=10"},
    {"round-robin", LoadBalancer::Policy::RoundRobin, true,
     "queue=20:queue_wait_ms=300", "attempts=3:budget_percent=10"},
    {"least-loaded", LoadBalancer::Policy::LeastLoaded, true,
     "queue=20:queue_wait_ms=300", "attempts=3:budget_percent=10"},
    {"no-queue-limit", LoadBalancer::Policy::ShortestExpectedTime, false,
     "queue=100000:queue_wait_ms=3600000", "attempts=3:budget_percent=10"},
    {"eager-retry", LoadBalancer::Policy::ShortestExpectedTime, true,
     "queue=20:queue_wait_ms=300", "attempts=10:budget_percent=100"},
};

Json::Value measure(const Variant &Of, double Factor) {
  World::Options Opts;
  Opts.Seed = 7;
  Opts.Guards.DropLate = Of.DropLate;
  Opts.Node.CallEntry.BalancerOptions.SelectionPolicy = Of.Choose;
  World All(Opts);
  for (unsigned I = 0; I < Entries; ++I)
    All.addNode("a-" + std::to_string(I), "north", "a");
  for (unsigned I = 0; I < Upstreams; ++I) {
    All.addNode("b-" + std::to_string(I), "north", "b");
    All.node("b-" + std::to_string(I)).Upstream.RunTime =
        I == 0 ? SlowRunTime : RunTime;
  }
  All.publishLists();
  std::string Service = "service:b:slots=" + std::to_string(Slots) + ":";
  All.publish(1, {scenario::recordFromShort("service:a"),
                  scenario::recordFromShort(Service + Of.Queue),
                  scenario::recordFromShort(std::string("retry:r:") + Of.Retry),
                  scenario::recordFromShort("route:b:/b:b:timeout_ms=1000:"
                                            "retry=r")});
  for (const auto &[Name, Node] : All.nodes())
    All.start(Name);
  All.run(Millis(5000));
  auto Count = static_cast<uint64_t>(
      Factor * Capacity * std::chrono::duration<double>(LoadLength).count());
  for (uint64_t I = 0; I < Count; ++I)
    All.later(Micros(static_cast<int64_t>(1e6 * static_cast<double>(I) /
                                          (Factor * Capacity))),
              [&All, I] {
                All.call("c" + std::to_string(I),
                         "a-" + std::to_string(I % Entries), "POST", "/b/x", "",
                         0, std::nullopt);
              });
  All.run(LoadLength + Millis(3000));
  std::map<CallState::End, double> Ends;
  std::vector<double> Took;
  uint64_t Runs = 0;
  for (const auto &[Label, One] : All.calls()) {
    ++Ends[One.Now];
    if (One.Now == CallState::End::Answered)
      Took.push_back(
          std::chrono::duration<double, std::milli>(One.EndedAt - One.AskedAt)
              .count());
    Runs += All.runsOf(Label);
  }
  Json::Value Out(Json::objectValue);
  Out["policy"] = Of.Name;
  Out["load_factor"] = Factor;
  Out["offered"] = Json::UInt64(Count);
  Out["goodput_share_of_capacity"] =
      Ends[CallState::End::Answered] / Capacity /
      std::chrono::duration<double>(LoadLength).count();
  Out["p50_ms"] = percentile(Took, 0.5);
  Out["p99_ms"] = percentile(Took, 0.99);
  Out["not_run_share"] =
      Ends[CallState::End::NotRun] / static_cast<double>(Count);
  Out["unknown_share"] =
      Ends[CallState::End::Unknown] / static_cast<double>(Count);
  Out["runs_for_nothing"] =
      static_cast<double>(Runs) - Ends[CallState::End::Answered];
  Out["broken_promises"] = Json::UInt64(All.broken().size());
  return Out;
}

} // namespace

int runPolicies() {
  Json::Value Results(Json::arrayValue);
  for (const Variant &Of : Variants)
    for (double Factor : {0.5, 1.0, 2.0, 5.0, 10.0}) {
      Json::Value One = measure(Of, Factor);
      std::printf(
          "%-15s load=%4.1fx goodput=%5.1f%% p50=%.0fms p99=%.0fms "
          "not-run=%.1f%% unknown=%.1f%% runs for nothing=%.0f "
          "broken=%u\n",
          Of.Name, Factor, 100 * One["goodput_share_of_capacity"].asDouble(),
          One["p50_ms"].asDouble(), One["p99_ms"].asDouble(),
          100 * One["not_run_share"].asDouble(),
          100 * One["unknown_share"].asDouble(),
          One["runs_for_nothing"].asDouble(), One["broken_promises"].asUInt());
      std::fflush(stdout);
      Results.append(One);
    }
  writeResults(Results);
  return 0;
}

} // namespace hickorylift::bench
