#ifndef BASILSILL_DECISION_DISPATCH_H_
#define BASILSILL_DECISION_DISPATCH_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "basilsill/base/reason.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/quarantine.h"
#include "basilsill/decision/rate_limit.h"
#include "basilsill/decision/ratio_budget.h"
#include "basilsill/decision/repeat_budget.h"
#include "basilsill/decision/shed_case.h"
#include "basilsill/decision/upstream_notice.h"
#include "basilsill/decision/view.h"

/// The dispatcher holds, for each shard that a worker owns, the queue of
/// waiting requests and the slots (concurrent requests) of each upstream. It
/// binds a request to an upstream only when a slot is free. It does no I/O: the
/// host passes the time in and carries out the resulting actions.

namespace basilsill {

struct DispatchTag;
struct AttemptTag;
using DispatchHandle = Handle<DispatchTag>;  ///< A request at a dispatcher.
using AttemptHandle = Handle<AttemptTag>;    ///< An attempt at a request.

/// A request as the dispatcher receives it.
struct DispatchRequest {
  ShardKey shard = 0;
  TeamHandle team;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  TimePoint deadline = kNever;
  bool idempotent = false;
  bool hedge = false;
  /// The whole body is buffered. Otherwise part of it is consumed once an
  /// attempt was connected, and no further attempt may follow.
  bool replayable = true;
  Fingerprint fingerprint = 0;
  /// Longest expected wait that the entry VM accepts, from `Target`. If the
  /// wait is longer, the request is refused with kQueueFull at once, because
  /// the entry VM expects another shard to be faster.
  Duration max_wait = Duration::max();
  /// Most upstreams that the request may be sent to, including earlier sends;
  /// 0: the default of the dispatcher.
  uint8_t max_attempts = 0;
  /// Number of times that the request was sent to upstreams before it came to
  /// this dispatcher. If it is not 0, the request does not add to the repeat
  /// budget here.
  uint8_t sends = 0;
  /// Latency target: an answer after this time is worth little; 0: unknown.
  ShortMillis good_for{0};
  uint64_t cookie = 0;  ///< Identifies the request to the host.
};

enum class DispatchActionKind : uint8_t {
  kStart,      ///< Send the request to `upstream` as `attempt`.
  kRefuse,     ///< Answer with `refusal`; the request has ended.
  kCancel,     ///< Abort `attempt` at its upstream; its slot is already freed.
  kQueryLoad,  ///< Query the load of `upstream`, then call OnLoadQueryEnd.
  kCount
};

struct DispatchAction {
  DispatchActionKind kind = DispatchActionKind::kCount;
  DispatchHandle request;
  uint64_t cookie = 0;
  AttemptHandle attempt;
  UpstreamHandle upstream;
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
  uint8_t sends = 0;           ///< For kRefuse: sends to upstreams from here.
  Retry retry = Retry::kNone;  ///< Why this is not the first attempt.
  /// For kStart: the slowness that the upstream reported last, and the age of
  /// that report; the age is negative if there is none.
  double slowness = 1;
  Duration slowness_age{-1};
  /// For kStart and kQueryLoad: the upstream has a known rate limit.
  bool rate_limited = false;
};

/// How an attempt at an upstream ended.
enum class AttemptEnd : uint8_t {
  kAnswered,       ///< A complete answer arrived, with `status`.
  kShed,           ///< The upstream refused the request without running it.
  kConnectFailed,  ///< No byte of the request was sent.
  kDied,           ///< The connection broke after bytes were sent.
  kTimedOut,       ///< No answer by the deadline.
  kMalformed,      ///< The response was not valid HTTP.
  kMisdirected,    ///< Another upstream has the address; nothing ran.
  kCancelled,      ///< The caller went away, or another attempt won.
  kCount
};

/// @returns the name of `end` in logs.
std::string_view NameOf(AttemptEnd end);

/// @returns the refusal that the caller gets if `end` is the outcome of a
/// request, or kNone for kAnswered.
Refusal RefusalOf(AttemptEnd end);

/// Load that an upstream reports.
struct UpstreamLoad {
  bool known = false;
  bool reports_slowness = false;
  uint16_t running = 0;
  uint16_t waiting = 0;
  uint16_t slots = 0;
  /// Present duration of a request there, divided by its usual duration.
  double slowness = 1;
};

/// Result of a load query.
struct LoadQueryReport {
  bool answered = false;  ///< An HTTP response arrived.
  bool foreign = false;   ///< Another upstream answered at the address.
  UpstreamLoad load;      ///< Not known if the upstream reported none.
  /// Time until the upstream is warm, 0 if it is warm; absent if not reported.
  std::optional<Duration> cold_for{};
  AdvertisedRateLimit rate_limit{};
  UpstreamNotice notice{};
};

struct AttemptReport {
  AttemptEnd end = AttemptEnd::kCount;
  uint16_t status = 0;
  bool answer_started = false;  ///< Part of an answer reached the caller.
  /// Another send of the same attempt, before the one that ended so, may have
  /// run the request.
  bool may_have_run_before = false;
  UpstreamLoad load{};               ///< As reported with the answer.
  AdvertisedRateLimit rate_limit{};  ///< As reported with the answer.
  /// As reported with the answer, and passed to OnNotice when its head came.
  UpstreamNotice notice{};
};

/// Load of a shard, which the dispatcher reports to entry VMs with answers.
struct ShardSummary {
  ShardKey shard = 0;
  uint16_t slots = 0;       ///< Slots of upstreams that accept work.
  uint16_t busy = 0;        ///< Occupied slots.
  uint32_t queued = 0;      ///< Requests waiting.
  Duration service_time{};  ///< Typical time of one request at an upstream.
  Duration wait{};          ///< Expected wait of a new ordinary request.
  Duration bulk_wait{};     ///< Expected wait of a new bulk request.
};

/// Mechanisms of the dispatcher. Each can be switched off to measure its
/// effect.
struct DispatcherFeatures {
  bool fair_queue = true;      ///< Off: one FIFO queue per shard.
  bool class_caps = true;      ///< Cap the slots of bulk and background.
  bool reserve = true;         ///< Reserve slots for urgent and ordinary.
  bool early_refusal = true;   ///< Refuse requests that would end too late.
  bool straggler = true;       ///< Send less to slow upstreams.
  bool running_age = true;     ///< Running requests count as evidence.
  bool fail_fast = true;       ///< Send less to upstreams that fail.
  bool send_ahead = true;      ///< Long queue: one request beyond the slots.
  bool ramp = true;            ///< Slow start of new and returned upstreams.
  bool shed_backoff = true;    ///< Pause after a shed answer.
  bool shed_triage = true;     ///< Tell causes of sheds apart.
  bool retry = true;           ///< Retries inside the shard.
  bool hedge = true;           ///< Send a second attempt if one is slow.
  bool speed = true;           ///< Wait until upstreams are fast again.
  bool spread = true;          ///< Prefer idle upstreams to crowded ones.
  bool rate_limits = true;     ///< Respect rate limits of upstreams.
  bool slowness_limit = true;  ///< Skip upstreams too slow for the deadline.
  bool leave_slow = true;      ///< Hand back if all upstreams are slow.
  bool late_behind = true;     ///< Requests past their target go last.
  bool isolation = true;       ///< Suspects of a crash run alone.
};

struct DispatcherOptions {
  size_t max_requests = limits::kMaxRequestsPerWorker;
  size_t max_queue_per_shard = limits::kMaxQueuePerShard;
  uint64_t seed = 1;
  DispatcherFeatures features;
  RatioBudgetOptions retry_budget = kRetryBudget;
  RatioBudgetOptions hedge_budget = kHedgeBudget;
  /// Share of the dispatchers in the fleet-wide limit on repeats, if there is
  /// a limit.
  std::optional<RepeatShares> repeats;
  /// Answers to load queries tell whether the upstream is cold.
  bool cold_is_reported = false;
  /// Shared with the EntryRouter of the same worker; null: no quarantine.
  std::shared_ptr<Quarantine> quarantine;
  /// Shared with the EntryRouter of the same worker; null: one of its own.
  std::shared_ptr<UpstreamNotices> notices;
};

/// A change in the state of an upstream, for logs and operators.
enum class UpstreamEventKind : uint8_t {
  kDraining,     ///< Announced that it is leaving.
  kStraggling,   ///< Slower than its siblings; gets less.
  kFailing,      ///< More errors than its siblings; gets less.
  kRecovered,    ///< Gets its full share again.
  kBackedOff,    ///< Paused: refused a connection or shed.
  kDied,         ///< Connection broke while requests ran.
  kQuarantined,  ///< Its crash put `fingerprint` in quarantine.
  kRateLimited,  ///< Reported a new or changed rate limit.
  kRateLimitEnded,
  kResting,    ///< Asked for no requests for `rest`.
  kRestEnded,  ///< That time is over.
  kShedCase,   ///< The cause of the shard's sheds changed to `shed_case`.
  kCount
};

struct UpstreamEvent {
  UpstreamEventKind kind = UpstreamEventKind::kCount;
  ShardKey shard = 0;
  UpstreamHandle upstream;
  Fingerprint fingerprint = 0;
  double requests_per_second = 0;  ///< For kRateLimited: the limit.
  Duration rest{0};                ///< For kResting.
  ShedCase shed_case = ShedCase::kNone;
  double shed_share = 0;  ///< For kShedCase: recent share of sheds.
};

/// Totals since the start, by reason.
struct DispatchCounters {
  std::array<uint64_t, static_cast<size_t>(Refusal::kCount)> refusals{};
  std::array<uint64_t, static_cast<size_t>(Retry::kCount)> retries{};
  uint64_t offered = 0;
  uint64_t attempts = 0;
  uint64_t hedges_won = 0;
  /// Requests that waited in shards whose upstreams are all rate-limited.
  uint64_t held_for_rate = 0;
  /// Requests refused because upstreams that could take them leave or rest.
  uint64_t refused_for_notice = 0;
  /// Requests that upstreams shed, by the case of the shard at the time. None
  /// is counted while the mechanism is off.
  std::array<uint64_t, static_cast<size_t>(ShedCase::kCount)> sheds{};
};

/// Dispatch state of all shards of one worker. Used by one thread only.
class Dispatcher {
 public:
  static std::unique_ptr<Dispatcher> Create(const DispatcherOptions& options);
  virtual ~Dispatcher() = default;

  /// Adopts `view`. Upstreams that are gone or leaving get no new work;
  /// attempts in flight there continue.
  virtual void ApplyView(TimePoint now, const RoutingViewPtr& view) = 0;

  /// Queues or refuses a request. It ends with a kRefuse action or with the end
  /// of an attempt that is not retried.
  /// @returns its handle, invalid if it was refused at once.
  virtual DispatchHandle Offer(TimePoint now,
                               const DispatchRequest& request) = 0;

  /// Reports that the first byte of an answer arrived.
  virtual void OnFirstByte(TimePoint now, AttemptHandle attempt) = 0;

  /// Reports the end of an attempt. Attempts that a kCancel action ended are no
  /// longer known, and reports of them are ignored.
  /// @returns false if this end is the outcome of the request: an answer, an
  /// answer that broke after it started, or a cancellation. True if the request
  /// continues: another attempt runs, it is queued again, or a kRefuse action
  /// ends it.
  virtual bool OnAttemptEnd(TimePoint now,
                            AttemptHandle attempt,
                            const AttemptReport& report) = 0;

  /// Reports that the connection of `attempt` broke before any answer, as a
  /// stale keep-alive connection does.
  /// @returns true if the request may be sent to the same upstream once more.
  /// It then counts against the budgets.
  virtual bool MaySendAgain(TimePoint now, AttemptHandle attempt) = 0;

  /// Reports the result of a kQueryLoad action.
  virtual void OnLoadQueryEnd(TimePoint now,
                              UpstreamHandle upstream,
                              const LoadQueryReport& report) = 0;

  /// Takes a request back for a VM that shuts down: refuses it with
  /// kShuttingDown if no attempt of it runs. Running attempts continue, and no
  /// other one follows them.
  virtual void Withdraw(TimePoint now, DispatchHandle request) = 0;

  /// Drops a request that its caller has abandoned. kCancel actions end its
  /// running attempts.
  virtual void Cancel(TimePoint now, DispatchHandle request) = 0;

  /// Applies what an answer of an upstream says, of whatever request. To be
  /// called as soon as the head of the answer is read: its body may take long.
  virtual void OnNotice(TimePoint now,
                        ServiceHandle service,
                        UpstreamHandle upstream,
                        const UpstreamNotice& notice) = 0;

  /// Applies what upstreams of `shard` said to another VM.
  virtual void OnNoticeReports(
      TimePoint now,
      ShardKey shard,
      const std::vector<UpstreamNoticeReport>& reports) = 0;

  /// @returns what upstreams of `shard` said to this VM and still holds.
  virtual std::vector<UpstreamNoticeReport> NoticesOf(TimePoint now,
                                                      ShardKey shard) const = 0;

  /// Reports that this VM has lost its path to the upstreams of `data_centre`,
  /// or has it again. While it is lost, requests for them are refused at once
  /// with kUpstreamsUnreachable, so that entry VMs send them to VMs that reach
  /// them.
  virtual void OnReach(TimePoint now,
                       DataCentreHandle data_centre,
                       bool reachable) = 0;

  /// Applies a rate limit that another VM received from an upstream.
  virtual void OnRateLimitReport(TimePoint now,
                                 const RateLimitReport& report) = 0;

  /// @returns rate limit updates for the other owners of the shards, which
  /// dispatch if this VM fails. To be called a few times per second.
  virtual std::vector<RateLimitUpdate> TakeRateLimitUpdates(TimePoint now) = 0;

  /// Runs timers: deadlines, hedges, health evidence from running attempts.
  /// A request whose deadline passes in the queue ends with kRefuse and
  /// kDeadlinePassedInQueue. A running one that has no first byte by its
  /// deadline ends with kCancel for its attempts and kRefuse with
  /// kUpstreamTimeout.
  virtual void Tick(TimePoint now) = 0;

  /// Refuses all queued and all later requests with kShuttingDown, so that
  /// entry VMs send them elsewhere; running attempts continue.
  virtual void HandBack(TimePoint now) = 0;

  /// @returns the number of upstreams with a known rate limit.
  virtual size_t CountRateLimited() const = 0;

  virtual ShardSummary Summarize(TimePoint now, ShardKey shard) const = 0;

  /// @returns false if this VM can't connect to the upstreams of `shard` that
  /// accept work. Its summary would then say nothing about the shard.
  virtual bool ReachesShard(TimePoint now, ShardKey shard) const = 0;

  /// @returns actions since the last call of `ClearActions`, in order.
  virtual const std::vector<DispatchAction>& actions() const = 0;
  /// @returns events since the last call of `ClearActions`, in order.
  virtual const std::vector<UpstreamEvent>& events() const = 0;
  virtual void ClearActions() = 0;

  virtual const DispatchCounters& counters() const = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_DISPATCH_H_
