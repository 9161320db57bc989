#ifndef BASILSILL_DECISION_CLAIM_LEDGER_H_
#define BASILSILL_DECISION_CLAIM_LEDGER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "basilsill/base/reason.h"
#include "basilsill/base/time.h"
#include "claim_guards.h"
#include "claim_record.h"

/// The state of each key of one claim stream, computed by applying the records
/// of the stream in order. All VMs that read a stream from offset 0 without a
/// gap have the same state at the same offset.

namespace basilsill {

enum class ClaimPhase : uint8_t {
  kFree,     ///< No live claim.
  kClaimed,  ///< `holder` has the claim and may be running the request.
  kDone,     ///< The request ran; its response is at `answer_offset`.
  kUnknown,  ///< The request may have run.
  kCount
};

struct ClaimKeyState {
  ClaimPhase phase = ClaimPhase::kFree;
  bool whole = false;   ///< kDone: the log has the complete response.
  uint16_t status = 0;  ///< kDone: status of the response.
  ClaimAttempt holder;
  Digest body;
  TimePoint running_until;  ///< kClaimed: deadline of the holder's request.
  uint64_t answer_offset = 0;
  /// Attempts that can no longer be granted, because another claim came first
  /// or because they were released (possibly before their claim was read).
  std::vector<ClaimAttempt> dead;

  bool IsDead(const ClaimAttempt& attempt) const;
};

class ClaimLedger {
 public:
  /// Maximum number of dead attempts remembered for a key. If the oldest is
  /// dropped and its claim is read later, that claim counts as live: it blocks
  /// the key, but is never granted.
  static constexpr size_t kMaxDead = 8;

  explicit ClaimLedger(const ClaimGuards& guards) : guards(guards) {}

  /// @returns the state of `key`, or nullptr if no record read so far names it.
  const ClaimKeyState* Find(const ClaimKeyId& key) const;

  /// Checks that a read continues where the last one ended. Must be called
  /// before the records of the read are applied.
  void BeginRead(const ClaimRead& read);

  /// Applies the record at `offset`, for which `Expects` must have been true.
  void Apply(TimePoint now, uint64_t offset, const ClaimRecord& record);

  /// Skips a record that this version does not understand. It may be a claim,
  /// so this breaks the stream.
  void Skip(uint64_t offset);

  /// @returns true if the record at `offset` is the next one. An older record
  /// has been applied already; a newer one reveals a gap and breaks the stream.
  bool Expects(uint64_t offset);

  /// Marks the history as incomplete: from now on, requests that could
  /// otherwise be granted are refused with `reason`.
  void Break(Refusal reason);

  /// Drops all keys to free memory, and breaks the stream.
  void DropKeys();

  bool IsBroken() const { return this->broken != Refusal::kNone; }
  Refusal broken_reason() const { return this->broken; }
  uint64_t cursor() const { return this->next_offset; }
  size_t size() const { return this->keys.size(); }

 private:
  void ApplyClaim(TimePoint now, const ClaimRecord& record);
  void ApplyDone(uint64_t offset, const ClaimRecord& record);
  void ApplyUnknown(const ClaimRecord& record);
  void ApplyReleased(const ClaimRecord& record);

  ClaimGuards guards;
  std::unordered_map<ClaimKeyId, ClaimKeyState, ClaimKeyIdHash> keys;
  uint64_t next_offset = 0;
  Refusal broken = Refusal::kNone;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIM_LEDGER_H_
