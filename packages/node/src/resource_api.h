#ifndef BASILSILL_NODE_RESOURCE_API_H_
#define BASILSILL_NODE_RESOURCE_API_H_

#include "admin_router.h"
#include "control.h"
#include "log_source.h"

/// The resource API of a node, docs/RESOURCE-API.md. Control thread.

namespace basilsill {

/// Adds all routes below /api/v1/.
/// @param control Must outlive the router, as must `log`.
void AddResourceRoutes(AdminRouter& router, Control& control, LogSource& log);

}  // namespace basilsill

#endif  // BASILSILL_NODE_RESOURCE_API_H_
