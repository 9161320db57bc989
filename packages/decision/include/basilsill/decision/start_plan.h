#ifndef BASILSILL_DECISION_START_PLAN_H_
#define BASILSILL_DECISION_START_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "basilsill/base/time.h"

/// When a VM that starts does what it could leave to others. Pure.

namespace basilsill {

/// @returns true if VMs that start wait for others to tell them all, in a fleet
/// of `known` VMs. In a small one each lists for itself at once, and telling it
/// all as well would only cost octets.
bool ShouldWaitForState(size_t known);

/// @returns how long a VM that starts waits for another one to tell it all,
/// before it lists a topic for itself. Those far back wait longer: if nobody
/// tells, the first that list tell the others.
/// @param rank Its place in the common order.
/// @param waits As StartsWait says.
/// @param known The VMs that are known.
/// @remarks Failure: a thousand VMs start at once and each soon lists thousands
/// of upstreams for itself. The store can't give so much in time, all calls run
/// into their time-out, and none of the VMs is ever ready. So in such a fleet
/// they list one after the other, some dozens a second, and nearly all are told
/// before their turn.
Duration StartListingDelay(size_t rank, bool waits, size_t known);

/// @returns how long a VM waits before its first call where the whole
/// installation starts for the first time.
/// @remarks Failure: 300 VMs look at the same moment who is there, find nobody,
/// and each announces itself. The platform takes one announcement after the
/// other, so the last is announced after a second, by a call of its own. With
/// larger VMs looking first, and the others one after the other, most find some
/// that announce them in groups.
/// @param capacity Of the VM, as in VmRow.
Duration FirstStartDelay(std::string_view vm, uint32_t capacity);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_START_PLAN_H_
