#include "base/NetAddress.h"

#include <gio/gio.h>

#include <charconv>

namespace hickorylift {

std::string NetAddress::text() const {
  bool IsV6 = this->Ip.find(':') != std::string::npos;
  return (IsV6 ? "[" + this->Ip + "]" : this->Ip) + ":" +
         std::to_string(this->Port);
}

std::optional<NetAddress> parseAddress(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return std::nullopt;
  NetAddress Out;
  Out.Ip = Text.substr(0, Colon);
  if (Out.Ip.front() == '[' && Out.Ip.back() == ']')
    Out.Ip = Out.Ip.substr(1, Out.Ip.size() - 2);
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data() + Colon + 1, End, Out.Port);
  if (Code != std::errc() || Stop != End || Out.Port == 0)
    return std::nullopt;
  GInetAddress *Address = g_inet_address_new_from_string(Out.Ip.c_str());
  if (!Address)
    return std::nullopt;
  bool Usable = !g_inet_address_get_is_any(Address);
  g_object_unref(Address);
  if (!Usable)
    return std::nullopt;
  return Out;
}

} // namespace hickorylift
