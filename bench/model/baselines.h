#ifndef BASILSILL_BENCH_MODEL_BASELINES_H_
#define BASILSILL_BENCH_MODEL_BASELINES_H_

#include <memory>
#include <string_view>
#include <vector>

#include "model/simulated_cluster.h"

/// Baselines that the policy is compared with. Each entry VM picks an upstream
/// on its own and sends the request directly to it; excess requests queue at
/// the upstream.

namespace basilsill::bench {

/// Algorithm by which entry VMs pick upstream instances.
class Picker {
 public:
  virtual ~Picker() = default;
  /// @returns the instance that entry VM `vm` sends its next request of
  /// `service` to.
  virtual size_t Pick(size_t vm, size_t service) = 0;
  /// An attempt sent by `vm` to `instance` ended, with or without an answer.
  /// `took` is the time since it was sent.
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

/// @returns all baselines. The oracle is the last.
const std::vector<Baseline>& Baselines();

/// @returns a strategy that sends each request directly to the instance that
/// the picker of `make` returns.
std::unique_ptr<Strategy> MakeDirectStrategy(SimulatedCluster& cluster,
                                             MakePicker make);

/// Prequal-style probing with the hot-cold quantile of the paper.
std::unique_ptr<Picker> MakeProbing(SimulatedCluster& cluster);
/// Prequal-style probing that picks the instance with the fewest requests in
/// flight.
std::unique_ptr<Picker> MakeProbingInFlight(SimulatedCluster& cluster);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_BASELINES_H_
