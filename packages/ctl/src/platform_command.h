#ifndef BASILSILL_CTL_PLATFORM_COMMAND_H_
#define BASILSILL_CTL_PLATFORM_COMMAND_H_

#include "command.h"

namespace basilsill::ctl {

/// `basilsillctl platform`: serves the emulated platform until SIGTERM or
/// SIGINT.
ExitStatus RunPlatform(const CommandArguments& arguments);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_PLATFORM_COMMAND_H_
