#include "model/baselines.h"

#include <algorithm>
#include <tuple>

namespace basilsill::bench {
namespace {

constexpr uint64_t kPickSeed = 7;

/// Period in which each entry VM fetches the load report of each instance.
constexpr Duration kReportPeriod = std::chrono::seconds(1);

/// Bytes of the HTTP request and answer for a load report, including headers.
constexpr size_t kReportBytes = 300;

const std::vector<size_t>& InstancesOf(const SimulatedCluster& cluster,
                                       size_t service) {
  return cluster.deployment().services.at(service).instances;
}

class RandomPicker : public Picker {
 public:
  explicit RandomPicker(SimulatedCluster& cluster) : cluster(cluster) {}

  size_t Pick(size_t, size_t service) override {
    const std::vector<size_t>& all = InstancesOf(this->cluster, service);
    return all[DrawIndex(this->random, all.size())];
  }

 protected:
  SimulatedCluster& cluster;
  Random random{kPickSeed};
};

class RoundRobinPicker : public RandomPicker {
 public:
  explicit RoundRobinPicker(SimulatedCluster& cluster)
      : RandomPicker(cluster),
        next(cluster.deployment().vms.size(),
             std::vector<size_t>(cluster.deployment().services.size())) {
    for (std::vector<size_t>& of_vm : this->next) {
      for (size_t& position : of_vm) {
        position = DrawIndex(this->random, kStartPositions);
      }
    }
  }

  size_t Pick(size_t vm, size_t service) override {
    const std::vector<size_t>& all = InstancesOf(this->cluster, service);
    return all[this->next[vm][service]++ % all.size()];
  }

 private:
  static constexpr size_t kStartPositions = 1000;

  std::vector<std::vector<size_t>> next;
};

/// Counts the requests that each VM has in flight at each instance.
class OwnCountPicker : public RandomPicker {
 public:
  explicit OwnCountPicker(SimulatedCluster& cluster)
      : RandomPicker(cluster),
        own_in_flight(
            cluster.deployment().vms.size(),
            std::vector<uint32_t>(cluster.deployment().instances.size())) {}

  void OnEnd(size_t vm, size_t instance, Duration) override {
    --this->own_in_flight[vm][instance];
  }

 protected:
  size_t CountPick(size_t vm, size_t instance) {
    ++this->own_in_flight[vm][instance];
    return instance;
  }

  std::vector<std::vector<uint32_t>> own_in_flight;
};

class LeastInFlightPicker : public OwnCountPicker {
 public:
  using OwnCountPicker::OwnCountPicker;

  size_t Pick(size_t vm, size_t service) override {
    const std::vector<size_t>& all = InstancesOf(this->cluster, service);
    size_t best = all[0];
    size_t ties = 0;
    for (const size_t instance : all) {
      const uint32_t mine = this->own_in_flight[vm][instance];
      const uint32_t least = this->own_in_flight[vm][best];
      ties = mine < least ? 1 : ties + (mine == least ? 1 : 0);
      if (mine < least ||
          (mine == least && DrawIndex(this->random, ties) == 0)) {
        best = instance;
      }
    }
    return this->CountPick(vm, best);
  }
};

class TwoChoicesPicker : public OwnCountPicker {
 public:
  using OwnCountPicker::OwnCountPicker;

  size_t Pick(size_t vm, size_t service) override {
    const std::vector<size_t>& all = InstancesOf(this->cluster, service);
    const size_t first = DrawIndex(this->random, all.size());
    size_t second = DrawIndex(this->random, all.size() - 1);
    second += second >= first ? 1 : 0;
    const bool keep = this->own_in_flight[vm][all[first]] <=
                      this->own_in_flight[vm][all[second]];
    return this->CountPick(vm, all[keep ? first : second]);
  }
};

/// Picks at random, weighted by load reports that each VM polls. The weights
/// are stale between polls.
class StaleWeightsPicker : public RandomPicker {
 public:
  explicit StaleWeightsPicker(SimulatedCluster& cluster)
      : RandomPicker(cluster),
        weights(cluster.deployment().vms.size(),
                std::vector<double>(cluster.deployment().instances.size(), 1)) {
    for (size_t vm = 0; vm < this->weights.size(); ++vm) {
      for (size_t i = 0; i < this->weights[vm].size(); ++i) {
        const Duration start = Milliseconds(DrawUnit(this->random) *
                                            InMilliseconds(kReportPeriod));
        cluster.simulation().After(start, [this, vm, i] {
          this->cluster.simulation().Every(
              kReportPeriod, [this, vm, i] { this->Poll(vm, i); });
        });
      }
    }
  }

  size_t Pick(size_t vm, size_t service) override {
    const std::vector<size_t>& all = InstancesOf(this->cluster, service);
    double total = 0;
    for (const size_t instance : all) {
      total += this->weights[vm][instance];
    }
    double left = DrawUnit(this->random) * total;
    for (const size_t instance : all) {
      left -= this->weights[vm][instance];
      if (left < 0) {
        return instance;
      }
    }
    return all.back();
  }

 private:
  void Poll(size_t vm, size_t instance) {
    this->cluster.CountMeasuring(2, kReportBytes);
    const LoadReport report = this->cluster.upstreams().Report(instance);
    this->cluster.simulation().After(
        this->cluster.VmToInstanceLatency(vm, instance),
        [this, vm, instance, report] {
          this->weights[vm][instance] = 1.0 / (1 + report.in_flight);
        });
  }

  std::vector<std::vector<double>> weights;
};

/// Joins the shortest queue by the actual current load, and the nearest of
/// equally loaded instances. No real system has this information.
class OraclePicker : public RandomPicker {
 public:
  using RandomPicker::RandomPicker;

  size_t Pick(size_t vm, size_t service) override {
    size_t best = 0;
    Score best_score;
    for (const size_t instance : InstancesOf(this->cluster, service)) {
      const Score score{
          !this->cluster.upstreams().AcceptsWork(instance),
          this->cluster.ActualInFlight(instance),
          this->cluster.VmToInstanceLatency(vm, instance),
          DrawUnit(this->random),
      };
      if (score < best_score) {
        best = instance;
        best_score = score;
      }
    }
    return best;
  }

 private:
  struct Score {
    bool refuses = true;
    uint32_t in_flight = UINT32_MAX;
    Duration distance = Duration::max();
    double tie = 1;

    bool operator<(const Score& other) const {
      return std::tie(this->refuses, this->in_flight, this->distance,
                      this->tie) < std::tie(other.refuses, other.in_flight,
                                            other.distance, other.tie);
    }
  };
};

template <typename PickerType>
std::unique_ptr<Picker> MakeOf(SimulatedCluster& cluster) {
  return std::make_unique<PickerType>(cluster);
}

}  // namespace

const std::vector<Baseline>& Baselines() {
  static const std::vector<Baseline> all = {
      {"random", MakeOf<RandomPicker>},
      {"round-robin", MakeOf<RoundRobinPicker>},
      {"own-least", MakeOf<LeastInFlightPicker>},
      {"two-choices", MakeOf<TwoChoicesPicker>},
      {"probing", MakeProbing},
      {"probing-least", MakeProbingInFlight},
      {"stale-weights", MakeOf<StaleWeightsPicker>},
      {"oracle", MakeOf<OraclePicker>},
  };
  return all;
}

}  // namespace basilsill::bench
