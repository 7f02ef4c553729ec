#include "quarantine/Quarantine.h"

#include "base/Hash.h"
#include "config/Config.h"

// The fingerprint decides which attempts count as the same request. Whatever
// identifies the attempt (its id, the time left until its deadline, the node at
// which it entered) is left out, or each attempt would count as a request of
// its own. Whatever may make an upstream crash should be included. Header
// fields other than the host's and the customer's are left out, so that a
// changing field such as a caller's trace id can't hide a request.

namespace hickorylift {

namespace {

constexpr size_t MaxDescriptionLength = 160;

} // namespace

std::string Fingerprint::text() const { return hexHash(this->Hash); }

std::optional<Fingerprint> Fingerprint::parse(std::string_view Text) {
  std::optional<uint64_t> Hash = parseHexHash(Text);
  return Hash ? std::optional(Fingerprint{*Hash}) : std::nullopt;
}

Fingerprint computeFingerprint(const RequestHead &Head,
                               const std::string &Customer,
                               std::string_view Body) {
  uint64_t Hash = 0;
  for (const std::string &Part :
       {Head.Method, hostName(findHeader(Head.Headers, "Host")), Head.Path,
        Customer})
    Hash = combineHash(Hash, contentHash(Part));
  Hash = combineHash(Hash, static_cast<uint64_t>(Head.Length));
  return {combineHash(Hash, contentHash(Body))};
}

std::string describeRequest(const RequestHead &Head) {
  std::string Description =
      Head.Method + " " + findHeader(Head.Headers, "Host") + Head.Path;
  return Description.substr(0, MaxDescriptionLength);
}

} // namespace hickorylift
