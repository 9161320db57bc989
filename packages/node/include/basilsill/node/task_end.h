#ifndef BASILSILL_NODE_TASK_END_H_
#define BASILSILL_NODE_TASK_END_H_

#include <exception>
#include <string_view>

/// What becomes of a coroutine that nobody waits for and that ends by an
/// exception. Both types are completion tokens of co_spawn.

namespace basilsill {

/// The end is logged. One by a cancelled operation is an ordinary end.
struct DetachedTask {
  std::string_view task;  ///< As the log names it; outlives the coroutine.

  void operator()(const std::exception_ptr& error) const;

  /// The same for a coroutine whose result nobody wants.
  template <typename Result>
  void operator()(const std::exception_ptr& error, const Result&) const {
    (*this)(error);
  }
};

/// Without this coroutine the node serves nobody, and nobody would see why. So
/// the exception ends the process, which is started again.
struct CriticalTask {
  std::string_view task;  ///< As in Unattended.

  void operator()(const std::exception_ptr& error) const;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_TASK_END_H_
