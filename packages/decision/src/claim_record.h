#ifndef BASILSILL_DECISION_CLAIM_RECORD_H_
#define BASILSILL_DECISION_CLAIM_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "basilsill/decision/claim_key.h"
#include "basilsill/decision/claims.h"

/// Records of the claim streams, one JSON object each.

namespace basilsill {

/// A key within its stream. The birth is left out: it is part of the text
/// that the digest was made of.
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
    // Attempts of one origin are numbered one by one: spread them.
    return static_cast<size_t>((attempt.origin ^ attempt.sequence) *
                               0x9e3779b97f4a7c15);
  }
};

enum class ClaimRecordKind : uint8_t {
  kClaim,     ///< The attempt wants to run.
  kDone,      ///< It ran, with `answer`.
  kUnknown,   ///< It may have run; nobody will find out.
  kReleased,  ///< It did not run and never will.
  kCount
};

struct ClaimRecord {
  ClaimRecordKind kind = ClaimRecordKind::kCount;
  ClaimKeyId key;
  ClaimAttempt attempt;
  Digest body;                        ///< Not in kReleased.
  std::string vm;                     ///< Who wrote it; for people.
  std::chrono::milliseconds left{0};  ///< kClaim: until its deadline.
  StoredResponse answer;              ///< kDone.

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

/// @returns the kind of record that tells of `outcome`.
ClaimRecordKind KindOf(ClaimOutcome outcome);

std::string EncodeClaimRecord(const ClaimRecord& record);

/// @returns nothing if `text` is no claim record that this version knows.
std::optional<ClaimRecord> DecodeClaimRecord(std::string_view text);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIM_RECORD_H_
