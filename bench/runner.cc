#include "runner.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include "model/baselines.h"
#include "model/fleet.h"

namespace basilsill::bench {
namespace {

Figures RunJob(const Job& job) {
  Scenario scenario = job.spec->make(job.deployment);
  scenario.seed = job.seed;
  SimulatedCluster cluster(scenario);
  const std::unique_ptr<Strategy> strategy = job.strategy.make(cluster);
  Figures figures = FiguresOf(scenario, cluster.Run(*strategy));
  figures.case_name = job.spec->name;
  figures.deployment = job.deployment.name;
  figures.strategy = job.strategy.name;
  return figures;
}

}  // namespace

std::vector<StrategySpec> AllStrategies() {
  std::vector<StrategySpec> all;
  for (const Baseline& baseline : Baselines()) {
    all.push_back({std::string(baseline.name),
                   [make = baseline.make](SimulatedCluster& cluster) {
                     return MakeDirectStrategy(cluster, make);
                   }});
  }
  all.push_back({kOwnStrategy, [](SimulatedCluster& cluster) {
                   return MakeFleetStrategy(cluster, {});
                 }});
  return all;
}

std::vector<Figures> RunJobs(const std::vector<Job>& jobs, unsigned threads) {
  std::vector<Figures> results(jobs.size());
  std::atomic<size_t> next{0};
  const auto work = [&jobs, &results, &next] {
    for (size_t i = next++; i < jobs.size(); i = next++) {
      results[i] = RunJob(jobs[i]);
    }
  };
  std::vector<std::jthread> workers;
  for (unsigned i = 0; i < std::max(threads, 1U); ++i) {
    workers.emplace_back(work);
  }
  workers.clear();
  return results;
}

}  // namespace basilsill::bench
