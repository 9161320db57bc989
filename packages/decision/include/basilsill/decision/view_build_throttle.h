#ifndef BASILSILL_DECISION_VIEW_BUILD_THROTTLE_H_
#define BASILSILL_DECISION_VIEW_BUILD_THROTTLE_H_

#include "basilsill/base/time.h"

namespace basilsill {

/// Limits how often a VM builds a routing view. The cost of a view grows with
/// the number of upstreams and VMs, and in a large fleet something changes all
/// the time: a view at each tick would use the whole processor of a small VM.
/// So the builds take at most a fixed share of the time, whatever one build
/// costs, unless a change would then wait longer than kMaxWait.
class ViewBuildThrottle {
 public:
  /// Maximum time that a change waits for the next view after a build.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(500);

  /// @returns true if a view may be built at `now`.
  bool MayBuild(TimePoint now) const { return now >= this->next_at; }

  void OnBuilt(TimePoint begun, TimePoint ended);

 private:
  TimePoint next_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_VIEW_BUILD_THROTTLE_H_
