#include "metrics_page.h"

#include <utility>

#include "metrics_table.h"
#include "metrics_writer.h"

namespace basilsill {
namespace {

void CollectInto(LatencyHistory& history, LatencyRecorder& recorder) {
  LatencyDigests collected;
  recorder.Collect(collected);
  for (size_t i = 0; i < collected.size(); ++i) {
    history.current[i].Merge(collected[i]);
    history.counts[i] += collected[i].count;
    history.sums[i] += collected[i].sum;
  }
}

void EndSpan(LatencyHistory& history) {
  history.previous = std::exchange(history.current, {});
}

}  // namespace

MetricsPage::MetricsPage(NodeIdentity identity)
    : identity(std::move(identity)) {}

void MetricsPage::AddWorker(std::shared_ptr<WorkerMetrics> worker) {
  this->workers.push_back(std::move(worker));
}

void MetricsPage::Tick(TimePoint now) {
  if (now >= this->span_end) {
    EndSpan(this->request_latency);
    EndSpan(this->queue_latency);
    EndSpan(this->upstream_latency);
    this->span_end = now + kQuantileSpan;
  }
  for (const auto& worker : this->workers) {
    CollectInto(this->request_latency, worker->request_latency);
    CollectInto(this->queue_latency, worker->queue_latency);
    CollectInto(this->upstream_latency, worker->upstream_latency);
  }
}

std::string MetricsPage::Render() const {
  std::string text;
  for (const MetricRow& row : MetricsTable()) {
    MetricsWriter writer(text, row.info.name, row.info.type, row.info.help);
    row.render(*this, writer);
  }
  return text;
}

}  // namespace basilsill
