#ifndef BASILSILL_PLATFORM_HTTP_MESSAGE_H_
#define BASILSILL_PLATFORM_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/http_header.h"
#include "basilsill/base/limits.h"
#include "basilsill/base/time.h"

/// HTTP/1.1 calls and answers of control traffic: small bodies, held whole.
/// Callers' requests never go this way.

namespace basilsill {

enum class HttpMethod : uint8_t { kGet, kPost, kPut, kDelete, kCount };

/// @returns the name of `method` as HTTP writes it.
std::string_view NameOf(HttpMethod method);

/// One call, as a client sends it.
struct HttpCall {
  HttpMethod method = HttpMethod::kGet;
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  /// From the first byte sent to the last one received.
  std::chrono::milliseconds timeout = limits::kPlatformCallTimeout;
  size_t max_answer_bytes = limits::kMaxPlatformAnswerBytes;
  /// Sending it twice does no harm, so a call that broke may go elsewhere.
  bool repeatable = true;
};

/// A whole answer, whatever its status.
struct HttpAnswer {
  unsigned status = 0;
  std::string body;
};

}  // namespace basilsill

#endif  // BASILSILL_PLATFORM_HTTP_MESSAGE_H_
