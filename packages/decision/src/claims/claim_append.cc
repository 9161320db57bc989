#include <algorithm>

#include "claim_table.h"

/// Appends to the log: group commit, with fair shares among teams.

namespace basilsill {
namespace {

constexpr size_t kMaxBatchRecords = 256;
constexpr size_t kMaxBatchBytes = 128 * 1024;

/// Limits StreamWork::released. Beyond it a retry may be refused as `unknown`
/// until the release has been read.
constexpr size_t kMaxReleasedUnread = 1024;

/// Delay before the records of an unanswered append are sent again. Reads may
/// show in this time that the append took effect.
constexpr Duration kUnresolvedRetryDelay = std::chrono::milliseconds(300);

}  // namespace

void ClaimTableImpl::Pump(TimePoint now) {
  this->PumpReads(now);
  this->PumpAppends(now);
}

void ClaimTableImpl::PumpAppends(TimePoint now) {
  while (now >= this->append_health.next_try() && !this->IsProbing() &&
         this->budget.HasToken(now)) {
    const std::optional<AppendTarget> target = this->ChooseAppend(now);
    if (!target) {
      return;
    }
    if (this->SendAppend(now, *target)) {
      this->budget.TryTake(now);
    }
  }
}

// While the log fails, one append at a time probes whether it has recovered.
bool ClaimTableImpl::IsProbing() const {
  return this->append_health.IsFailing() && !this->append_calls.empty();
}

bool ClaimTableImpl::CanAppend(TimePoint now, const StreamWork& work) const {
  return work.append_call == 0 && now >= work.append_after;
}

std::optional<ClaimTableImpl::AppendTarget> ClaimTableImpl::ChooseAppend(
    TimePoint now) {
  // Appends, too, are round-robin over teams: chooses the next team after that
  // of the last append, and of the team's streams the one whose first record is
  // due earliest.
  const bool half_full = this->budget.IsAtLeastHalfFull(now);
  std::optional<AppendTarget> best;
  TimePoint best_due;
  for (const auto& [stream, work] : this->streams) {
    if (!this->CanAppend(now, work)) {
      continue;
    }
    for (const auto& [team, queue] : work.append_queue.teams()) {
      const TimePoint due = queue.front().due;
      if (!half_full && due > now) {
        continue;
      }
      const auto turn = [this](TeamKey key) {
        return std::pair(key <= this->last_team, key);
      };
      if (!best ||
          std::pair(turn(team), due) < std::pair(turn(best->team), best_due)) {
        best = AppendTarget{stream, team};
        best_due = due;
      }
    }
  }
  return best;
}

bool ClaimTableImpl::SendAppend(TimePoint now, const AppendTarget& target) {
  StreamWork& work = this->streams.at(target.stream);
  const uint64_t id = ++this->last_call;
  AppendCall call{target.stream, now, {}, {}};
  ClaimAction action;
  action.kind = ClaimActionKind::kAppend;
  action.call = id;
  action.stream = NameOf(target.stream);
  size_t bytes = 0;
  work.append_queue.Take(target.team, [&](const QueuedClaimRecord& out) {
    if (action.records.size() >= kMaxBatchRecords || bytes >= kMaxBatchBytes) {
      return false;
    }
    this->AddToAppend(now, out, id, call, action);
    bytes += action.records.empty() ? 0 : action.records.back().size();
    return true;
  });
  this->last_team = target.team;
  if (action.records.empty()) {
    return false;
  }
  work.append_call = id;
  ++this->counts.appends;
  this->counts.records_sent += action.records.size();
  this->append_calls.emplace(id, std::move(call));
  this->pending_actions.push_back(std::move(action));
  return true;
}

void ClaimTableImpl::AddToAppend(TimePoint now,
                                 const QueuedClaimRecord& out,
                                 uint64_t id,
                                 AppendCall& call,
                                 ClaimAction& action) {
  if (WaitingClaim* waiting = this->waiting_claims.Find(out.claim)) {
    waiting->in_flight = id;
    action.records.push_back(this->EncodeClaim(now, *waiting));
    call.records.push_back(out);
  } else if (const UnrecordedEnd* unrecorded =
                 this->unrecorded_ends.Find(out.end)) {
    action.records.push_back(this->EncodeEnd(*unrecorded));
    call.records.push_back(out);
  }
}

std::string ClaimTableImpl::EncodeClaim(TimePoint now,
                                        const WaitingClaim& waiting) const {
  ClaimRecord record;
  record.kind = ClaimRecordKind::kClaim;
  record.key = waiting.id;
  record.attempt = waiting.request.attempt;
  record.body = waiting.request.body;
  record.vm = this->options.vm;
  const Duration left =
      std::min<Duration>(waiting.request.deadline - now, limits::kMaxDeadline);
  record.left = std::chrono::ceil<std::chrono::milliseconds>(left);
  return EncodeClaimRecord(record);
}

std::string ClaimTableImpl::EncodeEnd(const UnrecordedEnd& unrecorded) const {
  ClaimRecord record;
  record.kind = KindOf(unrecorded.end.outcome);
  record.key = unrecorded.id;
  record.attempt = unrecorded.end.attempt;
  record.body = unrecorded.end.body;
  record.vm = this->options.vm;
  record.answer = unrecorded.end.answer;
  return EncodeClaimRecord(record);
}

void ClaimTableImpl::OnAppend(TimePoint now,
                              uint64_t call,
                              AppendOutcome outcome) {
  const auto found = this->append_calls.find(call);
  if (found == this->append_calls.end()) {
    return;
  }
  const AppendCall answered = std::move(found->second);
  this->append_calls.erase(found);
  this->streams.at(answered.stream).append_call = 0;
  switch (outcome) {
    case AppendOutcome::kAppended:
      this->append_health.OnSuccess(now - answered.sent_at);
      this->OnAppended(answered);
      break;
    case AppendOutcome::kRejected:
      ++this->counts.appends_rejected;
      this->append_health.OnFailure(now);
      this->OnNotAppended(now, answered, false);
      break;
    case AppendOutcome::kUnresolved:
    case AppendOutcome::kCount:
      ++this->counts.appends_unresolved;
      this->append_health.OnFailure(now);
      this->OnNotAppended(now, answered, true);
      break;
  }
  this->Pump(now);
}

void ClaimTableImpl::OnAppended(const AppendCall& call) {
  for (const QueuedClaimRecord& out : call.records) {
    WaitingClaim* waiting = this->waiting_claims.Find(out.claim);
    if (waiting == nullptr) {
      this->TrackRelease(out.end);
      this->OnRecorded(out.end);
      continue;
    }
    waiting->in_flight = 0;
    waiting->may_be_in_log = true;
  }
}

void ClaimTableImpl::OnNotAppended(TimePoint now,
                                   const AppendCall& call,
                                   bool may_have_taken_effect) {
  StreamWork& work = this->streams.at(call.stream);
  if (may_have_taken_effect) {
    work.append_after = now + kUnresolvedRetryDelay;
  } else {
    for (const ClaimEndHandle release : call.releases) {
      this->EraseEnd(release);
    }
  }
  for (auto out = call.records.rbegin(); out != call.records.rend(); ++out) {
    this->Requeue(work, *out);
    if (WaitingClaim* waiting = this->waiting_claims.Find(out->claim)) {
      waiting->in_flight = 0;
      waiting->may_be_in_log |= may_have_taken_effect;
    }
  }
}

void ClaimTableImpl::Requeue(StreamWork& work, const QueuedClaimRecord& out) {
  if (const WaitingClaim* waiting = this->waiting_claims.Find(out.claim)) {
    work.append_queue.PushFront(waiting->id.team, out);
  } else if (const UnrecordedEnd* unrecorded =
                 this->unrecorded_ends.Find(out.end)) {
    work.append_queue.PushFront(unrecorded->id.team, out);
  }
}

// The claim looks live until its release has been read. A retry waits for the
// release instead of being refused as `unknown`.
void ClaimTableImpl::TrackRelease(ClaimEndHandle handle) {
  const UnrecordedEnd* unrecorded = this->unrecorded_ends.Find(handle);
  if (unrecorded == nullptr ||
      unrecorded->end.outcome != ClaimOutcome::kReleased) {
    return;
  }
  StreamWork& work = this->streams.at(unrecorded->stream);
  if (work.released.size() < kMaxReleasedUnread) {
    work.released.insert(unrecorded->end.attempt);
  }
}

void ClaimTableImpl::OnRecorded(ClaimEndHandle handle) {
  const UnrecordedEnd* unrecorded = this->unrecorded_ends.Find(handle);
  if (unrecorded == nullptr) {
    return;
  }
  if (unrecorded->notify) {
    ClaimAction action;
    action.kind = ClaimActionKind::kRecorded;
    action.cookie = unrecorded->end.cookie;
    action.attempt = unrecorded->end.attempt;
    this->pending_actions.push_back(std::move(action));
  }
  ++this->counts.recorded;
  this->EraseEnd(handle);
}

void ClaimTableImpl::EraseEnd(ClaimEndHandle handle) {
  if (const UnrecordedEnd* unrecorded = this->unrecorded_ends.Find(handle)) {
    this->end_of.erase(unrecorded->end.attempt);
    this->unrecorded_ends.Destroy(handle);
  }
}

}  // namespace basilsill
