#include "repeat_simulation.h"

#include <algorithm>
#include <utility>

namespace basilsill {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 1ms;
constexpr Duration kWay = 1ms;  // Between two VMs.
constexpr Duration kShedTime = 2ms;
constexpr Duration kDeadline = 1200ms;
// A dispatcher names a request by its number and by which hop of it this is.
constexpr unsigned kHopBits = 8;
constexpr uint64_t kHopMask = (1U << kHopBits) - 1;
// What fits into a window of the bound before and after its own half.
constexpr int kWindowHalf = 2;

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
      broken(options.upstreams) {
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
    this->Boot(i);
  }
}

void RepeatSimulation::Boot(uint32_t number) {
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
  this->Take(number);
}

void RepeatSimulation::SetBroken(uint32_t upstream, bool is_broken) {
  this->broken.at(upstream) = is_broken;
}

void RepeatSimulation::Restart(uint32_t number) {
  std::erase_if(this->attempts, [number](const Attempt& attempt) {
    return attempt.vm == number;
  });
  for (auto& [id, request] : this->open) {
    request.over = request.over || request.entry_vm == number;
  }
  this->Boot(number);
  this->LoseWorkAt(number);
}

void RepeatSimulation::LoseWorkAt(uint32_t number) {
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    if (i != number) {
      this->vms[i].router->OnLink(this->now, {number, 0}, false);
      this->Post(i, [this, i, number] {
        this->vms[i].router->OnLink(this->now, {number, 0}, true);
      });
    }
  }
  std::vector<std::pair<uint64_t, uint32_t>> lost;
  for (const auto& [id, request] : this->open) {
    const bool is_there = request.target.kind == TargetKind::kDispatcher &&
                          request.target.vm.index == number;
    if (!request.over && is_there) {
      lost.emplace_back(id, request.hops);
    }
  }
  for (const auto& [id, hop] : lost) {
    this->Reply(id, hop, Refusal::kPeerLost, 0);
  }
}

void RepeatSimulation::Freeze(uint32_t number, Duration time) {
  this->vms.at(number).frozen_until = this->now + time;
}

void RepeatSimulation::Disagree() {
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    for (VmRow& row : this->vms[i].fixture.view.vms) {
      const bool is_live = row.handle.index == i || this->random(3) != 0;
      row.state = is_live ? VmState::kLive : VmState::kSuspected;
    }
    this->Apply(i);
  }
}

void RepeatSimulation::Agree() {
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    for (VmRow& row : this->vms[i].fixture.view.vms) {
      row.state = VmState::kLive;
    }
    this->Apply(i);
  }
}

void RepeatSimulation::Run(Duration time) {
  for (const TimePoint end = this->now + time; this->now < end;) {
    this->now += kStep;
    this->Step();
  }
}

void RepeatSimulation::Step() {
  const double per_step = this->options.requests_per_second * 1e6 *
                          std::chrono::duration<double>(kStep).count();
  if (this->random(1'000'000) < static_cast<uint32_t>(per_step)) {
    this->Offer();
  }
  while (!this->mail.empty() && this->mail.begin()->first <= this->now) {
    auto [to, task] = std::move(this->mail.begin()->second);
    this->mail.erase(this->mail.begin());
    this->vms[to].inbox.push_back(std::move(task));
  }
  this->EndWork();
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    Vm& vm = this->vms[i];
    if (vm.frozen_until > this->now) {
      continue;
    }
    while (!vm.inbox.empty()) {
      const std::function<void()> task = std::move(vm.inbox.front());
      vm.inbox.pop_front();
      task();
    }
    vm.dispatcher->Tick(this->now);
    vm.router->Tick(this->now);
    this->Take(i);
  }
}

// A VM that starts again meanwhile gets nothing of what was sent before.
void RepeatSimulation::Post(uint32_t to, std::function<void()> task) {
  const uint32_t start = this->vms[to].start;
  auto guarded = [this, to, start, task = std::move(task)] {
    if (this->vms[to].start == start) {
      task();
    }
  };
  this->mail.emplace(this->now + kWay, std::pair{to, std::move(guarded)});
}

void RepeatSimulation::Offer() {
  const auto number =
      static_cast<uint32_t>(this->random(static_cast<uint32_t>(vms.size())));
  Vm& vm = this->vms[number];
  if (vm.frozen_until > this->now) {
    return;
  }
  EntryRequest request;
  request.team = {0, 0};
  request.service = {0, 0};
  request.deadline = this->now + kDeadline;
  request.idempotent = true;
  request.replayable = true;
  const Admission admission = vm.router->Admit(this->now, request);
  this->sent.push_back(this->now);
  if (admission.refusal != Refusal::kNone) {
    return;
  }
  const uint64_t id = this->next_id++;
  this->open[id] = {number, admission.entry, {}, 0, 0, false};
  this->Go(id);
}

void RepeatSimulation::Go(uint64_t id) {
  Request& request = this->open.at(id);
  Vm& vm = this->vms[request.entry_vm];
  ++request.hops;
  request.target = vm.router->Choose(this->now, request.entry);
  switch (request.target.kind) {
    case TargetKind::kDispatcher:
      this->ToDispatcher(id);
      break;
    case TargetKind::kDirect:
      this->ToUpstream(id);
      break;
    default:
      vm.router->Finish(this->now, request.entry);
      request.over = true;
      break;
  }
}

void RepeatSimulation::ToDispatcher(uint64_t id) {
  const Request& request = this->open.at(id);
  DispatchRequest offer;
  offer.shard = request.target.shard;
  offer.team = {0, 0};
  offer.deadline = this->now + kDeadline;
  offer.idempotent = true;
  offer.max_wait = request.target.max_wait;
  offer.max_attempts = 3;
  offer.sends = request.target.sends;
  offer.cookie = id << kHopBits | request.hops;
  const uint32_t to = request.target.vm.index;
  this->Post(to, [this, to, offer] {
    this->vms[to].dispatcher->Offer(this->now, offer);
    this->Take(to);
  });
}

void RepeatSimulation::ToUpstream(uint64_t id) {
  const Request& request = this->open.at(id);
  const AttemptEnd end = this->Arrive(id, request.target.upstream);
  if (end == AttemptEnd::kShed) {
    this->Reply(id, request.hops, Refusal::kUpstreamShed, 1);
  } else {
    this->Reply(id, request.hops, Refusal::kNone, 1);
  }
}

void RepeatSimulation::Take(uint32_t number) {
  Vm& vm = this->vms[number];
  while (!vm.dispatcher->actions().empty()) {
    const std::vector<DispatchAction> round = vm.dispatcher->actions();
    vm.dispatcher->ClearActions();
    for (const DispatchAction& action : round) {
      if (action.kind == DispatchActionKind::kStart) {
        this->Start(number, action);
      } else if (action.kind == DispatchActionKind::kRefuse) {
        this->Answer(number, action.cookie, action.refusal, action.sends);
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
      this->Arrive(action.cookie >> kHopBits, action.upstream);
  const Duration time =
      end == AttemptEnd::kShed ? kShedTime : Duration(this->options.work);
  this->attempts.push_back(
      {this->now + time, action.cookie, number, action.attempt, end});
}

AttemptEnd RepeatSimulation::Arrive(uint64_t id, UpstreamHandle upstream) {
  if (this->open.at(id).arrivals++ > 0) {
    this->extra.push_back(this->now);
  }
  const bool is_shed = this->broken.at(upstream.index) ||
                       this->random(100) < this->options.shed_percent;
  return is_shed ? AttemptEnd::kShed : AttemptEnd::kAnswered;
}

void RepeatSimulation::EndWork() {
  std::vector<Attempt> ended;
  std::erase_if(this->attempts, [&](const Attempt& attempt) {
    const bool is_over = attempt.ends <= this->now;
    if (is_over) {
      ended.push_back(attempt);
    }
    return is_over;
  });
  for (const Attempt& attempt : ended) {
    this->Post(attempt.vm, [this, attempt] { this->End(attempt); });
  }
}

void RepeatSimulation::End(const Attempt& attempt) {
  const AttemptReport report = DispatchHarness::Report(attempt.end);
  const bool goes_on = this->vms[attempt.vm].dispatcher->OnAttemptEnd(
      this->now, attempt.attempt, report);
  this->Take(attempt.vm);
  if (!goes_on && report.end == AttemptEnd::kAnswered) {
    ++this->answers;
    this->Answer(attempt.vm, attempt.cookie, Refusal::kNone, 0);
  }
}

// A dispatcher says how a request ended, and how loaded the shard is.
void RepeatSimulation::Answer(uint32_t from,
                              uint64_t cookie,
                              Refusal refusal,
                              uint8_t sends) {
  const uint64_t id = cookie >> kHopBits;
  const Request& request = this->open.at(id);
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
  const Request& request = this->open.at(id);
  this->Post(request.entry_vm, [this, id, hop, refusal, sends] {
    const Request& now_at = this->open.at(id);
    if (!now_at.over && now_at.hops == hop) {
      this->OnRefused(id, refusal, sends);
    }
  });
}

void RepeatSimulation::OnRefused(uint64_t id, Refusal refusal, uint8_t sends) {
  Request& request = this->open.at(id);
  EntryRouter& router = *this->vms[request.entry_vm].router;
  const bool goes_on =
      refusal != Refusal::kNone &&
      router.OnRefused(this->now, request.entry, refusal, sends).retry;
  if (goes_on) {
    this->Go(id);
    return;
  }
  router.Finish(this->now, request.entry);
  request.over = true;
}

// The requests that count are those of the window, of the one before it, or of
// the one half a window before it, whichever has most.
double RepeatSimulation::WorstExcess() const {
  const Duration window = this->options.bound.window;
  double worst = -this->options.bound.slack;
  for (const TimePoint end : this->extra) {
    size_t counted = 0;
    for (const Duration back : {Duration(0), window / kWindowHalf, window}) {
      counted = std::max(
          counted, CountWithin(this->sent, end - back - window, end - back));
    }
    const double allowed =
        this->options.bound.ratio * static_cast<double>(counted) +
        this->options.bound.slack;
    const auto made =
        static_cast<double>(CountWithin(this->extra, end - window, end));
    worst = std::max(worst, made - allowed);
  }
  return worst;
}

}  // namespace basilsill
