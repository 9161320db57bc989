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
#include "unreachable_shards.h"

/// Implementation of the entry router. entry_router.cc admits requests, decides
/// on retries and finishes requests; entry_choice.cc chooses where requests go.

namespace basilsill {

/// Maximum number of attempts that the entry side makes for a request.
inline constexpr uint32_t kMaxChoices = 3;

/// Maximum number of further attempts at VMs that turn out to have lost their
/// paths to the upstreams. Nothing was sent to an upstream in these.
inline constexpr uint8_t kMaxDetours = 4;

struct EntryRow {
  EntryRequest request;
  Target target;
  TimePoint admitted;
  uint32_t choices = 0;
  uint8_t detours = 0;  ///< Attempts that are not counted in `choices`.
  uint8_t sends = 0;  ///< Sent to upstreams so often, as far as this VM knows.
  /// Data centres in which a dispatcher could not connect to the upstreams, by
  /// PlaceOf.
  std::array<uint8_t, 2> lost_data_centres{};
  /// Shards that refused the request, and VMs that could not dispatch it.
  std::array<ShardKey, kMaxChoices> tried_shards{};
  std::array<VmHandle, kMaxChoices> tried_vms{};
  UpstreamHandle failed_upstream;
  /// Refusal of an attempt that may have run; kNone if there was none.
  Refusal uncertain_refusal = Refusal::kNone;
  bool counts_for_silence = false;
};

/// @returns the index of `data_centre` plus one, which fits into an octet. 0 is
/// no data centre.
constexpr uint8_t PlaceOf(DataCentreHandle data_centre) {
  static_assert(limits::kMaxDataCentres < UINT8_MAX);
  return static_cast<uint8_t>(data_centre.index + 1);
}

/// Which shards a choice considers.
enum class ChoiceScope : uint8_t {
  kServing,  ///< Those that are expected to serve the request soon.
  kAll,
  kCount
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
  void OnRateLimit(TimePoint now,
                   UpstreamHandle upstream,
                   const AdvertisedRateLimit& advertised) override;
  void Tick(TimePoint now) override;
  const EntryCounters& counters() const override;

 private:
  struct LinkState {
    VmHandle vm;
    /// The link was lost; another attempt to open one is made then.
    TimePoint lost_until{};
    Duration lost_pause{0};
    TimePoint avoided_until{};  ///< The VM has reported that it shuts down.
  };

  // entry_router.cc
  Admission Reject(Refusal refusal, Duration retry_after);
  void EndAttempt(TimePoint now, EntryRow& entry, Refusal refusal);
  void RememberLost(EntryRow& entry) const;
  void ReportCrash(TimePoint now, const EntryRow& entry);
  Retry DecideRetry(TimePoint now,
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
  bool IsCandidate(TimePoint now,
                   const EntryRow& entry,
                   const ShardRow& shard) const;
  bool IsServing(TimePoint now,
                 const EntryRow& entry,
                 const ShardRow& shard) const;
  bool HasOtherShard(TimePoint now, const EntryRow& entry) const;
  Duration CostOf(TimePoint now,
                  const ShardRow& shard,
                  TrafficClass traffic_class) const;
  Candidate PickCandidate(TimePoint now,
                          const ServiceRow& service,
                          const EntryRow& entry,
                          ChoiceScope scope,
                          bool near);
  Target ChooseDispatcher(TimePoint now,
                          const ServiceRow& service,
                          const EntryRow& entry);
  Target ChooseWithin(TimePoint now,
                      const ServiceRow& service,
                      const EntryRow& entry,
                      ChoiceScope scope);
  Duration AddJitter(Duration duration);
  Duration MaxWait(TimePoint now,
                   const EntryRow& entry,
                   const Candidate& other) const;
  Target ChooseUpstream(TimePoint now,
                        const ServiceRow& service,
                        const EntryRow& entry);
  ShardSummary EstimateSummary(const ServiceRow& service,
                               const ShardRow& shard) const;
  void BeginAttempt(TimePoint now, EntryRow& entry);

  EntryOptions options;
  RoutingViewPtr view;
  uint32_t near_vms = 1;             ///< Live VMs in this VM's data centre.
  uint32_t known_vms = 1;            ///< All VMs in the view, live or not.
  TimePoint first_view_at = kNever;  ///< When the first view came.
  HandleTable<EntryRow, EntryTag> entries;
  TeamAdmission teams;
  ShardLoadEstimates shard_estimates;
  DirectPath direct;
  PeerSilence silence;
  UnreachableShards unreachable;
  std::vector<LinkState> links;  ///< By index of the VM's handle.
  /// Retry budgets, by service and team.
  boost::unordered_flat_map<uint64_t, RatioBudget> budgets;
  /// Retry budgets by service, if the fleet has a bound.
  boost::unordered_flat_map<uint32_t, std::unique_ptr<RepeatBudget>>
      fleet_budgets;
  pcg32 random;
  EntryCounters counts;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_ENTRY_CORE_H_
