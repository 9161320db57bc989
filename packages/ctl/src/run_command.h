#ifndef BASILSILL_CTL_RUN_COMMAND_H_
#define BASILSILL_CTL_RUN_COMMAND_H_

#include <boost/asio/awaitable.hpp>

#include "command.h"

namespace boost::asio {
class io_context;
}

namespace basilsill::ctl {

/// Runs `io` on this thread until `work` has ended. Throws the exceptions of
/// `work`.
/// @returns the result of `work`.
ExitStatus RunCommand(boost::asio::io_context& io,
                      boost::asio::awaitable<ExitStatus> work);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_RUN_COMMAND_H_
