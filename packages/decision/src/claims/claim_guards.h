#ifndef BASILSILL_DECISION_CLAIM_GUARDS_H_
#define BASILSILL_DECISION_CLAIM_GUARDS_H_

#include <memory>

#include "basilsill/decision/claims.h"

/// Switches for the safety checks that are applied to records from the log.
/// Only fault tests switch a check off, to show that the test of random
/// histories detects its absence.

namespace basilsill {

struct ClaimGuards {
  /// Grants nothing in a stream whose history has a gap.
  bool complete_history = true;
  /// Remembers a release that precedes its claim in the log.
  bool tombstones = true;
};

/// Creates a table with the given guards; for fault tests.
std::unique_ptr<ClaimTable> CreateClaimTable(const ClaimOptions& options,
                                             const ClaimGuards& guards);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CLAIM_GUARDS_H_
