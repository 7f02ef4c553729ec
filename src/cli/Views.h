#ifndef HICKORYLIFT_CLI_VIEWS_H
#define HICKORYLIFT_CLI_VIEWS_H

#include "base/Error.h"
#include "base/Time.h"

#include <json/value.h>

#include <functional>
#include <string>

namespace hickorylift {

void printStatus(const Json::Value &Status);
void printAudit(const Json::Value &Events);
void printExplain(const Json::Value &Found);
void printQuarantine(const Json::Value &Requests);

struct WatchOptions {
  std::string Node;
  /// 0 for the newest that the node knows.
  uint64_t Version = 0;
  std::chrono::seconds Limit{30};
  /// Gives the present time.
  std::function<TimePoint()> Now;
  bool Json = false;
  /// Progress on one line, redrawn; else a line for each change.
  bool Terminal = false;
};

/// How far a version has come, summed over the data centres.
struct Progress {
  uint64_t Listed = 0;
  uint64_t Heard = 0;
  uint64_t Holding = 0;
  uint64_t Refusing = 0;
  std::string RefusedBy;
  std::string Fault;

  uint64_t notHeard() const {
    return this->Listed > this->Heard ? this->Listed - this->Heard : 0;
  }
  bool everywhere() const {
    return this->Listed > 0 && this->Holding >= this->Listed;
  }
  bool operator==(const Progress &) const = default;
};

/// Reads the progress of a version from a root's /fleet.
Progress readProgress(const Json::Value &Fleet, uint64_t Version);

/// True once the version is in force on every listed node; false on a refusal
/// or when the time runs out.
Result<bool> watchVersion(const WatchOptions &Options);

} // namespace hickorylift

#endif
