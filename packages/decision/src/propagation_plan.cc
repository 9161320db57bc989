#include "basilsill/decision/propagation_plan.h"

#include <algorithm>
#include <map>
#include <utility>

namespace basilsill {
namespace {

bool IsNear(const std::vector<VmRow>& vms, VmHandle a, VmHandle b) {
  return a.index < vms.size() && b.index < vms.size() &&
         vms[a.index].data_centre == vms[b.index].data_centre;
}

// @returns the live VMs that tell, in the order of work, and behind them in
// `others` those that don't.
std::vector<VmHandle> Tellers(const std::vector<VmRow>& vms,
                              std::vector<VmHandle>& others) {
  std::map<DataCentreHandle, size_t> found;
  std::vector<VmHandle> tellers;
  for (const VmHandle vm : WorkOrder(vms)) {
    size_t& count = found[vms.at(vm.index).data_centre];
    std::vector<VmHandle>& part =
        count < kRelaysPerDataCentre ? tellers : others;
    part.push_back(vm);
    ++count;
  }
  return tellers;
}

bool Contains(const std::vector<VmHandle>& vms, VmHandle vm) {
  return std::find(vms.begin(), vms.end(), vm) != vms.end();
}

}  // namespace

std::vector<VmHandle> RelaysOf(const std::vector<VmRow>& vms,
                               DataCentreHandle data_centre) {
  std::vector<VmHandle> others;
  std::vector<VmHandle> tellers = Tellers(vms, others);
  std::erase_if(tellers, [&vms, data_centre](VmHandle vm) {
    return vms[vm.index].data_centre != data_centre;
  });
  return tellers;
}

PropagationPlan PlanPropagation(const std::vector<VmRow>& vms, VmHandle self) {
  std::vector<VmHandle> others;
  const std::vector<VmHandle> tellers = Tellers(vms, others);
  PropagationPlan plan;
  plan.is_relay = Contains(tellers, self);
  std::vector<VmHandle> order = tellers;
  order.insert(order.end(), others.begin(), others.end());
  const auto own = std::find(order.begin(), order.end(), self);
  plan.rank = static_cast<size_t>(own - order.begin());
  for (const VmHandle teller : tellers) {
    if (teller != self && (plan.is_relay || IsNear(vms, teller, self))) {
      plan.links.push_back(teller);
    }
  }
  return plan;
}

std::vector<VmHandle> PublishTargets(const PropagationPlan& plan,
                                     const std::vector<VmRow>& vms,
                                     VmHandle self,
                                     const std::vector<VmHandle>& linked) {
  std::vector<VmHandle> told;
  for (const VmHandle vm : linked) {
    const bool tells_there = Contains(plan.links, vm);
    if (plan.is_relay && (IsNear(vms, vm, self) || tells_there)) {
      told.push_back(vm);
    }
  }
  return told;
}

std::vector<VmHandle> RelayTargets(const PropagationPlan& plan,
                                   const std::vector<VmRow>& vms,
                                   VmHandle self,
                                   VmHandle teller,
                                   const std::vector<VmHandle>& linked) {
  std::vector<VmHandle> told;
  if (!plan.is_relay || !IsValid(teller) || IsNear(vms, teller, self)) {
    return told;
  }
  for (const VmHandle vm : linked) {
    if (vm != teller && IsNear(vms, vm, self)) {
      told.push_back(vm);
    }
  }
  return told;
}

}  // namespace basilsill
