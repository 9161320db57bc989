#include <algorithm>

#include "dispatch_tables.h"
#include "entry_core.h"

namespace basilsill {
namespace {

// A shard without upstreams comes after any other.
constexpr Duration kUnusableWait = std::chrono::hours(1);

// A request moves if its wait here is above this part of what it is thought to
// cost elsewhere: by moving it also spares those that come behind it.
constexpr int kMovePercent = 75;

// A background request waits near for this part of its time before it moves.
constexpr int kPatientPart = 4;

constexpr Duration kRetryAfter = std::chrono::milliseconds(100);

// A data centre that is drained stays so for seconds at least.
constexpr Duration kDrainedRetryAfter = std::chrono::seconds(1);

// Callers that were refused for one reason come back over half as long again,
// and not all at once.
constexpr uint32_t kSpreadPercent = 50;

template <typename T>
bool Contains(const std::array<T, kMaxChoices>& all, T value) {
  return std::find(all.begin(), all.end(), value) != all.end();
}

// A dispatcher was reached and said no. It knows more of its upstreams than
// this VM: the way past it is for those that reach none.
bool WasAnswered(const EntryRow& entry) {
  return std::any_of(entry.tried_shards.begin(), entry.tried_shards.end(),
                     [](ShardKey shard) { return shard != 0; });
}

bool IsDrained(const ServiceRow& service) {
  return !service.shards.empty() &&
         std::all_of(service.shards.begin(), service.shards.end(),
                     [](const ShardRow& shard) { return shard.drained; });
}

}  // namespace

Duration EntryCore::Spread(Duration duration) {
  const uint32_t percent = 100 + this->random(kSpreadPercent + 1);
  return duration * percent / 100;
}

bool EntryCore::IsUsable(TimePoint now, VmHandle handle) const {
  const VmRow* vm = FindVm(*this->view, handle);
  if (vm == nullptr || vm->state != VmState::kLive) {
    return false;
  }
  const LinkState& link = this->links[handle.index];
  return handle == this->view->self || link.vm != handle ||
         (!link.lost && link.avoided_until <= now);
}

// The first owner that can be used works for the shard. One that has gone
// silent is only passed over for another that has not.
VmHandle EntryCore::OwnerOf(TimePoint now,
                            const EntryRow& entry,
                            const ShardRow& shard) const {
  const Duration expected =
      this->beliefs.WaitAt(now, shard.key, entry.request.traffic_class, 1) +
      this->beliefs.ServiceTimeAt(shard.key);
  VmHandle silent;
  for (const VmHandle owner : shard.owners) {
    if (Contains(entry.tried_vms, owner) || !this->IsUsable(now, owner)) {
      continue;
    }
    if (!this->options.features.silence ||
        !this->silence.IsSilent(now, owner, expected)) {
      return owner;
    }
    silent = IsValid(silent) ? silent : owner;
  }
  return silent;
}

// A first choice may try a shard that seems to have no upstream, a later one
// may not: it would only be refused for the same reason. One in a drained data
// centre is none, whatever its last summary said: it was told before.
bool EntryCore::MayGo(TimePoint now,
                      const EntryRow& entry,
                      const ShardRow& shard) const {
  return !shard.drained && !Contains(entry.tried_shards, shard.key) &&
         (entry.choices == 0 || this->beliefs.IsUsable(now, shard.key));
}

bool EntryCore::HasOtherPlace(TimePoint now, const EntryRow& entry) const {
  const ServiceRow* service = FindService(*this->view, entry.request.service);
  return service != nullptr &&
         std::any_of(service->shards.begin(), service->shards.end(),
                     [&](const ShardRow& shard) {
                       return this->MayGo(now, entry, shard);
                     });
}

Duration EntryCore::CostOf(TimePoint now,
                           const ShardRow& shard,
                           TrafficClass traffic_class) const {
  if (!this->beliefs.IsUsable(now, shard.key)) {
    return kUnusableWait;
  }
  const bool near = shard.data_centre == this->view->own_data_centre;
  const Duration way = near ? Duration(0) : this->options.far_round_trip;
  return way + this->beliefs.WaitAt(now, shard.key, traffic_class,
                                    near ? 1 : this->near_vms);
}

// Two choices: of the shards in question two are drawn, and the cheaper is
// taken. Taking the cheapest of all would send every entry VM that has the
// same news to the same place.
Candidate EntryCore::Best(TimePoint now,
                          const ServiceRow& service,
                          const EntryRow& entry,
                          bool near) {
  std::array<Candidate, 2> drawn;
  uint32_t seen = 0;
  for (const ShardRow& shard : service.shards) {
    const bool is_near = shard.data_centre == this->view->own_data_centre;
    if (is_near != near || !this->MayGo(now, entry, shard)) {
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
          this->CostOf(now, shard, entry.request.traffic_class);
      drawn[place] = {&shard, owner, cost, near};
    }
  }
  if (drawn[0].cost == drawn[1].cost) {
    return drawn[this->random(2)];
  }
  return drawn[0].cost < drawn[1].cost ? drawn[0] : drawn[1];
}

Target EntryCore::ToDispatcher(TimePoint now,
                               const ServiceRow& service,
                               const EntryRow& entry) {
  const Candidate near = this->Best(now, service, entry, true);
  const Candidate far = this->Best(now, service, entry, false);
  const bool overflow = this->options.features.overflow;
  const bool by_cost =
      !this->options.features.hand_back || near.cost >= kUnusableWait;
  const bool go_far =
      near.shard == nullptr || (overflow && by_cost && far.cost < near.cost);
  const Candidate& chosen = go_far ? far : near;
  Target target;
  if (chosen.shard == nullptr) {
    return target;
  }
  target.kind = TargetKind::kDispatcher;
  target.vm = chosen.owner;
  target.shard = chosen.shard->key;
  const EntryFeatures& features = this->options.features;
  const bool may_move = overflow && features.hand_back && features.retry &&
                        entry.choices == 0 && chosen.near &&
                        far.shard != nullptr && entry.request.replayable;
  if (may_move) {
    target.max_wait = this->MaxWait(now, entry, far);
  }
  this->beliefs.OnSent(now, target.shard,
                       this->GuessOf(service, *chosen.shard));
  ++(chosen.near ? this->counts.near : this->counts.far);
  return target;
}

// What a shard that has told nothing yet is like: the slots that the view
// gives it, all free, and the service time of another shard.
ShardSummary EntryCore::GuessOf(const ServiceRow& service,
                                const ShardRow& shard) const {
  ShardSummary guess;
  if (!shard.upstreams.empty()) {
    const UpstreamRow& first = service.upstreams[shard.upstreams.front()];
    guess.slots = static_cast<uint16_t>(first.slots * shard.upstreams.size());
  }
  for (const ShardRow& other : service.shards) {
    guess.service_time =
        std::max(guess.service_time, this->beliefs.ServiceTimeAt(other.key));
  }
  return guess;
}

// The dispatcher knows its queue exactly, the entry VM only from the last
// answer. So the request goes to the near one, which hands it back at once if
// its wait is longer than what the entry VM expects elsewhere.
Duration EntryCore::MaxWait(TimePoint now,
                            const EntryRow& entry,
                            const Candidate& other) const {
  if (entry.request.traffic_class == TrafficClass::kBackground) {
    return entry.request.deadline == kNever
               ? Duration::max()
               : (entry.request.deadline - now) / kPatientPart;
  }
  return other.cost * kMovePercent / 100;
}

Target EntryCore::ToUpstream(TimePoint now,
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
    target = this->ToDispatcher(now, *service, *entry);
    if (target.kind == TargetKind::kCount && this->options.features.direct &&
        !WasAnswered(*entry)) {
      target = this->ToUpstream(now, *service, *entry);
    }
  }
  if (target.kind == TargetKind::kCount) {
    target.kind = TargetKind::kRefuse;
    const bool drained = service != nullptr && IsDrained(*service);
    const bool unknown = entry != nullptr && entry->unknown != Refusal::kNone;
    const Refusal own = drained ? Refusal::kDrained : Refusal::kNoUpstream;
    target.refusal = unknown ? entry->unknown : own;
    target.retry_after =
        this->Spread(drained ? kDrainedRetryAfter : kRetryAfter);
    ++this->counts.refusals[static_cast<size_t>(target.refusal)];
    return target;
  }
  ++entry->choices;
  target.sends = entry->sends;
  entry->target = target;
  this->BeginAttempt(now, *entry);
  return target;
}

// Only requests that are answered soon tell whether a dispatcher is silent.
void EntryCore::BeginAttempt(TimePoint now, EntryRow& entry) {
  const Target& target = entry.target;
  const TrafficClass traffic_class = entry.request.traffic_class;
  if (target.kind == TargetKind::kDirect) {
    this->direct.Begin(now, target.upstream);
    return;
  }
  entry.watched = target.vm != this->view->self &&
                  RingOf(traffic_class) == RingKind::kInteractive;
  if (entry.watched) {
    this->silence.OnSent(now, target.vm);
  }
}

}  // namespace basilsill
