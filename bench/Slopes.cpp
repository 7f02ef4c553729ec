#include "bench/Bench.h"

#include "base/Hash.h"
#include "config/Config.h"
#include "gate/IdempotencyChecker.h"
#include "membership/Membership.h"
#include "spread/Spreader.h"

#include <cstdio>
#include <fstream>
#include <functional>
#include <malloc.h>
#include <unistd.h>

// The deciding code alone, at several sizes up to the two-year one: times and
// memory of one node's lists and configuration.

namespace hickorylift::bench {

namespace {

constexpr unsigned DataCentres = 12;
constexpr double InstancesPerService = 8700.0 / 940;
const unsigned Sizes[] = {1000, 2000, 4350, 8700};

double residentMb() {
  malloc_trim(0);
  double Total = 0, Resident = 0;
  std::ifstream("/proc/self/statm") >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double microseconds(unsigned Times, const std::function<void()> &Work) {
  TimePoint Start = Clock::now();
  for (unsigned I = 0; I < Times; ++I)
    Work();
  return std::chrono::duration<double, std::micro>(Clock::now() - Start)
             .count() /
         Times;
}

std::string serviceName(unsigned Number) {
  return "service-" + std::to_string(Number);
}

DocumentPtr makeList(unsigned Place, unsigned Instances, uint64_t Revision) {
  EntryMap Entries;
  for (unsigned I = Place; I < Instances; I += DataCentres) {
    Instance One;
    One.Service = serviceName(static_cast<unsigned>(I / InstancesPerService));
    One.Name = One.Service + "-" + std::to_string(I);
    One.DataCentre = "dc" + std::to_string(Place);
    One.Node = "10.1." + std::to_string(I / 250) + "." +
               std::to_string(1 + I % 250) + ":7000";
    One.Operator = "10.1." + std::to_string(I / 250) + "." +
                   std::to_string(1 + I % 250) + ":9000";
    Entries[One.Name] = makeEntry(One.Name, writeInstance(One));
  }
  return Document::make(Revision, Revision, std::move(Entries));
}

// Two routes and a service for each service, and a retry policy for each ten.
DocumentPtr makeVersion(unsigned Services, uint64_t Version) {
  EntryMap Entries;
  auto Add = [&](const std::string &Name, const std::string &Text) {
    Entries[Name] = makeEntry(Name, Text);
  };
  for (unsigned I = 0; I < Services; ++I) {
    std::string Name = serviceName(I);
    std::string Retry = "retry-" + std::to_string(I / 10);
    if (I % 10 == 0)
      Add(recordEntryName("retry", Retry, 1),
          join({R"({"attempts":3,"budget_percent":10,"idempotent_methods":)",
                R"(["GET","HEAD"],"kind":"retry","name":")", Retry,
                R"(","schema":1})"}));
    Add(recordEntryName("service", Name, 1),
        join({R"({"connections":130,"drain_ms":30000,"kind":"service",)",
              R"("name":")", Name, R"(","queue":20,"schema":1,"slots":10})"}));
    for (const char *Kind : {"read", "write"}) {
      std::string Route = Name + "-" + Kind;
      uint64_t Timeout = I == 0 ? 1000 + Version : 2000;
      Add(recordEntryName("route", Route, 1),
          join({R"({"kind":"route","match":{"methods":[")",
                Kind[0] == 'r' ? "GET" : "POST", R"("],"prefix":"/)", Name,
                R"(/api"},"name":")", Route, R"(","retry":")", Retry,
                R"(","schema":1,"service":")", Name, R"(","timeout_ms":)",
                std::to_string(Timeout), "}"}));
    }
  }
  return Document::make(Version, Version, std::move(Entries));
}

// What a Spreader keeps to make deltas from: eight older documents of each
// topic, which share their entries with the newest.
std::vector<DocumentPtr> keepBases(const DocumentPtr &Version,
                                   const std::vector<DocumentPtr> &Lists) {
  std::vector<DocumentPtr> Out;
  for (unsigned I = 0; I < Spreader::Options().MaxDeltaBases; ++I) {
    Out.push_back(Document::make(I, I, Version->entries()));
    for (const DocumentPtr &List : Lists)
      Out.push_back(Document::make(I, I, List->entries()));
  }
  return Out;
}

Json::Value measure(unsigned Instances) {
  auto Services = static_cast<unsigned>(Instances / InstancesPerService);
  Json::Value Out(Json::objectValue);
  Out["instances"] = Instances;
  Out["services"] = Services;

  double Empty = residentMb();
  std::vector<DocumentPtr> Lists;
  for (unsigned Place = 0; Place < DataCentres; ++Place)
    Lists.push_back(makeList(Place, Instances, 1));
  Membership::Options Who;
  Who.Self = Lists[0]->entries().begin()->first;
  Who.DataCentre = "dc0";
  Membership Fleet(Who);
  for (unsigned Place = 0; Place < DataCentres; ++Place)
    Fleet.update("dc" + std::to_string(Place), *Lists[Place]);
  Out["lists_mb"] = residentMb() - Empty;
  DocumentPtr Changed = makeList(0, Instances - DataCentres, 2);
  Out["list_update_us"] = microseconds(20,
                                       [&] {
                                         Fleet.update("dc0", *Changed);
                                         Fleet.update("dc0", *Lists[0]);
                                       }) /
                          2;
  Out["neighbours_us"] = microseconds(50, [&] { Fleet.neighbours(); });
  Out["reader_us"] = microseconds(200, [&] { Fleet.isReader(); });
  const auto &Up = Fleet.upstreams(serviceName(0));
  Out["key_home_us"] = microseconds(2000, [&] { keyHome("some-key", Up); });

  double BeforeConfig = residentMb();
  DocumentPtr Version = makeVersion(Services, 1);
  DocumentPtr Next = makeVersion(Services, 2);
  Out["records"] = Json::UInt64(Version->entries().size());
  CompileResult Made = compileConfig(*Version, CompileOptions());
  Out["config_mb"] = residentMb() - BeforeConfig;
  Out["compile_fresh_ms"] =
      microseconds(5, [&] { compileConfig(*Next, CompileOptions()); }) / 1000;
  Compiler Kept{CompileOptions()};
  Kept.compile(*Version);
  Out["compile_change_ms"] = microseconds(5,
                                          [&] {
                                            Kept.compile(*Next);
                                            Kept.compile(*Version);
                                          }) /
                             2000;
  ChangeSet Delta = makeDelta(Version->entries(), Next->entries());
  Out["delta_make_us"] =
      microseconds(20, [&] { makeDelta(Version->entries(), Next->entries()); });
  Out["delta_apply_us"] = microseconds(
      20, [&] { (void)applyDelta(Version, Next->stamp(), Delta); });
  uint32_t RawSize = 0;
  Out["delta_bytes"] = Json::UInt64(packChanges(Delta, 256, RawSize).size());
  ChangeSet Whole = makeDelta({}, Version->entries());
  Out["snapshot_bytes"] = Json::UInt64(packChanges(Whole, 256, RawSize).size());
  Out["snapshot_pack_ms"] =
      microseconds(3, [&] { packChanges(Whole, 256, RawSize); }) / 1000;
  size_t ListsBytes = 0;
  for (const DocumentPtr &List : Lists)
    ListsBytes +=
        packChanges(makeDelta({}, List->entries()), 256, RawSize).size();
  Out["lists_bytes"] = Json::UInt64(ListsBytes);
  double BeforeBases = residentMb();
  std::vector<DocumentPtr> Bases = keepBases(Version, Lists);
  Out["bases_mb"] = residentMb() - BeforeBases;
  std::string Path =
      "/" + serviceName(Services / 2) + "/api/some/deep/path?x=1";
  Out["route_us"] =
      microseconds(20000, [&] { Made.Compiled->findRoute("GET", Path); });
  return Out;
}

} // namespace

int runSlopes() {
  Json::Value Results(Json::arrayValue);
  for (unsigned Size : Sizes) {
    Json::Value One = measure(Size);
    for (const std::string &Name : One.getMemberNames())
      std::printf("%s=%.3f ", Name.c_str(), One[Name].asDouble());
    std::printf("\n");
    std::fflush(stdout);
    Results.append(One);
  }
  writeResults(Results);
  return 0;
}

} // namespace hickorylift::bench
