#include "basilsill/decision/repeat_budget.h"

#include <algorithm>

namespace basilsill {
namespace {

// Of the slack. The rest is for two places that both hold themselves for a
// shard's first dispatcher, as VMs that are cut off from each other do.
constexpr double kDispatcherPart = 0.5;
constexpr double kEntryPart = 0.25;
// Of the ratio, in places that are settled. One that spends all that it has
// saved and ends leaves the other tenth to those that come after it.
constexpr double kRatioPart = 0.9;
constexpr double kUnsettledRatio = (1 - kRatioPart) / kRatioPart;

RepeatBudgetOptions PartOf(const RepeatBudgetOptions& fleet,
                           double ratio_part,
                           double slack_part) {
  RepeatBudgetOptions part = fleet;
  part.ratio *= ratio_part;
  part.slack *= slack_part;
  return part;
}

}  // namespace

RepeatParts ShareRepeats(const RepeatBudgetOptions& fleet) {
  return {PartOf(fleet, kRatioPart, kDispatcherPart),
          PartOf(fleet, 0, kEntryPart)};
}

RepeatBudgetOptions PartNow(TimePoint now,
                            TimePoint since,
                            const RepeatBudgetOptions& part) {
  const bool is_settled = since != kNever && now - since >= part.window;
  return is_settled ? part : PartOf(part, kUnsettledRatio, 0);
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
