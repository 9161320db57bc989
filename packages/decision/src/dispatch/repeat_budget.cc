#include "basilsill/decision/repeat_budget.h"

#include <algorithm>

namespace basilsill {
namespace {

// Shares of the slack. The dispatchers' share counts twice: two VMs that are
// partitioned from each other may both act as the first dispatcher of a shard.
constexpr double kDispatcherSlackShare = 0.3;
constexpr double kEntrySlackShare = 0.25;
constexpr double kUnsettledSlackShare =
    1 - 2 * kDispatcherSlackShare - kEntrySlackShare;
// Share of the ratio for settled VMs. If a settled VM spends all repeats that
// it has accumulated and then stops, its successors still have the other tenth.
constexpr double kSettledRatioShare = 0.9;
constexpr double kUnsettledRatioShare = 1 - kSettledRatioShare;
// Assumed maximum number of starts of a VM within a window.
constexpr double kStartsInWindow = 3;

RepeatBudgetOptions ScaledBudget(const RepeatBudgetOptions& fleet,
                                 double ratio_share,
                                 double slack_share) {
  RepeatBudgetOptions part = fleet;
  part.ratio *= ratio_share;
  part.slack *= slack_share;
  return part;
}

}  // namespace

RepeatShares SplitRepeatBudget(const RepeatBudgetOptions& fleet) {
  return {ScaledBudget(fleet, kSettledRatioShare, kDispatcherSlackShare),
          ScaledBudget(fleet, kUnsettledRatioShare,
                       kUnsettledSlackShare / kStartsInWindow),
          ScaledBudget(fleet, 0, kEntrySlackShare)};
}

bool IsSettled(TimePoint now, TimePoint since, Duration window) {
  return since != kNever && now - since >= window;
}

int64_t RepeatBudget::NumberAt(TimePoint now,
                               const RepeatBudgetOptions& options) {
  const Duration span = options.window / (kBuckets - 1);
  return now.time_since_epoch() / std::max(span, Duration(1));
}

RepeatBudget::Bucket& RepeatBudget::BucketAt(int64_t number) {
  Bucket& bucket =
      this->buckets[static_cast<size_t>(number) % this->buckets.size()];
  if (bucket.number != number) {
    bucket = Bucket();
    bucket.number = number;
  }
  return bucket;
}

void RepeatBudget::OnRequest(TimePoint now,
                             const RepeatBudgetOptions& options) {
  ++this->BucketAt(NumberAt(now, options)).requests;
}

bool RepeatBudget::Take(TimePoint now,
                        const RepeatBudgetOptions& options,
                        double reserved) {
  const int64_t number = NumberAt(now, options);
  Bucket& current = this->BucketAt(number);
  double requests = 0;
  double repeats = 0;
  for (const Bucket& bucket : this->buckets) {
    if (bucket.number < 0 ||
        number - bucket.number >= static_cast<int64_t>(kBuckets)) {
      continue;
    }
    requests += bucket.requests;
    repeats += bucket.repeats;
  }
  const double allowed = options.ratio * requests + options.slack;
  if (repeats + 1 > allowed * (1 - reserved)) {
    return false;
  }
  ++current.repeats;
  return true;
}

}  // namespace basilsill
