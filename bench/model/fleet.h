#ifndef BASILSILL_BENCH_MODEL_FLEET_H_
#define BASILSILL_BENCH_MODEL_FLEET_H_

#include <memory>

#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/entry.h"
#include "basilsill/decision/mechanism.h"
#include "model/world.h"

/// The policy under test: on every VM the product's own EntryRouter and
/// Dispatcher, and between VMs messages that take their time.

namespace basilsill::bench {

std::unique_ptr<Strategy> MakeFleetStrategy(SimulatedCluster& cluster,
                                            const PolicyFeatures& features);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_FLEET_H_
