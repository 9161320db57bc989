#ifndef BASILSILL_DECISION_CONFIGURATION_STATUS_H_
#define BASILSILL_DECISION_CONFIGURATION_STATUS_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "basilsill/decision/configuration.h"
#include "basilsill/decision/follower.h"
#include "basilsill/decision/view.h"

/// Configuration status for operators: on which VMs a version is in force, and
/// a feed of accepted changes.

namespace basilsill {

/// VMs on which one version is in force.
struct InForceStatus {
  std::vector<VmHandle> on;
  /// Has not applied the version or not reported yet.
  std::vector<VmHandle> waiting;
  bool everywhere = false;  ///< In force on every VM that counts.
};

/// Applied offset of each VM, according to the reports that this VM has
/// received. A VM counts while membership lists it as live or suspected: a
/// suspected VM may still serve callers. A leaving VM takes no callers and does
/// not count.
class InForceTable {
 public:
  /// Replaces the VMs that count.
  void SetVms(const std::vector<VmRow>& vms);

  /// To be called when `vm` reports that every record before `applied` is in
  /// force: its traffic threads use a view of that offset. Late and duplicate
  /// reports are harmless.
  void OnApplied(VmHandle vm, uint64_t applied);

  /// @returns the offset up to which configuration is in force on every VM that
  /// counts; nothing if one has not reported yet or no VM counts.
  std::optional<uint64_t> everywhere() const;

  /// @param version Offset of an accepted record.
  InForceStatus StatusOf(uint64_t version) const;

 private:
  struct Row {
    VmHandle vm;
    bool counts = false;
    std::optional<uint64_t> applied;
  };

  std::vector<Row> rows;  // Indexed by handle.
};

/// One accepted change.
struct WatchEvent {
  uint64_t offset = 0;
  ResourceId id;
  std::shared_ptr<const Resource> body;  ///< Null if the resource was deleted.
};

/// Answer to a read of the change feed.
struct WatchPage {
  /// The requested events are no longer retained. The watcher must list all
  /// resources and continue from the offset of that list.
  bool must_restart = false;
  uint64_t next = 0;  ///< Offset to continue from after this page.
  std::vector<WatchEvent> events;
};

/// Buffer of the newest accepted changes, which watchers read page by page.
/// Offsets are the same on all VMs, so a watcher may continue on another VM.
class ChangeFeed {
 public:
  /// Adds the accepted changes of `result`.
  void OnFollow(const FollowResult& result, const ConfigurationState& state);

  /// @param from Offset to continue from.
  /// @param max Maximum number of events in the page.
  WatchPage Read(uint64_t from, size_t max) const;

  /// @returns the oldest offset that Read can continue from.
  uint64_t oldest() const { return this->begin; }

 private:
  uint64_t begin = 0;
  uint64_t end = 0;
  std::deque<WatchEvent> events;
};

}  // namespace basilsill

#endif  // BASILSILL_DECISION_CONFIGURATION_STATUS_H_
