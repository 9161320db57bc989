// When a VM is to write a checkpoint.

#include <algorithm>

#include "basilsill/decision/checkpoint.h"

namespace basilsill {

bool CheckpointPlanner::Tick(TimePoint now,
                             const CheckpointConditions& situation) {
  if (situation.covered != this->covered) {
    this->covered = situation.covered;
    this->covered_at = now;
    this->due_since.reset();
  }
  if (!this->IsDue(now, situation)) {
    this->due_since.reset();
    return false;
  }
  if (!this->due_since) {
    this->due_since = now;
  }
  const auto turn = situation.rank * limits::kCheckpointStagger;
  // Parts can be lost, and a log may retain less than one checkpoint has.
  // Without a pause the VM would then do nothing but write checkpoints.
  const bool has_rested =
      !this->written_at ||
      now - *this->written_at >= limits::kCheckpointMinInterval;
  if (now - *this->due_since < turn || !has_rested) {
    return false;
  }
  this->written_at = now;
  return true;
}

bool CheckpointPlanner::IsDue(TimePoint now,
                              const CheckpointConditions& situation) const {
  const uint64_t next = situation.next_offset;
  if (next == 0) {
    return false;
  }
  const uint64_t covered_offset = situation.covered.value_or(0);
  const bool has_many_records =
      next - std::min(covered_offset, next) >= limits::kCheckpointEvery;
  // Retention takes records from the front. Once the checkpoint lies in the
  // older half of what is left, it is time for the next one.
  const uint64_t retained = next - std::min(situation.first, next);
  const uint64_t margin =
      covered_offset - std::min(situation.first, covered_offset);
  const bool is_retention_near = covered_offset < situation.first ||
                                 (situation.first > 0 && 2 * margin < retained);
  const bool is_old = now - this->covered_at >= limits::kCheckpointMaxAge;
  return has_many_records || is_retention_near || is_old;
}

}  // namespace basilsill
