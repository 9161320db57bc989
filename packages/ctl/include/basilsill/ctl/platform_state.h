#ifndef BASILSILL_CTL_PLATFORM_STATE_H_
#define BASILSILL_CTL_PLATFORM_STATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "basilsill/base/endpoint.h"
#include "basilsill/base/time.h"

/// State of the emulated platform: the log, the VM list and the injected
/// faults. It uses no sockets or clocks. docs/design/platform-protocol.md
/// specifies the protocol.

namespace basilsill::ctl {

/// Injected faults and limits; they can be changed at run time.
struct PlatformFaults {
  static constexpr size_t kKeepAll = SIZE_MAX;

  bool down = false;      ///< Log calls are answered with 503.
  bool vms_down = false;  ///< VM list calls are answered with 503.
  /// Delay between the time an append takes effect and its answer.
  std::chrono::milliseconds append_delay{0};
  uint64_t drop_answers = 0;  ///< Number of upcoming appends without answer.
  /// Age of the VM list that readers are given.
  std::chrono::milliseconds vm_list_lag{0};
  size_t retention_records = kKeepAll;  ///< Records kept per stream.
  uint64_t appends_per_second = 0;      ///< 0: no limit.

  friend bool operator==(const PlatformFaults&,
                         const PlatformFaults&) = default;
};

/// Range of offsets that a stream holds: [first, end).
struct StreamBounds {
  uint64_t first = 0;
  uint64_t end = 0;

  friend bool operator==(const StreamBounds&, const StreamBounds&) = default;
};

/// One stream of records. Offsets start at 0 and have no gaps.
class LogStream {
 public:
  /// Appends one record for each of `bodies`.
  /// @returns the offset of the first of them.
  uint64_t Append(std::vector<std::string> bodies);

  /// Removes the oldest records until at most `retention` are left.
  void Trim(size_t retention);

  StreamBounds Bounds() const;

  /// @returns the body at `offset`, which must be within the bounds.
  const std::string& At(uint64_t offset) const;

 private:
  uint64_t first = 0;
  std::deque<std::string> records;
};

/// Entry of the VM list.
struct ListedVm {
  std::string name;
  std::string data_centre;
  Endpoint control;
  bool leaving = false;

  friend bool operator==(const ListedVm&, const ListedVm&) = default;
};

/// The VM list with its latest versions, so that PlatformFaults::vm_list_lag
/// can present an earlier one.
class VmTable {
 public:
  static constexpr size_t kVersionsKept = 1024;

  /// State of the list from `since` to the next version.
  struct Version {
    uint64_t number = 0;
    TimePoint since;
    std::map<std::string, ListedVm> vms;
  };

  VmTable();

  /// Adds or replaces a VM, which makes a new version.
  void Put(ListedVm vm, TimePoint now);

  /// Removes a VM, which makes a new version.
  /// @returns false if there is no such VM.
  bool Remove(const std::string& name, TimePoint now);

  /// @returns the version in effect at `when`, or the oldest one kept if `when`
  /// is before it.
  const Version& At(TimePoint when) const;

  /// @returns the time of the first version after `number`, or nothing if there
  /// is none yet.
  std::optional<TimePoint> TimeOfChangeAfter(uint64_t number) const;

 private:
  void AddVersion(std::map<std::string, ListedVm> vms, TimePoint now);

  std::deque<Version> versions;
};

/// Token bucket that limits the rate of append calls.
class AppendRateLimiter {
 public:
  /// Takes a token if there is one.
  /// @param per_second Append calls allowed per second; 0: no limit.
  /// @returns true if an append at `now` is within the limit.
  bool Allow(uint64_t per_second, TimePoint now);

 private:
  double tokens = 0;
  std::optional<TimePoint> refilled_at;
};

/// Counters since the start of the platform.
struct PlatformStats {
  uint64_t append_calls = 0;
  uint64_t append_records = 0;
  uint64_t append_bytes = 0;
  uint64_t append_refusals = 0;  ///< Answered with 429 or 503.
  uint64_t dropped_answers = 0;
  uint64_t read_calls = 0;
  uint64_t read_records = 0;
  uint64_t read_bytes = 0;
  uint64_t vm_list_calls = 0;
};

/// Complete state of the platform. PlatformServer maps HTTP calls to it.
struct PlatformState {
  std::map<std::string, LogStream> streams;
  VmTable vms;
  PlatformFaults faults;
  AppendRateLimiter append_rate_limiter;
  PlatformStats stats;
};

/// Result of an append call.
enum class AppendOutcome : uint8_t {
  kAnswered,
  /// Took effect; the connection must close without an answer.
  kDropped,
  kDown,         ///< 503, no effect.
  kRateLimited,  ///< 429, no effect.
  kCount
};

/// Appends `bodies` to `stream` and applies the injected faults and limits.
/// @param first Set to the offset of the first record if the append took
/// effect.
AppendOutcome Append(PlatformState& state,
                     const std::string& stream,
                     std::vector<std::string> bodies,
                     TimePoint now,
                     uint64_t& first);

/// Replaces the faults and applies the new retention to all streams.
void SetFaults(PlatformState& state, const PlatformFaults& faults);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_PLATFORM_STATE_H_
