#ifndef HICKORYLIFT_CALLS_DIALECT_H
#define HICKORYLIFT_CALLS_DIALECT_H

#include <string>

// A Dialect names the header fields that callers, nodes and upstreams of a
// deployment use besides those of HTTP. The default is the product's own; an
// adapter may hand in another. An empty name means that the deployment has no
// such field, and what hangs on it is off.

namespace hickorylift {

struct Dialect {
  /// The caller's id of one attempt. The upstream repeats it in its answer, so
  /// an answer that belongs to another request is recognised.
  std::string RequestId;
  /// Milliseconds that the caller, or the next hop, may still take.
  std::string Budget = "Hickorylift-Budget-Ms";
  /// The service of the instance at which a request entered the mesh. Set by
  /// the entry, whatever the caller wrote.
  std::string Origin;
  /// Who asks, where callers say so: requests of different customers are not
  /// the same one.
  std::string Customer;
  /// The upstream that a request is meant for; any other refuses it with 421.
  std::string ExpectedUpstream;
  /// On an answer: the upstream did not run the request.
  std::string NotRun;
  /// On every answer that the upstream itself produced. A success without it
  /// came from somewhere else.
  std::string UpstreamMark;
  /// On an answer of the health endpoint: milliseconds that the upstream stays
  /// cold.
  std::string ColdTimeLeft = "Hickorylift-Cold-Left-Ms";
  /// Whether Retry-After may have fractions. HTTP knows whole seconds only.
  bool FractionalRetryAfter = false;
  /// Path at which the platform asks whether callers may be sent here.
  std::string ReadyPath = "/ready";
};

} // namespace hickorylift

#endif
