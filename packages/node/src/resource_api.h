#ifndef BASILSILL_NODE_RESOURCE_API_H_
#define BASILSILL_NODE_RESOURCE_API_H_

#include "admin_router.h"
#include "control.h"
#include "log_source.h"

/// Resource API of a node; see docs/RESOURCE-API.md. Runs on the control
/// thread.

namespace basilsill {

/// Adds all routes below /api/v1/. `control` and `log` must outlive the router.
void AddResourceRoutes(AdminRouter& router, Control& control, LogSource& log);

}  // namespace basilsill

#endif  // BASILSILL_NODE_RESOURCE_API_H_
