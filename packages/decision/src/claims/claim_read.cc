#include <algorithm>

#include "claim_table.h"

/// Reads from the log: the next records of each stream in use, and the stored
/// response of a single key.

namespace basilsill {
namespace {

constexpr size_t kMaxReadRecords = 256;

}  // namespace

void ClaimTableImpl::PumpReads(TimePoint now) {
  if (now < this->read_health.next_try()) {
    return;
  }
  for (auto& [stream, work] : this->streams) {
    const bool wanted = work.pinned || !work.waiting.empty();
    if (!wanted || work.read_call != 0) {
      continue;
    }
    ClaimAction action;
    action.kind = ClaimActionKind::kRead;
    action.call = ++this->last_call;
    action.stream = NameOf(stream);
    action.from = work.ledger.cursor();
    action.max = kMaxReadRecords;
    if (work.caught_up) {
      action.wait = std::chrono::duration_cast<std::chrono::milliseconds>(
          this->options.read_wait);
    }
    this->pending_actions.push_back(std::move(action));
    this->read_calls.emplace(this->last_call, ReadCall{stream});
    work.read_call = this->last_call;
  }
}

void ClaimTableImpl::OnRead(TimePoint now,
                            uint64_t call,
                            const ClaimRead& read) {
  const auto found = this->read_calls.find(call);
  if (found == this->read_calls.end()) {
    return;
  }
  const ReadCall answered = found->second;
  this->read_calls.erase(found);
  if (read.outcome == ReadOutcome::kFailed) {
    this->read_health.OnFailure(now);
  } else {
    this->read_health.OnSuccess(Duration::zero());
  }
  const auto work = this->streams.find(answered.stream);
  if (work != this->streams.end()) {
    if (answered.fetch) {
      this->OnFetched(now, answered, read);
    } else if (work->second.read_call == call) {
      work->second.read_call = 0;
      this->OnStreamRead(now, work->second, read);
    }
  }
  this->Pump(now);
}

void ClaimTableImpl::OnFetched(TimePoint now,
                               const ReadCall& call,
                               const ClaimRead& read) {
  StreamWork& work = this->streams.at(call.stream);
  std::optional<ClaimRecord> record;
  if (read.outcome == ReadOutcome::kRecords && !read.records.empty() &&
      read.records.front().offset == call.offset) {
    record = DecodeClaimRecord(read.records.front().body);
  }
  const std::vector<ClaimHandle> handles(work.waiting.begin(),
                                         work.waiting.end());
  for (const ClaimHandle handle : handles) {
    const WaitingClaim& waiting = *this->waiting_claims.Find(handle);
    const ClaimEvaluation evaluation = this->Evaluate(now, waiting);
    if (evaluation.decision != ClaimDecision::kFetch ||
        evaluation.offset != call.offset) {
      continue;
    }
    if (record && record->key == waiting.id) {
      this->Replay(handle, record->answer);
    } else if (read.outcome == ReadOutcome::kFailed) {
      this->Refuse(now, handle, Refusal::kClaimRunning);
    } else {
      const ClaimKeyState& state = *work.ledger.Find(waiting.id);
      this->Replay(handle, StoredResponse{state.status, false, {}, {}});
    }
  }
}

void ClaimTableImpl::OnStreamRead(TimePoint now,
                                  StreamWork& work,
                                  const ClaimRead& read) {
  work.last_used = now;
  if (read.outcome == ReadOutcome::kFailed) {
    work.caught_up = false;
    return;
  }
  const bool was_broken = work.ledger.IsBroken();
  const bool was_caught_up = work.caught_up;
  // Prevents refusals while the records are applied: a claim may be released by
  // a later record of the same read.
  work.caught_up = false;
  work.ledger.BeginRead(read);
  this->ApplyRecords(now, work, read);
  work.caught_up = work.ledger.cursor() >= read.end;
  this->EnforceKeyLimit(work);
  const bool broke = work.ledger.IsBroken() && !was_broken;
  if (broke) {
    ++this->counts.broken_streams;
  }
  if (broke || (work.caught_up && !(was_caught_up && read.records.empty()))) {
    this->DecideStream(now, work);
  }
}

void ClaimTableImpl::ApplyRecords(TimePoint now,
                                  StreamWork& work,
                                  const ClaimRead& read) {
  for (const LogRecord& entry : read.records) {
    if (!work.ledger.Expects(entry.offset)) {
      continue;
    }
    ++this->counts.records_read;
    const std::optional<ClaimRecord> record = DecodeClaimRecord(entry.body);
    if (!record) {
      ++this->counts.records_ignored;
      work.ledger.Skip(entry.offset);
      continue;
    }
    work.ledger.Apply(now, entry.offset, *record);
    if (record->kind == ClaimRecordKind::kReleased) {
      work.released.erase(record->attempt);
    }
    this->OnRecordApplied(now, *record);
  }
}

void ClaimTableImpl::OnRecordApplied(TimePoint now, const ClaimRecord& record) {
  const auto ended = this->end_of.find(record.attempt);
  if (ended != this->end_of.end()) {
    const ClaimEndHandle handle = ended->second;
    const UnrecordedEnd& unrecorded = *this->unrecorded_ends.Find(handle);
    if (KindOf(unrecorded.end.outcome) == record.kind) {
      this->OnRecorded(handle);
    } else if (unrecorded.end.outcome == ClaimOutcome::kReleased) {
      ++this->counts.read_after_abandonment;
    }
  }
  this->DecideKey(now, record.key);
}

void ClaimTableImpl::EnforceKeyLimit(StreamWork& work) {
  size_t keys = 0;
  for (const auto& [stream, other] : this->streams) {
    keys += other.ledger.size();
  }
  if (keys <= this->options.max_keys) {
    return;
  }
  std::erase_if(this->streams, [&](const auto& entry) {
    const StreamWork& other = entry.second;
    const bool idle = other.waiting.empty() && other.append_queue.empty() &&
                      !other.pinned && other.append_call == 0;
    keys -= idle ? other.ledger.size() : 0;
    return idle && &other != &work;
  });
  if (keys > this->options.max_keys) {
    work.ledger.DropKeys();
  }
}

}  // namespace basilsill
