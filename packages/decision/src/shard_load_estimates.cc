#include "shard_load_estimates.h"

#include <algorithm>
#include <cmath>

namespace basilsill {
namespace {

// A queue is thought to melt away within some service times.
constexpr Duration kMinAgeing = std::chrono::milliseconds(20);
constexpr int kAgeingServiceTimes = 8;

// What a shard's wait usually is, is averaged over this time.
constexpr Duration kAverageTime = std::chrono::seconds(1);

// A shard without upstreams is asked again after so long.
constexpr Duration kUnusableTime = std::chrono::milliseconds(200);

constexpr Duration kForgetAfter = std::chrono::seconds(60);
constexpr Duration kSweepPeriod = std::chrono::seconds(10);

double ShareKept(Duration age, Duration time_constant) {
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(time_constant));
}

// @returns `part` of the way from `from` to `to`.
Duration Between(Duration from, Duration to, double part) {
  return from + Duration(static_cast<int64_t>(
                    static_cast<double>((to - from).count()) * part));
}

Duration AgeingOf(const ShardSummary& summary) {
  return std::max(kMinAgeing, summary.service_time * kAgeingServiceTimes);
}

}  // namespace

void ShardLoadEstimates::OnSummary(TimePoint now, const ShardSummary& summary) {
  Belief& belief = this->beliefs[summary.shard];
  const double kept = ShareKept(now - belief.at, kAverageTime);
  belief.usual_wait = Between(summary.wait, belief.usual_wait, kept);
  belief.usual_bulk_wait =
      Between(summary.bulk_wait, belief.usual_bulk_wait, kept);
  belief.summary = summary;
  belief.at = now;
  belief.known = true;
  belief.sent = 0;
}

void ShardLoadEstimates::OnSent(TimePoint now,
                                ShardKey shard,
                                const ShardSummary& guess) {
  Belief& belief = this->beliefs[shard];
  if (!belief.known) {
    belief.summary = guess;
    belief.at = now;
  }
  belief.sent = SentBy(now, belief) + 1;
  belief.sent_at = now;
}

Duration ShardLoadEstimates::WaitAt(TimePoint now,
                                    ShardKey shard,
                                    TrafficClass traffic_class,
                                    uint32_t peers) const {
  const auto found = this->beliefs.find(shard);
  if (found == this->beliefs.end()) {
    return Duration(0);
  }
  const Belief& belief = found->second;
  const ShardSummary& summary = belief.summary;
  const bool bulk = traffic_class == TrafficClass::kBulk;
  const Duration age = now - belief.at;
  const Duration usual =
      Between(Duration(0), bulk ? belief.usual_bulk_wait : belief.usual_wait,
              ShareKept(age, kAverageTime));
  const Duration told = bulk ? summary.bulk_wait : summary.wait;
  const double free = std::max(0, summary.slots - summary.busy);
  const double since = std::max(0.0, SentBy(now, belief) * peers - free);
  const Duration queued = Between(Duration(0), summary.service_time,
                                  since / std::max<int>(1, summary.slots));
  return Between(usual, told, ShareKept(age, AgeingOf(summary))) + queued;
}

Duration ShardLoadEstimates::ServiceTimeAt(ShardKey shard) const {
  const auto found = this->beliefs.find(shard);
  return found == this->beliefs.end() ? Duration(0)
                                      : found->second.summary.service_time;
}

bool ShardLoadEstimates::IsUsable(TimePoint now, ShardKey shard) const {
  const auto found = this->beliefs.find(shard);
  return found == this->beliefs.end() || !found->second.known ||
         found->second.summary.slots > 0 ||
         now - found->second.at > kUnusableTime;
}

double ShardLoadEstimates::SentBy(TimePoint now, const Belief& belief) {
  return belief.sent *
         ShareKept(now - belief.sent_at, AgeingOf(belief.summary));
}

void ShardLoadEstimates::Tick(TimePoint now) {
  if (now < this->next_sweep) {
    return;
  }
  this->next_sweep = now + kSweepPeriod;
  boost::unordered::erase_if(this->beliefs, [now](const auto& entry) {
    return now - entry.second.at > kForgetAfter;
  });
}

}  // namespace basilsill
