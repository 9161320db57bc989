#include "log_limiter.h"

#include <algorithm>
#include <chrono>

namespace basilsill {

LogLimiter::LogLimiter(uint32_t lines_per_second)
    : interval(Duration(std::chrono::seconds(1)) /
               std::max<uint32_t>(lines_per_second, 1)),
      tolerance(Duration(std::chrono::seconds(1)) - this->interval),
      theoretical_arrival(Duration::min().count()) {}

bool LogLimiter::Admit(TimePoint now) {
  const Duration time = now.time_since_epoch();
  Duration::rep stored =
      this->theoretical_arrival.load(std::memory_order_relaxed);
  while (true) {
    const Duration start = std::max(Duration(stored), time);
    if (start - time > this->tolerance) {
      this->CountSuppressed();
      return false;
    }
    const Duration next = start + this->interval;
    if (this->theoretical_arrival.compare_exchange_weak(
            stored, next.count(), std::memory_order_relaxed)) {
      return true;
    }
  }
}

}  // namespace basilsill
