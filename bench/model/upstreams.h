#ifndef BASILSILL_BENCH_MODEL_UPSTREAMS_H_
#define BASILSILL_BENCH_MODEL_UPSTREAMS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "basilsill/base/handle.h"
#include "basilsill/decision/dispatch.h"
#include "model/deployment.h"
#include "model/random.h"
#include "model/simulation.h"

/// Simulated upstream instances: slots, a FIFO queue for requests beyond the
/// slots, and failure modes.

namespace basilsill::bench {

/// Maximum number of connections of one instance; requests beyond them are
/// shed.
inline constexpr size_t kConnectionsPerInstance = 200;

struct JobTag;
using JobHandle = Handle<JobTag>;

/// Treatment of new work by an instance.
enum class InstanceMode : uint8_t {
  kServing,
  kFailFast,  ///< Answers every request with 500 at once.
  /// Completes accepted work and refuses new work with a drain sign.
  kDraining,
  kShedding,             ///< Refuses new work before running it.
  kBreakingConnections,  ///< Accepts requests, then breaks their connections.
  kDown,                 ///< Refuses connections.
  kCount
};

enum class JobEnd : uint8_t {
  kAnswered,
  kFailed,  ///< Answered with status 500.
  kShed,
  kDraining,  ///< Shed with a drain sign.
  kConnectFailed,
  kDied,
  kCount
};

/// Work that a request causes at an instance.
struct Demand {
  Duration time{};  ///< Service time without slowdown.
  /// The instance crashes shortly after it starts the request.
  bool crashes_instance = false;
};

/// Load that an instance reports when it is probed.
struct LoadReport {
  uint32_t in_flight = 0;
  /// Median latency of recent requests that arrived at a similar load.
  Duration latency{};
};

class Upstreams {
 public:
  using Done = std::function<void(JobEnd)>;

  Upstreams(Simulation& simulation, const Deployment& deployment);

  /// Submits a request to `instance`. `done` runs once, when the instance ends
  /// the request, unless the request is cancelled first.
  /// @returns an invalid handle if the instance rejects the request.
  JobHandle Submit(size_t instance, const Demand& demand, Done done);

  /// Cancels a request because the other side closed its connection.
  void Cancel(JobHandle job);

  /// Makes `instance` run `factor` times slower, including requests that are
  /// already running.
  void SetSlowdown(size_t instance, double factor);

  /// Sets how `instance` treats new work. kDown also breaks the connections of
  /// queued and running requests.
  void SetMode(size_t instance, InstanceMode mode);

  /// Makes `instance` shed `share` of its requests at random, whether or not
  /// it has free slots.
  void SetShedShare(size_t instance, double share);

  /// Gives `instance` `slots` slots, and makes it shed requests while `queue`
  /// requests wait for one.
  void SetCapacity(size_t instance, unsigned slots, size_t queue);

  /// @returns the load that `instance` reports with an answer.
  UpstreamLoad LoadOf(size_t instance) const;

  LoadReport Report(size_t instance) const;
  uint32_t InFlight(size_t instance) const;

  /// @returns true if `instance` serves requests or answers them with errors,
  /// false if it refuses, sheds or breaks them.
  bool AcceptsWork(size_t instance) const;

  size_t submissions() const { return this->submitted; }
  size_t deaths() const { return this->death_count; }
  /// Requests that reached a draining instance, and the time from the start of
  /// the drain to the last of them.
  size_t late_submissions() const { return this->late_count; }
  Duration last_late_submission() const { return this->last_late; }

 private:
  static constexpr size_t kLoadLevels = 16;
  static constexpr size_t kRecentLatencies = 16;

  struct Job {
    size_t instance = 0;
    bool running = false;
    uint32_t in_flight_at_start = 0;
    /// Number of times that its end was scheduled; identifies outdated end
    /// events.
    uint32_t schedule = 0;
    Demand demand;
    TimePoint submitted{};
    TimePoint ends{};
    Done done;
  };
  /// Latest latencies of requests that arrived at one load level.
  struct RecentLatencies {
    std::array<Duration, kRecentLatencies> ring{};
    size_t count = 0;
  };
  struct Instance {
    unsigned slots = 0;
    double slowdown = 1;
    InstanceMode mode = InstanceMode::kServing;
    double shed_share = 0;
    size_t max_in_flight = kConnectionsPerInstance;
    TimePoint draining_since{};
    std::vector<JobHandle> running;
    std::deque<JobHandle> waiting;
    std::array<RecentLatencies, kLoadLevels> latency_at{};
  };

  /// Rejects a request if the instance's mode requires it or its connections
  /// are exhausted.
  /// @returns true if the request was rejected.
  bool Reject(Instance& instance, const Done& done);
  void StartWaiting(Instance& instance);
  void ScheduleEnd(JobHandle handle, Duration remaining);
  void OnEnd(JobHandle handle, uint32_t schedule);
  void RecordLatency(Instance& instance, const Job& job);
  void Crash(size_t instance);
  void BreakAll(Instance& instance);
  bool IsShed(const Instance& instance);

  Simulation& simulation;
  Random shed_random;
  std::vector<Instance> instances;
  HandleTable<Job, JobTag> jobs;
  size_t submitted = 0;
  size_t death_count = 0;
  size_t late_count = 0;
  Duration last_late{0};
};

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_UPSTREAMS_H_
