#ifndef BASILSILL_DECISION_FAIR_QUEUE_H_
#define BASILSILL_DECISION_FAIR_QUEUE_H_

#include <cstdint>
#include <vector>

#include "dispatch_tables.h"

/// The waiting requests of all shards: start-time fair queueing among the
/// teams of a shard, where cost is the time that a request holds its slot. A
/// team that was idle goes to the front, and a team that used otherwise idle
/// slots is not charged for it later.

namespace basilsill {

using RequestTable = HandleTable<RequestRow, DispatchTag>;

class FairQueue {
 public:
  /// @param requests Must outlive this object.
  /// @param capacity Number of lanes; at least the capacity of `requests`, so
  /// that a lane is available for every request.
  FairQueue(RequestTable& requests, size_t capacity);

  /// @returns the lane of `team` at the shard with serial number `shard`.
  /// Allocates the lane if there is none; if no unused lane is left, it reuses
  /// the lane that has been idle longest.
  uint32_t Open(uint32_t shard, TeamHandle team, uint32_t weight);

  /// Count the requests of the lane, waiting and running: `Enter` adds one,
  /// `Leave` removes one. A lane without requests may be reused.
  void Enter(uint32_t lane);
  void Leave(uint32_t lane);

  /// Adds a request at the end of its lane's queue, or at the front.
  void Push(ShardState& shard, uint32_t request, bool front);

  /// Removes a waiting request from its lane.
  void Remove(ShardState& shard, uint32_t request);

  /// @returns the next request in `ring`, or kNoRow if none is waiting.
  uint32_t Front(const ShardState& shard, RingKind ring) const;

  /// Removes the next request, and charges its lane with the mean slot time of
  /// the lane's requests.
  void Pop(ShardState& shard, RingKind ring);

  /// Updates the mean slot time of a lane with a request that held its slot for
  /// `took`. Later requests are charged the mean. A single long request is not
  /// charged in full when it ends, because other lanes could use the other
  /// slots while it ran.
  void RecordSlotTime(const RequestRow& request, Duration took);

  /// @returns the newest request of the lane with the most waiting requests in
  /// `shard`, or kNoRow if no lane has more than `least`.
  uint32_t NewestOfLongest(const ShardState& shard, uint32_t least) const;

  /// @returns the newest request of `lane` in the last non-empty ring that
  /// comes after `ring`, or kNoRow if there is none.
  uint32_t NewestAfter(uint32_t lane, RingKind ring) const;

  /// @returns an upper bound on the number of requests that are served before a
  /// new one of `lane` in `ring`.
  uint32_t CountAhead(const ShardState& shard,
                      uint32_t lane,
                      RingKind ring) const;

  LaneRow& lane(uint32_t row) { return this->lanes[row]; }
  const LaneRow& lane(uint32_t row) const { return this->lanes[row]; }

 private:
  RequestRow& Request(uint32_t row) const;
  uint32_t& Bucket(uint32_t shard, TeamHandle team);
  uint32_t AllocateLane();
  void RemoveFromBucket(uint32_t row);
  void LinkIdle(uint32_t row);
  void UnlinkIdle(uint32_t row);
  uint32_t FrontOfLane(const LaneRow& lane, RingKind ring) const;
  void RemoveFromChain(ShardState& shard, uint32_t request);
  void PlaceLane(ShardState& shard, uint32_t row, RingKind ring);
  void RemoveLane(ShardState& shard, uint32_t row, RingKind ring);

  RequestTable& requests;
  std::vector<LaneRow> lanes;
  std::vector<uint32_t> buckets;  ///< Heads of hash chains; a power of two.
  uint32_t first_unused = 0;      ///< Lanes from here on were never used.
  Chain idle;                     ///< Idle lanes, the longest idle first.
  uint64_t sequence = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_FAIR_QUEUE_H_
