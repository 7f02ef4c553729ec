#include "bench/Bench.h"

#include "base/Json.h"
#include "bench/Flags.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <json/writer.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, out, "", "file for the raw figures");
ABSL_FLAG(std::string, nodes, "13,50", "numbers of nodes (convergence)");
ABSL_FLAG(uint32_t, changes, 100, "changes to publish (convergence)");
ABSL_FLAG(std::string, profile, "aspenfold",
          "aspenfold, association, or baseline: every node watches the "
          "platform (convergence)");
ABSL_FLAG(std::string, rates, "50,500", "calls a second (latency)");
ABSL_FLAG(uint32_t, rounds, 5, "paired rounds (latency)");
ABSL_FLAG(std::string, results, "bench/results", "folder of raw figures");
ABSL_FLAG(std::string, page, "", "page whose table to rewrite (capacity)");
ABSL_FLAG(uint32_t, idle_s, 10, "idle seconds to measure (convergence)");

namespace hickorylift::bench {

double percentile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto At = static_cast<size_t>(Share * static_cast<double>(Values.size()));
  return Values[std::min(Values.size() - 1, At)];
}

Fit fitLine(const std::vector<Point> &Points) {
  double N = static_cast<double>(Points.size());
  double X = 0, Y = 0, XX = 0, XY = 0;
  for (const Point &One : Points) {
    X += One.X;
    Y += One.Y;
    XX += One.X * One.X;
    XY += One.X * One.Y;
  }
  Fit Out;
  double Spread = N * XX - X * X;
  Out.Slope = Spread == 0 ? 0 : (N * XY - X * Y) / Spread;
  Out.Base = N == 0 ? 0 : (Y - Out.Slope * X) / N;
  double Sum = 0;
  for (const Point &One : Points)
    Sum += std::pow(One.Y - Out.at(One.X), 2);
  Out.Error = Y == 0 ? 0 : std::sqrt(Sum / N) / (Y / N);
  return Out;
}

void writeResults(const Json::Value &Results) {
  std::string Path = absl::GetFlag(FLAGS_out);
  if (Path.empty())
    return;
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = " ";
  Builder["precision"] = 6;
  std::ofstream(Path) << Json::writeString(Builder, Results) << "\n";
}

Json::Value readResults(const std::string &Path) {
  std::ifstream In(Path);
  std::ostringstream Text;
  Text << In.rdbuf();
  FaultList Faults;
  return parseJson(Text.str(), Path, Faults).value_or(Json::Value());
}

std::string join(std::initializer_list<std::string_view> Parts) {
  std::string Out;
  for (std::string_view One : Parts)
    Out.append(One);
  return Out;
}

std::vector<unsigned> readNumbers(const std::string &List) {
  std::vector<unsigned> Out;
  std::istringstream In(List);
  for (std::string One; std::getline(In, One, ',');)
    Out.push_back(static_cast<unsigned>(std::stoul(One)));
  return Out;
}

} // namespace hickorylift::bench

int main(int Argc, char **Argv) {
  using namespace hickorylift::bench;
  std::signal(SIGPIPE, SIG_IGN);
  std::string Kind = Argc > 1 ? Argv[1] : "";
  if (Argc > 1)
    absl::ParseCommandLine(Argc - 1, Argv + 1);
  if (Kind == "convergence")
    return runConvergence();
  if (Kind == "latency")
    return runLatency();
  if (Kind == "policies")
    return runPolicies();
  if (Kind == "slopes")
    return runSlopes();
  if (Kind == "budget")
    return runBudget();
  if (Kind == "capacity")
    return runCapacity();
  std::cerr << "bench convergence|latency|policies|budget|slopes|capacity\n";
  return 2;
}
