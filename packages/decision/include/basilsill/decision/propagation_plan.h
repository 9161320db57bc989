#ifndef BASILSILL_DECISION_PROPAGATION_PLAN_H_
#define BASILSILL_DECISION_PROPAGATION_PLAN_H_

#include <cstddef>
#include <vector>

#include "basilsill/decision/view.h"

/// Who reads the platform for whom, and how what is read spreads: from the VM
/// that read it to all of its data centre and to two VMs of each other one, and
/// from these to all of theirs. Pure, made of the VMs that a VM sees live; if
/// two see different ones, some are told twice and some read for themselves.
///
/// Failure: a few VMs tell everybody, whoever is where. It shows in a large
/// fleet as a link that is busy for so long with one change that those at its
/// end take it for silent and read for themselves, and as octets between data
/// centres that grow with the square of the fleet. By data centre a change
/// crosses twice, whatever the number of VMs, and no VM sends it to more than
/// those of its own.

namespace basilsill {

/// VMs of each data centre that tell its others. Two, so that one that dies or
/// freezes is missed by nobody.
inline constexpr size_t kRelaysPerDataCentre = 2;

/// @returns the VMs that tell `data_centre`, in the order of work.
std::vector<VmHandle> RelaysOf(const std::vector<VmRow>& vms,
                               DataCentreHandle data_centre);

struct PropagationPlan {
  /// Place of this VM in the order in which VMs read for all; the number of VMs
  /// if it has none. Those that tell come first, by size.
  size_t rank = 0;
  /// This VM tells others what it reads, and hands on what it is told from
  /// other data centres.
  bool is_relay = false;
  /// VMs that this one keeps a link with to be told and to tell: those that
  /// tell its data centre, and if it tells itself, all that do.
  std::vector<VmHandle> links;
};

/// @returns the part of `self`.
PropagationPlan PlanPropagation(const std::vector<VmRow>& vms, VmHandle self);

/// @returns whom `self` tells what it has read itself, of those that it is
/// linked with.
std::vector<VmHandle> PublishTargets(const PropagationPlan& plan,
                                     const std::vector<VmRow>& vms,
                                     VmHandle self,
                                     const std::vector<VmHandle>& linked);

/// @returns to whom `self` hands on what `teller` told it.
std::vector<VmHandle> RelayTargets(const PropagationPlan& plan,
                                   const std::vector<VmRow>& vms,
                                   VmHandle self,
                                   VmHandle teller,
                                   const std::vector<VmHandle>& linked);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_PROPAGATION_PLAN_H_
