#include "model/cases.h"

#include "model/scenarios.h"

namespace basilsill::bench {
namespace {

constexpr size_t kManyTeams = 100;
constexpr size_t kInstancesOfManyTeams = 4;

constexpr Duration kDetectionDelay = std::chrono::milliseconds(500);

constexpr CaseChecks kUnchecked{.baselines = false};
constexpr CaseChecks kEvenChecks{.oracle = true, .to_oracle = 1.10};
constexpr CaseChecks kNoisyNeighbourChecks{.baselines = false,
                                           .base = "flood_off",
                                           .to_base = 1.05};
constexpr CaseChecks kAllFailChecks{.baselines = false, .attempts = 1.10};

}  // namespace

const std::vector<CaseSpec>& Cases() {
  using D = Deployment;
  static const std::vector<CaseSpec> all = {
      {"even_30", "even load of 0.3",
       [](const D& d) { return MakeEvenLoad(d, 0.3); }, kEvenChecks},
      {"even_70", "even load of 0.7",
       [](const D& d) { return MakeEvenLoad(d, 0.7); }, kEvenChecks},
      {"even_85", "even load of 0.85",
       [](const D& d) { return MakeEvenLoad(d, 0.85); }, kEvenChecks},
      {"even_95", "even load of 0.95",
       [](const D& d) { return MakeEvenLoad(d, 0.95); }, kEvenChecks},
      {"burst_70", "mean load 0.7, 3 times the rate for 20 ms in every 100 ms",
       [](const D& d) { return MakeBurst(d, 0.7); }, kEvenChecks},
      {"burst_85", "mean load 0.85, 3 times the rate for 20 ms in every 100 ms",
       [](const D& d) { return MakeBurst(d, 0.85); }, kEvenChecks},
      {"straggler_70",
       "load 0.7, one instance 8 times slower, another one every 300 ms",
       [](const D& d) { return MakeStraggler(d, 0.7); },
       {.oracle = true}},
      {"straggler_85",
       "load 0.85, one instance 8 times slower, another one every 300 ms",
       [](const D& d) { return MakeStraggler(d, 0.85); },
       {.oracle = true, .to_oracle = 1.3}},
      {"fail_fast",
       "load 0.7, one instance answers 500 at once",
       MakeFailFast,
       {}},
      {"crash",
       "load 0.7, one instance down for 2 s, then cold for 1 s",
       MakeCrash,
       {}},
      {"poison",
       "load 0.5, twice a second a request that crashes its instance",
       MakePoison,
       {.deaths = 2}},
      {"drain",
       "load 0.5, all instances of a data centre drain",
       MakeDrain,
       {.last_late_seconds = 5}},
      {"wake",
       "100 idle teams of 4 instances start at once, at load 0.5",
       MakeSimultaneousStart,
       {},
       true},
      {"flood_off", "a quiet team beside a team at its rate limit",
       [](const D& d) { return MakeNoisyNeighbour(d, 1, true); }, kUnchecked},
      {"flood_on", "a quiet team beside a team at 10 times its rate limit",
       [](const D& d) { return MakeNoisyNeighbour(d, 10, true); },
       kNoisyNeighbourChecks},
      {"flood_open",
       "a quiet team beside a team of 10 times the load and no rate limit",
       [](const D& d) { return MakeNoisyNeighbour(d, 10, false); },
       kNoisyNeighbourChecks},
      {"downloads_off", "readings only, at load 0.3",
       [](const D& d) { return MakeDownloads(d, 0); }, kUnchecked},
      {"downloads_on",
       "readings at load 0.3 beside downloads at load 1.5",
       [](const D& d) { return MakeDownloads(d, 1.5); },
       {.baselines = false, .base = "downloads_off", .to_base = 1.2}},
      {"overload",
       "load 2, callers resend up to 3 times",
       MakeOverload,
       {.baselines = false, .goodput = 0.9}},
      {"fail_shed", "every instance sheds everything",
       [](const D& d) { return MakeAllFail(d, InstanceMode::kShedding); },
       kAllFailChecks},
      {"fail_die", "every instance breaks every connection",
       [](const D& d) {
         return MakeAllFail(d, InstanceMode::kBreakingConnections);
       },
       kAllFailChecks},
      {"recover",
       "load 0.7, every instance sheds everything for 2 s",
       MakeRecover,
       {.lost = kNoBar}},
      {"vm_killed",
       "load 0.7, a dispatcher's process dies",
       [](const D& d) { return MakeVmKilled(d, Duration{0}); },
       {}},
      {"vm_silent",
       "load 0.7, a dispatcher's VM dies, peers detect it after 500 ms",
       [](const D& d) { return MakeVmKilled(d, kDetectionDelay); },
       {}},
      {"cut",
       "load 0.7, an entry VM has no links to other VMs for 3 s",
       MakeIsolatedVm,
       {}},
      {"views",
       "load 0.7, VMs see changes of the VM list up to 5 s apart",
       MakeDivergentViews,
       {}},
  };
  return all;
}

const CaseSpec* FindCase(std::string_view name) {
  for (const CaseSpec& spec : Cases()) {
    if (spec.name == name) {
      return &spec;
    }
  }
  return nullptr;
}

std::vector<Deployment> DeploymentsOf(const CaseSpec& spec) {
  if (spec.many_teams) {
    return {MakeManyTeams(kManyTeams, kInstancesOfManyTeams)};
  }
  return {MakeSofia(), MakeVestlandet()};
}

}  // namespace basilsill::bench
