#ifndef BASILSILL_NODE_SIGNALS_H_
#define BASILSILL_NODE_SIGNALS_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

/// The signals that shut down or reload a node.

namespace basilsill {

/// Handlers of signals. They run on the thread of the io_context.
struct ShutdownHandlers {
  std::function<void()> graceful;  ///< First SIGTERM or SIGINT.
  std::function<void()> forced;    ///< Each further one.
  std::function<void()> reload{};  ///< SIGHUP; ignored if empty.
};

/// Waits for signals until it is cancelled or destroyed.
class ShutdownSignals {
 public:
  static std::unique_ptr<ShutdownSignals> Create(
      boost::asio::io_context& context,
      ShutdownHandlers handlers);
  ~ShutdownSignals();

  /// Stops waiting, so that the io_context can run out of work.
  void Cancel();

 private:
  struct State;
  explicit ShutdownSignals(std::shared_ptr<State> state);

  std::shared_ptr<State> state;
};

/// Ignores SIGPIPE. Otherwise, when the reader of standard error closes the
/// pipe, the next log line ends the process. With SIGPIPE ignored, the write
/// fails with EPIPE and the line is lost.
void IgnoreBrokenPipes();

}  // namespace basilsill

#endif  // BASILSILL_NODE_SIGNALS_H_
