#ifndef BASILSILL_CTL_LOAD_COMMAND_H_
#define BASILSILL_CTL_LOAD_COMMAND_H_

#include "command.h"

namespace basilsill::ctl {

/// `basilsillctl load`: generates load and prints a report.
/// @returns kOk only if every response was right or allowed by --allow-refusals
/// or --allow-broken.
ExitStatus RunLoadCommand(const CommandArguments& arguments);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_COMMAND_H_
