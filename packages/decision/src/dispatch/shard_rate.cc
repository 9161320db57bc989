#include "shard_rate.h"

#include <algorithm>

#include "upstream_choice.h"

namespace basilsill {
namespace {

// How long VMs may disagree about which of them is the first owner.
constexpr Duration kSettleTime = std::chrono::seconds(4);

// Fraction for VMs that are not settled as the first owner. Two of them beside
// the first owner stay below 1.5 times the limit.
constexpr double kSuccessorShare = 0.2;

// Messages to an upstream for each request: the request and about one load
// query.
constexpr double kSendsPerRequest = 2;

// @returns the mean time for which a request holds a slot, from the first ring
// that knows it; 0 if none does.
Duration SlotTimeOf(const ShardState& shard) {
  for (const Ring& ring : shard.rings) {
    if (ring.slot_time > Duration(0)) {
      return ring.slot_time;
    }
  }
  return Duration(0);
}

// @returns the mean number of busy slots at the rate that this VM may use.
double SlotsAt(TimePoint now,
               const ShardState& shard,
               const RateLimitQuota& quota) {
  const std::chrono::duration<double> held = SlotTimeOf(shard);
  return quota.RateOf(RateShareOf(now, shard)) * held.count();
}

}  // namespace

const RateLimitQuota* FindRateLimit(const ShardState& shard, uint32_t place) {
  for (const RateLimitedUpstream& limited : shard.rate_limited) {
    if (limited.place == place) {
      return &limited.quota;
    }
  }
  return nullptr;
}

double RateShareOf(TimePoint now, const ShardState& shard) {
  const bool settled =
      shard.first_since != kNever && now - shard.first_since >= kSettleTime;
  return settled ? 1 : kSuccessorShare;
}

bool HasRateQuota(TimePoint now, const ShardState& shard, uint32_t place) {
  const RateLimitQuota* quota = FindRateLimit(shard, place);
  return quota == nullptr || quota->MayStart(now, RateShareOf(now, shard));
}

bool IsRateScarce(TimePoint now, const ShardState& shard, uint32_t place) {
  const RateLimitQuota* quota = FindRateLimit(shard, place);
  return quota != nullptr &&
         SlotsAt(now, shard, *quota) <
             kSendsPerRequest * shard.upstreams[place].slots;
}

uint16_t SlotsWithinRate(TimePoint now,
                         const ShardState& shard,
                         uint32_t place,
                         uint16_t slots) {
  const RateLimitQuota* quota = FindRateLimit(shard, place);
  if (quota == nullptr) {
    return slots;
  }
  return static_cast<uint16_t>(
      std::min<double>(slots, SlotsAt(now, shard, *quota)));
}

bool IsRateBound(TimePoint now, const ShardState& shard) {
  bool any_limited = false;
  for (uint32_t place = 0;
       place < shard.upstreams.size() && !shard.rate_limited.empty(); ++place) {
    const UpstreamSlots& upstream = shard.upstreams[place];
    if (!WantsWork(now, upstream) ||
        upstream.health.grade() == UpstreamGrade::kFailing) {
      continue;
    }
    if (SlotsWithinRate(now, shard, place, upstream.slots) > 0) {
      return false;
    }
    any_limited = true;
  }
  return any_limited;
}

Duration WaitWithinRate(TimePoint now,
                        const ShardState& shard,
                        uint32_t ahead) {
  const double share = RateShareOf(now, shard);
  Duration first = Duration::max();
  double rate = 0;
  for (const RateLimitedUpstream& limited : shard.rate_limited) {
    if (!WantsWork(now, shard.upstreams[limited.place])) {
      continue;
    }
    first = std::min(first, limited.quota.UntilNext(now, share));
    rate += limited.quota.RateOf(share);
  }
  if (rate == 0) {
    return Duration(0);
  }
  const std::chrono::duration<double> others(ahead / rate);
  return first + std::chrono::duration_cast<Duration>(others);
}

void CountRate(TimePoint now, ShardState& shard, uint32_t place) {
  const double share = RateShareOf(now, shard);
  for (RateLimitedUpstream& limited : shard.rate_limited) {
    if (limited.place == place) {
      limited.quota.OnStart(now, share);
    }
  }
}

void CountSend(TimePoint now, ShardState& shard, uint32_t place) {
  if (place < shard.cold_quotas.size()) {
    shard.cold_quotas[place].OnStart(now);
  }
  CountRate(now, shard, place);
}

}  // namespace basilsill
