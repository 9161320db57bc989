#ifndef BASILSILL_BENCH_MODEL_CASES_H_
#define BASILSILL_BENCH_MODEL_CASES_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "model/simulated_cluster.h"

/// Cases of the policy benchmark.

namespace basilsill::bench {

/// Marks a figure without a bar.
inline constexpr double kNoBar = -1;

/// Checks of a case and the bars (target values) of its figures.
struct CaseChecks {
  /// Check the ratio of p99 to that of the oracle, for each flow.
  bool oracle = false;
  /// Check the ratio of p99 to that of the best baseline, and the share of
  /// requests without an answer.
  bool baselines = true;
  double to_oracle = kNoBar;   ///< Highest ratio of p99 to the oracle's.
  std::string_view base = {};  ///< Name of the case without the disturbance.
  double to_base = kNoBar;     ///< Highest ratio of p99 to that of `base`.
  double lost = 0.01;          ///< Highest share of requests without an answer.
  double goodput = kNoBar;     ///< Lowest share of the slots' capacity.
  double attempts = kNoBar;    ///< Highest number of attempts per request.
  double deaths = kNoBar;      ///< Highest number of instance crashes.
  /// Latest time after the start of a drain at which new work may arrive.
  double last_late_seconds = kNoBar;
};

struct CaseSpec {
  std::string_view name;
  std::string_view description;
  Scenario (*make)(const Deployment& deployment);
  CaseChecks checks;
  /// Runs in the deployment of many small teams instead of the usual two.
  bool many_teams = false;
};

/// @returns all cases, in the order of the report.
const std::vector<CaseSpec>& Cases();

/// @returns the case `name`, or nullptr.
const CaseSpec* FindCase(std::string_view name);

/// @returns the deployments that `spec` runs in.
std::vector<Deployment> DeploymentsOf(const CaseSpec& spec);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_CASES_H_
