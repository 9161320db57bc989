#include "claim_ledger.h"

#include <algorithm>

namespace basilsill {
namespace {

void AddDead(ClaimKeyState& state, const ClaimAttempt& attempt) {
  if (state.IsDead(attempt)) {
    return;
  }
  if (state.dead.size() == ClaimLedger::kMaxDead) {
    state.dead.erase(state.dead.begin());
  }
  state.dead.push_back(attempt);
}

bool IsHeldBy(const ClaimKeyState& state, const ClaimAttempt& attempt) {
  return state.phase == ClaimPhase::kClaimed && state.holder == attempt;
}

}  // namespace

bool ClaimKeyState::IsDead(const ClaimAttempt& attempt) const {
  return std::find(this->dead.begin(), this->dead.end(), attempt) !=
         this->dead.end();
}

const ClaimKeyState* ClaimLedger::Find(const ClaimKeyId& key) const {
  const auto found = this->keys.find(key);
  return found == this->keys.end() ? nullptr : &found->second;
}

void ClaimLedger::BeginRead(const ClaimRead& read) {
  // Failure: records were trimmed before this VM read them, or the stream is
  // shorter than before. The missing records may include a claim; granting its
  // key to another attempt would run the request twice. A gap shows as a first
  // offset above the cursor, even if the stream is empty now, so this check
  // depends neither on a clock nor on the retention time.
  if (read.first > this->next_offset) {
    this->Break(Refusal::kKeyExpired);
    this->next_offset = read.first;
  }
  if (read.outcome == ReadOutcome::kBeyondEnd) {
    this->Break(Refusal::kKeyExpired);
    this->next_offset = read.end;
  }
}

bool ClaimLedger::Expects(uint64_t offset) {
  if (offset > this->next_offset) {
    this->Break(Refusal::kKeyExpired);
    this->next_offset = offset;
  }
  return offset == this->next_offset;
}

void ClaimLedger::Apply(TimePoint now,
                        uint64_t offset,
                        const ClaimRecord& record) {
  this->next_offset = offset + 1;
  switch (record.kind) {
    case ClaimRecordKind::kClaim:
      return this->ApplyClaim(now, record);
    case ClaimRecordKind::kDone:
      return this->ApplyDone(offset, record);
    case ClaimRecordKind::kUnknown:
      return this->ApplyUnknown(record);
    case ClaimRecordKind::kReleased:
      return this->ApplyReleased(record);
    case ClaimRecordKind::kCount:
      return;
  }
}

void ClaimLedger::Skip(uint64_t offset) {
  this->Break(Refusal::kClaimUnavailable);
  this->next_offset = offset + 1;
}

void ClaimLedger::Break(Refusal reason) {
  if (this->guards.complete_history && !this->IsBroken()) {
    this->broken = reason;
  }
}

void ClaimLedger::DropKeys() {
  this->keys.clear();
  this->Break(Refusal::kMemoryLimit);
}

void ClaimLedger::ApplyClaim(TimePoint now, const ClaimRecord& record) {
  ClaimKeyState& state = this->keys[record.key];
  if (state.IsDead(record.attempt) || IsHeldBy(state, record.attempt)) {
    return;
  }
  if (state.phase != ClaimPhase::kFree) {
    // A claim that lost stays dead. Failure: the answer to its append was lost,
    // so its record is appended again, after the winner was released. Nobody
    // waits for the claim any more, and it would block the key.
    AddDead(state, record.attempt);
    return;
  }
  state.phase = ClaimPhase::kClaimed;
  state.holder = record.attempt;
  state.body = record.body;
  state.running_until = now + record.left;
}

void ClaimLedger::ApplyDone(uint64_t offset, const ClaimRecord& record) {
  ClaimKeyState& state = this->keys[record.key];
  if (state.phase == ClaimPhase::kDone) {
    return;
  }
  state.phase = ClaimPhase::kDone;
  state.holder = record.attempt;
  state.body = record.body;
  state.status = record.answer.status;
  state.whole = record.answer.whole;
  state.answer_offset = offset;
}

void ClaimLedger::ApplyUnknown(const ClaimRecord& record) {
  ClaimKeyState& state = this->keys[record.key];
  if (state.phase == ClaimPhase::kFree || IsHeldBy(state, record.attempt)) {
    state.phase = ClaimPhase::kUnknown;
    state.holder = record.attempt;
    state.body = record.body;
  }
}

void ClaimLedger::ApplyReleased(const ClaimRecord& record) {
  ClaimKeyState& state = this->keys[record.key];
  if (IsHeldBy(state, record.attempt)) {
    state.phase = ClaimPhase::kFree;
  } else if (!this->guards.tombstones) {
    return;
  }
  // Failure: the append of an abandoned claim takes effect after the release of
  // the claim. The claim would then stay live and block the key permanently, so
  // the release is remembered and the claim is dead when it is read.
  AddDead(state, record.attempt);
}

}  // namespace basilsill
