#ifndef BASILSILL_NODE_JSON_DUPLICATES_H_
#define BASILSILL_NODE_JSON_DUPLICATES_H_

#include <string>
#include <string_view>
#include <vector>

/// Detects duplicate keys in JSON text. Boost.JSON silently keeps the last one,
/// so that an operator's edit of an earlier one would have no effect.

namespace basilsill {

/// @param text Valid JSON; comments and trailing commas are allowed.
/// @returns the JSON pointer of each repeated occurrence of a key in an object.
std::vector<std::string> FindDuplicateKeys(std::string_view text);

}  // namespace basilsill

#endif  // BASILSILL_NODE_JSON_DUPLICATES_H_
