#ifndef BASILSILL_NODE_TIMEOUT_H_
#define BASILSILL_NODE_TIMEOUT_H_

#include <functional>
#include <memory>
#include <utility>

#include "net.h"

/// A time limit on what a coroutine does.

namespace basilsill {

/// Calls a function at a time point, unless it is cancelled or destroyed
/// before.
class Timeout {
 public:
  /// @param on_expiry Called on the thread of `executor`.
  Timeout(const Executor& executor,
          TimePoint at,
          std::function<void()> on_expiry)
      : timer(executor, at) {
    this->timer.async_wait(
        [is_over = this->is_over,
         on_expiry = std::move(on_expiry)](const NetError& error) {
          if (!error && !*is_over) {
            on_expiry();
          }
        });
  }
  ~Timeout() { this->Cancel(); }
  Timeout(const Timeout&) = delete;
  Timeout& operator=(const Timeout&) = delete;

  void Cancel() {
    *this->is_over = true;
    this->timer.cancel();
  }

 private:
  Timer timer;
  /// Shared with the handler, which may be queued already when the time limit
  /// is cancelled.
  std::shared_ptr<bool> is_over = std::make_shared<bool>(false);
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_TIMEOUT_H_
