#include "peer/Seal.h"

#include "base/Hash.h"

#include <cstring>

namespace hickorylift {

std::string sealFrame(std::string_view Bytes) {
  uint64_t Hash = contentHash(Bytes);
  std::string Out(sizeof(Hash) + Bytes.size(), '\0');
  // Both ends run on the same kind of machine; the hash is never looked into.
  std::memcpy(Out.data(), &Hash, sizeof(Hash));
  std::memcpy(Out.data() + sizeof(Hash), Bytes.data(), Bytes.size());
  return Out;
}

Result<std::string_view> openSealed(std::string_view Sealed,
                                    const Safeguards &Guards) {
  uint64_t Hash = 0;
  if (Sealed.size() < sizeof(Hash))
    return Error{Errc::BadMessage, "open-frame", "", "frame too short"};
  std::memcpy(&Hash, Sealed.data(), sizeof(Hash));
  std::string_view Bytes = Sealed.substr(sizeof(Hash));
  if (Guards.CheckFrames && contentHash(Bytes) != Hash)
    return Error{Errc::BadMessage, "open-frame", "", "frame is damaged"};
  return Bytes;
}

} // namespace hickorylift
