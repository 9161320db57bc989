#include "load_process.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <utility>

#include <unistd.h>

namespace basilsill::ctl {
namespace {

// Indices of fields in /proc/PID/stat, counted from the field after the name;
// see proc(5).
constexpr size_t kUserTimeField = 11;
constexpr size_t kSystemTimeField = 12;
constexpr size_t kResidentField = 21;

Duration FromTicks(int64_t ticks) {
  return Duration(std::chrono::seconds(1)) * ticks / sysconf(_SC_CLK_TCK);
}

}  // namespace

Result<ProcessSample> ParseProcessStat(std::string_view text) {
  const Failure not_stat{FailureKind::kSyntax, "stat",
                         "expected the format of /proc/PID/stat"};
  // The name is in parentheses and may contain any byte.
  const size_t name_end = text.rfind(')');
  if (name_end == std::string_view::npos) {
    return not_stat;
  }
  std::istringstream fields{std::string(text.substr(name_end + 1))};
  std::string state;
  fields >> state;
  std::vector<int64_t> numbers = {0};
  std::copy_n(std::istream_iterator<int64_t>(fields), kResidentField,
              std::back_inserter(numbers));
  if (!fields) {
    return not_stat;
  }
  ProcessSample sample;
  sample.cpu = FromTicks(numbers[kUserTimeField] + numbers[kSystemTimeField]);
  sample.memory = numbers[kResidentField] * sysconf(_SC_PAGESIZE);
  return sample;
}

Result<ProcessSample> SampleProcess(int pid) {
  const std::string path = "/proc/" + std::to_string(pid) + "/stat";
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (text.empty()) {
    return Failure{FailureKind::kUnreadable, path, "no such process"};
  }
  return ParseProcessStat(text);
}

Result<ProcessMeter> ProcessMeter::Create(const std::vector<int>& pids) {
  ProcessMeter meter;
  for (const int pid : pids) {
    const auto sample = SampleProcess(pid);
    if (sample.has_error()) {
      return sample.error();
    }
    const int64_t memory = sample.value().memory;
    meter.cpu_at_start.push_back(sample.value().cpu);
    meter.results.push_back({pid, Duration::zero(), memory, memory, memory});
  }
  return meter;
}

void ProcessMeter::Sample() {
  for (size_t i = 0; i < this->results.size(); ++i) {
    LoadProcessReport& result = this->results[i];
    const auto sample = SampleProcess(result.pid);
    if (sample.has_error()) {
      continue;
    }
    result.cpu = sample.value().cpu - this->cpu_at_start[i];
    result.memory_at_end = sample.value().memory;
    result.memory_peak = std::max(result.memory_peak, result.memory_at_end);
  }
}

}  // namespace basilsill::ctl
