#ifndef BASILSILL_BENCH_MODEL_WORLD_H_
#define BASILSILL_BENCH_MODEL_WORLD_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "basilsill/decision/view.h"
#include "model/deployment.h"
#include "model/metrics.h"
#include "model/random.h"
#include "model/simulation.h"
#include "model/upstreams.h"

/// One run: callers send requests to entry VMs, a strategy brings them to
/// upstreams, and what callers see is counted. Arrivals and service demands
/// depend on the seed alone, so that strategies meet the same work.

namespace basilsill::bench {

/// Requests that are alike.
struct Flow {
  std::string name;
  size_t service = 0;
  size_t team = 0;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  bool idempotent = true;
  bool hedge = false;
  Duration deadline = std::chrono::seconds(2);
  Duration mean = std::chrono::milliseconds(5);  ///< Demand at an upstream.
  double sigma = 1;                              ///< Lognormal shape of it.
  double load = 0;          ///< Mean share of the service's slots in use.
  double burst_factor = 1;  ///< Rate inside of bursts over that outside.
  Duration starts_at{0};    ///< Arrivals begin.
  unsigned resends = 0;     ///< Times a caller sends a refused one again.
  bool crashes_instance =
      false;             ///< All alike; each kills the instance it runs on.
  bool measured = true;  ///< Counts for the case's own figures.
};

/// Bursts: the first `kBurstLength` of every `kBurstPeriod`.
inline constexpr Duration kBurstLength = std::chrono::milliseconds(20);
inline constexpr Duration kBurstPeriod = std::chrono::milliseconds(100);

class SimulatedCluster;

/// Something that happens to the installation while it runs.
struct Disturbance {
  Duration at{0};
  std::function<void(SimulatedCluster&)> apply;
};

struct Scenario {
  Deployment deployment;
  std::vector<Flow> flows;
  std::vector<Disturbance> disturbances;
  Duration warm_up = std::chrono::seconds(1);
  Duration length = std::chrono::seconds(10);  ///< Counted, after warm-up.
  Duration idle = std::chrono::seconds(2);     ///< Without arrivals, after.
  bool models_connect_time = false;            ///< Opening one takes time.
  uint64_t seed = 1;
};

/// Position in `World::requests`.
using RequestId = uint32_t;

struct Request {
  uint32_t flow = 0;
  uint32_t number = 0;  ///< Within its flow, the same for its resends.
  uint32_t vm = 0;      ///< Entry VM.
  uint32_t resend = 0;
  uint32_t attempts = 0;  ///< At upstreams.
  TimePoint arrival{};
  TimePoint deadline{};
  bool done = false;
};

/// Brings requests from entry VMs to upstreams. One object for all VMs; what
/// it may know where is its own discipline.
class Strategy {
 public:
  virtual ~Strategy() = default;
  virtual void OnArrival(RequestId request) = 0;
  /// The caller went away.
  virtual void OnCallerTimeout(RequestId request) = 0;
  virtual void OnVmKilled(size_t vm, Duration detection_delay) = 0;
  /// `vm` is cut off from all other VMs, or reaches them again.
  virtual void OnIsolated(size_t vm, bool isolated) = 0;
  /// The VM list or the configuration says something new to `vm`.
  virtual void OnClusterState(size_t vm, const ClusterState& cluster_state) = 0;
};

class SimulatedCluster {
 public:
  explicit SimulatedCluster(const Scenario& scenario);

  /// Runs the scenario to its end.
  Metrics Run(Strategy& strategy);

  Simulation& simulation() { return this->clock; }
  Upstreams& upstreams() { return this->servers; }
  const Deployment& deployment() const { return this->scenario.deployment; }
  Request& request(RequestId id) { return this->requests[id]; }
  const Flow& flow_of(RequestId id) const {
    return this->scenario.flows[this->requests[id].flow];
  }
  size_t request_count() const { return this->requests.size(); }
  bool IsAlive(size_t vm) const { return this->alive.at(vm); }
  TimePoint now() const { return this->clock.now(); }
  ClusterState& current_state() { return this->state; }

  /// Ends `request`; later calls for it are ignored.
  void Finish(RequestId request, const Outcome& outcome);
  void CountRetry(RequestId request, Retry reason);
  /// Counts messages sent for measuring alone.
  void CountMeasuring(size_t messages, size_t bytes);
  void CountCarriedBytes(size_t bytes);

  Duration VmToVmLatency(size_t from, size_t to) const;
  Duration VmToInstanceLatency(size_t vm, size_t instance) const;

  /// Sends the next attempt of `request` from `vm` to `instance`. `done` runs
  /// when its answer is back at `vm`.
  /// @returns the attempt's number for `CancelAttempt`.
  uint32_t StartAttempt(RequestId request,
                        size_t vm,
                        size_t instance,
                        Upstreams::Done done);
  void CancelAttempt(uint32_t attempt);

  /// @returns the requests at `instance` and on their way to it. No strategy
  /// but the oracle may ask.
  uint32_t ActualInFlight(size_t instance) const;

  // What disturbances call.
  void KillVm(size_t vm, Duration detection_delay);
  /// Cuts `vm` off from the other VMs, not from upstreams; or mends that.
  void SetIsolated(size_t vm, bool isolated) {
    this->strategy->OnIsolated(vm, isolated);
  }
  /// Tells what is true now to each VM, `spread` over time.
  void PublishState(Duration spread);

 private:
  struct Attempt {
    uint32_t vm = 0;
    uint32_t instance = 0;
    bool open = false;  ///< Its answer is still wanted.
    JobHandle job;
    Upstreams::Done done;
  };

  void ScheduleArrival(uint32_t flow);
  void OnArrivalTime(uint32_t flow);
  double PeakRate(const Flow& flow) const;  ///< Highest, requests a second.
  bool AcceptsArrival(const Flow& flow, Random& random) const;
  RequestId NewRequest(uint32_t flow, uint32_t number, uint32_t resend);
  void Resend(RequestId request, const Outcome& outcome);
  bool IsCounted(const Request& request) const;
  Demand DemandOf(const Request& request) const;
  Duration ConnectDelay(size_t vm, size_t instance);
  void ReachInstance(uint32_t attempt, const Demand& demand);
  void OnServed(uint32_t attempt, JobEnd end);
  void OnAnswer(uint32_t attempt, JobEnd end);
  uint32_t& IdleConnections(size_t vm, size_t instance);

  const Scenario& scenario;
  Simulation clock;
  Upstreams servers;
  Strategy* strategy = nullptr;
  Metrics metrics;
  ClusterState state;
  std::vector<bool> alive;
  std::vector<Request> requests;
  std::vector<Attempt> attempts;
  std::vector<Random> arrivals;  ///< By flow.
  std::vector<uint32_t> sent;    ///< Requests so far, by flow.
  Random resend_random;
  std::vector<uint32_t> idle_connections;  ///< By VM and instance.
  std::vector<uint32_t> in_transit;        ///< Attempts, by instance.
};

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_WORLD_H_
