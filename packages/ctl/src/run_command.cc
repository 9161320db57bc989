#include "run_command.h"

#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace basilsill::ctl {

ExitStatus RunCommand(boost::asio::io_context& io,
                      boost::asio::awaitable<ExitStatus> work) {
  ExitStatus status = ExitStatus::kFailed;
  boost::asio::co_spawn(
      io, std::move(work),
      [&io, &status](const std::exception_ptr& exception, ExitStatus result) {
        if (exception) {
          std::rethrow_exception(exception);
        }
        status = result;
        io.stop();
      });
  io.run();
  return status;
}

}  // namespace basilsill::ctl
