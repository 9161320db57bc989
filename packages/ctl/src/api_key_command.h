#ifndef BASILSILL_CTL_API_KEY_COMMAND_H_
#define BASILSILL_CTL_API_KEY_COMMAND_H_

#include "command.h"

namespace basilsill::ctl {

/// `basilsillctl api-key`: makes an API key, or digests one that is given on
/// standard input. A key is never an argument: other users of the machine see
/// those.
ExitStatus RunApiKey(const CommandArguments& arguments);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_API_KEY_COMMAND_H_
