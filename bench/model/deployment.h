#ifndef BASILSILL_BENCH_MODEL_DEPLOYMENT_H_
#define BASILSILL_BENCH_MODEL_DEPLOYMENT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// What is installed where: the two deployments of today, and one of many
/// small teams. Everything is named by its position here.

namespace basilsill::bench {

/// One-way latency of a link.
inline constexpr Duration kLatencyWithinDataCentre =
    std::chrono::microseconds(120);
inline constexpr Duration kLatencyBetweenDataCentres =
    std::chrono::microseconds(1500);

/// Time that it takes to open a connection to an upstream.
inline constexpr Duration kConnectTime = std::chrono::milliseconds(1);

struct TeamSpec {
  std::string name;
  TeamLimits limits;
};

struct ServiceSpec {
  std::string name;
  size_t team = 0;
  std::vector<size_t> instances;  ///< Positions in Deployment::instances.
};

struct InstanceSpec {
  size_t service = 0;
  size_t data_centre = 0;
  unsigned slots = limits::kDefaultSlotsPerUpstream;
};

struct Deployment {
  std::string name;
  std::vector<std::string> data_centres;
  std::vector<size_t> vms;  ///< The data centre of each entry VM.
  std::vector<TeamSpec> teams;
  std::vector<ServiceSpec> services;
  std::vector<InstanceSpec> instances;
};

/// Rodopa: 3 data centres, 13 entry VMs, 4 services of 31 instances.
Deployment MakeSofia();

/// Fjellmagasin: 4 data centres, 14 entry VMs, 4 services of 33 instances.
Deployment MakeVestlandet();

/// `teams` teams of one service each of `instances` instances, in Sofia.
Deployment MakeManyTeams(size_t teams, size_t instances);

/// Adds a team without a service of its own.
/// @returns its position.
size_t AddTeam(Deployment& deployment,
               const std::string& name,
               const TeamLimits& limits);

/// @returns all slots of `service`.
double SlotsOf(const Deployment& deployment, size_t service);

/// @returns the one-way latency between two data centres.
Duration Latency(size_t from_data_centre, size_t to_data_centre);

/// What a view may know of the state of the world.
struct ClusterState {
  std::vector<VmState> vms;                 ///< kCount: not in the list.
  std::vector<bool> leaving;                ///< By instance.
  std::vector<uint64_t> incarnations = {};  ///< By VM; 1 if empty.
};

/// @returns what every VM and every instance being there and live means.
ClusterState AllLive(const Deployment& deployment);

/// @returns the routing view of `self` under `knowledge`.
RoutingViewPtr MakeView(const Deployment& deployment,
                        size_t self,
                        uint64_t version,
                        const ClusterState& cluster_state);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_DEPLOYMENT_H_
