#ifndef BASILSILL_PLATFORM_HTTP_CLIENT_H_
#define BASILSILL_PLATFORM_HTTP_CLIENT_H_

#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "basilsill/base/endpoint.h"
#include "basilsill/base/error.h"
#include "basilsill/platform/http_message.h"

/// HTTP client for control calls, with pooled keep-alive connections.

namespace basilsill {

/// A call that got no usable answer.
struct HttpFailure : Failure {
  /// At least one byte of the call may have reached the server, so it is
  /// unknown whether the call took effect.
  bool sent = false;
  CallConnection connection = CallConnection::kNone;
};
using HttpResult =
    boost::outcome_v2::basic_result<HttpAnswer, HttpFailure, ThrowFailure>;

/// Keeps connections to any number of servers. Each call has a connection to
/// itself, so a long poll never delays another call.
/// @remarks Must be used only on the thread that runs its executor. The client
/// may be destroyed while calls are in flight.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::any_io_executor executor);

  /// Sends `call` to `endpoint` and waits for the complete answer.
  /// @returns the answer, or kNetwork, kSyntax (malformed answer) or
  /// kOversizedFrame.
  boost::asio::awaitable<HttpResult> Call(Endpoint endpoint, HttpCall call);

  /// Closes all connections. Calls in flight fail.
  void Close();

 private:
  struct Pool;

  static boost::asio::awaitable<HttpResult> CallOn(std::shared_ptr<Pool> pool,
                                                   Endpoint endpoint,
                                                   HttpCall call);

  std::shared_ptr<Pool> pool;
};

}  // namespace basilsill

#endif  // BASILSILL_PLATFORM_HTTP_CLIENT_H_
