#ifndef BASILSILL_CTL_RESOURCE_COMMANDS_H_
#define BASILSILL_CTL_RESOURCE_COMMANDS_H_

#include "command.h"

/// Subcommands that call the resource API of nodes.

namespace basilsill::ctl {

/// `apply -f FILE`: creates or replaces resources from a file.
ExitStatus RunApply(const CommandArguments& arguments);
/// `get KIND NAME`: shows one resource.
ExitStatus RunGet(const CommandArguments& arguments);
/// `list KIND|all`: shows the resources of one kind or of all.
ExitStatus RunList(const CommandArguments& arguments);
/// `delete KIND NAME`: deletes one resource.
ExitStatus RunDelete(const CommandArguments& arguments);
/// `drain DATA-CENTRE`: stops sending new requests to its upstreams.
ExitStatus RunDrain(const CommandArguments& arguments);
/// `undrain DATA-CENTRE`: ends the drain.
ExitStatus RunUndrain(const CommandArguments& arguments);
/// `status`: shows the status of the installation, as one node reports it.
ExitStatus RunStatus(const CommandArguments& arguments);
/// `watch`: prints changes of resources from an offset on.
ExitStatus RunWatch(const CommandArguments& arguments);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_RESOURCE_COMMANDS_H_
