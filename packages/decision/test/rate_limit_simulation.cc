#include "rate_limit_simulation.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 1ms;
constexpr Duration kWindow = 4s;
// Windows are checked once a limit has been advertised for this long.
constexpr Duration kCheckedAfter = 3s;
// The requests of a VM count against the limit once this time has passed since
// the VM first passed on an answer that advertises a limit.
constexpr Duration kNoticeDelay = 500ms;
constexpr Duration kUpdateInterval = 250ms;
constexpr double kExcess = 1.5;
constexpr double kSlack = 5;
constexpr double kNoLimit = 1e9;

}  // namespace

RateLimitSimulation::RateLimitSimulation(
    uint64_t seed,
    const RateLimitSimulationOptions& options)
    : options(options), random(seed), upstreams(options.upstreams) {
  for (uint32_t i = 0; i < options.vms; ++i) {
    this->vms.push_back(this->MakeVm(i));
  }
}

// The simulated VMs are the first owners of the shard, in their order.
std::unique_ptr<RateLimitSimulation::Vm> RateLimitSimulation::MakeVm(
    uint32_t number) {
  auto vm = std::make_unique<Vm>(DispatcherOptions{});
  DispatchHarness& harness = vm->harness;
  harness.now = this->now;
  for (uint32_t i = 0; i < this->options.upstreams; ++i) {
    harness.fixture.AddUpstream(0, this->options.slots);
  }
  harness.fixture.service.health_path = "/health";
  harness.Apply();
  const RoutingViewPtr view = harness.fixture.Build();
  harness.fixture.view.self =
      view->services.at(0)->shards.at(0).owners.at(number);
  harness.Apply();
  vm->advertised_since.assign(this->options.upstreams, kNever);
  return vm;
}

void RateLimitSimulation::SetLimit(uint32_t upstream,
                                   std::optional<double> per_second) {
  Upstream& row = this->upstreams.at(upstream);
  if (!row.limit && per_second) {
    row.first_advertised_at = this->now;
  }
  const double before = row.limit.value_or(kNoLimit);
  if (per_second && *per_second < before) {
    row.limit_before = before;
    row.decreased_at = this->now;
  }
  row.limit = per_second;
}

void RateLimitSimulation::SetDispatches(uint32_t vm, bool dispatches) {
  this->vms.at(vm)->dispatches = dispatches;
}

void RateLimitSimulation::SetCutOff(uint32_t vm, bool cut_off) {
  this->vms.at(vm)->cut_off = cut_off;
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    this->UpdateReachability(i);
  }
}

// VMs of the view that are not simulated stay live.
void RateLimitSimulation::UpdateReachability(uint32_t number) {
  DispatchHarness& harness = this->vms[number]->harness;
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    const bool answers =
        i == number || (!this->vms[i]->cut_off && !this->vms[number]->cut_off);
    const VmHandle other = this->vms[i]->harness.fixture.view.self;
    harness.fixture.view.vms.at(other.index).state =
        answers ? VmState::kLive : VmState::kSuspected;
  }
  harness.now = this->now;
  harness.Apply();
}

void RateLimitSimulation::Restart(uint32_t vm) {
  const bool dispatches = this->vms.at(vm)->dispatches;
  const bool cut_off = this->vms.at(vm)->cut_off;
  this->vms.at(vm) = this->MakeVm(vm);
  this->vms.at(vm)->dispatches = dispatches;
  this->vms.at(vm)->cut_off = cut_off;
  this->UpdateReachability(vm);
}

void RateLimitSimulation::Run(Duration time) {
  for (const TimePoint end = this->now + time; this->now < end;) {
    this->now += kStep;
    for (uint32_t i = 0; i < this->vms.size(); ++i) {
      this->Step(i);
    }
    for (uint32_t i = 0; i < this->vms.size(); ++i) {
      this->SendUpdates(i);
    }
    for (Upstream& upstream : this->upstreams) {
      this->CheckBound(upstream);
    }
  }
}

void RateLimitSimulation::Step(uint32_t number) {
  Vm& vm = *this->vms[number];
  vm.harness.now = this->now;
  vm.harness.dispatcher->Tick(this->now);
  vm.harness.Collect();
  this->EndRequests(number, vm);
  this->AnswerProbes(number, vm);
  const auto offers =
      static_cast<uint32_t>(1e6 / 1e3 * this->options.requests_per_second);
  if (vm.dispatches && this->random(1'000'000) < offers) {
    vm.harness.Offer();
  }
  this->RecordSends(number, vm);
  this->ReceiveProbes(number, vm);
}

// Sends reports several times per second to the VMs that can be reached.
void RateLimitSimulation::SendUpdates(uint32_t number) {
  Vm& vm = *this->vms[number];
  if (this->now < vm.next_update_at) {
    return;
  }
  vm.next_update_at = this->now + kUpdateInterval;
  for (const RateLimitUpdate& update :
       vm.harness.dispatcher->TakeRateLimitUpdates(this->now)) {
    for (const auto& other : this->vms) {
      const bool is_addressee = other->harness.fixture.view.self == update.to;
      if (is_addressee && !vm.cut_off && !other->cut_off) {
        other->harness.dispatcher->OnRateLimitReport(this->now, update.report);
        other->harness.Collect();
      }
    }
  }
}

void RateLimitSimulation::EndRequests(uint32_t number, Vm& vm) {
  for (const ActiveRequest& request : std::exchange(vm.active_requests, {})) {
    if (request.ends > this->now) {
      vm.active_requests.push_back(request);
    } else {
      this->EndRequest(number, vm, request);
    }
  }
}

void RateLimitSimulation::EndRequest(uint32_t number,
                                     Vm& vm,
                                     const ActiveRequest& request) {
  const auto& running = vm.harness.running;
  const auto found = std::find_if(
      running.begin(), running.end(),
      [&request](const auto& run) { return run.attempt == request.attempt; });
  if (found == running.end()) {
    return;
  }
  AttemptReport report = DispatchHarness::Report(AttemptEnd::kAnswered);
  if (this->Chance(this->options.died_percent)) {
    report.end = AttemptEnd::kDied;
  } else {
    const bool is_shed = this->Chance(this->options.shed_percent);
    report.end = is_shed ? AttemptEnd::kShed : AttemptEnd::kAnswered;
    report.rate_limit = this->AdvertiseLimit(number, request.upstream);
    this->answers += is_shed ? 0 : 1;
  }
  vm.harness.EndAt(static_cast<size_t>(found - running.begin()), report);
}

AdvertisedRateLimit RateLimitSimulation::AdvertiseLimit(
    uint32_t number,
    UpstreamHandle upstream) {
  const std::optional<double>& limit = this->upstreams.at(upstream.index).limit;
  if (!limit) {
    return {RateLimitPresence::kNone, 0};
  }
  TimePoint& advertised_since =
      this->vms[number]->advertised_since.at(upstream.index);
  advertised_since = std::min(advertised_since, this->now);
  return {RateLimitPresence::kNamed, *limit};
}

void RateLimitSimulation::RecordSends(uint32_t number, Vm& vm) {
  for (const DispatchAction& action :
       std::vector<DispatchAction>(vm.harness.running)) {
    const bool known =
        std::any_of(vm.active_requests.begin(), vm.active_requests.end(),
                    [&](const ActiveRequest& request) {
                      return request.attempt == action.attempt;
                    });
    if (known) {
      continue;
    }
    this->CountArrival(number, action.upstream);
    if (this->Chance(this->options.stale_percent) &&
        vm.harness.dispatcher->MaySendAgain(this->now, action.attempt)) {
      this->CountArrival(number, action.upstream);
    }
    const auto half =
        static_cast<uint32_t>(this->options.request_duration.count() / 2);
    const std::chrono::milliseconds service_time(half +
                                                 this->random(2 * half + 1));
    vm.active_requests.push_back(
        {action.attempt, action.upstream, this->now + service_time});
  }
}

void RateLimitSimulation::ReceiveProbes(uint32_t number, Vm& vm) {
  for (const UpstreamHandle upstream : std::exchange(vm.harness.queried, {})) {
    this->CountArrival(number, upstream);
    ++this->upstreams.at(upstream.index).probes;
    vm.probes.push_back({this->now + 1ms, upstream});
  }
}

// Answers to probes never advertise a limit: the bound must hold even if only
// answers to requests show it.
void RateLimitSimulation::AnswerProbes(uint32_t, Vm& vm) {
  while (!vm.probes.empty() && vm.probes.front().due <= this->now) {
    const UpstreamHandle upstream = vm.probes.front().upstream;
    vm.probes.pop_front();
    LoadQueryReport report;
    report.answered = true;
    report.load = {true, true, 0, 0, this->options.slots, 1};
    report.rate_limit = {RateLimitPresence::kNone, 0};
    vm.harness.dispatcher->OnLoadQueryEnd(this->now, upstream, report);
    vm.harness.Collect();
  }
}

void RateLimitSimulation::CountArrival(uint32_t number,
                                       UpstreamHandle upstream) {
  Upstream& row = this->upstreams.at(upstream.index);
  ++row.arrivals;
  const TimePoint advertised_since =
      this->vms[number]->advertised_since.at(upstream.index);
  if (advertised_since != kNever &&
      this->now - advertised_since >= kNoticeDelay) {
    row.recent.push_back({this->now, number});
  }
}

void RateLimitSimulation::CheckBound(Upstream& upstream) {
  const double step = std::chrono::duration<double>(kStep).count();
  const bool recently_decreased =
      this->now - upstream.decreased_at < kNoticeDelay;
  const double limit = std::max(upstream.limit.value_or(kNoLimit),
                                recently_decreased ? upstream.limit_before : 0);
  const double allowed = limit * step;
  upstream.allowed.push_back(allowed);
  upstream.allowed_sum += allowed;
  if (upstream.allowed.size() > static_cast<size_t>(kWindow / kStep)) {
    upstream.allowed_sum -= upstream.allowed.front();
    upstream.allowed.pop_front();
  }
  while (!upstream.recent.empty() &&
         this->now - upstream.recent.front().at >= kWindow) {
    upstream.recent.pop_front();
  }
  if (!upstream.limit ||
      this->now - upstream.first_advertised_at < kCheckedAfter) {
    return;
  }
  const double bound = kExcess * upstream.allowed_sum + kSlack;
  const auto got = static_cast<double>(upstream.recent.size());
  this->worst = std::max(this->worst, got - bound);
}

size_t RateLimitSimulation::arrivals(uint32_t upstream) const {
  return this->upstreams.at(upstream).arrivals;
}

size_t RateLimitSimulation::probes(uint32_t upstream) const {
  return this->upstreams.at(upstream).probes;
}

const std::vector<DispatchAction>& RateLimitSimulation::refused(
    uint32_t vm) const {
  return this->vms.at(vm)->harness.refused;
}

}  // namespace basilsill
