#ifndef HICKORYLIFT_BASE_NETADDRESS_H
#define HICKORYLIFT_BASE_NETADDRESS_H

#include <cstdint>
#include <optional>
#include <string>

namespace hickorylift {

/// An IP number and a port. Names are not looked up anywhere: a look-up would
/// block the loop or bring a thread.
struct NetAddress {
  std::string Ip;
  uint16_t Port = 0;

  std::string text() const;
};

/// "127.0.0.1:7000" or "[::1]:7000". Empty for anything else, for an all-zero
/// address and for port 0: neither can be told to a peer.
std::optional<NetAddress> parseAddress(const std::string &Text);

} // namespace hickorylift

#endif
