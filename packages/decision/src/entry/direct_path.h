#ifndef BASILSILL_DECISION_DIRECT_PATH_H_
#define BASILSILL_DECISION_DIRECT_PATH_H_

#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/decision/dispatch.h"
#include "cold_quota.h"

/// Sends requests straight to upstreams while no dispatcher of a service can be
/// reached. Draws two upstreams and takes the one with less in flight from this
/// worker. It does not know what other workers and VMs send, so it is only a
/// fallback.

namespace basilsill {

class DirectPath {
 public:
  /// @param notices Not null.
  DirectPath(uint64_t seed, std::shared_ptr<UpstreamNotices> notices)
      : random(seed), notices(std::move(notices)) {}

  /// @param avoid Upstream at which the request failed last.
  /// @returns an eligible upstream of `service`, preferably in `near`; invalid
  /// if there is none.
  UpstreamHandle Choose(TimePoint now,
                        const ServiceRow& service,
                        DataCentreHandle near,
                        UpstreamHandle avoid);

  /// A request is sent to `upstream`. It is in flight until `End`.
  void Begin(TimePoint now, UpstreamHandle upstream);
  /// @param refusal How the request ended; kNone if it was answered.
  void End(TimePoint now, UpstreamHandle upstream, Refusal refusal);
  /// An answer on the direct path advertises a rate limit, or none.
  void OnRateLimit(TimePoint now,
                   UpstreamHandle upstream,
                   const AdvertisedRateLimit& advertised);

 private:
  struct UpstreamState {
    UpstreamHandle handle;
    uint64_t incarnation = 0;  ///< 0: not computed.
    uint32_t in_flight = 0;
    uint8_t failures = 0;
    TimePoint paused_until{};
    TimePoint rate_limited_until{};
    ColdQuota cold_quota;
  };

  UpstreamState& StateOf(UpstreamHandle handle);
  bool WantsNoRequests(TimePoint now,
                       const ServiceRow& service,
                       const UpstreamRow& row);
  bool IsEligible(TimePoint now,
                  const ServiceRow& service,
                  const UpstreamRow& row);
  UpstreamHandle Draw(TimePoint now,
                      const ServiceRow& service,
                      DataCentreHandle near,
                      bool only_near,
                      UpstreamHandle avoid);

  pcg32 random;
  std::shared_ptr<UpstreamNotices> notices;
  std::vector<UpstreamState> upstreams;  ///< By index of the upstream's handle.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_DIRECT_PATH_H_
