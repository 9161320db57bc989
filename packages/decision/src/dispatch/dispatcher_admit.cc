#include <algorithm>

#include "dispatcher_core.h"
#include "shard_rate.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);
constexpr Duration kNoUpstreamRetryAfter = std::chrono::seconds(1);

// Requests are queued if an upstream's pause ends within this time. Otherwise
// it is better that the entry VM sends them elsewhere.
constexpr Duration kMaxPauseWaited = std::chrono::milliseconds(20);

// Consecutive failures after which an upstream counts as down.
constexpr uint8_t kFailuresInARow = 2;

// While no more than one in kReservedPart rows of the request table is free,
// only lanes with fewer than kFewRequests requests may add one, so that a flood
// from one team can't lock out the others.
constexpr size_t kReservedPart = 8;
constexpr uint32_t kFewRequests = 16;

constexpr int kPercent = 100;

// Early refusal allows for a wait that is longer than expected by this factor.
constexpr int kWaitPercent = 125;

// With fair queueing switched off, all requests share one lane.
constexpr TeamHandle kOneLane{};

}  // namespace

uint32_t DispatcherCore::OpenLane(const ShardState& shard,
                                  const DispatchRequest& request) {
  const RoutingView* view = this->shards.view();
  const TeamRow* team = FindTeam(*view, request.team);
  const uint32_t weight =
      team == nullptr ? 1 : std::max<uint32_t>(1, team->limits.weight);
  const bool fair = this->options.features.fair_queue;
  const uint32_t row =
      this->queue.Open(shard.serial, fair ? request.team : kOneLane, weight);
  LaneRow& lane = this->queue.lane(row);
  if (!lane.budgets_open) {
    lane.budgets_open = true;
    lane.retry_budget = RatioBudget::Create(this->options.retry_budget);
    lane.hedge_budget = RatioBudget::Create(this->options.hedge_budget);
  }
  return row;
}

DispatcherCore::Verdict DispatcherCore::Check(TimePoint now,
                                              const ShardState& shard,
                                              uint32_t lane,
                                              const DispatchRequest& request) {
  if (this->handing_back) {
    return {Refusal::kShuttingDown, kMinRetryAfter};
  }
  Verdict verdict = this->CheckUsable(now, shard);
  if (verdict.refusal == Refusal::kNone && this->options.quarantine) {
    const Duration refused =
        this->options.quarantine->RefusedFor(now, request.fingerprint);
    if (refused > Duration(0)) {
      return {Refusal::kQuarantined, refused};
    }
  }
  if (verdict.refusal == Refusal::kNone) {
    verdict = this->CheckWait(now, shard, lane, request);
  }
  if (verdict.refusal == Refusal::kNone) {
    verdict = this->CheckQueue(now, shard, lane, request.team);
  }
  return verdict;
}

// While all upstreams are failing, requests are not queued. One at a time is
// let through to each upstream that may be tried; the others are refused at
// once. If connections fail, the path of this VM may be lost, and another VM
// may reach the upstreams.
DispatcherCore::Verdict DispatcherCore::CheckUsable(TimePoint now,
                                                    const ShardState& shard) {
  TimePoint soonest = kNever;
  bool may_try = false;
  bool is_unreachable = false;
  for (const UpstreamSlots& upstream : shard.upstreams) {
    if (!TakesWork(now, upstream)) {
      continue;
    }
    const bool failing = upstream.failures >= kFailuresInARow;
    if (!failing && FreeAt(upstream) <= now + kMaxPauseWaited) {
      return {};
    }
    may_try |=
        AcceptsNow(now, upstream) && upstream.busy == 0 && shard.queued == 0;
    soonest = std::min(soonest, FreeAt(upstream));
    is_unreachable |= upstream.unreachable;
  }
  if (may_try) {
    return {};
  }
  const Duration retry_after =
      soonest == kNever ? kNoUpstreamRetryAfter : soonest - now;
  const Refusal refusal =
      is_unreachable ? Refusal::kUpstreamsUnreachable : Refusal::kNoUpstream;
  return {refusal, this->WithJitter(retry_after)};
}

DispatcherCore::Verdict DispatcherCore::CheckQueue(TimePoint now,
                                                   const ShardState& shard,
                                                   uint32_t lane_row,
                                                   TeamHandle team) {
  const LaneRow& lane = this->queue.lane(lane_row);
  const Duration wait =
      this->ExpectedWait(now, shard, RingKind::kInteractive, shard.queued);
  const Duration retry_after = this->WithJitter(wait);
  const TeamRow* row = FindTeam(*this->shards.view(), team);
  if (row != nullptr && lane.queued >= row->limits.queue) {
    return {Refusal::kTeamQueueLimit, retry_after};
  }
  const size_t free = this->requests.capacity() - this->requests.size();
  const bool reserved = free <= this->requests.capacity() / kReservedPart &&
                        lane.requests >= kFewRequests;
  if (free == 0 || reserved) {
    return {Refusal::kMemoryLimit, retry_after};
  }
  if (shard.queued >= this->options.max_queue_per_shard) {
    return {Refusal::kQueueFull, retry_after};
  }
  return {};
}

DispatcherCore::Verdict DispatcherCore::CheckWait(
    TimePoint now,
    const ShardState& shard,
    uint32_t lane,
    const DispatchRequest& request) {
  const TrafficClass traffic_class = request.traffic_class;
  const RingKind ring = RingOf(traffic_class);
  const uint32_t ahead = this->queue.CountAhead(shard, lane, ring);
  const Duration wait = this->ExpectedWait(now, shard, ring, ahead);
  if (wait > request.max_wait) {
    return {Refusal::kQueueFull, this->WithJitter(wait)};
  }
  // The wait can't turn out shorter than expected here, because rate limits,
  // which may be as low as one request in several seconds, determine it.
  if (shard.rate_bound && wait > request.deadline - now) {
    return {Refusal::kUpstreamRateLimit, this->WithJitter(wait)};
  }
  if (!this->options.features.early_refusal || wait == Duration(0) ||
      traffic_class == TrafficClass::kBackground) {
    return {};
  }
  const LatencyStats& stats = shard.stats[static_cast<size_t>(traffic_class)];
  const Duration needed = wait * kWaitPercent / 100 + stats.p95();
  if (stats.known() && needed > request.deadline - now) {
    return {shard.rate_bound ? Refusal::kUpstreamRateLimit
                             : Refusal::kDeadlineUnmeetable,
            this->WithJitter(wait)};
  }
  return {};
}

// Refuses a queued request in favour of a new one, so that one team can't lock
// out others, nor a team's less urgent requests its urgent ones. If the shard's
// queue is full, it refuses the newest request of the longest lane. If the
// team's queue is full, it refuses the team's newest request of a less urgent
// ring.
// @returns true if there is room now.
bool DispatcherCore::MakeRoom(TimePoint now,
                              ShardState& shard,
                              uint32_t lane,
                              TrafficClass traffic_class,
                              Refusal refusal) {
  uint32_t victim = kNoRow;
  if (refusal == Refusal::kTeamQueueLimit) {
    victim = this->queue.NewestAfter(lane, RingOf(traffic_class));
  } else if (refusal == Refusal::kQueueFull &&
             shard.queued >= this->options.max_queue_per_shard) {
    const uint32_t own = this->queue.lane(lane).queued;
    victim = this->queue.NewestOfLongest(shard, own + 1);
  }
  if (victim == kNoRow) {
    return false;
  }
  const Duration wait =
      this->ExpectedWait(now, shard, RingKind::kInteractive, shard.queued);
  this->Refuse(victim, {refusal, this->WithJitter(wait)});
  return true;
}

Duration DispatcherCore::ExpectedWait(TimePoint now,
                                      const ShardState& shard,
                                      RingKind ring,
                                      uint32_t ahead) const {
  if (shard.rate_bound) {
    return WaitWithinRate(now, shard, ahead);
  }
  const bool bulk = ring == RingKind::kBulk;
  const uint32_t slots = bulk ? this->CapOf(shard, ring) : shard.open_slots;
  const uint32_t busy =
      bulk ? shard.running[static_cast<size_t>(TrafficClass::kBulk)]
           : shard.busy;
  if (ahead == 0 && busy < slots) {
    return Duration(0);
  }
  const Duration slot_time = shard.rings[static_cast<size_t>(ring)].slot_time;
  return slot_time * (ahead + 1) / std::max<uint32_t>(1, slots);
}

Duration DispatcherCore::WithJitter(Duration duration) {
  return this->WithJitter(duration, kPercent / 2);
}

Duration DispatcherCore::WithJitter(Duration duration, uint32_t most_percent) {
  const int spread = static_cast<int>(this->random(most_percent + 1));
  return std::max(kMinRetryAfter, duration * (kPercent + spread) / kPercent);
}

}  // namespace basilsill
