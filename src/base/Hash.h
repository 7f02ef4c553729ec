#ifndef HICKORYLIFT_BASE_HASH_H
#define HICKORYLIFT_BASE_HASH_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorylift {

/// XXH3 of the bytes. It finds accidents and damage; it is no defence against
/// a peer that means harm.
uint64_t contentHash(std::string_view Bytes);

/// Mixes two hashes into one; the order matters.
uint64_t combineHash(uint64_t First, uint64_t Second);

/// The rendezvous weight of Member for Key: every node that knows the same
/// members ranks them alike, and a member's coming or going moves only the
/// keys that it holds.
uint64_t rendezvousScore(std::string_view Key, std::string_view Member);

/// Sixteen lower-case hexadecimal digits.
std::string hexHash(uint64_t Hash);

/// The inverse of hexHash; empty when Text is not sixteen hex digits.
std::optional<uint64_t> parseHexHash(std::string_view Text);

} // namespace hickorylift

#endif
