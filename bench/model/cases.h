#ifndef BASILSILL_BENCH_MODEL_CASES_H_
#define BASILSILL_BENCH_MODEL_CASES_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "model/world.h"

/// The cases of the policy bench.

namespace basilsill::bench {

/// No bar is set for a figure.
inline constexpr double kNoBar = -1;

/// What is checked of a case, and the bars of the figures that have one.
struct CaseChecks {
  bool oracle = false;    ///< p99 beside the oracle's, flow by flow.
  bool baselines = true;  ///< p99 beside the best baseline's, and losses.
  double to_oracle = kNoBar;
  std::string_view base = {};  ///< The case without the disturbance.
  double to_base = kNoBar;     ///< p99 beside that of `base`.
  double lost = 0.01;          ///< Share of requests without an answer.
  double goodput = kNoBar;     ///< Least share of what slots can serve.
  double attempts = kNoBar;
  double deaths = kNoBar;
  double last_late_seconds = kNoBar;  ///< Last new work after a drain began.
};

struct CaseSpec {
  std::string_view name;
  std::string_view description;
  Scenario (*make)(const Deployment& deployment);
  CaseChecks checks;
  bool many_teams = false;  ///< Runs in a deployment of its own.
};

/// @returns all cases, in the order of the report.
const std::vector<CaseSpec>& Cases();

/// @returns the case `name`, or nullptr.
const CaseSpec* FindCase(std::string_view name);

/// @returns the deployments that `spec` runs in.
std::vector<Deployment> DeploymentsOf(const CaseSpec& spec);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_CASES_H_
