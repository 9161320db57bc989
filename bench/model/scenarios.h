#ifndef BASILSILL_BENCH_MODEL_SCENARIOS_H_
#define BASILSILL_BENCH_MODEL_SCENARIOS_H_

#include "model/simulated_cluster.h"

/// Scenarios of the benchmark cases. `load` is the mean share of slots in use.

namespace basilsill::bench {

// Load scenarios without faults.
Scenario MakeEvenLoad(const Deployment& deployment, double load);
Scenario MakeBurst(const Deployment& deployment, double load);
Scenario MakeStraggler(const Deployment& deployment, double load);
Scenario MakeSimultaneousStart(const Deployment& deployment);
Scenario MakeNoisyNeighbour(const Deployment& deployment,
                            double times,
                            bool limited);
Scenario MakeDownloads(const Deployment& deployment, double downloads);
Scenario MakeOverload(const Deployment& deployment);

// Fault scenarios.
Scenario MakeFailFast(const Deployment& deployment);
Scenario MakeCrash(const Deployment& deployment);
Scenario MakePoison(const Deployment& deployment);
Scenario MakeDrain(const Deployment& deployment);
Scenario MakeAllFail(const Deployment& deployment, InstanceMode mode);
Scenario MakeRecover(const Deployment& deployment);
Scenario MakeVmKilled(const Deployment& deployment, Duration detection_delay);
Scenario MakeIsolatedVm(const Deployment& deployment);
Scenario MakeDivergentViews(const Deployment& deployment);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_SCENARIOS_H_
