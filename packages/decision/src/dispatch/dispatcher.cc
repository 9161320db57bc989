#include <algorithm>

#include "dispatcher_core.h"
#include "shard_rate.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

constexpr size_t kActionReserve = 256;
// Shards that may shed at the same time, and upstreams of a shard for which a
// monitor has memory from the start.
constexpr size_t kShedMonitors = 16;
constexpr size_t kMonitoredUpstreams = 32;

constexpr Duration kHandBackRetryAfter = std::chrono::milliseconds(10);
constexpr Duration kNoUpstreamRetryAfter = std::chrono::seconds(1);

// A shard counts as shared by several teams or classes for this long after two
// consecutive requests differed.
constexpr Duration kMixedTime = std::chrono::seconds(1);

DispatcherOptions WithNotices(DispatcherOptions options) {
  if (!options.notices) {
    options.notices = UpstreamNotices::Create({});
  }
  return options;
}

void TrackMix(TimePoint now, ShardState& shard, const RequestRow& request) {
  const bool differs = shard.last_lane != request.lane ||
                       shard.last_class != request.spec.traffic_class;
  if (differs && shard.last_lane != kNoRow) {
    shard.mixed_until = now + kMixedTime;
  }
  shard.last_lane = request.lane;
  shard.last_class = request.spec.traffic_class;
}

}  // namespace

std::unique_ptr<Dispatcher> Dispatcher::Create(
    const DispatcherOptions& options) {
  return std::make_unique<DispatcherCore>(options);
}

DispatcherCore::DispatcherCore(const DispatcherOptions& options)
    : options(WithNotices(options)),
      requests(options.max_requests),
      attempts(RequestRow::kMaxRunning * options.max_requests),
      shards({limits::kMaxShardsPerWorker, options.features.ramp,
              options.repeats.has_value(), options.cold_is_reported,
              this->options.notices}),
      queue(this->requests, options.max_requests + 1),
      random(options.seed) {
  this->timers.Reserve(options.max_requests);
  this->active.reserve(limits::kMaxShardsPerWorker);
  this->emitted_actions.reserve(kActionReserve);
  this->emitted_events.reserve(kActionReserve);
  for (size_t i = 0; i < kShedMonitors; ++i) {
    this->free_monitors.push_back(
        std::make_unique<ShedMonitor>(kMonitoredUpstreams));
  }
}

const std::vector<DispatchAction>& DispatcherCore::actions() const {
  return this->emitted_actions;
}

const std::vector<UpstreamEvent>& DispatcherCore::events() const {
  return this->emitted_events;
}

const DispatchCounters& DispatcherCore::counters() const {
  return this->counts;
}

void DispatcherCore::ClearActions() {
  this->emitted_actions.clear();
  this->emitted_events.clear();
}

void DispatcherCore::ApplyView(TimePoint now, const RoutingViewPtr& view) {
  this->shards.ApplyView(now, view);
  for (uint32_t i = 0; i < this->shards.size(); ++i) {
    this->ApplyReceivedLimits(now, this->shards.at(i));
  }
  for (size_t i = this->active.size(); i > 0; --i) {
    this->Pump(now, this->active[i - 1]);
  }
}

DispatchHandle DispatcherCore::Offer(TimePoint now,
                                     const DispatchRequest& request) {
  ++this->counts.offered;
  const bool is_new = this->shards.Find(request.shard) == kNoRow;
  const uint32_t shard_row = this->shards.Open(now, request.shard);
  if (shard_row == kNoRow) {
    this->RefuseOffer(request, {Refusal::kNoUpstream, kNoUpstreamRetryAfter});
    return {};
  }
  ShardState& shard = this->shards.at(shard_row);
  if (is_new) {
    this->ApplyReceivedLimits(now, shard);
    this->ApplyReach(now, shard);
  }
  const uint32_t lane = this->OpenLane(shard, request);
  Verdict verdict = this->Check(now, shard, lane, request);
  if (this->MakeRoom(now, shard, lane, request.traffic_class,
                     verdict.refusal)) {
    verdict = {};
  }
  if (verdict.refusal != Refusal::kNone) {
    this->CountNoticeRefusals(now, shard,
                              verdict.refusal == Refusal::kNoUpstream ? 1 : 0);
    this->RefuseOffer(request, verdict);
    return {};
  }
  RequestRow row;
  row.spec = request;
  row.shard = shard_row;
  row.lane = lane;
  row.offered = now;
  row.queue = this->options.features.fair_queue ? request.traffic_class
                                                : TrafficClass::kOrdinary;
  const DispatchHandle handle = this->requests.Create(row);
  this->queue.Enter(lane);
  shard.last_used = now;
  this->Activate(shard_row);
  this->TrackLoad(now, shard);
  TrackMix(now, shard, row);
  this->queue.Push(shard, handle.index, false);
  this->SetTimer(handle.index);
  this->Pump(now, shard_row);
  return this->requests.Contains(handle) ? handle : DispatchHandle{};
}

void DispatcherCore::Cancel(TimePoint now, DispatchHandle handle) {
  if (!this->requests.Contains(handle)) {
    return;
  }
  const uint32_t shard = this->Request(handle.index).shard;
  this->CancelAttempts(now, handle.index, {});
  this->EndRequest(handle.index);
  this->Pump(now, shard);
}

void DispatcherCore::Withdraw(TimePoint now, DispatchHandle handle) {
  if (!this->requests.Contains(handle)) {
    return;
  }
  RequestRow& request = this->Request(handle.index);
  request.is_withdrawn = true;
  if (request.state == RequestState::kRunning) {
    request.hedge_at = kNever;
    this->SetTimer(handle.index);
    return;
  }
  const uint32_t shard = request.shard;
  this->Refuse(handle.index, {Refusal::kShuttingDown, kHandBackRetryAfter});
  this->Pump(now, shard);
}

void DispatcherCore::HandBack(TimePoint) {
  this->handing_back = true;
  for (const uint32_t shard : this->active) {
    this->FlushWaiting(this->shards.at(shard),
                       {Refusal::kShuttingDown, kHandBackRetryAfter});
  }
}

void DispatcherCore::FlushWaiting(ShardState& shard, const Verdict& verdict) {
  while (shard.suspects.first != kNoRow) {
    this->Refuse(shard.suspects.first, verdict);
  }
  for (size_t ring = 0; ring < kRings; ++ring) {
    for (;;) {
      const uint32_t request =
          this->queue.Front(shard, static_cast<RingKind>(ring));
      if (request == kNoRow) {
        break;
      }
      this->Refuse(request, verdict);
    }
  }
}

ShardSummary DispatcherCore::Summarize(TimePoint now, ShardKey key) const {
  ShardSummary summary;
  summary.shard = key;
  const uint32_t row = this->shards.Find(key);
  if (row == kNoRow) {
    return summary;
  }
  const ShardState& shard = this->shards.at(row);
  const Ring& interactive =
      shard.rings[static_cast<size_t>(RingKind::kInteractive)];
  const Ring& bulk = shard.rings[static_cast<size_t>(RingKind::kBulk)];
  summary.slots =
      static_cast<uint16_t>(shard.rate_bound ? 1 : shard.open_slots);
  summary.busy = static_cast<uint16_t>(shard.busy);
  summary.queued = shard.queued;
  summary.service_time = interactive.slot_time;
  summary.wait = this->ExpectedWait(now, shard, RingKind::kInteractive,
                                    interactive.queued);
  summary.bulk_wait =
      this->ExpectedWait(now, shard, RingKind::kBulk, bulk.queued);
  return summary;
}

void DispatcherCore::RefuseOffer(const DispatchRequest& request,
                                 const Verdict& verdict) {
  DispatchAction action;
  action.kind = DispatchActionKind::kRefuse;
  action.cookie = request.cookie;
  action.refusal = verdict.refusal;
  action.retry_after = verdict.retry_after;
  this->emitted_actions.push_back(action);
  ++this->counts.refusals[static_cast<size_t>(verdict.refusal)];
}

void DispatcherCore::Refuse(uint32_t row, const Verdict& verdict) {
  // If an earlier attempt of the request may have run, the refusal must not
  // promise `not-run`.
  const bool is_false_promise =
      this->Request(row).maybe_ran &&
      InfoOf(verdict.refusal).promise == Promise::kNotRun;
  DispatchAction& action = this->Emit(DispatchActionKind::kRefuse, row);
  action.refusal = is_false_promise ? Refusal::kUpstreamDied : verdict.refusal;
  action.retry_after = verdict.retry_after;
  action.sends = this->Request(row).sends;
  ++this->counts.refusals[static_cast<size_t>(action.refusal)];
  this->EndRequest(row);
}

void DispatcherCore::EndRequest(uint32_t row) {
  RequestRow& request = this->Request(row);
  ShardState& shard = this->shards.at(request.shard);
  if (request.state == RequestState::kWaiting) {
    this->queue.Remove(shard, row);
  } else if (request.state == RequestState::kIsolated) {
    this->RemoveSuspect(shard, row);
  }
  this->timers.Remove(row, this->TimerPositions());
  this->queue.Leave(request.lane);
  this->requests.Destroy(this->requests.HandleAt(row));
}

void DispatcherCore::SetTimer(uint32_t row) {
  const RequestRow& request = this->Request(row);
  TimePoint due = request.answer_started ? kNever : request.spec.deadline;
  if (request.state == RequestState::kRunning) {
    due = std::min(due, request.hedge_at);
  } else {
    due = std::min(due, PromotionOf(request));
  }
  if (due == kNever) {
    this->timers.Remove(row, this->TimerPositions());
  } else {
    this->timers.Set(row, due, this->TimerPositions());
  }
}

RequestRow& DispatcherCore::Request(uint32_t row) {
  return *this->requests.Find(this->requests.HandleAt(row));
}

AttemptRow& DispatcherCore::Attempt(uint32_t row) {
  return *this->attempts.Find(this->attempts.HandleAt(row));
}

DispatchAction& DispatcherCore::Emit(DispatchActionKind kind, uint32_t row) {
  DispatchAction action;
  action.kind = kind;
  action.request = this->requests.HandleAt(row);
  action.cookie = this->Request(row).spec.cookie;
  this->emitted_actions.push_back(action);
  return this->emitted_actions.back();
}

void DispatcherCore::RecordEvent(UpstreamEventKind kind,
                                 const ShardState& shard,
                                 const UpstreamSlots& upstream,
                                 Fingerprint fingerprint) {
  this->emitted_events.push_back(
      {kind, shard.key, upstream.handle, fingerprint});
}

// Takes one repeat from this shard's share of the fleet-wide limit for the
// service.
// @param reserved Part of the share that must remain for other requests.
// @returns false if the share is used up.
bool DispatcherCore::TakeRepeat(TimePoint now,
                                ShardState& shard,
                                double reserved) {
  if (!this->options.repeats) {
    return true;
  }
  const RepeatShares& parts = *this->options.repeats;
  const bool is_settled =
      IsSettled(now, shard.first_since, parts.dispatchers.window);
  RepeatBudgetOptions part = is_settled ? parts.dispatchers : parts.unsettled;
  part.slack /= std::max<uint32_t>(1, shard.siblings);
  part.slack /= is_settled ? 1 : CountVms(*this->shards.view());
  return shard.repeats->Take(now, part, reserved);
}

void DispatcherCore::Activate(uint32_t row) {
  ShardState& shard = this->shards.at(row);
  if (shard.active_place == kNoRow) {
    shard.active_place = static_cast<uint32_t>(this->active.size());
    this->active.push_back(row);
  }
}

}  // namespace basilsill
