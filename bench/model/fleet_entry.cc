#include "model/fleet_core.h"

/// Entry side of the simulated VMs.

namespace basilsill::bench {
namespace {

/// Fingerprint of all crashing requests, far above any other fingerprint.
constexpr Fingerprint kCrashingFingerprint = Fingerprint{1} << 40;

/// Takes one token of the team's quota.
/// @returns the time until the quota allows the request; 0 if it does now.
Duration QuotaWait(const TeamSpec& team, QuotaBuckets& quotas, TimePoint now) {
  if (team.limits.requests_per_second <= 0) {
    return Duration(0);
  }
  return quotas.Take(LeaseTimeOf(now), MakeTeamKey(team.name), 1).retry_after;
}

}  // namespace

Fingerprint FleetStrategy::FingerprintOf(RequestId id) const {
  return this->cluster.flow_of(id).crashes_instance ? kCrashingFingerprint
                                                    : id + 1;
}

RoutedRequest& FleetStrategy::RoutedRequestOf(RequestId id) {
  if (id >= this->routed_requests.size()) {
    this->routed_requests.resize(id + 1);
  }
  return this->routed_requests[id];
}

void FleetStrategy::OnArrival(RequestId id) {
  const Flow& flow = this->cluster.flow_of(id);
  EntryRequest request;
  request.team = {static_cast<uint32_t>(flow.team), 0};
  request.service = {static_cast<uint32_t>(flow.service), 0};
  request.traffic_class = flow.traffic_class;
  request.deadline = this->cluster.request(id).deadline;
  request.idempotent = flow.idempotent;
  request.replayable = true;
  request.fingerprint = this->FingerprintOf(id);
  Node& node = this->nodes[this->EntryVm(id)];
  const Duration quota_wait =
      QuotaWait(this->cluster.deployment().teams.at(flow.team), node.quotas,
                this->cluster.now());
  if (quota_wait > Duration(0)) {
    this->cluster.Finish(id, RefusedWith(Refusal::kTeamRateLimit, quota_wait));
    return;
  }
  const Admission admission = node.router->Admit(this->cluster.now(), request);
  this->RoutedRequestOf(id).entry = admission.entry;
  if (!IsValid(admission.entry)) {
    this->cluster.Finish(id,
                         RefusedWith(admission.refusal, admission.retry_after));
    return;
  }
  this->Route(id);
}

void FleetStrategy::Route(RequestId id) {
  const Target target = this->nodes[this->EntryVm(id)].router->Choose(
      this->cluster.now(), this->RoutedRequestOf(id).entry);
  switch (target.kind) {
    case TargetKind::kDispatcher:
      this->Forward(id, target);
      break;
    case TargetKind::kDirect:
      this->SendDirect(id, target);
      break;
    default:
      this->FinishEntry(id, RefusedWith(target.refusal, target.retry_after));
  }
}

void FleetStrategy::Forward(RequestId id, const Target& target) {
  RoutedRequest& routed = this->RoutedRequestOf(id);
  routed.dispatcher = target.vm.index;
  routed.forwarded = true;
  routed.shard = target.shard;
  routed.dispatch = {};
  ++routed.forwards;
  const Flow& flow = this->cluster.flow_of(id);
  DispatchRequest request;
  request.shard = target.shard;
  request.team = {static_cast<uint32_t>(flow.team), 0};
  request.traffic_class = flow.traffic_class;
  request.deadline = this->cluster.request(id).deadline;
  request.idempotent = flow.idempotent;
  request.hedge = flow.hedge;
  request.fingerprint = this->FingerprintOf(id);
  request.max_wait = target.max_wait;
  request.sends = target.sends;
  request.good_for = std::chrono::duration_cast<ShortMillis>(flow.target);
  request.cookie = CookieOf(id, routed.forwards);
  const size_t vm = routed.dispatcher;
  const size_t from = this->EntryVm(id);
  if (vm == from) {
    this->Offer(vm, request);
    return;
  }
  const Duration one_way = this->cluster.VmToVmLatency(from, vm);
  if (this->nodes[from].lost_links[vm]) {
    this->cluster.simulation().After(2 * one_way, [this, id, from, vm] {
      this->nodes[from].router->OnLink(this->cluster.now(),
                                       {static_cast<uint32_t>(vm), 0}, false);
      this->OnRefused(id, Refusal::kPeerUnreachable, Duration{0}, 0);
    });
    return;
  }
  this->cluster.simulation().After(
      one_way, [this, vm, request] { this->Offer(vm, request); });
}

void FleetStrategy::SendDirect(RequestId id, const Target& target) {
  const size_t instance = target.upstream.index;
  RoutedRequest& routed = this->RoutedRequestOf(id);
  routed.forwarded = false;
  routed.direct_attempt = this->cluster.StartAttempt(
      id, this->EntryVm(id), instance, [this, id, instance](JobEnd end) {
        this->OnDirectEnd(id, instance, end);
      });
}

void FleetStrategy::OnDirectEnd(RequestId id, size_t instance, JobEnd end) {
  const AttemptReport report = ReportOf(instance, end);
  this->TellNotice(this->EntryVm(id), id, instance, end);
  if (report.end == AttemptEnd::kAnswered) {
    this->FinishEntry(id, {report.status == kStatusOk ? OutcomeKind::kAnswered
                                                      : OutcomeKind::kFailed});
    return;
  }
  this->OnRefused(id, RefusalOf(report.end), Duration{0},
                  report.end == AttemptEnd::kConnectFailed ? 0 : 1);
}

void FleetStrategy::OnReply(size_t dispatcher, const Reply& reply) {
  const RequestId id = RequestOf(reply.cookie);
  const size_t vm = this->EntryVm(id);
  if (!this->cluster.IsAlive(vm) || this->nodes[vm].lost_links[dispatcher]) {
    return;
  }
  this->nodes[vm].router->OnSummary(this->cluster.now(),
                                    {static_cast<uint32_t>(dispatcher), 0},
                                    reply.summary);
  const RoutedRequest& routed = this->RoutedRequestOf(id);
  if (this->cluster.request(id).done ||
      routed.forwards != ForwardsOf(reply.cookie) || !routed.forwarded) {
    return;
  }
  if (reply.outcome.refusal != Refusal::kNone) {
    this->OnRefused(id, reply.outcome.refusal, reply.outcome.retry_after,
                    reply.sends);
    return;
  }
  this->FinishEntry(id, reply.outcome);
}

void FleetStrategy::OnRefused(RequestId id,
                              Refusal refusal,
                              Duration retry_after,
                              uint8_t sends) {
  if (this->cluster.request(id).done) {
    return;
  }
  EntryRouter& router = *this->nodes[this->EntryVm(id)].router;
  const RetryDecision decision = router.OnRefused(
      this->cluster.now(), this->RoutedRequestOf(id).entry, refusal, sends);
  this->cluster.CountRetry(id, decision.reason);
  if (decision.retry) {
    this->Route(id);
    return;
  }
  this->FinishEntry(id, RefusedWith(decision.refusal, retry_after));
}

void FleetStrategy::FinishEntry(RequestId id, const Outcome& outcome) {
  this->nodes[this->EntryVm(id)].router->Finish(
      this->cluster.now(), this->RoutedRequestOf(id).entry);
  this->RoutedRequestOf(id).forwarded = false;
  this->cluster.Finish(id, outcome);
}

void FleetStrategy::OnCallerTimeout(RequestId id) {
  const RoutedRequest& routed = this->RoutedRequestOf(id);
  const size_t from = this->EntryVm(id);
  this->nodes[from].router->Finish(this->cluster.now(), routed.entry);
  if (!routed.forwarded) {
    this->cluster.CancelAttempt(routed.direct_attempt);
    return;
  }
  const size_t vm = routed.dispatcher;
  this->cluster.simulation().After(
      this->cluster.VmToVmLatency(from, vm), [this, vm, id] {
        if (this->cluster.IsAlive(vm)) {
          this->nodes[vm].dispatcher->Cancel(
              this->cluster.now(), this->RoutedRequestOf(id).dispatch);
          this->RunActions(vm);
        }
      });
}

}  // namespace basilsill::bench
