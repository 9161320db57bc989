#include <algorithm>
#include <vector>

#include "model/shed_cases.h"

namespace basilsill::bench {
namespace {

constexpr Duration kPoll = std::chrono::milliseconds(1);
constexpr Duration kReturnAfter = std::chrono::milliseconds(10);
constexpr Duration kReturnLate = std::chrono::milliseconds(100);
constexpr uint32_t kMaxSends = 3;

class ShedOracle final : public Strategy {
 public:
  ShedOracle(SimulatedCluster& cluster, ShedCause cause)
      : cluster(cluster), cause(cause) {
    cluster.simulation().Every(kPoll, [this] { this->Pump(); });
  }

  void OnArrival(RequestId id) override {
    this->limit.OnRequest(this->cluster.now(),
                          *this->cluster.current_scenario().repeats);
    this->waiting.push_back(id);
    this->Pump();
  }

  void OnCallerTimeout(RequestId id) override {
    std::erase(this->waiting, id);
    if (id < this->attempts.size() && this->attempts[id] != kNone) {
      this->cluster.CancelAttempt(this->attempts[id]);
    }
  }

  void OnVmKilled(size_t, Duration) override {}
  void OnIsolated(size_t, bool) override {}
  void OnClusterState(size_t, const ClusterState&) override {}

 private:
  static constexpr uint32_t kNone = UINT32_MAX;

  // Requests that can still be in time come first, then urgent classes, then
  // the newest: under overload, older ones are just too late when they end.
  bool GoesBefore(RequestId a, RequestId b) {
    const bool late_a = !this->CanBeInTime(a);
    const bool late_b = !this->CanBeInTime(b);
    if (late_a != late_b) {
      return late_b;
    }
    const TrafficClass class_a = this->cluster.flow_of(a).traffic_class;
    const TrafficClass class_b = this->cluster.flow_of(b).traffic_class;
    return class_a != class_b ? class_a < class_b : a > b;
  }

  bool CanBeInTime(RequestId id) {
    const Flow& flow = this->cluster.flow_of(id);
    return this->cluster.now() + flow.mean +
               this->cluster.current_scenario().caller_round_trip <=
           this->cluster.request(id).first_arrival + flow.target;
  }

  void Pump() {
    while (!this->waiting.empty()) {
      const size_t instance = this->PickInstance();
      if (instance == kNone) {
        return;
      }
      const auto next = std::min_element(
          this->waiting.begin(), this->waiting.end(),
          [this](RequestId a, RequestId b) { return this->GoesBefore(a, b); });
      const RequestId id = *next;
      this->waiting.erase(next);
      this->Send(id, instance);
    }
  }

  // @returns the least busy instance with a free slot; kNone if there is none.
  size_t PickInstance() const {
    const std::vector<InstanceSpec>& all = this->cluster.deployment().instances;
    const size_t first = this->cause == ShedCause::kOneOnly
                             ? this->cluster.deployment().data_centres.size()
                             : 0;
    size_t best = kNone;
    uint32_t least = UINT32_MAX;
    for (size_t i = first; i < all.size(); ++i) {
      const uint32_t busy = this->cluster.ActualInFlight(i);
      const unsigned slots =
          this->cause == ShedCause::kFull ? kSlotsWhenFull : all[i].slots;
      if (busy < slots && busy < least) {
        least = busy;
        best = i;
      }
    }
    return best;
  }

  void Send(RequestId id, size_t instance) {
    if (id >= this->attempts.size()) {
      this->attempts.resize(id + 1, kNone);
    }
    this->attempts[id] = this->cluster.StartAttempt(
        id, this->cluster.request(id).vm, instance,
        [this, id](JobEnd end) { this->OnEnd(id, end); });
  }

  void OnEnd(RequestId id, JobEnd end) {
    this->attempts[id] = kNone;
    if (end == JobEnd::kAnswered) {
      this->cluster.Finish(id, {OutcomeKind::kAnswered});
    } else {
      this->OnShed(id);
    }
    this->Pump();
  }

  void OnShed(RequestId id) {
    const bool in_time = this->CanBeInTime(id);
    const bool repeats =
        in_time && this->cluster.request(id).attempts < kMaxSends &&
        this->limit.Take(this->cluster.now(),
                         *this->cluster.current_scenario().repeats);
    if (repeats) {
      this->waiting.push_back(id);
      return;
    }
    this->cluster.Finish(id, {OutcomeKind::kRefused, Refusal::kUpstreamShed,
                              in_time ? kReturnAfter : kReturnLate});
  }

  SimulatedCluster& cluster;
  const ShedCause cause;
  RepeatBudget limit;
  std::vector<RequestId> waiting;
  std::vector<uint32_t> attempts;  ///< By request; kNone if none runs.
};

}  // namespace

std::unique_ptr<Strategy> MakeShedOracle(SimulatedCluster& cluster,
                                         ShedCause cause) {
  return std::make_unique<ShedOracle>(cluster, cause);
}

}  // namespace basilsill::bench
