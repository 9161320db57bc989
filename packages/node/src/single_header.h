#ifndef BASILSILL_NODE_SINGLE_HEADER_H_
#define BASILSILL_NODE_SINGLE_HEADER_H_

#include <optional>
#include <string>
#include <string_view>

#include "basilsill/base/error.h"
#include "http_message.h"

/// Reads headers that may appear at most once in a message.

namespace basilsill {

/// @param name Name of the header; empty if it is not used.
/// @returns the value, nullopt if the header is absent; kDuplicate if it
/// appears more than once. Valid as long as `fields`.
Result<std::optional<std::string_view>> FindSingleHeader(
    const HttpFields& fields,
    const std::string& name);

/// As FindSingleHeader, for a header whose value is a decimal number.
/// @returns the number, nullopt if the header is absent; kSyntax if the value
/// is not a decimal number, kOutOfRange if it is negative or not finite,
/// kDuplicate if the header appears more than once.
Result<std::optional<double>> ParseDecimalHeader(const HttpFields& fields,
                                                 const std::string& name);

}  // namespace basilsill

#endif  // BASILSILL_NODE_SINGLE_HEADER_H_
