#ifndef HICKORYLIFT_CONTROL_FAILINGREADERS_H
#define HICKORYLIFT_CONTROL_FAILINGREADERS_H

#include "base/Time.h"
#include "membership/Membership.h"
#include "spread/Spread_generated.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

// FailingReaders holds the readers of a data centre whose requests to the
// platform fail. Such a reader reports this with its heartbeats for as long as
// it lasts, and the nodes next in the order of readers pass the reports on to
// each other.
//
//   FailingReaders Failing({.Lifetime = Millis(2000)});
//   Failing.record("portal-2", ReportedAt, Now);
//   Failing.expire(Now);
//   size_t Rank = Fleet.readerRank(Failing.addedTo(Avoided));

namespace hickorylift {

class FailingReaders {
public:
  struct Options {
    /// How long a report counts. Longer than a few heartbeat intervals, as it
    /// is repeated with each heartbeat and may take several links.
    Millis Lifetime{2000};
  };

  explicit FailingReaders(Options Opts) : Opts(Opts) {}

  /// Records that a reader reported at ReportedAt that it fails. Returns
  /// whether it was not known to fail.
  bool record(const std::string &Name, TimePoint ReportedAt, TimePoint Now);
  /// Forgets a reader. Returns whether it was known to fail.
  bool forget(const std::string &Name);
  /// Forgets the readers that have not reported for Lifetime, and returns their
  /// names.
  std::vector<std::string> expire(TimePoint Now);

  bool empty() const { return this->ReportedAt.empty(); }
  size_t size() const { return this->ReportedAt.size(); }
  /// Whether all of these are known to fail.
  bool containsAll(const std::set<std::string> &Names) const;
  /// The names in Avoid, and those of all failing readers.
  AvoidSet addedTo(AvoidSet Avoid) const;
  /// The reports, for a heartbeat.
  std::vector<std::unique_ptr<wire::FailingReaderT>>
  toWire(TimePoint Now) const;

private:
  Options Opts;
  std::map<std::string, TimePoint> ReportedAt;
};

} // namespace hickorylift

#endif
