// Decides when a VM writes a checkpoint.

#include <algorithm>

#include "basilsill/decision/checkpoint.h"

namespace basilsill {

bool CheckpointPlanner::Tick(TimePoint now,
                             const CheckpointConditions& conditions) {
  if (conditions.covered != this->covered) {
    this->covered = conditions.covered;
    this->covered_at = now;
    this->due_since.reset();
  }
  if (!this->IsDue(now, conditions)) {
    this->due_since.reset();
    return false;
  }
  if (!this->due_since) {
    this->due_since = now;
  }
  const auto turn_delay = conditions.rank * limits::kCheckpointStagger;
  // Parts can be lost, and a log may retain fewer records than one checkpoint
  // has. Without a minimum interval the VM would then write checkpoints all the
  // time.
  const bool is_interval_over =
      !this->written_at ||
      now - *this->written_at >= limits::kCheckpointMinInterval;
  if (now - *this->due_since < turn_delay || !is_interval_over) {
    return false;
  }
  this->written_at = now;
  return true;
}

bool CheckpointPlanner::IsDue(TimePoint now,
                              const CheckpointConditions& conditions) const {
  const uint64_t next = conditions.next_offset;
  if (next == 0) {
    return false;
  }
  const uint64_t covered_offset = conditions.covered.value_or(0);
  const bool has_many_records =
      next - std::min(covered_offset, next) >= limits::kCheckpointEvery;
  // Retention trims the log from the front. Once the checkpoint lies in the
  // older half of the retained records, the next one is due.
  const uint64_t retained = next - std::min(conditions.first, next);
  const uint64_t margin =
      covered_offset - std::min(conditions.first, covered_offset);
  const bool is_retention_near =
      covered_offset < conditions.first ||
      (conditions.first > 0 && 2 * margin < retained);
  const bool is_old = now - this->covered_at >= limits::kCheckpointMaxAge;
  return has_many_records || is_retention_near || is_old;
}

}  // namespace basilsill
