#ifndef BASILSILL_DECISION_ENTRY_CORE_H_
#define BASILSILL_DECISION_ENTRY_CORE_H_

#include <array>
#include <memory>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>
#include <pcg_random.hpp>

#include "basilsill/decision/entry.h"
#include "basilsill/decision/ratio_budget.h"
#include "direct_path.h"
#include "peer_silence.h"
#include "shard_load_estimates.h"
#include "team_admission.h"

/// The entry router itself: entry_router.cc takes requests in, judges retries
/// and lets requests go; entry_choice.cc chooses where they go.

namespace basilsill {

/// Places that a request may be sent to, all in all.
inline constexpr uint32_t kMaxChoices = 3;

struct EntryRow {
  EntryRequest request;
  Target target;
  TimePoint admitted;
  uint32_t choices = 0;
  uint8_t sends = 0;  ///< To upstreams, as far as this VM can tell.
  /// Shards that could not help, and VMs that could not dispatch.
  std::array<ShardKey, kMaxChoices> tried_shards{};
  std::array<VmHandle, kMaxChoices> tried_vms{};
  UpstreamHandle failed_upstream;
  /// What an attempt that may have run ended with; kNone if none may have.
  Refusal unknown = Refusal::kNone;
  bool watched = false;  ///< Counts for the silence of its dispatcher.
};

/// A shard that a request could go to.
struct Candidate {
  const ShardRow* shard = nullptr;
  VmHandle owner;
  Duration cost = Duration::max();
  bool near = false;
};

class EntryCore final : public EntryRouter {
 public:
  explicit EntryCore(const EntryOptions& options);

  void ApplyView(TimePoint now, const RoutingViewPtr& view) override;
  Admission Admit(TimePoint now, const EntryRequest& request) override;
  Target Choose(TimePoint now, EntryHandle handle) override;
  RetryDecision OnRefused(TimePoint now,
                          EntryHandle handle,
                          Refusal refusal,
                          uint8_t sends) override;
  void Finish(TimePoint now, EntryHandle handle) override;

  void OnSummary(TimePoint now,
                 VmHandle from,
                 const ShardSummary& summary) override;
  void OnLink(TimePoint now, VmHandle vm, bool usable) override;
  void OnDrainSign(TimePoint now, UpstreamHandle upstream) override;
  void OnRateLimit(TimePoint now,
                   UpstreamHandle upstream,
                   const AdvertisedRateLimit& told) override;
  void Tick(TimePoint now) override;
  const EntryCounters& counters() const override;

 private:
  struct LinkState {
    VmHandle vm;
    bool lost = false;
    TimePoint avoided_until{};  ///< It said that it shuts down.
  };

  // entry_router.cc
  Admission Reject(Refusal refusal, Duration retry_after);
  void EndAttempt(TimePoint now, EntryRow& entry, Refusal refusal);
  void TellCrash(TimePoint now, const EntryRow& entry);
  Retry JudgeRetry(TimePoint now,
                   const EntryRow& entry,
                   Refusal refusal,
                   bool is_direct);
  LinkState& LinkOf(VmHandle vm);
  RatioBudget& BudgetOf(const EntryRequest& request);
  RepeatBudget& FleetBudgetOf(const EntryRequest& request);
  void CountRequest(TimePoint now, const EntryRequest& request);
  bool TakeRetry(TimePoint now, const EntryRequest& request);

  // entry_choice.cc
  bool IsUsable(TimePoint now, VmHandle vm) const;
  VmHandle OwnerOf(TimePoint now,
                   const EntryRow& entry,
                   const ShardRow& shard) const;
  bool MayGo(TimePoint now, const EntryRow& entry, const ShardRow& shard) const;
  bool HasOtherPlace(TimePoint now, const EntryRow& entry) const;
  Duration CostOf(TimePoint now,
                  const ShardRow& shard,
                  TrafficClass traffic_class) const;
  Candidate Best(TimePoint now,
                 const ServiceRow& service,
                 const EntryRow& entry,
                 bool near);
  Target ToDispatcher(TimePoint now,
                      const ServiceRow& service,
                      const EntryRow& entry);
  Duration Spread(Duration duration);
  Duration MaxWait(TimePoint now,
                   const EntryRow& entry,
                   const Candidate& other) const;
  Target ToUpstream(TimePoint now,
                    const ServiceRow& service,
                    const EntryRow& entry);
  ShardSummary GuessOf(const ServiceRow& service, const ShardRow& shard) const;
  void BeginAttempt(TimePoint now, EntryRow& entry);

  EntryOptions options;
  RoutingViewPtr view;
  uint32_t near_vms = 1;     ///< Live VMs in the own data centre.
  uint32_t known_vms = 1;    ///< Live or not.
  TimePoint began = kNever;  ///< With the first view.
  HandleTable<EntryRow, EntryTag> entries;
  TeamAdmission teams;
  ShardLoadEstimates beliefs;
  DirectPath direct;
  PeerSilence silence;
  std::vector<LinkState> links;  ///< By index of the VM's handle.
  /// What retries are paid from, by service and team.
  boost::unordered_flat_map<uint64_t, RatioBudget> budgets;
  /// The same by service, where the fleet has a bound.
  boost::unordered_flat_map<uint32_t, std::unique_ptr<RepeatBudget>>
      fleet_budgets;
  pcg32 random;
  EntryCounters counts;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_ENTRY_CORE_H_
