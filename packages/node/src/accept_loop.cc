#include "accept_loop.h"

#include <utility>

#include "basilsill/node/log.h"

namespace basilsill {
namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay{20};

void LogFailure(std::string_view port, const NetError& error) {
  Log(Event::kAcceptFailed, {{"port", port}, {"error", error.message()}});
}

// Keeps one file descriptor in reserve. When no other is free, the reserve is
// closed to accept one connection and reset it; the client of a connection that
// is left in the backlog would not notice that it can't be served.
class ReservedDescriptor {
 public:
  explicit ReservedDescriptor(Acceptor& acceptor)
      : acceptor(acceptor), placeholder(acceptor.get_executor()) {
    NetError ignored;
    this->acceptor.non_blocking(true, ignored);
    this->Acquire();
  }

  // @returns no error if the next connection was reset, would_block if none is
  // pending, or why accepting failed despite the free descriptor.
  NetError ResetNextConnection() {
    NetError error;
    this->placeholder.close(error);
    Socket caller(this->acceptor.get_executor());
    this->acceptor.accept(caller, error);
    if (!error) {
      CloseWithReset(caller);
    }
    this->Acquire();
    return error;
  }

 private:
  void Acquire() {
    NetError ignored;
    this->placeholder.open(Tcp::v4(), ignored);
  }

  Acceptor& acceptor;
  Socket placeholder;
};

Task<void> RecoverFromFailure(Acceptor& acceptor,
                              ReservedDescriptor& reserved,
                              const NetError& failure) {
  NetError error = failure;
  if (failure == boost::asio::error::no_descriptors) {
    error = reserved.ResetNextConnection();
  }
  if (error == boost::asio::error::would_block) {
    co_await acceptor.async_wait(Acceptor::wait_read, kTask);
  } else if (error) {
    Timer delay(acceptor.get_executor(), kAcceptRetryDelay);
    co_await delay.async_wait(kTask);
  }
}

}  // namespace

Task<void> AcceptLoop(Acceptor& acceptor, AcceptLoopOptions options) {
  ReservedDescriptor reserved(acceptor);
  while (acceptor.is_open()) {
    Socket socket(acceptor.get_executor());
    const auto [error] = co_await acceptor.async_accept(socket, kTask);
    if (!error) {
      options.on_socket(std::move(socket));
    } else if (acceptor.is_open()) {
      options.failures.Add();
      LogFailure(options.port, error);
      if (options.on_failure) {
        options.on_failure();
      }
      co_await RecoverFromFailure(acceptor, reserved, error);
    }
  }
}

bool HasFreeDescriptor(const Executor& executor) {
  Socket probe(executor);
  NetError error;
  probe.open(Tcp::v4(), error);
  return !error;
}

}  // namespace basilsill
