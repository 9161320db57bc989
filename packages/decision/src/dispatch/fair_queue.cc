#include "fair_queue.h"

#include <algorithm>
#include <bit>

namespace basilsill {
namespace {

// @returns a function that maps a lane to its position in the heap of `ring`.
auto HeapPositionsIn(std::vector<LaneRow>& lanes, RingKind ring) {
  return [&lanes, ring](uint32_t row) -> uint32_t& {
    return lanes[row].shares[static_cast<size_t>(ring)].place;
  };
}

// Odd multiplier of Fibonacci hashing.
constexpr uint64_t kHashMultiplier = 0x9E3779B97F4A7C15;

// Length, in requests, of a lane's moving average of slot times.
constexpr int kSlotTimeWeight = 16;

Ring& RingAt(ShardState& shard, RingKind ring) {
  return shard.rings[static_cast<size_t>(ring)];
}

const Ring& RingAt(const ShardState& shard, RingKind ring) {
  return shard.rings[static_cast<size_t>(ring)];
}

}  // namespace

FairQueue::FairQueue(RequestTable& requests, size_t capacity)
    : requests(requests),
      lanes(capacity),
      buckets(std::bit_ceil(2 * capacity), kNoRow) {}

RequestRow& FairQueue::Request(uint32_t row) const {
  return *this->requests.Find(this->requests.HandleAt(row));
}

uint32_t& FairQueue::Bucket(uint32_t shard, TeamHandle team) {
  const uint64_t key = uint64_t{shard} << 32 | team.index;
  const uint64_t hash = key * kHashMultiplier;
  return this->buckets[(hash >> 32) & (this->buckets.size() - 1)];
}

uint32_t FairQueue::Open(uint32_t shard, TeamHandle team, uint32_t weight) {
  uint32_t& bucket = this->Bucket(shard, team);
  for (uint32_t row = bucket; row != kNoRow; row = this->lanes[row].chained) {
    LaneRow& lane = this->lanes[row];
    if (lane.shard == shard && lane.team == team) {
      // The weight changes only while the lane is in no ring; otherwise the
      // ring's sum of weights would become wrong.
      lane.weight = lane.requests == 0 ? weight : lane.weight;
      return row;
    }
  }
  const uint32_t row = this->AllocateLane();
  LaneRow& lane = this->lanes[row];
  lane.shard = shard;
  lane.team = team;
  lane.weight = weight;
  lane.chained = bucket;
  bucket = row;
  this->LinkIdle(row);
  return row;
}

uint32_t FairQueue::AllocateLane() {
  if (this->first_unused < this->lanes.size()) {
    return this->first_unused++;
  }
  const uint32_t row = this->idle.first;
  this->UnlinkIdle(row);
  this->RemoveFromBucket(row);
  this->lanes[row] = LaneRow();
  return row;
}

void FairQueue::RemoveFromBucket(uint32_t row) {
  const LaneRow& lane = this->lanes[row];
  uint32_t* place = &this->Bucket(lane.shard, lane.team);
  while (*place != row) {
    place = &this->lanes[*place].chained;
  }
  *place = lane.chained;
}

void FairQueue::LinkIdle(uint32_t row) {
  LaneRow& lane = this->lanes[row];
  lane.idle_previous = this->idle.last;
  lane.idle_next = kNoRow;
  if (this->idle.last != kNoRow) {
    this->lanes[this->idle.last].idle_next = row;
  } else {
    this->idle.first = row;
  }
  this->idle.last = row;
}

void FairQueue::UnlinkIdle(uint32_t row) {
  const LaneRow& lane = this->lanes[row];
  if (lane.idle_previous != kNoRow) {
    this->lanes[lane.idle_previous].idle_next = lane.idle_next;
  } else {
    this->idle.first = lane.idle_next;
  }
  if (lane.idle_next != kNoRow) {
    this->lanes[lane.idle_next].idle_previous = lane.idle_previous;
  } else {
    this->idle.last = lane.idle_previous;
  }
}

void FairQueue::Enter(uint32_t row) {
  if (this->lanes[row].requests++ == 0) {
    this->UnlinkIdle(row);
  }
}

void FairQueue::Leave(uint32_t row) {
  if (--this->lanes[row].requests == 0) {
    this->LinkIdle(row);
  }
}

void FairQueue::Push(ShardState& shard, uint32_t request, bool front) {
  RequestRow& row = this->Request(request);
  LaneRow& lane = this->lanes[row.lane];
  Chain& chain = lane.waiting[static_cast<size_t>(row.queue)];
  row.state = RequestState::kWaiting;
  row.previous = front ? kNoRow : chain.last;
  row.next = front ? chain.first : kNoRow;
  uint32_t& before =
      row.previous != kNoRow ? this->Request(row.previous).next : chain.first;
  before = request;
  uint32_t& after =
      row.next != kNoRow ? this->Request(row.next).previous : chain.last;
  after = request;
  const RingKind ring = RingOf(row.queue);
  ++lane.queued;
  ++shard.queued;
  ++RingAt(shard, ring).queued;
  if (lane.shares[static_cast<size_t>(ring)].place == kNotInHeap) {
    this->PlaceLane(shard, row.lane, ring);
  }
}

void FairQueue::Remove(ShardState& shard, uint32_t request) {
  const RequestRow& row = this->Request(request);
  const RingKind ring = RingOf(row.queue);
  this->RemoveFromChain(shard, request);
  if (this->FrontOfLane(this->lanes[row.lane], ring) == kNoRow) {
    this->RemoveLane(shard, row.lane, ring);
  }
}

uint32_t FairQueue::Front(const ShardState& shard, RingKind ring) const {
  const Ring& waiting = RingAt(shard, ring);
  return waiting.lanes.empty()
             ? kNoRow
             : this->FrontOfLane(this->lanes[waiting.lanes.top().row], ring);
}

void FairQueue::Pop(ShardState& shard, RingKind ring) {
  Ring& waiting = RingAt(shard, ring);
  const uint32_t row = waiting.lanes.top().row;
  LaneRow& lane = this->lanes[row];
  LaneShare& share = lane.shares[static_cast<size_t>(ring)];
  const double start = waiting.lanes.top().key.tag;
  const uint32_t front = this->FrontOfLane(lane, ring);
  const Duration cost =
      share.slot_time > Duration(0) ? share.slot_time : waiting.slot_time;
  waiting.virtual_time = std::max(waiting.virtual_time, start);
  share.finish_tag = start + static_cast<double>(cost.count()) / lane.weight;
  this->RemoveFromChain(shard, front);
  if (this->FrontOfLane(lane, ring) == kNoRow) {
    this->RemoveLane(shard, row, ring);
  } else {
    this->PlaceLane(shard, row, ring);
  }
}

void FairQueue::RecordSlotTime(const RequestRow& request, Duration took) {
  LaneRow& lane = this->lanes[request.lane];
  Duration& slot_time =
      lane.shares[static_cast<size_t>(RingOf(request.queue))].slot_time;
  slot_time +=
      slot_time == Duration(0) ? took : (took - slot_time) / kSlotTimeWeight;
}

uint32_t FairQueue::NewestOfLongest(const ShardState& shard,
                                    uint32_t least) const {
  const LaneRow* longest = nullptr;
  for (const Ring& ring : shard.rings) {
    for (const auto& item : ring.lanes.all()) {
      const LaneRow& lane = this->lanes[item.row];
      if (lane.queued > least) {
        least = lane.queued;
        longest = &lane;
      }
    }
  }
  if (longest == nullptr) {
    return kNoRow;
  }
  for (size_t i = kClasses; i > 0; --i) {
    if (longest->waiting[i - 1].last != kNoRow) {
      return longest->waiting[i - 1].last;
    }
  }
  return kNoRow;
}

uint32_t FairQueue::NewestAfter(uint32_t row, RingKind ring) const {
  const LaneRow& lane = this->lanes[row];
  for (size_t i = kClasses; i > 0; --i) {
    const bool after = RingOf(static_cast<TrafficClass>(i - 1)) > ring;
    if (after && lane.waiting[i - 1].last != kNoRow) {
      return lane.waiting[i - 1].last;
    }
  }
  return kNoRow;
}

uint32_t FairQueue::CountAhead(const ShardState& shard,
                               uint32_t row,
                               RingKind ring) const {
  const Ring& waiting = RingAt(shard, ring);
  const LaneRow& lane = this->lanes[row];
  uint64_t weights = waiting.weights;
  if (lane.shares[static_cast<size_t>(ring)].place == kNotInHeap) {
    weights += lane.weight;
  }
  const uint64_t own = lane.queued * weights / lane.weight;
  return static_cast<uint32_t>(std::min<uint64_t>(own, waiting.queued));
}

uint32_t FairQueue::FrontOfLane(const LaneRow& lane, RingKind ring) const {
  if (ring == RingKind::kBulk) {
    return lane.waiting[static_cast<size_t>(TrafficClass::kBulk)].first;
  }
  if (ring == RingKind::kBackground) {
    return lane.waiting[static_cast<size_t>(TrafficClass::kBackground)].first;
  }
  const auto& urgent = lane.waiting[static_cast<size_t>(TrafficClass::kUrgent)];
  return urgent.first != kNoRow
             ? urgent.first
             : lane.waiting[static_cast<size_t>(TrafficClass::kOrdinary)].first;
}

void FairQueue::RemoveFromChain(ShardState& shard, uint32_t request) {
  const RequestRow& row = this->Request(request);
  LaneRow& lane = this->lanes[row.lane];
  Chain& chain = lane.waiting[static_cast<size_t>(row.queue)];
  uint32_t& before =
      row.previous != kNoRow ? this->Request(row.previous).next : chain.first;
  before = row.next;
  uint32_t& after =
      row.next != kNoRow ? this->Request(row.next).previous : chain.last;
  after = row.previous;
  --lane.queued;
  --shard.queued;
  --RingAt(shard, RingOf(row.queue)).queued;
}

void FairQueue::PlaceLane(ShardState& shard, uint32_t row, RingKind ring) {
  Ring& waiting = RingAt(shard, ring);
  LaneShare& share = this->lanes[row].shares[static_cast<size_t>(ring)];
  if (share.place == kNotInHeap) {
    waiting.weights += this->lanes[row].weight;
  }
  const RingKey key{std::max(share.finish_tag, waiting.virtual_time),
                    this->sequence++};
  waiting.lanes.Set(row, key, HeapPositionsIn(this->lanes, ring));
}

void FairQueue::RemoveLane(ShardState& shard, uint32_t row, RingKind ring) {
  Ring& waiting = RingAt(shard, ring);
  waiting.weights -= this->lanes[row].weight;
  waiting.lanes.Remove(row, HeapPositionsIn(this->lanes, ring));
}

}  // namespace basilsill
