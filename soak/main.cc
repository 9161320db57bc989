// basilsill_soak: runs seeds of the fault soak and reports broken promises.

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <string>

#include <tclap/CmdLine.h>

#include "callers.h"
#include "rig.h"

namespace {

using basilsill::soak::Observations;
using basilsill::soak::Plan;
using basilsill::soak::RequestOutcome;
using basilsill::soak::SoakTeam;
using basilsill::soak::Violation;
using std::chrono::milliseconds;

constexpr int kExitBroken = 1;
constexpr int kExitUsage = 2;
constexpr size_t kShownIds = 8;

struct Arguments {
  std::string program;
  std::string directory;
  uint64_t first_seed = 1;
  uint64_t seeds = 1;
  size_t nodes = 4;
  size_t callers = 16;
  milliseconds duration{12000};
  milliseconds gap = basilsill::soak::kDefaultGap;
  bool keep_logs = false;
  bool loose = false;
  bool without_cuts = false;
  bool restores = false;
  bool faulty_answers = false;
};

Arguments ReadArguments(int argc, char** argv) {
  TCLAP::CmdLine line("Soaks a fleet of basilsill nodes in faults", ' ', "1");
  TCLAP::UnlabeledValueArg<std::string> program("program", "The node's program",
                                                true, "", "PATH", line);
  TCLAP::ValueArg<std::string> directory(
      "d", "directory", "Where settings and logs go", false,
      std::filesystem::temp_directory_path().string(), "DIR", line);
  TCLAP::ValueArg<uint64_t> seed("s", "seed", "First seed", false, 1, "N",
                                 line);
  TCLAP::ValueArg<uint64_t> seeds("n", "seeds", "Seeds to run, one by one",
                                  false, 1, "COUNT", line);
  TCLAP::ValueArg<size_t> nodes("", "nodes", "Nodes", false, 4, "COUNT", line);
  TCLAP::ValueArg<size_t> callers("", "callers", "Callers", false, 16, "COUNT",
                                  line);
  TCLAP::ValueArg<int64_t> seconds("t", "seconds", "Traffic of a seed", false,
                                   12, "S", line);
  TCLAP::ValueArg<int64_t> gap("g", "gap", "Between two faults, on average",
                               false, basilsill::soak::kDefaultGap.count(),
                               "MS", line);
  TCLAP::SwitchArg keep("k", "keep-logs", "Also those of good seeds", line);
  TCLAP::SwitchArg loose(
      "l", "loose",
      "Tell nodes longer bounds than they are judged by, to see that it shows",
      line);
  TCLAP::SwitchArg without_cuts(
      "", "without-cuts",
      "Plans as before nodes were cut from all upstreams, for older seeds",
      line);
  TCLAP::SwitchArg restores(
      "r", "restores", "Restore the store from copies several times", line);
  TCLAP::SwitchArg faulty_answers(
      "a", "faulty-answers",
      "Upstreams reject, copy answers and fail health checks at random", line);
  line.parse(argc, argv);
  return {program.getValue(),
          directory.getValue(),
          seed.getValue(),
          seeds.getValue(),
          nodes.getValue(),
          callers.getValue(),
          std::chrono::seconds(seconds.getValue()),
          milliseconds(gap.getValue()),
          keep.getValue(),
          loose.getValue(),
          without_cuts.getValue(),
          restores.getValue(),
          faulty_answers.getValue()};
}

double SecondsSince(basilsill::TimePoint start, basilsill::TimePoint at) {
  return std::chrono::duration<double>(at - start).count();
}

basilsill::TimePoint StartOf(const Observations& observations) {
  return observations.requests.empty() ? observations.ended
                                       : observations.requests.front().sent;
}

void PrintPlan(const Plan& plan) {
  for (const auto& step : plan.steps) {
    std::printf("  %6.2f s %s for %.2f s, target %u\n",
                std::chrono::duration<double>(step.at).count(),
                std::string(NameOf(step.fault)).c_str(),
                std::chrono::duration<double>(step.duration).count(),
                step.target % 1000);
  }
}

void PrintCounts(const Plan& plan,
                 const Observations& observations,
                 size_t broken) {
  std::map<unsigned, size_t> statuses;
  size_t cut = 0;
  for (const auto& row : observations.requests) {
    ++statuses[row.outcome == RequestOutcome::kAnswer ? row.status : 0];
    cut += row.outcome == RequestOutcome::kBroken ? 1 : 0;
  }
  std::printf("seed %lu: %zu broken; %zu requests, %zu runs, %zu steps, ",
              plan.seed, broken, observations.requests.size(),
              observations.runs.size(), plan.steps.size());
  std::printf(
      "%zu broken off, lag %.0f ms; answers", cut,
      std::chrono::duration<double, std::milli>(observations.lag).count());
  for (const auto& [status, count] : statuses) {
    std::printf(" %u:%zu", status, count);
  }
  std::printf("\n");
}

void PrintViolation(const Violation& violation,
                    const Observations& observations) {
  std::printf("  %s at %.2f s: %s;",
              std::string(NameOf(violation.promise)).c_str(),
              SecondsSince(StartOf(observations), violation.at),
              violation.detail.c_str());
  for (size_t i = 0; i < violation.ids.size() && i < kShownIds; ++i) {
    std::printf(" %s", violation.ids[i].c_str());
  }
  std::printf("\n");
}

// Gives the nodes looser bounds than those they are checked against, to verify
// that the soak detects violations of the bounds.
void LoosenBounds(basilsill::soak::Bounds& bounds) {
  constexpr int times = 8;
  bounds.drain *= times;
  bounds.apply *= times;
  bounds.timeout *= times;
  bounds.repeat_slack *= times;
  bounds.revoke *= times;
  bounds.quota_rate *= times;
}

/// @returns true if a file that the nodes wrote to `directory` contains an API
/// key of a team.
bool ContainsKey(const std::filesystem::path& directory) {
  const std::string key = basilsill::soak::KeyOf(SoakTeam::kPlain);
  const std::string begins = key.substr(0, key.size() - 1);
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(file)),
                           std::istreambuf_iterator<char>());
    if (text.find(begins) != std::string::npos) {
      std::printf("  a key stands in %s\n", entry.path().c_str());
      return true;
    }
  }
  return false;
}

/// @returns true if no promise was broken.
bool RunSeed(uint64_t seed, const Arguments& arguments) {
  const std::filesystem::path directory =
      std::filesystem::path(arguments.directory) /
      ("basilsill-soak-" + std::to_string(::getpid()) + "-" +
       std::to_string(seed));
  std::filesystem::create_directories(directory);
  const Plan plan = basilsill::soak::MakePlan(
      seed, arguments.nodes, arguments.duration, arguments.gap,
      arguments.without_cuts ? basilsill::soak::FaultSet::kWithoutCuts
                             : basilsill::soak::FaultSet::kAll);
  basilsill::soak::RigOptions options;
  options.program = arguments.program;
  options.directory = directory.string();
  options.callers = arguments.callers;
  options.restores = arguments.restores;
  options.faulty_answers = arguments.faulty_answers;
  if (arguments.loose) {
    LoosenBounds(options.bounds);
  }
  const Observations observations = basilsill::soak::RunPlan(plan, options);
  basilsill::soak::Bounds bounds;
  bounds.nodes = arguments.nodes;
  const auto broken = basilsill::soak::FindViolations(observations, bounds);
  // A run without executed requests fails, as most promises can't be broken
  // without any.
  const bool served = !observations.runs.empty();
  PrintCounts(plan, observations, broken.size());
  for (const Violation& violation : broken) {
    PrintViolation(violation, observations);
  }
  const bool is_good = broken.empty() && served && !ContainsKey(directory);
  if (!is_good || arguments.keep_logs) {
    PrintPlan(plan);
    std::printf("  logs in %s\n", directory.c_str());
  } else {
    std::filesystem::remove_all(directory);
  }
  std::fflush(stdout);
  return is_good;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const Arguments arguments = ReadArguments(argc, argv);
    bool is_good = true;
    for (uint64_t i = 0; i < arguments.seeds; ++i) {
      is_good = RunSeed(arguments.first_seed + i, arguments) && is_good;
    }
    return is_good ? 0 : kExitBroken;
  } catch (const std::exception& failure) {
    std::cerr << "basilsill_soak: " << failure.what() << '\n';
    return kExitUsage;
  }
}
