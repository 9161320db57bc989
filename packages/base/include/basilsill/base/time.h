#ifndef BASILSILL_BASE_TIME_H_
#define BASILSILL_BASE_TIME_H_

#include <chrono>
#include <cstdint>

/// The clocks of the project. Decision code never reads a clock: its caller
/// passes it a time point. The caller is a test with virtual time or the host,
/// which is the code that does input and output and carries out what the
/// decision code returns.

namespace basilsill {

using Duration = std::chrono::nanoseconds;

/// Monotonic time of one process. Not comparable between processes.
struct MonotonicClock {
  using rep = int64_t;
  using period = std::nano;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT: the standard's name.

  /// @returns the monotonic time now. For hosts only.
  static time_point now() {
    return time_point(std::chrono::steady_clock::now().time_since_epoch());
  }
};
using TimePoint = MonotonicClock::time_point;

/// As MonotonicClock, but also advances while the VM is suspended: for leases,
/// which must expire on time however long the process is stopped.
struct LeaseClock {
  using rep = int64_t;
  using period = std::nano;
  using duration = Duration;
  using time_point = std::chrono::time_point<LeaseClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT: the standard's name.

  /// @returns the time now. For hosts only.
  static time_point now();
};
using LeaseTime = LeaseClock::time_point;

/// Calendar time, as contained in keys and records. Safety never depends on it.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A compact duration for rows of large tables.
using ShortMillis = std::chrono::duration<uint32_t, std::milli>;

/// A time point that is never reached.
inline constexpr TimePoint kNever = TimePoint::max();

}  // namespace basilsill

#endif  // BASILSILL_BASE_TIME_H_
