#ifndef BASILSILL_BENCH_RUNNER_H_
#define BASILSILL_BENCH_RUNNER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "figures.h"
#include "model/cases.h"

/// Runs many scenarios in parallel. Every run has its own simulated cluster, so
/// that the figures do not depend on the number of threads.

namespace basilsill::bench {

inline constexpr const char* kOwnStrategy = "basilsill";
inline constexpr const char* kOracle = "oracle";

struct StrategySpec {
  std::string name;
  std::function<std::unique_ptr<Strategy>(SimulatedCluster&)> make;
};

/// @returns the baselines, the oracle, and last the policy under test.
std::vector<StrategySpec> AllStrategies();

struct Job {
  const CaseSpec* spec = nullptr;
  Deployment deployment;
  StrategySpec strategy;
  uint64_t seed = 1;
};

/// @returns the figures of each job, in the order of `jobs`.
std::vector<Figures> RunJobs(const std::vector<Job>& jobs, unsigned threads);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_RUNNER_H_
