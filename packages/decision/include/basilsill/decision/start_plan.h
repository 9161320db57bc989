#ifndef BASILSILL_DECISION_START_PLAN_H_
#define BASILSILL_DECISION_START_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "basilsill/base/time.h"

/// How long a starting VM waits for other VMs to do work for it before it does
/// the work itself. Pure.

namespace basilsill {

/// @returns true if starting VMs wait for a peer to send them the state, in a
/// fleet of `known` VMs. In a small fleet each VM lists the topics at once, and
/// sending it the state as well would only cost traffic.
bool ShouldWaitForState(size_t known);

/// @returns how long a starting VM waits for a peer to send it the state before
/// it lists a topic itself. VMs of higher rank wait longer: if no peer has the
/// state, the first VMs that list send it to the others.
/// @param rank Position of the VM in the common order.
/// @param waits Result of ShouldWaitForState, or true if the whole installation
/// starts.
/// @param known Number of known VMs.
/// @remarks Failure: a thousand VMs start at once and each soon lists thousands
/// of upstreams. The store can't serve that in time, all calls time out, and no
/// VM ever becomes ready. So in a large fleet the VMs list one after the other,
/// some dozens a second, and nearly all receive the state from a peer before
/// their turn.
Duration StartListingDelay(size_t rank, bool waits, size_t known);

/// @returns how long a VM waits before its first call when the whole
/// installation starts for the first time.
/// @remarks Failure: 300 VMs read the empty VM list at the same moment, and
/// each announces itself. The platform handles announcements one at a time, so
/// the last VM is announced after a second, by a call of its own. If larger VMs
/// read the list first, and the others at different times, most VMs find a
/// helper that announces them in groups.
/// @param capacity Capacity of the VM, as in VmRow.
Duration FirstStartDelay(std::string_view vm, uint32_t capacity);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_START_PLAN_H_
