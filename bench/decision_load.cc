#include "decision_load.h"

#include <algorithm>

namespace basilsill::bench {
namespace {

constexpr size_t kDataCentres = 12;

/// Service time of a request at its upstream.
constexpr Duration kServiceTime = std::chrono::milliseconds(5);

/// Time between two requests at an entry VM: 1.1 million requests per second
/// over 240 VMs.
constexpr Duration kEntryGap = std::chrono::microseconds(218);

constexpr size_t kMaxRunning = limits::kMaxRequestsPerWorker;

/// Share of the slots that the load keeps occupied.
constexpr double kOccupancy = 0.85;

TrafficClass ClassOf(Random& random) {
  return static_cast<TrafficClass>(
      DrawIndex(random, static_cast<size_t>(TrafficClass::kCount)));
}

}  // namespace

RoutingViewPtr MakeSizedView(const InstallationSize& size) {
  Deployment deployment;
  for (size_t i = 0; i < kDataCentres; ++i) {
    deployment.data_centres.push_back("dc-" + std::to_string(i));
    deployment.vms.push_back(i);
  }
  for (size_t i = 0; i < size.services; ++i) {
    deployment.teams.push_back({"team-" + std::to_string(i), {}});
    deployment.services.push_back({"service-" + std::to_string(i), i, {}});
  }
  for (size_t i = 0; i < size.instances; ++i) {
    const size_t service = i % size.services;
    deployment.services[service].instances.push_back(i);
    deployment.instances.push_back(
        {service, (i / size.services + service) % kDataCentres});
  }
  return MakeView(deployment, 0, 1, AllLive(deployment));
}

DispatchLoad::DispatchLoad(const RoutingViewPtr& view)
    : target(Dispatcher::Create({})), running(kMaxRunning) {
  this->target->ApplyView(this->now, view);
  size_t slots = 0;
  for (const auto& service : view->services) {
    for (const ShardRow& shard : service->shards) {
      if (shard.owners.front() == view->self) {
        this->shards.push_back({shard.key, service->team});
        slots += shard.upstreams.size() * limits::kDefaultSlotsPerUpstream;
      }
    }
  }
  const auto occupied =
      static_cast<size_t>(kOccupancy * static_cast<double>(slots));
  this->gap = kServiceTime / std::max<size_t>(occupied, 1);
  for (size_t i = 0; i < occupied; ++i) {
    this->OfferOne();
  }
}

void DispatchLoad::Step() {
  this->EndOne();
  this->OfferOne();
  if (this->now >= this->next_tick) {
    this->target->Tick(this->now);
    this->ProcessActions();
    this->next_tick = this->now + limits::kWorkerTick;
  }
}

void DispatchLoad::OfferOne() {
  this->now += this->gap;
  const Shard& shard =
      this->shards[DrawIndex(this->random, this->shards.size())];
  DispatchRequest request;
  request.shard = shard.key;
  request.team = shard.team;
  request.traffic_class = ClassOf(this->random);
  request.deadline = this->now + limits::kDefaultDeadline;
  request.idempotent = true;
  this->target->Offer(this->now, request);
  this->ProcessActions();
}

void DispatchLoad::EndOne() {
  if (this->count == 0) {
    return;
  }
  const AttemptHandle attempt = this->running[this->first];
  this->first = (this->first + 1) % this->running.size();
  --this->count;
  this->target->OnFirstByte(this->now, attempt);
  AttemptReport report;
  report.end = AttemptEnd::kAnswered;
  report.status = 200;
  this->target->OnAttemptEnd(this->now, attempt, report);
  this->ProcessActions();
}

void DispatchLoad::ProcessActions() {
  for (const DispatchAction& action : this->target->actions()) {
    if (action.kind == DispatchActionKind::kStart) {
      this->running[(this->first + this->count) % this->running.size()] =
          action.attempt;
      ++this->count;
    } else if (action.kind == DispatchActionKind::kRefuse) {
      ++this->refused;
    }
  }
  this->target->ClearActions();
}

EntryLoad::EntryLoad(const RoutingViewPtr& view)
    : view(view), target(EntryRouter::Create({})) {
  this->target->ApplyView(this->now, view);
}

void EntryLoad::Step() {
  this->now += kEntryGap;
  const ServiceRow& service =
      *this->view
           ->services[DrawIndex(this->random, this->view->services.size())];
  EntryRequest request;
  request.team = service.team;
  request.service = service.handle;
  request.traffic_class = ClassOf(this->random);
  request.deadline = this->now + limits::kDefaultDeadline;
  request.idempotent = true;
  request.replayable = true;
  const Admission admission = this->target->Admit(this->now, request);
  const Target chosen = this->target->Choose(this->now, admission.entry);
  ShardSummary summary;
  summary.shard = chosen.shard;
  summary.slots = 8;
  summary.busy = static_cast<uint16_t>(DrawIndex(this->random, 9));
  summary.service_time = std::chrono::milliseconds(5);
  summary.wait = std::chrono::microseconds(600 * (summary.busy / 8));
  this->target->OnSummary(this->now, chosen.vm, summary);
  this->target->Finish(this->now, admission.entry);
}

}  // namespace basilsill::bench
