#ifndef BASILSILL_NODE_SETTINGS_CHECK_H_
#define BASILSILL_NODE_SETTINGS_CHECK_H_

#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/node/settings.h"

/// Checks of settings that hold only together.

namespace basilsill {

/// Adds a failure to `failures` for each setting that clashes with another:
/// ports used twice, ports past the last one, limits in the wrong order.
void CheckConsistency(const Settings& settings, std::vector<Failure>& failures);

}  // namespace basilsill

#endif  // BASILSILL_NODE_SETTINGS_CHECK_H_
