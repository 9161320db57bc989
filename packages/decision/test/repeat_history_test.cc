// Random histories of VMs that repeat: whatever happens to them, the fleet
// stays within its bound.

#include "repeat_simulation.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::RepeatSimulation;
using basilsill::RepeatSimulationOptions;

namespace {

constexpr uint64_t kSeeds = 12;

}  // namespace

TEST_GROUP(RepeatHistory){};

// Failure: a dispatcher that starts anew, or takes a shard over, spends a whole
// part of the fleet's slack, and several do within one window.
TEST(RepeatHistory, Shards_ChangeHandsWhileAllShed_StayWithinTheBound) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepeatSimulation world(seed, {});
    world.Run(11s);
    world.SetShedPercent(95);
    for (int i = 0; i < 12; ++i) {
      world.Run(std::chrono::milliseconds(500 + world.dice()(700)));
      world.Restart(world.dice()(6));
      world.Restart(world.dice()(6));
    }
    CHECK(world.WorstExcess() <= 0);
  }
}

// Failure: the same, where enough is answered that requests pay for repeats: a
// dispatcher also spends what it has saved and ends, and its successor saves
// anew.
TEST(RepeatHistory, Shards_ChangeHandsWhileHalfIsShed_StayWithinTheBound) {
  for (uint64_t seed = 1; seed <= 4 * kSeeds; ++seed) {
    RepeatSimulation world(seed, {});
    world.Run(11s);
    world.SetShedPercent(50);
    for (int i = 0; i < 6; ++i) {
      world.Run(2s);
      world.Restart(world.dice()(6));
    }
    CHECK(world.WorstExcess() <= 0);
  }
}

// Failure: a request that two dispatchers refuse one after the other counts as
// a request at both, so that its repeats pay for others.
TEST(RepeatHistory, Requests_MoveWhileAllShed_CountOnce) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepeatSimulation world(seed, {});
    world.SetShedPercent(90);
    world.Run(25s);
    CHECK(world.WorstExcess() <= 0);
  }
}

// Failure: VMs that do not agree on who dispatches each have the part of the
// first owner.
TEST(RepeatHistory, Vms_DisagreeFreezeAndRestart_StayWithinTheBound) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RepeatSimulation world(seed, {});
    world.SetShedPercent(80);
    for (int i = 0; i < 30; ++i) {
      world.Run(std::chrono::milliseconds(300 + world.dice()(900)));
      switch (world.dice()(4)) {
        case 0:
          world.Restart(world.dice()(6));
          break;
        case 1:
          world.Freeze(world.dice()(6), 1500ms);
          break;
        case 2:
          world.Disagree();
          break;
        default:
          world.Agree();
          break;
      }
    }
    CHECK(world.WorstExcess() <= 0);
  }
}

// Failure: a bound that is kept by repeating nothing.
TEST(RepeatHistory, OneUpstream_Refuses_ItsRequestsAreServedElsewhere) {
  RepeatSimulationOptions options;
  options.requests_per_second = 30;
  RepeatSimulation world(1, options);
  world.Run(12s);
  const size_t before = world.requests();
  const size_t answered_before = world.answered();
  world.SetBroken(0, true);
  world.Run(10s);
  const size_t asked = world.requests() - before;
  CHECK(world.answered() - answered_before >= asked * 95 / 100);
  CHECK(world.repeats() > 0);
}
