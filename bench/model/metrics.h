#ifndef BASILSILL_BENCH_MODEL_METRICS_H_
#define BASILSILL_BENCH_MODEL_METRICS_H_

#include <array>
#include <cstdint>
#include <vector>

#include "basilsill/base/reason.h"
#include "basilsill/base/time.h"

/// Metrics of one run of the policy benchmark.

namespace basilsill::bench {

enum class OutcomeKind : uint8_t {
  kAnswered,
  kFailed,         ///< Error answer of an upstream, passed on unchanged.
  kRefused,        ///< Refused with a reason; the request did not run.
  kUnknown,        ///< Failed with a reason; the request may have run.
  kCallerTimeout,  ///< The caller stopped waiting for the answer.
  kEntryLost,      ///< The entry VM died.
  kCount
};

struct Outcome {
  OutcomeKind kind = OutcomeKind::kCount;
  Refusal refusal = Refusal::kNone;
  Duration retry_after{0};
};

struct FlowMetrics {
  std::array<uint64_t, static_cast<size_t>(OutcomeKind::kCount)> outcomes{};
  std::array<uint64_t, static_cast<size_t>(Refusal::kCount)> refusals{};
  std::array<uint64_t, static_cast<size_t>(Retry::kCount)> retries{};
  /// In milliseconds. A request without an answer counts with its deadline, so
  /// that a strategy can't improve its percentiles by refusing slow requests.
  std::vector<float> latencies;
  /// Requests of callers with a latency target, each counted once however often
  /// its caller sent it: answered by the target, answered later, and never
  /// answered.
  uint64_t in_time = 0;
  uint64_t late = 0;
  uint64_t lost = 0;
  uint64_t sends = 0;  ///< Attempts that reached an upstream.
  uint64_t sheds = 0;

  uint64_t requests() const { return this->latencies.size(); }
  uint64_t Count(OutcomeKind kind) const {
    return this->outcomes.at(static_cast<size_t>(kind));
  }
  uint64_t Count(Retry retry) const {
    return this->retries.at(static_cast<size_t>(retry));
  }
};

struct Metrics {
  std::vector<FlowMetrics> flows;
  uint64_t measuring_messages = 0;  ///< Messages sent only to measure load.
  uint64_t measuring_bytes = 0;
  /// Bytes of load figures piggybacked on answers.
  uint64_t carried_bytes = 0;
  uint64_t submissions = 0;  ///< Attempts that reached an upstream.
  uint64_t deaths = 0;  ///< Crashes of upstreams, caused by requests they ran.
  /// Measuring messages sent during the idle time.
  uint64_t idle_messages = 0;
  /// Attempts that reached a draining instance.
  uint64_t late_submissions = 0;
  Duration last_late_submission{0};  ///< Time since its drain began.
  Duration window{0};                ///< Period whose arrivals are counted.
  Duration idle{0};  ///< Period without arrivals at the end of the run.
};

struct Percentiles {
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
};

/// @returns the latency percentiles over all `flows`, in milliseconds.
Percentiles PercentilesOf(const std::vector<const FlowMetrics*>& flows);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_METRICS_H_
