#include "model/fleet.h"

#include <utility>

#include "model/fleet_core.h"

namespace basilsill::bench {
namespace {

constexpr uint16_t kStatusError = 500;
constexpr uint16_t kStatusUnavailable = 503;

}  // namespace

uint64_t CookieOf(RequestId id, uint32_t forwards) {
  return (static_cast<uint64_t>(forwards) << 32) | id;
}
RequestId RequestOf(uint64_t cookie) {
  return static_cast<RequestId>(cookie);
}
uint32_t ForwardsOf(uint64_t cookie) {
  return static_cast<uint32_t>(cookie >> 32);
}

AttemptReport ReportOf(JobEnd end) {
  switch (end) {
    case JobEnd::kAnswered:
      return {AttemptEnd::kAnswered, kStatusOk};
    case JobEnd::kFailed:
      return {AttemptEnd::kAnswered, kStatusError};
    case JobEnd::kShed:
      return {AttemptEnd::kShed, kStatusUnavailable};
    case JobEnd::kDraining:
      return {AttemptEnd::kShed, kStatusUnavailable, true};
    case JobEnd::kConnectFailed:
      return {AttemptEnd::kConnectFailed};
    default:
      return {AttemptEnd::kDied};
  }
}

Outcome RefusedWith(Refusal refusal, Duration retry_after) {
  const bool not_run = InfoOf(refusal).promise == Promise::kNotRun;
  return {not_run ? OutcomeKind::kRefused : OutcomeKind::kUnknown, refusal,
          retry_after};
}

Fleet::Fleet(World& world, const PolicyFeatures& features) : world(world) {
  const size_t count = world.deployment().vms.size();
  for (size_t vm = 0; vm < count; ++vm) {
    this->AddNode(vm, features);
    this->OnKnowledge(vm, world.truth());
    const Duration phase = limits::kWorkerTick * static_cast<int64_t>(vm) /
                           static_cast<int64_t>(count);
    world.simulation().After(phase, [this, vm] {
      this->world.simulation().Every(limits::kWorkerTick,
                                     [this, vm] { this->Tick(vm); });
    });
  }
}

void Fleet::AddNode(size_t vm, const PolicyFeatures& features) {
  DispatcherOptions dispatch;
  dispatch.seed = vm + 1;
  dispatch.features = features.dispatcher;
  EntryOptions entry;
  entry.seed = vm + 1;
  entry.features = features.entry;
  QuarantineOptions quarantine;
  quarantine.seed = vm + 1;
  Node node;
  node.quarantine = Quarantine::Create(quarantine);
  dispatch.quarantine = node.quarantine;
  entry.quarantine = node.quarantine;
  node.dispatcher = Dispatcher::Create(dispatch);
  node.router = EntryRouter::Create(entry);
  node.lost_links.assign(this->world.deployment().vms.size(), false);
  this->nodes.push_back(std::move(node));
}

void Fleet::Tick(size_t vm) {
  if (!this->world.IsAlive(vm)) {
    return;
  }
  this->nodes[vm].dispatcher->Tick(this->world.now());
  this->RunActions(vm);
  this->nodes[vm].router->Tick(this->world.now());
  this->SendCrashReports(vm);
}

void Fleet::SendCrashReports(size_t vm) {
  for (const CrashReport& report :
       this->nodes[vm].quarantine->TakeNewReports(this->world.now())) {
    for (size_t peer = 0; peer < this->nodes.size(); ++peer) {
      if (peer == vm || !this->world.IsAlive(peer)) {
        continue;
      }
      this->world.simulation().After(
          this->world.VmToVm(vm, peer), [this, peer, report] {
            this->nodes[peer].quarantine->Import(this->world.now(), report);
          });
    }
  }
}

void Fleet::OnKnowledge(size_t vm, const Knowledge& knowledge) {
  Node& node = this->nodes[vm];
  const RoutingViewPtr view =
      MakeView(this->world.deployment(), vm, ++node.view_version, knowledge);
  node.quotas.SetTeams(
      LeaseTimeOf(this->world.now()), view->teams,
      1.0 / static_cast<double>(this->world.deployment().vms.size()));
  node.router->ApplyView(this->world.now(), view);
  node.dispatcher->ApplyView(this->world.now(), view);
  this->RunActions(vm);
}

void Fleet::OnVmKilled(size_t dead, Duration noticed_after) {
  for (size_t vm = 0; vm < this->nodes.size(); ++vm) {
    if (this->world.IsAlive(vm)) {
      const Duration after = noticed_after + this->world.VmToVm(dead, vm);
      this->world.simulation().After(
          after, [this, vm, dead] { this->OnLinkLost(vm, dead); });
    }
  }
}

void Fleet::OnLinkLost(size_t vm, size_t peer) {
  this->nodes[vm].lost_links[peer] = true;
  this->DropRequestsOf(vm, peer);
  this->nodes[vm].router->OnLink(this->world.now(),
                                 {static_cast<uint32_t>(peer), 0}, false);
  for (RequestId id = 0; id < this->tickets.size(); ++id) {
    const Ticket& ticket = this->tickets[id];
    if (ticket.forwarded && ticket.dispatcher == peer &&
        this->EntryVm(id) == vm) {
      this->OnRefused(id, Refusal::kPeerLost, Duration{0}, 0);
    }
  }
}

void Fleet::OnCut(size_t vm, bool cut) {
  for (size_t peer = 0; peer < this->nodes.size(); ++peer) {
    if (peer == vm || !this->world.IsAlive(peer)) {
      continue;
    }
    if (cut) {
      this->OnLinkLost(peer, vm);
      this->OnLinkLost(vm, peer);
      continue;
    }
    for (const auto& [from, to] : {std::pair(vm, peer), std::pair(peer, vm)}) {
      this->nodes[from].lost_links[to] = false;
      this->nodes[from].router->OnLink(this->world.now(),
                                       {static_cast<uint32_t>(to), 0}, true);
    }
  }
}

std::unique_ptr<Strategy> MakeFleet(World& world,
                                    const PolicyFeatures& features) {
  return std::make_unique<Fleet>(world, features);
}

}  // namespace basilsill::bench
