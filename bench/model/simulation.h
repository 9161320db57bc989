#ifndef BASILSILL_BENCH_MODEL_SIMULATION_H_
#define BASILSILL_BENCH_MODEL_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "basilsill/base/time.h"

/// Discrete-event simulation in virtual time. Events run in order of time;
/// events of the same time run in the order in which they were scheduled. Not
/// thread-safe.

namespace basilsill::bench {

class Simulation {
 public:
  using Action = std::function<void()>;

  TimePoint now() const { return this->current; }

  /// Runs `action` at `when`, which must not be in the past.
  void At(TimePoint when, Action action);
  void After(Duration delay, Action action);

  /// Runs `action` every `period`, for the first time after one `period`, until
  /// the simulation ends.
  void Every(Duration period, const Action& action);

  /// Runs all events up to and including `end`, then sets `now` to `end`.
  void RunUntil(TimePoint end);

 private:
  struct Event {
    TimePoint when;
    uint64_t sequence;
    uint32_t slot;  ///< Position in `actions`.
  };
  static bool Later(const Event& a, const Event& b);

  TimePoint current{};
  uint64_t next_sequence = 0;
  std::vector<Event> heap;
  std::vector<Action> actions;
  std::vector<uint32_t> free_slots;
};

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_SIMULATION_H_
