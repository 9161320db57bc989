#ifndef BASILSILL_NODE_DEBUG_STATE_H_
#define BASILSILL_NODE_DEBUG_STATE_H_

#include <string>

#include "control.h"
#include "log_source.h"

namespace basilsill {

/// @returns the state of the control thread as JSON, for debugging: the status
/// document, services with their shards and owners, and the numbers of teams
/// and rules. All but the status document are absent until the first routing
/// view.
std::string MakeDebugState(const Control& control, const LogSource& log);

}  // namespace basilsill

#endif  // BASILSILL_NODE_DEBUG_STATE_H_
