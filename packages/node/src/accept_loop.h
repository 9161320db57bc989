#ifndef BASILSILL_NODE_ACCEPT_LOOP_H_
#define BASILSILL_NODE_ACCEPT_LOOP_H_

#include <functional>
#include <string_view>

#include "metrics.h"
#include "net.h"

/// Takes connections in at one port, for as long as it is open.

namespace basilsill {

struct AcceptLoopOptions {
  std::string_view port;  ///< What connects there, as the log names it.
  Counter& failures;
  std::function<void(Socket)> on_socket;
  /// May be empty.
  std::function<void()> on_failure;
};

/// @remarks Out of descriptors, connections are reset, so that those who opened
/// them go elsewhere at once. Out of anything else, accepting is tried again a
/// moment later: at once, it would take all of the thread's time, as the
/// connection still waits.
Task<void> AcceptLoop(Acceptor& acceptor, AcceptLoopOptions options);

}  // namespace basilsill

#endif  // BASILSILL_NODE_ACCEPT_LOOP_H_
