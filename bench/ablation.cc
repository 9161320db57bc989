#include "ablation.h"

#include <cmath>
#include <iomanip>
#include <string>

#include "model/fleet.h"

namespace basilsill::bench {
namespace {

/// A relative change of at most this share is noise.
constexpr double kNoise = 0.03;

/// An absolute change of at most this much in the share of requests without an
/// answer is noise.
constexpr double kLostNoise = 0.0005;

StrategySpec Make(const std::string& name, const PolicyFeatures& features) {
  return {name, [features](SimulatedCluster& cluster) {
            return MakeFleetStrategy(cluster, features);
          }};
}

std::string ShortPercent(double share) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(2) << share * 100 << "%";
  return out.str();
}

void WriteRow(std::ostream& out,
              const Figures& without,
              const Figures& complete) {
  out << "| " << without.strategy << " | " << complete.case_name << " | "
      << complete.deployment << std::fixed << std::setprecision(1) << " | "
      << complete.measured.latency.p99 << " -> " << without.measured.latency.p99
      << " | " << complete.measured.latency.p999 << " -> "
      << without.measured.latency.p999 << " | "
      << ShortPercent(1 - complete.measured.answered) << " -> "
      << ShortPercent(1 - without.measured.answered) << std::setprecision(3)
      << " | " << complete.attempts << " -> " << without.attempts << " | "
      << complete.goodput << " -> " << without.goodput << " |\n";
}

bool Differs(double a, double b, double scale) {
  return std::abs(a - b) > kNoise * scale;
}

bool Differs(const Figures& a, const Figures& b) {
  return Differs(a.measured.latency.p99, b.measured.latency.p99,
                 b.measured.latency.p99) ||
         std::abs(a.measured.answered - b.measured.answered) > kLostNoise ||
         Differs(a.attempts, b.attempts, b.attempts) ||
         Differs(a.goodput, b.goodput, b.goodput);
}

}  // namespace

std::vector<StrategySpec> AblatedStrategies() {
  std::vector<StrategySpec> all = {Make(kOwnStrategy, {})};
  for (const Mechanism& mechanism : AllMechanisms()) {
    PolicyFeatures features;
    mechanism.flag(features) = false;
    all.push_back(Make(std::string(mechanism.name), features));
  }
  return all;
}

void WriteAblation(std::ostream& out, const std::vector<Figures>& results) {
  out << "\n| without | case | deployment | p99 | p99.9 | no answer | attempts"
         " | goodput |\n|---|---|---|---|---|---|---|---|\n";
  for (const StrategySpec& strategy : AblatedStrategies()) {
    const Figures* complete = nullptr;
    size_t differing = 0;
    for (const Figures& row : results) {
      complete = row.strategy == kOwnStrategy ? &row : complete;
      if (row.strategy == strategy.name && &row != complete &&
          Differs(row, *complete)) {
        WriteRow(out, row, *complete);
        ++differing;
      }
    }
    if (differing == 0 && strategy.name != kOwnStrategy) {
      out << "| " << strategy.name << " | no case differs | | | | | | |\n";
    }
  }
}

}  // namespace basilsill::bench
