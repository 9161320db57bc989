#include "node.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "basilsill/node/log.h"
#include "basilsill/node/task_end.h"
#include "debug_state.h"
#include "resource_api.h"

namespace basilsill {
namespace {

constexpr std::chrono::milliseconds kDrainPoll{20};

// Requests that no upstream has are taken back after this part of a shutdown at
// the latest. What an upstream gets before then has the rest of the time to be
// answered.
constexpr double kServingPart = 2.0 / 3;

// Time limit for the traffic threads to answer whether they accept callers. It
// is shorter than the time that balancers wait for a readiness answer, so that
// the balancers get one.
constexpr std::chrono::milliseconds kAcceptsCallersTimeout{400};

// Collects the answers of the traffic threads, on the control thread.
struct WorkerQuery {
  WorkerQuery(IoContext& context, size_t workers)
      : missing(workers), timeout(context, kAcceptsCallersTimeout) {}

  void OnAnswer(bool accepts) {
    this->all_accept = this->all_accept && accepts;
    if (--this->missing == 0) {
      this->timeout.cancel();
    }
  }

  size_t missing;
  bool all_accept = true;
  boost::asio::steady_timer timeout;
};

// Claims rely on no two processes of a VM ever having the same incarnation. A
// clock alone does not guarantee that, so random bits are added.
uint64_t NewIncarnation() {
  std::random_device random;
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  return MakeIncarnation(now, (uint64_t{random()} << 32) | random());
}

NodeIdentity IdentityOf(const Settings& settings) {
  NodeIdentity identity;
  identity.version = BASILSILL_VERSION;
  identity.tenant = settings.tenant;
  identity.vm = settings.vm.name;
  identity.data_centre = settings.vm.data_centre;
  return identity;
}

void LogDraining(const std::string& vm) {
  Log(Event::kNodeDraining, {{"vm", vm}});
}

}  // namespace

Result<std::unique_ptr<Node>> Node::Create(IoContext& context,
                                           Settings settings,
                                           Installation installation) {
  std::unique_ptr<Node> node(
      new Node(context, std::move(settings), std::move(installation)));
  if (Result<void> created = node->CreateWorkers(); !created) {
    return created.error();
  }
  if (Result<void> created = node->CreateControl(); !created) {
    return created.error();
  }
  if (Result<void> created = node->CreateAdmin(); !created) {
    return created.error();
  }
  if (Result<void> created = node->CreateReadiness(); !created) {
    return created.error();
  }
  return node;
}

Node::Node(IoContext& context, Settings settings, Installation installation)
    : context(context),
      settings(std::move(settings)),
      installation(std::move(installation)),
      incarnation(NewIncarnation()),
      metrics(IdentityOf(this->settings)) {}

Node::~Node() {
  this->Stop();
}

Result<void> Node::CreateWorkers() {
  std::random_device random;
  Endpoint callers{this->settings.vm.address, this->settings.listen.callers};
  for (uint32_t i = 0; i < this->settings.threads.traffic; ++i) {
    WorkerOptions options;
    options.number = static_cast<uint16_t>(i);
    options.seed = (uint64_t{random()} << 32) | random();
    options.incarnation = this->incarnation;
    options.on_crashes = [this, i](std::vector<CrashReport> crashes) {
      this->DistributeCrashReports(i, std::move(crashes));
    };
    options.on_rate_limits = [this](std::vector<RateLimitUpdate> updates) {
      boost::asio::post(this->context, [this, updates = std::move(updates)] {
        this->control_side->SendRateLimits(updates);
      });
    };
    options.on_paths = [this, i](PathReport paths) {
      boost::asio::post(this->context,
                        [this, i, paths = std::move(paths)]() mutable {
                          this->control_side->ReportPaths(
                              static_cast<uint16_t>(i), std::move(paths));
                        });
    };
    options.on_quota_request = [this, i](QuotaRequest request) {
      boost::asio::post(this->context,
                        [this, i, request = std::move(request)]() mutable {
                          this->control_side->RequestQuotaCredits(
                              static_cast<uint16_t>(i), std::move(request));
                        });
    };
    const uint16_t base = this->settings.listen.links;
    const Endpoint links{this->settings.vm.address,
                         static_cast<uint16_t>(base == 0 ? 0 : base + i)};
    auto worker = Worker::Create(this->settings, this->installation, options,
                                 callers, links);
    if (!worker) {
      return worker.error();
    }
    this->traffic.push_back(std::move(worker).value());
    this->metrics.AddWorker(this->traffic.back()->metrics());
    // If the kernel chose the port, the other workers listen on the same one.
    callers = this->traffic.back()->callers_endpoint();
  }
  return boost::outcome_v2::success();
}

Result<void> Node::CreateControl() {
  ControlHandlers handlers;
  handlers.publish = [this](const RoutingViewPtr& view,
                            const std::function<void()>& on_in_force) {
    this->PublishView(view, on_in_force);
  };
  handlers.on_crashes = [this](const std::vector<CrashReport>& crashes) {
    for (const auto& worker : this->traffic) {
      worker->ImportCrashes(crashes);
    }
  };
  handlers.on_path_doubts = [this](const PathDoubts& doubts) {
    for (const auto& worker : this->traffic) {
      worker->SetPathDoubts(doubts);
    }
  };
  handlers.on_rate_limits =
      [this](const std::vector<RateLimitReport>& reports) {
        for (const auto& worker : this->traffic) {
          worker->ImportRateLimits(reports);
        }
      };
  handlers.on_as_of = [this](LeaseTime as_of) {
    for (const auto& worker : this->traffic) {
      worker->ImportConfigurationAsOf(as_of);
    }
  };
  handlers.on_quota_answer = [this](uint16_t worker,
                                    const QuotaAnswer& answer) {
    if (worker < this->traffic.size()) {
      this->traffic[worker]->ImportQuota(answer);
    }
  };
  ControlOptions options;
  options.incarnation = this->incarnation;
  options.api_key_max_age = this->installation.api_key_max_age;
  options.data_centres = this->installation.data_centres;
  for (const auto& worker : this->traffic) {
    options.workers.push_back(worker->links_endpoint());
  }
  auto created = Control::Create(
      this->context, this->settings, options, std::move(handlers),
      this->metrics.control,
      [this](const Endpoint& control) { return this->MakeSource(control); });
  if (!created) {
    return created.error();
  }
  this->control_side = std::move(created).value();
  for (const auto& worker : this->traffic) {
    if (this->log_source != nullptr) {
      worker->SetClaims(this->log_source->claim_host());
    }
  }
  return boost::outcome_v2::success();
}

void Node::PublishView(const RoutingViewPtr& view,
                       const std::function<void()>& on_in_force) {
  const auto missing =
      std::make_shared<std::atomic<size_t>>(this->traffic.size());
  for (const auto& worker : this->traffic) {
    worker->Publish(view, [this, missing, on_in_force] {
      if (missing->fetch_sub(1) == 1 && on_in_force) {
        boost::asio::post(this->context, on_in_force);
      }
    });
  }
}

Result<std::unique_ptr<StateSource>> Node::MakeSource(const Endpoint& control) {
  if (this->installation.make_source) {
    return this->installation.make_source(this->context,
                                          this->installation.features, control);
  }
  auto created = LogSource::Create(this->context, this->settings,
                                   this->incarnation, this->metrics.control);
  if (!created) {
    return created.error();
  }
  this->log_source = created.value().get();
  return std::unique_ptr<StateSource>(std::move(created).value());
}

Result<void> Node::CreateAdmin() {
  AdminSources sources;
  sources.phase = [this] { return this->phase(); };
  sources.query_phase = [this] { return this->QueryPhase(); };
  sources.metrics = [this] { return this->metrics.Render(); };
  const bool has_log = this->log_source != nullptr;
  if (has_log) {
    sources.debug_state = [this] {
      return MakeDebugState(*this->control_side, *this->log_source);
    };
  }
  AddNodeRoutes(this->router, std::move(sources));
  if (has_log) {
    AddResourceRoutes(this->router, *this->control_side, *this->log_source);
  }
  AdminOptions options;
  options.listen = {this->settings.vm.address, this->settings.listen.admin};
  auto created = AdminServer::Create(this->context, options, this->router);
  if (!created) {
    return created.error();
  }
  this->admin = std::move(created).value();
  return boost::outcome_v2::success();
}

Result<void> Node::CreateReadiness() {
  if (this->installation.readiness_endpoint.port == 0) {
    return boost::outcome_v2::success();
  }
  AddReadinessRoute(this->readiness_router, this->installation.ready_path,
                    [this] { return this->QueryPhase(); });
  AdminOptions options;
  options.listen = this->installation.readiness_endpoint;
  auto created =
      AdminServer::Create(this->context, options, this->readiness_router);
  if (!created) {
    return created.error();
  }
  this->readiness = std::move(created).value();
  return boost::outcome_v2::success();
}

bool Node::claims_idle() const {
  return this->log_source == nullptr || this->log_source->claim_host().IsIdle();
}

NodePhase Node::phase() const {
  if (this->draining) {
    return NodePhase::kDraining;
  }
  return this->control_side->ready() ? NodePhase::kReady : NodePhase::kStarting;
}

boost::asio::awaitable<void> Node::MetricsLoop() {
  boost::asio::steady_timer timer(this->context);
  for (;;) {
    this->metrics.Tick(MonotonicClock::now());
    timer.expires_after(LatencyRecorder::kWindow);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

// Failure: the control thread answers that the node is ready while its traffic
// threads hang, spin or have no room for callers. The balancer then keeps
// sending callers to a VM that accepts none of them.
boost::asio::awaitable<NodePhase> Node::QueryPhase() {
  const NodePhase before = this->phase();
  if (before != NodePhase::kReady) {
    co_return before;
  }
  const bool accepts = co_await this->QueryWorkers();
  this->ReportAcceptsCallers(accepts);
  const NodePhase now = this->phase();
  co_return now == NodePhase::kReady && !accepts ? NodePhase::kBusy : now;
}

boost::asio::awaitable<bool> Node::QueryWorkers() {
  const auto query =
      std::make_shared<WorkerQuery>(this->context, this->traffic.size());
  for (const auto& worker : this->traffic) {
    worker->QueryAcceptsCallers(
        [&context = this->context, query](bool accepts) {
          boost::asio::post(context,
                            [query, accepts] { query->OnAnswer(accepts); });
        });
  }
  boost::system::error_code answered;
  co_await query->timeout.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, answered));
  co_return query->missing == 0 && query->all_accept;
}

void Node::ReportAcceptsCallers(bool accepts) {
  const bool was_accepting =
      this->metrics.control.callers_not_taken.value() == 0;
  this->metrics.control.callers_not_taken.Set(accepts ? 0 : 1);
  if (accepts != was_accepting) {
    Log(accepts ? Event::kCallersTaken : Event::kCallersNotTaken,
        {{"vm", this->settings.vm.name}});
  }
}

// Runs on the thread of worker `from`. The other workers and the peers are
// notified from the control thread.
void Node::DistributeCrashReports(size_t from,
                                  std::vector<CrashReport> crashes) {
  boost::asio::post(this->context, [this, from, crashes = std::move(crashes)] {
    for (size_t i = 0; i < this->traffic.size(); ++i) {
      if (i != from) {
        this->traffic[i]->ImportCrashes(crashes);
      }
    }
    this->control_side->SendCrashes(crashes);
  });
}

void Node::Start() {
  for (const auto& worker : this->traffic) {
    worker->Start();
  }
  this->control_side->Start();
  boost::asio::co_spawn(this->context, this->MetricsLoop(),
                        DetachedTask{"metrics"});
}

void Node::Reload(const Settings& changed) {
  this->settings.shutdown = changed.shutdown;
}

bool Node::ready() const {
  return !this->draining && this->control_side->ready();
}

Endpoint Node::callers_endpoint() const {
  return this->traffic.front()->callers_endpoint();
}

void Node::Drain(std::function<void(bool is_clean)> on_stopped) {
  if (this->draining) {
    return;
  }
  this->draining = true;
  boost::asio::co_spawn(this->context, this->RunDrain(std::move(on_stopped)),
                        CriticalTask{"drain"});
}

bool Node::busy() const {
  return std::any_of(this->traffic.begin(), this->traffic.end(),
                     [](const auto& worker) { return worker->busy(); });
}

void Node::LogForcedStop() const {
  size_t callers = 0;
  size_t links = 0;
  for (const auto& worker : this->traffic) {
    callers += worker->busy_callers();
    links += worker->busy_links();
  }
  Log(Event::kNodeForcedStop, {{"callers", callers}, {"links", links}});
}

int64_t Node::CountPeerRequests() const {
  int64_t total = 0;
  for (const auto& worker : this->traffic) {
    total += worker->metrics()->peer_requests.value();
  }
  return total;
}

// The outcomes of requests that must not run twice have to be in the log before
// the process ends; otherwise callers that resend such a request get `unknown`.
boost::asio::awaitable<void> Node::WaitWhileBusy(TimePoint until) {
  boost::asio::steady_timer timer(this->context);
  while ((this->busy() || !this->claims_idle()) &&
         MonotonicClock::now() < until) {
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

boost::asio::awaitable<void> Node::RunDrain(
    std::function<void(bool is_clean)> on_stopped) {
  LogDraining(this->settings.vm.name);
  const auto started = MonotonicClock::now();
  const auto limit = started + this->settings.shutdown.limit;
  // From now on, each answer asks its caller to use another connection.
  for (const auto& worker : this->traffic) {
    worker->AnnounceLeave(limit);
  }
  // Peers stop forwarding requests here at once. Callers keep coming until the
  // platform's balancer has seen readiness fail.
  this->control_side->Leave();
  boost::asio::steady_timer timer(this->context,
                                  this->settings.shutdown.ready_delay);
  // The platform's balancer needs this delay to see readiness fail; new callers
  // are served meanwhile.
  co_await timer.async_wait(boost::asio::use_awaitable);
  for (const auto& worker : this->traffic) {
    worker->Drain();
  }
  co_await this->WaitWhileBusy(
      started + std::chrono::duration_cast<MonotonicClock::duration>(
                    kServingPart * this->settings.shutdown.limit));
  for (const auto& worker : this->traffic) {
    worker->Withdraw();
  }
  co_await this->WaitWhileBusy(limit);
  const bool is_cut_off = this->busy();
  if (is_cut_off) {
    this->LogForcedStop();
  }
  on_stopped(!is_cut_off);
}

void Node::Stop() {
  if (this->admin) {
    this->admin->Stop();
  }
  if (this->readiness) {
    this->readiness->Stop();
  }
  if (this->control_side) {
    this->control_side->Stop();
  }
  for (const auto& worker : this->traffic) {
    worker->Stop();
    worker->Join();
  }
}

}  // namespace basilsill
