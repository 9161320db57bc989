#ifndef BASILSILL_CTL_LOAD_MIX_H_
#define BASILSILL_CTL_LOAD_MIX_H_

#include <string_view>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/ctl/load.h"

/// Parser of the file that describes a mix of requests.

namespace basilsill::ctl {

/// Parses a mix: JSON with comments, `{"requests": [{"name": ..., "weight": 9,
/// "method": "GET", "host": ..., "path": ..., "headers": {...},
/// "body_bytes": 0, "once": false, "crash": false}, ...]}`. Absent
/// fields have the defaults of LoadKind.
/// @returns all errors, each with its JSON pointer.
CheckedResult<std::vector<LoadKind>> ParseLoadMix(std::string_view text);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_MIX_H_
