#ifndef BASILSILL_SOAK_RIG_H_
#define BASILSILL_SOAK_RIG_H_

#include <string>

#include "observations.h"
#include "plan.h"
#include "promises.h"

/// Runs one soak: starts nodes as processes with an emulated platform,
/// upstreams, callers and operator, executes a plan, and returns the
/// observations.

namespace basilsill::soak {

struct RigOptions {
  std::string program;    ///< Path of the node executable.
  std::string directory;  ///< For settings and logs; must exist.
  size_t callers = 16;
  /// Restores the store from copies that are up to five seconds old.
  bool restores = false;
  /// Upstreams reject requests, send answers a second time, fail health checks,
  /// and answer executed requests with a status that promises not-run.
  bool faulty_answers = false;
  Bounds bounds;  ///< Written to the settings of the nodes.
};

/// Blocks until the plan is finished and all processes have exited.
/// @throws std::exception if a process or a listener can't be started.
Observations RunPlan(const Plan& plan, const RigOptions& options);

}  // namespace basilsill::soak

#endif  // BASILSILL_SOAK_RIG_H_
