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

/// A small HTTP/1.1 server for emulators and tests. Not for production traffic.

namespace boost::asio {
class io_context;
}

namespace basilsill::ctl {

/// One request with its complete body.
struct ServerRequest {
  std::string method;
  std::string path;   ///< Part of the target before the question mark.
  std::string query;  ///< Part after it; empty if there is none.
  std::vector<HttpHeader> headers;
  std::string body;
};

struct ServerReply {
  unsigned status = 200;
  std::string body;
  std::vector<HttpHeader> headers;
};

/// Handles a request. std::nullopt closes the connection without a response.
using ServerHandler =
    std::function<boost::asio::awaitable<std::optional<ServerReply>>(
        ServerRequest)>;

/// Serves on the thread that runs its io_context; the destructor stops it.
class HttpServer {
 public:
  /// @param endpoint Port 0 lets the kernel choose a free port.
  /// @returns kNetwork if the server can't listen on `endpoint`.
  static Result<HttpServer> Listen(boost::asio::io_context& io,
                                   const Endpoint& endpoint,
                                   ServerHandler handler);
  HttpServer(HttpServer&& other) noexcept;
  HttpServer& operator=(HttpServer&& other) noexcept;
  ~HttpServer();

  /// @returns the local endpoint, with the port that the kernel chose.
  Endpoint endpoint() const;

  /// Stops listening and closes all connections.
  void Stop();

 private:
  struct State;

  explicit HttpServer(std::shared_ptr<State> listening_state);

  std::shared_ptr<State> state;
};

/// @returns the value of `name` in a query, or an empty string if it is absent.
/// Percent-encoding is not decoded: the protocols here only use characters that
/// need no encoding.
std::string_view QueryValue(std::string_view query, std::string_view name);

/// @returns the value of a header, or an empty string if it is absent.
std::string_view HeaderValue(const ServerRequest& request,
                             std::string_view name);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_HTTP_SERVER_H_
