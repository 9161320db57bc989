#ifndef BASILSILL_SOAK_CLIENT_PORTS_H_
#define BASILSILL_SOAK_CLIENT_PORTS_H_

#include <sys/types.h>

#include <compare>
#include <cstdint>
#include <set>

/// Finds out which process a connection on loopback comes from, as all nodes of
/// a soak connect from the same address.

namespace basilsill::soak {

/// The ports of both ends of a connection.
struct ConnectionPorts {
  uint16_t server = 0;
  uint16_t client = 0;

  friend auto operator<=>(const ConnectionPorts&,
                          const ConnectionPorts&) = default;
};

/// @returns the IPv4 connections that process `pid` has opened or accepted, as
/// if it was the client; empty if the process has ended.
std::set<ConnectionPorts> ConnectionsOf(pid_t pid);

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_CLIENT_PORTS_H_
