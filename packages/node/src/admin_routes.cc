#include "admin_routes.h"

#include <array>
#include <utility>

namespace basilsill {
namespace {

constexpr uint16_t kOk = 200;
constexpr uint16_t kServiceUnavailable = 503;
constexpr std::array<std::string_view, static_cast<size_t>(NodePhase::kCount)>
    kPhaseNames = {"starting", "ready", "draining", "busy"};
constexpr char kPlainText[] = "text/plain; charset=utf-8";
constexpr char kPrometheusText[] = "text/plain; version=0.0.4; charset=utf-8";

AdminResponse PhaseResponse(NodePhase phase, bool healthy) {
  return {{healthy ? kOk : kServiceUnavailable, kPlainText, {}},
          std::string(NameOf(phase)) + "\n"};
}

boost::asio::awaitable<AdminResponse> ReadinessResponse(
    const PhaseQuery& query) {
  const NodePhase phase = co_await query();
  co_return PhaseResponse(phase, phase == NodePhase::kReady);
}

}  // namespace

std::string_view NameOf(NodePhase phase) {
  return kPhaseNames[static_cast<size_t>(phase)];
}

void AddReadinessRoute(AdminRouter& router,
                       std::string path,
                       PhaseQuery query_phase) {
  router.Add(
      {"GET", std::move(path),
       AdminHandler([query = std::move(query_phase)](const AdminRequest&) {
         return ReadinessResponse(query);
       })});
}

void AddNodeRoutes(AdminRouter& router, AdminSources sources) {
  router.Add({"GET", "/healthz",
              SynchronousHandler([phase = sources.phase](const AdminRequest&) {
                return PhaseResponse(phase(), phase() != NodePhase::kDraining);
              })});
  AddReadinessRoute(router, "/readyz", std::move(sources.query_phase));
  router.Add({"GET", "/metrics",
              SynchronousHandler([make = std::move(sources.metrics)](
                                     const AdminRequest&) -> AdminResponse {
                return {{kOk, kPrometheusText, {}}, make()};
              })});
  if (!sources.debug_state) {
    return;
  }
  router.Add({"GET", "/debug/state",
              SynchronousHandler([make = std::move(sources.debug_state)](
                                     const AdminRequest&) -> AdminResponse {
                return {{}, make()};
              })});
}

}  // namespace basilsill
