#ifndef BASILSILL_NODE_ADMIN_ROUTES_H_
#define BASILSILL_NODE_ADMIN_ROUTES_H_

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "admin_router.h"

/// Routes of every node: health, readiness, metrics and debug state.

namespace basilsill {

/// Lifecycle phase of a node.
enum class NodePhase : uint8_t {
  kStarting,  ///< No configuration yet, or the port for callers is not open.
  kReady,
  kDraining,  ///< Finishes its requests; should get no new callers.
  kBusy,      ///< Otherwise ready, but accepts no further callers.
  kCount
};

/// @returns the name of `phase` in response bodies.
std::string_view NameOf(NodePhase phase);

/// Queries the phase of the node, including the state of its traffic threads.
using PhaseQuery = std::function<boost::asio::awaitable<NodePhase>()>;

/// Data sources of the routes. Each is called on the control thread, once or
/// more for each request that needs it.
struct AdminSources {
  std::function<NodePhase()> phase;  ///< As known to the control thread.
  PhaseQuery query_phase;
  std::function<std::string()> metrics;      ///< Prometheus text.
  std::function<std::string()> debug_state;  ///< JSON text; optional.
};

/// Adds GET `path`, which returns 200 while the phase is kReady and 503
/// otherwise.
void AddReadinessRoute(AdminRouter& router,
                       std::string path,
                       PhaseQuery query_phase);

/// Adds
/// - `GET /healthz`: 200, or 503 while the phase is kDraining;
/// - `GET /readyz`: see AddReadinessRoute;
/// - `GET /metrics`, and `GET /debug/state` if `sources` has it.
void AddNodeRoutes(AdminRouter& router, AdminSources sources);

}  // namespace basilsill

#endif  // BASILSILL_NODE_ADMIN_ROUTES_H_
