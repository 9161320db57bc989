#ifndef BASILSILL_BENCH_MODEL_FLEET_CORE_H_
#define BASILSILL_BENCH_MODEL_FLEET_CORE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "basilsill/decision/quarantine.h"
#include "basilsill/decision/quota_lender.h"
#include "model/fleet.h"

/// Internals of `FleetStrategy`: the state that the simulated VMs keep around
/// the production decision code, and the messages between VMs.

namespace basilsill::bench {

inline constexpr uint16_t kStatusOk = 200;

/// One VM: the production decision code and the state kept around it.
struct Node {
  struct Attempt {
    AttemptHandle handle;
    uint32_t number = 0;  ///< From `SimulatedCluster::StartAttempt`.
  };

  std::shared_ptr<Quarantine> quarantine;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<EntryRouter> router;
  QuotaBuckets quotas;            ///< The VM's equal share of each quota.
  std::vector<Attempt> attempts;  ///< By index of the attempt handle.
  uint64_t view_version = 0;
  std::vector<bool> lost_links;  ///< By peer VM.
};

/// Routing state of a request at its entry VM and its dispatcher.
struct RoutedRequest {
  EntryHandle entry;
  size_t dispatcher = 0;  ///< Position of the dispatcher's VM.
  /// Number of times that the request was forwarded; identifies replies to an
  /// earlier forward.
  uint32_t forwards = 0;
  bool forwarded = false;
  ShardKey shard = 0;
  DispatchHandle dispatch;
  uint32_t direct_attempt = UINT32_MAX;
};

/// Simulated VMs are never suspended, so lease time equals virtual time.
inline LeaseTime LeaseTimeOf(TimePoint time) {
  return LeaseTime(time.time_since_epoch());
}

/// @returns the cookie that identifies a forward of request `id` at its
/// dispatcher.
uint64_t CookieOf(RequestId id, uint32_t forwards);
RequestId RequestOf(uint64_t cookie);
uint32_t ForwardsOf(uint64_t cookie);

/// @returns the report that the decision code gets for an attempt that ended
/// with `end`.
AttemptReport ReportOf(JobEnd end);

/// @returns the outcome that the caller sees for a refusal.
Outcome RefusedWith(Refusal refusal, Duration retry_after);

/// A dispatcher's reply to the entry VM of a request.
struct Reply {
  uint64_t cookie = 0;
  Outcome outcome;
  ShardSummary summary;
  uint8_t sends = 0;  ///< As in DispatchAction.
};

class FleetStrategy : public Strategy {
 public:
  FleetStrategy(SimulatedCluster& cluster, const PolicyFeatures& features);

  void OnArrival(RequestId id) override;
  void OnCallerTimeout(RequestId id) override;
  void OnVmKilled(size_t vm, Duration detection_delay) override;
  void OnIsolated(size_t vm, bool isolated) override;
  void OnClusterState(size_t vm, const ClusterState& cluster_state) override;

 private:
  void AddNode(size_t vm, const PolicyFeatures& features);
  void Tick(size_t vm);
  void SendCrashReports(size_t vm);

  // Entry side.
  RoutedRequest& RoutedRequestOf(RequestId id);
  void Route(RequestId id);
  void Forward(RequestId id, const Target& target);
  void SendDirect(RequestId id, const Target& target);
  void OnDirectEnd(RequestId id, size_t instance, JobEnd end);
  void OnReply(size_t dispatcher, const Reply& reply);
  void OnRefused(RequestId id,
                 Refusal refusal,
                 Duration retry_after,
                 uint8_t sends);
  void FinishEntry(RequestId id, const Outcome& outcome);
  void OnLinkLost(size_t vm, size_t peer);
  void CancelRequestsOf(size_t vm, size_t peer);

  // Dispatcher side.
  void Offer(size_t vm, const DispatchRequest& request);
  void RunActions(size_t vm);
  void RunAction(size_t vm, const DispatchAction& action);
  void StartAttempt(size_t vm, const DispatchAction& action);
  /// Tells the dispatcher of `vm` what the answer to `id` says of `instance`.
  void TellNotice(size_t vm, RequestId id, size_t instance, JobEnd end);
  void OnAttemptEnd(size_t vm,
                    uint64_t cookie,
                    AttemptHandle attempt,
                    const AttemptReport& report);
  /// @returns the report of an attempt that ended at `instance` a moment ago.
  AttemptReport ReportOf(size_t instance, JobEnd end);
  void SendReply(size_t vm,
                 uint64_t cookie,
                 const Outcome& outcome,
                 uint8_t sends);

  Fingerprint FingerprintOf(RequestId id) const;
  size_t EntryVm(RequestId id) const { return this->cluster.request(id).vm; }

  SimulatedCluster& cluster;
  std::vector<Node> nodes;
  std::vector<RoutedRequest> routed_requests;  ///< By request id.
};

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_FLEET_CORE_H_
