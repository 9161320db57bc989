#ifndef BASILSILL_NODE_ACCEPT_LOOP_H_
#define BASILSILL_NODE_ACCEPT_LOOP_H_

#include <functional>
#include <string_view>

#include "metrics.h"
#include "net.h"

/// Accepts the connections of one listening port until it is closed.

namespace basilsill {

struct AcceptLoopOptions {
  std::string_view port;  ///< Name of the port in the log.
  Counter& failures;
  std::function<void(Socket)> on_socket;
  /// Called after each failed accept; may be empty.
  std::function<void()> on_failure;
};

/// Accepts connections until `acceptor` is closed, and passes each to
/// `on_socket`. If the process has no free file descriptor, waiting connections
/// are reset, so that their clients can connect elsewhere at once. After any
/// other error, the loop waits before it tries again: the connection is still
/// pending, so an immediate retry would fail again and keep the thread busy.
Task<void> AcceptLoop(Acceptor& acceptor, AcceptLoopOptions options);

/// @returns true if the process has a file descriptor left, which a connection
/// that is accepted needs.
bool HasFreeDescriptor(const Executor& executor);

}  // namespace basilsill

#endif  // BASILSILL_NODE_ACCEPT_LOOP_H_
