#ifndef BASILSILL_DECISION_SRC_COLD_QUOTA_H_
#define BASILSILL_DECISION_SRC_COLD_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// What one VM may send to an upstream that is cold, or may be cold without
/// having said so. Pure.
///
/// Failure: an upstream becomes cold at any moment, also without a new start,
/// and dies if it then gets as much work as before. Its entry says so some
/// seconds late, and for a moment several VMs may believe that they dispatch
/// for it, one of them just restarted. It shows as upstreams that die one after
/// the other as soon as they are back.
///
/// So each VM sends no more than its share in any second, unless the upstream
/// has said since that it is warm: each such word is good for one share more.
/// The sum holds while no more VMs dispatch for an upstream than have a share.
/// An upstream that gets less than the share is never asked.

namespace basilsill {

/// @returns the part of a service's bound that one VM may use, at least 1; 0
/// if the service has none.
uint32_t ColdShareOf(const ColdTerms& terms);

class ColdQuota {
 public:
  /// @param share Requests in any second; 0: any number.
  void SetShare(uint32_t share) { this->share = share; }

  /// This VM begins to dispatch for the upstream. Whoever did so before, also
  /// itself before a restart, may have sent its share a moment ago.
  void BeginDispatch(TimePoint now);

  /// The upstream is taken for cold until then, if it can't say so itself.
  void AssumeCold(TimePoint until) { this->assumed_cold_until = until; }

  /// It said how long it stays cold; 0: it is warm.
  void OnColdTimeReported(TimePoint now, Duration cold_for);

  /// It was asked.
  void OnAsk(TimePoint now) { this->asked_at = now; }

  /// A request is sent there.
  void OnStart(TimePoint now);

  /// @param is_told Upstreams say when asked whether they are cold. One that
  /// has not said that it is warm is taken for cold then.
  bool MayStart(TimePoint now, bool is_told) const;

  /// @returns true if it may get more if it says that it is warm.
  bool IsWorthAsking(TimePoint now) const;

 private:
  uint32_t CountLeft(TimePoint now) const;

  uint32_t share = 0;
  size_t oldest = 0;              ///< Of `starts`, once it is full.
  std::vector<TimePoint> starts;  ///< The last ones, at most one share.
  TimePoint assumed_cold_until{};
  TimePoint told_cold_until{};
  TimePoint asked_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_COLD_QUOTA_H_
