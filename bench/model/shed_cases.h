#ifndef BASILSILL_BENCH_MODEL_SHED_CASES_H_
#define BASILSILL_BENCH_MODEL_SHED_CASES_H_

#include <memory>
#include <span>
#include <string_view>

#include "model/simulated_cluster.h"

/// Cases in which upstreams shed requests, and a strategy that knows which case
/// it is.

namespace basilsill::bench {

/// Slots of an upstream in the cases with kFull, fewer than dispatchers know
/// of, and the requests that may wait there.
inline constexpr unsigned kSlotsWhenFull = 1;
inline constexpr size_t kShedQueueLimit = 1;

/// Cause of the sheds.
enum class ShedCause : uint8_t {
  kRandom,   ///< All upstreams, at random, although slots are free.
  kFull,     ///< All upstreams, while their slots and queues are full.
  kOneOnly,  ///< One upstream in each data centre, at random.
  kCount
};

/// @returns the name of `cause` in tables.
std::string_view NameOf(ShedCause cause);

/// Callers and upstreams of a deployment.
struct ShedDeployment {
  std::string_view name;
  size_t upstreams_per_data_centre = 0;
  unsigned slots = 0;
  unsigned returns = 0;  ///< Times that a caller comes back.
  Duration caller_round_trip{0};
  struct Callers {
    std::string_view name;
    TrafficClass traffic_class = TrafficClass::kOrdinary;
    bool idempotent = false;
    Duration target{0};
    Duration work{0};
    Duration full_time{0};
    double load = 0;  ///< Mean share of the slots in use without sheds.
  };
  std::span<const Callers> callers;
};

std::span<const ShedDeployment> ShedDeployments();

/// @param share Share of the requests that reach a shedding upstream which it
/// sheds. With kFull, the upstreams have one slot each, and the load is such
/// that they shed this share of requests that are sent once, at random.
Scenario MakeShedScenario(const ShedDeployment& deployment,
                          ShedCause cause,
                          double share);

/// A strategy without delays between VMs, which sees the requests at all
/// upstreams at once and knows why they shed. The fleet's limit on repeats
/// binds it.
std::unique_ptr<Strategy> MakeShedOracle(SimulatedCluster& cluster,
                                         ShedCause cause);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_SHED_CASES_H_
