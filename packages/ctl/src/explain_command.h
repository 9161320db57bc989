#ifndef BASILSILL_CTL_EXPLAIN_COMMAND_H_
#define BASILSILL_CTL_EXPLAIN_COMMAND_H_

#include "command.h"

namespace basilsill::ctl {

/// `basilsillctl explain`: prints the course of one request from the logs of
/// VMs.
ExitStatus RunExplain(const CommandArguments& arguments);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_EXPLAIN_COMMAND_H_
