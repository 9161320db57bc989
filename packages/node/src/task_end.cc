#include "basilsill/node/task_end.h"

#include <boost/asio/error.hpp>
#include <boost/system/system_error.hpp>

#include "basilsill/node/log.h"

namespace basilsill {
namespace {

// Logs `error` unless it is empty or a cancelled operation.
// @returns true if the coroutine failed.
bool LogIfFailed(std::string_view task, const std::exception_ptr& error) {
  if (!error) {
    return false;
  }
  try {
    std::rethrow_exception(error);
  } catch (const boost::system::system_error& failed) {
    if (failed.code() == boost::asio::error::operation_aborted) {
      return false;
    }
    Log(Event::kTaskFailed, {{"task", task}, {"error", failed.what()}});
  } catch (const std::exception& failed) {
    Log(Event::kTaskFailed, {{"task", task}, {"error", failed.what()}});
  }
  return true;
}

}  // namespace

void DetachedTask::operator()(const std::exception_ptr& error) const {
  LogIfFailed(this->task, error);
}

void CriticalTask::operator()(const std::exception_ptr& error) const {
  if (LogIfFailed(this->task, error)) {
    std::rethrow_exception(error);
  }
}

}  // namespace basilsill
