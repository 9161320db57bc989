#include "reach_simulation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace basilsill {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStepDuration = 2ms;
constexpr Duration kNetworkDelay = 1ms;  // Between two VMs, one way.
constexpr Duration kConnectTime = 1ms;
constexpr Duration kConnectTimeout = 150ms;
constexpr Duration kDeadline = 1200ms;
constexpr uint8_t kMaxAttempts = 3;
// A connection ends when data that was sent is not acknowledged for this long.
constexpr Duration kUserTimeout = limits::kUpstreamUserTimeout;
// The cookie of a request at a dispatcher consists of the request's id and the
// number of the hop.
constexpr unsigned kHopBits = 8;
constexpr uint64_t kHopMask = (1U << kHopBits) - 1;
constexpr uint32_t kCapacity = 4000;
constexpr uint32_t kSmallCapacity = 250;
constexpr uint32_t kParts = 1'000'000;  // Of one request.
constexpr size_t kMaxRequests = 4096;   // Per VM.
// Size of a heartbeat without lists, and of a name in a list without its text.
constexpr uint64_t kHeartbeatBytes = 72;
constexpr uint64_t kNameBytes = 8;

// Each VM gives itself and its own data centre the handle 0, and the others
// follow in order.
// @returns the index of the handle that VM or data centre `own` gives `other`,
// or the reverse.
uint32_t ToIndex(uint32_t own, uint32_t other) {
  if (other == own) {
    return 0;
  }
  return other < own ? other + 1 : other;
}
uint32_t FromIndex(uint32_t own, uint32_t index) {
  if (index == 0) {
    return own;
  }
  return index <= own ? index - 1 : index;
}

bool IsRefusing(PathState state) {
  return state == PathState::kRefuses || state == PathState::kStopped;
}

std::string NameOfDataCentre(uint32_t number) {
  return "dc-" + std::to_string(number);
}

}  // namespace

ReachSimulation::ReachSimulation(uint64_t seed,
                                 const ReachSimulationOptions& options)
    : options(options), random(seed), vms(options.vms) {
  this->changed_at = this->now;
  for (uint32_t i = 0; i < options.vms; ++i) {
    this->vms[i].is_small =
        options.has_small_vms && i / options.data_centres % 2 == 1;
  }
  for (uint32_t i = 0; i < options.vms; ++i) {
    this->CreateVm(i);
  }
}

VmHello ReachSimulation::HelloOf(uint32_t number) const {
  VmHello hello;
  hello.name = "vm-" + std::to_string(number);
  hello.data_centre = NameOfDataCentre(number % this->options.data_centres);
  hello.incarnation = number + 1;
  hello.capacity = this->vms[number].is_small ? kSmallCapacity : kCapacity;
  return hello;
}

void ReachSimulation::CreateVm(uint32_t number) {
  Vm& vm = this->vms[number];
  const uint32_t data_centres = this->options.data_centres;
  MembershipOptions membership;
  membership.self = this->HelloOf(number);
  membership.max_vms = this->options.vms;
  vm.members = Membership::Create(this->now, membership);
  for (uint32_t i = 0; i < data_centres; ++i) {
    vm.members->InternDataCentre(NameOfDataCentre(i));
  }
  for (uint32_t i = 0; i < this->options.vms; ++i) {
    if (i != number) {
      vm.members->OnHello(this->now, this->HelloOf(i));
    }
  }
  vm.members->ClearActions();
  const RepeatShares parts = SplitRepeatBudget(this->options.repeats);
  DispatcherOptions dispatcher;
  dispatcher.max_requests = kMaxRequests;
  dispatcher.repeats = parts;
  dispatcher.retry_budget = {1, 1000, 1000, 1000};
  dispatcher.hedge_budget = dispatcher.retry_budget;
  dispatcher.seed = this->random();
  EntryOptions entry;
  entry.max_requests = kMaxRequests;
  entry.repeats = parts.entries;
  entry.seed = this->random();
  vm.dispatcher = Dispatcher::Create(dispatcher);
  vm.router = EntryRouter::Create(entry);
  vm.reach = UpstreamReach::Create(this->random());
  vm.paths.resize(data_centres, PathState::kOpen);
  vm.kept.resize(this->options.upstreams, 0);
  vm.tick_at = this->now + Duration(this->random(static_cast<uint32_t>(
                               Duration(limits::kControlTick).count())));
  this->Rebuild(number);
}

DataCentreHandle ReachSimulation::DataCentreOf(uint32_t vm,
                                               UpstreamHandle upstream) const {
  const uint32_t data_centres = this->options.data_centres;
  return {ToIndex(vm % data_centres, upstream.index % data_centres), 0};
}

std::shared_ptr<RoutingView> ReachSimulation::BuildView(uint32_t number) {
  Vm& vm = this->vms[number];
  ViewFixture fixture;
  fixture.view.vms = vm.members->rows();
  fixture.view.data_centres = vm.members->data_centres();
  fixture.view.self = vm.members->self();
  fixture.view.version = vm.view ? vm.view->version + 1 : 1;
  auto view = std::make_shared<RoutingView>(fixture.view);
  for (uint32_t i = 0; i < this->options.services; ++i) {
    auto service = std::make_shared<ServiceRow>(fixture.service);
    service->handle = {i, 0};
    service->name = "service-" + std::to_string(i);
    view->services.push_back(service);
    for (uint32_t k = 0; k < this->options.upstreams; ++k) {
      if (k / this->options.data_centres % this->options.services != i) {
        continue;
      }
      UpstreamRow row;
      row.handle = {k, 0};
      row.endpoint = {"10.0.0.1", static_cast<uint16_t>(8000 + k)};
      row.data_centre = this->DataCentreOf(number, row.handle);
      row.slots = this->options.slots;
      service->upstreams.push_back(row);
    }
    AssignShards(*view, *service);
  }
  return view;
}

// Builds a view if the table of VMs has changed, and gives it to the worker.
void ReachSimulation::Rebuild(uint32_t number) {
  Vm& vm = this->vms[number];
  if (vm.view && vm.built_membership == vm.members->version()) {
    return;
  }
  vm.built_membership = vm.members->version();
  const RoutingViewPtr before = std::exchange(vm.view, this->BuildView(number));
  this->CountView(number, before.get());
  vm.reach->ApplyView(this->now, vm.view);
  vm.router->ApplyView(this->now, vm.view);
  vm.dispatcher->ApplyView(this->now, vm.view);
  this->HandleReach(number);
}

void ReachSimulation::CountView(uint32_t number, const RoutingView* before) {
  this->count.views.resize(this->vms.size());
  this->count.owner_changes.resize(this->vms.size());
  if (before == nullptr) {
    return;
  }
  ++this->count.views[number];
  const RoutingView& after = *this->vms[number].view;
  for (size_t i = 0; i < after.services.size(); ++i) {
    for (size_t k = 0; k < after.services[i]->shards.size(); ++k) {
      const bool is_same = after.services[i]->shards[k].owners.front() ==
                           before->services[i]->shards[k].owners.front();
      this->count.owner_changes[number] += is_same ? 0 : 1;
    }
  }
}

void ReachSimulation::ResetCounts() {
  this->count = ReachCounts();
  this->count.views.resize(this->vms.size());
  this->count.owner_changes.resize(this->vms.size());
}

void ReachSimulation::TickControl(uint32_t number) {
  Vm& vm = this->vms[number];
  if (this->now < vm.tick_at) {
    return;
  }
  vm.tick_at += limits::kControlTick;
  this->Perform(number, vm.reports.Tick(this->now, *vm.members));
  this->Rebuild(number);
}

void ReachSimulation::Perform(uint32_t number, const ReachStep& step) {
  if (step.build) {
    this->Rebuild(number);
  }
  if (step.send) {
    this->SendReports(number);
  }
  if (step.due != kNever) {
    this->Post(step.due - this->now, [this, number] {
      Vm& vm = this->vms[number];
      this->Perform(number, vm.reports.Tick(this->now, *vm.members));
    });
  }
  if (step.doubts_changed) {
    this->vms[number].reach->SetDoubts(this->now, step.doubts);
    this->HandleReach(number);
  }
}

bool ReachSimulation::AreLinked(uint32_t vm, uint32_t other) const {
  return vm != other && !(this->vms[vm].is_small && this->vms[other].is_small);
}

// The peers get the names of data centres, as their handles differ.
void ReachSimulation::SendReports(uint32_t number) {
  const std::vector<std::string> unreachable =
      this->NamesOf(number, this->vms[number].reports.report().unreachable);
  const std::vector<std::string> reached =
      this->NamesOf(number, this->vms[number].reports.report().reached);
  uint64_t bytes = kHeartbeatBytes;
  for (const auto* names : {&unreachable, &reached}) {
    for (const std::string& name : *names) {
      bytes += kNameBytes + name.size();
    }
  }
  ++this->count.reports;
  for (uint32_t to = 0; to < this->vms.size(); ++to) {
    if (!this->AreLinked(number, to)) {
      continue;
    }
    ++this->count.messages;
    this->count.bytes += bytes;
    this->Post(this->options.report_delay, [this, to, number, unreachable,
                                            reached] {
      const PathReport report{this->HandlesOf(to, unreachable),
                              this->HandlesOf(to, reached)};
      Vm& peer = this->vms[to];
      this->Perform(to, peer.reports.OnPeer(this->now, {ToIndex(to, number), 0},
                                            number + 1, report, *peer.members));
    });
  }
}

std::vector<std::string> ReachSimulation::NamesOf(
    uint32_t number,
    const std::vector<DataCentreHandle>& handles) const {
  std::vector<std::string> names;
  names.reserve(handles.size());
  for (const DataCentreHandle handle : handles) {
    names.push_back(
        this->vms[number].members->data_centres()[handle.index].name);
  }
  return names;
}

std::vector<DataCentreHandle> ReachSimulation::HandlesOf(
    uint32_t number,
    const std::vector<std::string>& names) {
  std::vector<DataCentreHandle> handles;
  handles.reserve(names.size());
  for (const std::string& name : names) {
    handles.push_back(this->vms[number].members->InternDataCentre(name));
  }
  return handles;
}

void ReachSimulation::SetPaths(uint32_t vm, PathState state) {
  for (uint32_t i = 0; i < this->options.data_centres; ++i) {
    this->SetPath(vm, i, state);
  }
}

void ReachSimulation::SetDataCentre(uint32_t data_centre, PathState state) {
  for (uint32_t i = 0; i < this->options.vms; ++i) {
    this->SetPath(i, data_centre, state);
  }
}

void ReachSimulation::SetPath(uint32_t vm,
                              uint32_t data_centre,
                              PathState state) {
  this->vms[vm].paths[data_centre] = state;
  this->changed_at = this->now;
  this->failed_connect_at = kNever;
  this->BreakConnections(vm, data_centre, state);
}

void ReachSimulation::BreakConnections(uint32_t vm,
                                       uint32_t data_centre,
                                       PathState state) {
  if (state == PathState::kOpen || state == PathState::kRefuses) {
    return;
  }
  for (Attempt& attempt : this->attempts) {
    const bool is_hit =
        attempt.vm == vm &&
        attempt.upstream.index % this->options.data_centres == data_centre &&
        attempt.outcome.end == AttemptEnd::kAnswered;
    if (is_hit && state == PathState::kHangs) {
      // The upstream has acknowledged the request, so nothing ends it.
      attempt.outcome.end = AttemptEnd::kCount;
    } else if (is_hit) {
      attempt.outcome.end = AttemptEnd::kDied;
      attempt.ends = this->now;
    }
  }
  for (uint32_t i = data_centre; i < this->options.upstreams;
       i += this->options.data_centres) {
    uint32_t& kept = this->vms[vm].kept[i];
    kept = state == PathState::kHangs ? kept : 0;
  }
}

void ReachSimulation::Run(Duration time) {
  for (const TimePoint end = this->now + time; this->now < end;) {
    this->now += kStepDuration;
    this->Step();
  }
}

void ReachSimulation::Finish() {
  this->options.requests_per_second = 0;
  this->Run(kDeadline + kConnectTimeout);
}

void ReachSimulation::Step() {
  const double per_step = this->options.requests_per_second * kParts *
                          std::chrono::duration<double>(kStepDuration).count();
  const auto due = static_cast<uint32_t>(per_step);
  for (uint32_t i = 0; i < due / kParts; ++i) {
    this->Offer();
  }
  if (this->random(kParts) < due % kParts) {
    this->Offer();
  }
  while (!this->messages.empty() &&
         this->messages.begin()->first <= this->now) {
    const std::function<void()> task =
        std::move(this->messages.begin()->second);
    this->messages.erase(this->messages.begin());
    task();
  }
  this->EndAttempts();
  for (uint32_t i = 0; i < this->vms.size(); ++i) {
    this->vms[i].reach->Tick(this->now);
    this->HandleReach(i);
    this->TickControl(i);
    this->vms[i].dispatcher->Tick(this->now);
    this->vms[i].router->Tick(this->now);
    this->HandleActions(i);
  }
}

void ReachSimulation::Post(Duration delay, std::function<void()> task) {
  this->messages.emplace(this->now + delay, std::move(task));
}

void ReachSimulation::Offer() {
  const uint32_t number = this->random(this->options.vms);
  Vm& vm = this->vms[number];
  EntryRequest request;
  request.team = {0, 0};
  request.service = {
      this->options.services == 1 ? 0 : this->random(this->options.services),
      0};
  request.deadline = this->now + kDeadline;
  request.idempotent = true;
  request.replayable = true;
  request.max_attempts = kMaxAttempts;
  const Admission admission = vm.router->Admit(this->now, request);
  const uint64_t id = this->next_id++;
  Request& row = this->open_requests[id];
  row.entry_vm = number;
  row.entry = admission.entry;
  row.made = this->now;
  row.failed_connect_at = this->failed_connect_at;
  row.changed_at = this->changed_at;
  row.can_be_served =
      std::any_of(this->vms.begin(), this->vms.end(), [](const Vm& other) {
        return std::find(other.paths.begin(), other.paths.end(),
                         PathState::kOpen) != other.paths.end();
      });
  if (admission.refusal == Refusal::kNone) {
    this->Route(id);
  }
}

void ReachSimulation::Route(uint64_t id) {
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
      request.ended = this->now;
      break;
  }
}

void ReachSimulation::SendToDispatcher(uint64_t id) {
  const Request& request = this->open_requests.at(id);
  DispatchRequest offer;
  offer.shard = request.target.shard;
  offer.team = {0, 0};
  offer.deadline = request.made + kDeadline;
  offer.idempotent = true;
  offer.max_wait = request.target.max_wait;
  offer.max_attempts = kMaxAttempts;
  offer.sends = request.target.sends;
  offer.cookie = id << kHopBits | request.hops;
  const uint32_t to = FromIndex(request.entry_vm, request.target.vm.index);
  this->count.dispatched.emplace(to, offer.shard);
  this->count.links.emplace(request.entry_vm, to);
  this->Post(kNetworkDelay, [this, to, offer] {
    this->vms[to].dispatcher->Offer(this->now, offer);
    this->HandleActions(to);
  });
}

void ReachSimulation::SendToUpstream(uint64_t id) {
  const Request& request = this->open_requests.at(id);
  const UpstreamHandle upstream = request.target.upstream;
  const uint32_t number = request.entry_vm;
  const Outcome outcome = this->Draw(number, upstream);
  const uint32_t hop = request.hops;
  this->Post(outcome.time, [this, id, hop, number, upstream, outcome] {
    if (outcome.on_new_connection) {
      this->OnConnect(number, upstream, outcome.connected);
    }
    const uint8_t sends = outcome.connected ? 1 : 0;
    if (outcome.end != AttemptEnd::kCount) {
      this->Reply(id, hop, RefusalOf(outcome.end), sends);
    }
  });
}

void ReachSimulation::HandleActions(uint32_t number) {
  Vm& vm = this->vms[number];
  while (!vm.dispatcher->actions().empty()) {
    const std::vector<DispatchAction> round = vm.dispatcher->actions();
    vm.dispatcher->ClearActions();
    for (const DispatchAction& action : round) {
      if (action.kind == DispatchActionKind::kStart) {
        const Outcome outcome = this->Draw(number, action.upstream);
        this->attempts.push_back({number, action.cookie, action.attempt,
                                  action.upstream, this->now + outcome.time,
                                  outcome});
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

PathState& ReachSimulation::PathTo(uint32_t vm, UpstreamHandle upstream) {
  return this->vms[vm].paths[upstream.index % this->options.data_centres];
}

ReachSimulation::Outcome ReachSimulation::Draw(uint32_t vm,
                                               UpstreamHandle upstream) {
  const PathState path = this->PathTo(vm, upstream);
  uint32_t& kept = this->vms[vm].kept[upstream.index];
  Outcome outcome;
  outcome.on_new_connection = kept == 0;
  outcome.time = this->options.request_duration;
  outcome.end = AttemptEnd::kAnswered;
  if (!outcome.on_new_connection) {
    --kept;
    if (path != PathState::kOpen && path != PathState::kRefuses) {
      outcome.time = kUserTimeout;
      outcome.end = AttemptEnd::kDied;
    }
    return outcome;
  }
  if (path != PathState::kOpen) {
    outcome.connected = false;
    outcome.time = IsRefusing(path) ? kConnectTime : kConnectTimeout;
    outcome.end = AttemptEnd::kConnectFailed;
  }
  return outcome;
}

void ReachSimulation::Probe(uint32_t vm, UpstreamHandle upstream) {
  const PathState path = this->PathTo(vm, upstream);
  const bool connects = path == PathState::kOpen;
  const bool fails_late = !connects && !IsRefusing(path);
  this->Post(fails_late ? kConnectTimeout : kConnectTime,
             [this, vm, upstream, connects] {
               this->vms[vm].kept[upstream.index] += connects ? 1 : 0;
               this->OnConnect(vm, upstream, connects);
             });
}

void ReachSimulation::OnConnect(uint32_t vm,
                                UpstreamHandle upstream,
                                bool connected) {
  ++this->connect_count;
  if (!connected) {
    ++this->failed_connect_count;
    this->failed_connect_at = std::min(this->failed_connect_at, this->now);
  }
  this->vms[vm].reach->OnConnect(this->now, this->DataCentreOf(vm, upstream),
                                 upstream, connected);
  this->HandleReach(vm);
}

void ReachSimulation::HandleReach(uint32_t number) {
  Vm& vm = this->vms[number];
  for (const UpstreamHandle upstream : vm.reach->TakeProbes()) {
    this->Probe(number, upstream);
  }
  const std::vector<ReachEvent> events = vm.reach->TakeEvents();
  for (const ReachEvent& event : events) {
    if (event.kind != ReachEventKind::kConfirmed) {
      vm.dispatcher->OnReach(this->now, event.data_centre,
                             event.kind == ReachEventKind::kReachable);
    }
  }
  if (!events.empty()) {
    this->Report(number);
    this->HandleActions(number);
  }
}

void ReachSimulation::Report(uint32_t number) {
  Vm& vm = this->vms[number];
  this->Perform(number, vm.reports.OnWorker(this->now, 0, vm.reach->Report(),
                                            *vm.members));
}

void ReachSimulation::EndAttempts() {
  std::vector<Attempt> ended;
  std::erase_if(this->attempts, [&](const Attempt& attempt) {
    const bool has_ended =
        attempt.ends <= this->now && attempt.outcome.end != AttemptEnd::kCount;
    if (has_ended) {
      ended.push_back(attempt);
    }
    return has_ended;
  });
  for (const Attempt& attempt : ended) {
    this->End(attempt);
  }
}

void ReachSimulation::End(const Attempt& attempt) {
  Vm& vm = this->vms[attempt.vm];
  if (attempt.outcome.on_new_connection) {
    this->OnConnect(attempt.vm, attempt.upstream, attempt.outcome.connected);
  }
  const AttemptReport report = DispatchHarness::Report(attempt.outcome.end);
  const bool is_answered = report.end == AttemptEnd::kAnswered;
  vm.kept[attempt.upstream.index] += is_answered ? 1 : 0;
  const bool continues =
      vm.dispatcher->OnAttemptEnd(this->now, attempt.attempt, report);
  this->HandleActions(attempt.vm);
  if (!continues && is_answered) {
    this->SendAnswer(attempt.vm, attempt.cookie, Refusal::kNone, 0);
  }
}

// A dispatcher reports the end of a request together with the shard's load.
void ReachSimulation::SendAnswer(uint32_t from,
                                 uint64_t cookie,
                                 Refusal refusal,
                                 uint8_t sends) {
  const uint64_t id = cookie >> kHopBits;
  const Request& request = this->open_requests.at(id);
  const Dispatcher& dispatcher = *this->vms[from].dispatcher;
  const ShardKey shard = request.target.shard;
  const ShardSummary summary = dispatcher.Summarize(this->now, shard);
  const uint32_t to = request.entry_vm;
  if (dispatcher.ReachesShard(this->now, shard)) {
    this->Post(kNetworkDelay, [this, to, from, summary] {
      this->vms[to].router->OnSummary(this->now, {ToIndex(to, from), 0},
                                      summary);
    });
  }
  this->Reply(id, cookie & kHopMask, refusal, sends);
}

void ReachSimulation::Reply(uint64_t id,
                            uint32_t hop,
                            Refusal refusal,
                            uint8_t sends) {
  this->Post(kNetworkDelay, [this, id, hop, refusal, sends] {
    const Request& current = this->open_requests.at(id);
    if (!current.finished && current.hops == hop) {
      this->OnReply(id, refusal, sends);
    }
  });
}

void ReachSimulation::OnReply(uint64_t id, Refusal refusal, uint8_t sends) {
  Request& request = this->open_requests.at(id);
  EntryRouter& router = *this->vms[request.entry_vm].router;
  request.answered = refusal == Refusal::kNone;
  const bool continues =
      !request.answered &&
      router.OnRefused(this->now, request.entry, refusal, sends).retry;
  if (continues) {
    this->Route(id);
    return;
  }
  router.Finish(this->now, request.entry);
  request.finished = true;
  request.ended = this->now;
}

size_t ReachSimulation::CountMade(TimePoint from, TimePoint to) const {
  return static_cast<size_t>(
      std::count_if(this->open_requests.begin(), this->open_requests.end(),
                    [&](const auto& item) {
                      return item.second.made >= from && item.second.made < to;
                    }));
}

size_t ReachSimulation::CountRefused(TimePoint from, TimePoint to) const {
  return static_cast<size_t>(
      std::count_if(this->open_requests.begin(), this->open_requests.end(),
                    [&](const auto& item) {
                      return item.second.made >= from &&
                             item.second.made < to && !item.second.answered;
                    }));
}

size_t ReachSimulation::CountSlower(TimePoint from,
                                    TimePoint to,
                                    Duration time) const {
  return static_cast<size_t>(
      std::count_if(this->open_requests.begin(), this->open_requests.end(),
                    [&](const auto& item) {
                      const Request& request = item.second;
                      return request.made >= from && request.made < to &&
                             request.ended - request.made > time;
                    }));
}

bool ReachSimulation::IsSettled(const Request& request,
                                Duration settled_after) const {
  const bool has_failed = request.failed_connect_at != kNever;
  return request.can_be_served && has_failed &&
         request.made > request.failed_connect_at + settled_after;
}

size_t ReachSimulation::CountSettled(Duration settled_after) const {
  return static_cast<size_t>(
      std::count_if(this->open_requests.begin(), this->open_requests.end(),
                    [&](const auto& item) {
                      return this->IsSettled(item.second, settled_after);
                    }));
}

size_t ReachSimulation::CountLost(Duration settled_after) const {
  return static_cast<size_t>(
      std::count_if(this->open_requests.begin(), this->open_requests.end(),
                    [&](const auto& item) {
                      return this->IsSettled(item.second, settled_after) &&
                             !item.second.answered;
                    }));
}

}  // namespace basilsill
