#ifndef BASILSILL_BENCH_MODEL_METRICS_H_
#define BASILSILL_BENCH_MODEL_METRICS_H_

#include <array>
#include <cstdint>
#include <vector>

#include "basilsill/base/reason.h"
#include "basilsill/base/time.h"

/// What one run of the policy bench counts.

namespace basilsill::bench {

enum class OutcomeKind : uint8_t {
  kAnswered,
  kFailed,         ///< An upstream's own error, passed on unchanged.
  kRefused,        ///< Told to be not run, with a reason.
  kUnknown,        ///< Told that it may have run, with a reason.
  kCallerTimeout,  ///< The caller went away without an answer.
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
  /// In milliseconds. A request without an answer counts with its deadline,
  /// so that refusing the slow ones makes nothing look better.
  std::vector<float> latencies;

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
  uint64_t measuring_messages = 0;  ///< Sent for measuring alone.
  uint64_t measuring_bytes = 0;
  uint64_t carried_bytes = 0;  ///< Load figures carried on answers.
  uint64_t submissions = 0;    ///< Attempts that reached an upstream.
  uint64_t deaths = 0;         ///< Of upstreams, by requests they ran.
  uint64_t idle_messages = 0;  ///< Measuring messages of the idle time.
  uint64_t late_submissions = 0;
  Duration last_late_submission{0};
  Duration window{0};  ///< Time in which arrivals were counted.
  Duration idle{0};    ///< Time without arrivals at the end.
};

struct Percentiles {
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
};

/// @returns percentiles of all `flows` together, in milliseconds.
Percentiles PercentilesOf(const std::vector<const FlowMetrics*>& flows);

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_MODEL_METRICS_H_
