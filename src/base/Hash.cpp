#include "base/Hash.h"

#include <charconv>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace hickorylift {

uint64_t contentHash(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

uint64_t combineHash(uint64_t First, uint64_t Second) {
  uint64_t Pair[2] = {First, Second};
  return XXH3_64bits(Pair, sizeof(Pair));
}

uint64_t rendezvousScore(std::string_view Key, std::string_view Member) {
  return combineHash(contentHash(Key), contentHash(Member));
}

std::string hexHash(uint64_t Hash) {
  static const char Digits[] = "0123456789abcdef";
  std::string Text(16, '0');
  for (int I = 15; I >= 0; --I, Hash >>= 4)
    Text[I] = Digits[Hash & 0xf];
  return Text;
}

std::optional<uint64_t> parseHexHash(std::string_view Text) {
  uint64_t Hash = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Hash, 16);
  if (Text.size() != 16 || Code != std::errc() || Stop != End)
    return std::nullopt;
  return Hash;
}

} // namespace hickorylift
