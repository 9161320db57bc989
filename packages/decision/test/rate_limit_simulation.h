#ifndef BASILSILL_DECISION_TEST_RATE_LIMIT_SIMULATION_H_
#define BASILSILL_DECISION_TEST_RATE_LIMIT_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include <pcg_random.hpp>

#include "decision_fixture.h"

/// Upstreams of one shard that name rate limits in their answers, and VMs that
/// believe that they dispatch for it, in virtual time. It counts what reaches
/// an upstream, whatever way it took, and what that upstream allows.

namespace basilsill {

struct RateLimitSimulationOptions {
  uint32_t upstreams = 3;
  uint16_t slots = 2;
  double requests_per_second = 25;  ///< For each VM that dispatches.
  std::chrono::milliseconds work{120};
  uint32_t vms = 1;
  uint32_t stale_percent = 0;  ///< Of sends, on a connection that is gone.
  uint32_t died_percent = 0;   ///< Of attempts, without an answer.
  uint32_t shed_percent = 0;   ///< Of attempts, refused by the upstream.
};

class RateLimitSimulation {
 public:
  RateLimitSimulation(uint64_t seed, const RateLimitSimulationOptions& options);

  /// From now on the upstream names this limit; nothing: none.
  void SetLimit(uint32_t upstream, std::optional<double> per_second);

  /// Offers work to those VMs that dispatch, for `time`.
  void Run(Duration time);

  void SetDispatches(uint32_t vm, bool dispatches);
  /// The VM and all others do not reach each other, and know that.
  void SetCutOff(uint32_t vm, bool cut_off);
  /// The VM forgets all that it knew.
  void Restart(uint32_t vm);

  /// @returns the most that an upstream got beyond what is allowed, in any four
  /// seconds, by the users' bound; negative if it always got less.
  double worst_excess() const { return this->worst; }

  /// @returns what reached the upstream so far, questions included.
  size_t arrivals(uint32_t upstream) const;
  size_t answered() const { return this->answers; }
  size_t questions(uint32_t upstream) const;
  const std::vector<DispatchAction>& refused(uint32_t vm) const;
  DispatchHarness& harness(uint32_t vm) { return this->vms.at(vm)->harness; }
  TimePoint time() const { return this->now; }
  pcg32& dice() { return this->random; }

 private:
  struct Arrival {
    TimePoint at;
    uint32_t vm = 0;
  };
  struct Question {
    TimePoint due;
    UpstreamHandle upstream;
  };
  struct Work {
    AttemptHandle attempt;
    UpstreamHandle upstream;
    TimePoint ends;
  };
  struct Vm {
    explicit Vm(const DispatcherOptions& options) : harness(options) {}
    DispatchHarness harness;
    bool dispatches = true;
    bool cut_off = false;
    std::deque<Question> questions;
    std::vector<Work> works;
    TimePoint tells_at{};
    /// By upstream: when it first passed on an answer that names a limit.
    std::vector<TimePoint> told;
  };
  struct Upstream {
    std::optional<double> limit;
    /// Before it fell, and since when; a VM has a moment to learn of that.
    double limit_before = 0;
    TimePoint fell_at{};
    TimePoint first_named = kNever;
    std::deque<Arrival> recent;
    std::deque<double> allowed;  ///< For each step of the window.
    double allowed_sum = 0;
    size_t arrivals = 0;
    size_t questions = 0;
  };

  std::unique_ptr<Vm> MakeVm(uint32_t number);
  void TellWhoAnswers(uint32_t number);
  void Step(uint32_t number);
  void EndWork(uint32_t number, Vm& vm);
  void EndOne(uint32_t number, Vm& vm, const Work& work);
  void TakeSends(uint32_t number, Vm& vm);
  void TakeQuestions(uint32_t number, Vm& vm);
  void Answer(uint32_t number, Vm& vm);
  void Arrive(uint32_t number, UpstreamHandle upstream);
  AdvertisedRateLimit Say(uint32_t number, UpstreamHandle upstream);
  void Judge(Upstream& upstream);
  void TellOthers(uint32_t number);
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
