#ifndef HICKORYLIFT_CONFIG_CONFIG_H
#define HICKORYLIFT_CONFIG_CONFIG_H

#include "base/Json.h"
#include "base/Time.h"
#include "config/Document.h"
#include "config/RecordLimits.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// A Config is a version of the configuration, compiled: checked whole and
// ready to answer which route a request takes.
//
//   CompileResult Made = compileConfig(*Doc, CompileOptions());
//   if (!Made.Compiled)
//     for (const Fault &F : Made.Faults) ...       // all of them, nothing
//     taken
//   const Route *R = Made.Compiled->findRoute("GET", "/claims/17");
//   // R->Target and all else that R points at live as long as the Config.
//
// docs/RECORDS.md describes the records.

namespace hickorylift {

struct CallerLimit {
  /// Calls a second at one upstream; 0 for no limit.
  double RatePerSecond = 0;
  double Burst = 1;
  /// Calls at once at one upstream; 0 for no limit.
  uint32_t Concurrency = 0;

  bool operator==(const CallerLimit &) const = default;
};

struct Limit {
  std::string Name;
  CallerLimit All;
  std::map<std::string, CallerLimit> ByClass;
};

struct RetryPolicy {
  std::string Name = "none";
  /// Methods whose calls may run twice without harm.
  std::set<std::string> IdempotentMethods{"GET", "HEAD", "OPTIONS"};
  /// Tries in all, the first included.
  uint32_t Attempts = 3;
  /// Retries for each hundred first tries. Nothing if the route names no
  /// policy: the node's settings apply.
  std::optional<double> BudgetPercent;
};

struct Service {
  std::string Name;
  /// Calls that one upstream runs at once.
  uint32_t Slots = 10;
  /// Connections that one upstream accepts.
  uint32_t Connections = 100;
  /// Calls that may wait at one gate, and for how long.
  uint32_t QueueLimit = 20;
  Millis QueueWait{500};
  /// How long a new upstream takes to reach all its slots, or stays cold.
  Millis Warmup{0};
  /// Calls a second that a cold upstream bears; 0 where that is not limited.
  double ColdPerSecond = 0;
  /// Where an upstream says how it is; empty for what the node's settings say.
  std::string HealthPath;
  /// How long a leaving upstream may finish what it runs.
  Millis Drain{30000};
  /// How long a caller may repeat a call with the same idempotency key.
  Millis KeyWindow{60000};
};

/// What callers may send, and how long they may take. One for a version.
struct CallerBounds {
  /// Of a request's head.
  size_t HeaderBytes = 64 * 1024;
  /// Of a request's body.
  uint64_t BodyBytes = uint64_t(1) << 30;
  /// From a head's first byte to its last.
  Millis HeaderTimeout{10000};
  /// A connection on which nothing is under way is closed after this.
  Millis IdleTimeout{60000};
};

/// One of the services that a route's calls are spread over.
struct SplitPart {
  std::shared_ptr<const Service> Target;
  /// Its share is this, of the sum over all parts.
  uint32_t Weight = 1;
};

enum class KeyRule { Optional, Required };

struct Route {
  std::string Name;
  /// Lower case, without a port; empty for any.
  std::string Host;
  std::string Prefix;
  /// Empty for any.
  std::set<std::string> Methods;
  /// One at least. A call goes to one of them and stays with it.
  std::vector<SplitPart> Parts;
  std::shared_ptr<const RetryPolicy> Retry;
  /// Null for none.
  std::shared_ptr<const Limit> Bound;
  Millis Timeout{5000};
  /// 0 is the most urgent.
  uint32_t Priority = 4;
  std::map<std::string, uint32_t> ClassPriority;
  KeyRule Key = KeyRule::Optional;
  /// Whether its calls may run twice; where it is not said, the method tells.
  std::optional<bool> Repeatable;
  /// Tries of one call in all; 0 for what the retry policy says.
  uint32_t Attempts = 0;
  /// Within this an answer is worth most to its caller; 0 for the timeout.
  Millis TargetLatency{0};

  bool isIdempotent(const std::string &Method) const {
    return this->Repeatable ? *this->Repeatable
                            : this->Retry->IdempotentMethods.count(Method) != 0;
  }
  uint32_t attempts() const {
    return this->Attempts ? this->Attempts : this->Retry->Attempts;
  }
};

/// A Host field's value as routes name it: lower case, without the port.
std::string hostName(std::string_view Field);

class Config {
public:
  const Stamp &stamp() const { return this->Place; }
  const std::map<std::string, std::shared_ptr<const Service>> &
  services() const {
    return this->Services;
  }
  const std::map<std::string, std::shared_ptr<const Route>> &routes() const {
    return this->Routes;
  }

  /// Among the routes of that host, and where none fits among those without a
  /// host: the one with the longest prefix that ends at a '/' or at the path's
  /// end and that takes the method; null if none. Cost: the path's segments.
  const Route *findRoute(const std::string &Method, std::string_view Path,
                         const std::string &Host = "") const;
  /// The same by looking at every route: slow, and what tests compare with.
  const Route *findRouteSlowly(const std::string &Method, std::string_view Path,
                               const std::string &Host = "") const;
  const CallerBounds &callerBounds() const { return this->Bounds; }
  const Service *findService(const std::string &Name) const;
  const Limit *findLimit(const std::string &Name) const;

private:
  friend class Compiler;

  template <typename T>
  using Named = std::map<std::string, std::shared_ptr<const T>>;

  Stamp Place;
  Named<Service> Services;
  Named<RetryPolicy> Retries;
  Named<Limit> Limits;
  Named<Route> Routes;
  using PrefixMap =
      std::unordered_map<std::string_view, std::vector<const Route *>>;
  static const Route *findIn(const PrefixMap &Among, const std::string &Method,
                             std::string_view Path);
  std::unordered_map<std::string_view, PrefixMap> ByHost;
  CallerBounds Bounds;
};

using ConfigPtr = std::shared_ptr<const Config>;

struct CompileOptions {
  /// Newest schema version of each kind that this build understands. Lowered
  /// in tests to stand for an older build.
  std::map<std::string, int64_t> NewestSchema{
      {"route", 3}, {"service", 2}, {"limit", 1}, {"retry", 1}, {"bounds", 1}};
  /// Records in one version.
  size_t MaxRecords = 50000;
  /// Bytes of one record: what the platform holds in one value.
  size_t MaxRecordBytes = hickorylift::MaxRecordBytes;
  /// Faults after which the search ends.
  size_t MaxFaults = 100;
  Safeguards Guards;
};

struct CompileResult {
  /// Null where there is any fault.
  ConfigPtr Compiled;
  FaultList Faults;
};

/// A Compiler turns documents into Configs and remembers the records that it
/// has read, so that a version costs what has changed in it.
///
///   Compiler Make(CompileOptions());
///   CompileResult First = Make.compile(*Version1);
///   CompileResult Next = Make.compile(*Version2);   // reads the changes only
///
/// The same document gives the same verdict on every node of the same build,
/// whatever was compiled before: a remembered record is one with the same name
/// and bytes.
class Compiler {
public:
  explicit Compiler(CompileOptions Options);
  ~Compiler();

  CompileResult compile(const Document &Doc);

  /// The faults of one record by itself. What it refers to is not looked at.
  static FaultList checkRecord(const std::string &EntryName,
                               const Json::Value &Record);

private:
  class Pass;
  struct ReadRecord;

  CompileOptions Options;
  std::unordered_map<std::string, std::shared_ptr<const ReadRecord>> Known;
};

/// Compiles one document with nothing remembered.
CompileResult compileConfig(const Document &Doc, const CompileOptions &Options);

/// The name of a record's entry in a document: "kind/name@schema".
std::string recordEntryName(const std::string &Kind, const std::string &Name,
                            int64_t Schema);

} // namespace hickorylift

#endif
