#ifndef BASILSILL_DECISION_VIEW_BUILD_THROTTLE_H_
#define BASILSILL_DECISION_VIEW_BUILD_THROTTLE_H_

#include "basilsill/base/time.h"

namespace basilsill {

/// How often a VM makes a routing view. One costs the more the more upstreams
/// and VMs there are, and in a large fleet something changes all the time: a
/// view at each tick would take all of a small VM's processor. So views take a
/// bounded part of its time, whatever one costs, as long as none waits too
/// long.
class ViewBuildThrottle {
 public:
  /// The longest that a change waits for its view.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(500);

  /// @returns true if it is time for a view, should there be a change.
  bool MayBuild(TimePoint now) const { return now >= this->next_at; }

  void OnBuilt(TimePoint begun, TimePoint ended);

 private:
  TimePoint next_at{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_VIEW_BUILD_THROTTLE_H_
