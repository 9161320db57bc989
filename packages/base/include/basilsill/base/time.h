#ifndef BASILSILL_BASE_TIME_H_
#define BASILSILL_BASE_TIME_H_

#include <chrono>
#include <cstdint>

/// The clocks of the project. Decision code never reads a clock: it is handed a
/// time point by the shell, or by a test in virtual time.

namespace basilsill {

using Duration = std::chrono::nanoseconds;

/// Monotonic time of one process. Means nothing to another process.
struct MonotonicClock {
  using rep = int64_t;
  using period = std::nano;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT: the standard's name.

  /// @returns the monotonic time now. For shells only.
  static time_point now() {
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
  }
};
using TimePoint = MonotonicClock::time_point;

/// As MonotonicClock, but goes on while the VM is suspended: for what has to
/// end in time however long the process stands still.
struct LeaseClock {
  using rep = int64_t;
  using period = std::nano;
  using duration = Duration;
  using time_point = std::chrono::time_point<LeaseClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT: the standard's name.

  /// @returns the time now. For shells only.
  static time_point now();
};
using LeaseTime = LeaseClock::time_point;

/// Calendar time, as keys and records carry it. Never used for safety.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A span that is held in rows of large tables.
using ShortMillis = std::chrono::duration<uint32_t, std::milli>;

/// The time point that never comes.
inline constexpr TimePoint kNever = TimePoint::max();

}  // namespace basilsill

#endif  // BASILSILL_BASE_TIME_H_
