#include "basilsill/decision/propagation_plan.h"

#include <algorithm>
#include <map>
#include <utility>

namespace basilsill {
namespace {

bool InSameDataCentre(const std::vector<VmRow>& vms, VmHandle a, VmHandle b) {
  return a.index < vms.size() && b.index < vms.size() &&
         vms[a.index].data_centre == vms[b.index].data_centre;
}

// @returns the live relay VMs in the order of RankLiveVms. Appends the other
// live VMs to `others` in the same order.
std::vector<VmHandle> Relays(const std::vector<VmRow>& vms,
                             std::vector<VmHandle>& others) {
  std::map<DataCentreHandle, size_t> found;
  std::vector<VmHandle> relays;
  for (const VmHandle vm : RankLiveVms(vms)) {
    size_t& count = found[vms.at(vm.index).data_centre];
    std::vector<VmHandle>& part =
        count < kRelaysPerDataCentre ? relays : others;
    part.push_back(vm);
    ++count;
  }
  return relays;
}

bool Contains(const std::vector<VmHandle>& vms, VmHandle vm) {
  return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

}  // namespace

std::vector<VmHandle> RelaysOf(const std::vector<VmRow>& vms,
                               DataCentreHandle data_centre) {
  std::vector<VmHandle> others;
  std::vector<VmHandle> relays = Relays(vms, others);
  std::erase_if(relays, [&vms, data_centre](VmHandle vm) {
    return vms[vm.index].data_centre != data_centre;
  });
  return relays;
}

PropagationPlan PlanPropagation(const std::vector<VmRow>& vms, VmHandle self) {
  std::vector<VmHandle> others;
  const std::vector<VmHandle> relays = Relays(vms, others);
  PropagationPlan plan;
  plan.is_relay = Contains(relays, self);
  std::vector<VmHandle> order = relays;
  order.insert(order.end(), others.begin(), others.end());
  const auto own = std::find(order.begin(), order.end(), self);
  plan.rank = static_cast<size_t>(own - order.begin());
  for (const VmHandle relay : relays) {
    if (relay != self &&
        (plan.is_relay || InSameDataCentre(vms, relay, self))) {
      plan.links.push_back(relay);
    }
  }
  return plan;
}

std::vector<VmHandle> PublishTargets(const PropagationPlan& plan,
                                     const std::vector<VmRow>& vms,
                                     VmHandle self,
                                     const std::vector<VmHandle>& linked) {
  std::vector<VmHandle> targets;
  for (const VmHandle vm : linked) {
    const bool is_linked_relay = Contains(plan.links, vm);
    if (plan.is_relay && (InSameDataCentre(vms, vm, self) || is_linked_relay)) {
      targets.push_back(vm);
    }
  }
  return targets;
}

std::vector<VmHandle> RelayTargets(const PropagationPlan& plan,
                                   const std::vector<VmRow>& vms,
                                   VmHandle self,
                                   VmHandle sender,
                                   const std::vector<VmHandle>& linked) {
  std::vector<VmHandle> targets;
  if (!plan.is_relay || !IsValid(sender) ||
      InSameDataCentre(vms, sender, self)) {
    return targets;
  }
  for (const VmHandle vm : linked) {
    if (vm != sender && InSameDataCentre(vms, vm, self)) {
      targets.push_back(vm);
    }
  }
  return targets;
}

}  // namespace basilsill
