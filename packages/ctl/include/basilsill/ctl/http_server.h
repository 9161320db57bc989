#ifndef BASILSILL_CTL_HTTP_SERVER_H_
#define BASILSILL_CTL_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "basilsill/base/endpoint.h"
#include "basilsill/base/error.h"
#include "basilsill/platform/http_message.h"

/// A small HTTP/1.1 server for stand-ins and tests. Never for callers.

namespace boost::asio {
class io_context;
}

namespace basilsill::ctl {

/// One request with its whole body.
struct ServerRequest {
  std::string method;
  std::string path;   ///< Target up to the question mark.
  std::string query;  ///< Target after it.
  std::vector<HttpHeader> headers;
  std::string body;
};

struct ServerReply {
  unsigned status = 200;
  std::string body;
  std::vector<HttpHeader> headers;
};

/// Answers a request; nothing closes the connection without an answer.
using ServerHandler =
    std::function<boost::asio::awaitable<std::optional<ServerReply>>(
        ServerRequest)>;

/// Serves on the thread that runs its io_context; stops when destroyed.
class HttpServer {
 public:
  /// @param endpoint Port 0 lets the kernel choose.
  /// @returns kNetwork if it can't be listened on.
  static Result<HttpServer> Listen(boost::asio::io_context& io,
                                   const Endpoint& endpoint,
                                   ServerHandler handler);
  HttpServer(HttpServer&& other) noexcept;
  HttpServer& operator=(HttpServer&& other) noexcept;
  ~HttpServer();

  /// @returns where it listens, the kernel's port included.
  Endpoint endpoint() const;

  /// Stops listening and closes all connections.
  void Stop();

 private:
  struct State;

  explicit HttpServer(std::shared_ptr<State> started);

  std::shared_ptr<State> state;
};

/// @returns the value of `name` in a query, empty if it is not there. Nothing
/// is decoded: the protocols here use plain characters.
std::string_view QueryValue(std::string_view query, std::string_view name);

/// @returns the value of a header, empty if it is not there.
std::string_view HeaderValue(const ServerRequest& request,
                             std::string_view name);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_HTTP_SERVER_H_
