#include "basilsill/decision/view_build_throttle.h"

#include <algorithm>

namespace basilsill {
namespace {

// A view that took one unit of time is followed by none for so many.
constexpr int kPauseParts = 9;

}  // namespace

void ViewBuildThrottle::OnBuilt(TimePoint begun, TimePoint ended) {
  this->next_at = ended + std::min((ended - begun) * kPauseParts, kMaxWait);
}

}  // namespace basilsill
