#ifndef BASILSILL_BENCH_MODEL_FLOWS_H_
#define BASILSILL_BENCH_MODEL_FLOWS_H_

#include <string>
#include <vector>

#include "model/simulated_cluster.h"

/// Traffic flows of the benchmark cases.

namespace basilsill::bench {

/// Position of the service with interactive, urgent requests: fill levels and
/// level readings.
inline constexpr size_t kReadingsService = 0;

/// @returns a flow of idempotent requests of the team that owns `service`.
Flow MakeFlow(std::string name,
              size_t service,
              TrafficClass traffic_class,
              double load);

/// @returns a flow of urgent requests that are not idempotent.
Flow MakeNonIdempotent(std::string name, size_t service, double load);

/// @returns a flow of bulk requests with a mean service time of `mean`.
Flow MakeBulk(std::string name, size_t service, Duration mean, double load);

/// @returns flows of several traffic classes for the deployment's four
/// services, with `load` as the load of each service.
std::vector<Flow> MixedFlows(const Deployment& deployment, double load);

/// @returns a scenario with requests to the readings service only.
Scenario MakeReadings(const Deployment& deployment, double load);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_FLOWS_H_
