#ifndef BASILSILL_DECISION_CHECKPOINT_H_
#define BASILSILL_DECISION_CHECKPOINT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/configuration.h"

/// Folded state as text, in parts that fit into records. A VM appends the
/// parts to the configuration stream as a checkpoint, or sends them to a peer
/// as a snapshot.
///
/// A checkpoint is the exact state at its offset. It is used only by a VM
/// that lacks the records before that offset and can still read all records
/// from there on; a VM whose state has no gap skips it. So a stale checkpoint,
/// written by a VM that was paused, can revert nothing: whoever uses it folds
/// all that came after its offset, deletions included.

namespace basilsill {

/// What the parts of one checkpoint have in common, and the part's number.
struct CheckpointPartHead {
  std::string id;       ///< Unique, as the id of a change.
  uint64_t offset = 0;  ///< Next offset of the state.
  uint64_t digest = 0;  ///< Of the whole state.
  uint32_t part = 0;    ///< From 0 to parts - 1.
  uint32_t parts = 0;
};

/// @returns the records that hold `state`, each of at most
/// limits::kMaxRecordBytes.
std::vector<std::string> WriteCheckpoint(const ConfigurationState& state,
                                         const std::string& id);

/// For the case that records are gone which no checkpoint covers and no VM has
/// read: an operator may declare that what one VM has, `state`, is the state
/// at the log's end. Accepted changes among the lost records are lost.
/// @param log_end Offset that `state` is to have, at least its own.
/// @returns the records of that checkpoint.
std::vector<std::string> WriteRecovery(const ConfigurationState& state,
                                       uint64_t log_end,
                                       const std::string& id);

/// @returns the head of a part, or nothing if `record` is none.
std::optional<CheckpointPartHead> ReadCheckpointHead(std::string_view record);

/// Notes which checkpoints are complete, without their content.
class CheckpointTracker {
 public:
  /// @returns true if `head` was the last part missing.
  bool Add(const CheckpointPartHead& head);

 private:
  struct Open {
    std::string id;
    std::vector<bool> has_part;
    size_t missing = 0;
  };

  std::vector<Open> open;  // Oldest first.
};

/// Puts checkpoints together. Parts may come in any order, more than once,
/// and mixed with those of others; one that stays incomplete gives nothing.
class CheckpointReader {
 public:
  /// @returns the state, if `record` was the last part missing and the whole
  /// has the digest that its writer gave it.
  std::optional<ConfigurationState> Add(std::string_view record);

 private:
  struct Open {
    CheckpointPartHead head;
    std::vector<bool> has_part;
    size_t missing = 0;
    ConfigurationContent content;
  };

  Open* FindOrOpen(const CheckpointPartHead& head);

  std::vector<Open> open;  // Oldest first.
};

/// What decides whether a checkpoint is due.
struct CheckpointConditions {
  uint64_t next_offset = 0;  ///< Of this VM's state, which has no gap.
  uint64_t first = 0;        ///< Oldest offset that the log retains.
  /// Offset of the newest complete checkpoint seen in the log.
  std::optional<uint64_t> covered;
  /// VMs that write before this one; the same on all VMs at best.
  size_t rank = 0;
};

/// Says when this VM is to write a checkpoint: after so many records, when
/// retention comes near the newest checkpoint, or when that one is old. If
/// several VMs write one, no harm is done.
class CheckpointPlanner {
 public:
  explicit CheckpointPlanner(TimePoint now) : covered_at(now) {}

  /// @returns true if a checkpoint is to be written now. Call it only while
  /// the log answers.
  bool Tick(TimePoint now, const CheckpointConditions& situation);

  /// The log does not answer. Turns begin again when it does, or all VMs
  /// would write at that moment.
  void OnLogUnavailable() { this->due_since.reset(); }

 private:
  bool IsDue(TimePoint now, const CheckpointConditions& situation) const;

  std::optional<uint64_t> covered;
  TimePoint covered_at;  // When `covered` was first seen.
  std::optional<TimePoint> due_since;
  std::optional<TimePoint> written_at;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CHECKPOINT_H_
