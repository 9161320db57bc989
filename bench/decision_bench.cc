#include <string>

#include <benchmark/benchmark.h>

#include "allocation_count.h"
#include "decision_load.h"

/// Benchmarks of the decisions on the hot path, by size of the installation.

namespace basilsill::bench {
namespace {

constexpr int kWarmUpSteps = 200000;
constexpr int kRepetitions = 9;
constexpr int kInstancesPerService = 40;

InstallationSize SizeOf(const benchmark::State& state) {
  return {static_cast<size_t>(state.range(0)),
          static_cast<size_t>(state.range(1))};
}

/// @returns a label that shows whether the load is as intended: slots in use,
/// few refusals.
std::string Describe(const DispatchLoad& load) {
  return std::to_string(load.running_count()) + " running, " +
         std::to_string(load.refused_count()) + " refused";
}
std::string Describe(const EntryLoad&) {
  return "all finished";
}

template <typename Load>
void Run(benchmark::State& state) {
  Load load(MakeSizedView(SizeOf(state)));
  for (int i = 0; i < kWarmUpSteps; ++i) {
    load.Step();
  }
  const uint64_t before = AllocationsSoFar().allocations;
  for (auto step : state) {
    load.Step();
  }
  const uint64_t allocations = AllocationsSoFar().allocations - before;
  // A label instead of counters: the coefficient of variation of counters that
  // are all zero is NaN, which JSON can't represent.
  state.SetLabel(std::to_string(allocations) + " allocations, " +
                 Describe(load));
}

void Sizes(benchmark::internal::Benchmark* benchmark) {
  for (const int instances : {100, 1000, 5000, 14000}) {
    benchmark->Args({instances, std::max(instances / kInstancesPerService, 1)});
  }
  benchmark->ArgNames({"instances", "services"});
  benchmark->Repetitions(kRepetitions)->ReportAggregatesOnly(true);
}

/// One step offers one request and ends another.
void DispatchDecision(benchmark::State& state) {
  Run<DispatchLoad>(state);
}
BENCHMARK(DispatchDecision)->Apply(Sizes);

/// One step runs one request: admission, choice, load summary, end.
void EntryDecision(benchmark::State& state) {
  Run<EntryLoad>(state);
}
BENCHMARK(EntryDecision)->Apply(Sizes);

/// Tick of the dispatcher while no timer is due.
void DispatcherTick(benchmark::State& state) {
  DispatchLoad load(MakeSizedView(SizeOf(state)));
  TimePoint now = load.time();
  for (auto step : state) {
    now += std::chrono::microseconds(1);
    load.dispatcher().Tick(now);
    load.dispatcher().ClearActions();
  }
}
BENCHMARK(DispatcherTick)->Apply(Sizes);

/// Applies the same view again, to the dispatcher and an entry router.
void ApplyView(benchmark::State& state) {
  const RoutingViewPtr view = MakeSizedView(SizeOf(state));
  DispatchLoad load(view);
  const std::unique_ptr<EntryRouter> router = EntryRouter::Create({});
  const TimePoint now(std::chrono::seconds(1));
  for (auto step : state) {
    load.dispatcher().ApplyView(now, view);
    router->ApplyView(now, view);
    load.dispatcher().ClearActions();
  }
}
BENCHMARK(ApplyView)->Apply(Sizes)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace basilsill::bench

BENCHMARK_MAIN();
