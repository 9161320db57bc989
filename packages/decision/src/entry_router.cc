#include <algorithm>

#include "dispatch_tables.h"
#include "entry_core.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

constexpr Duration kRetryAfter = std::chrono::milliseconds(100);

// A VM that shuts down is passed over until the view says so.
constexpr Duration kAvoidTime = std::chrono::seconds(1);

constexpr size_t kBudgetReserve = 2 * limits::kMaxServices;

Retry ReasonOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kPeerUnreachable:
      return Retry::kPeerUnreachable;
    case Refusal::kPeerLost:
      return Retry::kPeerLost;
    case Refusal::kUpstreamConnectFailed:
      return Retry::kConnectFailed;
    case Refusal::kUpstreamShed:
      return Retry::kShed;
    case Refusal::kUpstreamDied:
      return Retry::kUpstreamDied;
    default:
      return Retry::kHandedBack;
  }
}

// Failures of upstreams are the dispatcher's to retry; it has tried, or its
// budget forbids it. Only on the direct path they are the entry's.
bool IsOfUpstream(Refusal refusal) {
  return refusal == Refusal::kUpstreamShed ||
         refusal == Refusal::kUpstreamConnectFailed ||
         refusal == Refusal::kUpstreamDied;
}

// Being handed back costs upstreams nothing, so it is no matter of budgets:
// from a dispatcher that can't help never, from a full queue once, as all
// queues may be full.
bool IsFree(Refusal refusal, uint32_t choices) {
  switch (refusal) {
    case Refusal::kNoUpstream:
    case Refusal::kShuttingDown:
    case Refusal::kPeerUnreachable:
      return true;
    case Refusal::kQueueFull:
    case Refusal::kDeadlineUnmeetable:
    case Refusal::kUpstreamRateLimit:
      return choices == 1;
    default:
      return false;
  }
}

// The shard can't serve it; its dispatcher is well, and knows that.
bool IsOfShard(Refusal refusal) {
  return refusal == Refusal::kNoUpstream || refusal == Refusal::kQueueFull ||
         refusal == Refusal::kDeadlineUnmeetable ||
         refusal == Refusal::kUpstreamRateLimit;
}

// The dispatcher's VM is the trouble, not the shard: its successor may help.
bool IsOfPeer(Refusal refusal) {
  return refusal == Refusal::kPeerUnreachable ||
         refusal == Refusal::kPeerLost || refusal == Refusal::kShuttingDown;
}

bool IsGranted(Retry reason) {
  return reason != Retry::kNone && !IsDenied(reason);
}

}  // namespace

std::unique_ptr<EntryRouter> EntryRouter::Create(const EntryOptions& options) {
  return std::make_unique<EntryCore>(options);
}

EntryCore::EntryCore(const EntryOptions& options)
    : options(options),
      entries(options.max_requests),
      direct(options.seed),
      random(options.seed) {
  this->budgets.reserve(kBudgetReserve);
  this->fleet_budgets.reserve(limits::kMaxServices);
}

void EntryCore::ApplyView(TimePoint now, const RoutingViewPtr& new_view) {
  this->began = std::min(this->began, now);
  this->view = new_view;
  this->teams.ApplyView(*new_view);
  const auto near = std::count_if(
      new_view->vms.begin(), new_view->vms.end(), [&new_view](const VmRow& vm) {
        return IsValid(vm.handle) && vm.state == VmState::kLive &&
               vm.data_centre == new_view->own_data_centre;
      });
  this->near_vms = std::max<uint32_t>(1, static_cast<uint32_t>(near));
  this->known_vms = CountVms(*new_view);
  if (this->links.size() < new_view->vms.size()) {
    this->links.resize(new_view->vms.size());
  }
}

void EntryCore::OnSummary(TimePoint now,
                          VmHandle from,
                          const ShardSummary& summary) {
  // Failure: a VM opens a link before this one knows it, and sends a summary
  // first. It has no row here, and the process would die at the look-up.
  if (IsValid(from)) {
    this->silence.OnWord(now, from);
  }
  this->beliefs.OnSummary(now, summary);
}

EntryCore::LinkState& EntryCore::LinkOf(VmHandle vm) {
  if (vm.index >= this->links.size()) {
    this->links.resize(vm.index + 1);
  }
  LinkState& link = this->links[vm.index];
  if (link.vm != vm) {
    link = LinkState();
    link.vm = vm;
  }
  return link;
}

void EntryCore::OnLink(TimePoint now, VmHandle vm, bool usable) {
  this->LinkOf(vm).lost = !usable;
  if (usable) {
    this->silence.OnWord(now, vm);
  }
}

void EntryCore::OnDrainSign(TimePoint now, UpstreamHandle upstream) {
  this->direct.OnDrainSign(now, upstream);
}

void EntryCore::OnRateLimit(TimePoint now,
                            UpstreamHandle upstream,
                            const AdvertisedRateLimit& told) {
  this->direct.OnRateLimit(now, upstream, told);
}

void EntryCore::Tick(TimePoint now) {
  this->beliefs.Tick(now);
}

const EntryCounters& EntryCore::counters() const {
  return this->counts;
}

Admission EntryCore::Admit(TimePoint now, const EntryRequest& request) {
  const TeamRow* team =
      this->view ? FindTeam(*this->view, request.team) : nullptr;
  if (team == nullptr) {
    return this->Reject(Refusal::kNoConfiguration, kRetryAfter);
  }
  if (this->options.quarantine) {
    const Duration refused =
        this->options.quarantine->RefusedFor(now, request.fingerprint);
    if (refused > Duration(0)) {
      return this->Reject(Refusal::kQuarantined, refused);
    }
  }
  if (this->entries.size() == this->entries.capacity()) {
    return this->Reject(Refusal::kMemoryLimit, kRetryAfter);
  }
  if (this->options.features.limits) {
    const Admission admission = this->teams.Enter(*team);
    if (admission.refusal != Refusal::kNone) {
      return this->Reject(admission.refusal, admission.retry_after);
    }
  }
  EntryRow row;
  row.request = request;
  row.admitted = now;
  this->CountRequest(now, request);
  ++this->counts.admitted;
  return {this->entries.Create(row), Refusal::kNone, Duration(0)};
}

Admission EntryCore::Reject(Refusal refusal, Duration retry_after) {
  ++this->counts.refusals[static_cast<size_t>(refusal)];
  return {{}, refusal, retry_after};
}

RatioBudget& EntryCore::BudgetOf(const EntryRequest& request) {
  const uint64_t key =
      uint64_t{request.service.index} << 32 | request.team.index;
  const auto [place, is_new] = this->budgets.try_emplace(key);
  if (is_new) {
    place->second = RatioBudget::Create(this->options.retry_budget);
  }
  return place->second;
}

// The fleet's bound is one of each service, whichever team asks.
RepeatBudget& EntryCore::FleetBudgetOf(const EntryRequest& request) {
  const auto [place, is_new] =
      this->fleet_budgets.try_emplace(request.service.index);
  if (is_new) {
    place->second = std::make_unique<RepeatBudget>();
  }
  return *place->second;
}

void EntryCore::CountRequest(TimePoint now, const EntryRequest& request) {
  this->BudgetOf(request).OnRequest(now, this->options.retry_budget);
  if (this->options.repeats) {
    this->FleetBudgetOf(request).OnRequest(now, *this->options.repeats);
  }
}

// Every VM that is known counts, also one that seems gone: VMs that do not see
// each other must not spend the same part of the fleet's slack.
bool EntryCore::TakeRetry(TimePoint now, const EntryRequest& request) {
  if (!this->options.repeats) {
    return this->BudgetOf(request).Take();
  }
  RepeatBudgetOptions part = *this->options.repeats;
  part.slack /= this->known_vms;
  return IsSettled(now, this->began, part.window) &&
         this->FleetBudgetOf(request).Take(now, part);
}

// The attempt that `Choose` began is over.
// @param refusal How it ended, kNone if it did not fail.
void EntryCore::EndAttempt(TimePoint now, EntryRow& entry, Refusal refusal) {
  const Target target = entry.target;
  if (entry.watched) {
    this->silence.OnDone(target.vm);
    entry.watched = false;
  }
  if (target.kind == TargetKind::kDirect) {
    if (refusal == Refusal::kUpstreamDied) {
      this->TellCrash(now, entry);
    }
    this->direct.End(now, target.upstream, refusal);
    entry.failed_upstream = target.upstream;
  } else if (target.kind == TargetKind::kDispatcher && IsOfPeer(refusal)) {
    entry.tried_vms[entry.choices - 1] = target.vm;
  } else if (target.kind == TargetKind::kDispatcher) {
    entry.tried_shards[entry.choices - 1] = target.shard;
  }
  if (refusal == Refusal::kShuttingDown && IsValid(target.vm)) {
    this->LinkOf(target.vm).avoided_until = now + kAvoidTime;
  }
  entry.target.kind = TargetKind::kCount;
}

// An upstream died on the direct path: what this worker itself has in flight
// there is suspect; of others it knows nothing.
void EntryCore::TellCrash(TimePoint now, const EntryRow& entry) {
  const ServiceRow* service = FindService(*this->view, entry.request.service);
  if (!this->options.quarantine || service == nullptr) {
    return;
  }
  const UpstreamHandle dead = entry.target.upstream;
  const auto row = std::find_if(
      service->upstreams.begin(), service->upstreams.end(),
      [dead](const UpstreamRow& upstream) { return upstream.handle == dead; });
  if (row == service->upstreams.end()) {
    return;
  }
  std::vector<Fingerprint> suspects;
  this->entries.ForEach([&](EntryHandle, const EntryRow& other) {
    if (other.target.kind == TargetKind::kDirect &&
        other.target.upstream == dead) {
      suspects.push_back(other.request.fingerprint);
    }
  });
  this->options.quarantine->OnCrash(now, KeyOf(row->endpoint), suspects);
}

RetryDecision EntryCore::OnRefused(TimePoint now,
                                   EntryHandle handle,
                                   Refusal refusal,
                                   uint8_t sends) {
  RetryDecision decision;
  decision.refusal = refusal;
  EntryRow* entry = this->entries.Find(handle);
  if (entry == nullptr) {
    return decision;
  }
  if (InfoOf(refusal).promise == Promise::kUnknown) {
    entry->unknown = refusal;
  }
  const bool is_direct = entry->target.kind == TargetKind::kDirect;
  // Nobody is left to tell of what a lost peer sent: once at least, perhaps.
  entry->sends += refusal == Refusal::kPeerLost ? 1 : sends;
  this->EndAttempt(now, *entry, refusal);
  decision.reason = this->JudgeRetry(now, *entry, refusal, is_direct);
  decision.retry = IsGranted(decision.reason);
  if (decision.reason != Retry::kNone) {
    ++this->counts.retries[static_cast<size_t>(decision.reason)];
  }
  if (!decision.retry) {
    const bool may_have_run = entry->unknown != Refusal::kNone;
    decision.refusal = may_have_run ? entry->unknown : refusal;
    ++this->counts.refusals[static_cast<size_t>(decision.refusal)];
  }
  return decision;
}

Retry EntryCore::JudgeRetry(TimePoint now,
                            const EntryRow& entry,
                            Refusal refusal,
                            bool is_direct) {
  const bool own = is_direct || !IsOfUpstream(refusal);
  const bool may_have_run = InfoOf(refusal).promise == Promise::kUnknown;
  const bool known = InfoOf(refusal).retryable ||
                     refusal == Refusal::kPeerLost ||
                     refusal == Refusal::kUpstreamDied;
  if (!this->options.features.retry || !own || !known ||
      !entry.request.replayable || entry.choices >= kMaxChoices) {
    return Retry::kNone;
  }
  if (may_have_run && !entry.request.idempotent) {
    return Retry::kDeniedNotIdempotent;
  }
  if (entry.request.deadline <= now) {
    return Retry::kDeniedDeadline;
  }
  if (IsOfShard(refusal) && !this->HasOtherPlace(now, entry)) {
    return Retry::kNone;
  }
  if (!IsFree(refusal, entry.choices) && !this->TakeRetry(now, entry.request)) {
    return Retry::kDeniedBudget;
  }
  return ReasonOf(refusal);
}

void EntryCore::Finish(TimePoint now, EntryHandle handle) {
  EntryRow* entry = this->entries.Find(handle);
  if (entry == nullptr) {
    return;
  }
  this->EndAttempt(now, *entry, Refusal::kNone);
  if (this->options.features.limits) {
    this->teams.Leave(entry->request.team, now - entry->admitted);
  }
  this->entries.Destroy(handle);
}

}  // namespace basilsill
