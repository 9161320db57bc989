#ifndef BASILSILL_BENCH_MODEL_FLEET_H_
#define BASILSILL_BENCH_MODEL_FLEET_H_

#include <memory>

#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/entry.h"
#include "basilsill/decision/mechanism.h"
#include "model/simulated_cluster.h"

/// The policy under test: every simulated VM runs the production EntryRouter
/// and Dispatcher, and messages between VMs take the simulated network latency.

namespace basilsill::bench {

std::unique_ptr<Strategy> MakeFleetStrategy(SimulatedCluster& cluster,
                                            const PolicyFeatures& features);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_FLEET_H_
