#ifndef BASILSILL_DECISION_UPSTREAM_CHOICE_H_
#define BASILSILL_DECISION_UPSTREAM_CHOICE_H_

#include <limits>

#include "dispatch_tables.h"

/// Choice of the upstream that gets the next request of a shard.

namespace basilsill {

/// Good answers until a new or returned upstream gets its full share.
inline constexpr uint16_t kRampAnswers = 8;

/// @returns the position of upstream `handle` in `shard`; kNoRow if it is not
/// there.
uint32_t PlaceOf(const ShardState& shard, UpstreamHandle handle);

/// @returns true if the upstream accepts work, now or after a pause.
bool TakesWork(TimePoint now, const UpstreamSlots& upstream);

/// @returns true if the upstream accepts work and has not asked for rest.
bool WantsWork(TimePoint now, const UpstreamSlots& upstream);

/// @returns when neither a pause nor a rest that it asked for keeps the
/// upstream from work; in the past if none does.
TimePoint FreeAt(const UpstreamSlots& upstream);

/// @returns true if the upstream accepts work, is not paused and does not rest.
bool AcceptsNow(TimePoint now, const UpstreamSlots& upstream);

/// @returns true if the upstream's rate limit and its quota for cold upstreams
/// allow a request now.
bool HasQuota(TimePoint now, const ShardState& shard, uint32_t place);

/// @returns true if a load query does not use up rate that the upstream needs
/// for requests.
bool MayQueryLoad(TimePoint now, const ShardState& shard, uint32_t place);

/// @returns the slots of `upstream` that may be occupied now, regardless of its
/// grade.
uint16_t OpenSlots(TimePoint now, const UpstreamSlots& upstream);

/// Updates the shard's number of open slots, which counts only upstreams with
/// full share, and whether rate limits bound the shard.
void RecountSlots(TimePoint now, ShardState& shard);

/// Ends the pauses of all upstreams.
void LiftPauses(TimePoint now, ShardState& shard);

/// Resets the state of an upstream that is back after it was leaving or
/// drained, apart from what it said itself. With `ramp` it starts slowly.
void MarkReturned(TimePoint now, UpstreamSlots& upstream, bool ramp);

/// Effect of the momentary speed of upstreams on the choice.
enum class SpeedRule : uint8_t {
  kIgnore,    ///< None; upstreams don't report it.
  kFastOnly,  ///< Only upstreams that were fast a moment ago.
  kPrefer,    ///< Fast upstreams first, then slow ones.
  kCount
};

/// Constraints of the choice for one request.
struct ChoiceOptions {
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  uint32_t avoid = kNoRow;  ///< Chosen only if there is no other.
  bool limit_bulk = true;   ///< Bulk may not fill all slots of an upstream.
  SpeedRule speed = SpeedRule::kIgnore;
  /// An upstream whose reported slowness is above this can't answer in time.
  double slowness_limit = std::numeric_limits<double>::infinity();
  bool ahead = false;  ///< One request beyond the slots is allowed.
};

/// @returns the position of the upstream for the next request, or kNoRow if no
/// slot is free. The least busy upstream comes first, then doubtful, ramping
/// and slow ones. A failing one gets only a trickle.
uint32_t PickUpstream(TimePoint now,
                      ShardState& shard,
                      const ChoiceOptions& options);

/// @returns true if some upstream that accepts work has not reported a slowness
/// above `limit`. It need not have a free slot.
bool HasUpstreamWithin(TimePoint now, const ShardState& shard, double limit);

/// @returns true if the upstream could be chosen, regardless of its speed.
bool IsCandidate(TimePoint now,
                 const ShardState& shard,
                 uint32_t place,
                 const ChoiceOptions& options);

/// @returns the least busy upstream, for a request that has to run alone;
/// kNoRow if none accepts work now.
uint32_t PickForIsolation(TimePoint now, const ShardState& shard);

/// @returns a key for the endpoint that is the same on all VMs.
UpstreamKey KeyOf(const Endpoint& endpoint);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UPSTREAM_CHOICE_H_
