#ifndef BASILSILL_CTL_LOAD_H_
#define BASILSILL_CTL_LOAD_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "basilsill/base/error.h"
#include "basilsill/base/time.h"
#include "basilsill/ctl/load_histogram.h"

/// Load generator: sends requests on a schedule that does not wait for
/// responses, checks every response completely, and measures latency from the
/// scheduled start of each request. Sends to loopback addresses only.

namespace basilsill::ctl {

/// Result of one attempt, or of a request after all its attempts.
enum class LoadVerdict : uint8_t {
  kRight,  ///< The complete response to this request.
  /// A refusal by the upstream, or an error status with a reason and a promise
  /// that says whether the request may have run.
  kRefused,
  // No complete response, which the caller can detect.
  kConnectFailed,
  kClosed,     ///< Connection closed before any byte of a response.
  kCutShort,   ///< Connection closed in the middle of a response.
  kMalformed,  ///< The received bytes are not an HTTP response.
  kTimedOut,
  // A response that looks complete but is wrong.
  kWrongTag,     ///< The response belongs to another request.
  kWrongDigest,  ///< The body differs from the one the upstream sent.
  kWrongBody,    ///< The body belongs to another request.
  kWrongUpload,  ///< The upstream received another body than the one sent.
  kUnexplained,  ///< An error status that lacks a reason or promise.
  kCount
};

enum class LoadVerdictClass : uint8_t {
  kRight,
  kRefused,
  kBroken,
  kWrong,
  kCount
};

std::string_view NameOf(LoadVerdict verdict);
LoadVerdictClass ClassOf(LoadVerdict verdict);

/// Counts by verdict.
using LoadVerdictCounts =
    std::array<uint64_t, static_cast<size_t>(LoadVerdict::kCount)>;

/// @returns the sum over the verdicts of one class.
uint64_t CountOf(const LoadVerdictCounts& counts, LoadVerdictClass wanted);

struct LoadEndpoint {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
};

struct LoadHeader {
  std::string name;
  std::string value;
};

/// One kind of request in the mix; the report has a row for each kind.
struct LoadKind {
  std::string name = "all";
  unsigned weight = 1;
  std::string method = "GET";
  std::string host = "load.test";
  std::string path = "/";
  std::vector<LoadHeader> headers;
  size_t body_bytes = 0;
  bool once = false;   ///< Must not run twice: carries an Idempotency-Key.
  bool crash = false;  ///< Crashes each emulated upstream that runs it.
};

/// The path of requests: through the load balancer, or directly to the
/// upstreams.
enum class LoadSide : uint8_t { kThrough, kDirect, kCount };

struct LoadOptions {
  std::vector<LoadEndpoint> targets;  ///< Nodes of the load balancer.
  std::vector<LoadEndpoint> direct;   ///< Upstreams, for comparison.
  std::vector<LoadKind> mix = {LoadKind{}};
  double rate = 100;  ///< Requests per second on each side.
  std::chrono::milliseconds duration = std::chrono::seconds(5);
  /// Latencies of requests that start within this time are not counted.
  std::chrono::milliseconds warmup{};
  uint64_t requests = 0;    ///< Limit for each side; 0: no limit.
  size_t connections = 16;  ///< On each side.
  size_t threads = 1;
  uint64_t seed = 1;
  /// Sent with each request; later responses count as late.
  std::optional<std::chrono::milliseconds> deadline;
  /// A request fails with kTimedOut this long after its scheduled start.
  std::chrono::milliseconds timeout = std::chrono::seconds(10);
  unsigned resends = 0;
  /// Each connection sends its next request as soon as it has a response.
  bool closed_loop = false;
  bool spin = false;  ///< Busy-polls: exact timing at the cost of a core.
  size_t idle_connections = 0;
  /// IDs of processes whose CPU time and memory are measured.
  std::vector<int> processes;
  /// Emulated upstreams that are queried for their execution counts after the
  /// run.
  std::vector<LoadEndpoint> executions_at;
};

/// One kind of request on one side.
struct LoadKindReport {
  std::string name;
  LoadHistogram right;    ///< Latency of right responses.
  LoadHistogram refused;  ///< Latency of refusals.
  LoadVerdictCounts verdicts{};
};

struct LoadSideReport {
  LoadSide side = LoadSide::kThrough;
  std::vector<LoadKindReport> kinds;
  LoadVerdictCounts attempts{};
  std::map<unsigned, uint64_t> statuses;     ///< Attempts by HTTP status.
  std::map<std::string, uint64_t> refusals;  ///< Refused attempts by reason.
  uint64_t resends = 0;
  uint64_t late = 0;   ///< Right responses after the deadline.
  uint64_t bytes = 0;  ///< Of response bodies.

  void Merge(const LoadSideReport& other);
  /// @returns the sum over all kinds.
  LoadKindReport Total() const;
};

/// Resources that a measured process used during the run.
struct LoadProcessReport {
  int pid = 0;
  Duration cpu{};
  int64_t memory_at_start = 0;  ///< Resident bytes.
  int64_t memory_at_end = 0;
  int64_t memory_peak = 0;  ///< Highest sample during the run.
};

struct LoadIdleReport {
  size_t opened = 0;
  size_t failed = 0;
  size_t lost = 0;  ///< Closed by the peer during the run.
};

/// Execution counts of requests that must not run twice.
struct LoadExecutionReport {
  uint64_t keys = 0;  ///< Requests with an idempotency key.
  uint64_t ran_once = 0;
  uint64_t ran_twice = 0;          ///< Ran twice or more: always a fault.
  uint64_t not_run_but_ran = 0;    ///< Promised as not run, but ran.
  uint64_t right_but_not_run = 0;  ///< Answered right, but never ran.
  uint64_t unreachable = 0;        ///< Upstreams that returned no counts.
};

struct LoadReport {
  std::vector<LoadSideReport> sides;
  /// Delay between the scheduled and the actual start of requests; included in
  /// all latencies.
  LoadHistogram start_lag;
  Duration elapsed{};
  std::vector<LoadProcessReport> processes;
  LoadIdleReport idle;
  std::optional<LoadExecutionReport> executions;
};

/// Runs the load and returns when it has ended.
/// @returns kOutOfRange for options outside of their range, kUnreadable if a
/// process to measure does not exist.
Result<LoadReport> RunLoad(const LoadOptions& options);

}  // namespace basilsill::ctl

#endif  // BASILSILL_CTL_LOAD_H_
