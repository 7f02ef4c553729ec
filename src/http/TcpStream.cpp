#include "http/TcpStream.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

// One GSource for each connection, whose condition follows what is wanted. A
// write goes to the kernel at once and waits for the loop only where the kernel
// is full, so most answers cost one call.
//
// A failed write is not reported from within write(): the caller is in the
// midst of something. What the peer sent before it reset is still read, and the
// end is then reported with the write's error.

namespace hickorylift {

namespace {

constexpr size_t ReadBytes = 64 * 1024;

std::error_code systemError(int Number) {
  return {Number, std::generic_category()};
}

} // namespace

struct TcpStream::Source {
  GSource Base;
  TcpStream *Of;
};

TcpStream::TcpStream(int Fd, Hooks Hooks, std::function<TimePoint()> Clock)
    : Fd(Fd), Hook(std::move(Hooks)), Now(std::move(Clock)) {}

std::shared_ptr<TcpStream> TcpStream::adopt(int Fd, Hooks Hooks,
                                            std::function<TimePoint()> Clock) {
  int On = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  std::shared_ptr<TcpStream> New(
      new TcpStream(Fd, std::move(Hooks), std::move(Clock)));
  New->watch();
  return New;
}

std::shared_ptr<TcpStream> TcpStream::dial(const NetAddress &To, Hooks Hooks,
                                           std::function<TimePoint()> Clock) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(To.Port);
  inet_pton(AF_INET, To.Ip.c_str(), &Address.sin_addr);
  bool Failed = connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                        sizeof(Address)) != 0 &&
                errno != EINPROGRESS;
  int Number = errno;
  std::shared_ptr<TcpStream> New =
      adopt(Fd, std::move(Hooks), std::move(Clock));
  New->Connecting = true;
  if (Failed)
    New->WriteError = systemError(Number);
  New->updateWatch();
  return New;
}

TcpStream::~TcpStream() { this->close(); }

void TcpStream::watch() {
  static GSourceFuncs Functions = {nullptr, nullptr, &TcpStream::onReady,
                                   nullptr, nullptr, nullptr};
  this->Watch = g_source_new(&Functions, sizeof(Source));
  reinterpret_cast<Source *>(this->Watch)->Of = this;
  this->Tag = g_source_add_unix_fd(this->Watch, this->Fd, G_IO_IN);
  g_source_attach(this->Watch, nullptr);
}

void TcpStream::updateWatch() {
  if (!this->isOpen())
    return;
  int Wanted = 0;
  if (!this->Connecting && !this->ReadPaused)
    Wanted |= G_IO_IN;
  bool Writes = this->pending() != 0 && !this->WriteError;
  if (this->Connecting || Writes)
    Wanted |= G_IO_OUT;
  g_source_modify_unix_fd(this->Watch, this->Tag,
                          static_cast<GIOCondition>(Wanted));
}

gboolean TcpStream::onReady(GSource *From, GSourceFunc, gpointer) {
  TcpStream *Self = reinterpret_cast<Source *>(From)->Of;
  // A hook may let go of the stream.
  std::shared_ptr<TcpStream> Alive = Self->shared_from_this();
  Self->ready(g_source_query_unix_fd(From, Self->Tag));
  return G_SOURCE_CONTINUE;
}

void TcpStream::ready(GIOCondition What) {
  if (this->Connecting)
    return this->finishDial();
  if (What & G_IO_OUT)
    this->flush();
  // An end is looked at also while reading is paused: the loop reports it over
  // and over otherwise.
  if (this->isOpen() && (What & (G_IO_IN | G_IO_HUP | G_IO_ERR)))
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
  this->end(Got == 0 ? this->WriteError : systemError(errno));
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
    this->flush();
  else
    this->updateWatch();
}

void TcpStream::flush() {
  bool Had = this->pending() != 0;
  while (this->pending() != 0) {
    ssize_t Went = send(this->Fd, this->Out.data() + this->Sent,
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
  if (this->pending() == 0) {
    this->Out.clear();
    this->Sent = 0;
    if (this->FinishWanted)
      shutdown(this->Fd, SHUT_WR);
  }
  this->updateWatch();
  if (Had && this->pending() == 0)
    this->Hook.Drained(this->Now());
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
    shutdown(this->Fd, SHUT_WR);
}

void TcpStream::close() {
  if (!this->isOpen())
    return;
  g_source_destroy(this->Watch);
  g_source_unref(this->Watch);
  this->Watch = nullptr;
  ::close(this->Fd);
  this->Fd = -1;
}

bool TcpStream::peerEnded() const {
  if (!this->isOpen())
    return true;
  char Byte = 0;
  ssize_t Got = recv(this->Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 || (Got < 0 && errno != EAGAIN && errno != EINTR);
}

bool TcpStream::hasUnread() const {
  if (!this->isOpen())
    return true;
  char Byte = 0;
  ssize_t Got = recv(this->Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got >= 0 || (errno != EAGAIN && errno != EINTR);
}

} // namespace hickorylift
