#include "basilsill/decision/split_chooser.h"

#include <algorithm>
#include <numeric>

namespace basilsill {
namespace {

// The fractional part of the golden ratio, times 2^32.
constexpr uint32_t kGoldenStep = 2654435769;

}  // namespace

ServiceHandle SplitChooser::Choose(const RuleRow& rule) {
  const auto [found, is_new] =
      this->positions.try_emplace(rule.handle.index, this->random());
  const uint32_t position = found->second += kGoldenStep;
  const uint64_t total_weight =
      std::accumulate(rule.split.begin(), rule.split.end(), uint64_t{0},
                      [](uint64_t sum, const WeightedService& part) {
                        return sum + part.weight;
                      });
  uint64_t offset = (position * total_weight) >> 32;
  for (const WeightedService& part : rule.split) {
    if (offset < part.weight) {
      return part.service;
    }
    offset -= part.weight;
  }
  return rule.split.front().service;
}

}  // namespace basilsill
