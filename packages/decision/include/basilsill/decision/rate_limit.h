#ifndef BASILSILL_DECISION_RATE_LIMIT_H_
#define BASILSILL_DECISION_RATE_LIMIT_H_

#include <cstdint>

#include "basilsill/decision/view.h"

/// Rate limits that upstreams name in their answers, and what VMs tell each
/// other of them.

namespace basilsill {

/// What an answer says of a rate limit of its upstream.
enum class RateLimitPresence : uint8_t {
  kUnknown,  ///< There was no answer, or it can't be read.
  kNone,     ///< The answer names no limit.
  kNamed,
  kCount
};

/// A rate limit as an upstream tells it: it is the upstream's own, for all VMs
/// together, and holds for as long as its answers name it.
struct AdvertisedRateLimit {
  RateLimitPresence presence = RateLimitPresence::kUnknown;
  double requests_per_second = 0;  ///< Not negative; for kNamed alone.

  friend bool operator==(const AdvertisedRateLimit&,
                         const AdvertisedRateLimit&) = default;
};

/// What one VM has heard from an upstream, for another.
struct RateLimitReport {
  ShardKey shard = 0;
  uint64_t upstream = 0;  ///< Names one start of one upstream on every VM.
  bool named = false;     ///< False: its answers do not name a limit any more.
  double requests_per_second = 0;

  friend bool operator==(const RateLimitReport&,
                         const RateLimitReport&) = default;
};

/// @param upstream A row of `service`.
/// @returns the report of what it told; of no shard if no shard has it.
RateLimitReport MakeRateLimitReport(const ServiceRow& service,
                                    const UpstreamRow& upstream,
                                    const AdvertisedRateLimit& told);

/// A report, and whom it is for.
struct RateLimitUpdate {
  VmHandle to;
  RateLimitReport report;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_RATE_LIMIT_H_
