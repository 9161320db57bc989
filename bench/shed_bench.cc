#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "basilsill/decision/mechanism.h"
#include "model/fleet.h"
#include "model/shed_cases.h"

/// Upstreams that shed requests, in virtual time: the policy, and a strategy
/// that knows why they shed. The runs repeat exactly.

namespace basilsill::bench {
namespace {

constexpr std::array kShares = {0.3, 0.55, 0.8};

/// Worth of an answer after the caller's target, as a share of one before it.
constexpr double kWorthLate = 0.1;

// Bounds on the share in time compared with the oracle's, and on the loss of
// value compared with the policy without the mechanism.
constexpr double kShareOfOracle = 0.95;
constexpr double kMaxLoss = 0.01;

struct ShedFigures {
  double in_time = 0;
  double late = 0;
  double lost = 0;
  double sends = 0;  ///< Of each request of a caller.
  double shed = 0;   ///< Share of the sends.

  double value() const { return this->in_time + kWorthLate * this->late; }
};

using MakeStrategy =
    std::function<std::unique_ptr<Strategy>(SimulatedCluster& cluster)>;

ShedFigures RunCase(const Scenario& scenario, const MakeStrategy& make) {
  SimulatedCluster cluster(scenario);
  const std::unique_ptr<Strategy> strategy = make(cluster);
  const Metrics metrics = cluster.Run(*strategy);
  ShedFigures figures;
  for (const FlowMetrics& flow : metrics.flows) {
    figures.in_time += static_cast<double>(flow.in_time);
    figures.late += static_cast<double>(flow.late);
    figures.lost += static_cast<double>(flow.lost);
    figures.sends += static_cast<double>(flow.sends);
    figures.shed += static_cast<double>(flow.sheds);
  }
  const double all = figures.in_time + figures.late + figures.lost;
  figures.shed /= std::max(1.0, figures.sends);
  figures.in_time /= all;
  figures.late /= all;
  figures.lost /= all;
  figures.sends /= all;
  return figures;
}

void Print(const std::string& name,
           const char* strategy,
           const ShedFigures& figures) {
  std::printf("| %-26s | %-10s | %7.3f | %5.3f | %5.3f | %5.2f | %5.2f |\n",
              name.c_str(), strategy, figures.in_time, figures.late,
              figures.lost, figures.sends, figures.shed);
}

// @returns true if the bounds hold. The policy may be worse than the oracle by
// a twentieth where slots are free, and hardly worse than without the mechanism
// anywhere.
bool IsWithinBounds(ShedCause cause,
                    const ShedFigures& without,
                    const ShedFigures& policy,
                    const ShedFigures& oracle) {
  const bool near_oracle = cause == ShedCause::kFull ||
                           policy.in_time >= kShareOfOracle * oracle.in_time;
  return near_oracle && policy.value() >= without.value() - kMaxLoss;
}

bool RunCause(const ShedDeployment& deployment, ShedCause cause, double share) {
  const Scenario scenario = MakeShedScenario(deployment, cause, share);
  const std::string name = std::string(deployment.name) + ", " +
                           std::string(NameOf(cause)) + ", " +
                           std::to_string(share).substr(0, 4);
  const ShedFigures without = RunCase(scenario, [](SimulatedCluster& cluster) {
    return MakeFleetStrategy(cluster, FeaturesWithout("shed-triage").value());
  });
  const ShedFigures policy = RunCase(scenario, [](SimulatedCluster& cluster) {
    return MakeFleetStrategy(cluster, {});
  });
  const ShedFigures oracle =
      RunCase(scenario, [cause](SimulatedCluster& cluster) {
        return MakeShedOracle(cluster, cause);
      });
  Print(name, "without", without);
  Print(name, "policy", policy);
  Print(name, "oracle", oracle);
  return IsWithinBounds(cause, without, policy, oracle);
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Benchmark of shedding upstreams, in virtual time");
  TCLAP::SwitchArg check("", "check", "Exit 1 if a bound is broken", line);
  line.parse(argc, argv);
  std::printf(
      "| case | strategy | in time | late | lost | sends | shed |\n"
      "| --- | --- | ---: | ---: | ---: | ---: | ---: |\n");
  bool within_bounds = true;
  for (const ShedDeployment& deployment : ShedDeployments()) {
    for (size_t i = 0; i < static_cast<size_t>(ShedCause::kCount); ++i) {
      for (const double share : kShares) {
        within_bounds &= RunCause(deployment, static_cast<ShedCause>(i), share);
      }
    }
  }
  return check.getValue() && !within_bounds ? 1 : 0;
}

}  // namespace
}  // namespace basilsill::bench

int main(int argc, char** argv) {
  return basilsill::bench::Main(argc, argv);
}
