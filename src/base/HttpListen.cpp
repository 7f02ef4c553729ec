#include "base/HttpListen.h"

namespace hickorylift {

Result<bool> listenHttp(SoupServer *Server, const NetAddress &At,
                        const std::string &Step) {
  GError *Why = nullptr;
  GSocketAddress *Address =
      g_inet_socket_address_new_from_string(At.Ip.c_str(), At.Port);
  bool Listening = soup_server_listen(
      Server, Address, static_cast<SoupServerListenOptions>(0), &Why);
  g_object_unref(Address);
  if (Listening)
    return true;
  Error Out{Errc::Refused, Step, At.text(), Why->message};
  g_clear_error(&Why);
  return Out;
}

} // namespace hickorylift
