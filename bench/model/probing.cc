#include <algorithm>
#include <vector>

#include "model/baselines.h"

/// Probing as in Prequal (Wydrowski et al., "Load is not what you should
/// balance", NSDI 2024): a pool of asynchronous probe answers, and the hot-cold
/// lexicographic rule on requests in flight and latency.

namespace basilsill::bench {
namespace {

constexpr uint64_t kProbeSeed = 11;
constexpr size_t kPoolSize = 16;
constexpr size_t kProbesPerRequest = 3;
constexpr size_t kMinPoolSize = 2;  ///< With fewer probes the pick is random.
constexpr double kPaperHotQuantile = 0.84;
constexpr Duration kMaxProbeAge = std::chrono::seconds(1);

/// Bytes of a probe and its answer: two small frames with headers.
constexpr size_t kProbeBytes = 160;

struct Probe {
  size_t instance = 0;
  uint32_t in_flight = 0;
  Duration latency{};
  TimePoint taken{};
};

class ProbingPicker : public Picker {
 public:
  /// @param hot_quantile Quantile of the in-flight counts of the pool; an
  /// instance above it is hot. With 0, the instance with the fewest requests in
  /// flight wins and latency breaks ties.
  ProbingPicker(SimulatedCluster& cluster, double hot_quantile)
      : cluster(cluster),
        hot_quantile(hot_quantile),
        pools(cluster.deployment().vms.size() *
              cluster.deployment().services.size()),
        evictions(this->pools.size(), 0) {}

  size_t Pick(size_t vm, size_t service) override {
    const size_t position =
        vm * this->cluster.deployment().services.size() + service;
    std::vector<Probe>& pool = this->pools[position];
    std::erase_if(pool, [this](const Probe& probe) {
      return this->cluster.now() - probe.taken > kMaxProbeAge;
    });
    const size_t chosen = this->Choose(pool, service);
    this->Evict(position);
    for (size_t i = 0; i < kProbesPerRequest; ++i) {
      this->SendProbe(vm, service, position);
    }
    return chosen;
  }

 private:
  size_t Choose(std::vector<Probe>& pool, size_t service) {
    if (pool.size() < kMinPoolSize) {
      const auto& all = this->cluster.deployment().services[service].instances;
      return all[DrawIndex(this->random, all.size())];
    }
    const uint32_t hot = this->HotThreshold(pool);
    Probe* best = &pool[0];
    for (Probe& probe : pool) {
      if (Better(probe, *best, hot)) {
        best = &probe;
      }
    }
    // The probe's count does not include the request that is sent now.
    ++best->in_flight;
    return best->instance;
  }

  uint32_t HotThreshold(const std::vector<Probe>& pool) const {
    std::vector<uint32_t> counts;
    counts.reserve(pool.size());
    for (const Probe& probe : pool) {
      counts.push_back(probe.in_flight);
    }
    const auto rank = static_cast<std::ptrdiff_t>(
        this->hot_quantile * static_cast<double>(counts.size() - 1));
    std::nth_element(counts.begin(), counts.begin() + rank, counts.end());
    return counts[static_cast<size_t>(rank)];
  }

  static bool Better(const Probe& a, const Probe& b, uint32_t hot) {
    const bool a_hot = a.in_flight > hot;
    const bool b_hot = b.in_flight > hot;
    if (a_hot != b_hot) {
      return b_hot;
    }
    return a_hot ? a.in_flight < b.in_flight : a.latency < b.latency;
  }

  /// Removes one probe per request, alternating between the oldest and the
  /// worst.
  void Evict(size_t position) {
    std::vector<Probe>& pool = this->pools[position];
    if (pool.size() <= kMinPoolSize) {
      return;
    }
    size_t out = 0;
    if (this->evictions[position]++ % 2 == 1) {
      const uint32_t hot = this->HotThreshold(pool);
      for (size_t i = 1; i < pool.size(); ++i) {
        out = Better(pool[out], pool[i], hot) ? i : out;
      }
    }
    pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(out));
  }

  void SendProbe(size_t vm, size_t service, size_t position) {
    const auto& all = this->cluster.deployment().services[service].instances;
    const size_t instance = all[DrawIndex(this->random, all.size())];
    this->cluster.CountMeasuring(2, kProbeBytes);
    const Duration one_way = this->cluster.VmToInstanceLatency(vm, instance);
    this->cluster.simulation().After(
        one_way, [this, one_way, instance, position] {
          const LoadReport report = this->cluster.upstreams().Report(instance);
          const Probe probe{instance, report.in_flight, report.latency,
                            this->cluster.now()};
          this->cluster.simulation().After(one_way, [this, probe, position] {
            this->AddProbe(position, probe);
          });
        });
  }

  void AddProbe(size_t position, const Probe& probe) {
    std::vector<Probe>& pool = this->pools[position];
    if (pool.size() >= kPoolSize) {
      pool.erase(pool.begin());
    }
    pool.push_back(probe);
  }

  SimulatedCluster& cluster;
  double hot_quantile;
  Random random{kProbeSeed};
  std::vector<std::vector<Probe>> pools;  ///< By VM and service, oldest first.
  std::vector<size_t> evictions;
};

}  // namespace

std::unique_ptr<Picker> MakeProbing(SimulatedCluster& cluster) {
  return std::make_unique<ProbingPicker>(cluster, kPaperHotQuantile);
}

std::unique_ptr<Picker> MakeProbingInFlight(SimulatedCluster& cluster) {
  return std::make_unique<ProbingPicker>(cluster, 0);
}

}  // namespace basilsill::bench
