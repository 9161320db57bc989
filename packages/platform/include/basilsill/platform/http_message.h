#ifndef BASILSILL_PLATFORM_HTTP_MESSAGE_H_
#define BASILSILL_PLATFORM_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/http_header.h"
#include "basilsill/base/limits.h"
#include "basilsill/base/time.h"

/// HTTP/1.1 calls and answers of control traffic. Bodies are small and held in
/// memory as a whole. Callers' requests do not use these types.

namespace basilsill {

enum class HttpMethod : uint8_t { kGet, kPost, kPut, kDelete, kCount };

/// @returns the HTTP name of `method`, such as "GET".
std::string_view NameOf(HttpMethod method);

/// The connection on which a call was made.
enum class CallConnection : uint8_t {
  kNone,  ///< It could not be opened.
  kNew,
  kKept,  ///< It had served an earlier call.
  kCount
};

/// @returns the name of `connection` in logs.
std::string_view NameOf(CallConnection connection);

/// One HTTP request.
struct HttpCall {
  HttpMethod method = HttpMethod::kGet;
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  /// Longest time from the first byte sent to the last byte received. Does not
  /// include connecting.
  std::chrono::milliseconds timeout = limits::kPlatformCallTimeout;
  size_t max_answer_bytes = limits::kMaxPlatformAnswerBytes;
  /// The call is idempotent: if it is interrupted, it may be sent to another
  /// endpoint.
  bool repeatable = true;
  /// If a kept connection delivers no answer within this time, a repeatable
  /// call is made again on a new one, within `timeout`; 0: it is not.
  std::chrono::milliseconds max_silence{0};
  /// Name of the header whose value the answer returns; empty: none.
  std::string answer_header;
};

/// A complete HTTP response with any status.
struct HttpAnswer {
  unsigned status = 0;
  std::string body;
  CallConnection connection = CallConnection::kNew;
  /// Time since the call was made on `connection`.
  Duration took{0};
  /// Value of HttpCall::answer_header; absent if the answer has none.
  std::optional<std::string> header;
};

}  // namespace basilsill

#endif  // BASILSILL_PLATFORM_HTTP_MESSAGE_H_
