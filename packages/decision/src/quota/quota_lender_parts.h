#ifndef BASILSILL_DECISION_SRC_QUOTA_LENDER_PARTS_H_
#define BASILSILL_DECISION_SRC_QUOTA_LENDER_PARTS_H_

#include <chrono>
#include <cstdint>

#include "basilsill/decision/quota.h"

/// What the source files of QuotaLender share.

namespace basilsill {

// Another lender answers within a round trip between data centres. One that
// takes this long is skipped.
inline constexpr std::chrono::milliseconds kLenderTimeout{40};

/// @returns `time` as QuotaAnswer::lent_at.
inline uint64_t TicksOf(LeaseTime time) {
  return static_cast<uint64_t>(time.time_since_epoch().count());
}

/// @returns the grant for `team`, or nullptr.
inline QuotaGrant* FindGrant(QuotaAnswer& answer, TeamKey team) {
  for (QuotaGrant& grant : answer.grants) {
    if (grant.team == team) {
      return &grant;
    }
  }
  return nullptr;
}

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_QUOTA_LENDER_PARTS_H_
