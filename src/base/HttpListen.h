#ifndef HICKORYLIFT_BASE_HTTPLISTEN_H
#define HICKORYLIFT_BASE_HTTPLISTEN_H

#include "base/Error.h"
#include "base/NetAddress.h"

#include <libsoup/soup.h>

namespace hickorylift {

/// Makes Server listen; Step names the attempt in the error.
Result<bool> listenHttp(SoupServer *Server, const NetAddress &At,
                        const std::string &Step);

} // namespace hickorylift

#endif
