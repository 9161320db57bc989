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

/// The entry side of a request: admission under the team's limits, choice of
/// a shard and its dispatcher, and the decision to try again elsewhere. Pure.

namespace basilsill {

struct EntryTag;
using EntryHandle = Handle<EntryTag>;  ///< A request at its entry VM.

struct EntryRequest {
  TeamHandle team;
  ServiceHandle service;
  TrafficClass traffic_class = TrafficClass::kOrdinary;
  TimePoint deadline = kNever;
  bool idempotent = false;
  bool replayable = false;  ///< The shell still holds the whole body.
  Fingerprint fingerprint = 0;
  uint8_t max_attempts = 0;  ///< As in DispatchRequest.
};

/// Outcome of admission.
struct Admission {
  EntryHandle entry;  ///< Valid if admitted.
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
};

/// Where an admitted request goes next.
enum class TargetKind : uint8_t {
  kDispatcher,  ///< To `vm`, which dispatches for `shard`; may be self.
  kDirect,      ///< Straight to `upstream`: no dispatcher can be reached.
  kRefuse,
  kCount
};

struct Target {
  TargetKind kind = TargetKind::kCount;
  VmHandle vm;
  ShardKey shard = 0;
  UpstreamHandle upstream;
  /// Goes into DispatchRequest: above this wait the dispatcher hands back.
  Duration max_wait = Duration::max();
  uint8_t sends = 0;  ///< As in DispatchRequest.
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
};

/// What the entry VM does after an attempt did not give an answer.
struct RetryDecision {
  bool retry = false;
  Retry reason = Retry::kNone;  ///< Why again, or why not.
  /// What the caller is told if there is no retry. Differs from the last
  /// refusal when an earlier attempt may have run: then `not-run` would lie.
  Refusal refusal = Refusal::kNone;
};

/// Mechanisms of the entry side, each of which can be switched off to measure
/// what it buys.
struct EntryFeatures {
  bool overflow = true;   ///< Off: the near data centre only.
  bool hand_back = true;  ///< Dispatchers hand back what waits too long.
  bool retry = true;      ///< Retries at another shard.
  bool limits = true;     ///< Team limits.
  bool direct = true;     ///< Direct path when no dispatcher is reached.
  bool silence = true;    ///< A dispatcher that falls silent is passed over.
};

struct EntryOptions {
  size_t max_requests = limits::kMaxRequestsPerWorker;
  uint64_t seed = 1;
  /// What a request to another data centre costs there and back.
  Duration far_round_trip = std::chrono::milliseconds(3);
  EntryFeatures features;
  RatioBudgetOptions retry_budget = kEntryRetryBudget;
  /// Bound on repeats of the whole fleet, if there is one; its slack is shared
  /// by all VMs.
  std::optional<RepeatBudgetOptions> repeats;
  /// Shared with the Dispatcher of the same worker; null: no quarantine.
  std::shared_ptr<Quarantine> quarantine;
};

/// Totals since the start, by reason.
struct EntryCounters {
  std::array<uint64_t, static_cast<size_t>(Refusal::kCount)> refusals{};
  std::array<uint64_t, static_cast<size_t>(Retry::kCount)> retries{};
  uint64_t admitted = 0;
  uint64_t near = 0;    ///< Choices of a shard in the own data centre.
  uint64_t far = 0;     ///< Choices of a shard elsewhere.
  uint64_t direct = 0;  ///< Choices without a dispatcher.
};

/// Entry state of one worker. Belongs to one thread.
class EntryRouter {
 public:
  static std::unique_ptr<EntryRouter> Create(const EntryOptions& options);
  virtual ~EntryRouter() = default;

  virtual void ApplyView(TimePoint now, const RoutingViewPtr& view) = 0;

  /// Takes a request in, or refuses it under its team's limits.
  virtual Admission Admit(TimePoint now, const EntryRequest& request) = 0;

  /// Chooses where the request goes. Called again after a granted retry.
  virtual Target Choose(TimePoint now, EntryHandle entry) = 0;

  /// An attempt through `Choose` was refused or lost. `refusal` is what its
  /// dispatcher answered, or kPeerUnreachable (nothing was sent), kPeerLost
  /// (the link broke after), or RefusalOf the end of a direct attempt.
  /// @param sends Times that it was sent to upstreams there, as far as that is
  /// told.
  virtual RetryDecision OnRefused(TimePoint now,
                                  EntryHandle entry,
                                  Refusal refusal,
                                  uint8_t sends) = 0;

  /// The request has its final answer; its share of the limits is free.
  virtual void Finish(TimePoint now, EntryHandle entry) = 0;

  /// A dispatcher told how loaded its shard is.
  virtual void OnSummary(TimePoint now,
                         VmHandle from,
                         const ShardSummary& summary) = 0;

  /// A link to a VM was lost or works again, as this worker saw it.
  virtual void OnLink(TimePoint now, VmHandle vm, bool usable) = 0;

  /// An upstream is leaving, as an answer on the direct path told.
  virtual void OnDrainSign(TimePoint now, UpstreamHandle upstream) = 0;

  /// What an answer on the direct path says of a rate limit.
  virtual void OnRateLimit(TimePoint now,
                           UpstreamHandle upstream,
                           const AdvertisedRateLimit& told) = 0;

  virtual void Tick(TimePoint now) = 0;

  virtual const EntryCounters& counters() const = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_ENTRY_H_
