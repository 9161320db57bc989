#ifndef BASILSILL_SOAK_SLEEP_H_
#define BASILSILL_SOAK_SLEEP_H_

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace basilsill::soak {

/// Suspends the calling coroutine for `time`, on its own executor. A negative
/// time does not wait.
inline boost::asio::awaitable<void> Sleep(
    std::chrono::steady_clock::duration time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  time);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_SLEEP_H_
