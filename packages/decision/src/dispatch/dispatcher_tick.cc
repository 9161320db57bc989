#include <algorithm>
#include <cmath>

#include "dispatcher_core.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

// Bounds of the interval between scans of a shard, which is half of the usual
// duration of its requests.
constexpr Duration kMinScan = std::chrono::milliseconds(1);
constexpr Duration kMaxScan = std::chrono::milliseconds(50);

// Tokens of the hedge budget that are reserved for requests on upstreams that
// are marked as slow.
constexpr double kTokensReservedForSlow = 1;

// A background request is queued as an ordinary one of its team after half of
// the time to its deadline.
constexpr int kPromotionDivisor = 2;

}  // namespace

TimePoint PromotionOf(const RequestRow& request) {
  if (request.spec.traffic_class != TrafficClass::kBackground ||
      request.queue != TrafficClass::kBackground ||
      request.state != RequestState::kWaiting ||
      request.spec.deadline == kNever) {
    return kNever;
  }
  const Duration total = request.spec.deadline - request.offered;
  return request.offered + total / kPromotionDivisor;
}

void DispatcherCore::Tick(TimePoint now) {
  while (!this->timers.empty() && this->timers.top().key <= now) {
    this->FireTimer(now, this->timers.top().row);
  }
  for (size_t i = this->active.size(); i > 0; --i) {
    const uint32_t row = this->active[i - 1];
    ShardState& shard = this->shards.at(row);
    if (shard.any_superseded) {
      this->EndSuperseded(now, row);
    }
    if (shard.queued + shard.busy + shard.suspects_queued == 0) {
      this->Deactivate(row);
    } else if (shard.next_scan <= now) {
      this->Scan(now, row);
    }
  }
}

// Ends the attempts at upstreams that have restarted.
//
// Failure: an upstream dies without a broken connection, for example behind a
// network partition, and restarts under the same id. The dispatcher waits for
// its attempts until they time out, although the platform's view shows that the
// process is gone. Symptom: requests end at their timeout after a restart of
// the upstream. So these attempts end as after a crash: requests that may run
// again are retried at once, others are refused at once. This happens one tick
// after the view, so that an answer that has already arrived is still read.
void DispatcherCore::EndSuperseded(TimePoint now, uint32_t shard_row) {
  this->shards.at(shard_row).any_superseded = false;
  std::vector<AttemptHandle> dead;
  for (const UpstreamSlots& upstream : this->shards.at(shard_row).upstreams) {
    for (uint32_t row = upstream.superseded ? upstream.running : kNoRow;
         row != kNoRow; row = this->Attempt(row).next) {
      dead.push_back(this->attempts.HandleAt(row));
    }
  }
  for (const AttemptHandle handle : dead) {
    const AttemptRow* attempt = this->attempts.Find(handle);
    if (attempt == nullptr ||
        this->Request(attempt->request.index).answer_started) {
      continue;
    }
    DispatchAction& action =
        this->Emit(DispatchActionKind::kCancel, attempt->request.index);
    action.attempt = handle;
    AttemptReport report;
    report.end = AttemptEnd::kDied;
    this->OnAttemptEnd(now, handle, report);
  }
}

void DispatcherCore::FireTimer(TimePoint now, uint32_t row) {
  const RequestRow& request = this->Request(row);
  if (request.spec.deadline > now) {
    if (request.state == RequestState::kRunning) {
      this->TryHedge(now, row);
    } else {
      this->Promote(row);
    }
    return;
  }
  const uint32_t shard = request.shard;
  const bool ran = request.state == RequestState::kRunning;
  const Duration wait =
      this->ExpectedWait(now, this->shards.at(shard), RingOf(request.queue),
                         this->shards.at(shard).queued);
  this->CancelAttempts(now, row, {});
  this->Refuse(
      row, {ran ? Refusal::kUpstreamTimeout : Refusal::kDeadlinePassedInQueue,
            this->WithJitter(wait)});
  this->Pump(now, shard);
}

void DispatcherCore::Promote(uint32_t row) {
  RequestRow& request = this->Request(row);
  ShardState& shard = this->shards.at(request.shard);
  this->queue.Remove(shard, row);
  request.queue = TrafficClass::kOrdinary;
  this->queue.Push(shard, row, false);
  this->SetTimer(row);
}

TimePoint DispatcherCore::HedgeTime(TimePoint now,
                                    const ShardState& shard,
                                    const RequestRow& request) const {
  const LatencyStats& stats =
      shard.stats[static_cast<size_t>(request.spec.traffic_class)];
  const bool alone = IsValid(request.running[0]) != IsValid(request.running[1]);
  if (!this->options.features.hedge || !request.spec.hedge ||
      !request.spec.idempotent || !request.spec.replayable || !stats.known() ||
      !alone || request.answer_started || request.is_withdrawn) {
    return kNever;
  }
  return now + stats.p95();
}

// Hedges a request that takes longer than nearly all others. While requests are
// queued, this is only done if the upstream is marked as slow.
void DispatcherCore::TryHedge(TimePoint now, uint32_t row) {
  RequestRow& request = this->Request(row);
  ShardState& shard = this->shards.at(request.shard);
  const uint32_t first = IsValid(request.running[0]) ? 0 : 1;
  const uint32_t place = this->Attempt(request.running[first].index).upstream;
  const bool rescue =
      shard.upstreams[place].health.grade() == UpstreamGrade::kSlow;
  const LatencyStats& stats =
      shard.stats[static_cast<size_t>(request.spec.traffic_class)];
  request.hedge_at = now + std::max(kMinScan, stats.median());
  ChoiceOptions choice;
  choice.traffic_class = request.spec.traffic_class;
  choice.avoid = place;
  this->SetSpeedOptions(now, shard, request, choice);
  LaneRow& lane = this->queue.lane(request.lane);
  const Ring& waiting =
      shard.rings[static_cast<size_t>(RingKind::kInteractive)];
  const bool slots_left = (rescue || waiting.queued == 0) && !shard.AllShed();
  const uint32_t other = slots_left && !this->IsSuspect(now, request)
                             ? PickUpstream(now, shard, choice)
                             : kNoRow;
  if (other == kNoRow || other == place || this->AttemptsLeft(request) == 0 ||
      !lane.hedge_budget.Take(rescue ? 0 : kTokensReservedForSlow) ||
      !this->TakeRepeat(now, shard)) {
    this->SetTimer(row);
    return;
  }
  ++this->counts.retries[static_cast<size_t>(Retry::kHedge)];
  this->Start(now, row, other, Retry::kHedge);
}

// Makes the hedges of all attempts at `upstream`, which was just marked as
// slow, due now.
void DispatcherCore::HedgeAttemptsOn(TimePoint now,
                                     const UpstreamSlots& upstream) {
  for (uint32_t row = upstream.running; row != kNoRow;
       row = this->Attempt(row).next) {
    const uint32_t request = this->Attempt(row).request.index;
    if (this->Request(request).hedge_at != kNever) {
      this->Request(request).hedge_at = now;
      this->SetTimer(request);
    }
  }
}

void DispatcherCore::Scan(TimePoint now, uint32_t row) {
  ShardState& shard = this->shards.at(row);
  const Duration slot_time =
      shard.rings[static_cast<size_t>(RingKind::kInteractive)].slot_time;
  const double decay_factor = EvidenceDecayFactor(now - shard.last_scan);
  shard.last_scan = now;
  shard.next_scan = now + std::clamp(slot_time / 2, kMinScan, kMaxScan);
  RecountSlots(now, shard);
  this->RecordEndedRests(now, shard);
  this->ScanSheds(now, shard);
  for (uint32_t i = 0; i < shard.upstreams.size(); ++i) {
    shard.upstreams[i].health.Decay(decay_factor);
    this->UpdateGrade(now, shard, i);
  }
  if (shard.queued + shard.suspects_queued > 0) {
    const Verdict verdict = this->CheckUsable(now, shard);
    if (verdict.refusal != Refusal::kNone) {
      this->CountNoticeRefusals(now, shard,
                                shard.queued + shard.suspects_queued);
      this->FlushWaiting(shard, verdict);
    }
    this->RefuseBeyondRate(now, shard);
  }
  this->Pump(now, row);
}

double DispatcherCore::RunningEvidence(TimePoint now,
                                       const ShardState& shard,
                                       const UpstreamSlots& upstream) const {
  if (!this->options.features.running_age) {
    return 0;
  }
  double evidence = 0;
  for (uint32_t row = upstream.running; row != kNoRow;) {
    const AttemptRow& attempt =
        *this->attempts.Find(this->attempts.HandleAt(row));
    evidence += this->EvidenceOf(now, shard, attempt);
    row = attempt.next;
  }
  return evidence;
}

double DispatcherCore::EvidenceOf(TimePoint now,
                                  const ShardState& shard,
                                  const AttemptRow& attempt) const {
  const LatencyStats& stats =
      shard.stats[static_cast<size_t>(attempt.traffic_class)];
  const Duration age = now - attempt.start;
  if (!this->options.features.straggler || !stats.known() ||
      age < 2 * stats.median()) {
    return 0;
  }
  const auto age_if_slow =
      std::chrono::duration_cast<Duration>(age / SlowFactor());
  return EvidenceOfAge(stats.ShareLongerThan(age),
                       stats.ShareLongerThan(age_if_slow));
}

void DispatcherCore::Deactivate(uint32_t row) {
  ShardState& shard = this->shards.at(row);
  const uint32_t last = this->active.back();
  this->active[shard.active_place] = last;
  this->shards.at(last).active_place = shard.active_place;
  this->active.pop_back();
  shard.active_place = kNoRow;
}

}  // namespace basilsill
