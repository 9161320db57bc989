#include <algorithm>

#include "claim_table.h"

/// How records get into the log: group commit with fair shares among teams.

namespace basilsill {
namespace {

constexpr size_t kMaxBatchRecords = 256;
constexpr size_t kMaxBatchBytes = 128 * 1024;

/// Beyond it a resend may be told `unknown` until the release is read.
constexpr size_t kMaxReleasedUnread = 1024;

/// After a lost answer, reading may yet show the records; only then are they
/// appended again.
constexpr Duration kSettleDelay = std::chrono::milliseconds(300);

}  // namespace

void ClaimTableImpl::Pump(TimePoint now) {
  this->PumpReads(now);
  this->PumpAppends(now);
}

void ClaimTableImpl::PumpAppends(TimePoint now) {
  while (now >= this->append_health.next_try() && !this->IsProbing() &&
         this->budget.HasToken(now)) {
    const std::optional<Pick> pick = this->PickAppend(now);
    if (!pick) {
      return;
    }
    if (this->Flush(now, *pick)) {
      this->budget.TryTake(now);
    }
  }
}

// While the log fails, one append at a time finds out whether it still does.
bool ClaimTableImpl::IsProbing() const {
  return this->append_health.IsFailing() && !this->append_calls.empty();
}

bool ClaimTableImpl::IsFlushable(TimePoint now, const StreamWork& work) const {
  return work.append_call == 0 && now >= work.append_after;
}

std::optional<ClaimTableImpl::Pick> ClaimTableImpl::PickAppend(TimePoint now) {
  // Teams take turns for appends as they do for records: the next team after
  // the last one, and of its streams the one that has waited longest.
  const bool ample = this->budget.IsAmple(now);
  std::optional<Pick> best;
  TimePoint best_due;
  for (const auto& [stream, work] : this->streams) {
    if (!this->IsFlushable(now, work)) {
      continue;
    }
    for (const auto& [team, queue] : work.outbox.teams()) {
      const TimePoint due = queue.front().due;
      if (!ample && due > now) {
        continue;
      }
      const auto turn = [this](TeamKey key) {
        return std::pair(key <= this->last_team, key);
      };
      if (!best ||
          std::pair(turn(team), due) < std::pair(turn(best->team), best_due)) {
        best = Pick{stream, team};
        best_due = due;
      }
    }
  }
  return best;
}

bool ClaimTableImpl::Flush(TimePoint now, const Pick& pick) {
  StreamWork& work = this->streams.at(pick.stream);
  const uint64_t id = ++this->last_call;
  AppendCall call{pick.stream, now, {}, {}};
  ClaimAction action;
  action.kind = ClaimActionKind::kAppend;
  action.call = id;
  action.stream = NameOf(pick.stream);
  size_t bytes = 0;
  work.outbox.Take(pick.team, [&](const QueuedClaimRecord& out) {
    if (action.records.size() >= kMaxBatchRecords || bytes >= kMaxBatchBytes) {
      return false;
    }
    this->Carry(now, out, id, call, action);
    bytes += action.records.empty() ? 0 : action.records.back().size();
    return true;
  });
  this->last_team = pick.team;
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

void ClaimTableImpl::Carry(TimePoint now,
                           const QueuedClaimRecord& out,
                           uint64_t id,
                           AppendCall& call,
                           ClaimAction& action) {
  if (WaitingClaim* waiting = this->waiting_claims.Find(out.claim)) {
    waiting->in_flight = id;
    action.records.push_back(this->EncodeClaim(now, *waiting));
    call.records.push_back(out);
  } else if (const UnrecordedEnd* open = this->open_ends.Find(out.end)) {
    action.records.push_back(this->EncodeEnd(*open));
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

std::string ClaimTableImpl::EncodeEnd(const UnrecordedEnd& open) const {
  ClaimRecord record;
  record.kind = KindOf(open.end.outcome);
  record.key = open.id;
  record.attempt = open.end.attempt;
  record.body = open.end.body;
  record.vm = this->options.vm;
  record.answer = open.end.answer;
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
      this->NoteReleased(out.end);
      this->Recorded(out.end);
      continue;
    }
    waiting->in_flight = 0;
    waiting->may_be_in_log = true;
  }
}

void ClaimTableImpl::OnNotAppended(TimePoint now,
                                   const AppendCall& call,
                                   bool doubtful) {
  StreamWork& work = this->streams.at(call.stream);
  if (doubtful) {
    work.append_after = now + kSettleDelay;
  } else {
    for (const ClaimEndHandle release : call.releases) {
      this->EraseEnd(release);
    }
  }
  for (auto out = call.records.rbegin(); out != call.records.rend(); ++out) {
    this->Requeue(work, *out);
    if (WaitingClaim* waiting = this->waiting_claims.Find(out->claim)) {
      waiting->in_flight = 0;
      waiting->may_be_in_log |= doubtful;
    }
  }
}

void ClaimTableImpl::Requeue(StreamWork& work, const QueuedClaimRecord& out) {
  if (const WaitingClaim* waiting = this->waiting_claims.Find(out.claim)) {
    work.outbox.PushFront(waiting->id.team, out);
  } else if (const UnrecordedEnd* open = this->open_ends.Find(out.end)) {
    work.outbox.PushFront(open->id.team, out);
  }
}

// Until the release is read its claim still looks live; a resend waits for it
// instead of being told `unknown`.
void ClaimTableImpl::NoteReleased(ClaimEndHandle handle) {
  const UnrecordedEnd* open = this->open_ends.Find(handle);
  if (open == nullptr || open->end.outcome != ClaimOutcome::kReleased) {
    return;
  }
  StreamWork& work = this->streams.at(open->stream);
  if (work.released.size() < kMaxReleasedUnread) {
    work.released.insert(open->end.attempt);
  }
}

void ClaimTableImpl::Recorded(ClaimEndHandle handle) {
  const UnrecordedEnd* open = this->open_ends.Find(handle);
  if (open == nullptr) {
    return;
  }
  if (open->notify) {
    ClaimAction action;
    action.kind = ClaimActionKind::kRecorded;
    action.cookie = open->end.cookie;
    action.attempt = open->end.attempt;
    this->pending_actions.push_back(std::move(action));
  }
  ++this->counts.recorded;
  this->EraseEnd(handle);
}

void ClaimTableImpl::EraseEnd(ClaimEndHandle handle) {
  if (const UnrecordedEnd* open = this->open_ends.Find(handle)) {
    this->end_of.erase(open->end.attempt);
    this->open_ends.Destroy(handle);
  }
}

}  // namespace basilsill
