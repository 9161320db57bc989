#ifndef BASILSILL_DECISION_UNREACHABLE_SHARDS_H_
#define BASILSILL_DECISION_UNREACHABLE_SHARDS_H_

#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "basilsill/base/time.h"
#include "basilsill/decision/view.h"

/// Which VMs could not connect to the upstreams of which shards when an entry
/// VM asked them to dispatch. Other owners of the shard may reach them.

namespace basilsill {

class UnreachableShards {
 public:
  /// `vm` has refused a request because it can't connect to the upstreams.
  void OnRefused(TimePoint now, VmHandle vm, ShardKey shard);

  /// A request goes to `vm`. If it has refused before, no other request does
  /// until this one is answered or the pause is over.
  void OnChosen(TimePoint now, VmHandle vm, ShardKey shard);

  /// `vm` has reported open slots of upstreams.
  void OnReached(VmHandle vm, ShardKey shard);

  /// @returns true if `vm` may be asked.
  bool MayAsk(TimePoint now, VmHandle vm, ShardKey shard) const;

  /// @returns true if several owners of `shard` have refused so within a
  /// second: its upstreams are down, or its data centre is lost. A request may
  /// be tried there now and then, as told by MayAsk.
  bool IsDown(TimePoint now, ShardKey shard) const;

  /// Drops what has not been used for long.
  void Tick(TimePoint now);

 private:
  struct Mark {
    VmHandle vm;
    TimePoint until;  ///< When it may be asked again.
    TimePoint refused_at;
    Duration pause{0};
  };

  Mark* Find(VmHandle vm, ShardKey shard);

  boost::unordered_flat_map<ShardKey, std::vector<Mark>> marks;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_UNREACHABLE_SHARDS_H_
