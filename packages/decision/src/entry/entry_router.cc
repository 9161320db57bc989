#include <algorithm>
#include <utility>

#include "dispatch_tables.h"
#include "entry_core.h"
#include "upstream_choice.h"

namespace basilsill {
namespace {

// Pause before a lost link to a VM is opened again, which costs the request
// that waits for it up to the time for connecting. It doubles up to the
// maximum.
//
// Failure: connections between VMs are reset, and the VMs at their other ends
// get no requests of this VM for as long as they run, though they work.
constexpr Duration kMinLostPause = std::chrono::milliseconds(250);
constexpr Duration kMaxLostPause = std::chrono::seconds(2);

constexpr Duration kRetryAfter = std::chrono::milliseconds(100);

// How long a VM that shuts down is avoided. The view shows its state by then.
constexpr Duration kShutdownAvoidTime = std::chrono::seconds(1);

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

// Upstream failures are retried by the dispatcher; if it refuses the request,
// it has retried already or its budget forbids it. The entry side only retries
// them on the direct path.
bool IsUpstreamFailure(Refusal refusal) {
  return refusal == Refusal::kUpstreamShed ||
         refusal == Refusal::kUpstreamConnectFailed ||
         refusal == Refusal::kUpstreamDied;
}

// A request that was handed back has cost upstreams nothing, so its retry is
// not charged to a budget: always after a dispatcher that can't help, but only
// once after a full queue, since all queues may be full.
bool NeedsNoBudget(Refusal refusal, uint32_t choices) {
  switch (refusal) {
    case Refusal::kNoUpstream:
    case Refusal::kShuttingDown:
    case Refusal::kPeerUnreachable:
    case Refusal::kUpstreamsUnreachable:
      return true;
    case Refusal::kQueueFull:
    case Refusal::kDeadlineUnmeetable:
    case Refusal::kUpstreamRateLimit:
      return choices == 1;
    default:
      return false;
  }
}

// The shard can't serve the request, though its dispatcher is working.
bool IsShardRefusal(Refusal refusal) {
  return refusal == Refusal::kNoUpstream || refusal == Refusal::kQueueFull ||
         refusal == Refusal::kDeadlineUnmeetable ||
         refusal == Refusal::kUpstreamRateLimit;
}

// The dispatcher's VM failed, not the shard: the shard's next owner may serve
// the request.
bool IsPeerFailure(Refusal refusal) {
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
      direct(options.seed,
             options.notices ? options.notices : UpstreamNotices::Create({})),
      random(options.seed) {
  this->budgets.reserve(kBudgetReserve);
  this->fleet_budgets.reserve(limits::kMaxServices);
}

void EntryCore::ApplyView(TimePoint now, const RoutingViewPtr& new_view) {
  this->first_view_at = std::min(this->first_view_at, now);
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
  // Failure: a VM opens a link before this VM has it in its view, and sends a
  // summary first. Without this check, the process would crash when it looks up
  // the unknown VM.
  if (IsValid(from)) {
    this->silence.OnReceived(now, from);
  }
  if (summary.slots > 0) {
    this->unreachable.OnReached(from, summary.shard);
  }
  this->shard_estimates.OnSummary(now, summary);
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
  LinkState& link = this->LinkOf(vm);
  if (usable) {
    link.lost_until = TimePoint();
    link.lost_pause = Duration(0);
    this->silence.OnReceived(now, vm);
    return;
  }
  link.lost_pause =
      std::clamp(2 * link.lost_pause, kMinLostPause, kMaxLostPause);
  link.lost_until = now + link.lost_pause;
}

void EntryCore::OnRateLimit(TimePoint now,
                            UpstreamHandle upstream,
                            const AdvertisedRateLimit& advertised) {
  this->direct.OnRateLimit(now, upstream, advertised);
}

void EntryCore::Tick(TimePoint now) {
  this->shard_estimates.Tick(now);
  this->unreachable.Tick(now);
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

// The fleet's bound applies to a service as a whole, for all teams together.
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

// Every VM in the view counts, even one that seems to be gone: VMs that can't
// see each other must not spend the same part of the fleet's slack.
bool EntryCore::TakeRetry(TimePoint now, const EntryRequest& request) {
  if (!this->options.repeats) {
    return this->BudgetOf(request).Take();
  }
  RepeatBudgetOptions part = *this->options.repeats;
  part.slack /= this->known_vms;
  return IsSettled(now, this->first_view_at, part.window) &&
         this->FleetBudgetOf(request).Take(now, part);
}

// The attempt that `Choose` began has ended.
// @param refusal How it ended; kNone if it did not fail.
void EntryCore::EndAttempt(TimePoint now, EntryRow& entry, Refusal refusal) {
  const Target target = entry.target;
  if (entry.counts_for_silence) {
    this->silence.OnDone(target.vm);
    entry.counts_for_silence = false;
  }
  if (target.kind == TargetKind::kDirect) {
    if (refusal == Refusal::kUpstreamDied) {
      this->ReportCrash(now, entry);
    }
    this->direct.End(now, target.upstream, refusal);
    entry.failed_upstream = target.upstream;
  } else if (target.kind == TargetKind::kDispatcher && IsPeerFailure(refusal)) {
    entry.tried_vms[entry.choices - 1] = target.vm;
  } else if (refusal == Refusal::kUpstreamsUnreachable) {
    // Other owners of the shard may reach its upstreams.
    this->unreachable.OnRefused(now, target.vm, target.shard);
    this->RememberLost(entry);
    if (entry.detours < kMaxDetours) {
      ++entry.detours;
      --entry.choices;
    }
  } else if (target.kind == TargetKind::kDispatcher) {
    entry.tried_shards[entry.choices - 1] = target.shard;
  }
  if (refusal == Refusal::kShuttingDown && IsValid(target.vm)) {
    this->LinkOf(target.vm).avoided_until = now + kShutdownAvoidTime;
  }
  entry.target.kind = TargetKind::kCount;
}

// Records the data centre of the shard whose upstreams could not be connected
// to. The latest ones are kept.
void EntryCore::RememberLost(EntryRow& entry) const {
  const ServiceRow* service = FindService(*this->view, entry.request.service);
  const ShardRow* shard =
      service != nullptr ? FindShard(*service, entry.target.shard) : nullptr;
  if (shard == nullptr) {
    return;
  }
  const uint8_t place = PlaceOf(shard->data_centre);
  if (entry.lost_data_centres[0] != place) {
    entry.lost_data_centres[1] =
        std::exchange(entry.lost_data_centres[0], place);
  }
}

// An upstream died on the direct path. The requests that this worker has in
// flight there become suspects; those of other workers are not known here.
void EntryCore::ReportCrash(TimePoint now, const EntryRow& entry) {
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
    entry->uncertain_refusal = refusal;
  }
  const bool is_direct = entry->target.kind == TargetKind::kDirect;
  // A lost peer can't report how often it sent the request, so one send is
  // assumed.
  entry->sends += refusal == Refusal::kPeerLost ? 1 : sends;
  this->EndAttempt(now, *entry, refusal);
  decision.reason = this->DecideRetry(now, *entry, refusal, is_direct);
  decision.retry = IsGranted(decision.reason);
  const bool may_have_run = entry->uncertain_refusal != Refusal::kNone;
  decision.refusal = may_have_run ? entry->uncertain_refusal : refusal;
  if (decision.reason != Retry::kNone) {
    ++this->counts.retries[static_cast<size_t>(decision.reason)];
  }
  if (!decision.retry) {
    ++this->counts.refusals[static_cast<size_t>(decision.refusal)];
  }
  return decision;
}

Retry EntryCore::DecideRetry(TimePoint now,
                             const EntryRow& entry,
                             Refusal refusal,
                             bool is_direct) {
  const bool is_retryable_here = is_direct || !IsUpstreamFailure(refusal);
  const bool may_have_run = InfoOf(refusal).promise == Promise::kUnknown;
  const bool allows_retry = InfoOf(refusal).retryable ||
                            refusal == Refusal::kPeerLost ||
                            refusal == Refusal::kUpstreamDied;
  if (!this->options.features.retry || !is_retryable_here || !allows_retry ||
      !entry.request.replayable || entry.choices >= kMaxChoices) {
    return Retry::kNone;
  }
  if (may_have_run && !entry.request.idempotent) {
    return Retry::kDeniedNotIdempotent;
  }
  if (entry.request.deadline <= now) {
    return Retry::kDeniedDeadline;
  }
  if (IsShardRefusal(refusal) && !this->HasOtherShard(now, entry)) {
    return Retry::kNone;
  }
  if (!NeedsNoBudget(refusal, entry.choices) &&
      !this->TakeRetry(now, entry.request)) {
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
