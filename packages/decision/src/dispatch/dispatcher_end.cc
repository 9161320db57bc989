#include <algorithm>
#include <cmath>

#include "dispatcher_core.h"
#include "shard_rate.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

constexpr uint8_t kMaxStarts = 3;
constexpr int kSlotTimeWeight = 64;  // Window of the moving mean, in requests.
constexpr uint16_t kServerError = 500;

// @returns true if the upstream ran the request and answered with a server
// error. Another upstream may succeed.
bool IsFailedAnswer(const AttemptReport& report) {
  return report.end == AttemptEnd::kAnswered && report.status >= kServerError &&
         !report.answer_started;
}

// @returns true if an attempt with this end may have run, at least in part.
bool MayHaveRun(AttemptEnd end) {
  return end != AttemptEnd::kShed && end != AttemptEnd::kConnectFailed &&
         end != AttemptEnd::kMisdirected;
}

constexpr std::array<std::string_view, static_cast<size_t>(AttemptEnd::kCount)>
    kEndNames = {"answered",  "shed",      "connect-failed", "died",
                 "timed-out", "malformed", "misdirected",    "cancelled"};

}  // namespace

std::string_view NameOf(AttemptEnd end) {
  return kEndNames.at(static_cast<size_t>(end));
}

Refusal RefusalOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kShed:
    case AttemptEnd::kMisdirected:
      return Refusal::kUpstreamShed;
    case AttemptEnd::kConnectFailed:
      return Refusal::kUpstreamConnectFailed;
    case AttemptEnd::kDied:
      return Refusal::kUpstreamDied;
    case AttemptEnd::kTimedOut:
      return Refusal::kUpstreamTimeout;
    case AttemptEnd::kMalformed:
      return Refusal::kUpstreamMalformed;
    case AttemptEnd::kCancelled:
      return Refusal::kCallerGone;
    case AttemptEnd::kAnswered:
    case AttemptEnd::kCount:
      break;
  }
  return Refusal::kNone;
}

void DispatcherCore::OnFirstByte(TimePoint now, AttemptHandle handle) {
  const AttemptRow* attempt = this->attempts.Find(handle);
  if (attempt == nullptr) {
    return;
  }
  const uint32_t row = attempt->request.index;
  const uint32_t shard = attempt->shard;
  const bool hedge = attempt->hedge;
  RequestRow& request = this->Request(row);
  if (request.answer_started) {
    return;
  }
  request.answer_started = true;
  request.hedge_at = kNever;
  this->counts.hedges_won += hedge ? 1 : 0;
  this->SetTimer(row);
  this->CancelAttempts(now, row, handle);
  this->Pump(now, shard);
}

bool DispatcherCore::OnAttemptEnd(TimePoint now,
                                  AttemptHandle handle,
                                  const AttemptReport& report) {
  const AttemptRow* found = this->attempts.Find(handle);
  if (found == nullptr) {
    // Already cancelled: another attempt or a refusal is the outcome.
    return true;
  }
  const AttemptRow attempt = *found;
  const uint32_t row = attempt.request.index;
  this->RecordAttemptEnd(now, attempt, report);
  this->Release(now, handle);
  RequestRow& request = this->Request(row);
  // Nothing was sent if the connection failed.
  request.sends -= report.end == AttemptEnd::kConnectFailed ? 1 : 0;
  if (IsFailedAnswer(report) && !request.answer_started &&
      this->RetryFailedAnswer(now, row, attempt, report)) {
    this->Pump(now, attempt.shard);
    return true;
  }
  // The header of a shed answer counts as a first byte, but the caller does not
  // get it.
  const bool shed = report.end == AttemptEnd::kShed;
  const bool started =
      report.answer_started || (request.answer_started && !shed);
  const bool final_end = started || report.end == AttemptEnd::kAnswered ||
                         report.end == AttemptEnd::kCancelled;
  if (final_end) {
    const bool won = report.end == AttemptEnd::kAnswered;
    this->counts.hedges_won +=
        won && attempt.hedge && !request.answer_started ? 1 : 0;
    this->CancelAttempts(now, row, {});
    this->EndRequest(row);
  } else {
    this->HandleFailedAttempt(now, row, attempt, report);
  }
  this->Pump(now, attempt.shard);
  return !final_end;
}

// Handles an attempt that ended without an answer: another attempt continues,
// the request is queued again, or it is refused.
void DispatcherCore::HandleFailedAttempt(TimePoint now,
                                         uint32_t row,
                                         const AttemptRow& attempt,
                                         const AttemptReport& report) {
  RequestRow& request = this->Request(row);
  request.maybe_ran |= report.may_have_run_before;
  const bool other_runs =
      IsValid(request.running[0]) || IsValid(request.running[1]);
  const bool timed_out = report.end == AttemptEnd::kTimedOut;
  if (other_runs && !timed_out) {
    request.maybe_ran |= MayHaveRun(report.end);
    return;
  }
  this->CancelAttempts(now, row, {});
  const Retry reason = this->DecideRetry(now, request, attempt, report);
  if (reason == Retry::kNone) {
    this->Refuse(row, this->VerdictOf(now, request, report.end));
    return;
  }
  request.answer_started = false;
  request.maybe_ran |= MayHaveRun(report.end);
  this->RequeueForRetry(row, attempt, reason);
}

// Handles an answer with a server error. The host keeps this answer in case no
// other attempt succeeds.
// @returns true if another attempt runs or the request is queued again.
bool DispatcherCore::RetryFailedAnswer(TimePoint now,
                                       uint32_t row,
                                       const AttemptRow& attempt,
                                       const AttemptReport& report) {
  RequestRow& request = this->Request(row);
  request.maybe_ran = true;
  if (request.spec.max_attempts == 0) {
    return false;
  }
  if (IsValid(request.running[0]) || IsValid(request.running[1])) {
    return true;
  }
  const Retry reason = this->DecideRetry(now, request, attempt, report);
  if (reason != Retry::kNone) {
    this->RequeueForRetry(row, attempt, reason);
  }
  return reason != Retry::kNone;
}

void DispatcherCore::RequeueForRetry(uint32_t row,
                                     const AttemptRow& attempt,
                                     Retry reason) {
  RequestRow& request = this->Request(row);
  request.avoid = attempt.upstream;
  request.next_retry = reason;
  this->queue.Push(this->shards.at(request.shard), row, true);
  this->SetTimer(row);
}

bool DispatcherCore::MaySendAgain(TimePoint now, AttemptHandle handle) {
  const AttemptRow* attempt = this->attempts.Find(handle);
  if (attempt == nullptr) {
    return false;
  }
  if (this->Request(attempt->request.index).is_withdrawn) {
    return false;
  }
  ShardState& shard = this->shards.at(attempt->shard);
  const uint32_t place = attempt->upstream;
  if (!WantsWork(now, shard.upstreams[place]) || !HasQuota(now, shard, place) ||
      !this->TakeRepeat(now, shard)) {
    return false;
  }
  CountSend(now, shard, place);
  return true;
}

// @returns how many more attempts the request may have.
uint8_t DispatcherCore::AttemptsLeft(const RequestRow& request) const {
  const uint8_t all = request.spec.max_attempts;
  if (all == 0) {
    return request.starts < kMaxStarts ? kMaxStarts - request.starts : 0;
  }
  const int sent = request.spec.sends + request.sends;
  return sent < all ? static_cast<uint8_t>(all - sent) : 0;
}

// If the request did not run and no upstream of the shard is usable, the
// refusal says so, so that the entry VM tries another shard (kNoUpstream) or
// another VM (kUpstreamsUnreachable).
DispatcherCore::Verdict DispatcherCore::VerdictOf(TimePoint now,
                                                  const RequestRow& request,
                                                  AttemptEnd end) {
  ShardState& shard = this->shards.at(request.shard);
  const Verdict own{RefusalOf(end),
                    this->ReturnAfter(now, shard, request, end)};
  if (MayHaveRun(end)) {
    return own;
  }
  Verdict elsewhere = this->CheckUsable(now, shard);
  if (this->handing_back) {
    elsewhere = {Refusal::kShuttingDown, own.retry_after};
  }
  // Other upstreams may be usable, but this request has no attempts left and
  // has reached none.
  if (elsewhere.refusal == Refusal::kNone && request.sends == 0 &&
      end == AttemptEnd::kConnectFailed) {
    elsewhere = {Refusal::kUpstreamsUnreachable, own.retry_after};
  }
  if (elsewhere.refusal == Refusal::kNone) {
    return own;
  }
  // The entry VM does not charge its own budget for trying another shard. If
  // the request was sent to an upstream here, that is a repeat, so this shard's
  // budget has to cover it.
  const bool may_repeat =
      request.sends == 0 ||
      this->TakeRepeat(now, shard, ReservedRepeats(now, shard, request));
  return may_repeat ? elsewhere : own;
}

// @returns the reason for a retry, or kNone if the request is not retried.
Retry DispatcherCore::DecideRetry(TimePoint now,
                                  const RequestRow& request,
                                  const AttemptRow& attempt,
                                  const AttemptReport& report) {
  const AttemptEnd end = report.end;
  Retry reason = Retry::kNone;
  if (end == AttemptEnd::kShed || end == AttemptEnd::kMisdirected) {
    reason = Retry::kShed;
  } else if (end == AttemptEnd::kConnectFailed) {
    reason = Retry::kConnectFailed;
  } else if (end == AttemptEnd::kDied || end == AttemptEnd::kMalformed) {
    reason = request.spec.idempotent ? Retry::kUpstreamDied
                                     : Retry::kDeniedNotIdempotent;
  } else if (IsFailedAnswer(report) && request.spec.idempotent &&
             request.spec.max_attempts > 0) {
    // Only for requests with a declared limit of attempts. Without one, the
    // caller gets a server error as the answer.
    reason = Retry::kUpstreamFailed;
  }
  // Another upstream would take the rest of the body for a complete one.
  const bool body_gone =
      !request.spec.replayable && end != AttemptEnd::kConnectFailed;
  if (body_gone && reason != Retry::kNone && !IsDenied(reason)) {
    reason = Retry::kDeniedBodyGone;
  }
  ShardState& shard = this->shards.at(request.shard);
  const bool usable = this->CheckUsable(now, shard).refusal == Refusal::kNone;
  // These two cases need no retry budget, as they can't amplify a failure. A
  // request that was sent ahead was shed because the dispatcher exceeded the
  // slots. A leaving upstream sheds only until the dispatcher knows about it.
  const bool free =
      end == AttemptEnd::kShed && (attempt.ahead || report.notice.leaving);
  const auto traffic_class = static_cast<size_t>(request.spec.traffic_class);
  const bool in_time =
      request.spec.deadline - now > shard.stats[traffic_class].median();
  const bool allowed = this->options.features.retry && !this->handing_back &&
                       !request.is_withdrawn && usable &&
                       (this->AttemptsLeft(request) > 0 ||
                        (free && request.spec.max_attempts == 0));
  if (reason == Retry::kNone || !allowed) {
    return Retry::kNone;
  }
  const double reserved = ReservedRepeats(now, shard, request);
  RatioBudget& team = this->queue.lane(request.lane).retry_budget;
  const double reserved_of_team = reserved * this->options.retry_budget.burst;
  if (!IsDenied(reason) && !in_time) {
    reason = Retry::kDeniedDeadline;
  } else if (!IsDenied(reason) && end == AttemptEnd::kShed && !free &&
             !this->MayRepeatShed(now, request, attempt)) {
    reason = Retry::kDeniedOverload;
  } else if (!IsDenied(reason) && ((!free && !team.Take(reserved_of_team)) ||
                                   !this->TakeRepeat(now, shard, reserved))) {
    reason = Retry::kDeniedBudget;
  }
  ++this->counts.retries[static_cast<size_t>(reason)];
  return IsDenied(reason) ? Retry::kNone : reason;
}

void DispatcherCore::Release(TimePoint now, AttemptHandle handle) {
  const AttemptRow attempt = this->Attempt(handle.index);
  ShardState& shard = this->shards.at(attempt.shard);
  UpstreamSlots& upstream = shard.upstreams[attempt.upstream];
  RequestRow& request = this->Request(attempt.request.index);
  this->TrackLoad(now, shard);
  uint32_t& before = attempt.previous != kNoRow
                         ? this->Attempt(attempt.previous).next
                         : upstream.running;
  before = attempt.next;
  if (attempt.next != kNoRow) {
    this->Attempt(attempt.next).previous = attempt.previous;
  }
  const auto traffic_class = static_cast<size_t>(attempt.traffic_class);
  --upstream.busy;
  --shard.busy;
  --shard.running[traffic_class];
  upstream.bulk -= attempt.traffic_class == TrafficClass::kBulk ? 1 : 0;
  const RingKind ring = RingOf(request.queue);
  Duration& slot_time = shard.rings[static_cast<size_t>(ring)].slot_time;
  const Duration took = now - attempt.start;
  this->queue.RecordSlotTime(request, took);
  slot_time +=
      slot_time == Duration(0) ? took : (took - slot_time) / kSlotTimeWeight;
  for (AttemptHandle& running : request.running) {
    running = running == handle ? AttemptHandle{} : running;
  }
  this->attempts.Destroy(handle);
  if (!attempt.ahead) {
    this->AdvanceAhead(now, upstream);
  }
}

// A slot became free, so an attempt that was sent ahead starts to run.
void DispatcherCore::AdvanceAhead(TimePoint now,
                                  const UpstreamSlots& upstream) {
  for (uint32_t row = upstream.running; row != kNoRow;
       row = this->Attempt(row).next) {
    AttemptRow& attempt = this->Attempt(row);
    if (attempt.ahead) {
      attempt.ahead = false;
      attempt.start = now;
      return;
    }
  }
}

void DispatcherCore::CancelAttempts(TimePoint now,
                                    uint32_t row,
                                    AttemptHandle except) {
  const auto running = this->Request(row).running;
  for (const AttemptHandle handle : running) {
    if (!IsValid(handle) || handle == except) {
      continue;
    }
    const AttemptRow attempt = this->Attempt(handle.index);
    ShardState& shard = this->shards.at(attempt.shard);
    UpstreamSlots& upstream = shard.upstreams[attempt.upstream];
    upstream.health.OnCancelled(this->EvidenceOf(now, shard, attempt));
    DispatchAction& action = this->Emit(DispatchActionKind::kCancel, row);
    action.attempt = handle;
    action.upstream = upstream.handle;
    this->Release(now, handle);
    this->UpdateGrade(now, shard, attempt.upstream);
  }
}

}  // namespace basilsill
