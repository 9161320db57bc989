#ifndef BASILSILL_NODE_DEBUG_STATE_H_
#define BASILSILL_NODE_DEBUG_STATE_H_

#include <string>

#include "control.h"
#include "log_source.h"

namespace basilsill {

/// @returns the tables of the control side as JSON, for people who look into
/// a node: VMs, data centres, teams, services with their shards and owners.
std::string MakeDebugState(const Control& control, const LogSource& log);

}  // namespace basilsill

#endif  // BASILSILL_NODE_DEBUG_STATE_H_
