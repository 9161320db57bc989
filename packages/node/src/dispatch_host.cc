#include "dispatch_host.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>

#include "attempt_log.h"
#include "basilsill/node/task_end.h"
#include "found_upstream.h"
#include "load_query.h"

namespace basilsill {
namespace {

// @returns the time left to meet the request's latency target, at least 1 ms; 0
// if it has no target.
ShortMillis GoodFor(TimePoint now, const RequestMessage& request) {
  if (request.good_until == kNever) {
    return ShortMillis(0);
  }
  const Duration left = request.good_until - now;
  return std::chrono::duration_cast<ShortMillis>(
      std::max<Duration>(left, ShortMillis(1)));
}

// @returns the name of an upstream in logs.
std::string NameOf(const AttemptTarget& target) {
  const std::string& id = target.incarnation.id;
  return id.empty() ? ToString(target.endpoint) : id;
}

// Writes a buffered answer of `request` to `sink`, piece by piece.
Task<bool> Deliver(const BufferedAnswer& answer,
                   RequestMessage& request,
                   AnswerSink& sink) {
  request.has_whole_answer = [] { return true; };
  std::span<const char> rest(answer.body);
  std::span<const char> piece =
      rest.first(std::min(rest.size(), limits::kBodyChunkBytes));
  rest = rest.subspan(piece.size());
  bool receiver_there = co_await sink.Start(answer.head, piece, rest.empty());
  while (receiver_there && !rest.empty()) {
    piece = rest.first(std::min(rest.size(), limits::kBodyChunkBytes));
    rest = rest.subspan(piece.size());
    receiver_there = co_await sink.Continue(piece, rest.empty(), nullptr);
  }
  co_return receiver_there;
}

}  // namespace

struct DispatchHost::RunningAttempt {
  AttemptHandle handle;
  std::unique_ptr<UpstreamAttempt> attempt;
};

// A request at this dispatcher. `Serve` and each attempt keep it alive.
struct DispatchHost::Job {
  Job(RequestMessage& request, AnswerSink& sink, const Executor& executor)
      : request(request), sink(sink), done(executor) {}

  RequestMessage& request;
  AnswerSink& sink;
  DispatchHandle handle;
  AsyncEvent done;
  std::vector<RunningAttempt> attempts;
  AttemptHandle winner;
  /// An upstream's own error answer, delivered if no attempt succeeds.
  std::optional<BufferedAnswer> failed_answer;
  TimePoint offered;
  bool was_started = false;
  bool settled = false;
  ServeOutcome outcome;

  void Settle(const ServeOutcome& result) {
    if (!this->settled) {
      this->settled = true;
      this->outcome = result;
      this->outcome.source = SourceAtDispatcher(result.refusal);
    }
    this->WakeIfIdle();
  }

  void Drop(AttemptHandle attempt) {
    std::erase_if(this->attempts, [attempt](const RunningAttempt& running) {
      return running.handle == attempt;
    });
  }

  // `Serve` owns objects that attempts refer to, so it continues only after all
  // attempts have ended.
  void WakeIfIdle() {
    if (this->settled && this->attempts.empty()) {
      this->done.Set();
    }
  }
};

DispatchHost::DispatchHost(std::unique_ptr<Dispatcher> dispatcher,
                           UpstreamPool& pool)
    : dispatcher(std::move(dispatcher)), pool(pool) {}

// The hooks of an attempt own its job, and the job owns its attempts. The cycle
// is broken here for jobs that were still running; otherwise they would leak
// and the connections to upstreams would stay open.
DispatchHost::~DispatchHost() {
  for (const auto& [cookie, job] : this->jobs) {
    const std::vector<RunningAttempt> cut_off = std::move(job->attempts);
  }
}

void DispatchHost::ApplyView(TimePoint now, const RoutingViewPtr& view) {
  this->view = view;
  this->dispatcher->ApplyView(now, view);
  this->Pump();
}

Task<ServeOutcome> DispatchHost::Serve(RequestMessage& request,
                                       const Target& target,
                                       AnswerSink& sink) {
  const auto job = std::make_shared<Job>(request, sink, this->pool.executor());
  const uint64_t cookie = this->next_cookie++;
  this->jobs.emplace(cookie, job);

  DispatchRequest offer;
  offer.shard = target.shard;
  offer.max_wait = target.max_wait;
  offer.team = request.entry.team;
  offer.traffic_class = request.entry.traffic_class;
  offer.deadline = request.entry.deadline;
  offer.idempotent = request.entry.idempotent;
  offer.hedge = request.hedge;
  offer.replayable = request.source == nullptr;
  offer.fingerprint = request.entry.fingerprint;
  offer.max_attempts = request.entry.max_attempts;
  offer.sends = target.sends;
  offer.cookie = cookie;
  const TimePoint now = MonotonicClock::now();
  offer.good_for = GoodFor(now, request);
  job->offered = now;
  job->handle = this->dispatcher->Offer(now, offer);
  request.on_caller_gone = [this, job] {
    this->dispatcher->Cancel(MonotonicClock::now(), job->handle);
    job->Settle({false, Refusal::kCallerGone, Duration(0)});
    this->Pump();
  };
  request.on_withdrawn = [this, job] {
    this->dispatcher->Withdraw(MonotonicClock::now(), job->handle);
    this->Pump();
  };
  if (request.withdrawn) {
    Withdraw(request);
  }
  this->Pump();
  co_await job->done.Wait();
  request.on_caller_gone = nullptr;
  request.on_withdrawn = nullptr;
  this->jobs.erase(cookie);
  if (job->failed_answer && !job->outcome.answered && !request.caller_gone) {
    // An upstream's own error answer tells the caller more than a refusal that
    // no other upstream was found.
    co_await Deliver(*job->failed_answer, request, sink);
    job->outcome = {true, Refusal::kNone, Duration(0)};
  }
  co_return job->outcome;
}

Task<ServeOutcome> DispatchHost::ServeDirect(RequestMessage& request,
                                             UpstreamHandle upstream,
                                             AnswerSink& sink) {
  const FoundUpstream found =
      FindIn(*this->view, request.entry.service, upstream);
  if (found.row == nullptr) {
    co_return ServeOutcome{false, Refusal::kNoUpstream, Duration(0)};
  }
  const RoutingViewPtr pinned_view = this->view;  // Keeps `found` valid.
  AttemptTarget where = found.target();
  const std::string name = NameOf(where);
  AttemptHooks hooks;
  hooks.on_notice = this->NoticeHook(request.entry.service, upstream);
  hooks.on_answer = [] { return true; };
  hooks.may_resend = [] { return false; };
  UpstreamAttempt attempt(this->pool, std::move(where), request, sink,
                          std::move(hooks));
  const auto place = this->direct_attempts.insert(
      this->direct_attempts.end(), {request.entry.deadline, &attempt});
  request.on_caller_gone = [&attempt] { attempt.Cancel(); };
  WorkerMetrics& metrics = this->pool.metrics();
  metrics.attempts.Add();
  metrics.attempts_in_flight.Add(1);
  const TimePoint started = MonotonicClock::now();
  const AttemptReport report = co_await attempt.Run();
  LogAttempt({request.request_id,
              name,
              {},
              report,
              attempt.trace(),
              Duration(0),
              MonotonicClock::now() - started});
  metrics.attempts_in_flight.Add(-1);
  request.on_caller_gone = nullptr;
  this->direct_attempts.erase(place);
  if (report.rate_limit.presence == RateLimitPresence::kNamed) {
    // This VM may soon become the dispatcher of this upstream.
    this->ImportRateLimit(
        MonotonicClock::now(),
        MakeRateLimitReport(*found.service, *found.row, report.rate_limit));
  }
  if (report.end == AttemptEnd::kMisdirected) {
    UpstreamNotice notice;
    notice.replaced = true;
    this->ApplyNotice(request.entry.service, upstream, notice);
  }
  if (attempt.buffered()) {
    co_await Deliver(*attempt.buffered(), request, sink);
  }
  const bool answered =
      report.end == AttemptEnd::kAnswered || report.answer_started;
  ServeOutcome outcome;
  outcome.answered = answered;
  outcome.refusal = RefusalOf(report.end);
  outcome.sends = report.end == AttemptEnd::kConnectFailed ? 0 : 1;
  outcome.source = SourceAtDispatcher(outcome.refusal);
  outcome.rate_limit = report.rate_limit;
  co_return outcome;
}

void DispatchHost::Tick(TimePoint now) {
  this->ExpireDirectAttempts(now);
  this->dispatcher->Tick(now);
  this->Pump();
}

void DispatchHost::HandBack(TimePoint now) {
  this->dispatcher->HandBack(now);
  this->Pump();
}

void DispatchHost::ImportRateLimit(TimePoint now,
                                   const RateLimitReport& report) {
  this->dispatcher->OnRateLimitReport(now, report);
  this->Pump();
}

void DispatchHost::OnReach(DataCentreHandle data_centre, bool reachable) {
  this->dispatcher->OnReach(MonotonicClock::now(), data_centre, reachable);
  this->Pump();
}

ShardSummary DispatchHost::Summarize(ShardKey shard) const {
  return this->dispatcher->Summarize(MonotonicClock::now(), shard);
}

// Performing one action can make the dispatcher emit more, so they are
// performed in rounds until none is left.
void DispatchHost::Pump() {
  if (this->pumping) {
    return;
  }
  this->pumping = true;
  std::vector<DispatchAction> round;
  while (!this->dispatcher->actions().empty() ||
         !this->dispatcher->events().empty()) {
    for (const UpstreamEvent& event : this->dispatcher->events()) {
      this->Report(event);
    }
    round = this->dispatcher->actions();
    this->dispatcher->ClearActions();
    for (const DispatchAction& action : round) {
      this->Perform(action);
    }
  }
  this->pumping = false;
}

size_t DispatchHost::CountQueued() const {
  return static_cast<size_t>(std::count_if(
      this->jobs.begin(), this->jobs.end(),
      [](const auto& job) { return job.second->attempts.empty(); }));
}

void DispatchHost::Report(const UpstreamEvent& event) const {
  const FoundUpstream found = FindInAny(*this->view, event.upstream);
  if (found.row != nullptr) {
    LogUpstreamEvent(event, found.row->endpoint);
  }
}

void DispatchHost::Perform(const DispatchAction& action) {
  if (action.kind == DispatchActionKind::kQueryLoad) {
    this->StartLoadQuery(action);
    return;
  }
  const auto found = this->jobs.find(action.cookie);
  if (found == this->jobs.end()) {
    return;
  }
  const JobPtr job = found->second;
  switch (action.kind) {
    case DispatchActionKind::kStart:
      this->StartAttempt(job, action);
      break;
    case DispatchActionKind::kRefuse:
      job->Settle({false, action.refusal, action.retry_after, action.sends});
      break;
    case DispatchActionKind::kCancel:
      this->CancelAttempt(*job, action.attempt);
      break;
    case DispatchActionKind::kQueryLoad:
    case DispatchActionKind::kCount:
      break;
  }
}

void DispatchHost::StartLoadQuery(const DispatchAction& action) {
  const FoundUpstream found = FindInAny(*this->view, action.upstream);
  if (found.row != nullptr && !found.service->health_path.empty()) {
    this->pool.metrics().rate_limited_probes.Add(action.rate_limited ? 1 : 0);
    boost::asio::co_spawn(
        this->pool.executor(),
        this->RunLoadQuery(found.service->handle, action.upstream,
                           found.target(), found.service->health_path),
        DetachedTask{"ask-upstream"});
    return;
  }
  this->dispatcher->OnLoadQueryEnd(MonotonicClock::now(), action.upstream, {});
}

Task<void> DispatchHost::RunLoadQuery(ServiceHandle service,
                                      UpstreamHandle upstream,
                                      AttemptTarget target,
                                      std::string health_path) {
  const LoadQueryReport report =
      co_await QueryUpstreamLoad(this->pool, std::move(target), health_path);
  if (!report.foreign) {
    this->ApplyNotice(service, upstream, report.notice);
  }
  this->dispatcher->OnLoadQueryEnd(MonotonicClock::now(), upstream, report);
  this->Pump();
}

void DispatchHost::ApplyNotice(ServiceHandle service,
                               UpstreamHandle upstream,
                               const UpstreamNotice& notice) {
  this->dispatcher->OnNotice(MonotonicClock::now(), service, upstream, notice);
  this->Pump();
}

std::function<void(const UpstreamNotice&)> DispatchHost::NoticeHook(
    ServiceHandle service,
    UpstreamHandle upstream) {
  return [this, service, upstream](const UpstreamNotice& notice) {
    this->ApplyNotice(service, upstream, notice);
  };
}

void DispatchHost::ImportNotices(
    ShardKey shard,
    const std::vector<UpstreamNoticeReport>& reports) {
  this->dispatcher->OnNoticeReports(MonotonicClock::now(), shard, reports);
  this->Pump();
}

void DispatchHost::StartAttempt(const JobPtr& job,
                                const DispatchAction& action) {
  const FoundUpstream found =
      FindIn(*this->view, job->request.entry.service, action.upstream);
  if (found.row == nullptr) {
    AttemptReport report;
    report.end = AttemptEnd::kConnectFailed;
    this->OnAttemptDone(*job, action.attempt, report);
    return;
  }
  AttemptHooks hooks;
  hooks.on_notice =
      this->NoticeHook(job->request.entry.service, action.upstream);
  hooks.on_answer = [this, job, attempt = action.attempt] {
    return this->OnAnswer(*job, attempt);
  };
  hooks.may_resend = [this, attempt = action.attempt] {
    return this->dispatcher->MaySendAgain(MonotonicClock::now(), attempt);
  };
  AttemptTarget target = found.target();
  std::string name = NameOf(target);
  auto running = std::make_unique<UpstreamAttempt>(
      this->pool, std::move(target), job->request, job->sink, std::move(hooks));
  UpstreamAttempt* const raw = running.get();
  const TimePoint now = MonotonicClock::now();
  WorkerMetrics& metrics = this->pool.metrics();
  metrics.attempts.Add();
  metrics.attempts_in_flight.Add(1);
  metrics.rate_limited_requests.Add(action.rate_limited ? 1 : 0);
  if (!job->was_started) {
    job->was_started = true;
    metrics.queue_latency.Record(job->request.entry.traffic_class,
                                 now - job->offered);
  }
  // The attempt is on the list before its coroutine first runs: a request that
  // is cancelled in between must not end while the attempt still refers to it.
  job->attempts.push_back({action.attempt, std::move(running)});
  boost::asio::co_spawn(this->pool.executor(),
                        this->RunAttempt(job, action, std::move(name), raw),
                        DetachedTask{"attempt"});
}

Task<void> DispatchHost::RunAttempt(JobPtr job,
                                    DispatchAction action,
                                    std::string upstream,
                                    UpstreamAttempt* running) {
  const AttemptHandle attempt = action.attempt;
  const TimePoint started = MonotonicClock::now();
  const AttemptReport report = co_await running->Run();
  LogAttempt({job->request.request_id, upstream, action, report,
              running->trace(), started - job->offered,
              MonotonicClock::now() - started});
  WorkerMetrics& metrics = this->pool.metrics();
  metrics.attempts_in_flight.Add(-1);
  if (report.end == AttemptEnd::kAnswered) {
    metrics.upstream_latency.Record(job->request.entry.traffic_class,
                                    MonotonicClock::now() - started);
  }
  if (!running->buffered()) {
    this->OnAttemptDone(*job, attempt, report);
    co_return;
  }
  // The attempt stays on the list until its answer is delivered, because the
  // request must not end earlier.
  BufferedAnswer answer = *std::move(running->buffered());
  if (!this->OnBufferedAnswer(*job, attempt, report)) {
    job->failed_answer = std::move(answer);
    this->Forget(*job, attempt);
    co_return;
  }
  co_await Deliver(answer, job->request, job->sink);
  job->Settle({true, Refusal::kNone, Duration(0)});
  this->Forget(*job, attempt);
}

// @returns true if this answer is to be delivered to the caller.
bool DispatchHost::OnBufferedAnswer(Job& job,
                                    AttemptHandle attempt,
                                    const AttemptReport& report) {
  const bool late = IsValid(job.winner) || job.settled;
  const bool goes_on =
      this->dispatcher->OnAttemptEnd(MonotonicClock::now(), attempt, report);
  if (!goes_on && !late) {
    job.winner = attempt;
  }
  this->Pump();
  return !goes_on && !late;
}

void DispatchHost::Forget(Job& job, AttemptHandle attempt) {
  job.Drop(attempt);
  job.WakeIfIdle();
}

bool DispatchHost::OnAnswer(Job& job, AttemptHandle attempt) {
  if (IsValid(job.winner) || job.settled) {
    return false;
  }
  job.winner = attempt;
  this->dispatcher->OnFirstByte(MonotonicClock::now(), attempt);
  this->Pump();
  return true;
}

void DispatchHost::OnAttemptDone(Job& job,
                                 AttemptHandle attempt,
                                 const AttemptReport& report) {
  job.Drop(attempt);
  const bool goes_on =
      this->dispatcher->OnAttemptEnd(MonotonicClock::now(), attempt, report);
  // OnAttemptEnd returns true for an attempt that this host cancelled, since
  // the dispatcher no longer knows that attempt. An attempt that cancelled
  // itself has lost its caller, and nothing else would end the request.
  if (!goes_on) {
    const bool answered =
        report.end == AttemptEnd::kAnswered || report.answer_started;
    job.Settle({answered, RefusalOf(report.end), Duration(0)});
  }
  job.WakeIfIdle();
  this->Pump();
}

void DispatchHost::CancelAttempt(Job& job, AttemptHandle attempt) {
  for (const RunningAttempt& running : job.attempts) {
    if (running.handle == attempt) {
      running.attempt->Cancel();
    }
  }
}

// Times out the attempts of ServeDirect. The dispatcher times out the attempts
// that it started itself.
void DispatchHost::ExpireDirectAttempts(TimePoint now) {
  for (const DirectAttempt& direct : this->direct_attempts) {
    if (now >= direct.deadline && !direct.attempt->answer_started()) {
      direct.attempt->TimeOut();
    }
  }
}

}  // namespace basilsill
