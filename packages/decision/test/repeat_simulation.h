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

/// VMs that take requests in and dispatch them, in virtual time: they are
/// killed, freeze, restart, and do not agree on which of them live. It counts
/// what reaches the upstreams of one service, and judges it by the fleet's
/// bound on repeats.

namespace basilsill {

struct RepeatSimulationOptions {
  uint32_t vms = 6;  ///< In turn in two data centres.
  uint32_t upstreams = 6;
  uint16_t slots = 2;
  double requests_per_second = 70;
  std::chrono::milliseconds work{60};
  uint32_t shed_percent = 0;  ///< Of what reaches an upstream.
  RepeatBudgetOptions bound{0.2, 58, std::chrono::seconds(10)};
};

class RepeatSimulation {
 public:
  RepeatSimulation(uint64_t seed, const RepeatSimulationOptions& options);

  void Run(Duration time);

  void SetShedPercent(uint32_t percent) {
    this->options.shed_percent = percent;
  }
  /// Of one upstream, which answers nothing but refusals.
  void SetBroken(uint32_t upstream, bool broken);

  /// The VM forgets all that it knew; others lose their links to it at once,
  /// and take it for gone for a while.
  void Restart(uint32_t vm);
  /// The VM does nothing, and wakes with all that came meanwhile.
  void Freeze(uint32_t vm, Duration time);
  /// Each VM thinks of each other what it likes.
  void Disagree();
  void Agree();

  /// @returns the most repeats beyond the bound in any window; negative if
  /// there were always fewer.
  double WorstExcess() const;

  size_t repeats() const { return this->extra.size(); }
  size_t requests() const { return this->sent.size(); }
  size_t answered() const { return this->answers; }
  pcg32& dice() { return this->random; }

 private:
  struct Vm {
    ViewFixture fixture;
    std::unique_ptr<EntryRouter> router;
    std::unique_ptr<Dispatcher> dispatcher;
    uint32_t start = 0;  ///< Counts its starts.
    TimePoint frozen_until{};
    std::deque<std::function<void()>> inbox;
  };
  struct Request {
    uint32_t entry_vm = 0;
    EntryHandle entry;
    Target target;
    uint32_t hops = 0;  ///< Names the present one, as replies may be late.
    uint32_t arrivals = 0;
    bool over = false;
  };
  struct Attempt {
    TimePoint ends;
    uint64_t cookie = 0;
    uint32_t vm = 0;
    AttemptHandle attempt;
    AttemptEnd end = AttemptEnd::kCount;
  };

  void Boot(uint32_t vm);
  void Apply(uint32_t vm);
  void Step();
  void Offer();
  void Post(uint32_t vm, std::function<void()> task);
  void Go(uint64_t id);
  void ToDispatcher(uint64_t id);
  void ToUpstream(uint64_t id);
  void Take(uint32_t vm);
  void Start(uint32_t vm, const DispatchAction& action);
  void End(const Attempt& attempt);
  void Answer(uint32_t vm, uint64_t cookie, Refusal refusal, uint8_t sends);
  AttemptEnd Arrive(uint64_t id, UpstreamHandle upstream);
  void EndWork();
  void Reply(uint64_t id, uint32_t hop, Refusal refusal, uint8_t sends);
  void OnRefused(uint64_t id, Refusal refusal, uint8_t sends);
  void LoseWorkAt(uint32_t vm);

  RepeatSimulationOptions options;
  pcg32 random;
  TimePoint now{std::chrono::seconds(100)};
  std::vector<Vm> vms;
  std::vector<bool> broken;
  std::map<uint64_t, Request> open;
  std::vector<Attempt> attempts;
  std::multimap<TimePoint, std::pair<uint32_t, std::function<void()>>> mail;
  std::vector<TimePoint> sent;   ///< Requests of callers.
  std::vector<TimePoint> extra;  ///< Arrivals beyond the first of a request.
  size_t answers = 0;
  uint64_t next_id = 1;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_TEST_REPEAT_SIMULATION_H_
