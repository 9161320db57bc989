#ifndef BASILSILL_NODE_METRICS_LATENCY_H_
#define BASILSILL_NODE_METRICS_LATENCY_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Latency measurement of one worker, in Boost.Accumulators that are passed to
/// the admin server without locks. docs/design/latency-quantiles.md compares
/// the alternatives.

namespace basilsill {

/// Histogram of the latencies in a time span, of one worker or merged over
/// several. The bins have equal width on a logarithmic scale, so that the error
/// of a quantile is less than one bin (5%) even if the latencies shift during
/// the span.
class LatencyDigest {
 public:
  /// Durations outside of these bounds are counted in the two outer bins.
  static constexpr Duration kLowerBound = std::chrono::microseconds(10);
  static constexpr Duration kUpperBound = std::chrono::seconds(1000);
  /// Bins of 5% each from the lower to the upper bound.
  static constexpr size_t kInnerBins = 378;
  static constexpr size_t kBins = kInnerBins + 2;

  void Merge(const LatencyDigest& other);

  /// @param ratio 0 to 1: 0.99 gives the 99th percentile.
  /// @returns the quantile, zero if there are no samples.
  Duration Quantile(double ratio) const;

  std::array<uint64_t, kBins> bins{};
  uint64_t count = 0;
  Duration sum{0};
  Duration longest{0};
};

using LatencyDigests =
    std::array<LatencyDigest, static_cast<size_t>(TrafficClass::kCount)>;

/// Double buffer of accumulator windows: the worker fills one while the reader
/// empties the other. If the reader has not yet returned its window, the worker
/// continues to fill its own. Neither thread blocks and no sample is lost.
class LatencyRecorder {
 public:
  /// Minimum interval between two handovers.
  static constexpr Duration kWindow = std::chrono::seconds(1);

  LatencyRecorder();
  ~LatencyRecorder();
  LatencyRecorder(const LatencyRecorder&) = delete;
  LatencyRecorder& operator=(const LatencyRecorder&) = delete;

  /// Records one duration without allocating. Worker's thread only.
  void Record(TrafficClass traffic_class, Duration duration);

  /// Hands the window to the reader if it is due, not empty, and the other one
  /// was returned. Worker's thread only, once per tick.
  void HandOver(TimePoint now);

  /// Adds the window that was handed over since the last call, if any, to
  /// `digests` and returns it to the worker. Reader's thread only.
  void Collect(LatencyDigests& digests);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_METRICS_LATENCY_H_
