// Tests of requests while VMs can't connect to upstreams that other VMs reach,
// in random histories.

#include <string>

#include "reach_simulation.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using basilsill::Duration;
using basilsill::PathState;
using basilsill::ReachSimulation;

namespace {

constexpr int kHistories = 500;

// Requests made later than this after the first connection that fails are
// served.
constexpr Duration kSettledAfter = 500ms;

PathState DrawBrokenPath(ReachSimulation& simulation) {
  return static_cast<PathState>(
      1 + simulation.rng()(static_cast<uint32_t>(PathState::kCount) - 1));
}

void CutAllBut(ReachSimulation& simulation, uint32_t kept) {
  const PathState state = DrawBrokenPath(simulation);
  for (uint32_t i = 0; i < simulation.settings().vms; ++i) {
    if (i != kept) {
      simulation.SetPaths(i, state);
    }
  }
}

void CutSome(ReachSimulation& simulation) {
  const PathState state = DrawBrokenPath(simulation);
  for (uint32_t i = 0; i < simulation.settings().vms; ++i) {
    if (simulation.rng()(100) < 60) {
      simulation.SetPaths(i, state);
    }
  }
}

void CutDataCentre(ReachSimulation& simulation) {
  const PathState state = DrawBrokenPath(simulation);
  const uint32_t data_centres = simulation.settings().data_centres;
  const uint32_t cut = simulation.rng()(data_centres);
  for (uint32_t i = cut; i < simulation.settings().vms; i += data_centres) {
    simulation.SetPaths(i, state);
  }
}

// Each VM loses its path to one data centre.
void CutOneDataCentreEach(ReachSimulation& simulation) {
  const PathState state = DrawBrokenPath(simulation);
  for (uint32_t i = 0; i + 1 < simulation.settings().vms; ++i) {
    simulation.SetPath(i, simulation.rng()(simulation.settings().data_centres),
                       state);
  }
}

// Half of the VMs lose their paths to the same data centre.
void CutHalfFromOneDataCentre(ReachSimulation& simulation) {
  const PathState state = DrawBrokenPath(simulation);
  const uint32_t cut = simulation.rng()(simulation.settings().data_centres);
  for (uint32_t i = 0; i < simulation.settings().vms; i += 2) {
    simulation.SetPath(i, cut, state);
  }
}

void CutAllFromOneDataCentre(ReachSimulation& simulation) {
  simulation.SetDataCentre(simulation.rng()(simulation.settings().data_centres),
                           DrawBrokenPath(simulation));
}

void Heal(ReachSimulation& simulation) {
  for (uint32_t i = 0; i < simulation.settings().vms; ++i) {
    simulation.SetPaths(i, PathState::kOpen);
  }
}

using Cut = void (*)(ReachSimulation&);

// @returns the number of requests of all histories that were lost.
size_t CountLost(Cut cut) {
  size_t lost = 0;
  size_t settled = 0;
  for (int seed = 1; seed <= kHistories; ++seed) {
    ReachSimulation simulation(static_cast<uint64_t>(seed), {});
    simulation.Run(1s);
    cut(simulation);
    simulation.Run(2s);
    Heal(simulation);
    simulation.Run(1s);
    simulation.Finish();
    lost += simulation.CountLost(kSettledAfter);
    settled += simulation.CountSettled(kSettledAfter);
  }
  CHECK(settled > kHistories);
  return lost;
}

}  // namespace

TEST_GROUP(ReachHistory){};

// Failure: a VM that can't connect to upstreams says that there are none, and
// no other VM is asked, so that all callers are refused although there are VMs
// that reach the upstreams.
TEST(ReachHistory, SomeVms_CutFromAllUpstreams_RequestsAreServed) {
  CHECK_EQUAL(0, CountLost(CutSome));
}

// Failure: all VMs that may dispatch for a shard are in one data centre, which
// has lost its paths.
TEST(ReachHistory, VmsOfDataCentre_CutFromAllUpstreams_RequestsAreServed) {
  CHECK_EQUAL(0, CountLost(CutDataCentre));
}

// Failure: the only VM that reaches the upstreams is not among those that may
// dispatch for their shards.
TEST(ReachHistory, AllVmsButOne_CutFromAllUpstreams_RequestsAreServed) {
  CHECK_EQUAL(0, CountLost([](ReachSimulation& simulation) {
                CutAllBut(simulation,
                          simulation.rng()(simulation.settings().vms));
              }));
}

TEST(ReachHistory, EachVm_CutFromOneDataCentre_RequestsAreServed) {
  CHECK_EQUAL(0, CountLost(CutOneDataCentreEach));
}

// Failure: a data centre counts as lost although half of the VMs reach it.
TEST(ReachHistory, HalfOfVms_CutFromSameDataCentre_RequestsAreServed) {
  CHECK_EQUAL(0, CountLost(CutHalfFromOneDataCentre));
}

TEST(ReachHistory, AllVms_CutFromSameDataCentre_RequestsAreServed) {
  CHECK_EQUAL(0, CountLost(CutAllFromOneDataCentre));
}

// Failure: all upstreams are down, and each request makes every VM in turn try
// to connect to them.
TEST(ReachHistory, AllUpstreamsDown_TenSeconds_ConnectionsAreFew) {
  ReachSimulation simulation(1, {});
  simulation.Run(1s);
  for (uint32_t i = 0; i < simulation.settings().vms; ++i) {
    simulation.SetPaths(i, PathState::kResets);
  }
  const size_t connects = simulation.connects();
  const size_t requests = simulation.requests();
  simulation.Run(10s);
  // Each request may at most have one connection, and each VM may probe each
  // data centre a few times a second.
  const size_t probes =
      10 * 5 * simulation.settings().vms * simulation.settings().data_centres;
  CHECK(simulation.connects() - connects <
        simulation.requests() - requests + probes);
}
