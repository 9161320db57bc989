#ifndef BASILSILL_NODE_LOG_LIMITER_H_
#define BASILSILL_NODE_LOG_LIMITER_H_

#include <atomic>
#include <cstdint>

#include "basilsill/base/time.h"

/// Rate limiter for one log event. Does not read a clock: the caller passes the
/// time.

namespace basilsill {

/// Implements the generic cell rate algorithm (GCRA): admits a burst of one
/// second's worth of lines, then an even rate, and counts the suppressed lines.
/// @remarks Lock-free; any thread may call any member.
class LogLimiter {
 public:
  /// @param lines_per_second Rate and burst size; 0 is treated as 1.
  explicit LogLimiter(uint32_t lines_per_second);

  /// @returns true if a line may be written at `now`; otherwise counts the line
  /// as suppressed.
  bool Admit(TimePoint now);

  /// Counts a line that the caller dropped for another reason.
  void CountSuppressed() {
    this->suppressed.fetch_add(1, std::memory_order_relaxed);
  }

  /// @returns the number of lines suppressed since the last call.
  uint64_t TakeSuppressed() {
    return this->suppressed.exchange(0, std::memory_order_relaxed);
  }

 private:
  Duration interval;
  Duration tolerance;
  /// Theoretical arrival time of the next line: the time at which the admitted
  /// lines would end if they were evenly spaced.
  std::atomic<Duration::rep> theoretical_arrival;
  std::atomic<uint64_t> suppressed{0};
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_LOG_LIMITER_H_
