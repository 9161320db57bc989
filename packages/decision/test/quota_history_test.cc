// Random histories of a fleet that lends quotas: what must hold in each, and
// how much of a quota is used.

#include <pcg_random.hpp>

#include "quota_simulation.h"

#include <CppUTest/TestHarness.h>

using basilsill::Duration;
using basilsill::QuotaSimulation;
using basilsill::QuotaSimulationOptions;
using basilsill::TeamLimits;
using namespace std::chrono_literals;

namespace {

constexpr Duration kWindow = 5s;

// What a contract adds to a quota over a window, and what of it an adapter may
// give to the burst.
constexpr double kOver = 0.1;
constexpr double kSlack = 20;
constexpr double kUsedSlack = 10;

TeamLimits Quota(double rate, double burst) {
  TeamLimits limits;
  limits.requests_per_second = rate;
  limits.burst = burst + kUsedSlack;
  return limits;
}

double BoundOf(const TeamLimits& limits) {
  const double window = std::chrono::duration<double>(kWindow).count();
  const double asked =
      limits.requests_per_second * window + limits.burst - kUsedSlack;
  return asked * (1 + kOver) + kSlack;
}

double UsedPart(const QuotaSimulation& world,
                const TeamLimits& limits,
                Duration from,
                Duration to) {
  const double seconds = std::chrono::duration<double>(to - from).count();
  return static_cast<double>(world.CountAdmitted(0, from, to)) /
         (limits.requests_per_second * seconds);
}

std::vector<size_t> Some(pcg64& random, size_t count, double part) {
  std::vector<size_t> chosen;
  for (size_t i = 0; i < count; ++i) {
    if (static_cast<double>(random() % 1000) < 1000 * part) {
      chosen.push_back(i);
    }
  }
  return chosen;
}

void Trouble(pcg64& random, QuotaSimulation& world) {
  const size_t vm = random() % world.CountVms();
  const auto length = std::chrono::milliseconds(200 + random() % 6000);
  switch (random() % 8) {
    case 0:
      world.Kill(vm, length);
      break;
    case 1:
      for (const size_t each : world.AllVms()) {
        world.Kill(each, 300ms + std::chrono::milliseconds(random() % 300));
      }
      break;
    case 2:
      world.Freeze(vm, length);
      break;
    case 3:
      world.Cut(Some(random, world.CountVms(), 0.33), length);
      break;
    case 4:
      world.Cut(world.VmsOf(vm % 3), length);
      break;
    case 5:
      world.CutStore(Some(random, world.CountVms(), 0.33), length);
      break;
    case 6:
      world.LoseAnswers(length);
      break;
    default:
      break;
  }
}

}  // namespace

TEST_GROUP(QuotaHistory){};

// Two VMs lend one share, or credits outlive those who lent them.
TEST(QuotaHistory, AnyTrouble_DemandFarBeyond_StaysWithinTheBound) {
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    pcg64 random(seed);
    QuotaSimulationOptions options;
    options.seed = seed;
    options.teams = {Quota(100, 0), Quota(3, 3)};
    QuotaSimulation world(options);
    world.Load(0, world.AllVms(), 300);
    world.Load(1, world.AllVms(), 12);
    for (int i = 0; i < 10; ++i) {
      world.Run(std::chrono::milliseconds(500 + random() % 3000));
      Trouble(random, world);
    }
    world.Run(5s);
    for (size_t team = 0; team < options.teams.size(); ++team) {
      CHECK_TRUE(static_cast<double>(world.MostIn(team, kWindow)) <=
                 BoundOf(options.teams[team]));
    }
  }
}

TEST(QuotaHistory, AllCallersAtOneVm_DemandBeyond_UsesNearlyAll) {
  QuotaSimulationOptions options;
  options.teams = {Quota(60, 60)};
  QuotaSimulation world(options);
  world.Load(0, {5}, 180);
  world.Run(32s);
  CHECK_COMPARE(UsedPart(world, options.teams[0], 2s, 32s), >=, 0.95);
}

TEST(QuotaHistory, CallersEverywhere_DemandBeyond_UsesNearlyAll) {
  QuotaSimulationOptions options;
  options.teams = {Quota(60, 60)};
  options.vms_each = 12;
  QuotaSimulation world(options);
  world.Load(0, world.AllVms(), 240);
  world.Run(32s);
  CHECK_COMPARE(UsedPart(world, options.teams[0], 2s, 32s), >=, 0.95);
}

// A data centre is cut off from the others and from the store, and its share
// lies idle.
TEST(QuotaHistory, AThirdCutOff_DemandBeyond_TheRestUsesItsShares) {
  QuotaSimulationOptions options;
  options.teams = {Quota(60, 60)};
  QuotaSimulation world(options);
  world.Load(0, world.AllVms(), 240);
  world.Run(5s);
  world.Cut(world.VmsOf(1), 20s);
  world.CutStore(world.VmsOf(1), 20s);
  world.Run(20s);
  CHECK_COMPARE(UsedPart(world, options.teams[0], 6s, 25s), >=, 0.6);
}

// A team of few requests is refused since each entry VM has a part of its quota
// that is less than one.
TEST(QuotaHistory, SmallTeamWithinItsQuota_ManyVms_IsHardlyRefused) {
  QuotaSimulationOptions options;
  options.teams = {Quota(3, 3)};
  options.vms_each = 30;
  QuotaSimulation world(options);
  world.Load(0, world.AllVms(), 2);
  world.Run(120s);
  CHECK_COMPARE(static_cast<double>(world.CountRefused(0)), <=,
                0.01 * static_cast<double>(world.CountSent(0)));
}

// The way without leases: a team at one VM has that VM's part alone.
TEST(QuotaHistory, WithoutLeases_CallersAtOneVm_UsesThePartOfThatVm) {
  QuotaSimulationOptions options;
  options.teams = {Quota(60, 60)};
  options.has_leases = false;
  QuotaSimulation world(options);
  world.Load(0, {5}, 180);
  world.Run(32s);
  const double part = 1.0 / static_cast<double>(world.CountVms());
  const double used = UsedPart(world, options.teams[0], 2s, 32s);
  CHECK_COMPARE(used, >=, 0.9 * part);
  CHECK_COMPARE(used, <=, 1.1 * part);
}

TEST(QuotaHistory, WithoutLeases_DemandEverywhere_StaysWithinTheBound) {
  QuotaSimulationOptions options;
  options.teams = {Quota(60, 60)};
  options.has_leases = false;
  QuotaSimulation world(options);
  world.Load(0, world.AllVms(), 240);
  world.Run(20s);
  CHECK_TRUE(static_cast<double>(world.MostIn(0, kWindow)) <=
             BoundOf(options.teams[0]));
}

// The lender of a data centre dies: its share is back within the lease's term,
// and the others' are lent all the while.
TEST(QuotaHistory, LenderDies_DemandWithinTwoThirds_IsServedOn) {
  QuotaSimulationOptions options;
  options.teams = {Quota(60, 60)};
  QuotaSimulation world(options);
  world.Load(0, world.VmsOf(1), 35);
  world.Run(5s);
  const size_t before = world.CountRefused(0);
  for (const size_t vm : world.VmsOf(0)) {
    world.Kill(vm, 10s);
  }
  world.Run(10s);
  CHECK_COMPARE(static_cast<double>(world.CountRefused(0) - before), <=,
                0.05 * 350);
}

// The store turns those away that lend in two of three data centres. Their VMs
// are refused all requests of teams with a quota, for as long as it takes
// another to lend there.
TEST(QuotaHistory, StoreRefusesTwoLenders_DemandWithinTheQuota_ServedOn) {
  QuotaSimulationOptions options;
  options.teams = {Quota(60, 60)};
  QuotaSimulation world(options);
  world.Load(0, world.AllVms(), 36);
  world.Run(5s);
  std::vector<size_t> lenders = world.Lenders();
  CHECK_EQUAL(3, lenders.size());
  lenders.pop_back();
  const size_t refused = world.CountRefused(0);
  const size_t sent = world.CountSent(0);
  world.CutStore(lenders, 9s);
  world.Run(9s);
  CHECK_COMPARE(static_cast<double>(world.CountRefused(0) - refused), <=,
                0.1 * static_cast<double>(world.CountSent(0) - sent));
}

// Leases cost the store the same however many VMs and requests there are.
TEST(QuotaHistory, StoreCalls_TenTimesTheVms_AreTheSame) {
  const auto calls = [](size_t vms_each, double per_second) {
    QuotaSimulationOptions options;
    options.teams = {Quota(60, 60)};
    options.vms_each = vms_each;
    QuotaSimulation world(options);
    world.Load(0, world.AllVms(), per_second);
    world.Run(20s);
    return static_cast<double>(world.store_calls());
  };
  const double small = calls(4, 20);
  const double large = calls(40, 200);
  CHECK_COMPARE(large, <=, 1.1 * small);
}
