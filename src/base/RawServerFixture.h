#ifndef HICKORYLIFT_BASE_RAWSERVERFIXTURE_H
#define HICKORYLIFT_BASE_RAWSERVERFIXTURE_H

#include <boost/test/unit_test.hpp>

#include <gio/gio.h>
#include <sys/socket.h>

#include <string>
#include <string_view>
#include <vector>

// A server on loopback that sends just the bytes that a test gives it, and
// responses to send in parts. It runs on the loop of the test.

namespace hickorylift {

/// A server that takes one connection, which the test writes to.
class RawServer {
public:
  RawServer() : Service(g_socket_service_new()) {
    GInetAddress *Loopback = g_inet_address_new_loopback(G_SOCKET_FAMILY_IPV4);
    GSocketAddress *Any = g_inet_socket_address_new(Loopback, 0);
    GSocketAddress *Bound = nullptr;
    BOOST_REQUIRE(g_socket_listener_add_address(
        G_SOCKET_LISTENER(this->Service), Any, G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, nullptr, &Bound, nullptr));
    this->Port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(Bound));
    g_object_unref(Bound);
    g_object_unref(Any);
    g_object_unref(Loopback);
    g_signal_connect(this->Service, "incoming", G_CALLBACK(onIncoming), this);
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;
  ~RawServer() {
    g_socket_service_stop(this->Service);
    g_clear_object(&this->Connection);
    g_object_unref(this->Service);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Port);
  }
  bool isConnected() const { return this->Connection != nullptr; }

  /// Sends without waiting. Returns how many bytes the kernel has taken.
  size_t send(std::string_view Bytes) {
    GSocket *Socket = g_socket_connection_get_socket(this->Connection);
    g_socket_set_blocking(Socket, FALSE);
    gssize Sent =
        g_socket_send(Socket, Bytes.data(), Bytes.size(), nullptr, nullptr);
    return Sent > 0 ? static_cast<size_t>(Sent) : 0;
  }

  /// Takes a request, sends these bytes and ends the connection, in order or by
  /// a reset.
  void answer(std::string_view Bytes, bool Reset) {
    while (!this->isConnected())
      g_main_context_iteration(nullptr, TRUE);
    // What is unread would reset the connection.
    while (!this->receive())
      g_main_context_iteration(nullptr, FALSE);
    this->send(Bytes);
    linger Option{Reset ? 1 : 0, 0};
    setsockopt(
        g_socket_get_fd(g_socket_connection_get_socket(this->Connection)),
        SOL_SOCKET, SO_LINGER, &Option, sizeof(Option));
    g_io_stream_close(G_IO_STREAM(this->Connection), nullptr, nullptr);
  }

private:
  bool receive() {
    char Buffer[4096];
    GSocket *Socket = g_socket_connection_get_socket(this->Connection);
    g_socket_set_blocking(Socket, FALSE);
    return g_socket_receive(Socket, Buffer, sizeof(Buffer), nullptr, nullptr) >
           0;
  }

  static gboolean onIncoming(GSocketService *, GSocketConnection *New,
                             GObject *, gpointer Data) {
    auto *Self = static_cast<RawServer *>(Data);
    g_set_object(&Self->Connection, New);
    return TRUE;
  }

  GSocketService *Service;
  GSocketConnection *Connection = nullptr;
  uint16_t Port = 0;
};

/// A response with this body in each form that a server may choose: with a
/// length, in chunks, and without a mark of its end but that of the connection.
inline std::vector<std::string> responsesWith(const std::string &Body) {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Revision: 9\r\n";
  std::string Chunks;
  constexpr size_t ChunkBytes = 8;
  for (size_t At = 0; At < Body.size(); At += ChunkBytes) {
    std::string Piece = Body.substr(At, ChunkBytes);
    Chunks += std::to_string(Piece.size()) + "\r\n" + Piece + "\r\n";
  }
  return {Head + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
              Body,
          Head + "Transfer-Encoding: chunked\r\n\r\n" + Chunks + "0\r\n\r\n",
          Head + "\r\n" + Body};
}

} // namespace hickorylift

#endif
