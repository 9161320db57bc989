#ifndef BASILSILL_CTL_RESOURCE_COMMANDS_H_
#define BASILSILL_CTL_RESOURCE_COMMANDS_H_

#include "command.h"

/// Subcommands over the nodes' resource API.

namespace basilsill::ctl {

/// `apply -f FILE`: makes resources be as a file says.
ExitStatus RunApply(const CommandArguments& arguments);
/// `get KIND NAME`: shows one resource.
ExitStatus RunGet(const CommandArguments& arguments);
/// `list KIND|all`: shows the resources of one kind or of all.
ExitStatus RunList(const CommandArguments& arguments);
/// `delete KIND NAME`: deletes one resource.
ExitStatus RunDelete(const CommandArguments& arguments);
/// `drain DATA-CENTRE`: keeps new work away from it.
ExitStatus RunDrain(const CommandArguments& arguments);
/// `undrain DATA-CENTRE`: takes it back.
ExitStatus RunUndrain(const CommandArguments& arguments);
/// `status`: shows what a node knows of the installation.
ExitStatus RunStatus(const CommandArguments& arguments);
/// `watch`: follows changes from an offset on.
ExitStatus RunWatch(const CommandArguments& arguments);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_RESOURCE_COMMANDS_H_
