#include "config/RecordImport.h"

#include "base/Hash.h"
#include "config/Config.h"
#include "config/RecordLimits.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>

// One table says what happens to a number that is out of range. Everything else
// that the compiler would refuse is found by the compiler's own check of the
// record, so no limit can be missed here: a record that fails it is left out.
// What the compiler checks across records (references, overlapping routes) is
// settled in joinRecords().

namespace hickorylift {

namespace {

constexpr size_t MaxTextInIssue = 80;

struct NumberField {
  const char *Kind;
  const char *Name;
  IntegerRange Range;
};

// A route's attempts are at least 1 here: 0 would stand for the policy's.
const NumberField NumberFields[] = {
    {"route", "timeout_ms", TimeoutMsRange},
    {"route", "target_ms", TargetMsRange},
    {"route", "priority", PriorityRange},
    {"route", "attempts", AttemptsRange},
    {"service", "connections", ConnectionsRange},
    {"service", "slots", SlotsRange},
    {"service", "warmup_ms", DurationMsRange},
    {"bounds", "header_bytes", HeaderBytesRange},
    {"bounds", "body_bytes", BodyBytesRange},
    {"bounds", "header_timeout_ms", TimeoutMsRange},
    {"bounds", "idle_timeout_ms", TimeoutMsRange},
};

std::string textOf(const Json::Value &Value) {
  return writeJson(Value).substr(0, MaxTextInIssue);
}

/// The text of a member; empty if it is missing or of another type.
std::string memberText(const Json::Value &Object, const char *Member) {
  return Object.isObject() && Object[Member].isString()
             ? Object[Member].asString()
             : "";
}

/// Replaces a field's value, and notes it if the new one has another meaning.
void replace(ImportedRecord &Out, Json::Value &At, const std::string &Pointer,
             const Json::Value &New) {
  bool Same = At.isNumeric() && New.isNumeric()
                  ? At.asDouble() == New.asDouble()
                  : At == New;
  if (!Same)
    Out.Issues.push_back({Out.EntryName, Pointer + ": " + textOf(At) +
                                             " is used as " + textOf(New)});
  At = New;
}

/// The whole number in Range that is nearest to Value and not above it, as most
/// numbers are limits.
int64_t fitInteger(const Json::Value &Value, IntegerRange Range) {
  if (Value.isInt64())
    return std::clamp(Value.asInt64(), Range.Low, Range.High);
  double Number = std::floor(Value.asDouble());
  if (Number <= static_cast<double>(Range.Low))
    return Range.Low;
  if (Number >= static_cast<double>(Range.High))
    return Range.High;
  return static_cast<int64_t>(Number);
}

/// The member as a number that may be replaced; null if there is none.
Json::Value *findNumber(Json::Value &Record, const char *Member) {
  if (!Record.isMember(Member) || !Record[Member].isNumeric())
    return nullptr;
  return &Record[Member];
}

void fitNumbers(ImportedRecord &Out, Json::Value &Record,
                const std::string &Kind) {
  for (const NumberField &Field : NumberFields) {
    if (Kind != Field.Kind)
      continue;
    if (Json::Value *At = findNumber(Record, Field.Name))
      replace(Out, *At, std::string("/") + Field.Name,
              Json::Int64(fitInteger(*At, Field.Range)));
  }
}

/// Whole weights in range that have the proportions of the given ones. A part
/// with a weight above 0 keeps one above 0.
void fitWeights(ImportedRecord &Out, Json::Value &Split) {
  if (!Split.isObject())
    return;
  double Highest = 0;
  bool Fits = true;
  for (const Json::Value &Weight : Split) {
    if (!Weight.isNumeric())
      return;
    Highest = std::max(Highest, Weight.asDouble());
    Fits &= Weight.isInt64() && Weight.asInt64() >= WeightRange.Low &&
            Weight.asInt64() <= WeightRange.High;
  }
  double Factor = 1;
  if (!Fits)
    Factor = Highest > 0 ? static_cast<double>(WeightRange.High) / Highest : 0;
  for (const std::string &Service : Split.getMemberNames()) {
    double Weight = std::max(0.0, Split[Service].asDouble());
    int64_t Fitted = std::llround(Weight * Factor);
    if (Weight > 0)
      Fitted = std::max<int64_t>(1, Fitted);
    replace(Out, Split[Service], "/split/" + Service, Json::Int64(Fitted));
  }
}

void fitRoute(ImportedRecord &Out, Json::Value &Record) {
  if (Record.isMember("split"))
    fitWeights(Out, Record["split"]);
}

void fitService(ImportedRecord &Out, Json::Value &Record) {
  std::string Path = memberText(Record, "health_path");
  if (!Path.empty() && Path.front() != '/')
    replace(Out, Record["health_path"], "/health_path", "/" + Path);
  if (Json::Value *Rate = findNumber(Record, "cold_per_s")) {
    double Fitted = std::clamp(Rate->asDouble(), 0.0, MaxPerSecond);
    if (Fitted != Rate->asDouble())
      replace(Out, *Rate, "/cold_per_s", Fitted);
    // A rate is only taken with a warm-up, and an upstream may become cold at
    // any time without one.
    if (Rate->asDouble() > 0 &&
        (!Record.isMember("warmup_ms") || Record["warmup_ms"] == 0))
      Record["warmup_ms"] = 1;
  }
  // An upstream can't run more calls at once than it takes connections.
  Json::Value *Connections = findNumber(Record, "connections");
  if (Connections && !Record.isMember("slots"))
    Record["slots"] =
        Json::Int64(std::min<int64_t>(Service().Slots, Connections->asInt64()));
}

/// A name made of any text: readable, and different for different texts.
std::string nameOf(const std::string &Text) {
  constexpr size_t MaxReadable = 60;
  std::string Name;
  for (char C : Text.substr(0, MaxReadable))
    Name += isName(std::string_view(&C, 1)) ? C : '_';
  char Hash[24];
  std::snprintf(Hash, sizeof(Hash), "-%016llx",
                static_cast<unsigned long long>(contentHash(Text)));
  return Name + Hash;
}

/// Members that hold no value are missing ones.
void removeNulls(Json::Value &Record) {
  bool HasNull =
      std::any_of(Record.begin(), Record.end(),
                  [](const Json::Value &Value) { return Value.isNull(); });
  if (!HasNull)
    return;
  for (const std::string &Member : Record.getMemberNames())
    if (Record[Member].isNull())
      Record.removeMember(Member);
}

void describeRoute(ImportedRecord &Out, const Json::Value &Record) {
  if (Record.isMember("split"))
    Out.Services = Record["split"].getMemberNames();
  else
    Out.Services = {Record["service"].asString()};
  const Json::Value &Match = Record["match"];
  Out.Covers = "requests " + hostName(memberText(Match, "host")) +
               memberText(Match, "prefix");
}

void addDefaultService(EntryMap &Entries, const std::string &Name,
                       std::vector<RecordIssue> &Issues) {
  Json::Value Record(Json::objectValue);
  Record["kind"] = "service";
  Record["name"] = Name;
  Record["schema"] = 1;
  std::string EntryName = recordEntryName("service", Name, 1);
  Issues.push_back({EntryName, "missing; the default settings are used"});
  Entries.emplace(EntryName, makeEntry(EntryName, writeJson(Record)));
}

} // namespace

bool holdsService(const EntryMap &Entries, const std::string &Name) {
  std::string Prefix = "service/" + Name + "@";
  auto Found = Entries.lower_bound(Prefix);
  return Found != Entries.end() && Found->first.rfind(Prefix, 0) == 0;
}

ImportedRecordPtr unusableRecord(const std::string &Name,
                                 const std::string &Why) {
  auto Out = std::make_shared<ImportedRecord>();
  Out->EntryName = Name;
  Out->Issues.push_back({Name, Why, /*LeftOut=*/true});
  return Out;
}

ImportedRecordPtr importRecord(Json::Value Record) {
  auto Out = std::make_shared<ImportedRecord>();
  removeNulls(Record);
  std::string Kind = memberText(Record, "kind");
  std::string Name = memberText(Record, "name");
  if (Kind == "route" && !isName(Name)) {
    const Json::Value Match = Record.get("match", Json::Value());
    Name =
        nameOf(Name + memberText(Match, "host") + memberText(Match, "prefix"));
  }
  Record["name"] = Name;
  Out->EntryName = recordEntryName(
      Kind, Name, Record["schema"].isInt64() ? Record["schema"].asInt64() : 0);
  fitNumbers(*Out, Record, Kind);
  if (Kind == "route")
    fitRoute(*Out, Record);
  if (Kind == "service")
    fitService(*Out, Record);
  FaultList Faults = Compiler::checkRecord(Out->EntryName, Record);
  std::string Bytes = writeJson(Record);
  if (Faults.empty() && Bytes.size() > MaxRecordBytes)
    Faults.push_back({Out->EntryName, 0, 0, "", "record too long"});
  if (!Faults.empty()) {
    Out->Issues = {{Out->EntryName,
                    Faults.front().Pointer + ": " + Faults.front().Message,
                    /*LeftOut=*/true}};
    return Out;
  }
  if (Kind == "route")
    describeRoute(*Out, Record);
  if (Kind == "bounds")
    Out->Covers = "what callers may send";
  Out->Entry = makeEntry(Out->EntryName, std::move(Bytes));
  return Out;
}

EntryMap joinRecords(const std::vector<ImportedRecordPtr> &Records,
                     std::vector<RecordIssue> &Issues) {
  EntryMap Out;
  std::set<std::string> Covered;
  std::set<std::string> Services;
  for (const ImportedRecordPtr &One : Records) {
    Issues.insert(Issues.end(), One->Issues.begin(), One->Issues.end());
    if (!One->Entry.Bytes)
      continue;
    std::string Conflict;
    if (Out.count(One->EntryName))
      Conflict = "another record has this name";
    else if (!One->Covers.empty() && !Covered.insert(One->Covers).second)
      Conflict = "another record is for the same " + One->Covers;
    if (!Conflict.empty()) {
      Issues.push_back({One->EntryName, Conflict, /*LeftOut=*/true});
      continue;
    }
    Services.insert(One->Services.begin(), One->Services.end());
    Out.emplace(One->EntryName, One->Entry);
  }
  for (const std::string &Name : Services)
    if (!holdsService(Out, Name))
      addDefaultService(Out, Name, Issues);
  return Out;
}

} // namespace hickorylift
