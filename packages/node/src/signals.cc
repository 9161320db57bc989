#include "signals.h"

#include <csignal>
#include <utility>

#include <boost/asio/signal_set.hpp>

namespace basilsill {

/// Shared with the pending wait, which may outlive the ShutdownSignals object.
struct ShutdownSignals::State : std::enable_shared_from_this<State> {
  State(boost::asio::io_context& context, ShutdownHandlers handlers)
      : signals(context, SIGTERM, SIGINT, SIGHUP),
        handlers(std::move(handlers)) {}

  void Wait() {
    this->signals.async_wait([self = this->shared_from_this()](
                                 boost::system::error_code error, int number) {
      if (!error && !self->cancelled) {
        self->OnSignal(number);
      }
    });
  }

  void OnSignal(int number) {
    if (number == SIGHUP) {
      this->Wait();
      if (this->handlers.reload) {
        this->handlers.reload();
      }
      return;
    }
    const bool first = !std::exchange(this->seen, true);
    this->Wait();
    (first ? this->handlers.graceful : this->handlers.forced)();
  }

  boost::asio::signal_set signals;
  ShutdownHandlers handlers;
  bool seen = false;
  /// Drops a signal that arrives before Cancel and is delivered after it: the
  /// owner of the handlers may have been destroyed by then.
  bool cancelled = false;
};

std::unique_ptr<ShutdownSignals> ShutdownSignals::Create(
    boost::asio::io_context& context,
    ShutdownHandlers handlers) {
  auto state = std::make_shared<State>(context, std::move(handlers));
  state->Wait();
  return std::unique_ptr<ShutdownSignals>(
      new ShutdownSignals(std::move(state)));
}

ShutdownSignals::ShutdownSignals(std::shared_ptr<State> state)
    : state(std::move(state)) {}

ShutdownSignals::~ShutdownSignals() {
  this->Cancel();
}

void ShutdownSignals::Cancel() {
  this->state->cancelled = true;
  this->state->signals.cancel();
}

void IgnoreBrokenPipes() {
  std::signal(SIGPIPE, SIG_IGN);
}

}  // namespace basilsill
