#ifndef BASILSILL_NODE_METRICS_PAGE_H_
#define BASILSILL_NODE_METRICS_PAGE_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "basilsill/base/time.h"
#include "metrics.h"

/// Renders the metrics of a node in the Prometheus text format. Runs on the
/// control thread.

namespace basilsill {

/// Labels of the metric `basilsill_info`.
struct NodeIdentity {
  std::string version;
  std::string tenant;
  std::string vm;
  std::string data_centre;
};

/// Latencies for the page: digests of the previous and the current span, and
/// totals since the start of the process.
struct LatencyHistory {
  LatencyDigests previous;
  LatencyDigests current;
  std::array<uint64_t, static_cast<size_t>(TrafficClass::kCount)> counts{};
  std::array<Duration, static_cast<size_t>(TrafficClass::kCount)> sums{};
};

class MetricsPage {
 public:
  /// Quantiles cover the current and the previous span of this length.
  static constexpr Duration kQuantileSpan = std::chrono::seconds(15);

  explicit MetricsPage(NodeIdentity identity);

  /// Adds a worker. Workers must be added in the order of their numbers, which
  /// become the `worker` labels of their gauges.
  void AddWorker(std::shared_ptr<WorkerMetrics> worker);

  /// Collects the latencies that the workers have handed over. To be called
  /// once per control tick.
  void Tick(TimePoint now);

  /// @returns the page with all metrics. Reports the CPU time of the calling
  /// thread as that of the control thread.
  std::string Render() const;

  ControlMetrics control;

  // For the render functions in metrics_table.cc.
  const NodeIdentity& node() const { return this->identity; }
  const std::vector<std::shared_ptr<WorkerMetrics>>& worker_list() const {
    return this->workers;
  }

  LatencyHistory request_latency;
  LatencyHistory queue_latency;
  LatencyHistory upstream_latency;

 private:
  NodeIdentity identity;
  std::vector<std::shared_ptr<WorkerMetrics>> workers;
  TimePoint span_end{};
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_METRICS_PAGE_H_
