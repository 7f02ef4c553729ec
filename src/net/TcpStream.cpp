#include "net/TcpStream.h"

#include "net/Listen.h"

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

// Writes are gathered until the end of the turn and go to the kernel in one
// call: the head of an answer and its body, or all frames that a turn has for
// one peer. They wait for the loop only where the kernel is full.
//
// A failed write is not reported from within write(): the caller is in the
// midst of something. What the peer sent before it reset is still read, and the
// end is then reported with the write's error.

namespace hickorylift {

namespace {

constexpr size_t ReadBytes = 64 * 1024;
// Memory that an empty stream keeps for what it sends next.
constexpr size_t KeptBytes = 16 * 1024;

std::error_code systemError(int Number) {
  return {Number, std::generic_category()};
}

} // namespace

TcpStream::TcpStream(int Fd, Hooks Hooks, std::function<TimePoint()> Clock)
    : Fd(Fd), Hook(std::move(Hooks)), Now(std::move(Clock)) {}

std::shared_ptr<TcpStream> TcpStream::adopt(int Fd, Hooks Hooks,
                                            std::function<TimePoint()> Clock) {
  int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  std::shared_ptr<TcpStream> New(
      new TcpStream(Fd, std::move(Hooks), std::move(Clock)));
  New->watch(Reactor::Read);
  return New;
}

// The process has no descriptor left. Whoever dialled is told by the loop, as
// of any other connection that fails.
std::shared_ptr<TcpStream>
TcpStream::withoutSocket(std::error_code Why, Hooks Hooks,
                         std::function<TimePoint()> Clock) {
  std::shared_ptr<TcpStream> New(
      new TcpStream(-1, std::move(Hooks), std::move(Clock)));
  Reactor::get().atTurnEnd([Weak = std::weak_ptr<TcpStream>(New), Why] {
    if (auto Alive = Weak.lock())
      Alive->Hook.Ended(Why, Alive->Now());
  });
  return New;
}

std::shared_ptr<TcpStream> TcpStream::dial(const NetAddress &To, Hooks Hooks,
                                           std::function<TimePoint()> Clock) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return withoutSocket(systemError(errno), std::move(Hooks),
                         std::move(Clock));
  int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  sockaddr_in Address = socketAddress(To);
  bool Failed = connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                        sizeof(Address)) != 0 &&
                errno != EINPROGRESS;
  int Number = errno;
  std::shared_ptr<TcpStream> New(
      new TcpStream(Fd, std::move(Hooks), std::move(Clock)));
  New->Connecting = true;
  if (Failed)
    New->WriteError = systemError(Number);
  New->watch(Reactor::Write);
  return New;
}

TcpStream::~TcpStream() { this->close(); }

void TcpStream::watch(uint32_t Wanted) {
  std::weak_ptr<TcpStream> Weak = this->weak_from_this();
  this->Watch = Reactor::get().watch(this->Fd, Wanted, [Weak](uint32_t What) {
    // A hook may let go of the stream.
    if (auto Alive = Weak.lock())
      Alive->ready(What);
  });
}

void TcpStream::updateWatch() {
  if (!this->isOpen())
    return;
  uint32_t Wanted = 0;
  if (!this->Connecting && !this->ReadPaused)
    Wanted |= Reactor::Read;
  bool Writes = this->pending() != 0 && !this->WriteError;
  if (this->Connecting || (Writes && !this->FlushPlanned))
    Wanted |= Reactor::Write;
  Reactor::get().change(this->Watch, Wanted);
}

void TcpStream::ready(uint32_t What) {
  if (this->Connecting)
    return this->finishDial();
  if (What & Reactor::Write)
    this->flush();
  // An end is looked at also while reading is paused: the loop reports it over
  // and over otherwise.
  if (this->isOpen() && (What & (Reactor::Read | Reactor::Ended)))
    this->readOnce();
}

void TcpStream::finishDial() {
  int Number = 0;
  socklen_t Size = sizeof(Number);
  getsockopt(this->Fd, SOL_SOCKET, SO_ERROR, &Number, &Size);
  this->Connecting = false;
  if (Number != 0 || this->WriteError)
    return this->end(Number != 0 ? systemError(Number) : this->WriteError);
  this->flush();
  if (this->isOpen())
    this->Hook.Connected(this->Now());
}

void TcpStream::readOnce() {
  static std::array<char, ReadBytes> Buffer;
  ssize_t Got = recv(this->Fd, Buffer.data(), Buffer.size(), 0);
  if (Got > 0)
    return this->Hook.Data(
        std::string_view(Buffer.data(), static_cast<size_t>(Got)), this->Now());
  if (Got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Got < 0)
    return this->end(systemError(errno));
  this->end(this->PeekError ? this->PeekError : this->WriteError);
}

void TcpStream::end(std::error_code Why) {
  this->close();
  this->Hook.Ended(Why, this->Now());
}

void TcpStream::write(std::string_view Bytes) {
  if (!this->isOpen() || this->WriteError)
    return;
  bool WasEmpty = this->pending() == 0;
  this->Out.append(Bytes);
  if (WasEmpty && !this->Connecting)
    this->flushSoon();
}

void TcpStream::flushSoon() {
  if (std::exchange(this->FlushPlanned, true))
    return;
  Reactor::get().atTurnEnd([Weak = this->weak_from_this()] {
    if (auto Alive = Weak.lock(); Alive && Alive->FlushPlanned)
      Alive->flush();
  });
}

void TcpStream::flush() {
  this->FlushPlanned = false;
  if (!this->isOpen() || this->Connecting)
    return;
  bool Had = this->pending() != 0;
  while (this->pending() != 0) {
    ssize_t Went = ::send(this->Fd, this->Out.data() + this->Sent,
                          this->pending(), MSG_NOSIGNAL);
    if (Went < 0 && errno == EINTR)
      continue;
    if (Went < 0) {
      if (errno != EAGAIN)
        this->WriteError = systemError(errno);
      break;
    }
    this->Sent += static_cast<size_t>(Went);
  }
  this->dropSent();
  if (this->pending() == 0 && this->FinishWanted)
    this->shutdownWriting();
  this->updateWatch();
  if (Had && this->pending() == 0)
    this->Hook.Drained(this->Now());
}

// A stream that always has more to send never has an empty buffer. Dropping the
// sent half moves no byte more than once on average.
void TcpStream::dropSent() {
  if (this->Sent < this->pending())
    return;
  this->Out.erase(0, this->Sent);
  this->Sent = 0;
  // A connection that is kept idle after a long answer would otherwise keep as
  // much memory as that answer took.
  if (this->Out.empty() && this->Out.capacity() > KeptBytes)
    std::string().swap(this->Out);
}

void TcpStream::pauseReading(bool Paused) {
  if (this->ReadPaused == Paused)
    return;
  this->ReadPaused = Paused;
  this->updateWatch();
}

void TcpStream::finishWriting() {
  if (!this->isOpen() || this->FinishWanted)
    return;
  this->FinishWanted = true;
  if (this->pending() == 0 && !this->Connecting)
    this->shutdownWriting();
}

void TcpStream::setResetOnClose(bool On) {
  linger Option{On ? 1 : 0, 0};
  setsockopt(this->Fd, SOL_SOCKET, SO_LINGER, &Option, sizeof(Option));
  this->ResetsOnClose = On;
}

void TcpStream::resetOnClose() {
  if (this->isOpen() && !this->ResetsOnClose)
    this->setResetOnClose(true);
}

// The kernel has all bytes, and sends them and the end also after a close.
void TcpStream::shutdownWriting() {
  if (this->ResetsOnClose)
    this->setResetOnClose(false);
  shutdown(this->Fd, SHUT_WR);
}

void TcpStream::close() {
  if (!this->isOpen())
    return;
  Reactor::get().forget(this->Watch);
  ::close(this->Fd);
  this->Fd = -1;
}

ssize_t TcpStream::peek() {
  char Byte = 0;
  ssize_t Got = recv(this->Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Got < 0 && errno != EAGAIN && errno != EINTR)
    this->PeekError = systemError(errno);
  return Got;
}

bool TcpStream::peerEnded() {
  if (!this->isOpen() || this->PeekError)
    return true;
  ssize_t Got = this->peek();
  return Got == 0 || this->PeekError;
}

bool TcpStream::hasUnread() {
  if (!this->isOpen() || this->PeekError)
    return true;
  ssize_t Got = this->peek();
  return Got >= 0 || this->PeekError;
}

} // namespace hickorylift
