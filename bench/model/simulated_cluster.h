#ifndef BASILSILL_BENCH_MODEL_SIMULATED_CLUSTER_H_
#define BASILSILL_BENCH_MODEL_SIMULATED_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "basilsill/decision/repeat_budget.h"
#include "basilsill/decision/view.h"
#include "model/deployment.h"
#include "model/metrics.h"
#include "model/random.h"
#include "model/simulation.h"
#include "model/upstreams.h"

/// One simulated run: callers send requests to entry VMs, a strategy routes
/// them to upstreams, and the outcomes that callers see are counted. Arrivals
/// and service demands depend only on the seed, so that all strategies get the
/// same work.

namespace basilsill::bench {

/// A stream of requests with the same properties.
struct Flow {
  std::string name;
  size_t service = 0;
  size_t team = 0;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  bool idempotent = true;
  bool hedge = false;
  Duration deadline = std::chrono::seconds(2);
  /// Mean service time at an upstream.
  Duration mean = std::chrono::milliseconds(5);
  double sigma = 1;  ///< Sigma of the lognormal service time.
  double load = 0;   ///< Mean share of the service's slots in use.
  /// Ratio of the arrival rate inside of bursts to that outside.
  double burst_factor = 1;
  Duration starts_at{0};  ///< Time of the first arrivals.
  /// Number of times that a caller resends a request that was refused or timed
  /// out.
  unsigned resends = 0;
  /// Latency target, counted from the caller's first attempt, with the network
  /// round trip between caller and VM; 0: none. A caller with a target keeps
  /// its first deadline when it resends, and waits as long as it was told, up
  /// to a third of the time that it has left.
  Duration target{0};
  /// Identical requests, each of which crashes the instance that runs it.
  bool crashes_instance = false;
  bool measured = true;  ///< Counts towards the case's main figures.
};

/// Bursts last for the first `kBurstLength` of every `kBurstPeriod`.
inline constexpr Duration kBurstLength = std::chrono::milliseconds(20);
inline constexpr Duration kBurstPeriod = std::chrono::milliseconds(100);

class SimulatedCluster;

/// A fault or change that is applied to the installation during the run.
struct Disturbance {
  Duration at{0};
  std::function<void(SimulatedCluster&)> apply;
};

struct Scenario {
  Deployment deployment;
  std::vector<Flow> flows;
  std::vector<Disturbance> disturbances;
  Duration warm_up = std::chrono::seconds(1);
  /// Counted period after the warm-up.
  Duration length = std::chrono::seconds(10);
  /// Period without arrivals, after the counted one.
  Duration idle = std::chrono::seconds(2);
  /// Opening a connection takes kConnectTime.
  bool models_connect_time = false;
  /// Upstreams report their load with each answer.
  bool reports_load = false;
  Duration caller_round_trip{0};
  /// Limit of the fleet on repeats; none: each VM has budgets of its own.
  std::optional<RepeatBudgetOptions> repeats;
  uint64_t seed = 1;
};

/// Position in `SimulatedCluster::requests`.
using RequestId = uint32_t;

struct Request {
  uint32_t flow = 0;
  /// Number within its flow; resends have the number of the original.
  uint32_t number = 0;
  uint32_t vm = 0;        ///< Entry VM.
  uint32_t resend = 0;    ///< 0 for the original, then 1 for the first resend.
  uint32_t attempts = 0;  ///< Attempts at upstreams.
  TimePoint arrival{};
  TimePoint first_arrival{};  ///< Of the original.
  TimePoint deadline{};
  bool done = false;
};

/// Routes requests from entry VMs to upstreams. One object acts for all VMs; an
/// implementation must not use state of one VM on another without a message.
class Strategy {
 public:
  virtual ~Strategy() = default;
  virtual void OnArrival(RequestId request) = 0;
  /// The caller stopped waiting for the answer.
  virtual void OnCallerTimeout(RequestId request) = 0;
  /// `vm` died. Its peers detect that after `detection_delay`.
  virtual void OnVmKilled(size_t vm, Duration detection_delay) = 0;
  /// `vm` lost its links to all other VMs, or regained them.
  virtual void OnIsolated(size_t vm, bool isolated) = 0;
  /// The VM list or the configuration that `vm` sees changed.
  virtual void OnClusterState(size_t vm, const ClusterState& cluster_state) = 0;
};

class SimulatedCluster {
 public:
  explicit SimulatedCluster(const Scenario& scenario);

  /// Runs the scenario to its end.
  /// @returns the metrics of the run.
  Metrics Run(Strategy& strategy);

  Simulation& simulation() { return this->clock; }
  const Scenario& current_scenario() const { return this->scenario; }
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

  /// Ends `request`. Later calls for the same request are ignored.
  void Finish(RequestId request, const Outcome& outcome);
  void CountRetry(RequestId request, Retry reason);
  /// Counts messages that are sent only to measure load.
  void CountMeasuring(size_t messages, size_t bytes);
  /// Counts bytes of load figures that are piggybacked on answers.
  void CountCarriedBytes(size_t bytes);

  Duration VmToVmLatency(size_t from, size_t to) const;
  Duration VmToInstanceLatency(size_t vm, size_t instance) const;

  /// Sends the next attempt of `request` from `vm` to `instance`. `done` runs
  /// when the answer arrives at `vm`.
  /// @returns the number of the attempt, for `CancelAttempt`.
  uint32_t StartAttempt(RequestId request,
                        size_t vm,
                        size_t instance,
                        Upstreams::Done done);
  void CancelAttempt(uint32_t attempt);

  /// @returns the number of requests at `instance` and in transit to it. Only
  /// the oracle may use it: no real VM has this information.
  uint32_t ActualInFlight(size_t instance) const;

  // Called by disturbances.
  void KillVm(size_t vm, Duration detection_delay);
  /// Breaks the links of `vm` to all other VMs, or restores them. Upstreams
  /// stay reachable.
  void SetIsolated(size_t vm, bool isolated) {
    this->strategy->OnIsolated(vm, isolated);
  }
  /// Delivers the current state to all live VMs, one after the other over a
  /// period of `spread`.
  void PublishState(Duration spread);

 private:
  struct Attempt {
    RequestId request = 0;
    uint32_t vm = 0;
    uint32_t instance = 0;
    bool open = false;  ///< The answer is still awaited.
    JobHandle job;
    Upstreams::Done done;
  };

  void ScheduleArrival(uint32_t flow);
  void OnArrivalTime(uint32_t flow);
  /// Highest arrival rate, in requests per second.
  double PeakRate(const Flow& flow) const;
  bool AcceptsArrival(const Flow& flow, Random& random) const;
  RequestId NewRequest(uint32_t flow,
                       uint32_t number,
                       uint32_t resend,
                       TimePoint first_arrival = kNever);
  void Resend(RequestId request, const Outcome& outcome);
  void CountSend(RequestId request);
  void Return(RequestId request, const Outcome& outcome);
  void CountTarget(const Request& request,
                   const Outcome& outcome,
                   bool returns);
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
  std::vector<uint32_t> sent;    ///< Requests sent so far, by flow.
  Random resend_random;
  std::vector<uint32_t> idle_connections;  ///< By VM and instance.
  std::vector<uint32_t> in_transit;  ///< Attempts in transit, by instance.
};

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_SIMULATED_CLUSTER_H_
