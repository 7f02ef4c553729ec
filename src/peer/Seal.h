#ifndef HICKORYLIFT_PEER_SEAL_H
#define HICKORYLIFT_PEER_SEAL_H

#include "base/Error.h"
#include "base/Safeguards.h"

#include <string>
#include <string_view>

namespace hickorylift {

/// A frame's bytes behind their hash. TCP's own sum misses one damaged segment
/// in some ten thousand; a stamp damaged so would be a version that nobody
/// published, and higher than any that will be, so that no node would take a
/// version again.
std::string sealFrame(std::string_view Bytes);

/// The bytes, if their hash is right; else Errc::BadMessage. The view is into
/// Sealed.
Result<std::string_view> openSealed(std::string_view Sealed,
                                    const Safeguards &Guards);

} // namespace hickorylift

#endif
