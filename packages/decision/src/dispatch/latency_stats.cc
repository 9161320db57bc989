#include "latency_stats.h"

#include <algorithm>
#include <cmath>

namespace basilsill {
namespace {

constexpr double kBucketsPerOctave = 4;
constexpr double kFirstOctave = 14;     // The first bucket starts at 16 us.
constexpr uint32_t kHalveAt = 1024;     // Samples at which counts are halved.
constexpr uint32_t kRecomputeEach = 8;  // Samples between updates of quantiles.
constexpr int kMeanWeight = 32;       // Window of the moving mean, in samples.
constexpr int kOutlier = 4;           // Samples are clipped at p95 times this.
constexpr double kNormalP95 = 1.645;  // 95th percentile, standard normal.
constexpr double kMinShare = 1e-6;
constexpr double kMinSpread = 0.25;
constexpr double kMaxSpread = 1.5;

}  // namespace

void LatencyStats::Add(Duration sample) {
  sample = std::max(sample, Duration(1));
  ++this->counts[BucketOf(sample)];
  ++this->total;
  this->total_seen += this->known() ? 0 : 1;
  if (this->total >= kHalveAt) {
    this->Halve();
  }
  if (this->total % kRecomputeEach == 0 || this->total < 2 * kMinSamples) {
    this->Recompute();
  }
  const Duration cut = std::min(sample, this->cached_p95 * kOutlier);
  const auto weight =
      std::min<int64_t>(this->total, static_cast<int64_t>(kMeanWeight));
  this->cached_mean += (cut - this->cached_mean) / weight;
}

double LatencyStats::ShareLongerThan(Duration age) const {
  const size_t bucket = BucketOf(std::max(age, Duration(1)));
  uint32_t longer = 0;
  for (size_t i = bucket + 1; i < kBuckets; ++i) {
    longer += this->counts[i];
  }
  // Counts half of the bucket of `age`, and adds one longer and one shorter
  // sample, so that the share is never 0 or 1.
  const double own = this->counts[bucket] / 2.0;
  const double seen = (longer + own + 1) / (this->total + 2.0);
  if (longer + own > 0) {
    return seen;
  }
  // No sample was longer. The tail of a lognormal distribution is used instead,
  // so that the share keeps falling with the age of a request that hangs.
  const double log_ratio =
      std::log(static_cast<double>(age.count()) /
               static_cast<double>(this->cached_median.count() + 1));
  const double tail =
      std::erfc(log_ratio / this->cached_spread / std::sqrt(2.0)) / 2;
  return std::clamp(tail, kMinShare, seen);
}

Duration LatencyStats::Quantile(double quantile) const {
  const double wanted = quantile * this->total;
  double below = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    const double here = this->counts[i];
    if (here > 0 && below + here >= wanted) {
      const double part = (wanted - below) / here;
      const double bound = LowerBound(i) * std::exp2(part / kBucketsPerOctave);
      return Duration(static_cast<int64_t>(bound));
    }
    below += here;
  }
  return Duration(0);
}

size_t LatencyStats::BucketOf(Duration sample) {
  const double octave = std::log2(static_cast<double>(sample.count()));
  const double bucket = (octave - kFirstOctave) * kBucketsPerOctave;
  return static_cast<size_t>(std::clamp(bucket, 0.0, kBuckets - 1.0));
}

double LatencyStats::LowerBound(size_t bucket) {
  return std::exp2(kFirstOctave +
                   static_cast<double>(bucket) / kBucketsPerOctave);
}

void LatencyStats::Halve() {
  this->total = 0;
  for (uint16_t& count : this->counts) {
    count /= 2;
    this->total += count;
  }
}

void LatencyStats::Recompute() {
  this->cached_median = this->Quantile(0.5);
  this->cached_p95 = this->Quantile(0.95);
  const double ratio = static_cast<double>(this->cached_p95.count()) /
                       static_cast<double>(this->cached_median.count() + 1);
  this->cached_spread = std::clamp(std::log(std::max(ratio, 1.0)) / kNormalP95,
                                   kMinSpread, kMaxSpread);
}

}  // namespace basilsill
