#ifndef BASILSILL_NODE_UPSTREAM_POOL_H_
#define BASILSILL_NODE_UPSTREAM_POOL_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "basilsill/base/limits.h"
#include "basilsill/decision/view.h"
#include "basilsill/node/installation.h"
#include "http_reader.h"
#include "metrics.h"
#include "net.h"

/// Connections of one worker to upstreams: opened on demand, kept while they
/// are used, closed when idle.

namespace basilsill {

/// Where an attempt goes, and who is expected there.
struct AttemptTarget {
  Endpoint endpoint;
  UpstreamIncarnation incarnation{};

  friend bool operator==(const AttemptTarget&, const AttemptTarget&) = default;
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
  TimePoint idle_since;
  /// After this it may be closed by the upstream, as that said itself.
  Duration keep_alive_timeout{Duration::max()};
  bool reused = false;  ///< Carried an earlier request.
};
using UpstreamConnectionPtr = std::unique_ptr<UpstreamConnection>;

/// Reads an answer's body and drops it, so that the connection can carry
/// another request.
/// @param most Bytes after which that is given up.
/// @returns true if the body came to its end.
Task<bool> DropBody(UpstreamConnection& connection, size_t max_bytes);

struct UpstreamPoolOptions {
  std::chrono::milliseconds connect_timeout = limits::kUpstreamConnectTimeout;
  std::chrono::milliseconds idle_timeout = limits::kUpstreamIdleTimeout;
  AnswerReader::Limits reader;
  HeaderNames names;
  /// Answers are held until they are whole, unless they are very long.
  bool hold_answers = false;
};

class UpstreamPool {
 public:
  /// @param metrics Shared, because connections that are cut off in the middle
  /// can outlive the worker's own members.
  UpstreamPool(const Executor& executor,
               const UpstreamPoolOptions& options,
               std::shared_ptr<WorkerMetrics> metrics);

  /// @returns an idle connection that looks alive, or nullptr. Connections are
  /// kept by incarnation. Failure: an upstream dies behind a cut and starts
  /// again, or its address goes to another; a connection to the one that died
  /// looks alive here, as nothing told its end. A request on it has an unknown
  /// outcome, though the one that is meant is well.
  UpstreamConnectionPtr TakeIdle(const AttemptTarget& target);

  /// Opens a new connection.
  /// @returns nullptr if that failed or took too long.
  Task<UpstreamConnectionPtr> Open(const AttemptTarget& target);

  /// Gives back a connection that can carry another request.
  void Release(TimePoint now, UpstreamConnectionPtr connection);

  /// Closes connections that were idle for too long.
  void Tick(TimePoint now);

  const HeaderNames& names() const { return this->options.names; }
  bool buffers_answers() const { return this->options.hold_answers; }
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
  std::unordered_map<AttemptTarget, IdleList, TargetHash> idle;
  size_t idle_connections = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_UPSTREAM_POOL_H_
