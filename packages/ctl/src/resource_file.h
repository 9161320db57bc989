#ifndef BASILSILL_CTL_RESOURCE_FILE_H_
#define BASILSILL_CTL_RESOURCE_FILE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/error.h"
#include "resource_client.h"

/// Parser for files of `basilsillctl apply`: JSON with comments and trailing
/// commas that has one resource or an array of them.

namespace basilsill::ctl {

/// Desired state of one resource.
struct DeclaredResource {
  ResourcePath path;
  std::string spec;  ///< JSON, with the field `name` that the API requires.
  /// Version that the change is based on; absent: the current one.
  std::optional<uint64_t> version;
};

/// Reads `{"kind", "name", "spec"}` with an optional `version`, or an array.
/// @returns the resources in the order of the file, or all errors of the file.
CheckedResult<std::vector<DeclaredResource>> ParseResourceFile(
    std::string_view text);

/// Reads and parses the file `path`; `-` is standard input.
/// @returns the errors of ParseResourceFile, or kUnreadable.
CheckedResult<std::vector<DeclaredResource>> ReadResourceFile(
    const std::string& path);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_RESOURCE_FILE_H_
