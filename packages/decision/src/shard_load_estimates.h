#ifndef BASILSILL_DECISION_SHARD_LOAD_ESTIMATES_H_
#define BASILSILL_DECISION_SHARD_LOAD_ESTIMATES_H_

#include <cstdint>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "basilsill/decision/dispatch.h"

/// What an entry worker thinks of how loaded shards are: the summaries that
/// came back on answers, aged, and what it has sent there itself since.

namespace basilsill {

class ShardLoadEstimates {
 public:
  void OnSummary(TimePoint now, const ShardSummary& summary);

  /// This worker sent a request to the shard.
  /// @param guess What is thought of the shard if it has told nothing yet.
  void OnSent(TimePoint now, ShardKey shard, const ShardSummary& guess);

  /// @returns the wait that a new request of `traffic_class` would have there.
  /// A shard of which nothing is known is thought to be free.
  /// @param peers Entry VMs that have the same reasons to go there, this one
  /// included: each is taken to have sent as much as this one did.
  Duration WaitAt(TimePoint now,
                  ShardKey shard,
                  TrafficClass traffic_class,
                  uint32_t peers) const;

  /// @returns the mean time of a request at its upstreams, zero if unknown.
  Duration ServiceTimeAt(ShardKey shard) const;

  /// @returns false if the shard had no upstream that takes work just now.
  bool IsUsable(TimePoint now, ShardKey shard) const;

  /// Forgets what has had no news for long.
  void Tick(TimePoint now);

 private:
  struct Estimate {
    ShardSummary summary;
    TimePoint at{};
    bool known = false;  ///< A summary came, not only a guess.
    double sent = 0;     ///< Since then, those of late for the most part.
    TimePoint sent_at{};
    Duration usual_wait{0};  ///< Moving average, by time.
    Duration usual_bulk_wait{0};
  };

  static double SentBy(TimePoint now, const Estimate& estimate);

  boost::unordered_flat_map<ShardKey, Estimate> estimates;
  TimePoint next_sweep{};
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SHARD_LOAD_ESTIMATES_H_
