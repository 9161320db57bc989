#ifndef BASILSILL_CTL_UPSTREAM_REQUEST_H_
#define BASILSILL_CTL_UPSTREAM_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/verb.hpp>

#include "upstream_state.h"

/// Reader for requests to an emulated instance, and the header names and paths
/// that it shares with the load generator.

namespace basilsill::ctl {

inline constexpr std::string_view kUpstreamHeader = "X-Upstream";
inline constexpr std::string_view kTagHeader = "X-Request-Tag";
inline constexpr std::string_view kDigestHeader = "X-Body-Digest";
inline constexpr std::string_view kReceivedDigestHeader = "X-Received-Digest";
inline constexpr std::string_view kReceivedBytesHeader = "X-Received-Bytes";
inline constexpr std::string_view kEmulateHeader = "X-Emulate";
inline constexpr std::string_view kEmulateCrash = "crash";
inline constexpr std::string_view kKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kDeadlineHeader = "Basilsill-Deadline-Ms";
inline constexpr std::string_view kDrainingHeader = "Basilsill-Draining";
inline constexpr std::string_view kRateLimitHeader = "Basilsill-Rate-Limit";
inline constexpr std::string_view kRefusedHeader = "Basilsill-Refused";

inline constexpr std::string_view kBytesPath = "/bytes/";
inline constexpr std::string_view kEchoPath = "/echo";
inline constexpr std::string_view kLoadPath = "/load";
inline constexpr std::string_view kStatsPath = "/_control/stats";
inline constexpr std::string_view kStatePath = "/_control/state";

/// Largest body that `/echo` returns.
inline constexpr size_t kMaxEchoBytes = size_t{16} * 1024 * 1024;

/// One complete request. Only the digest of its body is kept, unless
/// KeepsBody() is true.
struct UpstreamRequest {
  boost::beast::http::verb method = boost::beast::http::verb::unknown;
  std::string target;
  std::string tag;
  bool keep_alive = false;
  UpstreamJob job;
  std::string body;  ///< Only of `/echo` and `/_control/state`.
  uint64_t body_size = 0;
  std::string body_digest;  ///< Empty if there was no body.

  /// @returns the target without its query.
  std::string_view path() const;
  bool KeepsBody() const;
};

/// Reads the next request of a connection.
/// @param chunk Buffer through which a body is read; it is allocated at the
/// first body.
/// @returns nothing if the connection closed or the request is malformed.
boost::asio::awaitable<std::optional<UpstreamRequest>> ReadRequest(
    boost::asio::ip::tcp::socket& socket,
    boost::beast::flat_buffer& buffer,
    std::vector<char>& chunk);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_UPSTREAM_REQUEST_H_
