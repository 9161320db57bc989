#ifndef BASILSILL_NODE_METRICS_TABLE_H_
#define BASILSILL_NODE_METRICS_TABLE_H_

#include <span>
#include <string_view>

/// Table of all metrics. Defines the page that the admin port serves and the
/// contents of docs/METRICS.md.

namespace basilsill {

class MetricsPage;
class MetricsWriter;

/// Description of one metric, as listed in docs/METRICS.md.
struct MetricInfo {
  std::string_view name;
  std::string_view type;    ///< counter, gauge or summary.
  std::string_view labels;  ///< Label names, separated by ", "; may be empty.
  std::string_view help;
};

struct MetricRow {
  MetricInfo info;
  /// Writes the samples of the metric.
  void (*render)(const MetricsPage& page, MetricsWriter& writer);
};

/// @returns every metric, in the order of the page.
std::span<const MetricRow> MetricsTable();

}  // namespace basilsill

#endif  // BASILSILL_NODE_METRICS_TABLE_H_
