#ifndef BASILSILL_BENCH_MODEL_FLEET_CORE_H_
#define BASILSILL_BENCH_MODEL_FLEET_CORE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "basilsill/decision/quarantine.h"
#include "basilsill/decision/quota_lender.h"
#include "model/fleet.h"

/// Internals of the fleet: what the shells of all VMs remember, and the
/// messages between them.

namespace basilsill::bench {

inline constexpr uint16_t kStatusOk = 200;

/// One entry VM: the product's decision code and what its shell remembers.
struct Node {
  struct Attempt {
    AttemptHandle handle;
    uint32_t number = 0;  ///< As `World::StartAttempt` gave it.
  };

  std::shared_ptr<Quarantine> quarantine;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<EntryRouter> router;
  QuotaBuckets quotas;            ///< An equal share of each.
  std::vector<Attempt> attempts;  ///< By index of the handle.
  uint64_t view_version = 0;
  std::vector<bool> lost_links;  ///< By VM.
};

/// Where a request is, as its entry VM and its dispatcher know it.
struct RoutedRequest {
  EntryHandle entry;
  size_t dispatcher = 0;  ///< VM.
  uint32_t forwards = 0;  ///< Tells a late message of an earlier attempt.
  bool forwarded = false;
  ShardKey shard = 0;
  DispatchHandle dispatch;
  uint32_t direct_attempt = UINT32_MAX;
};

/// VMs of the model are never suspended: their clocks are one.
inline LeaseTime LeaseTimeOf(TimePoint time) {
  return LeaseTime(time.time_since_epoch());
}

/// @returns the name of a request at its dispatcher.
uint64_t CookieOf(RequestId id, uint32_t forwards);
RequestId RequestOf(uint64_t cookie);
uint32_t ForwardsOf(uint64_t cookie);

/// @returns what a shell tells the decision code of an attempt's end.
AttemptReport ReportOf(JobEnd end);

/// @returns what a caller is told.
Outcome RefusedWith(Refusal refusal, Duration retry_after);

/// What a dispatcher tells an entry VM of a request.
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
  void OnAttemptEnd(size_t vm,
                    uint64_t cookie,
                    AttemptHandle attempt,
                    JobEnd end);
  void SendReply(size_t vm,
                 uint64_t cookie,
                 const Outcome& outcome,
                 uint8_t sends);

  Fingerprint FingerprintOf(RequestId id) const;
  size_t EntryVm(RequestId id) const { return this->cluster.request(id).vm; }

  SimulatedCluster& cluster;
  std::vector<Node> nodes;
  std::vector<RoutedRequest> routed_requests;  ///< By request.
};

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_FLEET_CORE_H_
