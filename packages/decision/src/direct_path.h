#ifndef BASILSILL_DECISION_DIRECT_PATH_H_
#define BASILSILL_DECISION_DIRECT_PATH_H_

#include <cstdint>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/decision/dispatch.h"
#include "cold_quota.h"

/// The way to upstreams while no dispatcher of a service can be reached: two
/// choices among its upstreams by what this worker itself has in flight there.
/// It knows nothing of what others send, so it is for emergencies.

namespace basilsill {

class DirectPath {
 public:
  explicit DirectPath(uint64_t seed) : random(seed) {}

  /// @param avoid Upstream that failed the request last.
  /// @returns an upstream of `service`, in `near` if there is one that takes
  /// work; invalid if none does.
  UpstreamHandle Choose(TimePoint now,
                        const ServiceRow& service,
                        DataCentreHandle near,
                        UpstreamHandle avoid);

  /// A request goes to `upstream`, until its End.
  void Begin(TimePoint now, UpstreamHandle upstream);
  /// @param refusal How it ended, kNone for an answer.
  void End(TimePoint now, UpstreamHandle upstream, Refusal refusal);
  void OnDrainSign(TimePoint now, UpstreamHandle upstream);
  /// What an answer on this way says of a rate limit.
  void OnRateLimit(TimePoint now,
                   UpstreamHandle upstream,
                   const AdvertisedRateLimit& told);

 private:
  struct UpstreamState {
    UpstreamHandle handle;
    uint32_t in_flight = 0;
    uint8_t failures = 0;
    TimePoint paused_until{};
    TimePoint rate_limited_until{};
    ColdQuota cold_quota;
  };

  UpstreamState& StateOf(UpstreamHandle handle);
  bool Takes(TimePoint now, const ServiceRow& service, const UpstreamRow& row);
  UpstreamHandle Draw(TimePoint now,
                      const ServiceRow& service,
                      DataCentreHandle near,
                      bool only_near,
                      UpstreamHandle avoid);

  pcg32 random;
  std::vector<UpstreamState> upstreams;  ///< By index of the handle.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_DIRECT_PATH_H_
