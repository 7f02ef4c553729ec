#ifndef HICKORYLIFT_NET_LISTEN_H
#define HICKORYLIFT_NET_LISTEN_H

#include "base/Error.h"
#include "base/NetAddress.h"

// Listening sockets, without waiting.
//
//   Result<int> Fd = listenOn(Address, "listen-callers");
//   for (int New = acceptOn(*Fd); New >= 0; New = acceptOn(*Fd)) ...

namespace hickorylift {

/// A socket that listens at that address. Its caller closes it. Step is what
/// the error names.
Result<int> listenOn(const NetAddress &At, const char *Step);

/// The next connection, not blocking; negative where none waits.
int acceptOn(int Listener);

} // namespace hickorylift

#endif
