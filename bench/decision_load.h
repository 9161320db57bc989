#ifndef BASILSILL_BENCH_DECISION_LOAD_H_
#define BASILSILL_BENCH_DECISION_LOAD_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/entry.h"
#include "model/deployment.h"
#include "model/random.h"

/// Load generators for the decision code of one VM in an installation of a
/// given size. The benchmarks of time, allocations and memory use them.

namespace basilsill::bench {

/// Size of an installation. Benchmarks scale `kTargetSize` down.
struct InstallationSize {
  size_t instances = 0;
  size_t services = 0;
};

inline constexpr InstallationSize kTargetSize{14000, 350};

/// @returns the view of the first of 12 VMs. There is one VM in each of 12 data
/// centres, so that each VM dispatches for all services in its data centre.
RoutingViewPtr MakeSizedView(const InstallationSize& size);

/// Drives a dispatcher with most slots occupied and some requests queued.
class DispatchLoad {
 public:
  explicit DispatchLoad(const RoutingViewPtr& view);

  /// Ends one request and offers another. Timers run once per tick.
  void Step();

  Dispatcher& dispatcher() { return *this->target; }
  TimePoint time() const { return this->now; }
  size_t running_count() const { return this->count; }
  uint64_t refused_count() const { return this->refused; }

 private:
  struct Shard {
    ShardKey key = 0;
    TeamHandle team;
  };

  void OfferOne();
  void EndOne();
  void ProcessActions();

  std::unique_ptr<Dispatcher> target;
  std::vector<Shard> shards;           ///< Shards that this VM dispatches for.
  std::vector<AttemptHandle> running;  ///< Ring buffer, first in, first out.
  size_t first = 0;
  size_t count = 0;
  uint64_t refused = 0;
  Duration gap{0};  ///< Time between arrivals.
  TimePoint now{std::chrono::seconds(1)};
  TimePoint next_tick{};
  Random random{1};
};

/// Drives an entry router.
class EntryLoad {
 public:
  explicit EntryLoad(const RoutingViewPtr& view);

  /// Runs one request: admission, choice of a target, the load summary on its
  /// answer, and its end.
  void Step();

 private:
  RoutingViewPtr view;
  std::unique_ptr<EntryRouter> target;
  TimePoint now{std::chrono::seconds(1)};
  Random random{1};
};

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_DECISION_LOAD_H_
