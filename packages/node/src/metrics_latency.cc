#include "metrics_latency.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/density.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace basilsill {
namespace {

namespace acc = boost::accumulators;

/// In nanoseconds, as an integer, so that sums are exact.
using DurationAccumulator = acc::accumulator_set<
    Duration::rep,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;
using BinAccumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::density>>;

double LogOf(Duration duration) {
  return std::log(
      static_cast<double>(std::max<Duration::rep>(duration.count(), 1)));
}

Duration FromLog(double logarithm) {
  return Duration(static_cast<Duration::rep>(std::exp(logarithm)));
}

/// `tag::density` derives the range of its bins from the first samples. Two
/// sentinel samples give all windows the same bins, so that they can be merged.
constexpr size_t kSentinels = 2;

struct ClassWindow {
  ClassWindow()
      : bins(acc::tag::density::cache_size = kSentinels,
             acc::tag::density::num_bins = LatencyDigest::kInnerBins) {
    this->bins(LogOf(LatencyDigest::kLowerBound));
    this->bins(LogOf(LatencyDigest::kUpperBound));
  }

  void Record(Duration duration) {
    this->durations(duration.count());
    this->bins(LogOf(duration));
  }

  size_t count() const { return acc::count(this->durations); }

  LatencyDigest Digest() const {
    LatencyDigest digest;
    digest.count = this->count();
    digest.sum = Duration(acc::sum(this->durations));
    digest.longest = Duration(acc::max(this->durations));
    const auto samples = static_cast<double>(digest.count + kSentinels);
    size_t position = 0;
    for (const auto& [lower_bound, share] : acc::density(this->bins)) {
      digest.bins[position++] =
          static_cast<uint64_t>(std::llround(share * samples));
    }
    // Remove the sentinels: the lower bound is in the first inner bin, the
    // upper bound in the bin above the last inner one.
    --digest.bins[1];
    --digest.bins[LatencyDigest::kBins - 1];
    return digest;
  }

  DurationAccumulator durations;
  BinAccumulator bins;
};

struct Window {
  std::array<ClassWindow, static_cast<size_t>(TrafficClass::kCount)> classes;
  bool is_empty = true;
};

}  // namespace

void LatencyDigest::Merge(const LatencyDigest& other) {
  for (size_t i = 0; i < kBins; ++i) {
    this->bins[i] += other.bins[i];
  }
  this->count += other.count;
  this->sum += other.sum;
  this->longest = std::max(this->longest, other.longest);
}

Duration LatencyDigest::Quantile(double ratio) const {
  const double target = ratio * static_cast<double>(this->count);
  const double first = LogOf(kLowerBound);
  const double width = (LogOf(kUpperBound) - first) / kInnerBins;
  double below = 0;
  for (size_t i = 0; i + 1 < kBins; ++i) {
    const auto inside = static_cast<double>(this->bins[i]);
    if (inside > 0 && below + inside >= target) {
      const double part = (target - below) / inside;
      const double position = static_cast<double>(i) - 1 + part;
      return std::min(FromLog(first + position * width), this->longest);
    }
    below += inside;
  }
  return this->longest;  // The last bin has no upper bound.
}

struct LatencyRecorder::State {
  std::array<Window, 2> windows;
  Window* filling = &this->windows[0];  ///< Worker's thread only.
  TimePoint due{};                      ///< Worker's thread only.
  std::atomic<Window*> handed_over{nullptr};
  std::atomic<Window*> returned{&this->windows[1]};
};

LatencyRecorder::LatencyRecorder() : state(std::make_unique<State>()) {}
LatencyRecorder::~LatencyRecorder() = default;

void LatencyRecorder::Record(TrafficClass traffic_class, Duration duration) {
  Window& window = *this->state->filling;
  window.classes[static_cast<size_t>(traffic_class)].Record(duration);
  window.is_empty = false;
}

void LatencyRecorder::HandOver(TimePoint now) {
  State& own = *this->state;
  if (now < own.due || own.filling->is_empty) {
    return;
  }
  Window* const spare =
      own.returned.exchange(nullptr, std::memory_order_acquire);
  if (spare == nullptr) {
    return;
  }
  own.handed_over.store(std::exchange(own.filling, spare),
                        std::memory_order_release);
  own.due = now + kWindow;
}

void LatencyRecorder::Collect(LatencyDigests& digests) {
  State& own = *this->state;
  Window* const window =
      own.handed_over.exchange(nullptr, std::memory_order_acquire);
  if (window == nullptr) {
    return;
  }
  for (size_t i = 0; i < digests.size(); ++i) {
    if (window->classes[i].count() > 0) {
      digests[i].Merge(window->classes[i].Digest());
      window->classes[i] = ClassWindow();
    }
  }
  window->is_empty = true;
  own.returned.store(window, std::memory_order_release);
}

}  // namespace basilsill
