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

/// Serialises folded state as text, in parts that each fit into a record. A VM
/// appends the parts to the configuration stream as a checkpoint, or sends them
/// to a peer as a snapshot.
///
/// A checkpoint is the exact state at its offset. Only a VM that lacks records
/// before that offset uses it, and only if it can still read all records from
/// there on; a VM whose state has no gap skips it. So a stale checkpoint,
/// written by a VM that was paused, cannot revert anything: a VM that uses it
/// also folds every record after its offset, deletions included.

namespace basilsill {

/// Header of a checkpoint part: the fields that all parts of one checkpoint
/// share, and the number of the part.
struct CheckpointPartHead {
  std::string id;       ///< Unique, like a change id.
  uint64_t offset = 0;  ///< Next offset of the state.
  uint64_t digest = 0;  ///< Digest of the whole state.
  uint32_t part = 0;    ///< From 0 to parts - 1.
  uint32_t parts = 0;
};

/// @returns the records that hold `state`, each of at most
/// limits::kMaxRecordBytes.
std::vector<std::string> WriteCheckpoint(const ConfigurationState& state,
                                         const std::string& id);

/// Writes a checkpoint for the case that records are lost which no checkpoint
/// covers and no VM has read: an operator may declare the state of one VM,
/// `state`, to be the state at the end of the log. Accepted changes among the
/// lost records are lost.
/// @param log_end Offset of the checkpoint, unless the offset of `state` is
/// higher.
/// @returns the records of that checkpoint.
std::vector<std::string> WriteRecovery(const ConfigurationState& state,
                                       uint64_t log_end,
                                       const std::string& id);

/// @returns the header of a part; nothing if `record` is not a checkpoint part.
std::optional<CheckpointPartHead> ReadCheckpointHead(std::string_view record);

/// Tracks which checkpoints are complete, without storing their content.
class CheckpointTracker {
 public:
  /// @returns true if `head` completes its checkpoint.
  bool Add(const CheckpointPartHead& head);

 private:
  struct Open {
    std::string id;
    std::vector<bool> has_part;
    size_t missing = 0;
  };

  std::vector<Open> open;  // Oldest first.
};

/// Assembles checkpoints from their parts. Parts may arrive in any order, more
/// than once and interleaved with parts of other checkpoints. An incomplete
/// checkpoint yields no state.
class CheckpointReader {
 public:
  /// @returns the state if `record` completes a checkpoint and the state has
  /// the digest given by its writer.
  std::optional<ConfigurationState> Add(std::string_view record);

 private:
  struct Open {
    CheckpointPartHead head;
    std::vector<bool> has_part;
    size_t missing = 0;
    ConfigurationContent content;
  };

  Open* FindOrAdd(const CheckpointPartHead& head);

  std::vector<Open> open;  // Oldest first.
};

/// Inputs to the decision whether a checkpoint is due.
struct CheckpointConditions {
  /// Next offset of this VM's state, which has no gap.
  uint64_t next_offset = 0;
  uint64_t first = 0;  ///< Oldest offset that the log retains.
  /// Offset of the newest complete checkpoint seen in the log.
  std::optional<uint64_t> covered;
  /// Number of VMs that write before this one. VMs should agree on the order,
  /// but need not.
  size_t rank = 0;
};

/// Decides when this VM writes a checkpoint: after limits::kCheckpointEvery
/// records, when log retention approaches the newest checkpoint, or when that
/// one is old. It does no harm if several VMs write one.
class CheckpointPlanner {
 public:
  explicit CheckpointPlanner(TimePoint now) : covered_at(now) {}

  /// @returns true if a checkpoint is to be written now. To be called only
  /// while the log answers.
  bool Tick(TimePoint now, const CheckpointConditions& conditions);

  /// To be called while the log does not answer. The turns of the VMs start
  /// over once it does; otherwise all VMs would write at that moment.
  void OnLogUnavailable() { this->due_since.reset(); }

 private:
  bool IsDue(TimePoint now, const CheckpointConditions& conditions) const;

  std::optional<uint64_t> covered;
  TimePoint covered_at;  // When `covered` was first seen.
  std::optional<TimePoint> due_since;
  std::optional<TimePoint> written_at;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CHECKPOINT_H_
