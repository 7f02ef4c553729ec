#include "quarantine/Quarantine.h"

#include "base/Hash.h"
#include "config/Config.h"

// What makes two attempts the same request. Whatever names the attempt (its id,
// what is left of its time, the node that it came in at) must stay out, or each
// would be a request of its own. Whatever an upstream may crash on should be
// in; header fields other than the host's and the customer's are not, so that a
// caller's trace id cannot hide it.

namespace hickorylift {

namespace {

constexpr size_t MaxDescribed = 160;

} // namespace

std::string Fingerprint::text() const { return hexHash(this->Hash); }

std::optional<Fingerprint> Fingerprint::parse(std::string_view Text) {
  std::optional<uint64_t> Hash = parseHexHash(Text);
  return Hash ? std::optional(Fingerprint{*Hash}) : std::nullopt;
}

Fingerprint computeFingerprint(const RequestHead &Head,
                               const std::string &Customer,
                               std::string_view Body) {
  uint64_t Sum = 0;
  for (const std::string &Part :
       {Head.Method, hostName(findHeader(Head.Headers, "Host")), Head.Path,
        Customer})
    Sum = combineHash(Sum, contentHash(Part));
  Sum = combineHash(Sum, static_cast<uint64_t>(Head.Length));
  return {combineHash(Sum, contentHash(Body))};
}

std::string describeRequest(const RequestHead &Head) {
  std::string Out =
      Head.Method + " " + findHeader(Head.Headers, "Host") + Head.Path;
  return Out.substr(0, MaxDescribed);
}

} // namespace hickorylift
