#ifndef BASILSILL_NODE_QUOTA_HOST_H_
#define BASILSILL_NODE_QUOTA_HOST_H_

#include <cstdint>
#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "basilsill/decision/quota_coordinator.h"
#include "basilsill/node/quota_lease_store.h"
#include "basilsill/wire/message.h"
#include "metrics.h"
#include "net.h"

/// Carries out what a VM's QuotaCoordinator decides, on the control thread.

namespace basilsill {

struct QuotaHostHandlers {
  /// @returns false if there is no link.
  std::function<bool(VmHandle, const wire::PeerMessage&)> send;
  /// A worker of this VM gets its answer.
  std::function<void(uint16_t worker, const QuotaAnswer&)> answer;
};

class QuotaHost {
 public:
  /// @param leases Outlives the host; null: the platform keeps none.
  QuotaHost(IoContext& context,
            QuotaCoordinatorOptions options,
            QuotaLeaseStore* leases,
            ControlMetrics& counts,
            QuotaHostHandlers handlers);

  void ApplyView(const RoutingView& view);
  void Ask(uint16_t worker, QuotaRequest request);
  void OnRequest(VmHandle from, const QuotaRequest& request);
  void OnAnswer(VmHandle from, const QuotaAnswer& answer);
  void Tick();
  void Leave();
  void Stop();

 private:
  void Pump(LeaseTime now);
  void Send(LeaseTime now, const OutgoingQuotaMessage& send);
  void NoteLending();
  void NoteFailed(LeaseTime now, const Failure& failure);
  boost::asio::awaitable<void> Read();
  boost::asio::awaitable<void> Write();
  boost::asio::awaitable<void> WatchOthers();

  IoContext& context;
  QuotaCoordinator office;
  QuotaLeaseStore* leases;
  ControlMetrics& counts;
  QuotaHostHandlers handlers;
  boost::asio::steady_timer timer;
  bool was_lending = false;
  bool watches = false;
  bool stopped = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_QUOTA_HOST_H_
