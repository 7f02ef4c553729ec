#ifndef HICKORYLIFT_ROUTING_STATEMENTMEMORY_H
#define HICKORYLIFT_ROUTING_STATEMENTMEMORY_H

#include "calls/UpstreamStatement.h"
#include "membership/Membership.h"

#include <map>
#include <set>
#include <string>
#include <utility>

// A StatementMemory keeps what upstreams stated in the answers that an entry
// has passed on. The gate beside an upstream acts on the statements; the entry
// keeps them for a gate whose process starts again and knows nothing of them.
//
//   StatementMemory Memory;
//   Memory.record("north-7", {"up-3", 0}, Stated);
//   if (Memory.isLeaving(Gate))
//     ...                                   // choose another one
//   Memory.instanceListed(Gate);            // each new instance list

namespace hickorylift {

class StatementMemory {
public:
  struct Remembered {
    UpstreamStart Start;
    UpstreamStatement Stated;
  };

  /// Records the statement of an answer from the upstream beside a gate. That
  /// an upstream is leaving holds until it is started again.
  void record(const std::string &Gate, const UpstreamStart &Start,
              UpstreamStatement Stated);
  /// The instance is listed. Statements of an earlier start of its upstream are
  /// dropped.
  void instanceListed(const Instance &Listed);
  /// Drops the statements of instances that are not listed any more and whose
  /// upstreams have neither a name nor an incarnation. Without these, only a
  /// gap in the list shows that an upstream has been replaced.
  void retainListed(const std::set<std::string> &Listed);
  /// Whether this start of the instance's upstream has stated that it leaves.
  bool isLeaving(const Instance &Of) const;
  bool isAnyLeaving() const;
  /// The latest statement from a gate's upstream; null if it states nothing.
  const Remembered *find(const std::string &Gate) const;

private:
  // By gate; only upstreams that state something.
  std::map<std::string, Remembered> Statements;
};

} // namespace hickorylift

#endif
