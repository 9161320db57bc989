#ifndef BASILSILL_NODE_ADMIN_ROUTER_H_
#define BASILSILL_NODE_ADMIN_ROUTER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "basilsill/base/http_header.h"

/// Routing table of the admin port: maps methods and paths to handlers. HTTP
/// parsing and framing are in admin_connection.h. Runs on the control thread.

namespace basilsill {

struct AdminRequest {
  std::string method;
  std::string path;   ///< Request target before the `?`, undecoded.
  std::string query;  ///< Request target after the `?`, undecoded.
  std::vector<HttpHeader> headers;
  std::string body;

  /// @returns the value of the first header `name`, compared without regard to
  /// case; empty if absent.
  std::string_view Header(std::string_view name) const;

  /// @returns the value of the first query parameter `name`, undecoded; empty
  /// if absent.
  std::string_view Parameter(std::string_view name) const;
};

/// Status and headers of a response.
struct AdminHead {
  uint16_t status = 200;
  std::string content_type = "application/json";
  std::vector<HttpHeader> headers;  ///< Additional headers, such as ETag.
};

struct AdminResponse {
  AdminHead head;
  std::string body;
};

/// A response that is sent piece by piece, such as a watch.
class AdminStream {
 public:
  virtual ~AdminStream() = default;

  /// Sets the head, which is sent with the first Write.
  /// @remarks Deliberately not a coroutine: gcc 12 destroys a braced temporary
  /// in an awaited call twice.
  virtual void SetHead(AdminHead head) = 0;

  /// Sends `chunk` and waits until it is written to the client's connection. An
  /// empty chunk only sends the head, unless it has been sent already.
  virtual boost::asio::awaitable<void> Write(std::string_view chunk) = 0;
};

/// Returns the complete response.
using AdminHandler =
    std::function<boost::asio::awaitable<AdminResponse>(const AdminRequest&)>;

/// Writes the response piece by piece. A normal return completes the response.
/// An exception after the first Write aborts the connection, so that the client
/// can detect the incomplete response.
using AdminStreamHandler =
    std::function<boost::asio::awaitable<void>(const AdminRequest&,
                                               AdminStream&)>;

/// Both kinds of handler run on the control thread. When the client disconnects
/// or the server stops, the operation that a handler awaits is cancelled: Asio
/// throws system_error (operation_aborted) from it, which a handler must
/// propagate. A FailureError becomes a FailureResponse, any other exception a
/// response with status 500.
struct AdminRoute {
  std::string method;
  /// A path that ends in `/` matches every path with this prefix; any other
  /// matches exactly.
  std::string path;
  std::variant<AdminHandler, AdminStreamHandler> handler;
};

/// Result of a lookup that found no handler.
struct NoRoute {
  /// Methods that the path supports, as an `Allow` value; empty if no route
  /// matches the path.
  std::string allowed_methods;
};

class AdminRouter {
 public:
  void Add(AdminRoute route);

  /// Finds the route with the longest matching path. A HEAD request matches the
  /// GET route.
  std::variant<const AdminRoute*, NoRoute> Find(std::string_view method,
                                                std::string_view path) const;

 private:
  std::vector<AdminRoute> routes;
};

/// @returns a handler that responds with the result of `make` without
/// suspending.
AdminHandler SynchronousHandler(
    std::function<AdminResponse(const AdminRequest&)> make);

}  // namespace basilsill

#endif  // BASILSILL_NODE_ADMIN_ROUTER_H_
