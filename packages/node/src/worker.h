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
#include "basilsill/decision/quota_borrower.h"
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
#include "upstream_pool.h"

/// One traffic thread with all that belongs to it: callers, dispatchers,
/// upstream connections and links to other workers. Nothing in it is shared
/// with another thread except the metrics and the published view.

namespace basilsill {

struct WorkerOptions {
  uint16_t number = 0;  ///< Among the workers of this node.
  uint64_t seed = 1;    ///< Differs from worker to worker and run to run.
  uint64_t incarnation = 0;
  /// Called on the worker's thread with deaths of upstreams that it saw.
  std::function<void(std::vector<CrashReport>)> on_crashes;
  /// Called there with what other VMs have to be told of rate limits.
  std::function<void(std::vector<RateLimitUpdate>)> on_rate_limits;
  /// Called there with what a lender of quotas is to be asked.
  std::function<void(QuotaRequest)> on_quota_request;
};

class Worker final : private CallerHost, private RemoteDispatch {
 public:
  /// Opens the worker's sockets; the thread starts with `Start`.
  /// @param settings Must outlive the worker, as must `installation`.
  /// @param callers Where to listen for callers; shared by all workers.
  static Result<std::unique_ptr<Worker>> Create(
      const Settings& settings,
      const Installation& installation,
      const WorkerOptions& options,
      const Endpoint& callers,
      const Endpoint& links);
  ~Worker() override;

  /// Gives the way to claims; before `Start`.
  void SetClaims(ClaimHost& host) { this->claims = &host; }

  void Start();

  // From any thread:

  /// Hands over a view; it is in force at the worker's next loop turn.
  void Publish(RoutingViewPtr view);

  /// Takes in deaths of upstreams that other workers saw.
  void ImportCrashes(std::vector<CrashReport> crashes);

  /// Takes in what other VMs heard of rate limits.
  void ImportRateLimits(std::vector<RateLimitReport> reports);

  /// The configuration of the view that was published last certainly was the
  /// newest then.
  void ImportConfigurationAsOf(LeaseTime as_of);

  /// Takes in the answer to what was asked of a lender.
  void ImportQuota(QuotaAnswer answer);

  /// Asks the worker's thread whether it takes callers: they are accepted, and
  /// a part of the room for them is free. A thread that hangs or spins never
  /// answers.
  /// @param answer Called on the worker's thread.
  void QueryAcceptsCallers(std::function<void(bool takes)> answer);

  /// From here on answers ask callers to use another connection next time.
  void AnnounceLeave();

  /// Takes no new callers; what is in flight ends.
  void Drain();

  /// Ends the thread, whatever is in flight.
  void Stop();
  void Join();

  /// @returns true while the end of the process would lose something: there
  /// are connections of callers or, once `Drain` was called, links with work or
  /// answers of peers.
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
  /// A request that waits for its credit.
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
  /// @returns how many more connections of callers are taken.
  size_t RoomForCallers() const;
  bool AcceptsCallers(TimePoint now) const;
  LinkTableHandlers MakeLinkHandlers();
  void OnStream(const PeerLinkPtr& link, LinkStreamPtr stream, wire::Open open);
  void ReportCrashes(TimePoint now);
  void ReportRateLimits(TimePoint now);
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
    return this->installation.messages_end_soon;
  }
  bool leaving() const override { return this->is_leaving; }
  bool draining() const override { return this->is_draining; }
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
    return LeaseClock::now() < this->api_keys_until;
  }
  Task<QuotaDecision> TakeQuota(TeamKey team) override;
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
  DispatchHost dispatch_host;
  EntryHost entry_host;
  LinkTable links;
  RoutingViewPtr current_view;
  std::unordered_set<std::shared_ptr<CallerSession>> sessions;
  CallerLimits current_caller_limits;
  SplitChooser splits;
  LeaseTime api_keys_until;  ///< Not relied on from then on.
  QuotaBorrower borrower;
  std::map<uint64_t, QuotaWait*> quota_waits;  ///< By ticket.
  bool uses_quotas = false;
  std::string via_text;
  Timer tick_timer;
  TimePoint accept_failed{};  ///< At the callers' port, the last time.
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
  /// From the call of `Drain` until the worker's thread acts on it.
  std::atomic<bool> drain_requested{false};
  std::thread thread;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_WORKER_H_
