#ifndef BASILSILL_NODE_FOUND_UPSTREAM_H_
#define BASILSILL_NODE_FOUND_UPSTREAM_H_

#include "basilsill/decision/view.h"
#include "upstream_pool.h"

/// Look-up of upstreams in a view.

namespace basilsill {

/// An upstream's rows in a view; null if the view has none.
struct FoundUpstream {
  const ServiceRow* service = nullptr;
  const UpstreamRow* row = nullptr;

  /// Both rows must be set.
  AttemptTarget target() const;
};

FoundUpstream FindIn(const RoutingView& view,
                     ServiceHandle service,
                     UpstreamHandle upstream);

/// Searches all services.
FoundUpstream FindInAny(const RoutingView& view, UpstreamHandle upstream);

}  // namespace basilsill

#endif  // BASILSILL_NODE_FOUND_UPSTREAM_H_
