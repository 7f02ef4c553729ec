#include "net/Listen.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorylift {

namespace {

// Connections that may wait to be accepted. All callers of an instance, and a
// fleet whose links broke together, come within one turn of the loop.
constexpr int Backlog = 512;

} // namespace

Result<int> listenOn(const NetAddress &At, const char *Step) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(At.Port);
  inet_pton(AF_INET, At.Ip.c_str(), &Address.sin_addr);
  bool Bound =
      bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0 &&
      listen(Fd, Backlog) == 0;
  if (Bound)
    return Fd;
  Error Why{Errc::Refused, Step, At.text(),
            std::error_code(errno, std::generic_category()).message()};
  ::close(Fd);
  return Why;
}

int acceptOn(int Listener) {
  return accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

} // namespace hickorylift
