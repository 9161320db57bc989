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
#include "basilsill/decision/view.h"

/// The dispatcher: for the shards that a worker owns, it holds the queue of
/// waiting requests and the slots of each upstream, and binds a request to an
/// upstream only when a slot is free. Pure: time comes in as an argument,
/// effects go out as actions that the shell carries out.

namespace basilsill {

struct DispatchTag;
struct AttemptTag;
using DispatchHandle = Handle<DispatchTag>;  ///< A request at a dispatcher.
using AttemptHandle = Handle<AttemptTag>;    ///< One try of it.

/// What a dispatcher is told of a request.
struct DispatchRequest {
  ShardKey shard = 0;
  TeamHandle team;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  TimePoint deadline = kNever;
  bool idempotent = false;
  bool hedge = false;
  /// The whole body is at hand. Of any other, a part is gone once an attempt
  /// was connected, so no further attempt may follow.
  bool replayable = true;
  Fingerprint fingerprint = 0;
  /// The entry VM knows a better place than a queue longer than this: then
  /// the request is refused with kQueueFull at once. As `Target` gave it.
  Duration max_wait = Duration::max();
  /// Upstreams that it may be sent to, all in all; 0: as the policy has it.
  uint8_t max_attempts = 0;
  /// Times that it was sent to upstreams from elsewhere before. If it was, it
  /// is nobody's first attempt here.
  uint8_t sends = 0;
  /// An answer within this time is a good one, a later one worth little; 0: not
  /// known.
  ShortMillis good_for{0};
  uint64_t cookie = 0;  ///< The shell's own name for the request.
};

enum class DispatchActionKind : uint8_t {
  kStart,      ///< Send the request to `upstream` as `attempt`.
  kRefuse,     ///< Answer with `refusal`; the request is gone.
  kCancel,     ///< Abort `attempt` at its upstream; its slot is already freed.
  kQueryLoad,  ///< Ask `upstream` for its load and tell `OnAsked`.
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
  uint8_t sends = 0;           ///< For kRefuse: to upstreams, from here.
  Retry retry = Retry::kNone;  ///< Why this is not the first attempt.
  /// For kStart: how slow the upstream was thought to be, and how old that
  /// knowledge was; negative if nothing was known.
  double slowness = 1;
  Duration slowness_age{-1};
  /// For kStart and kAsk: the upstream names a rate limit.
  bool rate_limited = false;
};

/// How an attempt at an upstream ended.
enum class AttemptEnd : uint8_t {
  kAnswered,       ///< A whole answer came, with `status`.
  kShed,           ///< The upstream said that it refused before running.
  kConnectFailed,  ///< No byte of the request was sent.
  kDied,           ///< The connection broke after bytes were sent.
  kTimedOut,       ///< No answer within the deadline.
  kMalformed,      ///< What came was no HTTP answer.
  kMisdirected,    ///< Another upstream has the address; nothing ran.
  kCancelled,      ///< The caller went away, or another attempt won.
  kCount
};

/// @returns the name of `end` as logs carry it.
std::string_view NameOf(AttemptEnd end);

/// @returns what the caller is told if `end` is the outcome of a request, or
/// kNone for kAnswered.
Refusal RefusalOf(AttemptEnd end);

/// What an upstream says of its load.
struct UpstreamLoad {
  bool known = false;
  bool reports_slowness = false;
  uint16_t running = 0;
  uint16_t waiting = 0;
  uint16_t slots = 0;
  /// Time that work takes there now, over what it usually takes.
  double slowness = 1;
};

/// What came of asking an upstream for its load.
struct LoadQueryReport {
  bool answered = false;  ///< Something that is HTTP came.
  bool foreign = false;   ///< Another upstream answers at its address.
  UpstreamLoad load;      ///< Not known if it gave no answer.
  /// How long it stays cold, 0 if it is warm; absent if it did not say.
  std::optional<Duration> cold_for{};
  ToldRateLimit rate_limit{};
};

struct AttemptReport {
  AttemptEnd end = AttemptEnd::kCount;
  uint16_t status = 0;
  bool drain_sign = false;      ///< The upstream said that it is leaving.
  bool answer_started = false;  ///< Part of an answer reached the caller.
  UpstreamLoad load{};          ///< As the answer had it.
  ToldRateLimit rate_limit{};   ///< As the answer had it.
};

/// What a dispatcher says of a shard to entry VMs, on answers.
struct ShardSummary {
  ShardKey shard = 0;
  uint16_t slots = 0;       ///< Slots of upstreams that take work.
  uint16_t busy = 0;        ///< Slots occupied.
  uint32_t queued = 0;      ///< Requests waiting.
  Duration service_time{};  ///< Typical time of one request at an upstream.
  Duration wait{};          ///< Expected wait of a new ordinary request.
  Duration bulk_wait{};     ///< Expected wait of a new bulk request.
};

/// Mechanisms of the dispatcher, each of which can be switched off to measure
/// what it buys.
struct DispatcherFeatures {
  bool fair_queue = true;      ///< Off: one FIFO a shard.
  bool class_caps = true;      ///< Bulk and background hold few slots.
  bool reserve = true;         ///< Slots kept for urgent and ordinary.
  bool early_refusal = true;   ///< Refuse what can't be met in time.
  bool straggler = true;       ///< Slow upstreams get less.
  bool running_age = true;     ///< Evidence from what still runs.
  bool fail_fast = true;       ///< Upstreams that answer errors get less.
  bool send_ahead = true;      ///< Long queues fill the gaps between answers.
  bool ramp = true;            ///< New and returned upstreams start slowly.
  bool shed_backoff = true;    ///< Pause after a shed answer.
  bool retry = true;           ///< Retries inside the shard.
  bool hedge = true;           ///< A slow attempt may be doubled.
  bool speed = true;           ///< Slow moments of upstreams are waited out.
  bool spread = true;          ///< Idle upstreams before crowded ones.
  bool rate_limits = true;     ///< What upstreams name is kept.
  bool slowness_limit = true;  ///< Nothing starts where it ends too late.
  bool leave_slow = true;      ///< From slow upstreams to another data centre.
  bool late_behind = true;     ///< What would be late lets others pass.
  bool isolation = true;       ///< Suspects of an upstream's death run alone.
};

struct DispatcherOptions {
  size_t max_requests = limits::kMaxRequestsPerWorker;
  size_t max_queue_per_shard = limits::kMaxQueuePerShard;
  uint64_t seed = 1;
  DispatcherFeatures features;
  RatioBudgetOptions retry_budget = kRetryBudget;
  RatioBudgetOptions hedge_budget = kHedgeBudget;
  /// What dispatchers have of the whole fleet's bound on repeats, if there is
  /// one.
  std::optional<RepeatParts> repeats;
  /// Upstreams say whether they are cold when they are asked.
  bool cold_is_reported = false;
  /// Shared with the EntryRouter of the same worker; null: no quarantine.
  std::shared_ptr<Quarantine> quarantine;
};

/// What a dispatcher noticed about an upstream, for logs and operators.
enum class UpstreamEventKind : uint8_t {
  kDraining,     ///< It said that it is leaving.
  kStraggling,   ///< Slow beside its siblings; gets less.
  kFailing,      ///< Errors beside healthy siblings; gets less.
  kRecovered,    ///< Has its full share again.
  kBackedOff,    ///< Refused a connection or shed; paused.
  kDied,         ///< Closed while it ran requests.
  kQuarantined,  ///< `fingerprint` was condemned by its death.
  kRateLimited,  ///< It names a rate limit, or another one than before.
  kRateLimitEnded,
  kCount
};

struct UpstreamEvent {
  UpstreamEventKind kind = UpstreamEventKind::kCount;
  ShardKey shard = 0;
  UpstreamHandle upstream;
  Fingerprint fingerprint = 0;
  double requests_per_second = 0;  ///< For kRateLimited: the limit.
};

/// Totals since the start, by reason.
struct DispatchCounters {
  std::array<uint64_t, static_cast<size_t>(Refusal::kCount)> refusals{};
  std::array<uint64_t, static_cast<size_t>(Retry::kCount)> retries{};
  uint64_t offered = 0;
  uint64_t attempts = 0;
  uint64_t hedges_won = 0;
  /// Requests that waited where rate limits bind all upstreams.
  uint64_t held_for_rate = 0;
};

/// State of all shards of one worker. Belongs to one thread.
class Dispatcher {
 public:
  static std::unique_ptr<Dispatcher> Create(const DispatcherOptions& options);
  virtual ~Dispatcher() = default;

  /// Adopts `view`. Upstreams that are gone or leaving get no new work;
  /// attempts that run there go on.
  virtual void ApplyView(TimePoint now, const RoutingViewPtr& view) = 0;

  /// Takes in a request, which ends in a kRefuse action or in the end of an
  /// attempt that was not retried.
  /// @returns its handle, invalid if it was refused at once.
  virtual DispatchHandle Offer(TimePoint now,
                               const DispatchRequest& request) = 0;

  /// The first byte of an answer arrived.
  virtual void OnFirstByte(TimePoint now, AttemptHandle attempt) = 0;

  /// An attempt ended. One that a kCancel action ended is not known any more;
  /// reports of it are ignored.
  /// @returns false if this end is the outcome of the request: an answer, one
  /// that broke after it started, or a cancellation. True if the request goes
  /// on: another attempt runs, it waits again, or a kRefuse action ends it.
  virtual bool OnAttemptEnd(TimePoint now,
                            AttemptHandle attempt,
                            const AttemptReport& report) = 0;

  /// The connection of `attempt` broke before any answer, as an old one does.
  /// @returns true if the request may be sent to the same upstream once more.
  virtual bool MaySendAgain(TimePoint now, AttemptHandle attempt) = 0;

  /// The answer to a kAsk action.
  virtual void OnLoadQueryEnd(TimePoint now,
                              UpstreamHandle upstream,
                              const LoadQueryReport& report) = 0;

  /// The caller does not want the request any more. Running attempts are
  /// cancelled by actions.
  virtual void Cancel(TimePoint now, DispatchHandle request) = 0;

  /// An upstream is leaving, as another way than an attempt's report told.
  virtual void OnDrainSign(TimePoint now, UpstreamHandle upstream) = 0;

  /// Takes in what another VM heard of a rate limit.
  virtual void OnRateLimitReport(TimePoint now,
                                 const RateLimitReport& report) = 0;

  /// @returns what those VMs that would dispatch in this one's place have to be
  /// told of rate limits. Call some times a second.
  virtual std::vector<RateLimitNews> TakeRateLimitUpdates(TimePoint now) = 0;

  /// Timers: deadlines, hedges, evidence from running attempts, ramps.
  /// A request whose deadline passes while it waits ends with kRefuse and
  /// kDeadlinePassedInQueue. One that runs and has no first byte by then ends
  /// with kCancel for its attempts and kRefuse with kUpstreamTimeout.
  virtual void Tick(TimePoint now) = 0;

  /// Refuses all that wait with kShuttingDown, so that entry VMs send it
  /// elsewhere; running attempts go on.
  virtual void HandBack(TimePoint now) = 0;

  /// @returns upstreams that name a rate limit, as far as is known here.
  virtual size_t CountRateLimited() const = 0;

  virtual ShardSummary Summarize(TimePoint now, ShardKey shard) const = 0;

  /// Actions since the last call of `ClearActions`, in order.
  virtual const std::vector<DispatchAction>& actions() const = 0;
  /// Events since the last call of `ClearActions`, in order.
  virtual const std::vector<UpstreamEvent>& events() const = 0;
  virtual void ClearActions() = 0;

  virtual const DispatchCounters& counters() const = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_DISPATCH_H_
