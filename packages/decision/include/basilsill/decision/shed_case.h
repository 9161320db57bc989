#ifndef BASILSILL_DECISION_SHED_CASE_H_
#define BASILSILL_DECISION_SHED_CASE_H_

#include <cstdint>
#include <string_view>

/// Why the upstreams of a shard shed requests.

namespace basilsill {

enum class ShedCase : uint8_t {
  kNone,         ///< Few or no sheds.
  kOneUpstream,  ///< At most half of the upstreams shed.
  kWithRoom,     ///< Nearly all shed some of the requests, with free slots.
  /// Nearly all shed at full slots, or all requests are shed, or it is unknown
  /// whether slots are free.
  kOverload,
  kCount
};

/// @returns the name of `shed_case` in logs and metrics.
std::string_view NameOf(ShedCase shed_case);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SHED_CASE_H_
