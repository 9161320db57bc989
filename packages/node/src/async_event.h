#ifndef BASILSILL_NODE_ASYNC_EVENT_H_
#define BASILSILL_NODE_ASYNC_EVENT_H_

#include "net.h"

namespace basilsill {

/// Resumes one waiting coroutine of the same thread. A `Set` before `Wait` is
/// not lost.
class AsyncEvent {
 public:
  explicit AsyncEvent(const Executor& executor)
      : timer(executor, TimePoint::max()) {}

  void Set() {
    this->is_set = true;
    this->timer.cancel();
  }

  /// Returns once the event is set, and clears it.
  Task<void> Wait() {
    while (!this->is_set) {
      co_await this->timer.async_wait(kTask);
    }
    this->is_set = false;
  }

 private:
  Timer timer;
  bool is_set = false;
};

/// Resumes all coroutines of the same thread that wait for a condition. Each of
/// them checks the condition before it waits and again afterwards.
class AsyncBroadcast {
 public:
  explicit AsyncBroadcast(const Executor& executor)
      : timer(executor, TimePoint::max()) {}

  void Notify() { this->timer.cancel(); }

  /// Returns after the next `Notify`; an earlier one has no effect.
  Task<void> Wait() { co_await this->timer.async_wait(kTask); }

 private:
  Timer timer;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_ASYNC_EVENT_H_
