#ifndef BASILSILL_NODE_METRICS_WRITER_H_
#define BASILSILL_NODE_METRICS_WRITER_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// Writer for the Prometheus text format.

namespace basilsill {

struct MetricLabel {
  std::string_view name;
  std::string_view value;
};

using MetricLabels = std::initializer_list<MetricLabel>;

/// Appends the samples of one metric to a page.
class MetricsWriter {
 public:
  /// Writes the HELP and TYPE lines. `page` and `name` must outlive the writer.
  MetricsWriter(std::string& page,
                std::string_view name,
                std::string_view type,
                std::string_view help);

  void Sample(MetricLabels labels, uint64_t value);
  void Sample(MetricLabels labels, int64_t value);
  void Sample(MetricLabels labels, double value);

  /// Writes a sample whose name has `suffix` appended: `_sum` or `_count` of a
  /// summary.
  void SampleWithSuffix(std::string_view suffix,
                        MetricLabels labels,
                        double value);

 private:
  void AppendName(std::string_view suffix, MetricLabels labels);
  template <typename Number>
  void AppendValue(Number value);

  std::string& page;
  std::string_view name;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_METRICS_WRITER_H_
