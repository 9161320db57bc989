#ifndef BASILSILL_NODE_DISPATCH_HOST_H_
#define BASILSILL_NODE_DISPATCH_HOST_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "async_event.h"
#include "basilsill/decision/entry.h"
#include "http_message.h"
#include "upstream_attempt.h"
#include "upstream_pool.h"

/// Runs a worker's Dispatcher: starts and cancels attempts at upstreams as it
/// decides, and reports their ends to it.

namespace basilsill {

class DispatchHost {
 public:
  DispatchHost(std::unique_ptr<Dispatcher> dispatcher, UpstreamPool& pool);
  ~DispatchHost();

  void ApplyView(TimePoint now, const RoutingViewPtr& view);

  /// Serves `request` through the queue of the target's shard.
  Task<ServeOutcome> Serve(RequestMessage& request,
                           const Target& target,
                           AnswerSink& sink);

  /// Serves `request` at `upstream` without a queue.
  Task<ServeOutcome> ServeDirect(RequestMessage& request,
                                 UpstreamHandle upstream,
                                 AnswerSink& sink);

  void Tick(TimePoint now);

  /// Refuses all queued requests, so that their entry VMs send them elsewhere;
  /// for a graceful shutdown.
  void HandBack(TimePoint now);

  /// Applies a rate limit of an upstream that another VM reports.
  void ImportRateLimit(TimePoint now, const RateLimitReport& report);

  /// @returns the rate limit updates to propagate to other VMs.
  std::vector<RateLimitUpdate> TakeRateLimitUpdates(TimePoint now) {
    return this->dispatcher->TakeRateLimitUpdates(now);
  }

  /// Applies what upstreams of `shard` said to another VM.
  void ImportNotices(ShardKey shard,
                     const std::vector<UpstreamNoticeReport>& reports);

  /// @returns what upstreams of `shard` said to this VM and still holds.
  std::vector<UpstreamNoticeReport> NoticesOf(ShardKey shard) const {
    return this->dispatcher->NoticesOf(MonotonicClock::now(), shard);
  }

  /// This worker has lost its path to the upstreams of `data_centre`, or has it
  /// again.
  void OnReach(DataCentreHandle data_centre, bool reachable);

  ShardSummary Summarize(ShardKey shard) const;

  /// @returns false if this VM can't connect to the upstreams of `shard`.
  bool ReachesShard(ShardKey shard) const {
    return this->dispatcher->ReachesShard(MonotonicClock::now(), shard);
  }

  const DispatchCounters& counters() const {
    return this->dispatcher->counters();
  }

  /// @returns the counters of the worker.
  WorkerMetrics& metrics() { return this->pool.metrics(); }

  size_t CountRateLimited() const {
    return this->dispatcher->CountRateLimited();
  }

  /// @returns the number of requests that wait for a slot. Walks all requests.
  size_t CountQueued() const;

  /// @returns the number of requests that are queued or running here.
  size_t active() const {
    return this->jobs.size() + this->direct_attempts.size();
  }

 private:
  struct RunningAttempt;
  struct Job;
  struct DirectAttempt {
    TimePoint deadline;
    UpstreamAttempt* attempt;
  };
  using JobPtr = std::shared_ptr<Job>;

  void Pump();
  void Perform(const DispatchAction& action);
  void Report(const UpstreamEvent& event) const;
  void StartAttempt(const JobPtr& job, const DispatchAction& action);
  void StartLoadQuery(const DispatchAction& action);
  void ApplyNotice(ServiceHandle service,
                   UpstreamHandle upstream,
                   const UpstreamNotice& notice);
  std::function<void(const UpstreamNotice&)> NoticeHook(
      ServiceHandle service,
      UpstreamHandle upstream);
  Task<void> RunLoadQuery(ServiceHandle service,
                          UpstreamHandle upstream,
                          AttemptTarget target,
                          std::string health_path);
  void CancelAttempt(Job& job, AttemptHandle attempt);
  Task<void> RunAttempt(JobPtr job,
                        DispatchAction action,
                        std::string upstream,
                        UpstreamAttempt* running);
  void OnAttemptDone(Job& job,
                     AttemptHandle attempt,
                     const AttemptReport& report);
  bool OnAnswer(Job& job, AttemptHandle attempt);
  bool OnBufferedAnswer(Job& job,
                        AttemptHandle attempt,
                        const AttemptReport& report);
  static void Forget(Job& job, AttemptHandle attempt);
  void ExpireDirectAttempts(TimePoint now);

  std::unique_ptr<Dispatcher> dispatcher;
  UpstreamPool& pool;
  RoutingViewPtr view;
  std::unordered_map<uint64_t, JobPtr> jobs;
  std::list<DirectAttempt> direct_attempts;
  uint64_t next_cookie = 1;
  bool pumping = false;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_DISPATCH_HOST_H_
