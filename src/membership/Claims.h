#ifndef HICKORYLIFT_MEMBERSHIP_CLAIMS_H
#define HICKORYLIFT_MEMBERSHIP_CLAIMS_H

#include "membership/Membership.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

// Several entries of the platform may claim the address of one node: an address
// is assigned again before the entry of its last owner expires, or another
// writer lists something of its own there. Only one of them describes the
// upstream beside the node. An entry of an instance list holds all claims on
// one address, usually a single one, and each node chooses among them itself
// (chooseClaim), by what only it knows: its configuration, and what the
// machine has answered.
//
//   std::vector<Claim> Claims = ...;             // as the platform holds them
//   orderClaims(Claims, IsNamed);
//   Entries[Name] = makeEntry(Name, writeClaims(Claims));
//   ...
//   std::vector<Claim> Read = readClaims(*Entry.Bytes, Name, Faults);
//   const Instance &Used = Read[chooseClaim(instances(Read), Evidence)];

namespace hickorylift {

/// What one entry of the platform says of the upstream at an address.
struct Claim {
  Instance Details;
  /// Revision at which the platform's entry was created; 0 if unknown.
  uint64_t CreatedRevision = 0;
};

/// Whether the configuration names a service.
using NamedServices = std::function<bool(const std::string &)>;

/// Most claims on one address that a list holds.
constexpr size_t MaxClaims = 8;

/// Sorts the claims on one address: those of services that the configuration
/// names first, and of these the ones created last. Drops what is over
/// MaxClaims, but neither the oldest nor the newest, so that an upstream is not
/// displaced by the number of other entries at its address.
void orderClaims(std::vector<Claim> &Claims, const NamedServices &IsNamed);

/// Text of a list entry. A single claim is written as writeInstance() does; of
/// several, the first is, with the others in a field that earlier builds
/// ignore.
std::string writeClaims(const std::vector<Claim> &Claims);
/// Empty if the first claim can't be read. Others that can't be are left out.
std::vector<Claim> readClaims(const std::string &Text, const std::string &File,
                              FaultList &Faults);

/// What a node knows of the claims on one address.
struct ClaimEvidence {
  /// The service of the upstream, if that is certain: a node knows that of its
  /// own.
  std::string OwnService;
  NamedServices IsNamed;
  /// Whether the upstream has turned away a call that was meant for this one.
  std::function<bool(const Instance &)> IsRefuted;
  /// Whether the upstream has just answered a call that was meant for it.
  std::function<bool(const Instance &)> IsConfirmed;
};

/// Returns the index of the claim that describes the upstream, given the claims
/// in the order of their list. In this order, a claim counts that
/// - states the service that is known of the upstream,
/// - states a service that the configuration names,
/// - the upstream has not disowned,
/// - the upstream has confirmed,
/// - is not leaving: a call that is sent to the wrong one is turned away, but
///   one that is not sent finds nothing out,
/// - is first in the list.
/// Claims must not be empty.
size_t chooseClaim(const std::vector<const Instance *> &Claims,
                   const ClaimEvidence &Evidence);

} // namespace hickorylift

#endif
