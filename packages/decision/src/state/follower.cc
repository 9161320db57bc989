#include "basilsill/decision/follower.h"

#include <algorithm>
#include <array>
#include <utility>

#include <xxhash.h>

namespace basilsill {
namespace {

constexpr std::array<std::string_view,
                     static_cast<size_t>(FollowerStanding::kCount)>
    kStandingNames = {"searching", "following", "uncovered", "unsupported",
                      "rewound"};

uint64_t HashRecord(const std::string& record) {
  return XXH3_64bits(record.data(), record.size());
}

}  // namespace

std::string_view NameOf(FollowerStanding standing) {
  return kStandingNames.at(static_cast<size_t>(standing));
}

uint64_t ConfigurationFollower::read_offset() const {
  switch (this->current_standing) {
    case FollowerStanding::kSearching:
    case FollowerStanding::kUncovered:
      return this->search_next;
    case FollowerStanding::kRewound:
      return this->folded.next_offset() - 1;
    default:
      return this->folded.next_offset();
  }
}

FollowResult ConfigurationFollower::OnRead(const ConfigurationRead& answer) {
  FollowResult result;
  if (!this->UpdateBounds(answer)) {
    return result;
  }
  if (!this->bounds_known && !this->ready) {
    this->StartSearchNearEnd();
  }
  this->bounds_known = true;
  if (this->current_standing == FollowerStanding::kRewound) {
    this->CheckSameLog(answer);
  }
  if (this->current_standing == FollowerStanding::kSearching ||
      this->current_standing == FollowerStanding::kUncovered) {
    this->ContinueSearch(answer, result);
  } else if (this->current_standing != FollowerStanding::kRewound) {
    this->FoldRecords(answer, result);
  }
  return result;
}

void ConfigurationFollower::OnTrimmed(const ConfigurationRead& answer) {
  if (this->UpdateBounds(answer)) {
    this->bounds_known = true;
    this->StartSearchNearEnd();
  }
}

// Offsets that were already read are missing from the log, for example after
// the log service was restored from a backup. Offsets are versions, so folding
// new records could give one version to two different states. The VM keeps its
// state until it sees that the log holds the record that it folded last.
void ConfigurationFollower::OnBeyondEnd(const ConfigurationRead& answer) {
  if (this->UpdateBounds(answer) && this->folded.next_offset() > this->end) {
    this->current_standing = FollowerStanding::kRewound;
  }
}

bool ConfigurationFollower::UpdateBounds(const ConfigurationRead& answer) {
  if (answer.from != this->read_offset()) {
    return false;
  }
  this->first = answer.first;
  this->end = answer.end;
  return true;
}

void ConfigurationFollower::CheckSameLog(const ConfigurationRead& answer) {
  if (answer.records.empty() || !this->last_record_hash) {
    return;
  }
  const LogRecord& record = answer.records.front();
  if (record.offset + 1 == this->folded.next_offset() &&
      HashRecord(record.body) == *this->last_record_hash) {
    this->current_standing = FollowerStanding::kFollowing;
  }
}

FollowResult ConfigurationFollower::OnSnapshot(
    const std::vector<std::string>& parts) {
  FollowResult result;
  CheckpointReader assembly;
  std::optional<ConfigurationState> state;
  for (const std::string& part : parts) {
    state = assembly.Add(part);
  }
  if (!state) {
    return result;
  }
  const bool is_newer = state->next_offset() > this->folded.next_offset();
  if (!is_newer && this->current_standing == FollowerStanding::kFollowing) {
    // The state of this VM is at least as new as the one that the peer serves.
    this->ready = true;
  }
  if (!is_newer && this->ready) {
    return result;
  }
  this->newest_checkpoint =
      std::max(this->newest_checkpoint.value_or(0), state->next_offset());
  this->ReplaceState(std::move(*state), result);
  this->ready = true;
  if (this->bounds_known && this->folded.next_offset() < this->first) {
    this->StartSearchNearEnd();
  }
  return result;
}

// A checkpoint is due every kCheckpointEvery records, so there should be one
// near the end; the log may hold far more records than are worth reading.
void ConfigurationFollower::StartSearchNearEnd() {
  const uint64_t near =
      this->end - std::min<uint64_t>(this->end, limits::kCheckpointSearch);
  this->StartSearch(std::max(this->first, near));
}

void ConfigurationFollower::StartSearch(uint64_t from) {
  this->reader = {};
  this->search_start = from;
  this->search_next = from;
  // From offset 0 the log itself holds the whole state.
  this->current_standing =
      from == 0 ? FollowerStanding::kFollowing : FollowerStanding::kSearching;
}

void ConfigurationFollower::ContinueSearch(const ConfigurationRead& answer,
                                           FollowResult& result) {
  for (const LogRecord& record : answer.records) {
    if (record.offset != this->search_next) {
      continue;
    }
    ++this->search_next;
    std::optional<ConfigurationState> state = this->reader.Add(record.body);
    // A checkpoint is of no use while records between its offset and the first
    // one of the log are missing.
    if (state && state->next_offset() >= answer.first &&
        state->next_offset() >= this->folded.next_offset()) {
      this->newest_checkpoint = state->next_offset();
      this->ReplaceState(std::move(*state), result);
      return;
    }
  }
  if (this->search_next >= answer.end) {
    this->EndSearch();
  }
}

void ConfigurationFollower::EndSearch() {
  if (this->search_start > this->first) {
    this->StartSearch(this->first);
  } else {
    this->current_standing = FollowerStanding::kUncovered;
  }
}

void ConfigurationFollower::FoldRecords(const ConfigurationRead& answer,
                                        FollowResult& result) {
  this->current_standing = FollowerStanding::kFollowing;
  for (const LogRecord& record : answer.records) {
    if (record.offset != this->folded.next_offset()) {
      continue;
    }
    RecordOutcome outcome = this->folded.Apply(record.offset, record.body);
    const RecordVerdict verdict = outcome.verdict;
    result.outcomes.push_back(std::move(outcome));
    if (verdict == RecordVerdict::kUnsupported) {
      this->current_standing = FollowerStanding::kUnsupported;
      return;
    }
    this->last_record_hash = HashRecord(record.body);
    this->RecordDigest();
    if (verdict == RecordVerdict::kCheckpoint) {
      this->TrackCheckpoint(record.body, result);
    }
  }
  this->ready = this->ready || this->is_at_end();
}

void ConfigurationFollower::TrackCheckpoint(const std::string& record,
                                            FollowResult& result) {
  const std::optional<CheckpointPartHead> head = ReadCheckpointHead(record);
  if (!head) {
    return;
  }
  const std::optional<uint64_t> own_digest = this->DigestAt(head->offset);
  result.has_diverged |= own_digest && *own_digest != head->digest;
  if (this->tracker.Add(*head)) {
    this->newest_checkpoint =
        std::max(this->newest_checkpoint.value_or(0), head->offset);
  }
}

void ConfigurationFollower::ReplaceState(ConfigurationState state,
                                         FollowResult& result) {
  this->folded = std::move(state);
  this->current_standing = FollowerStanding::kFollowing;
  this->last_record_hash.reset();
  this->digests.clear();
  this->RecordDigest();
  result.state_replaced = true;
}

void ConfigurationFollower::RecordDigest() {
  this->digests.push_back(this->folded.digest());
  if (this->digests.size() > limits::kMaxKnownDigests) {
    this->digests.pop_front();
  }
}

std::optional<uint64_t> ConfigurationFollower::DigestAt(uint64_t offset) const {
  const uint64_t next = this->folded.next_offset();
  if (offset > next || next - offset >= this->digests.size()) {
    return std::nullopt;
  }
  return this->digests[this->digests.size() - 1 - (next - offset)];
}

}  // namespace basilsill
