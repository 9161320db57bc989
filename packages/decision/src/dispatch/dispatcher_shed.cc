#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "dispatcher_core.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

// When a caller may return after a shed, if nothing else is known.
constexpr Duration kRetryAfter = std::chrono::milliseconds(100);

// Bounds of that time while upstreams shed with free slots.
constexpr Duration kMinReturn = std::chrono::milliseconds(10);
constexpr Duration kMaxReturn = std::chrono::milliseconds(50);

// Part of the time that a request could wait before it starts, after which its
// caller may return. A caller may have to return twice, on a new connection
// each time, and has spent part of its time before this attempt.
constexpr int kReturnDivisor = 8;

// Jitter of a short return. Sheds spread returns over time by themselves.
constexpr uint32_t kReturnJitterPercent = 20;

// Shares of the allowed repeats that a request may not use while upstreams
// shed: for each more urgent class, and if it can't be in time.
constexpr double kReservedForClass = 0.1;
constexpr double kReservedFromLate = 0.5;

// Shortest time between two events of a shard.
constexpr Duration kShedCaseLogInterval = std::chrono::seconds(1);

Duration TypicalTime(const ShardState& shard, TrafficClass traffic_class) {
  const LatencyStats& stats = shard.stats[static_cast<size_t>(traffic_class)];
  return stats.known() ? stats.median() : Duration(0);
}

// @returns how long the request may wait before it starts and still be answered
// by its target, or by its deadline if it has no target; negative if it can't.
Duration TimeToStart(TimePoint now,
                     const ShardState& shard,
                     const RequestRow& request) {
  const DispatchRequest& spec = request.spec;
  const TimePoint good_until = spec.good_for == ShortMillis(0)
                                   ? spec.deadline
                                   : request.offered + spec.good_for;
  return good_until - now - TypicalTime(shard, spec.traffic_class);
}

// @returns the time until some upstream is neither paused nor rests.
Duration TimeUntilFree(TimePoint now, const ShardState& shard) {
  TimePoint soonest = kNever;
  for (const UpstreamSlots& upstream : shard.upstreams) {
    if (TakesWork(now, upstream)) {
      soonest = std::min(soonest, FreeAt(upstream));
    }
  }
  return soonest == kNever ? Duration(0) : soonest - now;
}

// @returns true if another upstream than `place` has a free slot.
bool HasFreeElsewhere(TimePoint now,
                      const ShardState& shard,
                      const DispatchRequest& spec,
                      uint32_t place) {
  ChoiceOptions choice;
  choice.traffic_class = spec.traffic_class;
  for (uint32_t i = 0; i < shard.upstreams.size(); ++i) {
    if (i != place && IsCandidate(now, shard, i, choice)) {
      return true;
    }
  }
  return false;
}

}  // namespace

void DispatcherCore::TrackShed(TimePoint now,
                               const AttemptRow& attempt,
                               const UpstreamLoad& load) {
  if (!this->options.features.shed_triage) {
    return;
  }
  ShardState& shard = this->shards.at(attempt.shard);
  if (!shard.sheds) {
    shard.sheds = this->TakeMonitor(now);
  }
  if (!shard.sheds) {
    return;
  }
  if (!shard.sheds->is_active()) {
    shard.sheds->Resize(shard.upstreams.size());
    shard.sheds->Begin();
    shard.sheds->OnLoad(now, attempt.upstream, load);
  }
  // The attempt still counts as busy.
  const UpstreamSlots& upstream = shard.upstreams[attempt.upstream];
  shard.sheds->OnShed(now, attempt.upstream, upstream.busy <= upstream.slots);
  shard.sheds->OnShedOf(now, attempt.traffic_class);
  this->UpdateShedCase(now, shard, attempt.upstream);
  ++this->counts.sheds[static_cast<size_t>(shard.shed_case())];
}

// @returns a monitor for a shard; null if all are in use. Shards without a
// monitor react to sheds as without the mechanism.
std::unique_ptr<ShedMonitor> DispatcherCore::TakeMonitor(TimePoint now) {
  if (!this->free_monitors.empty()) {
    std::unique_ptr<ShedMonitor> taken = std::move(this->free_monitors.back());
    this->free_monitors.pop_back();
    return taken;
  }
  for (uint32_t i = 0; i < this->shards.size(); ++i) {
    ShardState& shard = this->shards.at(i);
    if (shard.sheds && shard.sheds->IsOver(now)) {
      shard.sheds->End();
      return std::move(shard.sheds);
    }
  }
  return nullptr;
}

void DispatcherCore::UpdateShedCase(TimePoint now,
                                    ShardState& shard,
                                    uint32_t place) {
  const bool changed = shard.sheds->Update(now);
  const ShedCase shed_case = shard.shed_case();
  if (changed && shed_case == ShedCase::kWithRoom) {
    // Most pauses are because of sheds. A pause that is not begins again with
    // the next failure.
    for (UpstreamSlots& upstream : shard.upstreams) {
      upstream.failures = upstream.unreachable ? upstream.failures : 0;
    }
    LiftPauses(now, shard);
  }
  if (shed_case == shard.logged_shed_case ||
      now - shard.shed_case_logged_at < kShedCaseLogInterval) {
    return;
  }
  shard.logged_shed_case = shed_case;
  shard.shed_case_logged_at = now;
  this->RecordEvent(UpstreamEventKind::kShedCase, shard,
                    shard.upstreams[place]);
  this->emitted_events.back().shed_case = shed_case;
  this->emitted_events.back().shed_share = shard.sheds->ShareAt(now);
}

void DispatcherCore::ScanSheds(TimePoint now, ShardState& shard) {
  if (!shard.sheds || !shard.sheds->is_active() || shard.upstreams.empty()) {
    return;
  }
  this->UpdateShedCase(now, shard, 0);
  if (shard.sheds->IsOver(now) && shard.logged_shed_case == shard.shed_case()) {
    shard.sheds->End();
  }
}

// In an overload, a repeat is only useful if a slot is free and the answer can
// still be in time.
bool DispatcherCore::MayRepeatShed(TimePoint now,
                                   const RequestRow& request,
                                   const AttemptRow& attempt) const {
  const ShardState& shard = this->shards.at(request.shard);
  return shard.shed_case() != ShedCase::kOverload ||
         (TimeToStart(now, shard, request) > Duration(0) &&
          HasFreeElsewhere(now, shard, request.spec, attempt.upstream));
}

// While most upstreams shed, the repeats don't suffice for all requests.
// @returns the share of the allowed repeats that more valuable requests keep.
double DispatcherCore::ReservedRepeats(TimePoint now,
                                       const ShardState& shard,
                                       const RequestRow& request) {
  if (!shard.AllShed()) {
    return 0;
  }
  const size_t more_urgent =
      shard.sheds->CountMoreUrgent(now, request.spec.traffic_class);
  return TimeToStart(now, shard, request) < Duration(0)
             ? kReservedFromLate
             : kReservedForClass * static_cast<double>(more_urgent);
}

// @returns when the caller of a request that is refused may come back. If slots
// are free, that is soon, so that it is still in time. In an overload, it is
// not before a slot is expected to be free.
Duration DispatcherCore::ReturnAfter(TimePoint now,
                                     const ShardState& shard,
                                     const RequestRow& request,
                                     AttemptEnd end) {
  if (end != AttemptEnd::kShed) {
    return this->WithJitter(kRetryAfter);
  }
  if (shard.shed_case() == ShedCase::kOverload) {
    const Duration wait = std::max(
        TimeUntilFree(now, shard),
        this->ExpectedWait(now, shard, RingOf(request.queue), shard.queued));
    return this->WithJitter(std::max(wait, kRetryAfter));
  }
  const Duration left = TimeToStart(now, shard, request);
  if (shard.shed_case() != ShedCase::kWithRoom ||
      request.spec.good_for == ShortMillis(0) || left < kMinReturn) {
    return this->WithJitter(kRetryAfter);
  }
  return this->WithJitter(
      std::clamp(left / kReturnDivisor, kMinReturn, kMaxReturn),
      kReturnJitterPercent);
}

}  // namespace basilsill
