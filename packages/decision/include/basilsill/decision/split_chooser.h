#ifndef BASILSILL_DECISION_SPLIT_CHOOSER_H_
#define BASILSILL_DECISION_SPLIT_CHOOSER_H_

#include <cstdint>

#include <boost/unordered/unordered_flat_map.hpp>
#include <pcg_random.hpp>

#include "basilsill/decision/view.h"

/// Shares the requests of a rule among its services by weight. Each entry VM
/// steps through the unit interval by the golden ratio from a place drawn at
/// random: after n requests each part is off its share by about log(n) / n,
/// where independent draws are off by 1 / sqrt(n), and VMs that have few
/// requests each don't all begin with the same part.

namespace basilsill {

class SplitChooser {
 public:
  explicit SplitChooser(uint64_t seed) : random(seed) {}

  /// @param rule Has a split.
  ServiceHandle Choose(const RuleRow& rule);

 private:
  pcg32 random;
  boost::unordered_flat_map<uint32_t, uint32_t> places;  ///< By rule's index.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SPLIT_CHOOSER_H_
