#ifndef BASILSILL_DECISION_TEST_RATE_LIMIT_SIMULATION_H_
#define BASILSILL_DECISION_TEST_RATE_LIMIT_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include <pcg_random.hpp>

#include "decision_fixture.h"

/// Simulates, in virtual time, upstreams of one shard that advertise rate
/// limits and VMs that consider themselves the shard's dispatcher. Counts all
/// requests and probes that reach an upstream, and compares them with what the
/// limit allows.

namespace basilsill {

struct RateLimitSimulationOptions {
  uint32_t upstreams = 3;
  uint16_t slots = 2;
  double requests_per_second = 25;  ///< For each VM that dispatches.
  std::chrono::milliseconds request_duration{120};
  uint32_t vms = 1;
  uint32_t stale_percent = 0;  ///< Of sends: the connection is stale.
  uint32_t died_percent = 0;   ///< Of attempts: no answer.
  uint32_t shed_percent = 0;   ///< Of attempts: refused by the upstream.
};

class RateLimitSimulation {
 public:
  RateLimitSimulation(uint64_t seed, const RateLimitSimulationOptions& options);

  /// From now on the upstream advertises this limit; nullopt: none.
  void SetLimit(uint32_t upstream, std::optional<double> per_second);

  /// Offers requests to the VMs that dispatch, for `time`.
  void Run(Duration time);

  void SetDispatches(uint32_t vm, bool dispatches);
  /// The VM and all others can't reach each other, and their views show it.
  void SetCutOff(uint32_t vm, bool cut_off);
  /// Restarts the VM, which loses its state.
  void Restart(uint32_t vm);

  /// @returns the largest excess of any upstream over the contract's bound for
  /// four seconds, in requests; negative if the bound was never reached.
  double worst_excess() const { return this->worst; }

  /// @returns how many requests and probes have reached the upstream.
  size_t arrivals(uint32_t upstream) const;
  size_t answered() const { return this->answers; }
  size_t probes(uint32_t upstream) const;
  const std::vector<DispatchAction>& refused(uint32_t vm) const;
  DispatchHarness& harness(uint32_t vm) { return this->vms.at(vm)->harness; }
  TimePoint time() const { return this->now; }
  pcg32& random_source() { return this->random; }

 private:
  struct Arrival {
    TimePoint at;
    uint32_t vm = 0;
  };
  struct Probe {
    TimePoint due;
    UpstreamHandle upstream;
  };
  struct ActiveRequest {
    AttemptHandle attempt;
    UpstreamHandle upstream;
    TimePoint ends;
  };
  struct Vm {
    explicit Vm(const DispatcherOptions& options) : harness(options) {}
    DispatchHarness harness;
    bool dispatches = true;
    bool cut_off = false;
    std::deque<Probe> probes;
    std::vector<ActiveRequest> active_requests;
    TimePoint next_update_at{};
    /// By upstream: when the VM first passed on an answer that advertises a
    /// limit.
    std::vector<TimePoint> advertised_since;
  };
  struct Upstream {
    std::optional<double> limit;
    /// The limit before its last decrease, and the time of that decrease. The
    /// old limit stays allowed for a moment, since VMs notice the change late.
    double limit_before = 0;
    TimePoint decreased_at{};
    TimePoint first_advertised_at = kNever;
    std::deque<Arrival> recent;
    std::deque<double> allowed;  ///< For each step of the window.
    double allowed_sum = 0;
    size_t arrivals = 0;
    size_t probes = 0;
  };

  std::unique_ptr<Vm> MakeVm(uint32_t number);
  void UpdateReachability(uint32_t number);
  void Step(uint32_t number);
  void EndRequests(uint32_t number, Vm& vm);
  void EndRequest(uint32_t number, Vm& vm, const ActiveRequest& request);
  void RecordSends(uint32_t number, Vm& vm);
  void ReceiveProbes(uint32_t number, Vm& vm);
  void AnswerProbes(uint32_t number, Vm& vm);
  void CountArrival(uint32_t number, UpstreamHandle upstream);
  AdvertisedRateLimit AdvertiseLimit(uint32_t number, UpstreamHandle upstream);
  void CheckBound(Upstream& upstream);
  void SendUpdates(uint32_t number);
  bool Chance(uint32_t percent) { return this->random(100) < percent; }

  RateLimitSimulationOptions options;
  pcg32 random;
  TimePoint now{std::chrono::seconds(100)};
  std::vector<std::unique_ptr<Vm>> vms;
  std::vector<Upstream> upstreams;
  double worst = -1e9;
  size_t answers = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TEST_RATE_LIMIT_SIMULATION_H_
