#include "admin_routes.h"

#include <array>
#include <utility>

namespace basilsill {
namespace {

constexpr uint16_t kOk = 200;
constexpr uint16_t kServiceUnavailable = 503;
constexpr std::array<std::string_view, static_cast<size_t>(NodePhase::kCount)>
    kPhaseNames = {"starting", "ready", "draining"};
constexpr char kPlainText[] = "text/plain; charset=utf-8";
constexpr char kPrometheusText[] = "text/plain; version=0.0.4; charset=utf-8";

AdminResponse PhaseResponse(NodePhase phase, bool good) {
  return {{good ? kOk : kServiceUnavailable, kPlainText, {}},
          std::string(NameOf(phase)) + "\n"};
}

}  // namespace

std::string_view NameOf(NodePhase phase) {
  return kPhaseNames[static_cast<size_t>(phase)];
}

void AddReadinessRoute(AdminRouter& router,
                       std::string path,
                       std::function<NodePhase()> phase) {
  router.Add({"GET", std::move(path),
              Immediately([phase = std::move(phase)](const AdminRequest&) {
                return PhaseResponse(phase(), phase() == NodePhase::kReady);
              })});
}

void AddNodeRoutes(AdminRouter& router, AdminSources sources) {
  router.Add({"GET", "/healthz",
              Immediately([phase = sources.phase](const AdminRequest&) {
                return PhaseResponse(phase(), phase() != NodePhase::kDraining);
              })});
  AddReadinessRoute(router, "/readyz", sources.phase);
  router.Add({"GET", "/metrics",
              Immediately([make = std::move(sources.metrics)](
                              const AdminRequest&) -> AdminResponse {
                return {{kOk, kPrometheusText, {}}, make()};
              })});
  if (!sources.debug_state) {
    return;
  }
  router.Add({"GET", "/debug/state",
              Immediately([make = std::move(sources.debug_state)](
                              const AdminRequest&) -> AdminResponse {
                return {{}, make()};
              })});
}

}  // namespace basilsill
