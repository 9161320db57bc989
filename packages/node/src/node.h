#ifndef BASILSILL_NODE_NODE_H_
#define BASILSILL_NODE_NODE_H_

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "admin_router.h"
#include "admin_routes.h"
#include "admin_server.h"
#include "basilsill/node/installation.h"
#include "basilsill/node/settings.h"
#include "control.h"
#include "log_source.h"
#include "metrics_page.h"
#include "worker.h"

/// One node: the control side, on the thread that runs the io_context, and its
/// workers, each on a thread of its own. A process can hold several nodes.

namespace basilsill {

class Node {
 public:
  /// Creates a node and opens its listening sockets.
  /// @param context Runs on the control thread; must outlive the node.
  static Result<std::unique_ptr<Node>> Create(IoContext& context,
                                              Settings settings,
                                              Installation installation = {});
  ~Node();

  void Start();

  /// Starts a graceful shutdown: readiness fails at once, and callers are
  /// refused after ShutdownSettings::ready_delay. `on_stopped` is called on the
  /// control thread once nothing is in flight or ShutdownSettings::limit has
  /// passed; `is_clean` is false if requests were cut off.
  void Drain(std::function<void(bool is_clean)> on_stopped);

  /// Ends all threads at once; requests in flight are aborted.
  void Stop();

  /// Applies the settings that can change while the node runs: those of the
  /// shutdown.
  void Reload(const Settings& changed);

  bool ready() const;

  /// @returns the number of unfinished requests that peers have forwarded here.
  int64_t CountPeerRequests() const;
  const Control& control() const { return *this->control_side; }
  Endpoint callers_endpoint() const;
  uint16_t admin_port() const { return this->admin->port(); }
  const std::vector<std::unique_ptr<Worker>>& workers() const {
    return this->traffic;
  }

 private:
  Node(IoContext& context, Settings settings, Installation installation);

  Result<void> CreateWorkers();
  Result<void> CreateControl();
  void PublishView(const RoutingViewPtr& view,
                   const std::function<void()>& on_in_force);
  Result<std::unique_ptr<StateSource>> MakeSource(const Endpoint& control);
  Result<void> CreateAdmin();
  Result<void> CreateReadiness();
  bool claims_idle() const;
  NodePhase phase() const;
  boost::asio::awaitable<NodePhase> QueryPhase();
  boost::asio::awaitable<bool> QueryWorkers();
  void ReportAcceptsCallers(bool accepts);
  boost::asio::awaitable<void> MetricsLoop();
  /// Returns once nothing is in flight, or at `until`.
  boost::asio::awaitable<void> WaitWhileBusy(TimePoint until);
  boost::asio::awaitable<void> RunDrain(
      std::function<void(bool is_clean)> on_stopped);
  void DistributeCrashReports(size_t from, std::vector<CrashReport> crashes);
  bool busy() const;
  void LogForcedStop() const;

  IoContext& context;
  Settings settings;
  Installation installation;
  uint64_t incarnation;
  MetricsPage metrics;
  std::vector<std::unique_ptr<Worker>> traffic;
  std::unique_ptr<Control> control_side;
  LogSource* log_source = nullptr;  ///< Null if the state has another source.
  AdminRouter router;
  AdminRouter readiness_router;
  std::unique_ptr<AdminServer> admin;
  std::unique_ptr<AdminServer> readiness;
  bool draining = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_NODE_H_
