#ifndef BASILSILL_PLATFORM_FAILOVER_CLIENT_H_
#define BASILSILL_PLATFORM_FAILOVER_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "basilsill/base/endpoint.h"
#include "basilsill/platform/endpoint_set.h"
#include "basilsill/platform/http_client.h"

/// Sends control calls to the first of several equivalent endpoints that
/// answers.

namespace basilsill {

struct FailoverSettings {
  std::vector<Endpoint> endpoints;
  BackoffSettings backoff;
  /// Timeout of one call to one endpoint, in addition to the time for which the
  /// call asks the server to wait.
  std::chrono::milliseconds call_timeout = limits::kPlatformCallTimeout;
  /// Seed of the back-off jitter. If absent, it is random, so that VMs do not
  /// use the same one.
  std::optional<uint64_t> seed;
};

/// Validates an answer.
/// @returns the failure if the answer is not acceptable.
using AnswerCheck = std::function<std::optional<Failure>(const HttpAnswer&)>;

/// @remarks Must be used only on the thread that runs its executor. The client
/// may be destroyed while calls are in flight.
class FailoverClient {
 public:
  /// @returns kMissingField if `settings` has no endpoints.
  static Result<FailoverClient> Create(boost::asio::any_io_executor executor,
                                       FailoverSettings settings);

  /// Calls one endpoint after the other until one gives an answer that is not
  /// 503 and passes `check`. A call that is not repeatable ends after the first
  /// endpoint to which it may have been sent. If all endpoints are backing off,
  /// a repeatable call waits for the first of them, at most for the call's own
  /// timeout, so that a loop of calls does not spin; any other call fails at
  /// once.
  /// @returns the answer, or a failure:
  ///   kPlatformUnavailable, not `sent`: no endpoint could be tried, or the
  ///   last one did not accept the call; a call that is not repeatable had no
  ///   effect;
  ///   any kind, `sent`: the last call was interrupted, or its answer did not
  ///   pass `check`; the effect of the call is unknown.
  boost::asio::awaitable<HttpResult> Call(HttpCall call, AnswerCheck check);

  std::chrono::milliseconds call_timeout() const;

  /// Closes all connections. Calls in flight fail, and so do later ones.
  void Close();

 private:
  struct Core;

  explicit FailoverClient(std::shared_ptr<Core> started);

  static boost::asio::awaitable<HttpResult> CallOn(std::shared_ptr<Core> core,
                                                   HttpCall call,
                                                   AnswerCheck check);

  std::shared_ptr<Core> core;
};

}  // namespace basilsill

#endif  // BASILSILL_PLATFORM_FAILOVER_CLIENT_H_
