#ifndef BASILSILL_PLATFORM_TEST_RUN_AWAITABLE_H_
#define BASILSILL_PLATFORM_TEST_RUN_AWAITABLE_H_

#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

/// Runs coroutines on the thread of a test.

namespace basilsill {

/// A call in flight, started by the constructor. It makes progress whenever the
/// io_context runs.
template <typename T>
class StartedCall {
 public:
  StartedCall(boost::asio::io_context& on, boost::asio::awaitable<T> work)
      : io(on) {
    boost::asio::co_spawn(io, Store(std::move(work), this->value),
                          boost::asio::detached);
  }
  StartedCall(const StartedCall&) = delete;
  StartedCall& operator=(const StartedCall&) = delete;

  bool is_done() const { return this->value.has_value(); }

  /// Runs the io_context until the call has completed.
  T& Wait() {
    while (!this->value) {
      io.run_one();
    }
    return *this->value;
  }

 private:
  static boost::asio::awaitable<void> Store(boost::asio::awaitable<T> work,
                                            std::optional<T>& into) {
    into.emplace(co_await std::move(work));
  }

  boost::asio::io_context& io;
  std::optional<T> value;
};

/// Runs `io` until `work` has completed.
/// @returns the result of `work`.
template <typename T>
T RunAwaitable(boost::asio::io_context& io, boost::asio::awaitable<T> work) {
  StartedCall<T> call(io, std::move(work));
  return std::move(call.Wait());
}

}  // namespace basilsill

#endif  // BASILSILL_PLATFORM_TEST_RUN_AWAITABLE_H_
