#include "upstream_choice.h"

#include <algorithm>

#include <xxhash.h>

#include "shard_rate.h"

namespace basilsill {
namespace {

// One in this many requests goes to marked upstreams, so few that they don't
// affect the shard's 99th percentile.
constexpr uint32_t kStartsPerTrickle = 200;

// Time after which a marked upstream gets a request even if the service has too
// little traffic to reach that count.
constexpr Duration kQuietTrickle = std::chrono::seconds(10);

// Costs for the choice among free upstreams, one for each drawback. A higher
// cost outweighs all lower ones.
constexpr uint32_t kAllBusy = 256;
constexpr uint32_t kDoubtful = 512;
constexpr uint32_t kRamping = 1024;
constexpr uint32_t kCold = 1536;
constexpr uint32_t kRateLimited = 1536;
constexpr uint32_t kSlowNow = 3072;
constexpr uint32_t kAvoided = 6144;
constexpr uint32_t kSlow = 12288;
constexpr uint32_t kAhead = 24576;
constexpr uint32_t kNotFree = UINT32_MAX;

bool TrickleDue(TimePoint now,
                const ShardState& shard,
                const UpstreamSlots& upstream) {
  const bool rare = shard.starts_since_trickle >= kStartsPerTrickle ||
                    now - upstream.next_trickle >= kQuietTrickle;
  return upstream.busy == 0 && now >= upstream.next_trickle &&
         (upstream.recovering || rare || shard.open_slots == 0);
}

// A slow upstream runs one request at a time, as faster slots may soon be free.
// If many requests are queued, all of its slots are used, as slow slots are
// better than a long wait.
bool MayTakeSlow(const ShardState& shard, const UpstreamSlots& upstream) {
  return upstream.busy == 0 || 2 * shard.queued >= shard.open_slots;
}

bool MaySendAhead(TimePoint now, const UpstreamSlots& upstream) {
  return upstream.busy == upstream.slots && upstream.bulk == 0 &&
         upstream.ramp_left == 0 && upstream.no_ahead_until <= now &&
         upstream.health.grade() == UpstreamGrade::kFull &&
         !upstream.health.doubtful();
}

bool FitsBulk(const UpstreamSlots& upstream, const ChoiceOptions& options) {
  return options.traffic_class != TrafficClass::kBulk || !options.limit_bulk ||
         upstream.slots < 2 || upstream.bulk + 1 < upstream.slots;
}

// @returns the occupied slots. The upstream's own report counts too: while VMs
// disagree about the owner of the shard, another dispatcher may send there.
uint16_t BusySlots(TimePoint now, const ShardState& shard, uint32_t place) {
  const UpstreamSlots& upstream = shard.upstreams[place];
  if (place >= shard.speeds.size()) {
    return upstream.busy;
  }
  const uint16_t reported =
      std::min(shard.speeds[place].BusyAt(now), upstream.slots);
  return std::max(upstream.busy, reported);
}

// @returns the part of the cost that depends on the momentary speed.
uint32_t CostOfSpeed(TimePoint now,
                     const ShardState& shard,
                     uint32_t place,
                     const ChoiceOptions& options) {
  if (options.speed == SpeedRule::kIgnore) {
    return 0;
  }
  const ReportedSpeed& speed = shard.speeds[place];
  const SpeedGrade grade = speed.GradeAt(now);
  const bool may_be_fast =
      grade == SpeedGrade::kUnknown && IsRateScarce(now, shard, place);
  if (grade == SpeedGrade::kFast || may_be_fast) {
    return 0;
  }
  const bool is_out = options.speed == SpeedRule::kFastOnly ||
                      speed.IsSlowerThan(now, options.slowness_limit);
  return is_out ? kNotFree : kSlowNow;
}

// @returns true if the upstream is to be avoided because its rate limit lets it
// do less than its slots could. It still gets a request if nothing was sent
// there for long, so that the end of its limit is detected.
bool SparesRate(TimePoint now, const ShardState& shard, uint32_t place) {
  const RateLimitQuota* quota = FindRateLimit(shard, place);
  return quota != nullptr && IsRateScarce(now, shard, place) &&
         !quota->IsStale(now);
}

// @returns the cost of the upstream, which must have a free slot.
uint32_t CostOfFree(TimePoint now, const ShardState& shard, uint32_t place) {
  const UpstreamSlots& upstream = shard.upstreams[place];
  uint32_t cost = kAllBusy * BusySlots(now, shard, place) / upstream.slots;
  cost += upstream.cold ? kCold : 0;
  cost += SparesRate(now, shard, place) ? kRateLimited : 0;
  cost += upstream.health.doubtful() ? kDoubtful : 0;
  cost += upstream.ramp_left > 0 ? kRamping : 0;
  switch (upstream.health.grade()) {
    case UpstreamGrade::kFull:
      return cost;
    case UpstreamGrade::kSlow:
      return MayTakeSlow(shard, upstream) ? cost + kSlow : kNotFree;
    default:
      return TrickleDue(now, shard, upstream) ? 0 : kNotFree;
  }
}

uint32_t CostOf(TimePoint now,
                const ShardState& shard,
                uint32_t place,
                const ChoiceOptions& options) {
  const UpstreamSlots& upstream = shard.upstreams[place];
  if (!HasQuota(now, shard, place)) {
    return kNotFree;
  }
  const uint32_t avoided = place == options.avoid ? kAvoided : 0;
  const uint16_t open = OpenSlots(now, upstream);
  if (BusySlots(now, shard, place) < open && FitsBulk(upstream, options)) {
    const uint32_t cost = CostOfFree(now, shard, place);
    const uint32_t speed = CostOfSpeed(now, shard, place, options);
    const bool free = cost != kNotFree && speed != kNotFree;
    return free ? cost + speed + avoided : kNotFree;
  }
  return options.ahead && open > 0 && MaySendAhead(now, upstream) &&
                 !IsRateScarce(now, shard, place)
             ? kAhead + avoided
             : kNotFree;
}

}  // namespace

uint32_t PlaceOf(const ShardState& shard, UpstreamHandle handle) {
  const auto found = std::find_if(
      shard.upstreams.begin(), shard.upstreams.end(),
      [handle](const UpstreamSlots& up) { return up.handle == handle; });
  return found == shard.upstreams.end()
             ? kNoRow
             : static_cast<uint32_t>(found - shard.upstreams.begin());
}

bool TakesWork(TimePoint now, const UpstreamSlots& upstream) {
  return upstream.present && !upstream.leaving && !upstream.drained &&
         upstream.slots > 0 && upstream.leaving_until <= now;
}

bool WantsWork(TimePoint now, const UpstreamSlots& upstream) {
  return TakesWork(now, upstream) && upstream.rest_until <= now;
}

TimePoint FreeAt(const UpstreamSlots& upstream) {
  return std::max(upstream.paused_until, upstream.rest_until);
}

bool AcceptsNow(TimePoint now, const UpstreamSlots& upstream) {
  return TakesWork(now, upstream) && FreeAt(upstream) <= now;
}

bool HasQuota(TimePoint now, const ShardState& shard, uint32_t place) {
  const bool may_be_cold = place < shard.cold_quotas.size();
  return HasRateQuota(now, shard, place) &&
         (!may_be_cold ||
          shard.cold_quotas[place].MayStart(now, shard.reports_cold));
}

bool MayQueryLoad(TimePoint now, const ShardState& shard, uint32_t place) {
  return !IsRateScarce(now, shard, place) && HasRateQuota(now, shard, place);
}

uint16_t OpenSlots(TimePoint now, const UpstreamSlots& upstream) {
  if (!AcceptsNow(now, upstream) || upstream.isolated) {
    return 0;
  }
  return upstream.ramp_left > 0 ? 1 : upstream.slots;
}

void RecountSlots(TimePoint now, ShardState& shard) {
  shard.open_slots = 0;
  for (uint32_t place = 0; place < shard.upstreams.size(); ++place) {
    const UpstreamSlots& upstream = shard.upstreams[place];
    if (upstream.health.grade() == UpstreamGrade::kFull) {
      shard.open_slots +=
          SlotsWithinRate(now, shard, place, OpenSlots(now, upstream));
    }
  }
  shard.rate_bound = IsRateBound(now, shard);
}

void LiftPauses(TimePoint now, ShardState& shard) {
  for (UpstreamSlots& upstream : shard.upstreams) {
    upstream.paused_until = std::min(upstream.paused_until, now);
  }
  RecountSlots(now, shard);
}

void MarkReturned(TimePoint now, UpstreamSlots& upstream, bool ramp) {
  upstream.health.Reset();
  upstream.failures = 0;
  upstream.unreachable = false;
  upstream.paused_until = now;
  upstream.ramp_left = ramp ? kRampAnswers : 0;
}

bool HasUpstreamWithin(TimePoint now, const ShardState& shard, double limit) {
  for (size_t i = 0; i < shard.upstreams.size() && i < shard.speeds.size();
       ++i) {
    const auto place = static_cast<uint32_t>(i);
    const bool takes =
        WantsWork(now, shard.upstreams[i]) && HasRateQuota(now, shard, place);
    if (takes && !shard.speeds[i].IsSlowerThan(now, limit)) {
      return true;
    }
  }
  return false;
}

uint32_t PickUpstream(TimePoint now,
                      ShardState& shard,
                      const ChoiceOptions& options) {
  const auto count = static_cast<uint32_t>(shard.upstreams.size());
  uint32_t best = kNoRow;
  uint32_t best_cost = kNotFree;
  uint32_t place = shard.first_pick < count ? shard.first_pick : 0;
  for (uint32_t i = 0; i < count; ++i) {
    const uint32_t cost = CostOf(now, shard, place, options);
    if (cost < best_cost) {
      best_cost = cost;
      best = place;
    }
    place = place + 1 < count ? place + 1 : 0;
  }
  if (best != kNoRow) {
    shard.first_pick = best + 1;
  }
  return best;
}

bool IsCandidate(TimePoint now,
                 const ShardState& shard,
                 uint32_t place,
                 const ChoiceOptions& options) {
  ChoiceOptions any = options;
  any.speed = shard.speeds.empty() ? SpeedRule::kIgnore : SpeedRule::kPrefer;
  any.ahead = false;
  return CostOf(now, shard, place, any) != kNotFree;
}

uint32_t PickForIsolation(TimePoint now, const ShardState& shard) {
  uint32_t best = kNoRow;
  for (uint32_t i = 0; i < shard.upstreams.size(); ++i) {
    const UpstreamSlots& upstream = shard.upstreams[i];
    if (OpenSlots(now, upstream) > 0 && HasQuota(now, shard, i) &&
        (best == kNoRow || upstream.busy < shard.upstreams[best].busy)) {
      best = i;
    }
  }
  return best;
}

UpstreamKey KeyOf(const Endpoint& endpoint) {
  return XXH3_64bits_withSeed(endpoint.address.data(), endpoint.address.size(),
                              endpoint.port);
}

}  // namespace basilsill
