#ifndef BASILSILL_DECISION_ENTRY_H_
#define BASILSILL_DECISION_ENTRY_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>

#include "basilsill/base/reason.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/view.h"

/// The entry side of a request: admission under the team's limits, choice of a
/// shard and its dispatcher, and retry at another shard or dispatcher. Pure: it
/// does no I/O.

namespace basilsill {

struct EntryTag;
using EntryHandle = Handle<EntryTag>;  ///< A request at its entry VM.

struct EntryRequest {
  TeamHandle team;
  ServiceHandle service;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  TimePoint deadline = kNever;
  bool idempotent = false;
  bool replayable = false;  ///< The host still has the whole body.
  Fingerprint fingerprint = 0;
  uint8_t max_attempts = 0;  ///< As in DispatchRequest.
};

struct Admission {
  EntryHandle entry;  ///< Valid if admitted.
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
};

/// Where to send an admitted request next.
enum class TargetKind : uint8_t {
  kDispatcher,  ///< To `vm`, the dispatcher of `shard`; may be this VM.
  kDirect,      ///< To `upstream`: no dispatcher can be reached.
  kRefuse,
  kCount
};

struct Target {
  TargetKind kind = TargetKind::kCount;
  VmHandle vm;
  ShardKey shard = 0;
  UpstreamHandle upstream;
  /// For DispatchRequest: the dispatcher hands the request back if its expected
  /// wait is longer than this.
  Duration max_wait = Duration::max();
  uint8_t sends = 0;  ///< As in DispatchRequest.
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
};

/// What the entry VM does after an attempt without an answer.
struct RetryDecision {
  bool retry = false;
  Retry reason = Retry::kNone;  ///< Reason for the retry or for its denial.
  /// What the caller gets if there is no retry. It differs from the last
  /// refusal if an earlier attempt may have run: `not-run` would be wrong then.
  Refusal refusal = Refusal::kNone;
};

/// Features of the entry side. Each can be switched off to measure its effect.
struct EntryFeatures {
  bool overflow = true;  ///< Off: only the near data centre is used.
  /// Dispatchers hand back requests that would wait too long.
  bool hand_back = true;
  bool retry = true;    ///< Retries at another shard.
  bool limits = true;   ///< Team limits.
  bool direct = true;   ///< Direct path while no dispatcher can be reached.
  bool silence = true;  ///< Dispatchers that stop answering are avoided.
};

struct EntryOptions {
  size_t max_requests = limits::kMaxRequestsPerWorker;
  uint64_t seed = 1;
  /// Network round trip to another data centre.
  Duration far_round_trip = std::chrono::milliseconds(3);
  EntryFeatures features;
  RatioBudgetOptions retry_budget = kEntryRetryBudget;
  /// Bound on retries of the whole fleet, if there is one. All VMs share its
  /// slack equally.
  std::optional<RepeatBudgetOptions> repeats;
  /// Shared with the Dispatcher of the same worker; null: no quarantine.
  std::shared_ptr<Quarantine> quarantine;
  /// Shared with the Dispatcher of the same worker; null: one of its own.
  std::shared_ptr<UpstreamNotices> notices;
};

/// Totals since the process started, by reason.
struct EntryCounters {
  std::array<uint64_t, static_cast<size_t>(Refusal::kCount)> refusals{};
  std::array<uint64_t, static_cast<size_t>(Retry::kCount)> retries{};
  uint64_t admitted = 0;
  uint64_t near = 0;    ///< Chosen shards in this VM's data centre.
  uint64_t far = 0;     ///< Chosen shards in other data centres.
  uint64_t direct = 0;  ///< Requests sent on the direct path.
};

/// Entry state of one worker. Used by one thread only.
class EntryRouter {
 public:
  static std::unique_ptr<EntryRouter> Create(const EntryOptions& options);
  virtual ~EntryRouter() = default;

  virtual void ApplyView(TimePoint now, const RoutingViewPtr& view) = 0;

  /// Admits a request, or refuses it under its team's limits.
  virtual Admission Admit(TimePoint now, const EntryRequest& request) = 0;

  /// Chooses where the request goes. To be called again after a granted retry.
  virtual Target Choose(TimePoint now, EntryHandle entry) = 0;

  /// The attempt that the last `Choose` began was refused or lost.
  /// @param refusal What the dispatcher answered, kPeerUnreachable (nothing was
  /// sent), kPeerLost (the link broke after sending), or the refusal that
  /// stands for the end of a direct attempt, by RefusalOf.
  /// @param sends How often that dispatcher sent the request to upstreams, as
  /// far as it reported that.
  virtual RetryDecision OnRefused(TimePoint now,
                                  EntryHandle entry,
                                  Refusal refusal,
                                  uint8_t sends) = 0;

  /// The request has its final answer. Releases what it holds of the team's
  /// limits.
  virtual void Finish(TimePoint now, EntryHandle entry) = 0;

  /// A dispatcher has reported the load of its shard.
  virtual void OnSummary(TimePoint now,
                         VmHandle from,
                         const ShardSummary& summary) = 0;

  /// The link of this worker to a VM was lost or is usable again.
  virtual void OnLink(TimePoint now, VmHandle vm, bool usable) = 0;

  /// Rate limit that an answer on the direct path advertises.
  virtual void OnRateLimit(TimePoint now,
                           UpstreamHandle upstream,
                           const AdvertisedRateLimit& advertised) = 0;

  virtual void Tick(TimePoint now) = 0;

  virtual const EntryCounters& counters() const = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_ENTRY_H_
