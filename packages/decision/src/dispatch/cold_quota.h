#ifndef BASILSILL_DECISION_SRC_COLD_QUOTA_H_
#define BASILSILL_DECISION_SRC_COLD_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Limits what one VM sends to an upstream that is cold, or that may have
/// become cold without having reported it. Pure.
///
/// Failure: an upstream can become cold at any moment, even without a restart,
/// and crashes if it then gets as much work as before. Its registry entry
/// reports this some seconds late, and for a short time several VMs may
/// consider themselves its dispatcher, one of them just restarted. As a result,
/// upstreams crash one after the other as soon as they are back.
///
/// So each VM sends no more than its share in any second, unless the upstream
/// has reported since then that it is warm. Each such report allows one more
/// share. The total bound holds as long as no more VMs dispatch for an upstream
/// than there are shares. An upstream that gets less than the share is never
/// queried.

namespace basilsill {

/// @returns the part of a service's bound for cold upstreams that one VM may
/// use, in requests per second: at least 1, or 0 if the service has no bound.
uint32_t ColdShareOf(const ColdStartLimits& cold_limits);

class ColdQuota {
 public:
  /// @param share Requests in any second; 0 for no limit.
  void SetShare(uint32_t share) { this->share = share; }

  /// This VM begins to dispatch for the upstream. The previous dispatcher,
  /// which may be this VM before a restart, may have used its share just
  /// before.
  void BeginDispatch(TimePoint now);

  /// Treats the upstream as cold until `until`, if it can't report that itself.
  void AssumeCold(TimePoint until) { this->assumed_cold_until = until; }

  /// The upstream has reported how long it stays cold; 0 if it is warm.
  void OnColdTimeReported(TimePoint now, Duration cold_for);

  /// A load query was sent to the upstream.
  void OnLoadQuery(TimePoint now) { this->queried_at = now; }

  /// A request is sent to the upstream.
  void OnStart(TimePoint now);

  /// @param reports_cold Upstreams of the service report in answers to load
  /// queries whether they are cold. Such an upstream is treated as cold until
  /// it has reported that it is warm.
  bool MayStart(TimePoint now, bool reports_cold) const;

  /// @returns true if a load query is useful now: the upstream may get more
  /// requests if it reports that it is warm.
  bool IsLoadQueryUseful(TimePoint now) const;

 private:
  uint32_t CountLeft(TimePoint now) const;

  uint32_t share = 0;
  size_t oldest = 0;  ///< Index in `starts`, once that is full.
  /// Times of the latest requests, at most one share of them.
  std::vector<TimePoint> starts;
  TimePoint assumed_cold_until{};
  TimePoint reported_cold_until{};
  TimePoint queried_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_COLD_QUOTA_H_
