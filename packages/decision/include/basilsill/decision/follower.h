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

/// Follows the configuration stream: says where to read next, folds what was
/// read, and finds a state to begin with when older records are gone.

namespace basilsill {

/// Answer to a read, as the platform's protocol has it.
struct ConfigurationRead {
  uint64_t from = 0;   ///< Offset that was asked for.
  uint64_t first = 0;  ///< Oldest offset retained.
  uint64_t end = 0;    ///< One past the newest record.
  std::vector<LogRecord> records;
};

/// How this VM's state stands to the log.
enum class FollowerStanding : uint8_t {
  kSearching,    ///< Looks for a checkpoint to begin or go on with.
  kFollowing,    ///< The state has all records before its next offset.
  kUncovered,    ///< Records are gone that no checkpoint in the log covers.
  kUnsupported,  ///< The next record is of a newer format than this build's.
  kRewound,      ///< The log ends before what was read of it.
  kCount
};

/// @returns the stable name of `standing`.
std::string_view NameOf(FollowerStanding standing);

/// What one call has done.
struct FollowResult {
  /// Outcomes of the records that were folded, in order.
  std::vector<RecordOutcome> outcomes;
  /// The state was replaced by that of a checkpoint or snapshot: outcomes of
  /// records in between will never be known here.
  bool state_replaced = false;
  /// A checkpoint in the log says another state at an offset than this VM
  /// had there: one of the two builds is at fault.
  bool has_diverged = false;
};

/// Belongs to the control thread.
///
/// A state once had stays in force whatever happens to the log; only a newer
/// one replaces it. While searching or uncovered, a snapshot of a peer ends
/// the search at once.
class ConfigurationFollower {
 public:
  ConfigurationFollower() { this->RememberDigest(); }

  /// @returns the offset to read from next.
  uint64_t read_offset() const;

  /// A read was answered. An answer to a read from elsewhere than
  /// `read_offset()` is ignored: a snapshot came in between.
  FollowResult OnRead(const ConfigurationRead& answer);

  /// The log no longer retains `answer.from`.
  void OnTrimmed(const ConfigurationRead& answer);

  /// `answer.from` is beyond the end of the log.
  void OnBeyondEnd(const ConfigurationRead& answer);

  /// Takes the state of a peer, if it is further on than this one.
  /// @param parts What the peer made by WriteCheckpoint.
  FollowResult OnSnapshot(const std::vector<std::string>& parts);

  const ConfigurationState& state() const { return this->folded; }
  FollowerStanding standing() const { return this->current; }

  /// @returns true once the state is fit to be served: it was read to an end
  /// of the log, or came from a peer. It stays true.
  bool is_ready() const { return this->ready; }

  /// @returns true if a snapshot of a peer would help.
  bool wants_snapshot() const {
    return !this->ready || this->current == FollowerStanding::kUncovered ||
           this->current == FollowerStanding::kSearching;
  }

  /// @returns true if the last read went to the end of the log.
  bool is_at_end() const {
    return this->current == FollowerStanding::kFollowing &&
           this->folded.next_offset() == this->end;
  }

  /// @returns the offset of the newest checkpoint that is known to be whole;
  /// with a peer's snapshot the peer is trusted to have seen to one.
  std::optional<uint64_t> covered() const { return this->newest_checkpoint; }
  uint64_t log_first() const { return this->first; }
  uint64_t log_end() const { return this->end; }

  /// @returns the digest that the state had at `offset`, if still known.
  std::optional<uint64_t> DigestAt(uint64_t offset) const;

 private:
  bool TakeBounds(const ConfigurationRead& answer);
  void Search(uint64_t from);
  void SearchNear();
  void SearchOn(const ConfigurationRead& answer, FollowResult& result);
  void EndSearch();
  void FoldOn(const ConfigurationRead& answer, FollowResult& result);
  void CheckSameLog(const ConfigurationRead& answer);
  void NoteCheckpoint(const std::string& record, FollowResult& result);
  void Adopt(ConfigurationState state, FollowResult& result);
  void RememberDigest();

  ConfigurationState folded;
  FollowerStanding current = FollowerStanding::kSearching;
  bool ready = false;
  bool bounds_known = false;
  uint64_t first = 0;
  uint64_t end = 0;
  uint64_t search_start = 0;
  uint64_t search_next = 0;
  CheckpointReader reader;
  CheckpointTracker tracker;
  std::optional<uint64_t> newest_checkpoint;
  std::optional<uint64_t> last_record_hash;  // Of the last one folded.
  std::deque<uint64_t> digests;              // The last is that of `folded`.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_FOLLOWER_H_
