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
    kNames = {
        "node-kill",     "node-end",       "node-pause",     "node-reload",
        "all-kill",      "store-down",     "store-busy",     "store-silent",
        "store-slow",    "store-refuses",  "upstream-crash", "upstream-leave",
        "upstream-slow", "upstream-fails", "answers-lost",   "answers-cut",
        "link-slow",     "link-reset",     "link-one-way",   "link-silent",
        "route-change",  "drain",          "upstream-cold",  "upstream-limit"};

constexpr milliseconds kShortest{200};
constexpr milliseconds kLongest{3000};
// Traffic runs undisturbed first, so that what is new is told from what is old.
constexpr milliseconds kQuietStart{1500};
// After all nodes were killed, until recovery has been judged.
constexpr milliseconds kRecoveryTime{14000};
// Faults often come in series of one kind.
constexpr double kRepeatShare = 0.25;

// A seed has few kinds of faults. Promises that hold for nodes in touch alone
// could hardly ever be judged if all kinds came in all seeds.
constexpr uint32_t kMostKinds = 7;
// What is to be in force in time comes in all of them.
constexpr std::array<Fault, 5> kAlways = {
    Fault::kRouteChange, Fault::kUpstreamLeave, Fault::kDataCentreDrain,
    Fault::kUpstreamCold, Fault::kUpstreamLimit};

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

// Those that a seed has beside the ones that come in all of them.
std::vector<Fault> DrawKinds(pcg32& random) {
  std::vector<Fault> others;
  for (uint32_t i = 0; i < static_cast<uint32_t>(Fault::kCount); ++i) {
    const auto kind = static_cast<Fault>(i);
    if (std::find(kAlways.begin(), kAlways.end(), kind) == kAlways.end()) {
      others.push_back(kind);
    }
  }
  std::vector<Fault> kinds;
  for (uint32_t left = Draw(random, kMostKinds + 1); left > 0; --left) {
    kinds.push_back(DrawFrom(random, others));
  }
  return kinds;
}

// As many of the seed's own kinds as of those that come in all of them.
Step DrawStep(pcg32& random, const std::vector<Fault>& own, milliseconds at) {
  const bool is_own = Draw(random, 2) == 0 && !own.empty();
  Step step;
  step.fault = is_own ? DrawFrom(random, own) : DrawFrom(random, kAlways);
  step.at = at;
  step.lasts =
      kShortest +
      milliseconds(
          Draw(random, static_cast<uint32_t>((kLongest - kShortest).count())));
  step.target = random();
  return step;
}

}  // namespace

std::string_view NameOf(Fault fault) {
  return kNames.at(static_cast<size_t>(fault));
}

Plan MakePlan(uint64_t seed,
              size_t nodes,
              milliseconds lasts,
              milliseconds gap) {
  Plan plan;
  plan.seed = seed;
  plan.nodes = nodes;
  plan.lasts = lasts;
  pcg32 random(seed);
  const std::vector<Fault> kinds = DrawKinds(random);
  std::bernoulli_distribution repeats(kRepeatShare);
  milliseconds at = kQuietStart + DrawGap(random, gap);
  while (at < lasts) {
    Step step = DrawStep(random, kinds, at);
    if (!plan.steps.empty() && repeats(random)) {
      step.fault = plan.steps.back().fault;
    }
    plan.steps.push_back(step);
    at += DrawGap(random, gap);
  }
  for (const Step& step : plan.steps) {
    if (step.fault == Fault::kAllKill) {
      plan.lasts = std::max(plan.lasts, step.at + kRecoveryTime);
    }
  }
  return plan;
}

}  // namespace basilsill::soak
