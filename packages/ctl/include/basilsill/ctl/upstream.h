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

/// Emulated upstream instances: HTTP/1.1 servers on loopback with a limited
/// number of slots, a FIFO queue and fault injection. They replace real
/// upstreams in tests, benchmarks and `basilsillctl upstream`.

namespace basilsill::ctl {

/// Probability distribution of the service times.
enum class ServiceDistribution : uint8_t {
  kFixed,
  kExponential,
  kLognormal,
  kCount
};

/// Largest number of jobs that one instance holds, running and queued together.
inline constexpr size_t kMaxUpstreamJobs = 4096;

/// Behaviour of an instance. Every field can be changed while it runs.
struct UpstreamBehaviour {
  unsigned slots = 2;
  Duration service_mean = std::chrono::milliseconds(5);
  ServiceDistribution service_distribution = ServiceDistribution::kFixed;
  /// Standard deviation of the logarithm; kLognormal only.
  double service_sigma = 1.0;
  size_t answer_bytes = 1024;

  size_t queue_limit = 256;  ///< Requests beyond it are shed.
  bool shed = false;         ///< Sheds every request.

  bool draining = false;
  /// Time after the start of draining during which requests are still served;
  /// after it they are refused.
  Duration drain_grace = std::chrono::seconds(3);

  double straggle_factor = 1.0;  ///< Multiplies service times.
  Duration cold_time{};          ///< Duration of the cold phase after a start.
  double cold_factor = 4.0;      ///< Multiplies service times while cold.

  /// Advertised rate limit in requests per second over all callers; negative:
  /// none is advertised.
  double rate_limit = -1;

  Duration report_lag{};       ///< Age of the load that is reported.
  double report_factor = 1.0;  ///< Multiplies the reported load.

  /// Corrupts one byte of the body of every Nth answer that is not streamed; 0:
  /// none.
  size_t corrupt_every = 0;
  /// Closes the connection after this many bytes of the body of a streamed
  /// answer (one above 64 KiB); 0: never.
  size_t cut_after = 0;

  Duration accept_delay{};  ///< Delay of a new connection's first read.
  size_t max_connections = 4096;
  Duration down_time = std::chrono::seconds(1);  ///< From crash to restart.
};

/// Counters of an instance since it was created. A crash does not reset them,
/// except that `running` and `queued` become 0.
struct UpstreamCounts {
  uint64_t arrivals = 0;
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t shed = 0;
  uint64_t refused_draining = 0;
  uint64_t expired = 0;  ///< Skipped because the deadline passed in the queue.
  uint64_t cancelled_queued = 0;
  uint64_t cancelled_running = 0;
  uint64_t crashes = 0;
  uint64_t lost_in_crash = 0;  ///< Jobs running or queued at a crash.
  uint64_t load_reports = 0;
  uint64_t connections_opened = 0;
  uint64_t connections_refused = 0;
  uint64_t arrivals_while_draining = 0;
  /// Time from the start of draining to the last arrival since then.
  Duration last_arrival_after_drain{};
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t peak_queued = 0;
  /// Executions that are missing in `executions` because it is full.
  uint64_t keys_not_counted = 0;
  /// Number of executions by idempotency key.
  std::map<std::string, uint32_t, std::less<>> executions;
};

/// Configuration of a set of instances.
struct UpstreamOptions {
  std::string address = "127.0.0.1";
  /// Port of the first instance; the others use the ports after it. With 0 the
  /// kernel chooses each port.
  uint16_t port = 0;
  size_t count = 1;
  size_t threads = 1;
  std::string name = "upstream";  ///< Several are called NAME-0, NAME-1, ...
  uint64_t seed = 1;              ///< Seed of the service times.
  UpstreamBehaviour behaviour;
};

/// Name and endpoint of one instance.
struct UpstreamEndpoint {
  std::string name;
  std::string address;
  uint16_t port = 0;
};

/// A set of emulated instances in this process, which run on their own threads.
/// Public methods may be called from any thread except those of the instances.
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

  /// @returns the endpoint of each instance, by index.
  const std::vector<UpstreamEndpoint>& endpoints() const;

  /// @returns a copy of the counters of instance `index`.
  UpstreamCounts CountsOf(size_t index) const;

  /// Changes the behaviour of instance `index` before it returns.
  void Change(size_t index,
              const std::function<void(UpstreamBehaviour&)>& change);

  /// Crashes instance `index`: its listener and connections close, and it
  /// listens again on its port after the behaviour's `down_time`.
  void Crash(size_t index);

  /// Blocks until `condition` holds for the counters of instance `index`.
  /// @param condition Called on the thread of the instance after changes, until
  /// it returns true, also after a timeout.
  /// @returns false on a timeout after `limit`.
  bool WaitFor(size_t index,
               const std::function<bool(const UpstreamCounts&)>& condition,
               std::chrono::milliseconds limit = std::chrono::seconds(30));

  /// Closes all listeners and connections and joins the threads. The destructor
  /// calls it.
  void Stop();

 private:
  struct Impl;
  explicit EmulatedUpstreams(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_UPSTREAM_H_
