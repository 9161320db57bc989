#ifndef BASILSILL_CTL_LOAD_PROCESS_H_
#define BASILSILL_CTL_LOAD_PROCESS_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/base/time.h"
#include "basilsill/ctl/load.h"

/// CPU time and memory of other processes, from /proc.

namespace basilsill::ctl {

/// Resource usage of one process at one time.
struct ProcessSample {
  Duration cpu{};      ///< User and system time of all threads since the start.
  int64_t memory = 0;  ///< Resident bytes.
};

/// Parses the text of /proc/PID/stat.
/// @returns kSyntax if `text` has another format.
Result<ProcessSample> ParseProcessStat(std::string_view text);

/// @returns kUnreadable if there is no such process.
Result<ProcessSample> SampleProcess(int pid);

/// Samples several processes during one run.
class ProcessMeter {
 public:
  /// Takes the first sample of each process.
  /// @returns kUnreadable if a process does not exist.
  static Result<ProcessMeter> Create(const std::vector<int>& pids);

  /// Takes another sample of each process. A process that has ended keeps its
  /// last sample.
  void Sample();

  const std::vector<LoadProcessReport>& reports() const {
    return this->results;
  }

 private:
  std::vector<Duration> cpu_at_start;
  std::vector<LoadProcessReport> results;
};

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_PROCESS_H_
