#ifndef BASILSILL_NODE_TASK_END_H_
#define BASILSILL_NODE_TASK_END_H_

#include <exception>
#include <string_view>

/// Completion tokens of co_spawn for coroutines that nothing awaits. They
/// handle an exception that ends the coroutine.

namespace basilsill {

/// Logs the exception. A cancelled operation counts as a normal end.
struct DetachedTask {
  std::string_view task;  ///< Name in the log; must outlive the coroutine.

  void operator()(const std::exception_ptr& error) const;

  /// For a coroutine with a result, which is discarded.
  template <typename Result>
  void operator()(const std::exception_ptr& error, const Result&) const {
    (*this)(error);
  }
};

/// For a coroutine without which the node can't serve requests. The exception
/// is logged and rethrown: it ends the process, so that it is restarted instead
/// of staying up without a visible fault.
struct CriticalTask {
  std::string_view task;  ///< As in DetachedTask.

  void operator()(const std::exception_ptr& error) const;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_TASK_END_H_
