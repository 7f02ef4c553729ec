#include "peer/Transport.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cstring>

// Every hook is called from the loop and never from within send(), dial() or
// close(): the layers above may call these from anywhere, even while they walk
// their own tables. A link that fails inside send() is put on a list and told
// in the next turn.

namespace hickorylift {

namespace {

constexpr size_t LengthBytes = 4;
constexpr size_t ReadChunk = 256 * 1024;

void setNoDelay(GSocket *Socket) {
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

GSocketAddress *socketAddress(const NetAddress &Of) {
  return g_inet_socket_address_new_from_string(Of.Ip.c_str(), Of.Port);
}

std::string takeMessage(GError *&Why) {
  std::string Out = Why ? Why->message : "";
  g_clear_error(&Why);
  return Out;
}

} // namespace

Transport::Transport(Options Opts, Hooks Hooks,
                     std::function<TimePoint()> Clock)
    : Opts(Opts), Hook(std::move(Hooks)), Now(std::move(Clock)),
      ReadBuffer(ReadChunk) {}

Transport::~Transport() {
  while (!this->Links.empty())
    this->release(*this->Links.begin()->second);
  if (this->Reaper)
    g_source_remove(this->Reaper);
  if (this->Accepting) {
    g_source_destroy(this->Accepting);
    g_source_unref(this->Accepting);
  }
  g_clear_object(&this->Listener);
}

Result<bool> Transport::listen(const NetAddress &At) {
  GError *Why = nullptr;
  GSocketAddress *Address = socketAddress(At);
  this->Listener =
      g_socket_new(g_socket_address_get_family(Address), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, &Why);
  bool Bound = this->Listener &&
               g_socket_bind(this->Listener, Address, TRUE, &Why) &&
               g_socket_listen(this->Listener, &Why);
  g_object_unref(Address);
  if (!Bound)
    return Error{Errc::Refused, "listen", At.text(), takeMessage(Why)};
  g_socket_set_blocking(this->Listener, FALSE);
  this->Accepting = g_socket_create_source(this->Listener, G_IO_IN, nullptr);
  g_source_set_callback(this->Accepting, G_SOURCE_FUNC(onAccept), this,
                        nullptr);
  g_source_attach(this->Accepting, nullptr);
  return true;
}

Transport::Connection &Transport::add(GSocket *Socket) {
  auto New = std::make_unique<Connection>();
  New->Owner = this;
  New->Id = ++this->LastId;
  New->Socket = Socket;
  g_socket_set_blocking(Socket, FALSE);
  Connection &Out = *New;
  this->Links[Out.Id] = std::move(New);
  return Out;
}

// A herd that reconnects fills the listener's queue. Taking a few in each turn
// keeps the running links served in between.
gboolean Transport::onAccept(GSocket *Listener, GIOCondition, gpointer Data) {
  auto *Self = static_cast<Transport *>(Data);
  for (size_t I = 0; I < Self->Opts.AcceptsPerTurn; ++I) {
    GSocket *Socket = g_socket_accept(Listener, nullptr, nullptr);
    if (!Socket)
      break;
    if (Self->Links.size() >= Self->Opts.MaxLinks) {
      g_object_unref(Socket);
      continue;
    }
    Connection &New = Self->add(Socket);
    setNoDelay(Socket);
    Self->watchRead(New);
  }
  return G_SOURCE_CONTINUE;
}

void Transport::dial(char Purpose, const std::string &Name,
                     const NetAddress &To) {
  GError *Why = nullptr;
  GSocketAddress *Address = socketAddress(To);
  GSocket *Socket =
      g_socket_new(g_socket_address_get_family(Address), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, &Why);
  Connection &New = this->add(Socket);
  New.Purpose = Purpose;
  New.Dialled = Name;
  New.PeerText = Name + "@" + To.text();
  New.Connecting = true;
  New.Timer = g_timeout_add(static_cast<guint>(this->Opts.DialTimeout.count()),
                            onDialTimeout, &New);
  bool Started = g_socket_connect(Socket, Address, nullptr, &Why) ||
                 g_error_matches(Why, G_IO_ERROR, G_IO_ERROR_PENDING);
  g_object_unref(Address);
  if (!Started)
    return this->fail(
        New, Error{Errc::Unreachable, "dial", New.PeerText, takeMessage(Why)});
  g_clear_error(&Why);
  this->watchWrite(New);
}

gboolean Transport::onDialTimeout(gpointer Data) {
  auto *Of = static_cast<Connection *>(Data);
  Of->Timer = 0;
  Of->Owner->fail(*Of, Error{Errc::Timeout, "dial", Of->PeerText, ""});
  return G_SOURCE_REMOVE;
}

void Transport::finishDial(Connection &Of) {
  GError *Why = nullptr;
  if (!g_socket_check_connect_result(Of.Socket, &Why))
    return this->fail(
        Of, Error{Errc::Unreachable, "dial", Of.PeerText, takeMessage(Why)});
  Of.Connecting = false;
  g_source_remove(std::exchange(Of.Timer, 0));
  setNoDelay(Of.Socket);
  Of.Writing.push_back(Of.Purpose);
  this->watchRead(Of);
  this->flush(Of);
  this->Hook.Opened(Of.Id, Of.Purpose, Of.Dialled, this->Now());
}

void Transport::watchRead(Connection &Of) {
  Of.In = g_socket_create_source(Of.Socket, G_IO_IN, nullptr);
  g_source_set_callback(Of.In, G_SOURCE_FUNC(onReadable), &Of, nullptr);
  g_source_attach(Of.In, nullptr);
}

void Transport::watchWrite(Connection &Of) {
  if (Of.Out)
    return;
  Of.Out = g_socket_create_source(Of.Socket, G_IO_OUT, nullptr);
  g_source_set_callback(Of.Out, G_SOURCE_FUNC(onWritable), &Of, nullptr);
  g_source_attach(Of.Out, nullptr);
}

gboolean Transport::onWritable(GSocket *, GIOCondition, gpointer Data) {
  auto &Of = *static_cast<Connection *>(Data);
  Transport &Self = *Of.Owner;
  g_source_unref(std::exchange(Of.Out, nullptr));
  if (Of.Connecting)
    Self.finishDial(Of);
  else
    Self.flush(Of);
  return G_SOURCE_REMOVE;
}

void Transport::flush(Connection &Of) {
  while (Of.Written < Of.Writing.size()) {
    GError *Why = nullptr;
    gssize Done = g_socket_send(Of.Socket, Of.Writing.data() + Of.Written,
                                Of.Writing.size() - Of.Written, nullptr, &Why);
    if (Done < 0) {
      if (g_error_matches(Why, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
        g_clear_error(&Why);
        return this->watchWrite(Of);
      }
      return this->fail(
          Of, Error{Errc::Closed, "send", Of.PeerText, takeMessage(Why)});
    }
    Of.Written += static_cast<size_t>(Done);
    this->Sent[Of.Purpose] += static_cast<uint64_t>(Done);
  }
  Of.Writing.clear();
  Of.Written = 0;
}

bool Transport::send(uint64_t Link, std::string_view Bytes) {
  auto Found = this->Links.find(Link);
  if (Found == this->Links.end())
    return false;
  Connection &Of = *Found->second;
  if (Of.Writing.size() - Of.Written + Bytes.size() >
      this->Opts.MaxQueuedBytes) {
    this->fail(Of, Error{Errc::TooLarge, "send", Of.PeerText,
                         "peer reads too slowly"});
    return false;
  }
  auto Length = static_cast<uint32_t>(Bytes.size());
  char Prefix[LengthBytes];
  for (size_t I = 0; I < LengthBytes; ++I)
    Prefix[I] = static_cast<char>(Length >> (8 * I));
  Of.Writing.append(Prefix, LengthBytes);
  Of.Writing.append(Bytes);
  if (!Of.Out)
    this->flush(Of);
  return true;
}

gboolean Transport::onReadable(GSocket *Socket, GIOCondition, gpointer Data) {
  auto &Of = *static_cast<Connection *>(Data);
  Transport &Self = *Of.Owner;
  // One buffer for all: growing the link's own by a chunk for each read would
  // clear that much memory each time, for a frame of a few hundred bytes.
  GError *Why = nullptr;
  gssize Got = g_socket_receive(Socket, Self.ReadBuffer.data(),
                                Self.ReadBuffer.size(), nullptr, &Why);
  if (Got > 0)
    Of.Reading.append(Self.ReadBuffer.data(), static_cast<size_t>(Got));
  if (Got < 0 && g_error_matches(Why, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
    g_clear_error(&Why);
    return G_SOURCE_CONTINUE;
  }
  if (Got <= 0) {
    Self.fail(Of, Error{Errc::Closed, "receive", Of.PeerText,
                        Got == 0 ? "closed by the peer" : takeMessage(Why)});
    return G_SOURCE_CONTINUE;
  }
  Self.Received[Of.Purpose] += static_cast<uint64_t>(Got);
  // False where a frame's handler closed this link.
  return Self.readFrames(Of.Id) ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

bool Transport::readFrames(uint64_t Id) {
  size_t At = 0;
  while (true) {
    auto Found = this->Links.find(Id);
    if (Found == this->Links.end())
      return false;
    Connection &Of = *Found->second;
    if (Of.Purpose == 0 && !Of.Reading.empty()) {
      Of.Purpose = Of.Reading[At++];
      this->Received[Of.Purpose] += Of.Reading.size();
      this->Hook.Opened(Id, Of.Purpose, "", this->Now());
      continue;
    }
    std::string_view Rest = std::string_view(Of.Reading).substr(At);
    uint32_t Length = 0;
    for (size_t I = 0; Rest.size() >= LengthBytes && I < LengthBytes; ++I)
      Length |= static_cast<uint32_t>(static_cast<unsigned char>(Rest[I]))
                << (8 * I);
    if (Length > this->Opts.MaxFrameBytes) {
      this->fail(Of, Error{Errc::TooLarge, "receive", Of.PeerText,
                           std::to_string(Length) + " bytes in one frame"});
      return true;
    }
    if (Rest.size() < LengthBytes || Rest.size() - LengthBytes < Length) {
      Of.Reading.erase(0, At);
      return true;
    }
    // The handler gets its own copy, aligned for FlatBuffers; the buffer may
    // be gone by the time that it returns.
    std::string Frame(Rest.substr(LengthBytes, Length));
    At += LengthBytes + Length;
    this->Hook.Frame(Id, Of.Purpose, Frame, this->Now());
  }
}

void Transport::fail(Connection &Of, const Error &Why) {
  this->Failed.emplace_back(Of.Id, Why);
  if (Of.In)
    g_source_destroy(Of.In);
  if (!this->Reaper)
    this->Reaper = g_idle_add_full(G_PRIORITY_DEFAULT, onReap, this, nullptr);
}

gboolean Transport::onReap(gpointer Data) {
  auto *Self = static_cast<Transport *>(Data);
  Self->Reaper = 0;
  auto Failed = std::exchange(Self->Failed, {});
  for (const auto &[Id, Why] : Failed) {
    auto Found = Self->Links.find(Id);
    if (Found == Self->Links.end())
      continue;
    char Purpose = Found->second->Purpose;
    std::string Dialled = Found->second->Dialled;
    bool Connecting = Found->second->Connecting;
    Self->release(*Found->second);
    if (Connecting)
      Self->Hook.DialFailed(Purpose, Dialled, Why, Self->Now());
    else if (Purpose)
      Self->Hook.Closed(Id, Purpose, Why, Self->Now());
  }
  return G_SOURCE_REMOVE;
}

void Transport::close(uint64_t Link) {
  auto Found = this->Links.find(Link);
  if (Found == this->Links.end())
    return;
  this->flush(*Found->second);
  this->release(*Found->second);
}

void Transport::release(Connection &Of) {
  if (Of.Timer)
    g_source_remove(Of.Timer);
  for (GSource *One : {Of.In, Of.Out}) {
    if (!One)
      continue;
    g_source_destroy(One);
    g_source_unref(One);
  }
  g_socket_close(Of.Socket, nullptr);
  g_object_unref(Of.Socket);
  this->Links.erase(Of.Id);
}

uint64_t Transport::bytesSent(char Purpose) const {
  auto Found = this->Sent.find(Purpose);
  return Found == this->Sent.end() ? 0 : Found->second;
}

uint64_t Transport::bytesReceived(char Purpose) const {
  auto Found = this->Received.find(Purpose);
  return Found == this->Received.end() ? 0 : Found->second;
}

} // namespace hickorylift
