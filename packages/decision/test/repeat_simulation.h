#ifndef BASILSILL_DECISION_TEST_REPEAT_SIMULATION_H_
#define BASILSILL_DECISION_TEST_REPEAT_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <pcg_random.hpp>

#include "basilsill/decision/entry.h"
#include "decision_fixture.h"

/// Simulation of VMs that accept and dispatch requests, in virtual time. VMs
/// restart, pause and disagree on which of them are live. The simulation counts
/// the requests that reach the upstreams of one service and compares them with
/// the fleet-wide limit on repeats.

namespace basilsill {

struct RepeatSimulationOptions {
  uint32_t vms = 6;  ///< Alternately in two data centres.
  uint32_t upstreams = 6;
  uint16_t slots = 2;
  double requests_per_second = 70;
  std::chrono::milliseconds request_duration{60};
  uint32_t shed_percent = 0;  ///< Of the requests that reach an upstream.
  /// Requests have classes and latency targets, and upstreams report random
  /// loads with the requests that they shed.
  bool mixed = false;
  RepeatBudgetOptions bound{0.2, 58, std::chrono::seconds(10)};
};

class RepeatSimulation {
 public:
  RepeatSimulation(uint64_t seed, const RepeatSimulationOptions& options);

  void Run(Duration time);

  void SetShedPercent(uint32_t percent) {
    this->options.shed_percent = percent;
  }
  /// Makes one upstream refuse all requests, or ends that.
  void SetFailing(uint32_t upstream, bool failing);

  /// Restarts a VM, which loses all its state. The other VMs lose their links
  /// to it immediately and get them back after the network delay.
  void Restart(uint32_t vm);
  /// Pauses a VM for `time`; it then handles the messages received meanwhile.
  void Pause(uint32_t vm, Duration time);
  /// Gives each VM a random view of which other VMs are live.
  void RandomizeMembership();
  void RestoreMembership();

  /// @returns the maximum number of repeats above the limit in any window;
  /// negative if there were always fewer repeats than allowed.
  double WorstExcess() const;

  size_t repeats() const { return this->repeat_times.size(); }
  size_t requests() const { return this->request_times.size(); }
  size_t answered() const { return this->answers; }
  pcg32& rng() { return this->random; }

 private:
  struct Vm {
    ViewFixture fixture;
    std::unique_ptr<EntryRouter> router;
    std::unique_ptr<Dispatcher> dispatcher;
    uint32_t start = 0;  ///< Number of starts so far.
    TimePoint paused_until{};
    std::deque<std::function<void()>> inbox;
  };
  struct Request {
    uint32_t entry_vm = 0;
    EntryHandle entry;
    Target target;
    uint32_t hops = 0;  ///< Identifies the current hop; replies may be late.
    uint32_t arrivals = 0;
    bool finished = false;
  };
  struct Attempt {
    TimePoint ends;
    uint64_t cookie = 0;
    uint32_t vm = 0;
    AttemptHandle attempt;
    AttemptEnd end = AttemptEnd::kCount;
  };

  void StartVm(uint32_t vm);
  void Apply(uint32_t vm);
  void Step();
  void Offer();
  void Post(uint32_t vm, std::function<void()> task);
  void Route(uint64_t id);
  void SendToDispatcher(uint64_t id);
  void SendToUpstream(uint64_t id);
  void HandleActions(uint32_t vm);
  void Start(uint32_t vm, const DispatchAction& action);
  void End(const Attempt& attempt);
  void SendAnswer(uint32_t vm, uint64_t cookie, Refusal refusal, uint8_t sends);
  AttemptEnd OnArrival(uint64_t id, UpstreamHandle upstream);
  void EndAttempts();
  void Reply(uint64_t id, uint32_t hop, Refusal refusal, uint8_t sends);
  void OnRefused(uint64_t id, Refusal refusal, uint8_t sends);
  void DropRequestsAt(uint32_t vm);

  RepeatSimulationOptions options;
  pcg32 random;
  TimePoint now{std::chrono::seconds(100)};
  std::vector<Vm> vms;
  std::vector<bool> failing;
  std::map<uint64_t, Request> open_requests;
  std::vector<Attempt> attempts;
  std::multimap<TimePoint, std::pair<uint32_t, std::function<void()>>> messages;
  std::vector<TimePoint> request_times;  ///< Requests of callers.
  /// Arrivals of requests at upstreams, except the first of each request.
  std::vector<TimePoint> repeat_times;
  size_t answers = 0;
  uint64_t next_id = 1;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TEST_REPEAT_SIMULATION_H_
