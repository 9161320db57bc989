#include "load_idle.h"

#include <algorithm>
#include <utility>

namespace basilsill::ctl {
namespace {

/// Connections opened at the same time; below the usual listen backlog.
constexpr size_t kOpenAtOnce = 64;

}  // namespace

LoadIdleConnections::LoadIdleConnections(const LoadOptions& load)
    : options(load) {
  const auto& endpoints =
      load.targets.empty() ? this->options.direct : this->options.targets;
  for (size_t i = 0; i < load.idle_connections; ++i) {
    const LoadEndpoint& endpoint = endpoints[i % endpoints.size()];
    this->connections.push_back(std::make_unique<LoadConnection>(
        this->io,
        boost::asio::ip::tcp::endpoint(
            boost::asio::ip::make_address(endpoint.address), endpoint.port),
        [this](LoadConnection& connection, const LoadAttemptResult& result) {
          const bool right = result.verdict == LoadVerdict::kRight;
          ++(right ? this->counts.opened : this->counts.failed);
          if (!right) {
            connection.Close();
          }
          connection.ReleaseMemory();
          this->OpenNext();
        }));
  }
  for (size_t i = 0; i < kOpenAtOnce; ++i) {
    this->OpenNext();
  }
  this->io.run();
}

void LoadIdleConnections::OpenNext() {
  if (this->next >= this->connections.size()) {
    return;
  }
  const size_t index = this->next++;
  LoadAttempt attempt;
  attempt.kind = &this->options.mix.front();
  attempt.tag = "idle-" + std::to_string(index);
  this->connections[index]->Send(attempt);
}

LoadIdleReport LoadIdleConnections::Report() {
  const auto closed = std::count_if(
      this->connections.begin(), this->connections.end(),
      [](const auto& connection) { return connection->IsClosed(); });
  LoadIdleReport report = this->counts;
  report.lost = static_cast<size_t>(closed) - report.failed;
  return report;
}

}  // namespace basilsill::ctl
