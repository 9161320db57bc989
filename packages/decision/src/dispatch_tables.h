#ifndef BASILSILL_DECISION_DISPATCH_TABLES_H_
#define BASILSILL_DECISION_DISPATCH_TABLES_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/ratio_budget.h"
#include "cold_quota.h"
#include "indexed_heap.h"
#include "latency_stats.h"
#include "rate_limit_quota.h"
#include "upstream_health.h"
#include "upstream_speed.h"

/// Rows of the dispatcher's tables. Requests, attempts and lanes live in
/// tables of fixed capacity and are chained by index; shards and their
/// upstreams come with the first request for a shard.

namespace basilsill {

inline constexpr uint32_t kNoRow = UINT32_MAX;
inline constexpr size_t kClasses = static_cast<size_t>(TrafficClass::kCount);

/// Rings order what waits in a shard: each is fair among teams, and an earlier
/// ring goes before a later one, within the caps of its classes.
enum class RingKind : uint8_t { kInteractive, kBulk, kBackground, kCount };
inline constexpr size_t kRings = static_cast<size_t>(RingKind::kCount);

/// First and last row of a chain of requests.
struct Chain {
  uint32_t first = kNoRow;
  uint32_t last = kNoRow;
};

enum class RequestState : uint8_t {
  kWaiting,   ///< In a lane.
  kIsolated,  ///< Waits to run alone: it may have killed an upstream.
  kRunning,
  kCount
};

struct RequestRow {
  static constexpr ShortMillis kNotHeld = ShortMillis::max();
  static constexpr size_t kMaxRunning = 2;  ///< One attempt and one hedge.

  DispatchRequest spec;
  uint32_t previous = kNoRow;
  uint32_t next = kNoRow;
  uint32_t shard = kNoRow;
  uint32_t lane = kNoRow;
  uint32_t avoid = kNoRow;  ///< Upstream whose attempt failed last.
  uint32_t timer = kNotInHeap;
  RequestState state = RequestState::kWaiting;
  TrafficClass queue = TrafficClass::kOrdinary;  ///< Where it waits.
  uint8_t starts = 0;
  uint8_t sends = 0;  ///< Of those, that reached or may reach an upstream.
  // Bits: there are thousands of rows, and this fills one octet.
  bool maybe_ran : 1 = false;  ///< Then no refusal may promise `not-run`.
  bool answer_started : 1 = false;
  bool held_for_rate : 1 = false;   ///< It waits where rate limits bind all.
  bool idle_queried = false;        ///< Idle upstreams were asked for its sake.
  Retry next_retry = Retry::kNone;  ///< Reason of the attempt to come.
  TimePoint offered;
  TimePoint hedge_at = kNever;
  /// After `offered`, when slots were free for the first time but none fast.
  ShortMillis held_after = kNotHeld;
  std::array<AttemptHandle, kMaxRunning> running;
};

struct AttemptRow {
  DispatchHandle request;
  uint32_t shard = kNoRow;
  uint32_t upstream = kNoRow;  ///< Position in the shard.
  uint32_t previous = kNoRow;  ///< Others that run at the same upstream.
  uint32_t next = kNoRow;
  TimePoint start;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  bool hedge = false;
  bool ahead = false;           ///< Sent before a slot was free, to wait there.
  bool typical = false;         ///< Its time counts among its siblings'.
  bool crash_reported = false;  ///< Its upstream's death is on record.
};

/// An upstream as its shard's dispatcher sees it.
struct UpstreamSlots {
  UpstreamHandle handle;
  UpstreamKey key = 0;
  uint16_t slots = 0;
  uint16_t busy = 0;
  uint16_t bulk = 0;          ///< Of those, with bulk requests.
  bool present = false;       ///< In the view.
  bool superseded = false;    ///< It has started again: what it ran has died.
  bool leaving = false;       ///< As the view says.
  bool cold = false;          ///< As the view says.
  bool drained = false;       ///< As the view says.
  bool isolated = false;      ///< Runs, or is emptied for, a suspect request.
  bool recovering = false;    ///< Marked, but its last answer was good.
  uint8_t failures = 0;       ///< In a row, for the length of the next pause.
  uint16_t ramp_left = 0;     ///< Good answers until it gets its full share.
  uint32_t running = kNoRow;  ///< First attempt that runs there.
  TimePoint paused_until{};
  TimePoint draining_until{};  ///< By a sign of its own.
  TimePoint no_ahead_until{};  ///< It shed what was sent ahead.
  TimePoint next_trickle{};
  Duration trickle_pause{0};
  double error_share = 0;  ///< Recent share of errors.
  UpstreamHealth health;
};

/// A lane's part in one ring.
struct LaneShare {
  uint32_t place = kNotInHeap;
  double finish_tag = 0;  ///< In slot time over weight.
  Duration slot_time{0};  ///< Mean time that its requests hold a slot.
};

/// What one team has at one shard.
struct LaneRow {
  uint32_t shard = kNoRow;  ///< Its serial number.
  TeamHandle team;
  uint32_t weight = 1;
  uint32_t queued = 0;
  uint32_t requests = 0;      ///< Waiting and running; 0 lets it be recycled.
  uint32_t chained = kNoRow;  ///< Next lane in the same hash bucket.
  uint32_t idle_previous = kNoRow;
  uint32_t idle_next = kNoRow;
  std::array<Chain, kClasses> waiting;
  std::array<LaneShare, kRings> shares;
  bool budgets_open = false;
  RatioBudget retry_budget;
  RatioBudget hedge_budget;
};

/// Order of lanes in a ring: least start tag, then longest at the head.
struct RingKey {
  double tag = 0;
  uint64_t sequence = 0;

  friend bool operator<(const RingKey& a, const RingKey& b) {
    return a.tag != b.tag ? a.tag < b.tag : a.sequence < b.sequence;
  }
};

struct Ring {
  IndexedHeap<RingKey> lanes;  ///< Those that have something waiting.
  double virtual_time = 0;
  uint64_t weights = 0;  ///< Sum over `lanes`.
  uint32_t queued = 0;
  Duration slot_time{0};     ///< Mean time that a request holds its slot.
  uint32_t passed_over = 0;  ///< Starts of other rings while this one waited.
};

/// An upstream of a shard that names a rate limit. Few do.
struct RateLimitedUpstream {
  uint32_t place = kNoRow;  ///< Among the shard's upstreams.
  RateLimitQuota quota;
  bool named_since_update =
      false;                   ///< It named its limit since others were told.
  TimePoint last_update_at{};  ///< When others were told.
  std::optional<double> last_update_limit;
};

struct ShardState {
  ShardKey key = 0;
  uint32_t serial = 0;  ///< Names it to lanes, also after its row is reused.
  bool in_use = false;
  std::vector<UpstreamSlots> upstreams;
  /// Of `upstreams`, in their order; empty where they can't be asked.
  std::vector<ReportedSpeed> speeds;
  /// Of `upstreams`, in their order; empty where cold ones are not bounded.
  std::vector<ColdQuota> cold_quotas;
  std::vector<RateLimitedUpstream> rate_limited;
  /// Since when this VM has been its first owner, with nobody that may be cut
  /// off before it; kNever: it is not.
  TimePoint first_since = kNever;
  std::array<Ring, kRings> rings;
  std::array<LatencyStats, kClasses> stats;
  Chain suspects;
  uint32_t suspects_queued = 0;
  uint32_t isolating = kNoRow;  ///< Upstream that runs suspects alone.
  uint32_t queued = 0;
  uint32_t busy = 0;
  std::array<uint32_t, kClasses> running{};
  /// Whether its upstreams say how slow they are; they are thought to until
  /// one of them says nothing of it.
  bool reports_speed = true;
  /// How long requests are held until an upstream is fast again; before any
  /// was, about what a spell of slowness has left when it is met.
  Duration hold_time = std::chrono::milliseconds(50);
  bool can_be_asked = false;  ///< The service has a health check.
  /// When asked, its upstreams also say whether they are cold.
  bool reports_cold = false;
  bool any_superseded = false;  ///< Of `upstreams`, with work to be ended.
  /// Rate limits alone say how much its upstreams do, as of the scan.
  bool rate_bound = false;
  uint32_t siblings = 1;  ///< Shards of the service, this one included.
  std::unique_ptr<RepeatBudget> repeats;  ///< If the fleet has a bound.
  uint32_t open_slots = 0;  ///< Of upstreams that take work, as of the scan.
  uint32_t starts_since_trickle = 0;
  uint32_t first_pick = 0;      ///< Where the next search for a slot begins.
  double error_rate = 0;        ///< Of siblings, when an error came last.
  double interactive_load = 0;  ///< Slots that urgent and ordinary take.
  uint32_t active_place = kNoRow;
  uint32_t last_lane = kNoRow;
  TrafficClass last_class = TrafficClass::kCount;
  TimePoint mixed_until{};  ///< Teams or classes shared the shard of late.
  TimePoint load_at{};
  TimePoint next_scan{};
  TimePoint last_scan{};
  TimePoint last_used{};
};

/// @returns the ring in which requests of `queue` wait.
constexpr RingKind RingOf(TrafficClass queue) {
  switch (queue) {
    case TrafficClass::kBulk:
      return RingKind::kBulk;
    case TrafficClass::kBackground:
      return RingKind::kBackground;
    default:
      return RingKind::kInteractive;
  }
}

}  // namespace basilsill

#endif  // BASILSILL_DECISION_DISPATCH_TABLES_H_
