#ifndef BASILSILL_DECISION_CLAIM_RECORD_H_
#define BASILSILL_DECISION_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "basilsill/decision/claim_key.h"
#include "basilsill/decision/claims.h"

/// Records of the claim streams. Each is one JSON object.

namespace basilsill {

/// A key within its stream. It omits the creation time, which is part of the
/// text that the digest covers.
struct ClaimKeyId {
  TeamKey team = 0;
  Digest digest;

  friend auto operator<=>(const ClaimKeyId&, const ClaimKeyId&) = default;
};

struct ClaimKeyIdHash {
  size_t operator()(const ClaimKeyId& id) const {
    return static_cast<size_t>(id.digest.low ^ id.team);
  }
};

struct ClaimAttemptHash {
  size_t operator()(const ClaimAttempt& attempt) const {
    // Spreads the attempts of one origin, whose numbers are consecutive.
    return static_cast<size_t>((attempt.origin ^ attempt.sequence) *
                               0x9e3779b97f4a7c15);
  }
};

enum class ClaimRecordKind : uint8_t {
  kClaim,     ///< The attempt claims the key.
  kDone,      ///< The request ran, with the response `answer`.
  kUnknown,   ///< The request may have run; the outcome stays unknown.
  kReleased,  ///< The attempt did not run and never will.
  kCount
};

struct ClaimRecord {
  ClaimRecordKind kind = ClaimRecordKind::kCount;
  ClaimKeyId key;
  ClaimAttempt attempt;
  Digest body;                        ///< Not in kReleased.
  std::string vm;                     ///< VM that wrote it; for operators.
  std::chrono::milliseconds left{0};  ///< kClaim: time left to its deadline.
  StoredResponse answer;              ///< kDone.

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// @returns the kind of the record that reports `outcome`.
ClaimRecordKind KindOf(ClaimOutcome outcome);

std::string EncodeClaimRecord(const ClaimRecord& record);

/// @returns nullopt if `text` is not a claim record that this version knows.
std::optional<ClaimRecord> DecodeClaimRecord(std::string_view text);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIM_RECORD_H_
