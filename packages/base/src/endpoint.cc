#include "basilsill/base/endpoint.h"

#include <optional>

#include <arpa/inet.h>

#include "basilsill/base/text.h"

namespace basilsill {
namespace {

bool IsIpNumber(int family, const std::string& text) {
  in6_addr parsed;
  return inet_pton(family, text.c_str(), &parsed) == 1;
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  const std::string host =
      is_v6 ? "[" + endpoint.address + "]" : endpoint.address;
  return host + ":" + std::to_string(endpoint.port);
}

Result<Endpoint> ParseEndpoint(std::string_view text, std::string_view path) {
  const Failure malformed{
      FailureKind::kOutOfRange, std::string(path),
      "'" + std::string(text) + "' is not ADDRESS:PORT with an IP number"};
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return malformed;
  }
  std::string_view host = text.substr(0, colon);
  const bool is_v6 = host.starts_with('[') && host.ends_with(']');
  if (is_v6) {
    host = host.substr(1, host.size() - 2);
  }
  Endpoint endpoint;
  endpoint.address = host;
  const std::optional<uint16_t> port =
      ParseNumber<uint16_t>(text.substr(colon + 1));
  if (!IsIpNumber(is_v6 ? AF_INET6 : AF_INET, endpoint.address) || !port) {
    return malformed;
  }
  endpoint.port = *port;
  return endpoint;
}

}  // namespace basilsill
