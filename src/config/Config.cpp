#include "config/Config.h"

#include <algorithm>
#include <optional>

// Compiling goes in three steps. First, every record is read by itself into its
// type, or taken as it was read for an earlier version if its name and bytes
// are the same. Second, for each kind and name the newest schema version that
// this build understands is chosen. Third, references are closed: a route's
// service, limit and retry policy must be in the same version. Only a compile
// without a fault yields a Config, so a route never points at what its version
// lacks, and a version is in force whole or not at all.
//
// Reading JSON is nearly all of the cost. With 940 services it took 44 ms at
// each change, in which the loop served no call; a version of which one record
// has changed takes the second and third step only.

namespace hickorylift {

namespace {

const std::vector<std::string> KnownMethods = {
    "GET", "HEAD", "OPTIONS", "PUT", "POST", "PATCH", "DELETE"};

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

std::string hostName(std::string_view Field) {
  std::string Out(Field.substr(0, Field.find(':')));
  std::transform(Out.begin(), Out.end(), Out.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Out;
}

const Route *Config::findRoute(const std::string &Method, std::string_view Path,
                               const std::string &Host) const {
  Path = withoutQuery(Path);
  for (std::string_view One : {std::string_view(Host), std::string_view()}) {
    auto Found = this->ByHost.find(One);
    if (Found == this->ByHost.end())
      continue;
    if (const Route *Taken = findIn(Found->second, Method, Path))
      return Taken;
  }
  return nullptr;
}

const Route *Config::findIn(const PrefixMap &Among, const std::string &Method,
                            std::string_view Path) {
  // Try "/a/b", "/a/", "/a", "/": each prefix that ends at a segment.
  std::string_view Prefix = Path;
  while (!Prefix.empty()) {
    auto Found = Among.find(Prefix);
    if (Found != Among.end())
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
                                     std::string_view Path,
                                     const std::string &Host) const {
  Path = withoutQuery(Path);
  const Route *Best = nullptr;
  for (const auto &[Name, One] : this->Routes) {
    if (!startsWithSegment(Path, One->Prefix) || !takesMethod(*One, Method) ||
        (!One->Host.empty() && One->Host != Host))
      continue;
    if (!Best || std::pair(!One->Host.empty(), One->Prefix.size()) >
                     std::pair(!Best->Host.empty(), Best->Prefix.size()))
      Best = One.get();
  }
  return Best;
}

const Service *Config::findService(const std::string &Name) const {
  auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : Found->second.get();
}

const Limit *Config::findLimit(const std::string &Name) const {
  auto Found = this->Limits.find(Name);
  return Found == this->Limits.end() ? nullptr : Found->second.get();
}

/// One record by itself: its type's fields, and the names that it refers to.
struct Compiler::ReadRecord {
  uint64_t Hash = 0;
  std::string EntryName;
  std::string Kind;
  std::string Name;
  int64_t Schema = 0;
  FaultList Faults;
  std::shared_ptr<const Service> AsService;
  std::shared_ptr<const RetryPolicy> AsRetry;
  std::shared_ptr<const Limit> AsLimit;
  // A route lacks its references until they are closed.
  std::shared_ptr<const Route> AsRoute;
  // The route as compiled for the last version, with its references. It is used
  // again if the references are the same in the next version, as most are.
  mutable std::shared_ptr<const Route> LastClosed;
  std::shared_ptr<const CallerBounds> AsBounds;
  // Services and their weights; one for a route that is not split.
  std::vector<std::pair<std::string, uint32_t>> ServiceNames;
  std::string RetryName;
  std::string LimitName;
};

namespace {

/// Reads one record's JSON into its type.
class RecordReader {
public:
  RecordReader(const std::string &EntryName, const std::string &Text,
               FaultList &Faults)
      : Source{EntryName, Text, &Faults} {}

  CallerLimit readCallerLimit(JsonObject &From) {
    CallerLimit One;
    One.RatePerSecond = From.number("rate_per_s", 0, 0, MaxPerSecond);
    One.Burst =
        From.number("burst", std::max(1.0, One.RatePerSecond), 1, MaxPerSecond);
    One.Concurrency = static_cast<uint32_t>(From.integer(
        "concurrency", 0, ConcurrencyRange.Low, ConcurrencyRange.High));
    return One;
  }

  Service readService(JsonObject &Top, int64_t Schema) {
    Service One;
    One.Slots = static_cast<uint32_t>(
        Top.integer("slots", One.Slots, SlotsRange.Low, SlotsRange.High));
    One.Connections = static_cast<uint32_t>(
        Top.integer("connections", One.Connections, ConnectionsRange.Low,
                    ConnectionsRange.High));
    One.QueueLimit = static_cast<uint32_t>(
        Top.integer("queue", One.QueueLimit, QueueRange.Low, QueueRange.High));
    One.QueueWait = Top.millis("queue_wait_ms", One.QueueWait.count(),
                               DurationMsRange.Low, DurationMsRange.High);
    One.Warmup = Top.millis("warmup_ms", One.Warmup.count(),
                            DurationMsRange.Low, DurationMsRange.High);
    One.Drain = Top.millis("drain_ms", One.Drain.count(), DurationMsRange.Low,
                           DurationMsRange.High);
    One.KeyWindow = Top.millis("key_window_ms", One.KeyWindow.count(),
                               KeyWindowMsRange.Low, KeyWindowMsRange.High);
    if (Schema >= 2)
      this->readServiceV2(Top, One);
    if (One.Connections < One.Slots)
      Top.fault("connections",
                "fewer connections than slots; expected at least " +
                    std::to_string(One.Slots));
    return One;
  }

  Limit readLimit(JsonObject &Top) {
    Limit One;
    One.All = this->readCallerLimit(Top);
    std::optional<JsonObject> Classes = Top.object("by_class", false);
    if (!Classes)
      return One;
    for (const std::string &Class : Classes->keys()) {
      if (std::optional<JsonObject> Inner = Classes->object(Class, true)) {
        One.ByClass[Class] = this->readCallerLimit(*Inner);
        Inner->finish();
      }
    }
    return One;
  }

  RetryPolicy readRetry(JsonObject &Top) {
    RetryPolicy One;
    if (Top.has("idempotent_methods"))
      One.IdempotentMethods = this->readMethods(Top, "idempotent_methods");
    One.Attempts = static_cast<uint32_t>(Top.integer(
        "attempts", One.Attempts, AttemptsRange.Low, AttemptsRange.High));
    constexpr double UsualPercent = 10;
    One.BudgetPercent = Top.number("budget_percent", UsualPercent, 0, 100);
    return One;
  }

  CallerBounds readBounds(JsonObject &Top) {
    CallerBounds One;
    One.HeaderBytes = static_cast<size_t>(
        Top.integer("header_bytes", One.HeaderBytes, HeaderBytesRange.Low,
                    HeaderBytesRange.High));
    One.BodyBytes = static_cast<uint64_t>(Top.integer(
        "body_bytes", One.BodyBytes, BodyBytesRange.Low, BodyBytesRange.High));
    One.HeaderTimeout =
        Top.millis("header_timeout_ms", One.HeaderTimeout.count(),
                   TimeoutMsRange.Low, TimeoutMsRange.High);
    One.IdleTimeout = Top.millis("idle_timeout_ms", One.IdleTimeout.count(),
                                 TimeoutMsRange.Low, TimeoutMsRange.High);
    return One;
  }

  // The services that a route names, with their weights.
  std::vector<std::pair<std::string, uint32_t>> readServices(JsonObject &Top,
                                                             int64_t Schema) {
    if (Schema < 3 || !Top.has("split"))
      return {{Top.name("service"), 1}};
    std::vector<std::pair<std::string, uint32_t>> Out;
    std::optional<JsonObject> Split = Top.object("split", true);
    if (!Split)
      return Out;
    for (const std::string &Name : Split->keys()) {
      if (!isName(Name))
        Split->fault(Name, "expected a name of a service");
      Out.emplace_back(
          Name, static_cast<uint32_t>(Split->integer(
                    Name, std::nullopt, WeightRange.Low, WeightRange.High)));
    }
    bool AllZero = std::all_of(Out.begin(), Out.end(), [](const auto &Part) {
      return Part.second == 0;
    });
    if (AllZero)
      Top.fault("split", "expected a service with a weight above 0");
    if (Top.has("service"))
      Top.fault("service", "stands beside split; expected one of them");
    return Out;
  }

  Route readRoute(JsonObject &Top, int64_t Schema) {
    Route One;
    this->readMatch(Top, One, Schema);
    One.Timeout = Top.millis("timeout_ms", One.Timeout.count(),
                             TimeoutMsRange.Low, TimeoutMsRange.High);
    One.Priority = static_cast<uint32_t>(Top.integer(
        "priority", One.Priority, PriorityRange.Low, PriorityRange.High));
    if (Schema >= 2)
      this->readRouteV2(Top, One);
    if (Schema >= 3)
      this->readRouteV3(Top, One);
    return One;
  }

private:
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

  void readMatch(JsonObject &Top, Route &One, int64_t Schema) {
    std::optional<JsonObject> Match = Top.object("match", true);
    if (!Match)
      return;
    One.Prefix = Match->string("prefix", std::nullopt);
    if (One.Prefix.empty() || One.Prefix.front() != '/' ||
        One.Prefix.find_first_of("?# ") != std::string::npos)
      Match->fault("prefix", "expected a path that starts with '/'");
    One.Methods = this->readMethods(*Match, "methods");
    if (Schema >= 3)
      One.Host = hostName(Match->string("host", ""));
    Match->finish();
  }

  // Version 2 adds what a cold upstream bears, and where it says how it is.
  void readServiceV2(JsonObject &Top, Service &One) {
    One.ColdPerSecond = Top.number("cold_per_s", 0, 0, MaxPerSecond);
    if (One.ColdPerSecond > 0 && One.Warmup.count() == 0)
      Top.fault("cold_per_s", "stands without warmup_ms");
    One.HealthPath = Top.string("health_path", "");
    if (!One.HealthPath.empty() && One.HealthPath.front() != '/')
      Top.fault("health_path", "expected a path that starts with '/'");
  }

  // Version 2 adds the caller's class and the idempotency key.
  void readRouteV2(JsonObject &Top, Route &One) {
    if (std::optional<JsonObject> Classes = Top.object("class_priority", false))
      for (const std::string &Class : Classes->keys())
        One.ClassPriority[Class] = static_cast<uint32_t>(Classes->integer(
            Class, std::nullopt, PriorityRange.Low, PriorityRange.High));
    if (Top.oneOf("idempotency_key", "optional", {"optional", "required"}) ==
        "required")
      One.Key = KeyRule::Required;
  }

  // Version 3 adds, besides host and split, what may be repeated by route and
  // not by method.
  void readRouteV3(JsonObject &Top, Route &One) {
    if (Top.has("idempotent"))
      One.Repeatable = Top.boolean("idempotent", false);
    One.Attempts = static_cast<uint32_t>(Top.integer(
        "attempts", 0, RouteAttemptsRange.Low, RouteAttemptsRange.High));
    One.TargetLatency =
        Top.millis("target_ms", 0, TargetMsRange.Low, TargetMsRange.High);
  }

  JsonSource Source;
};

template <typename T>
std::shared_ptr<const T> named(T Value, const std::string &Name) {
  Value.Name = Name;
  return std::make_shared<const T>(std::move(Value));
}

} // namespace

/// One document's way through the three steps.
class Compiler::Pass {
public:
  Pass(Compiler &Of, const Document &Doc)
      : Of(Of), Doc(Doc), Made(std::make_shared<Config>()) {}

  CompileResult run() {
    this->Made->Place = this->Doc.stamp();
    if (this->Doc.entries().size() > this->Of.Options.MaxRecords)
      this->Faults.push_back({"version", 0, 0, "",
                              "more than " +
                                  std::to_string(this->Of.Options.MaxRecords) +
                                  " records"});
    else
      this->compileRecords();
    if (!this->Faults.empty() && this->Of.Options.Guards.WholeVersions)
      return {nullptr, std::move(this->Faults)};
    for (const auto &[Name, One] : this->Made->Routes)
      this->Made->ByHost[One->Host][One->Prefix].push_back(One.get());
    return {this->Made, {}};
  }

private:
  using RecordPtr = std::shared_ptr<const ReadRecord>;

  bool full() const {
    return this->Faults.size() >= this->Of.Options.MaxFaults;
  }

  void compileRecords() {
    std::unordered_map<std::string, RecordPtr> Seen;
    Seen.reserve(this->Doc.entries().size());
    std::vector<RecordPtr> Routes;
    // The entries are sorted, so the schema versions of a record are adjacent.
    std::vector<RecordPtr> Candidates;
    for (const auto &[Name, Held] : this->Doc.entries()) {
      if (this->full())
        return;
      RecordPtr One = this->recall(Name, Held);
      Seen.emplace(Name, One);
      // What a newer schema version holds may not concern this build, but
      // that it is a record at all must be clear.
      if (One->Name.empty()) {
        this->addFaults(*One);
        continue;
      }
      if (!Candidates.empty() && !sameRecord(*Candidates.front(), *One))
        this->chooseAndTake(Candidates, Routes);
      Candidates.push_back(One);
    }
    this->chooseAndTake(Candidates, Routes);
    this->Of.Known = std::move(Seen);
    // Last, for they refer to all else.
    for (const RecordPtr &One : Routes)
      if (!this->full())
        this->closeRoute(*One);
    this->checkOverlaps();
  }

  void addFaults(const ReadRecord &Of) {
    this->Faults.insert(this->Faults.end(), Of.Faults.begin(), Of.Faults.end());
  }

  RecordPtr recall(const std::string &Name, const DocumentEntry &Held) {
    auto Found = this->Of.Known.find(Name);
    if (Found != this->Of.Known.end() && Found->second->Hash == Held.Hash)
      return Found->second;
    auto New = std::make_shared<ReadRecord>();
    New->Hash = Held.Hash;
    New->EntryName = Name;
    this->read(*Held.Bytes, *New);
    return New;
  }

  void read(const std::string &Text, ReadRecord &Out) {
    if (Text.size() > this->Of.Options.MaxRecordBytes) {
      Out.Faults.push_back(
          {Out.EntryName, 0, 0, "",
           "longer than " + std::to_string(this->Of.Options.MaxRecordBytes) +
               " bytes"});
      return;
    }
    std::optional<Json::Value> Root =
        parseJson(Text, Out.EntryName, Out.Faults);
    if (Root)
      readValue(*Root, Text, this->Of.Options, Out);
  }

public:
  /// Reads a record by itself. Out has its entry's name; Text, which may be
  /// empty, gives the places of faults.
  static void readValue(const Json::Value &Root, const std::string &Text,
                        const CompileOptions &Options, ReadRecord &Out) {
    JsonObject Top({Out.EntryName, Text, &Out.Faults}, Root, "");
    std::string Kind = Top.oneOf(
        "kind", std::nullopt, {"route", "service", "limit", "retry", "bounds"});
    std::string Name = Top.name("name");
    int64_t Schema =
        Top.integer("schema", std::nullopt, SchemaRange.Low, SchemaRange.High);
    if (!Out.Faults.empty())
      return;
    std::string Expected = recordEntryName(Kind, Name, Schema);
    if (Expected != Out.EntryName) {
      Top.fault("name", "the manifest calls this record " + Out.EntryName +
                            ", it calls itself " + Expected);
      return;
    }
    Out.Kind = Kind;
    Out.Name = Name;
    Out.Schema = Schema;
    if (Schema <= Options.NewestSchema.at(Kind))
      readFields(Text, Top, Out);
  }

private:
  static void readFields(const std::string &Text, JsonObject &Top,
                         ReadRecord &Out) {
    RecordReader Fields(Out.EntryName, Text, Out.Faults);
    if (Out.Kind == "service")
      Out.AsService = named(Fields.readService(Top, Out.Schema), Out.Name);
    else if (Out.Kind == "limit")
      Out.AsLimit = named(Fields.readLimit(Top), Out.Name);
    else if (Out.Kind == "retry")
      Out.AsRetry = named(Fields.readRetry(Top), Out.Name);
    else if (Out.Kind == "bounds")
      Out.AsBounds = std::make_shared<CallerBounds>(Fields.readBounds(Top));
    else {
      Out.ServiceNames = Fields.readServices(Top, Out.Schema);
      Out.RetryName = Top.name("retry", "");
      Out.LimitName = Top.name("limit", "");
      Out.AsRoute = named(Fields.readRoute(Top, Out.Schema), Out.Name);
    }
    Top.finish();
  }

  static bool sameRecord(const ReadRecord &A, const ReadRecord &B) {
    return A.Name == B.Name && A.Kind == B.Kind;
  }

  /// Takes the newest usable schema version of one record and clears the list.
  void chooseAndTake(std::vector<RecordPtr> &Candidates,
                     std::vector<RecordPtr> &Routes) {
    if (Candidates.empty())
      return;
    if (RecordPtr Chosen = this->choose(Candidates))
      this->take(Chosen, Routes);
    Candidates.clear();
  }

  RecordPtr choose(const std::vector<RecordPtr> &Candidates) {
    RecordPtr Best;
    int64_t Newest = this->Of.Options.NewestSchema.at(Candidates.front()->Kind);
    for (const RecordPtr &One : Candidates)
      if (One->Schema <= Newest && (!Best || One->Schema > Best->Schema))
        Best = One;
    if (!Best)
      this->Faults.push_back(
          {Candidates.front()->EntryName, 0, 0, "/schema",
           "this build understands no schema version of " +
               Candidates.front()->Kind + "/" + Candidates.front()->Name +
               "; newest understood is " + std::to_string(Newest)});
    return Best;
  }

  void take(const RecordPtr &One, std::vector<RecordPtr> &Routes) {
    this->addFaults(*One);
    if (One->AsService)
      this->Made->Services[One->Name] = One->AsService;
    if (One->AsLimit)
      this->Made->Limits[One->Name] = One->AsLimit;
    if (One->AsRetry)
      this->Made->Retries[One->Name] = One->AsRetry;
    if (One->AsBounds)
      this->takeBounds(*One);
    if (One->AsRoute)
      Routes.push_back(One);
  }

  void takeBounds(const ReadRecord &One) {
    if (std::exchange(this->HaveBounds, true))
      this->Faults.push_back({One.EntryName, 0, 0, "/name",
                              "a version may hold one record of this kind"});
    this->Made->Bounds = *One.AsBounds;
  }

  template <typename T>
  std::shared_ptr<const T>
  refer(const ReadRecord &From, const std::string &Field,
        const std::string &Name, const Config::Named<T> &Known) {
    auto Found = Known.find(Name);
    if (Found != Known.end())
      return Found->second;
    if (isName(Name))
      this->Faults.push_back(
          {From.EntryName, 0, 0, "/" + Field,
           "this version holds no usable " + Field + " named " + Name});
    return nullptr;
  }

  void closeRoute(const ReadRecord &Record) {
    static const auto DefaultRetry = std::make_shared<const RetryPolicy>();
    std::vector<SplitPart> Parts;
    for (const auto &[Name, Weight] : Record.ServiceNames)
      Parts.push_back(
          {this->refer(Record, "service", Name, this->Made->Services), Weight});
    std::shared_ptr<const RetryPolicy> Retry = DefaultRetry;
    if (!Record.RetryName.empty())
      Retry =
          this->refer(Record, "retry", Record.RetryName, this->Made->Retries);
    std::shared_ptr<const Limit> Bound;
    if (!Record.LimitName.empty())
      Bound =
          this->refer(Record, "limit", Record.LimitName, this->Made->Limits);
    if (!hasReferences(Record.LastClosed, Parts, Retry, Bound)) {
      Route Closed = *Record.AsRoute;
      Closed.Parts = std::move(Parts);
      Closed.Retry = std::move(Retry);
      Closed.Bound = std::move(Bound);
      Record.LastClosed = std::make_shared<const Route>(std::move(Closed));
    }
    this->Made->Routes[Record.Name] = Record.LastClosed;
  }

  static bool hasReferences(const std::shared_ptr<const Route> &Closed,
                            const std::vector<SplitPart> &Parts,
                            const std::shared_ptr<const RetryPolicy> &Retry,
                            const std::shared_ptr<const Limit> &Bound) {
    return Closed && Closed->Retry == Retry && Closed->Bound == Bound &&
           std::equal(Closed->Parts.begin(), Closed->Parts.end(), Parts.begin(),
                      Parts.end(), [](const SplitPart &A, const SplitPart &B) {
                        return A.Target == B.Target && A.Weight == B.Weight;
                      });
  }

  // Two routes that take the same requests: which one would hold depends on
  // their names, and the operators did not mean that.
  void checkOverlaps() {
    std::unordered_map<std::string_view, std::vector<const Route *>> Earlier;
    for (const auto &[Name, One] : this->Made->Routes) {
      for (const Route *Other : Earlier[One->Prefix])
        if (One->Host == Other->Host && this->overlap(*One, *Other))
          this->Faults.push_back(
              {"route/" + Name, 0, 0, "/match",
               "takes the same requests as route " + Other->Name});
      Earlier[One->Prefix].push_back(One.get());
    }
  }

  bool overlap(const Route &A, const Route &B) const {
    if (A.Methods.empty() || B.Methods.empty())
      return true;
    return std::any_of(
        A.Methods.begin(), A.Methods.end(),
        [&](const std::string &Method) { return B.Methods.count(Method); });
  }

  Compiler &Of;
  const Document &Doc;
  std::shared_ptr<Config> Made;
  FaultList Faults;
  bool HaveBounds = false;
};

Compiler::Compiler(CompileOptions Options) : Options(std::move(Options)) {}

Compiler::~Compiler() = default;

CompileResult Compiler::compile(const Document &Doc) {
  return Pass(*this, Doc).run();
}

FaultList Compiler::checkRecord(const std::string &EntryName,
                                const Json::Value &Record) {
  static const CompileOptions Defaults;
  ReadRecord Read;
  Read.EntryName = EntryName;
  Pass::readValue(Record, "", Defaults, Read);
  return std::move(Read.Faults);
}

CompileResult compileConfig(const Document &Doc,
                            const CompileOptions &Options) {
  return Compiler(Options).compile(Doc);
}

} // namespace hickorylift
