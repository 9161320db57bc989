#ifndef BASILSILL_DECISION_PROPAGATION_PLAN_H_
#define BASILSILL_DECISION_PROPAGATION_PLAN_H_

#include <cstddef>
#include <vector>

#include "basilsill/decision/view.h"

/// How data that one VM reads from the platform propagates through the fleet:
/// the reader sends it to all VMs of its data centre and to two relay VMs of
/// each other data centre, and each relay forwards it to all VMs of its own
/// data centre. Pure; computed from the VMs that a VM sees as live. If two VMs
/// see different sets, some VMs receive the data twice and others read the
/// platform themselves.
///
/// Failure: a few VMs send every change to all others, whatever their data
/// centre. In a large fleet a single change then occupies a link for so long
/// that the last receivers take the sender for silent and read the platform
/// themselves, and the traffic between data centres grows with the square of
/// the fleet. With relays, a change is sent to each other data centre twice,
/// whatever the number of VMs, and no VM sends it to more than the VMs of its
/// own data centre and the relays.

namespace basilsill {

/// Relay VMs of each data centre. Two, so that the loss of one loses no
/// updates.
inline constexpr size_t kRelaysPerDataCentre = 2;

/// @returns the relay VMs of `data_centre`, in the order of RankLiveVms.
std::vector<VmHandle> RelaysOf(const std::vector<VmRow>& vms,
                               DataCentreHandle data_centre);

struct PropagationPlan {
  /// Position of this VM in the common order in which VMs read for the fleet;
  /// the number of live VMs if this VM is not in it. Relays come first, then
  /// the other VMs, each group in the order of RankLiveVms.
  size_t rank = 0;
  /// This VM is a relay: it sends what it reads to others, and forwards what it
  /// receives from other data centres.
  bool is_relay = false;
  /// VMs with which this one keeps links for propagation: the relays of its
  /// data centre or, if it is a relay itself, all relays.
  std::vector<VmHandle> links;
};

/// @returns the plan of `self`.
PropagationPlan PlanPropagation(const std::vector<VmRow>& vms, VmHandle self);

/// @returns those of the `linked` VMs to which `self` sends what it has read
/// itself; none if `self` is not a relay.
std::vector<VmHandle> PublishTargets(const PropagationPlan& plan,
                                     const std::vector<VmRow>& vms,
                                     VmHandle self,
                                     const std::vector<VmHandle>& linked);

/// @returns those of the `linked` VMs to which `self` forwards what it received
/// from `sender`; none unless `self` is a relay and `sender` is in another data
/// centre.
std::vector<VmHandle> RelayTargets(const PropagationPlan& plan,
                                   const std::vector<VmRow>& vms,
                                   VmHandle self,
                                   VmHandle sender,
                                   const std::vector<VmHandle>& linked);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_PROPAGATION_PLAN_H_
