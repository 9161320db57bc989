#ifndef BASILSILL_BENCH_DECISION_LOAD_H_
#define BASILSILL_BENCH_DECISION_LOAD_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "basilsill/decision/dispatch.h"
#include "basilsill/decision/entry.h"
#include "model/deployment.h"
#include "model/random.h"

/// Requests for one VM's decision code at a given size of the installation:
/// what the benchmarks of time, allocations and memory drive.

namespace basilsill::bench {

/// A size of the installation, in the proportions of the one aimed for.
struct InstallationSize {
  size_t instances = 0;
  size_t services = 0;
};

inline constexpr InstallationSize kTargetSize{14000, 350};

/// @returns the view of one VM of 12, one in each of 12 data centres, so that
/// each VM dispatches for all services of its data centre.
RoutingViewPtr MakeSizedView(const InstallationSize& size);

/// Keeps a dispatcher's slots mostly occupied, with some requests waiting.
class DispatchLoad {
 public:
  explicit DispatchLoad(const RoutingViewPtr& view);

  /// One request ends and another comes in; timers run once a tick.
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
  std::vector<Shard> shards;           ///< Those that this VM dispatches for.
  std::vector<AttemptHandle> running;  ///< A ring; first in, first out.
  size_t first = 0;
  size_t count = 0;
  uint64_t refused = 0;
  Duration gap{0};  ///< Between arrivals.
  TimePoint now{std::chrono::seconds(1)};
  TimePoint next_tick{};
  Random random{1};
};

/// Admits requests, chooses for them, and finishes them.
class EntryLoad {
 public:
  explicit EntryLoad(const RoutingViewPtr& view);

  /// One request: admission, choice, the summary on its answer, its end.
  void Step();

 private:
  RoutingViewPtr view;
  std::unique_ptr<EntryRouter> target;
  TimePoint now{std::chrono::seconds(1)};
  Random random{1};
};

}  // namespace basilsill::bench

#endif  // BASILSILL_BENCH_DECISION_LOAD_H_
