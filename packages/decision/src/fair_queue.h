#ifndef BASILSILL_DECISION_FAIR_QUEUE_H_
#define BASILSILL_DECISION_FAIR_QUEUE_H_

#include <cstdint>
#include <vector>

#include "dispatch_tables.h"

/// The waiting requests of all shards: start-time fair queueing among the
/// teams of a shard, in slot time. A team that comes out of idleness goes to
/// the front, and one that used idle slots before is not punished for it.

namespace basilsill {

using RequestTable = HandleTable<RequestRow, DispatchTag>;

class FairQueue {
 public:
  /// @param requests Outlives this object.
  /// @param capacity Lanes; at least the capacity of `requests`, so that a
  /// request always finds one.
  FairQueue(RequestTable& requests, size_t capacity);

  /// @returns the lane of `team` at the shard with this serial number, a
  /// recycled one if it has none.
  uint32_t Open(uint32_t shard, TeamHandle team, uint32_t weight);

  /// A request belongs to the lane from Enter to Leave.
  void Enter(uint32_t lane);
  void Leave(uint32_t lane);

  /// Puts a request at the end of its lane's queue, or back to the front.
  void Push(ShardState& shard, uint32_t request, bool front);

  /// Takes a waiting request out of its lane.
  void Remove(ShardState& shard, uint32_t request);

  /// @returns the request whose turn it is in `ring`, kNoRow if none waits.
  uint32_t Front(const ShardState& shard, RingKind ring) const;

  /// Takes the request whose turn it is out, and charges its lane with the
  /// slot time that the lane's requests take on average.
  void Pop(ShardState& shard, RingKind ring);

  /// A request of the lane held its slot so long. What the next ones are
  /// charged follows the mean. A single long one is not charged in full when
  /// it ends: all the while it ran, others had the other slots.
  void Learn(const RequestRow& request, Duration took);

  /// @returns the newest request of the lane that has most waiting in `shard`,
  /// or kNoRow if no lane has more than `least`.
  uint32_t NewestOfLongest(const ShardState& shard, uint32_t least) const;

  /// @returns the newest request of `lane` in the last ring after `ring`, or
  /// kNoRow if nothing waits there.
  uint32_t NewestAfter(uint32_t lane, RingKind ring) const;

  /// @returns requests that go before a new one of `lane` in `ring`, at most.
  uint32_t CountAhead(const ShardState& shard,
                      uint32_t lane,
                      RingKind ring) const;

  LaneRow& lane(uint32_t row) { return this->lanes[row]; }
  const LaneRow& lane(uint32_t row) const { return this->lanes[row]; }

 private:
  RequestRow& Request(uint32_t row) const;
  uint32_t& Bucket(uint32_t shard, TeamHandle team);
  uint32_t Recycle();
  void Unhash(uint32_t row);
  void LinkIdle(uint32_t row);
  void UnlinkIdle(uint32_t row);
  uint32_t FrontOfLane(const LaneRow& lane, RingKind ring) const;
  void Unchain(ShardState& shard, uint32_t request);
  void PlaceLane(ShardState& shard, uint32_t row, RingKind ring);
  void TakeOut(ShardState& shard, uint32_t row, RingKind ring);

  RequestTable& requests;
  std::vector<LaneRow> lanes;
  std::vector<uint32_t> buckets;  ///< Heads of hash chains; a power of two.
  uint32_t unused = 0;            ///< Lanes from here on were never used.
  Chain idle;                     ///< Idle lanes, the longest idle first.
  uint64_t sequence = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_FAIR_QUEUE_H_
