#ifndef BASILSILL_CTL_UPSTREAM_COMMAND_H_
#define BASILSILL_CTL_UPSTREAM_COMMAND_H_

#include "command.h"

namespace basilsill::ctl {

/// `basilsillctl upstream`: serves emulated instances until SIGTERM or SIGINT.
ExitStatus RunUpstream(const CommandArguments& arguments);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_UPSTREAM_COMMAND_H_
