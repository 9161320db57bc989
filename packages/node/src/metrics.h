#ifndef BASILSILL_NODE_METRICS_H_
#define BASILSILL_NODE_METRICS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "basilsill/base/reason.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/quota_borrower.h"
#include "basilsill/decision/shed_case.h"
#include "basilsill/decision/view.h"
#include "basilsill/node/state_source.h"
#include "metrics_latency.h"

/// Counters and gauges of a node. Each worker has one `WorkerMetrics`, which
/// only that worker writes; the control thread has one `ControlMetrics`. The
/// admin server may read them at any time. metrics_table.h defines the exported
/// metrics, which docs/METRICS.md lists.

namespace basilsill {

/// A counter with one writing thread and any number of reading threads.
class Counter {
 public:
  /// For the writing thread only: a separate load and store instead of a locked
  /// instruction.
  void Add(uint64_t amount = 1) {
    const uint64_t old = this->number.load(std::memory_order_relaxed);
    this->number.store(old + amount, std::memory_order_relaxed);
  }
  /// Sets the value to a total that is counted elsewhere.
  void Set(uint64_t total) {
    this->number.store(total, std::memory_order_relaxed);
  }
  uint64_t value() const {
    return this->number.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<uint64_t> number{0};
};

/// A value that can rise and fall; one writing thread, any number of reading
/// threads.
class Gauge {
 public:
  void Set(int64_t value) {
    this->level.store(value, std::memory_order_relaxed);
  }
  void Add(int64_t amount) { this->Set(this->value() + amount); }
  int64_t value() const { return this->level.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> level{0};
};

/// How a request of a caller ended.
enum class Outcome : uint8_t {
  kAnswered,    ///< The caller got the complete response of the upstream.
  kRefused,     ///< basilsill itself responded with a refusal.
  kBroken,      ///< Response aborted midway, visibly to the caller.
  kCallerGone,  ///< The caller disconnected before the end.
  kCount
};

/// @returns the name of `outcome` in metric labels.
std::string_view NameOf(Outcome outcome);

/// What became of a request that wanted a credit of its team's quota.
enum class CreditUse : uint8_t {
  kAsked,
  kGrantedInTime,
  kGrantedLate,
  kRefused,
  kReturned,  ///< Ended without having run.
  kCount
};

/// @returns the name of `use` in metric labels.
std::string_view NameOf(CreditUse use);

/// One T for each value of an enum that ends in kCount.
template <typename T, typename Enum>
using PerEnum = std::array<T, static_cast<size_t>(Enum::kCount)>;

/// Counters of the links of one thread.
struct LinkCounters {
  Gauge open;
  Counter messages_sent;
  Counter messages_received;
  Counter bytes_sent;
  Counter bytes_received;
};

struct WorkerMetrics {
  // Callers.
  PerEnum<PerEnum<Counter, Outcome>, TrafficClass> requests;
  PerEnum<Counter, Refusal> refusals;
  /// Refusals that promise that a request, which must not repeat, has not run.
  PerEnum<Counter, RefusalSource> not_run_promises;
  Counter withheld_promises;  ///< Refusals whose promise was without proof.
  PerEnum<Counter, Retry> retries;
  Counter caller_connections_opened;
  Gauge caller_connections;
  Counter accept_failures;  ///< On the ports for callers and links.
  Gauge requests_in_flight;
  Gauge peer_requests;  ///< Received from peers and not ended.
  Counter caller_bytes_received;
  Counter caller_bytes_sent;

  // Credits of quotas, by class.
  PerEnum<PerEnum<Counter, CreditUse>, TrafficClass> credits;
  Counter void_credits;

  // Dispatching and upstreams.
  Gauge queued;  ///< Requests that wait for a slot of an upstream.
  Gauge attempts_in_flight;
  Counter attempts;
  Gauge unreachable_data_centres;  ///< Whose upstreams can't be connected to.
  Counter upstream_connections_opened;
  Gauge upstream_connections;
  Counter upstream_bytes_sent;
  Counter upstream_bytes_received;

  // Cost of measuring upstreams.
  Counter probes;       ///< Requests sent to upstreams only to measure them.
  Counter probe_bytes;  ///< Sent and received.
  /// Upstreams with an advertised rate limit, and the traffic to them.
  Gauge rate_limited_upstreams;
  Counter rate_limited_requests;
  Counter rate_limited_probes;
  /// Upstreams that say that they leave or rest.
  Gauge leaving_upstreams;
  Gauge resting_upstreams;
  Counter refused_for_notice;  ///< Requests refused because of that.
  Counter held_for_rate;       ///< Requests that waited because of rate limits.
  /// Requests that upstreams shed, by the case of the shard.
  std::array<Counter, static_cast<size_t>(ShedCase::kCount)> sheds;

  // Links to other workers.
  LinkCounters links;

  // Time spent.
  LatencyRecorder request_latency;   ///< Head received to response sent.
  LatencyRecorder queue_latency;     ///< Wait for an upstream's slot.
  LatencyRecorder upstream_latency;  ///< Attempt start to response end.
  Counter cpu_nanoseconds;           ///< CPU time of the worker's thread.

  /// Hands the recorded latencies to the reader and updates the CPU time. To be
  /// called once per tick on the worker's thread.
  void Tick(TimePoint now);

  /// Sets the counters of credits.
  void SetQuotaCounts(const QuotaCounts& totals);

  void CountOutcome(TrafficClass traffic_class, Outcome outcome) {
    this->requests[static_cast<size_t>(traffic_class)]
                  [static_cast<size_t>(outcome)]
                      .Add();
  }
  void CountRefusal(Refusal reason) {
    this->refusals[static_cast<size_t>(reason)].Add();
  }
  void CountNotRunPromise(RefusalSource source) {
    this->not_run_promises[static_cast<size_t>(source)].Add();
  }
  void CountRetry(Retry reason) {
    this->retries[static_cast<size_t>(reason)].Add();
  }
};

/// Counters and gauges of the control thread.
struct ControlMetrics {
  Gauge view_version;
  Gauge applied_offset;
  PerEnum<Gauge, VmState> vms;
  Gauge drained_data_centres;
  Gauge store_era;  ///< Of the platform's store; rises with each restore.
  Gauge lost_data_centres;  ///< Whose upstreams no VM can connect to.
  /// Upper bound on the age of the configuration, in ms; 0 if the age is not
  /// tracked.
  Gauge configuration_age;
  Gauge lends_quotas;  ///< 1 while this VM lends its data centre's quotas.
  LinkCounters links;
  Counter accept_failures;
  Gauge callers_not_taken;  ///< 1 while the node accepts no further callers.
  Counter log_reads;
  Counter log_appends;
  Counter platform_failures;
  PerEnum<Counter, PlatformCall> platform_calls;
  PerEnum<Counter, FailureKind> records_ignored;
};

/// @returns the name of `state` in metric labels.
std::string_view NameOf(VmState state);

/// @returns the CPU time used by the calling thread.
Duration ThreadCpuTime();

}  // namespace basilsill

#endif  // BASILSILL_NODE_METRICS_H_
