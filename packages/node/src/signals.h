#ifndef BASILSILL_NODE_SIGNALS_H_
#define BASILSILL_NODE_SIGNALS_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

/// The signals that end a node.

namespace basilsill {

/// Both run on the thread of the io_context.
struct ShutdownHandlers {
  std::function<void()> graceful;  ///< First SIGTERM or SIGINT.
  std::function<void()> forced;    ///< Each further one.
  std::function<void()> reload{};  ///< SIGHUP; empty: it is ignored.
};

/// Waits for signals while it lives.
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

/// Ignores SIGPIPE: without this, a reader of standard error that goes away
/// would end the process at its next line of log. The write then fails with
/// EPIPE and the line is lost.
void IgnoreBrokenPipes();

}  // namespace basilsill

#endif  // BASILSILL_NODE_SIGNALS_H_
