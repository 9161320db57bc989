#include <algorithm>

#include "claim_table.h"

/// Decides requests that wait for a grant by the known state of their key.

namespace basilsill {
namespace {

/// Retry delay for a caller whose request is still running.
constexpr Duration kRunningRetryAfter = std::chrono::seconds(1);

ClaimEvaluation RefuseWith(Refusal refusal) {
  return {ClaimDecision::kRefuse, refusal};
}

bool HasDifferentBody(const WaitingClaim& waiting, const Digest& body) {
  return waiting.request.body != body;
}

}  // namespace

ClaimEvaluation ClaimTableImpl::Evaluate(TimePoint now,
                                         const WaitingClaim& waiting) const {
  const StreamWork& work = this->streams.at(waiting.stream);
  const ClaimKeyState* state = work.ledger.Find(waiting.id);
  if (state == nullptr || state->phase == ClaimPhase::kFree) {
    return this->EvaluateFree(waiting, work, state);
  }
  if (state->phase == ClaimPhase::kClaimed) {
    return this->EvaluateClaimed(now, waiting, work, *state);
  }
  if (HasDifferentBody(waiting, state->body)) {
    return RefuseWith(Refusal::kKeyBodyMismatch);
  }
  if (state->phase == ClaimPhase::kUnknown) {
    return RefuseWith(Refusal::kClaimOutcomeUnknown);
  }
  return {ClaimDecision::kFetch, Refusal::kNone, nullptr, state->answer_offset};
}

ClaimEvaluation ClaimTableImpl::EvaluateFree(const WaitingClaim& waiting,
                                             const StreamWork& work,
                                             const ClaimKeyState* state) const {
  if (work.ledger.IsBroken()) {
    return RefuseWith(work.ledger.broken_reason());
  }
  if (state != nullptr && state->IsDead(waiting.request.attempt)) {
    return RefuseWith(Refusal::kClaimUnavailable);
  }
  if (waiting.queued || !work.caught_up) {
    return {};
  }
  const auto same_key = this->by_key.equal_range(waiting.id);
  const bool duplicate_queued =
      std::any_of(same_key.first, same_key.second, [this](const auto& entry) {
        return this->waiting_claims.Find(entry.second)->queued;
      });
  return duplicate_queued ? RefuseWith(Refusal::kClaimRunning)
                          : ClaimEvaluation{ClaimDecision::kClaim};
}

ClaimEvaluation ClaimTableImpl::EvaluateClaimed(
    TimePoint now,
    const WaitingClaim& waiting,
    const StreamWork& work,
    const ClaimKeyState& state) const {
  if (state.holder == waiting.request.attempt) {
    // Failure: the stream has a gap that may hide an older claim of this key.
    // The first claim among the records read need not be the first of the key.
    return work.ledger.IsBroken() ? RefuseWith(work.ledger.broken_reason())
                                  : ClaimEvaluation{ClaimDecision::kGrant};
  }
  const auto ended = this->end_of.find(state.holder);
  if (ended != this->end_of.end()) {
    return this->EvaluateEnded(waiting,
                               this->unrecorded_ends.Find(ended->second)->end);
  }
  const bool stale = !work.caught_up && !work.ledger.IsBroken();
  if (stale || work.released.contains(state.holder)) {
    return {};
  }
  if (HasDifferentBody(waiting, state.body)) {
    return RefuseWith(Refusal::kKeyBodyMismatch);
  }
  if (this->IsRunning(now, state)) {
    return RefuseWith(Refusal::kClaimRunning);
  }
  // Failure: the holder is paused, not dead. Although its deadline has passed
  // and its VM has left the membership list, it may resume and dispatch at any
  // time. A claim therefore never expires; only the holder can release it.
  return RefuseWith(Refusal::kClaimOutcomeUnknown);
}

ClaimEvaluation ClaimTableImpl::EvaluateEnded(const WaitingClaim& waiting,
                                              const ClaimEnd& end) const {
  if (end.outcome == ClaimOutcome::kReleased) {
    return {};
  }
  if (HasDifferentBody(waiting, end.body)) {
    return RefuseWith(Refusal::kKeyBodyMismatch);
  }
  if (end.outcome == ClaimOutcome::kUnknown) {
    return RefuseWith(Refusal::kClaimOutcomeUnknown);
  }
  return {ClaimDecision::kReplay, Refusal::kNone, &end.answer};
}

bool ClaimTableImpl::IsRunning(TimePoint now,
                               const ClaimKeyState& state) const {
  const bool alive = state.holder.origin == this->origin ||
                     this->live_origins.contains(state.holder.origin);
  return alive && now < state.running_until;
}

bool ClaimTableImpl::IsLogDown(TimePoint now) {
  const bool failing =
      this->append_health.IsFailing() || this->read_health.IsFailing();
  return failing &&
         !this->append_health.TakeProbe(now, this->options.retry_after);
}

// Estimates from the log's latency whether a claim queued now would be appended
// too late. With no append in flight the claim is sent in any case, which
// updates the latency.
bool ClaimTableImpl::WouldMissDeadline(TimePoint now,
                                       const WaitingClaim& waiting) const {
  if (this->append_calls.empty()) {
    return false;
  }
  // The claim has to wait for an append of its stream that is in flight.
  const bool behind = this->streams.at(waiting.stream).append_call != 0;
  const Duration needed = this->append_health.latency() * (behind ? 2 : 1);
  return now + needed > waiting.decide_by;
}

Refusal ClaimTableImpl::RefusalIfUndecided(TimePoint now,
                                           const WaitingClaim& waiting) const {
  const StreamWork& work = this->streams.at(waiting.stream);
  const ClaimKeyState* state = work.ledger.Find(waiting.id);
  if (state == nullptr || state->phase == ClaimPhase::kFree ||
      state->holder == waiting.request.attempt) {
    return Refusal::kClaimUnavailable;
  }
  if (state->phase == ClaimPhase::kUnknown) {
    return Refusal::kClaimOutcomeUnknown;
  }
  if (state->phase == ClaimPhase::kDone || this->IsRunning(now, *state)) {
    return Refusal::kClaimRunning;
  }
  return Refusal::kClaimOutcomeUnknown;
}

void ClaimTableImpl::Decide(TimePoint now, ClaimHandle handle) {
  const WaitingClaim* waiting = this->waiting_claims.Find(handle);
  if (waiting == nullptr) {
    return;
  }
  const ClaimEvaluation evaluation = this->Evaluate(now, *waiting);
  switch (evaluation.decision) {
    case ClaimDecision::kWait:
    case ClaimDecision::kCount:
      return;
    case ClaimDecision::kClaim:
      return this->WouldMissDeadline(now, *waiting)
                 ? this->Refuse(now, handle, Refusal::kClaimUnavailable)
                 : this->QueueClaim(now, handle);
    case ClaimDecision::kGrant:
      return this->Grant(handle);
    case ClaimDecision::kRefuse:
      return this->Refuse(now, handle, evaluation.refusal);
    case ClaimDecision::kReplay:
      return this->Replay(handle, *evaluation.answer);
    case ClaimDecision::kFetch:
      return this->Fetch(waiting->stream, evaluation.offset);
  }
}

void ClaimTableImpl::DecideKey(TimePoint now, const ClaimKeyId& key) {
  std::vector<ClaimHandle> handles;
  const auto same_key = this->by_key.equal_range(key);
  for (auto entry = same_key.first; entry != same_key.second; ++entry) {
    handles.push_back(entry->second);
  }
  std::sort(handles.begin(), handles.end());
  for (const ClaimHandle handle : handles) {
    this->Decide(now, handle);
  }
}

void ClaimTableImpl::DecideStream(TimePoint now, const StreamWork& work) {
  const std::vector<ClaimHandle> handles(work.waiting.begin(),
                                         work.waiting.end());
  for (const ClaimHandle handle : handles) {
    this->Decide(now, handle);
  }
}

void ClaimTableImpl::QueueClaim(TimePoint now, ClaimHandle handle) {
  WaitingClaim& waiting = *this->waiting_claims.Find(handle);
  waiting.queued = true;
  this->streams.at(waiting.stream)
      .append_queue.PushBack(waiting.id.team, {handle, {}, now, true});
}

void ClaimTableImpl::Grant(ClaimHandle handle) {
  const WaitingClaim& waiting = *this->waiting_claims.Find(handle);
  ClaimAction action;
  action.kind = ClaimActionKind::kGrant;
  action.cookie = waiting.request.cookie;
  action.attempt = waiting.request.attempt;
  this->pending_actions.push_back(std::move(action));
  ++this->counts.granted;
  this->EraseWaiting(handle);
}

void ClaimTableImpl::Refuse(TimePoint now,
                            ClaimHandle handle,
                            Refusal refusal) {
  const WaitingClaim waiting = *this->waiting_claims.Find(handle);
  this->EraseWaiting(handle);
  this->RefuseAtOnce(waiting.request, refusal);
  this->AbandonClaim(now, waiting);
}

void ClaimTableImpl::RefuseAtOnce(const ClaimRequest& request,
                                  Refusal refusal) {
  ClaimAction action;
  action.kind = ClaimActionKind::kRefuse;
  action.cookie = request.cookie;
  action.attempt = request.attempt;
  action.refusal = refusal;
  if (InfoOf(refusal).retry_after) {
    action.retry_after = refusal == Refusal::kClaimRunning
                             ? kRunningRetryAfter
                             : this->options.retry_after;
  }
  this->pending_actions.push_back(std::move(action));
  ++this->counts.refused;
}

void ClaimTableImpl::Replay(ClaimHandle handle, const StoredResponse& answer) {
  const WaitingClaim& waiting = *this->waiting_claims.Find(handle);
  ClaimAction action;
  action.kind = ClaimActionKind::kReplay;
  action.cookie = waiting.request.cookie;
  action.attempt = waiting.request.attempt;
  action.answer = answer;
  this->pending_actions.push_back(std::move(action));
  ++this->counts.replayed;
  this->EraseWaiting(handle);
}

void ClaimTableImpl::Fetch(const ClaimStream& stream, uint64_t offset) {
  const bool is_requested = std::any_of(
      this->read_calls.begin(), this->read_calls.end(), [&](const auto& entry) {
        const ReadCall& call = entry.second;
        return call.fetch && call.stream == stream && call.offset == offset;
      });
  if (is_requested) {
    return;
  }
  ClaimAction action;
  action.kind = ClaimActionKind::kRead;
  action.call = ++this->last_call;
  action.stream = NameOf(stream);
  action.from = offset;
  action.max = 1;
  this->pending_actions.push_back(std::move(action));
  this->read_calls.emplace(this->last_call, ReadCall{stream, true, offset});
}

void ClaimTableImpl::AbandonClaim(TimePoint now, const WaitingClaim& waiting) {
  if (waiting.in_flight == 0 && !waiting.may_be_in_log) {
    return;
  }
  const ClaimKeyState* state =
      this->streams.at(waiting.stream).ledger.Find(waiting.id);
  if (state != nullptr && state->IsDead(waiting.request.attempt)) {
    ++this->counts.lost;
    return;
  }
  ++this->counts.abandoned;
  // Failure: the append takes effect long after the caller got `not-run`. The
  // claim would then block the key permanently although nobody runs it. The
  // release invalidates it, whichever of the two comes first in the log.
  ClaimEnd end;
  end.key = waiting.request.key;
  end.body = waiting.request.body;
  end.attempt = waiting.request.attempt;
  end.outcome = ClaimOutcome::kReleased;
  const bool added = this->AddEnd(now, end, false);
  const auto call = this->append_calls.find(waiting.in_flight);
  if (added && !waiting.may_be_in_log && call != this->append_calls.end()) {
    call->second.releases.push_back(this->end_of.at(end.attempt));
  }
}

}  // namespace basilsill
