#ifndef HICKORYLIFT_NET_LISTEN_H
#define HICKORYLIFT_NET_LISTEN_H

#include "base/Error.h"
#include "base/NetAddress.h"
#include "net/Reactor.h"

#include <netinet/in.h>

#include <functional>

// A Listener takes connections at one address, from the loop.
//
//   Listener At;
//   Result<bool> Open = At.open(Address, "listen-callers", /*ATurn=*/16,
//                               [&](int Fd) { adopt(Fd); });
//   At.close();

namespace hickorylift {

/// The same as the kernel takes it.
sockaddr_in socketAddress(const NetAddress &Of);

class Listener {
public:
  Listener() = default;
  ~Listener() { this->close(); }
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  /// Calls OnNew with each connection, which then belongs to it and does not
  /// block; at most ATurn of them in one turn of the loop. Step is what an
  /// error names.
  Result<bool> open(const NetAddress &At, const char *Step, int ATurn,
                    std::function<void(int Fd)> OnNew);
  /// Takes no more. May be called from OnNew.
  void close();

private:
  void acceptSome();
  void pause();
  static gboolean onResume(gpointer GivenSelf);

  int Fd = -1;
  int ATurn = 1;
  Reactor::WatchId Watch = 0;
  // Set while no connection is accepted for want of descriptors.
  guint ResumeTimer = 0;
  std::function<void(int)> OnNew;
};

} // namespace hickorylift

#endif
