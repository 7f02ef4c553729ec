#include "bench/Bench.h"

#include "bench/Flags.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

// Works the table of docs/CAPACITY.md out from the raw figures in
// bench/results and the sizes that the letter names, so that the page and the
// measurements cannot drift apart.

namespace hickorylift::bench {

namespace {

// The letter's sizes.
constexpr double Nodes = 8700;
constexpr double DataCentres = 12;
constexpr double NodesPerDataCentre = Nodes / DataCentres;
constexpr double DaySeconds = 86400;
constexpr double ChangesPerSecond = 23000 / DaySeconds;
// A restart is leaving, gone and live again; a failure is gone and live.
constexpr double ListChangesPerSecond = (2500 * 3 + 21 * 2) / DaySeconds;
constexpr double CallsPerNode = 390000 / Nodes;

// The limits for one node.
constexpr double CpuLimitShare = 0.017;
constexpr double MemoryLimitMb = 128;
constexpr double BytesLimit = 26000;
constexpr double AddedLimitMs = 0.96;
constexpr double ForceLimitMs = 15000;
constexpr double PlatformReads = 2000;

// Ours, as the settings' defaults have them.
constexpr double Fanout = 4;
constexpr double ReadersPerDataCentre = 2;
constexpr double Bridges = 11;
constexpr double WatchSeconds = 10;
constexpr double ReaderReadsPerSecond = 100;
constexpr double HeartbeatSeconds = 2;
constexpr double RecordsPerChange = 1;
constexpr double HopMs = 1.5;

const char TableStart[] = "<!-- table -->";
const char TableEnd[] = "<!-- /table -->";

struct Row {
  std::string Role;
  std::string What;
  double Value;
  double Limit;
  const char *Unit;
  std::string Origin;
  std::string Mechanism;
};

std::vector<Point> points(const Json::Value &Results, const char *X,
                          const char *Y) {
  std::vector<Point> Out;
  for (const Json::Value &One : Results)
    Out.push_back({One[X].asDouble(), One[Y].asDouble()});
  return Out;
}

const Json::Value &last(const Json::Value &Results) {
  static const Json::Value Empty(Json::objectValue);
  return Results.isArray() && !Results.empty() ? Results[Results.size() - 1]
                                               : Empty;
}

double largest(const Json::Value &Results, const char *Name) {
  double Out = 0;
  for (const Json::Value &One : Results)
    Out = std::max(Out, One[Name].asDouble());
  return Out;
}

std::string percentText(double Share) {
  std::ostringstream Out;
  Out.precision(1);
  Out << std::fixed << 100 * Share << " %";
  return Out.str();
}

class Page {
public:
  explicit Page(const std::string &Folder)
      : Slopes(readResults(Folder + "/slopes.json")),
        Latency(readResults(Folder + "/latency.json")),
        Fast(readResults(Folder + "/convergence-aspenfold.json")),
        Sparing(readResults(Folder + "/convergence-association.json")) {}

  std::vector<Row> rows() {
    this->state();
    this->processor();
    this->bytes();
    this->platform();
    this->calls();
    this->time();
    this->failures();
    return this->Rows;
  }

private:
  const Json::Value &full() const { return last(this->Slopes); }
  const Json::Value &fleet() const { return last(this->Fast); }

  void add(const std::string &Role, const std::string &What, double Value,
           double Limit, const char *Unit, const std::string &Origin,
           const std::string &Mechanism) {
    this->Rows.push_back({Role, What, Value, Limit, Unit, Origin, Mechanism});
  }

  std::string slopeOrigin(const char *Name) const {
    Fit Line = fitLine(points(this->Slopes, "instances", Name));
    return "measured at full size; line over four sizes, error " +
           percentText(Line.Error);
  }

  void state() {
    double Process = largest(this->Fast, "resident_mb");
    double Lists = this->full()["lists_mb"].asDouble();
    double Config = this->full()["config_mb"].asDouble();
    double Bases = this->full()["bases_mb"].asDouble();
    this->add("every node", "lists of all data centres", Lists, MemoryLimitMb,
              "MB", this->slopeOrigin("lists_mb"),
              "Membership keeps each instance once");
    this->add("every node", "configuration in force", Config, MemoryLimitMb,
              "MB", this->slopeOrigin("config_mb"),
              "Compiler shares records between versions");
    this->add("every node", "older documents kept as bases", Bases,
              MemoryLimitMb, "MB", this->slopeOrigin("bases_mb"),
              "entries are shared, only the maps are copied");
    this->add("every node", "all control memory",
              Process + Lists + Config + Bases, MemoryLimitMb, "MB",
              "sum; the process itself (" +
                  std::to_string(static_cast<int>(Process)) +
                  " MB) measured at up to 200 nodes",
              "as above");
  }

  double changeMs() const {
    return this->fleet()["cpu_ms_per_change_node"].asDouble() +
           this->full()["compile_change_ms"].asDouble() +
           (this->full()["delta_make_us"].asDouble() +
            this->full()["delta_apply_us"].asDouble()) /
               1000;
  }

  double listMs() const {
    return (this->full()["list_update_us"].asDouble() +
            this->full()["neighbours_us"].asDouble() +
            this->full()["reader_us"].asDouble()) /
               1000 +
           this->fleet()["cpu_ms_per_change_node"].asDouble();
  }

  void processor() {
    double Idle = this->fleet()["idle_cpu_share"].asDouble();
    double Changes = ChangesPerSecond * this->changeMs() / 1000;
    double Lists = ListChangesPerSecond * this->listMs() / 1000;
    std::string Sum = "idle measured at 200 nodes; a change: measured there, "
                      "and the deciding code at full size";
    this->add("leaf", "processor for control, share of a core",
              Idle + Changes + Lists, CpuLimitShare, "", Sum,
              "heartbeats on a few links; Compiler; deltas");
    this->add(
        "inner node of the tree", "processor for control, share of a core",
        Idle + Fanout * Changes + Lists, CpuLimitShare, "",
        "as the leaf; sends to " + std::to_string(static_cast<int>(Fanout)) +
            " counted as that many changes: reasoned, too high",
        "a delta is packed once for all children");
    this->add("bridge", "processor for control, share of a core",
              Idle * Bridges / 4 + Fanout * Changes + Lists, CpuLimitShare, "",
              "idle scaled from about 4 links to 11 more: reasoned",
              "announcements only across data centres");
    this->add("reader", "processor for control, share of a core",
              Idle + 2 * Changes + 2 * Lists, CpuLimitShare, "",
              "as the leaf, and as much again for reading: reasoned",
              "one watch; missing records only");
  }

  void bytes() {
    Fit Idle = fitLine(points(this->Fast, "nodes", "idle_bytes_per_node_s"));
    // Ages of twelve lists in each heartbeat where the bench has three, on
    // about four links.
    double MoreAges = (DataCentres - 3) * 4 * 4 / HeartbeatSeconds;
    double IdleRate = largest(this->Fast, "idle_bytes_per_node_s") + MoreAges;
    double Change = largest(this->Fast, "bytes_per_change_node");
    double Leaf = IdleRate + (ChangesPerSecond + ListChangesPerSecond) * Change;
    this->add("leaf", "control bytes sent a second", Leaf, BytesLimit, "B/s",
              "largest of 13 to 200 nodes, slope " +
                  std::to_string(Idle.Slope).substr(0, 6) +
                  " B/s a node: does not grow with the fleet; ages of more "
                  "data centres reasoned",
              "a few links each; deltas; stamps only when changed");
    this->add("inner node of the tree", "control bytes sent a second",
              IdleRate +
                  Fanout * (ChangesPerSecond + ListChangesPerSecond) * Change,
              BytesLimit, "B/s", "the leaf's, times the children: reasoned",
              "fan-out is bounded by the setting");
    this->add("bridge", "control bytes sent a second",
              IdleRate * (1 + Bridges / 4) +
                  (Fanout + Bridges) *
                      (ChangesPerSecond + ListChangesPerSecond) * Change,
              BytesLimit, "B/s",
              "11 more links at the measured cost of one: reasoned",
              "two bridges in each data centre; announcements only");
  }

  void platform() {
    double Readers = ReadersPerDataCentre * DataCentres;
    double PerChange = 2 + RecordsPerChange; // manifest, record, next watch
    double PerList = 2;
    double Rate = Readers * (1 / WatchSeconds + ChangesPerSecond * PerChange +
                             ListChangesPerSecond * PerList);
    this->add("all readers", "calls to the platform a second", Rate,
              PlatformReads, "1/s",
              "reasoned from the protocol; bench: " +
                  std::to_string(static_cast<int>(
                      this->fleet()["reads_per_change"].asDouble())) +
                  " reads a change by the readers of three data centres, at "
                  "any number of nodes",
              "rendezvous readers; one watch for all keys");
    double Records = this->full()["records"].asDouble();
    double Cold = Readers * Records /
                  std::min(PlatformReads, Readers * ReaderReadsPerSecond);
    this->add("all readers", "whole fleet from nothing, seconds of reading",
              Cold, 0, "s", "reasoned: each reader reads every record",
              "token bucket in each reader; peers first");
  }

  void calls() {
    double Added = 0, Cpu = 0;
    for (const Json::Value &One : this->Latency) {
      Added = std::max(Added, One["added_p99_ms_median"].asDouble());
      if (One["rate"].asDouble() <= 50)
        Cpu = std::max(Cpu, One["cpu_us_per_call_both_nodes"].asDouble());
    }
    this->add("entry and gate", "added to a call at p99", Added, AddedLimitMs,
              "ms",
              "measured on loopback at up to 500 calls/s, the worst case of "
              "GET and POST; the median of the rounds",
              "one frame each way on a kept link; kept upstream connections");
    this->add("entry and gate", "processor for calls, share of a core",
              CallsPerNode * Cpu / 1e6, 0, "",
              "measured cost of a call at 50 a second, at " +
                  std::to_string(static_cast<int>(CallsPerNode)) +
                  " calls a second as entry and as gate",
              "no limit is set for calls");
    double Stall = (ChangesPerSecond * this->changeMs() +
                    ListChangesPerSecond * this->listMs()) /
                   1000;
    this->add("entry and gate", "calls that meet a stalled loop, share", Stall,
              0.01, "",
              "share of time that changes hold the loop, from the rows above",
              "only what has changed is read");
    this->add("entry", "route look-up", this->full()["route_us"].asDouble(), 0,
              "us", this->slopeOrigin("route_us"),
              "hash map of prefixes, by path segment");
    this->add("entry", "home of an idempotency key",
              this->full()["key_home_us"].asDouble(), 0, "us",
              this->slopeOrigin("key_home_us"),
              "rendezvous over one service's upstreams");
  }

  void time() {
    double Levels =
        std::ceil(std::log(NodesPerDataCentre) / std::log(Fanout)) + 1;
    double Each = HopMs + this->changeMs();
    double Reads = 6 * HopMs;
    this->add("all", "a change in force everywhere", Reads + Levels * Each,
              ForceLimitMs, "ms",
              "reasoned: three reads, then " +
                  std::to_string(static_cast<int>(Levels)) +
                  " levels of a hop and a change; bench at 200 nodes: p99 " +
                  std::to_string(
                      static_cast<int>(this->fleet()["p99_ms"].asDouble())) +
                  " ms",
              "readers in each data centre; eager push on a tree");
    double Repair = Levels * HeartbeatSeconds * 1000;
    this->add("all", "the same with a push lost at every level", Repair,
              ForceLimitMs, "ms", "reasoned: a heartbeat for each level",
              "stamps in heartbeats; pull");
  }

  void failures() {
    double Snapshot = this->full()["snapshot_bytes"].asDouble() +
                      this->full()["lists_bytes"].asDouble();
    // Every inner node hands whole documents to its children, at 4 MB/s.
    double Levels = std::ceil(std::log(NodesPerDataCentre) / std::log(Fanout));
    this->add("inner node of the tree",
              "a data centre (725 nodes) back together, seconds to hand out",
              Levels * Fanout * Snapshot / 4e6, ForceLimitMs / 1000, "s",
              "reasoned from the measured size of a snapshot and the "
              "budget of 4 MB/s a node",
              "snapshots within a budget; peers first; jitter");
    this->add("every node", "bytes of a snapshot, all documents",
              Snapshot / 1e6, 0, "MB", "measured at full size, compressed",
              "zstd");
    this->add("every node", "first compile after a restart",
              this->full()["compile_fresh_ms"].asDouble(), 0, "ms",
              this->slopeOrigin("compile_fresh_ms"),
              "once in a process, before it is ready");
  }

  Json::Value Slopes;
  Json::Value Latency;
  Json::Value Fast;
  Json::Value Sparing;
  std::vector<Row> Rows;
};

std::string number(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), Value < 0.1 ? "%.4f" : "%.2f", Value);
  return Text;
}

std::string toMarkdown(const std::vector<Row> &Rows) {
  std::string Out = "| role | what | at the two-year size | limit | margin | "
                    "origin | carried by |\n| --- | --- | --- | --- | --- | "
                    "--- | --- |\n";
  for (const Row &One : Rows) {
    std::string Limit = One.Limit > 0 ? number(One.Limit) : "none";
    std::string Margin = One.Limit > 0 && One.Value > 0
                             ? number(One.Limit / One.Value) + " times"
                             : "";
    Out += join({"| ", One.Role, " | ", One.What, " | ", number(One.Value), " ",
                 One.Unit, " | ", Limit, " | ", Margin, " | ", One.Origin,
                 " | ", One.Mechanism, " |\n"});
  }
  return Out;
}

bool rewritePage(const std::string &Path, const std::string &Table) {
  std::ifstream In(Path);
  std::ostringstream Read;
  Read << In.rdbuf();
  std::string Text = Read.str();
  size_t Start = Text.find(TableStart);
  size_t End = Text.find(TableEnd);
  if (Start == std::string::npos || End == std::string::npos)
    return false;
  Start += sizeof(TableStart) - 1;
  Text.replace(Start, End - Start, "\n" + Table);
  std::ofstream(Path) << Text;
  return true;
}

} // namespace

int runCapacity() {
  std::string Table = toMarkdown(Page(absl::GetFlag(FLAGS_results)).rows());
  std::cout << Table;
  std::string Path = absl::GetFlag(FLAGS_page);
  if (Path.empty() || rewritePage(Path, Table))
    return 0;
  std::cerr << Path << ": no table to rewrite\n";
  return 1;
}

} // namespace hickorylift::bench
