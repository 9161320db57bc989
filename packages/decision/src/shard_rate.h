#ifndef BASILSILL_DECISION_SRC_SHARD_RATE_H_
#define BASILSILL_DECISION_SRC_SHARD_RATE_H_

#include "dispatch_tables.h"

/// What rate limits of upstreams mean for their shard: what each may get from
/// this VM, and what the shard as a whole can do where they bind it.

namespace basilsill {

/// @returns the quota of the upstream at `place`, nullptr if it names no limit.
const RateLimitQuota* FindRateLimit(const ShardState& shard, uint32_t place);

/// @returns the part of a limit that this VM may use.
/// @remarks The first owner of the shard has all of it, once it has been that
/// for a while and no VM that may be cut off stands before it. Any other has so
/// little that the first and two more stay within half as much again.
double RateShareOf(TimePoint now, const ShardState& shard);

/// @returns true as far as rate limits go.
bool HasRateQuota(TimePoint now, const ShardState& shard, uint32_t place);

/// @returns true if the upstream names a limit that lets it do less for this VM
/// than its slots could. Questions for its load would take the place of
/// requests.
bool IsRateScarce(TimePoint now, const ShardState& shard, uint32_t place);

/// @returns slots of the upstream that its rate limit lets it use.
uint16_t SlotsWithinRate(TimePoint now,
                         const ShardState& shard,
                         uint32_t place,
                         uint16_t slots);

/// @returns true if all upstreams that take work, now or after a pause, name
/// limits that bind them: then these alone say how much the shard does.
bool IsRateBound(TimePoint now, const ShardState& shard);

/// @returns how long a request waits in a rate-bound shard behind `ahead`
/// others.
Duration WaitWithinRate(TimePoint now, const ShardState& shard, uint32_t ahead);

/// Counts what is sent to the upstream against its rate limit, if it names one.
void CountRate(TimePoint now, ShardState& shard, uint32_t place);

/// Counts a request that is sent to the upstream against all that bounds it.
void CountSend(TimePoint now, ShardState& shard, uint32_t place);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_SHARD_RATE_H_
