#include <algorithm>

#include "dispatcher_core.h"
#include "shard_rate.h"

namespace basilsill {

void DispatcherCore::LearnRateLimit(TimePoint now,
                                    TimePoint asked_at,
                                    ShardState& shard,
                                    uint32_t place,
                                    const ToldRateLimit& told) {
  auto& all = shard.rate_limited;
  auto found = std::find_if(
      all.begin(), all.end(),
      [place](const auto& limited) { return limited.place == place; });
  if (found == all.end()) {
    if (told.word != RateLimitWord::kNamed) {
      return;
    }
    found = all.insert(all.end(), {place, {}});
  }
  const UpstreamSlots& upstream = shard.upstreams[place];
  const RateLimitChange change = found->quota.OnTold(now, asked_at, told);
  if (change == RateLimitChange::kNamed) {
    this->Note(UpstreamEventKind::kRateLimited, shard, upstream);
    this->noticed.back().requests_per_second = found->quota.limit();
    RecountSlots(now, shard);
  } else if (change == RateLimitChange::kEnded) {
    this->Note(UpstreamEventKind::kRateLimitEnded, shard, upstream);
    all.erase(found);
    RecountSlots(now, shard);
  }
}

// Nothing else wakes a queue whose next request waits for an upstream's rate.
void DispatcherCore::WakeForRate(TimePoint now, ShardState& shard) {
  const double share = RateShareOf(now, shard);
  for (const RateLimitedUpstream& limited : shard.rate_limited) {
    const Duration wait = limited.quota.UntilNext(now, share);
    if (wait > Duration(0)) {
      shard.next_scan = std::min(shard.next_scan, now + wait);
    }
  }
}

// Limits come and fall while requests wait. Those that they leave no time for
// are told at once, the newest of whoever has most waiting first.
void DispatcherCore::RefuseBeyondRate(TimePoint now, ShardState& shard) {
  while (IsRateBound(shard)) {
    const uint32_t last = this->queue.NewestOfLongest(shard, 0);
    if (last == kNoRow) {
      return;
    }
    const Duration wait = WaitWithinRate(now, shard, shard.queued - 1);
    if (wait <= this->Request(last).spec.deadline - now) {
      return;
    }
    this->Refuse(last, {Refusal::kUpstreamRateLimit, this->WithJitter(wait)});
  }
}

}  // namespace basilsill
