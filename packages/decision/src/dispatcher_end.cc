#include <algorithm>
#include <cmath>

#include "dispatcher_core.h"
#include "shard_rate.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

constexpr uint8_t kMaxStarts = 3;
constexpr int kSlotTimeWeight = 64;  // Requests in the moving mean.
constexpr Duration kRetryAfter = std::chrono::milliseconds(100);
constexpr uint16_t kServerError = 500;

// An upstream that answers so has run the request and failed; another one may
// do better.
bool IsFailedAnswer(const AttemptReport& report) {
  return report.end == AttemptEnd::kAnswered && report.status >= kServerError &&
         !report.answer_started;
}

// True if an attempt that ended so may have run, in part or whole.
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
    // Cancelled before: another attempt or a refusal is the outcome.
    return true;
  }
  const AttemptRow attempt = *found;
  const uint32_t row = attempt.request.index;
  this->RecordAttemptEnd(now, attempt, report);
  this->Release(now, handle);
  RequestRow& request = this->Request(row);
  // Nothing reached an upstream that could not be connected to.
  request.sends -= report.end == AttemptEnd::kConnectFailed ? 1 : 0;
  if (IsFailedAnswer(report) && !request.answer_started &&
      this->RetryFailedAnswer(now, row, attempt, report)) {
    this->Pump(now, attempt.shard);
    return true;
  }
  // The head of a shed answer is a first byte too, but none for the caller.
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

// An attempt ended without an answer: another one goes on, or the request
// waits again, or it is refused.
void DispatcherCore::HandleFailedAttempt(TimePoint now,
                                         uint32_t row,
                                         const AttemptRow& attempt,
                                         const AttemptReport& report) {
  RequestRow& request = this->Request(row);
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

// The shell keeps the failed answer, for when nothing better comes.
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
  ShardState& shard = this->shards.at(attempt->shard);
  const uint32_t place = attempt->upstream;
  if (!TakesWork(now, shard.upstreams[place]) || !HasQuota(now, shard, place) ||
      !this->TakeRepeat(now, shard)) {
    return false;
  }
  CountSend(now, shard, place);
  return true;
}

// @returns how many more upstreams may run the request.
uint8_t DispatcherCore::AttemptsLeft(const RequestRow& request) const {
  const uint8_t all = request.spec.max_attempts;
  if (all == 0) {
    return request.starts < kMaxStarts ? kMaxStarts - request.starts : 0;
  }
  const int sent = request.spec.sends + request.sends;
  return sent < all ? static_cast<uint8_t>(all - sent) : 0;
}

// With no upstream left the shard can't help a request that did not run, but
// another may: that is what kNoUpstream tells the entry VM.
DispatcherCore::Verdict DispatcherCore::VerdictOf(TimePoint now,
                                                  const RequestRow& request,
                                                  AttemptEnd end) {
  const Verdict own{RefusalOf(end), this->WithJitter(kRetryAfter)};
  if (MayHaveRun(end)) {
    return own;
  }
  ShardState& shard = this->shards.at(request.shard);
  Verdict elsewhere = this->CheckUsable(now, shard);
  if (this->handing_back) {
    elsewhere = {Refusal::kShuttingDown, own.retry_after};
  }
  if (elsewhere.refusal == Refusal::kNone) {
    return own;
  }
  // The entry VM goes on elsewhere at no cost to itself. What was sent here
  // makes that a repeat, which is paid for here or not made.
  const bool may_repeat = request.sends == 0 || this->TakeRepeat(now, shard);
  return may_repeat ? elsewhere : own;
}

// @returns why the request is tried again, or kNone if it is not.
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
    // Only where it is declared how many upstreams may see a request: others
    // take an answer of failure for the answer.
    reason = Retry::kUpstreamFailed;
  }
  // Sent on, the rest of a body would look like a whole one.
  const bool body_gone =
      !request.spec.replayable && end != AttemptEnd::kConnectFailed;
  if (body_gone && reason != Retry::kNone && !IsDenied(reason)) {
    reason = Retry::kDeniedBodyGone;
  }
  ShardState& shard = this->shards.at(request.shard);
  const bool usable = this->CheckUsable(now, shard).refusal == Refusal::kNone;
  // What was sent ahead of a free slot and refused is this side's own doing,
  // and an upstream that leaves refuses only until it is known to; neither
  // can amplify a failure.
  const bool free =
      end == AttemptEnd::kShed && (attempt.ahead || report.drain_sign);
  const auto traffic_class = static_cast<size_t>(request.spec.traffic_class);
  const bool in_time =
      request.spec.deadline - now > shard.stats[traffic_class].median();
  const bool allowed = this->options.features.retry && !this->handing_back &&
                       usable &&
                       (this->AttemptsLeft(request) > 0 ||
                        (free && request.spec.max_attempts == 0));
  if (reason == Retry::kNone || !allowed) {
    return Retry::kNone;
  }
  if (!IsDenied(reason) && !in_time) {
    reason = Retry::kDeniedDeadline;
  } else if (!IsDenied(reason) &&
             ((!free && !this->queue.lane(request.lane).retry_budget.Take()) ||
              !this->TakeRepeat(now, shard))) {
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
  this->queue.Learn(request, took);
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

// What was sent ahead begins to run when a slot is free.
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
