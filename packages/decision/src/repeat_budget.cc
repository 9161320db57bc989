#include "basilsill/decision/repeat_budget.h"

#include <algorithm>

namespace basilsill {
namespace {

// Of the slack. The rest covers a change of dispatchers within one window, when
// the old and the new one both repeat.
constexpr double kDispatcherPart = 0.5;
constexpr double kEntryPart = 0.25;
// Of the ratio, what is left to requests that are counted in two places.
constexpr double kRatioPart = 0.9;

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
