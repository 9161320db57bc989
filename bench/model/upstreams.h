#ifndef BASILSILL_BENCH_MODEL_UPSTREAMS_H_
#define BASILSILL_BENCH_MODEL_UPSTREAMS_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "basilsill/base/handle.h"
#include "model/deployment.h"
#include "model/simulation.h"

/// Upstream instances: slots, a first-come queue for what is beyond them, and
/// the ways in which they misbehave.

namespace basilsill::bench {

/// Connections of one instance; what is beyond them is shed.
inline constexpr size_t kConnectionsPerInstance = 200;

struct JobTag;
using JobHandle = Handle<JobTag>;

/// How an instance treats new work.
enum class InstanceMode : uint8_t {
  kServing,
  kFailFast,             ///< Answers 500 at once, whatever is asked.
  kDraining,             ///< Ends what it has, refuses new work and says why.
  kShedding,             ///< Refuses new work before running it.
  kBreakingConnections,  ///< Accepts work, then breaks its connection.
  kDown,                 ///< Refuses connections.
  kCount
};

enum class JobEnd : uint8_t {
  kAnswered,
  kFailed,  ///< Answered with status 500.
  kShed,
  kDraining,  ///< Shed, with the sign that the instance is leaving.
  kConnectFailed,
  kDied,
  kCount
};

/// What a request asks of an instance.
struct Demand {
  Duration time{};  ///< At full speed.
  bool crashes_instance =
      false;  ///< The instance dies when it begins to run it.
};

/// Load that an instance tells of itself when it is probed.
struct LoadReport {
  uint32_t in_flight = 0;
  Duration latency{};  ///< Median of recent ones that began at such a load.
};

class Upstreams {
 public:
  using Done = std::function<void(JobEnd)>;

  Upstreams(Simulation& simulation, const Deployment& deployment);

  /// A request reaches `instance`. `done` runs once, when the instance has
  /// ended it, unless it is cancelled before.
  JobHandle Submit(size_t instance, const Demand& demand, Done done);

  /// The request's connection was closed by the other side.
  void Cancel(JobHandle job);

  /// Makes `instance` run `factor` times slower, also what runs by now.
  void SetSlowdown(size_t instance, double factor);

  /// Changes how new work is treated. kDown also breaks what is there.
  void SetMode(size_t instance, InstanceMode mode);

  LoadReport Report(size_t instance) const;
  uint32_t InFlight(size_t instance) const;

  /// @returns true unless `instance` refuses work and says so.
  bool AcceptsWork(size_t instance) const;

  size_t submissions() const { return this->submitted; }
  size_t deaths() const { return this->death_count; }
  /// Work that reached a draining instance, and when that last happened.
  size_t late_submissions() const { return this->late_count; }
  Duration last_late_submission() const { return this->last_late; }

 private:
  static constexpr size_t kLoadLevels = 16;
  static constexpr size_t kRecentLatencies = 16;

  struct Job {
    size_t instance = 0;
    bool running = false;
    uint32_t in_flight_at_start = 0;
    uint32_t schedule = 0;  ///< Counts the times its end was scheduled.
    Demand demand;
    TimePoint submitted{};
    TimePoint ends{};
    Done done;
  };
  /// The last latencies of requests that began at one load.
  struct RecentLatencies {
    std::array<Duration, kRecentLatencies> ring{};
    size_t count = 0;
  };
  struct Instance {
    unsigned slots = 0;
    double slowdown = 1;
    InstanceMode mode = InstanceMode::kServing;
    TimePoint draining_since{};
    std::vector<JobHandle> running;
    std::deque<JobHandle> waiting;
    std::array<RecentLatencies, kLoadLevels> latency_at{};
  };

  /// Ends a request that the instance does not serve.
  /// @returns true if its mode, or its being full, says so.
  bool Reject(Instance& instance, const Done& done);
  void StartWaiting(Instance& instance);
  void ScheduleEnd(JobHandle handle, Duration remaining);
  void OnEnd(JobHandle handle, uint32_t schedule);
  void RecordLatency(Instance& instance, const Job& job);
  void Crash(size_t instance);
  void BreakAll(Instance& instance);

  Simulation& simulation;
  std::vector<Instance> instances;
  HandleTable<Job, JobTag> jobs;
  size_t submitted = 0;
  size_t death_count = 0;
  size_t late_count = 0;
  Duration last_late{0};
};

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_UPSTREAMS_H_
