#include "config/Config.h"

#include <algorithm>
#include <optional>

// Compiling goes in three steps. First, every record is parsed and, for each
// kind and name, the newest schema version that this build understands is
// chosen. Second, the chosen records are read into their types. Third,
// references are closed: a route's service, limit and retry policy must be in
// the same version. Only a compile without a fault yields a Config, so a route
// never points at what its version lacks, and a version is in force whole or
// not at all.

namespace hickorylift {

namespace {

constexpr int64_t MaxDurationMs = 3600 * 1000;
constexpr int64_t MaxPriority = 9;
const std::vector<std::string> KnownMethods = {
    "GET", "HEAD", "OPTIONS", "PUT", "POST", "PATCH", "DELETE"};

struct ParsedRecord {
  std::string EntryName;
  std::string_view Text;
  Json::Value Root;
  std::string Kind;
  std::string Name;
  int64_t Schema = 0;
};

bool startsWithSegment(std::string_view Path, std::string_view Prefix) {
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  return Prefix.back() == '/' || Path.size() == Prefix.size() ||
         Path[Prefix.size()] == '/';
}

std::string_view withoutQuery(std::string_view Path) {
  return Path.substr(0, Path.find('?'));
}

bool takesMethod(const Route &One, const std::string &Method) {
  return One.Methods.empty() || One.Methods.count(Method) != 0;
}

} // namespace

std::string recordEntryName(const std::string &Kind, const std::string &Name,
                            int64_t Schema) {
  return Kind + "/" + Name + "@" + std::to_string(Schema);
}

const Route *Config::findRoute(const std::string &Method,
                               std::string_view Path) const {
  Path = withoutQuery(Path);
  // Try "/a/b", "/a/", "/a", "/": each prefix that ends at a segment.
  std::string_view Prefix = Path;
  while (!Prefix.empty()) {
    auto Found = this->ByPrefix.find(Prefix);
    if (Found != this->ByPrefix.end())
      for (const Route *One : Found->second)
        if (takesMethod(*One, Method))
          return One;
    if (Prefix.back() == '/') {
      Prefix.remove_suffix(1);
      continue;
    }
    Prefix = Prefix.substr(0, Prefix.rfind('/') + 1);
  }
  return nullptr;
}

const Route *Config::findRouteSlowly(const std::string &Method,
                                     std::string_view Path) const {
  Path = withoutQuery(Path);
  const Route *Best = nullptr;
  for (const auto &[Name, One] : this->Routes) {
    if (!startsWithSegment(Path, One.Prefix) || !takesMethod(One, Method))
      continue;
    if (!Best || One.Prefix.size() > Best->Prefix.size())
      Best = &One;
  }
  return Best;
}

const Service *Config::findService(const std::string &Name) const {
  auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

const Limit *Config::findLimit(const std::string &Name) const {
  auto Found = this->Limits.find(Name);
  return Found == this->Limits.end() ? nullptr : &Found->second;
}

class ConfigCompiler {
public:
  ConfigCompiler(const Document &Doc, const CompileOptions &Options)
      : Doc(Doc), Options(Options), Made(std::make_shared<Config>()) {}

  CompileResult run() {
    this->Made->Place = this->Doc.stamp();
    if (this->Doc.entries().size() > this->Options.MaxRecords)
      this->Faults.push_back({"version", 0, 0, "",
                              "more than " +
                                  std::to_string(this->Options.MaxRecords) +
                                  " records"});
    else
      this->compileRecords();
    if (!this->Faults.empty() && this->Options.Guards.WholeVersions)
      return {nullptr, std::move(this->Faults)};
    this->indexRoutes();
    return {this->Made, {}};
  }

private:
  bool full() const { return this->Faults.size() >= this->Options.MaxFaults; }

  void compileRecords() {
    std::map<std::string, std::vector<ParsedRecord>> Versions;
    for (const auto &[Name, Held] : this->Doc.entries()) {
      if (this->full())
        return;
      if (std::optional<ParsedRecord> One = this->parse(Name, *Held.Bytes))
        Versions[One->Kind + "/" + One->Name].push_back(std::move(*One));
    }
    // Routes last: they refer to all else. A choice is a list index, for the
    // records hold their JSON and are costly to copy.
    std::vector<const ParsedRecord *> Routes;
    for (auto &[Name, Candidates] : Versions) {
      const ParsedRecord *Chosen = this->choose(Name, Candidates);
      if (!Chosen || this->full())
        continue;
      if (Chosen->Kind == "route")
        Routes.push_back(Chosen);
      else
        this->readRecord(*Chosen);
    }
    for (const ParsedRecord *One : Routes)
      if (!this->full())
        this->readRoute(*One);
    this->checkOverlaps();
  }

  // Two routes that take the same requests: which one would hold depends on
  // their names, and the operators did not mean that.
  void checkOverlaps() {
    std::map<std::pair<std::string, std::string>, std::string> Taken;
    for (const auto &[Name, One] : this->Made->Routes) {
      std::set<std::string> Methods = One.Methods;
      if (Methods.empty())
        Methods.insert(KnownMethods.begin(), KnownMethods.end());
      std::set<std::string> Others;
      for (const std::string &Method : Methods) {
        auto [Found, New] = Taken.try_emplace({One.Prefix, Method}, Name);
        if (!New)
          Others.insert(Found->second);
      }
      for (const std::string &Other : Others)
        this->Faults.push_back({"route/" + Name, 0, 0, "/match",
                                "takes the same requests as route " + Other});
    }
  }

  std::optional<ParsedRecord> parse(const std::string &EntryName,
                                    const std::string &Text) {
    if (Text.size() > this->Options.MaxRecordBytes) {
      this->Faults.push_back({EntryName, 0, 0, "",
                              "longer than " +
                                  std::to_string(this->Options.MaxRecordBytes) +
                                  " bytes"});
      return std::nullopt;
    }
    std::optional<Json::Value> Root = parseJson(Text, EntryName, this->Faults);
    if (!Root)
      return std::nullopt;
    size_t Before = this->Faults.size();
    ParsedRecord One{EntryName, Text, std::move(*Root), "", "", 0};
    JsonObject Top({EntryName, Text, &this->Faults}, One.Root, "");
    One.Kind =
        Top.oneOf("kind", std::nullopt, {"route", "service", "limit", "retry"});
    One.Name = Top.name("name");
    One.Schema = Top.integer("schema", std::nullopt, 1, 1000000);
    if (this->Faults.size() != Before)
      return std::nullopt;
    std::string Expected = recordEntryName(One.Kind, One.Name, One.Schema);
    if (Expected != EntryName) {
      Top.fault("name", "the manifest calls this record " + EntryName +
                            ", it calls itself " + Expected);
      return std::nullopt;
    }
    return One;
  }

  const ParsedRecord *choose(const std::string &Name,
                             const std::vector<ParsedRecord> &Candidates) {
    const ParsedRecord *Best = nullptr;
    for (const ParsedRecord &One : Candidates) {
      int64_t Newest = this->Options.NewestSchema.at(One.Kind);
      if (One.Schema <= Newest && (!Best || One.Schema > Best->Schema))
        Best = &One;
    }
    if (!Best)
      this->Faults.push_back({Candidates.front().EntryName, 0, 0, "/schema",
                              "this build understands no schema version of " +
                                  Name + "; newest understood is " +
                                  std::to_string(this->Options.NewestSchema.at(
                                      Candidates.front().Kind))});
    return Best;
  }

  JsonObject open(const ParsedRecord &One) {
    JsonObject Top({One.EntryName, One.Text, &this->Faults}, One.Root, "");
    Top.string("kind", "");
    Top.string("name", "");
    Top.integer("schema", 1, 1, 1000000);
    return Top;
  }

  void readRecord(const ParsedRecord &One) {
    if (One.Kind == "service")
      this->readService(One);
    else if (One.Kind == "limit")
      this->readLimit(One);
    else
      this->readRetry(One);
  }

  void readService(const ParsedRecord &Record) {
    JsonObject Top = this->open(Record);
    Service One;
    One.Name = Record.Name;
    One.Slots =
        static_cast<uint32_t>(Top.integer("slots", One.Slots, 1, 100000));
    One.Connections = static_cast<uint32_t>(
        Top.integer("connections", One.Connections, 1, 100000));
    One.QueueLimit =
        static_cast<uint32_t>(Top.integer("queue", One.QueueLimit, 0, 100000));
    One.QueueWait =
        Top.millis("queue_wait_ms", One.QueueWait.count(), 0, MaxDurationMs);
    One.Warmup = Top.millis("warmup_ms", One.Warmup.count(), 0, MaxDurationMs);
    One.Drain = Top.millis("drain_ms", One.Drain.count(), 0, MaxDurationMs);
    One.KeyWindow =
        Top.millis("key_window_ms", One.KeyWindow.count(), 1000, MaxDurationMs);
    if (One.Connections < One.Slots)
      Top.fault("connections",
                "fewer connections than slots; expected at least " +
                    std::to_string(One.Slots));
    Top.finish();
    this->Made->Services.emplace(One.Name, std::move(One));
  }

  CallerLimit readCallerLimit(JsonObject &From) {
    CallerLimit One;
    One.RatePerSecond = From.number("rate_per_s", 0, 0, 1e7);
    One.Burst = From.number("burst", std::max(1.0, One.RatePerSecond), 1, 1e7);
    One.Concurrency =
        static_cast<uint32_t>(From.integer("concurrency", 0, 0, 1000000));
    return One;
  }

  void readLimit(const ParsedRecord &Record) {
    JsonObject Top = this->open(Record);
    Limit One;
    One.Name = Record.Name;
    One.All = this->readCallerLimit(Top);
    if (std::optional<JsonObject> Classes = Top.object("by_class", false)) {
      for (const std::string &Class : Classes->keys()) {
        if (std::optional<JsonObject> Inner = Classes->object(Class, true)) {
          One.ByClass[Class] = this->readCallerLimit(*Inner);
          Inner->finish();
        }
      }
    }
    Top.finish();
    this->Made->Limits.emplace(One.Name, std::move(One));
  }

  void readRetry(const ParsedRecord &Record) {
    JsonObject Top = this->open(Record);
    RetryPolicy One;
    One.Name = Record.Name;
    if (Top.has("idempotent_methods"))
      One.IdempotentMethods = this->readMethods(Top, "idempotent_methods");
    One.Attempts =
        static_cast<uint32_t>(Top.integer("attempts", One.Attempts, 1, 10));
    One.BudgetPercent = Top.number("budget_percent", One.BudgetPercent, 0, 100);
    Top.finish();
    this->Made->Retries.emplace(One.Name, std::move(One));
  }

  std::set<std::string> readMethods(JsonObject &From, const std::string &Key) {
    std::set<std::string> Out;
    for (const std::string &Method : From.strings(Key)) {
      if (std::find(KnownMethods.begin(), KnownMethods.end(), Method) ==
          KnownMethods.end())
        From.fault(Key, "unknown method " + Method);
      Out.insert(Method);
    }
    return Out;
  }

  template <typename T>
  const T *refer(JsonObject &From, const std::string &Key,
                 const std::map<std::string, T> &Known) {
    std::string Name = From.name(Key);
    auto Found = Known.find(Name);
    if (Found != Known.end())
      return &Found->second;
    if (isName(Name))
      From.fault(Key, "this version holds no usable " + Key + " named " + Name);
    return nullptr;
  }

  void readRoute(const ParsedRecord &Record) {
    JsonObject Top = this->open(Record);
    Route One;
    One.Name = Record.Name;
    this->readMatch(Top, One);
    One.Target = this->refer(Top, "service", this->Made->Services);
    One.Retry = &this->Made->DefaultRetry;
    if (Top.has("retry"))
      One.Retry = this->refer(Top, "retry", this->Made->Retries);
    if (Top.has("limit"))
      One.Bound = this->refer(Top, "limit", this->Made->Limits);
    One.Timeout =
        Top.millis("timeout_ms", One.Timeout.count(), 1, MaxDurationMs);
    One.Priority = static_cast<uint32_t>(
        Top.integer("priority", One.Priority, 0, MaxPriority));
    if (Record.Schema >= 2)
      this->readRouteV2(Top, One);
    Top.finish();
    this->Made->Routes.emplace(One.Name, std::move(One));
  }

  void readMatch(JsonObject &Top, Route &One) {
    std::optional<JsonObject> Match = Top.object("match", true);
    if (!Match)
      return;
    One.Prefix = Match->string("prefix", std::nullopt);
    if (One.Prefix.empty() || One.Prefix.front() != '/' ||
        One.Prefix.find_first_of("?# ") != std::string::npos)
      Match->fault("prefix", "expected a path that starts with '/'");
    One.Methods = this->readMethods(*Match, "methods");
    Match->finish();
  }

  // Version 2 adds the caller's class and the idempotency key.
  void readRouteV2(JsonObject &Top, Route &One) {
    if (std::optional<JsonObject> Classes = Top.object("class_priority", false))
      for (const std::string &Class : Classes->keys())
        One.ClassPriority[Class] = static_cast<uint32_t>(
            Classes->integer(Class, std::nullopt, 0, MaxPriority));
    if (Top.oneOf("idempotency_key", "optional", {"optional", "required"}) ==
        "required")
      One.Key = KeyRule::Required;
  }

  void indexRoutes() {
    for (const auto &[Name, One] : this->Made->Routes)
      this->Made->ByPrefix[One.Prefix].push_back(&One);
  }

  const Document &Doc;
  const CompileOptions &Options;
  std::shared_ptr<Config> Made;
  FaultList Faults;
};

CompileResult compileConfig(const Document &Doc,
                            const CompileOptions &Options) {
  return ConfigCompiler(Doc, Options).run();
}

} // namespace hickorylift
