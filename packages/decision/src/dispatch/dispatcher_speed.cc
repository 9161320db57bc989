#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "dispatcher_core.h"
#include "shard_rate.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

// Most load queries in flight per shard. With a quarter of the upstreams slow
// at any moment, all of those queried are slow in 2 of 100 cases.
constexpr uint32_t kMaxLoadQueries = 3;

// Interval at which upstreams are queried again while a request is held.
constexpr Duration kHoldScan = std::chrono::milliseconds(10);

// Window of the moving mean of hold times, in requests.
constexpr int kHoldWeight = 16;

// An upstream with fewer slots than this never counts as crowded.
constexpr uint16_t kManySlots = 3;

// Assumed duration of a request before there are statistics.
constexpr Duration kTypicalTime = std::chrono::milliseconds(100);

// @returns true if one more request would take over half of the slots.
bool IsCrowded(const UpstreamSlots& upstream) {
  return upstream.slots >= kManySlots &&
         2 * (upstream.busy + 1) > upstream.slots + 1;
}

}  // namespace

SpeedRule DispatcherCore::SpeedRuleOf(TimePoint now,
                                      const ShardState& shard,
                                      const RequestRow& request) const {
  if (!this->options.features.speed || !shard.can_be_queried ||
      !shard.reports_speed) {
    return SpeedRule::kIgnore;
  }
  const LatencyStats& stats =
      shard.stats[static_cast<size_t>(request.spec.traffic_class)];
  const Duration typical = stats.known() ? stats.median() : kTypicalTime;
  const bool held_out =
      request.held_after != RequestRow::kNotHeld &&
      now - request.offered - request.held_after >= MaxHold(typical);
  const bool is_late = request.spec.deadline - now < 2 * typical;
  return held_out || is_late ? SpeedRule::kPrefer : SpeedRule::kFastOnly;
}

// The slowness limit also keeps a held request from querying upstreams that are
// too slow for it.
void DispatcherCore::SetSpeedOptions(TimePoint now,
                                     const ShardState& shard,
                                     const RequestRow& request,
                                     ChoiceOptions& choice) const {
  choice.speed = this->SpeedRuleOf(now, shard, request);
  if (choice.speed != SpeedRule::kIgnore &&
      this->options.features.slowness_limit) {
    choice.slowness_limit = SlownessLimitOf(now, shard, request.spec);
  }
}

// @returns the slowness above which an upstream can't answer by the deadline;
// infinity if it is unknown or if all upstreams are slower.
//
// Failure: one upstream is sixty times slower than usual and is the only one
// with a free slot, because no other request is started there. A request that
// was held for the maximum time was started on it anyway and ended at its
// deadline; one that must not run twice was lost. Symptom: attempts at
// upstreams of known slowness end at their deadlines. So such a request waits
// for the other upstreams, as long as there are any.
double DispatcherCore::SlownessLimitOf(TimePoint now,
                                       const ShardState& shard,
                                       const DispatchRequest& spec) {
  constexpr double none = std::numeric_limits<double>::infinity();
  const LatencyStats& stats =
      shard.stats[static_cast<size_t>(spec.traffic_class)];
  if (!stats.known() || spec.deadline == kNever ||
      stats.median() <= Duration(0)) {
    return none;
  }
  const double limit = std::chrono::duration<double>(spec.deadline - now) /
                       std::chrono::duration<double>(stats.median());
  return HasUpstreamWithin(now, shard, limit) ? limit : none;
}

// @returns true if a request that would be held is to go back to its entry VM.
//
// Failure: all upstreams in this data centre are slow, and a request is held
// until one of them is fast again, for longer than the round trip to another
// data centre takes. Symptom: requests wait for a large part of their latency
// target while upstreams elsewhere are idle, or start on a slow upstream after
// the maximum wait. So a request that may still move goes back to its entry VM
// at once if the wait that this VM expects elsewhere is shorter than the usual
// hold time here.
bool DispatcherCore::ShouldLeaveSlow(const ShardState& shard,
                                     const RequestRow& request) const {
  return this->options.features.leave_slow &&
         request.spec.max_wait != Duration::max() && request.starts == 0 &&
         shard.hold_time > request.spec.max_wait;
}

// Holds a request because no upstream that is known to be fast has a free slot.
// Upstreams that may be fast are queried; the request starts when one of them
// reports that it is.
void DispatcherCore::Hold(TimePoint now,
                          ShardState& shard,
                          uint32_t row,
                          const ChoiceOptions& choice) {
  RequestRow& request = this->Request(row);
  const auto count = static_cast<uint32_t>(shard.upstreams.size());
  auto queries = static_cast<uint32_t>(std::count_if(
      shard.speeds.begin(), shard.speeds.end(),
      [now](const ReportedSpeed& speed) { return speed.IsQueryPending(now); }));
  bool any = queries > 0;
  uint32_t place = shard.first_pick < count ? shard.first_pick : 0;
  for (uint32_t i = 0; i < count && queries < kMaxLoadQueries; ++i) {
    if (IsCandidate(now, shard, place, choice)) {
      any = true;
      if (shard.speeds[place].IsWorthQuerying(now) &&
          MayQueryLoad(now, shard, place)) {
        this->QueryLoad(now, shard, place);
        ++queries;
      }
    }
    place = place + 1 < count ? place + 1 : 0;
  }
  if (any && queries == 0 && this->ShouldLeaveSlow(shard, request)) {
    this->Refuse(row, {Refusal::kQueueFull, this->WithJitter(kHoldScan)});
    return;
  }
  if (any) {
    const auto after =
        std::chrono::duration_cast<ShortMillis>(now - request.offered);
    request.held_after = std::min(request.held_after, after);
    shard.next_scan = std::min(shard.next_scan, now + kHoldScan);
  }
}

void DispatcherCore::RecordHold(TimePoint now,
                                ShardState& shard,
                                const RequestRow& request) {
  if (request.held_after != RequestRow::kNotHeld) {
    const Duration held = now - request.offered - request.held_after;
    shard.hold_time += (held - shard.hold_time) / kHoldWeight;
  }
}

void DispatcherCore::QueryLoad(TimePoint now,
                               ShardState& shard,
                               uint32_t place) {
  shard.speeds[place].OnQuery(now);
  CountRate(now, shard, place);
  if (place < shard.cold_quotas.size()) {
    shard.cold_quotas[place].OnLoadQuery(now);
  }
  DispatchAction action;
  action.kind = DispatchActionKind::kQueryLoad;
  action.upstream = shard.upstreams[place].handle;
  action.rate_limited = FindRateLimit(shard, place) != nullptr;
  this->emitted_actions.push_back(action);
}

// @returns true if the request is held until idle upstreams have answered load
// queries.
//
// Failure: a few of many upstreams are known to be fast, and the speed of the
// others is unknown. All requests go to these few until they are full and slow,
// while the others are idle. Symptom: service times rise long before the
// service runs out of slots. So before a request is sent to a crowded upstream,
// idle ones are queried, which takes a round trip, and the request goes to one
// that reports that it is fast.
bool DispatcherCore::HoldForIdle(TimePoint now,
                                 ShardState& shard,
                                 uint32_t row,
                                 uint32_t chosen,
                                 const ChoiceOptions& choice) {
  if (!this->options.features.spread || choice.speed != SpeedRule::kFastOnly ||
      !IsCrowded(shard.upstreams[chosen])) {
    return false;
  }
  RequestRow& request = this->Request(row);
  const bool may_query = !std::exchange(request.idle_queried, true);
  const auto count = static_cast<uint32_t>(shard.upstreams.size());
  uint32_t queries = 0;
  uint32_t place = shard.first_pick < count ? shard.first_pick : 0;
  for (uint32_t i = 0; i < count && queries < kMaxLoadQueries; ++i) {
    const ReportedSpeed& speed = shard.speeds[place];
    const bool is_idle = !IsCrowded(shard.upstreams[place]) &&
                         IsCandidate(now, shard, place, choice);
    if (is_idle && may_query && speed.IsWorthQuerying(now) &&
        MayQueryLoad(now, shard, place)) {
      this->QueryLoad(now, shard, place);
    }
    queries += is_idle && speed.IsQueryPending(now) ? 1 : 0;
    place = place + 1 < count ? place + 1 : 0;
  }
  if (queries > 0) {
    shard.next_scan = std::min(shard.next_scan, now + kHoldScan);
  }
  return queries > 0;
}

// Queries an upstream that may be cold.
// @returns true if a query was sent.
bool DispatcherCore::QueryWarmth(TimePoint now,
                                 ShardState& shard,
                                 uint32_t place) {
  if (!shard.reports_cold || !shard.cold_quotas[place].IsLoadQueryUseful(now) ||
      !MayQueryLoad(now, shard, place)) {
    return false;
  }
  this->QueryLoad(now, shard, place);
  return true;
}

// Queries upstreams that have free slots but get no request because they may be
// cold. One that reports that it is warm gets the waiting request.
void DispatcherCore::QueryWarmthOfFree(TimePoint now, ShardState& shard) {
  uint32_t queries = 0;
  const auto count = static_cast<uint32_t>(shard.cold_quotas.size());
  for (uint32_t place = 0; place < count && queries < kMaxLoadQueries;
       ++place) {
    const UpstreamSlots& upstream = shard.upstreams[place];
    const bool has_room = upstream.busy < OpenSlots(now, upstream);
    queries += has_room && this->QueryWarmth(now, shard, place) ? 1 : 0;
  }
  if (queries > 0) {
    shard.next_scan = std::min(shard.next_scan, now + kHoldScan);
  }
}

void DispatcherCore::RecordLoadReport(TimePoint now,
                                      ShardState& shard,
                                      uint32_t place,
                                      const UpstreamLoad& load) {
  if (shard.sheds) {
    shard.sheds->OnLoad(now, place, load);
  }
  if (!load.known || place >= shard.speeds.size()) {
    return;
  }
  shard.reports_speed = load.reports_slowness;
  shard.speeds[place].OnLoad(now, load);
}

void DispatcherCore::OnLoadQueryEnd(TimePoint now,
                                    UpstreamHandle handle,
                                    const LoadQueryReport& report) {
  for (const uint32_t row : this->active) {
    ShardState& shard = this->shards.at(row);
    const uint32_t place = PlaceOf(shard, handle);
    if (place == kNoRow) {
      continue;
    }
    if (report.foreign) {
      this->RecordReplaced(now, shard, handle);
    }
    if (report.cold_for && !report.foreign &&
        place < shard.cold_quotas.size()) {
      shard.cold_quotas[place].OnColdTimeReported(now, *report.cold_for);
    }
    // If the answer to a load query advertises no rate limit, there may still
    // be one: answers to requests may advertise it.
    if (report.rate_limit.presence == RateLimitPresence::kNamed &&
        !report.foreign) {
      this->RecordRateLimit(now, now, shard, place, report.rate_limit);
    }
    if (report.load.known) {
      this->RecordLoadReport(now, shard, place, report.load);
    } else if (place < shard.speeds.size()) {
      shard.speeds[place].OnNoAnswer();
      shard.reports_speed = shard.reports_speed && !report.answered;
    }
    this->Pump(now, row);
    return;
  }
}

}  // namespace basilsill
