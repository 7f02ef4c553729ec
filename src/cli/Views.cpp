#include "cli/Views.h"

#include "base/Json.h"
#include "base/Log.h"
#include "cli/Http.h"

#include <iostream>
#include <thread>

namespace hickorylift {

namespace {

constexpr Millis WatchInterval{200};
constexpr unsigned FetchTimeoutSeconds = 3;

void printCounts(const char *Title, const Json::Value &Counts) {
  for (const std::string &Name : Counts.getMemberNames())
    std::cout << "  " << Title << " " << Name << ": " << Counts[Name].asUInt64()
              << "\n";
}

std::string progressLine(uint64_t Version, const Progress &Of) {
  LogLine Line("watch");
  Line.add("version", Version)
      .add("holding", Of.Holding)
      .add("listed", Of.Listed)
      .add("not_heard", Of.notHeard())
      .add("refusing", Of.Refusing);
  if (Of.Refusing)
    Line.add("refused_by", Of.RefusedBy).add("fault", Of.Fault);
  return Line.text();
}

std::string progressJson(uint64_t Version, const Progress &Of) {
  Json::Value Out(Json::objectValue);
  Out["version"] = Json::UInt64(Version);
  Out["holding"] = Json::UInt64(Of.Holding);
  Out["listed"] = Json::UInt64(Of.Listed);
  Out["not_heard"] = Json::UInt64(Of.notHeard());
  Out["refusing"] = Json::UInt64(Of.Refusing);
  Out["refused_by"] = Of.RefusedBy;
  Out["fault"] = Of.Fault;
  return writeJson(Out);
}

// Any node knows its root; only the root has the counts.
Result<Json::Value> fetchFleet(const std::string &Node) {
  Result<Json::Value> Got = fetchJson(Node, "/fleet", FetchTimeoutSeconds);
  if (!Got || (*Got)["complete"].asBool())
    return Got;
  return fetchJson((*Got)["root"].asString(), "/fleet", FetchTimeoutSeconds);
}

Result<uint64_t> newestVersion(const std::string &Node) {
  Result<Json::Value> Got = fetchJson(Node, "/status", FetchTimeoutSeconds);
  if (!Got)
    return Got.error();
  return (*Got)["newest_known"]["version"].asUInt64();
}

} // namespace

void printStatus(const Json::Value &Status) {
  std::cout << Status["name"].asString() << " ("
            << Status["data_centre"].asString() << ", "
            << Status["service"].asString()
            << ")\n  ready: " << (Status["ready"].asBool() ? "yes" : "no")
            << "\n";
  if (Status.isMember("config"))
    std::cout << "  in force: version "
              << Status["config"]["version"].asUInt64() << " from "
              << Status["config"]["from"].asString() << ", for "
              << Status["config"]["for_ms"].asInt64() / 1000 << " s\n";
  else
    std::cout << "  in force: nothing\n";
  if (Status["newest_known"]["stamp"] != Status["config"]["stamp"])
    std::cout << "  newest known: version "
              << Status["newest_known"]["version"].asUInt64()
              << ", not in force here\n";
  std::cout << "  instances: " << Status["instances"].asUInt64()
            << ", oldest list ";
  if (Status.isMember("oldest_list_age_ms"))
    std::cout << Status["oldest_list_age_ms"].asInt64() / 1000 << " s old\n";
  else
    std::cout << "not complete\n";
  if (Status.isMember("evacuated")) {
    std::cout << "  evacuated:";
    for (const Json::Value &One : Status["evacuated"])
      std::cout << " " << One.asString();
    std::cout << "\n";
  }
  std::cout << "  peers:";
  for (const Json::Value &Peer : Status["peers"])
    std::cout << " " << Peer.asString();
  const Json::Value &Upstream = Status["upstream"];
  std::cout << "\n  upstream: "
            << (Upstream["reachable"].asBool() ? "reachable" : "lost")
            << ", running " << Upstream["running"].asUInt() << " of "
            << Upstream["slots"].asUInt() << ", waiting "
            << Upstream["waiting"].asUInt();
  if (Upstream["cold"].asBool())
    std::cout << ", cold";
  if (Upstream.isMember("stated_rate"))
    std::cout << ", takes " << Upstream["stated_rate"].asDouble()
              << " calls a second";
  if (Upstream["leaving"].asBool())
    std::cout << ", leaving";
  if (Upstream["shed_percent"].asUInt() > 0)
    std::cout << ", sheds " << Upstream["shed_percent"].asUInt()
              << " % with free slots";
  if (Upstream.isMember("slowdown_percent"))
    std::cout << ", runs take " << Upstream["slowdown_percent"].asUInt()
              << " % of their usual time";
  if (!Upstream["drained_by"].asString().empty())
    std::cout << ", draining by " << Upstream["drained_by"].asString();
  std::cout << "\n";
  printCounts("entry refused", Status["entry"]["refused"]);
  printCounts("gate refused", Status["gate"]["refused"]);
}

void printAudit(const Json::Value &Events) {
  for (const Json::Value &One : Events)
    std::cout << LogLine(One["what"].asString())
                     .add("number", One["number"].asUInt64())
                     .add("ago_ms", One["ago_ms"].asUInt64())
                     .add("subject", One["subject"].asString())
                     .add("source", One["source"].asString())
                     .add("outcome", One["outcome"].asString())
                     .text()
              << "\n";
}

void printQuarantine(const Json::Value &Requests) {
  for (const Json::Value &One : Requests)
    std::cout << LogLine(One["standing"].asString())
                     .add("fingerprint", One["fingerprint"].asString())
                     .add("crashes", One["crashes"].asUInt64())
                     .add("last_crash_ago_ms",
                          One["last_crash_ago_ms"].asUInt64())
                     .add("come_back_ms", One["come_back_ms"].asUInt64())
                     .add("request", One["request"].asString())
                     .text()
              << "\n";
}

void printExplain(const Json::Value &Found) {
  std::cout << Found["method"].asString() << " " << Found["path"].asString()
            << "\n";
  if (Found.isMember("config"))
    std::cout << "  version in force: " << Found["config"]["version"].asUInt64()
              << ", from " << Found["config"]["from"].asString() << "\n";
  if (Found.isMember("route"))
    std::cout << "  route: " << Found["route"].asString() << ", service "
              << Found["service"].asString() << ", idempotent "
              << (Found["idempotent"].asBool() ? "yes" : "no") << ", time-out "
              << Found["timeout_ms"].asInt64() << " ms\n";
  for (const Json::Value &One : Found["candidates"])
    std::cout << "  candidate: " << One["name"].asString() << " in "
              << One["data_centre"].asString()
              << (One["leaving"].asBool() ? ", leaving" : "")
              << (One["ejected"].asBool() ? ", ejected" : "") << "\n";
  if (Found.isMember("chosen"))
    std::cout << "  chosen: " << Found["chosen"].asString() << "\n";
  std::cout << "  why: " << Found["note"].asString() << "\n";
}

Progress readProgress(const Json::Value &Fleet, uint64_t Version) {
  Progress Out;
  for (const std::string &Name : Fleet["listed"].getMemberNames())
    Out.Listed += Fleet["listed"][Name].asUInt64();
  for (const std::string &Name : Fleet["data_centres"].getMemberNames()) {
    const Json::Value &Row = Fleet["data_centres"][Name];
    Out.Heard += Row["heard"].asUInt64();
    for (const Json::Value &One : Row["versions"])
      if (One["version"].asUInt64() >= Version)
        Out.Holding += One["nodes"].asUInt64();
    for (const Json::Value &One : Row["refusals"]) {
      if (One["version"].asUInt64() != Version)
        continue;
      Out.Refusing += One["nodes"].asUInt64();
      Out.RefusedBy = One["sample_node"].asString();
      Out.Fault = One["fault"].asString();
    }
  }
  return Out;
}

Result<bool> watchVersion(const WatchOptions &Options) {
  TimePoint End = Options.Now() + Options.Limit;
  uint64_t Version = Options.Version;
  if (Version == 0) {
    Result<uint64_t> Newest = newestVersion(Options.Node);
    if (!Newest)
      return Newest.error();
    Version = *Newest;
  }
  std::optional<Progress> Last;
  while (true) {
    Result<Json::Value> Fleet = fetchFleet(Options.Node);
    if (!Fleet)
      return Fleet.error();
    Progress Now = readProgress(*Fleet, Version);
    if (Last != Now) {
      if (Options.Terminal && !Options.Json)
        std::cout << "\r\033[K" << progressLine(Version, Now) << std::flush;
      else
        std::cout << (Options.Json ? progressJson(Version, Now)
                                   : progressLine(Version, Now))
                  << std::endl;
    }
    Last = Now;
    bool Over = Now.everywhere() || Now.Refusing > 0 || Options.Now() >= End;
    if (Over && Options.Terminal && !Options.Json)
      std::cout << "\n";
    if (Over)
      return Now.everywhere();
    std::this_thread::sleep_for(WatchInterval);
  }
}

} // namespace hickorylift
