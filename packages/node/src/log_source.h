#ifndef BASILSILL_NODE_LOG_SOURCE_H_
#define BASILSILL_NODE_LOG_SOURCE_H_

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "basilsill/node/settings.h"
#include "basilsill/node/state_source.h"
#include "basilsill/platform/log_client.h"
#include "basilsill/platform/vm_list_client.h"
#include "claim_host.h"
#include "configuration_host.h"
#include "metrics.h"
#include "snapshot_exchange.h"

/// State from the log and the VM list of basilsill's own platform protocol.
/// Every VM folds the operators' changes in the log; a VM that can't read the
/// log gets a snapshot from a peer. Requests that must not run twice are
/// claimed in the log.

namespace basilsill {

class LogSource final : public StateSource {
 public:
  /// @param settings Must outlive the result, as must `counts`.
  static Result<std::unique_ptr<LogSource>> Create(
      boost::asio::io_context& context,
      const Settings& settings,
      uint64_t incarnation,
      ControlMetrics& counts);

  void Start(StateSourceHost& host) override;
  void Stop() override;
  void Tick(TimePoint now) override;
  bool ready() const override {
    return this->configuration.follower().is_ready();
  }
  const ConfigurationState& state() override {
    return this->configuration.follower().state();
  }
  void OnPeerMessage(VmHandle from, const wire::PeerMessage& message) override;
  void OnFleetChanged() override;

  ConfigurationHost& configuration_host() { return this->configuration; }
  const ConfigurationFollower& follower() const {
    return this->configuration.follower();
  }
  const ChangeFeed& feed() const { return this->configuration.feed(); }
  ClaimHost& claim_host() { return this->claims; }

 private:
  LogSource(boost::asio::io_context& context,
            const Settings& settings,
            uint64_t incarnation,
            ControlMetrics& counts,
            LogClient log,
            VmListClient vm_list);

  boost::asio::awaitable<void> FollowVmList();
  ClaimFleet MakeClaimFleet() const;
  size_t CheckpointRank() const;

  boost::asio::io_context& context;
  LogClient log;
  VmListClient vm_list;
  ConfigurationHost configuration;
  ClaimHost claims;
  SnapshotExchange snapshots;
  StateSourceHost* host = nullptr;
  bool stopped = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_LOG_SOURCE_H_
