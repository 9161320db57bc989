#ifndef BASILSILL_NODE_ADMIN_CONNECTION_H_
#define BASILSILL_NODE_ADMIN_CONNECTION_H_

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "admin_router.h"
#include "admin_server.h"

/// One client connection of the admin port. No other part of the admin server
/// depends on Boost.Beast.

namespace basilsill {

class AdminConnection {
 public:
  /// Both `options` and `router` must outlive the connection.
  AdminConnection(boost::asio::ip::tcp::socket socket,
                  const AdminOptions& options,
                  const AdminRouter& router);
  ~AdminConnection();

  /// Serves requests until the connection ends. Throws system_error if it
  /// fails, times out or is closed by the client between requests. This object
  /// must outlive the returned coroutine.
  boost::asio::awaitable<void> Serve();

  /// Closes the connection and cancels a running handler.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_ADMIN_CONNECTION_H_
