#include "metrics_writer.h"

#include <array>
#include <charconv>

namespace basilsill {
namespace {

void AppendEscaped(std::string& page, std::string_view text, bool in_quotes) {
  for (const char c : text) {
    if (c == '\n') {
      page += "\\n";
    } else if (c == '\\' || (c == '"' && in_quotes)) {
      page += '\\';
      page += c;
    } else {
      page += c;
    }
  }
}

}  // namespace

MetricsWriter::MetricsWriter(std::string& page,
                             std::string_view name,
                             std::string_view type,
                             std::string_view help)
    : page(page), name(name) {
  page += "# HELP ";
  page += name;
  page += ' ';
  AppendEscaped(page, help, /*in_quotes=*/false);
  page += "\n# TYPE ";
  page += name;
  page += ' ';
  page += type;
  page += '\n';
}

void MetricsWriter::Sample(MetricLabels labels, uint64_t value) {
  this->AppendName({}, labels);
  this->AppendValue(value);
}

void MetricsWriter::Sample(MetricLabels labels, int64_t value) {
  this->AppendName({}, labels);
  this->AppendValue(value);
}

void MetricsWriter::Sample(MetricLabels labels, double value) {
  this->SampleWithSuffix({}, labels, value);
}

void MetricsWriter::SampleWithSuffix(std::string_view suffix,
                                     MetricLabels labels,
                                     double value) {
  this->AppendName(suffix, labels);
  this->AppendValue(value);
}

void MetricsWriter::AppendName(std::string_view suffix, MetricLabels labels) {
  this->page += this->name;
  this->page += suffix;
  char separator = '{';
  for (const MetricLabel& label : labels) {
    this->page += separator;
    this->page += label.name;
    this->page += "=\"";
    AppendEscaped(this->page, label.value, /*in_quotes=*/true);
    this->page += '"';
    separator = ',';
  }
  if (labels.size() > 0) {
    this->page += '}';
  }
}

template <typename Number>
void MetricsWriter::AppendValue(Number value) {
  std::array<char, 32> digits{};
  const auto end = std::to_chars(digits.begin(), digits.end(), value);
  this->page += ' ';
  this->page.append(digits.begin(), end.ptr);
  this->page += '\n';
}

}  // namespace basilsill
