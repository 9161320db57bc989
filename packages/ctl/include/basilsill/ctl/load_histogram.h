#ifndef BASILSILL_CTL_LOAD_HISTOGRAM_H_
#define BASILSILL_CTL_LOAD_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "basilsill/base/time.h"

/// Latency histogram of the load generator.
///
/// A fixed log-linear table: each power of two of nanoseconds is divided into
/// 128 equal buckets. Any quantile from 1 ns to over an hour is therefore
/// within 1/128 of the true value, whatever the distribution. Load reports
/// compare the p99.9 of two runs, which needs such an error bound. The
/// P-square and tail quantiles of Boost.Accumulators, which the nodes use, are
/// estimates: they drift on bimodal latencies and can't be merged from several
/// threads.

namespace basilsill::ctl {

class LoadHistogram {
 public:
  /// Adds one latency; a negative one counts as zero.
  void Add(Duration latency);

  /// Adds all values of `other`.
  void Merge(const LoadHistogram& other);

  uint64_t count() const { return this->total; }
  Duration max() const { return this->largest; }
  Duration mean() const;

  /// @param fraction From 0 to 1; 0.99 is the 99th percentile.
  /// @returns the latency that this fraction of the values does not exceed,
  /// rounded up to the end of its bucket; zero if there are no values.
  Duration Quantile(double fraction) const;

 private:
  static constexpr unsigned kSubBits = 7;
  static constexpr size_t kSubBuckets = size_t{1} << kSubBits;
  /// Values of 2^42 ns (73 minutes) and above share the last bucket.
  static constexpr unsigned kMaxBits = 42;
  static constexpr size_t kBuckets = (kMaxBits - kSubBits + 1) * kSubBuckets;

  static size_t BucketOf(uint64_t value);
  static uint64_t EndOf(size_t bucket);

  std::array<uint64_t, kBuckets> buckets{};
  uint64_t total = 0;
  double sum = 0;
  Duration largest{};
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_HISTOGRAM_H_
