#ifndef BASILSILL_NODE_METRICS_H_
#define BASILSILL_NODE_METRICS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "basilsill/base/reason.h"
#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"
#include "basilsill/node/state_source.h"
#include "metrics_latency.h"

/// What a node counts. Each worker has one `WorkerMetrics` that it alone
/// writes, the control thread one `ControlMetrics`; the admin server reads
/// them at any time. docs/METRICS.md lists what is made from them
/// (metrics_table.h).

namespace basilsill {

/// A number with one writing thread and any number of readers.
class Counter {
 public:
  /// Only from the writing thread: a load and a store, no locked instruction.
  void Add(uint64_t amount = 1) {
    const uint64_t old = this->number.load(std::memory_order_relaxed);
    this->number.store(old + amount, std::memory_order_relaxed);
  }
  /// Takes over a total that something else counts.
  void Set(uint64_t total) {
    this->number.store(total, std::memory_order_relaxed);
  }
  uint64_t value() const {
    return this->number.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<uint64_t> number{0};
};

/// A level that rises and falls; one writing thread.
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

/// How a caller's request ended.
enum class Outcome : uint8_t {
  kAnswered,    ///< The upstream's whole answer went to the caller.
  kRefused,     ///< The system answered itself.
  kBroken,      ///< The answer broke half-way and looks broken.
  kCallerGone,  ///< The caller went away first.
  kCount
};

/// @returns the name of `outcome` as metrics carry it.
std::string_view NameOf(Outcome outcome);

/// One T for each value of a closed enum.
template <typename T, typename Enum>
using PerEnum = std::array<T, static_cast<size_t>(Enum::kCount)>;

/// What the links of one thread count.
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
  PerEnum<Counter, Retry> retries;
  Counter caller_connections_opened;
  Gauge caller_connections;
  Counter accept_failures;  ///< At the ports of callers and of links.
  Gauge requests_in_flight;
  Gauge peer_requests;
  Counter caller_bytes_received;
  Counter caller_bytes_sent;

  // Dispatching and upstreams.
  Gauge queued;
  Gauge attempts_in_flight;
  Counter attempts;
  Counter upstream_connections_opened;
  Gauge upstream_connections;
  Counter upstream_bytes_sent;
  Counter upstream_bytes_received;

  // Cost of measuring.
  Counter probes;
  Counter probe_bytes;
  /// Sent to upstreams that name a rate limit.
  Gauge rate_limited_upstreams;
  Counter rate_limited_requests;
  Counter rate_limited_probes;
  Counter held_for_rate;

  // Links to other workers.
  LinkCounters links;

  // Time spent.
  LatencyRecorder request_latency;   ///< Head in to last byte of answer out.
  LatencyRecorder queue_latency;     ///< Wait for a slot at the dispatcher.
  LatencyRecorder upstream_latency;  ///< Attempt out to its answer's end.
  Counter cpu_nanoseconds;           ///< Of the worker's thread.

  /// Hands over latencies and takes the thread's processor time. Call once a
  /// tick on the worker's thread.
  void Tick(TimePoint now);

  void CountOutcome(TrafficClass traffic_class, Outcome outcome) {
    this->requests[static_cast<size_t>(traffic_class)]
                  [static_cast<size_t>(outcome)]
                      .Add();
  }
  void CountRefusal(Refusal reason) {
    this->refusals[static_cast<size_t>(reason)].Add();
  }
  void CountRetry(Retry reason) {
    this->retries[static_cast<size_t>(reason)].Add();
  }
};

/// What the control thread counts.
struct ControlMetrics {
  Gauge view_version;
  Gauge applied_offset;
  PerEnum<Gauge, VmState> vms;
  Gauge drained_data_centres;
  /// How old the configuration may be, in ms; 0 where that is not followed.
  Gauge configuration_age;
  Gauge lends_quotas;
  LinkCounters links;
  Counter accept_failures;
  Gauge
      callers_not_taken;  ///< 1 while it would be no use to send callers here.
  Counter log_reads;
  Counter log_appends;
  Counter platform_failures;
  PerEnum<Counter, PlatformCall> platform_calls;
  PerEnum<Counter, FailureKind> records_ignored;
};

/// @returns the name of `state` as metrics carry it.
std::string_view NameOf(VmState state);

/// @returns the processor time that the calling thread has used.
Duration ThreadCpuTime();

}  // namespace basilsill

#endif  // BASILSILL_NODE_METRICS_H_
