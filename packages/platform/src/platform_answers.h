#ifndef BASILSILL_PLATFORM_PLATFORM_ANSWERS_H_
#define BASILSILL_PLATFORM_PLATFORM_ANSWERS_H_

#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/platform/log_client.h"
#include "basilsill/platform/vm_list_client.h"

/// Serializes and parses bodies of the platform's protocol. Parsing is strict:
/// a malformed answer is rejected as a whole.

namespace basilsill {

std::string WriteAppend(const std::vector<std::string>& records);

/// @param count Number of records that were sent.
/// @returns kSyntax if the answer is malformed or does not have exactly `count`
/// offsets.
Result<AppendAnswer> ParseAppendAnswer(std::string_view body, size_t count);

/// @returns kSyntax unless there are at most `max` records, their offsets start
/// at `from` without gaps, and they are consistent with the bounds.
Result<ReadAnswer> ParseReadAnswer(std::string_view body,
                                   uint64_t from,
                                   size_t max);

/// Parses the body of a 410 or 416 answer to a read.
Result<LogBounds> ParseBounds(std::string_view body);

/// @returns kSyntax if the list is malformed, has more than limits::kMaxVms
/// entries, or has a duplicate name.
Result<VmList> ParseVmList(std::string_view body);

}  // namespace basilsill

#endif  // BASILSILL_PLATFORM_PLATFORM_ANSWERS_H_
