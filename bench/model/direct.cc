#include <unordered_map>

#include "model/baselines.h"

namespace basilsill::bench {
namespace {

/// Maximum number of attempts of one request. Proxies commonly retry once or
/// twice.
constexpr uint32_t kMaxAttempts = 3;

class DirectStrategy : public Strategy {
 public:
  DirectStrategy(SimulatedCluster& cluster, MakePicker make)
      : cluster(cluster), picker(make(cluster)) {}

  void OnArrival(RequestId id) override { this->Send(id); }

  void OnCallerTimeout(RequestId id) override {
    const auto found = this->running.find(id);
    if (found != this->running.end()) {
      this->cluster.CancelAttempt(found->second.attempt);
      this->EndAttempt(id);
    }
  }

  void OnVmKilled(size_t vm, Duration) override {
    std::erase_if(this->running, [this, vm](const auto& entry) {
      return this->cluster.request(entry.first).vm == vm;
    });
  }

  void OnIsolated(size_t, bool) override {}
  void OnClusterState(size_t, const ClusterState&) override {}

 private:
  struct Running {
    size_t instance = 0;
    uint32_t attempt = 0;
    TimePoint sent{};
  };

  void Send(RequestId id) {
    const size_t vm = this->cluster.request(id).vm;
    const size_t instance =
        this->picker->Pick(vm, this->cluster.flow_of(id).service);
    Running& entry = this->running[id];
    entry.instance = instance;
    entry.sent = this->cluster.now();
    entry.attempt = this->cluster.StartAttempt(
        id, vm, instance, [this, id](JobEnd end) { this->OnDone(id, end); });
  }

  void EndAttempt(RequestId id) {
    const Running entry = this->running.at(id);
    this->running.erase(id);
    this->picker->OnEnd(this->cluster.request(id).vm, entry.instance,
                        this->cluster.now() - entry.sent);
  }

  void OnDone(RequestId id, JobEnd end) {
    this->EndAttempt(id);
    if (end == JobEnd::kAnswered || end == JobEnd::kFailed) {
      this->cluster.Finish(id,
                           {end == JobEnd::kAnswered ? OutcomeKind::kAnswered
                                                     : OutcomeKind::kFailed});
      return;
    }
    const bool not_run = end != JobEnd::kDied;
    const bool may_retry = not_run || this->cluster.flow_of(id).idempotent;
    if (may_retry && this->cluster.request(id).attempts < kMaxAttempts) {
      this->cluster.CountRetry(id, RetryOf(end));
      this->Send(id);
      return;
    }
    this->cluster.Finish(
        id, {not_run ? OutcomeKind::kRefused : OutcomeKind::kUnknown,
             RefusalOf(end)});
  }

  static Retry RetryOf(JobEnd end) {
    switch (end) {
      case JobEnd::kConnectFailed:
        return Retry::kConnectFailed;
      case JobEnd::kDied:
        return Retry::kUpstreamDied;
      default:
        return Retry::kShed;
    }
  }

  static Refusal RefusalOf(JobEnd end) {
    switch (end) {
      case JobEnd::kConnectFailed:
        return Refusal::kUpstreamConnectFailed;
      case JobEnd::kDied:
        return Refusal::kUpstreamDied;
      default:
        return Refusal::kUpstreamShed;
    }
  }

  SimulatedCluster& cluster;
  std::unique_ptr<Picker> picker;
  std::unordered_map<RequestId, Running> running;
};

}  // namespace

std::unique_ptr<Strategy> MakeDirectStrategy(SimulatedCluster& cluster,
                                             MakePicker make) {
  return std::make_unique<DirectStrategy>(cluster, make);
}

}  // namespace basilsill::bench
