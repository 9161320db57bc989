#include "basilsill/decision/repeat_budget.h"

#include <algorithm>

namespace basilsill {
namespace {

// Parts of the slack. That of dispatchers is there twice: two VMs that are cut
// off from each other both hold themselves for a shard's first dispatcher.
constexpr double kDispatcherPart = 0.3;
constexpr double kEntryPart = 0.25;
constexpr double kUnsettledPart = 1 - 2 * kDispatcherPart - kEntryPart;
// Of the ratio, in places that are settled. One that spends all that it has
// saved and ends leaves the other tenth to those that come after it.
constexpr double kRatioPart = 0.9;
constexpr double kUnsettledRatio = 1 - kRatioPart;
// A VM starts no more often than this within a window.
constexpr double kStartsInWindow = 3;

RepeatBudgetOptions PartOf(const RepeatBudgetOptions& fleet,
                           double ratio_part,
                           double slack_part) {
  RepeatBudgetOptions part = fleet;
  part.ratio *= ratio_part;
  part.slack *= slack_part;
  return part;
}

}  // namespace

RepeatShares SplitRepeatBudget(const RepeatBudgetOptions& fleet) {
  return {PartOf(fleet, kRatioPart, kDispatcherPart),
          PartOf(fleet, kUnsettledRatio, kUnsettledPart / kStartsInWindow),
          PartOf(fleet, 0, kEntryPart)};
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
                        double keep) {
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
  if (repeats + 1 + keep > options.ratio * requests + options.slack) {
    return false;
  }
  ++current.repeats;
  return true;
}

}  // namespace basilsill
