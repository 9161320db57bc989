#include "basilsill/decision/quota_coordinator.h"

#include <algorithm>
#include <utility>

#include "basilsill/decision/propagation_plan.h"

namespace basilsill {
namespace {

// The high bits of a request's number identify the requester on this VM: 0 for
// its lender, otherwise the worker plus one.
constexpr unsigned kWorkerShift = 48;
constexpr uint64_t kNumberMask = (uint64_t{1} << kWorkerShift) - 1;

// Number of an answer to no request: its sender has begun to lend this data
// centre's share, and is no candidate.
constexpr uint64_t kAnnouncement = 0;

// Number of VMs beside the candidates that are told of a lease that may not be
// renewed: one more with each call that fails, up to this many.
constexpr size_t kMaxOthersTold = 4;

uint64_t NumberOf(uint16_t worker, uint64_t number) {
  return (uint64_t{worker} + 1) << kWorkerShift | (number & kNumberMask);
}

bool HasQuota(const TeamRow& team) {
  return IsValid(team.handle) && team.limits.requests_per_second > 0;
}

}  // namespace

QuotaCoordinator::QuotaCoordinator(QuotaCoordinatorOptions given)
    : options(std::move(given)),
      own_lease(this->options.vm,
                this->options.incarnation,
                this->options.started) {
  std::vector<std::string>& shares = this->options.shares;
  std::sort(shares.begin(), shares.end());
  const auto own =
      std::find(shares.begin(), shares.end(), this->options.data_centre);
  this->own_share = static_cast<uint16_t>(own - shares.begin());
}

void QuotaCoordinator::ApplyView(LeaseTime now, const RoutingView& view) {
  this->self = view.self;
  // VMs that seem to be gone count as well: they may still lend without being
  // visible from here.
  const size_t shares =
      this->HasShares() ? this->options.shares.size() : CountVms(view);
  this->part = 1.0 / static_cast<double>(shares);
  this->lender.SetTeams(now, view.teams, this->part);
  if (!this->HasShares()) {
    this->lender_choice.SetCandidates({this->self});
    if (!this->lender.is_lending()) {
      this->lender.BeginAt(now, {});
    }
    return;
  }
  this->SetCandidates(view);
  // Takes the lease ahead of the first request, so that the request need not
  // wait for it.
  const bool has_quotas =
      std::any_of(view.teams.begin(), view.teams.end(), &HasQuota);
  if (has_quotas && this->IsFirstCandidate()) {
    this->own_lease.OnNeeded(now, true);
  }
}

void QuotaCoordinator::SetCandidates(const RoutingView& view) {
  std::vector<std::vector<VmHandle>> others;
  for (const std::string& name : this->options.shares) {
    std::vector<VmHandle> possible_lenders;
    for (const DataCentreRow& row : view.data_centres) {
      if (IsValid(row.handle) && row.name == name) {
        possible_lenders = RelaysOf(view.vms, row.handle);
      }
    }
    if (name == this->options.data_centre) {
      this->candidates = std::move(possible_lenders);
    } else {
      others.push_back(std::move(possible_lenders));
    }
  }
  this->vms_by_name.clear();
  this->others.clear();
  for (const VmHandle vm : RankLiveVms(view.vms)) {
    const VmRow& row = view.vms[vm.index];
    if (row.data_centre != view.vms[this->self.index].data_centre) {
      continue;
    }
    this->vms_by_name[row.name] = vm;
    if (std::find(this->candidates.begin(), this->candidates.end(), vm) ==
        this->candidates.end()) {
      this->others.push_back(vm);
    }
  }
  this->lender_choice.SetCandidates(this->candidates);
  this->lender.SetOtherLenders(others, this->Siblings());
}

// A guest lender that is gone is passed over once it answers that it does not
// lend, or can't be reached.
std::vector<VmHandle> QuotaCoordinator::Siblings() const {
  std::vector<VmHandle> siblings;
  if (IsValid(this->guest_lender)) {
    siblings.push_back(this->guest_lender);
  }
  siblings.insert(siblings.end(), this->candidates.begin(),
                  this->candidates.end());
  std::erase(siblings, this->self);
  return siblings;
}

void QuotaCoordinator::SetGuestLender(VmHandle vm) {
  this->guest_lender = vm;
  this->lender.SetSiblings(this->Siblings());
}

bool QuotaCoordinator::IsFirstCandidate() const {
  return !this->candidates.empty() && this->candidates.front() == this->self;
}

bool QuotaCoordinator::IsCandidate() const {
  return std::find(this->candidates.begin(), this->candidates.end(),
                   this->self) != this->candidates.end();
}

void QuotaCoordinator::OnWorkerRequest(LeaseTime now,
                                       uint16_t worker,
                                       QuotaRequest request) {
  LastRequest& last = this->last_requests[worker];
  if (!last.answered) {
    this->lender_choice.PassOver(last.vm);
  }
  const VmHandle vm = this->lender_choice.current();
  last = {vm, request.number, false};
  if (!IsValid(vm)) {
    this->Decline(worker, request.number);
    return;
  }
  if (vm == this->self) {
    this->Lend(now, {{}, worker}, request);
    return;
  }
  request.number = NumberOf(worker, request.number);
  this->lender.Enqueue({{vm, 0}, std::move(request)});
}

void QuotaCoordinator::Decline(uint16_t worker, uint64_t number) {
  this->last_requests[worker].answered = true;
  QuotaAnswer answer;
  answer.number = number & kNumberMask;
  this->lender.Enqueue({{{}, worker}, answer});
}

void QuotaCoordinator::OnUnsent(LeaseTime now,
                                const OutgoingQuotaMessage& unsent) {
  const auto* request = std::get_if<QuotaRequest>(&unsent.message);
  if (request == nullptr) {
    return;
  }
  QuotaAnswer answer;
  answer.number = request->number;
  this->OnAnswer(now, unsent.to.vm, answer);
}

// A VM may open a link before this VM has it in its view. Such a VM can't be
// answered.
void QuotaCoordinator::OnRequest(LeaseTime now,
                                 VmHandle from,
                                 const QuotaRequest& request) {
  if (!IsValid(from)) {
    return;
  }
  const bool is_empty = request.wants.empty() && request.returns.empty();
  if (this->HasShares() && request.of_lender && is_empty) {
    this->OnLeaseNews(now, request);
  }
  this->Lend(now, {from, 0}, request);
}

void QuotaCoordinator::OnLeaseNews(LeaseTime now, const QuotaRequest& request) {
  this->own_lease.OnAsked();
  if (request.lease_end.offset == 0) {
    return;
  }
  if (request.lease_left > Duration(0)) {
    this->own_lease.OnPromise(now, request.lease_end, request.lease_left);
    return;
  }
  this->own_lease.OnNewerRecord(request.lease_end);
  // A candidate that reaches the store asks for the share: entry VMs know the
  // candidates, and reach other lenders only by way of these.
  if (this->own_lease.Holds(now) && !this->IsCandidate()) {
    this->own_lease.Release();
  }
}

void QuotaCoordinator::Lend(LeaseTime now,
                            const QuotaRequester& from,
                            const QuotaRequest& request) {
  if (this->HasShares()) {
    this->own_lease.OnNeeded(now, this->IsFirstCandidate());
    this->SyncWithLease(now);
  }
  const bool is_own = !IsValid(from.vm);
  if (is_own) {
    this->last_requests[from.worker].answered = true;
  }
  this->lender.OnRequest(now, from, request);
}

void QuotaCoordinator::OnAnswer(LeaseTime now,
                                VmHandle from,
                                const QuotaAnswer& answer) {
  const uint64_t requester = answer.number >> kWorkerShift;
  if (answer.number == kAnnouncement && answer.lends) {
    this->SetGuestLender(from);
    return;
  }
  if (!answer.lends && from == this->guest_lender) {
    this->SetGuestLender({});
  }
  if (requester == 0) {
    this->lender.OnAnswer(now, from, answer);
    return;
  }
  const auto worker = static_cast<uint16_t>(requester - 1);
  QuotaAnswer own = answer;
  own.number = answer.number & kNumberMask;
  LastRequest& last = this->last_requests[worker];
  if (last.vm == from && (last.number & kNumberMask) == own.number) {
    last.answered = true;
  }
  if (!answer.lends) {
    this->lender_choice.PassOver(from);
  }
  this->lender.Enqueue({{{}, worker}, std::move(own)});
}

void QuotaCoordinator::Tick(LeaseTime now) {
  this->lender.Tick(now);
  if (this->HasShares()) {
    this->SyncWithLease(now);
  }
}

// Lends exactly as long as the lease is valid.
void QuotaCoordinator::SyncWithLease(LeaseTime now) {
  const bool holds = this->own_lease.Holds(now);
  if (holds && !this->is_lending) {
    this->BeginToLend(now);
  } else if (!holds) {
    this->lender.End();
  }
  this->is_lending = holds;
}

void QuotaCoordinator::BeginToLend(LeaseTime now) {
  const QuotaShareHistory& history = this->own_lease.history();
  if (!this->IsCandidate()) {
    this->Announce();
  }
  this->last_start.reset();
  if (history.kind == QuotaShareHistory::Kind::kOwn) {
    this->lender.Begin();
  } else if (history.kind == QuotaShareHistory::Kind::kUnused) {
    this->lender.BeginFull(now);
  } else {
    this->last_start =
        StartOf(now - history.unlent_since, history.recent_starts,
                this->options.start_allowance, this->part);
    this->lender.BeginAt(now, *this->last_start);
  }
}

void QuotaCoordinator::Announce() {
  for (const VmHandle vm : this->candidates) {
    QuotaAnswer announcement;
    announcement.number = kAnnouncement;
    announcement.lends = true;
    this->lender.Enqueue({{vm, 0}, std::move(announcement)});
  }
}

QuotaLeaseCall QuotaCoordinator::NextLeaseCall(LeaseTime now) {
  if (!this->HasShares()) {
    return QuotaLeaseCall::kNone;
  }
  const QuotaLeaseCall call = this->own_lease.NextCall(now);
  this->SyncWithLease(now);
  return call;
}

void QuotaCoordinator::OnLeaseRead(
    LeaseTime now,
    const std::optional<QuotaLeaseRecord>& record,
    LogPosition end,
    LeaseTime era_since) {
  this->own_lease.OnRead(now, record, end, era_since);
  this->failed_calls = 0;
  this->AskHolder(now, record);
}

// Failure: the lender's VM restarts and is not the first candidate any more.
// Its new process could lend at once, but does not know that it is needed, and
// the first candidate has to see the record unchanged for a whole term.
void QuotaCoordinator::AskHolder(
    LeaseTime now,
    const std::optional<QuotaLeaseRecord>& record) {
  if (!record || this->is_lending) {
    return;
  }
  const auto holder = this->vms_by_name.find(record->holder);
  if (holder != this->vms_by_name.end() && holder->second != this->self) {
    this->AskForTakeover(now, holder->second);
  }
}

// While this VM holds the lease, it tells for how long: the other one need not
// see the record for a whole term then.
void QuotaCoordinator::AskForTakeover(LeaseTime now, VmHandle vm) {
  QuotaRequest empty_request;
  empty_request.of_lender = true;
  empty_request.lease_left = this->own_lease.TimeLeft(now);
  // A VM whose calls fail does not know the newest record unless it wrote it.
  if (this->failed_calls == 0 || empty_request.lease_left > Duration(0)) {
    empty_request.lease_end = this->own_lease.end();
  }
  this->lender.Enqueue({{vm, 0}, std::move(empty_request)});
}

void QuotaCoordinator::OnLeaseWritten(LeaseTime now, LogPosition end) {
  this->own_lease.OnWritten(now, end);
  this->failed_calls = 0;
  this->SyncWithLease(now);
  if (this->own_lease.record().holder.empty()) {
    for (const VmHandle vm : this->candidates) {
      this->AskForTakeover(now, vm);
    }
  }
}

// Another VM must see the same record until the lease of its holder has ended.
// So it is told as soon as this VM may fail to renew its lease. A holder tells
// VMs beside the candidates, too, since these may all have lost the store.
void QuotaCoordinator::OnLeaseFailed(LeaseTime now) {
  this->own_lease.OnFailed(now);
  ++this->failed_calls;
  for (const VmHandle vm : this->candidates) {
    if (vm != this->self) {
      this->AskForTakeover(now, vm);
    }
  }
  if (!this->own_lease.Holds(now)) {
    return;
  }
  const size_t told =
      std::min({this->failed_calls, kMaxOthersTold, this->others.size()});
  for (size_t i = 0; i < told; ++i) {
    this->AskForTakeover(now, this->others[i]);
  }
}

void QuotaCoordinator::Leave(LeaseTime now) {
  this->own_lease.GiveUp();
  this->SyncWithLease(now);
}

}  // namespace basilsill
