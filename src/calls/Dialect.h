#ifndef HICKORYLIFT_CALLS_DIALECT_H
#define HICKORYLIFT_CALLS_DIALECT_H

#include <string>

// A Dialect names the header fields that callers, nodes and upstreams of a
// deployment use in addition to those of HTTP. The defaults are the product's
// own names; an adapter for another platform may supply others. An empty name
// means that the deployment has no such field, and the feature that depends on
// it is off.
//
//   Dialect Names;
//   Names.RequestId = "Request-Id";
//   std::string Id = findHeader(Head.Headers, Names.RequestId);

namespace hickorylift {

struct Dialect {
  /// The caller's id of one attempt. The upstream repeats it in its answer, so
  /// that an answer to another request is detected.
  std::string RequestId;
  /// Milliseconds that the caller, or the next hop, may still take.
  std::string Budget = "Hickorylift-Budget-Ms";
  /// The service of the instance at which a request entered the mesh. The entry
  /// always sets it and replaces any value from the caller.
  std::string Origin;
  /// The customer on whose behalf the caller asks, if callers state it.
  /// Requests of different customers are never treated as the same request.
  std::string Customer;
  /// The upstream that a request is meant for; any other refuses it with 421.
  std::string ExpectedUpstream;
  /// On an answer: the upstream did not run the request.
  std::string NotRun;
  /// On every answer that the upstream itself produced. A success without it
  /// came from another program.
  std::string UpstreamMark;
  /// On an answer of an upstream in need: the calls per second that it takes
  /// from all nodes together, as a decimal number. Holds for as long as its
  /// answers state it.
  std::string RateLimit = "Hickorylift-Rate-Limit";
  /// On every answer of an upstream that is leaving; the value is 1.
  std::string Leaving = "Hickorylift-Leaving";
  /// On an answer of the health endpoint: milliseconds that the upstream stays
  /// cold.
  std::string ColdTimeLeft = "Hickorylift-Cold-Left-Ms";
  /// Whether Retry-After may have fractions. HTTP allows whole seconds only.
  bool FractionalRetryAfter = false;
  /// Path at which the platform asks whether callers may be sent to this node.
  std::string ReadyPath = "/ready";
};

} // namespace hickorylift

#endif
