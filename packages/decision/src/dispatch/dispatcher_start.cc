#include <algorithm>
#include <cmath>

#include "dispatcher_core.h"
#include "shard_rate.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

constexpr size_t kBulkClass = static_cast<size_t>(TrafficClass::kBulk);
constexpr size_t kUrgentClass = static_cast<size_t>(TrafficClass::kUrgent);
constexpr size_t kOrdinaryClass = static_cast<size_t>(TrafficClass::kOrdinary);
constexpr size_t kBackgroundClass =
    static_cast<size_t>(TrafficClass::kBackground);

// A ring with queued requests gets a turn after this many starts of other
// rings, so that long downloads and background reads make progress under any
// load.
constexpr std::array<uint32_t, kRings> kStartsBeforeTurn = {0, 16, 64};

// Largest share of the slots that long requests may take.
constexpr double kLongShare = 0.5;

// Requests are long if they take this many times as long as interactive ones.
constexpr int kLongFactor = 3;

// Requests are sent ahead if the number of queued requests is at least that of
// open slots divided by this.
constexpr uint32_t kAheadDivisor = 4;

// Long requests leave enough slots to the others that the interactive load
// occupies at most this share of these slots.
constexpr double kInteractiveUse = 0.65;

// Time constant of the moving average of the interactive load.
constexpr std::chrono::duration<double> kLoadTime{1};

}  // namespace

void DispatcherCore::Pump(TimePoint now, uint32_t shard) {
  this->ServeSuspects(now, shard);
  while (this->StartNext(now, shard)) {
  }
}

bool DispatcherCore::StartNext(TimePoint now, uint32_t row) {
  ShardState& shard = this->shards.at(row);
  for (size_t i = kRings; i > 1; --i) {
    const Ring& ring = shard.rings[i - 1];
    const bool due = ring.passed_over >= kStartsBeforeTurn[i - 1];
    if (due && this->StartFrom(now, row, static_cast<RingKind>(i - 1))) {
      return true;
    }
  }
  for (size_t i = 0; i < kRings; ++i) {
    if (this->StartFrom(now, row, static_cast<RingKind>(i))) {
      return true;
    }
  }
  return false;
}

bool DispatcherCore::StartFrom(TimePoint now, uint32_t row, RingKind ring) {
  ShardState& shard = this->shards.at(row);
  uint32_t request = this->queue.Front(shard, ring);
  while (request != kNoRow && !this->CheckFront(now, shard, request)) {
    request = this->queue.Front(shard, ring);
  }
  if (request == kNoRow || !this->MayStart(shard, ring)) {
    return false;
  }
  const DispatchRequest& spec = this->Request(request).spec;
  ChoiceOptions choice;
  choice.traffic_class = spec.traffic_class;
  choice.avoid = this->Request(request).avoid;
  choice.limit_bulk = this->options.features.class_caps;
  choice.ahead = this->MaySendAhead(now, shard, ring);
  this->SetSpeedOptions(now, shard, this->Request(request), choice);
  const uint32_t upstream = PickUpstream(now, shard, choice);
  if (upstream == kNoRow) {
    this->HoldForRate(now, shard, request);
    this->QueryWarmthOfFree(now, shard);
    if (choice.speed != SpeedRule::kIgnore) {
      this->Hold(now, shard, request, choice);
    }
    return false;
  }
  if (this->HoldForIdle(now, shard, request, upstream, choice)) {
    return false;
  }
  this->queue.Pop(shard, ring);
  for (size_t i = 0; i < kRings; ++i) {
    Ring& other = shard.rings[i];
    const bool waits = other.queued > 0 && static_cast<RingKind>(i) != ring;
    other.passed_over = waits ? other.passed_over + 1 : 0;
  }
  this->Start(now, request, upstream, this->Request(request).next_retry);
  return true;
}

// A slot is idle while an answer and the next request are on the network. If
// the queue is long, one more request than the slots is sent to each upstream
// to fill that gap; it waits no longer there than here. A later request of
// another team or class would have to wait for it too, so this is only done
// while all recent requests are of one team and class.
bool DispatcherCore::MaySendAhead(TimePoint now,
                                  const ShardState& shard,
                                  RingKind ring) const {
  const uint32_t queued =
      shard.rings[static_cast<size_t>(RingKind::kInteractive)].queued;
  return this->options.features.send_ahead && ring == RingKind::kInteractive &&
         now >= shard.mixed_until && queued * kAheadDivisor >= shard.open_slots;
}

bool DispatcherCore::MayStart(const ShardState& shard, RingKind ring) const {
  if (ring == RingKind::kInteractive) {
    return true;
  }
  const size_t traffic_class =
      ring == RingKind::kBulk ? kBulkClass : kBackgroundClass;
  return shard.running[traffic_class] < this->CapOf(shard, ring);
}

// @returns the number of slots that requests of `ring` may hold. Long requests
// get what the interactive load leaves. As a download occupies its slot for a
// long time, the cap depends on the average load, not on the slots that are
// free now. Short requests need no cap, as their slots are free again soon.
uint32_t DispatcherCore::CapOf(const ShardState& shard, RingKind ring) const {
  const DispatcherFeatures& features = this->options.features;
  const Duration slot_time = shard.rings[static_cast<size_t>(ring)].slot_time;
  const Duration interactive =
      shard.rings[static_cast<size_t>(RingKind::kInteractive)].slot_time;
  const bool is_short =
      slot_time > Duration(0) && slot_time < kLongFactor * interactive;
  const uint32_t all = std::max<uint32_t>(1, shard.open_slots);
  if (!features.class_caps || is_short) {
    return all;
  }
  double cap = kLongShare * all;
  if (features.reserve) {
    cap = std::min(cap, all - shard.interactive_load / kInteractiveUse);
  }
  return static_cast<uint32_t>(std::max(1.0, cap));
}

// Refuses a request that is too late or quarantined.
// @returns true if it was refused.
bool DispatcherCore::RefuseIfUnservable(TimePoint now,
                                        ShardState& shard,
                                        uint32_t row) {
  const RequestRow& request = this->Request(row);
  const DispatchRequest& spec = request.spec;
  const LatencyStats& stats =
      shard.stats[static_cast<size_t>(spec.traffic_class)];
  const bool passed = spec.deadline <= now;
  const bool unmeetable = this->options.features.early_refusal &&
                          now > request.offered && stats.known() &&
                          spec.deadline - now < stats.median();
  if (passed || unmeetable) {
    const Duration wait =
        this->ExpectedWait(now, shard, RingOf(request.queue), shard.queued);
    this->Refuse(row, {passed ? Refusal::kDeadlinePassedInQueue
                              : Refusal::kDeadlineUnmeetable,
                       this->WithJitter(wait)});
    return true;
  }
  if (!this->options.quarantine) {
    return false;
  }
  const Duration refused =
      this->options.quarantine->RefusedFor(now, spec.fingerprint);
  if (refused > Duration(0)) {
    this->Refuse(row, {Refusal::kQuarantined, refused});
  }
  return refused > Duration(0);
}

// @returns true if the request may start now. Otherwise it has left its place
// in the queue: it was refused, moved to the background queue, or added to the
// suspects, which have to run alone.
bool DispatcherCore::CheckFront(TimePoint now,
                                ShardState& shard,
                                uint32_t row) {
  if (this->RefuseIfUnservable(now, shard, row) ||
      this->DeprioritizeIfLate(now, shard, row)) {
    return false;
  }
  if (!this->IsSuspect(now, this->Request(row))) {
    return true;
  }
  const uint32_t shard_row = this->Request(row).shard;
  this->queue.Remove(shard, row);
  this->AddSuspect(shard, row);
  this->ServeSuspects(now, shard_row);
  return false;
}

// Under overload, a queue in order of arrival makes every request late, so that
// the upstreams do no useful work. A request that can't meet its latency target
// any more therefore moves to the background queue, behind those that still
// can. If it would miss its deadline there, it is refused at once.
// @returns true if the request was moved or refused.
bool DispatcherCore::DeprioritizeIfLate(TimePoint now,
                                        ShardState& shard,
                                        uint32_t row) {
  RequestRow& request = this->Request(row);
  const DispatchRequest& spec = request.spec;
  const LatencyStats& stats =
      shard.stats[static_cast<size_t>(spec.traffic_class)];
  const Duration typical = stats.known() ? stats.median() : Duration(0);
  if (!this->options.features.late_behind || spec.good_for == ShortMillis(0) ||
      request.queue == TrafficClass::kBackground ||
      now + typical <= request.offered + spec.good_for) {
    return false;
  }
  const Ring& behind = shard.rings[static_cast<size_t>(RingKind::kBackground)];
  const Duration wait =
      this->ExpectedWait(now, shard, RingKind::kInteractive, behind.queued);
  if (now + wait + typical > spec.deadline) {
    this->Refuse(row, {Refusal::kDeadlineUnmeetable, this->WithJitter(wait)});
    return true;
  }
  this->queue.Remove(shard, row);
  request.queue = TrafficClass::kBackground;
  this->queue.Push(shard, row, false);
  this->SetTimer(row);
  return true;
}

bool DispatcherCore::IsSuspect(TimePoint now, const RequestRow& request) const {
  return this->options.features.isolation && this->options.quarantine &&
         this->options.quarantine->IsSuspect(now, request.spec.fingerprint);
}

void DispatcherCore::AddSuspect(ShardState& shard, uint32_t row) {
  RequestRow& request = this->Request(row);
  request.state = RequestState::kIsolated;
  request.previous = shard.suspects.last;
  request.next = kNoRow;
  if (shard.suspects.last != kNoRow) {
    this->Request(shard.suspects.last).next = row;
  } else {
    shard.suspects.first = row;
  }
  shard.suspects.last = row;
  ++shard.suspects_queued;
  this->SetTimer(row);
}

void DispatcherCore::RemoveSuspect(ShardState& shard, uint32_t row) {
  const RequestRow& request = this->Request(row);
  uint32_t& before = request.previous != kNoRow
                         ? this->Request(request.previous).next
                         : shard.suspects.first;
  before = request.next;
  uint32_t& after = request.next != kNoRow
                        ? this->Request(request.next).previous
                        : shard.suspects.last;
  after = request.previous;
  --shard.suspects_queued;
}

// Requests suspected of crashing an upstream run one at a time, on an upstream
// that runs nothing else. If that upstream crashes, the cause is certain, and
// no other request is lost.
void DispatcherCore::ServeSuspects(TimePoint now, uint32_t shard_row) {
  ShardState& shard = this->shards.at(shard_row);
  while (shard.suspects.first != kNoRow) {
    const uint32_t row = shard.suspects.first;
    if (this->RefuseIfUnservable(now, shard, row)) {
      continue;
    }
    if (!this->IsSuspect(now, this->Request(row))) {
      this->RemoveSuspect(shard, row);
      this->queue.Push(shard, row, true);
      this->SetTimer(row);
      continue;
    }
    if (shard.isolating != kNoRow &&
        !AcceptsNow(now, shard.upstreams[shard.isolating])) {
      this->EndIsolation(now, shard);
    }
    if (shard.isolating == kNoRow) {
      this->BeginIsolation(now, shard);
    }
    if (shard.isolating == kNoRow ||
        shard.upstreams[shard.isolating].busy > 0 ||
        !HasQuota(now, shard, shard.isolating)) {
      return;
    }
    this->RemoveSuspect(shard, row);
    this->Start(now, row, shard.isolating, this->Request(row).next_retry);
  }
  if (shard.isolating != kNoRow && shard.upstreams[shard.isolating].busy == 0) {
    this->EndIsolation(now, shard);
  }
}

void DispatcherCore::BeginIsolation(TimePoint now, ShardState& shard) {
  shard.isolating = PickForIsolation(now, shard);
  if (shard.isolating != kNoRow) {
    shard.upstreams[shard.isolating].isolated = true;
    RecountSlots(now, shard);
  }
}

void DispatcherCore::EndIsolation(TimePoint now, ShardState& shard) {
  shard.upstreams[shard.isolating].isolated = false;
  shard.isolating = kNoRow;
  RecountSlots(now, shard);
}

AttemptHandle DispatcherCore::Start(TimePoint now,
                                    uint32_t row,
                                    uint32_t place,
                                    Retry reason) {
  RequestRow& request = this->Request(row);
  ShardState& shard = this->shards.at(request.shard);
  UpstreamSlots& upstream = shard.upstreams[place];
  this->TrackLoad(now, shard);
  AttemptRow attempt;
  attempt.request = this->requests.HandleAt(row);
  attempt.shard = request.shard;
  attempt.upstream = place;
  attempt.next = upstream.running;
  attempt.start = now;
  attempt.traffic_class = request.spec.traffic_class;
  attempt.hedge = reason == Retry::kHedge;
  attempt.ahead = upstream.busy >= upstream.slots;
  attempt.typical = upstream.health.grade() == UpstreamGrade::kFull &&
                    upstream.ramp_left == 0;
  const AttemptHandle handle = this->attempts.Create(attempt);
  if (upstream.running != kNoRow) {
    this->Attempt(upstream.running).previous = handle.index;
  }
  upstream.running = handle.index;
  ++upstream.busy;
  ++shard.busy;
  ++shard.running[static_cast<size_t>(attempt.traffic_class)];
  upstream.bulk += attempt.traffic_class == TrafficClass::kBulk ? 1 : 0;
  CountSend(now, shard, place);
  if (shard.sheds && !attempt.ahead) {
    shard.sheds->OnSend(now, place);
  }
  if (place < shard.cold_quotas.size()) {
    this->QueryWarmth(now, shard, place);
  }
  ++shard.starts_since_trickle;
  if (upstream.health.grade() != UpstreamGrade::kFull) {
    shard.starts_since_trickle = 0;
  }
  auto& place_of_attempt =
      IsValid(request.running[0]) ? request.running[1] : request.running[0];
  place_of_attempt = handle;
  request.state = RequestState::kRunning;
  request.next_retry = Retry::kNone;
  this->RecordHold(now, shard, request);
  request.held_after = RequestRow::kNotHeld;
  ++request.sends;
  if (request.starts++ == 0) {
    // Budgets grow with first attempts, not with offered requests, most of
    // which may have been refused.
    LaneRow& lane = this->queue.lane(request.lane);
    if (this->options.repeats && request.spec.sends == 0) {
      shard.repeats->OnRequest(now, this->options.repeats->dispatchers);
    }
    lane.retry_budget.OnRequest(now, this->options.retry_budget);
    lane.hedge_budget.OnRequest(now, this->options.hedge_budget);
  }
  request.hedge_at = this->HedgeTime(now, shard, request);
  this->SetTimer(row);
  ++this->counts.attempts;
  DispatchAction& action = this->Emit(DispatchActionKind::kStart, row);
  action.attempt = handle;
  action.upstream = upstream.handle;
  action.retry = reason;
  action.rate_limited = FindRateLimit(shard, place) != nullptr;
  if (place < shard.speeds.size()) {
    action.slowness = shard.speeds[place].slowness();
    action.slowness_age = shard.speeds[place].AgeAt(now);
  }
  return handle;
}

void DispatcherCore::TrackLoad(TimePoint now, ShardState& shard) {
  const Ring& waiting =
      shard.rings[static_cast<size_t>(RingKind::kInteractive)];
  const double load = shard.running[kUrgentClass] +
                      shard.running[kOrdinaryClass] + waiting.queued;
  const double decay_factor = std::exp(-(now - shard.load_at) / kLoadTime);
  shard.interactive_load =
      load + (shard.interactive_load - load) * decay_factor;
  shard.load_at = now;
}

}  // namespace basilsill
