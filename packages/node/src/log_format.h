#ifndef BASILSILL_NODE_LOG_FORMAT_H_
#define BASILSILL_NODE_LOG_FORMAT_H_

#include <array>
#include <cstddef>
#include <initializer_list>
#include <span>
#include <string_view>

#include "basilsill/node/log.h"

/// Formats the text of a log line.

namespace basilsill {

/// Maximum size of one line. A longer line is truncated and ends in `...`.
inline constexpr size_t kMaxLogLineBytes = 960;

/// Writes `number name field=value ...` into `line` without allocating. A text
/// value that is empty or contains a space, `=`, a quote, a backslash or a byte
/// outside of printable ASCII is quoted. Within the quotes, quotes, backslashes
/// and such bytes are escaped, so that input from a caller can't forge a line
/// or a field.
/// @returns the part of `line` that was written.
std::string_view FormatLogLine(Event event,
                               std::span<const LogField> fields,
                               std::span<char, kMaxLogLineBytes> line);

}  // namespace basilsill

#endif  // BASILSILL_NODE_LOG_FORMAT_H_
