#ifndef BASILSILL_DECISION_UPSTREAM_CHOICE_H_
#define BASILSILL_DECISION_UPSTREAM_CHOICE_H_

#include <limits>

#include "dispatch_tables.h"

/// Which upstream of a shard gets the next request.

namespace basilsill {

/// Good answers until a new or returned upstream has its full share.
inline constexpr uint16_t kRampAnswers = 8;

/// @returns true if the upstream takes work at all, now or after a pause.
bool TakesWork(TimePoint now, const UpstreamSlots& upstream);

/// @returns true if it takes work and is not paused.
bool AcceptsNow(TimePoint now, const UpstreamSlots& upstream);

/// @returns true if the upstream may get a request now, as far as it is cold or
/// could be, or names a rate limit.
bool HasQuota(TimePoint now, const ShardState& shard, uint32_t place);

/// @returns true if a question for its load costs the upstream no request that
/// it could take.
bool MayQueryLoad(TimePoint now, const ShardState& shard, uint32_t place);

/// @returns the slots of `upstream` that may be occupied now, leaving grades
/// aside.
uint16_t OpenSlots(TimePoint now, const UpstreamSlots& upstream);

/// Counts the slots of upstreams that take work in full.
void RecountSlots(TimePoint now, ShardState& shard);

/// An upstream is back after it was leaving or gone: it starts slowly.
void MarkReturned(TimePoint now, UpstreamSlots& upstream, bool ramp);

/// What the momentary speed of upstreams means for the choice.
enum class SpeedRule : uint8_t {
  kIgnore,    ///< It is not told.
  kFastOnly,  ///< Only those that were fast a moment ago.
  kPrefer,    ///< Slow ones too, after all others.
  kCount
};

/// What the choice has to look at.
struct ChoiceOptions {
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  uint32_t avoid = kNoRow;  ///< Only taken if there is no other.
  bool limit_bulk = true;   ///< Bulk may not fill an upstream.
  SpeedRule speed = SpeedRule::kIgnore;
  /// An upstream that is known to be slower than this many times its usual
  /// speed can't answer in time.
  double slowness_limit = std::numeric_limits<double>::infinity();
  bool ahead = false;  ///< One more than its slots may be sent.
};

/// @returns the position of the upstream for the next request, or kNoRow if
/// no slot is free. The least busy goes first, then doubtful, ramping and slow
/// ones; a failing one only gets a trickle.
uint32_t PickUpstream(TimePoint now,
                      ShardState& shard,
                      const ChoiceOptions& options);

/// @returns true if some upstream that takes work is not known to be slower
/// than `limit`; it may have no slot free now.
bool HasUpstreamWithin(TimePoint now, const ShardState& shard, double limit);

/// @returns true if the choice could fall on the upstream but for its speed.
bool IsCandidate(TimePoint now,
                 const ShardState& shard,
                 uint32_t place,
                 const ChoiceOptions& options);

/// @returns the upstream that will soonest run nothing, for a request that
/// has to run alone; kNoRow if none takes work.
uint32_t PickForIsolation(TimePoint now, const ShardState& shard);

/// @returns the name of an endpoint on every VM.
UpstreamKey KeyOf(const Endpoint& endpoint);

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UPSTREAM_CHOICE_H_
