#include "net/Listen.h"

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

// Those who come back together, callers after a refusal or a fleet after a cut,
// fill the queue of new connections. Taking a few in each turn keeps those that
// are open served in between.

namespace hickorylift {

namespace {

// Connections that may wait to be accepted. All callers of an instance, and a
// fleet whose links broke together, come within one turn of the loop.
constexpr int Backlog = 512;
// A listener without descriptors stays readable, and the loop would do nothing
// but try again.
constexpr guint FullPauseMs = 100;

} // namespace

sockaddr_in socketAddress(const NetAddress &Of) {
  sockaddr_in Out{};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(Of.Port);
  inet_pton(AF_INET, Of.Ip.c_str(), &Out.sin_addr);
  return Out;
}

Result<bool> Listener::open(const NetAddress &At, const char *Step, int ATurn,
                            std::function<void(int)> OnNew) {
  this->Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int On = 1;
  setsockopt(this->Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = socketAddress(At);
  bool Bound = bind(this->Fd, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0 &&
               listen(this->Fd, Backlog) == 0;
  if (!Bound) {
    Error Why{Errc::Refused, Step, At.text(),
              std::error_code(errno, std::generic_category()).message()};
    ::close(std::exchange(this->Fd, -1));
    return Why;
  }
  this->ATurn = ATurn;
  this->OnNew = std::move(OnNew);
  this->Watch = Reactor::get().watch(this->Fd, Reactor::Read,
                                     [this](uint32_t) { this->acceptSome(); });
  return true;
}

void Listener::close() {
  if (this->Fd < 0)
    return;
  if (this->ResumeTimer)
    g_source_remove(std::exchange(this->ResumeTimer, 0));
  Reactor::get().forget(this->Watch);
  ::close(std::exchange(this->Fd, -1));
}

void Listener::pause() {
  Reactor::get().change(this->Watch, Reactor::None);
  this->ResumeTimer = g_timeout_add(FullPauseMs, onResume, this);
}

gboolean Listener::onResume(gpointer GivenSelf) {
  auto *Self = static_cast<Listener *>(GivenSelf);
  Self->ResumeTimer = 0;
  Reactor::get().change(Self->Watch, Reactor::Read);
  return G_SOURCE_REMOVE;
}

void Listener::acceptSome() {
  for (int I = 0; I < this->ATurn && this->Fd >= 0; ++I) {
    int New = accept4(this->Fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    bool Full = New < 0 && (errno == EMFILE || errno == ENFILE);
    if (Full)
      return this->pause();
    if (New < 0)
      return;
    this->OnNew(New);
  }
}

} // namespace hickorylift
