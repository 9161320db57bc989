#include "model/deployment.h"

#include <memory>
#include <utility>

namespace basilsill::bench {
namespace {

template <typename HandleType>
HandleType At(size_t position) {
  return HandleType{static_cast<uint32_t>(position), 0};
}

struct ServiceSize {
  std::string service;
  size_t instances;
};

void AddService(Deployment& deployment, const ServiceSize& size) {
  ServiceSpec service;
  service.name = size.service;
  service.team = deployment.teams.size();
  deployment.teams.push_back({"team-" + size.service, {}});
  for (size_t i = 0; i < size.instances; ++i) {
    service.instances.push_back(deployment.instances.size());
    deployment.instances.push_back(
        {deployment.services.size(), i % deployment.data_centres.size()});
  }
  deployment.services.push_back(std::move(service));
}

Deployment Make(std::string name,
                std::vector<std::string> data_centres,
                size_t vms,
                const std::vector<ServiceSize>& sizes) {
  Deployment deployment;
  deployment.name = std::move(name);
  deployment.data_centres = std::move(data_centres);
  for (size_t i = 0; i < vms; ++i) {
    deployment.vms.push_back(i % deployment.data_centres.size());
  }
  for (const ServiceSize& size : sizes) {
    AddService(deployment, size);
  }
  return deployment;
}

VmRow MakeVm(const Deployment& deployment,
             size_t position,
             const ClusterState& cluster_state) {
  VmRow row;
  row.handle = At<VmHandle>(position);
  row.name = "vm-" + std::to_string(position);
  row.incarnation = cluster_state.incarnations.empty()
                        ? 1
                        : cluster_state.incarnations.at(position);
  row.data_centre = At<DataCentreHandle>(deployment.vms.at(position));
  row.state = cluster_state.vms.at(position);
  return row;
}

std::shared_ptr<const ServiceRow> MakeService(
    const Deployment& deployment,
    size_t position,
    const RoutingView& view,
    const ClusterState& cluster_state) {
  const ServiceSpec& spec = deployment.services.at(position);
  auto row = std::make_shared<ServiceRow>();
  row->handle = At<ServiceHandle>(position);
  row->name = spec.name;
  row->team = At<TeamHandle>(spec.team);
  for (const size_t instance : spec.instances) {
    const InstanceSpec& from = deployment.instances.at(instance);
    UpstreamRow upstream;
    upstream.handle = At<UpstreamHandle>(instance);
    upstream.endpoint = {"10.0.0.1", static_cast<uint16_t>(instance + 1)};
    upstream.data_centre = At<DataCentreHandle>(from.data_centre);
    upstream.slots = static_cast<uint16_t>(from.slots);
    upstream.leaving = cluster_state.leaving.at(instance);
    row->upstreams.push_back(upstream);
  }
  AssignShards(view, *row);
  return row;
}

}  // namespace

Deployment MakeSofia() {
  return Make("sofia", {"lyulin", "druzhba", "nadezhda"}, 13,
              {{"banklevel", 12},
               {"pickupbook", 6},
               {"reportyard", 6},
               {"partnerdesk", 7}});
}

Deployment MakeVestlandet() {
  return Make("vestlandet",
              {"ardal-sal", "odda-sal", "aurland-sal", "sauda-sal"}, 14,
              {{"nivaportal", 9},
               {"slippregister", 8},
               {"historikkbank", 8},
               {"tilsigsarkiv", 8}});
}

Deployment MakeManyTeams(size_t teams, size_t instances) {
  std::vector<ServiceSize> sizes;
  for (size_t i = 0; i < teams; ++i) {
    sizes.push_back({"service-" + std::to_string(i), instances});
  }
  return Make("many", {"lyulin", "druzhba", "nadezhda"}, 13, sizes);
}

size_t AddTeam(Deployment& deployment,
               const std::string& name,
               const TeamLimits& limits) {
  deployment.teams.push_back({name, limits});
  return deployment.teams.size() - 1;
}

double SlotsOf(const Deployment& deployment, size_t service) {
  double slots = 0;
  for (const size_t instance : deployment.services.at(service).instances) {
    slots += deployment.instances.at(instance).slots;
  }
  return slots;
}

Duration Latency(size_t from_data_centre, size_t to_data_centre) {
  return from_data_centre == to_data_centre ? kLatencyWithinDataCentre
                                            : kLatencyBetweenDataCentres;
}

ClusterState AllLive(const Deployment& deployment) {
  ClusterState cluster_state;
  cluster_state.vms.assign(deployment.vms.size(), VmState::kLive);
  cluster_state.leaving.assign(deployment.instances.size(), false);
  return cluster_state;
}

RoutingViewPtr MakeView(const Deployment& deployment,
                        size_t self,
                        uint64_t version,
                        const ClusterState& cluster_state) {
  auto view = std::make_shared<RoutingView>();
  view->version = version;
  view->self = At<VmHandle>(self);
  view->own_data_centre = At<DataCentreHandle>(deployment.vms.at(self));
  for (size_t i = 0; i < deployment.data_centres.size(); ++i) {
    view->data_centres.push_back(
        {At<DataCentreHandle>(i), deployment.data_centres[i]});
  }
  for (size_t i = 0; i < deployment.teams.size(); ++i) {
    view->teams.push_back({At<TeamHandle>(i), deployment.teams[i].name,
                           deployment.teams[i].limits});
  }
  for (size_t i = 0; i < deployment.vms.size(); ++i) {
    const bool listed = cluster_state.vms.at(i) != VmState::kCount;
    view->vms.push_back(listed ? MakeVm(deployment, i, cluster_state)
                               : VmRow{});
  }
  for (size_t i = 0; i < deployment.services.size(); ++i) {
    view->services.push_back(MakeService(deployment, i, *view, cluster_state));
  }
  return view;
}

}  // namespace basilsill::bench
