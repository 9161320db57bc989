#ifndef BASILSILL_BENCH_MODEL_DEPLOYMENT_H_
#define BASILSILL_BENCH_MODEL_DEPLOYMENT_H_

#include <cstddef>
#include <string>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Deployments that the benchmarks simulate: two production-like ones, and one
/// of many small teams. Objects are identified by their position in the vectors
/// of `Deployment`.

namespace basilsill::bench {

/// One-way network latency within a data centre and between two.
inline constexpr Duration kLatencyWithinDataCentre =
    std::chrono::microseconds(120);
inline constexpr Duration kLatencyBetweenDataCentres =
    std::chrono::microseconds(1500);

/// Time to open a connection to an upstream.
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
  std::vector<size_t> vms;  ///< Data centre of each entry VM.
  std::vector<TeamSpec> teams;
  std::vector<ServiceSpec> services;
  std::vector<InstanceSpec> instances;
};

/// Models the deployment of Rodopa: 3 data centres, 13 entry VMs, 4 services of
/// 31 instances.
Deployment MakeSofia();

/// Models the deployment of Fjellmagasin: 4 data centres, 14 entry VMs, 4
/// services of 33 instances.
Deployment MakeVestlandet();

/// `teams` teams with one service of `instances` instances each, in the data
/// centres of `MakeSofia`.
Deployment MakeManyTeams(size_t teams, size_t instances);

/// Adds a team that owns no service.
/// @returns the position of the team.
size_t AddTeam(Deployment& deployment,
               const std::string& name,
               const TeamLimits& limits);

/// @returns the number of slots of all instances of `service`.
double SlotsOf(const Deployment& deployment, size_t service);

/// @returns the one-way latency between two data centres.
Duration Latency(size_t from_data_centre, size_t to_data_centre);

/// State of the VMs and instances from which a VM's routing view is built.
struct ClusterState {
  std::vector<VmState> vms;   ///< By VM; kCount: not in the VM list.
  std::vector<bool> leaving;  ///< By instance.
  std::vector<uint64_t> incarnations = {};  ///< By VM; 1 if empty.
};

/// @returns the state in which every VM is live and no instance is leaving.
ClusterState AllLive(const Deployment& deployment);

/// @returns the routing view that VM `self` builds from `cluster_state`.
RoutingViewPtr MakeView(const Deployment& deployment,
                        size_t self,
                        uint64_t version,
                        const ClusterState& cluster_state);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_DEPLOYMENT_H_
