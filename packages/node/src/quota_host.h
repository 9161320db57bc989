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

/// Sends the messages and makes the lease calls that a VM's QuotaCoordinator
/// decides on. Runs on the control thread.

namespace basilsill {

struct QuotaHostHandlers {
  /// Sends a message to a VM.
  /// @returns false if the message can't be sent.
  std::function<bool(VmHandle, const wire::PeerMessage&)> send;
  /// Delivers an answer to a worker of this VM.
  std::function<void(uint16_t worker, const QuotaAnswer&)> answer;
};

class QuotaHost {
 public:
  /// @param leases Must outlive the host; null if the platform keeps no leases.
  QuotaHost(IoContext& context,
            QuotaCoordinatorOptions options,
            QuotaLeaseStore* leases,
            ControlMetrics& counts,
            QuotaHostHandlers handlers);

  void ApplyView(const RoutingView& view);
  void RequestCredits(uint16_t worker, QuotaRequest request);
  void OnRequest(VmHandle from, const QuotaRequest& request);
  void OnAnswer(VmHandle from, const QuotaAnswer& answer);
  void Tick();
  void Leave();
  void Stop();

 private:
  void Pump(LeaseTime now);
  void Send(LeaseTime now, const OutgoingQuotaMessage& send);
  void ReportLending();
  void OnLeaseCallFailed(LeaseTime now, const Failure& failure);
  boost::asio::awaitable<void> Read();
  boost::asio::awaitable<void> Write();
  boost::asio::awaitable<void> PollPendingRequests();

  IoContext& context;
  QuotaCoordinator coordinator;
  QuotaLeaseStore* leases;
  ControlMetrics& counts;
  QuotaHostHandlers handlers;
  boost::asio::steady_timer timer;
  bool was_lending = false;
  bool is_polling = false;
  bool stopped = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_QUOTA_HOST_H_
