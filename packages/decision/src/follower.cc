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
  switch (this->current) {
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
  if (!this->TakeBounds(answer)) {
    return result;
  }
  if (!this->bounds_known && !this->ready) {
    this->SearchNear();
  }
  this->bounds_known = true;
  if (this->current == FollowerStanding::kRewound) {
    this->CheckSameLog(answer);
  }
  if (this->current == FollowerStanding::kSearching ||
      this->current == FollowerStanding::kUncovered) {
    this->SearchOn(answer, result);
  } else if (this->current != FollowerStanding::kRewound) {
    this->FoldOn(answer, result);
  }
  return result;
}

void ConfigurationFollower::OnTrimmed(const ConfigurationRead& answer) {
  if (this->TakeBounds(answer)) {
    this->bounds_known = true;
    this->SearchNear();
  }
}

// Offsets that were read already are gone from the log, as after its service
// was restored from a copy. Offsets are versions, so folding on could give one
// version to two different states. The VM keeps what it has until it sees that
// the log holds the record it folded last.
void ConfigurationFollower::OnBeyondEnd(const ConfigurationRead& answer) {
  if (this->TakeBounds(answer) && this->folded.next_offset() > this->end) {
    this->current = FollowerStanding::kRewound;
  }
}

bool ConfigurationFollower::TakeBounds(const ConfigurationRead& answer) {
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
    this->current = FollowerStanding::kFollowing;
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
  const bool is_further = state->next_offset() > this->folded.next_offset();
  if (!is_further && this->current == FollowerStanding::kFollowing) {
    // What this VM has is as good as what the peer serves.
    this->ready = true;
  }
  if (!is_further && this->ready) {
    return result;
  }
  this->newest_checkpoint =
      std::max(this->newest_checkpoint.value_or(0), state->next_offset());
  this->Adopt(std::move(*state), result);
  this->ready = true;
  if (this->bounds_known && this->folded.next_offset() < this->first) {
    this->SearchNear();
  }
  return result;
}

// A checkpoint is due after kCheckpointEvery records, so there should be one
// near the end; the log may hold far more than is worth reading.
void ConfigurationFollower::SearchNear() {
  const uint64_t near =
      this->end - std::min<uint64_t>(this->end, limits::kCheckpointSearch);
  this->Search(std::max(this->first, near));
}

void ConfigurationFollower::Search(uint64_t from) {
  this->reader = {};
  this->search_start = from;
  this->search_next = from;
  // Nothing is missing before offset 0: the log itself has the whole state.
  this->current =
      from == 0 ? FollowerStanding::kFollowing : FollowerStanding::kSearching;
}

void ConfigurationFollower::SearchOn(const ConfigurationRead& answer,
                                     FollowResult& result) {
  for (const LogRecord& record : answer.records) {
    if (record.offset != this->search_next) {
      continue;
    }
    ++this->search_next;
    std::optional<ConfigurationState> state = this->reader.Add(record.body);
    // With records missing between its offset and the log's first one, a
    // checkpoint can't be led on to now.
    if (state && state->next_offset() >= answer.first &&
        state->next_offset() >= this->folded.next_offset()) {
      this->newest_checkpoint = state->next_offset();
      this->Adopt(std::move(*state), result);
      return;
    }
  }
  if (this->search_next >= answer.end) {
    this->EndSearch();
  }
}

void ConfigurationFollower::EndSearch() {
  if (this->search_start > this->first) {
    this->Search(this->first);
  } else {
    this->current = FollowerStanding::kUncovered;
  }
}

void ConfigurationFollower::FoldOn(const ConfigurationRead& answer,
                                   FollowResult& result) {
  this->current = FollowerStanding::kFollowing;
  for (const LogRecord& record : answer.records) {
    if (record.offset != this->folded.next_offset()) {
      continue;
    }
    RecordOutcome outcome = this->folded.Apply(record.offset, record.body);
    const RecordVerdict verdict = outcome.verdict;
    result.outcomes.push_back(std::move(outcome));
    if (verdict == RecordVerdict::kUnsupported) {
      this->current = FollowerStanding::kUnsupported;
      return;
    }
    this->last_record_hash = HashRecord(record.body);
    this->RememberDigest();
    if (verdict == RecordVerdict::kCheckpoint) {
      this->NoteCheckpoint(record.body, result);
    }
  }
  this->ready = this->ready || this->is_at_end();
}

void ConfigurationFollower::NoteCheckpoint(const std::string& record,
                                           FollowResult& result) {
  const std::optional<CheckpointPartHead> head = ReadCheckpointHead(record);
  if (!head) {
    return;
  }
  const std::optional<uint64_t> own = this->DigestAt(head->offset);
  result.has_diverged |= own && *own != head->digest;
  if (this->tracker.Add(*head)) {
    this->newest_checkpoint =
        std::max(this->newest_checkpoint.value_or(0), head->offset);
  }
}

void ConfigurationFollower::Adopt(ConfigurationState state,
                                  FollowResult& result) {
  this->folded = std::move(state);
  this->current = FollowerStanding::kFollowing;
  this->last_record_hash.reset();
  this->digests.clear();
  this->RememberDigest();
  result.state_replaced = true;
}

void ConfigurationFollower::RememberDigest() {
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
