#ifndef BASILSILL_DECISION_SPLIT_CHOOSER_H_
#define BASILSILL_DECISION_SPLIT_CHOOSER_H_

#include <cstdint>

#include <boost/unordered/unordered_flat_map.hpp>
#include <pcg_random.hpp>

#include "basilsill/decision/view.h"

/// Splits the requests of a rule among its services by weight. Each entry VM
/// steps through the unit interval by the golden ratio, starting at a random
/// position: after n requests each part is off its share by about log(n) / n,
/// while independent draws would be off by 1 / sqrt(n). The random start keeps
/// VMs with few requests each from all beginning with the same part.

namespace basilsill {

class SplitChooser {
 public:
  explicit SplitChooser(uint64_t seed) : random(seed) {}

  /// @param rule Must have a split.
  ServiceHandle Choose(const RuleRow& rule);

 private:
  pcg32 random;
  /// By index of the rule's handle.
  boost::unordered_flat_map<uint32_t, uint32_t> positions;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SPLIT_CHOOSER_H_
