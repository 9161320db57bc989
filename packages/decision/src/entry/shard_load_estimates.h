#ifndef BASILSILL_DECISION_SHARD_LOAD_ESTIMATES_H_
#define BASILSILL_DECISION_SHARD_LOAD_ESTIMATES_H_

#include <cstdint>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "basilsill/decision/dispatch.h"

/// An entry worker's estimates of the load of shards. They combine the
/// summaries that came with answers, which decay with age, and the requests
/// that the worker has sent since.

namespace basilsill {

class ShardLoadEstimates {
 public:
  void OnSummary(TimePoint now, const ShardSummary& summary);

  /// Counts a request that this worker sent to the shard.
  /// @param guess Assumed summary, used if none has come from the shard yet.
  void OnSent(TimePoint now, ShardKey shard, const ShardSummary& guess);

  /// @returns the estimated wait of a new request of `traffic_class` there; 0
  /// for an unknown shard.
  /// @param peers Number of entry VMs that choose this shard for the same
  /// reasons, including this one. Each is assumed to have sent as many requests
  /// as this one.
  Duration WaitAt(TimePoint now,
                  ShardKey shard,
                  TrafficClass traffic_class,
                  uint32_t peers) const;

  /// @returns the typical time of a request at its upstreams, 0 if unknown.
  Duration ServiceTimeAt(ShardKey shard) const;

  /// @returns false if the shard reported a moment ago that none of its
  /// upstreams accepts work.
  bool IsUsable(TimePoint now, ShardKey shard) const;

  /// Removes estimates of shards that have sent no summary for long.
  void Tick(TimePoint now);

 private:
  struct Estimate {
    ShardSummary summary;
    TimePoint at{};
    bool known = false;  ///< A summary was received, not only a guess.
    double sent = 0;     ///< Requests sent since `at`; decays with time.
    TimePoint sent_at{};
    Duration usual_wait{0};  ///< Moving average over time.
    Duration usual_bulk_wait{0};
  };

  static double SentBy(TimePoint now, const Estimate& estimate);

  boost::unordered_flat_map<ShardKey, Estimate> estimates;
  TimePoint next_sweep{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SHARD_LOAD_ESTIMATES_H_
