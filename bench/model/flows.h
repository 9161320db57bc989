#ifndef BASILSILL_BENCH_MODEL_FLOWS_H_
#define BASILSILL_BENCH_MODEL_FLOWS_H_

#include <string>
#include <vector>

#include "model/world.h"

/// The traffic of the cases.

namespace basilsill::bench {

/// The service whose requests people wait for: fill levels, level readings.
inline constexpr size_t kReadingsService = 0;

/// @returns requests of `service`'s own team that may be repeated.
Flow MakeFlow(std::string name,
              size_t service,
              TrafficClass traffic_class,
              double load);

/// @returns urgent requests that must not repeat.
Flow MakeNonIdempotent(std::string name, size_t service, double load);

/// @returns requests with long answers.
Flow MakeBulk(std::string name, size_t service, Duration mean, double load);

/// @returns the traffic of a deployment's four services, each at `load`.
std::vector<Flow> MixedFlows(const Deployment& deployment, double load);

/// @returns a scenario of the readings alone.
Scenario MakeReadings(const Deployment& deployment, double load);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_FLOWS_H_
