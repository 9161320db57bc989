#ifndef BASILSILL_NODE_SETTINGS_VALUE_H_
#define BASILSILL_NODE_SETTINGS_VALUE_H_

#include <string>
#include <vector>

#include <boost/json/fwd.hpp>

#include "basilsill/base/error.h"
#include "settings_schema.h"

/// Reads and checks single values of a settings file.

namespace basilsill {

/// Checks `value` against `field` and stores it in `settings`. Faults are added
/// to `failures`. A faulty value leaves the setting unchanged, except for a
/// list with a faulty endpoint.
void ReadSetting(const SettingField& field,
                 const boost::json::value& value,
                 Settings& settings,
                 std::vector<Failure>& failures);

/// @returns "found ..., allowed is ..." for a failure's detail.
std::string FoundAndAllowed(const boost::json::value& found,
                            const std::string& allowed);

}  // namespace basilsill

#endif  // BASILSILL_NODE_SETTINGS_VALUE_H_
