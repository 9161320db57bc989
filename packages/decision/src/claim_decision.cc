#include <algorithm>

#include "claim_table.h"

/// What becomes of a request that waits for a grant, given what is known of
/// its key.

namespace basilsill {
namespace {

/// When a caller may ask again about a request that is still running.
constexpr Duration kRunningRetryAfter = std::chrono::seconds(1);

ClaimEvaluation RefuseWith(Refusal refusal) {
  return {ClaimDecision::kRefuse, refusal};
}

bool HasOtherBody(const WaitingClaim& waiting, const Digest& body) {
  return waiting.request.body != body;
}

}  // namespace

ClaimEvaluation ClaimTableImpl::Judge(TimePoint now,
                                      const WaitingClaim& waiting) const {
  const StreamWork& work = this->streams.at(waiting.stream);
  const ClaimKeyState* state = work.ledger.Find(waiting.id);
  if (state == nullptr || state->phase == ClaimPhase::kFree) {
    return this->JudgeFree(waiting, work, state);
  }
  if (state->phase == ClaimPhase::kClaimed) {
    return this->JudgeClaimed(now, waiting, work, *state);
  }
  if (HasOtherBody(waiting, state->body)) {
    return RefuseWith(Refusal::kKeyBodyMismatch);
  }
  if (state->phase == ClaimPhase::kUnknown) {
    return RefuseWith(Refusal::kClaimOutcomeUnknown);
  }
  return {ClaimDecision::kFetch, Refusal::kNone, nullptr, state->answer_offset};
}

ClaimEvaluation ClaimTableImpl::JudgeFree(const WaitingClaim& waiting,
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
  const bool rival =
      std::any_of(same_key.first, same_key.second, [this](const auto& entry) {
        return this->waiting_claims.Find(entry.second)->queued;
      });
  return rival ? RefuseWith(Refusal::kClaimRunning)
               : ClaimEvaluation{ClaimDecision::kClaim};
}

ClaimEvaluation ClaimTableImpl::JudgeClaimed(TimePoint now,
                                             const WaitingClaim& waiting,
                                             const StreamWork& work,
                                             const ClaimKeyState& state) const {
  if (state.holder == waiting.request.attempt) {
    // Failure: the stream has a gap, in which an older claim of this key may
    // have stood. Being first among the records seen proves nothing then.
    return work.ledger.IsBroken() ? RefuseWith(work.ledger.broken_reason())
                                  : ClaimEvaluation{ClaimDecision::kGrant};
  }
  const auto ended = this->end_of.find(state.holder);
  if (ended != this->end_of.end()) {
    return this->JudgeEnded(waiting, this->open_ends.Find(ended->second)->end);
  }
  const bool stale = !work.caught_up && !work.ledger.IsBroken();
  if (stale || work.released.contains(state.holder)) {
    return {};
  }
  if (HasOtherBody(waiting, state.body)) {
    return RefuseWith(Refusal::kKeyBodyMismatch);
  }
  if (this->IsRunning(now, state)) {
    return RefuseWith(Refusal::kClaimRunning);
  }
  // Failure: the holder is paused, not dead. Its deadline passed and its VM
  // is gone from the list, yet it may go on and dispatch at any time; so the
  // key never becomes free by waiting, only by the holder's own release.
  return RefuseWith(Refusal::kClaimOutcomeUnknown);
}

ClaimEvaluation ClaimTableImpl::JudgeEnded(const WaitingClaim& waiting,
                                           const ClaimEnd& end) const {
  if (end.outcome == ClaimOutcome::kReleased) {
    return {};
  }
  if (HasOtherBody(waiting, end.body)) {
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

// Whether a claim queued now would be in the log too late, as slow as the log
// is. With nothing in flight the claim goes out and finds out.
bool ClaimTableImpl::IsOutpaced(TimePoint now,
                                const WaitingClaim& waiting) const {
  if (this->append_calls.empty()) {
    return false;
  }
  // With an append of its stream in flight the claim goes out after it.
  const bool behind = this->streams.at(waiting.stream).append_call != 0;
  const Duration needed = this->append_health.latency() * (behind ? 2 : 1);
  return now + needed > waiting.decide_by;
}

Refusal ClaimTableImpl::LateRefusal(TimePoint now,
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
  const ClaimEvaluation judgement = this->Judge(now, *waiting);
  switch (judgement.decision) {
    case ClaimDecision::kWait:
    case ClaimDecision::kCount:
      return;
    case ClaimDecision::kClaim:
      return this->IsOutpaced(now, *waiting)
                 ? this->Refuse(now, handle, Refusal::kClaimUnavailable)
                 : this->QueueClaim(now, handle);
    case ClaimDecision::kGrant:
      return this->Grant(handle);
    case ClaimDecision::kRefuse:
      return this->Refuse(now, handle, judgement.refusal);
    case ClaimDecision::kReplay:
      return this->Replay(handle, *judgement.answer);
    case ClaimDecision::kFetch:
      return this->Fetch(waiting->stream, judgement.offset);
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
      .outbox.PushBack(waiting.id.team, {handle, {}, now, true});
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
  this->GiveUp(now, waiting);
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
  const bool asked = std::any_of(
      this->read_calls.begin(), this->read_calls.end(), [&](const auto& entry) {
        const ReadCall& call = entry.second;
        return call.fetch && call.stream == stream && call.offset == offset;
      });
  if (asked) {
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

void ClaimTableImpl::GiveUp(TimePoint now, const WaitingClaim& waiting) {
  if (waiting.in_flight == 0 && !waiting.may_be_in_log) {
    return;
  }
  const ClaimKeyState* state =
      this->streams.at(waiting.stream).ledger.Find(waiting.id);
  if (state != nullptr && state->IsDead(waiting.request.attempt)) {
    ++this->counts.lost;
    return;
  }
  ++this->counts.given_up;
  // Failure: the append takes effect long after the caller was told
  // `not-run`. The claim would then hold the key for ever though nobody runs
  // it. Its release makes it dead, in whichever order the two land.
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
