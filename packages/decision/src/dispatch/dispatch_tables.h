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
#include "shed_monitor.h"
#include "upstream_health.h"
#include "upstream_speed.h"

/// Rows of the dispatcher's tables. Requests, attempts and lanes are stored in
/// tables of fixed capacity and linked by index. The state of a shard and of
/// its upstreams is created with the first request for the shard.

namespace basilsill {

inline constexpr uint32_t kNoRow = UINT32_MAX;
inline constexpr size_t kClasses = static_cast<size_t>(TrafficClass::kCount);

/// Priority levels of the requests queued in a shard. Each ring is a fair queue
/// among teams. Earlier rings are served first, within the caps of the traffic
/// classes.
enum class RingKind : uint8_t { kInteractive, kBulk, kBackground, kCount };
inline constexpr size_t kRings = static_cast<size_t>(RingKind::kCount);

/// First and last row of a linked list of requests.
struct Chain {
  uint32_t first = kNoRow;
  uint32_t last = kNoRow;
};

enum class RequestState : uint8_t {
  kWaiting,   ///< Queued in a lane.
  kIsolated,  ///< Waits to run alone: it may have crashed an upstream.
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
  uint32_t avoid = kNoRow;  ///< Upstream at which the last attempt failed.
  uint32_t timer = kNotInHeap;
  RequestState state = RequestState::kWaiting;
  TrafficClass queue = TrafficClass::kOrdinary;  ///< Queueing class.
  uint8_t starts = 0;
  uint8_t sends = 0;  ///< Starts that may have reached an upstream.
  // Bit fields, as there are thousands of rows; these share one byte.
  bool maybe_ran : 1 = false;  ///< If so, no refusal may promise `not-run`.
  bool answer_started : 1 = false;
  bool is_withdrawn : 1 = false;    ///< Gets no further attempt.
  bool held_for_rate : 1 = false;   ///< Counted in DispatchCounters.
  bool idle_queried = false;        ///< Idle upstreams were queried for it.
  Retry next_retry = Retry::kNone;  ///< Reason for the next attempt.
  TimePoint offered;
  TimePoint hedge_at = kNever;
  /// Time from `offered` until the request was first held for a fast upstream.
  ShortMillis held_after = kNotHeld;
  std::array<AttemptHandle, kMaxRunning> running;
};

struct AttemptRow {
  DispatchHandle request;
  uint32_t shard = kNoRow;
  uint32_t upstream = kNoRow;  ///< Position in the shard.
  uint32_t previous = kNoRow;  ///< Links the attempts at the same upstream.
  uint32_t next = kNoRow;
  TimePoint start;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  bool hedge = false;
  bool ahead = false;    ///< Sent beyond the slots, to wait at the upstream.
  bool typical = false;  ///< Its duration counts in the shard's statistics.
  bool crash_reported = false;  ///< Its upstream's crash was reported.
};

/// State of an upstream at the dispatcher of its shard.
struct UpstreamSlots {
  UpstreamHandle handle;
  UpstreamKey key = 0;
  uint16_t slots = 0;
  uint16_t busy = 0;
  uint16_t bulk = 0;        ///< Busy slots that hold bulk requests.
  bool present = false;     ///< Part of the current view.
  bool superseded = false;  ///< It has restarted: its attempts are lost.
  bool leaving = false;     ///< According to the view.
  bool cold = false;        ///< According to the view.
  bool drained = false;     ///< According to the view.
  bool isolated = false;    ///< Reserved for a suspect request.
  // Bit fields, as there are thousands of rows; these share one byte.
  bool recovering : 1 = false;   ///< Slow or failing; its last answer was good.
  bool unreachable : 1 = false;  ///< The last connection could not be opened.
  uint8_t failures = 0;    ///< Consecutive failures; they set the next pause.
  uint16_t ramp_left = 0;  ///< Good answers left until it gets its full share.
  uint32_t running = kNoRow;  ///< First of its running attempts.
  ShortMillis trickle_pause{0};
  TimePoint paused_until{};
  TimePoint leaving_until{};  ///< From UpstreamNotices.
  /// From UpstreamNotices; zero once its end is recorded as an event.
  TimePoint rest_until{};
  TimePoint no_ahead_until{};  ///< Set when it sheds a request sent ahead.
  TimePoint next_trickle{};
  double error_share = 0;  ///< Recent share of errors.
  UpstreamHealth health;
};

/// State of a lane in one ring.
struct LaneShare {
  uint32_t place = kNotInHeap;
  double finish_tag = 0;  ///< Virtual time: slot time divided by weight.
  Duration slot_time{0};  ///< Mean time that its requests hold a slot.
};

/// The requests of one team at one shard.
struct LaneRow {
  uint32_t shard = kNoRow;  ///< ShardState::serial.
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

/// Order of lanes in a ring: lowest start tag first, then the lane that reached
/// the head earliest.
struct RingKey {
  double tag = 0;
  uint64_t sequence = 0;

  friend bool operator<(const RingKey& a, const RingKey& b) {
    return a.tag != b.tag ? a.tag < b.tag : a.sequence < b.sequence;
  }
};

struct Ring {
  IndexedHeap<RingKey> lanes;  ///< Lanes with queued requests.
  double virtual_time = 0;
  uint64_t weights = 0;  ///< Sum of the weights of `lanes`.
  uint32_t queued = 0;
  Duration slot_time{0};     ///< Mean time that a request holds its slot.
  uint32_t passed_over = 0;  ///< Starts of other rings while this one waited.
};

/// An upstream with a known rate limit. Few upstreams have one.
struct RateLimitedUpstream {
  uint32_t place = kNoRow;  ///< Position in ShardState::upstreams.
  RateLimitQuota quota;
  bool named_since_update = false;  ///< Reported since the last update.
  TimePoint last_update_at{};       ///< When other VMs were last informed.
  std::optional<double> last_update_limit;
};

struct ShardState {
  ShardKey key = 0;
  uint32_t serial = 0;  ///< Identifies the shard to lanes, as rows are reused.
  bool in_use = false;
  std::vector<UpstreamSlots> upstreams;
  /// Parallel to `upstreams`; empty if they take no load queries.
  std::vector<ReportedSpeed> speeds;
  /// Parallel to `upstreams`; empty if the service has no limit on cold ones.
  std::vector<ColdQuota> cold_quotas;
  std::vector<RateLimitedUpstream> rate_limited;
  /// Time since which this VM has been the uncontested first owner of the
  /// shard; kNever if it is not.
  TimePoint first_since = kNever;
  std::array<Ring, kRings> rings;
  std::array<LatencyStats, kClasses> stats;
  Chain suspects;
  uint32_t suspects_queued = 0;
  uint32_t isolating = kNoRow;  ///< Upstream reserved for suspects.
  uint32_t queued = 0;
  uint32_t busy = 0;
  std::array<uint32_t, kClasses> running{};
  /// Upstreams report their slowness. Assumed until a report comes without it.
  bool reports_speed = true;
  /// Mean time that requests are held until an upstream is fast again. The
  /// initial value is about the remaining length of a slow period in progress.
  Duration hold_time = std::chrono::milliseconds(50);
  bool can_be_queried = false;  ///< The service has a health check path.
  /// Answers to load queries tell whether the upstream is cold.
  bool reports_cold = false;
  bool any_superseded = false;  ///< Some upstream is superseded and busy.
  /// Rate limits bound all its upstreams, as of the last RecountSlots.
  bool rate_bound = false;
  uint32_t siblings = 1;  ///< Number of shards of the service, with this one.
  std::unique_ptr<RepeatBudget> repeats;  ///< Set if the fleet has a limit.
  /// Set from the first shed on, active while upstreams shed. It has a row for
  /// each of `upstreams`.
  std::unique_ptr<ShedMonitor> sheds;
  ShedCase logged_shed_case = ShedCase::kNone;
  TimePoint shed_case_logged_at{};
  uint32_t open_slots = 0;  ///< Of upstreams with full share.
  uint32_t starts_since_trickle = 0;
  uint32_t first_pick = 0;  ///< Start of the next search for a slot.
  double error_rate = 0;    ///< Error share of the siblings at the last error.
  double interactive_load = 0;  ///< Mean slots for urgent and ordinary.
  uint32_t active_place = kNoRow;
  uint32_t last_lane = kNoRow;
  TrafficClass last_class = TrafficClass::kCount;
  /// The shard counts as used by several teams or classes until then.
  TimePoint mixed_until{};
  TimePoint load_at{};
  TimePoint next_scan{};
  TimePoint last_scan{};
  TimePoint last_used{};

  ShedCase shed_case() const {
    return this->sheds ? this->sheds->current() : ShedCase::kNone;
  }
  /// @returns true if more than half of its upstreams shed.
  bool AllShed() const {
    return this->shed_case() == ShedCase::kWithRoom ||
           this->shed_case() == ShedCase::kOverload;
  }
};

/// @returns the ring in which requests of class `queue` wait.
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
