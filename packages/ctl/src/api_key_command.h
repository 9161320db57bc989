#ifndef BASILSILL_CTL_API_KEY_COMMAND_H_
#define BASILSILL_CTL_API_KEY_COMMAND_H_

#include "command.h"

namespace basilsill::ctl {

/// `basilsillctl api-key`: generates an API key, or prints the digest of a key
/// on standard input. A key is never a command-line argument, because other
/// users of the machine can read those.
ExitStatus RunApiKey(const CommandArguments& arguments);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_API_KEY_COMMAND_H_
