#ifndef BASILSILL_NODE_SNAPSHOT_EXCHANGE_H_
#define BASILSILL_NODE_SNAPSHOT_EXCHANGE_H_

#include <functional>
#include <string>
#include <vector>

#include "basilsill/decision/follower.h"
#include "basilsill/decision/view.h"
#include "basilsill/wire/message.h"

/// Transfers the configuration from one VM to another in chunks, for a VM that
/// starts while the log is unavailable, or that needs records which the log has
/// already trimmed.

namespace basilsill {

struct SnapshotHandlers {
  /// Sends a request to a peer.
  /// @returns false if there is no link to it.
  std::function<bool(VmHandle, const wire::SnapshotRequest&)> send_request;
  /// A complete snapshot has been received.
  std::function<void(const std::vector<std::string>& parts)> on_snapshot;
};

/// Runs on the control thread.
class SnapshotExchange {
 public:
  SnapshotExchange(const ConfigurationFollower& follower,
                   SnapshotHandlers handlers);

  /// @returns the chunk that answers `request`.
  wire::SnapshotChunk Answer(const wire::SnapshotRequest& request);

  /// Appends a chunk and requests the next one.
  void OnChunk(VmHandle from, const wire::SnapshotChunk& chunk);

  /// While a snapshot is wanted, requests it from one of `peers` after the
  /// other.
  void Tick(TimePoint now, const std::vector<VmHandle>& peers);

 private:
  void RequestFrom(VmHandle peer);
  void RefreshOutgoing();

  const ConfigurationFollower& follower;
  SnapshotHandlers handlers;

  // Snapshot that this VM sends: the parts of its state, one per line.
  std::string outgoing;
  uint64_t outgoing_offset = 0;

  // Snapshot that this VM receives.
  VmHandle source;
  std::string incoming;
  uint64_t incoming_offset = 0;
  TimePoint requested_at{};
  size_t next_peer = 0;
};

}  // namespace basilsill

#endif  // BASILSILL_NODE_SNAPSHOT_EXCHANGE_H_
