#ifndef BASILSILL_DECISION_SRC_SHARD_RATE_H_
#define BASILSILL_DECISION_SRC_SHARD_RATE_H_

#include "dispatch_tables.h"

/// Effect of upstreams' rate limits on their shard: what each upstream may get
/// from this VM, and the throughput of the whole shard if the limits bind it.

namespace basilsill {

/// @returns the quota of the upstream at `place`; nullptr if it advertises no
/// limit.
const RateLimitQuota* FindRateLimit(const ShardState& shard, uint32_t place);

/// @returns the fraction of a limit that this VM may use.
/// @remarks The first owner of the shard may use all of it, once it has been
/// the first owner for a while and no VM that may be cut off ranks before it.
/// Any other VM may use so little that the first owner and two others stay
/// within 1.5 times the limit.
double RateShareOf(TimePoint now, const ShardState& shard);

/// @returns true if rate limits allow a request to the upstream now.
bool HasRateQuota(TimePoint now, const ShardState& shard, uint32_t place);

/// @returns true if the upstream advertises a limit that lets it do less for
/// this VM than its slots could. Load queries would then take the place of
/// requests.
bool IsRateScarce(TimePoint now, const ShardState& shard, uint32_t place);

/// @returns the number of the upstream's slots that its rate limit allows to be
/// busy.
uint16_t SlotsWithinRate(TimePoint now,
                         const ShardState& shard,
                         uint32_t place,
                         uint16_t slots);

/// @returns true if all upstreams that take work, now or after a pause,
/// advertise limits that bind them. The limits alone determine the shard's
/// throughput then.
bool IsRateBound(TimePoint now, const ShardState& shard);

/// @returns how long a request waits in a rate-bound shard behind `ahead` other
/// requests.
Duration WaitWithinRate(TimePoint now, const ShardState& shard, uint32_t ahead);

/// Counts a request or a load query against the upstream's rate limit, if it
/// advertises one.
void CountRate(TimePoint now, ShardState& shard, uint32_t place);

/// Counts a request against the upstream's rate limit and its cold quota.
void CountSend(TimePoint now, ShardState& shard, uint32_t place);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_SHARD_RATE_H_
