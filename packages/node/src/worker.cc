#include "worker.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include "accept_loop.h"
#include "basilsill/node/log.h"
#include "basilsill/node/task_end.h"
#include "link_server.h"
#include "request_log.h"

namespace basilsill {
namespace {

using std::chrono::milliseconds;

// Interval of the checks of sessions, of which there can be thousands, and of
// the links of a VM that shuts down.
constexpr milliseconds kSessionTick{20};
// Interval of the checks for idle links and upstream connections. While nothing
// is in flight there is nothing else to check, so an idle VM wakes up four
// times a second.
constexpr milliseconds kIdleTick{250};
// For this long after a failed accept, the worker reports that it does not
// accept callers.
constexpr milliseconds kAcceptRecovery{200};
// One in this many of the process's connections is reserved for links and
// upstreams, without which callers that are connected could not be served.
constexpr size_t kReservedDivisor = 8;
// One in this many of the callers' connections must be free for the worker to
// report that it accepts callers: until the next readiness check, balancers may
// open many.
constexpr size_t kFreeDivisor = 16;
// Bits of an attempt's sequence number that count attempts; the bits above
// contain the worker's number.
constexpr unsigned kOnceSequenceBits = 48;
// The components of a worker draw from different random sequences.
constexpr uint64_t kReachSeedOffset = 2;

UpstreamPoolOptions PoolOptions(const Settings& settings,
                                const Installation& installation) {
  UpstreamPoolOptions options;
  options.names = installation.headers;
  options.hold_answers =
      installation.no_streaming && installation.features.hold_answers;
  options.answers_end_at_deadline = installation.no_streaming;
  options.connect_timeout = settings.limits.upstream_connect;
  options.idle_timeout = settings.limits.upstream_idle;
  options.reader.header_bytes = settings.limits.header_bytes;
  options.reader.body_bytes = UINT64_MAX;
  return options;
}

LinkTableOptions LinkOptions(const Settings& settings,
                             const WorkerOptions& options) {
  LinkTableOptions links;
  links.connect_timeout = settings.limits.link_connect;
  links.hello.role = wire::LinkRole::kData;
  links.hello.vm = settings.vm.name;
  links.hello.incarnation = options.incarnation;
  links.hello.worker = options.number;
  return links;
}

std::shared_ptr<Quarantine> MakeQuarantine(const WorkerOptions& options) {
  QuarantineOptions quarantine;
  quarantine.seed = options.seed;
  return Quarantine::Create(quarantine);
}

std::shared_ptr<UpstreamNotices> MakeNotices(const Installation& installation) {
  UpstreamNoticesOptions notices;
  notices.ids_are_unique = installation.upstream_ids_are_unique;
  return UpstreamNotices::Create(notices);
}

// While the fleet's repeat budget is in force, the budgets of single teams are
// unlimited.
constexpr RatioBudgetOptions kUnlimitedBudget{1, 1000, 1000, 1000};

std::unique_ptr<Dispatcher> MakeDispatcher(
    const Installation& installation,
    const WorkerOptions& options,
    const std::shared_ptr<Quarantine>& quarantine,
    const std::shared_ptr<UpstreamNotices>& notices) {
  DispatcherOptions dispatcher;
  dispatcher.max_requests = installation.max_requests;
  dispatcher.features = installation.features.dispatcher;
  if (installation.repeats) {
    dispatcher.repeats = SplitRepeatBudget(*installation.repeats);
    dispatcher.retry_budget = kUnlimitedBudget;
    dispatcher.hedge_budget = kUnlimitedBudget;
    dispatcher.features.class_caps = false;
    dispatcher.features.reserve = false;
    dispatcher.features.send_ahead = false;
  }
  dispatcher.cold_is_reported = !installation.headers.cold.empty();
  dispatcher.seed = options.seed;
  dispatcher.quarantine =
      installation.features.quarantine ? quarantine : nullptr;
  dispatcher.notices = notices;
  return Dispatcher::Create(dispatcher);
}

std::unique_ptr<EntryRouter> MakeRouter(
    const Installation& installation,
    const WorkerOptions& options,
    const std::shared_ptr<Quarantine>& quarantine,
    const std::shared_ptr<UpstreamNotices>& notices) {
  EntryOptions entry;
  entry.max_requests = installation.max_requests;
  entry.features = installation.features.entry;
  if (installation.repeats) {
    entry.repeats = SplitRepeatBudget(*installation.repeats).entries;
  }
  entry.seed = options.seed + 1;
  entry.quarantine = installation.features.quarantine ? quarantine : nullptr;
  entry.notices = notices;
  return EntryRouter::Create(entry);
}

// @returns the time since `as_of`; -1 if that is unknown.
int64_t AgeInMilliseconds(LeaseTime as_of) {
  if (as_of == LeaseTime::min() || as_of == LeaseTime::max()) {
    return -1;
  }
  return std::chrono::duration_cast<milliseconds>(LeaseClock::now() - as_of)
      .count();
}

CallerLimits LimitsOf(const Settings& settings) {
  CallerLimits limits;
  limits.header_bytes = settings.limits.header_bytes;
  limits.body_bytes = settings.limits.body_bytes;
  limits.header_timeout = settings.limits.caller_idle;
  limits.idle_timeout = settings.limits.caller_idle;
  return limits;
}

}  // namespace

Result<std::unique_ptr<Worker>> Worker::Create(const Settings& settings,
                                               const Installation& installation,
                                               const WorkerOptions& options,
                                               const Endpoint& callers,
                                               const Endpoint& links) {
  auto context = std::make_unique<IoContext>(1);
  Result<Acceptor> acceptor = Listen(*context, callers, true);
  if (!acceptor) {
    return acceptor.error();
  }
  Result<Acceptor> link_acceptor = Listen(*context, links, false);
  if (!link_acceptor) {
    return link_acceptor.error();
  }
  return std::unique_ptr<Worker>(
      new Worker(settings, installation, options, std::move(acceptor).value(),
                 std::move(link_acceptor).value(), std::move(context)));
}

Worker::Worker(const Settings& settings,
               const Installation& installation,
               const WorkerOptions& options,
               Acceptor acceptor,
               Acceptor link_acceptor,
               std::unique_ptr<IoContext> context)
    : settings(settings),
      installation(installation),
      options(options),
      context(std::move(context)),
      run_on(this->context->get_executor()),
      acceptor(std::move(acceptor)),
      link_acceptor(std::move(link_acceptor)),
      callers_at(FromTcpEndpoint(this->acceptor.local_endpoint())),
      links_at(FromTcpEndpoint(this->link_acceptor.local_endpoint())),
      pool(this->context->get_executor(),
           PoolOptions(settings, installation),
           this->counts),
      quarantine(MakeQuarantine(options)),
      notices(MakeNotices(installation)),
      dispatch_host(MakeDispatcher(installation,
                                   options,
                                   this->quarantine,
                                   this->notices),
                    this->pool),
      entry_host(
          MakeRouter(installation, options, this->quarantine, this->notices),
          this->dispatch_host,
          *this),
      reach_host(UpstreamReach::Create(options.seed + kReachSeedOffset),
                 this->pool,
                 [this](const ReachEvent& event) { this->OnReach(event); }),
      links(this->context->get_executor(),
            LinkOptions(settings, options),
            this->MakeLinkHandlers(),
            this->counts->links),
      current_caller_limits(LimitsOf(settings)),
      splits(options.seed),
      via_text("1.1 " + settings.vm.name),
      tick_timer(this->context->get_executor()) {}

Worker::~Worker() {
  this->Stop();
  this->Join();
}

void Worker::Start() {
  const Executor executor = this->context->get_executor();
  boost::asio::co_spawn(executor, this->AcceptCallers(),
                        CriticalTask{"accept-callers"});
  boost::asio::co_spawn(executor, this->AcceptLinks(),
                        CriticalTask{"accept-links"});
  boost::asio::co_spawn(executor, this->TickLoop(),
                        CriticalTask{"worker-tick"});
  this->thread = std::thread([this] { this->context->run(); });
}

void Worker::Publish(RoutingViewPtr view, std::function<void()> on_installed) {
  boost::asio::post(*this->context, [this, view = std::move(view),
                                     on_installed = std::move(on_installed)] {
    this->InstallView(view);
    on_installed();
  });
}

void Worker::Drain() {
  this->drain_requested.store(true);
  boost::asio::post(*this->context, [this] { this->BeginDrain(); });
}

// Failure: a VM shuts down while requests of its callers wait in the queues of
// other VMs. Only what is queued here was handed back, so these requests get no
// answer before the process ends, and their callers can't tell whether they
// have run. The dispatcher that has them knows it.
void Worker::Withdraw() {
  boost::asio::post(*this->context, [this] { this->shutdown.Close(); });
}

void Worker::Stop() {
  this->context->stop();
}

void Worker::Join() {
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void Worker::InstallView(const RoutingViewPtr& view) {
  const TimePoint now = MonotonicClock::now();
  this->current_view = view;
  this->current_caller_limits =
      view->caller_limits.value_or(LimitsOf(this->settings));
  this->reach_host.ApplyView(now, view);
  this->dispatch_host.ApplyView(now, view);
  this->entry_host.ApplyView(now, view);
  this->links.ApplyView(view);
}

void Worker::ImportConfigurationAsOf(LeaseTime as_of) {
  if (as_of == LeaseTime::min()) {
    return;
  }
  boost::asio::post(*this->context,
                    [this, as_of] { this->configuration_as_of = as_of; });
}

bool Worker::IsYoungerThan(milliseconds max_age) const {
  if (max_age.count() == 0 || this->configuration_as_of == LeaseTime::max()) {
    return true;
  }
  return this->configuration_as_of != LeaseTime::min() &&
         LeaseClock::now() - this->configuration_as_of < max_age;
}

void Worker::ImportQuota(QuotaAnswer answer) {
  boost::asio::post(*this->context, [this, answer = std::move(answer)] {
    const LeaseTime now = LeaseClock::now();
    this->borrower.OnAnswer(now, answer);
    this->PumpQuota(now);
  });
}

// A declared time that can't be used costs its request the priority. Reported
// at most once a second, since any caller can send one.
void Worker::ReportDeclaredTime(LeaseTime now,
                                RuleHandle rule,
                                const CreditClaim& claim) {
  if (now - this->declared_time_reported < std::chrono::seconds(1)) {
    return;
  }
  this->declared_time_reported = now;
  const std::string declared =
      claim.declared ? std::to_string(claim.declared->count()) : "unreadable";
  const RuleRow* row = FindRule(*this->current_view, rule);
  const std::string name = row != nullptr ? row->name : "";
  Log(Event::kDeclaredTimeUnusual, {{"rule", name}, {"declared", declared}});
}

CreditNeed Worker::EstimateNeed(LeaseTime now,
                                RuleHandle rule,
                                const CreditClaim& claim) {
  CallerAge::Estimate estimate;
  if (claim.declared) {
    estimate = this->caller_age.AgeOf(now, rule, *claim.declared);
    this->caller_age.Learn(now, rule, *claim.declared);
  }
  const bool is_unusual =
      claim.declared && !estimate.is_learning && !estimate.age;
  if (claim.is_malformed || is_unusual) {
    this->ReportDeclaredTime(now, rule, claim);
  }
  return MakeCreditNeed(claim, estimate, this->caller_age.WorkOf(rule));
}

void Worker::OnServed(RuleHandle rule, Duration time) {
  this->caller_age.LearnWork(rule, time);
  this->shutdown.OnAnswered(MonotonicClock::now(), rule, time);
}

Task<QuotaDecision> Worker::TakeQuota(TeamKey team,
                                      RuleHandle rule,
                                      CreditClaim claim) {
  this->uses_quotas = true;
  const LeaseTime now = LeaseClock::now();
  const CreditNeed need = this->EstimateNeed(now, rule, claim);
  const QuotaDecision decision = this->borrower.Acquire(now, team, need);
  if (decision.verdict != QuotaVerdict::kWait) {
    co_return decision;
  }
  QuotaWait wait(this->run_on);
  this->quota_waits[decision.ticket] = &wait;
  this->PumpQuota(now);
  co_await wait.settled.Wait();
  co_return wait.decision;
}

void Worker::ReturnQuota(TeamKey team, const QuotaCredit& credit) {
  this->borrower.Return(LeaseClock::now(), team, credit);
}

void Worker::PumpQuota(LeaseTime now) {
  for (const QuotaDecision& decision : this->borrower.TakeSettled()) {
    const auto found = this->quota_waits.find(decision.ticket);
    if (found != this->quota_waits.end()) {
      found->second->decision = decision;
      found->second->settled.Set();
      this->quota_waits.erase(found);
    }
  }
  std::optional<QuotaRequest> request = this->borrower.NextRequest(now);
  if (request) {
    this->options.on_quota_request(*std::move(request));
  }
}

void Worker::TickQuota() {
  if (!this->uses_quotas) {
    return;
  }
  const LeaseTime now = LeaseClock::now();
  this->borrower.Tick(now);
  this->PumpQuota(now);
  this->counts->SetQuotaCounts(this->borrower.counts());
}

void Worker::AnnounceLeave(TimePoint end) {
  boost::asio::post(*this->context, [this, end] {
    this->is_leaving = true;
    this->shutdown.Begin(end);
  });
}

bool Worker::Admits(const RequestMessage& request) const {
  return this->shutdown.Admits(MonotonicClock::now(), request.rule,
                               request.entry.deadline);
}

ServiceHandle Worker::ChooseService(const RuleRow& rule) {
  return rule.split.empty() ? rule.service : this->splits.Choose(rule);
}

void Worker::BeginDrain() {
  this->is_leaving = true;
  this->is_draining = true;
  this->shutdown.BeginDrain();
  NetError ignored;
  this->acceptor.close(ignored);
  this->links.Drain();
  this->dispatch_host.HandBack(MonotonicClock::now());
  for (const auto& session : this->sessions) {
    session->Drain();
  }
  this->WakeTick();
  this->CountBusyLinks();
  this->drain_requested.store(false);
}

// Failure: a VM that shuts down has no callers left and exits while upstreams
// work on requests from peers, or while answers to peers are in the send
// buffers of its links. The peers' callers then get 502 or half an answer. So
// busy links delay the exit too. They are counted again as soon as a link is
// accepted or brings a request.
void Worker::CountBusyLinks() {
  if (this->is_draining) {
    this->links_in_use.store(this->links.CountBusy(MonotonicClock::now()));
  }
}

Task<void> Worker::AcceptCallers() {
  AcceptLoopOptions loop{"callers", this->counts->accept_failures, {}, {}};
  loop.on_socket = [this](Socket socket) {
    this->StartSession(std::move(socket));
  };
  loop.on_failure = [this] { this->accept_failed = MonotonicClock::now(); };
  return AcceptLoop(this->acceptor, std::move(loop));
}

Task<void> Worker::AcceptLinks() {
  AcceptLoopOptions loop{"links", this->counts->accept_failures, {}, {}};
  loop.on_socket = [this](Socket socket) {
    this->links.Accept(std::move(socket));
    this->CountBusyLinks();
  };
  return AcceptLoop(this->link_acceptor, std::move(loop));
}

LinkTableHandlers Worker::MakeLinkHandlers() {
  LinkTableHandlers handlers;
  handlers.on_open = [this](const PeerLinkPtr& link, LinkStreamPtr stream,
                            wire::Open open) {
    this->OnStream(link, std::move(stream), std::move(open));
  };
  handlers.on_summary = [this](VmHandle from, const wire::Summary& summary) {
    this->dispatch_host.ImportNotices(summary.shard.shard, summary.notices);
    this->entry_host.OnSummary(from, summary.shard);
  };
  handlers.on_link = [this](VmHandle vm, bool usable) {
    this->entry_host.OnLink(vm, usable);
  };
  handlers.on_quiet = [this](PeerLink& link, ShardKey shard) {
    PostSummary(link, this->dispatch_host, shard);
  };
  return handlers;
}

void Worker::OnStream(const PeerLinkPtr& link,
                      LinkStreamPtr stream,
                      wire::Open open) {
  // A peer may send a request before this node has received a configuration.
  // The refusal says at once that nothing ran here.
  if (!this->current_view) {
    RefuseLinkStream(*link, *stream, Refusal::kPeerUnreachable);
    return;
  }
  this->WakeTick();
  this->CountBusyLinks();
  this->counts->peer_requests.Add(1);
  boost::asio::co_spawn(
      this->context->get_executor(),
      ServeLinkStream(this->current_view, this->dispatch_host, link,
                      std::move(stream), std::move(open),
                      this->installation.headers.request_id),
      [this](const std::exception_ptr& /*error*/) {
        this->counts->peer_requests.Add(-1);
      });
}

void Worker::ImportCrashes(std::vector<CrashReport> crashes) {
  boost::asio::post(*this->context, [this, crashes = std::move(crashes)] {
    for (const CrashReport& crash : crashes) {
      this->quarantine->Import(MonotonicClock::now(), crash);
    }
  });
}

void Worker::ImportRateLimits(std::vector<RateLimitReport> reports) {
  boost::asio::post(*this->context, [this, reports = std::move(reports)] {
    for (const RateLimitReport& report : reports) {
      this->dispatch_host.ImportRateLimit(MonotonicClock::now(), report);
    }
  });
}

void Worker::ReportRateLimits(TimePoint now) {
  std::vector<RateLimitUpdate> updates =
      this->dispatch_host.TakeRateLimitUpdates(now);
  if (!updates.empty() && this->options.on_rate_limits) {
    this->options.on_rate_limits(std::move(updates));
  }
}

void Worker::ReportCrashes(TimePoint now) {
  std::vector<CrashReport> crashes = this->quarantine->TakeNewReports(now);
  if (!crashes.empty() && this->options.on_crashes) {
    this->options.on_crashes(std::move(crashes));
  }
}

void Worker::SetPathDoubts(const PathDoubts& doubts) {
  boost::asio::post(*this->context, [this, doubts] {
    this->reach_host.SetDoubts(MonotonicClock::now(), doubts);
  });
}

void Worker::OnReach(const ReachEvent& event) {
  PathReport paths = this->reach_host.Paths();
  this->counts->unreachable_data_centres.Set(
      static_cast<int64_t>(paths.unreachable.size()));
  if (event.kind != ReachEventKind::kConfirmed) {
    this->dispatch_host.OnReach(event.data_centre,
                                event.kind == ReachEventKind::kReachable);
  }
  if (this->options.on_paths) {
    this->options.on_paths(std::move(paths));
  }
}

size_t Worker::RoomForCallers() const {
  const uint32_t threads = this->settings.threads.traffic;
  const size_t limit = this->settings.limits.caller_connections / threads;
  const size_t taken = this->sessions.size();
  const size_t room = limit - std::min(limit, taken);
  const size_t connection_limit = this->installation.max_connections / threads;
  const auto other_connections =
      static_cast<size_t>(this->counts->links.open.value() +
                          this->counts->upstream_connections.value());
  const size_t unavailable =
      taken + other_connections + connection_limit / kReservedDivisor;
  return connection_limit == 0
             ? room
             : std::min(room, connection_limit -
                                  std::min(connection_limit, unavailable));
}

// Failure: a failed accept is forgotten after a while, although all descriptors
// stay in use, and the node says that it is ready and resets the next caller.
bool Worker::AcceptsCallers(TimePoint now) const {
  const size_t free = this->RoomForCallers();
  const size_t callers = this->sessions.size() + free;
  return !this->is_draining && free > callers / kFreeDivisor &&
         now - this->accept_failed >= kAcceptRecovery &&
         HasFreeDescriptor(this->run_on);
}

void Worker::QueryAcceptsCallers(std::function<void(bool accepts)> answer) {
  boost::asio::post(*this->context, [this, answer = std::move(answer)] {
    answer(this->AcceptsCallers(MonotonicClock::now()));
  });
}

void Worker::StartSession(Socket socket) {
  if (this->RoomForCallers() == 0) {
    this->counts->CountRefusal(Refusal::kTooManyConnections);
    CloseWithReset(socket);
    return;
  }
  const auto session = std::make_shared<CallerSession>(
      static_cast<CallerHost&>(*this), std::move(socket));
  this->sessions.insert(session);
  this->counts->caller_connections_opened.Add();
  this->counts->caller_connections.Add(1);
  boost::asio::co_spawn(this->context->get_executor(), session->Run(),
                        [this, session](const std::exception_ptr& /*error*/) {
                          this->sessions.erase(session);
                          this->counts->caller_connections.Add(-1);
                          this->open_sessions.store(this->sessions.size());
                        });
  this->open_sessions.store(this->sessions.size());
}

std::chrono::milliseconds Worker::TickInterval() const {
  if (this->requests_in_flight > 0 || this->dispatch_host.active() > 0) {
    return limits::kWorkerTick;
  }
  return this->is_draining ? kSessionTick : kIdleTick;
}

Task<void> Worker::TickLoop() {
  for (;;) {
    const milliseconds interval = this->TickInterval();
    this->ticking_slowly = interval > limits::kWorkerTick;
    this->tick_timer.expires_after(interval);
    co_await this->tick_timer.async_wait(kTask);
    this->Tick(MonotonicClock::now());
  }
}

// Updates the components of the worker, in this order.
void Worker::Tick(TimePoint now) {
  this->reach_host.Tick(now);
  this->dispatch_host.Tick(now);
  this->entry_host.Tick(now);
  this->TickQuota();
  this->ReportCrashes(now);
  this->TickSessions(now);
  this->TickIdle(now);
  this->counts->Tick(now);
}

void Worker::TickSessions(TimePoint now) {
  if (now - this->sessions_ticked < kSessionTick) {
    return;
  }
  this->sessions_ticked = now;
  this->links.KeepAlive(now);
  this->TakeCounters();
  for (const auto& session : this->sessions) {
    session->Tick(now);
    if (this->is_leaving) {
      session->WithdrawLate();
    }
  }
  if (this->is_draining) {
    this->links.Tick(now);
    this->CountBusyLinks();
  }
}

// Closes idle links and connections, and reports rate limits, which may be
// reported a little later. The idle limits are seconds, so walking all links
// and connections at every tick would waste time.
void Worker::TickIdle(TimePoint now) {
  if (now - this->idle_ticked < kIdleTick) {
    return;
  }
  this->idle_ticked = now;
  this->links.Tick(now);
  this->pool.Tick(now);
  this->ReportRateLimits(now);
}

// Updates the metrics from the counters of the components. Both the dispatcher
// and the entry router count retries, because both grant and deny them.
void Worker::TakeCounters() {
  const auto& dispatched = this->dispatch_host.counters().retries;
  const auto& entered = this->entry_host.counters().retries;
  for (size_t i = 0; i < dispatched.size(); ++i) {
    // UpstreamAttempt counts the retries after a stale connection itself.
    if (i != static_cast<size_t>(Retry::kStaleConnection)) {
      this->counts->retries[i].Set(dispatched[i] + entered[i]);
    }
  }
  this->counts->held_for_rate.Set(this->dispatch_host.counters().held_for_rate);
  const auto& sheds = this->dispatch_host.counters().sheds;
  for (size_t i = 0; i < sheds.size(); ++i) {
    this->counts->sheds[i].Set(sheds[i]);
  }
  this->counts->rate_limited_upstreams.Set(
      static_cast<int64_t>(this->dispatch_host.CountRateLimited()));
  const NoticeCounts notice_counts =
      this->notices->Count(MonotonicClock::now());
  this->counts->leaving_upstreams.Set(
      static_cast<int64_t>(notice_counts.leaving));
  this->counts->resting_upstreams.Set(
      static_cast<int64_t>(notice_counts.resting));
  this->counts->refused_for_notice.Set(
      this->dispatch_host.counters().refused_for_notice);
  this->counts->queued.Set(
      static_cast<int64_t>(this->dispatch_host.CountQueued()));
}

std::string Worker::NewRequestId() {
  // Unique without coordination: VM, incarnation, worker and a counter.
  std::string id = this->settings.vm.name;
  id += '-';
  id += std::to_string(this->options.incarnation);
  id += '-';
  id += std::to_string(this->options.number);
  id += '-';
  id += std::to_string(this->next_request++);
  return id;
}

OnceServices Worker::once_services() {
  OnceServices services{this->claims, this->run_on};
  services.key_header = this->installation.headers.idempotency_key;
  services.origin =
      MakeClaimOrigin(this->settings.vm.name, this->options.incarnation);
  services.kept_answer_bytes = this->settings.once.kept_answer_bytes;
  return services;
}

uint64_t Worker::NextOnceSequence() {
  // Each worker of a process has its own range of numbers.
  return (uint64_t{this->options.number} << kOnceSequenceBits) |
         this->next_once++;
}

void Worker::OnRequestStarted() {
  ++this->requests_in_flight;
  this->counts->requests_in_flight.Add(1);
  this->WakeTick();
}

void Worker::WakeTick() {
  if (this->ticking_slowly) {
    this->ticking_slowly = false;
    this->tick_timer.cancel();
  }
}

std::string_view Worker::TeamOf(const RequestMessage& request) const {
  const TeamRow* team = this->current_view
                            ? FindTeam(*this->current_view, request.entry.team)
                            : nullptr;
  return team == nullptr ? std::string_view("-") : team->name;
}

void Worker::OnRequestDone(const RequestMessage& request,
                           const RequestEnd& end) {
  --this->requests_in_flight;
  this->counts->requests_in_flight.Add(-1);
  this->counts->request_latency.Record(request.entry.traffic_class,
                                       end.elapsed);
  const TrafficClass traffic_class = request.entry.traffic_class;
  if (end.broken) {
    this->counts->CountOutcome(traffic_class, Outcome::kBroken);
    LogRequestEnd(Event::kAnswerBroken, *this->current_view, request,
                  this->TeamOf(request), end);
  } else if (request.caller_gone) {
    this->counts->CountOutcome(traffic_class, Outcome::kCallerGone);
    LogRequestEnd(Event::kCallerGone, *this->current_view, request,
                  this->TeamOf(request), end);
  } else if (end.refusal == Refusal::kNone) {
    this->counts->CountOutcome(traffic_class, Outcome::kAnswered);
  } else {
    this->counts->CountOutcome(traffic_class, Outcome::kRefused);
    this->counts->CountRefusal(end.refusal);
    if (!request.entry.idempotent &&
        InfoOf(end.refusal).promise == Promise::kNotRun) {
      this->counts->CountNotRunPromise(end.source);
    }
    this->LogRefusal(request, end);
  }
}

void Worker::LogRefusal(const RequestMessage& request,
                        const RequestEnd& end) const {
  const bool is_route_missing =
      end.refusal == Refusal::kNoRoute ||
      end.refusal == Refusal::kConfigurationUnverified;
  if (!is_route_missing) {
    LogRequestEnd(Event::kRequestRefused, *this->current_view, request,
                  this->TeamOf(request), end);
    return;
  }
  Log(Event::kRequestRefused,
      {{"request", request.request_id},
       {"reason", end.refusal},
       {"offset", this->current_view->applied_offset},
       {"age_ms", AgeInMilliseconds(this->configuration_as_of)}});
}

bool Worker::IsLocal(VmHandle vm, ShardKey shard) const {
  const uint64_t owner = shard % this->settings.threads.traffic;
  return vm == this->current_view->self && owner == this->options.number;
}

Task<ServeOutcome> Worker::Serve(RequestMessage& request,
                                 const Target& target,
                                 AnswerSink& sink) {
  return this->links.Serve(request, target, sink);
}

}  // namespace basilsill
