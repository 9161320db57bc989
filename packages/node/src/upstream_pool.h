#ifndef BASILSILL_NODE_UPSTREAM_POOL_H_
#define BASILSILL_NODE_UPSTREAM_POOL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "basilsill/base/limits.h"
#include "basilsill/decision/view.h"
#include "basilsill/node/installation.h"
#include "http_reader.h"
#include "metrics.h"
#include "net.h"

/// Connections of one worker to upstreams: opened on demand, reused, and closed
/// when idle.

namespace basilsill {

/// Destination of an attempt, and the incarnation that is expected there.
struct AttemptTarget {
  Endpoint endpoint;
  UpstreamIncarnation incarnation{};
  UpstreamHandle upstream{};
  DataCentreHandle data_centre{};

  friend bool operator==(const AttemptTarget&, const AttemptTarget&) = default;
};

/// Hash of a request id.
using RequestIdHash = uint64_t;
RequestIdHash HashRequestId(std::string_view id);

/// The requests that failed on a connection and may be sent again. An upstream
/// may send its answer to one of them a second time, however late.
class FailedSends {
 public:
  /// @param deadline The request is not sent after it.
  /// @returns false if no more requests can be remembered.
  bool Add(TimePoint now, RequestIdHash request, TimePoint deadline);

  bool Contains(RequestIdHash request) const;

 private:
  struct Row {
    RequestIdHash request = 0;
    TimePoint deadline{};
  };

  std::vector<Row> rows;
};

struct UpstreamConnection {
  UpstreamConnection(Socket socket,
                     const AnswerReader::Limits& limits,
                     std::shared_ptr<WorkerMetrics> metrics)
      : socket(std::move(socket)), reader(limits), metrics(std::move(metrics)) {
    this->metrics->upstream_connections_opened.Add();
    this->metrics->upstream_connections.Add(1);
  }
  ~UpstreamConnection() { this->metrics->upstream_connections.Add(-1); }
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  Socket socket;
  AnswerReader reader;
  std::shared_ptr<WorkerMetrics> metrics;
  AttemptTarget target;
  FailedSends failed;
  uint64_t serial = 0;  ///< Of the worker's connections, from 1.
  uint32_t sends = 0;   ///< Requests and health checks that it has carried.
  uint32_t skipped_answers = 0;  ///< Late answers to earlier sends.
  TimePoint idle_since;
  bool reused = false;        ///< It has carried an earlier request.
  bool write_failed = false;  ///< A write on it has failed.
};
using UpstreamConnectionPtr = std::unique_ptr<UpstreamConnection>;

struct UpstreamPoolOptions {
  std::chrono::milliseconds connect_timeout = limits::kUpstreamConnectTimeout;
  std::chrono::milliseconds idle_timeout = limits::kUpstreamIdleTimeout;
  AnswerReader::Limits reader;
  HeaderNames names;
  /// Answers are buffered until they are complete, unless they are very long.
  bool hold_answers = false;
  /// Answers are no streams: one that has not ended at the deadline of its
  /// request is broken off.
  bool answers_end_at_deadline = false;
};

/// Called with the result of each attempt to open a connection.
using OnConnect = std::function<void(const AttemptTarget&, bool connected)>;

class UpstreamPool {
 public:
  /// @param metrics Shared, because connections that are still open when the
  /// worker is destroyed can outlive the members of the worker.
  UpstreamPool(const Executor& executor,
               const UpstreamPoolOptions& options,
               std::shared_ptr<WorkerMetrics> metrics);

  /// @param request If present, a connection on which an earlier send of this
  /// request failed is left alone: a second copy of the answer to that send
  /// could not be told from the answer to the next one.
  /// @returns an idle connection that is not known to be closed, or nullptr.
  /// Idle connections are kept by incarnation. Failure: an upstream dies during
  /// a network partition and restarts, or its address is reassigned. A
  /// connection to the dead incarnation still looks alive, because its end was
  /// not signalled. A request on it would have an unknown outcome although the
  /// expected upstream is healthy.
  UpstreamConnectionPtr TakeIdle(const AttemptTarget& target,
                                 std::optional<RequestIdHash> request = {});

  /// Opens a new connection.
  /// @returns nullptr if the connection failed or timed out.
  Task<UpstreamConnectionPtr> Open(const AttemptTarget& target);

  /// Returns a connection that can carry another request to the pool.
  void Release(TimePoint now, UpstreamConnectionPtr connection);

  /// Closes connections that have been idle for too long.
  void Tick(TimePoint now);

  void SetOnConnect(OnConnect on_connect) {
    this->on_connect = std::move(on_connect);
  }

  const HeaderNames& names() const { return this->options.names; }
  bool buffers_answers() const { return this->options.hold_answers; }
  bool answers_end_at_deadline() const {
    return this->options.answers_end_at_deadline;
  }
  size_t idle_count() const { return this->idle_connections; }
  WorkerMetrics& metrics() { return *this->counts; }
  const Executor& executor() const { return this->run_on; }

 private:
  using IdleList = std::vector<UpstreamConnectionPtr>;

  struct TargetHash {
    size_t operator()(const AttemptTarget& target) const;
  };

  Executor run_on;
  UpstreamPoolOptions options;
  std::shared_ptr<WorkerMetrics> counts;
  OnConnect on_connect;
  std::unordered_map<AttemptTarget, IdleList, TargetHash> idle;
  size_t idle_connections = 0;
  uint64_t last_serial = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_UPSTREAM_POOL_H_
