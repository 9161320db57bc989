#include <algorithm>

#include "dispatch_tables.h"
#include "entry_core.h"

namespace basilsill {
namespace {

// Cost of a shard without upstreams: above that of any other shard.
constexpr Duration kUnusableWait = std::chrono::hours(1);

// A request moves to another shard if its wait here exceeds this percentage of
// the expected cost there. It is below 100, since a request that moves also
// shortens the wait of those behind it.
constexpr int kMaxWaitPercent = 75;

// A background request waits in the near data centre for up to one fourth of
// the time to its deadline before it moves.
constexpr int kBackgroundWaitDivisor = 4;

constexpr Duration kRetryAfter = std::chrono::milliseconds(100);

// A data centre stays drained for seconds at least.
constexpr Duration kDrainedRetryAfter = std::chrono::seconds(1);

// Retry times are extended by a random 0 to 50 per cent, so that callers
// refused for the same reason do not all come back at once.
constexpr uint32_t kMaxJitterPercent = 50;

template <typename T>
bool Contains(const std::array<T, kMaxChoices>& all, T value) {
  return std::find(all.begin(), all.end(), value) != all.end();
}

// True if a dispatcher was reached and refused the request. It knows more about
// its upstreams than this VM does, so the direct path is not used then: it is
// for VMs that reach no dispatcher.
bool WasRefusedByDispatcher(const EntryRow& entry) {
  return std::any_of(entry.tried_shards.begin(), entry.tried_shards.end(),
                     [](ShardKey shard) { return shard != 0; });
}

bool IsDrained(const ServiceRow& service) {
  return !service.shards.empty() &&
         std::all_of(service.shards.begin(), service.shards.end(),
                     [](const ShardRow& shard) { return shard.drained; });
}

}  // namespace

Duration EntryCore::AddJitter(Duration duration) {
  const uint32_t percent = 100 + this->random(kMaxJitterPercent + 1);
  return duration * percent / 100;
}

bool EntryCore::IsUsable(TimePoint now, VmHandle handle) const {
  const VmRow* vm = FindVm(*this->view, handle);
  if (vm == nullptr || vm->state != VmState::kLive) {
    return false;
  }
  const LinkState& link = this->links[handle.index];
  return handle == this->view->self || link.vm != handle ||
         (link.lost_until <= now && link.avoided_until <= now);
}

// The first usable owner dispatches for the shard. An owner that is silent or
// that can't reach the shard's data centre is only skipped in favour of
// another.
VmHandle EntryCore::OwnerOf(TimePoint now,
                            const EntryRow& entry,
                            const ShardRow& shard) const {
  const Duration expected =
      this->shard_estimates.WaitAt(now, shard.key, entry.request.traffic_class,
                                   1) +
      this->shard_estimates.ServiceTimeAt(shard.key);
  VmHandle doubtful;
  for (const VmHandle owner : shard.owners) {
    if (Contains(entry.tried_vms, owner) || !this->IsUsable(now, owner) ||
        !this->unreachable.MayAsk(now, owner, shard.key)) {
      continue;
    }
    const bool is_silent = this->options.features.silence &&
                           this->silence.IsSilent(now, owner, expected);
    const VmRow& vm = this->view->vms[owner.index];
    if (!is_silent && Reaches(vm, shard.data_centre)) {
      return owner;
    }
    doubtful = IsValid(doubtful) ? doubtful : owner;
  }
  return doubtful;
}

// The first choice may be a shard that seems to have no upstream; later choices
// may not, since the request would only be refused for the same reason. A shard
// in a drained data centre is never a candidate, whatever its last summary
// says: the summary may be older than the drain.
bool EntryCore::IsCandidate(TimePoint now,
                            const EntryRow& entry,
                            const ShardRow& shard) const {
  return !shard.drained && !Contains(entry.tried_shards, shard.key) &&
         (entry.choices == 0 || this->shard_estimates.IsUsable(now, shard.key));
}

// A shard whose upstreams can't be connected to is passed over in favour of
// shards in other data centres, and after a refusal for that reason the whole
// data centre is, by this request. A shard with a long queue doesn't serve the
// request sooner than another owner of the shard that refused.
bool EntryCore::IsServing(TimePoint now,
                          const EntryRow& entry,
                          const ShardRow& shard) const {
  const DataCentreRow& row =
      this->view->data_centres.at(shard.data_centre.index);
  if (row.lost || this->unreachable.IsDown(now, shard.key)) {
    return false;
  }
  if (entry.detours == 0) {
    return true;
  }
  const auto& lost = entry.lost_data_centres;
  const Duration service_time = this->shard_estimates.ServiceTimeAt(shard.key);
  return std::find(lost.begin(), lost.end(), PlaceOf(shard.data_centre)) ==
             lost.end() &&
         this->shard_estimates.IsUsable(now, shard.key) &&
         this->shard_estimates.WaitAt(
             now, shard.key, entry.request.traffic_class, 1) <= service_time;
}

bool EntryCore::HasOtherShard(TimePoint now, const EntryRow& entry) const {
  const ServiceRow* service = FindService(*this->view, entry.request.service);
  return service != nullptr &&
         std::any_of(service->shards.begin(), service->shards.end(),
                     [&](const ShardRow& shard) {
                       return this->IsCandidate(now, entry, shard);
                     });
}

Duration EntryCore::CostOf(TimePoint now,
                           const ShardRow& shard,
                           TrafficClass traffic_class) const {
  if (!this->shard_estimates.IsUsable(now, shard.key)) {
    return kUnusableWait;
  }
  const bool near = shard.data_centre == this->view->own_data_centre;
  const Duration round_trip = near ? Duration(0) : this->options.far_round_trip;
  return round_trip + this->shard_estimates.WaitAt(now, shard.key,
                                                   traffic_class,
                                                   near ? 1 : this->near_vms);
}

// Power of two choices: draws two candidate shards and takes the cheaper one.
// If each took the cheapest of all, all entry VMs with the same summaries would
// choose the same shard.
Candidate EntryCore::PickCandidate(TimePoint now,
                                   const ServiceRow& service,
                                   const EntryRow& entry,
                                   ChoiceScope scope,
                                   bool near) {
  std::array<Candidate, 2> drawn;
  uint32_t seen = 0;
  for (const ShardRow& shard : service.shards) {
    const bool is_near = shard.data_centre == this->view->own_data_centre;
    const bool is_in_scope =
        scope == ChoiceScope::kAll || this->IsServing(now, entry, shard);
    if (is_near != near || !is_in_scope ||
        !this->IsCandidate(now, entry, shard)) {
      continue;
    }
    const VmHandle owner = this->OwnerOf(now, entry, shard);
    if (!IsValid(owner)) {
      continue;
    }
    ++seen;
    const uint32_t place = seen <= 2 ? seen - 1 : this->random(seen);
    if (place < drawn.size()) {
      const Duration cost =
          Reaches(this->view->vms[owner.index], shard.data_centre)
              ? this->CostOf(now, shard, entry.request.traffic_class)
              : kUnusableWait;
      drawn[place] = {&shard, owner, cost, near};
    }
  }
  if (drawn[0].cost == drawn[1].cost) {
    return drawn[this->random(2)];
  }
  return drawn[0].cost < drawn[1].cost ? drawn[0] : drawn[1];
}

Target EntryCore::ChooseDispatcher(TimePoint now,
                                   const ServiceRow& service,
                                   const EntryRow& entry) {
  const Target target =
      this->ChooseWithin(now, service, entry, ChoiceScope::kServing);
  return target.kind != TargetKind::kCount
             ? target
             : this->ChooseWithin(now, service, entry, ChoiceScope::kAll);
}

Target EntryCore::ChooseWithin(TimePoint now,
                               const ServiceRow& service,
                               const EntryRow& entry,
                               ChoiceScope scope) {
  const Candidate near = this->PickCandidate(now, service, entry, scope, true);
  const Candidate far = this->PickCandidate(now, service, entry, scope, false);
  const bool overflow = this->options.features.overflow;
  const bool by_cost =
      !this->options.features.hand_back || near.cost >= kUnusableWait;
  const bool use_far =
      near.shard == nullptr || (overflow && by_cost && far.cost < near.cost);
  const Candidate& chosen = use_far ? far : near;
  Target target;
  if (chosen.shard == nullptr) {
    return target;
  }
  target.kind = TargetKind::kDispatcher;
  target.vm = chosen.owner;
  target.shard = chosen.shard->key;
  const EntryFeatures& features = this->options.features;
  // After a detour it is not clear what the other shard can do.
  const bool may_move = overflow && features.hand_back && features.retry &&
                        entry.choices == 0 && entry.detours == 0 &&
                        chosen.near && far.shard != nullptr &&
                        entry.request.replayable;
  if (may_move) {
    target.max_wait = this->MaxWait(now, entry, far);
  }
  this->shard_estimates.OnSent(now, target.shard,
                               this->EstimateSummary(service, *chosen.shard));
  ++(chosen.near ? this->counts.near : this->counts.far);
  return target;
}

// Estimates the summary of a shard that has not reported yet: the slots that
// the view gives it, all free, and the longest service time of the service's
// other shards.
ShardSummary EntryCore::EstimateSummary(const ServiceRow& service,
                                        const ShardRow& shard) const {
  ShardSummary estimate;
  if (!shard.upstreams.empty()) {
    const UpstreamRow& first = service.upstreams[shard.upstreams.front()];
    estimate.slots =
        static_cast<uint16_t>(first.slots * shard.upstreams.size());
  }
  for (const ShardRow& other : service.shards) {
    estimate.service_time = std::max(
        estimate.service_time, this->shard_estimates.ServiceTimeAt(other.key));
  }
  return estimate;
}

// The dispatcher knows its queue exactly, while the entry VM knows it only from
// the last answer. So the request goes to the near dispatcher, which hands it
// back at once if its wait would be longer than what the entry VM expects
// elsewhere.
Duration EntryCore::MaxWait(TimePoint now,
                            const EntryRow& entry,
                            const Candidate& other) const {
  if (entry.request.traffic_class == TrafficClass::kBackground) {
    return entry.request.deadline == kNever
               ? Duration::max()
               : (entry.request.deadline - now) / kBackgroundWaitDivisor;
  }
  return other.cost * kMaxWaitPercent / 100;
}

Target EntryCore::ChooseUpstream(TimePoint now,
                                 const ServiceRow& service,
                                 const EntryRow& entry) {
  Target target;
  target.upstream = this->direct.Choose(
      now, service, this->view->own_data_centre, entry.failed_upstream);
  if (IsValid(target.upstream)) {
    target.kind = TargetKind::kDirect;
    ++this->counts.direct;
  }
  return target;
}

Target EntryCore::Choose(TimePoint now, EntryHandle handle) {
  EntryRow* entry = this->entries.Find(handle);
  const ServiceRow* service =
      entry != nullptr ? FindService(*this->view, entry->request.service)
                       : nullptr;
  Target target;
  if (service != nullptr && entry->choices < kMaxChoices) {
    target = this->ChooseDispatcher(now, *service, *entry);
    if (target.kind == TargetKind::kCount && this->options.features.direct &&
        !WasRefusedByDispatcher(*entry)) {
      target = this->ChooseUpstream(now, *service, *entry);
    }
  }
  if (target.kind == TargetKind::kCount) {
    target.kind = TargetKind::kRefuse;
    const bool drained = service != nullptr && IsDrained(*service);
    const bool uncertain_refusal =
        entry != nullptr && entry->uncertain_refusal != Refusal::kNone;
    const Refusal own = drained ? Refusal::kDrained : Refusal::kNoUpstream;
    target.refusal = uncertain_refusal ? entry->uncertain_refusal : own;
    target.retry_after =
        this->AddJitter(drained ? kDrainedRetryAfter : kRetryAfter);
    ++this->counts.refusals[static_cast<size_t>(target.refusal)];
    return target;
  }
  ++entry->choices;
  target.sends = entry->sends;
  entry->target = target;
  this->BeginAttempt(now, *entry);
  return target;
}

// Only interactive requests count for the silence of a dispatcher, since only
// they are answered soon.
void EntryCore::BeginAttempt(TimePoint now, EntryRow& entry) {
  const Target& target = entry.target;
  const TrafficClass traffic_class = entry.request.traffic_class;
  if (target.kind == TargetKind::kDirect) {
    this->direct.Begin(now, target.upstream);
    return;
  }
  this->unreachable.OnChosen(now, target.vm, target.shard);
  // Only this request waits for another attempt to open a lost link.
  LinkState& link = this->LinkOf(target.vm);
  if (link.lost_pause > Duration(0)) {
    link.lost_until = now + link.lost_pause;
  }
  entry.counts_for_silence = target.vm != this->view->self &&
                             RingOf(traffic_class) == RingKind::kInteractive;
  if (entry.counts_for_silence) {
    this->silence.OnSent(now, target.vm);
  }
}

}  // namespace basilsill
