#include "basilsill/ctl/load_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace basilsill::ctl {

void LoadHistogram::Add(Duration latency) {
  const Duration value = std::max(latency, Duration::zero());
  ++this->buckets[BucketOf(static_cast<uint64_t>(value.count()))];
  ++this->total;
  this->sum += static_cast<double>(value.count());
  this->largest = std::max(this->largest, value);
}

void LoadHistogram::Merge(const LoadHistogram& other) {
  for (size_t i = 0; i < kBuckets; ++i) {
    this->buckets[i] += other.buckets[i];
  }
  this->total += other.total;
  this->sum += other.sum;
  this->largest = std::max(this->largest, other.largest);
}

Duration LoadHistogram::mean() const {
  if (this->total == 0) {
    return Duration::zero();
  }
  return Duration(std::llround(this->sum / static_cast<double>(this->total)));
}

Duration LoadHistogram::Quantile(double fraction) const {
  const auto wanted = std::max<uint64_t>(
      1, static_cast<uint64_t>(
             std::ceil(fraction * static_cast<double>(this->total))));
  uint64_t seen = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    seen += this->buckets[i];
    if (seen >= wanted) {
      return std::min(Duration(EndOf(i)), this->largest);
    }
  }
  return this->largest;
}

// Each value below 2^kSubBits has its own bucket. For larger values, the
// highest bit selects a row, and the next kSubBits bits a bucket in that row.
size_t LoadHistogram::BucketOf(uint64_t value) {
  if (value < kSubBuckets) {
    return value;
  }
  const auto high_bit = static_cast<unsigned>(std::bit_width(value)) - 1;
  if (high_bit >= kMaxBits) {
    return kBuckets - 1;
  }
  const unsigned shift = high_bit - kSubBits;
  const size_t row = shift + 1;
  return row * kSubBuckets + ((value >> shift) - kSubBuckets);
}

uint64_t LoadHistogram::EndOf(size_t bucket) {
  const size_t row = bucket / kSubBuckets;
  const size_t column = bucket % kSubBuckets;
  if (row == 0) {
    return column;
  }
  const auto shift = static_cast<unsigned>(row - 1);
  return ((kSubBuckets + column + 1) << shift) - 1;
}

}  // namespace basilsill::ctl
