#ifndef BASILSILL_DECISION_REPEAT_BUDGET_H_
#define BASILSILL_DECISION_REPEAT_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "basilsill/base/time.h"

/// Limits the repeats (retries and hedges) of the whole fleet: within any
/// window their number is at most a ratio of the requests plus a fixed slack.
/// Each dispatcher and entry VM gets a share of the slack and counts only its
/// own requests, so the fleet-wide limit holds without coordination.

namespace basilsill {

struct RepeatBudgetOptions {
  double ratio = 0.1;  ///< Repeats allowed for each request.
  double slack = 20;   ///< Additional repeats allowed in each window.
  Duration window = std::chrono::seconds(10);
};

/// The shares of a service's fleet-wide limit. Their sum stays within the limit
/// even while VMs start, stop or are partitioned from each other. A dispatcher
/// or entry VM is settled once it has had its role for a whole window; see
/// IsSettled.
struct RepeatShares {
  RepeatBudgetOptions dispatchers;  ///< All settled shards together.
  RepeatBudgetOptions unsettled;    ///< All VMs together, unsettled shards.
  RepeatBudgetOptions entries;      ///< All settled entry VMs together.
};

/// Splits a fleet-wide limit into shares.
/// @param fleet The limit of all VMs together for one service.
RepeatShares SplitRepeatBudget(const RepeatBudgetOptions& fleet);

/// Within the first window after a VM takes over a role, the previous holder of
/// the role may have spent the whole share, and there is no way to find out.
/// @param since When the VM took over the role; kNever: it does not have it.
/// @returns true if the VM has had the role for at least `window`.
bool IsSettled(TimePoint now, TimePoint since, Duration window);

class RepeatBudget {
 public:
  void OnRequest(TimePoint now, const RepeatBudgetOptions& options);

  /// @param reserved Share of the allowed repeats that must remain for more
  /// important ones.
  /// @returns true if one repeat may be made; it is then counted.
  bool Take(TimePoint now,
            const RepeatBudgetOptions& options,
            double reserved = 0);

 private:
  // Sliding window: with one bucket more than the window has, every span of the
  // window's length is covered.
  static constexpr size_t kBuckets = 21;

  struct Bucket {
    int64_t number = -1;  ///< Index of its time span since the clock's epoch.
    uint32_t requests = 0;
    uint32_t repeats = 0;
  };

  Bucket& BucketAt(int64_t number);
  static int64_t NumberAt(TimePoint now, const RepeatBudgetOptions& options);

  std::array<Bucket, kBuckets> buckets;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_REPEAT_BUDGET_H_
