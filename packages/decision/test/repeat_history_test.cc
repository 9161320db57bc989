// Tests of the fleet-wide limit on repeats with random histories of VMs that
// restart, pause and disagree on the membership.

#include "repeat_simulation.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::RepeatSimulation;
using basilsill::RepeatSimulationOptions;

namespace {

constexpr uint64_t kSeeds = 12;

}  // namespace

TEST_GROUP(RepeatHistory){};

// Failure: a dispatcher that restarts or takes over a shard spends a whole
// share of the fleet's slack, and several do so within one window.
TEST(RepeatHistory, Shards_ChangeOwnerWhileMostIsShed_StayWithinLimit) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepeatSimulation simulation(seed, {});
    simulation.Run(11s);
    simulation.SetShedPercent(95);
    for (int i = 0; i < 12; ++i) {
      simulation.Run(std::chrono::milliseconds(500 + simulation.rng()(700)));
      simulation.Restart(simulation.rng()(6));
      simulation.Restart(simulation.rng()(6));
    }
    CHECK(simulation.WorstExcess() <= 0);
  }
}

// Failure: as above, but with enough requests answered that the ratio allows
// repeats: a dispatcher spends the repeats that it has accumulated and stops,
// and its successor accumulates them again within the same window.
TEST(RepeatHistory, Shards_ChangeOwnerWhileHalfIsShed_StayWithinLimit) {
  for (uint64_t seed = 1; seed <= 4 * kSeeds; ++seed) {
    RepeatSimulation simulation(seed, {});
    simulation.Run(11s);
    simulation.SetShedPercent(50);
    for (int i = 0; i < 6; ++i) {
      simulation.Run(2s);
      simulation.Restart(simulation.rng()(6));
    }
    CHECK(simulation.WorstExcess() <= 0);
  }
}

// Failure: a request that two dispatchers refuse one after the other counts as
// a request at both, so the fleet allows more repeats than the ratio.
TEST(RepeatHistory, Requests_ChangeDispatcherWhileMostIsShed_CountOnce) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepeatSimulation simulation(seed, {});
    simulation.SetShedPercent(90);
    simulation.Run(25s);
    CHECK(simulation.WorstExcess() <= 0);
  }
}

// Failure: VMs that disagree on the owner of a shard each use the share of its
// first dispatcher.
TEST(RepeatHistory, Vms_DisagreePauseAndRestart_StayWithinLimit) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepeatSimulation simulation(seed, {});
    simulation.SetShedPercent(80);
    for (int i = 0; i < 30; ++i) {
      simulation.Run(std::chrono::milliseconds(300 + simulation.rng()(900)));
      switch (simulation.rng()(4)) {
        case 0:
          simulation.Restart(simulation.rng()(6));
          break;
        case 1:
          simulation.Pause(simulation.rng()(6), 1500ms);
          break;
        case 2:
          simulation.RandomizeMembership();
          break;
        default:
          simulation.RestoreMembership();
          break;
      }
    }
    CHECK(simulation.WorstExcess() <= 0);
  }
}

// Failure: the causes of sheds change often, and requests of several classes
// take more than the limit allows when one cause follows another.
TEST(RepeatHistory, Causes_ChangeWhileOwnersChange_StayWithinLimit) {
  RepeatSimulationOptions options;
  options.mixed = true;
  for (uint64_t seed = 1; seed <= 2 * kSeeds; ++seed) {
    RepeatSimulation simulation(seed, options);
    simulation.Run(11s);
    for (int i = 0; i < 15; ++i) {
      simulation.SetShedPercent(30 + simulation.rng()(70));
      simulation.SetFailing(simulation.rng()(6), simulation.rng()(3) == 0);
      simulation.Run(std::chrono::milliseconds(300 + simulation.rng()(2500)));
      if (simulation.rng()(3) == 0) {
        simulation.Restart(simulation.rng()(6));
      }
    }
    CHECK(simulation.WorstExcess() <= 0);
    CHECK(simulation.repeats() > 0);
  }
}

// Failure: the limit holds only because no request is repeated at all.
TEST(RepeatHistory, OneUpstream_RefusesAll_RequestsAreServedElsewhere) {
  RepeatSimulationOptions options;
  options.requests_per_second = 30;
  RepeatSimulation simulation(1, options);
  simulation.Run(12s);
  const size_t before = simulation.requests();
  const size_t answered_before = simulation.answered();
  simulation.SetFailing(0, true);
  simulation.Run(10s);
  const size_t request_count = simulation.requests() - before;
  CHECK(simulation.answered() - answered_before >= request_count * 95 / 100);
  CHECK(simulation.repeats() > 0);
}
