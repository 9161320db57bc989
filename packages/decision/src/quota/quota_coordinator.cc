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
  for (const VmHandle vm : this->candidates) {
    this->vms_by_name[view.vms[vm.index].name] = vm;
  }
  std::vector<VmHandle> siblings = this->candidates;
  std::erase(siblings, this->self);
  this->lender_choice.SetCandidates(this->candidates);
  this->lender.SetOtherLenders(others, std::move(siblings));
}

bool QuotaCoordinator::IsFirstCandidate() const {
  return !this->candidates.empty() && this->candidates.front() == this->self;
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
    this->own_lease.OnAsked();
  }
  this->Lend(now, {from, 0}, request);
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
    uint64_t end) {
  this->own_lease.OnRead(now, record, end);
  this->AskHolder(record);
}

// Failure: the lender's VM restarts and is not the first candidate any more.
// Its new process could lend at once, but does not know that it is needed, and
// the first candidate has to see the record unchanged for a whole term.
void QuotaCoordinator::AskHolder(
    const std::optional<QuotaLeaseRecord>& record) {
  if (!record || this->is_lending) {
    return;
  }
  const auto holder = this->vms_by_name.find(record->holder);
  if (holder != this->vms_by_name.end() && holder->second != this->self) {
    this->AskForTakeover(holder->second);
  }
}

void QuotaCoordinator::AskForTakeover(VmHandle vm) {
  QuotaRequest empty_request;
  empty_request.of_lender = true;
  this->lender.Enqueue({{vm, 0}, std::move(empty_request)});
}

void QuotaCoordinator::OnLeaseWritten(LeaseTime now, uint64_t end) {
  this->own_lease.OnWritten(now, end);
  this->SyncWithLease(now);
}

// Another candidate must see the same record for a whole term before it may
// lend. So an empty request makes it start observing the record as soon as this
// VM may fail to renew its lease.
void QuotaCoordinator::OnLeaseFailed(LeaseTime now) {
  this->own_lease.OnFailed(now);
  for (const VmHandle vm : this->candidates) {
    if (vm != this->self) {
      this->AskForTakeover(vm);
    }
  }
}

void QuotaCoordinator::Leave(LeaseTime now) {
  this->own_lease.GiveUp();
  this->SyncWithLease(now);
}

}  // namespace basilsill
