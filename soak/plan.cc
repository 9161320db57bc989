#include "plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <span>

#include <pcg_random.hpp>

namespace basilsill::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::string_view, static_cast<size_t>(Fault::kCount)>
    kNames = {"node-kill",
              "node-end",
              "node-pause",
              "node-reload",
              "all-kill",
              "store-down",
              "store-busy",
              "store-silent",
              "store-slow",
              "store-refuses",
              "upstream-crash",
              "upstream-leave",
              "upstream-slow",
              "upstream-fails",
              "answers-lost",
              "answers-cut",
              "link-slow",
              "link-reset",
              "link-one-way",
              "link-silent",
              "route-change",
              "drain",
              "upstream-cold",
              "upstream-limit",
              "upstream-says-leaving",
              "upstream-rests",
              "cut-silent",
              "cut-reset",
              "cut-refuses"};

constexpr milliseconds kMinDuration{200};
constexpr milliseconds kMaxDuration{3000};
// Traffic first runs without faults, so that effects of faults can be told from
// those of the start.
constexpr milliseconds kFaultFreeStart{1500};
// Traffic after all nodes were killed, long enough to check recovery.
constexpr milliseconds kRecoveryTime{14000};
// Probability that a fault repeats the kind of the previous one.
constexpr double kRepeatProbability = 0.25;

// A seed has only a few kinds of faults. If every seed had all kinds, the
// promises that hold only for undisturbed nodes could rarely be checked.
constexpr uint32_t kMaxKinds = 8;
constexpr uint32_t kMaxKindsWithoutCuts = 7;
// These occur in every seed, as they exercise the promises with a time bound.
constexpr std::array<Fault, 7> kCommonFaults = {
    Fault::kRouteChange,  Fault::kUpstreamLeave, Fault::kDataCentreDrain,
    Fault::kUpstreamCold, Fault::kUpstreamLimit, Fault::kUpstreamSaysLeaving,
    Fault::kUpstreamRests};

uint32_t Draw(pcg32& random, uint32_t below) {
  return std::uniform_int_distribution<uint32_t>(0, below - 1)(random);
}

milliseconds DrawGap(pcg32& random, milliseconds gap) {
  const auto mean = static_cast<double>(gap.count());
  return milliseconds(static_cast<int64_t>(
      std::exponential_distribution<double>(1 / mean)(random)));
}

Fault DrawFrom(pcg32& random, std::span<const Fault> kinds) {
  return kinds[Draw(random, static_cast<uint32_t>(kinds.size()))];
}

// Draws the kinds of a seed in addition to the common ones.
std::vector<Fault> DrawKinds(pcg32& random, FaultSet faults) {
  const bool has_cuts = faults == FaultSet::kAll;
  const auto end =
      static_cast<uint32_t>(has_cuts ? Fault::kCount : Fault::kCutSilent);
  std::vector<Fault> others;
  for (uint32_t i = 0; i < end; ++i) {
    const auto kind = static_cast<Fault>(i);
    if (std::find(kCommonFaults.begin(), kCommonFaults.end(), kind) ==
        kCommonFaults.end()) {
      others.push_back(kind);
    }
  }
  std::vector<Fault> kinds;
  const uint32_t most = has_cuts ? kMaxKinds : kMaxKindsWithoutCuts;
  for (uint32_t left = Draw(random, most + 1); left > 0; --left) {
    kinds.push_back(DrawFrom(random, others));
  }
  return kinds;
}

// Draws the seed's own kinds and the common kinds with equal probability.
Step DrawStep(pcg32& random, const std::vector<Fault>& own, milliseconds at) {
  const bool is_own = Draw(random, 2) == 0 && !own.empty();
  Step step;
  step.fault = is_own ? DrawFrom(random, own) : DrawFrom(random, kCommonFaults);
  step.at = at;
  step.duration =
      kMinDuration +
      milliseconds(Draw(random, static_cast<uint32_t>(
                                    (kMaxDuration - kMinDuration).count())));
  step.target = random();
  return step;
}

}  // namespace

std::string_view NameOf(Fault fault) {
  return kNames.at(static_cast<size_t>(fault));
}

Plan MakePlan(uint64_t seed,
              size_t nodes,
              milliseconds duration,
              milliseconds gap,
              FaultSet faults) {
  Plan plan;
  plan.seed = seed;
  plan.nodes = nodes;
  plan.duration = duration;
  pcg32 random(seed);
  const std::vector<Fault> kinds = DrawKinds(random, faults);
  std::bernoulli_distribution repeats(kRepeatProbability);
  milliseconds at = kFaultFreeStart + DrawGap(random, gap);
  while (at < duration) {
    Step step = DrawStep(random, kinds, at);
    if (!plan.steps.empty() && repeats(random)) {
      step.fault = plan.steps.back().fault;
    }
    plan.steps.push_back(step);
    at += DrawGap(random, gap);
  }
  for (const Step& step : plan.steps) {
    if (step.fault == Fault::kAllKill) {
      plan.duration = std::max(plan.duration, step.at + kRecoveryTime);
    }
  }
  return plan;
}

}  // namespace basilsill::soak
