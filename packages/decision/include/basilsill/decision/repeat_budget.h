#ifndef BASILSILL_DECISION_REPEAT_BUDGET_H_
#define BASILSILL_DECISION_REPEAT_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "basilsill/base/time.h"

/// A bound on repeats (retries, second copies) of the whole fleet: in no window
/// more than a ratio of the requests in it plus a fixed slack. Each place that
/// repeats gets a part of the slack and counts its own requests, so the sum
/// holds without asking one another.

namespace basilsill {

struct RepeatBudgetOptions {
  double ratio = 0.1;  ///< Repeats a request.
  double slack = 20;   ///< Repeats beyond that in each window.
  Duration window = std::chrono::seconds(10);
};

/// What the places that repeat have of the fleet's bound on one service. Their
/// sum stays within it whatever VMs start, end, or do not see each other.
struct RepeatShares {
  RepeatBudgetOptions dispatchers;  ///< Of all shards together, if settled.
  RepeatBudgetOptions unsettled;    ///< Of all VMs together, at other shards.
  RepeatBudgetOptions entries;      ///< Of all entry VMs together, if settled.
};

/// @param fleet The bound of all VMs together, on one service.
RepeatShares SplitRepeatBudget(const RepeatBudgetOptions& fleet);

/// Until a place has been that place for a whole window, whoever was it before
/// may have spent all that there was, and nobody is left to tell.
/// @param since When it became that place; kNever: it is not.
bool IsSettled(TimePoint now, TimePoint since, Duration window);

class RepeatBudget {
 public:
  void OnRequest(TimePoint now, const RepeatBudgetOptions& options);

  /// @param keep Repeats that must be left over, for more important ones.
  /// @returns true if one repeat may be made; it is counted then.
  bool Take(TimePoint now, const RepeatBudgetOptions& options, double keep = 0);

 private:
  // The window slides: with a bucket more than it has, every span of its
  // length is covered.
  static constexpr size_t kBuckets = 21;

  struct Bucket {
    int64_t number = -1;  ///< Of its span of time since the clock's start.
    uint32_t requests = 0;
    uint32_t repeats = 0;
  };

  Bucket& BucketAt(int64_t number);
  static int64_t NumberAt(TimePoint now, const RepeatBudgetOptions& options);

  std::array<Bucket, kBuckets> buckets;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_REPEAT_BUDGET_H_
