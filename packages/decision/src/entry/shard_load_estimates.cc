#include "shard_load_estimates.h"

#include <algorithm>
#include <cmath>

namespace basilsill {
namespace {

// A reported queue is assumed to decay within several service times.
constexpr Duration kMinDecayTime = std::chrono::milliseconds(20);
constexpr int kDecayServiceTimes = 8;

// Time constant of the moving average of a shard's wait.
constexpr Duration kAverageTime = std::chrono::seconds(1);

// A shard that reported no usable upstreams is tried again after this time.
constexpr Duration kUnusableTime = std::chrono::milliseconds(200);

constexpr Duration kForgetAfter = std::chrono::seconds(60);
constexpr Duration kSweepPeriod = std::chrono::seconds(10);

double DecayFactor(Duration age, Duration time_constant) {
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(time_constant));
}

// @returns the interpolation between `from` (`part` 0) and `to` (`part` 1).
Duration Between(Duration from, Duration to, double part) {
  return from + Duration(static_cast<int64_t>(
                    static_cast<double>((to - from).count()) * part));
}

Duration DecayTimeOf(const ShardSummary& summary) {
  return std::max(kMinDecayTime, summary.service_time * kDecayServiceTimes);
}

}  // namespace

void ShardLoadEstimates::OnSummary(TimePoint now, const ShardSummary& summary) {
  Estimate& estimate = this->estimates[summary.shard];
  const double decay_factor = DecayFactor(now - estimate.at, kAverageTime);
  estimate.usual_wait =
      Between(summary.wait, estimate.usual_wait, decay_factor);
  estimate.usual_bulk_wait =
      Between(summary.bulk_wait, estimate.usual_bulk_wait, decay_factor);
  estimate.summary = summary;
  estimate.at = now;
  estimate.known = true;
  estimate.sent = 0;
}

void ShardLoadEstimates::OnSent(TimePoint now,
                                ShardKey shard,
                                const ShardSummary& guess) {
  Estimate& estimate = this->estimates[shard];
  if (!estimate.known) {
    estimate.summary = guess;
    estimate.at = now;
  }
  estimate.sent = SentBy(now, estimate) + 1;
  estimate.sent_at = now;
}

Duration ShardLoadEstimates::WaitAt(TimePoint now,
                                    ShardKey shard,
                                    TrafficClass traffic_class,
                                    uint32_t peers) const {
  const auto found = this->estimates.find(shard);
  if (found == this->estimates.end()) {
    return Duration(0);
  }
  const Estimate& estimate = found->second;
  const ShardSummary& summary = estimate.summary;
  const bool bulk = traffic_class == TrafficClass::kBulk;
  const Duration age = now - estimate.at;
  const Duration usual = Between(
      Duration(0), bulk ? estimate.usual_bulk_wait : estimate.usual_wait,
      DecayFactor(age, kAverageTime));
  const Duration reported = bulk ? summary.bulk_wait : summary.wait;
  const double free = std::max(0, summary.slots - summary.busy);
  const double since = std::max(0.0, SentBy(now, estimate) * peers - free);
  const Duration queued = Between(Duration(0), summary.service_time,
                                  since / std::max<int>(1, summary.slots));
  return Between(usual, reported, DecayFactor(age, DecayTimeOf(summary))) +
         queued;
}

Duration ShardLoadEstimates::ServiceTimeAt(ShardKey shard) const {
  const auto found = this->estimates.find(shard);
  return found == this->estimates.end() ? Duration(0)
                                        : found->second.summary.service_time;
}

bool ShardLoadEstimates::IsUsable(TimePoint now, ShardKey shard) const {
  const auto found = this->estimates.find(shard);
  return found == this->estimates.end() || !found->second.known ||
         found->second.summary.slots > 0 ||
         now - found->second.at > kUnusableTime;
}

double ShardLoadEstimates::SentBy(TimePoint now, const Estimate& estimate) {
  return estimate.sent *
         DecayFactor(now - estimate.sent_at, DecayTimeOf(estimate.summary));
}

void ShardLoadEstimates::Tick(TimePoint now) {
  if (now < this->next_sweep) {
    return;
  }
  this->next_sweep = now + kSweepPeriod;
  boost::unordered::erase_if(this->estimates, [now](const auto& entry) {
    return now - entry.second.at > kForgetAfter;
  });
}

}  // namespace basilsill
