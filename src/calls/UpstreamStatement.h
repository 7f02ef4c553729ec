#ifndef HICKORYLIFT_CALLS_UPSTREAMSTATEMENT_H
#define HICKORYLIFT_CALLS_UPSTREAMSTATEMENT_H

#include "calls/Dialect.h"
#include "calls/Message.h"

#include <optional>
#include <string>

// An UpstreamStatement is what an upstream states about itself in the header
// of an answer: the rate of calls that it takes, and that it is leaving.
//
//   std::string Fault;
//   UpstreamStatement Now = readStatement(Head.Headers, Names, Before, Fault);
//   if (!Fault.empty())
//     log(Fault);

namespace hickorylift {

struct UpstreamStatement {
  /// Calls per second that the upstream takes from all nodes together; nothing
  /// if it states no limit. May be zero.
  std::optional<double> CallsPerSecond;
  /// The upstream takes no new calls, because it is about to end.
  bool Leaving = false;

  bool operator==(const UpstreamStatement &) const = default;
};

/// Whether the header contains any statement of the upstream, readable or not.
bool hasStatement(const HeaderList &Headers, const Dialect &Names);

/// Reads the statement of an answer. A missing field states nothing. A field
/// that isn't readable, or that occurs twice, keeps its value in Previous and
/// is described in Fault.
UpstreamStatement readStatement(const HeaderList &Headers, const Dialect &Names,
                                const UpstreamStatement &Previous,
                                std::string &Fault);

/// Removes the statement from an answer.
void removeStatement(HeaderList &Headers, const Dialect &Names);

} // namespace hickorylift

#endif
