#ifndef BASILSILL_NODE_ADMIN_SERVER_H_
#define BASILSILL_NODE_ADMIN_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "admin_router.h"
#include "basilsill/base/error.h"
#include "basilsill/decision/view.h"

/// HTTP server of the admin port. Runs on the control thread.

namespace basilsill {

struct AdminOptions {
  Endpoint listen;  ///< With port 0 the kernel chooses a port.
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1024 * 1024;
  size_t max_connections = 256;
  /// To receive one complete request.
  std::chrono::milliseconds read_timeout{10000};
  /// To write one response, or one piece of a streamed response.
  std::chrono::milliseconds write_timeout{30000};
  /// To receive the first bytes of the next request on an open connection.
  std::chrono::milliseconds idle_timeout{60000};
};

/// Dispatches requests to the routes of an AdminRouter. Responds to malformed
/// HTTP with 400, to a body above the limit with 413 and to a header above the
/// limit with 431, then closes the connection.
class AdminServer {
 public:
  /// @param router Must have all its routes and outlive the server.
  /// @returns kNetwork if the server can't listen on the endpoint.
  static Result<std::unique_ptr<AdminServer>> Create(
      boost::asio::io_context& context,
      const AdminOptions& options,
      const AdminRouter& router);
  ~AdminServer();

  uint16_t port() const;

  /// Closes the port and all connections, and cancels running handlers.
  void Stop();

 private:
  struct State;
  explicit AdminServer(std::shared_ptr<State> state);

  std::shared_ptr<State> state;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_ADMIN_SERVER_H_
