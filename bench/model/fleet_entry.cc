#include "model/fleet_core.h"

/// The entry side of every VM of the fleet.

namespace basilsill::bench {
namespace {

/// No request number comes near it.
constexpr Fingerprint kDeadlyFingerprint = Fingerprint{1} << 40;

// @returns how long `team` is beyond its quota; 0: it is not.
Duration ClosedFor(const TeamSpec& team, QuotaBuckets& quotas, TimePoint now) {
  if (team.limits.requests_per_second <= 0) {
    return Duration(0);
  }
  return quotas.Take(LeaseTimeOf(now), MakeTeamKey(team.name), 1).retry_after;
}

}  // namespace

Fingerprint Fleet::FingerprintOf(RequestId id) const {
  return this->world.flow_of(id).deadly ? kDeadlyFingerprint : id + 1;
}

Ticket& Fleet::TicketOf(RequestId id) {
  if (id >= this->tickets.size()) {
    this->tickets.resize(id + 1);
  }
  return this->tickets[id];
}

void Fleet::OnArrival(RequestId id) {
  const Flow& flow = this->world.flow_of(id);
  EntryRequest request;
  request.team = {static_cast<uint32_t>(flow.team), 0};
  request.service = {static_cast<uint32_t>(flow.service), 0};
  request.traffic_class = flow.traffic_class;
  request.deadline = this->world.request(id).deadline;
  request.idempotent = flow.idempotent;
  request.replayable = true;
  request.fingerprint = this->FingerprintOf(id);
  Node& node = this->nodes[this->EntryVm(id)];
  const Duration closed =
      ClosedFor(this->world.deployment().teams.at(flow.team), node.quotas,
                this->world.now());
  if (closed > Duration(0)) {
    this->world.Finish(id, RefusedWith(Refusal::kTeamRateLimit, closed));
    return;
  }
  const Admission admission = node.router->Admit(this->world.now(), request);
  this->TicketOf(id).entry = admission.entry;
  if (!IsValid(admission.entry)) {
    this->world.Finish(id,
                       RefusedWith(admission.refusal, admission.retry_after));
    return;
  }
  this->Route(id);
}

void Fleet::Route(RequestId id) {
  const Target target = this->nodes[this->EntryVm(id)].router->Choose(
      this->world.now(), this->TicketOf(id).entry);
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

void Fleet::Forward(RequestId id, const Target& target) {
  Ticket& ticket = this->TicketOf(id);
  ticket.dispatcher = target.vm.index;
  ticket.forwarded = true;
  ticket.shard = target.shard;
  ticket.dispatch = {};
  ++ticket.forwards;
  const Flow& flow = this->world.flow_of(id);
  DispatchRequest request;
  request.shard = target.shard;
  request.team = {static_cast<uint32_t>(flow.team), 0};
  request.traffic_class = flow.traffic_class;
  request.deadline = this->world.request(id).deadline;
  request.idempotent = flow.idempotent;
  request.hedge = flow.hedge;
  request.fingerprint = this->FingerprintOf(id);
  request.max_wait = target.max_wait;
  request.sends = target.sends;
  request.cookie = CookieOf(id, ticket.forwards);
  const size_t vm = ticket.dispatcher;
  const size_t from = this->EntryVm(id);
  if (vm == from) {
    this->Offer(vm, request);
    return;
  }
  const Duration way = this->world.VmToVm(from, vm);
  if (this->nodes[from].lost_links[vm]) {
    this->world.simulation().After(2 * way, [this, id] {
      this->OnRefused(id, Refusal::kPeerUnreachable, Duration{0}, 0);
    });
    return;
  }
  this->world.simulation().After(
      way, [this, vm, request] { this->Offer(vm, request); });
}

void Fleet::SendDirect(RequestId id, const Target& target) {
  const size_t instance = target.upstream.index;
  Ticket& ticket = this->TicketOf(id);
  ticket.forwarded = false;
  ticket.direct_attempt = this->world.StartAttempt(
      id, this->EntryVm(id), instance, [this, id, instance](JobEnd end) {
        this->OnDirectEnd(id, instance, end);
      });
}

void Fleet::OnDirectEnd(RequestId id, size_t instance, JobEnd end) {
  const AttemptReport report = ReportOf(end);
  if (report.drain_sign) {
    this->nodes[this->EntryVm(id)].router->OnDrainSign(
        this->world.now(), {static_cast<uint32_t>(instance), 0});
  }
  if (report.end == AttemptEnd::kAnswered) {
    this->FinishEntry(id, {report.status == kStatusOk ? OutcomeKind::kAnswered
                                                      : OutcomeKind::kFailed});
    return;
  }
  this->OnRefused(id, RefusalOf(report.end), Duration{0},
                  report.end == AttemptEnd::kConnectFailed ? 0 : 1);
}

void Fleet::OnReply(size_t dispatcher, const Reply& reply) {
  const RequestId id = RequestOf(reply.cookie);
  const size_t vm = this->EntryVm(id);
  if (!this->world.IsAlive(vm) || this->nodes[vm].lost_links[dispatcher]) {
    return;
  }
  this->nodes[vm].router->OnSummary(
      this->world.now(), {static_cast<uint32_t>(dispatcher), 0}, reply.summary);
  const Ticket& ticket = this->TicketOf(id);
  if (this->world.request(id).done ||
      ticket.forwards != ForwardsOf(reply.cookie) || !ticket.forwarded) {
    return;
  }
  if (reply.outcome.refusal != Refusal::kNone) {
    this->OnRefused(id, reply.outcome.refusal, reply.outcome.retry_after,
                    reply.sends);
    return;
  }
  this->FinishEntry(id, reply.outcome);
}

void Fleet::OnRefused(RequestId id,
                      Refusal refusal,
                      Duration retry_after,
                      uint8_t sends) {
  if (this->world.request(id).done) {
    return;
  }
  EntryRouter& router = *this->nodes[this->EntryVm(id)].router;
  const RetryDecision decision = router.OnRefused(
      this->world.now(), this->TicketOf(id).entry, refusal, sends);
  this->world.CountRetry(id, decision.reason);
  if (decision.retry) {
    this->Route(id);
    return;
  }
  this->FinishEntry(id, RefusedWith(decision.refusal, retry_after));
}

void Fleet::FinishEntry(RequestId id, const Outcome& outcome) {
  this->nodes[this->EntryVm(id)].router->Finish(this->world.now(),
                                                this->TicketOf(id).entry);
  this->TicketOf(id).forwarded = false;
  this->world.Finish(id, outcome);
}

void Fleet::OnGivenUp(RequestId id) {
  const Ticket& ticket = this->TicketOf(id);
  const size_t from = this->EntryVm(id);
  this->nodes[from].router->Finish(this->world.now(), ticket.entry);
  if (!ticket.forwarded) {
    this->world.CancelAttempt(ticket.direct_attempt);
    return;
  }
  const size_t vm = ticket.dispatcher;
  this->world.simulation().After(this->world.VmToVm(from, vm), [this, vm, id] {
    if (this->world.IsAlive(vm)) {
      this->nodes[vm].dispatcher->Cancel(this->world.now(),
                                         this->TicketOf(id).dispatch);
      this->RunActions(vm);
    }
  });
}

}  // namespace basilsill::bench
