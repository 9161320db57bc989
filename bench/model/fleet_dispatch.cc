#include "model/fleet_core.h"

/// The dispatcher side of every VM of the fleet.

namespace basilsill::bench {
namespace {

/// Bytes of a shard summary on an answer between VMs.
constexpr size_t kSummaryBytes = 40;

}  // namespace

void Fleet::DropRequestsOf(size_t vm, size_t peer) {
  for (RequestId id = 0; id < this->tickets.size(); ++id) {
    const Ticket& ticket = this->tickets[id];
    if (ticket.forwarded && ticket.dispatcher == vm &&
        this->EntryVm(id) == peer) {
      this->nodes[vm].dispatcher->Cancel(this->world.now(), ticket.dispatch);
    }
  }
  this->RunActions(vm);
}

void Fleet::Offer(size_t vm, const DispatchRequest& request) {
  const size_t from = this->EntryVm(RequestOf(request.cookie));
  if (!this->world.IsAlive(vm) || this->nodes[vm].lost_links[from]) {
    return;
  }
  const DispatchHandle handle =
      this->nodes[vm].dispatcher->Offer(this->world.now(), request);
  Ticket& ticket = this->TicketOf(RequestOf(request.cookie));
  if (ticket.forwards == ForwardsOf(request.cookie)) {
    ticket.dispatch = handle;
  }
  this->RunActions(vm);
}

void Fleet::RunActions(size_t vm) {
  Dispatcher& dispatcher = *this->nodes[vm].dispatcher;
  if (dispatcher.actions().empty()) {
    return;
  }
  // An action may lead to a call back into this dispatcher.
  const std::vector<DispatchAction> actions = dispatcher.actions();
  dispatcher.ClearActions();
  for (const DispatchAction& action : actions) {
    this->RunAction(vm, action);
  }
}

void Fleet::RunAction(size_t vm, const DispatchAction& action) {
  switch (action.kind) {
    case DispatchActionKind::kStart:
      this->StartAttempt(vm, action);
      break;
    case DispatchActionKind::kRefuse:
      this->SendReply(vm, action.cookie,
                      RefusedWith(action.refusal, action.retry_after),
                      action.sends);
      break;
    default:
      this->world.CancelAttempt(
          this->nodes[vm].attempts.at(action.attempt.index).number);
  }
}

void Fleet::StartAttempt(size_t vm, const DispatchAction& action) {
  const RequestId id = RequestOf(action.cookie);
  this->world.CountRetry(id, action.retry);
  std::vector<Node::Attempt>& attempts = this->nodes[vm].attempts;
  const AttemptHandle handle = action.attempt;
  if (handle.index >= attempts.size()) {
    attempts.resize(handle.index + 1);
  }
  attempts[handle.index].handle = handle;
  attempts[handle.index].number = this->world.StartAttempt(
      id, vm, action.upstream.index,
      [this, vm, cookie = action.cookie, handle](JobEnd end) {
        this->OnAttemptEnd(vm, cookie, handle, end);
      });
}

void Fleet::OnAttemptEnd(size_t vm,
                         uint64_t cookie,
                         AttemptHandle attempt,
                         JobEnd end) {
  Dispatcher& dispatcher = *this->nodes[vm].dispatcher;
  const AttemptReport report = ReportOf(end);
  if (report.status != 0) {
    dispatcher.OnFirstByte(this->world.now(), attempt);
  }
  const bool goes_on =
      dispatcher.OnAttemptEnd(this->world.now(), attempt, report);
  if (!goes_on) {
    const Refusal refusal = RefusalOf(report.end);
    const OutcomeKind kind = report.status == kStatusOk ? OutcomeKind::kAnswered
                                                        : OutcomeKind::kFailed;
    this->SendReply(vm, cookie,
                    refusal == Refusal::kNone
                        ? Outcome{kind}
                        : RefusedWith(refusal, Duration{0}),
                    0);
  }
  this->RunActions(vm);
}

void Fleet::SendReply(size_t vm,
                      uint64_t cookie,
                      const Outcome& outcome,
                      uint8_t sends) {
  const RequestId id = RequestOf(cookie);
  const size_t to = this->EntryVm(id);
  Reply reply{cookie, outcome, {}, sends};
  reply.summary = this->nodes[vm].dispatcher->Summarize(
      this->world.now(), this->TicketOf(id).shard);
  const Duration way = vm == to ? Duration{0} : this->world.VmToVm(vm, to);
  this->world.CountCarried(vm == to ? 0 : kSummaryBytes);
  this->world.simulation().After(
      way, [this, vm, reply] { this->OnReply(vm, reply); });
}

}  // namespace basilsill::bench
