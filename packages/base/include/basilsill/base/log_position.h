#ifndef BASILSILL_BASE_LOG_POSITION_H_
#define BASILSILL_BASE_LOG_POSITION_H_

#include <compare>
#include <cstdint>

/// Positions in a log of a store that may be restored from a copy.

namespace basilsill {

/// Position of a record in a log. A store that is restored from a copy begins a
/// new era, in which it gives out again the offsets after the end of the copy.
/// So an offset names a record only together with its era, and every position
/// of a later era comes after all positions of an earlier one.
struct LogPosition {
  constexpr LogPosition() = default;
  /// @param at_era 0 for logs of a store that does not state its era.
  explicit constexpr LogPosition(uint64_t at_offset, uint64_t at_era = 0)
      : era(at_era), offset(at_offset) {}

  uint64_t era = 0;
  uint64_t offset = 0;

  friend constexpr auto operator<=>(const LogPosition&,
                                    const LogPosition&) = default;
};

/// @returns the position `count` records after `position`, in the same era.
constexpr LogPosition operator+(LogPosition position, uint64_t count) {
  position.offset += count;
  return position;
}

}  // namespace basilsill

#endif  // BASILSILL_BASE_LOG_POSITION_H_
