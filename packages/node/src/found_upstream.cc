#include "found_upstream.h"

namespace basilsill {

AttemptTarget FoundUpstream::target() const {
  return {this->row->endpoint, IncarnationOf(*this->service, *this->row),
          this->row->handle, this->row->data_centre};
}

FoundUpstream FindIn(const RoutingView& view,
                     ServiceHandle service,
                     UpstreamHandle upstream) {
  const ServiceRow* row = FindService(view, service);
  if (row == nullptr) {
    return {};
  }
  return {row, FindUpstream(*row, upstream)};
}

FoundUpstream FindInAny(const RoutingView& view, UpstreamHandle upstream) {
  for (const auto& service : view.services) {
    const UpstreamRow* row =
        service ? FindUpstream(*service, upstream) : nullptr;
    if (row != nullptr) {
      return {service.get(), row};
    }
  }
  return {};
}

}  // namespace basilsill
