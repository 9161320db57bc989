#include "model/fleet_core.h"

/// Dispatcher side of the simulated VMs.

namespace basilsill::bench {
namespace {

/// Bytes of the shard summary on each answer between VMs.
constexpr size_t kSummaryBytes = 40;

}  // namespace

void FleetStrategy::CancelRequestsOf(size_t vm, size_t peer) {
  for (RequestId id = 0; id < this->routed_requests.size(); ++id) {
    const RoutedRequest& routed = this->routed_requests[id];
    if (routed.forwarded && routed.dispatcher == vm &&
        this->EntryVm(id) == peer) {
      this->nodes[vm].dispatcher->Cancel(this->cluster.now(), routed.dispatch);
    }
  }
  this->RunActions(vm);
}

void FleetStrategy::Offer(size_t vm, const DispatchRequest& request) {
  const size_t from = this->EntryVm(RequestOf(request.cookie));
  if (!this->cluster.IsAlive(vm) || this->nodes[vm].lost_links[from]) {
    return;
  }
  const DispatchHandle handle =
      this->nodes[vm].dispatcher->Offer(this->cluster.now(), request);
  RoutedRequest& routed = this->RoutedRequestOf(RequestOf(request.cookie));
  if (routed.forwards == ForwardsOf(request.cookie)) {
    routed.dispatch = handle;
  }
  this->RunActions(vm);
}

void FleetStrategy::RunActions(size_t vm) {
  Dispatcher& dispatcher = *this->nodes[vm].dispatcher;
  if (dispatcher.actions().empty()) {
    return;
  }
  // Copied, because an action may call back into this dispatcher.
  const std::vector<DispatchAction> actions = dispatcher.actions();
  dispatcher.ClearActions();
  for (const DispatchAction& action : actions) {
    this->RunAction(vm, action);
  }
}

void FleetStrategy::RunAction(size_t vm, const DispatchAction& action) {
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
      this->cluster.CancelAttempt(
          this->nodes[vm].attempts.at(action.attempt.index).number);
  }
}

void FleetStrategy::StartAttempt(size_t vm, const DispatchAction& action) {
  const RequestId id = RequestOf(action.cookie);
  this->cluster.CountRetry(id, action.retry);
  std::vector<Node::Attempt>& attempts = this->nodes[vm].attempts;
  const AttemptHandle handle = action.attempt;
  if (handle.index >= attempts.size()) {
    attempts.resize(handle.index + 1);
  }
  attempts[handle.index].handle = handle;
  attempts[handle.index].number = this->cluster.StartAttempt(
      id, vm, action.upstream.index,
      [this, vm, cookie = action.cookie, handle,
       instance = action.upstream.index](JobEnd end) {
        this->TellNotice(vm, RequestOf(cookie), instance, end);
        this->OnAttemptEnd(vm, cookie, handle, ReportOf(instance, end));
      });
}

void FleetStrategy::TellNotice(size_t vm,
                               RequestId id,
                               size_t instance,
                               JobEnd end) {
  const auto service = static_cast<uint32_t>(this->cluster.flow_of(id).service);
  this->nodes[vm].dispatcher->OnNotice(this->cluster.now(), {service, 0},
                                       {static_cast<uint32_t>(instance), 0},
                                       bench::ReportOf(end).notice);
}

AttemptReport FleetStrategy::ReportOf(size_t instance, JobEnd end) {
  AttemptReport report = bench::ReportOf(end);
  if (this->cluster.current_scenario().reports_load && report.status != 0) {
    report.load = this->cluster.upstreams().LoadOf(instance);
  }
  return report;
}

void FleetStrategy::OnAttemptEnd(size_t vm,
                                 uint64_t cookie,
                                 AttemptHandle attempt,
                                 const AttemptReport& report) {
  Dispatcher& dispatcher = *this->nodes[vm].dispatcher;
  if (report.status != 0) {
    dispatcher.OnFirstByte(this->cluster.now(), attempt);
  }
  const bool still_pending =
      dispatcher.OnAttemptEnd(this->cluster.now(), attempt, report);
  if (!still_pending) {
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

void FleetStrategy::SendReply(size_t vm,
                              uint64_t cookie,
                              const Outcome& outcome,
                              uint8_t sends) {
  const RequestId id = RequestOf(cookie);
  const size_t to = this->EntryVm(id);
  Reply reply{cookie, outcome, {}, sends};
  reply.summary = this->nodes[vm].dispatcher->Summarize(
      this->cluster.now(), this->RoutedRequestOf(id).shard);
  const Duration one_way =
      vm == to ? Duration{0} : this->cluster.VmToVmLatency(vm, to);
  this->cluster.CountCarriedBytes(vm == to ? 0 : kSummaryBytes);
  this->cluster.simulation().After(
      one_way, [this, vm, reply] { this->OnReply(vm, reply); });
}

}  // namespace basilsill::bench
