#include "repeat_simulation.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

using namespace std::chrono_literals;

constexpr ShortMillis kMaxTarget{300};
constexpr Duration kStepDuration = 1ms;
constexpr Duration kNetworkDelay = 1ms;  // Between two VMs, one way.
constexpr Duration kShedTime = 2ms;
constexpr Duration kDeadline = 1200ms;
// The cookie of a request at a dispatcher consists of the request's id and the
// number of the hop.
constexpr unsigned kHopBits = 8;
constexpr uint64_t kHopMask = (1U << kHopBits) - 1;
// Divides the limit's window into halves.
constexpr int kWindowHalves = 2;

size_t CountWithin(const std::vector<TimePoint>& times,
                   TimePoint after,
                   TimePoint until) {
  const auto first = std::upper_bound(times.begin(), times.end(), after);
  const auto last = std::upper_bound(times.begin(), times.end(), until);
  return static_cast<size_t>(std::max<std::ptrdiff_t>(0, last - first));
}

}  // namespace

RepeatSimulation::RepeatSimulation(uint64_t seed,
                                   const RepeatSimulationOptions& options)
    : options(options),
      random(seed),
      vms(options.vms),
      failing(options.upstreams) {
  for (uint32_t i = 0; i < options.vms; ++i) {
    ViewFixture& fixture = this->vms[i].fixture;
    fixture.view.vms.clear();
    for (uint32_t j = 0; j < options.vms; ++j) {
      VmRow row;
      row.handle = {j, 0};
      row.name = "vm-" + std::to_string(j);
      row.data_centre = {j % 2, 0};
      fixture.view.vms.push_back(row);
    }
    fixture.view.self = {i, 0};
    fixture.view.own_data_centre = {i % 2, 0};
    for (uint32_t j = 0; j < options.upstreams; ++j) {
      fixture.AddUpstream(j % 2, options.slots);
    }
    this->StartVm(i);
  }
}

void RepeatSimulation::StartVm(uint32_t number) {
  Vm& vm = this->vms[number];
  const RepeatShares parts = SplitRepeatBudget(this->options.bound);
  DispatcherOptions dispatcher;
  dispatcher.repeats = parts;
  dispatcher.retry_budget = {1, 1000, 1000, 1000};
  dispatcher.hedge_budget = dispatcher.retry_budget;
  dispatcher.seed = this->random();
  EntryOptions entry;
  entry.repeats = parts.entries;
  entry.seed = this->random();
  ++vm.start;
  vm.inbox.clear();
  vm.dispatcher = Dispatcher::Create(dispatcher);
  vm.router = EntryRouter::Create(entry);
  this->Apply(number);
}

void RepeatSimulation::Apply(uint32_t number) {
  Vm& vm = this->vms[number];
  const RoutingViewPtr view = vm.fixture.Build();
  vm.router->ApplyView(this->now, view);
  vm.dispatcher->ApplyView(this->now, view);
  this->HandleActions(number);
}

void RepeatSimulation::SetFailing(uint32_t upstream, bool is_failing) {
  this->failing.at(upstream) = is_failing;
}

void RepeatSimulation::Restart(uint32_t number) {
  std::erase_if(this->attempts, [number](const Attempt& attempt) {
    return attempt.vm == number;
  });
  for (auto& [id, request] : this->open_requests) {
    request.finished = request.finished || request.entry_vm == number;
  }
  this->StartVm(number);
  this->DropRequestsAt(number);
}

void RepeatSimulation::DropRequestsAt(uint32_t number) {
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    if (i != number) {
      this->vms[i].router->OnLink(this->now, {number, 0}, false);
      this->Post(i, [this, i, number] {
        this->vms[i].router->OnLink(this->now, {number, 0}, true);
      });
    }
  }
  std::vector<std::pair<uint64_t, uint32_t>> lost;
  for (const auto& [id, request] : this->open_requests) {
    const bool is_there = request.target.kind == TargetKind::kDispatcher &&
                          request.target.vm.index == number;
    if (!request.finished && is_there) {
      lost.emplace_back(id, request.hops);
    }
  }
  for (const auto& [id, hop] : lost) {
    this->Reply(id, hop, Refusal::kPeerLost, 0);
  }
}

void RepeatSimulation::Pause(uint32_t number, Duration time) {
  this->vms.at(number).paused_until = this->now + time;
}

void RepeatSimulation::RandomizeMembership() {
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    for (VmRow& row : this->vms[i].fixture.view.vms) {
      const bool is_live = row.handle.index == i || this->random(3) != 0;
      row.state = is_live ? VmState::kLive : VmState::kSuspected;
    }
    this->Apply(i);
  }
}

void RepeatSimulation::RestoreMembership() {
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    for (VmRow& row : this->vms[i].fixture.view.vms) {
      row.state = VmState::kLive;
    }
    this->Apply(i);
  }
}

void RepeatSimulation::Run(Duration time) {
  for (const TimePoint end = this->now + time; this->now < end;) {
    this->now += kStepDuration;
    this->Step();
  }
}

void RepeatSimulation::Step() {
  const double per_step = this->options.requests_per_second * 1e6 *
                          std::chrono::duration<double>(kStepDuration).count();
  if (this->random(1'000'000) < static_cast<uint32_t>(per_step)) {
    this->Offer();
  }
  while (!this->messages.empty() &&
         this->messages.begin()->first <= this->now) {
    auto [to, task] = std::move(this->messages.begin()->second);
    this->messages.erase(this->messages.begin());
    this->vms[to].inbox.push_back(std::move(task));
  }
  this->EndAttempts();
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    Vm& vm = this->vms[i];
    if (vm.paused_until > this->now) {
      continue;
    }
    while (!vm.inbox.empty()) {
      const std::function<void()> task = std::move(vm.inbox.front());
      vm.inbox.pop_front();
      task();
    }
    vm.dispatcher->Tick(this->now);
    vm.router->Tick(this->now);
    this->HandleActions(i);
  }
}

// Messages to a VM that restarts before their delivery are dropped.
void RepeatSimulation::Post(uint32_t to, std::function<void()> task) {
  const uint32_t start = this->vms[to].start;
  auto guarded = [this, to, start, task = std::move(task)] {
    if (this->vms[to].start == start) {
      task();
    }
  };
  this->messages.emplace(this->now + kNetworkDelay,
                         std::pair{to, std::move(guarded)});
}

void RepeatSimulation::Offer() {
  const auto number =
      static_cast<uint32_t>(this->random(static_cast<uint32_t>(vms.size())));
  Vm& vm = this->vms[number];
  if (vm.paused_until > this->now) {
    return;
  }
  EntryRequest request;
  request.team = {0, 0};
  request.service = {0, 0};
  request.deadline = this->now + kDeadline;
  request.idempotent = true;
  request.replayable = true;
  const Admission admission = vm.router->Admit(this->now, request);
  this->request_times.push_back(this->now);
  if (admission.refusal != Refusal::kNone) {
    return;
  }
  const uint64_t id = this->next_id++;
  this->open_requests[id] = {number, admission.entry, {}, 0, 0, false};
  this->Route(id);
}

void RepeatSimulation::Route(uint64_t id) {
  Request& request = this->open_requests.at(id);
  Vm& vm = this->vms[request.entry_vm];
  ++request.hops;
  request.target = vm.router->Choose(this->now, request.entry);
  switch (request.target.kind) {
    case TargetKind::kDispatcher:
      this->SendToDispatcher(id);
      break;
    case TargetKind::kDirect:
      this->SendToUpstream(id);
      break;
    default:
      vm.router->Finish(this->now, request.entry);
      request.finished = true;
      break;
  }
}

void RepeatSimulation::SendToDispatcher(uint64_t id) {
  const Request& request = this->open_requests.at(id);
  DispatchRequest offer;
  offer.shard = request.target.shard;
  offer.team = {0, 0};
  offer.deadline = this->now + kDeadline;
  offer.idempotent = true;
  offer.max_wait = request.target.max_wait;
  offer.max_attempts = 3;
  offer.sends = request.target.sends;
  offer.cookie = id << kHopBits | request.hops;
  if (this->options.mixed) {
    offer.traffic_class = static_cast<TrafficClass>(
        this->random(static_cast<uint32_t>(TrafficClass::kCount)));
    offer.good_for = ShortMillis(this->random(kMaxTarget.count()));
  }
  const uint32_t to = request.target.vm.index;
  this->Post(to, [this, to, offer] {
    this->vms[to].dispatcher->Offer(this->now, offer);
    this->HandleActions(to);
  });
}

void RepeatSimulation::SendToUpstream(uint64_t id) {
  const Request& request = this->open_requests.at(id);
  const AttemptEnd end = this->OnArrival(id, request.target.upstream);
  if (end == AttemptEnd::kShed) {
    this->Reply(id, request.hops, Refusal::kUpstreamShed, 1);
  } else {
    this->Reply(id, request.hops, Refusal::kNone, 1);
  }
}

void RepeatSimulation::HandleActions(uint32_t number) {
  Vm& vm = this->vms[number];
  while (!vm.dispatcher->actions().empty()) {
    const std::vector<DispatchAction> round = vm.dispatcher->actions();
    vm.dispatcher->ClearActions();
    for (const DispatchAction& action : round) {
      if (action.kind == DispatchActionKind::kStart) {
        this->Start(number, action);
      } else if (action.kind == DispatchActionKind::kRefuse) {
        this->SendAnswer(number, action.cookie, action.refusal, action.sends);
      } else if (action.kind == DispatchActionKind::kCancel) {
        std::erase_if(this->attempts, [&](const Attempt& attempt) {
          return attempt.vm == number && attempt.attempt == action.attempt;
        });
      }
    }
  }
}

void RepeatSimulation::Start(uint32_t number, const DispatchAction& action) {
  const AttemptEnd end =
      this->OnArrival(action.cookie >> kHopBits, action.upstream);
  const Duration time = end == AttemptEnd::kShed
                            ? kShedTime
                            : Duration(this->options.request_duration);
  this->attempts.push_back(
      {this->now + time, action.cookie, number, action.attempt, end});
}

AttemptEnd RepeatSimulation::OnArrival(uint64_t id, UpstreamHandle upstream) {
  if (this->open_requests.at(id).arrivals++ > 0) {
    this->repeat_times.push_back(this->now);
  }
  const bool is_shed = this->failing.at(upstream.index) ||
                       this->random(100) < this->options.shed_percent;
  return is_shed ? AttemptEnd::kShed : AttemptEnd::kAnswered;
}

void RepeatSimulation::EndAttempts() {
  std::vector<Attempt> ended;
  std::erase_if(this->attempts, [&](const Attempt& attempt) {
    const bool has_ended = attempt.ends <= this->now;
    if (has_ended) {
      ended.push_back(attempt);
    }
    return has_ended;
  });
  for (const Attempt& attempt : ended) {
    this->Post(attempt.vm, [this, attempt] { this->End(attempt); });
  }
}

void RepeatSimulation::End(const Attempt& attempt) {
  AttemptReport report = DispatchHarness::Report(attempt.end);
  if (this->options.mixed) {
    report.load.known = this->random(4) > 0;
    report.load.slots = this->options.slots;
    report.load.running = static_cast<uint16_t>(
        this->random(this->options.slots + this->options.shed_percent / 50));
  }
  const bool continues = this->vms[attempt.vm].dispatcher->OnAttemptEnd(
      this->now, attempt.attempt, report);
  this->HandleActions(attempt.vm);
  if (!continues && report.end == AttemptEnd::kAnswered) {
    ++this->answers;
    this->SendAnswer(attempt.vm, attempt.cookie, Refusal::kNone, 0);
  }
}

// A dispatcher reports the end of a request together with the shard's load.
void RepeatSimulation::SendAnswer(uint32_t from,
                                  uint64_t cookie,
                                  Refusal refusal,
                                  uint8_t sends) {
  const uint64_t id = cookie >> kHopBits;
  const Request& request = this->open_requests.at(id);
  const ShardSummary summary =
      this->vms[from].dispatcher->Summarize(this->now, request.target.shard);
  const uint32_t to = request.entry_vm;
  this->Post(to, [this, to, from, summary] {
    this->vms[to].router->OnSummary(this->now, {from, 0}, summary);
  });
  this->Reply(id, cookie & kHopMask, refusal, sends);
}

void RepeatSimulation::Reply(uint64_t id,
                             uint32_t hop,
                             Refusal refusal,
                             uint8_t sends) {
  const Request& request = this->open_requests.at(id);
  this->Post(request.entry_vm, [this, id, hop, refusal, sends] {
    const Request& current = this->open_requests.at(id);
    if (!current.finished && current.hops == hop) {
      this->OnRefused(id, refusal, sends);
    }
  });
}

void RepeatSimulation::OnRefused(uint64_t id, Refusal refusal, uint8_t sends) {
  Request& request = this->open_requests.at(id);
  EntryRouter& router = *this->vms[request.entry_vm].router;
  const bool continues =
      refusal != Refusal::kNone &&
      router.OnRefused(this->now, request.entry, refusal, sends).retry;
  if (continues) {
    this->Route(id);
    return;
  }
  router.Finish(this->now, request.entry);
  request.finished = true;
}

// A repeat may follow its request after a delay. The limit is therefore based
// on the requests of the window itself, of the window before it, or of the
// window half a window earlier, whichever has the most.
double RepeatSimulation::WorstExcess() const {
  const Duration window = this->options.bound.window;
  double worst = -this->options.bound.slack;
  for (const TimePoint end : this->repeat_times) {
    size_t counted = 0;
    for (const Duration back : {Duration(0), window / kWindowHalves, window}) {
      counted = std::max(counted, CountWithin(this->request_times,
                                              end - back - window, end - back));
    }
    const double allowed =
        this->options.bound.ratio * static_cast<double>(counted) +
        this->options.bound.slack;
    const auto made =
        static_cast<double>(CountWithin(this->repeat_times, end - window, end));
    worst = std::max(worst, made - allowed);
  }
  return worst;
}

}  // namespace basilsill
