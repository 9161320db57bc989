#ifndef BASILSILL_NODE_WORKER_H_
#define BASILSILL_NODE_WORKER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <unordered_set>
#include <vector>

#include "async_event.h"
#include "basilsill/decision/caller_age.h"
#include "basilsill/decision/quota_borrower.h"
#include "basilsill/decision/shutdown_admission.h"
#include "basilsill/decision/split_chooser.h"
#include "basilsill/node/installation.h"
#include "basilsill/node/settings.h"
#include "caller_session.h"
#include "dispatch_host.h"
#include "entry_host.h"
#include "link_table.h"
#include "metrics.h"
#include "net.h"
#include "once_exchange.h"
#include "reach_host.h"
#include "upstream_pool.h"

/// One traffic thread and everything that belongs to it: callers, dispatchers,
/// upstream connections and links to other workers. It shares nothing with
/// other threads except the metrics and the published view.

namespace basilsill {

struct WorkerOptions {
  uint16_t number = 0;  ///< Index among the workers of this node.
  uint64_t seed = 1;    ///< Differs between workers and between runs.
  uint64_t incarnation = 0;
  /// Called on the worker's thread with crashes of upstreams that it observed.
  std::function<void(std::vector<CrashReport>)> on_crashes;
  /// Called on the worker's thread with rate limit updates to propagate to
  /// other VMs.
  std::function<void(std::vector<RateLimitUpdate>)> on_rate_limits;
  /// Called on the worker's thread with what it reports of its paths to
  /// upstreams, when that has changed.
  std::function<void(PathReport)> on_paths;
  /// Called on the worker's thread with a request to a lender of quotas.
  std::function<void(QuotaRequest)> on_quota_request;
};

class Worker final : private CallerHost, private RemoteDispatch {
 public:
  /// Opens the worker's sockets; the thread starts with `Start`.
  /// @param settings Must outlive the worker, as must `installation`.
  /// @param callers Address to listen on for callers; shared by all workers.
  /// @param links Address to listen on for links; used by this worker only.
  static Result<std::unique_ptr<Worker>> Create(
      const Settings& settings,
      const Installation& installation,
      const WorkerOptions& options,
      const Endpoint& callers,
      const Endpoint& links);
  ~Worker() override;

  /// Sets the host of claims; to be called before `Start`.
  void SetClaims(ClaimHost& host) { this->claims = &host; }

  void Start();

  // The methods below may be called from any thread.

  /// Publishes a view; the worker applies it on its own thread and then calls
  /// `on_installed` there.
  void Publish(RoutingViewPtr view, std::function<void()> on_installed);

  /// Applies crashes of upstreams that other workers observed.
  void ImportCrashes(std::vector<CrashReport> crashes);

  /// Applies what other VMs report of their paths to upstreams.
  void SetPathDoubts(const PathDoubts& doubts);

  /// Applies rate limits that other VMs report.
  void ImportRateLimits(std::vector<RateLimitReport> reports);

  /// Sets the time at which the configuration of the last published view was
  /// verified to be the newest.
  void ImportConfigurationAsOf(LeaseTime as_of);

  /// Applies a lender's answer to a quota request.
  void ImportQuota(QuotaAnswer answer);

  /// Queries the worker's thread whether it accepts callers: accepting works,
  /// and part of the room for callers is free. A thread that hangs or spins
  /// never answers.
  /// @param answer Called on the worker's thread.
  void QueryAcceptsCallers(std::function<void(bool accepts)> answer);

  /// From now on, answers ask callers to use another connection.
  /// @param end When the process ends at the latest.
  void AnnounceLeave(TimePoint end);

  /// Stops accepting callers; requests in flight are completed.
  void Drain();

  /// Takes back the requests of this worker's callers that no upstream has, now
  /// and from now on: they are answered as not run. Called after `Drain`.
  void Withdraw();

  /// Ends the thread without regard to requests in flight.
  void Stop();
  void Join();

  /// @returns true while ending the process would lose something: there are
  /// connections of callers or, after `Drain`, links with requests or answers
  /// of peers.
  bool busy() const {
    return this->drain_requested.load() || this->busy_callers() > 0 ||
           this->busy_links() > 0;
  }
  size_t busy_callers() const { return this->open_sessions.load(); }
  size_t busy_links() const { return this->links_in_use.load(); }
  const std::shared_ptr<WorkerMetrics>& metrics() const { return this->counts; }
  Endpoint callers_endpoint() const { return this->callers_at; }
  Endpoint links_endpoint() const { return this->links_at; }

 private:
  /// A request that waits for a quota credit.
  struct QuotaWait {
    explicit QuotaWait(const Executor& executor) : settled(executor) {}
    AsyncEvent settled;
    QuotaDecision decision;
  };

  Worker(const Settings& settings,
         const Installation& installation,
         const WorkerOptions& options,
         Acceptor acceptor,
         Acceptor link_acceptor,
         std::unique_ptr<IoContext> context);

  Task<void> AcceptCallers();
  Task<void> AcceptLinks();
  /// @returns the number of further connections of callers that are accepted.
  size_t RoomForCallers() const;
  bool AcceptsCallers(TimePoint now) const;
  LinkTableHandlers MakeLinkHandlers();
  void OnStream(const PeerLinkPtr& link, LinkStreamPtr stream, wire::Open open);
  void ReportCrashes(TimePoint now);
  void ReportRateLimits(TimePoint now);
  void OnReach(const ReachEvent& event);
  void WakeTick();
  Task<void> TickLoop();
  std::chrono::milliseconds TickInterval() const;
  void Tick(TimePoint now);
  void TickSessions(TimePoint now);
  void TickIdle(TimePoint now);
  void CountBusyLinks();
  void PumpQuota(LeaseTime now);
  void TickQuota();
  std::string_view TeamOf(const RequestMessage& request) const;
  void TakeCounters();
  void InstallView(const RoutingViewPtr& view);
  /// @returns true if the configuration is known to be younger than `max_age`;
  /// with 0, any age will do.
  bool IsYoungerThan(std::chrono::milliseconds max_age) const;
  void LogRefusal(const RequestMessage& request, const RequestEnd& end) const;
  void StartSession(Socket socket);
  void BeginDrain();

  // CallerHost
  const RoutingViewPtr& view() const override { return this->current_view; }
  EntryHost& entry() override { return this->entry_host; }
  const HeaderNames& names() const override {
    return this->installation.headers;
  }
  const Executor& executor() const override { return this->run_on; }
  bool buffers_unsized_bodies() const override {
    return this->installation.no_streaming;
  }
  bool leaving() const override { return this->is_leaving; }
  bool draining() const override { return this->is_draining; }
  bool Admits(const RequestMessage& request) const override;
  ServiceHandle ChooseService(const RuleRow& rule) override;
  std::string NewRequestId() override;
  const std::string& via() const override { return this->via_text; }
  const CallerLimits& caller_limits() const override {
    return this->current_caller_limits;
  }
  WorkerMetrics& counters() override { return *this->counts; }
  std::chrono::milliseconds request_total() const override {
    return this->settings.limits.request_total;
  }
  OnceServices once_services() override;
  uint64_t NextOnceSequence() override;
  bool api_keys_verified() const override {
    return this->IsYoungerThan(this->installation.api_key_max_age);
  }
  bool routes_verified() const override {
    return this->IsYoungerThan(this->installation.route_max_age);
  }
  Task<QuotaDecision> TakeQuota(TeamKey team,
                                RuleHandle rule,
                                CreditClaim claim) override;
  void OnServed(RuleHandle rule, Duration time) override;
  CreditNeed EstimateNeed(LeaseTime now,
                          RuleHandle rule,
                          const CreditClaim& claim);
  void ReportDeclaredTime(LeaseTime now,
                          RuleHandle rule,
                          const CreditClaim& claim);
  void ReturnQuota(TeamKey team, const QuotaCredit& credit) override;
  void OnRequestStarted() override;
  void OnRequestDone(const RequestMessage& request,
                     const RequestEnd& end) override;

  // RemoteDispatch
  bool IsLocal(VmHandle vm, ShardKey shard) const override;
  Task<ServeOutcome> Serve(RequestMessage& request,
                           const Target& target,
                           AnswerSink& sink) override;

  const Settings& settings;
  const Installation& installation;
  WorkerOptions options;
  std::unique_ptr<IoContext> context;
  Executor run_on;
  Acceptor acceptor;
  Acceptor link_acceptor;
  Endpoint callers_at;
  Endpoint links_at;
  std::shared_ptr<WorkerMetrics> counts = std::make_shared<WorkerMetrics>();
  UpstreamPool pool;
  std::shared_ptr<Quarantine> quarantine;
  std::shared_ptr<UpstreamNotices> notices;
  DispatchHost dispatch_host;
  EntryHost entry_host;
  ReachHost reach_host;
  LinkTable links;
  RoutingViewPtr current_view;
  std::unordered_set<std::shared_ptr<CallerSession>> sessions;
  CallerLimits current_caller_limits;
  SplitChooser splits;
  /// The configuration is known to have been the newest at that time.
  LeaseTime configuration_as_of = LeaseTime::min();
  QuotaBorrower borrower;
  CallerAge caller_age;
  ShutdownAdmission shutdown;
  LeaseTime declared_time_reported{};          ///< Last event about one.
  std::map<uint64_t, QuotaWait*> quota_waits;  ///< By ticket.
  bool uses_quotas = false;
  std::string via_text;
  Timer tick_timer;
  TimePoint accept_failed{};  ///< Last failed accept at the callers' port.
  TimePoint sessions_ticked;
  TimePoint idle_ticked;
  ClaimHost* claims = nullptr;
  uint64_t next_request = 1;
  uint64_t next_once = 1;
  size_t requests_in_flight = 0;
  bool is_leaving = false;
  bool is_draining = false;
  bool ticking_slowly = false;
  std::atomic<size_t> open_sessions{0};
  std::atomic<size_t> links_in_use{0};
  /// Set from the call of `Drain` until the worker's thread begins to drain.
  std::atomic<bool> drain_requested{false};
  std::thread thread;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_WORKER_H_
