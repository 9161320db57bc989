// RunLoad: divides the load between threads, measures, and merges the results.

#include <algorithm>
#include <condition_variable>
#include <latch>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include <sys/resource.h>
#include <boost/asio/ip/address.hpp>

#include "basilsill/ctl/load.h"
#include "load_executions.h"
#include "load_idle.h"
#include "load_process.h"
#include "load_worker.h"

namespace basilsill::ctl {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kMaxRate = 500000;
constexpr milliseconds kMaxDuration = seconds(3600);
constexpr size_t kMaxConnections = 20000;
constexpr size_t kMaxThreads = 64;
constexpr size_t kMaxUploadBytes = size_t{64} * 1024 * 1024;
constexpr milliseconds kSampleInterval = milliseconds(100);
/// Callers wait for a response at least this long after the deadline.
constexpr milliseconds kLateGrace = seconds(1);

Failure OutOfRange(std::string path, std::string detail) {
  return {FailureKind::kOutOfRange, std::move(path), std::move(detail)};
}

// Rejects addresses of other machines: a mistyped address must not put load on
// them.
Result<void> CheckLoopback(const std::vector<LoadEndpoint>& endpoints,
                           const std::string& path) {
  for (const LoadEndpoint& endpoint : endpoints) {
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(endpoint.address, error);
    if (error || !address.is_loopback() || endpoint.port == 0) {
      return OutOfRange(
          path, "found " + endpoint.address + ":" +
                    std::to_string(endpoint.port) +
                    ", allowed is a loopback IP address with a port above 0");
    }
  }
  return boost::outcome_v2::success();
}

Result<void> CheckEndpoints(const LoadOptions& options) {
  if (options.targets.empty() && options.direct.empty()) {
    return OutOfRange("target",
                      "expected at least one target or direct endpoint");
  }
  if (auto result = CheckLoopback(options.targets, "target");
      result.has_error()) {
    return result;
  }
  if (auto result = CheckLoopback(options.direct, "direct");
      result.has_error()) {
    return result;
  }
  return CheckLoopback(options.executions_at, "executions-at");
}

Result<void> CheckMix(const std::vector<LoadKind>& mix) {
  unsigned weight_sum = 0;
  for (const LoadKind& kind : mix) {
    weight_sum += kind.weight;
    if (kind.body_bytes > kMaxUploadBytes) {
      return OutOfRange("mix", "allowed are body_bytes up to 64 MiB");
    }
  }
  if (weight_sum == 0) {
    return OutOfRange("mix", "the weights of all requests are zero");
  }
  return boost::outcome_v2::success();
}

Result<void> CheckNumbers(const LoadOptions& options) {
  if (!(options.rate >= 0 && options.rate <= kMaxRate)) {
    return OutOfRange("rate", "allowed are 0 to 500000 requests/s");
  }
  if (options.duration <= milliseconds(0) || options.duration > kMaxDuration) {
    return OutOfRange("duration", "allowed are 0.001 to 3600 seconds");
  }
  if (options.timeout <= milliseconds(0) || options.timeout > kMaxDuration) {
    return OutOfRange("timeout", "allowed are 0.001 to 3600 seconds");
  }
  if (options.threads == 0 || options.threads > kMaxThreads) {
    return OutOfRange("threads", "allowed are 1 to 64");
  }
  if (options.connections < options.threads ||
      options.connections > kMaxConnections ||
      options.idle_connections > kMaxConnections) {
    return OutOfRange("connections",
                      "allowed are 20000 at most and one per thread at least");
  }
  const bool both = !options.targets.empty() && !options.direct.empty();
  if (options.closed_loop && both) {
    return OutOfRange("max-throughput",
                      "allowed with targets or direct endpoints, not both");
  }
  return boost::outcome_v2::success();
}

Result<void> CheckOptions(const LoadOptions& options) {
  if (auto result = CheckEndpoints(options); result.has_error()) {
    return result;
  }
  if (auto result = CheckMix(options.mix); result.has_error()) {
    return result;
  }
  return CheckNumbers(options);
}

// Each connection needs a file descriptor, and the default limit is far below
// kMaxConnections.
void RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

uint64_t PartOf(uint64_t whole, size_t parts, size_t index) {
  return whole / parts + (index < whole % parts ? 1 : 0);
}

// Returns the options of one worker: its share of the load.
LoadOptions ShareOf(const LoadOptions& options, size_t index) {
  LoadOptions share = options;
  share.rate /= static_cast<double>(options.threads);
  share.connections = PartOf(options.connections, options.threads, index);
  share.requests = PartOf(options.requests, options.threads, index);
  if (options.deadline) {
    share.timeout = std::max(options.timeout, *options.deadline + kLateGrace);
  }
  return share;
}

/// The worker threads of one run. The thread that calls Run() samples the
/// measured processes.
class LoadWorkerGroup {
 public:
  explicit LoadWorkerGroup(const LoadOptions& options)
      : all_open(static_cast<std::ptrdiff_t>(options.threads)) {
    for (size_t i = 0; i < options.threads; ++i) {
      this->workers.push_back(
          std::make_unique<LoadWorker>(ShareOf(options, i), i));
    }
  }

  void Run(ProcessMeter& meter) {
    std::vector<std::thread> threads;
    for (const auto& worker : this->workers) {
      threads.emplace_back([this, &worker] {
        worker->OpenConnections();
        this->all_open.arrive_and_wait();
        worker->Run();
        this->ReportEnd();
      });
    }
    this->SampleUntilEnd(meter);
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  const std::vector<std::unique_ptr<LoadWorker>>& all() const {
    return this->workers;
  }

 private:
  void ReportEnd() {
    const std::lock_guard lock(this->mutex);
    ++this->ended;
    this->changed.notify_one();
  }

  void SampleUntilEnd(ProcessMeter& meter) {
    std::unique_lock lock(this->mutex);
    const auto all_ended = [this] {
      return this->ended == this->workers.size();
    };
    while (!this->changed.wait_for(lock, kSampleInterval, all_ended)) {
      meter.Sample();
    }
    meter.Sample();
  }

  std::vector<std::unique_ptr<LoadWorker>> workers;
  std::latch all_open;
  std::mutex mutex;
  std::condition_variable changed;
  size_t ended = 0;
};

// Limits the threads to one per request: the share of a further worker would be
// zero requests, which means no limit.
LoadOptions LimitThreads(LoadOptions options) {
  if (options.requests > 0) {
    options.threads = std::min<uint64_t>(options.threads, options.requests);
  }
  return options;
}

void MergeWorkers(const LoadWorkerGroup& group, LoadReport& report) {
  for (const auto& worker : group.all()) {
    report.elapsed = std::max(report.elapsed, worker->elapsed());
    report.start_lag.Merge(worker->start_lag());
    if (report.sides.empty()) {
      report.sides = worker->sides();
      continue;
    }
    for (size_t i = 0; i < report.sides.size(); ++i) {
      report.sides[i].Merge(worker->sides()[i]);
    }
  }
}

LoadExecutionReport CheckExecutions(const LoadOptions& options,
                                    const LoadWorkerGroup& group) {
  std::vector<LoadKeyOutcome> keys;
  for (const auto& worker : group.all()) {
    keys.insert(keys.end(), worker->keys().begin(), worker->keys().end());
  }
  uint64_t unreachable = 0;
  const LoadExecutions executions =
      FetchExecutions(options.executions_at, unreachable);
  LoadExecutionReport report = CompareExecutions(keys, executions);
  report.unreachable = unreachable;
  return report;
}

// Waits for the duration of the run while the idle connections are open.
void HoldIdleConnections(const LoadOptions& options, ProcessMeter& meter) {
  const TimePoint ends = MonotonicClock::now() + options.duration;
  while (MonotonicClock::now() < ends) {
    std::this_thread::sleep_for(kSampleInterval);
    meter.Sample();
  }
}

}  // namespace

Result<LoadReport> RunLoad(const LoadOptions& requested) {
  if (auto result = CheckOptions(requested); result.has_error()) {
    return result.error();
  }
  const LoadOptions options = LimitThreads(requested);
  RaiseFileLimit();
  auto meter = ProcessMeter::Create(options.processes);
  if (meter.has_error()) {
    return meter.error();
  }
  LoadReport report;
  LoadIdleConnections idle(options);
  if (options.rate > 0 || options.closed_loop) {
    LoadWorkerGroup group(options);
    group.Run(meter.value());
    MergeWorkers(group, report);
    if (!options.executions_at.empty()) {
      report.executions = CheckExecutions(options, group);
    }
  } else {
    HoldIdleConnections(options, meter.value());
    report.elapsed = options.duration;
  }
  report.idle = idle.Report();
  report.processes = meter.value().reports();
  return report;
}

}  // namespace basilsill::ctl
