#ifndef BASILSILL_CTL_PLATFORM_JSON_H_
#define BASILSILL_CTL_PLATFORM_JSON_H_

#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/ctl/platform_state.h"

/// Request and response bodies of the platform protocol, server side.

namespace basilsill::ctl {

/// Reads the body of an append, `{"records": ["text", ...]}`.
/// @returns the record bodies, or kSyntax, kWrongType or kOutOfRange.
Result<std::vector<std::string>> ParseAppend(std::string_view body);

/// Reads the body of `PUT /vms/{name}`.
/// @returns kSyntax or kWrongType for an invalid body.
Result<ListedVm> ParseVm(std::string_view name, std::string_view body);

/// Reads the body of `PUT /faults`. Fields that are not given keep their value
/// of `current`.
/// @returns kSyntax, kWrongType or kUnknownField for an invalid body.
Result<PlatformFaults> ParseFaults(std::string_view body,
                                   const PlatformFaults& current);

std::string WriteAppendAnswer(uint64_t first, uint64_t next);
std::string WriteBounds(const StreamBounds& bounds);

/// Writes at most `max` records from offset `from` on, and stops after the
/// record that reaches limits::kMaxReadBytes. Adds to the read counters of
/// `stats`.
std::string WriteRecords(const LogStream& stream,
                         uint64_t from,
                         uint64_t max,
                         PlatformStats& stats);

std::string WriteVmList(const VmTable::Version& version);
std::string WriteFaults(const PlatformFaults& faults);
std::string WriteStats(const PlatformStats& stats);
std::string WriteFailure(const Failure& failure);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_PLATFORM_JSON_H_
