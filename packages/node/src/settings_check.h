#ifndef BASILSILL_NODE_SETTINGS_CHECK_H_
#define BASILSILL_NODE_SETTINGS_CHECK_H_

#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/node/settings.h"

/// Checks that settings are consistent with each other.

namespace basilsill {

/// Adds a failure to `failures` for each setting that conflicts with another:
/// ports used twice, port ranges beyond 65535, limits in the wrong order.
void CheckConsistency(const Settings& settings, std::vector<Failure>& failures);

}  // namespace basilsill

#endif  // BASILSILL_NODE_SETTINGS_CHECK_H_
