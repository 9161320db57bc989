#ifndef BASILSILL_DECISION_LATENCY_STATS_H_
#define BASILSILL_DECISION_LATENCY_STATS_H_

#include <array>
#include <cstdint>

#include "basilsill/base/time.h"

/// Recent service times of one traffic class at one shard, in a decaying
/// histogram with logarithmic buckets. The quantiles are robust against a long
/// tail and follow changes of load within a few hundred samples.

namespace basilsill {

class LatencyStats {
 public:
  void Add(Duration sample);

  /// @returns true if there are enough samples for the other statistics.
  bool known() const { return this->total_seen >= kMinSamples; }

  Duration median() const { return this->cached_median; }
  Duration p95() const { return this->cached_p95; }

  /// @returns the mean, in which outliers are clipped; for throughput.
  Duration mean() const { return this->cached_mean; }

  /// @returns the standard deviation of the logarithm, estimated from the
  /// median and the 95th percentile.
  double spread() const { return this->cached_spread; }

  /// @returns the share of samples that took longer than `age`, never zero.
  double ShareLongerThan(Duration age) const;

  /// @returns the time below which a share of `quantile` of all samples lies.
  Duration Quantile(double quantile) const;

 private:
  static constexpr uint32_t kMinSamples = 8;
  static constexpr size_t kBuckets = 96;

  static size_t BucketOf(Duration sample);
  static double LowerBound(size_t bucket);
  void Halve();
  void Recompute();

  std::array<uint16_t, kBuckets> counts{};
  uint32_t total = 0;
  uint32_t total_seen = 0;
  Duration cached_median{0};
  Duration cached_p95{0};
  Duration cached_mean{0};
  double cached_spread = 1;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_LATENCY_STATS_H_
