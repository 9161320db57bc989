#include "model/simulated_cluster.h"

#include <algorithm>

namespace basilsill::bench {
namespace {

/// Time after the deadline at which a caller stops waiting for its answer.
constexpr Duration kCallerGracePeriod = std::chrono::milliseconds(50);

/// Delay before a resend if the refusal has no retry-after time.
constexpr Duration kDefaultResendDelay = std::chrono::milliseconds(100);

/// Callers wait as long as they are told, up to this part of their time left.
constexpr int kPartOfTimeLeft = 3;

/// Time for the last requests to end before the idle period starts.
constexpr Duration kSettleTime = std::chrono::seconds(3);

constexpr uint64_t kArrivalStream = 100;
constexpr uint64_t kResendStream = 99;

uint64_t MixBits(uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

}  // namespace

SimulatedCluster::SimulatedCluster(const Scenario& scenario)
    : scenario(scenario),
      servers(this->clock, scenario.deployment),
      state(AllLive(scenario.deployment)),
      alive(scenario.deployment.vms.size(), true),
      sent(scenario.flows.size(), 0),
      resend_random(scenario.seed, kResendStream),
      idle_connections(
          scenario.deployment.vms.size() * scenario.deployment.instances.size(),
          0),
      in_transit(scenario.deployment.instances.size(), 0) {
  this->metrics.flows.resize(scenario.flows.size());
  this->metrics.window = scenario.length;
  this->metrics.idle = scenario.idle;
  for (size_t i = 0; i < scenario.flows.size(); ++i) {
    this->arrivals.emplace_back(scenario.seed, kArrivalStream + i);
  }
}

Metrics SimulatedCluster::Run(Strategy& strategy_to_run) {
  this->strategy = &strategy_to_run;
  for (uint32_t i = 0; i < this->scenario.flows.size(); ++i) {
    if (this->scenario.flows[i].load > 0) {
      this->clock.At(TimePoint(this->scenario.flows[i].starts_at),
                     [this, i] { this->ScheduleArrival(i); });
    }
  }
  for (const Disturbance& disturbance : this->scenario.disturbances) {
    this->clock.At(TimePoint(disturbance.at),
                   [this, &disturbance] { disturbance.apply(*this); });
  }
  const TimePoint end(this->scenario.warm_up + this->scenario.length);
  this->clock.RunUntil(TimePoint(this->scenario.warm_up));
  const size_t warm_submissions = this->servers.submissions();
  this->clock.RunUntil(end + kSettleTime);
  const uint64_t before_idle = this->metrics.measuring_messages;
  this->clock.RunUntil(end + kSettleTime + this->scenario.idle);
  this->metrics.idle_messages = this->metrics.measuring_messages - before_idle;
  this->metrics.submissions = this->servers.submissions() - warm_submissions;
  this->metrics.late_submissions = this->servers.late_submissions();
  this->metrics.last_late_submission = this->servers.last_late_submission();
  this->metrics.deaths = this->servers.deaths();
  return std::move(this->metrics);
}

double SimulatedCluster::PeakRate(const Flow& flow) const {
  const double mean = flow.load * SlotsOf(this->deployment(), flow.service) /
                      InSeconds(flow.mean);
  const double share = InSeconds(kBurstLength) / InSeconds(kBurstPeriod);
  return mean * flow.burst_factor / (1 + share * (flow.burst_factor - 1));
}

bool SimulatedCluster::AcceptsArrival(const Flow& flow, Random& random) const {
  const bool in_burst =
      this->now().time_since_epoch() % kBurstPeriod < kBurstLength;
  return in_burst || DrawUnit(random) * flow.burst_factor < 1;
}

void SimulatedCluster::ScheduleArrival(uint32_t flow) {
  const double rate = this->PeakRate(this->scenario.flows[flow]);
  this->clock.After(DrawGap(this->arrivals[flow], rate),
                    [this, flow] { this->OnArrivalTime(flow); });
}

void SimulatedCluster::OnArrivalTime(uint32_t flow) {
  const TimePoint end(this->scenario.warm_up + this->scenario.length);
  if (this->now() >= end) {
    return;
  }
  this->ScheduleArrival(flow);
  if (!this->AcceptsArrival(this->scenario.flows[flow], this->arrivals[flow])) {
    return;
  }
  const RequestId id = this->NewRequest(flow, this->sent[flow]++, 0);
  this->strategy->OnArrival(id);
}

RequestId SimulatedCluster::NewRequest(uint32_t flow,
                                       uint32_t number,
                                       uint32_t resend,
                                       TimePoint first_arrival) {
  Request request;
  request.flow = flow;
  request.number = number;
  request.resend = resend;
  Random& random = resend == 0 ? this->arrivals[flow] : this->resend_random;
  do {
    request.vm = static_cast<uint32_t>(DrawIndex(random, this->alive.size()));
  } while (!this->alive[request.vm]);
  request.arrival = this->now();
  request.first_arrival = std::min(first_arrival, this->now());
  const bool keeps_deadline = this->scenario.flows[flow].target > Duration{0};
  request.deadline = (keeps_deadline ? request.first_arrival : this->now()) +
                     this->scenario.flows[flow].deadline;
  const auto id = static_cast<RequestId>(this->requests.size());
  this->requests.push_back(request);
  this->clock.At(request.deadline + kCallerGracePeriod, [this, id] {
    if (!this->requests[id].done) {
      this->strategy->OnCallerTimeout(id);
      this->Finish(id, {OutcomeKind::kCallerTimeout});
    }
  });
  return id;
}

bool SimulatedCluster::IsCounted(const Request& request) const {
  const TimePoint begin(this->scenario.warm_up);
  const bool has_target =
      this->scenario.flows[request.flow].target > Duration{0};
  const TimePoint arrival =
      has_target ? request.first_arrival : request.arrival;
  return arrival >= begin && arrival < begin + this->scenario.length;
}

void SimulatedCluster::Finish(RequestId id, const Outcome& outcome) {
  Request& request = this->requests[id];
  if (request.done) {
    return;
  }
  request.done = true;
  const Flow& flow = this->scenario.flows[request.flow];
  if (this->IsCounted(request)) {
    FlowMetrics& counts = this->metrics.flows[request.flow];
    ++counts.outcomes.at(static_cast<size_t>(outcome.kind));
    ++counts.refusals.at(static_cast<size_t>(outcome.refusal));
    const bool served = outcome.kind == OutcomeKind::kAnswered;
    counts.latencies.push_back(static_cast<float>(InMilliseconds(
        served ? this->now() - request.arrival : flow.deadline)));
  }
  const bool may_resend = outcome.kind == OutcomeKind::kRefused ||
                          outcome.kind == OutcomeKind::kCallerTimeout;
  const bool resends =
      may_resend && request.resend < flow.resends &&
      (flow.target == Duration{0} || this->now() < request.deadline);
  if (flow.target > Duration{0}) {
    this->CountTarget(request, outcome, resends);
  }
  if (resends && flow.target > Duration{0}) {
    this->Return(id, outcome);
  } else if (resends) {
    this->Resend(id, outcome);
  }
}

void SimulatedCluster::CountTarget(const Request& request,
                                   const Outcome& outcome,
                                   bool returns) {
  if (returns || !this->IsCounted(request)) {
    return;
  }
  FlowMetrics& counts = this->metrics.flows[request.flow];
  const Duration took =
      this->now() - request.first_arrival + this->scenario.caller_round_trip;
  const bool served = outcome.kind == OutcomeKind::kAnswered;
  const bool in_time =
      served && took <= this->scenario.flows[request.flow].target;
  counts.in_time += in_time ? 1 : 0;
  counts.late += served && !in_time ? 1 : 0;
  counts.lost += served ? 0 : 1;
}

void SimulatedCluster::Return(RequestId id, const Outcome& outcome) {
  const Request first = this->requests[id];
  const Duration left = first.deadline - this->now();
  const Duration pause = std::min(outcome.retry_after, left / kPartOfTimeLeft) +
                         this->scenario.caller_round_trip;
  this->clock.After(pause, [this, first] {
    this->strategy->OnArrival(this->NewRequest(
        first.flow, first.number, first.resend + 1, first.first_arrival));
  });
}

void SimulatedCluster::Resend(RequestId id, const Outcome& outcome) {
  const Duration pause = outcome.retry_after > Duration{0}
                             ? outcome.retry_after
                             : kDefaultResendDelay;
  // Callers add up to a quarter of jitter, so that they do not resend at the
  // same time.
  const double jitter = 1 + DrawUnit(this->resend_random) / 4;
  this->clock.After(Milliseconds(InMilliseconds(pause) * jitter), [this, id] {
    const Request first = this->requests[id];
    const TimePoint end(this->scenario.warm_up + this->scenario.length);
    if (this->now() < end) {
      this->strategy->OnArrival(
          this->NewRequest(first.flow, first.number, first.resend + 1));
    }
  });
}

void SimulatedCluster::CountRetry(RequestId id, Retry reason) {
  const Request& request = this->requests[id];
  if (this->IsCounted(request) && reason != Retry::kNone) {
    ++this->metrics.flows[request.flow].retries.at(static_cast<size_t>(reason));
  }
}

void SimulatedCluster::CountMeasuring(size_t messages, size_t bytes) {
  this->metrics.measuring_messages += messages;
  this->metrics.measuring_bytes += bytes;
}

void SimulatedCluster::CountCarriedBytes(size_t bytes) {
  this->metrics.carried_bytes += bytes;
}

Duration SimulatedCluster::VmToVmLatency(size_t from, size_t to) const {
  return Latency(this->deployment().vms[from], this->deployment().vms[to]);
}

Duration SimulatedCluster::VmToInstanceLatency(size_t vm,
                                               size_t instance) const {
  return Latency(this->deployment().vms[vm],
                 this->deployment().instances[instance].data_centre);
}

Demand SimulatedCluster::DemandOf(const Request& request) const {
  const Flow& flow = this->scenario.flows[request.flow];
  const uint64_t key = (static_cast<uint64_t>(request.number) << 16) |
                       (request.resend << 8) | request.attempts;
  Random random(MixBits(this->scenario.seed ^ MixBits(key)), request.flow);
  return {DrawLognormal(random, flow.mean, flow.sigma), flow.crashes_instance};
}

uint32_t& SimulatedCluster::IdleConnections(size_t vm, size_t instance) {
  return this
      ->idle_connections[vm * this->deployment().instances.size() + instance];
}

Duration SimulatedCluster::ConnectDelay(size_t vm, size_t instance) {
  if (!this->scenario.models_connect_time) {
    return Duration{0};
  }
  uint32_t& idle = this->IdleConnections(vm, instance);
  if (idle > 0) {
    --idle;
    return Duration{0};
  }
  return kConnectTime;
}

uint32_t SimulatedCluster::StartAttempt(RequestId id,
                                        size_t vm,
                                        size_t instance,
                                        Upstreams::Done done) {
  Request& request = this->requests[id];
  const Demand demand = this->DemandOf(request);
  ++request.attempts;
  const auto number = static_cast<uint32_t>(this->attempts.size());
  this->attempts.push_back({id,
                            static_cast<uint32_t>(vm),
                            static_cast<uint32_t>(instance),
                            true,
                            {},
                            std::move(done)});
  ++this->in_transit[instance];
  const Duration delay = this->VmToInstanceLatency(vm, instance) +
                         this->ConnectDelay(vm, instance);
  this->clock.After(
      delay, [this, number, demand] { this->ReachInstance(number, demand); });
  return number;
}

void SimulatedCluster::ReachInstance(uint32_t number, const Demand& demand) {
  const size_t instance = this->attempts[number].instance;
  --this->in_transit[instance];
  if (!this->attempts[number].open) {
    return;
  }
  this->CountSend(this->attempts[number].request);
  this->attempts[number].job = this->servers.Submit(
      instance, demand,
      [this, number](JobEnd end) { this->OnServed(number, end); });
}

void SimulatedCluster::CountSend(RequestId id) {
  const Request& request = this->requests[id];
  this->metrics.flows[request.flow].sends += this->IsCounted(request) ? 1 : 0;
}

void SimulatedCluster::OnServed(uint32_t number, JobEnd end) {
  const Attempt& attempt = this->attempts[number];
  this->clock.After(this->VmToInstanceLatency(attempt.vm, attempt.instance),
                    [this, number, end] { this->OnAnswer(number, end); });
}

void SimulatedCluster::OnAnswer(uint32_t number, JobEnd end) {
  Attempt& attempt = this->attempts[number];
  if (!attempt.open) {
    return;
  }
  attempt.open = false;
  const Request& request = this->requests[attempt.request];
  if (end == JobEnd::kShed && this->IsCounted(request)) {
    ++this->metrics.flows[request.flow].sheds;
  }
  if (end == JobEnd::kAnswered || end == JobEnd::kFailed) {
    ++this->IdleConnections(attempt.vm, attempt.instance);
  }
  const Upstreams::Done done = std::move(attempt.done);
  done(end);
}

uint32_t SimulatedCluster::ActualInFlight(size_t instance) const {
  return this->in_transit[instance] + this->servers.InFlight(instance);
}

void SimulatedCluster::CancelAttempt(uint32_t number) {
  Attempt& attempt = this->attempts[number];
  if (!attempt.open) {
    return;
  }
  attempt.open = false;
  attempt.done = nullptr;
  this->clock.After(
      this->VmToInstanceLatency(attempt.vm, attempt.instance),
      [this, number] { this->servers.Cancel(this->attempts[number].job); });
}

void SimulatedCluster::KillVm(size_t vm, Duration detection_delay) {
  this->alive.at(vm) = false;
  for (uint32_t i = 0; i < this->attempts.size(); ++i) {
    if (this->attempts[i].vm == vm) {
      this->CancelAttempt(i);
    }
  }
  for (RequestId id = 0; id < this->requests.size(); ++id) {
    if (this->requests[id].vm == vm) {
      this->Finish(id, {OutcomeKind::kEntryLost});
    }
  }
  this->strategy->OnVmKilled(vm, detection_delay);
}

void SimulatedCluster::PublishState(Duration spread) {
  const size_t count = this->alive.size();
  for (size_t vm = 0; vm < count; ++vm) {
    const Duration after = spread * static_cast<int64_t>(vm) /
                           static_cast<int64_t>(count > 1 ? count - 1 : 1);
    this->clock.After(after, [this, vm, cluster_state = this->state] {
      if (this->alive[vm]) {
        this->strategy->OnClusterState(vm, cluster_state);
      }
    });
  }
}

}  // namespace basilsill::bench
