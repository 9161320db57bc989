#ifndef BASILSILL_BENCH_RUNNER_H_
#define BASILSILL_BENCH_RUNNER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "figures.h"
#include "model/cases.h"

/// Runs many scenarios side by side. Every run has its own world, so that
/// the figures do not depend on the number of threads.

namespace basilsill::bench {

inline constexpr const char* kOwnStrategy = "basilsill";
inline constexpr const char* kOracle = "oracle";

struct StrategySpec {
  std::string name;
  std::function<std::unique_ptr<Strategy>(SimulatedCluster&)> make;
};

/// @returns the baselines, the oracle, and the project's own policy last.
std::vector<StrategySpec> AllStrategies();

struct Job {
  const CaseSpec* spec = nullptr;
  Deployment deployment;
  StrategySpec strategy;
  uint64_t seed = 1;
};

/// @returns figures in the order of `jobs`.
std::vector<Figures> RunJobs(const std::vector<Job>& jobs, unsigned threads);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_RUNNER_H_
