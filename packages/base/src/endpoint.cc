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

// The first octet of an IPv4 address tells its use (RFC 6890).
bool IsUnicastV4(uint8_t first_octet) {
  constexpr uint8_t this_network = 0;
  constexpr uint8_t first_of_groups = 224;
  return first_octet != this_network && first_octet < first_of_groups;
}

bool IsUnicastV6(const in6_addr& address) {
  constexpr size_t mapped_octet = 12;
  if (IN6_IS_ADDR_V4MAPPED(&address)) {
    return IsUnicastV4(address.s6_addr[mapped_octet]);
  }
  return !IN6_IS_ADDR_UNSPECIFIED(&address) && !IN6_IS_ADDR_MULTICAST(&address);
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  const std::string host =
      is_v6 ? "[" + endpoint.address + "]" : endpoint.address;
  return host + ":" + std::to_string(endpoint.port);
}

bool IsUnicast(const Endpoint& endpoint) {
  if (endpoint.port == 0) {
    return false;
  }
  in6_addr address{};
  if (inet_pton(AF_INET6, endpoint.address.c_str(), &address) == 1) {
    return IsUnicastV6(address);
  }
  return inet_pton(AF_INET, endpoint.address.c_str(), &address) == 1 &&
         IsUnicastV4(address.s6_addr[0]);
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
