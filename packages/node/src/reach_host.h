#ifndef BASILSILL_NODE_REACH_HOST_H_
#define BASILSILL_NODE_REACH_HOST_H_

#include <functional>
#include <memory>

#include "basilsill/decision/upstream_reach.h"
#include "upstream_pool.h"

/// Runs a worker's UpstreamReach: tells it of each connection that the pool
/// opens, opens the connections that it asks for, and logs its events.

namespace basilsill {

class ReachHost {
 public:
  /// @param pool Must outlive the result.
  /// @param on_event Called with each change.
  ReachHost(std::unique_ptr<UpstreamReach> reach,
            UpstreamPool& pool,
            std::function<void(const ReachEvent&)> on_event);

  void ApplyView(TimePoint now, const RoutingViewPtr& view);
  void Tick(TimePoint now);

  void SetDoubts(TimePoint now, const PathDoubts& doubts);

  /// @returns what this worker reports of its paths.
  PathReport Paths() const { return this->reach->Report(); }

 private:
  void Pump();
  void Report(const ReachEvent& event) const;
  Task<void> Probe(AttemptTarget target);

  std::unique_ptr<UpstreamReach> reach;
  UpstreamPool& pool;
  std::function<void(const ReachEvent&)> on_event;
  RoutingViewPtr view;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_REACH_HOST_H_
