#ifndef BASILSILL_CTL_UPSTREAM_H_
#define BASILSILL_CTL_UPSTREAM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/base/time.h"

/// Emulated upstream instances: HTTP/1.1 servers on loopback with slots, a
/// FIFO queue and faults on demand. They stand in for real upstreams in tests,
/// benchmarks and `basilsillctl upstream`.

namespace basilsill::ctl {

/// How service times are spread around their mean.
enum class ServiceDistribution : uint8_t {
  kFixed,
  kExponential,
  kLognormal,
  kCount
};

/// Most works that one instance holds, running and queued together.
inline constexpr size_t kMaxUpstreamWorks = 4096;

/// How an instance behaves; all of it can be changed while it runs.
struct UpstreamBehaviour {
  unsigned slots = 2;
  Duration service_mean = std::chrono::milliseconds(5);
  ServiceDistribution service_distribution = ServiceDistribution::kFixed;
  double service_sigma = 1.0;  ///< Of the logarithm; kLognormal only.
  size_t answer_bytes = 1024;

  size_t queue_limit = 256;  ///< Beyond it requests are shed.
  bool shed = false;         ///< Sheds every request.

  bool draining = false;
  /// While it drains an instance still works for so long, then refuses.
  Duration drain_grace = std::chrono::seconds(3);

  double straggle_factor = 1.0;  ///< Multiplies service times.
  Duration cold_time{};          ///< How long a start is cold.
  double cold_factor = 4.0;      ///< Multiplies service times while cold.

  /// Requests a second that it says it takes from all together; negative: it
  /// says nothing of it.
  double rate_limit = -1;

  Duration report_lag{};       ///< Age of what the load report shows.
  double report_factor = 1.0;  ///< Multiplies what it shows; 0 says idle.

  /// One byte of every so many-th default answer is wrong; 0: of none.
  size_t corrupt_every = 0;
  /// Closes in the middle of a streamed answer (one above 64 KiB) after so
  /// many bytes of its body; 0: never.
  size_t cut_after = 0;

  Duration accept_delay{};  ///< Cost of a new connection.
  size_t max_connections = 4096;
  Duration down_time = std::chrono::seconds(1);  ///< Away after a crash.
};

/// What an instance counted since it was created; crashes don't reset it.
struct UpstreamCounts {
  uint64_t arrivals = 0;
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t shed = 0;
  uint64_t refused_draining = 0;
  uint64_t expired = 0;  ///< Skipped: their deadline passed in the queue.
  uint64_t cancelled_queued = 0;
  uint64_t cancelled_running = 0;
  uint64_t crashes = 0;
  uint64_t lost_in_crash = 0;  ///< Works that were here when it crashed.
  uint64_t load_reports = 0;
  uint64_t connections_opened = 0;
  uint64_t connections_refused = 0;
  uint64_t arrivals_while_draining = 0;
  /// From the start of draining to the last arrival after it.
  Duration last_arrival_after_drain{};
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t peak_queued = 0;
  uint64_t keys_not_counted = 0;  ///< Executions past the limit of keys.
  /// Executions by idempotency key.
  std::map<std::string, uint32_t, std::less<>> executions;
};

/// How to start a set of instances.
struct UpstreamOptions {
  std::string address = "127.0.0.1";
  /// Port of the first instance, the others follow it; 0 lets the kernel
  /// choose each.
  uint16_t port = 0;
  size_t count = 1;
  size_t threads = 1;
  std::string name = "upstream";  ///< With several: NAME-0, NAME-1, ...
  uint64_t seed = 1;
  UpstreamBehaviour behaviour;
};

/// Where one instance listens.
struct UpstreamEndpoint {
  std::string name;
  std::string address;
  uint16_t port = 0;
};

/// A set of emulated instances in this process, on threads of their own.
/// Every public method may be called from any thread but theirs.
class EmulatedUpstreams {
 public:
  /// Opens every listener and starts the threads.
  /// @returns kOutOfRange for an address that is not loopback or a bad count,
  /// kNetwork if a listener can't be opened.
  static Result<std::unique_ptr<EmulatedUpstreams>> Create(
      const UpstreamOptions& options);

  ~EmulatedUpstreams();
  EmulatedUpstreams(const EmulatedUpstreams&) = delete;
  EmulatedUpstreams& operator=(const EmulatedUpstreams&) = delete;

  /// @returns where each instance listens, in the order of their numbers.
  const std::vector<UpstreamEndpoint>& endpoints() const;

  /// @returns a copy of what instance `index` counted so far.
  UpstreamCounts CountsOf(size_t index) const;

  /// Changes the behaviour of instance `index`; in force on return.
  void Change(size_t index,
              const std::function<void(UpstreamBehaviour&)>& change);

  /// Crashes instance `index`: its listener and connections close; it comes
  /// back on its port after the behaviour's `down_time`.
  void Crash(size_t index);

  /// Blocks until `reached` holds for the counts of instance `index`.
  /// @param reached Called on the instance's thread after each change.
  /// @returns false if it did not within `limit`.
  bool WaitFor(size_t index,
               const std::function<bool(const UpstreamCounts&)>& reached,
               std::chrono::milliseconds limit = std::chrono::seconds(30));

  /// Closes everything and joins the threads; also done on destruction.
  void Stop();

 private:
  struct Impl;
  explicit EmulatedUpstreams(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_UPSTREAM_H_
