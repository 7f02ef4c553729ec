#include "bench/Bench.h"

#include "bench/Flags.h"
#include "harness/Fleet.h"

#include <absl/flags/flag.h>

#include <cstdio>

// What entry and gate add to a call, against the same stand-in called directly.
// The two are measured in turn, and each pair gives a difference and a ratio:
// what the machine does besides hits both.

namespace hickorylift::bench {

namespace {

Json::Value load(harness::Fleet &All, const std::string &Target, unsigned Rate,
                 const std::string &Method, unsigned Body) {
  return harness::parseOrNull(All.capture(
      "standin", {"load", "--target=" + Target, "--path=/b/x",
                  "--method=" + Method, "--body_bytes=" + std::to_string(Body),
                  "--rate=" + std::to_string(Rate), "--seconds=4"}));
}

struct Case {
  const char *Name;
  const char *Method;
  unsigned Body;
};

Json::Value measure(harness::Fleet &All, unsigned Rate, const Case &Of) {
  std::vector<double> P50, P99, Ratio;
  double Cpu = 0, Calls = 0;
  for (unsigned Round = 0; Round < absl::GetFlag(FLAGS_rounds); ++Round) {
    Json::Value Direct =
        load(All, All.node("b-1").Upstream, Rate, Of.Method, Of.Body);
    double Before = All.cpuSeconds("a-1") + All.cpuSeconds("b-1");
    Json::Value Carried =
        load(All, All.node("a-1").Callers, Rate, Of.Method, Of.Body);
    Cpu += All.cpuSeconds("a-1") + All.cpuSeconds("b-1") - Before;
    Calls += Carried["outcomes"]["answered"].asDouble();
    P50.push_back(Carried["p50_ms"].asDouble() - Direct["p50_ms"].asDouble());
    P99.push_back(Carried["p99_ms"].asDouble() - Direct["p99_ms"].asDouble());
    Ratio.push_back(Carried["p99_ms"].asDouble() /
                    std::max(0.001, Direct["p99_ms"].asDouble()));
  }
  Json::Value Out(Json::objectValue);
  Out["case"] = Of.Name;
  Out["rate"] = Rate;
  Out["rounds"] = absl::GetFlag(FLAGS_rounds);
  Out["added_p50_ms_median"] = percentile(P50, 0.5);
  Out["added_p99_ms_median"] = percentile(P99, 0.5);
  Out["added_p99_ms_worst"] = percentile(P99, 1.0);
  Out["p99_ratio_median"] = percentile(Ratio, 0.5);
  Out["cpu_us_per_call_both_nodes"] = Calls ? 1e6 * Cpu / Calls : 0;
  Out["answered"] = Calls;
  return Out;
}

} // namespace

int runLatency() {
  harness::Fleet::Options Opts;
  Opts.UpstreamFlags = {"--slots=100000"};
  harness::Fleet All(Opts);
  All.addNode("a-1", "north", "a");
  All.addNode("b-1", "north", "b");
  All.startAll();
  All.publish(
      1, "[{\"kind\":\"service\",\"name\":\"a\",\"schema\":1},"
         "{\"kind\":\"service\",\"name\":\"b\",\"schema\":1,\"slots\":1000,"
         "\"connections\":1000},"
         "{\"kind\":\"route\",\"name\":\"b\",\"schema\":1,"
         "\"match\":{\"prefix\":\"/b\"},\"service\":\"b\"}]");
  All.waitFor(
      [&] { return All.version("a-1") == 1 && All.version("b-1") == 1; });
  const Case Cases[] = {{"get", "GET", 0}, {"post-2k", "POST", 2000}};
  Json::Value Results(Json::arrayValue);
  for (const Case &Of : Cases)
    for (unsigned Rate : readNumbers(absl::GetFlag(FLAGS_rates))) {
      Json::Value One = measure(All, Rate, Of);
      std::printf("%s rate=%u added p50=%.3fms p99=%.3fms (worst %.3fms) "
                  "p99 ratio=%.2f cpu=%.0fus/call\n",
                  Of.Name, Rate, One["added_p50_ms_median"].asDouble(),
                  One["added_p99_ms_median"].asDouble(),
                  One["added_p99_ms_worst"].asDouble(),
                  One["p99_ratio_median"].asDouble(),
                  One["cpu_us_per_call_both_nodes"].asDouble());
      std::fflush(stdout);
      Results.append(One);
    }
  writeResults(Results);
  return 0;
}

} // namespace hickorylift::bench
