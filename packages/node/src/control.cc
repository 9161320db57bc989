#include "control.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "basilsill/decision/api_keys.h"
#include "basilsill/decision/propagation_plan.h"
#include "basilsill/node/log.h"
#include "basilsill/node/task_end.h"

namespace basilsill {
namespace {

VmHello SelfHello(const Settings& settings,
                  const ControlOptions& options,
                  const Endpoint& control) {
  VmHello hello;
  hello.name = settings.vm.name;
  hello.data_centre = settings.vm.data_centre;
  hello.incarnation = options.incarnation;
  hello.control = control;
  hello.workers = options.workers;
  hello.capacity = settings.vm.capacity;
  return hello;
}

std::unique_ptr<Membership> MakeMembership(const Settings& settings,
                                           const ControlOptions& options,
                                           const Endpoint& control) {
  MembershipOptions membership;
  membership.self = SelfHello(settings, options, control);
  return Membership::Create(MonotonicClock::now(), membership);
}

ControlLinkOptions LinkOptions(const Settings& settings,
                               const ControlOptions& options,
                               const Endpoint& control) {
  ControlLinkOptions links;
  links.connect_timeout = settings.limits.link_connect;
  links.hello.role = wire::LinkRole::kControl;
  links.hello.vm = settings.vm.name;
  links.hello.incarnation = options.incarnation;
  links.hello.data_centre = settings.vm.data_centre;
  links.hello.control = control;
  links.hello.workers = options.workers;
  links.hello.capacity = settings.vm.capacity;
  return links;
}

QuotaCoordinatorOptions QuotaOptions(const Settings& settings,
                                     const ControlOptions& options) {
  QuotaCoordinatorOptions quotas;
  quotas.vm = settings.vm.name;
  quotas.incarnation = options.incarnation;
  quotas.data_centre = settings.vm.data_centre;
  quotas.shares = options.data_centres;
  return quotas;
}

const DataCentreRow* FindDataCentre(const RoutingView* view,
                                    DataCentreHandle handle) {
  return view != nullptr && handle.index < view->data_centres.size()
             ? &view->data_centres[handle.index]
             : nullptr;
}

// Logs which data centres the operator has drained or taken back, and counts
// the drained ones.
void ReportDrainChanges(const RoutingView* before,
                        const RoutingView& after,
                        ControlMetrics& counts) {
  int64_t drained = 0;
  for (const DataCentreRow& row : after.data_centres) {
    drained += row.drained ? 1 : 0;
    const DataCentreRow* known = FindDataCentre(before, row.handle);
    if (row.drained != (known != nullptr && known->drained)) {
      Log(row.drained ? Event::kDataCentreDrained : Event::kDataCentreTakenBack,
          {{"data_centre", row.name}, {"view", after.version}});
    }
  }
  counts.drained_data_centres.Set(drained);
}

// Logs which data centres are lost for all VMs or reached again, and counts the
// lost ones.
void ReportLossChanges(const RoutingView* before,
                       const RoutingView& after,
                       ControlMetrics& counts) {
  int64_t lost = 0;
  for (const DataCentreRow& row : after.data_centres) {
    lost += row.lost ? 1 : 0;
    const DataCentreRow* known = FindDataCentre(before, row.handle);
    if (row.lost != (known != nullptr && known->lost)) {
      Log(row.lost ? Event::kDataCentreLost : Event::kDataCentreReached,
          {{"data_centre", row.name}, {"view", after.version}});
    }
  }
  counts.lost_data_centres.Set(lost);
}

}  // namespace

Result<std::unique_ptr<Control>> Control::Create(
    IoContext& context,
    const Settings& settings,
    const ControlOptions& options,
    ControlHandlers handlers,
    ControlMetrics& counts,
    const MakeStateSource& make_source) {
  Result<Acceptor> acceptor =
      Listen(context, {settings.vm.address, settings.listen.control}, false);
  if (!acceptor) {
    return acceptor.error();
  }
  Result<std::unique_ptr<StateSource>> source =
      make_source(FromTcpEndpoint(acceptor.value().local_endpoint()));
  if (!source) {
    return source.error();
  }
  return std::unique_ptr<Control>(
      new Control(context, settings, options, std::move(handlers), counts,
                  std::move(source).value(), std::move(acceptor).value()));
}

Control::Control(IoContext& context,
                 const Settings& settings,
                 const ControlOptions& options,
                 ControlHandlers handlers,
                 ControlMetrics& counts,
                 std::unique_ptr<StateSource> source,
                 Acceptor acceptor)
    : context(context),
      settings(settings),
      incarnation(options.incarnation),
      handlers(std::move(handlers)),
      counts(counts),
      source(std::move(source)),
      members(MakeMembership(settings,
                             options,
                             FromTcpEndpoint(acceptor.local_endpoint()))),
      links(context,
            std::move(acceptor),
            LinkOptions(
                settings,
                options,
                this->members->rows().at(this->members->self().index).control),
            this->MakeLinkHandlers(),
            counts.links,
            counts.accept_failures),
      quotas(context,
             QuotaOptions(settings, options),
             this->source->quota_leases(),
             counts,
             this->MakeQuotaHandlers()),
      builder(ViewBuilder::Create()),
      api_key_max_age(options.api_key_max_age) {}

QuotaHostHandlers Control::MakeQuotaHandlers() {
  QuotaHostHandlers quota;
  quota.send = [this](VmHandle vm, const wire::PeerMessage& message) {
    return this->links.Send(vm, message);
  };
  quota.answer = [this](uint16_t worker, const QuotaAnswer& answer) {
    this->handlers.on_quota_answer(worker, answer);
  };
  return quota;
}

ControlLinkHandlers Control::MakeLinkHandlers() {
  ControlLinkHandlers link;
  link.on_hello = [this](const VmHello& hello) {
    const HelloResult result =
        this->members->OnHello(MonotonicClock::now(), hello);
    this->PumpMembership();
    return result;
  };
  link.on_received = [this](VmHandle vm, uint64_t sender_incarnation) {
    return this->members->OnMessageReceived(MonotonicClock::now(), vm,
                                            sender_incarnation);
  };
  link.on_linked = [this](VmHandle vm) { this->OnLinked(vm); };
  link.on_heartbeat = [this](VmHandle vm, const wire::Heartbeat& heartbeat) {
    this->OnHeartbeat(vm, heartbeat);
  };
  link.on_lost = [this](VmHandle vm, uint64_t lost) {
    this->members->OnLinkLost(MonotonicClock::now(), vm, lost);
    this->PumpMembership();
  };
  link.on_open_failed = [this](VmHandle vm) {
    this->members->OnOpenFailed(MonotonicClock::now(), vm);
    this->PumpMembership();
  };
  link.on_message = [this](VmHandle vm, const wire::PeerMessage& message) {
    this->OnMessage(vm, message);
  };
  return link;
}

void Control::OnMessage(VmHandle from, const wire::PeerMessage& message) {
  if (const auto* request = std::get_if<QuotaRequest>(&message)) {
    this->quotas.OnRequest(from, *request);
  } else if (const auto* answer = std::get_if<QuotaAnswer>(&message)) {
    this->quotas.OnAnswer(from, *answer);
  } else {
    this->source->OnPeerMessage(from, message);
  }
}

void Control::Start() {
  this->links.Start();
  this->source->Start(*this);
  boost::asio::co_spawn(this->context, this->TickLoop(),
                        CriticalTask{"control-tick"});
}

void Control::Stop() {
  this->stopped = true;
  this->source->Stop();
  this->quotas.Stop();
  this->links.Stop();
}

// Failure: a VM opens a link to this one just after this one has notified its
// peers that it is leaving. That VM considers this one live and sends it
// requests until the next heartbeat, a second later, so requests arrive long
// after the shutdown began. Hence the hello on links that open later says that
// this VM is leaving, and a link whose handshake was in progress gets a
// heartbeat that says so (OnLinked).
void Control::Leave() {
  this->leaving = true;
  this->quotas.Leave();
  this->links.Leave();
  this->members->Leave(MonotonicClock::now());
  this->links.Broadcast(this->MakeHeartbeat(false));
  this->PumpMembership();
  this->RebuildIfChanged();
}

void Control::OnLinked(VmHandle vm) {
  if (this->leaving || this->reach.report() != PathReport()) {
    this->links.Send(vm, this->MakeHeartbeat(false));
  }
  this->source->OnLinked(vm);
}

void Control::OnStateChanged() {
  // The next tick builds a view, since changes often come in groups. The first
  // view is built at once, since nothing is served without one.
  this->configuration_changed = true;
  if (!this->current_view) {
    this->RebuildIfChanged();
  }
}

void Control::OnVmList(uint64_t version, const std::vector<ListedVm>& vms) {
  const TimePoint now = MonotonicClock::now();
  this->members->OnVmList(now, version, vms);
  // Without a view, links to peers that can send the state are opened now, not
  // at the next tick.
  if (!this->current_view) {
    this->SetNeeds(now);
    this->members->Tick(now);
  }
  this->PumpMembership();
}

bool Control::SendToPeer(VmHandle vm, const wire::PeerMessage& message) {
  return this->links.Send(vm, message);
}

boost::asio::awaitable<void> Control::TickLoop() {
  boost::asio::steady_timer timer(this->context);
  while (!this->stopped) {
    this->Tick(MonotonicClock::now());
    timer.expires_after(limits::kControlTick);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

// Runs the parts of the control side in a fixed order.
void Control::Tick(TimePoint now) {
  this->SetNeeds(now);
  this->members->Tick(now);
  this->PumpMembership();
  this->source->Tick(now);
  this->Perform(this->reach.Tick(now, *this->members));
  this->RebuildIfChanged();
  this->PublishAsOf();
  this->CheckApiKeyAge(LeaseClock::now());
  this->quotas.Tick();
  this->CountVms();
}

// Workers apply views and as-of times in the order in which they are published,
// so that a worker never takes its view for newer than it is.
void Control::PublishAsOf() {
  const LeaseTime as_of = this->source->as_of();
  const bool is_built = this->current_view && !this->configuration_changed;
  if (is_built && as_of != this->published_as_of) {
    this->published_as_of = as_of;
    this->handlers.on_as_of(as_of);
  }
}

// A node that can't rely on its API keys is not ready: callers with keys are
// better served by another VM meanwhile.
void Control::CheckApiKeyAge(LeaseTime now) {
  if (this->api_key_max_age.count() == 0 || !this->current_view) {
    return;
  }
  const bool is_known = this->published_as_of != LeaseTime::min();
  const Duration age =
      is_known ? now - this->published_as_of : limits::kMaxPeerDuration;
  const int64_t age_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  this->counts.configuration_age.Set(age_ms);
  const bool verified =
      this->current_view->api_keys->size() == 0 || age < this->api_key_max_age;
  if (verified != std::exchange(this->api_keys_verified, verified)) {
    Log(verified ? Event::kApiKeysVerified : Event::kApiKeysUnverified,
        {{"age_ms", age_ms}});
  }
}

void Control::CountVms() {
  if (this->counted_membership == this->members->version()) {
    return;
  }
  this->counted_membership = this->members->version();
  std::array<int64_t, static_cast<size_t>(VmState::kCount)> vms{};
  for (const VmRow& vm : this->members->rows()) {
    if (IsValid(vm.handle)) {
      ++vms.at(static_cast<size_t>(vm.state));
    }
  }
  for (size_t state = 0; state < vms.size(); ++state) {
    this->counts.vms.at(state).Set(vms.at(state));
  }
}

void Control::PumpMembership() {
  while (!this->members->actions().empty()) {
    const std::vector<MembershipAction> round = this->members->actions();
    this->members->ClearActions();
    for (const MembershipAction& action : round) {
      this->Perform(action);
    }
  }
}

void Control::Perform(const MembershipAction& action) {
  switch (action.kind) {
    case MembershipActionKind::kOpenLink:
      this->links.Open(action.vm, action.control);
      break;
    case MembershipActionKind::kDropLink:
      this->links.Drop(action.vm);
      break;
    case MembershipActionKind::kHeartbeat:
      this->links.Send(action.vm, this->MakeHeartbeat(true));
      break;
    case MembershipActionKind::kEvent:
      Log(action.event,
          {{"vm", action.name}, {"incarnation", action.incarnation}});
      break;
    case MembershipActionKind::kCount:
      break;
  }
}

// Keeps links with the VMs that work for others: those that dispatch for a
// shard or are next in line to do so, and those that relay to this data centre
// what they read from the platform. In a small fleet of VMs of equal size these
// are nearly all VMs; in a large fleet, small VMs have no such links among
// themselves. One more link goes to the next VM in the ring. A VM without a
// view also needs two startup peers, which help it to start.
//
// The needs change only with the view and the membership. Collecting them sorts
// all VMs, so it isn't done on every tick.
void Control::SetNeeds(TimePoint now) {
  const bool is_stale = this->needs_view != this->current_view ||
                        this->needs_membership != this->members->version();
  if (is_stale) {
    this->needs_view = this->current_view;
    this->needs_membership = this->members->version();
    this->CollectNeeds();
  }
  this->members->SetNeeds(now, this->needs);
}

void Control::CollectNeeds() {
  this->needs.clear();
  const std::vector<VmRow>& rows = this->members->rows();
  for (const VmHandle vm : PlanPropagation(rows, this->members->self()).links) {
    this->needs.push_back({vm, PeerUse::kPropagation});
  }
  for (const VmHandle vm : this->CollectWorkers()) {
    if (vm != this->members->self()) {
      this->needs.push_back({vm, PeerUse::kShard});
    }
  }
  const VmHandle next = NextInRing(rows, this->members->self());
  if (IsValid(next)) {
    this->needs.push_back({next, PeerUse::kDataCentre});
  }
}

std::set<VmHandle> Control::CollectWorkers() const {
  if (!this->current_view) {
    const std::vector<VmHandle> startup_peers =
        StartupPeers(this->members->rows(), this->members->self());
    return {startup_peers.begin(), startup_peers.end()};
  }
  std::set<VmHandle> workers;
  for (const auto& service : this->current_view->services) {
    for (size_t i = 0; service != nullptr && i < service->shards.size(); ++i) {
      const std::vector<VmHandle>& owners = service->shards[i].owners;
      workers.insert(owners.begin(), owners.end());
    }
  }
  return workers;
}

void Control::ApplyReach(VmHandle from, const wire::Heartbeat& heartbeat) {
  const PathReport report{this->InternDataCentres(heartbeat.unreachable),
                          this->InternDataCentres(heartbeat.reached)};
  this->Perform(this->reach.OnPeer(MonotonicClock::now(), from,
                                   heartbeat.incarnation, report,
                                   *this->members));
}

// @returns the handles of those that are known or find room.
std::vector<DataCentreHandle> Control::InternDataCentres(
    const std::vector<std::string>& names) {
  std::vector<DataCentreHandle> handles;
  for (const std::string& name : names) {
    const DataCentreHandle handle = this->members->InternDataCentre(name);
    if (IsValid(handle)) {
      handles.push_back(handle);
    }
  }
  return handles;
}

std::vector<std::string> Control::NamesOf(
    const std::vector<DataCentreHandle>& handles) const {
  std::vector<std::string> names;
  names.reserve(handles.size());
  for (const DataCentreHandle handle : handles) {
    names.push_back(this->members->data_centres().at(handle.index).name);
  }
  return names;
}

void Control::Perform(const ReachStep& step) {
  if (step.build) {
    this->RebuildIfChanged();
  }
  if (step.send) {
    this->links.Broadcast(this->MakeHeartbeat(false));
  }
  if (step.doubts_changed) {
    this->handlers.on_path_doubts(step.doubts);
  }
  if (step.due != kNever) {
    boost::asio::co_spawn(this->context, this->TickReachAt(step.due),
                          DetachedTask{"reach-tick"});
  }
}

boost::asio::awaitable<void> Control::TickReachAt(TimePoint due) {
  boost::asio::steady_timer timer(this->context);
  timer.expires_after(due - MonotonicClock::now());
  co_await timer.async_wait(boost::asio::use_awaitable);
  if (!this->stopped) {
    this->Perform(this->reach.Tick(MonotonicClock::now(), *this->members));
  }
}

void Control::OnHeartbeat(VmHandle from, const wire::Heartbeat& heartbeat) {
  this->in_force_table.OnApplied(from, heartbeat.applied_offset);
  this->ApplyReach(from, heartbeat);
  if (heartbeat.state == VmState::kLeaving) {
    this->members->OnLeaving(MonotonicClock::now(), from,
                             heartbeat.incarnation);
    this->PumpMembership();
  }
  if (heartbeat.answer_wanted) {
    this->links.Send(from, this->MakeHeartbeat(false));
  }
  if (!heartbeat.crashes.empty()) {
    this->handlers.on_crashes(heartbeat.crashes);
  }
  if (!heartbeat.rate_limits.empty()) {
    this->handlers.on_rate_limits(heartbeat.rate_limits);
  }
}

wire::Heartbeat Control::MakeHeartbeat(bool answer_wanted) const {
  wire::Heartbeat heartbeat;
  heartbeat.incarnation = this->incarnation;
  heartbeat.applied_offset =
      this->current_view ? this->current_view->applied_offset : 0;
  heartbeat.answer_wanted = answer_wanted;
  heartbeat.state = this->leaving ? VmState::kLeaving : VmState::kLive;
  heartbeat.unreachable = this->NamesOf(this->reach.report().unreachable);
  heartbeat.reached = this->NamesOf(this->reach.report().reached);
  return heartbeat;
}

void Control::ReportPaths(uint16_t worker, PathReport paths) {
  this->Perform(this->reach.OnWorker(MonotonicClock::now(), worker,
                                     std::move(paths), *this->members));
}

void Control::SendCrashes(std::vector<CrashReport> crashes) {
  wire::Heartbeat heartbeat = this->MakeHeartbeat(false);
  heartbeat.crashes = std::move(crashes);
  this->links.Broadcast(heartbeat);
}

// A VM without a link misses its reports; they are sent again soon.
void Control::SendRateLimits(const std::vector<RateLimitUpdate>& updates) {
  std::map<VmHandle, wire::Heartbeat> messages;
  for (const RateLimitUpdate& item : updates) {
    const auto [place, is_new] =
        messages.try_emplace(item.to, this->MakeHeartbeat(false));
    std::vector<RateLimitReport>& reports = place->second.rate_limits;
    if (reports.size() < limits::kMaxRateLimitReports) {
      reports.push_back(item.report);
    }
  }
  for (auto& [vm, message] : messages) {
    this->links.Send(vm, std::move(message));
  }
}

void Control::LogView(bool has_new_offset) const {
  Log(has_new_offset ? Event::kConfigurationApplied : Event::kViewBuilt,
      {{"offset", this->current_view->applied_offset},
       {"view", this->current_view->version}});
}

std::function<void()> Control::MakeInForceHandler() const {
  return [applied_at = MonotonicClock::now(),
          offset = this->current_view->applied_offset] {
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        MonotonicClock::now() - applied_at);
    Log(Event::kConfigurationInForce,
        {{"offset", offset}, {"took_ms", took.count()}});
  };
}

void Control::RebuildIfChanged() {
  const bool changed = this->configuration_changed ||
                       this->members->version() != this->built_membership;
  const TimePoint begun = MonotonicClock::now();
  if (!changed || !this->source->ready() ||
      !this->build_throttle.MayBuild(begun)) {
    return;
  }
  const ConfigurationState& state = this->source->state();
  this->members->SetUpstreamDataCentres(
      this->InternDataCentres(state.DataCentres()));
  const RoutingViewPtr before =
      std::exchange(this->current_view,
                    this->builder->Build(state, {this->members->rows(),
                                                 this->members->data_centres(),
                                                 this->members->self()}));
  const bool offset_changed =
      AppliedOffsetChanged(before.get(), *this->current_view);
  const bool is_first = this->built_views++ == 0;
  this->configuration_changed = false;
  this->built_membership = this->members->version();
  this->in_force_table.SetVms(this->members->rows());
  this->in_force_table.OnApplied(this->members->self(),
                                 this->current_view->applied_offset);
  this->counts.view_version.Set(
      static_cast<int64_t>(this->current_view->version));
  this->counts.applied_offset.Set(
      static_cast<int64_t>(this->current_view->applied_offset));
  this->LogView(offset_changed);
  if (is_first) {
    Log(Event::kNodeReady, {{"vm", this->settings.vm.name}});
  }
  ReportDrainChanges(before.get(), *this->current_view, this->counts);
  ReportLossChanges(before.get(), *this->current_view, this->counts);
  this->source->OnFleetChanged();
  this->quotas.ApplyView(*this->current_view);
  this->handlers.publish(this->current_view,
                         offset_changed ? this->MakeInForceHandler() : nullptr);
  if (offset_changed) {
    this->links.Broadcast(this->MakeHeartbeat(false));
  }
  this->build_throttle.OnBuilt(begun, MonotonicClock::now());
}

}  // namespace basilsill
