#ifndef BASILSILL_BENCH_ABLATION_H_
#define BASILSILL_BENCH_ABLATION_H_

#include <ostream>
#include <vector>

#include "runner.h"

/// Ablation: compares the complete policy with the policy without each one of
/// the mechanisms of the decision code.

namespace basilsill::bench {

/// @returns the complete policy, then for each mechanism the policy without it.
std::vector<StrategySpec> AblatedStrategies();

/// Writes a table with one row for each mechanism and case in which switching
/// the mechanism off changes a figure by more than the noise threshold.
void WriteAblation(std::ostream& out, const std::vector<Figures>& results);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_ABLATION_H_
