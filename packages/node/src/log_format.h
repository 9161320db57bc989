#ifndef BASILSILL_NODE_LOG_FORMAT_H_
#define BASILSILL_NODE_LOG_FORMAT_H_

#include <array>
#include <cstddef>
#include <initializer_list>
#include <span>
#include <string_view>

#include "basilsill/node/log.h"

/// The text of a log line.

namespace basilsill {

/// Longest text of one line; what is beyond is cut and marked by `...`.
inline constexpr size_t kMaxLogLineBytes = 960;

/// Writes `number name field=value ...` into `line`. A value that holds
/// anything but plain characters is quoted, with quotes, backslashes and
/// control characters escaped, so that a caller's bytes can't forge a line
/// or a field.
/// @returns the part of `line` that was written; never allocates.
std::string_view FormatLogLine(Event event,
                               std::span<const LogField> fields,
                               std::span<char, kMaxLogLineBytes> line);

}  // namespace basilsill

#endif  // BASILSILL_NODE_LOG_FORMAT_H_
