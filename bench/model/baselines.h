#ifndef BASILSILL_BENCH_MODEL_BASELINES_H_
#define BASILSILL_BENCH_MODEL_BASELINES_H_

#include <memory>
#include <string_view>
#include <vector>

#include "model/world.h"

/// What the policy is weighed against: each entry VM picks an upstream by
/// itself and sends straight to it, and the upstream queues.

namespace basilsill::bench {

/// How an entry VM picks an upstream.
class Picker {
 public:
  virtual ~Picker() = default;
  /// @returns the instance for a request of `service` at `vm`.
  virtual size_t Pick(size_t vm, size_t service) = 0;
  /// An answer, or the lack of one, is known at `vm`.
  virtual void OnEnd(size_t vm, size_t instance, Duration took) {
    (void)vm;
    (void)instance;
    (void)took;
  }
};

using MakePicker = std::unique_ptr<Picker> (*)(SimulatedCluster& cluster);

struct Baseline {
  std::string_view name;
  MakePicker make;
};

/// @returns all baselines; the oracle is the last.
const std::vector<Baseline>& Baselines();

/// @returns the strategy that sends by `make`'s picks.
std::unique_ptr<Strategy> MakeDirectStrategy(SimulatedCluster& cluster,
                                             MakePicker make);

/// Probing in the manner of Prequal, with the paper's hot-cold quantile.
std::unique_ptr<Picker> MakeProbing(SimulatedCluster& cluster);
/// The same with the rule set to the least in flight.
std::unique_ptr<Picker> MakeProbingInFlight(SimulatedCluster& cluster);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_BASELINES_H_
