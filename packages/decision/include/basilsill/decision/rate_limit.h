#ifndef BASILSILL_DECISION_RATE_LIMIT_H_
#define BASILSILL_DECISION_RATE_LIMIT_H_

#include <cstdint>

#include "basilsill/decision/view.h"

/// Rate limits that upstreams advertise in their answers, and the reports about
/// them between VMs.

namespace basilsill {

/// Whether an answer advertises a rate limit.
enum class RateLimitPresence : uint8_t {
  kUnknown,  ///< No answer, or one that can't be parsed.
  kNone,     ///< The answer advertises no limit.
  kNamed,
  kCount
};

/// A rate limit as advertised in an upstream's answer. It applies to the
/// requests of all VMs together, for as long as the upstream's answers include
/// it.
struct AdvertisedRateLimit {
  RateLimitPresence presence = RateLimitPresence::kUnknown;
  double requests_per_second = 0;  ///< Not negative; only for kNamed.

  friend bool operator==(const AdvertisedRateLimit&,
                         const AdvertisedRateLimit&) = default;
};

/// Report to another VM about the rate limit of an upstream.
struct RateLimitReport {
  ShardKey shard = 0;
  /// Identifies one incarnation of the upstream, the same on all VMs.
  uint64_t upstream = 0;
  bool named = false;  ///< False: the upstream advertises no limit any more.
  double requests_per_second = 0;

  friend bool operator==(const RateLimitReport&,
                         const RateLimitReport&) = default;
};

/// @param upstream A row of `service`.
/// @returns the report of what the upstream advertised. Its shard is 0 if the
/// upstream belongs to no shard of the service.
RateLimitReport MakeRateLimitReport(const ServiceRow& service,
                                    const UpstreamRow& upstream,
                                    const AdvertisedRateLimit& advertised);

/// A report and the VM to send it to.
struct RateLimitUpdate {
  VmHandle to;
  RateLimitReport report;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_RATE_LIMIT_H_
