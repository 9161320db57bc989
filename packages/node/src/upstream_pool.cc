#include "upstream_pool.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <xxhash.h>

namespace basilsill {

UpstreamPool::UpstreamPool(const Executor& executor,
                           const UpstreamPoolOptions& options,
                           std::shared_ptr<WorkerMetrics> metrics)
    : run_on(executor), options(options), counts(std::move(metrics)) {}

size_t UpstreamPool::TargetHash::operator()(const AttemptTarget& target) const {
  const Endpoint& endpoint = target.endpoint;
  return std::hash<std::string>()(endpoint.address) * 31 + endpoint.port;
}

RequestIdHash HashRequestId(std::string_view id) {
  return XXH3_64bits(id.data(), id.size());
}

bool FailedSends::Add(TimePoint now,
                      RequestIdHash request,
                      TimePoint deadline) {
  std::erase_if(this->rows,
                [now](const Row& row) { return row.deadline < now; });
  if (this->rows.size() == limits::kFailedSendsPerConnection) {
    return false;
  }
  this->rows.push_back({request, deadline});
  return true;
}

bool FailedSends::Contains(RequestIdHash request) const {
  return std::any_of(
      this->rows.begin(), this->rows.end(),
      [request](const Row& row) { return row.request == request; });
}

UpstreamConnectionPtr UpstreamPool::TakeIdle(
    const AttemptTarget& target,
    std::optional<RequestIdHash> request) {
  const auto found = this->idle.find(target);
  if (found == this->idle.end()) {
    return nullptr;
  }
  IdleList& list = found->second;
  for (size_t place = list.size(); place > 0; --place) {
    const bool failed_here =
        request && list[place - 1]->failed.Contains(*request);
    if (failed_here) {
      continue;
    }
    UpstreamConnectionPtr connection = std::move(list[place - 1]);
    list.erase(list.begin() + static_cast<ptrdiff_t>(place - 1));
    --this->idle_connections;
    // An upstream may close an idle connection at any time. A request that is
    // sent on a closed connection would have an unknown outcome, so the
    // connection is checked first.
    if (!IsStale(connection->socket)) {
      return connection;
    }
  }
  return nullptr;
}

Task<UpstreamConnectionPtr> UpstreamPool::Open(const AttemptTarget& target) {
  Result<Socket> socket = co_await ConnectTo(this->run_on, target.endpoint,
                                             this->options.connect_timeout);
  if (this->on_connect) {
    this->on_connect(target, socket.has_value());
  }
  if (!socket) {
    co_return nullptr;
  }
  auto connection = std::make_unique<UpstreamConnection>(
      std::move(socket).value(), this->options.reader, this->counts);
  connection->target = target;
  connection->serial = ++this->last_serial;
  SetUserTimeout(connection->socket, limits::kUpstreamUserTimeout);
  co_return connection;
}

void UpstreamPool::Release(TimePoint now, UpstreamConnectionPtr connection) {
  connection->idle_since = now;
  connection->reused = true;
  IdleList& list = this->idle[connection->target];
  list.push_back(std::move(connection));
  ++this->idle_connections;
}

void UpstreamPool::Tick(TimePoint now) {
  for (auto entry = this->idle.begin(); entry != this->idle.end();) {
    IdleList& list = entry->second;
    // The most recently used connections are at the back.
    size_t expired = 0;
    while (expired < list.size() &&
           now - list[expired]->idle_since > this->options.idle_timeout) {
      ++expired;
    }
    list.erase(list.begin(), list.begin() + static_cast<ptrdiff_t>(expired));
    this->idle_connections -= expired;
    entry = list.empty() ? this->idle.erase(entry) : std::next(entry);
  }
}

}  // namespace basilsill
