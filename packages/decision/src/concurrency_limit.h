#ifndef BASILSILL_DECISION_SRC_CONCURRENCY_LIMIT_H_
#define BASILSILL_DECISION_SRC_CONCURRENCY_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "basilsill/base/time.h"

/// How many requests at once an upstream of a shard gets, of its slots: learned
/// from how long requests ran and how many ran beside them. Pure.
///
/// Failure: upstreams slow down when nearly all of their slots are taken, by
/// more than the last slots add. Filled, each does less in a second, and each
/// request takes longer. It shows as run times that rise with load while
/// requests wait for no upstream.
///
/// The time of a request is taken for the product of what is usual for its
/// upstream and a factor for how many ran there at once, the same for the whole
/// shard. What slows an upstream for another reason, however loaded, goes into
/// the first and does not shrink the limit. A few upstreams at a time, by
/// turns, run at another level: without them nothing would be known of levels
/// that are not in use, and no limit would ever rise again.

namespace basilsill {

class ConcurrencyLimit {
 public:
  /// Slots from which on there is something to learn.
  static constexpr uint16_t kMinSlots = 3;
  static constexpr uint16_t kMaxSlots = 64;

  /// Makes room for upstreams at places up to `count`, of `slots` each at most.
  void Reserve(size_t count, uint16_t most_slots);

  /// Another upstream is at `place` now.
  void Reset(size_t place);

  /// The number of requests that run at `place` is about to change.
  /// @param busy Before the change.
  void OnChange(TimePoint now, size_t place, uint16_t busy);

  /// @returns slot time used at `place` so far, for Learn; it wraps around.
  uint16_t UsedAt(size_t place) const;

  /// A request that ended well. Counts include the request itself.
  struct Run {
    double log_time = 0;  ///< Logarithm of its time over its class's usual.
    Duration took{0};
    uint16_t used_before = 0;  ///< As UsedAt had it when it began.
    uint16_t busy_before = 0;  ///< That ran when it had begun.
    uint16_t busy_after = 0;   ///< That ran when it ended.
  };
  void Learn(size_t place, const Run& run);

  /// @returns how many requests the upstream with `own_slots` may run at once.
  uint16_t LimitOf(TimePoint now, size_t place, uint16_t own_slots) const;

 private:
  struct Upstream {
    TimePoint changed_at{};
    double used = 0;  ///< In slot milliseconds.
  };
  /// Requests of one upstream at one level: how many ran at once.
  struct Cell {
    float samples = 0;
    float sum = 0;  ///< Of their logarithmic times.
  };
  /// The same of all upstreams, over what is usual for each.
  struct Level {
    float samples = 0;
    float sum = 0;
    float log_factor = 0;
  };

  void Add(size_t place, double log_time, uint16_t at_once);
  void Fit();
  void FitUpstream(size_t place);
  void Decide();
  double LogRateAt(uint16_t level) const;
  bool IsKnown(uint16_t level) const;
  uint16_t TrialLevel(size_t number) const;

  uint16_t slots = 0;  ///< Of the upstreams; those with fewer have no limit.
  uint16_t floor = 0;
  uint16_t best = 0;
  bool all_known = false;  ///< Every level that upstreams are tried at.
  uint32_t since_fit = 0;
  std::vector<Upstream> upstreams;
  std::vector<Level> levels;  ///< All below the floor, then each up to `slots`.
  std::vector<Cell> cells;    ///< By upstream, then level.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SRC_CONCURRENCY_LIMIT_H_
