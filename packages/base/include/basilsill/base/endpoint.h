#ifndef BASILSILL_BASE_ENDPOINT_H_
#define BASILSILL_BASE_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "basilsill/base/error.h"

/// Network endpoints.

namespace basilsill {

/// An IP address and a port; never a host name.
struct Endpoint {
  std::string address;
  uint16_t port = 0;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// @returns `endpoint` as "127.0.0.1:80" or "[::1]:80".
std::string ToString(const Endpoint& endpoint);

/// @returns true if a connection to `endpoint` can reach one other host: its
/// address is neither unspecified (which reaches this host) nor of a group or
/// reserved, and its port is not 0.
bool IsUnicast(const Endpoint& endpoint);

/// Parses the format of ToString.
/// @param path Location of `text`, for the failure.
/// @returns the endpoint, or kOutOfRange if `text` is not one. The port may be
/// 0.
Result<Endpoint> ParseEndpoint(std::string_view text, std::string_view path);

}  // namespace basilsill

#endif  // BASILSILL_BASE_ENDPOINT_H_
