#include "standin/Flags.h"
#include "standin/Standin.h"

#include "base/NetAddress.h"

#include <absl/flags/flag.h>
#include <gio/gio.h>
#include <libsoup/soup.h>

#include <iostream>
#include <list>
#include <string>

// A faulty wire: a TCP relay that delays, and by its switches goes silent
// (nothing passes and nothing is closed, as when a middle box has forgotten a
// connection), refuses new connections, or cuts the ones there are.

namespace hickorylift::standin {

namespace {

class Relay;

struct Pair {
  Relay *Owner;
  GSocketConnection *Ends[2];
  bool Silent = false;
  bool Dead = false;
  int Uses = 0;
};

struct Flight {
  Pair *Of;
  int From;
  GBytes *Bytes;
};

class Relay {
public:
  bool start() {
    std::optional<NetAddress> At = parseAddress(absl::GetFlag(FLAGS_listen));
    GSocketAddress *Address =
        g_inet_socket_address_new_from_string(At->Ip.c_str(), At->Port);
    GSocketService *Service = g_socket_service_new();
    g_signal_connect(Service, "incoming", G_CALLBACK(onIncoming), this);
    bool Bound = g_socket_listener_add_address(
        G_SOCKET_LISTENER(Service), Address, G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, nullptr);
    g_socket_service_start(Service);
    return Bound && this->startAdmin();
  }

private:
  bool startAdmin() {
    std::optional<NetAddress> At = parseAddress(absl::GetFlag(FLAGS_admin));
    if (!At)
      return true;
    SoupServer *Admin = soup_server_new(nullptr, nullptr);
    soup_server_add_handler(Admin, nullptr, onAdmin, this, nullptr);
    GSocketAddress *Address =
        g_inet_socket_address_new_from_string(At->Ip.c_str(), At->Port);
    return soup_server_listen(Admin, Address,
                              static_cast<SoupServerListenOptions>(0), nullptr);
  }

  static void onAdmin(SoupServer *, SoupServerMessage *Message,
                      const char *Path, GHashTable *, gpointer Data) {
    auto *Self = static_cast<Relay *>(Data);
    std::string Text = Path;
    if (Text == "/silence")
      for (Pair &One : Self->Pairs)
        One.Silent = true;
    if (Text == "/cut" || Text == "/refuse")
      for (Pair &One : Self->Pairs)
        Self->close(One);
    if (Text == "/refuse")
      Self->Refusing = true;
    if (Text == "/accept")
      Self->Refusing = false;
    soup_server_message_set_status(Message, 200, nullptr);
    soup_server_message_set_response(Message, "text/plain", SOUP_MEMORY_STATIC,
                                     "done\n", 5);
  }

  static gboolean onIncoming(GSocketService *, GSocketConnection *Near,
                             GObject *, gpointer Data) {
    auto *Self = static_cast<Relay *>(Data);
    if (Self->Refusing) {
      g_io_stream_close(G_IO_STREAM(Near), nullptr, nullptr);
      return TRUE;
    }
    std::optional<NetAddress> To = parseAddress(absl::GetFlag(FLAGS_to));
    GSocketClient *Client = g_socket_client_new();
    GSocketAddress *Address =
        g_inet_socket_address_new_from_string(To->Ip.c_str(), To->Port);
    GSocketConnection *Far = g_socket_client_connect(
        Client, G_SOCKET_CONNECTABLE(Address), nullptr, nullptr);
    g_object_unref(Address);
    g_object_unref(Client);
    if (!Far) {
      g_io_stream_close(G_IO_STREAM(Near), nullptr, nullptr);
      return TRUE;
    }
    Self->Pairs.push_back(
        {Self, {G_SOCKET_CONNECTION(g_object_ref(Near)), Far}});
    Self->read(Self->Pairs.back(), 0);
    Self->read(Self->Pairs.back(), 1);
    return TRUE;
  }

  void read(Pair &Of, int From) {
    ++Of.Uses;
    auto *On = new Flight{&Of, From, nullptr};
    g_input_stream_read_bytes_async(
        g_io_stream_get_input_stream(G_IO_STREAM(Of.Ends[From])), 65536,
        G_PRIORITY_DEFAULT, nullptr, onRead, On);
  }

  static void onRead(GObject *Source, GAsyncResult *Outcome, gpointer Data) {
    auto *On = static_cast<Flight *>(Data);
    Pair &Of = *On->Of;
    On->Bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(Source),
                                                 Outcome, nullptr);
    if (!On->Bytes || g_bytes_get_size(On->Bytes) == 0 || Of.Dead) {
      if (!Of.Silent)
        Of.Owner->close(Of);
      return Of.Owner->drop(On);
    }
    guint Delay = absl::GetFlag(FLAGS_delay_ms);
    g_timeout_add(Delay, onDue, On);
  }

  static gboolean onDue(gpointer Data) {
    auto *On = static_cast<Flight *>(Data);
    Pair &Of = *On->Of;
    Relay *Self = Of.Owner;
    int From = On->From;
    if (!Of.Silent && !Of.Dead) {
      gsize Size = 0;
      const void *At = g_bytes_get_data(On->Bytes, &Size);
      g_output_stream_write_all(
          g_io_stream_get_output_stream(G_IO_STREAM(Of.Ends[1 - From])), At,
          Size, nullptr, nullptr, nullptr);
    }
    if (!Of.Dead)
      Self->read(Of, From);
    Self->drop(On);
    return G_SOURCE_REMOVE;
  }

  void drop(Flight *On) {
    g_clear_pointer(&On->Bytes, g_bytes_unref);
    Pair *Of = On->Of;
    delete On;
    if (--Of->Uses > 0 || !Of->Dead)
      return;
    for (GSocketConnection *End : Of->Ends)
      g_object_unref(End);
    this->Pairs.remove_if([Of](const Pair &One) { return &One == Of; });
  }

  void close(Pair &Of) {
    if (Of.Dead)
      return;
    Of.Dead = true;
    for (GSocketConnection *End : Of.Ends)
      g_socket_shutdown(g_socket_connection_get_socket(End), TRUE, TRUE,
                        nullptr);
  }

  std::list<Pair> Pairs;
  bool Refusing = false;
};

} // namespace

int runWire() {
  Relay Of;
  if (!Of.start())
    return 1;
  std::cout << "ready\n" << std::flush;
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
  return 0;
}

} // namespace hickorylift::standin
