#ifndef BASILSILL_DECISION_FOLLOWER_H_
#define BASILSILL_DECISION_FOLLOWER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "basilsill/base/log_record.h"
#include "basilsill/decision/checkpoint.h"
#include "basilsill/decision/configuration.h"

/// Follows the configuration stream: determines the next read offset, folds the
/// records read, and finds a state to start from when older records are
/// trimmed.

namespace basilsill {

/// Answer of the platform's log to a read.
struct ConfigurationRead {
  uint64_t from = 0;   ///< Requested offset.
  uint64_t first = 0;  ///< Oldest offset retained.
  uint64_t end = 0;    ///< One past the newest record.
  std::vector<LogRecord> records;
};

/// Relation of this VM's state to the log.
enum class FollowerStanding : uint8_t {
  kSearching,    ///< Looks for a checkpoint to start or continue from.
  kFollowing,    ///< The state includes all records before its next offset.
  kUncovered,    ///< Trimmed records are missing that no checkpoint in the log
                 ///< covers.
  kUnsupported,  ///< The next record has a newer format than this build
                 ///< supports.
  kRewound,      ///< The log ends before the last record that was read from it.
  kCount
};

/// @returns the stable name of `standing`.
std::string_view NameOf(FollowerStanding standing);

/// Result of one call.
struct FollowResult {
  /// Outcomes of the records that were folded, in order.
  std::vector<RecordOutcome> outcomes;
  /// The state was replaced by that of a checkpoint or snapshot; the outcomes
  /// of the records in between are never known on this VM.
  bool state_replaced = false;
  /// A checkpoint in the log has a different digest than this VM's state had at
  /// the same offset: one of the two builds is faulty.
  bool has_diverged = false;
};

/// Used by the control thread only.
///
/// A state remains in force whatever happens to the log; only a newer state
/// replaces it. While the follower is searching or uncovered, a snapshot of a
/// peer ends the search at once.
class ConfigurationFollower {
 public:
  ConfigurationFollower() { this->RecordDigest(); }

  /// @returns the offset to read from next.
  uint64_t read_offset() const;

  /// Processes the answer to a read. An answer to a read from another offset
  /// than `read_offset()` is ignored: a snapshot was adopted after the read was
  /// sent.
  FollowResult OnRead(const ConfigurationRead& answer);

  /// To be called when the log no longer retains `answer.from`.
  void OnTrimmed(const ConfigurationRead& answer);

  /// To be called when `answer.from` is beyond the end of the log.
  void OnBeyondEnd(const ConfigurationRead& answer);

  /// Adopts the state of a peer if it is newer than the state of this VM.
  /// @param parts Result of WriteCheckpoint on the peer.
  FollowResult OnSnapshot(const std::vector<std::string>& parts);

  const ConfigurationState& state() const { return this->folded; }
  FollowerStanding standing() const { return this->current_standing; }

  /// @returns true once the state can be served: it has reached an end of the
  /// log, or came from a peer. It remains true from then on.
  bool is_ready() const { return this->ready; }

  /// @returns true if a snapshot of a peer would help.
  bool wants_snapshot() const {
    return !this->ready ||
           this->current_standing == FollowerStanding::kUncovered ||
           this->current_standing == FollowerStanding::kSearching;
  }

  /// @returns true if the last read reached the end of the log.
  bool is_at_end() const {
    return this->current_standing == FollowerStanding::kFollowing &&
           this->folded.next_offset() == this->end;
  }

  /// @returns the offset of the newest checkpoint that is known to be complete.
  /// The offset of a peer's snapshot counts too, on the assumption that a
  /// checkpoint covers it.
  std::optional<uint64_t> covered() const { return this->newest_checkpoint; }
  uint64_t log_first() const { return this->first; }
  uint64_t log_end() const { return this->end; }

  /// @returns the digest that the state had at `offset`; nothing if it is no
  /// longer stored.
  std::optional<uint64_t> DigestAt(uint64_t offset) const;

 private:
  bool UpdateBounds(const ConfigurationRead& answer);
  void StartSearch(uint64_t from);
  void StartSearchNearEnd();
  void ContinueSearch(const ConfigurationRead& answer, FollowResult& result);
  void EndSearch();
  void FoldRecords(const ConfigurationRead& answer, FollowResult& result);
  void CheckSameLog(const ConfigurationRead& answer);
  void TrackCheckpoint(const std::string& record, FollowResult& result);
  void ReplaceState(ConfigurationState state, FollowResult& result);
  void RecordDigest();

  ConfigurationState folded;
  FollowerStanding current_standing = FollowerStanding::kSearching;
  bool ready = false;
  bool bounds_known = false;
  uint64_t first = 0;
  uint64_t end = 0;
  uint64_t search_start = 0;
  uint64_t search_next = 0;
  CheckpointReader reader;
  CheckpointTracker tracker;
  std::optional<uint64_t> newest_checkpoint;
  std::optional<uint64_t> last_record_hash;  // Of the last record folded.
  std::deque<uint64_t> digests;  // The last one belongs to `folded`.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_FOLLOWER_H_
