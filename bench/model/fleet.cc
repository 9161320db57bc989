#include "model/fleet.h"

#include <utility>

#include "model/fleet_core.h"

namespace basilsill::bench {
namespace {

constexpr uint16_t kStatusError = 500;
constexpr uint16_t kStatusUnavailable = 503;

// As on real VMs, the fleet's limit takes the place of these budgets.
constexpr RatioBudgetOptions kUnlimitedBudget{1, 1000, 1000, 1000};

}  // namespace

uint64_t CookieOf(RequestId id, uint32_t forwards) {
  return (static_cast<uint64_t>(forwards) << 32) | id;
}
RequestId RequestOf(uint64_t cookie) {
  return static_cast<RequestId>(cookie);
}
uint32_t ForwardsOf(uint64_t cookie) {
  return static_cast<uint32_t>(cookie >> 32);
}

AttemptReport ReportOf(JobEnd end) {
  switch (end) {
    case JobEnd::kAnswered:
      return {AttemptEnd::kAnswered, kStatusOk};
    case JobEnd::kFailed:
      return {AttemptEnd::kAnswered, kStatusError};
    case JobEnd::kShed:
      return {AttemptEnd::kShed, kStatusUnavailable};
    case JobEnd::kDraining: {
      AttemptReport report{AttemptEnd::kShed, kStatusUnavailable};
      report.notice.leaving = true;
      return report;
    }
    case JobEnd::kConnectFailed:
      return {AttemptEnd::kConnectFailed};
    default:
      return {AttemptEnd::kDied};
  }
}

Outcome RefusedWith(Refusal refusal, Duration retry_after) {
  const bool not_run = InfoOf(refusal).promise == Promise::kNotRun;
  return {not_run ? OutcomeKind::kRefused : OutcomeKind::kUnknown, refusal,
          retry_after};
}

FleetStrategy::FleetStrategy(SimulatedCluster& cluster,
                             const PolicyFeatures& features)
    : cluster(cluster) {
  const size_t count = cluster.deployment().vms.size();
  for (size_t vm = 0; vm < count; ++vm) {
    this->AddNode(vm, features);
    this->OnClusterState(vm, cluster.current_state());
    const Duration phase = limits::kWorkerTick * static_cast<int64_t>(vm) /
                           static_cast<int64_t>(count);
    cluster.simulation().After(phase, [this, vm] {
      this->cluster.simulation().Every(limits::kWorkerTick,
                                       [this, vm] { this->Tick(vm); });
    });
  }
}

void FleetStrategy::AddNode(size_t vm, const PolicyFeatures& features) {
  DispatcherOptions dispatch;
  dispatch.seed = vm + 1;
  dispatch.features = features.dispatcher;
  EntryOptions entry;
  entry.seed = vm + 1;
  entry.features = features.entry;
  if (const auto& repeats = this->cluster.current_scenario().repeats) {
    dispatch.repeats = SplitRepeatBudget(*repeats);
    dispatch.retry_budget = kUnlimitedBudget;
    dispatch.hedge_budget = kUnlimitedBudget;
    dispatch.features.class_caps = false;
    dispatch.features.reserve = false;
    dispatch.features.send_ahead = false;
    entry.repeats = SplitRepeatBudget(*repeats).entries;
  }
  QuarantineOptions quarantine;
  quarantine.seed = vm + 1;
  Node node;
  node.quarantine = Quarantine::Create(quarantine);
  dispatch.quarantine = node.quarantine;
  entry.quarantine = node.quarantine;
  dispatch.notices = UpstreamNotices::Create({});
  entry.notices = dispatch.notices;
  node.dispatcher = Dispatcher::Create(dispatch);
  node.router = EntryRouter::Create(entry);
  node.lost_links.assign(this->cluster.deployment().vms.size(), false);
  this->nodes.push_back(std::move(node));
}

void FleetStrategy::Tick(size_t vm) {
  if (!this->cluster.IsAlive(vm)) {
    return;
  }
  this->nodes[vm].dispatcher->Tick(this->cluster.now());
  this->RunActions(vm);
  this->nodes[vm].router->Tick(this->cluster.now());
  this->SendCrashReports(vm);
}

void FleetStrategy::SendCrashReports(size_t vm) {
  for (const CrashReport& report :
       this->nodes[vm].quarantine->TakeNewReports(this->cluster.now())) {
    for (size_t peer = 0; peer < this->nodes.size(); ++peer) {
      if (peer == vm || !this->cluster.IsAlive(peer)) {
        continue;
      }
      this->cluster.simulation().After(
          this->cluster.VmToVmLatency(vm, peer), [this, peer, report] {
            this->nodes[peer].quarantine->Import(this->cluster.now(), report);
          });
    }
  }
}

void FleetStrategy::OnClusterState(size_t vm,
                                   const ClusterState& cluster_state) {
  Node& node = this->nodes[vm];
  const RoutingViewPtr view = MakeView(this->cluster.deployment(), vm,
                                       ++node.view_version, cluster_state);
  node.quotas.SetTeams(
      LeaseTimeOf(this->cluster.now()), view->teams,
      1.0 / static_cast<double>(this->cluster.deployment().vms.size()));
  node.router->ApplyView(this->cluster.now(), view);
  node.dispatcher->ApplyView(this->cluster.now(), view);
  this->RunActions(vm);
}

void FleetStrategy::OnVmKilled(size_t killed, Duration detection_delay) {
  for (size_t vm = 0; vm < this->nodes.size(); ++vm) {
    if (this->cluster.IsAlive(vm)) {
      const Duration after =
          detection_delay + this->cluster.VmToVmLatency(killed, vm);
      this->cluster.simulation().After(
          after, [this, vm, killed] { this->OnLinkLost(vm, killed); });
    }
  }
}

void FleetStrategy::OnLinkLost(size_t vm, size_t peer) {
  this->nodes[vm].lost_links[peer] = true;
  this->CancelRequestsOf(vm, peer);
  this->nodes[vm].router->OnLink(this->cluster.now(),
                                 {static_cast<uint32_t>(peer), 0}, false);
  for (RequestId id = 0; id < this->routed_requests.size(); ++id) {
    const RoutedRequest& routed = this->routed_requests[id];
    if (routed.forwarded && routed.dispatcher == peer &&
        this->EntryVm(id) == vm) {
      this->OnRefused(id, Refusal::kPeerLost, Duration{0}, 0);
    }
  }
}

void FleetStrategy::OnIsolated(size_t vm, bool isolated) {
  for (size_t peer = 0; peer < this->nodes.size(); ++peer) {
    if (peer == vm || !this->cluster.IsAlive(peer)) {
      continue;
    }
    if (isolated) {
      this->OnLinkLost(peer, vm);
      this->OnLinkLost(vm, peer);
      continue;
    }
    for (const auto& [from, to] : {std::pair(vm, peer), std::pair(peer, vm)}) {
      this->nodes[from].lost_links[to] = false;
      this->nodes[from].router->OnLink(this->cluster.now(),
                                       {static_cast<uint32_t>(to), 0}, true);
    }
  }
}

std::unique_ptr<Strategy> MakeFleetStrategy(SimulatedCluster& cluster,
                                            const PolicyFeatures& features) {
  return std::make_unique<FleetStrategy>(cluster, features);
}

}  // namespace basilsill::bench
