#include "basilsill/decision/view_build_throttle.h"

#include <algorithm>

namespace basilsill {
namespace {

// Pause after a view, as a multiple of the time that its build took: builds
// take a tenth of the time at most, unless kMaxWait shortens the pause.
constexpr int kPauseFactor = 9;

}  // namespace

void ViewBuildThrottle::OnBuilt(TimePoint begun, TimePoint ended) {
  this->next_at = ended + std::min((ended - begun) * kPauseFactor, kMaxWait);
}

}  // namespace basilsill
