// basilsill_soak: runs seeds of the fault soak and reports what was broken.

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

using basilsill::soak::Ending;
using basilsill::soak::Observations;
using basilsill::soak::Plan;
using basilsill::soak::SoakTeam;
using basilsill::soak::Violation;
using std::chrono::milliseconds;

constexpr int kBroken = 1;
constexpr int kUsage = 2;
constexpr size_t kShownIds = 8;

struct Arguments {
  std::string program;
  std::string directory;
  uint64_t first_seed = 1;
  uint64_t seeds = 1;
  size_t nodes = 4;
  size_t callers = 16;
  milliseconds lasts{12000};
  milliseconds gap = basilsill::soak::kUsualGap;
  bool keep_logs = false;
  bool loose = false;
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
                               false, basilsill::soak::kUsualGap.count(), "MS",
                               line);
  TCLAP::SwitchArg keep("k", "keep-logs", "Also those of good seeds", line);
  TCLAP::SwitchArg loose(
      "l", "loose",
      "Tell nodes longer bounds than they are judged by, to see that it shows",
      line);
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
          loose.getValue()};
}

double SecondsSince(basilsill::TimePoint start, basilsill::TimePoint at) {
  return std::chrono::duration<double>(at - start).count();
}

basilsill::TimePoint StartOf(const Observations& seen) {
  return seen.requests.empty() ? seen.ended : seen.requests.front().sent;
}

void PrintPlan(const Plan& plan) {
  for (const auto& step : plan.steps) {
    std::printf("  %6.2f s %s for %.2f s, target %u\n",
                std::chrono::duration<double>(step.at).count(),
                std::string(NameOf(step.fault)).c_str(),
                std::chrono::duration<double>(step.lasts).count(),
                step.target % 1000);
  }
}

void PrintCounts(const Plan& plan, const Observations& seen, size_t broken) {
  std::map<unsigned, size_t> statuses;
  size_t cut = 0;
  for (const auto& row : seen.requests) {
    ++statuses[row.ending == Ending::kAnswer ? row.status : 0];
    cut += row.ending == Ending::kBroken ? 1 : 0;
  }
  std::printf("seed %lu: %zu broken; %zu requests, %zu runs, %zu steps, ",
              plan.seed, broken, seen.requests.size(), seen.runs.size(),
              plan.steps.size());
  std::printf("%zu broken off, lag %.0f ms; answers", cut,
              std::chrono::duration<double, std::milli>(seen.lag).count());
  for (const auto& [status, count] : statuses) {
    std::printf(" %u:%zu", status, count);
  }
  std::printf("\n");
}

void PrintViolation(const Violation& violation, const Observations& seen) {
  std::printf(
      "  %s at %.2f s: %s;", std::string(NameOf(violation.promise)).c_str(),
      SecondsSince(StartOf(seen), violation.at), violation.detail.c_str());
  for (size_t i = 0; i < violation.ids.size() && i < kShownIds; ++i) {
    std::printf(" %s", violation.ids[i].c_str());
  }
  std::printf("\n");
}

// A deliberate fault for the promises that have a bound.
void Loosen(basilsill::soak::Bounds& bounds) {
  constexpr int times = 8;
  bounds.drain *= times;
  bounds.apply *= times;
  bounds.timeout *= times;
  bounds.repeat_slack *= times;
  bounds.revoke *= times;
  bounds.quota_rate *= times;
}

/// @returns true if what the nodes wrote to `directory` has the API key of a
/// team.
bool HoldsKey(const std::filesystem::path& directory) {
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
  const Plan plan = basilsill::soak::MakePlan(seed, arguments.nodes,
                                              arguments.lasts, arguments.gap);
  basilsill::soak::RigOptions options;
  options.program = arguments.program;
  options.directory = directory.string();
  options.callers = arguments.callers;
  if (arguments.loose) {
    Loosen(options.bounds);
  }
  const Observations seen = basilsill::soak::RunPlan(plan, options);
  const auto broken = basilsill::soak::Judge(seen, basilsill::soak::Bounds());
  // A soak without service would keep every promise.
  const bool served = !seen.runs.empty();
  PrintCounts(plan, seen, broken.size());
  for (const Violation& violation : broken) {
    PrintViolation(violation, seen);
  }
  const bool good = broken.empty() && served && !HoldsKey(directory);
  if (!good || arguments.keep_logs) {
    PrintPlan(plan);
    std::printf("  logs in %s\n", directory.c_str());
  } else {
    std::filesystem::remove_all(directory);
  }
  std::fflush(stdout);
  return good;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const Arguments arguments = ReadArguments(argc, argv);
    bool good = true;
    for (uint64_t i = 0; i < arguments.seeds; ++i) {
      good = RunSeed(arguments.first_seed + i, arguments) && good;
    }
    return good ? 0 : kBroken;
  } catch (const std::exception& failure) {
    std::cerr << "basilsill_soak: " << failure.what() << '\n';
    return kUsage;
  }
}
