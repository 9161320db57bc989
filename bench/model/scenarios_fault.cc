#include <set>
#include <utility>

#include "model/flows.h"
#include "model/scenarios.h"

namespace basilsill::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDisturbedAt = seconds(3);

/// Slowdown of an instance that has just started.
constexpr double kColdFactor = 4;

/// Load of the crashing requests: about two per second.
constexpr double kPoisonLoad = 0.0005;

Disturbance ModeAt(Duration at,
                   std::vector<size_t> instances,
                   InstanceMode mode) {
  return {at,
          [instances = std::move(instances), mode](SimulatedCluster& cluster) {
            for (const size_t instance : instances) {
              cluster.upstreams().SetMode(instance, mode);
            }
          }};
}

Disturbance SlowdownAt(Duration at, size_t instance, double factor) {
  return {at, [instance, factor](SimulatedCluster& cluster) {
            cluster.upstreams().SetSlowdown(instance, factor);
          }};
}

/// @returns the VMs that dispatch for the readings service.
std::set<size_t> DispatchersOf(const Deployment& deployment) {
  const RoutingViewPtr view = MakeView(deployment, 0, 1, AllLive(deployment));
  std::set<size_t> dispatchers;
  for (const ShardRow& shard : view->services.at(kReadingsService)->shards) {
    dispatchers.insert(shard.owners.front().index);
  }
  return dispatchers;
}

Disturbance StateAt(Duration at, std::set<size_t> vms, VmState state) {
  return {at, [vms = std::move(vms), state](SimulatedCluster& cluster) {
            for (const size_t vm : vms) {
              cluster.current_state().vms.at(vm) = state;
            }
            cluster.PublishState(seconds(5));
          }};
}

}  // namespace

Scenario MakeFailFast(const Deployment& deployment) {
  Scenario scenario = MakeReadings(deployment, 0.7);
  scenario.disturbances = {ModeAt(kDisturbedAt, {0}, InstanceMode::kFailFast)};
  return scenario;
}

/// One instance is down for 2 s and then slow from a cold start for 1 s.
Scenario MakeCrash(const Deployment& deployment) {
  Scenario scenario = MakeReadings(deployment, 0.7);
  const Duration back = kDisturbedAt + seconds(2);
  scenario.disturbances = {
      ModeAt(kDisturbedAt, {0}, InstanceMode::kDown),
      SlowdownAt(back, 0, kColdFactor),
      ModeAt(back, {0}, InstanceMode::kServing),
      SlowdownAt(back + seconds(1), 0, 1),
  };
  return scenario;
}

/// Requests that are not idempotent run beside identical requests that crash
/// each instance that runs them.
Scenario MakePoison(const Deployment& deployment) {
  Scenario scenario;
  scenario.deployment = deployment;
  scenario.flows = {MakeNonIdempotent("notices", kReadingsService, 0.5),
                    MakeFlow("poison", kReadingsService,
                             TrafficClass::kOrdinary, kPoisonLoad)};
  Flow& poison = scenario.flows.back();
  poison.starts_at = scenario.warm_up;
  poison.crashes_instance = true;
  poison.measured = false;
  return scenario;
}

/// All instances of one data centre start to drain. 5 s later the configuration
/// marks them as leaving; it reaches the VMs one after the other within 1 s.
Scenario MakeDrain(const Deployment& deployment) {
  Scenario scenario = MakeReadings(deployment, 0.5);
  std::vector<size_t> leaving;
  for (size_t i = 0; i < deployment.instances.size(); ++i) {
    if (deployment.instances[i].data_centre == 0) {
      leaving.push_back(i);
    }
  }
  scenario.disturbances = {
      ModeAt(kDisturbedAt, leaving, InstanceMode::kDraining),
      {kDisturbedAt + seconds(5), [leaving](SimulatedCluster& cluster) {
         for (const size_t instance : leaving) {
           cluster.current_state().leaving.at(instance) = true;
         }
         cluster.PublishState(seconds(1));
       }}};
  return scenario;
}

Scenario MakeAllFail(const Deployment& deployment, InstanceMode mode) {
  Scenario scenario = MakeReadings(deployment, 0.7);
  scenario.warm_up = kDisturbedAt;
  scenario.length = seconds(5);
  scenario.disturbances = {ModeAt(
      kDisturbedAt, deployment.services.at(kReadingsService).instances, mode)};
  return scenario;
}

/// All instances shed all requests for 2 s, then serve again.
Scenario MakeRecover(const Deployment& deployment) {
  Scenario scenario = MakeReadings(deployment, 0.7);
  const std::vector<size_t>& all =
      deployment.services.at(kReadingsService).instances;
  scenario.disturbances = {
      ModeAt(kDisturbedAt, all, InstanceMode::kShedding),
      ModeAt(kDisturbedAt + seconds(2), all, InstanceMode::kServing)};
  return scenario;
}

/// The VM of a dispatcher dies. Its peers detect that after `detection_delay`;
/// the VM list drops the VM 2 s after its death.
Scenario MakeVmKilled(const Deployment& deployment, Duration detection_delay) {
  Scenario scenario = MakeReadings(deployment, 0.7);
  const size_t victim = *DispatchersOf(deployment).begin();
  scenario.disturbances = {
      {kDisturbedAt,
       [victim, detection_delay](SimulatedCluster& cluster) {
         cluster.KillVm(victim, detection_delay);
       }},
      {kDisturbedAt + seconds(2), [victim](SimulatedCluster& cluster) {
         cluster.current_state().vms.at(victim) = VmState::kCount;
         cluster.PublishState(Duration{0});
       }}};
  return scenario;
}

/// One entry VM loses its links to all other VMs for 3 s. It still reaches
/// upstreams.
Scenario MakeIsolatedVm(const Deployment& deployment) {
  Scenario scenario = MakeReadings(deployment, 0.7);
  const std::set<size_t> dispatchers = DispatchersOf(deployment);
  size_t victim = 0;
  while (dispatchers.contains(victim)) {
    ++victim;
  }
  scenario.disturbances = {
      {kDisturbedAt,
       [victim](SimulatedCluster& cluster) {
         cluster.SetIsolated(victim, true);
       }},
      {kDisturbedAt + seconds(3), [victim](SimulatedCluster& cluster) {
         cluster.SetIsolated(victim, false);
       }}};
  return scenario;
}

/// The VM list marks all dispatchers of the readings service as leaving, and as
/// live again 6 s later. Each change reaches the VMs one after the other within
/// 5 s, so that their views differ.
Scenario MakeDivergentViews(const Deployment& deployment) {
  Scenario scenario = MakeReadings(deployment, 0.7);
  const std::set<size_t> vms = DispatchersOf(deployment);
  scenario.disturbances = {
      StateAt(kDisturbedAt, vms, VmState::kLeaving),
      StateAt(kDisturbedAt + seconds(6), vms, VmState::kLive)};
  scenario.length = seconds(15);
  return scenario;
}

}  // namespace basilsill::bench
