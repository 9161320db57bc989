#ifndef BASILSILL_SOAK_RIG_H_
#define BASILSILL_SOAK_RIG_H_

#include <string>

#include "observations.h"
#include "plan.h"
#include "promises.h"

/// One soak: starts nodes as processes, with a platform, upstreams, callers
/// and an operator of its own, carries out a plan, and tells what was seen.

namespace basilsill::soak {

struct RigOptions {
  std::string program;    ///< The node's.
  std::string directory;  ///< For settings and logs; must exist.
  size_t callers = 16;
  Bounds bounds;  ///< That the nodes are told.
};

/// Blocks until the plan is done and all processes have ended.
/// @throws std::exception if a process or a listener can't be started.
Observations RunPlan(const Plan& plan, const RigOptions& options);

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_RIG_H_
