#include <algorithm>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <tclap/CmdLine.h>

#include "ablation.h"
#include "basilsill/base/error.h"
#include "bounds.h"
#include "model/cases.h"
#include "report.h"
#include "runner.h"

/// Policy benchmark: runs every case with every strategy in virtual time.

namespace basilsill::bench {
namespace {

struct Options {
  std::vector<std::string> cases;
  std::vector<std::string> strategies;
  std::vector<std::string> deployments;
  std::string json;
  std::string check;
  std::string write_bounds;
  unsigned threads = 1;
  uint64_t seed = 1;
  std::string summary;
  bool ablate = false;
  bool checked_only = false;
};

Options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line("Policy benchmark of basilsill, in virtual time");
  TCLAP::MultiArg<std::string> cases("", "case", "Run this case only", false,
                                     "name", line);
  TCLAP::MultiArg<std::string> strategies(
      "", "strategy", "Run this strategy only", false, "name", line);
  TCLAP::MultiArg<std::string> deployments(
      "", "deployment", "Run in this deployment only", false, "name", line);
  TCLAP::ValueArg<std::string> json("", "json", "Write all figures to a file",
                                    false, "", "file", line);
  TCLAP::ValueArg<std::string> check(
      "", "check", "Compare with bounds; exit 1 if one is broken", false, "",
      "file", line);
  TCLAP::ValueArg<std::string> write("", "write-bounds",
                                     "Write bounds from this run", false, "",
                                     "file", line);
  TCLAP::ValueArg<unsigned> threads(
      "", "threads", "Number of parallel runs", false,
      std::max(1U, std::thread::hardware_concurrency()), "count", line);
  TCLAP::ValueArg<std::string> summary("", "summary",
                                       "Write tables of all cases to a file",
                                       false, "", "file", line);
  TCLAP::ValueArg<uint64_t> seed(
      "", "seed", "Seed of arrivals and demands; bounds hold for seed 1", false,
      1, "number", line);
  TCLAP::SwitchArg ablate(
      "", "ablate", "Compare with the policy without each mechanism", line);
  TCLAP::SwitchArg checked("", "checked-only",
                           "Skip runs that no check looks at", line);
  line.parse(argc, argv);
  Options options;
  options.cases = cases.getValue();
  options.strategies = strategies.getValue();
  options.deployments = deployments.getValue();
  options.json = json.getValue();
  options.check = check.getValue();
  options.write_bounds = write.getValue();
  options.summary = summary.getValue();
  options.seed = seed.getValue();
  options.threads = threads.getValue();
  options.ablate = ablate.getValue();
  options.checked_only = checked.getValue();
  return options;
}

bool IsWanted(const std::vector<std::string>& wanted, std::string_view name) {
  return wanted.empty() ||
         std::find(wanted.begin(), wanted.end(), name) != wanted.end();
}

std::vector<Job> MakeJobs(const Options& options,
                          const std::vector<StrategySpec>& strategies) {
  std::vector<Job> jobs;
  for (const CaseSpec& spec : Cases()) {
    if (!IsWanted(options.cases, spec.name)) {
      continue;
    }
    for (const Deployment& deployment : DeploymentsOf(spec)) {
      for (const StrategySpec& strategy : strategies) {
        const bool skipped = options.checked_only && !options.ablate &&
                             !IsChecked(spec, strategy.name);
        if (!skipped && IsWanted(options.deployments, deployment.name) &&
            IsWanted(options.strategies, strategy.name)) {
          jobs.push_back({&spec, deployment, strategy, options.seed});
        }
      }
    }
  }
  return jobs;
}

int Run(const Options& options) {
  if (options.ablate) {
    const std::vector<Figures> results =
        RunJobs(MakeJobs(options, AblatedStrategies()), options.threads);
    WriteAblation(std::cout, results);
    return 0;
  }
  const std::vector<Figures> results =
      RunJobs(MakeJobs(options, AllStrategies()), options.threads);
  WriteTables(std::cout, results);
  if (!options.json.empty()) {
    std::ofstream out(options.json);
    WriteJson(out, ToJson(results));
    out << "\n";
  }
  if (!options.summary.empty()) {
    std::ofstream out(options.summary);
    WriteSummary(out, results);
  }
  std::vector<Check> checks = MakeChecks(results);
  SetBounds(checks);
  if (!options.write_bounds.empty()) {
    UpdateBounds(options.write_bounds, checks);
  }
  if (!options.check.empty()) {
    ReadBounds(options.check, checks);
  }
  return WriteCheckResults(std::cout, checks) > 0 ? 1 : 0;
}

}  // namespace
}  // namespace basilsill::bench

int main(int argc, char** argv) {
  try {
    return basilsill::bench::Run(basilsill::bench::ParseOptions(argc, argv));
  } catch (const basilsill::FailureError& error) {
    std::cerr << error.what() << "\n";
  }
  return 2;
}
