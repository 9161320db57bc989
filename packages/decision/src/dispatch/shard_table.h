#ifndef BASILSILL_DECISION_SHARD_TABLE_H_
#define BASILSILL_DECISION_SHARD_TABLE_H_

#include <memory>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "dispatch_tables.h"

/// The shards for which a dispatcher holds state. The state of a shard is
/// created with its first request, so that an unused service costs nothing.
/// When the table is full, the shard that has been idle longest is evicted.

namespace basilsill {

struct ShardTableOptions {
  size_t capacity = 0;
  bool ramp = false;              ///< New and returned upstreams start slowly.
  bool count_repeats = false;     ///< The fleet has a limit on repeats.
  bool cold_is_reported = false;  ///< See DispatcherOptions.
  std::shared_ptr<UpstreamNotices> notices;  ///< Not null.
};

class ShardTable {
 public:
  explicit ShardTable(ShardTableOptions options);

  /// Adopts `view`. An upstream keeps its position in its shard as long as
  /// attempts run there.
  void ApplyView(TimePoint now, const RoutingViewPtr& view);

  /// @returns the row of shard `key`, which is created if needed; kNoRow if the
  /// view has no such shard or no row is free.
  uint32_t Open(TimePoint now, ShardKey key);

  /// @returns the row of shard `key`, or kNoRow.
  uint32_t Find(ShardKey key) const;

  /// A shard in the view; the pointers are null if the view has no such shard.
  struct InView {
    const ServiceRow* service = nullptr;
    const ShardRow* shard = nullptr;
  };
  InView Locate(ShardKey key) const;

  ShardState& at(uint32_t row) { return this->shards[row]; }
  const ShardState& at(uint32_t row) const { return this->shards[row]; }
  size_t size() const { return this->shards.size(); }
  const RoutingView* view() const { return this->current.get(); }

 private:
  struct Place {
    uint32_t service = 0;
    uint32_t shard = 0;  ///< Position in ServiceRow::shards.
  };

  void IndexView();
  void NoteVms(TimePoint now, const RoutingView& next);
  bool SameServices(const RoutingView& next) const;
  void Refresh(TimePoint now, ShardState& shard, bool fresh);
  void RefreshUpstream(TimePoint now,
                       ShardState& shard,
                       const ServiceRow& service,
                       const UpstreamRow& row,
                       bool fresh);
  void RefreshNotice(TimePoint now,
                     const ServiceRow& service,
                     const UpstreamRow& row,
                     UpstreamSlots& upstream);
  uint32_t TakeRow();

  ShardTableOptions options;
  uint32_t next_serial = 0;
  TimePoint same_vms_since{};
  RoutingViewPtr current;
  std::vector<ShardState> shards;
  boost::unordered_flat_map<ShardKey, uint32_t> rows;
  boost::unordered_flat_map<ShardKey, Place> places;  ///< In the view.
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_SHARD_TABLE_H_
