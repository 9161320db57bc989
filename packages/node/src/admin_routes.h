#ifndef BASILSILL_NODE_ADMIN_ROUTES_H_
#define BASILSILL_NODE_ADMIN_ROUTES_H_

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "admin_router.h"

/// The routes that every node has: health, metrics and state.

namespace basilsill {

/// Where a node stands in its life.
enum class NodePhase : uint8_t {
  kStarting,  ///< Has no configuration yet, or no callers' port.
  kReady,
  kDraining,  ///< Ends what it has; the balancer shall look away.
  kBusy,      ///< Would be ready, but takes no further callers now.
  kCount
};

/// @returns the name of `phase` as answers carry it.
std::string_view NameOf(NodePhase phase);

/// Asks where a node stands, its traffic threads included.
using AskPhase = std::function<boost::asio::awaitable<NodePhase>()>;

/// Called on the control thread for each request.
struct AdminSources {
  std::function<NodePhase()> phase;  ///< As far as the control thread knows.
  AskPhase query_phase;
  std::function<std::string()> metrics;      ///< Prometheus text.
  std::function<std::string()> debug_state;  ///< JSON text.
};

/// Adds
/// - `GET /healthz`: 200, or 503 from the start of a shutdown on;
/// - `GET /readyz`: 200 only while callers are served;
/// - `GET /metrics` and `GET /debug/state`.
/// Adds GET `path`, which answers 200 while the phase is kReady and 503
/// otherwise.
void AddReadinessRoute(AdminRouter& router,
                       std::string path,
                       AskPhase query_phase);

void AddNodeRoutes(AdminRouter& router, AdminSources sources);

}  // namespace basilsill

#endif  // BASILSILL_NODE_ADMIN_ROUTES_H_
